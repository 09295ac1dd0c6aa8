"""How late the head may learn that a run has ended at a worker.

Each look at a worker has a price, and brings all ends since the one before. Where room is scarce or something waits,
ends should be known soon; otherwise a job may lose a small part of the time that it can spare.
"""

from __future__ import annotations

from millethead.scheduling.state import Pool

LONGEST_GAP_S = 1.2  # least time between the answer of a look and the next one, where nothing asks for less
LASTING_GAP_S = 0.5  # the same beside tasks that last
SCARCE_GAP_S = 0.2  # where room is scarce
BACKLOG_GAP_S = 0.15  # where something waits and hardly any room is left: what ends unseen is room lost
SHORTEST_GAP_S = 0.06
SLACK_SHARE = 0.25  # part of what a job can spare that looks may cost it
SCARCE_USE, WAITED_FOR_USE = 0.85, 0.4  # part of a service in use from which room is scarce, also if something waits
BACKLOG_USE = 0.85  # part of a service in use from which what waits has to wait for ends


def run_gap(spare_s: float, steps: int) -> float:
    """The least time between two looks at a worker (s) for the sake of a run, whose job has so many steps one after the
    other and can spare `spare_s` in all."""
    return max(SHORTEST_GAP_S, min(LONGEST_GAP_S, SLACK_SHARE * spare_s / max(1, steps)))


def service_gap(pool: Pool) -> float:
    """The same for the sake of what waits for room."""
    used, waits = pool.hosts.used_share, any(flow.lanes for flow in pool.flows.values())
    if waits and used > BACKLOG_USE:
        return BACKLOG_GAP_S
    if used > (WAITED_FOR_USE if waits else SCARCE_USE):
        return SCARCE_GAP_S
    return LONGEST_GAP_S
