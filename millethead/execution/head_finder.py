"""Finds the head of the core and keeps one session with it.

Members are tried in an order that begins with what is known of the head, a further one every STAGGER_S while none has
answered, so that dead members cost little. A member that is not the head names it. The first welcome wins.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from millethead.execution.messages import AgentHello, AgentTurnedAway, AgentWelcome
from millethead.rpc.codec import Record
from millethead.rpc.connection import Connection, connect

log = structlog.get_logger()
CONNECT_TIMEOUT_S = 0.4
HELLO_TIMEOUT_S = 0.8  # for the answer to a hello
STAGGER_S = 0.15  # between the starts of two attempts
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.05, 0.3  # between two rounds through the members
MOST_MEMBERS = 16  # addresses that are remembered besides the seeds


class HeadFinder:
    """Calls on the loop: `welcomed(epoch)` when a session opens (it may be closed there); `received(record)`;
    `closed()` when it is over. `hello` makes the first record, `seeds` gives the members to begin with, and `failed`
    is called after each round without a session."""

    def __init__(
        self,
        hello: Callable[[], AgentHello],
        seeds: Callable[[], list[str]],
        welcomed: Callable[[int], None],
        received: Callable[[Record], None],
        closed: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        self._hello, self._seeds, self._failed = hello, seeds, failed
        self._welcomed, self._received, self._closed = welcomed, received, closed
        self._known: list[str] = []  # members in the order in which they are to be tried
        self._session: Connection | None = None
        self._address = ""
        self._given_up = ""  # the member whose session was given up last
        self._lost = asyncio.Event()
        self._attempts: dict[Connection, _Attempt] = {}

    async def run(self) -> None:
        """Keep a session until cancelled."""
        pause = FIRST_PAUSE_S
        try:
            while True:
                await self._round()
                if self._session is not None:
                    pause = FIRST_PAUSE_S
                    await self._lost.wait()
                    continue
                self._failed()
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE_S)
        finally:
            self.close_session("the process ends")

    def send(self, record: Record) -> None:
        """Send in the session; does nothing without one."""
        if self._session is not None:
            self._session.send(record)

    def close_session(self, cause: str) -> None:
        """Give the session up; its member is tried last from now on."""
        if self._session is None:
            return
        log.info("session_closed", head=self._address, cause=cause)
        self._given_up = self._address
        self._session.close()

    # ---- one round -----------------------------------------------------------------------------------

    async def _round(self) -> None:
        """Try every member once, and those that they name; returns with a session, or when all have failed."""
        self._lost.clear()
        tried: set[str] = set()
        running: set[asyncio.Task[None]] = set()
        try:
            while self._session is None:
                address = self._next_address(tried)
                if address is not None:
                    tried.add(address)
                    running.add(asyncio.create_task(self._try(address)))
                elif not running:
                    return
                running = await self._wait(running, STAGGER_S if address is not None else None)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def _wait(self, running: set[asyncio.Task[None]], timeout_s: float | None) -> set[asyncio.Task[None]]:
        """Wait for the first attempt to end; returns those that go on."""
        _, pending = await asyncio.wait(running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        return pending

    def _next_address(self, tried: set[str]) -> str | None:
        addresses = self._known + [seed for seed in self._seeds() if seed not in self._known]
        if self._given_up in addresses:  # it may not know yet that another member is the head
            addresses.remove(self._given_up)
            addresses.append(self._given_up)
        return next((address for address in addresses if address not in tried), None)

    async def _try(self, address: str) -> None:
        """One attempt; it ends with the session, an answer that there is none here, or a failure."""
        try:
            connection = await connect(address, self._on_record, self._on_close, CONNECT_TIMEOUT_S)
        except OSError:
            self._put_last(address)
            return
        attempt = self._attempts[connection] = _Attempt(address)
        connection.send(self._hello())
        try:
            await asyncio.wait_for(attempt.ended.wait(), HELLO_TIMEOUT_S)
        except TimeoutError:
            self._put_last(address)
        finally:
            self._attempts.pop(connection, None)
            if connection is not self._session:
                connection.close()

    # ---- what members say ----------------------------------------------------------------------------

    def _on_record(self, connection: Connection, record: Record) -> None:
        if connection is self._session:
            if isinstance(record, AgentWelcome):  # the same member goes on as the head of a newer epoch
                self._welcomed(record.epoch)
            elif isinstance(record, AgentTurnedAway):
                self._learn(self._address, record)
            else:
                self._received(record)
            return
        attempt = self._attempts.get(connection)
        if attempt is None:
            return
        if isinstance(record, AgentWelcome):
            self._take_welcome(connection, attempt, record)
        elif isinstance(record, AgentTurnedAway):
            self._learn(attempt.address, record)
        attempt.ended.set()

    def _take_welcome(self, connection: Connection, attempt: _Attempt, welcome: AgentWelcome) -> None:
        if self._session is not None:
            return
        self._session, self._address, self._given_up = connection, attempt.address, ""
        self._put_first(attempt.address)
        log.info("session_opened", head=attempt.address, epoch=welcome.epoch)
        self._welcomed(welcome.epoch)

    def _on_close(self, connection: Connection) -> None:
        attempt = self._attempts.get(connection)
        if attempt is not None:
            attempt.ended.set()
        if connection is self._session:
            self._session = None
            self._lost.set()
            self._closed()

    # ---- the order of the members --------------------------------------------------------------------

    def _learn(self, address: str, answer: AgentTurnedAway) -> None:
        for member in answer.members:
            if member not in self._known:
                self._known.append(member)
        self._put_last(address)
        if answer.head:
            self._put_first(answer.head)

    def _put_first(self, address: str) -> None:
        self._known = [address, *(other for other in self._known if other != address)][:MOST_MEMBERS]

    def _put_last(self, address: str) -> None:
        if address in self._known:
            self._known = [*(other for other in self._known if other != address), address]


class _Attempt:
    """A connection on which a hello was sent."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.ended = asyncio.Event()
