"""Reserves resources and preempts runs of lower priority for units that would otherwise start too late."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from millethead.scheduling.model import Preemption
from millethead.scheduling.preemption import PREEMPTING_PRIORITY, plan_preemption
from millethead.scheduling.reservation import (
    HOSTS_PER_RESERVATION,
    RESERVATION_RETRY_S,
    STOP_TIME_S,
    can_reserve_more,
    expire_reservations,
    is_large,
    is_worthless,
    plan_earliest_start,
    reservation_due_at,
    reserve,
)
from millethead.scheduling.state import Pool, Step

MAX_BLOCKED_STEPS = 4  # steps of each bucket considered for reservation and preemption
MAX_PLANS_PER_ROUND = 4  # steps for which reservations, and preemptions, are planned in one round
PLANNING_INTERVAL_S = 0.1  # least time between two planning rounds of a service
PREEMPTION_MIN_FRACTION = 0.5  # part of the estimate that must fit before the objective for preemption to be considered
PREEMPTION_INTERVAL_S = 0.2  # least time between two preemption plans for one step


def reserve_or_preempt(pool: Pool, now: float) -> list[Preemption]:
    """Makes reservations and returns the runs to preempt for units that would start too late.

    The planning is limited to once per `PLANNING_INTERVAL_S`, because it costs more than a placement.
    """
    if now < pool.next_planning_at:
        if any(blocked_steps(pool)):
            pool.next_round_at = min(pool.next_round_at, pool.next_planning_at)
        return []
    pool.next_planning_at = now + PLANNING_INTERVAL_S
    expire_reservations(pool, now)
    blocked = list(blocked_steps(pool))
    if not blocked:
        return []
    preemptions = _preempt(pool, blocked, now)
    _make_reservations(pool, blocked, now)
    return preemptions


def _make_reservations(pool: Pool, blocked: list[Step], now: float) -> None:
    """Makes reservations for large units that have waited long, the most urgent first."""
    waiting: list[Step] = []
    for step in blocked:
        if step.key in pool.reservations or not is_large(step, pool) or is_worthless(step, now):
            continue
        due = reservation_due_at(step)
        if now >= due:
            waiting.append(step)
        else:
            pool.next_round_at = min(pool.next_round_at, due)
    waiting.sort(key=lambda step: (step.queue.spec.priority, step.late, step.latest_start, step.order))
    for step in waiting[:MAX_PLANS_PER_ROUND]:
        if not can_reserve_more(pool):
            break
        plan = plan_earliest_start(step, pool, step.members, now)
        if plan is None:
            step.reserve_at = now + RESERVATION_RETRY_S
        else:
            reserve(step, pool, plan)


def _preempt(pool: Pool, blocked: list[Step], now: float) -> list[Preemption]:
    """Selects runs of lower priorities to stop for units of the highest priority that would otherwise be late."""
    first = [step for step in blocked if step.queue.spec.priority == PREEMPTING_PRIORITY and now >= step.preempt_at]
    first.sort(key=lambda step: (step.late, step.latest_start, step.order))
    preemptions: list[Preemption] = []
    for step in first[:MAX_PLANS_PER_ROUND]:
        if _preemption_limit_reached(step, pool) or not _needs_preemption(step, pool, now):
            continue
        step.preempt_at = now + PREEMPTION_INTERVAL_S
        preemption_plan = plan_preemption(step, pool, now)
        if preemption_plan is None:
            continue
        reserve(step, pool, preemption_plan.plan).preempts = True
        for run in preemption_plan.victims:
            run.stopping = True
            preemptions.append(Preemption(run.step.key, run.index, run.instance))
    return preemptions


def _preemption_limit_reached(step: Step, pool: Pool) -> bool:
    """Returns whether runs are already being stopped for the step, or for as many steps as the service allows."""
    own_reservation = pool.reservations.get(step.key)
    preempting_count = sum(reservation.preempts for reservation in pool.reservations.values())
    return (own_reservation is not None and own_reservation.preempts) or preempting_count > len(
        pool.hosts
    ) // HOSTS_PER_RESERVATION


def _needs_preemption(step: Step, pool: Pool, now: float) -> bool:
    """Returns whether a step would be late if it waited for runs to end, but not if some runs are stopped."""
    spec = step.spec
    if now + PREEMPTION_MIN_FRACTION * spec.estimate_s > spec.objective_at and not spec.long_running:
        return False
    plan = plan_earliest_start(step, pool, step.members, now)
    if plan is not None and plan.start_at <= max(step.latest_start, now):
        pool.next_round_at = min(pool.next_round_at, max(now + PREEMPTION_INTERVAL_S, step.latest_start - STOP_TIME_S))
        return False
    return True


def blocked_steps(pool: Pool) -> Iterator[Step]:
    """Yields the first steps of each bucket that are not in a bounded wait."""
    return (step for step in pool.first_steps(MAX_BLOCKED_STEPS) if step.retry_at == inf)
