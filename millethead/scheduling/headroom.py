"""Room that queues of worse priorities leave to better ones.

Tasks of a worse priority that fill a service hold its room until they end, and short tasks of a better one that come
meanwhile wait for that. So a queue of much longer tasks takes only what is free beyond what the work of better
priorities is expected to take, by what has arrived lately, and does not take yet. A due floor of the queue goes before
that, and so does a step that starves (`starvation`).
"""

from __future__ import annotations

from math import exp

from millethead.scheduling.placement import core_equivalents
from millethead.scheduling.state import RATE_WINDOW_S, Pool, QueueState, Step
from millethead.scheduling.tags import Phase

HEADROOM_FACTOR = 2.0  # times the mean of what better priorities take that is left to them: their work comes unevenly
MIN_OBSERVATION_S = 2.0  # what came in a shorter time says little of a mean
LONG_TASK_FACTOR = 6.0  # times as long as the others' tasks a queue's take, for it to leave room: shorter ones end soon


def record_arrival(step: Step, tasks: int, now: float) -> None:
    """Work of a queue has come. Tasks that last have no length, and take no part in this."""
    if not step.spec.long_running:
        step.queue.first_arrival_at = min(step.queue.first_arrival_at, now)
        step.queue.core_arrivals.add(tasks * core_equivalents(step.spec.needs) * step.spec.estimate_s, now)


def record_runs(step: Step, runs: int) -> None:
    """Runs of a step are booked, or released where the number is negative."""
    if not step.spec.long_running:
        step.queue.cores_in_use += runs * core_equivalents(step.spec.needs)


def expected_cores(queue: QueueState, now: float) -> float:
    """What the work of a queue takes on average, by what has come within the window; of a queue that is new here, by
    the shorter time for which it has been known."""
    observed_s = max(MIN_OBSERVATION_S, now - queue.first_arrival_at)
    return queue.core_arrivals.rate(now) / (1.0 - exp(-observed_s / RATE_WINDOW_S))


class PriorityHeadroom:
    """What is left to better priorities in one round of the scheduler at a service."""

    def __init__(self, pool: Pool, now: float) -> None:
        self._pool, self._now = pool, now
        self._higher_priority: dict[
            QueueState, tuple[QueueState, ...]
        ] = {}  # of each queue, those to which it leaves room
        self._targets: dict[QueueState, float] = {}  # cores that a queue should find free or have

    def must_leave_headroom(self, queue: QueueState) -> bool:
        """Whether a queue has to leave the room that is free now to better ones."""
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
