"""Framed connections between processes. Each frame on the TCP stream is a length followed by a tagged record.

Records sent in one iteration of the event loop are written in one system call. A connection whose peer does not read is
closed once too many bytes are queued, so that memory use stays bounded. If a server limits the work of one loop
iteration, the remaining frames wait for the next one, and reading from a peer that keeps sending is paused meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import structlog

from millethead.rpc.codec import CodecError, Record, decode_any, encode_any
from millethead.rpc.loop_budget import IterationBudget

log = structlog.get_logger()

MAX_FIRST_FRAME_BYTES = 16 << 10  # frame size limit on accepted connections, until the peer is identified
MAX_FRAME_BYTES = 48 << 20  # frame size limit on connections that this process opened
MAX_PARTIAL_INPUT_BYTES = 64 << 20  # incomplete frames on all connections of a server together
FIRST_RECORD_TIMEOUT_S = 10.0  # an accepted connection is dropped if no record arrives within this time
MAX_DEFERRED_INPUT_BYTES = 64 << 10  # reading is paused above this size while frames wait for a later iteration
MAX_QUEUED_OUTPUT_BYTES = 64 << 20  # unsent bytes to one peer
USER_TIMEOUT_MS = 4000  # the kernel closes a connection whose sent bytes stay unacknowledged this long
KEEPALIVE_S, KEEPALIVE_PROBES = 2, 2  # interval and number of the probes that detect a dead peer of an idle connection
_FRAME = struct.Struct(">I")


class InputBudget:
    """Limits the bytes of incomplete frames that all connections of a server buffer together."""

    def __init__(self, max_bytes: int = MAX_PARTIAL_INPUT_BYTES) -> None:
        self.max_bytes, self.used_bytes = max_bytes, 0

    def adjust(self, change: int) -> bool:
        """Adds `change` bytes, which may be negative. Returns False if this is an increase beyond the limit."""
        self.used_bytes += change
        return change <= 0 or self.used_bytes <= self.max_bytes


class Connection(asyncio.Protocol):
    """One end of a framed connection. The callbacks `received`, `closed` and `opened` are called on the loop.

    `input_budget` is given for accepted connections and shared by all connections of a server. Their peers are
    unidentified at first, so `max_frame_bytes` starts low, and the receiver raises it once it has identified the peer.
    `loop_budget`, also shared, limits the work of one loop iteration; connections marked `urgent` are exempt.
    """

    def __init__(
        self,
        received: Callable[[Connection, Record], None],
        closed: Callable[[Connection], None],
        opened: Callable[[Connection], None] | None = None,
        input_budget: InputBudget | None = None,
        loop_budget: IterationBudget | None = None,
    ) -> None:
        self._received, self._closed, self._opened = received, closed, opened
        self.max_frame_bytes = MAX_FRAME_BYTES if input_budget is None else MAX_FIRST_FRAME_BYTES
        self._input_budget, self._budgeted_bytes = input_budget or InputBudget(), 0
        self._first_record_timer: asyncio.TimerHandle | None = None
        self._accepted = input_budget is not None
        self._loop_budget, self.urgent = loop_budget, False
        self._deferred = False
        self._transport: asyncio.Transport | None = None
        self._input = bytearray()
        self._output: list[bytes] = []
        self._flushing = False
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_QUEUED_OUTPUT_BYTES)
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        if self._accepted:
            self._first_record_timer = asyncio.get_running_loop().call_later(
                FIRST_RECORD_TIMEOUT_S, self._drop, "no_hello"
            )
        if self._opened is not None:
            self._opened(self)

    def data_received(self, data: bytes) -> None:
        self._input += data
        if not self._deferred:
            self._handle_frames()
        elif self._transport is not None and len(self._input) > MAX_DEFERRED_INPUT_BYTES:
            self._transport.pause_reading()
        if self._transport is not None and not self._set_budgeted(len(self._input)):
            self._drop("too_much_unfinished_input")

    def _resume(self) -> None:
        """Handles deferred frames in a later iteration of the loop."""
        self._deferred = False
        if self._transport is None:
            return
        self._transport.resume_reading()
        self._handle_frames()
        if self._transport is not None:
            self._set_budgeted(len(self._input))

    def _must_defer(self) -> bool:
        """Whether the next frame has to wait for a later iteration; if so, schedules `_resume`."""
        if self._loop_budget is None or self.urgent or not self._loop_budget.exhausted:
            return False
        self._deferred = True
        self._loop_budget.defer(self._resume)
        return True

    def _set_budgeted(self, size: int) -> bool:
        """Accounts for `size` bytes of buffered input; returns False if that exceeds the server's limit."""
        change, self._budgeted_bytes = size - self._budgeted_bytes, size
        return self._input_budget.adjust(change)

    def _cancel_first_record_timer(self) -> None:
        if self._first_record_timer is not None:
            self._first_record_timer.cancel()
            self._first_record_timer = None

    def _handle_frames(self) -> None:
        at, size = 0, len(self._input)
        while size - at >= _FRAME.size:
            length = _FRAME.unpack_from(self._input, at)[0]
            if length > self.max_frame_bytes:
                self._drop("frame_too_large")
                return
            if size - at - _FRAME.size < length or self._must_defer():
                break
            start = at + _FRAME.size
            at = start + length
            try:
                record = decode_any(bytes(self._input[start:at]))
                self._cancel_first_record_timer()
                self._received(self, record)  # may raise CodecError too, for an invalid nested record
            except CodecError as error:
                self._drop(str(error))
                return
            if self._transport is None:
                return
        del self._input[:at]

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._transport = None
            self._release_input()
            self._closed(self)

    def _release_input(self) -> None:
        """Frees what is kept for receiving; nothing more is received afterwards."""
        self._cancel_first_record_timer()
        self._input.clear()
        self._set_budgeted(0)

    def _drop(self, cause: str) -> None:
        log.warning("connection_dropped", peer=self.peer, cause=cause)
        self.close()

    @property
    def open(self) -> bool:
        return self._transport is not None

    def send(self, record: Record) -> None:
        """Queues a record; does nothing on a closed connection."""
        self.send_encoded(encode_any(record))

    def send_encoded(self, data: bytes) -> None:
        """Queues a record that is already encoded with its tag; does nothing on a closed connection."""
        if self._transport is None:
            return
        self._output.append(_FRAME.pack(len(data)))
        self._output.append(data)
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self._transport is None:
            return
        self._transport.write(b"".join(self._output))
        self._output.clear()
        if self._transport.get_write_buffer_size() > MAX_QUEUED_OUTPUT_BYTES:
            self._drop("peer_does_not_read")

    def close(self) -> None:
        """Writes what is queued and closes the connection. Calls `closed` once; nothing more is received."""
        transport, self._transport = self._transport, None
        if transport is not None:
            if self._output:
                transport.write(b"".join(self._output))
                self._output.clear()
            transport.close()
            self._release_input()
            self._closed(self)


async def connect(
    address: str, received: Callable[[Connection, Record], None], closed: Callable[[Connection], None], timeout_s: float
) -> Connection:
    """Opens a connection to `address` (host:port). Raises OSError on failure and after `timeout_s`."""
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(lambda: Connection(received, closed), host, int(port))
    except TimeoutError:
        raise OSError(f"{address}: no answer in {timeout_s:g} s") from None
    return connection
