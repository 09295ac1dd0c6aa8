"""Races on client connections. A race is forced by blocking the event loop until bytes or a close reach the socket."""

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
from millethead.net.buffer import MAX_BUFFER_BYTES
from millethead.net.connection import Closed, Connection, PeerTimeout, ReadInterrupted, with_timeout

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
TAKEN = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


def job(name):
    return (
        b"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: desk-search\r\n"
        b"X-Tenant-Id: rioni-hub\r\nX-Timeout: 7.5\r\nContent-Length: 0\r\n\r\n" % name
    )


class Client:
    def __init__(self, dispatcher):
        self.sock = socket.create_connection(("127.0.0.1", dispatcher.port("client")))
        self.sock.setblocking(False)

    def send(self, data):
        """Sends all of `data` while the event loop is blocked."""
        left = memoryview(data)
        while left:
            select.select([], [self.sock], [], TIMEOUT_S)
            left = left[self.sock.send(left) :]

    async def recv(self):
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.sock, 1 << 16), TIMEOUT_S)

    async def until(self, expected):
        received = b""
        while expected not in received:
            part = await self.recv()
            assert part, received
            received += part
        return received

    def close(self):
        self.sock.close()

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


@pytest.fixture
async def dispatcher():
    async with DispatcherFixture() as made:
        yield made


@pytest.fixture
def client(dispatcher):
    made = []

    def call():
        made.append(Client(dispatcher))
        return made[-1]

    yield call
    for one in made:
        one.close()


def server_end(dispatcher):
    (conn,) = dispatcher.program.acceptor.open
    return conn


def block_until_input(conn):
    """Blocks the event loop until the connection's socket has unread input."""
    assert select.select([conn.stream.socket], [], [], TIMEOUT_S)[0]


