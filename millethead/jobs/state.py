"""Replicated state of all jobs. Only commands change it, deterministically, so it is the same on every member of the
core.

A task has at most one open run. An assignment opens a run and the end of the run, whatever its cause, closes it. Until
then the task cannot be assigned again, and the run occupies its resources on the worker.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
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
    TrimJobs,
)
from millethead.jobs.description import NOTHING, JobDescription, read_job
from millethead.jobs.tombstones import Tombstones

# Memory that a job is accounted with, in bytes, including what the scheduler keeps of it while it is queued.
JOB_BYTES, STEP_BYTES, TASK_BYTES = 2048, 1024, 512
BODY_COPIES = 2  # the body is kept as received, and its spec as a decoded text


class JobPhase(IntEnum):
    """Phase of a job's life cycle. Member names and values are written to clients and snapshots."""

    QUEUED = 0
    RUNNING = 1
    DONE = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self in (JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED)


@dataclass(slots=True)
class Task:
    """One task. `run` is the highest run number assigned so far; `open` is whether it has not ended. `saved` is the
    newest checkpoint. `node` and `instance` name the worker of that run."""

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
    """The tasks of one step in one time (occurrence) of the job."""

    tasks: list[Task]
    remaining_tasks: int  # tasks that are not done
    failed_runs: int = 0  # gang only: failed runs, each counted once for all members
    last_failed_run: int = 0
    saved: str = ""  # gang only: the newest checkpoint of any member
    percent: int = 0

    @property
    def done(self) -> bool:
        return self.remaining_tasks == 0


@dataclass(slots=True)
class TimeState:
    """The steps of one time (occurrence) of a job."""

    steps: list[StepState]

    @property
    def done(self) -> bool:
        return all(step.done for step in self.steps)


@dataclass(slots=True)
class Job:
    """A job and the state of its tasks. `times` are its occurrences that have tasks so far, by number."""

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
        """How often the job runs."""
        return max(1, self.description.repeats)

    @property
    def trimmed(self) -> bool:
        """Whether the job has ended and been reduced to its final state."""
        return not self.body

    @property
    def held_bytes(self) -> int:
        """Memory that the job is accounted with, in bytes; depends only on its description and body."""
        return job_bytes(self.description, self.body)

    @property
    def slack_ms(self) -> float:
        """Slack of each time of the job: its objective minus its critical path."""
        return self.objective_ms - self.description.critical_path_ms()

    @property
    def objective_ms(self) -> float:
        """How long each time of the job may take before it is late."""
        return self.terms.skew_thousandths * self.description.critical_path_ms() / 1000 + self.terms.target_ms

    def at_time(self, time: int) -> TimeState:
        """The state of this time of the job; created on first use."""
        state = self.times.get(time)
        if state is None:
            state = self.times[time] = TimeState(
                [StepState([Task() for _ in range(step.count)], step.count) for step in self.description.steps]
            )
        return state

    def step_ready(self, time: int, step: int) -> bool:
        """Whether all steps that this step depends on are done."""
        state = self.at_time(time)
        return all(state.steps[other].done for other in self.description.steps[step].dependencies)


@dataclass(frozen=True, slots=True)
class ClosedRun:
    """A run that has ended, and the worker process that it was assigned to."""

    ended: EndedRun
    instance: str


@dataclass(frozen=True, slots=True)
class FinishedStep:
    """A step whose tasks are all done, in one time of its job."""

    job: str
    time: int
    step: int


@dataclass(slots=True)
class Outcome:
    """Result of a command: what it changed, for the scheduler."""

    accepted: bool = True
    closed: list[ClosedRun] = field(default_factory=list)
    finished_steps: list[FinishedStep] = field(default_factory=list)
    finished_jobs: list[str] = field(default_factory=list)


def job_bytes(description: JobDescription, body: bytes) -> int:
    """Memory that a job with this description and body is accounted with, in bytes."""
    tasks = sum(step.count for step in description.steps)
    return JOB_BYTES + BODY_COPIES * len(body) + STEP_BYTES * len(description.steps) + TASK_BYTES * tasks


