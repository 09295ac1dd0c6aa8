"""Calls to the head of the core, wherever it is.

Connections to a few members are kept; each tells of new views, so that a change of head is known as soon as one of them
knows it. A call goes to the head, and again to the next head if its answer does not come: every call has the same
effect however often it arrives. What fails says whether it may have been taken.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import structlog

from millethead.control.calls import (
    CallAnswer,
    CallerHello,
    CallerPing,
    CallerWelcome,
    ConfigurationUpdate,
    HeadAnswer,
    HeadCall,
)
from millethead.control.configuration_stream import HeldConfiguration
from millethead.replication.view import NO_VIEW, View
from millethead.rpc.codec import Record, encode_any
from millethead.rpc.connection import Connection, connect

log = structlog.get_logger()

WATCHED = 3  # members with which a connection is kept: the head, and others that tell of a new one
CONNECT_TIMEOUT_S = 0.4
RETRY_S = (0.05, 0.5)  # pause between attempts to connect, growing
PING_S = 0.4  # between two pings of each member
SILENT_S = 1.0  # a member that has sent nothing for so long is given up: its end of the connection may be gone
MOST_CALLS = 4096  # under way at once


class CallFailed(Exception):
    """A call got no answer in time. `sent`: it may have been taken."""

    def __init__(self, sent: bool) -> None:
        super().__init__("no answer from the head" if sent else "the head cannot be reached")
        self.sent = sent


@dataclass(slots=True)
class _Call:
    """`epoch`: of the head to which it was sent last; only that head's answer is taken."""

    data: bytes
    answer: asyncio.Future[CallAnswer]
    sent: bool = False
    epoch: int = 0


@dataclass(slots=True)
class _Member:
    """A connection to one member, or the attempts to have one."""

    address: str
    task: asyncio.Task[None] | None = None
    connection: Connection | None = None
    serving: bool = False
    heard_at: float = 0.0
    lost: asyncio.Event = field(default_factory=asyncio.Event)


