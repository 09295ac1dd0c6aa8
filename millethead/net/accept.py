"""Client side: connections in, requests read one at a time, each given to the front and answered."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

import structlog
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from millethead.logs import Sparing
from millethead.net.answer import format_answer, send_answer
from millethead.net.connection import (
    LINGER,
    LINGER_BYTES,
    WRITE_BUFFER,
    Closed,
    Connection,
    Interrupted,
    Late,
    within,
)
from millethead.net.listener import drop_connection_requests
from millethead.net.parse import BadMessage, Request, parse_request, read_body, read_head
from millethead.net.pool import READ_BUFFER

log = structlog.get_logger()
sparing_log = Sparing()
FIRST_TIME = 2.5  # s from connecting to the end of the first request: usual clients connect to send one
READ_TIME = 2.5  # s for a later request from its first byte to its last
IDLE_TIME = 120.0  # s between requests, on a connection that has brought a job
ASKED_TIME = 10.0  # s on one that has asked for something else only
FAULTS = 16  # answers of 4xx or 5xx in a row after which a connection ends: a bad client asks again at once
BACKLOG = 512  # connections in a listener's queue
BEYOND = 8  # connections taken in one turn of the loop: over the limit until room is made or they are turned away
ACCEPT_PAUSE = 0.1  # s without accepting once the system has no descriptor left
EXHAUSTED = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
POLL = 0.01  # s
HANDSHAKE_TIME = 0.01  # s for a connection to be established whose request was taken before a listener closes
LEAVING, FRESH, ASKED, USUAL = range(4)  # who makes room first: the lower, and among equals the longest there


class Reply:
    """What the front answers."""

    __slots__ = ("body", "fields", "job", "status")

    def __init__(self, status: int, body: bytes = b"", fields: dict[str, str] | None = None, job: bool = False) -> None:
        self.status, self.body, self.fields, self.job = status, body, fields or {}, job


Front = Callable[[Connection, Request], Awaitable[Reply | None]]
Owed = Callable[[Connection], Awaitable[Reply | None]]


class Server(TCPServer):
    """Takes connections up to a limit, and ends each when `talk` returns.

    A connection is FRESH, ASKED or USUAL while it may be closed to make room, none of them while somebody waits for an
    answer on it, and LEAVING once its talk is over and only its peer's close is waited for."""

    def __init__(self, limit: int) -> None:
        super().__init__(max_buffer_size=READ_BUFFER)
        self.limit, self.paused = limit, False
        self.shared = False  # another process has a listener of this one, and may take connections from it
        self._coming = 0  # accepted, and not looked at yet
        self._resting = set[int]()  # listeners that wait for a descriptor
        self.open: set[Connection] = set()
        self.idle: dict[Connection, tuple[int, float]] = {}  # those that may be closed to make room

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """As Tornado's, but with an accept of our own: Tornado's takes up to 128 connections before the limit is
        looked at, which takes the descriptors of all else, and tries again in each turn of the loop when none is
        left."""
        for listener in sockets:
            fd = listener.fileno()
            self._sockets[fd] = listener
            self._resting.discard(fd)
            self._handlers[fd] = partial(IOLoop.current().remove_handler, fd)
            IOLoop.current().add_handler(fd, lambda fd, _: self._accept_some(fd), IOLoop.READ)

    def _accept_some(self, fd: int) -> None:
        while self._coming < BEYOND:
            try:
                if not self._accept(self._sockets[fd]):
                    return
            except OSError as error:
                if error.errno in EXHAUSTED:
                    self._exhausted(fd)
                    return

    def _accept(self, listener: socket.socket) -> bool:
        """Take one connection of the queue; False where none stands there. Raises OSError, also for one that has
        gone."""
        try:
            sock, address = listener.accept()
        except BlockingIOError:
            return False
        self._coming += 1
        IOLoop.current().spawn_callback(self.handle_stream, IOStream(sock, max_buffer_size=READ_BUFFER), address)
        return True

    def _exhausted(self, fd: int) -> None:
        """The queue would wake the loop at once, over and over, and nothing else would have its turn."""
        sparing_log.warning("descriptors_exhausted", server=type(self).__name__, open=len(self.open))
        self.make_room()
        loop = IOLoop.current()
        loop.remove_handler(fd)
        self._resting.add(fd)
        loop.call_later(ACCEPT_PAUSE, lambda: self.add_sockets([self._sockets[fd]]) if fd in self._resting else None)

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        self._coming -= 1
        stream.max_write_buffer_size = WRITE_BUFFER
        try:
            conn = Connection(stream)
        except OSError:  # the peer is gone already
            stream.close()
            return
        if len(self.open) >= self.limit and not self.make_room():
            sparing_log.warning("connection_turned_away", server=type(self).__name__, open=len(self.open))
            conn.end_now()
            return
        self.rest(conn, FRESH)
        await self.keep(conn, self.talk(conn))

    async def keep(self, conn: Connection, talk: Awaitable[None]) -> None:
        """Hold `conn` until its talk ends."""
        self.open.add(conn)
        try:
            await talk
            if not conn.stream.closed():
                self.rest(conn, LEAVING)
                await conn.end()
        except (Closed, Late, Interrupted, OSError):
            pass
        except Exception:
            log.exception("connection_broke", server=type(self).__name__)
        finally:
            self.open.discard(conn)
            self.idle.pop(conn, None)
            conn.end_now()

    async def talk(self, conn: Connection) -> None:
        raise NotImplementedError

    def pause(self) -> None:
        """Leave new connections to others that listen on the same socket."""
        self.paused = True
        self._resting.clear()
        for fd in self._sockets:
            IOLoop.current().remove_handler(fd)

    def resume(self) -> None:
        self.paused = False
        self.add_sockets(list(self._sockets.values()))

    def rest(self, conn: Connection, rank: int) -> None:
        """From now on `conn` may be closed to make room."""
        self.idle[conn] = rank, time.monotonic()

    def work(self, conn: Connection) -> None:
        """Somebody waits for an answer on `conn`."""
        self.idle.pop(conn, None)

    def make_room(self) -> bool:
        """Close the connection that is missed least; False if there is none. Those that never brought a whole
        request go first: many that only connect must not push out usual clients (who keep theirs idle), nor
        one whose request waits to be read. Of usual ones, those that are in the middle of a request come last."""

        def rank(conn: Connection) -> tuple[int, bool, float]:
            who, since = self.idle[conn]
            return who, conn.midway or bool(len(conn.buffer)), since

        for conn in sorted(self.idle, key=rank):
            # a read that has ended, but whose reader has not run yet, leaves the socket empty as well
            if self.idle[conn][0] == LEAVING or conn.wants_more():
                del self.idle[conn]
                self.open.discard(conn)
                conn.end_now()
                return True
        return False

    async def close_listeners(self) -> None:
        """Stop listening without resetting anybody: no further connection is established, those being established
        are waited for, and whoever stands in a queue is taken. Others may be listened on afterwards."""
        listeners = dict(self._sockets)
        self._resting.clear()
        self._sockets.clear()  # a successor that dies now must not have them listened on again, nor another get them
        for fd in listeners:
            self._handlers.pop(fd)()
        if not self.paused:  # else the queue is another process's to take
            await self._empty_queues(list(listeners.values()))
        for listener in listeners.values():
            listener.close()

    async def _empty_queues(self, listeners: list[socket.socket]) -> None:
        if not self.shared:
            for listener in listeners:
                drop_connection_requests(listener)
            await asyncio.sleep(HANDSHAKE_TIME)
        for listener in listeners:
            await self._take_queue(listener)

    async def _take_queue(self, listener: socket.socket) -> None:
        for _ in range(BACKLOG):
            try:
                if not self._accept(listener):
                    return
            except OSError as error:
                if error.errno in EXHAUSTED and not self.make_room():
                    return
            while self._coming >= BEYOND:  # those beyond the limit give their descriptors back
                await asyncio.sleep(0)

    async def finish(self, seconds: float) -> None:
        """Close the listeners, and answer whoever came before that, for so long at most."""
        await self.close_listeners()
        until = time.monotonic() + seconds
        await asyncio.sleep(POLL)
        while self.open and time.monotonic() < until:
            await asyncio.sleep(POLL)
        self.close_all()

    def close_all(self) -> None:
        for conn in list(self.open):
            conn.end_now()


