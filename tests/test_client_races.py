"""Clients' connections with what crosses forced: the loop stands still until bytes, or an end, lie at the socket."""

import asyncio
import contextlib
import select
import socket
import time
from contextlib import AsyncExitStack
from unittest import mock

import pytest
from dispatcher_fixture import TIMEOUT_S, DispatcherFixture
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from tornado.iostream import IOStream

from millethead.net import accept
from millethead.net.buffer import MOST
from millethead.net.connection import Closed, Connection, Interrupted, Late, within

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
TAKEN = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


def job(name):
    return (
        b"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: desk-search\r\n"
        b"X-Tenant-Id: rioni-hub\r\nX-Timeout: 7.5\r\nContent-Length: 0\r\n\r\n" % name
    )


class Client:
    def __init__(self, stage):
        self.sock = socket.create_connection(("127.0.0.1", stage.port("client")))
        self.sock.setblocking(False)

    def send(self, data):
        """All of it, while the loop stands still."""
        left = memoryview(data)
        while left:
            select.select([], [self.sock], [], TIMEOUT_S)
            left = left[self.sock.send(left) :]

    async def recv(self):
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.sock, 1 << 16), TIMEOUT_S)

    async def until(self, what):
        got = b""
        while what not in got:
            part = await self.recv()
            assert part, got
            got += part
        return got

    def close(self):
        self.sock.close()

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


@pytest.fixture
async def stage():
    async with DispatcherFixture() as made:
        yield made


@pytest.fixture
def client(stage):
    made = []

    def call():
        made.append(Client(stage))
        return made[-1]

    yield call
    for one in made:
        one.close()


def server_end(stage):
    (conn,) = stage.program.acceptor.open
    return conn


def there(conn):
    """Hold the loop until something lies at the connection's socket."""
    assert select.select([conn.stream.socket], [], [], TIMEOUT_S)[0]


async def soon(true):
    async with asyncio.timeout(TIMEOUT_S):
        while not true():
            await asyncio.sleep(0)


async def resting(stage, client):
    """A client whose connection has been used and stands idle, and the program's end of it."""
    one = client()
    one.send(UP)
    await one.until(b"ready\n")
    conn = server_end(stage)
    await soon(lambda: conn.wants_more())
    return one, conn


# ---- a close at the wrong instant ----------------------------------------------------------------------


async def hold(stage, client):
    """Have a job held, so that the program cannot end yet."""
    held = client()
    held.send(job(b"held"))
    await soon(lambda: stage.program.exchange.held)


