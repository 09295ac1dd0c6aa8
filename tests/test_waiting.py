"""The stage for delayed jobs on a virtual clock: set times, parents, deadlines, retries, limits and shutdown."""

import unittest

from millethead.decide import interface as api
from millethead.exchange import Exchange, Final, Order, WorkerListing
from millethead.exchange.model import Answer, Plan
from millethead.exchange.records import Record
from millethead.exchange.stage import Amendment, InvalidOrder
from millethead.lab.clock import VirtualClock
from millethead.waiting.ageing import ANSWER_MARGIN_MS, aged_flow
from millethead.waiting.calendar import BUCKET_WIDTH_MS, Calendar
from millethead.waiting.delayed_jobs import CHEAP_STEPS_PER_OFFER
from millethead.waiting.entry import JobState
from millethead.waiting.setup import ClassBound, WaitingSetup
from millethead.waiting.stage import WaitingStage

NAMES = ["search", "booking", "report"]
SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)
UNSAFE = api.JobClass(deadline=5000, aim=2000, stretch=2)
SETTINGS = api.Settings(classes=(SAFE, UNSAFE, SAFE), may_cancel=True, max_attempts=3, tick=5.0)
HOUR = 3_600_000.0


class FakeNextStage:
    """The next stage; the test decides how it answers."""

    def __init__(self):
        self.settings, self.finished = SETTINGS, None
        self.ready, self.held, self.closing = True, 0, False
        self.held_jobs, self.records, self.withdrawn, self.immediate_answer = {}, {}, [], None
        self.last_number = 0

    def counts(self):
        return {}

    def record(self, origin, job_id):
        return self.records.get((origin, job_id))

    def arrive(self, order, reply):
        if self.immediate_answer is not None:
            reply(Answer(self.immediate_answer))
            return 0
        previous = self.records.get((order.origin, order.id))
        assert previous is None or (order.again and previous.final is Final.REFUSED), "an id arrived twice"
        self.last_number += 1
        self.records[order.origin, order.id] = Record(0.0)
        self.held_jobs[order.id] = (order, reply, self.last_number)
        return self.last_number

    def end(self, job_id, final=Final.SERVED, ran=False, attempts=0):
        order, reply, _ = self.held_jobs.pop(job_id)
        record = self.records[order.origin, job_id]
        record.final, record.may_have_run, record.attempts, record.ended = final, ran, attempts, True
        reply(Answer(final))

    def withdraw(self, number):
        for job_id, (order, _, n) in list(self.held_jobs.items()):
            if n == number:
                del self.held_jobs[job_id]
                self.records[order.origin, job_id] = Record(0.0, ended=True, state="withdrawn")
                self.withdrawn.append(job_id)

    def amend(self, amendment):
        pass

    def leave(self, left):
        pass

    def close(self, empty):
        empty()


