"""Attempts on real sockets, with what crosses them forced: a coroutine is parked, or the loop stands still."""

import asyncio
import select

import pytest
from dispatcher_fixture import TIMEOUT_S, PeerListener

from millethead.decide import interface as api
from millethead.exchange import Exchange, Final, Order, WorkerListing
from millethead.net import send
from millethead.net.exchange import LoopClock
from millethead.net.pool import Pool
from millethead.net.probes import Probes

SAFE, KEYED, ONCE = range(3)
SETTINGS = api.Settings(
    classes=(
        api.JobClass(deadline=60_000, aim=60_000, stretch=2, effect=api.Effect.SAFE),
        api.JobClass(
            deadline=60_000, aim=60_000, stretch=2, effect=api.Effect.KEYED, group=api.Group.ALL, window=30_000
        ),
        api.JobClass(deadline=60_000, aim=60_000, stretch=2),
    ),
    may_cancel=True,
    parallel_attempts=True,
    max_attempts=3,
    tick=5.0,
)
TAKEN = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
BODY = b"seat 12"


class Bench:
    """The exchange and its HTTP side, with one worker on loopback."""

    async def open(self):
        self.peers = await PeerListener().open()
        self.exchange, self.pool = Exchange(SETTINGS, 1, LoopClock()), Pool(16, TIMEOUT_S * 1000, 60_000)
        self.side = send.HttpWorkers(
            self.exchange, self.pool, Probes(self.exchange, self.pool, lambda _: None), lambda _: None
        )
        self.answers = []
        self.list()
        return self

    def list(self, state=api.WorkerState.READY, form=api.ListForm.FULL):
        self.exchange.listed(self.side, form, [WorkerListing("w", ("127.0.0.1", self.peers.port), state=state)])

    def job(self, job_class=SAFE, name="a"):
        number = self.exchange.arrive(Order(name, job_class, 60_000.0, target="/api", body=BODY), self.answers.append)
        self.held = self.exchange.jobs.by_number[number]
        return number

    @property
    def attempt(self):
        return self.held.attempts[-1]

    async def peer(self):
        return await asyncio.wait_for(self.peers.accepted.get(), TIMEOUT_S)

    async def whole(self):
        """The worker's end of the next attempt, once it has all of it."""
        reader, writer = await self.peer()
        await asyncio.wait_for(reader.readuntil(BODY), TIMEOUT_S)
        return reader, writer

    def news(self, state):
        return self.side.news("a", "w", state, b"", None)


@pytest.fixture
async def bench():
    made = await Bench().open()
    yield made
    made.pool.stop()
    made.peers.close()


async def soon(true):
    """Let the loop turn until it is so."""
    async with asyncio.timeout(TIMEOUT_S):
        while not true():
            await asyncio.sleep(0)


class Park:
    """A point at which whoever comes there waits until it is let go."""

    def __init__(self):
        self.here, self.go = asyncio.Event(), asyncio.Event()

    async def wait(self):
        self.here.set()
        await self.go.wait()


@pytest.fixture
def before_last_byte(monkeypatch):
    park, sleep = Park(), asyncio.sleep
    monkeypatch.setattr(asyncio, "sleep", lambda s, *x: park.wait() if s == send.LAST_BYTE_PAUSE else sleep(s, *x))
    return park


@pytest.fixture
def connected(monkeypatch):
    """The connection is up, and who waits for it has not had its turn yet."""
    park, connect = Park(), Pool._connect

    async def late(pool, address):
        conn = await connect(pool, address)
        await park.wait()
        return conn

    monkeypatch.setattr(Pool, "_connect", late)
    return park


def leaves(bench):
    bench.exchange.withdraw(bench.held.number)


def drains(bench):
    bench.list(api.WorkerState.DRAINING, api.ListForm.DELTA)


def is_gone(bench):
    bench.list(api.WorkerState.GONE, api.ListForm.DELTA)


def is_out(bench):
    bench.exchange.take_out(["w"])


def is_forgotten(bench):
    bench.attempt.write_deadline = bench.exchange.clock.now()


def is_late(bench):
    bench.attempt.end = bench.exchange.clock.now()


CROSSINGS = [leaves, drains, is_gone, is_out, is_forgotten, is_late]


async def cross(bench, park, crosses):
    """Let it happen while the attempt is parked; (the attempt, the worker's end of its connection)."""
    bench.job(ONCE)
    await asyncio.wait_for(park.here.wait(), TIMEOUT_S)
    reader, _ = await bench.peer()
    first = bench.attempt
    crosses(bench)
    park.go.set()
    return first, reader


async def never_ran(attempt):
    await soon(lambda: attempt.outcome is not None)
    assert not attempt.fully_written and attempt.outcome in api.NEVER_RAN


@pytest.mark.parametrize("crosses", CROSSINGS)
async def test_what_happens_before_the_last_byte_keeps_it_back(bench, before_last_byte, crosses):
    first, reader = await cross(bench, before_last_byte, crosses)
    try:
        said = await asyncio.wait_for(reader.read(), TIMEOUT_S)
    except ConnectionError:
        said = b""
    assert not said.endswith(BODY)
    await never_ran(first)


@pytest.mark.parametrize("crosses", CROSSINGS)
async def test_nothing_is_written_to_a_connection_that_comes_up_after_that(bench, connected, crosses):
    first, reader = await cross(bench, connected, crosses)
    await never_ran(first)
    await soon(lambda: bench.pool._idle)  # it was given back
    bench.pool.stop()
    assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""


