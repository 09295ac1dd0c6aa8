"""The waiting room on a clock of its own: states, parents, bounds, caps, clocks and the end."""

import unittest

from millethead.decide import interface as api
from millethead.exchange import Exchange, Final, Order, WorkerListing
from millethead.exchange.model import Answer, Plan
from millethead.exchange.records import Record
from millethead.exchange.stage import Amendment, InvalidOrder
from millethead.lab.clock import VirtualClock
from millethead.waiting.ageing import MARGIN, aged_flow
from millethead.waiting.book import CHEAP
from millethead.waiting.calendar import WIDTH, Calendar
from millethead.waiting.entry import State
from millethead.waiting.room import WaitingRoom
from millethead.waiting.setup import ClassBound, WaitingSetup

NAMES = ["search", "booking", "report"]
SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)
UNSAFE = api.JobClass(deadline=5000, aim=2000, stretch=2)
SETTINGS = api.Settings(classes=(SAFE, UNSAFE, SAFE), may_cancel=True, max_attempts=3, tick=5.0)
HOUR = 3_600_000.0


class Inner:
    """A next stage that the test answers for."""

    def __init__(self):
        self.settings, self.finished = SETTINGS, None
        self.ready, self.held, self.closing = True, 0, False
        self.taken, self.records, self.left, self.at_once = {}, {}, [], None
        self.numbers = 0

    def counts(self):
        return {}

    def record(self, origin, job_id):
        return self.records.get((origin, job_id))

    def arrive(self, order, reply):
        if self.at_once is not None:
            reply(Answer(self.at_once))
            return 0
        old = self.records.get((order.origin, order.id))
        assert old is None or (order.again and old.final is Final.REFUSED), "an id came again"
        self.numbers += 1
        self.records[order.origin, order.id] = Record(0.0)
        self.taken[order.id] = (order, reply, self.numbers)
        return self.numbers

    def end(self, job_id, final=Final.SERVED, ran=False, attempts=0):
        order, reply, _ = self.taken.pop(job_id)
        record = self.records[order.origin, job_id]
        record.final, record.may_have_run, record.attempts, record.ended = final, ran, attempts, True
        reply(Answer(final))

    def withdraw(self, number):
        for job_id, (order, _, n) in list(self.taken.items()):
            if n == number:
                del self.taken[job_id]
                self.records[order.origin, job_id] = Record(0.0, ended=True, state="withdrawn")
                self.left.append(job_id)

    def amend(self, amendment):
        pass

    def leave(self, left):
        pass

    def close(self, empty):
        empty()


