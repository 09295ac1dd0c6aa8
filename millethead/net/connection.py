"""A TCP connection: Tornado's IOStream with one receive buffer per connection."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar, cast

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from millethead.net.buffer import MAX_BUFFER_BYTES, Buffer

T = TypeVar("T")
WRITE_BUFFER_BYTES = 256 << 10
MAX_READ_AHEAD_BYTES = 64 << 10  # input kept while a response is pending; what exceeds it is dropped
READ_AHEAD_PAUSE_S = 0.025  # between further reads, which are needed to notice that the peer closes
LINGER_S, LINGER_BYTES = 1.0, 256 << 10  # limits on the input that is dropped after this side has closed
Closed = StreamClosedError


class PeerTimeout(Exception):
    """The peer did not send or receive in time."""


class ReadInterrupted(Exception):
    """The wait of a reader was interrupted: it closes its connection unless input has arrived."""


async def with_timeout(seconds: float, operation: Awaitable[T]) -> T:
    """Awaits `operation`. Raises PeerTimeout after `seconds`. The caller closes the connection then, since a read that
    timed out is still in progress."""
    try:
        async with asyncio.timeout(max(0.0, seconds)):  # wait_for would create a task for each read and write
            return await operation
    except TimeoutError:
        raise PeerTimeout from None


class Connection:
    """A connection with its receive buffer. At most one read is in progress, with or without a waiting reader.

    `job`: number of the job whose answer the peer waits for, 0 for none.
    `partially_read`: a part of the current message is already consumed from the buffer.
    `keep_alive`: the connection may stay open after the response.
    `half_closed`: the sending side is closed, and further input is dropped.
    `handed_over`: another process serves the connection now."""

    __slots__ = (
        "_reads_ahead",
        "_reading",
        "_waiter",
        "buffer",
        "half_closed",
        "handed_over",
        "idle_since",
        "job",
        "keep_alive",
        "partially_read",
        "stream",
    )

    def __init__(self, stream: IOStream) -> None:
        self.stream, self.buffer = stream, Buffer()
        self.job, self.partially_read, self.keep_alive, self.half_closed, self.handed_over = (
            0,
            False,
            True,
            False,
            False,
        )
        self.idle_since = 0.0
        self._reading: asyncio.Future[int] | asyncio.Future[bytes] | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._reads_ahead = False
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
        """Reads at least one byte into the buffer. Raises Closed at the end of the stream, and ReadInterrupted after
        `interrupt_read`. If the wait is cancelled, the read stays in progress, and the caller must not use the buffer
        until it calls `fill` again."""
        if self._reading is None:
            self._await(
                cast(
                    "asyncio.Future[int]",
                    self.stream.read_into(cast(bytearray, self.buffer.free_space()), partial=True),
                )
            )
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def read_ahead(self, on: bool) -> None:
        """Turns reading without a waiting reader on or off. While it is on, the close callback runs as soon as the peer
        closes, whatever it has sent before. The buffer may be consumed meanwhile, since these reads do not write into
        it directly."""
        self._reads_ahead = on
        if on and self._reading is None and not self.stream.closed():
            self._await(
                cast(
                    "asyncio.Future[bytes]",
                    self.stream.read_bytes(MAX_BUFFER_BYTES - MAX_READ_AHEAD_BYTES, partial=True),
                )
            )

    def _await(self, reading: asyncio.Future[int] | asyncio.Future[bytes]) -> None:
        self._reading = reading
        reading.add_done_callback(self._on_read)

    def _on_read(self, reading: asyncio.Future[int] | asyncio.Future[bytes]) -> None:
        self._reading, waiter, pause = None, self._waiter, 0.0
        failed = reading.exception()
        if failed is None:
            received = reading.result()
            if isinstance(received, int):
                self.buffer.commit(received)
            elif len(self.buffer) < MAX_READ_AHEAD_BYTES:
                self.buffer.append(received)
            else:  # the peer sent too much before its response: the connection closes after this one
                self.keep_alive, pause = False, READ_AHEAD_PAUSE_S
        if waiter is None or waiter.done():
            if pause:
                IOLoop.current().call_later(pause, lambda: self.read_ahead(self._reads_ahead))
            else:
                self.read_ahead(self._reads_ahead)
        elif failed is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(failed)

    def interrupt_read(self) -> None:
        """Raises ReadInterrupted in the waiting reader, if there is one."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ReadInterrupted())

    async def read_some(self, limit: int) -> bytes:
        """Returns from 1 to `limit` bytes."""
        if not len(self.buffer):
            await self.fill()
        return self.buffer.take(limit)

    async def take(self, count: int) -> bytes:
        """Returns exactly `count` bytes. Reads them in parts, so that they may exceed the buffer."""
        parts = []
        while count:
            parts.append(await self.read_some(count))
            count -= len(parts[-1])
        return b"".join(parts)

    async def line(self, limit: int) -> bytes | None:
        """Returns a line without its CR LF, or None if it exceeds `limit` bytes or does not end with CR LF."""
        searched = 0
        while (position := self.buffer.find(b"\n", searched)) < 0:
            searched = len(self.buffer)
            if searched > limit:
                return None
            await self.fill()
        line = self.buffer.take(position + 1)
        return line[:-2] if position <= limit and line[-2:] == b"\r\n" else None

    async def write(self, data: bytes) -> None:
        """Writes all of `data`. Raises Closed if the connection breaks before the last byte is written."""
        await self.start_write(data)

    def start_write(self, data: bytes) -> Awaitable[None]:
        """Queues `data` at once, and returns an awaitable that completes when it is written."""
        return self.stream.write(data)

    def on_close(self, callback: Callable[[], None] | None) -> None:
        self.stream.set_close_callback(callback)

    def awaits_input(self) -> bool:
        """Returns whether a read is in progress and no input has arrived, neither in the buffer nor at the socket."""
        return self.stream.reading() and self.has_no_input()

    def reader_blocked(self) -> bool:
        """Returns whether the reader has processed all input and waits for more. The buffer then holds at most a part
        of a message."""
        return self._waiter is not None and not self._waiter.done() and self.stream.reading() and self._socket_empty()

    def peer_closed(self) -> bool:
        """Returns whether the peer has closed its side and all input before that is consumed."""
        return self.stream.closed() or (not len(self.buffer) and self.socket_closed())

    def has_no_input(self) -> bool:
        """Returns whether nothing has arrived since the last message was read, not even the peer's close."""
        return not len(self.buffer) and self._socket_empty()

    def _socket_empty(self) -> bool:
        """Returns whether the socket has neither unread bytes nor the peer's close."""
        if self.stream.closed():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def drain_socket(self, limit: int) -> bytes:
        """Returns the unread bytes of the socket, up to `limit`, past a read that is still in progress. Called before
        the connection is closed: closing with unread bytes sends a reset, and the peer may then lose the last
        response."""
        received = b""
        try:
            while len(received) < limit and (part := self.stream.socket.recv(limit - len(received))):
                received += part
        except (OSError, AttributeError):  # nothing left to read, or the stream is closed
            pass
        return received

    def socket_closed(self) -> bool:
        """Returns whether the peer has closed or reset the connection with no unread bytes before that."""
        try:
            return self.stream.closed() or not self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    # ---- closing -------------------------------------------------------------------------------------

    async def close_gracefully(self, seconds: float = LINGER_S, max_bytes: int = LINGER_BYTES) -> None:
        """Closes the sending side, drops input until the peer closes its side, and closes the connection. An immediate
        close with unread input would reset the connection, and the peer might lose the last response. `seconds` and
        `max_bytes` limit a peer that goes on sending. All writes must be complete."""
        deadline = time.monotonic() + seconds
        try:
            if self._half_close():
                while max_bytes > 0 and (left := deadline - time.monotonic()) > 0:
                    max_bytes -= len(self.buffer.take(len(self.buffer)))
                    await with_timeout(left, self.fill())
        except (Closed, PeerTimeout, OSError, ReadInterrupted):
            pass
        finally:
            self.close_now()

    def close_now(self) -> None:
        """Like `close_gracefully`, but drops only the input that has arrived, and does not wait for the peer."""
        try:
            if self._half_close():
                self.drain_socket(LINGER_BYTES)
        except OSError:
            pass
        self.close()

    def _half_close(self) -> bool:
        """Closes the sending side. Returns False if the connection is closed already."""
        if self.stream.closed():
            return False
        if not self.half_closed:
            self.half_closed = True
            self.stream.socket.shutdown(socket.SHUT_WR)
        return True

    def close(self) -> None:
        """Closes the descriptor at once. `close_gracefully` is for a peer that may still read or write."""
        self.stream.close()
