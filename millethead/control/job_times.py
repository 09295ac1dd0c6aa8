"""Where the time of late jobs went, as the head of one epoch saw it.

Of each task it is kept how long it waited, how long runs of it took that did not end `done`, how long the run that did
took at its worker, and what was lost around that run: the commit of its assignment, the way to the worker, and the time
until its end was known and committed. The task of a step that ended last tells where the step's time went, and the step
that ended last, with the dependencies that it waited for, where the job's went. What passed before this head served is
not known to it (`unseen_s`).

Times are seconds of the steady clock. Memory is bounded by the steps that wait or run.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from millethead.execution.messages import RunEnd
from millethead.jobs.state import Job
from millethead.scheduling.model import StepKey


@dataclass(frozen=True, slots=True)
class TimeSpent:
    """Parts of the time of a job, in seconds. `estimated_s` is what its runs should have taken, `far_s` the part of
    `ran_s` that passed in racks other than that of the data."""

    waited_s: float = 0.0
    repeated_s: float = 0.0
    ran_s: float = 0.0
    turnover_s: float = 0.0
    estimated_s: float = 0.0
    far_s: float = 0.0

    def __add__(self, other: TimeSpent) -> TimeSpent:
        return TimeSpent(
            self.waited_s + other.waited_s,
            self.repeated_s + other.repeated_s,
            self.ran_s + other.ran_s,
            self.turnover_s + other.turnover_s,
            self.estimated_s + other.estimated_s,
            self.far_s + other.far_s,
        )

    @property
    def seen_s(self) -> float:
        """All that the head has seen of the job's time."""
        return self.waited_s + self.repeated_s + self.ran_s + self.turnover_s


@dataclass(frozen=True, slots=True)
class LateJob:
    """A job, or one time of a repeated job, that took longer than its objective. `unseen_s`: the part of `total_s`
    that passed under earlier heads or before the job was known."""

    job: str
    time: int
    queue: str
    total_s: float
    objective_s: float
    spent: TimeSpent

    @property
    def unseen_s(self) -> float:
        return max(0.0, self.total_s - self.spent.seen_s)

    def in_ms(self) -> dict[str, int]:
        """The parts of its time in whole milliseconds, by their names in the log."""
        spent = self.spent
        seconds = {
            "total_ms": self.total_s,
            "objective_ms": self.objective_s,
            "unseen_ms": self.unseen_s,
            "waited_ms": spent.waited_s,
            "repeated_ms": spent.repeated_s,
            "ran_ms": spent.ran_s,
            "turnover_ms": spent.turnover_s,
            "estimated_ms": spent.estimated_s,
            "far_ms": spent.far_s,
        }
        return {name: round(1000 * value) for name, value in seconds.items()}


@dataclass(slots=True)
class _TaskTimes:
    """A task since it was ready: waiting or running since `since`. `ran_s`: as its agent told of the last run."""

    since: float
    waited_s: float = 0.0
    repeated_s: float = 0.0
    far: bool = False
    ran_s: float | None = None


@dataclass(slots=True)
class _StepTimes:
    ready_at: float
    tasks: dict[int, _TaskTimes] = field(default_factory=dict)
    last: TimeSpent = TimeSpent()  # of the task that ended last

    def task(self, index: int) -> _TaskTimes:
        """The times of a task, which waits from when the step was ready."""
        return self.tasks.setdefault(index, _TaskTimes(self.ready_at))


class JobTimes:
    """The times of all steps that this head has seen ready."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, _StepTimes] = {}
        self._done: dict[tuple[str, int], dict[int, tuple[float, TimeSpent]]] = {}  # by job and time K, of each step

    @property
    def is_empty(self) -> bool:
        """Whether nothing is kept."""
        return not self._steps and not self._done

    def step_ready(self, key: StepKey, now: float) -> None:
        """A step's tasks wait, or run already."""
        self._steps.setdefault(key, _StepTimes(now))

    def run_assigned(self, key: StepKey, index: int, far: bool, now: float) -> None:
        """A task has a run. `far`: not on the rack of its data."""
        step = self._steps.get(key)
        if step is None:
            return
        task = step.task(index)
        task.waited_s += now - task.since
        task.since, task.far, task.ran_s = now, far, None

    def run_lasted(self, key: StepKey, index: int, seconds: float) -> None:
        """How long a run took, as its agent saw it; its end follows."""
        step = self._steps.get(key)
        if step is not None:
            step.task(index).ran_s = seconds

    def run_ended(self, key: StepKey, index: int, how: RunEnd, estimate_s: float, now: float) -> None:
        """A run is over."""
        step = self._steps.get(key)
        if step is None:
            return
        task = step.task(index)
        span, task.since = now - task.since, now
        if how is not RunEnd.DONE:
            task.repeated_s += span
            return
        ran_s = span if task.ran_s is None else min(span, task.ran_s)
        far_s = ran_s if task.far else 0.0
        step.last = TimeSpent(task.waited_s, task.repeated_s, ran_s, span - ran_s, estimate_s, far_s)

    def step_done(self, job: Job, key: StepKey, now: float) -> None:
        """All tasks of a step are done: its time follows on that of the dependency that was done last."""
        step = self._steps.pop(key, None)
        if step is None:
            return
        done = self._done.setdefault((key.job, key.time), {})
        before = [done[number] for number in job.description.steps[key.step].dependencies if number in done]
        spent = step.last + max(before, key=lambda entry: entry[0])[1] if before else step.last
        done[key.step] = now, spent

    def time_over(self, job: Job, time: int, total_s: float) -> LateJob | None:
        """All steps of a job are done at one time K, `total_s` after it was handed in or due; None if it was in time,
        by its estimates."""
        done = self._done.pop((job.name, time), {})
        objective_s = job.objective_ms / 1000
        if total_s <= objective_s:
            return None
        spent = max(done.values(), key=lambda entry: entry[0])[1] if done else TimeSpent()
        return LateJob(job.name, time, job.terms.route, total_s, objective_s, spent)

    def forget(self, job: str, time: int, steps: int) -> None:
        """A job is over at a time K at which it has so many steps."""
        self._done.pop((job, time), None)
        for number in range(steps):
            self._steps.pop(StepKey(job, time, number), None)
