"""Units that wait although their service is little used.

A unit may wait by choice (for the rack of its data, for another worker than the one it failed on), or because the
workers with room are avoided for their health or keep it for a larger unit. While less than about half of the service
is in use, none of that may hold a step back for long of which nothing runs: after `STARVATION_S` only room, labels and
anti-affinity count. The rules call a job LOST whose step waits for 3 s in that way.
"""

from __future__ import annotations

from itertools import islice
from math import inf

from millethead.scheduling.state import Pool, Step

STARVATION_S = 2.0  # leaves a second to commit the assignment and to start the run
UNDERUSED_SHARE = 0.6  # part of the service that is booked; of that, up to a tenth has not begun or has ended already
MAX_BUSY_SPELL_S = 1.0  # a service that is more in use for less than this counts as little used meanwhile
MAX_IDLE_STEPS = 4  # idle steps of each lane that are looked at
MAX_SCANNED_STEPS = 64  # steps of each lane among which they are sought


def is_underused(pool: Pool) -> bool:
    """Whether so little of a service is in use that nothing may wait there by choice for long."""
    return pool.hosts.used_share < UNDERUSED_SHARE


def update_underused_since(pool: Pool, now: float) -> None:
    """Note since when the service has been little used, short spells apart; called after every change of bookings."""
    if not is_underused(pool):
        pool.busy_since = min(pool.busy_since, now)
        return
    if now >= pool.busy_since + MAX_BUSY_SPELL_S:
        pool.underused_since = now
    pool.underused_since = min(pool.underused_since, now)
    pool.busy_since = inf


def starving_steps(pool: Pool, now: float) -> list[Step]:
    """Steps of which nothing runs and which have waited too long while the service was little used."""
    if not is_underused(pool) or now < pool.underused_since + STARVATION_S:
        return []
    return [step for step in _idle_steps(pool) if now >= step.idle_since + STARVATION_S]


def next_starvation_at(pool: Pool, now: float) -> float:
    """When the next step may have waited too long; infinite where none can."""
    if not is_underused(pool):
        return inf
    ends = (max(step.idle_since, pool.underused_since) + STARVATION_S for step in _idle_steps(pool))
    return min((end for end in ends if end > now), default=inf)


def _idle_steps(pool: Pool) -> list[Step]:
    """The first steps of each lane of which nothing runs."""
    buckets = (bucket for queue in pool.queues.values() for bucket in queue.buckets.values())
    return [
        step
        for bucket in buckets
        for step in islice(filter(_is_idle, islice(bucket, MAX_SCANNED_STEPS)), MAX_IDLE_STEPS)
    ]


def _is_idle(step: Step) -> bool:
    return not step.run_instances
