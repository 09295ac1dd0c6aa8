"""Passes the progress and the ends of runs to the health tracker, where they allow a conclusion about the worker."""

from __future__ import annotations

from millethead.execution.messages import RunEnd
from millethead.scheduling.health import Health
from millethead.scheduling.placement import Host
from millethead.scheduling.state import Run

GANG_START_GRACE_S = 3.0  # the first members of a gang wait for the others without progress
LONG_RUNNING_STABLE_S = 3.0  # a later failure of a long-running task does not count against its worker
MIN_EXPECTED_S = 1e-3  # avoids a division by zero


class RuntimeObserver:
    """Reports observed runs to the health tracker.

    `remote_factor` is the ratio of a task's runtime away from its data to its runtime near the data.
    """

    def __init__(self, health: Health, remote_factor: float) -> None:
        self._health, self._remote_factor = health, remote_factor

    def run_progressed(self, run: Run, host: Host | None, percent: int, now: float) -> None:
        """Records the percentage that a worker has reported for a run."""
        if run.step.spec.long_running:
            return
        grace_s = GANG_START_GRACE_S if run.step.spec.gang and not percent else 0.0
        self._health.run_progressed(run.key, run.step.queue.name, self._expected_s(run, host), grace_s, percent, now)

    def run_ended(self, run: Run, host: Host | None, outcome: RunEnd, now: float) -> None:
        """Records the end of a run.

        Failures of long-running tasks after `LONG_RUNNING_STABLE_S` are ignored because such tasks may fail at any
        time. Runtimes of gangs are ignored because their members wait for each other. Only runtimes measured by the
        agent are used, because this head may have learnt late of the start or the end.
        """
        spec, runtime_s = run.step.spec, run.runtime_s
        if outcome is RunEnd.FAILED and spec.long_running and (runtime_s is None or runtime_s > LONG_RUNNING_STABLE_S):
            outcome = RunEnd.STOPPED
        if outcome is RunEnd.DONE and runtime_s is not None and not (run.checkpoint or spec.gang or spec.long_running):
            ratio = runtime_s / max(self._expected_s(run, host), MIN_EXPECTED_S)
            self._health.record_pace(run.key, run.step.queue.name, ratio, now)
        self._health.run_ended(run.key, outcome, now)

    def _expected_s(self, run: Run, host: Host | None) -> float:
        """Returns the expected runtime of a run on its host (s)."""
        spec = run.step.spec
        is_remote = spec.affinity and host is not None and host.rack != spec.affinity
        return spec.estimate_s * (self._remote_factor if is_remote else 1.0)
