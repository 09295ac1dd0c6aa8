"""The state of all jobs, changed only by commands; deterministic, and the same on every member of the core.

A task has at most one open run. A run is opened by an assignment and closed by its end, whatever that is; only then
the task may be assigned again, and only then the room at its worker is free.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from millethead.execution.messages import RunEnd
from millethead.jobs.commands import (
    AssignRuns,
    CancelJob,
    EndedRun,
    EndRuns,
    PurgeJobs,
    QueueTerms,
    SaveProgress,
    SubmitJob,
    TaskRun,
)
from millethead.jobs.description import JobDescription, read_job
from millethead.rpc.codec import U8, U32, U64, Record, decode, encode


class JobPhase(IntEnum):
    QUEUED = 0
    RUNNING = 1
    DONE = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def over(self) -> bool:
        return self in (JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED)


@dataclass(slots=True)
class Task:
    """One task. `run` is the highest run assigned so far; `open` whether that run has not ended."""

    run: int = 0
    open: bool = False
    done: bool = False
    failures: int = 0
    saved: str = ""
    percent: int = 0
    node: str = ""
    instance: str = ""


@dataclass(slots=True)
class StepState:
    """The tasks of one step at one time of the job."""

    tasks: list[Task]
    left: int  # tasks not done
    failed_runs: int = 0  # of a gang: runs that ended failed
    last_failed_run: int = 0
    saved: str = ""  # of a gang: the newest checkpoint of any member
    percent: int = 0

    @property
    def done(self) -> bool:
        return self.left == 0


@dataclass(slots=True)
class TimeState:
    steps: list[StepState]

    @property
    def done(self) -> bool:
        return all(step.done for step in self.steps)


@dataclass(slots=True)
class Job:
    name: str
    terms: QueueTerms
    description: JobDescription
    body: bytes
    submitted_ms: int
    phase: JobPhase = JobPhase.QUEUED
    ended_ms: int = 0
    times: dict[int, TimeState] = field(default_factory=dict)
    times_done: set[int] = field(default_factory=set)
    open_runs: int = 0

    def time_count(self) -> int:
        return max(1, self.description.repeats)

    @property
    def spare_ms(self) -> float:
        """What each time of the job may lose until it is late, if nothing went wrong."""
        return self.objective_ms - self.description.longest_chain_ms()

    @property
    def objective_ms(self) -> float:
        """How long each time of the job may take."""
        return self.terms.skew_thousandths * self.description.longest_chain_ms() / 1000 + self.terms.target_ms

    def at_time(self, time: int) -> TimeState:
        """The tasks of a time of the job, which begin to exist when they are first asked for."""
        state = self.times.get(time)
        if state is None:
            state = self.times[time] = TimeState(
                [StepState([Task() for _ in range(step.count)], step.count) for step in self.description.steps]
            )
        return state

    def step_ready(self, time: int, step: int) -> bool:
        """Whether all that the step depends on is done."""
        state = self.at_time(time)
        return all(state.steps[other].done for other in self.description.steps[step].dependencies)


@dataclass(frozen=True, slots=True)
class ClosedRun:
    """A run that has ended, and the worker's life that it was at."""

    ended: EndedRun
    instance: str


@dataclass(frozen=True, slots=True)
class FinishedStep:
    """A step of which all tasks are done, at one time of its job."""

    job: str
    time: int
    step: int


@dataclass(slots=True)
class Outcome:
    """What applying a command has changed, for the scheduler."""

    accepted: bool = True
    closed: list[ClosedRun] = field(default_factory=list)
    finished_steps: list[FinishedStep] = field(default_factory=list)
    finished_jobs: list[str] = field(default_factory=list)


