"""Finds the head of the core and keeps one session with it.

Members are tried in an order that begins with what is known of the head, a further one every ATTEMPT_INTERVAL_S while none has
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
ATTEMPT_INTERVAL_S = 0.15  # between the starts of two attempts
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.05, 0.3  # between two rounds through the members
MAX_KNOWN_MEMBERS = 16  # addresses that are remembered besides the seeds


class HeadFinder:
    """Calls on the loop: `session_opened(epoch)` when a session opens (it may be session_closed there); `record_received(record)`;
    `session_closed()` when it is over. `hello` makes the first record, `seeds` gives the members to begin with, and `round_failed`
    is called after each round without a session."""

    def __init__(
        self,
        hello: Callable[[], AgentHello],
        seeds: Callable[[], list[str]],
        session_opened: Callable[[int], None],
        record_received: Callable[[Record], None],
        session_closed: Callable[[], None],
        round_failed: Callable[[], None],
    ) -> None:
        self._hello, self._seeds, self._round_failed = hello, seeds, round_failed
        self._on_session_opened, self._on_received, self._on_session_closed = (
            session_opened,
            record_received,
            session_closed,
        )
        self._members: list[str] = []  # members in the order in which they are to be tried
        self._session: Connection | None = None
        self._address = ""
        self._abandoned_member = ""  # the member whose session was given up last
        self._session_lost = asyncio.Event()
        self._attempts: dict[Connection, _Attempt] = {}

    async def run(self) -> None:
        """Keep a session until cancelled."""
        pause = MIN_RETRY_PAUSE_S
        try:
            while True:
                await self._try_members()
                if self._session is not None:
                    pause = MIN_RETRY_PAUSE_S
                    await self._session_lost.wait()
                    continue
                self._round_failed()
                await asyncio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_PAUSE_S)
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
        self._abandoned_member = self._address
        self._session.close()

    # ---- one round -----------------------------------------------------------------------------------

    async def _try_members(self) -> None:
        """Try every member once, and those that they name; returns with a session, or when all have round_failed."""
        self._session_lost.clear()
        tried: set[str] = set()
        running: set[asyncio.Task[None]] = set()
        try:
            while self._session is None:
                address = self._next_address(tried)
                if address is not None:
                    tried.add(address)
                    running.add(asyncio.create_task(self._attempt(address)))
                elif not running:
                    return
                running = await self._wait(running, ATTEMPT_INTERVAL_S if address is not None else None)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def _wait(self, running: set[asyncio.Task[None]], timeout_s: float | None) -> set[asyncio.Task[None]]:
        """Wait for the first attempt to end; returns those that go on."""
        _, pending = await asyncio.wait(running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        return pending

    def _next_address(self, tried: set[str]) -> str | None:
        addresses = self._members + [seed for seed in self._seeds() if seed not in self._members]
        if self._abandoned_member in addresses:  # it may not know yet that another member is the head
            addresses.remove(self._abandoned_member)
            addresses.append(self._abandoned_member)
        return next((address for address in addresses if address not in tried), None)

    async def _attempt(self, address: str) -> None:
        """One attempt; it ends with the session, an answer that there is none here, or a failure."""
        try:
            connection = await connect(address, self._on_record, self._on_close, CONNECT_TIMEOUT_S)
        except OSError:
            self._move_to_end(address)
            return
        attempt = self._attempts[connection] = _Attempt(address)
        connection.send(self._hello())
        try:
            await asyncio.wait_for(attempt.ended.wait(), HELLO_TIMEOUT_S)
        except TimeoutError:
            self._move_to_end(address)
        finally:
            self._attempts.pop(connection, None)
            if connection is not self._session:
                connection.close()

    # ---- what members say ----------------------------------------------------------------------------

    def _on_record(self, connection: Connection, record: Record) -> None:
        if connection is self._session:
            if isinstance(record, AgentWelcome):  # the same member goes on as the head of a newer epoch
                self._on_session_opened(record.epoch)
            elif isinstance(record, AgentTurnedAway):
                self._apply_redirect(self._address, record)
            else:
                self._on_received(record)
            return
        attempt = self._attempts.get(connection)
        if attempt is None:
            return
        if isinstance(record, AgentWelcome):
            self._open_session(connection, attempt, record)
        elif isinstance(record, AgentTurnedAway):
            self._apply_redirect(attempt.address, record)
        attempt.ended.set()

    def _open_session(self, connection: Connection, attempt: _Attempt, welcome: AgentWelcome) -> None:
        if self._session is not None:
            return
        self._session, self._address, self._abandoned_member = connection, attempt.address, ""
        self._move_to_front(attempt.address)
        log.info("session_opened", head=attempt.address, epoch=welcome.epoch)
        self._on_session_opened(welcome.epoch)

    def _on_close(self, connection: Connection) -> None:
        attempt = self._attempts.get(connection)
        if attempt is not None:
            attempt.ended.set()
        if connection is self._session:
            self._session = None
            self._session_lost.set()
            self._on_session_closed()

    # ---- the order of the members --------------------------------------------------------------------

    def _apply_redirect(self, address: str, answer: AgentTurnedAway) -> None:
        for member in answer.members:
            if member not in self._members:
                self._members.append(member)
        self._move_to_end(address)
        if answer.head:
            self._move_to_front(answer.head)

    def _move_to_front(self, address: str) -> None:
        self._members = [address, *(other for other in self._members if other != address)][:MAX_KNOWN_MEMBERS]

    def _move_to_end(self, address: str) -> None:
        if address in self._members:
            self._members = [*(other for other in self._members if other != address), address]


class _Attempt:
    """A connection on which a hello was sent."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.ended = asyncio.Event()
