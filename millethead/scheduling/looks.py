"""How late the head may learn that a run has ended at a worker.

Each look at a worker has a price, and brings all ends since the one before. Where room is scarce or something waits,
ends should be known soon; otherwise a job may lose a small part of the time that it has left.
"""

from __future__ import annotations

from millethead.scheduling.placement import Host
from millethead.scheduling.state import Pool, Run

LEAST_GAP_S, SCARCE_GAP_S, LONGEST_GAP_S = 0.5, 0.2, 1.2  # least time between the answer of a look and the next one
SLACK_SHARE = 0.2  # part of what a job has left that one look may cost
SCARCE_USE, WAITED_FOR_USE = 0.65, 0.4  # part of a service in use from which room is scarce, also if something waits


def look_gap(host: Host, pool: Pool, now: float) -> float:
    """The least time between two looks at a worker (s)."""
    waits = any(flow.lanes for flow in pool.flows.values())
    if pool.hosts.used_share > (WAITED_FOR_USE if waits else SCARCE_USE):
        return SCARCE_GAP_S
    slack = min((_slack(run, now) for run in host.runs), default=LONGEST_GAP_S / SLACK_SHARE)
    return max(LEAST_GAP_S, min(LONGEST_GAP_S, SLACK_SHARE * slack))


def _slack(run: Run, now: float) -> float:
    """What the run's job may lose until it is late, if the run ends as estimated."""
    spec = run.step.spec
    ends_at = max(now, run.started + spec.estimate_s)
    return spec.objective_at - ends_at - spec.tail_s
