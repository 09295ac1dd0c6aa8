"""Tests of the admission queue: the fair queue, retry times, the admission window, and the whole stage."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families
from test_waiting import FakeNextStage

from millethead.admission.fair_queue import FairQueue, Item
from millethead.admission.queue import AdmissionQueue, hash_client
from millethead.admission.retry_times import (
    EARLY_TOLERANCE_MS,
    LATE_TOLERANCE_MS,
    SLOT_MS,
    RetryReservations,
    ServiceRate,
)
from millethead.admission.setup import AdmissionSetup
from millethead.admission.window import INTERVAL_MS, AdmissionWindow
from millethead.console.metrics import MetricsSnapshot, render
from millethead.decide.interface import Tenant
from millethead.exchange import Final, Order
from millethead.exchange.counters import JobCounters
from millethead.exchange.model import Plan
from millethead.exchange.stage import InvalidOrder
from millethead.lab.clock import VirtualClock


def fair_queue(weights=(1.0,), lanes=64, quantum=100.0):
    return FairQueue(weights, lanes, lambda client: hash_client(1, client), quantum)


class FairQueueTest(unittest.TestCase):
    def test_backlogged_tenants_share_the_work_by_weight_whatever_their_jobs_cost(self):
        q, got = fair_queue((3.0, 1.0)), Counter()
        for n in range(2000):
            q.push(Item(0, "a", 400.0, n))
            q.push(Item(1, "b", 50.0, n))
        for _ in range(400):
            item = q.pop()
            got[item.tenant] += item.cost
        self.assertAlmostEqual(got[0] / got[1], 3.0, delta=0.2)

    def test_a_greedy_client_does_not_take_the_shares_of_others_of_its_tenant(self):
        q, got = fair_queue(), Counter()
        for n in range(5000):
            q.push(Item(0, "greedy", 100.0, n))
        for n in range(500):
            q.push(Item(0, f"client-{n % 10}", 100.0, n))
        for _ in range(330):
            got[q.pop().client] += 1
        self.assertLessEqual(got["greedy"], 60)
        self.assertGreaterEqual(min(got[f"client-{n}"] for n in range(10)), 10)

    def test_a_tenant_returns_from_idleness_with_neither_credit_nor_debt(self):
        q = fair_queue((1.0, 1.0))
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
                st.sampled_from(["push", "push", "pop", "remove"]),
                st.integers(0, 2),
                st.integers(0, 5),
                st.sampled_from([1.0, 90.0, 4000.0]),
            ),
            max_size=80,
        )
    )
    def test_no_job_is_lost_or_returned_twice(self, steps):
        q, queued, popped = fair_queue((1.0, 2.0, 0.5), lanes=4), {}, set()
        for n, (step, tenant, client, cost) in enumerate(steps):
            if step == "push":
                item = queued[n] = Item(tenant, str(client), cost, n)
                q.push(item)
            elif step == "pop":
                item = q.pop()
                assert (item is None) == (not queued)
                if item is not None:
                    del queued[item.payload]
                    popped.add(item.payload)
            elif queued:
                number = min(queued)
                assert q.remove(queued[number]) and not q.remove(queued.pop(number))
            assert len(q) == len(queued) == len(list(q))
            assert abs(q.cost - sum(i.cost for i in queued.values())) < 1e-6
        while (item := q.pop()) is not None:
            del queued[item.payload]
        assert not queued and q.cost == 0 and not any(t.lanes or t.active for t in q._tenants)


class RetryTimesTest(unittest.TestCase):
    def test_clients_refused_together_get_different_retry_times(self):
        reservations = RetryReservations(1000)
        pauses = [reservations.reserve(1000.0, 0, str(n), 100.0, 5000.0, 1.0) for n in range(100)]
        self.assertGreater(min(pauses), 4900)
        for bucket, count in Counter(p // 1000 for p in pauses).items():
            self.assertLessEqual(count, 10, bucket)  # ten jobs are done in a second, and a part is kept free

    def test_a_reservation_is_redeemed_once_and_only_at_its_time(self):
        reservations = RetryReservations(10)
        at = 1000.0 + reservations.reserve(1000.0, 0, "a", 100.0, 0.0, 1.0)
        for tenant, client, when in (
            (0, "a", at - EARLY_TOLERANCE_MS - 1),
            (1, "a", at),
            (0, "b", at),
            (0, "a", at + LATE_TOLERANCE_MS + 1),
        ):
            self.assertFalse(reservations.redeem(when, tenant, client))
        self.assertTrue(reservations.redeem(at + LATE_TOLERANCE_MS, 0, "a"))
        self.assertFalse(reservations.redeem(at, 0, "a"))

    def test_one_client_cannot_reserve_the_capacity_of_the_others(self):
        reservations = RetryReservations(1000)
        for _ in range(100):
            reservations.reserve(1000.0, 0, "greedy", 100.0, 0.0, 1.0)
        self.assertLess(reservations.reserve(1000.0, 0, "other", 100.0, 0.0, 1.0), 500.0)

    def test_the_number_of_reservations_is_bounded(self):
        reservations = RetryReservations(50)
        for n in range(100_000):
            reservations.reserve(float(n), 0, f"c{n}", 100.0, 60_000.0, 0.5)
        self.assertLessEqual(len(reservations), 50)
        self.assertLess(len(reservations._slots), 3000)
        self.assertLess(len(reservations._full), 3000)

    def test_reservations_of_many_new_clients_do_not_search_all_full_slots_again(self):
        """With 100,000 client names in a minute a decision took five times as long as with 100, since each searched up
        to 600 full slots."""
        reservations = RetryReservations(100_000)
        lookups = Counter()

        class Slots(dict):
            def get(self, key, default=None):
                lookups[key] += 1
                return super().get(key, default)

        reservations._slots = Slots()
        pauses = [reservations.reserve(1000.0, 0, str(n), 100.0, 0.0, 1.0) for n in range(2000)]
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(sum(lookups.values()), 10 * 2000)

    def test_the_service_rate_follows_the_work_done_but_not_idle_time(self):
        service_rate = ServiceRate(1.0)
        for n in range(100):
            service_rate.done(n * SLOT_MS, 400.0, True)
        self.assertAlmostEqual(service_rate.rate, 4.0, delta=0.3)
        for n in range(100, 200):
            service_rate.done(n * SLOT_MS, 10.0, False)
        self.assertAlmostEqual(service_rate.rate, 4.0, delta=0.3)

    def test_the_window_shrinks_while_admitted_jobs_wait_and_grows_when_none_is_left(self):
        window = AdmissionWindow(4, 64, 100.0)
        for _ in range(20):
            window.ran_empty()
        self.assertEqual(window.size, 24)
        for n in range(100):
            window.waited(n * INTERVAL_MS, 150.0)
        self.assertEqual(window.size, 4)


class AdmissionQueueTest(unittest.TestCase):
    def setUp(self):
        self.clock, self.inner, self.answers = VirtualClock(), FakeNextStage(), []
        setup = AdmissionSetup(jobs=50, wait_ms=2000.0, window_least=2, window_most=2)
        self.admission = AdmissionQueue(self.inner, setup, self.clock, 1)

    def submit(self, job_id, client="c", tenant=0, left=5000.0):
        order = Order(job_id, 0, left, tenant, expected_work=500.0, origin="http", client=client)
        return self.admission.arrive(order, lambda answer: self.answers.append((job_id, answer.final, answer.pause)))

    def test_the_window_limits_admitted_jobs_and_others_follow_as_those_start(self):
        for n in range(4):
            self.assertTrue(self.submit(f"j{n}"))
        self.assertEqual(list(self.inner.held_jobs), ["j0", "j1"])
        self.assertEqual(self.admission.record("http", "j2").state, "queued")
        self.inner.records["http", "j0"].attempts = 1
        self.clock.run(self.clock.now() + 10)
        self.assertEqual(list(self.inner.held_jobs), ["j0", "j1", "j2"])
        self.inner.end("j1")
        self.assertEqual(list(self.inner.held_jobs), ["j0", "j2", "j3"])
        self.assertEqual(self.answers, [("j1", Final.SERVED, 0.0)])

    def test_a_job_that_would_wait_too_long_gets_a_retry_time_and_priority_then(self):
        for n in range(20):
            self.submit(f"j{n}", f"c{n}")
        refused = [a for a in self.answers if a[1] is Final.REFUSED]
        self.assertGreater(len(refused), 5)
        self.assertGreater(len({pause for _, _, pause in refused}), 3)
        self.assertTrue(all(pause > 0 for _, _, pause in refused))
        job_id, _, pause = refused[0]
        self.clock.run(self.clock.now() + pause)
        self.submit("back", "c" + job_id[1:])
        self.inner.end("j0")
        self.assertIn("back", self.inner.held_jobs)  # before the jobs that are queued
        self.assertEqual(self.admission.reservations.counts["called"], 1)

    def test_a_queued_job_is_refused_before_its_deadline(self):
        self.submit("a")
        self.submit("b")
        self.submit("late", left=1000.0)
        self.clock.run(self.clock.now() + 1000)
        self.assertEqual([a[:2] for a in self.answers], [("late", Final.REFUSED)])
        self.assertEqual((self.admission._queued_bytes, len(self.admission.queue)), (0, 0))

    def test_a_repeated_id_of_a_queued_job_fails_and_refused_jobs_have_records(self):
        """The repeated job was admitted, ahead of the queued one with the same id."""
        for n in range(3):
            self.submit(f"j{n}", left=1000.0)
        self.assertEqual(self.submit("j2"), 0)
        self.assertEqual((self.answers, list(self.inner.held_jobs)), ([("j2", Final.FAILED, 0.0)], ["j0", "j1"]))
        self.clock.run(self.clock.now() + 1000)
        self.assertEqual(self.admission.record("http", "j2").final, Final.REFUSED)
        self.assertEqual(self.submit("j2"), 0)
        self.assertEqual([a[1] for a in self.answers], [Final.FAILED, Final.REFUSED, Final.FAILED])

    def test_a_deferred_job_is_an_error_and_one_whose_time_has_passed_is_not(self):
        with self.assertRaises(InvalidOrder):
            self.admission.arrive(Order("a", 0, 5000.0, plan=Plan(self.clock.now() + 1)), self.answers.append)
        number = self.admission.arrive(Order("b", 0, 5000.0, plan=Plan(self.clock.now())), self.answers.append)
        self.admission.withdraw(number)
        self.assertEqual((self.inner.withdrawn, self.admission.held), (["b"], 0))

    def test_shutdown_refuses_all_queued_jobs_except_withdrawn_ones(self):
        for n in range(4):
            number = self.submit(f"j{n}")
        self.admission.withdraw(number)
        self.admission.leave(None)
        self.assertEqual(self.answers, [("j2", Final.REFUSED, 0.0)])
        self.submit("new")
        self.assertEqual(self.answers[-1], ("new", Final.REFUSED, 0.0))
        self.assertEqual(self.admission.held, 2)

    def metrics(self):
        page = render(MetricsSnapshot([], JobCounters(0), 0, 0, 0, self.admission.figures())).decode()
        return {
            (sample.name.removeprefix("dispatcher_door_"), *sample.labels.values()): sample.value
            for family in text_string_to_metric_families(page)
            for sample in family.samples
        }

    def test_metrics_by_tenant_match_what_clients_saw_and_parse_as_prometheus_text(self):
        self.inner.settings = replace(self.inner.settings, tenants=(Tenant(9.0, 1.0, "a"), Tenant(9.0, 1.0, "b")))
        self.admission = AdmissionQueue(
            self.inner,
            AdmissionSetup(jobs=50, wait_ms=2000.0, window_least=2, window_most=2),
            self.clock,
            1,
            ['rustaveli "desks"'],
        )
        a, b = 'rustaveli "desks"', "1"  # a tenant without a name is reported by its index
        for n in range(20):
            self.submit(f"j{n}", f"c{n}")
        self.submit("other", "x", tenant=1)
        refused = [answer for answer in self.answers if answer[1] is Final.REFUSED]
        found = self.metrics()
        self.assertEqual(
            [found[name, a] for name in ("offered_total", "let_in_total", "turned_away_total")], [20, 2, len(refused)]
        )
        self.assertEqual(found["promised_total", a], len(refused))
        self.assertEqual([found[name, b] for name in ("offered_total", "let_in_total", "turned_away_total")], [1, 0, 0])
        self.assertEqual((found["queued",], found["window", "start"]), (19 - len(refused), 2))
        self.clock.run(self.clock.now() + refused[0][2])
        self.submit("back", "c" + refused[0][0][1:])
        self.inner.end("j0")
        self.inner.end("back")
        self.clock.run(self.clock.now() + refused[1][2] - refused[0][2])
        self.submit("again", "c" + refused[1][0][1:])
        self.inner.end("j1")
        self.inner.end("again", Final.REFUSED)
        found = self.metrics()
        self.assertEqual((found["kept_total", a], found["broken_total", a], found["kept_total", b]), (1, 1, 0))

    def test_each_job_gets_one_answer_for_any_sequence_of_events(self):
        for seed in range(30):
            self.setUp()
            rng, live, count = random.Random(seed), {}, 0
            for _ in range(200):
                draw = rng.random()
                if draw < 0.5:
                    count += 1
                    number = self.submit(f"j{count}", f"c{rng.randrange(5)}", left=rng.choice([300.0, 5000.0]))
                    if number:
                        live[f"j{count}"] = number
                elif draw < 0.7 and self.inner.held_jobs:
                    job_id = rng.choice(sorted(self.inner.held_jobs))
                    self.inner.records["http", job_id].attempts = 1
                    self.inner.end(job_id, rng.choice(list(Final)))
                elif draw < 0.75 and live:
                    job_id = rng.choice(sorted(live))
                    if job_id not in {a[0] for a in self.answers}:
                        self.admission.withdraw(live[job_id])
                        self.answers.append((job_id, "withdrawn", 0.0))
                    del live[job_id]
                else:
                    self.clock.run(self.clock.now() + rng.choice([1, 50, 700]))
            self.admission.leave(None)
            for job_id in sorted(self.inner.held_jobs):
                self.inner.end(job_id)
            self.assertEqual(Counter(a[0] for a in self.answers), Counter(f"j{n + 1}" for n in range(count)))
            self.assertEqual(
                (self.admission.held, self.admission._queued_bytes, self.admission._waiting_inside), (0, 0, {})
            )
