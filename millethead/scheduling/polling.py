"""Polling intervals: how long a run may have ended at a worker before the head learns of it.

Each poll of a worker has a cost and returns all ends since the previous poll. If resources are scarce or tasks are
waiting, ends have to be known early. Otherwise polling may cost a job a small part of its slack.
"""

from __future__ import annotations

from millethead.scheduling.state import Pool

# least time between the answer to a poll and the next poll if nothing requires a shorter interval
MAX_POLL_INTERVAL_S = 1.2
LONG_RUNNING_POLL_INTERVAL_S = 0.5  # the same for workers with long-running tasks
SCARCE_POLL_INTERVAL_S = 0.2  # the same if resources are scarce
BACKLOG_POLL_INTERVAL_S = 0.15  # the same if tasks wait and almost nothing is free: an unseen end wastes capacity
MIN_POLL_INTERVAL_S = 0.06
POLL_SLACK_FRACTION = 0.25  # part of a job's slack that polling may cost
# Utilization of a service above which resources are scarce: without and with waiting tasks.
SCARCE_UTILIZATION, SCARCE_UTILIZATION_WITH_BACKLOG = 0.85, 0.4
BACKLOG_UTILIZATION = 0.85  # utilization above which waiting tasks have to wait for runs to end


def run_poll_interval_s(slack_s: float, step_count: int) -> float:
    """Returns the least time between two polls of a worker (s) that a run of a job requires.

    The job has `slack_s` seconds of slack, shared by the `step_count` steps that run one after the other.
    """
    return max(MIN_POLL_INTERVAL_S, min(MAX_POLL_INTERVAL_S, POLL_SLACK_FRACTION * slack_s / max(1, step_count)))


def service_poll_interval_s(pool: Pool) -> float:
    """Returns the least time between two polls (s) that the waiting tasks of the service require."""
    utilization, has_backlog = pool.hosts.used_share, any(queue.buckets for queue in pool.queues.values())
    if has_backlog and utilization > BACKLOG_UTILIZATION:
        return BACKLOG_POLL_INTERVAL_S
    if utilization > (SCARCE_UTILIZATION_WITH_BACKLOG if has_backlog else SCARCE_UTILIZATION):
        return SCARCE_POLL_INTERVAL_S
    return MAX_POLL_INTERVAL_S