async def test_a_request_that_comes_as_its_connection_is_told_to_end_is_answered(stage, client):
    """Closed in that turn it was reset: the look at the socket was before the close, the request between the two."""
    one, conn = await resting(stage, client)
    await hold(stage, client)
    stage.program.drain()
    one.send(UP)  # after the look, before the connection's reader has its turn
    there(conn)
    answer = await one.until(b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in answer


async def test_what_comes_after_the_close_is_no_reset(stage, client):
    """A reset would take along what was written before it, and the client could not tell what became of it."""
    one, conn = await resting(stage, client)
    await hold(stage, client)
    stage.program.drain()
    assert await one.recv() == b""  # closed from that side
    one.send(UP)
    there(conn)
    await soon(lambda: not conn.stream.closed() and conn.wants_more())  # taken from the socket
    assert await one.recv() == b""  # and not answered, nor reset
    one.close()
    await soon(lambda: conn.stream.closed())


async def test_who_is_turned_away_for_want_of_room_is_not_reset(stage, client):
    await hold(stage, client)
    stage.program.acceptor.limit = 1
    one = client()
    one.send(job(b"x") * 9)  # all there before it is accepted
    assert await one.recv() == b""


async def test_an_answer_that_went_out_while_the_program_began_to_end_is_the_last(stage, client, monkeypatch):
    """It had said that the connection stays; idle, it stayed until the process ended."""
    await hold(stage, client)
    here, go = asyncio.Event(), asyncio.Event()
    send = accept.send_answer

    async def parked(conn, message):
        await send(conn, message)
        here.set()
        await go.wait()

    monkeypatch.setattr(accept, "send_answer", parked)
    one = client()
    one.send(UP)
    await asyncio.wait_for(here.wait(), TIMEOUT_S)
    stage.program.drain()
    go.set()
    assert b"ready\n" in await one.until(b"ready\n")
    assert await one.recv() == b""
    assert stage.program.exchange.held  # long before the process ends


async def test_a_request_that_comes_as_its_time_is_over_is_answered(stage, client, monkeypatch):
    monkeypatch.setattr(accept, "ASKED_TIME", 0.05)
    one = client()
    one.send(UP)
    await one.until(b"ready\n")
    conn = server_end(stage)
    await soon(lambda: conn.wants_more())
    time.sleep(0.06)  # a loop that is busy elsewhere: it finds the time over and the request there
    one.send(UP)
    there(conn)
    assert (await one.until(b"ready\n")).startswith(b"HTTP/1.1 200 ")


async def test_room_is_not_made_over_a_request_that_its_reader_has_not_seen(stage, client, monkeypatch):
    """Read by the loop, it lies in the buffer like half a request that may be closed over."""
    armed, made, came = False, [], Connection._came

    def look(self, reading):
        came(self, reading)
        if armed:
            made.append(stage.program.acceptor.make_room())

    monkeypatch.setattr(Connection, "_came", look)
    one, _ = await resting(stage, client)
    armed = True
    one.send(UP)
    assert (await one.until(b"ready\n")).startswith(b"HTTP/1.1 200 ")
    assert made == [False]


async def test_room_is_made_by_idle_ones_before_usual_ones_with_half_a_request(stage, client):
    one, conn = await resting(stage, client)
    one.send(UP[:9])
    await soon(lambda: len(conn.buffer) and conn.wants_more())
    other = client()
    other.send(UP)
    await other.until(b"ready\n")
    await soon(lambda: len(stage.program.acceptor.idle) == 2)
    await soon(lambda: all(each.wants_more() for each in stage.program.acceptor.open))
    assert stage.program.acceptor.make_room()
    assert await other.recv() == b""
    one.send(UP[9:])
    assert (await one.until(b"ready\n")).startswith(b"HTTP/1.1 200 ")


async def test_a_job_is_not_handed_over_over_bytes_that_the_loop_has_read(monkeypatch):
    """Neither in the buffer nor at the socket, they went to nobody."""
    async with DispatcherFixture(console=True) as stage:
        hot_restart, link, came, tried = (
            stage.program.hot_restart,
            mock.Mock(open=True, all_sent=True),
            Connection._came,
            [],
        )

        def look(conn, reading):
            if conn.job:
                tried.append(hot_restart._transfer_connection(link, conn))
            came(conn, reading)

        monkeypatch.setattr(Connection, "_came", look)
        worker = asyncio.create_task(serve(stage, done=False))
        one = Client(stage)
        one.send(job(b"a"))
        await soon(lambda: stage.program.exchange.held)
        (held,) = stage.program.exchange.jobs
        await soon(lambda: held.attempts and stage.program.workers.movable(held.attempts[0]))
        one.send(b"x")
        await soon(lambda: tried)
        link.send.assert_not_called()
        (conn,) = stage.program.acceptor.open
        conn.buffer.take(1)
        hot_restart._transfer_connection(link, conn)  # and as soon as there are none
        assert link.send.call_args.args[0] == "job"
        one.close()
        worker.cancel()


# ---- clients that leave --------------------------------------------------------------------------------


BEFORE = pytest.mark.parametrize(
    "before",
    [b"", b"x", job(b"next"), b"z" * 60_000, b"z" * 300_000],
    ids=["nothing", "a byte", "a request", "60 kB", "300 kB"],
)


async def leave(client, before):
    await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(client.sock, before), TIMEOUT_S)
    client.sock.shutdown(socket.SHUT_WR)


@BEFORE
async def test_the_end_behind_bytes_not_read_is_seen(stage, client, before):
    """A look at the socket shows the bytes only, and the job went on for nobody."""
    one = client()
    one.send(job(b"a"))
    await soon(lambda: stage.program.exchange.held)
    conn = server_end(stage)
    await leave(one, before)
    await soon(lambda: not stage.program.exchange.held)
    assert len(conn.buffer) <= MOST
    await soon(lambda: stage.program.front.left == 1)


@BEFORE
@pytest.mark.parametrize("table", ["[waiting]\n", "[door]\n", "[door]\n[waiting]\n"])
async def test_it_is_seen_wherever_the_job_stands(table, before):
    """Held back by a stage, taken out of it and out of the exchange; no attempt begins."""
    async with DispatcherFixture(table, workers=0) as stage:
        one = Client(stage)
        later = b"X-Run-At: %d\r\nX-Timeout" % (time.time() + 6) if "waiting" in table else b"X-Timeout"
        one.send(job(b"a").replace(b"X-Timeout", later))
        await soon(lambda: stage.program.stage.held)
        await leave(one, before)
        await soon(lambda: not stage.program.stage.held)
        await soon(lambda: stage.program.front.left == 1)
        assert not any(stage.program.exchange.counters.written)
        one.close()


@BEFORE
async def test_it_is_seen_after_a_hand_over(before, tmp_path, monkeypatch):
    async with DispatcherFixture(console=True) as old, AsyncExitStack() as more:
        monkeypatch.setattr("millethead.program.gettempdir", lambda: str(tmp_path))  # else it would take over at once
        new = await more.enter_async_context(DispatcherFixture(console=True))
        link, worker = mock.Mock(open=True, all_sent=True), asyncio.create_task(serve(old, done=False))
        one = Client(old)
        one.send(job(b"a"))
        await soon(lambda: old.program.exchange.held)
        (held,) = old.program.exchange.jobs
        await soon(lambda: held.attempts and old.program.workers.movable(held.attempts[0]))
        old.program.hot_restart._transfer_connection(link, server_end(old))
        what, fields, body, handed = link.send.call_args.args
        assert what == "job" and not old.program.exchange.held
        new.program.hot_restart._adopt_job(fields, body, socket.socket(fileno=handed))
        assert new.program.exchange.held
        await leave(one, before)
        await soon(lambda: not new.program.exchange.held)
        await soon(lambda: new.program.front.left == 1)
        assert old.program.front.left == 0  # it went on elsewhere
        one.close()
        worker.cancel()


