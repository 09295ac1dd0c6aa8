"""Races of attempts with other events, on real sockets. A race is forced by pausing a coroutine or the event loop."""

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


class TransportFixture:
    """An exchange with an HTTP transport and one worker on loopback."""

    async def open(self):
        self.peers = await PeerListener().open()
        self.exchange, self.pool = Exchange(SETTINGS, 1, LoopClock()), Pool(16, TIMEOUT_S * 1000, 60_000)
        self.transport = send.HttpWorkers(
            self.exchange, self.pool, Probes(self.exchange, self.pool, lambda _: None), lambda _: None
        )
        self.answers = []
        self.list()
        return self

    def list(self, state=api.WorkerState.READY, form=api.ListForm.FULL):
        self.exchange.listed(self.transport, form, [WorkerListing("w", ("127.0.0.1", self.peers.port), state=state)])

    def job(self, job_class=SAFE, name="a"):
        number = self.exchange.arrive(Order(name, job_class, 60_000.0, target="/api", body=BODY), self.answers.append)
        self.held = self.exchange.jobs.by_number[number]
        return number

    @property
    def attempt(self):
        return self.held.attempts[-1]

    async def peer(self):
        return await asyncio.wait_for(self.peers.accepted.get(), TIMEOUT_S)

    async def received_attempt(self):
        """Returns the worker's end of the next attempt, once it has received the whole request."""
        reader, writer = await self.peer()
        await asyncio.wait_for(reader.readuntil(BODY), TIMEOUT_S)
        return reader, writer

    def callback(self, state):
        return self.transport.apply_callback("a", "w", state, b"", None)


@pytest.fixture
async def sender():
    made = await TransportFixture().open()
    yield made
    made.pool.stop()
    made.peers.close()


async def soon(condition):
    """Runs the event loop until `condition` holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


class PausePoint:
    """Pauses a coroutine: `reached` is set when it arrives, `resume` lets it continue."""

    def __init__(self):
        self.reached, self.resume = asyncio.Event(), asyncio.Event()

    async def wait(self):
        self.reached.set()
        await self.resume.wait()


@pytest.fixture
def before_last_byte(monkeypatch):
    pause, sleep = PausePoint(), asyncio.sleep
    monkeypatch.setattr(asyncio, "sleep", lambda s, *x: pause.wait() if s == send.LAST_BYTE_DELAY_S else sleep(s, *x))
    return pause


@pytest.fixture
def connected(monkeypatch):
    """Pauses an attempt when its connection is established and the sender has not continued yet."""
    pause, connect = PausePoint(), Pool._connect

    async def late(pool, address):
        conn = await connect(pool, address)
        await pause.wait()
        return conn

    monkeypatch.setattr(Pool, "_connect", late)
    return pause


def client_disconnects(sender):
    sender.exchange.withdraw(sender.held.number)


def worker_drains(sender):
    sender.list(api.WorkerState.DRAINING, api.ListForm.DELTA)


def worker_is_gone(sender):
    sender.list(api.WorkerState.GONE, api.ListForm.DELTA)


def worker_is_excluded(sender):
    sender.exchange.take_out(["w"])


def deduplication_expires(sender):
    sender.attempt.write_deadline = sender.exchange.clock.now()


def attempt_expires(sender):
    sender.attempt.end = sender.exchange.clock.now()


EVENTS = [
    client_disconnects,
    worker_drains,
    worker_is_gone,
    worker_is_excluded,
    deduplication_expires,
    attempt_expires,
]


async def trigger_while_paused(sender, pause, event):
    """Triggers `event` while the attempt is paused. Returns the attempt and the worker's end of its connection."""
    sender.job(ONCE)
    await asyncio.wait_for(pause.reached.wait(), TIMEOUT_S)
    reader, _ = await sender.peer()
    first = sender.attempt
    event(sender)
    pause.resume.set()
    return first, reader


async def assert_never_ran(attempt):
    await soon(lambda: attempt.outcome is not None)
    assert not attempt.fully_written and attempt.outcome in api.NEVER_RAN


@pytest.mark.parametrize("event", EVENTS)
async def test_event_before_the_last_byte_stops_the_attempt(sender, before_last_byte, event):
    first, reader = await trigger_while_paused(sender, before_last_byte, event)
    try:
        received = await asyncio.wait_for(reader.read(), TIMEOUT_S)
    except ConnectionError:
        received = b""
    assert not received.endswith(BODY)
    await assert_never_ran(first)


@pytest.mark.parametrize("event", EVENTS)
async def test_nothing_is_written_if_the_connection_is_established_after_the_event(sender, connected, event):
    first, reader = await trigger_while_paused(sender, connected, event)
    await assert_never_ran(first)
    await soon(lambda: sender.pool._idle)  # the connection was released
    sender.pool.stop()
    assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""


async def test_client_disconnect_ends_the_attempt_if_cancels_are_not_allowed(sender, connected):
    """Attempts were ended only by the decision module's cancel, which a deployment may disable. The job was then sent
    although no client waited for it."""
    sender.exchange.reconfigure(api.Settings(classes=SETTINGS.classes, max_attempts=3, tick=5.0))
    number = sender.job()
    await asyncio.wait_for(connected.reached.wait(), TIMEOUT_S)
    reader, _ = await sender.peer()
    sender.exchange.withdraw(number)
    connected.resume.set()
    await soon(lambda: sender.pool._idle)
    sender.pool.stop()
    assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
    assert sender.exchange.jobs.by_number == {}


