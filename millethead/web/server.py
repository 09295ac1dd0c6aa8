"""HTTP/1.1 server for a bottle application, based on the connection handling of `net.accept`. Each connection handles
one request at a time; a handler responds at once or completes a deferred response later."""

from __future__ import annotations

import asyncio
import errno
import socket
import time

import bottle  # type: ignore[import-untyped]
import structlog
from tornado.iostream import IOStream

from millethead.logs import RateLimitedLog
from millethead.net.accept import BACKLOG, RANK_CLOSING, RANK_NEW, RANK_REGULAR, Server
from millethead.net.connection import Connection, PeerTimeout, ReadInterrupted, with_timeout
from millethead.net.parse import BadMessage, Request
from millethead.net.response import WRITE_TIMEOUT_S
from millethead.web.dispatch import dispatch, internal_error, request_body
from millethead.web.limits import HttpLimits
from millethead.web.request_reader import read_request
from millethead.web.responses import DeferredResponse, Response, error_response, json_response, serialize_response

__all__ = [
    "DeferredResponse",
    "HttpLimits",
    "HttpServer",
    "Response",
    "error_response",
    "json_response",
    "request_body",
]

log = structlog.get_logger()
rate_limited_log = RateLimitedLog()
BIND_RETRY_S = 0.1  # pause between two attempts to bind a port that is in use
BIND_TIMEOUT_S = 10.0  # how long to wait for a previous process to release the port
FIRST_REQUEST_GRACE_S = 1.0  # during a drain, for connections that have not sent a request yet
WRITE_CHUNK_BYTES = 64 << 10  # larger responses are written in chunks of this size


class HttpServer:
    """Serves `app` on one or more addresses. All methods must be called on the loop's thread."""

    def __init__(self, app: bottle.Bottle, limits: HttpLimits) -> None:
        self._connections = _Connections(app, limits)

    @property
    def limits(self) -> HttpLimits:
        """The current limits. Assign a new object to change them."""
        return self._connections.limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._connections.limits = limits
        self._connections.limit = limits.max_connections

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections.open)

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections at `host`, an IP address. Retries a port that is in use for BIND_TIMEOUT_S;
        raises OSError after that, and at once for any other failure."""
        until = time.monotonic() + BIND_TIMEOUT_S
        while True:
            try:
                listener = socket.create_server((host, port), backlog=BACKLOG)
                break
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() >= until:
                    raise
            await asyncio.sleep(BIND_RETRY_S)
        listener.setblocking(False)
        self._connections.add_sockets([listener])

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses that the server listens on."""
        return self._connections.addresses

    async def stop_listening(self) -> None:
        """Stops accepting connections. Those already in the accept queue are served."""
        await self._connections.close_listeners()

    async def drain(self, timeout_s: float) -> None:
        """Stops listening, responds to every request that has started, and closes each connection after its last
        response, idle ones at once. Returns when no connection is left; after `timeout_s` it closes the remaining ones.
        """
        await self._connections.drain(timeout_s)


