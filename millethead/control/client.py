"""Client for calls to the head of the core.

The client keeps connections to a few members. Each of them announces new views, so the client learns of a new head as
soon as one of them does. A call is sent to the head, and sent again to the next head if no answer arrives. That is safe
because all calls are idempotent. A failed call reports whether the head may have processed it.
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
    new_call_numbers,
)
from millethead.control.configuration_stream import ActiveConfiguration
from millethead.replication.view import NO_VIEW, View
from millethead.rpc.codec import Record, encode_any
from millethead.rpc.connection import Connection, connect

log = structlog.get_logger()

CONNECTED_MEMBERS = 3  # the head, and others that announce a new one
CONNECT_TIMEOUT_S = 0.4
RECONNECT_DELAY_S = (0.05, 0.5)  # first and longest delay between attempts to connect
PING_INTERVAL_S = 0.4
MEMBER_TIMEOUT_S = 1.0  # a connection without incoming records for this long is closed
MAX_PENDING_CALLS = 4096


class CallFailed(Exception):
    """A call was not answered in time. `sent` is true if it was sent, so the head may have processed it."""

    def __init__(self, sent: bool) -> None:
        super().__init__("no answer from the head" if sent else "the head cannot be reached")
        self.sent = sent


@dataclass(slots=True)
class _PendingCall:
    """A call without an answer yet.

    `epoch` is that of the head to which the call was sent last. Answers from other epochs are ignored.
    """

    data: bytes
    answer: asyncio.Future[CallAnswer]
    sent: bool = False
    epoch: int = 0


@dataclass(slots=True)
class _MemberConnection:
    """A connection to one member, or the attempts to establish one."""

    address: str
    task: asyncio.Task[None] | None = None
    connection: Connection | None = None
    serving: bool = False
    last_received_at: float = 0.0
    lost: asyncio.Event = field(default_factory=asyncio.Event)


class HeadClient:
    """Sends calls to the head and follows the stream of configurations.

    `on_configuration` is called with the version and the document of each newer configuration, never with an older one.
    Configurations are ordered by their log position and not by version, because two configurations may have the same
    version, of which only one was committed.
    """

    def __init__(
        self,
        node: str,
        seeds: Callable[[], tuple[str, ...]],
        random: Random,
        on_configuration: Callable[[int, bytes], None] | None = None,
    ) -> None:
        self._node, self._seeds, self._random, self._on_configuration = node, seeds, random, on_configuration
        self.view: View = NO_VIEW
        self._active = ActiveConfiguration()
        self._members: dict[str, _MemberConnection] = {}
        self._head: _MemberConnection | None = None
        self._calls: dict[int, _PendingCall] = {}
        self._last_number = new_call_numbers(random)
        self.disconnected_at: float | None = None
        self._ping_task: asyncio.Task[None] | None = None

    @property
    def configuration(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._active.version

    # ---- calls -------------------------------------------------------------------------------------------

    @property
    def connected(self) -> bool:
        """Whether there is a connection to the head."""
        return self._head is not None

    def disconnected_s(self) -> float:
        """Return for how many seconds the head has been unreachable; 0 before it was first reached."""
        if self._head is not None or self.disconnected_at is None:
            return 0.0
        return asyncio.get_running_loop().time() - self.disconnected_at

    async def call(
        self, build_record: Callable[[int], Record], connect_timeout_s: float, answer_timeout_s: float
    ) -> CallAnswer:
        """Make a call and return its answer. `build_record` builds the record from the number of the call.

        Raises CallFailed if the head is not reached within `connect_timeout_s` seconds, or if its answer does not
        arrive within `answer_timeout_s` seconds.
        """
        if len(self._calls) >= MAX_PENDING_CALLS:
            raise CallFailed(sent=False)
        self._last_number += 1
        number = self._last_number
        loop = asyncio.get_running_loop()
        call = self._calls[number] = _PendingCall(encode_any(build_record(number)), loop.create_future())
        self._send(call)
        started = loop.time()
        try:
            await asyncio.wait((call.answer,), timeout=connect_timeout_s)
            if not call.answer.done() and call.sent:
                await asyncio.wait((call.answer,), timeout=max(0.0, started + answer_timeout_s - loop.time()))
            if not call.answer.done():
                raise CallFailed(call.sent)
            return call.answer.result()
        finally:
            del self._calls[number]

    def _send(self, call: _PendingCall) -> None:
        if self._head is not None and self._head.connection is not None:
            call.sent, call.epoch = True, self.view.epoch
            self._head.connection.send(HeadCall(call.epoch, call.data))

    # ---- members -----------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start to connect to members."""
        self._choose_members()
        self._ping_task = asyncio.get_running_loop().create_task(self._ping())

    async def _ping(self) -> None:
        """Ping the members and close connections without traffic, where one end may not know that the other is gone."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            for member in list(self._members.values()):
                if member.connection is None:
                    continue
                if loop.time() - member.last_received_at > MEMBER_TIMEOUT_S:
                    member.connection.close()
                else:
                    member.connection.send(CallerPing(self.view.epoch, member.serving))

    def close(self) -> None:
        """Close all connections."""
        if self._ping_task is not None:
            self._ping_task.cancel()
        for member in list(self._members.values()):
            self._disconnect(member)

    def _choose_members(self) -> None:
        """Choose the members to connect to: the head and random others, or the seeds before a view is known."""
        known = self.view.addresses() or self._seeds()
        chosen = list(known[:1])
        others = [address for address in known if address not in chosen]
        kept = [address for address in others if address in self._members]
        fresh = [address for address in others if address not in self._members]
        self._random.shuffle(fresh)
        chosen += (kept + fresh)[: CONNECTED_MEMBERS - len(chosen)]
        for address in list(self._members):
            if address not in chosen:
                self._disconnect(self._members[address])
        for address in chosen:
            if address not in self._members:
                member = self._members[address] = _MemberConnection(address)
                member.task = asyncio.get_running_loop().create_task(self._maintain(member))

    def _disconnect(self, member: _MemberConnection) -> None:
        self._members.pop(member.address, None)
        if member.task is not None:
            member.task.cancel()
        if member.connection is not None:
            member.connection.close()

    async def _maintain(self, member: _MemberConnection) -> None:
        """Connect to a member, and reconnect for as long as it is one of the chosen members."""
        delay_s = RECONNECT_DELAY_S[0]
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
                await asyncio.sleep(delay_s * self._random.uniform(0.7, 1.3))
                delay_s = min(2 * delay_s, RECONNECT_DELAY_S[1])
                continue
            delay_s = RECONNECT_DELAY_S[0]
            member.last_received_at = asyncio.get_running_loop().time()
            member.connection.send(
                CallerHello(
                    self._node,
                    self.view.epoch,
                    self._active.version,
                    self._active.place,
                    self._on_configuration is not None,
                )
            )
            await member.lost.wait()
            await asyncio.sleep(RECONNECT_DELAY_S[0])

    def _replace(self, member: _MemberConnection) -> None:
        """Replace a member that cannot be reached by a random unused one, unless it is the head."""
        addresses = self.view.addresses()
        unused = [address for address in addresses if address not in self._members]
        if unused and member.address != addresses[0] and member.task is not None:
            address = self._random.choice(unused)
            del self._members[member.address]
            other = self._members[address] = _MemberConnection(address)
            other.task = asyncio.get_running_loop().create_task(self._maintain(other))

    def _lost(self, member: _MemberConnection) -> None:
        member.connection, member.serving = None, False
        member.lost.set()
        if self._head is member:
            self._set_head(None)

    def _received(self, member: _MemberConnection, record: Record) -> None:
        member.last_received_at = asyncio.get_running_loop().time()
        match record:
            case CallerWelcome(view=view, serving=serving):
                self._welcome(member, view, serving)
            case HeadAnswer(epoch=epoch, answer=answer):
                call = self._calls.get(answer.number)
                if call is not None and call.epoch == epoch and not call.answer.done():
                    call.answer.set_result(answer)
            case ConfigurationUpdate():
                self._update(member, record)

    def _welcome(self, member: _MemberConnection, view: View, serving: bool) -> None:
        """Adopt the member's view unless a newer one is known, and note whether the member is the head."""
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

    def _set_head(self, member: _MemberConnection | None) -> None:
        """Set or clear the connection to the head; all pending calls are sent again to a new head."""
        if member is None:
            if self._head is not None:
                self.disconnected_at = asyncio.get_running_loop().time()
            self._head = None
            return
        self._head, self.disconnected_at = member, None
        for call in list(self._calls.values()):
            if not call.answer.done():
                self._send(call)

    def _update(self, member: _MemberConnection, update: ConfigurationUpdate) -> None:
        if self._on_configuration is None:
            return
        before = self._active.version
        if self._active.accept(update, self.view.epoch):
            if update.force and before:
                log.warning("configuration_discarded", version=before, instead=update.version)
            self._on_configuration(update.version, update.document)
        if member.connection is not None:
            member.connection.send(self._active.ack())
