"""What the progress and the ends of runs say of the workers that they are at."""

from __future__ import annotations

from millethead.execution.messages import RunEnd
from millethead.scheduling.health import Health
from millethead.scheduling.placement import Host
from millethead.scheduling.state import Run

GANG_WAIT_S = 3.0  # the first members of a gang wait for the others
LASTING_STEADY_S = 3.0  # a task that lasts and fails later than this says nothing of its worker
LEAST_EXPECTED_S = 1e-3


class Teacher:
    """`far_times`: how many times as long a task takes away from the rack of its data."""

    def __init__(self, health: Health, far_times: float) -> None:
        self._health, self._far_times = health, far_times

    def progressed(self, run: Run, host: Host | None, percent: int, now: float) -> None:
        """A worker has listed a run with its percentage."""
        if run.step.spec.long_running:
            return
        patience = GANG_WAIT_S if run.step.spec.gang and not percent else 0.0
        self._health.progressed(run.name, run.step.flow.name, self._expected_s(run, host), patience, percent, now)

    def ended(self, run: Run, host: Host | None, outcome: RunEnd, now: float) -> None:
        """A run is over. Tasks that last fail at any time, and gangs wait for each other. Only a time that the agent
        has measured says something: this head may have learnt late of the start or of the end."""
        spec, ran_s = run.step.spec, run.ran_s
        if outcome is RunEnd.FAILED and spec.long_running and (ran_s is None or ran_s > LASTING_STEADY_S):
            outcome = RunEnd.STOPPED
        if outcome is RunEnd.DONE and ran_s is not None and not (run.checkpoint or spec.gang or spec.long_running):
            ratio = ran_s / max(self._expected_s(run, host), LEAST_EXPECTED_S)
            self._health.took(run.name, run.step.flow.name, ratio, now)
        self._health.ended(run.name, outcome, now)

    def _expected_s(self, run: Run, host: Host | None) -> float:
        """What a run should take where it is."""
        spec = run.step.spec
        far = spec.affinity and host is not None and host.rack != spec.affinity
        return spec.estimate_s * (self._far_times if far else 1.0)
