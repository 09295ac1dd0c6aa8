"""How late the head may learn that a run has ended at a worker.

Each look at a worker has a price, and brings all ends since the one before. Where room is scarce or something waits,
ends should be known soon; otherwise a job may lose a small part of the time that it can spare.
"""

from __future__ import annotations

from millethead.scheduling.state import Pool

MAX_POLL_INTERVAL_S = 1.2  # least time between the answer of a look and the next one, where nothing asks for less
LONG_RUNNING_POLL_INTERVAL_S = 0.5  # the same beside tasks that last
SCARCE_POLL_INTERVAL_S = 0.2  # where room is scarce
BACKLOG_POLL_INTERVAL_S = 0.15  # where something waits and hardly any room is left: what ends unseen is room lost
MIN_POLL_INTERVAL_S = 0.06
POLL_SLACK_FRACTION = 0.25  # part of what a job can spare that looks may cost it
SCARCE_UTILIZATION, SCARCE_UTILIZATION_WITH_BACKLOG = (
    0.85,
    0.4,
)  # part of a service in use from which room is scarce, also if something waits
BACKLOG_UTILIZATION = 0.85  # part of a service in use from which what waits has to wait for ends


def run_poll_interval_s(slack_s: float, step_count: int) -> float:
    """The least time between two looks at a worker (s) for the sake of a run, whose job has so many steps one after the
    other and can spare `spare_s` in all."""
    return max(MIN_POLL_INTERVAL_S, min(MAX_POLL_INTERVAL_S, POLL_SLACK_FRACTION * slack_s / max(1, step_count)))


def service_poll_interval_s(pool: Pool) -> float:
    """The same for the sake of what waits for room."""
    utilization, has_backlog = pool.hosts.used_share, any(queue.buckets for queue in pool.queues.values())
    if has_backlog and utilization > BACKLOG_UTILIZATION:
        return BACKLOG_POLL_INTERVAL_S
    if utilization > (SCARCE_UTILIZATION_WITH_BACKLOG if has_backlog else SCARCE_UTILIZATION):
        return SCARCE_POLL_INTERVAL_S
    return MAX_POLL_INTERVAL_S
