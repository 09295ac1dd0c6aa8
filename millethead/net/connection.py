"""A TCP connection: Tornado's IOStream with the connection's one buffer."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar, cast

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from millethead.net.buffer import MOST, Buffer

T = TypeVar("T")
WRITE_BUFFER = 256 << 10
AHEAD = 64 << 10  # bytes that are kept of what a peer sends before it has its answer
AHEAD_PAUSE = 0.025  # s from one read to the next of a peer that sends more than that: its end is still to be seen
LINGER, LINGER_BYTES = 1.0, 256 << 10  # s and bytes for a peer to close its side once this one is closed
Closed = StreamClosedError


class Late(Exception):
    """The peer took too long."""


class Interrupted(Exception):
    """The reader was asked to look up: its connection is to end if nothing has come."""


async def within(seconds: float, what: Awaitable[T]) -> T:
    """Wait so long at most; raises Late. The connection is to be closed after that: its read goes on."""
    try:
        async with asyncio.timeout(max(0.0, seconds)):  # wait_for would make a task of each read and write
            return await what
    except TimeoutError:
        raise Late from None


class Connection:
    """`job`: the number of the job whose answer it waits for, 0 for none; `midway`: what came of a message is no longer
    all in the buffer; `keeps`: its request lets it live on; `ending`: this side is closed, and what still comes is
    dropped unread; `handed`: another process has it now.

    One read at most is under way, whether somebody waits for it or not."""

    __slots__ = (
        "_ahead",
        "_reading",
        "_waiter",
        "buffer",
        "ending",
        "handed",
        "idle_since",
        "job",
        "keeps",
        "midway",
        "stream",
    )

    def __init__(self, stream: IOStream) -> None:
        self.stream, self.buffer = stream, Buffer()
        self.job, self.midway, self.keeps, self.ending, self.handed = 0, False, True, False, False
        self.idle_since = 0.0
        self._reading: asyncio.Future[int] | asyncio.Future[bytes] | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._ahead = False
        stream.set_nodelay(True)

    @property
    def peer(self) -> tuple[str, int] | None:
        try:
            host, port, *_ = self.stream.socket.getpeername()
        except (OSError, AttributeError):  # Tornado drops the socket of a closed stream
            return None
        return str(host), int(port)

    # ---- reading -------------------------------------------------------------------------------------

    async def fill(self) -> None:
        """Read at least one byte; raises Closed at the end of the stream, Interrupted if somebody wants it to end. A
        reader that gives up waiting leaves the read under way, and the buffer alone until it reads again."""
        if self._reading is None:
            self._await(
                cast("asyncio.Future[int]", self.stream.read_into(cast(bytearray, self.buffer.room()), partial=True))
            )
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def read_ahead(self, on: bool) -> None:
        """Read on while nobody waits, from now on or no longer; the close callback is then called as soon as the
        peer has closed, however much it sent before. Readers may take from the buffer meanwhile: the bytes lie beside
        it until they have come."""
        self._ahead = on
        if on and self._reading is None and not self.stream.closed():
            self._await(cast("asyncio.Future[bytes]", self.stream.read_bytes(MOST - AHEAD, partial=True)))

    def _await(self, reading: asyncio.Future[int] | asyncio.Future[bytes]) -> None:
        self._reading = reading
        reading.add_done_callback(self._came)

    def _came(self, reading: asyncio.Future[int] | asyncio.Future[bytes]) -> None:
        self._reading, waiter, pause = None, self._waiter, 0.0
        failed = reading.exception()
        if failed is None:
            came = reading.result()
            if isinstance(came, int):
                self.buffer.filled(came)
            elif len(self.buffer) < AHEAD:
                self.buffer.put(came)
            else:  # who sends so much before its answer gets this one, and no other
                self.keeps, pause = False, AHEAD_PAUSE
        if waiter is None or waiter.done():
            if pause:
                IOLoop.current().call_later(pause, lambda: self.read_ahead(self._ahead))
            else:
                self.read_ahead(self._ahead)
        elif failed is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(failed)

    def interrupt(self) -> None:
        """Have its reader look up."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(Interrupted())

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
        """Whether a read is under way and nothing has come for it, neither into the buffer nor to the socket."""
        return self.stream.reading() and self.quiet()

    def wants_more(self) -> bool:
        """Whether its reader has looked at all that came and waits: what lies in the buffer is a part of a message."""
        return self._waiter is not None and not self._waiter.done() and self.stream.reading() and self._socket_empty()

    def gone(self) -> bool:
        """Whether the peer has closed its side with nothing unread before that."""
        return self.stream.closed() or (not len(self.buffer) and self.broken())

    def quiet(self) -> bool:
        """Whether nothing has come, not even the peer's close, since the last message was read."""
        return not len(self.buffer) and self._socket_empty()

    def _socket_empty(self) -> bool:
        """Whether nothing stands at the socket, neither bytes nor the peer's close."""
        if self.stream.closed():
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

    # ---- the end -------------------------------------------------------------------------------------

    async def end(self, seconds: float = LINGER, most: int = LINGER_BYTES) -> None:
        """Close this side, drop what still comes until the peer has closed its own, and close: at once, over bytes not
        read, the system would reset the connection, and what was last written might go with it. A peer that goes on
        gets so many seconds and bytes. All that was written must have gone."""
        until = time.monotonic() + seconds
        try:
            if self._half_close():
                while most > 0 and (left := until - time.monotonic()) > 0:
                    most -= len(self.buffer.take(len(self.buffer)))
                    await within(left, self.fill())
        except (Closed, Late, OSError, Interrupted):
            pass
        finally:
            self.end_now()

    def end_now(self) -> None:
        """The same without waiting for the peer: only what stands at the socket is dropped."""
        try:
            if self._half_close():
                self.swallow(LINGER_BYTES)
        except OSError:
            pass
        self.close()

    def _half_close(self) -> bool:
        """From here on nothing is written, nor read to be used; False if the connection is closed already."""
        if self.stream.closed():
            return False
        if not self.ending:
            self.ending = True
            self.stream.socket.shutdown(socket.SHUT_WR)
        return True

    def close(self) -> None:
        """Give the descriptor up; `end` is for a peer that may still read or write."""
        self.stream.close()
