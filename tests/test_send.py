"""What the sending stage says of an attempt where a recording cannot force the moment."""

import unittest
from unittest import mock

from millethead.decide.interface import Outcome, WorkerState
from millethead.exchange import Attempt, Order, Worker, WorkerListing
from millethead.net.connection import Closed
from millethead.net.parse import Response
from millethead.net.pool import KEPT, ConnectFailed, Pool
from millethead.net.probes import Probes
from millethead.net.send import HttpWorkers

ADDRESS = ("127.0.0.1", 9)


class Sending(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.exchange, self.pool = mock.Mock(), mock.Mock()
        self.side = HttpWorkers(self.exchange, self.pool, mock.Mock(), lambda text: None)
        self.worker = Worker(1, WorkerListing("w", ADDRESS), self.side)

    def attempt(self, **more):
        made = Attempt(Order("a1", 0, 5000.0, target="/api"), 1, 0, self.worker, 0.0, 5000.0, **more)
        self.side._running["a1", "w"] = made
        return made

    def outcomes(self):
        return [call.args[1] for call in self.exchange.ended.call_args_list]

    def test_returned_proves_nothing_where_the_job_was_at_that_worker_before(self):
        """It can be the news of the earlier attempt once more, and the later one may be running."""
        for earlier, outcome in ((False, Outcome.FULL), (True, Outcome.RESET)):
            self.exchange.reset_mock()
            self.attempt(fully_written=True, same_worker_earlier=earlier)
            self.assertTrue(self.side.news("a1", "w", "returned", b"", None))
            self.assertFalse(self.side.news("a1", "w", "returned", b"", None))  # acted on once
            self.assertEqual(self.outcomes(), [outcome])

    def test_returned_before_the_last_byte_is_of_an_earlier_attempt(self):
        self.attempt(same_worker_earlier=True)
        self.assertFalse(self.side.news("a1", "w", "returned", b"", None))
        self.assertEqual(self.outcomes(), [])

    async def test_nothing_is_sent_to_a_worker_that_began_to_drain_while_its_connection_came_up(self):
        conn = mock.Mock()

        async def take(address, fresh):
            self.worker.take(WorkerListing("w", ADDRESS, state=WorkerState.DRAINING))
            return conn

        self.pool.take = take
        await self.side._try(self.attempt())
        self.assertEqual(self.outcomes(), [Outcome.NEVER_SENT])
        conn.write.assert_not_called()
        self.pool.give_back.assert_called_once_with(ADDRESS, conn)

    async def test_a_probe_whose_kept_connection_was_closed_asks_once_more_on_a_new_one(self):
        """A worker may close what stands idle at any moment; it looked ill for it, and got no work."""
        pool, exchange = mock.Mock(), mock.Mock()
        exchange.clock.now.return_value = 1.0
        kept, new = mock.Mock(write=mock.AsyncMock(side_effect=Closed)), mock.Mock(write=mock.AsyncMock())
        pool.take = mock.AsyncMock(side_effect=[kept, new])
        with mock.patch("millethead.net.probes.read_response", return_value=Response(200, {}, b"x0=1")):
            await Probes(exchange, pool, lambda text: text).probe(self.worker)
        exchange.probed.assert_called_once_with(self.worker, Outcome.OK, 0.0, "x0=1")
        self.assertEqual(pool.take.call_args.kwargs, {"fresh": True})

    async def test_a_job_gets_a_connection_of_its_own_and_few_are_kept(self):
        """A kept one that is reset as the job is written says that the job may have run."""
        self.pool.take = mock.AsyncMock(side_effect=ConnectFailed)
        await self.side._try(self.attempt())
        self.pool.take.assert_called_once_with(ADDRESS, fresh=True)
        pool, conns = Pool(9, 1000.0, 60_000.0), [mock.Mock() for _ in range(KEPT + 1)]
        for conn in conns:
            pool.give_back(ADDRESS, conn)
        self.assertEqual([conn.close.called for conn in conns], [False] * KEPT + [True])

    async def test_a_connection_reset_as_the_job_comes_proves_that_it_never_ran(self):
        """Written at once, the job may have run for all that is known, and a booking failed for it."""
        conn = mock.Mock(write=mock.AsyncMock(), **{"broken.return_value": True})
        self.exchange.clock.now.return_value = 0.0
        self.pool.take = mock.AsyncMock(return_value=conn)
        made = self.attempt()
        await self.side._try(made)
        self.assertEqual((self.outcomes(), made.fully_written), ([Outcome.CONNECT_FAILED], False))
        (written,) = conn.write.call_args_list
        self.assertEqual(written.args[0][-3:], b"\r\n\r")

    async def test_a_connection_that_fails_as_it_comes_up_is_tried_once_more(self):
        pool, conn = Pool(9, 1000.0, 60_000.0), mock.Mock()
        for ends, wants in (([ConnectFailed, conn], conn), ([ConnectFailed, ConnectFailed], None)):
            with mock.patch.object(pool, "_connect", side_effect=ends) as connect:
                if wants is None:
                    with self.assertRaises(ConnectFailed):
                        await pool.take(ADDRESS, fresh=True)
                else:
                    self.assertIs(await pool.take(ADDRESS, fresh=True), wants)
                self.assertEqual(connect.call_count, 2)

    def test_two_jobs_of_one_id_are_never_at_one_worker_together(self):
        self.attempt()
        self.side.start(Attempt(Order("a1", 0, 5000.0), 2, 0, self.worker, 0.0, 5000.0))
        self.assertEqual(self.outcomes(), [Outcome.NEVER_SENT])