class WaitingStageTest(unittest.TestCase):
    setup = WaitingSetup(jobs=10, bytes=1000, edges=20, horizon_s=7200.0, classes={"report": ClassBound(bound_s=60.0)})

    def setUp(self):
        self.open(self.setup)

    def open(self, setup, **more):
        self.clock, self.inner, self.answers = VirtualClock(), FakeNextStage(), []
        self.stage = WaitingStage(self.inner, setup, NAMES, self.clock, **more)
        self.start = self.clock.now()

    def order(self, job_id, job_class=0, at=0.0, after=(), run_if_parent_fails=False, origin="faktory", **more):
        plan = Plan(self.clock.wall() + at if at else 0.0, tuple(after), run_if_parent_fails) if at or after else None
        return Order(job_id, job_class, 5000.0, origin=origin, plan=plan, **more)

    def push(self, job_id, *args, **more):
        order = self.order(job_id, *args, **more)
        return self.stage.arrive(order, lambda answer: self.answers.append((job_id, answer.final)))

    def run_for(self, ms):
        self.clock.run(self.clock.now() + ms)

    def state(self, job_id):
        return self.stage.record("faktory", job_id).state

    # ---- set times -----------------------------------------------------------------------------------

    def test_scheduled_job_starts_at_its_set_time(self):
        self.push("a", at=1000.0)
        self.assertEqual((self.state("a"), self.stage.counts()["scheduled"]), ("scheduled", 1))
        self.run_for(999)
        self.assertEqual(self.inner.held_jobs, {})
        self.run_for(1 + BUCKET_WIDTH_MS)
        self.assertEqual(list(self.inner.held_jobs), ["a"])
        # its deadline counts from the set time
        self.assertAlmostEqual(self.inner.held_jobs["a"][0].left, 5000.0, delta=BUCKET_WIDTH_MS)
        self.inner.end("a")
        self.assertEqual((self.answers, self.stage.held), ([("a", Final.SERVED)], 0))

    def test_past_set_time_means_now_and_one_beyond_the_horizon_is_an_error(self):
        self.push("a", at=-5000.0)
        self.assertEqual(list(self.inner.held_jobs), ["a"])
        with self.assertRaisesRegex(InvalidOrder, "7200 s ahead"):
            self.push("b", at=7_200_001.0)
        self.assertIsNone(self.stage.record("faktory", "b"))
        self.assertEqual(len(self.stage.delayed_jobs.entries), 1)

    def test_wall_clock_step_forward_starts_jobs_and_step_back_delays_them_but_no_job_starts_twice(self):
        self.push("a", at=HOUR)
        self.push("b", at=HOUR + 1000)
        self.clock.ahead = HOUR
        self.run_for(600)
        self.assertEqual(list(self.inner.held_jobs), ["a"])
        self.clock.ahead = 0.0  # step back: a started job does not start again, the other one stays scheduled
        self.run_for(2000)
        self.assertEqual((list(self.inner.held_jobs), self.state("b")), (["a"], "scheduled"))
        self.run_for(HOUR)
        self.assertEqual(list(self.inner.held_jobs), ["a", "b"])

    def test_wall_clock_step_back_neither_loses_a_job_nor_starts_it_early(self):
        self.push("a", at=1000.0)
        self.clock.ahead = -HOUR
        self.run_for(HOUR)
        self.assertEqual(self.inner.held_jobs, {})
        self.run_for(1000 + BUCKET_WIDTH_MS)
        self.assertEqual(list(self.inner.held_jobs), ["a"])

    def test_wall_clock_step_back_in_the_middle_of_a_due_bucket_reschedules_the_rest(self):
        self.open(WaitingSetup())
        delayed_jobs, now = self.stage.delayed_jobs, self.clock.now()
        for n in range(CHEAP_STEPS_PER_OFFER + 3):
            delayed_jobs.arrive(self.order(f"a{n}", at=1000.0), self.answers.append, lambda *_: None, now, now)
        delayed_jobs.step(now + 1050, now + 1050, 1)
        delayed_jobs.step(now + 1051, now, 10)
        self.assertEqual(delayed_jobs.counts[JobState.SCHEDULED], 3)
        delayed_jobs.step(now + 2100, now + 1050, 10)
        self.assertEqual(delayed_jobs.counts[JobState.SCHEDULED], 0)

    # ---- parents -------------------------------------------------------------------------------------

    def test_child_starts_after_all_its_parents_were_served(self):
        self.push("a")
        self.push("b", at=500.0)
        self.push("c", after=["a", "b"])
        self.assertEqual(self.state("c"), "waiting")
        self.inner.end("a")
        self.assertNotIn("c", self.inner.held_jobs)
        self.run_for(600)
        self.inner.end("b")
        self.assertIn("c", self.inner.held_jobs)
        self.assertEqual(self.stage.delayed_jobs.dependency_count, 0)

    def test_parents_may_belong_to_another_front(self):
        self.push("a", origin="http")
        self.inner.end("a")
        self.push("b", after=["a"])
        self.assertIn("b", self.inner.held_jobs)
        self.push("c", after=["b"])
        self.push("d", after=["c"], origin="http")
        self.inner.end("b")
        self.inner.end("c")
        self.assertIn("d", self.inner.held_jobs)

    def test_parent_that_was_not_served_fails_all_its_descendants_at_once(self):
        for final in (Final.FAILED, Final.REFUSED):
            with self.subTest(final):
                self.setUp()
                self.push("a")
                self.push("b", after=["a"])
                self.push("c", after=["b"])
                self.push("d", after=["a"], run_if_parent_fails=True)
                self.inner.end("a", final)
                self.assertEqual(self.answers[1:], [("b", Final.FAILED), ("c", Final.FAILED)])
                self.assertIn("d", self.inner.held_jobs)
                self.push("e", after=["b"])  # a child submitted after the parent failed
                self.assertEqual(self.answers[-1], ("e", Final.FAILED))
                self.assertEqual(self.stage.record("faktory", "e").final, Final.FAILED)

    def test_withdrawn_or_expired_parent_fails_its_children(self):
        number = self.push("a", at=1000.0)
        self.push("b", after=["a"])
        self.stage.withdraw(number)
        self.assertEqual(self.answers, [("b", Final.FAILED)])
        self.assertTrue(self.stage.record("faktory", "a").ended)
        self.push("p", at=100.0)
        self.push("c", after=["p"], origin="http", waits=True, asked=50.0)
        self.push("d", after=["c"])
        self.run_for(60)
        self.assertEqual(self.answers[1:], [("c", Final.REFUSED), ("d", Final.FAILED)])

    def test_unknown_parent_self_reference_and_cycle_are_errors_and_leave_nothing_behind(self):
        for after, message in (["nobody"], "no job nobody is known"), (["a"], "cannot wait for itself"):
            with self.assertRaisesRegex(InvalidOrder, message):
                self.push("a", after=after)
        batch = [
            self.order("x", after=["y"]),
            self.order("y", after=["z"]),
            self.order("z", after=["x"]),
            self.order("down", after=["x"]),
            self.order("child", after=["parent"]),
            self.order("parent"),
            self.order("self", after=["self"]),
            self.order("free"),
        ]
        results = self.stage.arrive_all([(order, self.answers.append) for order in batch])
        self.assertEqual(
            [str(n) if isinstance(n, InvalidOrder) else n > 0 for n in results],
            [
                *["it waits for itself through the jobs that it names: a cycle"] * 3,
                "a job that it waits for was not taken",
                True,
                True,
                "a job cannot wait for itself",
                True,
            ],
        )
        self.assertEqual({e.order.id for e in self.stage.delayed_jobs.entries.values()}, {"child", "parent", "free"})

    def test_parent_outcome_is_remembered_while_a_child_waits(self):
        self.push("a")
        self.push("b", at=HOUR, after=["a"])
        self.inner.end("a")
        self.assertNotIn("b", self.inner.held_jobs)  # the end of its parent does not start it before its set time
        self.inner.records.clear()  # the next stage forgets outcomes in less than an hour
        self.run_for(HOUR + BUCKET_WIDTH_MS)
        self.assertIn("b", self.inner.held_jobs)

    def test_ten_thousand_descendants_fail_in_slices(self):
        setup = WaitingSetup(jobs=30_000, edges=30_000, bytes=1000)
        for fan in (False, True):
            with self.subTest(fan=fan):
                self.open(setup)
                self.push("j0")
                for n in range(1, 10_001):
                    self.push(f"j{n}", after=["j0" if fan else f"j{n - 1}"])
                before = len(self.answers)
                self.inner.end("j0", Final.FAILED)
                self.assertEqual(before, 0)
                self.run_for(60_000)
                self.assertEqual(len(self.answers), 10_001)
                self.assertEqual({final for _, final in self.answers}, {Final.FAILED})
                self.assertEqual(
                    (self.stage.held, self.stage.delayed_jobs.dependency_count, self.stage.delayed_jobs.counted_jobs),
                    (0, 0, 0),
                )

    # ---- deadlines and retries -----------------------------------------------------------------------

    def test_refused_job_of_a_class_with_a_bound_is_retried_in_the_aged_flow_until_its_deadline(self):
        self.push("r", 2)
        for _ in range(3):
            self.run_for(2000)
            self.inner.end("r", Final.REFUSED)
            self.run_for(20)
        order = self.inner.held_jobs["r"][0]
        self.assertEqual((order.flow, order.again, order.fresh), (1, True, True))
        self.assertEqual(self.state("r"), "aged")
        self.run_for(60_000 - 6060 - 3000)
        self.inner.end("r", Final.REFUSED)
        self.run_for(20)
        self.assertLess(self.inner.held_jobs["r"][0].left, 3100)  # limited by the deadline
        self.inner.end("r")
        self.assertEqual(self.answers, [("r", Final.SERVED)])

    def test_class_without_a_bound_or_job_that_may_have_run_is_not_offered_again(self):
        self.push("s", 0)
        self.inner.end("s", Final.REFUSED)
        self.open(WaitingSetup(classes={"booking": ClassBound(bound_s=60.0), "report": ClassBound(bound_s=60.0)}))
        self.push("b", 1)
        self.inner.end("b", Final.REFUSED, ran=True)
        self.assertEqual(self.answers, [("b", Final.REFUSED)])
        self.push("r", 2)  # safe to repeat
        self.inner.end("r", Final.REFUSED, ran=True)
        self.run_for(20)
        self.assertIn("r", self.inner.held_jobs)

    def test_job_that_is_never_taken_is_refused_at_its_deadline(self):
        self.inner.immediate_answer = Final.REFUSED
        self.push("r", 2)
        self.run_for(59_000)
        self.assertEqual((self.answers, self.state("r")), ([], "aged"))
        self.run_for(1000)
        self.assertEqual(self.answers, [("r", Final.REFUSED)])

    def test_waiting_client_is_answered_before_its_own_timeout(self):
        self.inner.immediate_answer = Final.REFUSED
        self.push("r", 2, origin="http", waits=True, asked=3000.0)
        self.push("p", 2)
        self.push("c", 2, origin="http", waits=True, asked=4000.0, after=["p"])
        self.run_for(3000 - ANSWER_MARGIN_MS)
        self.assertEqual(self.answers, [("r", Final.REFUSED)])
        self.run_for(1000)
        self.assertEqual(self.answers[1:], [("c", Final.REFUSED)])
        with self.assertRaisesRegex(InvalidOrder, "later than the client waits"):
            self.push("d", 2, origin="http", waits=True, asked=4000.0, at=5000.0)

    def test_offers_of_a_flow_are_limited_and_flows_take_turns(self):
        self.open(WaitingSetup(jobs=100, offers=2, classes={}))
        for n in range(5):
            self.push(f"a{n}", at=10.0, tenant=0)
        for n in range(2):
            self.push(f"b{n}", at=20.0, tenant=1)
        self.run_for(60)
        self.assertEqual(sorted(self.inner.held_jobs), ["a0", "a1", "b0", "b1"])
        self.inner.records["faktory", "a0"].attempts = 1  # started, so another job may be offered
        self.run_for(20)
        self.assertIn("a2", self.inner.held_jobs)

    # ---- limits and withdrawal -----------------------------------------------------------------------

    def test_job_beyond_a_limit_is_refused_at_once_and_others_are_unaffected(self):
        for n in range(10):
            self.push(f"a{n}", at=1000.0)
        self.assertEqual(self.push("b", at=1000.0), 0)
        self.assertEqual((self.answers, self.stage.record("faktory", "b")), ([("b", Final.REFUSED)], None))
        self.assertTrue(self.push("now"))  # a job that need not wait does not count toward the limits
        self.run_for(1100)
        self.assertEqual(len(self.inner.held_jobs), 11)
        self.open(self.setup)
        self.push("big", at=1000.0, body=b"x" * 1000)
        self.assertEqual(self.push("more", at=1000.0, body=b"x"), 0)
        self.push("c", at=1000.0)
        with self.subTest("edges"):
            for n in range(5):
                self.push(f"p{n}", at=1000.0)
            for n in range(4):
                self.push(f"k{n}", after=[f"p{m}" for m in range(5)])
            self.assertEqual(
                self.stage.delayed_jobs.dependency_count,
                0 if self.stage.delayed_jobs.counted_jobs < 7 else self.stage.delayed_jobs.dependency_count,
            )
            self.assertLessEqual(
                (self.stage.delayed_jobs.dependency_count, self.stage.delayed_jobs.counted_jobs), (20, 10)
            )

    def test_delayed_jobs_are_withdrawn_or_made_due_by_id_or_type(self):
        for n in range(3):
            self.push(f"a{n}", at=1000.0, jobtype="Report")
        self.push("x", at=1000.0, jobtype="Other")
        self.push("h", at=1000.0, origin="http")
        self.stage.amend(Amendment("faktory", "scheduled", frozenset({"a0", "nobody"})))
        self.assertEqual(self.stage.record("faktory", "a0").state, "withdrawn")
        self.stage.amend(Amendment("faktory", "waiting", jobtype="Report"))  # no job is in that state
        self.stage.amend(Amendment("faktory", "scheduled", frozenset({"a1"}), make_due=True))
        self.assertEqual(list(self.inner.held_jobs), ["a1"])
        self.stage.amend(Amendment("faktory", "scheduled", jobtype="Report"))
        self.run_for(1100)
        self.assertEqual(set(self.inner.held_jobs), {"a1", "x", "h"})
        self.assertEqual(self.answers, [])  # a withdrawn job gets no answer

    def test_withdrawal_reaches_the_next_stage_and_fails_children(self):
        number = self.push("a")
        self.push("b", after=["a"])
        self.stage.withdraw(number)
        self.assertEqual((self.inner.withdrawn, self.answers), (["a"], [("b", Final.FAILED)]))

    def test_repeated_id_fails_and_does_not_run(self):
        self.push("a", at=1000.0)
        self.push("a")
        self.assertEqual((self.answers, self.inner.held_jobs), ([("a", Final.FAILED)], {}))

    # ---- shutdown ------------------------------------------------------------------------------------

    def test_shutdown_refuses_delayed_jobs_and_lets_running_jobs_end(self):
        self.push("run")
        self.push("timed", at=1000.0)
        self.push("child", after=["run"])
        self.inner.immediate_answer = Final.REFUSED
        self.push("aged", 2)
        self.inner.immediate_answer = None
        self.stage.leave(None)
        self.run_for(10)
        self.assertEqual(
            sorted(self.answers), [("aged", Final.REFUSED), ("child", Final.REFUSED), ("timed", Final.REFUSED)]
        )
        self.assertEqual(self.push("late", at=1000.0), 0)
        closed = []
        self.stage.close(lambda: closed.append(1))
        self.assertEqual(closed, [])
        self.inner.end("run")
        self.assertEqual(closed, [1])

    def test_finished_callback_is_called_once_for_each_job(self):
        seen = []
        self.stage.finished = lambda order, answer, came, ended: seen.append((order.id, answer and answer.final))
        self.push("r", 2)
        self.inner.end("r", Final.REFUSED)
        self.run_for(20)
        self.inner.end("r")
        self.stage.withdraw(self.push("w", at=1000.0))
        self.assertEqual(seen, [("r", Final.SERVED), ("w", None)])

    def test_reconfiguration_keeps_delayed_jobs(self):
        self.push("a", at=1000.0)
        self.inner.reconfigure = lambda new: setattr(self.inner, "settings", new)
        new_settings = api.Settings(classes=(api.JobClass(deadline=900, aim=500),) * 3)
        self.stage.reconfigure(new_settings)
        self.run_for(1100)
        self.assertAlmostEqual(self.inner.held_jobs["a"][0].left, 900.0, delta=BUCKET_WIDTH_MS)


