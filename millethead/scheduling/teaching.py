"""What the progress and the ends of runs say of the workers that they are at."""

from __future__ import annotations

from millethead.execution.messages import RunEnd
from millethead.scheduling.health import Health
from millethead.scheduling.placement import Host
from millethead.scheduling.state import Run

GANG_START_GRACE_S = 3.0  # the first members of a gang wait for the others
LONG_RUNNING_STABLE_S = 3.0  # a task that lasts and fails later than this says nothing of its worker
MIN_EXPECTED_S = 1e-3


class RuntimeObserver:
    """`far_times`: how many times as long a task takes away from the rack of its data."""

    def __init__(self, health: Health, remote_factor: float) -> None:
        self._health, self._remote_factor = health, remote_factor

    def run_progressed(self, run: Run, host: Host | None, percent: int, now: float) -> None:
        """A worker has listed a run with its percentage."""
        if run.step.spec.long_running:
            return
        grace_s = GANG_START_GRACE_S if run.step.spec.gang and not percent else 0.0
        self._health.run_progressed(run.key, run.step.queue.name, self._expected_s(run, host), grace_s, percent, now)

    def run_ended(self, run: Run, host: Host | None, outcome: RunEnd, now: float) -> None:
        """A run is over. Tasks that last fail at any time, and gangs wait for each other. Only a time that the agent
        has measured says something: this head may have learnt late of the start or of the end."""
        spec, runtime_s = run.step.spec, run.runtime_s
        if outcome is RunEnd.FAILED and spec.long_running and (runtime_s is None or runtime_s > LONG_RUNNING_STABLE_S):
            outcome = RunEnd.STOPPED
        if outcome is RunEnd.DONE and runtime_s is not None and not (run.checkpoint or spec.gang or spec.long_running):
            ratio = runtime_s / max(self._expected_s(run, host), MIN_EXPECTED_S)
            self._health.record_pace(run.key, run.step.queue.name, ratio, now)
        self._health.run_ended(run.key, outcome, now)

    def _expected_s(self, run: Run, host: Host | None) -> float:
        """What a run should take where it is."""
        spec = run.step.spec
        is_remote = spec.affinity and host is not None and host.rack != spec.affinity
        return spec.estimate_s * (self._remote_factor if is_remote else 1.0)
