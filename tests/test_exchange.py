"""Tests of the exchange with a virtual clock and a stand-in transport: each job gets exactly one answer."""

import subprocess
import sys
import unittest
from collections import Counter
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from millethead.decide import interface as api
from millethead.exchange import Exchange, Final, Order, WorkerListing
from millethead.lab.clock import VirtualClock

SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)
UNSAFE = api.JobClass(deadline=5000, aim=2000, stretch=2)
SETTINGS = api.Settings(classes=(SAFE, UNSAFE), may_cancel=True, max_attempts=3, tick=5.0)


class StandInTransport:
    def __init__(self):
        self.started, self.given_up = [], []

    def start(self, attempt):
        self.started.append(attempt)

    def give_up(self, attempt):
        self.given_up.append(attempt)

    def probe(self, worker):
        raise AssertionError("the settings of this test allow no probes")


class ExchangeTest(unittest.TestCase):
    def setUp(self):
        self.clock, self.transport, self.answers = VirtualClock(1000.0), StandInTransport(), []
        self.exchange = Exchange(SETTINGS, 1, self.clock)
        self.exchange.listed(self.transport, api.ListForm.FULL, [WorkerListing("w1"), WorkerListing("w2")])

    def arrive(self, job_id, job_class=0):
        return self.exchange.arrive(Order(job_id, job_class, 5000.0), self.answers.append)

    def finals(self):
        return [answer.final for answer in self.answers]

    def test_an_attempt_ends_once_and_a_job_is_answered_once(self):
        self.arrive("a")
        (attempt,) = self.transport.started
        self.exchange.ended(attempt, api.Outcome.OK, b"seat")
        self.exchange.ended(attempt, api.Outcome.RESET)
        self.exchange.ended(attempt, api.Outcome.OK, b"other")
        self.clock.run(20_000)
        self.assertEqual([(a.final, a.result) for a in self.answers], [(Final.SERVED, b"seat")])
        self.assertEqual((self.exchange.held, self.exchange.jobs.by_number, self.exchange.jobs.body_bytes), (0, {}, 0))

    def test_a_worker_that_never_answers_times_out_before_the_client_does(self):
        self.arrive("a", 1)
        self.clock.run(5999)
        self.assertEqual(self.finals(), [Final.FAILED])
        self.assertEqual(len(self.transport.given_up), 1)

    def test_a_failing_decision_module_leaves_no_job_unanswered(self):
        with mock.patch.object(self.exchange._module, "handle", side_effect=ZeroDivisionError):
            self.arrive("a")
            self.clock.run(6010)
        self.assertEqual(self.finals(), [Final.FAILED])

    def test_the_exchange_refuses_to_resend_an_unsafe_job_that_may_have_run(self):
        number = self.arrive("a", 1)
        (attempt,) = self.transport.started
        again = [api.Send(number, attempt.worker.number)]
        with mock.patch.object(self.exchange._module, "handle", side_effect=[again, []]):
            self.exchange.ended(attempt, api.Outcome.RESET)
        self.assertEqual(len(self.transport.started), 1)

    def test_a_repeated_id_that_may_have_run_is_not_run_again(self):
        self.arrive("a", 1)
        self.arrive("a", 1)  # while it is held
        self.exchange.ended(self.transport.started[0], api.Outcome.RESET)
        self.arrive("a", 1)  # and after
        self.assertEqual((self.finals(), len(self.transport.started)), ([Final.FAILED] * 3, 1))

    def test_a_repeated_id_is_not_sent_to_a_worker_after_its_answer(self):
        """A misbehaving client that copies another client's id made the workers reject the job, and these
        rejections counted against the workers' health."""
        self.arrive("a")
        self.exchange.ended(self.transport.started[0], api.Outcome.OK, b"seat")
        self.arrive("a")
        self.assertEqual((self.finals(), len(self.transport.started)), ([Final.SERVED, Final.FAILED], 1))

    def test_a_stage_may_resubmit_a_refused_job_but_not_one_that_may_have_run(self):
        def resubmit(job_id, job_class):
            return self.exchange.arrive(Order(job_id, job_class, 5000.0, again=True), self.answers.append)

        self.clock.run(1000)
        self.exchange.listed(self.transport, api.ListForm.FULL, [])
        self.arrive("a", 1)  # no worker is listed: the job is refused without having run
        self.clock.run(7000)
        self.assertEqual(self.finals(), [Final.REFUSED])
        self.assertTrue(resubmit("a", 1))
        self.exchange.record("", "a").may_have_run = True
        self.clock.run(13_000)
        self.assertEqual((resubmit("a", 1), self.finals()[-1]), (0, Final.FAILED))

    def test_an_invalid_job_fails_at_once_and_does_not_count_against_the_worker(self):
        self.exchange.listed(self.transport, api.ListForm.FULL, [WorkerListing("w1")])
        for n in range(3):
            self.arrive(f"a{n}")
            self.exchange.ended(self.transport.started[-1], api.Outcome.ERROR, unusable=True)
        self.assertEqual((self.finals(), len(self.transport.started)), ([Final.FAILED] * 3, 3))
        for n in range(3, 7):  # a worker that rejects every job is unhealthy
            self.arrive(f"a{n}")
            self.exchange.ended(self.transport.started[-1], api.Outcome.ERROR, unusable=True)
        self.arrive("b")
        self.assertEqual(len(self.transport.started), 7)

    def test_every_job_is_answered_before_the_process_may_be_killed(self):
        """Jobs that were unanswered at SIGKILL were lost: deadlines are up to 25 s, but the platform sends
        SIGKILL 3.7 s after SIGTERM."""
        self.arrive("a", 1)
        self.clock.run(1500)
        self.exchange.leave(1000.0)
        self.assertFalse(self.exchange.ready)
        self.arrive("b")  # still accepted, with a shortened deadline
        self.assertEqual(len(self.transport.started), 2)
        self.clock.run(2499)
        self.assertEqual(self.finals(), [Final.FAILED, Final.REFUSED])
        self.assertEqual(self.exchange.held, 0)

    def test_a_withdrawn_job_gets_no_answer_and_its_attempt_is_cancelled(self):
        self.exchange.withdraw(self.arrive("a"))
        self.clock.run(20_000)
        self.assertEqual((self.answers, len(self.transport.given_up), self.exchange.jobs.by_number), ([], 1, {}))

    def test_a_complete_list_replaces_only_the_workers_of_its_transport(self):
        other = StandInTransport()
        self.exchange.listed(other, api.ListForm.DELTA, [WorkerListing("w9")])
        self.exchange.listed(self.transport, api.ListForm.FULL, [])
        self.arrive("a")
        self.assertEqual([a.worker.name for a in other.started], ["w9"])

    def test_held_jobs_and_records_are_bounded(self):
        with mock.patch("millethead.exchange.held_jobs.MAX_HELD_JOBS", 2):
            for job_id in "abc":
                self.arrive(job_id)
        self.assertEqual(self.finals(), [Final.REFUSED])
        for n in range(5):
            with mock.patch("millethead.exchange.records.MAX_RECORDS", 2):
                self.exchange.ended(self.transport.started[0], api.Outcome.OK)
                self.transport.started.clear()
                self.arrive(f"d{n}")
        self.assertLessEqual(len(self.exchange.jobs._records), 2)

    def test_the_exchange_imports_no_network_code(self):
        code = (
            "import sys, millethead.exchange as x; print(sorted(m for m in sys.modules if 'tornado' in m"
            " or m.startswith(('http', 'millethead.net', 'millethead.frontends'))))"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(done.stdout.strip(), "[]")


class CountersTest(unittest.TestCase):
    """Compares the counters with what clients and workers saw, for arbitrary sequences of events."""

    STEPS = st.lists(
        st.tuples(
            st.sampled_from(("arrive", "repeat", "write", "end", "late", "withdraw", "drain", "wait")),
            st.integers(0, 9),
            st.sampled_from(list(api.Outcome)),
        ),
        max_size=60,
    )

    @settings(max_examples=150, deadline=None)
    @given(STEPS, st.booleans())
    def test_counters_match_what_clients_and_workers_saw(self, steps, closing):
        clock, transport, seen = VirtualClock(1000.0), StandInTransport(), Counter()
        exchange = Exchange(SETTINGS, 1, clock)
        exchange.listed(transport, api.ListForm.FULL, [WorkerListing("w1"), WorkerListing("w2"), WorkerListing("w3")])
        numbers, written, ended = [], Counter(), []

        def arrive(job_id, job_class):
            def reply(answer):
                seen[job_class, answer.final] += 1

            numbers.append(exchange.arrive(Order(job_id, job_class, 5000.0), reply))

        for n, (step, pick, outcome) in enumerate(steps):
            running = [a for a in transport.started if a.outcome is None]
            if step == "arrive":
                arrive(f"j{n}", pick % 2)
            elif step == "repeat":  # the id of a job that is held, has ended, or is new
                arrive(f"j{pick}", pick % 2)
            elif step == "write" and running and not running[pick % len(running)].fully_written:
                attempt = running[pick % len(running)]
                exchange.written(attempt)
                written[attempt.order.job_class] += 1
            elif step == "end" and running:
                attempt = running[pick % len(running)]
                exchange.ended(attempt, outcome)
                ended.append(attempt)
            elif step == "late" and ended:  # a report after the end has no effect
                exchange.ended(ended[pick % len(ended)], api.Outcome.OK)
            elif step == "withdraw" and numbers:
                exchange.withdraw(numbers[pick % len(numbers)])
            elif step == "drain":
                exchange.listed(
                    transport, api.ListForm.DELTA, [WorkerListing(f"w{pick % 3 + 1}", state=api.WorkerState.DRAINING)]
                )
            elif step == "wait":
                clock.run(clock.now() + 400.0 * pick)
        if closing:
            exchange.close(lambda: None)
            arrive("last", 0)
        clock.run(clock.now() + 20_000.0)
        counters = exchange.counters
        for job_class in range(2):
            got = [counters.served, counters.refused, counters.failed]
            want = [seen[job_class, f] for f in (Final.SERVED, Final.REFUSED, Final.FAILED)]
            self.assertEqual([c[job_class] for c in got], want)
            self.assertEqual(counters.written[job_class], written[job_class])
        self.assertEqual(exchange.held, 0)