async def test_reset_before_the_last_byte_proves_that_the_job_has_not_run(sender, before_last_byte):
    sender.job(ONCE)
    await asyncio.wait_for(before_last_byte.reached.wait(), TIMEOUT_S)
    _, writer = await sender.peer()
    first = sender.attempt
    writer.transport.abort()
    select.select(
        [first.channel.stream.socket], [], [], TIMEOUT_S
    )  # the reset has arrived, and the loop has not processed it
    before_last_byte.resume.set()
    await soon(lambda: first.outcome is not None)
    assert (first.outcome, first.fully_written) == (api.Outcome.CONNECT_FAILED, False)


async def test_request_has_the_remaining_time_in_seconds(sender):
    """A wrong unit made the value 1000 times too small, and workers that check it rejected the jobs as expired."""
    sender.job()
    reader, _ = await sender.peer()
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
    assert 40 < float(head.partition(b"X-Timeout: ")[2].partition(b"\r\n")[0]) <= 60


async def test_reset_after_the_last_byte_leaves_the_outcome_unknown(sender):
    sender.job(ONCE)
    _, writer = await sender.received_attempt()
    writer.transport.abort()
    await soon(lambda: sender.answers)
    assert sender.attempt.outcome is api.Outcome.RESET
    assert [answer.final for answer in sender.answers] == [Final.FAILED]
    assert sender.peers.accepted.empty()


async def test_callback_of_an_earlier_attempt_does_not_end_an_unsent_attempt(sender, before_last_byte):
    sender.job(ONCE)
    await asyncio.wait_for(before_last_byte.reached.wait(), TIMEOUT_S)
    for state in ("returned", "failed", "lost", "started"):
        assert not sender.callback(state)
    before_last_byte.resume.set()
    _, writer = await sender.received_attempt()
    writer.write(TAKEN)
    assert sender.attempt.outcome is None
    assert sender.callback("done")
    assert [answer.final for answer in sender.answers] == [Final.SERVED]


async def test_second_final_callback_has_no_effect(sender):
    sender.job(ONCE)
    _, writer = await sender.received_attempt()
    writer.write(TAKEN)
    await soon(lambda: sender.attempt.channel is None)
    assert sender.callback("failed")
    for state in ("returned", "done", "lost", "failed"):
        assert not sender.callback(state)
    assert [answer.final for answer in sender.answers] == [Final.FAILED]
    assert sender.peers.accepted.empty()


async def test_cancel_is_sent_if_a_202_crosses_the_close(sender):
    """After its 202 a worker ignores the close of the connection, and ran the job although no client waited."""
    number = sender.job()
    _, writer = await sender.received_attempt()
    await soon(lambda: sender.attempt.fully_written)
    writer.write(TAKEN)
    select.select([sender.attempt.channel.stream.socket], [], [], TIMEOUT_S)
    sender.exchange.withdraw(number)
    reader, _ = await sender.peer()
    assert (await asyncio.wait_for(reader.readuntil(b"\r\n"), TIMEOUT_S)) == b"DELETE /jobs/a HTTP/1.1\r\n"


async def test_cancel_is_answered_before_the_same_job_id_is_sent_again(sender):
    """A cancel names the job id: if it arrived late, it would end the newer attempt."""
    number = sender.job()
    _, writer = await sender.received_attempt()
    writer.write(TAKEN)
    await soon(lambda: sender.attempt.channel is None)
    sender.pool.stop()
    sender.exchange._execute(api.CancelAttempt(number, 0))
    reader, canceller = await sender.peer()
    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
    await soon(lambda: len(sender.held.attempts) == 2)  # the decision module sends the job to the same worker again
    again, _ = await sender.peer()
    read = asyncio.create_task(again.read(1))
    await soon(lambda: sender.attempt.channel is not None)
    for _ in range(50):
        await asyncio.sleep(0)
    assert not read.done() and not sender.attempt.fully_written
    canceller.write(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert await asyncio.wait_for(read, TIMEOUT_S) == b"P"
    await asyncio.wait_for(again.readuntil(BODY), TIMEOUT_S)


@pytest.mark.parametrize("response", [b"", b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nx", b"HTTP/1.1 202 Acc"])
async def test_incomplete_response_is_abandoned_once_its_job_is_done(sender, monkeypatch, response):
    monkeypatch.setattr(send, "LATE_RESPONSE_TIMEOUT_S", 0.0)
    sender.job()
    reader, writer = await sender.received_attempt()
    await soon(lambda: sender.attempt.fully_written)
    writer.write(response)
    assert sender.callback("started")
    assert sender.callback("done")
    assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
    await soon(lambda: not sender.pool.open)


async def test_repeated_attempt_has_to_start_within_the_deduplication_window(sender):
    sender.job(KEYED)
    _, writer = await sender.received_attempt()
    first = sender.attempt
    assert first.write_deadline == float("inf")
    sender.exchange.clock.offset += 10  # advances the clock by 10 s
    writer.transport.abort()
    await soon(lambda: len(sender.held.attempts) == 2)
    # counted from the first attempt; the clocks of the decision module and the exchange are read a moment apart
    assert sender.attempt.write_deadline == pytest.approx(first.sent + 30_000, abs=5_000)
