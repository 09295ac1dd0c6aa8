"""Release order by RBFQ: the examples of the paper (RePAIR, tables 1 and 3), idle credit, and tag spacing by slots."""

from collections import Counter

import pytest
from harness import Node, workers

from millethead.decide import interface as api

NEVER_LATE = api.JobClass(deadline=1e6, aim=9e5, effect=api.Effect.SAFE)


def release_order(tenants, jobs, service, steps):
    """The tenants in the order served by a worker with one slot that runs each job in `service` ms."""
    node = Node(api.Settings(classes=(NEVER_LATE,), tenants=tuple(tenants), reports_in_answers=True), now=0.0)
    for number, tenant in enumerate(jobs, 1):
        node.submit(number, tenant=tenant)
    node.update_workers(*workers(1))
    order = []
    for _ in range(steps):
        assert len(node.sends) == len(order) + 1, "one slot, one job at a time"
        _, number, _ = node.sends[-1]
        order.append(node.jobs[number].event.tenant)
        node.now += service
        node.end_attempt(number, 0, free=0.0)
    return order


def test_two_tenants_are_served_as_in_table_3():
    tenants = [api.Tenant(reservation=20, weight=3), api.Tenant(reservation=40, weight=1)]
    order = release_order(tenants, [0, 1] * 80, 10.0, 50)
    assert order[:5] == [0, 1, 0, 1, 0]
    for start in range(0, 50, 5):  # 3 and 2 jobs in every 50 ms
        assert Counter(order[start : start + 5]) == {0: 3, 1: 2}


@pytest.mark.parametrize(("capacity", "first", "second"), [(1, 0.5, 0.5), (4, 1, 3), (12, 2, 10)])
def test_capacity_is_shared_as_in_table_1(capacity, first, second):
    """Weights 1:5, reservations of 1: equal shares if capacity is below the reservations, then the reservation and
    the rest, and shares by weight if capacity is ample."""
    tenants = [api.Tenant(reservation=10, weight=1), api.Tenant(reservation=10, weight=5)]
    steps = 60 * capacity
    served = Counter(release_order(tenants, [0, 1] * steps, 100.0 / capacity, steps))
    assert served[0] / steps == pytest.approx(first / capacity, abs=0.03)
    assert served[1] / steps == pytest.approx(second / capacity, abs=0.03)


def test_reservation_is_a_minimum_independent_of_the_weight():
    """Equal weights: the larger reservation matters while capacity is scarce, not when it is ample."""
    tenants = [api.Tenant(reservation=30), api.Tenant(reservation=10)]
    short = Counter(release_order(tenants, [0, 1] * 200, 25.0, 120))  # 40 per second: the sum of the reservations
    ample = Counter(release_order(tenants, [0, 1] * 200, 5.0, 300))  # 200 per second
    assert short[0] / short[1] == pytest.approx(3, rel=0.1)
    assert ample[0] / ample[1] == pytest.approx(1, rel=0.1)


@pytest.mark.parametrize(("known", "first"), [(False, 1), (True, 3)])
def test_a_returning_tenant_overtakes_the_backlog_only_by_its_idle_credit(known, first):
    tenants = [api.Tenant(reservation=1), api.Tenant(reservation=1)]
    node = Node(api.Settings(classes=(NEVER_LATE,), tenants=tuple(tenants), reports_in_answers=True), now=0.0)
    node.update_workers(*workers(1))
    if known:
        node.submit(500, tenant=1)
    for number in range(1, 60):
        node.submit(number, tenant=0)
    for step in range(40):
        node.now += 300.0
        if step == 20:
            for number in range(100, 130):
                node.submit(number, tenant=1)
        node.end_attempt(node.sends[-1][1], 0, free=0.0)
    served_since = [node.jobs[number].event.tenant for _, number, _ in node.sends[21:41]]
    assert served_since[:first].count(1) >= first - 1
    assert 9 <= served_since.count(1) <= 13  # then they alternate


def test_jobs_without_a_fitting_worker_do_not_block_others():
    classes = (api.JobClass(deadline=1e6, aim=9e5, kind=1), NEVER_LATE)
    node = Node(api.Settings(classes=classes, reports_in_answers=True))
    node.update_workers(*workers(2, kind=0))
    node.submit(1, job_class=0)
    node.submit(2, job_class=1)
    assert not node.workers_tried(1) and node.workers_tried(2)


def test_a_requeued_job_keeps_its_tags():
    short = api.JobClass(deadline=5000, aim=4000, effect=api.Effect.SAFE)
    node = Node(api.Settings(classes=(short,), reports_in_answers=True))
    node.update_workers(*workers(1))
    node.submit(1)
    node.submit(2)
    node.end_attempt(1, 0, api.Outcome.FULL)
    node.run_until(node.now + 3000)
    assert node.sends[1][1] == 1


def test_tags_are_spaced_by_the_slots_of_a_job():
    tenants = [api.Tenant(reservation=1), api.Tenant(reservation=1)]
    node = Node(api.Settings(classes=(NEVER_LATE,), tenants=tuple(tenants)))
    node.submit(1, tenant=0, slots=4.0)
    node.submit(2, tenant=0)
    node.submit(3, tenant=1)
    node.submit(4, tenant=1)
    first, second = (node.balancer.jobs[n].reservation_tag for n in (1, 2))
    assert second - first == pytest.approx(1000 / node.balancer.mean_slots, rel=0.05)
