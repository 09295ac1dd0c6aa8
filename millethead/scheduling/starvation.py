"""Finds steps that starve although their service is underused.

A unit may be delayed by a bounded wait (for the rack of its data, or for a worker on which it has not failed), or
because the workers with free resources are unhealthy or reserved for a larger unit. While the service is underused,
none of that may delay a step without any run for long: after `STARVATION_S` only free resources, labels and
anti-affinity count. By the scheduling rules, a job is LOST if one of its steps waits in this way for 3 s.
"""

from __future__ import annotations

from itertools import islice
from math import inf

from millethead.scheduling.state import Pool, Step

STARVATION_S = 2.0  # leaves 1 s of the 3 s to commit the assignment and to start the run
# Allocated share below which a service is underused, which is about half in actual use: up to a tenth is allocated to
# runs that have not started yet or have already ended.
UNDERUSED_SHARE = 0.6
MAX_BUSY_SPELL_S = 1.0  # shorter spells of higher use do not end an underused period
MAX_IDLE_STEPS = 4  # steps without runs examined in each bucket
MAX_SCANNED_STEPS = 64  # steps of each bucket among which they are searched


def is_underused(pool: Pool) -> bool:
    """Returns whether so little of a service is in use that no step may be delayed for long."""
    return pool.hosts.used_share < UNDERUSED_SHARE


def update_underused_since(pool: Pool, now: float) -> None:
    """Updates the time since when the service has been underused. Called after every change of allocations."""
    if not is_underused(pool):
        pool.busy_since = min(pool.busy_since, now)
        return
    if now >= pool.busy_since + MAX_BUSY_SPELL_S:
        pool.underused_since = now
    pool.underused_since = min(pool.underused_since, now)
    pool.busy_since = inf


def starving_steps(pool: Pool, now: float) -> list[Step]:
    """Returns the steps without runs that have waited too long while the service was underused."""
    if not is_underused(pool) or now < pool.underused_since + STARVATION_S:
        return []
    return [step for step in _idle_steps(pool) if now >= step.idle_since + STARVATION_S]


def next_starvation_at(pool: Pool, now: float) -> float:
    """Returns the time at which the next step may starve; infinite if none can."""
    if not is_underused(pool):
        return inf
    ends = (max(step.idle_since, pool.underused_since) + STARVATION_S for step in _idle_steps(pool))
    return min((end for end in ends if end > now), default=inf)


def _idle_steps(pool: Pool) -> list[Step]:
    """Returns the first steps of each bucket without runs."""
    buckets = (bucket for queue in pool.queues.values() for bucket in queue.buckets.values())
    return [
        step
        for bucket in buckets
        for step in islice(filter(_is_idle, islice(bucket, MAX_SCANNED_STEPS)), MAX_IDLE_STEPS)
    ]


def _is_idle(step: Step) -> bool:
    return not step.run_instances
