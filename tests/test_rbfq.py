"""The release order against the paper: its two-client example, its capacity table, idle credit, spacing."""

from collections import Counter

import pytest
from harness import Node, workers

from millethead.decide import interface as api

PATIENT = api.JobClass(deadline=1e6, aim=9e5, effect=api.Effect.SAFE)


def release_order(tenants, jobs, service, steps):
    """The tenants in the order served by one worker of one slot that takes `service` for each job."""
    node = Node(api.Settings(classes=(PATIENT,), tenants=tuple(tenants), reports_in_answers=True), now=0.0)
    for number, tenant in enumerate(jobs, 1):
        node.job(number, tenant=tenant)
    node.list(*workers(1))
    order = []
    for _ in range(steps):
        assert len(node.sends) == len(order) + 1, "one slot, one job at a time"
        _, number, _ = node.sends[-1]
        order.append(node.jobs[number].event.tenant)
        node.now += service
        node.end(number, 0, free=0.0)
    return order


def test_two_clients_of_table_3():
    tenants = [api.Tenant(reservation=20, weight=3), api.Tenant(reservation=40, weight=1)]
    order = release_order(tenants, [0, 1] * 80, 10.0, 50)
    assert order[:5] == [0, 1, 0, 1, 0]
    for start in range(0, 50, 5):  # 3 and 2 in every 50 ms
        assert Counter(order[start : start + 5]) == {0: 3, 1: 2}


@pytest.mark.parametrize(("capacity", "first", "second"), [(1, 0.5, 0.5), (4, 1, 3), (12, 2, 10)])
def test_capacity_table_1(capacity, first, second):
    """Weights 1:5, floors of 1: halves when short, the floor in between, the weights when ample."""
    tenants = [api.Tenant(reservation=10, weight=1), api.Tenant(reservation=10, weight=5)]
    steps = 60 * capacity
    served = Counter(release_order(tenants, [0, 1] * steps, 100.0 / capacity, steps))
    assert served[0] / steps == pytest.approx(first / capacity, abs=0.03)
    assert served[1] / steps == pytest.approx(second / capacity, abs=0.03)


def test_reservation_is_a_floor_apart_from_the_weight():
    """Equal weights: the larger reservation counts while capacity is short, not when it is ample."""
    tenants = [api.Tenant(reservation=30), api.Tenant(reservation=10)]
    short = Counter(release_order(tenants, [0, 1] * 200, 25.0, 120))  # 40 a second: just the reservations
    ample = Counter(release_order(tenants, [0, 1] * 200, 5.0, 300))  # 200 a second
    assert short[0] / short[1] == pytest.approx(3, rel=0.1)
    assert ample[0] / ample[1] == pytest.approx(1, rel=0.1)


@pytest.mark.parametrize(("known", "first"), [(False, 1), (True, 3)])
def test_a_returning_tenant_passes_the_backlog_only_by_its_idle_credit(known, first):
    tenants = [api.Tenant(reservation=1), api.Tenant(reservation=1)]
    node = Node(api.Settings(classes=(PATIENT,), tenants=tuple(tenants), reports_in_answers=True), now=0.0)
    node.list(*workers(1))
    if known:
        node.job(500, tenant=1)
    for number in range(1, 60):
        node.job(number, tenant=0)
    for step in range(40):
        node.now += 300.0
        if step == 20:
            for number in range(100, 130):
                node.job(number, tenant=1)
        node.end(node.sends[-1][1], 0, free=0.0)
    late = [node.jobs[number].event.tenant for _, number, _ in node.sends[21:41]]
    assert late[:first].count(1) >= first - 1
    assert 9 <= late.count(1) <= 13  # then they take turns


def test_jobs_that_fit_nowhere_do_not_hold_up_the_others():
    classes = (api.JobClass(deadline=1e6, aim=9e5, kind=1), PATIENT)
    node = Node(api.Settings(classes=classes, reports_in_answers=True))
    node.list(*workers(2, kind=0))
    node.job(1, job_class=0)
    node.job(2, job_class=1)
    assert not node.sent_to(1) and node.sent_to(2)


def test_a_requeued_job_keeps_its_place():
    quick = api.JobClass(deadline=5000, aim=4000, effect=api.Effect.SAFE)
    node = Node(api.Settings(classes=(quick,), reports_in_answers=True))
    node.list(*workers(1))
    node.job(1)
    node.job(2)
    node.end(1, 0, api.Outcome.FULL)
    node.until(node.now + 3000)
    assert node.sends[1][1] == 1


def test_a_job_of_many_slots_moves_its_tenant_on_by_as_many():
    tenants = [api.Tenant(reservation=1), api.Tenant(reservation=1)]
    node = Node(api.Settings(classes=(PATIENT,), tenants=tuple(tenants)))
    node.job(1, tenant=0, slots=4.0)
    node.job(2, tenant=0)
    node.job(3, tenant=1)
    node.job(4, tenant=1)
    first, second = (node.balancer.jobs[n].reservation_tag for n in (1, 2))
    assert second - first == pytest.approx(1000 / node.balancer.mean_slots, rel=0.05)