class Acceptor(Server):
    def __init__(self, front: Front, limit: int) -> None:
        super().__init__(limit)
        self.front, self.closing = front, False

    @property
    def first_time(self) -> float:
        """Seconds from connecting to the end of the first request."""
        return FIRST_TIME

    def adopt(
        self, sock: socket.socket, rank: int, data: bytes = b"", keeps: bool = True, owed: Owed | None = None
    ) -> None:
        """Go on with a connection that the process before this one had: `data` was read and not used; `owed` gives
        the reply to a request that was."""
        stream = IOStream(sock, max_buffer_size=READ_BUFFER, max_write_buffer_size=WRITE_BUFFER)
        conn = Connection(stream)
        conn.buffer.put(data)
        conn.keeps = keeps
        if owed is None:
            self.rest(conn, rank)
        IOLoop.current().spawn_callback(self.keep, conn, self.talk(conn, rank, owed))

    async def talk(self, conn: Connection, rank: int = FRESH, owed: Owed | None = None) -> None:
        faults, since = 0, time.monotonic()
        while True:
            if owed is not None:
                method, reply, owed = "POST", await owed(conn), None
            else:
                request = await self._request(conn, rank, since)
                if request is None:
                    return
                self.work(conn)
                conn.keeps, method = request.keep, request.method
                reply = await self.front(conn, request)
            if reply is None:
                return
            faults = faults + 1 if reply.status >= 400 and not reply.job else 0
            keep = conn.keeps and not self.closing and faults < FAULTS
            message = format_answer(reply.status, reply.body, reply.fields, keep)
            if method == "HEAD":  # its answer has no body, whatever length it tells
                message = message[: len(message) - len(reply.body)]
            await send_answer(conn, message)
            if not keep:
                return
            rank, conn.midway = USUAL if reply.job else max(rank, ASKED), False
            self.rest(conn, rank)

    async def _request(self, conn: Connection, rank: int, since: float) -> Request | None:
        """The next request; None when the connection is done with. One that says nothing, or never ends what
        it says, is let go in time, so that it takes no descriptor from others."""
        limit = self.first_time
        try:
            if rank != FRESH:
                if not len(conn.buffer):
                    if self.closing and conn.quiet():  # since its last answer went out
                        return None
                    try:
                        await within(IDLE_TIME if rank == USUAL else ASKED_TIME, conn.fill())
                    except (Late, Interrupted):
                        if conn.unheard():  # else a request came in that very turn of the loop
                            return None
                since, limit = time.monotonic(), READ_TIME
            return await within(since + limit - time.monotonic(), self._read(conn))
        except Interrupted:
            pass
        except BadMessage as bad:
            await self._turn_away(conn, bad.status, str(bad))
        except OverflowError:
            await self._turn_away(conn, 431, "the head is too large")
        except Late:
            # a loop that was busy elsewhere finds its time over with the bytes still at the socket
            if conn.swallow(LINGER_BYTES) or len(conn.buffer):
                await self._turn_away(conn, 408, "the request came too slowly", linger=0.0)
        return None

    async def _read(self, conn: Connection) -> Request:
        head = await read_head(conn)
        conn.midway = True
        request = parse_request(head)
        expect = request.fields.get("expect")
        if expect is not None:
            if expect.lower() != "100-continue":
                raise BadMessage(400, "an expectation that cannot be met")
            await conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.body = await read_body(conn, request.fields)
        return request

    async def _turn_away(self, conn: Connection, status: int, why: str, linger: float = LINGER) -> None:
        sparing_log.warning("request_turned_away", status=status, why=why)
        self.rest(conn, LEAVING)
        await within(LINGER, conn.write(format_answer(status, why.encode() + b"\n", keep=False)))
        await conn.end(linger)

    def drain(self) -> None:
        """From now on connections end with their answer, and those that stand idle at once; but who has only just come
        is about to ask."""
        self.closing = True
        for conn, (rank, _) in list(self.idle.items()):
            if rank in (ASKED, USUAL) and not conn.midway and conn.unheard():  # else a request of it waits to be read
                conn.interrupt()  # its reader looks once more, and ends it
