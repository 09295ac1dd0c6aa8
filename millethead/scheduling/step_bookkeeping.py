"""Keeps tags, buckets and backlog consistent with the waiting units of a step."""

from __future__ import annotations

from millethead.scheduling.priority_headroom import record_arrival
from millethead.scheduling.reservation import cancel_reservation
from millethead.scheduling.state import ShapeBucket, Step


def update_step_bookkeeping(step: Step, now: float | None) -> None:
    """Updates the bookkeeping after the waiting tasks or the runs of a step have changed.

    `now` is None if no unit can have been added.
    """
    queue = step.queue
    added_units = step.units - step.tagged_units
    if added_units > 0 and now is not None:
        _units_arrived(step, added_units, now)
    for _ in range(-added_units):
        queue.pool.tags.withdraw(queue.name)
    step.tagged_units = step.units
    step.tried_generation = -1
    queue.pool.update_backlog(step)
    if not step.units:
        cancel_reservation(step, queue.pool)
    _update_bucket(step, now)
    queue.pool.dirty = True


def _units_arrived(step: Step, units: int, now: float) -> None:
    """Counts new units in the arrival rates of their queue and adds their tags."""
    queue = step.queue
    size = queue.pool.hosts.slots(step.spec.needs) * step.members
    queue.rate.add(size * units, now)
    record_arrival(step, units * step.members, now)
    tags = queue.pool.tags.queue(queue.name)
    tags.floor, tags.weight = queue.floor_and_weight(now)
    queue.pool.tags.arrive(queue.name, size, units, now)


def _update_bucket(step: Step, now: float | None) -> None:
    """Keeps a step in its bucket while at least one of its units waits."""
    buckets = step.queue.buckets
    if step.units and step.bucket is not None:
        step.bucket.tried_generation = -1
    elif step.units and now is not None:
        buckets.setdefault(step.shape, ShapeBucket(step.spec.needs)).add(step, now)
    elif step.bucket is not None:
        step.bucket.remove(step)
        if not buckets[step.shape]:
            del buckets[step.shape]
