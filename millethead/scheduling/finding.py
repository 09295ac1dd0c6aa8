"""The first unit of a queue that fits somewhere: its lanes by urgency, and of each the first steps.

What did not fit is looked at again only on the hosts that have grown since, or when a wait by choice is over.
"""

from __future__ import annotations

from itertools import islice
from math import inf

from millethead.execution.messages import Resources
from millethead.scheduling.choosing import Assignments, HostSelector
from millethead.scheduling.placement import Host, covers
from millethead.scheduling.state import Pool, QueueState, ShapeBucket, Step

MAX_FAILED_STEPS = 8  # steps of one lane that do not fit before the lane is passed over
MAX_SCANNED_STEPS = 64  # steps of one lane looked at, with those that wait by choice


class QueueScanner:
    """Finds the next unit of a queue, and places for it."""

    def __init__(self, chooser: HostSelector) -> None:
        self._chooser = chooser

    def first_fitting(self, queue: QueueState, now: float) -> tuple[Step, Assignments] | None:
        """The most urgent unit of a queue that fits, with its place. Those for which room is kept go first."""
        for reservation in queue.pool.reservations.values():
            if reservation.step.queue is queue:
                assignments = self._try_step(reservation.step, queue.pool, now)
                if assignments:
                    return reservation.step, assignments
        buckets = self._buckets_to_scan(queue, now)
        if len(buckets) > 1:
            buckets.sort(key=lambda bucket: bucket.head_rank(now))
        for bucket in buckets:
            found = self._first_in_bucket(bucket, queue.pool, now)
            if found is not None:
                return found
        return None

    def _buckets_to_scan(self, queue: QueueState, now: float) -> list[ShapeBucket]:
        """The lanes of which something may fit that did not at the last look."""
        pool, capacity_generation = queue.pool, queue.pool.capacity_generation
        free_by_generation: dict[int, Resources | None] = {}
        buckets: list[ShapeBucket] = []
        for bucket in queue.buckets.values():
            if bucket.tried_generation not in free_by_generation:
                free_by_generation[bucket.tried_generation] = pool.max_free_since(bucket.tried_generation)
            free = free_by_generation[bucket.tried_generation]
            if (
                now >= bucket.retry_at
                or free is None
                or (bucket.tried_generation < capacity_generation and covers(free, bucket.min_needs))
            ):
                buckets.append(bucket)
            else:
                bucket.tried_generation = capacity_generation
        return buckets

    def _try_step(self, step: Step, pool: Pool, now: float) -> Assignments:
        """Look for a place for one unit of a step, on the hosts that have grown since the last look."""
        candidates = None if now >= step.retry_at else pool.hosts_grown_since(step.tried_generation)
        if candidates is not None and not (candidates and _any_host_fits(step, candidates)):
            step.tried_generation = pool.capacity_generation
            return []
        assignments = self._chooser.select(step, pool, candidates, now)
        if not assignments:
            step.tried_generation = pool.capacity_generation
        return assignments

    def _first_in_bucket(self, bucket: ShapeBucket, pool: Pool, now: float) -> tuple[Step, Assignments] | None:
        """The first step of a lane that fits. Those that wait by choice do not use up the looks, nor do those that
        need no less than one that has just found no place."""
        bucket.retry_at = inf
        failed_steps = 0
        rejected: Step | None = None
        for step in islice(bucket, MAX_SCANNED_STEPS):
            if failed_steps == MAX_FAILED_STEPS:
                break
            is_simple = step.is_simple and not next(iter(step.tasks.values())).avoid
            if is_simple and rejected is not None and _needs_at_least(step, rejected):
                step.tried_generation, step.retry_at = pool.capacity_generation, inf
                continue
            assignments = self._try_step(step, pool, now)
            if assignments:
                bucket.retry_at = now
                return step, assignments
            if is_simple and step.retry_at == inf:
                rejected = step
            failed_steps += step.retry_at == inf
            bucket.retry_at = min(bucket.retry_at, step.retry_at)
        bucket.tried_generation = pool.capacity_generation
        return None


def _needs_at_least(step: Step, rejected: Step) -> bool:
    """Whether a step fits nowhere where another one of its lane does not."""
    return step.spec.estimate_s >= rejected.spec.estimate_s and covers(step.spec.needs, rejected.spec.needs)


def _any_host_fits(step: Step, hosts: list[Host]) -> bool:
    """Whether one of the hosts has room for a task of the step."""
    needs = step.spec.needs
    return any(covers(host.free, needs) for host in hosts)
