"""Framed connections between programs: a length and a tagged record a frame, over one TCP stream.

Writes are queued and leave in one system call a turn of the loop. A peer that does not read is closed once the queue
passes its bound, so that memory stays bounded.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import structlog

from millethead.rpc.codec import CodecError, Record, decode_any, encode_any

log = structlog.get_logger()

MOST_FRAME = 48 << 20  # bytes of one frame
MOST_QUEUED = 64 << 20  # bytes that wait to be written to one peer
USER_TIMEOUT_MS = 4000  # unacknowledged bytes end a connection after this time
KEEPALIVE_S, KEEPALIVE_PROBES = 2, 2  # an idle connection is probed, so that an end that is gone is found out
_FRAME = struct.Struct(">I")


class Connection(asyncio.Protocol):
    """One end of a framed connection; `received` and `closed` are called on the loop."""

    def __init__(
        self,
        received: Callable[[Connection, Record], None],
        closed: Callable[[Connection], None],
        opened: Callable[[Connection], None] | None = None,
    ) -> None:
        self._received, self._closed, self._opened = received, closed, opened
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
        if self._opened is not None:
            self._opened(self)

    def data_received(self, data: bytes) -> None:
        self._input += data
        at, size = 0, len(self._input)
        while size - at >= _FRAME.size:
            length = _FRAME.unpack_from(self._input, at)[0]
            if length > MOST_FRAME:
                self._drop("frame_too_large")
                return
            if size - at - _FRAME.size < length:
                break
            start = at + _FRAME.size
            at = start + length
            try:
                record = decode_any(bytes(self._input[start:at]))
            except CodecError as error:
                self._drop(str(error))
                return
            self._received(self, record)
            if self._transport is None:
                return
        del self._input[:at]

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._transport = None
            self._closed(self)

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