async def test_a_reset_is_seen(stage, client):
    one = client()
    one.send(job(b"a"))
    await soon(lambda: stage.program.exchange.held)
    one.reset()
    await soon(lambda: not stage.program.exchange.held)


@pytest.mark.parametrize("leave", [Client.close, Client.reset])
async def test_who_has_gone_before_the_request_is_read_is_not_taken(stage, client, leave):
    one = client()
    one.send(UP)
    await one.until(b"ready\n")
    conn = server_end(stage)
    with mock.patch.object(stage.program.exchange, "arrive") as arrive:
        one.send(job(b"a"))
        leave(one)
        there(conn)
        await soon(lambda: not stage.program.acceptor.open)
    arrive.assert_not_called()


async def test_what_came_ahead_is_the_next_request(stage, client):
    worker = asyncio.create_task(serve(stage))
    one, text = client(), job(b"a") + job(b"b") + UP + job(b"c") + UP
    one.send(text[:200])
    await soon(lambda: stage.program.exchange.held)
    one.send(text[200:])
    got = b""
    while got.count(b"ready\n") < 2:
        got += await one.recv()
    assert [got.find(what) for what in (b"did a", b"did b", b"ready", b"did c")] == sorted(
        got.find(what) for what in (b"did a", b"did b", b"ready", b"did c")
    ) and got.count(b" 200 ") == 5
    worker.cancel()


async def test_who_sends_too_much_ahead_has_its_answer_and_no_other(stage, client):
    one = client()
    one.send(job(b"a"))
    await soon(lambda: stage.program.exchange.held)
    conn = server_end(stage)
    await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(one.sock, UP * 10_000), TIMEOUT_S)
    assert len(conn.buffer) <= MOST
    worker = asyncio.create_task(serve(stage))
    got = await one.until(b"did a")
    assert b"Connection: close" in got
    while part := await one.recv():
        got += part
    assert got.count(b"HTTP/1.1 ") == 1
    worker.cancel()


async def serve(stage, done=True):
    """Worker 1 and 2 take each job, do it at once and tell so."""

    async def one(reader, writer, name):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await talk(reader, writer, name)

    async def talk(reader, writer, name):
        while head := await reader.readuntil(b"\r\n\r\n"):
            if head.startswith(b"GET"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=2")
                continue
            writer.write(TAKEN)
            order = head.partition(b"X-Request-ID: ")[2].split(b"\r")[0].decode()
            if done:
                stage.program.workers.news(order, name, "done", b"did " + order.encode(), None)

    async def accept_all(peers, name):
        tasks = []
        while True:
            tasks.append(asyncio.create_task(one(*await peers.accepted.get(), name)))

    await asyncio.gather(*(accept_all(peers, f"s-{n:08x}") for n, peers in enumerate(stage.workers, 1)))


# ---- one read at a time, whoever waits for it ----------------------------------------------------------

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), st.integers(1, 2000)),
        st.tuples(st.just("ahead"), st.booleans()),
        st.sampled_from([("late", 0), ("fill", 0), ("interrupted", 0), ("turn", 0), ("take", 0)]),
    ),
    max_size=25,
)


@settings(deadline=None, max_examples=150, derandomize=True, phases=[Phase.generate])
@given(STEPS)
def test_no_byte_is_lost_or_moved_whoever_reads_or_gives_up(steps):
    asyncio.run(follow(steps))


async def follow(steps):
    near, far = socket.socketpair()
    near.setblocking(False)
    conn, sent, took = Connection(IOStream(near, max_buffer_size=accept.READ_BUFFER)), b"", b""
    gave_up = False  # who gives up leaves the buffer alone until it reads again
    for what, how in steps:
        if what == "send":
            data = bytes((len(sent) + n) % 251 for n in range(how))
            far.sendall(data)
            sent += data
        elif what == "ahead":
            conn.read_ahead(how)
        elif what == "late":
            gave_up = True
            with pytest.raises(Late):
                await within(0.0, conn.fill())
        elif what == "fill" and len(sent) > len(took) + len(conn.buffer):
            async with asyncio.timeout(TIMEOUT_S):  # a reader looks at the buffer in the turn in which it waits
                await conn.fill()
            gave_up = False
        elif what == "interrupted":
            task = asyncio.create_task(conn.fill())
            await asyncio.sleep(0)
            conn.interrupt()
            gave_up = True
            with contextlib.suppress(Interrupted):
                await task
                gave_up = False
        elif what == "turn":
            await asyncio.sleep(0)
        elif what == "take" and not gave_up:
            took += conn.buffer.take(len(conn.buffer))
        assert sent.startswith(took + conn.buffer.peek(len(conn.buffer)))
    far.close()
    with pytest.raises(Closed):
        while True:
            async with asyncio.timeout(TIMEOUT_S):
                await conn.fill()
            took += conn.buffer.take(len(conn.buffer))
    assert took + conn.buffer.take(len(conn.buffer)) == sent
    conn.close()