async def soon(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


async def idle_connection(dispatcher, client):
    """Returns a client with an idle connection that has sent a request, and the server's end of the connection."""
    one = client()
    one.send(UP)
    await one.until(b"ready\n")
    conn = server_end(dispatcher)
    await soon(lambda: conn.reader_blocked())
    return one, conn


# ---- closing in a race with input ----------------------------------------------------------------------


async def hold_job(dispatcher, client):
    """Submits a job that is not answered, so that the program cannot end yet."""
    held = client()
    held.send(job(b"held"))
    await soon(lambda: dispatcher.program.exchange.held)


async def test_request_that_arrives_as_an_idle_connection_is_drained_is_answered(dispatcher, client):
    """A request that arrived between the check of the socket and the close was lost, and the connection was reset."""
    one, conn = await idle_connection(dispatcher, client)
    await hold_job(dispatcher, client)
    dispatcher.program.drain()
    one.send(UP)  # after the check, before the connection's reader continues
    block_until_input(conn)
    answer = await one.until(b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in answer


async def test_input_after_the_close_does_not_cause_a_reset(dispatcher, client):
    """A reset would discard the response written before it, and the client would not learn the result."""
    one, conn = await idle_connection(dispatcher, client)
    await hold_job(dispatcher, client)
    dispatcher.program.drain()
    assert await one.recv() == b""  # the server has closed its side
    one.send(UP)
    block_until_input(conn)
    await soon(lambda: not conn.stream.closed() and conn.reader_blocked())  # read from the socket
    assert await one.recv() == b""  # neither answered nor reset
    one.close()
    await soon(lambda: conn.stream.closed())


async def test_connection_rejected_at_the_limit_is_not_reset(dispatcher, client):
    await hold_job(dispatcher, client)
    dispatcher.program.acceptor.limit = 1
    one = client()
    one.send(job(b"x") * 9)  # arrives before the connection is accepted
    assert await one.recv() == b""


async def test_connection_closes_after_a_response_sent_as_the_drain_begins(dispatcher, client, monkeypatch):
    """The response announced a persistent connection, which then stayed idle until the process ended."""
    await hold_job(dispatcher, client)
    reached, resume = asyncio.Event(), asyncio.Event()
    send = accept.send_response

    async def send_and_pause(conn, message):
        await send(conn, message)
        reached.set()
        await resume.wait()

    monkeypatch.setattr(accept, "send_response", send_and_pause)
    one = client()
    one.send(UP)
    await asyncio.wait_for(reached.wait(), TIMEOUT_S)
    dispatcher.program.drain()
    resume.set()
    assert b"ready\n" in await one.until(b"ready\n")
    assert await one.recv() == b""
    assert dispatcher.program.exchange.held  # long before the process ends


async def test_request_that_arrives_at_the_idle_timeout_is_answered(dispatcher, client, monkeypatch):
    monkeypatch.setattr(accept, "NO_JOB_IDLE_TIMEOUT_S", 0.05)
    one = client()
    one.send(UP)
    await one.until(b"ready\n")
    conn = server_end(dispatcher)
    await soon(lambda: conn.reader_blocked())
    time.sleep(0.06)  # blocks the loop, so that it finds both the timeout and the request
    one.send(UP)
    block_until_input(conn)
    assert (await one.until(b"ready\n")).startswith(b"HTTP/1.1 200 ")


async def test_connection_with_an_unprocessed_request_is_not_evicted(dispatcher, client, monkeypatch):
    """A complete request that is in the buffer before its reader continues looks like a partial request, which does not
    protect the connection."""
    armed, evictions, on_read = False, [], Connection._on_read

    def evict_after_read(self, reading):
        on_read(self, reading)
        if armed:
            evictions.append(dispatcher.program.acceptor.make_room())

    monkeypatch.setattr(Connection, "_on_read", evict_after_read)
    one, _ = await idle_connection(dispatcher, client)
    armed = True
    one.send(UP)
    assert (await one.until(b"ready\n")).startswith(b"HTTP/1.1 200 ")
    assert evictions == [False]


async def test_idle_connection_is_evicted_before_one_with_a_partial_request(dispatcher, client):
    one, conn = await idle_connection(dispatcher, client)
    one.send(UP[:9])
    await soon(lambda: len(conn.buffer) and conn.reader_blocked())
    other = client()
    other.send(UP)
    await other.until(b"ready\n")
    await soon(lambda: len(dispatcher.program.acceptor.idle) == 2)
    await soon(lambda: all(each.reader_blocked() for each in dispatcher.program.acceptor.open))
    assert dispatcher.program.acceptor.make_room()
    assert await other.recv() == b""
    one.send(UP[9:])
    assert (await one.until(b"ready\n")).startswith(b"HTTP/1.1 200 ")


async def test_job_is_not_handed_over_while_read_bytes_are_not_in_the_buffer(monkeypatch):
    """Bytes that the loop has read and not put into the buffer yet were lost in the handover."""
    async with DispatcherFixture(console=True) as dispatcher:
        hot_restart, link = dispatcher.program.hot_restart, mock.Mock(open=True, all_sent=True)
        on_read, tried = Connection._on_read, []

        def hand_over_before_read(conn, reading):
            if conn.job:
                tried.append(hot_restart._transfer_connection(link, conn))
            on_read(conn, reading)

        monkeypatch.setattr(Connection, "_on_read", hand_over_before_read)
        worker = asyncio.create_task(serve(dispatcher, done=False))
        one = Client(dispatcher)
        one.send(job(b"a"))
        await soon(lambda: dispatcher.program.exchange.held)
        (held,) = dispatcher.program.exchange.jobs
        await soon(lambda: held.attempts and dispatcher.program.workers.movable(held.attempts[0]))
        one.send(b"x")
        await soon(lambda: tried)
        link.send.assert_not_called()
        (conn,) = dispatcher.program.acceptor.open
        conn.buffer.take(1)
        hot_restart._transfer_connection(link, conn)  # succeeds once the buffer is empty
        assert link.send.call_args.args[0] == "job"
        one.close()
        worker.cancel()


# ---- clients that disconnect ---------------------------------------------------------------------------


BEFORE = pytest.mark.parametrize(
    "before",
    [b"", b"x", job(b"next"), b"z" * 60_000, b"z" * 300_000],
    ids=["nothing", "a byte", "a request", "60 kB", "300 kB"],
)


async def send_and_disconnect(client, before):
    await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(client.sock, before), TIMEOUT_S)
    client.sock.shutdown(socket.SHUT_WR)


@BEFORE
async def test_disconnect_behind_unread_bytes_is_detected(dispatcher, client, before):
    """A peek at the socket shows only the bytes. The job went on although no client waited for it."""
    one = client()
    one.send(job(b"a"))
    await soon(lambda: dispatcher.program.exchange.held)
    conn = server_end(dispatcher)
    await send_and_disconnect(one, before)
    await soon(lambda: not dispatcher.program.exchange.held)
    assert len(conn.buffer) <= MAX_BUFFER_BYTES
    await soon(lambda: dispatcher.program.frontend.left == 1)


@BEFORE
@pytest.mark.parametrize("table", ["[waiting]\n", "[door]\n", "[door]\n[waiting]\n"])
async def test_disconnect_is_detected_in_every_stage(table, before):
    """A job held by a stage is removed from it and from the exchange, and no attempt starts."""
    async with DispatcherFixture(table, workers=0) as dispatcher:
        one = Client(dispatcher)
        later = b"X-Run-At: %d\r\nX-Timeout" % (time.time() + 6) if "waiting" in table else b"X-Timeout"
        one.send(job(b"a").replace(b"X-Timeout", later))
        await soon(lambda: dispatcher.program.stage.held)
        await send_and_disconnect(one, before)
        await soon(lambda: not dispatcher.program.stage.held)
        await soon(lambda: dispatcher.program.frontend.left == 1)
        assert not any(dispatcher.program.exchange.counters.written)
        one.close()


@BEFORE
async def test_disconnect_is_detected_after_a_handover(before, tmp_path, monkeypatch):
    async with DispatcherFixture(console=True) as old, AsyncExitStack() as more:
        monkeypatch.setattr("millethead.program.gettempdir", lambda: str(tmp_path))  # prevents an immediate takeover
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
        await send_and_disconnect(one, before)
        await soon(lambda: not new.program.exchange.held)
        await soon(lambda: new.program.frontend.left == 1)
        assert old.program.frontend.left == 0  # the job continued in the successor
        one.close()
        worker.cancel()


async def test_reset_is_detected(dispatcher, client):
    one = client()
    one.send(job(b"a"))
    await soon(lambda: dispatcher.program.exchange.held)
    one.reset()
    await soon(lambda: not dispatcher.program.exchange.held)


@pytest.mark.parametrize("leave", [Client.close, Client.reset])
async def test_request_of_a_disconnected_client_is_not_submitted(dispatcher, client, leave):
    one = client()
    one.send(UP)
    await one.until(b"ready\n")
    conn = server_end(dispatcher)
    with mock.patch.object(dispatcher.program.exchange, "arrive") as arrive:
        one.send(job(b"a"))
        leave(one)
        block_until_input(conn)
        await soon(lambda: not dispatcher.program.acceptor.open)
    arrive.assert_not_called()


async def test_pipelined_requests_are_answered_in_order(dispatcher, client):
    worker = asyncio.create_task(serve(dispatcher))
    one, text = client(), job(b"a") + job(b"b") + UP + job(b"c") + UP
    one.send(text[:200])
    await soon(lambda: dispatcher.program.exchange.held)
    one.send(text[200:])
    got = b""
    while got.count(b"ready\n") < 2:
        got += await one.recv()
    assert [got.find(what) for what in (b"did a", b"did b", b"ready", b"did c")] == sorted(
        got.find(what) for what in (b"did a", b"did b", b"ready", b"did c")
    ) and got.count(b" 200 ") == 5
    worker.cancel()


async def test_connection_closes_after_the_response_if_too_much_is_pipelined(dispatcher, client):
    one = client()
    one.send(job(b"a"))
    await soon(lambda: dispatcher.program.exchange.held)
    conn = server_end(dispatcher)
    await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(one.sock, UP * 10_000), TIMEOUT_S)
    assert len(conn.buffer) <= MAX_BUFFER_BYTES
    worker = asyncio.create_task(serve(dispatcher))
    got = await one.until(b"did a")
    assert b"Connection: close" in got
    while part := await one.recv():
        got += part
    assert got.count(b"HTTP/1.1 ") == 1
    worker.cancel()