async def test_a_client_that_leaves_ends_its_attempt_at_once_where_nothing_may_be_cancelled(bench, connected):
    """Only the module's cancel ended it, which a deployment may forbid: the job then went out for nobody."""
    bench.exchange.reconfigure(api.Settings(classes=SETTINGS.classes, max_attempts=3, tick=5.0))
    number = bench.job()
    await asyncio.wait_for(connected.here.wait(), TIMEOUT_S)
    reader, _ = await bench.peer()
    bench.exchange.withdraw(number)
    connected.go.set()
    await soon(lambda: bench.pool._idle)
    bench.pool.stop()
    assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
    assert bench.exchange.jobs.by_number == {}


async def test_a_reset_before_the_last_byte_proves_that_it_never_ran(bench, before_last_byte):
    bench.job(ONCE)
    await asyncio.wait_for(before_last_byte.here.wait(), TIMEOUT_S)
    _, writer = await bench.peer()
    first = bench.attempt
    writer.transport.abort()
    select.select([first.channel.stream.socket], [], [], TIMEOUT_S)  # it is there, and the loop has not seen it
    before_last_byte.go.set()
    await soon(lambda: first.outcome is not None)
    assert (first.outcome, first.fully_written) == (api.Outcome.CONNECT_FAILED, False)


async def test_a_worker_is_told_how_long_its_answer_is_waited_for(bench):
    """In the wrong unit it was a thousandth of that, and workers that look at it turned the jobs away as too late."""
    bench.job()
    reader, _ = await bench.peer()
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
    assert 40 < float(head.partition(b"X-Timeout: ")[2].partition(b"\r\n")[0]) <= 60


async def test_a_reset_after_the_last_byte_proves_nothing(bench):
    bench.job(ONCE)
    _, writer = await bench.whole()
    writer.transport.abort()
    await soon(lambda: bench.answers)
    assert bench.attempt.outcome is api.Outcome.RESET
    assert [answer.final for answer in bench.answers] == [Final.FAILED]
    assert bench.peers.accepted.empty()


async def test_what_is_told_of_an_earlier_time_there_does_not_end_an_attempt_that_has_not_begun(
    bench, before_last_byte
):
    bench.job(ONCE)
    await asyncio.wait_for(before_last_byte.here.wait(), TIMEOUT_S)
    for state in ("returned", "failed", "lost", "started"):
        assert not bench.news(state)
    before_last_byte.go.set()
    _, writer = await bench.whole()
    writer.write(TAKEN)
    assert bench.attempt.outcome is None
    assert bench.news("done")
    assert [answer.final for answer in bench.answers] == [Final.SERVED]


async def test_a_second_final_call_changes_nothing(bench):
    bench.job(ONCE)
    _, writer = await bench.whole()
    writer.write(TAKEN)
    await soon(lambda: bench.attempt.channel is None)
    assert bench.news("failed")
    for state in ("returned", "done", "lost", "failed"):
        assert not bench.news(state)
    assert [answer.final for answer in bench.answers] == [Final.FAILED]
    assert bench.peers.accepted.empty()


async def test_a_202_that_crosses_the_close_is_followed_by_a_cancel(bench):
    """The worker had taken the job, so that the close told it nothing; it worked on for nobody."""
    number = bench.job()
    _, writer = await bench.whole()
    await soon(lambda: bench.attempt.fully_written)
    writer.write(TAKEN)
    select.select([bench.attempt.channel.stream.socket], [], [], TIMEOUT_S)
    bench.exchange.withdraw(number)
    reader, _ = await bench.peer()
    assert (await asyncio.wait_for(reader.readuntil(b"\r\n"), TIMEOUT_S)) == b"DELETE /jobs/a HTTP/1.1\r\n"


async def test_a_cancel_is_answered_before_the_same_id_goes_there_again(bench):
    """It names the id: told late, it would end the newer attempt."""
    number = bench.job()
    _, writer = await bench.whole()
    writer.write(TAKEN)
    await soon(lambda: bench.attempt.channel is None)
    bench.pool.stop()
    bench.exchange._execute(api.CancelAttempt(number, 0))
    reader, canceller = await bench.peer()
    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
    await soon(lambda: len(bench.held.attempts) == 2)  # the module sends it there once more
    again, _ = await bench.peer()
    read = asyncio.create_task(again.read(1))
    await soon(lambda: bench.attempt.channel is not None)
    for _ in range(50):
        await asyncio.sleep(0)
    assert not read.done() and not bench.attempt.fully_written
    canceller.write(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert await asyncio.wait_for(read, TIMEOUT_S) == b"P"
    await asyncio.wait_for(again.readuntil(BODY), TIMEOUT_S)


@pytest.mark.parametrize("said", [b"", b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nx", b"HTTP/1.1 202 Acc"])
async def test_an_answer_that_never_ends_is_let_go_once_its_job_is_done(bench, monkeypatch, said):
    monkeypatch.setattr(send, "ANSWER_LATE", 0.0)
    bench.job()
    reader, writer = await bench.whole()
    await soon(lambda: bench.attempt.fully_written)
    writer.write(said)
    assert bench.news("started")
    assert bench.news("done")
    assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
    await soon(lambda: not bench.pool.open)


async def test_a_repeat_has_to_begin_while_the_first_is_remembered(bench):
    bench.job(KEYED)
    _, writer = await bench.whole()
    first = bench.attempt
    assert first.write_deadline == float("inf")
    bench.exchange.clock.offset += 10  # so many s go by
    writer.transport.abort()
    await soon(lambda: len(bench.held.attempts) == 2)
    # counted from the first, and not from now on; the module's clock and the exchange's are read a moment apart
    assert bench.attempt.write_deadline == pytest.approx(first.sent + 30_000, abs=5_000)
