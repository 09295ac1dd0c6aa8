"""The time budget of a loop iteration: heartbeats and timers are not delayed by data that peers have sent."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

import pytest

from millethead.control.calls import CallerHello, CallerPing
from millethead.programs.loop_ports import MAX_DATAGRAMS_PER_READ, DatagramSocket
from millethead.replication.log_position import NO_POSITION
from millethead.rpc.codec import Record
from millethead.rpc.connection import MAX_DEFERRED_INPUT_BYTES, Connection, InputBudget
from millethead.rpc.loop_budget import ITERATION_BUDGET_S, IterationBudget

COST_S = 0.003  # time that handling one record takes
HELLO = CallerHello("d1", 0, 0, NO_POSITION, True)


class FakeLoop:
    """An event loop whose iterations the test runs."""

    def __init__(self) -> None:
        self.now = 5.0
        self.soon: deque[Callable[[], None]] = deque()
        self.budget = IterationBudget(lambda: self.now, self.soon.append)

    def run_iteration(self) -> None:
        for _ in range(len(self.soon)):
            self.soon.popleft()()


class Peer:
    """Records received from one peer, handled within the budget of each iteration."""

    def __init__(self, loop: FakeLoop, name: str, records: int, done: list[str]) -> None:
        self._loop, self._name, self.left, self._done = loop, name, records, done

    def work(self) -> None:
        while self.left:
            if self._loop.budget.exhausted:
                self._loop.budget.defer(self.work)
                return
            self.left -= 1
            self._loop.now += COST_S
            self._done.append(self._name)


def test_iteration_stays_within_its_budget_however_many_peers_have_sent() -> None:
    loop, done = FakeLoop(), list[str]()
    peers = [Peer(loop, f"n-{number}", 3, done) for number in range(160)]
    for peer in peers:
        peer.work()
    longest = 0.0
    while loop.soon:
        before = loop.now
        loop.run_iteration()
        longest = max(longest, loop.now - before)
    assert len(done) == 3 * len(peers) and longest <= ITERATION_BUDGET_S + COST_S


def test_deferred_work_continues_in_order_of_arrival() -> None:
    loop, done = FakeLoop(), list[str]()
    for name in ("a", "b", "c"):
        Peer(loop, name, 4, done).work()
    while loop.soon:
        loop.run_iteration()
    assert done == ["a"] * 4 + ["b"] * 4 + ["c"] * 4


def test_loop_without_work_schedules_no_iterations() -> None:
    loop = FakeLoop()
    assert not loop.budget.exhausted
    loop.run_iteration()
    assert not loop.soon


class FakeTransport(asyncio.Transport):
    """Records whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def write(self, data: object) -> None:
        pass

    def close(self) -> None:
        pass


class Server:
    """A server with one connection; handling a record takes COST_S."""

    def __init__(self) -> None:
        self.loop = FakeLoop()
        self.budget = InputBudget()
        self.records: list[Record] = []
        self.connection = Connection(self._received, lambda _: None, None, self.budget, self.loop.budget)
        self.transport = FakeTransport()

    def _received(self, connection: Connection, record: Record) -> None:
        self.records.append(record)
        self.loop.now += COST_S


def frames(*records: Record) -> bytes:
    sent: list[bytes] = []
    sender = Connection(lambda *_: None, lambda _: None)
    sender._transport = FakeTransport()
    sender._flushing = True
    for record in records:
        sender.send(record)
    return b"".join(sent + sender._output)


async def test_frames_beyond_the_budget_are_deferred_in_order() -> None:
    server = Server()
    server.connection.connection_made(server.transport)
    pings = [CallerPing(number, False) for number in range(20)]
    server.connection.data_received(frames(HELLO, *pings[:10]))
    server.connection.data_received(frames(*pings[10:]))
    assert 0 < len(server.records) < 10
    while server.loop.soon:
        server.loop.run_iteration()
    assert server.records == [HELLO, *pings]
    assert server.budget.used_bytes == 0


async def test_reading_is_paused_while_deferred_input_is_large() -> None:
    server = Server()
    server.connection.connection_made(server.transport)
    server.connection.data_received(frames(HELLO, *(CallerPing(1, False) for _ in range(10))))
    server.connection.data_received(frames(*(CallerPing(2, False) for _ in range(MAX_DEFERRED_INPUT_BYTES // 10))))
    assert not server.transport.reading
    server.loop.run_iteration()
    assert server.transport.reading


async def test_urgent_connection_is_not_deferred() -> None:
    server = Server()
    server.connection.connection_made(server.transport)
    server.connection.urgent = True
    server.connection.data_received(frames(HELLO, *(CallerPing(1, False) for _ in range(10))))
    assert len(server.records) == 11


async def test_deferred_frames_of_a_closed_connection_are_dropped() -> None:
    server = Server()
    server.connection.connection_made(server.transport)
    server.connection.data_received(frames(HELLO, *(CallerPing(1, False) for _ in range(10))))
    done = len(server.records)
    server.connection.connection_lost(None)
    server.loop.run_iteration()
    assert len(server.records) == done and server.budget.used_bytes == 0


@pytest.mark.parametrize("waiting", [1, MAX_DATAGRAMS_PER_READ // 2])
async def test_all_received_datagrams_are_read_in_one_iteration(waiting: int) -> None:
    got: list[bytes] = []
    receiver = DatagramSocket("127.0.0.1", 0, lambda data, _: got.append(data))
    port = receiver._socket.getsockname()[1]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(waiting):
            sender.sendto(b"%d" % number, ("127.0.0.1", port))
    receiver._read()
    assert got == [b"%d" % number for number in range(waiting)]
    receiver.close()
