"""Room kept for large units, so that smaller ones do not starve them.

A gang or a large task that has waited long gets a *reservation*: hosts that are kept free for it, chosen where room
comes up first by the estimates of what runs there. Others may use that room only if they end before it is expected to
be used, if enough is left beside it, or with a better priority (`placement.Demand`). The number of reservations of a
service is bounded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from math import inf

from millethead.execution.messages import Resources
from millethead.scheduling.placement import Demand, Host, add, dominant_share, fit_count, scale
from millethead.scheduling.state import Pool, Reservation, Run, Step

MIN_RESERVATION_DELAY_S, RESERVATION_DELAY_FRACTION = (
    1.0,
    0.15,
)  # a large unit waits so long, or this part of its objective
LARGE_TASK_SHARE = 0.2  # part of the largest host from which a task is large
HOSTS_PER_RESERVATION = 4  # one reservation, and one more for so many hosts
MAX_RESERVED_FRACTION = 0.5  # part of the hosts that further reservations may touch
MAX_PLAN_HOSTS = 96  # hosts weighed for a plan
OVERDUE_REMAINING_FRACTION = 0.25  # part of its estimate that a run which should be over is taken to need still
STOP_TIME_S = 0.4  # a run that is being stopped is gone by then
RESERVATION_TIMEOUT_S = 10.0  # a reservation that was not used by so long after its expected start is given up
RESERVATION_RETRY_S = 1.0
WORTHLESS_FACTOR = 3.0  # times its objective after which a job earns nothing


@dataclass(frozen=True, slots=True)
class Plan:
    """When `counts` tasks of a step could start at each instance, by estimate."""

    start_at: float
    counts: dict[str, int]


def is_large(step: Step, pool: Pool) -> bool:
    """Whether the step's units may have room kept for them."""
    return step.spec.gang or dominant_share(step.spec.needs, pool.hosts.largest) >= LARGE_TASK_SHARE


def reservation_due_at(step: Step) -> float:
    """The time from which a step may have room kept for it."""
    since = next(iter(step.tasks.values())).waiting_since
    delay_s = max(MIN_RESERVATION_DELAY_S, RESERVATION_DELAY_FRACTION * (step.spec.objective_at - step.arrived_at))
    return max(since + delay_s, step.reserve_at)


def is_worthless(step: Step, now: float) -> bool:
    """Whether the job is so late that it earns nothing."""
    return now > step.arrived_at + WORTHLESS_FACTOR * max(0.0, step.spec.objective_at - step.arrived_at)


def expected_end(run: Run, now: float) -> float:
    """When a run is expected to end; tasks that last do not."""
    spec = run.step.spec
    if run.stopping:
        return now + STOP_TIME_S
    if spec.long_running:
        return inf
    return max(run.started + spec.estimate_s, now + OVERDUE_REMAINING_FRACTION * spec.estimate_s)


def plan_earliest_start(step: Step, pool: Pool, count: int, now: float) -> Plan | None:
    """Where `count` tasks of a step could start together first, by estimate; None: never. Hosts that are kept for
    other steps are left out. A gang that suffers from more than one rack gets one where that costs little."""
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
    """The times at which a first, second and further task would fit on a host as its runs end."""
    free, starts = host.free, [now] * min(limit, fit_count(host.free, demand.needs), demand.spread_capacity(host))
    for end, needs in sorted(((expected_end(run, now), run.needs) for run in host.runs), key=lambda entry: entry[0]):
        if len(starts) >= limit or end == inf:
            break
        free = add(free, needs)
        fitting = min(limit, fit_count(free, demand.needs), demand.spread_capacity(host))
        starts += [end] * (fitting - len(starts))
    return starts


def reserve(step: Step, pool: Pool, plan: Plan) -> Reservation:
    """Keep the planned room for a step."""
    cancel_reservation(step, pool)
    resources_by_instance = {instance: scale(step.spec.needs, count) for instance, count in plan.counts.items()}
    reservation = Reservation(step, plan.start_at, resources_by_instance)
    pool.reservations[step.key] = reservation
    for instance in resources_by_instance:
        pool.hosts.by_instance[instance].reservation = reservation
    return reservation


def cancel_reservation(step: Step, pool: Pool) -> None:
    """Keep no more room for a step."""
    reservation = pool.reservations.pop(step.key, None)
    if reservation is None:
        return
    for instance in list(reservation.resources_by_instance):
        _release_host(reservation, instance, pool)


def consume_reservation(step: Step, pool: Pool, instance: str, needs: Resources) -> None:
    """A task of the step has been placed: so much less is kept for it, there or anywhere."""
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
    """Give up what was not used in time."""
    for reservation in list(pool.reservations.values()):
        if now > reservation.start_at + RESERVATION_TIMEOUT_S:
            reservation.step.reserve_at = now + RESERVATION_RETRY_S
            cancel_reservation(reservation.step, pool)


def can_reserve_more(pool: Pool) -> bool:
    """Whether a further reservation may be made."""
    count = len(pool.reservations)
    if not count:
        return True
    reserved_instances = {
        instance for reservation in pool.reservations.values() for instance in reservation.resources_by_instance
    }
    below_limit = count < 1 + len(pool.hosts) // HOSTS_PER_RESERVATION
    return below_limit and len(reserved_instances) < MAX_RESERVED_FRACTION * len(pool.hosts)
