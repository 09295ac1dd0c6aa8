"""Room kept or made for units that would come too late: reservations, and runs of worse priorities that are stopped."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from millethead.scheduling.model import Preemption
from millethead.scheduling.preemption import PREEMPTING_PRIORITY, clear_room
from millethead.scheduling.reservation import (
    HOSTS_PER_RESERVATION,
    STOP_TIME_S,
    TRY_AGAIN_S,
    has_room_for_more,
    is_large,
    is_worthless,
    make_plan,
    make_reservation,
    renew_reservations,
    reserve_from,
)
from millethead.scheduling.state import Pool, Step

HEADS = 4  # steps of one lane that may have room kept or made for them
MOST_PLANS = 4  # steps for which room is planned in one look
MAKE_ROOM_EVERY_S = 0.1  # between two looks at what could have room kept or made for it
PREEMPT_SHARE = 0.5  # part of the estimate that must fit before the objective for runs to be stopped
PREEMPT_EVERY_S = 0.2  # between two looks at what could be stopped for one step


def make_room(pool: Pool, now: float) -> list[Preemption]:
    """Keep or make room for units that would come too late. Looked at now and then only: it costs more than a
    placement."""
    if now < pool.make_room_at:
        if any(blocked_steps(pool)):
            pool.look_at = min(pool.look_at, pool.make_room_at)
        return []
    pool.make_room_at = now + MAKE_ROOM_EVERY_S
    renew_reservations(pool, now)
    blocked = list(blocked_steps(pool))
    if not blocked:
        return []
    preemptions = _preempt(pool, blocked, now)
    _reserve(pool, blocked, now)
    return preemptions


def _reserve(pool: Pool, blocked: list[Step], now: float) -> None:
    """Keep room for large units that have waited long, the most urgent first."""
    waiting: list[Step] = []
    for step in blocked:
        if step.key in pool.reservations or not is_large(step, pool) or is_worthless(step, now):
            continue
        due = reserve_from(step)
        if now >= due:
            waiting.append(step)
        else:
            pool.look_at = min(pool.look_at, due)
    waiting.sort(key=lambda step: (step.flow.spec.priority, step.late, step.latest_start, step.order))
    for step in waiting[:MOST_PLANS]:
        if not has_room_for_more(pool):
            break
        plan = make_plan(step, pool, step.members, now)
        if plan is None:
            step.reserve_at = now + TRY_AGAIN_S
        else:
            make_reservation(step, pool, plan)


def _preempt(pool: Pool, blocked: list[Step], now: float) -> list[Preemption]:
    """Stop runs of worse priorities for units of the best one that would be late otherwise."""
    first = [step for step in blocked if step.flow.spec.priority == PREEMPTING_PRIORITY and now >= step.preempt_at]
    first.sort(key=lambda step: (step.late, step.latest_start, step.order))
    preemptions: list[Preemption] = []
    for step in first[:MOST_PLANS]:
        if _preempts_enough(step, pool) or not _needs_preemption(step, pool, now):
            continue
        step.preempt_at = now + PREEMPT_EVERY_S
        clearance = clear_room(step, pool, now)
        if clearance is None:
            continue
        make_reservation(step, pool, clearance.plan).preempts = True
        for run in clearance.victims:
            run.stopping = True
            preemptions.append(Preemption(run.step.key, run.index, run.instance))
    return preemptions


def _preempts_enough(step: Step, pool: Pool) -> bool:
    known = pool.reservations.get(step.key)
    number = sum(reservation.preempts for reservation in pool.reservations.values())
    return (known is not None and known.preempts) or number > len(pool.hosts) // HOSTS_PER_RESERVATION


def _needs_preemption(step: Step, pool: Pool, now: float) -> bool:
    """Whether a step would be late if it waited for runs to end by themselves, but not if some are stopped."""
    spec = step.spec
    if now + PREEMPT_SHARE * spec.estimate_s > spec.objective_at and not spec.long_running:
        return False
    plan = make_plan(step, pool, step.members, now)
    if plan is not None and plan.start_at <= max(step.latest_start, now):
        pool.look_at = min(pool.look_at, max(now + PREEMPT_EVERY_S, step.latest_start - STOP_TIME_S))
        return False
    return True


def blocked_steps(pool: Pool) -> Iterator[Step]:
    """The first steps of each lane that do not wait by choice."""
    return (step for step in pool.first_steps(HEADS) if step.look_at == inf)
