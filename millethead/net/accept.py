"""Client side: connections in, requests read one at a time, each given to the front and answered."""

from __future__ import annotations

import socket
import time
from collections.abc import Awaitable, Callable

import structlog
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from millethead.net.answer import format_answer, send_answer
from millethead.net.connection import WRITE_BUFFER, Closed, Connection, Late, within
from millethead.net.parse import BadMessage, Request, parse_request, read_body, read_head
from millethead.net.pool import READ_BUFFER

log = structlog.get_logger()
IDLE_TIME = 120.0  # s between requests
READ_TIME = 10.0  # s for a request from its first byte to its last
LINGER = 1.0  # s to let a peer read why it was turned away


class Reply:
    """What the front answers."""

    __slots__ = ("body", "fields", "keep", "status")

    def __init__(self, status: int, body: bytes = b"", fields: dict[str, str] | None = None) -> None:
        self.status, self.body, self.fields, self.keep = status, body, fields or {}, True


Front = Callable[[Connection, Request], Awaitable[Reply | None]]


class Server(TCPServer):
    """Takes connections up to a limit, and ends each when `talk` returns."""

    def __init__(self, limit: int) -> None:
        super().__init__(max_buffer_size=READ_BUFFER)
        self.limit = limit
        self.open: set[Connection] = set()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        stream.max_write_buffer_size = WRITE_BUFFER
        try:
            conn = Connection(stream)
        except OSError:  # the peer is gone already
            stream.close()
            return
        if len(self.open) >= self.limit and not self.make_room():
            log.warning("connection_turned_away", server=type(self).__name__, open=len(self.open))
            conn.close()
            return
        self.open.add(conn)
        try:
            await self.talk(conn)
        except (Closed, Late, OSError):
            pass
        except Exception:
            log.exception("connection_broke", server=type(self).__name__)
        finally:
            self.open.discard(conn)
            conn.close()

    async def talk(self, conn: Connection) -> None:
        raise NotImplementedError

    def make_room(self) -> bool:
        """Close a connection that nobody will miss; False if there is none."""
        return False

    def close_all(self) -> None:
        for conn in list(self.open):
            conn.close()


class Acceptor(Server):
    def __init__(self, front: Front, limit: int) -> None:
        super().__init__(limit)
        self.front, self.closing = front, False
        self._idle: dict[Connection, float] = {}

    async def talk(self, conn: Connection) -> None:
        while await self._serve(conn):
            pass

    async def _serve(self, conn: Connection) -> bool:
        """One request; False when the connection is done with."""
        if not len(conn.buffer):
            self._idle[conn] = time.monotonic()
            try:
                await within(IDLE_TIME, conn.fill())
            finally:
                self._idle.pop(conn, None)
        try:
            request = await within(READ_TIME, self._read(conn))
        except BadMessage as bad:
            await self._turn_away(conn, bad.status, str(bad))
            return False
        except OverflowError:
            await self._turn_away(conn, 431, "the head is too large")
            return False
        except Late:
            await self._turn_away(conn, 408, "the request came too slowly")
            return False
        reply = await self.front(conn, request)
        if reply is None:
            return False
        keep = request.keep and reply.keep and not self.closing
        message = format_answer(reply.status, reply.body, reply.fields, keep)
        if request.method == "HEAD":  # its answer has no body, whatever length it tells
            message = message[:len(message) - len(reply.body)]
        await send_answer(conn, message)
        return keep

    async def _read(self, conn: Connection) -> Request:
        request = parse_request(await read_head(conn))
        expect = request.fields.get("expect")
        if expect is not None:
            if expect.lower() != "100-continue":
                raise BadMessage(400, "an expectation that cannot be met")
            await conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.body = await read_body(conn, request.fields)
        return request

    async def _turn_away(self, conn: Connection, status: int, why: str) -> None:
        log.warning("request_turned_away", status=status, why=why)
        # closing at once, with bytes unread, would reset the connection before the peer has read the answer
        await within(LINGER, conn.write(format_answer(status, why.encode() + b"\n", keep=False)))
        try:
            conn.stream.socket.shutdown(socket.SHUT_WR)
            until = time.monotonic() + LINGER
            while (left := until - time.monotonic()) > 0:
                conn.buffer.take(len(conn.buffer))
                await within(left, conn.fill())
        except (Closed, Late, OSError):
            pass

    def make_room(self) -> bool:
        """Close the connection that has stood idle longest: between requests that harms nobody."""
        if not self._idle:
            return False
        min(self._idle, key=self._idle.__getitem__).close()
        return True

    def drain(self) -> None:
        """From now on connections end with their answer, and those that stand idle at once."""
        self.closing = True
        for conn in list(self._idle):
            conn.close()
