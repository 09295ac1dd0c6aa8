"""Slices of a loop's turn: heartbeats and timers never wait behind all that peers have sent."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

import pytest

from millethead.control.calls import CallerHello, CallerPing
from millethead.programs.loop_ports import MOST_DATAGRAMS, DatagramSocket
from millethead.replication.place import NO_PLACE
from millethead.rpc.codec import Record
from millethead.rpc.connection import MOST_AHEAD, Connection, InputBudget
from millethead.rpc.turns import SLICE_S, TurnSlices

COST_S = 0.003  # of the work on one record
HELLO = CallerHello("d1", 0, 0, NO_PLACE, True)


class Loop:
    """A loop whose turns the test makes; `worked` is what was done in each of them."""

    def __init__(self) -> None:
        self.now = 5.0
        self.soon: deque[Callable[[], None]] = deque()
        self.slices = TurnSlices(lambda: self.now, self.soon.append)

    def turn(self) -> None:
        for _ in range(len(self.soon)):
            self.soon.popleft()()


class Peer:
    """Records of one peer that have come: worked on as far as a turn's slice goes."""

    def __init__(self, loop: Loop, name: str, records: int, done: list[str]) -> None:
        self._loop, self._name, self.left, self._done = loop, name, records, done

    def work(self) -> None:
        while self.left:
            if self._loop.slices.spent:
                self._loop.slices.defer(self.work)
                return
            self.left -= 1
            self._loop.now += COST_S
            self._done.append(self._name)


def test_a_turn_ends_soon_however_many_peers_have_sent() -> None:
    loop, done = Loop(), list[str]()
    peers = [Peer(loop, f"n-{number}", 3, done) for number in range(160)]
    for peer in peers:
        peer.work()
    longest = 0.0
    while loop.soon:
        before = loop.now
        loop.turn()
        longest = max(longest, loop.now - before)
    assert len(done) == 3 * len(peers) and longest <= SLICE_S + COST_S


def test_those_who_wait_go_on_in_the_order_in_which_they_came() -> None:
    loop, done = Loop(), list[str]()
    for name in ("a", "b", "c"):
        Peer(loop, name, 4, done).work()
    while loop.soon:
        loop.turn()
    assert done == ["a"] * 4 + ["b"] * 4 + ["c"] * 4


def test_a_loop_without_work_has_no_turns() -> None:
    loop = Loop()
    assert not loop.slices.spent
    loop.turn()
    assert not loop.soon


class Transport(asyncio.Transport):
    """Notes whether its protocol reads."""

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
    """One connection of a server whose loop has work for many turns; each record costs COST_S."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.budget = InputBudget()
        self.records: list[Record] = []
        self.connection = Connection(self._received, lambda _: None, None, self.budget, self.loop.slices)
        self.transport = Transport()

    def _received(self, connection: Connection, record: Record) -> None:
        self.records.append(record)
        self.loop.now += COST_S


def frames(*records: Record) -> bytes:
    sent: list[bytes] = []
    sender = Connection(lambda *_: None, lambda _: None)
    sender._transport = Transport()
    sender._flushing = True
    for record in records:
        sender.send(record)
    return b"".join(sent + sender._output)


async def test_frames_of_a_connection_wait_for_their_turn_and_keep_their_order() -> None:
    server = Server()
    server.connection.connection_made(server.transport)
    pings = [CallerPing(number, False) for number in range(20)]
    server.connection.data_received(frames(HELLO, *pings[:10]))
    server.connection.data_received(frames(*pings[10:]))
    assert 0 < len(server.records) < 10
    while server.loop.soon:
        server.loop.turn()
    assert server.records == [HELLO, *pings]
    assert server.budget.held == 0


async def test_a_peer_that_sends_on_while_its_frames_wait_is_not_read_from() -> None:
    server = Server()
    server.connection.connection_made(server.transport)
    server.connection.data_received(frames(HELLO, *(CallerPing(1, False) for _ in range(10))))
    server.connection.data_received(frames(*(CallerPing(2, False) for _ in range(MOST_AHEAD // 10))))
    assert not server.transport.reading
    server.loop.turn()
    assert server.transport.reading


async def test_members_of_the_chain_wait_for_no_turn() -> None:
    server = Server()
    server.connection.connection_made(server.transport)
    server.connection.urgent = True
    server.connection.data_received(frames(HELLO, *(CallerPing(1, False) for _ in range(10))))
    assert len(server.records) == 11


async def test_a_connection_that_ends_while_its_frames_wait_is_over() -> None:
    server = Server()
    server.connection.connection_made(server.transport)
    server.connection.data_received(frames(HELLO, *(CallerPing(1, False) for _ in range(10))))
    done = len(server.records)
    server.connection.connection_lost(None)
    server.loop.turn()
    assert len(server.records) == done and server.budget.held == 0


@pytest.mark.parametrize("waiting", [1, MOST_DATAGRAMS // 2])
async def test_all_datagrams_that_have_come_are_read_in_one_turn(waiting: int) -> None:
    got: list[bytes] = []
    receiver = DatagramSocket("127.0.0.1", 0, lambda data, _: got.append(data))
    port = receiver._socket.getsockname()[1]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(waiting):
            sender.sendto(b"%d" % number, ("127.0.0.1", port))
    receiver._read()
    assert got == [b"%d" % number for number in range(waiting)]
    receiver.close()
