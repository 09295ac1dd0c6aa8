"""Finds the head among the members of the core and keeps one session with it.

Members are tried in order, starting with the last known head. While no attempt has succeeded, another one starts every
ATTEMPT_INTERVAL_S, so that unreachable members cost little time. A member that is not the head returns the address of
the head. The first welcome wins.
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
HELLO_TIMEOUT_S = 0.8  # timeout of the answer to a hello
ATTEMPT_INTERVAL_S = 0.15  # between the starts of two attempts
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.05, 0.3  # between two rounds through all members
MAX_KNOWN_MEMBERS = 16  # addresses that are remembered in addition to the seeds


class HeadFinder:
    """Keeps a session with the head and reports its events to callbacks on the event loop.

    - `hello` returns the first record of a session, `seeds` the addresses of the members to start with.
    - `session_opened(epoch)` is called when a session opens; it may close the session.
    - `record_received(record)` is called for each further record, `session_closed()` when the session has ended.
    - `round_failed()` is called after each round through all members without a session.
    """

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
        self._members: list[str] = []  # in the order in which they are tried
        self._session: Connection | None = None
        self._address = ""
        self._abandoned_member = ""  # the member whose session was closed last on this side
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
        """Send the record in the session; does nothing without a session."""
        if self._session is not None:
            self._session.send(record)

    def close_session(self, cause: str) -> None:
        """Close the session. Its member is tried last in the next round."""
        if self._session is None:
            return
        log.info("session_closed", head=self._address, cause=cause)
        self._abandoned_member = self._address
        self._session.close()

    # ---- one round of attempts ---------------------------------------------------------------------------

    async def _try_members(self) -> None:
        """Try all members, including those learnt on the way; return when a session is open or all attempts failed."""
        self._session_lost.clear()
        tried: set[str] = set()
        pending: set[asyncio.Task[None]] = set()
        try:
            while self._session is None:
                address = self._next_address(tried)
                if address is not None:
                    tried.add(address)
                    pending.add(asyncio.create_task(self._attempt(address)))
                elif not pending:
                    return
                pending = await self._wait(pending, ATTEMPT_INTERVAL_S if address is not None else None)
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)

    async def _wait(self, pending: set[asyncio.Task[None]], timeout_s: float | None) -> set[asyncio.Task[None]]:
        """Wait for the first attempt to finish; return the unfinished ones."""
        _, unfinished = await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        return unfinished

    def _next_address(self, tried: set[str]) -> str | None:
        addresses = self._members + [seed for seed in self._seeds() if seed not in self._members]
        if self._abandoned_member in addresses:  # it may not have learnt yet that another member is the head
            addresses.remove(self._abandoned_member)
            addresses.append(self._abandoned_member)
        return next((address for address in addresses if address not in tried), None)

    async def _attempt(self, address: str) -> None:
        """Try one member; the attempt ends with a session, a redirect or a failure."""
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

    # ---- records of members ------------------------------------------------------------------------------

    def _on_record(self, connection: Connection, record: Record) -> None:
        if connection is self._session:
            if isinstance(record, AgentWelcome):  # the same member has become the head of a newer epoch
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

    # ---- order of the members ----------------------------------------------------------------------------

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
