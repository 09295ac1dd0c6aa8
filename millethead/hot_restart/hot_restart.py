"""Hot restart: a process takes over from its predecessor and later hands over to its successor.

The protocol is described in docs/succession.md.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import structlog

from millethead.decide import handover_state
from millethead.decide.interface import ListForm, WorkerState
from millethead.exchange.core import Exchange
from millethead.exchange.handover import adopt, release
from millethead.exchange.model import Answer, WorkerListing
from millethead.hot_restart.link import HandoverSocket, Link
from millethead.net.accept import RANK_CLOSING, Acceptor, Reply
from millethead.net.connection import Connection
from millethead.net.discovery import Discovery
from millethead.net.exchange import LoopClock, answer_future
from millethead.net.send import HttpWorkers

log = structlog.get_logger()
PROTOCOL_VERSION = 1
STATE_TIMEOUT_S = 1.0  # for the predecessor to send its state
UPDATE_TIMEOUT_S = 1.0  # for another process to answer whether a job update was for one of its jobs
MAX_PENDING_UPDATES = 1024  # job updates sent to other processes and not answered yet
ROWS_PER_MESSAGE = 100
HANDOVER_INTERVAL_S = 0.02
Resume = Callable[[Connection, int, "asyncio.Future[Answer | None]"], Awaitable[Reply | None]]


@dataclass(slots=True)
class InheritedState:
    """What a process receives from its predecessor when it starts."""

    listener: socket.socket | None = None
    discovery_index: int | None = None
    worker_listings: list[WorkerListing] = field(default_factory=list)
    excluded_workers: list[str] = field(default_factory=list)
    learned_state: dict[str, Any] = field(default_factory=dict)
    worker_states: list[dict[str, Any]] = field(default_factory=list)


class HotRestart:
    """Both sides of the handover: the links to the predecessor and to the successor of this process.

    `dispatcher` identifies the dispatcher to which the process belongs. Processes of other dispatchers are rejected.
    `can_hand_over_jobs` is false if stages in front of the exchange hold jobs back. Such jobs end in this process.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        dispatcher: str,
        clock: LoopClock,
        exchange: Exchange,
        workers: HttpWorkers,
        discovery: Discovery,
        acceptor: Acceptor,
        resume: Resume,
        deliver_locally: Callable[[bytes], bool],
        on_predecessor_load: Callable[[int, int], None],
        can_hand_over_jobs: bool = True,
    ) -> None:
        """`deliver_locally` delivers a job update and returns whether it was for a job of this process.

        `on_predecessor_load` receives the number of connections that the predecessor still has to clients and to
        workers.
        """
        self.handover_socket = HandoverSocket(folder, f"millethead-{name[:64]}")
        self.dispatcher, self.clock, self.can_hand_over_jobs = dispatcher, clock, can_hand_over_jobs
        self.exchange, self.workers, self.discovery, self.acceptor = exchange, workers, discovery, acceptor
        self.resume, self.deliver_locally, self.on_predecessor_load = resume, deliver_locally, on_predecessor_load
        self.predecessor: Link | None = None
        self.successor: Link | None = None
        self.successor_serves = False  # the successor accepts new clients in place of this process
        self.inherited = InheritedState()
        self._state_received: asyncio.Future[bool] | None = None
        self._pending_updates: dict[int, asyncio.Future[bool]] = {}
        self._last_update = 0
        self._tasks: set[asyncio.Task[None]] = set()
        discovery.on_list = self._share_drains

    # ---- taking over from the predecessor ------------------------------------------------------------

    async def fetch_state(self) -> InheritedState | None:
        """Returns the state of the predecessor. None if there is none, or if it does not send its state in time."""
        try:
            sock = self.handover_socket.connect()
        except OSError:
            return None
        if sock is None:
            return None
        self._state_received = asyncio.get_running_loop().create_future()
        link = self.predecessor = Link(
            sock, lambda *message: self._handle_message(link, *message), self._on_predecessor_gone
        )
        link.send("hello", {"version": PROTOCOL_VERSION, "whose": self.dispatcher})
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                received = await self._state_received
        except TimeoutError:
            received = False
        if not received:
            log.warning("predecessor_unusable")
            link.close()
            self.predecessor = None
            if self.inherited.listener is not None:
                self.inherited.listener.close()
            return None
        log.info("predecessor_met", workers=len(self.inherited.worker_listings))
        return self.inherited

    def restore_learned_state(self) -> None:
        """Restores the learned state of the predecessor's decision module. Call it after the workers are listed."""
        module = self.exchange._module
        try:
            handover_state.restore_learned_state(module, self.inherited.learned_state)
            for worker_state in self.inherited.worker_states:
                handover_state.restore_worker(module, worker_state)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("inherited_figures_unusable", why=repr(error))

    def announce_ready(self) -> None:
        """Tells the predecessor that this process serves clients, and starts to listen for a successor."""
        if self.predecessor is not None:
            self.predecessor.send("ready")
        self._listen()

    def _listen(self) -> None:
        try:
            self.handover_socket.listen(self._accept_successor)
        except OSError as error:
            log.warning("successor_cannot_come", why=str(error))

    def _on_predecessor_gone(self) -> None:
        self.predecessor = None
        if self._state_received is not None and not self._state_received.done():
            self._state_received.set_result(False)
        self.on_predecessor_load(0, 0)
        log.info("predecessor_gone")

    # ---- handing over to the successor ---------------------------------------------------------------

    def _accept_successor(self, sock: socket.socket) -> None:
        if self.successor is not None:  # the newest successor replaces earlier ones
            self.successor.close()
            self._on_successor_gone()
        link = self.successor = Link(
            sock, lambda *message: self._handle_message(link, *message), self._on_successor_gone
        )

    def _on_successor_gone(self) -> None:
        self.successor, self.acceptor.shared = None, False
        log.info("successor_gone", had_taken_over=self.successor_serves)
        if self.successor_serves:
            self.successor_serves = False
            self.acceptor.resume()
            self._listen()

    def _send_state(self, link: Link) -> None:
        listener = next(iter(self.acceptor._sockets.values()), None)
        if listener is not None:
            self.acceptor.shared = True
            link.send("listener", {}, descriptor=os.dup(listener.fileno()))
        rows = [
            _encode_listing(worker.name, worker.address, worker.entry)
            for worker in self.exchange.workers
            if worker.transport is self.workers
        ]
        _send_rows(link, "workers", "lines", rows)
        link.send("out", {"names": sorted(self.exchange.out)})
        module = self.exchange._module
        _send_rows(link, "known", "workers", handover_state.worker_states(module))
        link.send(
            "end",
            {
                "index": self.discovery.index,
                "offset": self.clock.offset,
                "figures": handover_state.learned_state(module),
            },
        )

    async def hand_over(self, until: float) -> None:
        """Transfers all connections and jobs to the successor.

        Returns when none is left, when the successor is gone, or at `until` (monotonic clock, seconds).
        """
        while self.successor is not None and time.monotonic() < until:
            for conn in list(self.acceptor.open):
                self._transfer_connection(self.successor, conn)
            self._send_load()
            if not self.acceptor.open and not self.exchange.held and self.successor.all_sent:
                return
            await asyncio.sleep(HANDOVER_INTERVAL_S)

    def _send_load(self) -> None:
        if self.successor is not None:
            self.successor.send("share", {"clients": len(self.acceptor.open), "workers": self.workers.pool.open})

    def _transfer_connection(self, link: Link, conn: Connection) -> None:
        """Transfers a connection, with its job if it waits for one. Does nothing if that is not possible now."""
        if not link.open or not link.all_sent:
            return
        fields: dict[str, Any]
        if conn.job:
            # A completed read may have received bytes that are not in the buffer yet.
            transferable = self.can_hand_over_jobs and not len(conn.buffer) and conn.stream.reading()
            released = release(self.exchange, self.workers, conn.job) if transferable else None
            if released is None:
                return
            job_state, body = released
            kind, fields = "job", {"job": job_state, "keeps": conn.keep_alive}
        elif conn in self.acceptor.idle and not conn.partially_read and conn.stream.reading():
            rank = self.acceptor.idle[conn][0]
            if rank == RANK_CLOSING:
                return
            kind, fields, body = "conn", {"rank": rank}, conn.buffer.peek(len(conn.buffer))
        else:
            return
        try:
            descriptor = os.dup(conn.stream.socket.fileno())
        except (OSError, AttributeError):
            conn.close()
            return
        link.send(kind, fields, body, descriptor)
        conn.handed_over = True
        conn.close()  # the successor's descriptor keeps the connection open

    # ---- messages of the other process ---------------------------------------------------------------

    def _handle_message(self, link: Link, message: dict[str, Any], body: bytes, descriptor: int | None) -> None:
        kind, descriptor_used = message.get("what"), False
        try:
            match kind:
                case "hello":
                    if message.get("version") != PROTOCOL_VERSION or message.get("whose") != self.dispatcher:
                        log.warning(
                            "successor_not_ours", version=str(message.get("version")), whose=str(message.get("whose"))
                        )
                        link.send("no")
                        return
                    log.info("successor_met")
                    self._send_state(link)
                case "ready" if link is self.successor and not self.successor_serves:
                    self.successor_serves = True
                    self.acceptor.pause()
                    self.handover_socket.close()
                    self._send_load()
                    log.info("successor_took_over")
                case "no" if self._state_received is not None and not self._state_received.done():
                    self._state_received.set_result(False)
                case "listener" if descriptor is not None:
                    self.inherited.listener, descriptor_used = socket.socket(fileno=descriptor), True
                case "workers":
                    self.inherited.worker_listings += [_decode_listing(row) for row in message["lines"]]
                case "known":
                    self.inherited.worker_states += message["workers"]
                case "end" if self._state_received is not None and not self._state_received.done():
                    index, learned_state = message["index"], message["figures"]
                    self.inherited.discovery_index, self.inherited.learned_state = index, learned_state
                    self.clock.offset = float(message["offset"])
                    self._state_received.set_result(True)
                case "out" if self._state_received is not None and not self._state_received.done():
                    self.inherited.excluded_workers = list(message["names"])
                case "out":
                    self._apply_excluded(message["names"], link)
                case "shut":
                    self._apply_drains([_decode_listing(row) for row in message["lines"]], link)
                case "share":
                    self.on_predecessor_load(int(message["clients"]), int(message["workers"]))
                case "news":
                    self._spawn(self._answer_update(link, int(message["n"]), body))
                case "told":
                    waiting = self._pending_updates.get(int(message["n"]))
                    if waiting is not None and not waiting.done():
                        waiting.set_result(bool(message["found"]))
                case "conn" if descriptor is not None:
                    descriptor_used = True
                    self.acceptor.adopt(socket.socket(fileno=descriptor), int(message["rank"]), body)
                case "job" if descriptor is not None:
                    descriptor_used = True
                    self._adopt_job(message, body, socket.socket(fileno=descriptor))
        finally:
            if descriptor is not None and not descriptor_used:
                os.close(descriptor)

    def _adopt_job(self, message: dict[str, Any], body: bytes, sock: socket.socket) -> None:
        """Adopts a job and its client's connection.

        The job is adopted here and not in the task of the connection, because an update of the job may arrive before
        that task runs.
        """
        future, settle = answer_future()
        try:
            peer = sock.getpeername()[:2]
        except OSError:  # the client has disconnected, which the connection detects later
            peer = None
        number = adopt(self.exchange, self.workers, message["job"], body, peer, settle)

        async def resume_job(conn: Connection) -> Reply | None:
            return await self.resume(conn, number, future)

        self.acceptor.adopt(sock, 0, b"", bool(message["keeps"]), resume_job)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- job updates ---------------------------------------------------------------------------------

    async def deliver_elsewhere(self, body: bytes, exclude: Link | None = None) -> bool | None:
        """Sends a job update to the other processes of this dispatcher, and returns whether one of them has the job.

        Returns None if a process does not answer in time.
        """
        for link in self._other_links(exclude):
            if len(self._pending_updates) >= MAX_PENDING_UPDATES:
                return None
            self._last_update += 1
            number, waiting = self._last_update, asyncio.get_running_loop().create_future()
            self._pending_updates[number] = waiting
            try:
                if not link.send("news", {"n": number}, body):
                    continue
                async with asyncio.timeout(UPDATE_TIMEOUT_S):
                    if await waiting:
                        return True
            except TimeoutError:
                if link.open:  # a process that is gone has no jobs
                    return None
            finally:
                del self._pending_updates[number]
        return False

    async def _answer_update(self, link: Link, number: int, body: bytes) -> None:
        # Tried here again after the others: the job may have been handed over to this process meanwhile.
        found = (
            self.deliver_locally(body)
            or bool(await self.deliver_elsewhere(body, exclude=link))
            or self.deliver_locally(body)
        )
        link.send("told", {"n": number, "found": found})

    # ---- excluded and draining workers, kept equal in all processes ------------------------------------

    def _other_links(self, exclude: Link | None) -> list[Link]:
        return [link for link in (self.predecessor, self.successor) if link is not None and link is not exclude]

    def share_excluded(self, exclude: Link | None = None) -> None:
        """Sends the names of the excluded workers to the other processes."""
        for link in self._other_links(exclude):
            link.send("out", {"names": sorted(self.exchange.out)})

    def _apply_excluded(self, names: list[str], link: Link) -> None:
        received, current = {str(name) for name in names}, self.exchange.out
        self.exchange.take_out(received - current)
        self.exchange.put_back(current - received)
        self.share_excluded(exclude=link)

    def _share_drains(self, listings: list[WorkerListing], exclude: Link | None = None) -> None:
        rows = [
            _encode_listing(listing.name, listing.address, listing)
            for listing in listings
            if listing.state is not WorkerState.READY
        ]
        for link in self._other_links(exclude):
            _send_rows(link, "shut", "lines", rows)

    def _apply_drains(self, listings: list[WorkerListing], link: Link) -> None:
        """Applies drains that another process received, unless this process knows a later start of the worker."""
        current = []
        for listing in listings:
            worker = self.exchange.worker(listing.name)
            if worker is not None and worker.open and worker.entry.started <= listing.started:
                current.append(listing)
        if current:
            self.exchange.listed(self.workers, ListForm.BY_OPERATOR, current)
            self._share_drains(current, exclude=link)

    def close(self) -> None:
        self.handover_socket.close()
        for link in self._other_links(None):
            link.close()


def _send_rows(link: Link, kind: str, key: str, rows: Sequence[Any]) -> None:
    """Sends as many messages as the rows need. Sends none if there are no rows."""
    for start in range(0, len(rows), ROWS_PER_MESSAGE):
        link.send(kind, {key: rows[start : start + ROWS_PER_MESSAGE]})


def _encode_listing(name: str, address: tuple[str, int] | None, entry: Any) -> list[Any]:
    return [name, address, entry.zone, entry.kind, entry.cell, int(entry.state), entry.rating, entry.started]


def _decode_listing(row: list[Any]) -> WorkerListing:
    name, address, zone, kind, cell, state, rating, started = row
    return WorkerListing(
        str(name),
        (str(address[0]), int(address[1])),
        int(zone),
        int(kind),
        int(cell),
        WorkerState(state),
        float(rating),
        float(started),
        confirms=True,
    )
