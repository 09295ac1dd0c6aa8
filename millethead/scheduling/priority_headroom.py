"""Headroom that queues of lower priority leave to queues of higher priority.

Long tasks of a lower priority that fill a service hold its resources until they end, and short tasks of a higher
priority that arrive meanwhile have to wait. So a queue whose tasks are much longer may use only what exceeds the
expected demand of the higher priorities. That demand is estimated from recent arrivals, less what these queues already
use. A due floor of the queue (`tags`) and starvation (`starvation`) take precedence over the headroom.
"""

from __future__ import annotations

from math import exp

from millethead.scheduling.placement import core_equivalents
from millethead.scheduling.state import RATE_WINDOW_S, Pool, QueueState, Step
from millethead.scheduling.tags import Phase

HEADROOM_FACTOR = 2.0  # multiple of the mean demand that is kept free, because arrivals are uneven
MIN_OBSERVATION_S = 2.0  # shorter observations do not give a usable mean
LONG_TASK_FACTOR = 6.0  # ratio of mean runtimes above which a queue leaves headroom; shorter tasks end soon enough


def record_arrival(step: Step, tasks: int, now: float) -> None:
    """Adds arriving tasks to the demand of their queue. Long-running tasks have no runtime estimate and are not
    counted.
    """
    if not step.spec.long_running:
        step.queue.first_arrival_at = min(step.queue.first_arrival_at, now)
        step.queue.core_arrivals.add(tasks * core_equivalents(step.spec.needs) * step.spec.estimate_s, now)


def record_runs(step: Step, runs: int) -> None:
    """Adds the cores of new runs of a step to those in use; a negative number of runs releases cores."""
    if not step.spec.long_running:
        step.queue.cores_in_use += runs * core_equivalents(step.spec.needs)


def expected_cores(queue: QueueState, now: float) -> float:
    """Returns the mean number of cores that the arriving work of a queue occupies.

    The mean covers `RATE_WINDOW_S`, or the shorter time since the queue's first arrival.
    """
    observed_s = max(MIN_OBSERVATION_S, now - queue.first_arrival_at)
    return queue.core_arrivals.rate(now) / (1.0 - exp(-observed_s / RATE_WINDOW_S))


class PriorityHeadroom:
    """The headroom left to higher priorities in one scheduling round of a service."""

    def __init__(self, pool: Pool, now: float) -> None:
        self._pool, self._now = pool, now
        # For each queue, those to which it leaves headroom.
        self._higher_priority: dict[QueueState, tuple[QueueState, ...]] = {}
        self._targets: dict[QueueState, float] = {}  # cores that a queue should have in use or find free

    def must_leave_headroom(self, queue: QueueState) -> bool:
        """Returns whether a queue must leave the currently free cores to queues of higher priority."""
        reserved = sum(
            max(0.0, self._target_cores(other) - other.cores_in_use) for other in self._higher_priority_queues(queue)
        )
        if reserved <= 0.0 or self._pool.tags.rank(queue.name, self._now)[0] is Phase.LOCAL:
            return False
        hosts = self._pool.hosts
        return core_equivalents(hosts.capacity) - core_equivalents(hosts.allocated) <= reserved

    def _higher_priority_queues(self, queue: QueueState) -> tuple[QueueState, ...]:
        higher_priority = self._higher_priority.get(queue)
        if higher_priority is None:
            higher_priority = self._higher_priority[queue] = tuple(
                other
                for other in self._pool.queues.values()
                if other.spec.priority < queue.spec.priority and queue.estimate_s > LONG_TASK_FACTOR * other.estimate_s
            )
        return higher_priority

    def _target_cores(self, queue: QueueState) -> float:
        target = self._targets.get(queue)
        if target is None:
            target = self._targets[queue] = HEADROOM_FACTOR * expected_cores(queue, self._now)
        return target