class Room(unittest.TestCase):
    setup = WaitingSetup(jobs=10, bytes=1000, edges=20, horizon_s=7200.0, classes={"report": ClassBound(bound_s=60.0)})

    def setUp(self):
        self.open(self.setup)

    def open(self, setup, **more):
        self.clock, self.inner, self.answers = VirtualClock(), Inner(), []
        self.room = WaitingRoom(self.inner, setup, NAMES, self.clock, **more)
        self.start = self.clock.now()

    def order(self, job_id, job_class=0, at=0.0, after=(), run_if_parent_fails=False, origin="faktory", **more):
        plan = Plan(self.clock.wall() + at if at else 0.0, tuple(after), run_if_parent_fails) if at or after else None
        return Order(job_id, job_class, 5000.0, origin=origin, plan=plan, **more)

    def push(self, job_id, *args, **more):
        order = self.order(job_id, *args, **more)
        return self.room.arrive(order, lambda answer: self.answers.append((job_id, answer.final)))

    def run_for(self, ms):
        self.clock.run(self.clock.now() + ms)

    def state(self, job_id):
        return self.room.record("faktory", job_id).state

    # ---- set times -----------------------------------------------------------------------------------

    def test_a_job_runs_at_its_time_and_not_before(self):
        self.push("a", at=1000.0)
        self.assertEqual((self.state("a"), self.room.counts()["scheduled"]), ("scheduled", 1))
        self.run_for(999)
        self.assertEqual(self.inner.taken, {})
        self.run_for(1 + WIDTH)
        self.assertEqual(list(self.inner.taken), ["a"])
        self.assertAlmostEqual(self.inner.taken["a"][0].left, 5000.0, delta=WIDTH)  # its time runs from then on
        self.inner.end("a")
        self.assertEqual((self.answers, self.room.held), ([("a", Final.SERVED)], 0))

    def test_a_time_in_the_past_is_now_and_one_beyond_the_horizon_an_error(self):
        self.push("a", at=-5000.0)
        self.assertEqual(list(self.inner.taken), ["a"])
        with self.assertRaisesRegex(InvalidOrder, "7200 s ahead"):
            self.push("b", at=7_200_001.0)
        self.assertIsNone(self.room.record("faktory", "b"))
        self.assertEqual(len(self.room.book.entries), 1)

    def test_the_wall_clock_stepped_forward_brings_it_and_back_delays_it_but_never_twice(self):
        self.push("a", at=HOUR)
        self.push("b", at=HOUR + 1000)
        self.clock.ahead = HOUR
        self.run_for(600)
        self.assertEqual(list(self.inner.taken), ["a"])
        self.clock.ahead = 0.0  # and back: what ran does not run again, what did not waits on
        self.run_for(2000)
        self.assertEqual((list(self.inner.taken), self.state("b")), (["a"], "scheduled"))
        self.run_for(HOUR)
        self.assertEqual(list(self.inner.taken), ["a", "b"])

    def test_a_step_back_neither_loses_a_job_nor_brings_it_early(self):
        self.push("a", at=1000.0)
        self.clock.ahead = -HOUR
        self.run_for(HOUR)
        self.assertEqual(self.inner.taken, {})
        self.run_for(1000 + WIDTH)
        self.assertEqual(list(self.inner.taken), ["a"])

    def test_a_step_back_while_a_full_second_is_worked_off_brings_the_rest_in_its_time(self):
        self.open(WaitingSetup())
        book, now = self.room.book, self.clock.now()
        for n in range(CHEAP + 3):
            book.arrive(self.order(f"a{n}", at=1000.0), self.answers.append, lambda *_: None, now, now)
        book.step(now + 1050, now + 1050, 1)
        book.step(now + 1051, now, 10)
        self.assertEqual(book.counts[State.SCHEDULED], 3)
        book.step(now + 2100, now + 1050, 10)
        self.assertEqual(book.counts[State.SCHEDULED], 0)

    # ---- parents -------------------------------------------------------------------------------------

    def test_a_child_runs_after_all_its_parents_are_served(self):
        self.push("a")
        self.push("b", at=500.0)
        self.push("c", after=["a", "b"])
        self.assertEqual(self.state("c"), "waiting")
        self.inner.end("a")
        self.assertNotIn("c", self.inner.taken)
        self.run_for(600)
        self.inner.end("b")
        self.assertIn("c", self.inner.taken)
        self.assertEqual(self.room.book.edges, 0)

    def test_parents_of_the_other_front_that_ended_or_wait_count(self):
        self.push("a", origin="http")
        self.inner.end("a")
        self.push("b", after=["a"])
        self.assertIn("b", self.inner.taken)
        self.push("c", after=["b"])
        self.push("d", after=["c"], origin="http")
        self.inner.end("b")
        self.inner.end("c")
        self.assertIn("d", self.inner.taken)

    def test_a_parent_that_did_not_serve_fails_its_children_all_the_way_down_at_once(self):
        for final in (Final.FAILED, Final.REFUSED):
            with self.subTest(final):
                self.setUp()
                self.push("a")
                self.push("b", after=["a"])
                self.push("c", after=["b"])
                self.push("d", after=["a"], run_if_parent_fails=True)
                self.inner.end("a", final)
                self.assertEqual(self.answers[1:], [("b", Final.FAILED), ("c", Final.FAILED)])
                self.assertIn("d", self.inner.taken)
                self.push("e", after=["b"])  # also one that comes later
                self.assertEqual(self.answers[-1], ("e", Final.FAILED))
                self.assertEqual(self.room.record("faktory", "e").final, Final.FAILED)

    def test_a_withdrawn_parent_and_one_whose_time_ran_out_fail_their_children(self):
        number = self.push("a", at=1000.0)
        self.push("b", after=["a"])
        self.room.withdraw(number)
        self.assertEqual(self.answers, [("b", Final.FAILED)])
        self.assertTrue(self.room.record("faktory", "a").ended)
        self.push("p", at=100.0)
        self.push("c", after=["p"], origin="http", waits=True, asked=50.0)
        self.push("d", after=["c"])
        self.run_for(60)
        self.assertEqual(self.answers[1:], [("c", Final.REFUSED), ("d", Final.FAILED)])

    def test_what_nobody_knows_a_self_reference_and_a_cycle_are_errors_and_nothing_is_kept(self):
        for after, says in (["nobody"], "no job nobody is known"), (["a"], "cannot wait for itself"):
            with self.assertRaisesRegex(InvalidOrder, says):
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
        got = self.room.arrive_all([(order, self.answers.append) for order in batch])
        self.assertEqual(
            [str(n) if isinstance(n, InvalidOrder) else n > 0 for n in got],
            [
                *["it waits for itself through the jobs that it names: a cycle"] * 3,
                "a job that it waits for was not taken",
                True,
                True,
                "a job cannot wait for itself",
                True,
            ],
        )
        self.assertEqual({e.order.id for e in self.room.book.entries.values()}, {"child", "parent", "free"})

    def test_a_parents_outcome_is_not_forgotten_while_a_child_waits(self):
        self.push("a")
        self.push("b", at=HOUR, after=["a"])
        self.inner.end("a")
        self.assertNotIn("b", self.inner.taken)  # nor does it come before its time for that
        self.inner.records.clear()  # an hour is longer than outcomes are remembered
        self.run_for(HOUR + WIDTH)
        self.assertIn("b", self.inner.taken)

    def test_a_chain_and_a_fan_of_ten_thousand_fail_in_slices(self):
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
                self.assertEqual((self.room.held, self.room.book.edges, self.room.book.kept), (0, 0, 0))

    # ---- bounds and ageing ---------------------------------------------------------------------------

    def test_a_refused_job_of_a_class_with_a_bound_waits_on_in_the_aged_flow_until_it(self):
        self.push("r", 2)
        for _ in range(3):
            self.run_for(2000)
            self.inner.end("r", Final.REFUSED)
            self.run_for(20)
        order = self.inner.taken["r"][0]
        self.assertEqual((order.flow, order.again, order.fresh), (1, True, True))
        self.assertEqual(self.state("r"), "aged")
        self.run_for(60_000 - 6060 - 3000)
        self.inner.end("r", Final.REFUSED)
        self.run_for(20)
        self.assertLess(self.inner.taken["r"][0].left, 3100)  # never past its bound
        self.inner.end("r")
        self.assertEqual(self.answers, [("r", Final.SERVED)])

    def test_a_class_without_a_bound_and_what_may_have_run_are_not_offered_again(self):
        self.push("s", 0)
        self.inner.end("s", Final.REFUSED)
        self.open(WaitingSetup(classes={"booking": ClassBound(bound_s=60.0), "report": ClassBound(bound_s=60.0)}))
        self.push("b", 1)
        self.inner.end("b", Final.REFUSED, ran=True)
        self.assertEqual(self.answers, [("b", Final.REFUSED)])
        self.push("r", 2)  # safe to repeat
        self.inner.end("r", Final.REFUSED, ran=True)
        self.run_for(20)
        self.assertIn("r", self.inner.taken)

    def test_at_the_bound_it_is_refused_though_nobody_takes_it(self):
        self.inner.at_once = Final.REFUSED
        self.push("r", 2)
        self.run_for(59_000)
        self.assertEqual((self.answers, self.state("r")), ([], "aged"))
        self.run_for(1000)
        self.assertEqual(self.answers, [("r", Final.REFUSED)])

    def test_a_client_that_waits_has_its_answer_in_its_own_time(self):
        self.inner.at_once = Final.REFUSED
        self.push("r", 2, origin="http", waits=True, asked=3000.0)
        self.push("p", 2)
        self.push("c", 2, origin="http", waits=True, asked=4000.0, after=["p"])
        self.run_for(3000 - MARGIN)
        self.assertEqual(self.answers, [("r", Final.REFUSED)])
        self.run_for(1000)
        self.assertEqual(self.answers[1:], [("c", Final.REFUSED)])
        with self.assertRaisesRegex(InvalidOrder, "later than the client waits"):
            self.push("d", 2, origin="http", waits=True, asked=4000.0, at=5000.0)

    def test_offers_of_a_line_are_few_at_once_and_lines_take_turns(self):
        self.open(WaitingSetup(jobs=100, offers=2, classes={}))
        for n in range(5):
            self.push(f"a{n}", at=10.0, tenant=0)
        for n in range(2):
            self.push(f"b{n}", at=20.0, tenant=1)
        self.run_for(60)
        self.assertEqual(sorted(self.inner.taken), ["a0", "a1", "b0", "b1"])
        self.inner.records["faktory", "a0"].attempts = 1  # it has started: there is room for the next
        self.run_for(20)
        self.assertIn("a2", self.inner.taken)

    # ---- caps and withdrawal -------------------------------------------------------------------------

    def test_past_a_cap_a_push_is_refused_at_once_and_nothing_else_is_disturbed(self):
        for n in range(10):
            self.push(f"a{n}", at=1000.0)
        self.assertEqual(self.push("b", at=1000.0), 0)
        self.assertEqual((self.answers, self.room.record("faktory", "b")), ([("b", Final.REFUSED)], None))
        self.assertTrue(self.push("now"))  # what need not wait is not held here
        self.run_for(1100)
        self.assertEqual(len(self.inner.taken), 11)
        self.open(self.setup)
        self.push("big", at=1000.0, body=b"x" * 1000)
        self.assertEqual(self.push("more", at=1000.0, body=b"x"), 0)
        self.push("c", at=1000.0)
        with self.subTest("edges"):
            for n in range(5):
                self.push(f"p{n}", at=1000.0)
            for n in range(4):
                self.push(f"k{n}", after=[f"p{m}" for m in range(5)])
            self.assertEqual(self.room.book.edges, 0 if self.room.book.kept < 7 else self.room.book.edges)
            self.assertLessEqual((self.room.book.edges, self.room.book.kept), (20, 10))

    def test_waiting_jobs_are_withdrawn_or_hastened_by_name_or_type(self):
        for n in range(3):
            self.push(f"a{n}", at=1000.0, jobtype="Report")
        self.push("x", at=1000.0, jobtype="Other")
        self.push("h", at=1000.0, origin="http")
        self.room.amend(Amendment("faktory", "scheduled", frozenset({"a0", "nobody"})))
        self.assertEqual(self.room.record("faktory", "a0").state, "withdrawn")
        self.room.amend(Amendment("faktory", "waiting", jobtype="Report"))  # none is in that state
        self.room.amend(Amendment("faktory", "scheduled", frozenset({"a1"}), make_due=True))
        self.assertEqual(list(self.inner.taken), ["a1"])
        self.room.amend(Amendment("faktory", "scheduled", jobtype="Report"))
        self.run_for(1100)
        self.assertEqual(set(self.inner.taken), {"a1", "x", "h"})
        self.assertEqual(self.answers, [])  # nobody waits for the answer of what was withdrawn

    def test_a_withdrawal_reaches_the_next_stage_and_children_hear_of_it(self):
        number = self.push("a")
        self.push("b", after=["a"])
        self.room.withdraw(number)
        self.assertEqual((self.inner.left, self.answers), (["a"], [("b", Final.FAILED)]))

    def test_an_id_that_comes_again_is_failed_and_not_run(self):
        self.push("a", at=1000.0)
        self.push("a")
        self.assertEqual((self.answers, self.inner.taken), ([("a", Final.FAILED)], {}))

    # ---- the end -------------------------------------------------------------------------------------

    def test_sigterm_refuses_what_waits_and_lets_what_runs_end(self):
        self.push("run")
        self.push("timed", at=1000.0)
        self.push("child", after=["run"])
        self.inner.at_once = Final.REFUSED
        self.push("aged", 2)
        self.inner.at_once = None
        self.room.leave(None)
        self.run_for(10)
        self.assertEqual(
            sorted(self.answers), [("aged", Final.REFUSED), ("child", Final.REFUSED), ("timed", Final.REFUSED)]
        )
        self.assertEqual(self.push("late", at=1000.0), 0)
        ended = []
        self.room.close(lambda: ended.append(1))
        self.assertEqual(ended, [])
        self.inner.end("run")
        self.assertEqual(ended, [1])

    def test_each_final_answer_is_told_once_to_who_counts_flows(self):
        seen = []
        self.room.finished = lambda order, answer, came, ended: seen.append((order.id, answer and answer.final))
        self.push("r", 2)
        self.inner.end("r", Final.REFUSED)
        self.run_for(20)
        self.inner.end("r")
        self.room.withdraw(self.push("w", at=1000.0))
        self.assertEqual(seen, [("r", Final.SERVED), ("w", None)])

    def test_reload_leaves_what_waits_alone(self):
        self.push("a", at=1000.0)
        self.inner.reconfigure = lambda new: setattr(self.inner, "settings", new)
        faster = api.Settings(classes=(api.JobClass(deadline=900, aim=500),) * 3)
        self.room.reconfigure(faster)
        self.run_for(1100)
        self.assertAlmostEqual(self.inner.taken["a"][0].left, 900.0, delta=WIDTH)


