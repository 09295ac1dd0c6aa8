"""Breakdown of the latency of late jobs, as observed by the head of one epoch.

For each task, the following is measured: the time it waited, the duration of runs that did not end with `done`, the
duration of the successful run on its worker, and the overhead around that run (the commit of its assignment, the way to
the worker, and the time until its end was known and committed). The task that ended last determines the breakdown of
its step. The step that ended last, together with the chain of dependencies for which it waited, determines that of the
job. Time before this head started to lead is unknown (`unobserved_s`).

All times are seconds of the monotonic clock. Memory use is bounded by the number of steps that wait or run.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from millethead.execution.messages import RunEnd
from millethead.jobs.state import Job
from millethead.scheduling.model import StepKey


@dataclass(frozen=True, slots=True)
class LatencyBreakdown:
    """Parts of the latency of a job, in seconds.

    `waited_s` is the time without a run, `unsuccessful_s` the time in runs that did not succeed, `successful_s` the
    time of the successful runs on their workers, and `overhead_s` the overhead around those. `estimated_s` is the
    estimated duration of the successful runs, `remote_s` the part of `successful_s` spent in another rack than that of
    the data.
    """

    waited_s: float = 0.0
    unsuccessful_s: float = 0.0
    successful_s: float = 0.0
    overhead_s: float = 0.0
    estimated_s: float = 0.0
    remote_s: float = 0.0

    def __add__(self, other: LatencyBreakdown) -> LatencyBreakdown:
        return LatencyBreakdown(
            self.waited_s + other.waited_s,
            self.unsuccessful_s + other.unsuccessful_s,
            self.successful_s + other.successful_s,
            self.overhead_s + other.overhead_s,
            self.estimated_s + other.estimated_s,
            self.remote_s + other.remote_s,
        )

    @property
    def observed_s(self) -> float:
        """The part of the latency that this head has observed."""
        return self.waited_s + self.unsuccessful_s + self.successful_s + self.overhead_s


@dataclass(frozen=True, slots=True)
class LateJob:
    """A job, or one time of a repeated job, that took longer than its objective.

    `unobserved_s` is the part of `total_s` that passed under earlier heads or before the job was known.
    """

    job: str
    time: int
    queue: str
    total_s: float
    objective_s: float
    spent: LatencyBreakdown

    @property
    def unobserved_s(self) -> float:
        """The part of the latency that this head has not observed."""
        return max(0.0, self.total_s - self.spent.observed_s)

    def log_fields(self) -> dict[str, int]:
        """Return the breakdown in whole milliseconds by log keyword."""
        spent = self.spent
        seconds = {
            "total_ms": self.total_s,
            "objective_ms": self.objective_s,
            "unseen_ms": self.unobserved_s,
            "waited_ms": spent.waited_s,
            "repeated_ms": spent.unsuccessful_s,
            "ran_ms": spent.successful_s,
            "turnover_ms": spent.overhead_s,
            "estimated_ms": spent.estimated_s,
            "far_ms": spent.remote_s,
        }
        return {name: round(1000 * value) for name, value in seconds.items()}


@dataclass(slots=True)
class _TaskTimes:
    """Times of a task since its step became ready.

    `since` is the start of the present wait or run. `last_run_s` is the duration of the last run as measured by its
    agent, None if unknown. `remote` means that the run is not in the rack of its data.
    """

    since: float
    waited_s: float = 0.0
    unsuccessful_s: float = 0.0
    remote: bool = False
    last_run_s: float | None = None


@dataclass(slots=True)
class _StepTimes:
    """Times of the tasks of a step."""

    ready_at: float
    tasks: dict[int, _TaskTimes] = field(default_factory=dict)
    last_breakdown: LatencyBreakdown = LatencyBreakdown()  # of the task that ended last

    def task(self, index: int) -> _TaskTimes:
        """Return the times of a task, which starts to wait when the step becomes ready."""
        return self.tasks.setdefault(index, _TaskTimes(self.ready_at))


class LatencyTracker:
    """Times of all steps that became ready under this head."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, _StepTimes] = {}
        # (job, time) -> step -> (end, breakdown)
        self._done: dict[tuple[str, int], dict[int, tuple[float, LatencyBreakdown]]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no state left, neither of steps nor of jobs."""
        return not self._steps and not self._done

    def step_ready(self, key: StepKey, now: float) -> None:
        """Start to measure a step whose tasks wait or run."""
        self._steps.setdefault(key, _StepTimes(now))

    def run_assigned(self, key: StepKey, index: int, remote: bool, now: float) -> None:
        """Record the start of a run. `remote` means that it is not in the rack of its data."""
        step = self._steps.get(key)
        if step is None:
            return
        task = step.task(index)
        task.waited_s += now - task.since
        task.since, task.remote, task.last_run_s = now, remote, None

    def run_measured(self, key: StepKey, index: int, seconds: float) -> None:
        """Record the duration of a run as its agent measured it. The end of the run is recorded afterwards."""
        step = self._steps.get(key)
        if step is not None:
            step.task(index).last_run_s = seconds

    def run_ended(self, key: StepKey, index: int, how: RunEnd, estimate_s: float, now: float) -> None:
        """Record the end of a run."""
        step = self._steps.get(key)
        if step is None:
            return
        task = step.task(index)
        elapsed_s, task.since = now - task.since, now
        if how is not RunEnd.DONE:
            task.unsuccessful_s += elapsed_s
            return
        successful_s = elapsed_s if task.last_run_s is None else min(elapsed_s, task.last_run_s)
        remote_s = successful_s if task.remote else 0.0
        step.last_breakdown = LatencyBreakdown(
            task.waited_s, task.unsuccessful_s, successful_s, elapsed_s - successful_s, estimate_s, remote_s
        )

    def step_done(self, job: Job, key: StepKey, now: float) -> None:
        """Record the end of a step: its breakdown is added to that of the dependency that finished last."""
        step = self._steps.pop(key, None)
        if step is None:
            return
        done = self._done.setdefault((key.job, key.time), {})
        dependencies = [done[number] for number in job.description.steps[key.step].dependencies if number in done]
        spent = (
            step.last_breakdown + max(dependencies, key=lambda entry: entry[0])[1]
            if dependencies
            else step.last_breakdown
        )
        done[key.step] = now, spent

    def time_done(self, job: Job, time: int, total_s: float) -> LateJob | None:
        """Record that all steps of a job are done at one time, `total_s` seconds after it was submitted or due.

        Return its breakdown, or None if the job met its objective, which is derived from its estimates.
        """
        done = self._done.pop((job.name, time), {})
        objective_s = job.objective_ms / 1000
        if total_s <= objective_s:
            return None
        spent = max(done.values(), key=lambda entry: entry[0])[1] if done else LatencyBreakdown()
        return LateJob(job.name, time, job.terms.route, total_s, objective_s, spent)

    def forget(self, job: str, time: int, steps: int) -> None:
        """Drop the measurements of a job that ended at one time with this number of steps."""
        self._done.pop((job, time), None)
        for number in range(steps):
            self._steps.pop(StepKey(job, time, number), None)
