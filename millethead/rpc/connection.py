"""Framed connections between programs: a length and a tagged record a frame, over one TCP stream.

Writes are queued and leave in one system call a turn of the loop. A peer that does not read is closed once the queue
passes its bound, so that memory stays bounded. Where a server bounds the work of a turn, frames that are left wait for
the next one, and a peer that sends more meanwhile is not read from.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import structlog

from millethead.rpc.codec import CodecError, Record, decode_any, encode_any
from millethead.rpc.turns import TurnSlices

log = structlog.get_logger()

STRANGER_FRAME = 16 << 10  # bytes of the first frame of whoever connects
MOST_FRAME = 48 << 20  # bytes of one frame of a peer that was connected to
MOST_HELD = 64 << 20  # bytes of frames that are not whole yet, of all connections of a server together
HELLO_S = 10.0  # a peer that has said nothing by then is dropped
MOST_AHEAD = 64 << 10  # bytes that are read from a peer whose frames wait for their turn
MOST_QUEUED = 64 << 20  # bytes that wait to be written to one peer
USER_TIMEOUT_MS = 4000  # unacknowledged bytes end a connection after this time
KEEPALIVE_S, KEEPALIVE_PROBES = 2, 2  # an idle connection is probed, so that an end that is gone is found out
_FRAME = struct.Struct(">I")


class InputBudget:
    """Bytes of frames that are not whole yet, which all connections of a server may hold together."""

    def __init__(self, most: int = MOST_HELD) -> None:
        self.most, self.held = most, 0

    def change(self, more: int) -> bool:
        """Hold so many bytes more, or fewer; whether that is within the bound."""
        self.held += more
        return more <= 0 or self.held <= self.most


class Connection(asyncio.Protocol):
    """One end of a framed connection; `received` and `closed` are called on the loop. `most_frame`: bytes of the
    largest frame that is taken; whoever receives raises it once the peer is known. `budget`: shared by the connections
    of a server, whose peers are strangers at first. `slices`: bounds the work of a turn on all of them together, but
    for those that are `urgent`."""

    def __init__(
        self,
        received: Callable[[Connection, Record], None],
        closed: Callable[[Connection], None],
        opened: Callable[[Connection], None] | None = None,
        budget: InputBudget | None = None,
        slices: TurnSlices | None = None,
    ) -> None:
        self._received, self._closed, self._opened = received, closed, opened
        self.most_frame = MOST_FRAME if budget is None else STRANGER_FRAME
        self._budget, self._held = budget or InputBudget(), 0
        self._hello_due: asyncio.TimerHandle | None = None
        self._strange = budget is not None
        self._slices, self.urgent = slices, False
        self._deferred = False
        self._transport: asyncio.Transport | None = None
        self._input = bytearray()
        self._output: list[bytes] = []
        self._flushing = False
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MOST_QUEUED)
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
        if self._strange:
            self._hello_due = asyncio.get_running_loop().call_later(HELLO_S, self._drop, "no_hello")
        if self._opened is not None:
            self._opened(self)

    def data_received(self, data: bytes) -> None:
        self._input += data
        if not self._deferred:
            self._take_frames()
        elif self._transport is not None and len(self._input) > MOST_AHEAD:
            self._transport.pause_reading()
        if self._transport is not None and not self._hold(len(self._input)):
            self._drop("too_much_unfinished_input")

    def _go_on(self) -> None:
        """A later turn has come for frames that wait."""
        self._deferred = False
        if self._transport is None:
            return
        self._transport.resume_reading()
        self._take_frames()
        if self._transport is not None:
            self._hold(len(self._input))

    def _turn_is_over(self) -> bool:
        """Whether the next frame has to wait for a later turn."""
        if self._slices is None or self.urgent or not self._slices.spent:
            return False
        self._deferred = True
        self._slices.defer(self._go_on)
        return True

    def _hold(self, size: int) -> bool:
        more, self._held = size - self._held, size
        return self._budget.change(more)

    def _known(self) -> None:
        """The peer has sent a record."""
        if self._hello_due is not None:
            self._hello_due.cancel()
            self._hello_due = None

    def _take_frames(self) -> None:
        at, size = 0, len(self._input)
        while size - at >= _FRAME.size:
            length = _FRAME.unpack_from(self._input, at)[0]
            if length > self.most_frame:
                self._drop("frame_too_large")
                return
            if size - at - _FRAME.size < length or self._turn_is_over():
                break
            start = at + _FRAME.size
            at = start + length
            try:
                record = decode_any(bytes(self._input[start:at]))
                self._known()
                self._received(self, record)  # a record may hold another one, that is no record
            except CodecError as error:
                self._drop(str(error))
                return
            if self._transport is None:
                return
        del self._input[:at]

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._transport = None
            self._let_go()
            self._closed(self)

    def _let_go(self) -> None:
        """Nothing more is received."""
        self._known()
        self._input.clear()
        self._hold(0)

    def _drop(self, cause: str) -> None:
        log.warning("connection_dropped", peer=self.peer, cause=cause)
        self.close()

    @property
    def open(self) -> bool:
        return self._transport is not None

    def send(self, record: Record) -> None:
        """Queue a record; does nothing on a closed connection."""
        self.send_encoded(encode_any(record))

    def send_encoded(self, data: bytes) -> None:
        """Queue a record that is encoded already, with its tag."""
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
        if self._transport.get_write_buffer_size() > MOST_QUEUED:
            self._drop("peer_does_not_read")

    def close(self) -> None:
        """Close now; `closed` is called once, and nothing more is received."""
        transport, self._transport = self._transport, None
        if transport is not None:
            if self._output:
                transport.write(b"".join(self._output))
                self._output.clear()
            transport.close()
            self._let_go()
            self._closed(self)


async def connect(
    address: str, received: Callable[[Connection, Record], None], closed: Callable[[Connection], None], timeout_s: float
) -> Connection:
    """Open a connection to host:port; raises OSError, also when it takes longer than `timeout_s`."""
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(lambda: Connection(received, closed), host, int(port))
    except TimeoutError:
        raise OSError(f"{address}: no answer in {timeout_s:g} s") from None
    return connection
