"""A process takes over from the one before it, and hands over to the one after it (docs/succession.md)."""

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
from millethead.net.accept import RANK_CLOSING, Acceptor, Reply
from millethead.net.connection import Connection
from millethead.net.discovery import Discovery
from millethead.net.exchange import LoopClock, answer_future
from millethead.net.send import HttpWorkers
from millethead.succession.link import Link, Meeting

log = structlog.get_logger()
VERSION = 1
MEETING_TIME = 1.0  # s for the process before this one to say what it knows
NEWS_TIME = 1.0  # s for another process to say whether news was for a job of its own
ASKED = 1024  # news on its way to another process at once
CHUNK = 100  # workers in one message
Resume = Callable[[Connection, int, "asyncio.Future[Answer | None]"], Awaitable[Reply | None]]


@dataclass(slots=True)
class Inherited:
    """What a process gets from the one before it."""

    listener: socket.socket | None = None
    index: int | None = None
    lines: list[WorkerListing] = field(default_factory=list)
    out: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    workers: list[dict[str, Any]] = field(default_factory=list)


class Succession:
    """Both ends: `before` is the link to the process that this one replaces, `after` the one to its successor.

    `whose` says which dispatcher's process this is; one of another is left alone. `movable`: whether jobs can be
    handed over (where stages before the exchange hold them back, they end here)."""

    def __init__(
        self,
        folder: Path,
        name: str,
        whose: str,
        clock: LoopClock,
        exchange: Exchange,
        workers: HttpWorkers,
        discovery: Discovery,
        acceptor: Acceptor,
        resume: Resume,
        local: Callable[[bytes], bool],
        share: Callable[[int, int], None],
        movable: bool = True,
    ) -> None:
        """`local`: hands news on, and says whether it was for a job here. `share`: told how many connections of
        clients and to workers the process before this one still has."""
        self.meeting = Meeting(folder, f"millethead-{name[:64]}")
        self.whose, self.clock, self.movable = whose, clock, movable
        self.exchange, self.workers, self.discovery, self.acceptor = exchange, workers, discovery, acceptor
        self.resume, self.local, self.share = resume, local, share
        self.before: Link | None = None
        self.after: Link | None = None
        self.took_over = False  # the successor takes the clients now
        self.inherited = Inherited()
        self._met: asyncio.Future[bool] | None = None
        self._asked: dict[int, asyncio.Future[bool]] = {}
        self._asks = 0
        self._tasks: set[asyncio.Task[None]] = set()
        discovery.on_list = self._heard

    # ---- taking over -------------------------------------------------------------------------------

    async def meet(self) -> Inherited | None:
        """What the process before this one knows; None without one, or if it does not say so in time."""
        try:
            sock = self.meeting.connect()
        except OSError:
            return None
        if sock is None:
            return None
        self._met = asyncio.get_running_loop().create_future()
        link = self.before = Link(sock, lambda *came: self._from(link, *came), self._predecessor_gone)
        link.send("hello", {"version": VERSION, "whose": self.whose})
        try:
            async with asyncio.timeout(MEETING_TIME):
                met = await self._met
        except TimeoutError:
            met = False
        if not met:
            log.warning("predecessor_unusable")
            link.close()
            self.before = None
            if self.inherited.listener is not None:
                self.inherited.listener.close()
            return None
        log.info("predecessor_met", workers=len(self.inherited.lines))
        return self.inherited

    def restore(self) -> None:
        """Put what the predecessor's module had learned into this one's, once the list stands."""
        module = self.exchange._module
        try:
            handover_state.restore_learned_state(module, self.inherited.figures)
            for said in self.inherited.workers:
                handover_state.restore_worker(module, said)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("inherited_figures_unusable", why=repr(error))

    def ready(self) -> None:
        """This process takes clients: the one before it stops, and the next one will find this one."""
        if self.before is not None:
            self.before.send("ready")
        self._listen()

    def _listen(self) -> None:
        try:
            self.meeting.listen(self._came)
        except OSError as error:
            log.warning("successor_cannot_come", why=str(error))

    def _predecessor_gone(self) -> None:
        self.before = None
        if self._met is not None and not self._met.done():
            self._met.set_result(False)
        self.share(0, 0)
        log.info("predecessor_gone")

    # ---- handing over ------------------------------------------------------------------------------

    def _came(self, sock: socket.socket) -> None:
        if self.after is not None:  # the newest counts
            self.after.close()
            self._successor_gone()
        link = self.after = Link(sock, lambda *came: self._from(link, *came), self._successor_gone)

    def _successor_gone(self) -> None:
        self.after, self.acceptor.shared = None, False
        log.info("successor_gone", had_taken_over=self.took_over)
        if self.took_over:
            self.took_over = False
            self.acceptor.resume()
            self._listen()

    def _tell_all(self, link: Link) -> None:
        """All that a successor should know, as it is now."""
        listener = next(iter(self.acceptor._sockets.values()), None)
        if listener is not None:
            self.acceptor.shared = True
            link.send("listener", {}, handed=os.dup(listener.fileno()))
        lines = [
            _raw(worker.name, worker.address, worker.entry)
            for worker in self.exchange.workers
            if worker.transport is self.workers
        ]
        _send_rows(link, "workers", "lines", lines)
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
        """Give all connections and jobs to the successor; returns when nothing is left, when it is gone, or at
        `until` (steady clock, s)."""
        while self.after is not None and time.monotonic() < until:
            for conn in list(self.acceptor.open):
                self._give(self.after, conn)
            self._tell_share()
            if not self.acceptor.open and not self.exchange.held and self.after.sent:
                return
            await asyncio.sleep(0.02)

    def _tell_share(self) -> None:
        if self.after is not None:
            self.after.send("share", {"clients": len(self.acceptor.open), "workers": self.workers.pool.open})

    def _give(self, link: Link, conn: Connection) -> None:
        if not link.open or not link.sent:
            return
        fields: dict[str, Any]
        if conn.job:
            # a read that has ended has bytes that are not in the buffer yet
            may = self.movable and not len(conn.buffer) and conn.stream.reading()
            found = release(self.exchange, self.workers, conn.job) if may else None
            if found is None:
                return
            said, body = found
            what, fields = "job", {"job": said, "keeps": conn.keep_alive}
        elif conn in self.acceptor.idle and not conn.partially_read and conn.stream.reading():
            rank = self.acceptor.idle[conn][0]
            if rank == RANK_CLOSING:
                return
            what, fields, body = "conn", {"rank": rank}, conn.buffer.peek(len(conn.buffer))
        else:
            return
        try:
            handed = os.dup(conn.stream.socket.fileno())
        except (OSError, AttributeError):
            conn.close()
            return
        link.send(what, fields, body, handed)
        conn.handed_over = True
        conn.close()  # the successor's descriptor keeps it up

    # ---- what comes over the link ------------------------------------------------------------------

    def _from(self, link: Link, said: dict[str, Any], body: bytes, handed: int | None) -> None:
        what, taken = said.get("what"), False
        try:
            match what:
                case "hello":
                    if said.get("version") != VERSION or said.get("whose") != self.whose:
                        log.warning(
                            "successor_not_ours", version=str(said.get("version")), whose=str(said.get("whose"))
                        )
                        link.send("no")
                        return
                    log.info("successor_met")
                    self._tell_all(link)
                case "ready" if link is self.after and not self.took_over:
                    self.took_over = True
                    self.acceptor.pause()
                    self.meeting.close()
                    self._tell_share()
                    log.info("successor_took_over")
                case "no" if self._met is not None and not self._met.done():
                    self._met.set_result(False)
                case "listener" if handed is not None:
                    self.inherited.listener, taken = socket.socket(fileno=handed), True
                case "workers":
                    self.inherited.lines += [_line(raw) for raw in said["lines"]]
                case "known":
                    self.inherited.workers += said["workers"]
                case "end" if self._met is not None and not self._met.done():
                    self.inherited.index, self.inherited.figures = said["index"], said["figures"]
                    self.clock.offset = float(said["offset"])
                    self._met.set_result(True)
                case "out" if self._met is not None and not self._met.done():
                    self.inherited.out = list(said["names"])
                case "out":
                    self._take_out(said["names"], link)
                case "shut":
                    self._take_shut([_line(raw) for raw in said["lines"]], link)
                case "share":
                    self.share(int(said["clients"]), int(said["workers"]))
                case "news":
                    self._spawn(self._news(link, int(said["n"]), body))
                case "told":
                    waiting = self._asked.get(int(said["n"]))
                    if waiting is not None and not waiting.done():
                        waiting.set_result(bool(said["found"]))
                case "conn" if handed is not None:
                    taken = True
                    self.acceptor.adopt(socket.socket(fileno=handed), int(said["rank"]), body)
                case "job" if handed is not None:
                    taken = True
                    self._adopt(said, body, socket.socket(fileno=handed))
        finally:
            if handed is not None and not taken:
                os.close(handed)

    def _adopt(self, said: dict[str, Any], body: bytes, sock: socket.socket) -> None:
        """At once, and not when the connection's own task runs: news of the job may be looked up before that."""
        future, settle = answer_future()
        try:
            peer = sock.getpeername()[:2]
        except OSError:  # its client has just left, which its connection will find
            peer = None
        number = adopt(self.exchange, self.workers, said["job"], body, peer, settle)

        async def owed(conn: Connection) -> Reply | None:
            return await self.resume(conn, number, future)

        self.acceptor.adopt(sock, 0, b"", bool(said["keeps"]), owed)

    def _spawn(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- news --------------------------------------------------------------------------------------

    async def elsewhere(self, body: bytes, but: Link | None = None) -> bool | None:
        """Ask the other processes of this dispatcher whether news was for a job of theirs; None if one does not say
        so in time."""
        for link in self._others(but):
            if len(self._asked) >= ASKED:
                return None
            self._asks += 1
            n, waiting = self._asks, asyncio.get_running_loop().create_future()
            self._asked[n] = waiting
            try:
                if not link.send("news", {"n": n}, body):
                    continue
                async with asyncio.timeout(NEWS_TIME):
                    if await waiting:
                        return True
            except TimeoutError:
                if link.open:  # one that is gone owns nothing
                    return None
            finally:
                del self._asked[n]
        return False

    async def _news(self, link: Link, n: int, body: bytes) -> None:
        # asked once more after others: the job may have come from there meanwhile
        found = self.local(body) or bool(await self.elsewhere(body, but=link)) or self.local(body)
        link.send("told", {"n": n, "found": found})

    # ---- what is told to one process holds for all ----------------------------------------------------

    def _others(self, but: Link | None) -> list[Link]:
        return [link for link in (self.before, self.after) if link is not None and link is not but]

    def tell_out(self, but: Link | None = None) -> None:
        """Workers were taken out or put back here."""
        for link in self._others(but):
            link.send("out", {"names": sorted(self.exchange.out)})

    def _take_out(self, names: list[str], link: Link) -> None:
        said, here = {str(name) for name in names}, self.exchange.out
        self.exchange.take_out(said - here)
        self.exchange.put_back(here - said)
        self.tell_out(but=link)

    def _heard(self, lines: list[WorkerListing], but: Link | None = None) -> None:
        shut = [_raw(line.name, line.address, line) for line in lines if line.state is not WorkerState.READY]
        for link in self._others(but):
            _send_rows(link, "shut", "lines", shut)

    def _take_shut(self, lines: list[WorkerListing], link: Link) -> None:
        """Drains that another process was told of; one that knows a later start of the worker is not touched."""
        fresh = []
        for line in lines:
            worker = self.exchange.worker(line.name)
            if worker is not None and worker.open and worker.entry.started <= line.started:
                fresh.append(line)
        if fresh:
            self.exchange.listed(self.workers, ListForm.BY_OPERATOR, fresh)
            self._heard(fresh, but=link)

    def close(self) -> None:
        self.meeting.close()
        for link in self._others(None):
            link.close()


def _send_rows(link: Link, what: str, key: str, rows: Sequence[Any]) -> None:
    """As many messages as the rows need; none without rows."""
    for at in range(0, len(rows), CHUNK):
        link.send(what, {key: rows[at : at + CHUNK]})


def _raw(name: str, address: tuple[str, int] | None, entry: Any) -> list[Any]:
    return [name, address, entry.zone, entry.kind, entry.cell, int(entry.state), entry.rating, entry.started]


def _line(raw: list[Any]) -> WorkerListing:
    name, address, zone, kind, cell, state, rating, started = raw
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