class HeadCaller:
    """`configured` is called with each newer configuration (version and document), and never with an older one. Newer
    is what a later entry of the log brought: two configurations may have the same version, of which only one was ever
    committed."""

    def __init__(
        self,
        node: str,
        seeds: Callable[[], tuple[str, ...]],
        random: Random,
        configured: Callable[[int, bytes], None] | None = None,
    ) -> None:
        self._node, self._seeds, self._random, self._configured = node, seeds, random, configured
        self.view: View = NO_VIEW
        self._held = HeldConfiguration()
        self._members: dict[str, _Member] = {}
        self._head: _Member | None = None
        self._calls: dict[int, _Call] = {}
        self._number = 0
        self.lost_head_at: float | None = None
        self._pinging: asyncio.Task[None] | None = None

    @property
    def configuration(self) -> int:
        """The version in force here; 0 before the first."""
        return self._held.version

    # ---- calls -------------------------------------------------------------------------------------------

    @property
    def connected(self) -> bool:
        """Whether the head can be called now."""
        return self._head is not None

    def away_s(self) -> float:
        """For how long the head could not be called (s); 0 before it was first reached."""
        if self._head is not None or self.lost_head_at is None:
            return 0.0
        return asyncio.get_running_loop().time() - self.lost_head_at

    async def call(self, make: Callable[[int], Record], reach_s: float, answer_s: float) -> CallAnswer:
        """Make a call and return its answer. Raises CallFailed when the head is not reached within `reach_s`, or its
        answer does not come within `answer_s`."""
        if len(self._calls) >= MOST_CALLS:
            raise CallFailed(sent=False)
        self._number += 1
        number = self._number
        loop = asyncio.get_running_loop()
        call = self._calls[number] = _Call(encode_any(make(number)), loop.create_future())
        self._send(call)
        began = loop.time()
        try:
            await asyncio.wait((call.answer,), timeout=reach_s)
            if not call.answer.done() and call.sent:
                await asyncio.wait((call.answer,), timeout=max(0.0, began + answer_s - loop.time()))
            if not call.answer.done():
                raise CallFailed(call.sent)
            return call.answer.result()
        finally:
            del self._calls[number]

    def _send(self, call: _Call) -> None:
        if self._head is not None and self._head.connection is not None:
            call.sent, call.epoch = True, self.view.epoch
            self._head.connection.send(HeadCall(call.epoch, call.data))

    # ---- members -----------------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin to connect."""
        self._choose_members()
        self._pinging = asyncio.get_running_loop().create_task(self._ping())

    async def _ping(self) -> None:
        """Find out members that are silent: one end of a connection may not know that the other is gone."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PING_S)
            for member in list(self._members.values()):
                if member.connection is None:
                    continue
                if loop.time() - member.heard_at > SILENT_S:
                    member.connection.close()
                else:
                    member.connection.send(CallerPing(self.view.epoch, member.serving))

    def close(self) -> None:
        if self._pinging is not None:
            self._pinging.cancel()
        for member in list(self._members.values()):
            self._drop(member)

    def _choose_members(self) -> None:
        """Keep connections to the head and to some others; before a view is known, to the seeds."""
        known = self.view.addresses() or self._seeds()
        wanted = list(known[:1])
        others = [address for address in known if address not in wanted]
        kept = [address for address in others if address in self._members]
        fresh = [address for address in others if address not in self._members]
        self._random.shuffle(fresh)
        wanted += (kept + fresh)[: WATCHED - len(wanted)]
        for address in list(self._members):
            if address not in wanted:
                self._drop(self._members[address])
        for address in wanted:
            if address not in self._members:
                member = self._members[address] = _Member(address)
                member.task = asyncio.get_running_loop().create_task(self._keep(member))

    def _drop(self, member: _Member) -> None:
        self._members.pop(member.address, None)
        if member.task is not None:
            member.task.cancel()
        if member.connection is not None:
            member.connection.close()

    async def _keep(self, member: _Member) -> None:
        """Keep a connection to one member, as long as it is wanted."""
        pause = RETRY_S[0]
        while self._members.get(member.address) is member:
            member.lost.clear()
            try:
                member.connection = await connect(
                    member.address,
                    lambda _, record: self._received(member, record),
                    lambda _: self._lost(member),
                    CONNECT_TIMEOUT_S,
                )
            except OSError:
                self._replace(member)
                await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))
                pause = min(2 * pause, RETRY_S[1])
                continue
            pause = RETRY_S[0]
            member.heard_at = asyncio.get_running_loop().time()
            member.connection.send(
                CallerHello(
                    self._node, self.view.epoch, self._held.version, self._held.place, self._configured is not None
                )
            )
            await member.lost.wait()
            await asyncio.sleep(RETRY_S[0])

    def _replace(self, member: _Member) -> None:
        """A member that cannot be reached and is not the head gives its place to another one."""
        addresses = self.view.addresses()
        unused = [address for address in addresses if address not in self._members]
        if unused and member.address != addresses[0] and member.task is not None:
            address = self._random.choice(unused)
            del self._members[member.address]
            other = self._members[address] = _Member(address)
            other.task = asyncio.get_running_loop().create_task(self._keep(other))

    def _lost(self, member: _Member) -> None:
        member.connection, member.serving = None, False
        member.lost.set()
        if self._head is member:
            self._set_head(None)

    def _received(self, member: _Member, record: Record) -> None:
        member.heard_at = asyncio.get_running_loop().time()
        match record:
            case CallerWelcome(view=view, serving=serving):
                self._welcome(member, view, serving)
            case HeadAnswer(epoch=epoch, answer=answer):
                call = self._calls.get(answer.number)
                if call is not None and call.epoch == epoch and not call.answer.done():
                    call.answer.set_result(answer)
            case ConfigurationUpdate():
                self._update(member, record)

    def _welcome(self, member: _Member, view: View, serving: bool) -> None:
        if view.epoch < self.view.epoch:
            return
        newer = view.epoch > self.view.epoch
        self.view = view
        member.serving = serving and view.chain[0].member.address == member.address
        if newer and self._head is not None and self._head.address != view.chain[0].member.address:
            self._set_head(None)
        if member.serving:
            self._set_head(member)
        elif self._head is member:
            self._set_head(None)
        if newer:
            self._choose_members()

    def _set_head(self, member: _Member | None) -> None:
        if member is None:
            if self._head is not None:
                self.lost_head_at = asyncio.get_running_loop().time()
            self._head = None
            return
        self._head, self.lost_head_at = member, None
        for call in list(self._calls.values()):
            if not call.answer.done():
                self._send(call)

    def _update(self, member: _Member, update: ConfigurationUpdate) -> None:
        if self._configured is None:
            return
        before = self._held.version
        if self._held.take(update, self.view.epoch):
            if update.discard and before:
                log.warning("configuration_discarded", version=before, instead=update.version)
            self._configured(update.version, update.document)
        if member.connection is not None:
            member.connection.send(self._held.ack())