def _ignore_change(name: str) -> None:
    """Default of `JobTable.changed`."""


class JobTable:
    """All jobs. Each command of the replicated log has one method. `open` maps each task with an open run (job, time,
    step, index) to that run. `tombstones` has the jobs that were cancelled before they were known. `held_bytes` is the
    memory that all jobs are accounted with. `changed` is called with the name of each job that a command changes."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.tombstones = Tombstones()
        self.open: dict[tuple[str, int, int, int], TaskRun] = {}
        self.held_bytes = 0
        self.changed: Callable[[str], None] = _ignore_change

    # ---- reading -----------------------------------------------------------------------------------------

    def find(self, name: str) -> Job | None:
        return self.jobs.get(name)

    def task(self, run: TaskRun) -> Task | None:
        """The task of a run; None if there is no such task."""
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
        """Number of jobs of a route that have not ended."""
        return sum(job.terms.route == route and not job.phase.is_final for job in self.jobs.values())

    # ---- commands ----------------------------------------------------------------------------------------

    def submit(self, command: SubmitJob) -> Outcome:
        if command.job in self.jobs:
            return Outcome(accepted=True)
        if command.job in self.tombstones:
            return Outcome(accepted=False)
        self.add(Job(command.job, command.terms, read_job(command.body), command.body, command.at_ms))
        return Outcome()

    def add(self, job: Job) -> None:
        """Adds a job that is not in the table yet."""
        self.jobs[job.name] = job
        self.held_bytes += job.held_bytes
        self.changed(job.name)

    def cancel(self, command: CancelJob) -> Outcome:
        """Cancels a job. A job that is not known gets a tombstone, so that it is not accepted afterwards."""
        job = self.jobs.get(command.job)
        outcome = Outcome(accepted=job is not None)
        if job is None:
            self.tombstones.add(command.job, command.at_ms)
        elif not job.phase.is_final:
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
            self.changed(run.job)
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
        """Removes ended jobs without open runs, and tombstones."""
        for name in command.jobs:
            self.tombstones.remove(name)
            job = self.jobs.get(name)
            if job is not None and job.phase.is_final and not job.open_runs:
                del self.jobs[name]
                self.held_bytes -= job.held_bytes
                self.changed(name)
        return Outcome()

    def trim(self, command: TrimJobs) -> Outcome:
        """Reduces ended jobs without open runs to their final state."""
        for name in command.jobs:
            job = self.jobs.get(name)
            if job is None or not job.phase.is_final or job.open_runs or job.trimmed:
                continue
            self.held_bytes -= job.held_bytes
            job.body, job.description = b"", NOTHING
            job.times, job.times_done = {}, set()
            self.held_bytes += job.held_bytes
            self.changed(name)
        return Outcome()

    # ---- run ends ----------------------------------------------------------------------------------------

    def _end_run(self, ended: EndedRun, at_ms: int, outcome: Outcome) -> None:
        run = ended.run
        task = self.task(run)
        if task is None or not task.open or task.run != run.run:
            return
        self.changed(run.job)
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
        self.changed(run.job)
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
                step.remaining_tasks -= 1
        if step.done and members:
            outcome.finished_steps.append(FinishedStep(job.name, run.time, run.step))
            self._time_done(job, run.time, outcome, at_ms)

    def _time_done(self, job: Job, time: int, outcome: Outcome, at_ms: int) -> None:
        if time in job.times_done or not job.times[time].done:
            return
        job.times_done.add(time)
        if len(job.times_done) == job.time_count() and not job.phase.is_final:
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
        if failures >= job.terms.retries and not description.long_running and not job.phase.is_final and not task.done:
            self._end_job(job, JobPhase.FAILED, at_ms, outcome)

    def _end_job(self, job: Job, phase: JobPhase, at_ms: int, outcome: Outcome) -> None:
        """Ends a job; the only method that sets a final phase."""
        job.phase, job.ended_ms = phase, at_ms
        self.changed(job.name)
        outcome.finished_jobs.append(job.name)