class WithExchangeTest(unittest.TestCase):
    """The stage in front of the real exchange and scheduling module."""

    def test_aged_job_is_scheduled_and_answered_once(self):
        clock, started, answers = VirtualClock(), [], []

        class FakeServerSide:
            def start(self, attempt):
                started.append(attempt)

            def give_up(self, attempt):
                pass

            def probe(self, worker):
                pass

        setup = WaitingSetup(classes={"report": ClassBound(bound_s=60.0)})
        exchange = Exchange(SETTINGS, 1, clock, (aged_flow(setup),))
        stage = WaitingStage(exchange, setup, NAMES, clock)
        side = FakeServerSide()
        exchange.listed(side, api.ListForm.FULL, [WorkerListing("w1")])
        stage.arrive(Order("b", 1, 5000.0, origin="http", asked=5000.0), answers.append)
        stage.arrive(Order("r", 2, 5000.0, origin="faktory"), answers.append)
        clock.run(clock.now() + 4900)  # the booking holds the only slot; the report was refused and queued again
        self.assertEqual([a.order.id for a in started], ["b"])
        self.assertEqual(stage.delayed_jobs.counts[JobState.AGED] + stage.delayed_jobs.counts[JobState.OFFERED], 2)
        exchange.ended(started[0], api.Outcome.OK, b"seat")
        clock.run(clock.now() + 100)
        self.assertEqual([a.order.id for a in started], ["b", "r"])
        exchange.ended(started[1], api.Outcome.OK)
        self.assertEqual([a.final for a in answers], [Final.SERVED] * 2)
        self.assertEqual((stage.held, exchange.held), (0, 0))


class CalendarTest(unittest.TestCase):
    def test_early_calendar_is_never_late_and_late_calendar_never_early(self):
        for early in (True, False):
            calendar = Calendar(early)
            for n, moment in enumerate((1000.0, 1001.0, 1049.9, 1050.0, 2000.0)):
                calendar.add(moment, n)
            self.assertEqual(calendar.pop(999.0), None)
            popped_at = {}
            for now in range(1000, 2100):
                while (n := calendar.pop(float(now))) is not None:
                    popped_at[n] = now
            expected = [1000, 1000, 1000, 1050, 2000] if early else [1000, 1050, 1050, 1050, 2000]
            self.assertEqual([popped_at[n] for n in range(5)], expected)

    def test_removed_items_free_their_memory(self):
        calendar = Calendar(False)
        for n in range(100_000):
            calendar.add(n * 1000.0, n)
            calendar.remove(n * 1000.0, n)
        self.assertEqual((len(calendar), calendar.next_due()), (0, float("inf")))
        self.assertLess(len(calendar._keys), 100)
