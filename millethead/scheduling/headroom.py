"""Room that queues of worse priorities leave to better ones.

Tasks of a worse priority that fill a service hold its room until they end, and short tasks of a better one that come
meanwhile wait for that. So a queue of much longer tasks takes only what is free beyond what the work of better
priorities is expected to take, by what has arrived lately, and does not take yet. A due floor of the queue goes before
that, and so does a step that starves (`starvation`).
"""

from __future__ import annotations

from math import exp

from millethead.scheduling.placement import cores
from millethead.scheduling.state import RATE_WINDOW_S, Flow, Pool, Step
from millethead.scheduling.tags import Phase

HEADROOM = 2.0  # times the mean of what better priorities take that is left to them: their work comes unevenly
LEAST_KNOWN_S = 2.0  # what came in a shorter time says little of a mean
LONG_TIMES = 6.0  # times as long as the others' tasks a queue's take, for it to leave room: shorter ones end soon


def note_arrival(step: Step, tasks: int, now: float) -> None:
    """Work of a queue has come. Tasks that last have no length, and take no part in this."""
    if not step.spec.long_running:
        step.flow.demand_since = min(step.flow.demand_since, now)
        step.flow.demand.add(tasks * cores(step.spec.needs) * step.spec.estimate_s, now)


def note_runs(step: Step, runs: int) -> None:
    """Runs of a step are booked, or released where the number is negative."""
    if not step.spec.long_running:
        step.flow.in_use += runs * cores(step.spec.needs)


def expected_cores(flow: Flow, now: float) -> float:
    """What the work of a queue takes on average, by what has come within the window; of a queue that is new here, by
    the shorter time for which it has been known."""
    known_s = max(LEAST_KNOWN_S, now - flow.demand_since)
    return flow.demand.rate(now) / (1.0 - exp(-known_s / RATE_WINDOW_S))


class Headroom:
    """What is left to better priorities in one round of the scheduler at a service."""

    def __init__(self, pool: Pool, now: float) -> None:
        self._pool, self._now = pool, now
        self._better: dict[Flow, tuple[Flow, ...]] = {}  # of each queue, those to which it leaves room
        self._wanted: dict[Flow, float] = {}  # cores that a queue should find free or have

    def leaves_room(self, flow: Flow) -> bool:
        """Whether a queue has to leave the room that is free now to better ones."""
        kept = sum(max(0.0, self._cores_wanted(other) - other.in_use) for other in self._better_than(flow))
        if kept <= 0.0 or self._pool.tags.rank(flow.name, self._now)[0] is Phase.LOCAL:
            return False
        hosts = self._pool.hosts
        return cores(hosts.capacity) - cores(hosts.booked) <= kept

    def _better_than(self, flow: Flow) -> tuple[Flow, ...]:
        found = self._better.get(flow)
        if found is None:
            found = self._better[flow] = tuple(
                other
                for other in self._pool.flows.values()
                if other.spec.priority < flow.spec.priority and flow.estimate_s > LONG_TIMES * other.estimate_s
            )
        return found

    def _cores_wanted(self, flow: Flow) -> float:
        wanted = self._wanted.get(flow)
        if wanted is None:
            wanted = self._wanted[flow] = HEADROOM * expected_cores(flow, self._now)
        return wanted
