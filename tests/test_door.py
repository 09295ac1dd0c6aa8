"""The door: fair shares, honest times, the window, and the stage that puts them together."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families
from test_waiting import Inner

from millethead.console.figures import Figures, render
from millethead.decide.interface import Tenant
from millethead.door.door import Door, _hashed
from millethead.door.fair import FairQueue, Item
from millethead.door.promises import EARLY, GRACE, SLOT, Drain, Promises
from millethead.door.setup import DoorSetup
from millethead.door.window import INTERVAL, Window
from millethead.exchange import Final, Order
from millethead.exchange.model import Plan
from millethead.exchange.stage import Unusable
from millethead.exchange.tally import Tally
from millethead.lab.clock import VirtualClock


def queue(weights=(1.0,), lanes=64, quantum=100.0):
    return FairQueue(weights, lanes, lambda client: _hashed(1, client), quantum)


class Fair(unittest.TestCase):
    def test_backlogged_tenants_get_work_by_weight_whatever_their_jobs_cost(self):
        q, got = queue((3.0, 1.0)), Counter()
        for n in range(2000):
            q.push(Item(0, "a", 400.0, n))
            q.push(Item(1, "b", 50.0, n))
        for _ in range(400):
            item = q.pop()
            got[item.tenant] += item.cost
        self.assertAlmostEqual(got[0] / got[1], 3.0, delta=0.2)

    def test_a_greedy_client_leaves_the_others_of_its_tenant_their_shares(self):
        q, got = queue(), Counter()
        for n in range(5000):
            q.push(Item(0, "greedy", 100.0, n))
        for n in range(500):
            q.push(Item(0, f"client-{n % 10}", 100.0, n))
        for _ in range(330):
            got[q.pop().client] += 1
        self.assertLessEqual(got["greedy"], 60)
        self.assertGreaterEqual(min(got[f"client-{n}"] for n in range(10)), 10)

    def test_an_idle_tenant_comes_back_with_neither_claim_nor_debt(self):
        q = queue((1.0, 1.0))
        for n in range(100):
            q.push(Item(0, "a", 100.0, n))
        for _ in range(50):
            q.pop()
        for n in range(100):
            q.push(Item(1, "b", 100.0, n))
        got = Counter(q.pop().tenant for _ in range(20))
        self.assertLessEqual(abs(got[0] - got[1]), 2)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["push", "push", "pop", "drop"]),
                st.integers(0, 2),
                st.integers(0, 5),
                st.sampled_from([1.0, 90.0, 4000.0]),
            ),
            max_size=80,
        )
    )
    def test_nothing_is_lost_or_given_twice(self, steps):
        q, inside, out = queue((1.0, 2.0, 0.5), lanes=4), {}, set()
        for n, (what, tenant, client, cost) in enumerate(steps):
            if what == "push":
                item = inside[n] = Item(tenant, str(client), cost, n)
                q.push(item)
            elif what == "pop":
                item = q.pop()
                assert (item is None) == (not inside)
                if item is not None:
                    del inside[item.what]
                    out.add(item.what)
            elif inside:
                number = min(inside)
                assert q.drop(inside[number]) and not q.drop(inside.pop(number))
            assert len(q) == len(inside) == len(list(q))
            assert abs(q.cost - sum(i.cost for i in inside.values())) < 1e-6
        while (item := q.pop()) is not None:
            del inside[item.what]
        assert not inside and q.cost == 0 and not any(t.lanes or t.active for t in q._tenants)


class Times(unittest.TestCase):
    def test_those_who_are_turned_away_together_are_told_different_times(self):
        book = Promises(1000)
        pauses = [book.give(1000.0, 0, str(n), 100.0, 5000.0, 1.0) for n in range(100)]
        self.assertGreater(min(pauses), 4900)
        for bucket, count in Counter(p // 1000 for p in pauses).items():
            self.assertLessEqual(count, 10, bucket)  # a second's drain is ten of them, and a part is kept free

    def test_a_promise_is_called_in_once_and_only_in_its_time(self):
        book = Promises(10)
        at = 1000.0 + book.give(1000.0, 0, "a", 100.0, 0.0, 1.0)
        for tenant, client, when in ((0, "a", at - EARLY - 1), (1, "a", at), (0, "b", at), (0, "a", at + GRACE + 1)):
            self.assertFalse(book.call_in(when, tenant, client))
        self.assertTrue(book.call_in(at + GRACE, 0, "a"))
        self.assertFalse(book.call_in(at, 0, "a"))

    def test_one_client_cannot_buy_up_the_time_of_the_others(self):
        book = Promises(1000)
        for _ in range(100):
            book.give(1000.0, 0, "greedy", 100.0, 0.0, 1.0)
        self.assertLess(book.give(1000.0, 0, "other", 100.0, 0.0, 1.0), 500.0)

    def test_what_is_remembered_is_bounded(self):
        book = Promises(50)
        for n in range(100_000):
            book.give(float(n), 0, f"c{n}", 100.0, 60_000.0, 0.5)
        self.assertLessEqual(len(book), 50)
        self.assertLess(len(book._slots), 3000)
        self.assertLess(len(book._full), 3000)

    def test_a_crowd_of_new_names_does_not_look_at_every_full_slot_again(self):
        """With 100,000 names in a minute a decision took five times as long as with 100: each looked at 600 slots."""
        book = Promises(100_000)
        looked = Counter()

        class Slots(dict):
            def get(self, key, default=None):
                looked[key] += 1
                return super().get(key, default)

        book._slots = Slots()
        pauses = [book.give(1000.0, 0, str(n), 100.0, 0.0, 1.0) for n in range(2000)]
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(sum(looked.values()), 10 * 2000)

    def test_the_drain_follows_what_is_done_and_not_what_is_idle(self):
        drain = Drain(1.0)
        for n in range(100):
            drain.done(n * SLOT, 400.0, True)
        self.assertAlmostEqual(drain.rate, 4.0, delta=0.3)
        for n in range(100, 200):
            drain.done(n * SLOT, 10.0, False)
        self.assertAlmostEqual(drain.rate, 4.0, delta=0.3)

    def test_the_window_shrinks_while_jobs_wait_inside_and_grows_when_it_ran_dry(self):
        window = Window(4, 64, 100.0)
        for _ in range(20):
            window.ran_dry()
        self.assertEqual(window.room, 24)
        for n in range(100):
            window.waited(n * INTERVAL, 150.0)
        self.assertEqual(window.room, 4)


class Stage(unittest.TestCase):
    def setUp(self):
        self.clock, self.inner, self.answers = VirtualClock(), Inner(), []
        setup = DoorSetup(jobs=50, wait_ms=2000.0, window_least=2, window_most=2)
        self.door = Door(self.inner, setup, self.clock, 1)

    def come(self, job_id, client="c", tenant=0, left=5000.0):
        order = Order(job_id, 0, left, tenant, expected_work=500.0, origin="http", client=client)
        return self.door.arrive(order, lambda answer: self.answers.append((job_id, answer.final, answer.pause)))

    def test_only_so_many_wait_inside_and_the_rest_comes_in_as_others_start(self):
        for n in range(4):
            self.assertTrue(self.come(f"j{n}"))
        self.assertEqual(list(self.inner.taken), ["j0", "j1"])
        self.assertEqual(self.door.record("http", "j2").state, "queued")
        self.inner.records["http", "j0"].attempts = 1
        self.clock.run(self.clock.now() + 10)
        self.assertEqual(list(self.inner.taken), ["j0", "j1", "j2"])
        self.inner.end("j1")
        self.assertEqual(list(self.inner.taken), ["j0", "j2", "j3"])
        self.assertEqual(self.answers, [("j1", Final.SERVED, 0.0)])

    def test_who_would_wait_too_long_is_told_at_once_when_to_come_and_comes_in_first_then(self):
        for n in range(20):
            self.come(f"j{n}", f"c{n}")
        turned = [a for a in self.answers if a[1] is Final.REFUSED]
        self.assertGreater(len(turned), 5)
        self.assertGreater(len({pause for _, _, pause in turned}), 3)
        self.assertTrue(all(pause > 0 for _, _, pause in turned))
        job_id, _, pause = turned[0]
        self.clock.run(self.clock.now() + pause)
        self.come("back", "c" + job_id[1:])
        self.inner.end("j0")
        self.assertIn("back", self.inner.taken)  # ahead of those that stand at the door
        self.assertEqual(self.door.promises.counts["called"], 1)

    def test_one_whose_time_runs_out_at_the_door_is_refused_before_that(self):
        self.come("a")
        self.come("b")
        self.come("late", left=1000.0)
        self.clock.run(self.clock.now() + 1000)
        self.assertEqual([a[:2] for a in self.answers], [("late", Final.REFUSED)])
        self.assertEqual((self.door._bytes, len(self.door.queue)), (0, 0))

    def test_an_id_that_stands_at_the_door_is_not_run_when_it_comes_again_and_outcomes_there_are_known(self):
        """It was handed on, past the one that stood there."""
        for n in range(3):
            self.come(f"j{n}", left=1000.0)
        self.assertEqual(self.come("j2"), 0)
        self.assertEqual((self.answers, list(self.inner.taken)), ([("j2", Final.FAILED, 0.0)], ["j0", "j1"]))
        self.clock.run(self.clock.now() + 1000)
        self.assertEqual(self.door.record("http", "j2").final, Final.REFUSED)
        self.assertEqual(self.come("j2"), 0)
        self.assertEqual([a[1] for a in self.answers], [Final.FAILED, Final.REFUSED, Final.FAILED])

    def test_a_plan_for_later_is_an_error_and_one_for_the_past_is_a_job_like_others(self):
        with self.assertRaises(Unusable):
            self.door.arrive(Order("a", 0, 5000.0, plan=Plan(self.clock.now() + 1)), self.answers.append)
        number = self.door.arrive(Order("b", 0, 5000.0, plan=Plan(self.clock.now())), self.answers.append)
        self.door.withdraw(number)
        self.assertEqual((self.inner.left, self.door.held), (["b"], 0))

    def test_sigterm_answers_all_who_stand_there_and_a_client_may_leave(self):
        for n in range(4):
            number = self.come(f"j{n}")
        self.door.withdraw(number)
        self.door.leave(None)
        self.assertEqual(self.answers, [("j2", Final.REFUSED, 0.0)])
        self.come("new")
        self.assertEqual(self.answers[-1], ("new", Final.REFUSED, 0.0))
        self.assertEqual(self.door.held, 2)

    def counted(self):
        page = render(Figures([], Tally(0), 0, 0, 0, self.door.figures())).decode()
        return {
            (sample.name.removeprefix("dispatcher_door_"), *sample.labels.values()): sample.value
            for family in text_string_to_metric_families(page)
            for sample in family.samples
        }

    def test_figures_by_tenant_are_what_clients_saw_and_prometheus_reads_them(self):
        self.inner.settings = replace(self.inner.settings, tenants=(Tenant(9.0, 1.0, "a"), Tenant(9.0, 1.0, "b")))
        self.door = Door(
            self.inner,
            DoorSetup(jobs=50, wait_ms=2000.0, window_least=2, window_most=2),
            self.clock,
            1,
            ['rustaveli "desks"'],
        )
        a, b = 'rustaveli "desks"', "1"  # one without a name is told by its number
        for n in range(20):
            self.come(f"j{n}", f"c{n}")
        self.come("other", "x", tenant=1)
        turned = [answer for answer in self.answers if answer[1] is Final.REFUSED]
        found = self.counted()
        self.assertEqual(
            [found[what, a] for what in ("offered_total", "let_in_total", "turned_away_total")], [20, 2, len(turned)]
        )
        self.assertEqual(found["promised_total", a], len(turned))
        self.assertEqual([found[what, b] for what in ("offered_total", "let_in_total", "turned_away_total")], [1, 0, 0])
        self.assertEqual((found["queued",], found["window", "start"]), (19 - len(turned), 2))
        self.clock.run(self.clock.now() + turned[0][2])
        self.come("back", "c" + turned[0][0][1:])
        self.inner.end("j0")
        self.inner.end("back")
        self.clock.run(self.clock.now() + turned[1][2] - turned[0][2])
        self.come("again", "c" + turned[1][0][1:])
        self.inner.end("j1")
        self.inner.end("again", Final.REFUSED)
        found = self.counted()
        self.assertEqual((found["kept_total", a], found["broken_total", a], found["kept_total", b]), (1, 1, 0))

    def test_any_order_of_events_ends_in_one_answer_each(self):
        for seed in range(30):
            self.setUp()
            rng, live, count = random.Random(seed), {}, 0
            for _ in range(200):
                what = rng.random()
                if what < 0.5:
                    count += 1
                    number = self.come(f"j{count}", f"c{rng.randrange(5)}", left=rng.choice([300.0, 5000.0]))
                    if number:
                        live[f"j{count}"] = number
                elif what < 0.7 and self.inner.taken:
                    job_id = rng.choice(sorted(self.inner.taken))
                    self.inner.records["http", job_id].attempts = 1
                    self.inner.end(job_id, rng.choice(list(Final)))
                elif what < 0.75 and live:
                    job_id = rng.choice(sorted(live))
                    if job_id not in {a[0] for a in self.answers}:
                        self.door.withdraw(live[job_id])
                        self.answers.append((job_id, "gone", 0.0))
                    del live[job_id]
                else:
                    self.clock.run(self.clock.now() + rng.choice([1, 50, 700]))
            self.door.leave(None)
            for job_id in sorted(self.inner.taken):
                self.inner.end(job_id)
            self.assertEqual(Counter(a[0] for a in self.answers), Counter(f"j{n + 1}" for n in range(count)))
            self.assertEqual((self.door.held, self.door._bytes, self.door._unsent), (0, 0, {}))
