"""The core alone, with a clock and sides of its own: one answer for each job, whatever comes."""

import subprocess
import sys
import unittest
from collections import Counter
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from millethead.decide import interface as api
from millethead.exchange import Exchange, Final, Listed, Order
from millethead.lab.clock import VirtualClock

SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)
UNSAFE = api.JobClass(deadline=5000, aim=2000, stretch=2)
SETTINGS = api.Settings(classes=(SAFE, UNSAFE), may_cancel=True, max_attempts=3, tick=5.0)


class Side:
    def __init__(self):
        self.started, self.given_up = [], []

    def start(self, attempt):
        self.started.append(attempt)

    def give_up(self, attempt):
        self.given_up.append(attempt)

    def probe(self, worker):
        raise AssertionError("no probes are allowed here")


class Core(unittest.TestCase):
    def setUp(self):
        self.clock, self.side, self.answers = VirtualClock(1000.0), Side(), []
        self.exchange = Exchange(SETTINGS, 1, self.clock)
        self.exchange.listed(self.side, api.ListForm.FULL, [Listed("w1"), Listed("w2")])

    def arrive(self, job_id, job_class=0):
        return self.exchange.arrive(Order(job_id, job_class, 5000.0), self.answers.append)

    def finals(self):
        return [answer.final for answer in self.answers]

    def test_an_attempt_ends_once_and_a_job_is_answered_once(self):
        self.arrive("a")
        (attempt,) = self.side.started
        self.exchange.ended(attempt, api.Outcome.OK, b"seat")
        self.exchange.ended(attempt, api.Outcome.RESET)
        self.exchange.ended(attempt, api.Outcome.OK, b"other")
        self.clock.run(20_000)
        self.assertEqual([(a.final, a.result) for a in self.answers], [(Final.SERVED, b"seat")])
        self.assertEqual((self.exchange.held, self.exchange.jobs.by_number, self.exchange.jobs.body_bytes), (0, {}, 0))

    def test_silence_is_a_time_out_and_answered_before_the_client_quits(self):
        self.arrive("a", 1)
        self.clock.run(5999)
        self.assertEqual(self.finals(), [Final.FAILED])
        self.assertEqual(len(self.side.given_up), 1)

    def test_a_module_that_breaks_leaves_no_job_without_answer(self):
        with mock.patch.object(self.exchange._module, "handle", side_effect=ZeroDivisionError):
            self.arrive("a")
            self.clock.run(6010)
        self.assertEqual(self.finals(), [Final.FAILED])

    def test_the_last_guard_stops_a_second_run_of_what_must_not_run_twice(self):
        number = self.arrive("a", 1)
        (attempt,) = self.side.started
        again = [api.Send(number, attempt.worker.number)]
        with mock.patch.object(self.exchange._module, "handle", side_effect=[again, []]):
            self.exchange.ended(attempt, api.Outcome.RESET)
        self.assertEqual(len(self.side.started), 1)

    def test_an_id_that_may_have_run_is_not_run_again(self):
        self.arrive("a", 1)
        self.arrive("a", 1)  # while it is held
        self.exchange.ended(self.side.started[0], api.Outcome.RESET)
        self.arrive("a", 1)  # and after
        self.assertEqual((self.finals(), len(self.side.started)), ([Final.FAILED] * 3, 1))

    def test_an_id_that_comes_again_after_its_answer_costs_workers_nothing(self):
        """A bad client copies a usual client's id: workers turn that away, and looked ill for it."""
        self.arrive("a")
        self.exchange.ended(self.side.started[0], api.Outcome.OK, b"seat")
        self.arrive("a")
        self.assertEqual((self.finals(), len(self.side.started)), ([Final.SERVED, Final.FAILED], 1))

    def test_a_stage_may_offer_a_refused_job_again_but_not_one_that_may_have_run(self):
        def again(job_id, job_class):
            return self.exchange.arrive(Order(job_id, job_class, 5000.0, again=True), self.answers.append)

        self.clock.run(1000)
        self.exchange.listed(self.side, api.ListForm.FULL, [])
        self.arrive("a", 1)  # no worker is left: refused, and never ran
        self.clock.run(7000)
        self.assertEqual(self.finals(), [Final.REFUSED])
        self.assertTrue(again("a", 1))
        self.exchange.record("", "a").may_have_run = True
        self.clock.run(13_000)
        self.assertEqual((again("a", 1), self.finals()[-1]), (0, Final.FAILED))

    def test_a_job_that_a_worker_cannot_use_fails_at_once_and_the_worker_is_not_blamed(self):
        self.exchange.listed(self.side, api.ListForm.FULL, [Listed("w1")])
        for n in range(3):
            self.arrive(f"a{n}")
            self.exchange.ended(self.side.started[-1], api.Outcome.ERROR, unusable=True)
        self.assertEqual((self.finals(), len(self.side.started)), ([Final.FAILED] * 3, 3))
        for n in range(3, 7):  # but one that finds fault with every job is ill
            self.arrive(f"a{n}")
            self.exchange.ended(self.side.started[-1], api.Outcome.ERROR, unusable=True)
        self.arrive("b")
        self.assertEqual(len(self.side.started), 7)

    def test_all_is_answered_before_the_program_may_be_killed(self):
        """What SIGKILL found unanswered was lost: deadlines are up to 25 s, and the platform waits 3.7 s."""
        self.arrive("a", 1)
        self.clock.run(1500)
        self.exchange.leave(1000.0)
        self.assertFalse(self.exchange.ready)
        self.arrive("b")  # still taken, and not late for its short time
        self.assertEqual(len(self.side.started), 2)
        self.clock.run(2499)
        self.assertEqual(self.finals(), [Final.FAILED, Final.REFUSED])
        self.assertEqual(self.exchange.held, 0)

    def test_a_withdrawn_job_gets_no_answer_and_its_attempt_is_given_up(self):
        self.exchange.withdraw(self.arrive("a"))
        self.clock.run(20_000)
        self.assertEqual((self.answers, len(self.side.given_up), self.exchange.jobs.by_number), ([], 1, {}))

    def test_a_whole_list_speaks_for_its_own_side_alone(self):
        other = Side()
        self.exchange.listed(other, api.ListForm.DELTA, [Listed("w9")])
        self.exchange.listed(self.side, api.ListForm.FULL, [])
        self.arrive("a")
        self.assertEqual([a.worker.name for a in other.started], ["w9"])

    def test_what_is_held_is_bounded(self):
        with mock.patch("millethead.exchange.held.HELD", 2):
            for job_id in "abc":
                self.arrive(job_id)
        self.assertEqual(self.finals(), [Final.REFUSED])
        for n in range(5):
            with mock.patch("millethead.exchange.records.KEPT", 2):
                self.exchange.ended(self.side.started[0], api.Outcome.OK)
                self.side.started.clear()
                self.arrive(f"d{n}")
        self.assertLessEqual(len(self.exchange.jobs._records), 2)

    def test_the_core_knows_no_wire(self):
        code = (
            "import sys, millethead.exchange as x; print(sorted(m for m in sys.modules if 'tornado' in m"
            " or m.startswith(('http', 'millethead.net', 'millethead.fronts'))))"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(done.stdout.strip(), "[]")


class Figures(unittest.TestCase):
    """The figures against what the peers saw, whatever comes."""

    STEPS = st.lists(
        st.tuples(
            st.sampled_from(("arrive", "again", "write", "end", "late", "quit", "gone", "wait")),
            st.integers(0, 9),
            st.sampled_from(list(api.Outcome)),
        ),
        max_size=60,
    )

    @settings(max_examples=150, deadline=None)
    @given(STEPS, st.booleans())
    def test_figures_are_what_peers_saw(self, steps, closing):
        clock, side, seen = VirtualClock(1000.0), Side(), Counter()
        exchange = Exchange(SETTINGS, 1, clock)
        exchange.listed(side, api.ListForm.FULL, [Listed("w1"), Listed("w2"), Listed("w3")])
        numbers, wrote, ended = [], Counter(), []

        def arrive(job_id, job_class):
            def reply(answer):
                seen[job_class, answer.final] += 1

            numbers.append(exchange.arrive(Order(job_id, job_class, 5000.0), reply))

        for n, (what, pick, outcome) in enumerate(steps):
            running = [a for a in side.started if a.outcome is None]
            if what == "arrive":
                arrive(f"j{n}", pick % 2)
            elif what == "again":  # the id of a job that is held, has ended, or is new
                arrive(f"j{pick}", pick % 2)
            elif what == "write" and running and not running[pick % len(running)].whole:
                attempt = running[pick % len(running)]
                exchange.written(attempt)
                wrote[attempt.order.job_class] += 1
            elif what == "end" and running:
                attempt = running[pick % len(running)]
                exchange.ended(attempt, outcome)
                ended.append(attempt)
            elif what == "late" and ended:  # an answer after the end changes nothing
                exchange.ended(ended[pick % len(ended)], api.Outcome.OK)
            elif what == "quit" and numbers:
                exchange.withdraw(numbers[pick % len(numbers)])
            elif what == "gone":
                exchange.listed(side, api.ListForm.DELTA, [Listed(f"w{pick % 3 + 1}", state=api.WorkerState.DRAINING)])
            elif what == "wait":
                clock.run(clock.now() + 400.0 * pick)
        if closing:
            exchange.close(lambda: None)
            arrive("last", 0)
        clock.run(clock.now() + 20_000.0)
        tally = exchange.tally
        for job_class in range(2):
            got = [tally.served, tally.refused, tally.failed]
            want = [seen[job_class, f] for f in (Final.SERVED, Final.REFUSED, Final.FAILED)]
            self.assertEqual([c[job_class] for c in got], want)
            self.assertEqual(tally.written[job_class], wrote[job_class])
        self.assertEqual(exchange.held, 0)