class Whole(unittest.TestCase):
    """The room before the real exchange and module."""

    def test_an_aged_job_gets_its_turn_from_the_module_and_is_answered_once(self):
        clock, started, answers = VirtualClock(), [], []

        class Side:
            def start(self, attempt):
                started.append(attempt)

            def give_up(self, attempt):
                pass

            def probe(self, worker):
                pass

        setup = WaitingSetup(classes={"report": ClassBound(bound_s=60.0)})
        exchange = Exchange(SETTINGS, 1, clock, (aged_flow(setup),))
        room = WaitingRoom(exchange, setup, NAMES, clock)
        side = Side()
        exchange.listed(side, api.ListForm.FULL, [WorkerListing("w1")])
        room.arrive(Order("b", 1, 5000.0, origin="http", asked=5000.0), answers.append)
        room.arrive(Order("r", 2, 5000.0, origin="faktory"), answers.append)
        clock.run(clock.now() + 4900)  # the booking holds the one slot; the report was refused, and waits on
        self.assertEqual([a.order.id for a in started], ["b"])
        self.assertEqual(room.book.counts[State.AGED] + room.book.counts[State.INSIDE], 2)
        exchange.ended(started[0], api.Outcome.OK, b"seat")
        clock.run(clock.now() + 100)
        self.assertEqual([a.order.id for a in started], ["b", "r"])
        exchange.ended(started[1], api.Outcome.OK)
        self.assertEqual([a.final for a in answers], [Final.SERVED] * 2)
        self.assertEqual((room.held, exchange.held), (0, 0))


class Calendars(unittest.TestCase):
    def test_late_ones_are_never_early_and_early_ones_never_late(self):
        for early in (True, False):
            calendar = Calendar(early)
            for n, moment in enumerate((1000.0, 1001.0, 1049.9, 1050.0, 2000.0)):
                calendar.add(moment, n)
            self.assertEqual(calendar.pop(999.0), None)
            got = {}
            for now in range(1000, 2100):
                while (n := calendar.pop(float(now))) is not None:
                    got[n] = now
            wanted = [1000, 1000, 1000, 1050, 2000] if early else [1000, 1050, 1050, 1050, 2000]
            self.assertEqual([got[n] for n in range(5)], wanted)

    def test_what_is_dropped_leaves_nothing_behind(self):
        calendar = Calendar(False)
        for n in range(100_000):
            calendar.add(n * 1000.0, n)
            calendar.drop(n * 1000.0, n)
        self.assertEqual((len(calendar), calendar.first()), (0, float("inf")))
        self.assertLess(len(calendar._keys), 100)
