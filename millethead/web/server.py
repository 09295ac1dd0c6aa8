"""An HTTP/1.1 server for a bottle application: the connections of `net.accept`, requests handled one at a time on
each, answers at once or when a deferred one is completed."""

from __future__ import annotations

import asyncio
import errno
import socket
import time

import bottle  # type: ignore[import-untyped]
import structlog
from tornado.iostream import IOStream

from millethead.logs import Sparing
from millethead.net.accept import BACKLOG, FRESH, LEAVING, USUAL, Server
from millethead.net.answer import WRITE_TIME
from millethead.net.connection import Connection, Interrupted, Late, within
from millethead.net.parse import BadMessage, Request
from millethead.web.answers import Answer, Deferred, error_answer, format_answer, json_answer
from millethead.web.dispatch import dispatch, internal_error, request_body
from millethead.web.limits import HttpLimits
from millethead.web.reading import read_request

__all__ = ["Answer", "Deferred", "HttpLimits", "HttpServer", "error_answer", "json_answer", "request_body"]

log = structlog.get_logger()
sparing_log = Sparing()
BIND_RETRY_S = 0.1  # between two tries to bind a port that is taken
BIND_PATIENCE_S = 10.0  # how long a predecessor's port may stay taken
FIRST_REQUEST_GRACE_S = 1.0  # during a drain, for connections that have not yet brought a request
WRITE_PIECE = 64 << 10  # bytes handed to a connection at once


class HttpServer:
    """Serves `app` on every address it listens on. All calls belong on the loop's thread."""

    def __init__(self, app: bottle.Bottle, limits: HttpLimits) -> None:
        self._connections = _Connections(app, limits)

    @property
    def limits(self) -> HttpLimits:
        """The limits in force; replace them as a whole."""
        return self._connections.limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._connections.limits = limits
        self._connections.limit = limits.max_connections

    @property
    def open_connections(self) -> int:
        """Connections that are open at this moment."""
        return len(self._connections.open)

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at `host`, an IP number. A port that is taken is tried for BIND_PATIENCE_S; raises OSError
        after that, and at once for any other failure."""
        until = time.monotonic() + BIND_PATIENCE_S
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
        """Where it listens."""
        return self._connections.addresses

    async def stop_listening(self) -> None:
        """Take no further connections; those that stand in the queue are served."""
        await self._connections.close_listeners()

    async def drain(self, timeout_s: float) -> None:
        """Stop listening, answer every request that has begun, close each connection with its last answer, and idle
        ones at once. Returns when no connection is left; after `timeout_s` the rest are cut."""
        await self._connections.drain(timeout_s)


class _Connections(Server):
    """The connections of a server, from accept to close."""

    def __init__(self, app: bottle.Bottle, limits: HttpLimits) -> None:
        super().__init__(limits.max_connections)
        self.app, self.limits = app, limits
        self.closing = False
        self._left = asyncio.Event()  # set whenever the last connection has gone

    @property
    def addresses(self) -> list[tuple[str, int]]:
        return [listener.getsockname()[:2] for listener in self._sockets.values()]

    # ---- the end -------------------------------------------------------------------------------------

    async def drain(self, timeout_s: float) -> None:
        self.closing = True
        await self.close_listeners()
        self._interrupt(fresh=False)
        await self._empty(min(timeout_s, FIRST_REQUEST_GRACE_S))
        self._interrupt(fresh=True)
        await self._empty(timeout_s - FIRST_REQUEST_GRACE_S)
        self.close_all()

    def _interrupt(self, fresh: bool) -> None:
        """End the connections on which nothing has come since their last answer; `fresh`: also those that have not
        yet asked anything."""
        for conn, (rank, _) in list(self.idle.items()):
            if (rank == USUAL or (fresh and rank == FRESH)) and not conn.midway and conn.unheard():
                conn.interrupt()

    async def _empty(self, seconds: float) -> None:
        """Wait until no connection is left, so long at most."""
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                while self.open or self._coming:
                    self._left.clear()
                    await self._left.wait()
        except TimeoutError:
            pass

    # ---- one connection ------------------------------------------------------------------------------

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        try:
            await super().handle_stream(stream, address)
        finally:
            if not self.open:
                self._left.set()

    async def talk(self, conn: Connection) -> None:
        fresh = True
        while (request := await self._next_request(conn, fresh)) is not None:
            self.work(conn)
            conn.keeps = request.keep
            try:
                result = dispatch(self.app, request)
            except BadMessage as bad:
                await self._turn_away(conn, bad)
                return
            answer = result if isinstance(result, Answer) else await self._settled(conn, result)
            if answer is None:
                return
            if not await self._send(conn, request, answer):
                return
            conn.midway, fresh = False, False
            self.rest(conn, USUAL)

    async def _next_request(self, conn: Connection, fresh: bool) -> Request | None:
        """The next request; None when the connection is done with."""
        try:
            if not len(conn.buffer) and not await self._first_byte(conn, fresh):
                return None
            return await read_request(conn, self.limits)
        except BadMessage as bad:
            await self._turn_away(conn, bad)
        except Interrupted:
            pass
        return None

    async def _first_byte(self, conn: Connection, fresh: bool) -> bool:
        """Whether a request begins before the connection's idle time is over."""
        if self.closing and not fresh and conn.quiet():
            return False
        try:
            await within(self.limits.idle_timeout_s, conn.fill())
        except (Late, Interrupted):
            return not conn.unheard()  # what stands at the socket came in time: the loop was busy elsewhere
        return True

    async def _turn_away(self, conn: Connection, bad: BadMessage) -> None:
        """Answer what cannot be served; the connection ends then."""
        sparing_log.warning("request_turned_away", status=bad.status, why=str(bad))
        self.rest(conn, LEAVING)
        await _write(conn, format_answer(error_answer(bad.status, str(bad)), keep=False, head_only=False))

    async def _settled(self, conn: Connection, deferred: Deferred) -> Answer | None:
        """The deferred answer once it is there; None if the client leaves before that."""
        if not deferred.done:
            settled = asyncio.get_running_loop().create_future()
            deferred.when_settled(lambda: settled.set_result(None))
            conn.on_close(deferred.client_left)
            conn.read_ahead(True)
            if conn.stream.closed():
                deferred.client_left()
            await settled
            conn.on_close(None)
            conn.read_ahead(False)
        return deferred.answer

    async def _send(self, conn: Connection, request: Request, answer: Answer) -> bool:
        """Send the answer; whether the connection lives on. In a drain it lives while further requests have come."""
        keep = conn.keeps and not (self.closing and conn.quiet())
        head_only = request.method == "HEAD"
        try:
            message = format_answer(answer, keep, head_only)
        except (ValueError, TypeError):
            message = format_answer(internal_error(request), keep, head_only)
        await _write(conn, message)
        return keep


async def _write(conn: Connection, message: bytes) -> None:
    """Write all of it; raises Late for a client that does not read, Closed for one that has left."""
    if len(message) > WRITE_PIECE:
        await within(WRITE_TIME, _write_pieces(conn, message))
        return
    written = conn.begin(message)
    if isinstance(written, asyncio.Future) and written.done():  # the usual case: no timer is needed
        written.result()
    else:
        await within(WRITE_TIME, written)


async def _write_pieces(conn: Connection, message: bytes) -> None:
    for start in range(0, len(message), WRITE_PIECE):
        await conn.write(message[start : start + WRITE_PIECE])