async def serve(dispatcher, done=True):
    """Runs workers 1 and 2, which accept each job and, if `done`, complete it at once."""

    async def serve_connection(reader, writer, name):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await serve_requests(reader, writer, name)

    async def serve_requests(reader, writer, name):
        while head := await reader.readuntil(b"\r\n\r\n"):
            if head.startswith(b"GET"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=2")
                continue
            writer.write(TAKEN)
            order = head.partition(b"X-Request-ID: ")[2].split(b"\r")[0].decode()
            if done:
                dispatcher.program.workers.apply_callback(order, name, "done", b"did " + order.encode(), None)

    async def accept_all(peers, name):
        tasks = []
        while True:
            tasks.append(asyncio.create_task(serve_connection(*await peers.accepted.get(), name)))

    await asyncio.gather(*(accept_all(peers, f"s-{n:08x}") for n, peers in enumerate(dispatcher.workers, 1)))


# ---- reads with changing readers -----------------------------------------------------------------------

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
def test_no_byte_is_lost_or_reordered_when_readers_change(steps):
    asyncio.run(run_steps(steps))


async def run_steps(steps):
    near, far = socket.socketpair()
    near.setblocking(False)
    conn, sent, took = Connection(IOStream(near, max_buffer_size=accept.READ_BUFFER_BYTES)), b"", b""
    gave_up = False  # after a cancelled wait the buffer must not be used until the next read
    for what, how in steps:
        if what == "send":
            data = bytes((len(sent) + n) % 251 for n in range(how))
            far.sendall(data)
            sent += data
        elif what == "ahead":
            conn.read_ahead(how)
        elif what == "late":
            gave_up = True
            with pytest.raises(PeerTimeout):
                await with_timeout(0.0, conn.fill())
        elif what == "fill" and len(sent) > len(took) + len(conn.buffer):
            async with asyncio.timeout(TIMEOUT_S):  # as a reader does, only if the buffer has no new bytes
                await conn.fill()
            gave_up = False
        elif what == "interrupted":
            task = asyncio.create_task(conn.fill())
            await asyncio.sleep(0)
            conn.interrupt_read()
            gave_up = True
            with contextlib.suppress(ReadInterrupted):
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
