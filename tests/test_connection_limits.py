"""Limits of internal connections on real sockets: frame size before identification, and memory of all connections."""

from __future__ import annotations

import asyncio
import struct

import pytest
import structlog

from millethead.control.calls import CallerHello, CallerPing, CallerPong
from millethead.replication.log_position import NO_POSITION
from millethead.rpc import connection as connections
from millethead.rpc.codec import Record, encode_any
from millethead.rpc.connection import MAX_FIRST_FRAME_BYTES, Connection, InputBudget

FRAME = struct.Struct(">I")
HELLO = encode_any(CallerHello("d1", 0, 0, NO_POSITION, True))
LARGE = 1 << 20


class Server:
    """Accepts connections and raises the frame limit of peers that have identified themselves."""

    def __init__(self, limit: int = connections.MAX_PARTIAL_INPUT_BYTES) -> None:
        self.budget = InputBudget(limit)
        self.records: list[Record] = []
        self.accepted: list[Connection] = []
        self.closed = asyncio.Queue[Connection]()
        self.received_record = asyncio.Event()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self._received, self.closed.put_nowait, self.accepted.append, self.budget),
            "127.0.0.1",
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _received(self, connection: Connection, record: Record) -> None:
        connection.max_frame_bytes = LARGE
        self.records.append(record)
        self.received_record.set()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    def stop(self) -> None:
        self._server.close()


async def test_unidentified_peer_is_dropped_at_the_header_of_a_large_frame() -> None:
    server = Server()
    await server.start()
    reader, writer = await server.connect()
    with structlog.testing.capture_logs() as lines:
        writer.write(FRAME.pack(MAX_FIRST_FRAME_BYTES + 1))
        assert await asyncio.wait_for(reader.read(), 5) == b""
    assert [line["cause"] for line in lines if line["event"] == "connection_dropped"] == ["frame_too_large"]
    assert server.records == [] and server.budget.used_bytes == 0
    writer.close()
    server.stop()


async def test_identified_peer_may_send_larger_frames() -> None:
    server = Server()
    await server.start()
    reader, writer = await server.connect()
    writer.write(FRAME.pack(len(HELLO)) + HELLO)
    await asyncio.wait_for(server.received_record.wait(), 5)
    server.received_record.clear()
    ping = encode_any(CallerPing(1, False))
    writer.write(FRAME.pack(MAX_FIRST_FRAME_BYTES + 1) + bytes(100))
    # This is not a valid record: the connection is dropped for that, and not for the length of the frame.
    writer.write(bytes(MAX_FIRST_FRAME_BYTES + 1 - 100))
    assert await asyncio.wait_for(reader.read(), 5) == b""
    assert len(server.records) == 1 and len(ping) < MAX_FIRST_FRAME_BYTES
    writer.close()
    server.stop()


async def test_unfinished_input_of_all_connections_is_bounded() -> None:
    server = Server(limit=MAX_FIRST_FRAME_BYTES)
    await server.start()
    peers = [await server.connect() for _ in range(3)]
    half = FRAME.pack(MAX_FIRST_FRAME_BYTES) + bytes(MAX_FIRST_FRAME_BYTES // 2 - FRAME.size)
    for _, writer in peers:
        writer.write(half)
        await writer.drain()
    lost = await asyncio.wait_for(server.closed.get(), 5)
    assert lost in server.accepted and server.closed.empty()
    assert server.budget.used_bytes == MAX_FIRST_FRAME_BYTES
    for _, writer in peers:
        writer.close()
    for _ in range(2):
        await asyncio.wait_for(server.closed.get(), 5)
    assert server.budget.used_bytes == 0, "the budget of a connection is released when it ends"
    server.stop()


async def test_peer_that_does_not_identify_itself_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "FIRST_RECORD_TIMEOUT_S", 0.0)
    server = Server()
    await server.start()
    reader, writer = await server.connect()
    assert await asyncio.wait_for(reader.read(), 5) == b""
    assert server.records == []
    writer.close()
    server.stop()


async def test_identified_peer_may_be_idle() -> None:
    loop = asyncio.get_running_loop()
    server = Server()
    await server.start()
    _, writer = await server.connect()
    writer.write(FRAME.pack(len(HELLO)) + HELLO)
    await asyncio.wait_for(server.received_record.wait(), 5)
    assert server.accepted[0]._first_record_timer is None and server.closed.empty()
    server.accepted[0].send(CallerPong())
    assert loop.is_running()
    writer.close()
    server.stop()
