"""Reservations for large units, so that smaller units do not starve them.

A gang or a large task that has waited long gets a *reservation* on the hosts on which it is expected to fit first,
according to the estimates of the runs there. Other units may use the reserved resources only if they end before the
expected start (backfill), if enough is left beside the reservation, or if they have a higher priority
(`placement.Demand`). The number of reservations of a service is bounded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from math import inf

from millethead.execution.messages import Resources
from millethead.scheduling.placement import Demand, Host, add, dominant_share, fit_count, scale
from millethead.scheduling.state import Pool, Reservation, Run, Step

# A large unit waits this long, or this fraction of its objective if that is longer, before it gets a reservation.
MIN_RESERVATION_DELAY_S, RESERVATION_DELAY_FRACTION = 1.0, 0.15
LARGE_TASK_SHARE = 0.2  # fraction of the largest host from which a task is large
HOSTS_PER_RESERVATION = 4  # a service may have one reservation, and one more for each this many hosts
MAX_RESERVED_FRACTION = 0.5  # no further reservation is made once this fraction of the hosts is reserved
MAX_PLAN_HOSTS = 96  # hosts considered for one plan
OVERDUE_REMAINING_FRACTION = 0.25  # assumed remaining time of an overdue run, as a fraction of its estimate
STOP_TIME_S = 0.4  # expected time until a run that is being stopped has ended
RESERVATION_TIMEOUT_S = 10.0  # an unused reservation expires this long after its expected start
RESERVATION_RETRY_S = 1.0  # delay before a step may get another reservation
WORTHLESS_FACTOR = 3.0  # multiple of its objective after which a job earns nothing


@dataclass(frozen=True, slots=True)
class Plan:
    """How many tasks of a step each instance gets (`counts`), and when all of them are expected to be able to start."""

    start_at: float
    counts: dict[str, int]


def is_large(step: Step, pool: Pool) -> bool:
    """Returns whether the units of a step may get a reservation."""
    return step.spec.gang or dominant_share(step.spec.needs, pool.hosts.largest) >= LARGE_TASK_SHARE


def reservation_due_at(step: Step) -> float:
    """Returns the time from which a step may get a reservation."""
    since = next(iter(step.tasks.values())).waiting_since
    delay_s = max(MIN_RESERVATION_DELAY_S, RESERVATION_DELAY_FRACTION * (step.spec.objective_at - step.arrived_at))
    return max(since + delay_s, step.reserve_at)


def is_worthless(step: Step, now: float) -> bool:
    """Returns whether the job is so late that it earns nothing."""
    return now > step.arrived_at + WORTHLESS_FACTOR * max(0.0, step.spec.objective_at - step.arrived_at)


def expected_end(run: Run, now: float) -> float:
    """Returns when a run is expected to end; infinite for long-running tasks that are not being stopped."""
    spec = run.step.spec
    if run.stopping:
        return now + STOP_TIME_S
    if spec.long_running:
        return inf
    return max(run.started + spec.estimate_s, now + OVERDUE_REMAINING_FRACTION * spec.estimate_s)


def plan_earliest_start(step: Step, pool: Pool, count: int, now: float) -> Plan | None:
    """Returns the plan by which `count` tasks of a step can start together earliest, or None if they never can.

    Hosts that other steps have reserved are not used. A gang that prefers a single rack gets one if that delays it by
    at most half of its estimate.
    """
    demand, own = step.demand(now), pool.reservations.get(step.key)
    hosts = _plan_hosts(demand, own, pool.hosts)
    plan = _plan_on(hosts, demand, count, now)
    if plan is None or not step.spec.same_rack:
        return plan
    racks = (_plan_on(_plan_hosts(demand, own, rack), demand, count, now) for rack in pool.hosts.by_rack.values())
    best = min((other for other in racks if other), key=lambda other: other.start_at, default=plan)
    return best if best.start_at <= plan.start_at + 0.5 * step.spec.estimate_s else plan


def _plan_hosts(demand: Demand, own: Reservation | None, hosts: Iterable[Host]) -> list[Host]:
    free = (host for host in hosts if host.reservation is None or host.reservation is own)
    return list(islice((host for host in free if host.is_sound and demand.fit_when_empty(host) > 0), MAX_PLAN_HOSTS))


def _plan_on(hosts: list[Host], demand: Demand, count: int, now: float) -> Plan | None:
    starts = sorted(
        ((start, host.instance) for host in hosts for start in task_start_times(host, demand, count, now)),
    )[:count]
    if len(starts) < count or starts[-1][0] == inf:
        return None
    counts: dict[str, int] = {}
    for _, instance in starts:
        counts[instance] = counts.get(instance, 0) + 1
    return Plan(starts[-1][0], counts)


def task_start_times(host: Host, demand: Demand, limit: int, now: float) -> list[float]:
    """Returns the times at which a first, second and further task would fit on a host as its runs end."""
    free, starts = host.free, [now] * min(limit, fit_count(host.free, demand.needs), demand.spread_capacity(host))
    for end, needs in sorted(((expected_end(run, now), run.needs) for run in host.runs), key=lambda entry: entry[0]):
        if len(starts) >= limit or end == inf:
            break
        free = add(free, needs)
        fitting = min(limit, fit_count(free, demand.needs), demand.spread_capacity(host))
        starts += [end] * (fitting - len(starts))
    return starts


def reserve(step: Step, pool: Pool, plan: Plan) -> Reservation:
    """Reserves the planned resources for a step and replaces its earlier reservation."""
    cancel_reservation(step, pool)
    resources_by_instance = {instance: scale(step.spec.needs, count) for instance, count in plan.counts.items()}
    reservation = Reservation(step, plan.start_at, resources_by_instance)
    pool.reservations[step.key] = reservation
    for instance in resources_by_instance:
        pool.hosts.by_instance[instance].reservation = reservation
    return reservation


def cancel_reservation(step: Step, pool: Pool) -> None:
    """Cancels the reservation of a step, if it has one."""
    reservation = pool.reservations.pop(step.key, None)
    if reservation is None:
        return
    for instance in list(reservation.resources_by_instance):
        _release_host(reservation, instance, pool)


def consume_reservation(step: Step, pool: Pool, instance: str, needs: Resources) -> None:
    """Reduces the reservation of a step after one of its tasks has been placed.

    The share of that instance is reduced, or any other share if the instance is not reserved.
    """
    reservation = pool.reservations.get(step.key)
    if reservation is None:
        return
    if instance not in reservation.resources_by_instance:
        instance = next(iter(reservation.resources_by_instance))
    left = fit_count(reservation.resources_by_instance[instance], needs) - 1
    if left > 0:
        reservation.resources_by_instance[instance] = scale(needs, left)
        return
    _release_host(reservation, instance, pool)
    if not reservation.resources_by_instance:
        del pool.reservations[step.key]


def _release_host(reservation: Reservation, instance: str, pool: Pool) -> None:
    del reservation.resources_by_instance[instance]
    host = pool.hosts.by_instance.get(instance)
    if host is not None and host.reservation is reservation:
        host.reservation = None
        pool.capacity_grew(host)


def expire_reservations(pool: Pool, now: float) -> None:
    """Cancels the reservations that were not used in time."""
    for reservation in list(pool.reservations.values()):
        if now > reservation.start_at + RESERVATION_TIMEOUT_S:
            reservation.step.reserve_at = now + RESERVATION_RETRY_S
            cancel_reservation(reservation.step, pool)


def can_reserve_more(pool: Pool) -> bool:
    """Returns whether a service may have another reservation."""
    count = len(pool.reservations)
    if not count:
        return True
    reserved_instances = {
        instance for reservation in pool.reservations.values() for instance in reservation.resources_by_instance
    }
    below_limit = count < 1 + len(pool.hosts) // HOSTS_PER_RESERVATION
    return below_limit and len(reserved_instances) < MAX_RESERVED_FRACTION * len(pool.hosts)
