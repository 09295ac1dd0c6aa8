"""Outcomes of attempts in races that a recording cannot reproduce."""

import unittest
from unittest import mock

from millethead.decide.interface import Outcome, WorkerState
from millethead.exchange import Attempt, Order, Worker, WorkerListing
from millethead.net.connection import Closed
from millethead.net.parse import Response
from millethead.net.pool import MAX_IDLE_PER_WORKER, ConnectFailed, Pool
from millethead.net.probes import Probes
from millethead.net.send import HttpWorkers

ADDRESS = ("127.0.0.1", 9)


class HttpWorkersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.exchange, self.pool = mock.Mock(), mock.Mock()
        self.transport = HttpWorkers(self.exchange, self.pool, mock.Mock(), lambda text: None)
        self.worker = Worker(1, WorkerListing("w", ADDRESS), self.transport)

    def attempt(self, **more):
        made = Attempt(Order("a1", 0, 5000.0, target="/api"), 1, 0, self.worker, 0.0, 5000.0, **more)
        self.transport._running["a1", "w"] = made
        return made

    def outcomes(self):
        return [call.args[1] for call in self.exchange.ended.call_args_list]

    def test_returned_is_ambiguous_after_an_earlier_attempt_at_the_same_worker(self):
        """The call-back can be a repeat from the earlier attempt, while the later one is running."""
        for earlier, outcome in ((False, Outcome.FULL), (True, Outcome.RESET)):
            self.exchange.reset_mock()
            self.attempt(fully_written=True, same_worker_earlier=earlier)
            self.assertTrue(self.transport.apply_callback("a1", "w", "returned", b"", None))
            self.assertFalse(self.transport.apply_callback("a1", "w", "returned", b"", None))  # applied only once
            self.assertEqual(self.outcomes(), [outcome])

    def test_returned_before_the_last_byte_belongs_to_an_earlier_attempt(self):
        self.attempt(same_worker_earlier=True)
        self.assertFalse(self.transport.apply_callback("a1", "w", "returned", b"", None))
        self.assertEqual(self.outcomes(), [])

    async def test_nothing_is_sent_to_a_worker_that_begins_to_drain_during_the_connect(self):
        conn = mock.Mock()

        async def acquire(address, fresh):
            self.worker.take(WorkerListing("w", ADDRESS, state=WorkerState.DRAINING))
            return conn

        self.pool.acquire = acquire
        await self.transport._send(self.attempt())
        self.assertEqual(self.outcomes(), [Outcome.NEVER_SENT])
        conn.write.assert_not_called()
        self.pool.release.assert_called_once_with(ADDRESS, conn)

    async def test_probe_on_a_closed_idle_connection_is_repeated_on_a_new_one(self):
        """A worker may close idle connections at any time. It was taken for unhealthy then, and got no jobs."""
        pool, exchange = mock.Mock(), mock.Mock()
        exchange.clock.now.return_value = 1.0
        idle, new = mock.Mock(write=mock.AsyncMock(side_effect=Closed)), mock.Mock(write=mock.AsyncMock())
        pool.acquire = mock.AsyncMock(side_effect=[idle, new])
        with mock.patch("millethead.net.probes.read_response", return_value=Response(200, {}, b"x0=1")):
            await Probes(exchange, pool, lambda text: text).probe(self.worker)
        exchange.probed.assert_called_once_with(self.worker, Outcome.OK, 0.0, "x0=1")
        self.assertEqual(pool.acquire.call_args.kwargs, {"fresh": True})

    async def test_each_job_gets_a_new_connection_and_few_are_kept_idle(self):
        """If a reused connection is reset while a job is written, the job may have run."""
        self.pool.acquire = mock.AsyncMock(side_effect=ConnectFailed)
        await self.transport._send(self.attempt())
        self.pool.acquire.assert_called_once_with(ADDRESS, fresh=True)
        pool, conns = Pool(9, 1000.0, 60_000.0), [mock.Mock() for _ in range(MAX_IDLE_PER_WORKER + 1)]
        for conn in conns:
            pool.release(ADDRESS, conn)
        self.assertEqual([conn.close.called for conn in conns], [False] * MAX_IDLE_PER_WORKER + [True])

    async def test_reset_before_the_last_byte_proves_that_the_job_has_not_run(self):
        """If the request is written at once, the job may have run before the reset, and the booking fails."""
        conn = mock.Mock(write=mock.AsyncMock(), **{"socket_closed.return_value": True})
        self.exchange.clock.now.return_value = 0.0
        self.pool.acquire = mock.AsyncMock(return_value=conn)
        made = self.attempt()
        await self.transport._send(made)
        self.assertEqual((self.outcomes(), made.fully_written), ([Outcome.CONNECT_FAILED], False))
        (written,) = conn.write.call_args_list
        self.assertEqual(written.args[0][-3:], b"\r\n\r")

    async def test_failed_connect_is_repeated_once(self):
        pool, conn = Pool(9, 1000.0, 60_000.0), mock.Mock()
        for results, expected in (([ConnectFailed, conn], conn), ([ConnectFailed, ConnectFailed], None)):
            with mock.patch.object(pool, "_connect", side_effect=results) as connect:
                if expected is None:
                    with self.assertRaises(ConnectFailed):
                        await pool.acquire(ADDRESS, fresh=True)
                else:
                    self.assertIs(await pool.acquire(ADDRESS, fresh=True), expected)
                self.assertEqual(connect.call_count, 2)

    def test_two_jobs_with_the_same_id_are_never_at_one_worker_at_once(self):
        self.attempt()
        self.transport.start(Attempt(Order("a1", 0, 5000.0), 2, 0, self.worker, 0.0, 5000.0))
        self.assertEqual(self.outcomes(), [Outcome.NEVER_SENT])
