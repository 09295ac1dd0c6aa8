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
from millethead.scheduling.placement import Demand, Host, fit_count, plus, share, times
from millethead.scheduling.state import Pool, Reservation, Run, Step

LEAST_PATIENCE_S, PATIENCE_SHARE = 1.0, 0.15  # a large unit waits so long, or this part of its objective
LARGE_SHARE = 0.2  # part of the largest host from which a task is large
HOSTS_PER_RESERVATION = 4  # one reservation, and one more for so many hosts
RESERVED_SHARE = 0.5  # part of the hosts that further reservations may touch
MOST_HOSTS = 96  # hosts weighed for a plan
OVERDUE_SHARE = 0.25  # part of its estimate that a run which should be over is taken to need still
STOP_TIME_S = 0.4  # a run that is being stopped is gone by then
LONGEST_S = 10.0  # a reservation that was not used by so long after its expected start is given up
TRY_AGAIN_S = 1.0
LATE_TIMES = 3.0  # times its objective after which a job earns nothing


@dataclass(frozen=True, slots=True)
class Plan:
    """When `counts` tasks of a step could start at each instance, by estimate."""

    start_at: float
    counts: dict[str, int]


def is_large(step: Step, pool: Pool) -> bool:
    """Whether the step's units may have room kept for them."""
    return step.spec.gang or share(step.spec.needs, pool.hosts.largest) >= LARGE_SHARE


def reserve_from(step: Step) -> float:
    """The time from which a step may have room kept for it."""
    since = next(iter(step.tasks.values())).waiting_since
    patience = max(LEAST_PATIENCE_S, PATIENCE_SHARE * (step.spec.objective_at - step.arrived))
    return max(since + patience, step.reserve_at)


def is_worthless(step: Step, now: float) -> bool:
    """Whether the job is so late that it earns nothing."""
    return now > step.arrived + LATE_TIMES * max(0.0, step.spec.objective_at - step.arrived)


def expected_end(run: Run, now: float) -> float:
    """When a run is expected to end; tasks that last do not."""
    spec = run.step.spec
    if run.stopping:
        return now + STOP_TIME_S
    if spec.long_running:
        return inf
    return max(run.started + spec.estimate_s, now + OVERDUE_SHARE * spec.estimate_s)


def make_plan(step: Step, pool: Pool, count: int, now: float) -> Plan | None:
    """Where `count` tasks of a step could start together first, by estimate; None: never. Hosts that are kept for
    other steps are left out. A gang that suffers from more than one rack gets one where that costs little."""
    demand, own = step.demand(now), pool.reservations.get(step.key)
    hosts = _plannable(demand, own, pool.hosts)
    plan = _plan_on(hosts, demand, count, now)
    if plan is None or not step.spec.same_rack:
        return plan
    racks = (_plan_on(_plannable(demand, own, rack), demand, count, now) for rack in pool.hosts.by_rack.values())
    best = min((other for other in racks if other), key=lambda other: other.start_at, default=plan)
    return best if best.start_at <= plan.start_at + 0.5 * step.spec.estimate_s else plan


def _plannable(demand: Demand, own: Reservation | None, hosts: Iterable[Host]) -> list[Host]:
    free = (host for host in hosts if host.claim is None or host.claim is own)
    return list(islice((host for host in free if host.proven and demand.at_best(host) > 0), MOST_HOSTS))


def _plan_on(hosts: list[Host], demand: Demand, count: int, now: float) -> Plan | None:
    starts = sorted(
        ((start, host.instance) for host in hosts for start in member_starts(host, demand, count, now)),
    )[:count]
    if len(starts) < count or starts[-1][0] == inf:
        return None
    counts: dict[str, int] = {}
    for _, instance in starts:
        counts[instance] = counts.get(instance, 0) + 1
    return Plan(starts[-1][0], counts)


def member_starts(host: Host, demand: Demand, most: int, now: float) -> list[float]:
    """The times at which a first, second and further task would fit on a host as its runs end."""
    free, starts = host.free, [now] * min(most, fit_count(host.free, demand.needs), demand.spare(host))
    for end, needs in sorted(((expected_end(run, now), run.needs) for run in host.runs), key=lambda entry: entry[0]):
        if len(starts) >= most or end == inf:
            break
        free = plus(free, needs)
        fitting = min(most, fit_count(free, demand.needs), demand.spare(host))
        starts += [end] * (fitting - len(starts))
    return starts


def make_reservation(step: Step, pool: Pool, plan: Plan) -> Reservation:
    """Keep the planned room for a step."""
    drop_reservation(step, pool)
    shares = {instance: times(step.spec.needs, count) for instance, count in plan.counts.items()}
    reservation = Reservation(step, plan.start_at, shares)
    pool.reservations[step.key] = reservation
    for instance in shares:
        pool.hosts.by_instance[instance].claim = reservation
    return reservation


def drop_reservation(step: Step, pool: Pool) -> None:
    """Keep no more room for a step."""
    reservation = pool.reservations.pop(step.key, None)
    if reservation is None:
        return
    for instance in list(reservation.shares):
        _give_back(reservation, instance, pool)


def use_reservation(step: Step, pool: Pool, instance: str, needs: Resources) -> None:
    """A task of the step has been placed: so much less is kept for it, there or anywhere."""
    reservation = pool.reservations.get(step.key)
    if reservation is None:
        return
    if instance not in reservation.shares:
        instance = next(iter(reservation.shares))
    left = fit_count(reservation.shares[instance], needs) - 1
    if left > 0:
        reservation.shares[instance] = times(needs, left)
        return
    _give_back(reservation, instance, pool)
    if not reservation.shares:
        del pool.reservations[step.key]


def _give_back(reservation: Reservation, instance: str, pool: Pool) -> None:
    del reservation.shares[instance]
    host = pool.hosts.by_instance.get(instance)
    if host is not None and host.claim is reservation:
        host.claim = None
        pool.grew(host)


def renew_reservations(pool: Pool, now: float) -> None:
    """Give up what was not used in time."""
    for reservation in list(pool.reservations.values()):
        if now > reservation.start_at + LONGEST_S:
            reservation.step.reserve_at = now + TRY_AGAIN_S
            drop_reservation(reservation.step, pool)


def has_room_for_more(pool: Pool) -> bool:
    """Whether a further reservation may be made."""
    number = len(pool.reservations)
    if not number:
        return True
    kept = {instance for reservation in pool.reservations.values() for instance in reservation.shares}
    few = number < 1 + len(pool.hosts) // HOSTS_PER_RESERVATION
    return few and len(kept) < RESERVED_SHARE * len(pool.hosts)