class JobTable:
    """All jobs. Each command has one method; `find` and `open_runs` read."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.open: dict[tuple[str, int, int, int], TaskRun] = {}

    # ---- reading -----------------------------------------------------------------------------------------

    def find(self, name: str) -> Job | None:
        return self.jobs.get(name)

    def task(self, run: TaskRun) -> Task | None:
        """The task of a run, if it exists."""
        job = self.jobs.get(run.job)
        if job is None or run.step >= len(job.description.steps) or run.time >= job.time_count():
            return None
        tasks = job.at_time(run.time).steps[run.step].tasks
        return tasks[run.index] if run.index < len(tasks) else None

    def open_runs(self) -> Iterator[tuple[TaskRun, Task]]:
        for run in self.open.values():
            task = self.task(run)
            if task is not None:
                yield run, task

    def pending(self, route: str) -> int:
        """Jobs of a queue that have not ended."""
        return sum(job.terms.route == route and not job.phase.over for job in self.jobs.values())

    # ---- commands ----------------------------------------------------------------------------------------

    def submit(self, command: SubmitJob) -> Outcome:
        if command.job in self.jobs:
            return Outcome(accepted=True)
        self.jobs[command.job] = Job(command.job, command.terms, read_job(command.body), command.body, command.at_ms)
        return Outcome()

    def cancel(self, command: CancelJob) -> Outcome:
        job = self.jobs.get(command.job)
        outcome = Outcome(accepted=job is not None)
        if job is not None and not job.phase.over:
            self._end_job(job, JobPhase.CANCELLED, command.at_ms, outcome)
        return outcome

    def assign(self, command: AssignRuns) -> Outcome:
        for assignment in command.assignments:
            run = assignment.run
            task = self.task(run)
            if task is None or task.open or run.run <= task.run:
                raise ValueError(f"run {run} cannot be assigned")
            task.run, task.open = run.run, True
            task.node, task.instance = assignment.node, assignment.instance
            job = self.jobs[run.job]
            job.open_runs += 1
            if job.phase is JobPhase.QUEUED:
                job.phase = JobPhase.RUNNING
            self.open[run.job, run.time, run.step, run.index] = run
        return Outcome()

    def end(self, command: EndRuns) -> Outcome:
        outcome = Outcome()
        for ended in command.ends:
            self._end_run(ended, command.at_ms, outcome)
        return outcome

    def save(self, command: SaveProgress) -> Outcome:
        for saved in command.saved:
            task = self.task(saved.run)
            if task is not None and task.open and task.run == saved.run.run and saved.saved:
                self._keep_checkpoint(saved.run, task, saved.saved, saved.percent)
        return Outcome()

    def purge(self, command: PurgeJobs) -> Outcome:
        for name in command.jobs:
            job = self.jobs.get(name)
            if job is not None and job.phase.over and not job.open_runs:
                del self.jobs[name]
        return Outcome()

    # ---- ends --------------------------------------------------------------------------------------------

    def _end_run(self, ended: EndedRun, at_ms: int, outcome: Outcome) -> None:
        run = ended.run
        task = self.task(run)
        if task is None or not task.open or task.run != run.run:
            return
        task.open = False
        del self.open[run.job, run.time, run.step, run.index]
        job = self.jobs[run.job]
        job.open_runs -= 1
        outcome.closed.append(ClosedRun(ended, task.instance))
        if ended.saved:
            self._keep_checkpoint(run, task, ended.saved, task.percent)
        if ended.how is RunEnd.DONE:
            self._task_done(job, run, outcome, at_ms)
        elif ended.how is RunEnd.FAILED:
            self._task_failed(job, run, task, at_ms, outcome)

    def _keep_checkpoint(self, run: TaskRun, task: Task, saved: str, percent: int) -> None:
        task.saved, task.percent = saved, percent
        job = self.jobs[run.job]
        if job.description.steps[run.step].gang:
            step = job.at_time(run.time).steps[run.step]
            step.saved, step.percent = saved, percent

    def _task_done(self, job: Job, run: TaskRun, outcome: Outcome, at_ms: int) -> None:
        step = job.at_time(run.time).steps[run.step]
        if job.description.steps[run.step].long_running:
            return
        members = step.tasks if job.description.steps[run.step].gang else [step.tasks[run.index]]
        for task in members:
            if not task.done:
                task.done = True
                step.left -= 1
        if step.done and members:
            outcome.finished_steps.append(FinishedStep(job.name, run.time, run.step))
            self._time_done(job, run.time, outcome, at_ms)

    def _time_done(self, job: Job, time: int, outcome: Outcome, at_ms: int) -> None:
        if time in job.times_done or not job.times[time].done:
            return
        job.times_done.add(time)
        if len(job.times_done) == job.time_count() and not job.phase.over:
            self._end_job(job, JobPhase.DONE, at_ms, outcome)

    def _task_failed(self, job: Job, run: TaskRun, task: Task, at_ms: int, outcome: Outcome) -> None:
        description = job.description.steps[run.step]
        task.failures += 1
        failures = task.failures
        if description.gang:
            step = job.at_time(run.time).steps[run.step]
            if step.last_failed_run != run.run:
                step.last_failed_run = run.run
                step.failed_runs += 1
            failures = step.failed_runs
        if failures >= job.terms.retries and not description.long_running and not job.phase.over and not task.done:
            self._end_job(job, JobPhase.FAILED, at_ms, outcome)

    def _end_job(self, job: Job, phase: JobPhase, at_ms: int, outcome: Outcome) -> None:
        """The one place in which a job ends."""
        job.phase, job.ended_ms = phase, at_ms
        outcome.finished_jobs.append(job.name)

    # ---- snapshots ---------------------------------------------------------------------------------------

    def encode(self) -> bytes:
        return encode(_TableSnapshot(tuple(_job_snapshot(job) for job in self.jobs.values())))

    def restore(self, data: bytes) -> None:
        self.jobs, self.open = {}, {}
        for kept in decode(_TableSnapshot, data).jobs:
            self._restore_job(kept)

    def _restore_job(self, kept: _JobSnapshot) -> None:
        job = Job(
            kept.name,
            kept.terms,
            read_job(kept.body),
            kept.body,
            kept.submitted_ms,
            kept.phase,
            kept.ended_ms,
            times_done=set(kept.times_done),
        )
        self.jobs[job.name] = job
        for time in kept.times:
            for number, (state, step) in enumerate(zip(job.at_time(time.time).steps, time.steps, strict=True)):
                state.failed_runs, state.last_failed_run = step.failed_runs, step.last_failed_run
                state.saved, state.percent = step.saved, step.percent
                state.tasks = [
                    Task(
                        task.run,
                        task.open,
                        task.done,
                        task.failures,
                        task.saved,
                        task.percent,
                        task.node,
                        task.instance,
                    )
                    for task in step.tasks
                ]
                state.left = sum(not task.done for task in state.tasks)
                for index, task in enumerate(state.tasks):
                    if task.open:
                        job.open_runs += 1
                        self.open[job.name, time.time, number, index] = TaskRun(
                            job.name, time.time, number, index, task.run
                        )


@dataclass(frozen=True, slots=True)
class _TaskSnapshot(Record):
    run: U32
    open: bool
    done: bool
    failures: U32
    saved: str
    percent: U8
    node: str
    instance: str


@dataclass(frozen=True, slots=True)
class _StepSnapshot(Record):
    failed_runs: U32
    last_failed_run: U32
    saved: str
    percent: U8
    tasks: tuple[_TaskSnapshot, ...]


@dataclass(frozen=True, slots=True)
class _TimeSnapshot(Record):
    time: U32
    steps: tuple[_StepSnapshot, ...]


@dataclass(frozen=True, slots=True)
class _JobSnapshot(Record):
    name: str
    terms: QueueTerms
    body: bytes
    submitted_ms: U64
    phase: JobPhase
    ended_ms: U64
    times_done: tuple[U32, ...]
    times: tuple[_TimeSnapshot, ...]


@dataclass(frozen=True, slots=True)
class _TableSnapshot(Record):
    jobs: tuple[_JobSnapshot, ...]


def _job_snapshot(job: Job) -> _JobSnapshot:
    times = tuple(
        _TimeSnapshot(number, tuple(_step_snapshot(step) for step in time.steps)) for number, time in job.times.items()
    )
    return _JobSnapshot(
        job.name, job.terms, job.body, job.submitted_ms, job.phase, job.ended_ms, tuple(sorted(job.times_done)), times
    )


def _step_snapshot(step: StepState) -> _StepSnapshot:
    tasks = tuple(
        _TaskSnapshot(task.run, task.open, task.done, task.failures, task.saved, task.percent, task.node, task.instance)
        for task in step.tasks
    )
    return _StepSnapshot(step.failed_runs, step.last_failed_run, step.saved, step.percent, tasks)
