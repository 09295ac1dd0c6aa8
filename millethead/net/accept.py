"""HTTP server: accepts client connections, reads one request at a time, and sends the reply of the request handler."""

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

from millethead.logs import RateLimitedLog
from millethead.net.connection import (
    LINGER_BYTES,
    LINGER_S,
    WRITE_BUFFER_BYTES,
    Closed,
    Connection,
    PeerTimeout,
    ReadInterrupted,
    with_timeout,
)
from millethead.net.listener import drop_connection_requests
from millethead.net.parse import BadMessage, Request, parse_request, read_body, read_head
from millethead.net.pool import READ_BUFFER_BYTES
from millethead.net.response import format_response, send_response

log = structlog.get_logger()
rate_limited_log = RateLimitedLog()
FIRST_REQUEST_TIMEOUT_S = 2.5  # from connecting to the end of the first request; clients connect to send one
REQUEST_TIMEOUT_S = 2.5  # from the first to the last byte of a later request
REGULAR_IDLE_TIMEOUT_S = 120.0  # between requests, on a connection that has submitted a job
NO_JOB_IDLE_TIMEOUT_S = 10.0  # between requests, on a connection that has sent other requests only
# 4xx or 5xx replies in a row after which a connection is closed: a faulty client repeats its request at once
MAX_CONSECUTIVE_ERRORS = 16
BACKLOG = 512  # connections in a listener's accept queue
# Accepted connections that are not handled yet. They exceed the connection limit until one is evicted or rejected.
MAX_PENDING_ACCEPTS = 8
ACCEPT_PAUSE_S = 0.1  # without accepting after the system ran out of descriptors
EXHAUSTION_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
POLL_INTERVAL_S = 0.01
HANDSHAKE_WAIT_S = 0.01  # for handshakes that began before the listener stopped accepting connection requests
# Ranks of connections that may be evicted. The lowest rank goes first, within a rank the one that is idle longest.
RANK_CLOSING, RANK_NEW, RANK_NO_JOB, RANK_REGULAR = range(4)


class Reply:
    """The reply to a request. `job`: the request submitted a job."""

    __slots__ = ("body", "fields", "job", "status")

    def __init__(self, status: int, body: bytes = b"", fields: dict[str, str] | None = None, job: bool = False) -> None:
        self.status, self.body, self.fields, self.job = status, body, fields or {}, job


RequestHandler = Callable[[Connection, Request], Awaitable[Reply | None]]
PendingReply = Callable[[Connection], Awaitable[Reply | None]]


