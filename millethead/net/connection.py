"""A TCP connection: Tornado's IOStream with the connection's one buffer."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar, cast

from tornado.iostream import IOStream, StreamClosedError

from millethead.net.buffer import Buffer

T = TypeVar("T")
WRITE_BUFFER = 256 << 10
Closed = StreamClosedError


class Late(Exception):
    """The peer took too long."""


async def within(seconds: float, what: Awaitable[T]) -> T:
    """Wait so long at most; raises Late. The connection is to be closed after that: its read goes on."""
    try:
        async with asyncio.timeout(max(0.0, seconds)):  # wait_for would make a task of each read and write
            return await what
    except TimeoutError:
        raise Late from None


class Connection:
    """`job`: the number of the job whose answer it waits for, 0 for none; `midway`: what came of a message is no longer
    all in the buffer; `keeps`: its request lets it live on."""

    __slots__ = ("buffer", "idle_since", "job", "keeps", "midway", "stream")

    def __init__(self, stream: IOStream) -> None:
        self.stream, self.buffer = stream, Buffer()
        self.job, self.midway, self.keeps = 0, False, True
        self.idle_since = 0.0
        stream.set_nodelay(True)

    @property
    def peer(self) -> tuple[str, int] | None:
        try:
            host, port, *_ = self.stream.socket.getpeername()
        except (OSError, AttributeError):  # Tornado drops the socket of a closed stream
            return None
        return str(host), int(port)

    async def fill(self) -> None:
        """Read at least one byte; raises Closed at the end of the stream."""
        room = cast(bytearray, self.buffer.room())
        read = cast("asyncio.Future[int]", self.stream.read_into(room, partial=True))
        try:
            self.buffer.filled(await read)
        except asyncio.CancelledError:  # its time was over in the turn of the loop that read: the bytes have come
            if read.done() and not read.cancelled() and read.exception() is None:
                self.buffer.filled(read.result())
            raise

    async def some(self, most: int) -> bytes:
        """At least one byte, and `most` at the most."""
        if not len(self.buffer):
            await self.fill()
        return self.buffer.take(most)

    async def take(self, count: int) -> bytes:
        """Exactly `count` bytes, in pieces, so that the buffer need not hold them all."""
        parts = []
        while count:
            parts.append(await self.some(count))
            count -= len(parts[-1])
        return b"".join(parts)

    async def line(self, limit: int) -> bytes | None:
        """A line without its CR LF; None if it is longer than `limit` or ends otherwise."""
        seen = 0
        while (at := self.buffer.find(b"\n", seen)) < 0:
            seen = len(self.buffer)
            if seen > limit:
                return None
            await self.fill()
        line = self.buffer.take(at + 1)
        return line[:-2] if at <= limit and line[-2:] == b"\r\n" else None

    async def write(self, data: bytes) -> None:
        """Write all; raises Closed if the connection breaks before the last byte is written."""
        await self.begin(data)

    def begin(self, data: bytes) -> Awaitable[None]:
        """Like `write`, but the bytes have their place in the order of writes at once."""
        return self.stream.write(data)

    def on_close(self, call: Callable[[], None] | None) -> None:
        self.stream.set_close_callback(call)

    def unheard(self) -> bool:
        """Whether its reader waits and nothing has come for it, neither into the buffer nor to the socket."""
        return self.stream.reading() and self.quiet()

    def quiet(self) -> bool:
        """Whether nothing has come, not even the peer's close, since the last message was read."""
        if self.stream.closed() or len(self.buffer):
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def swallow(self, most: int) -> bytes:
        """What stands unread at the socket, up to `most` bytes, past a read that is still under way: the connection is
        to be closed next, and one closed with bytes unread is reset before the peer has read its last answer."""
        said = b""
        try:
            while len(said) < most and (part := self.stream.socket.recv(most - len(said))):
                said += part
        except (OSError, AttributeError):  # nothing more stands there, or it is closed
            pass
        return said

    def broken(self) -> bool:
        """Whether the peer has closed or reset the connection; bytes that came are no sign of that."""
        try:
            return self.stream.closed() or not self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        self.stream.close()
