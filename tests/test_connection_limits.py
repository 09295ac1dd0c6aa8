"""Internal connections on real sockets: what a stranger may have read, and what all may hold together."""

from __future__ import annotations

import asyncio
import struct

import pytest
import structlog

from millethead.control.calls import CallerHello, CallerPing, CallerPong
from millethead.replication.place import NO_PLACE
from millethead.rpc import connection as connections
from millethead.rpc.codec import Record, encode_any
from millethead.rpc.connection import MAX_FIRST_FRAME_BYTES, Connection, InputBudget

FRAME = struct.Struct(">I")
HELLO = encode_any(CallerHello("d1", 0, 0, NO_PLACE, True))
LARGE = 1 << 20


class Server:
    """Takes connections, and raises the bound of those that have said who they are."""

    def __init__(self, most: int = connections.MAX_PARTIAL_INPUT_BYTES) -> None:
        self.budget = InputBudget(most)
        self.records: list[Record] = []
        self.taken: list[Connection] = []
        self.gone = asyncio.Queue[Connection]()
        self.came = asyncio.Event()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self._received, self.gone.put_nowait, self.taken.append, self.budget), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _received(self, connection: Connection, record: Record) -> None:
        connection.max_frame_bytes = LARGE
        self.records.append(record)
        self.came.set()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    def stop(self) -> None:
        self._server.close()


async def test_a_stranger_that_announces_a_large_frame_is_dropped_before_it_sends_it() -> None:
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


async def test_a_peer_that_is_known_may_send_larger_frames() -> None:
    server = Server()
    await server.start()
    reader, writer = await server.connect()
    writer.write(FRAME.pack(len(HELLO)) + HELLO)
    await asyncio.wait_for(server.came.wait(), 5)
    server.came.clear()
    ping = encode_any(CallerPing(1, False))
    writer.write(FRAME.pack(MAX_FIRST_FRAME_BYTES + 1) + bytes(100))
    writer.write(bytes(MAX_FIRST_FRAME_BYTES + 1 - 100))  # no record: dropped for that, and not for its length
    assert await asyncio.wait_for(reader.read(), 5) == b""
    assert len(server.records) == 1 and len(ping) < MAX_FIRST_FRAME_BYTES
    writer.close()
    server.stop()


async def test_what_all_connections_hold_unfinished_is_bounded() -> None:
    server = Server(most=MAX_FIRST_FRAME_BYTES)
    await server.start()
    peers = [await server.connect() for _ in range(3)]
    half = FRAME.pack(MAX_FIRST_FRAME_BYTES) + bytes(MAX_FIRST_FRAME_BYTES // 2 - FRAME.size)
    for _, writer in peers:
        writer.write(half)
        await writer.drain()
    lost = await asyncio.wait_for(server.gone.get(), 5)
    assert lost in server.taken and server.gone.empty()
    assert server.budget.used_bytes == MAX_FIRST_FRAME_BYTES
    for _, writer in peers:
        writer.close()
    for _ in range(2):
        await asyncio.wait_for(server.gone.get(), 5)
    assert server.budget.used_bytes == 0, "what a connection held is free when it ends"
    server.stop()


async def test_a_peer_that_says_nothing_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "FIRST_RECORD_TIMEOUT_S", 0.0)
    server = Server()
    await server.start()
    reader, writer = await server.connect()
    assert await asyncio.wait_for(reader.read(), 5) == b""
    assert server.records == []
    writer.close()
    server.stop()


async def test_a_peer_that_has_said_who_it_is_may_be_silent() -> None:
    loop = asyncio.get_running_loop()
    server = Server()
    await server.start()
    _, writer = await server.connect()
    writer.write(FRAME.pack(len(HELLO)) + HELLO)
    await asyncio.wait_for(server.came.wait(), 5)
    assert server.taken[0]._first_record_timer is None and server.gone.empty()
    server.taken[0].send(CallerPong())
    assert loop.is_running()
    writer.close()
    server.stop()