class Server(TCPServer):
    """Accepts connections up to a limit, and closes each one when `handle_connection` returns.

    At the limit an idle connection is closed in favour of a new one. `idle` holds the connections that may be closed
    for this: as RANK_NEW, RANK_NO_JOB or RANK_REGULAR while no reply is pending, and as RANK_CLOSING while the server
    waits only for the peer to close. A connection with a pending reply is not in `idle`."""

    def __init__(self, limit: int) -> None:
        super().__init__(max_buffer_size=READ_BUFFER_BYTES)
        self.limit, self.paused = limit, False
        self.shared = False  # another process holds the same listening socket and may accept connections from it
        self._pending_accepts = 0  # connections that are accepted and not handled yet
        self._paused_listeners = set[int]()  # descriptors of listeners that pause after descriptors ran out
        self.open: set[Connection] = set()
        # connections that may be evicted: (rank, time at which they became idle)
        self.idle: dict[Connection, tuple[int, float]] = {}

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Replaces Tornado's method, which accepts up to 128 connections before the limit is checked, and thereby uses
        the descriptors of other parts. When no descriptor is left, Tornado retries in each iteration of the loop."""
        for listener in sockets:
            fd = listener.fileno()
            self._sockets[fd] = listener
            self._paused_listeners.discard(fd)
            self._handlers[fd] = partial(IOLoop.current().remove_handler, fd)
            IOLoop.current().add_handler(fd, lambda fd, _: self._accept_some(fd), IOLoop.READ)

    def _accept_some(self, fd: int) -> None:
        while self._pending_accepts < MAX_PENDING_ACCEPTS:
            try:
                if not self._accept(self._sockets[fd]):
                    return
            except OSError as error:
                if error.errno in EXHAUSTION_ERRORS:
                    self._exhausted(fd)
                    return

    def _accept(self, listener: socket.socket) -> bool:
        """Accepts one connection. Returns False if the accept queue is empty. Raises OSError, also if the connection
        was aborted while queued."""
        try:
            sock, address = listener.accept()
        except BlockingIOError:
            return False
        self._pending_accepts += 1
        IOLoop.current().spawn_callback(self.handle_stream, IOStream(sock, max_buffer_size=READ_BUFFER_BYTES), address)
        return True

    def _exhausted(self, fd: int) -> None:
        """Pauses the listener after descriptors ran out: its queue would wake the loop again at once, and starve all
        other work."""
        rate_limited_log.warning("descriptors_exhausted", server=type(self).__name__, open=len(self.open))
        self.make_room()
        loop = IOLoop.current()
        loop.remove_handler(fd)
        self._paused_listeners.add(fd)
        loop.call_later(
            ACCEPT_PAUSE_S, lambda: self.add_sockets([self._sockets[fd]]) if fd in self._paused_listeners else None
        )

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        self._pending_accepts -= 1
        stream.max_write_buffer_size = WRITE_BUFFER_BYTES
        try:
            conn = Connection(stream)
        except OSError:  # the peer has disconnected already
            stream.close()
            return
        if len(self.open) >= self.limit and not self.make_room():
            rate_limited_log.warning("connection_turned_away", server=type(self).__name__, open=len(self.open))
            conn.close_now()
            return
        self.mark_idle(conn, RANK_NEW)
        await self.run_connection(conn, self.handle_connection(conn))

    async def run_connection(self, conn: Connection, handling: Awaitable[None]) -> None:
        """Counts `conn` as open until `handling` has finished, and closes it then."""
        self.open.add(conn)
        try:
            await handling
            if not conn.stream.closed():
                self.mark_idle(conn, RANK_CLOSING)
                await conn.close_gracefully()
        except (Closed, PeerTimeout, ReadInterrupted, OSError):
            pass
        except Exception:
            log.exception("connection_broke", server=type(self).__name__)
        finally:
            self.open.discard(conn)
            self.idle.pop(conn, None)
            conn.close_now()

    async def handle_connection(self, conn: Connection) -> None:
        """Serves `conn` until it is to be closed."""
        raise NotImplementedError

    def pause(self) -> None:
        """Stops accepting, and leaves new connections to other processes that listen on the same socket."""
        self.paused = True
        self._paused_listeners.clear()
        for fd in self._sockets:
            IOLoop.current().remove_handler(fd)

    def resume(self) -> None:
        self.paused = False
        self.add_sockets(list(self._sockets.values()))

    def mark_idle(self, conn: Connection, rank: int) -> None:
        """Allows closing `conn` in favour of a new connection."""
        self.idle[conn] = rank, time.monotonic()

    def mark_busy(self, conn: Connection) -> None:
        """Protects `conn` from eviction while a reply is pending."""
        self.idle.pop(conn, None)

    def make_room(self) -> bool:
        """Closes the idle connection of the lowest rank. Returns False if there is none.

        Connections that have never sent a complete request go first: a crowd of clients that only connect must not
        evict regular clients, which keep idle connections, nor a client whose request is still unread. Within a rank,
        connections in the middle of a request go last."""

        def eviction_order(conn: Connection) -> tuple[int, bool, float]:
            rank, since = self.idle[conn]
            return rank, conn.partially_read or bool(len(conn.buffer)), since

        for conn in sorted(self.idle, key=eviction_order):
            # an empty socket alone is no proof: a read may have completed whose reader has not run yet
            if self.idle[conn][0] == RANK_CLOSING or conn.reader_blocked():
                del self.idle[conn]
                self.open.discard(conn)
                conn.close_now()
                return True
        return False

    async def close_listeners(self) -> None:
        """Stops listening without resetting clients: refuses further connection requests, waits for handshakes in
        progress, and accepts the connections in the queues. Other sockets may be added afterwards."""
        listeners = dict(self._sockets)
        self._paused_listeners.clear()
        # cleared first: if a successor fails now, its listeners must not be resumed here or handed over again
        self._sockets.clear()
        for fd in listeners:
            self._handlers.pop(fd)()
        if not self.paused:  # while paused, another process accepts from the queue
            await self._empty_queues(list(listeners.values()))
        for listener in listeners.values():
            listener.close()

    async def _empty_queues(self, listeners: list[socket.socket]) -> None:
        if not self.shared:
            for listener in listeners:
                drop_connection_requests(listener)
            await asyncio.sleep(HANDSHAKE_WAIT_S)
        for listener in listeners:
            await self._accept_queue(listener)

    async def _accept_queue(self, listener: socket.socket) -> None:
        for _ in range(BACKLOG):
            try:
                if not self._accept(listener):
                    return
            except OSError as error:
                if error.errno in EXHAUSTION_ERRORS and not self.make_room():
                    return
            while self._pending_accepts >= MAX_PENDING_ACCEPTS:  # until rejected connections have freed descriptors
                await asyncio.sleep(0)

    async def finish(self, seconds: float) -> None:
        """Closes the listeners, serves the connections accepted until then for up to `seconds`, and closes all."""
        await self.close_listeners()
        deadline = time.monotonic() + seconds
        await asyncio.sleep(POLL_INTERVAL_S)
        while self.open and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.close_all()

    def close_all(self) -> None:
        for conn in list(self.open):
            conn.close_now()


class Acceptor(Server):
    """HTTP/1.1 server that passes each request to `handler`. While `closing`, each connection ends after its reply."""

    def __init__(self, handler: RequestHandler, limit: int) -> None:
        super().__init__(limit)
        self.handler, self.closing = handler, False

    @property
    def first_request_timeout_s(self) -> float:
        """Time limit from connecting to the end of the first request."""
        return FIRST_REQUEST_TIMEOUT_S

    def adopt(
        self,
        sock: socket.socket,
        rank: int,
        data: bytes = b"",
        keep_alive: bool = True,
        pending_reply: PendingReply | None = None,
    ) -> None:
        """Continues a connection of the predecessor process. `data`: bytes that it read and did not process.
        `pending_reply`: waits for the reply to a request that it processed."""
        stream = IOStream(sock, max_buffer_size=READ_BUFFER_BYTES, max_write_buffer_size=WRITE_BUFFER_BYTES)
        conn = Connection(stream)
        conn.buffer.append(data)
        conn.keep_alive = keep_alive
        if pending_reply is None:
            self.mark_idle(conn, rank)
        IOLoop.current().spawn_callback(self.run_connection, conn, self.handle_connection(conn, rank, pending_reply))

    async def handle_connection(
        self, conn: Connection, rank: int = RANK_NEW, pending_reply: PendingReply | None = None
    ) -> None:
        consecutive_errors, since = 0, time.monotonic()
        while True:
            if pending_reply is not None:
                method, reply, pending_reply = "POST", await pending_reply(conn), None
            else:
                request = await self._next_request(conn, rank, since)
                if request is None:
                    return
                self.mark_busy(conn)
                conn.keep_alive, method = request.keep_alive, request.method
                reply = await self.handler(conn, request)
            if reply is None:
                return
            consecutive_errors = consecutive_errors + 1 if reply.status >= 400 and not reply.job else 0
            keep_alive = conn.keep_alive and not self.closing and consecutive_errors < MAX_CONSECUTIVE_ERRORS
            message = format_response(reply.status, reply.body, reply.fields, keep_alive)
            if method == "HEAD":  # a response to HEAD has a Content-Length but no body
                message = message[: len(message) - len(reply.body)]
            await send_response(conn, message)
            if not keep_alive:
                return
            rank, conn.partially_read = RANK_REGULAR if reply.job else max(rank, RANK_NO_JOB), False
            self.mark_idle(conn, rank)

    async def _next_request(self, conn: Connection, rank: int, since: float) -> Request | None:
        """Returns the next request, or None if the connection is to be closed. A client that sends nothing, or only a
        part of a request, is disconnected after a time limit, since it occupies a descriptor."""
        limit = self.first_request_timeout_s
        try:
            if rank != RANK_NEW:
                if not len(conn.buffer):
                    if self.closing and conn.has_no_input():  # nothing arrived since the last reply
                        return None
                    try:
                        await with_timeout(
                            REGULAR_IDLE_TIMEOUT_S if rank == RANK_REGULAR else NO_JOB_IDLE_TIMEOUT_S, conn.fill()
                        )
                    except (PeerTimeout, ReadInterrupted):
                        if conn.awaits_input():  # otherwise a request arrived in the same iteration of the loop
                            return None
                since, limit = time.monotonic(), REQUEST_TIMEOUT_S
            return await with_timeout(since + limit - time.monotonic(), self._read(conn))
        except ReadInterrupted:
            pass
        except BadMessage as bad:
            await self._reject(conn, bad.status, str(bad))
        except OverflowError:
            await self._reject(conn, 431, "the head is too large")
        except PeerTimeout:
            # after a long iteration of the loop the timeout can fire while the request is still unread in the socket
            if conn.drain_socket(LINGER_BYTES) or len(conn.buffer):
                await self._reject(conn, 408, "the request came too slowly", linger=0.0)
        return None

    async def _read(self, conn: Connection) -> Request:
        head = await read_head(conn)
        conn.partially_read = True
        request = parse_request(head)
        expect = request.fields.get("expect")
        if expect is not None:
            if expect.lower() != "100-continue":
                raise BadMessage(400, "an expectation that cannot be met")
            await conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.body = await read_body(conn, request.fields)
        return request

    async def _reject(self, conn: Connection, status: int, why: str, linger: float = LINGER_S) -> None:
        rate_limited_log.warning("request_turned_away", status=status, why=why)
        self.mark_idle(conn, RANK_CLOSING)
        await with_timeout(LINGER_S, conn.write(format_response(status, why.encode() + b"\n", keep_alive=False)))
        await conn.close_gracefully(linger)

    def drain(self) -> None:
        """Closes each connection after its next reply, and idle ones at once. New connections are not idle: their
        first request is expected."""
        self.closing = True
        for conn, (rank, _) in list(self.idle.items()):
            # otherwise the connection has a request that is not read yet
            if rank in (RANK_NO_JOB, RANK_REGULAR) and not conn.partially_read and conn.awaits_input():
                conn.interrupt_read()  # the reader checks for input once more and closes the connection
