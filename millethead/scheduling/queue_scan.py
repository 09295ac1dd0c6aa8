"""Finds the first unit of a queue that can be placed: the queue's buckets by urgency, and the first steps of each.

A step that did not fit is tried again only on hosts whose free resources have grown since, or when its bounded wait is
over.
"""

from __future__ import annotations

from itertools import islice
from math import inf

from millethead.execution.messages import Resources
from millethead.scheduling.host_selection import Assignments, HostSelector
from millethead.scheduling.placement import Host, covers
from millethead.scheduling.state import Pool, QueueState, ShapeBucket, Step

MAX_FAILED_STEPS = 8  # steps of one bucket that may fail to fit before the bucket is skipped
MAX_SCANNED_STEPS = 64  # steps of one bucket examined in one scan, including those in a bounded wait


class QueueScanner:
    """Finds the next unit of a queue that fits, and the hosts for it."""

    def __init__(self, host_selector: HostSelector) -> None:
        self._host_selector = host_selector

    def first_fitting(self, queue: QueueState, now: float) -> tuple[Step, Assignments] | None:
        """Returns the most urgent unit of a queue that fits, with its hosts. Steps with a reservation come first."""
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
        """Returns the buckets in which a step may fit that did not fit in the last scan."""
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
        """Tries to place one unit of a step on the hosts that have grown since the last attempt."""
        candidates = None if now >= step.retry_at else pool.hosts_grown_since(step.tried_generation)
        if candidates is not None and not (candidates and _any_host_fits(step, candidates)):
            step.tried_generation = pool.capacity_generation
            return []
        assignments = self._host_selector.select(step, pool, candidates, now)
        if not assignments:
            step.tried_generation = pool.capacity_generation
        return assignments

    def _first_in_bucket(self, bucket: ShapeBucket, pool: Pool, now: float) -> tuple[Step, Assignments] | None:
        """Returns the first step of a bucket that fits.

        Steps in a bounded wait do not count towards `MAX_FAILED_STEPS`. Steps that need at least as much as a step that
        was just rejected are skipped.
        """
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
    """Returns whether a step cannot fit anywhere because a less demanding step of the same bucket was rejected."""
    return step.spec.estimate_s >= rejected.spec.estimate_s and covers(step.spec.needs, rejected.spec.needs)


def _any_host_fits(step: Step, hosts: list[Host]) -> bool:
    """Returns whether one of the hosts has enough free resources for a task of the step."""
    needs = step.spec.needs
    return any(covers(host.free, needs) for host in hosts)