class _Connections(Server):
    """The connections of a server, from accept to close. Overrides the hooks of `net.accept.Server`."""

    def __init__(self, app: bottle.Bottle, limits: HttpLimits) -> None:
        super().__init__(limits.max_connections)
        self.app, self.limits = app, limits
        self.closing = False
        self._no_connections = asyncio.Event()  # set when the last connection closes

    @property
    def addresses(self) -> list[tuple[str, int]]:
        return [listener.getsockname()[:2] for listener in self._sockets.values()]

    # ---- drain ---------------------------------------------------------------------------------------

    async def drain(self, timeout_s: float) -> None:
        self.closing = True
        await self.close_listeners()
        self._interrupt(fresh=False)
        await self._wait_until_empty(min(timeout_s, FIRST_REQUEST_GRACE_S))
        self._interrupt(fresh=True)
        await self._wait_until_empty(timeout_s - FIRST_REQUEST_GRACE_S)
        self.close_all()

    def _interrupt(self, fresh: bool) -> None:
        """Closes the connections that have received nothing since their last response. `fresh`: also those that have
        not sent a request yet."""
        for conn, (rank, _) in list(self.idle.items()):
            if (
                (rank == RANK_REGULAR or (fresh and rank == RANK_NEW))
                and not conn.partially_read
                and conn.awaits_input()
            ):
                conn.interrupt_read()

    async def _wait_until_empty(self, seconds: float) -> None:
        """Waits until no connection is left, but no longer than `seconds`."""
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                while self.open or self._pending_accepts:
                    self._no_connections.clear()
                    await self._no_connections.wait()
        except TimeoutError:
            pass

    # ---- one connection ------------------------------------------------------------------------------

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        try:
            await super().handle_stream(stream, address)
        finally:
            if not self.open:
                self._no_connections.set()

    async def handle_connection(self, conn: Connection) -> None:
        fresh = True
        while (request := await self._next_request(conn, fresh)) is not None:
            self.mark_busy(conn)
            conn.keep_alive = request.keep_alive
            try:
                result = dispatch(self.app, request)
            except BadMessage as bad:
                await self._reject(conn, bad)
                return
            response = result if isinstance(result, Response) else await self._wait_for_deferred(conn, result)
            if response is None:
                return
            if not await self._send(conn, request, response):
                return
            conn.partially_read, fresh = False, False
            self.mark_idle(conn, RANK_REGULAR)

    async def _next_request(self, conn: Connection, fresh: bool) -> Request | None:
        """Reads the next request; returns None if the connection is to be closed."""
        try:
            if not len(conn.buffer) and not await self._first_byte(conn, fresh):
                return None
            return await read_request(conn, self.limits)
        except BadMessage as bad:
            await self._reject(conn, bad)
        except ReadInterrupted:
            pass
        return None

    async def _first_byte(self, conn: Connection, fresh: bool) -> bool:
        """Whether a request starts before the idle time-out of the connection."""
        if self.closing and not fresh and conn.has_no_input():
            return False
        try:
            await with_timeout(self.limits.idle_timeout_s, conn.fill())
        except (PeerTimeout, ReadInterrupted):
            return not conn.awaits_input()  # bytes in the socket arrived in time, the loop was only late to read them
        return True

    async def _reject(self, conn: Connection, bad: BadMessage) -> None:
        """Responds to an invalid request with an error, after which the connection is closed."""
        rate_limited_log.warning("request_turned_away", status=bad.status, why=str(bad))
        self.mark_idle(conn, RANK_CLOSING)
        await _write(conn, serialize_response(error_response(bad.status, str(bad)), keep_alive=False, head_only=False))

    async def _wait_for_deferred(self, conn: Connection, deferred: DeferredResponse) -> Response | None:
        """Waits for a deferred response; returns None if the client disconnects first."""
        if not deferred.done:
            settled = asyncio.get_running_loop().create_future()
            deferred.when_settled(lambda: settled.set_result(None))
            conn.on_close(deferred.client_disconnected)
            conn.read_ahead(True)
            if conn.stream.closed():
                deferred.client_disconnected()
            await settled
            conn.on_close(None)
            conn.read_ahead(False)
        return deferred.response

    async def _send(self, conn: Connection, request: Request, response: Response) -> bool:
        """Sends the response. Returns whether the connection stays open; during a drain, only if more requests are
        buffered."""
        keep_alive = conn.keep_alive and not (self.closing and conn.has_no_input())
        head_only = request.method == "HEAD"
        try:
            message = serialize_response(response, keep_alive, head_only)
        except (ValueError, TypeError):
            message = serialize_response(internal_error(request), keep_alive, head_only)
        await _write(conn, message)
        return keep_alive


async def _write(conn: Connection, message: bytes) -> None:
    """Writes the whole message. Raises PeerTimeout if the client does not read it, and Closed if the client has
    disconnected."""
    if len(message) > WRITE_CHUNK_BYTES:
        await with_timeout(WRITE_TIMEOUT_S, _write_chunks(conn, message))
        return
    written = conn.start_write(message)
    if isinstance(written, asyncio.Future) and written.done():  # the usual case: no timer is needed
        written.result()
    else:
        await with_timeout(WRITE_TIMEOUT_S, written)


async def _write_chunks(conn: Connection, message: bytes) -> None:
    for start in range(0, len(message), WRITE_CHUNK_BYTES):
        await conn.write(message[start : start + WRITE_CHUNK_BYTES])
