"""Synchronises the scheduler with the replicated jobs: waiting tasks, open runs and steps that have become ready.

All of this state is derived from the replicated jobs, so a new head can rebuild it. "Time K" is the K-th occurrence of
a repeated job, counted from 0; other jobs have time 0 only.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from millethead.configuration.model import Configuration
from millethead.control.job_latency import LateJob, LatencyTracker
from millethead.execution.messages import RunEnd
from millethead.jobs.commands import Assignment, EndedRun, TaskRun
from millethead.jobs.state import Job, JobTable, Outcome, Task
from millethead.scheduling.model import (
    PendingStep,
    PendingTask,
    Placement,
    QueueSpec,
    StepKey,
    WorkerState,
)
from millethead.scheduling.placement import core_equivalents
from millethead.scheduling.scheduler import Scheduler

RESTART_BACKOFF_S = (0.2, 2.0)  # first and longest backoff of a long-running task whose runs end early
REJECT_BACKOFF_S = (0.05, 1.0)  # first and longest backoff of a task that workers reject
REJECTION_MEMORY_S = 5.0  # for which a task avoids a worker that has rejected it
BACKOFF_RESET_S = 5.0  # the backoff starts anew after a run of at least this duration


@dataclass(frozen=True, slots=True)
class Moment:
    """One moment on both clocks: monotonic time in seconds and time of day in milliseconds."""

    now: float
    wall_ms: int

    def to_monotonic(self, wall_ms: float) -> float:
        """Convert a time of day to monotonic time, using the difference of the clocks at this moment."""
        return self.now + (wall_ms - self.wall_ms) / 1000


@dataclass(slots=True)
class _Backoff:
    """Restart backoff of a task: number of consecutive bad ends, and the start of the last run."""

    count: int = 0
    started: float = 0.0


class SchedulerSync:
    """Translates between `JobTable` and `Scheduler`. `stop_run` is called for each run that has to be stopped."""

    def __init__(self, jobs: JobTable, scheduler: Scheduler, stop_run: Callable[[TaskRun], None]) -> None:
        self._jobs, self._scheduler, self._stop_run = jobs, scheduler, stop_run
        self._calendar: list[tuple[int, str, int]] = []  # (due in ms since 1970, job, time K)
        self._backing_off: list[tuple[float, StepKey, int]] = []  # (monotonic time, step, task)
        self._backoffs: dict[tuple[StepKey, int], _Backoff] = {}
        self._failed_on: dict[tuple[StepKey, int], frozenset[str]] = {}
        self._rejected_until: dict[tuple[StepKey, int], dict[str, float]] = {}  # by worker instance
        self._steps: set[StepKey] = set()
        self._latency = LatencyTracker()
        self._late_jobs: list[LateJob] = []

    # ---- start of an epoch -------------------------------------------------------------------------------

    def rebuild(self, moment: Moment) -> None:
        """Rebuild the scheduler's state from the replicated state at the start of an epoch."""
        for job in list(self._jobs.jobs.values()):
            self.job_submitted(job, moment)
        for run, task in list(self._jobs.open_runs()):
            key = StepKey(run.job, run.time, run.step)
            if key not in self._steps:
                # The job has ended, but its run still uses resources.
                self._add_step(self._jobs.jobs[run.job], key, moment)
            self._scheduler.run_started(key, run.index, task.instance, run.run, moment.now)

    def set_queues(self, configuration: Configuration) -> None:
        """Set the scheduler's queues from the routes of the configuration in force."""
        self._scheduler.set_queues(
            QueueSpec(route.name, route.service, route.prio, route.target_ms / 1000, route.skew, route.retries)
            for route in configuration.routes
        )

    # ---- jobs --------------------------------------------------------------------------------------------

    def job_submitted(self, job: Job, moment: Moment) -> None:
        """Add a job: its ready steps go to the scheduler, and its next time is put on the calendar if it repeats."""
        if job.phase.is_final:
            return
        if not job.description.repeats:
            self._add_ready_steps(job, 0, moment)
            return
        # Some earlier times may have no run yet; the replicated state does not contain those.
        next_time = max(job.times, default=-1) + 1
        for time in range(next_time):
            if time not in job.times_done:
                self._add_ready_steps(job, time, moment)
        self._schedule_time(job, next_time)

    def _schedule_time(self, job: Job, time: int) -> None:
        """Put a time of a repeated job on the calendar, unless the job has no such time."""
        if time < job.time_count():
            heapq.heappush(self._calendar, (job.description.due_ms(time), job.name, time))

    def _add_ready_steps(self, job: Job, time: int, moment: Moment) -> None:
        """Add the ready steps of a job at one time to the scheduler."""
        for number, step in enumerate(job.at_time(time).steps):
            if not step.done and job.step_ready(time, number):
                self._add_step(job, StepKey(job.name, time, number), moment)

    def _add_step(self, job: Job, key: StepKey, moment: Moment) -> None:
        """Add a step to the scheduler, with its waiting tasks, unless it has been added before."""
        if key in self._steps:
            return
        self._steps.add(key)
        self._latency.step_ready(key, moment.now)
        description = job.description.steps[key.step]
        state = job.at_time(key.time).steps[key.step]
        start_ms = job.description.due_ms(key.time) or job.submitted_ms
        pending = PendingStep(
            key,
            job.terms.route,
            job.terms.service,
            description.needs,
            description.count,
            description.estimate_ms / 1000,
            description.gang,
            description.same_rack,
            description.requires,
            description.affinity,
            description.anti_affinity,
            description.idempotent,
            description.long_running,
            description.checkpoints,
            moment.to_monotonic(start_ms + job.objective_ms),
            tail_s=job.description.longest_successor_chain_ms()[key.step] / 1000,
            work_left=_work_left(job, key.time),
        )
        for index, task in enumerate(state.tasks):
            if not task.open and not task.done and not job.phase.is_final:
                pending.tasks[index] = PendingTask(index, self._checkpoint(job, key, task), moment.now)
        self._scheduler.put_step(pending)

    @staticmethod
    def _checkpoint(job: Job, key: StepKey, task: Task) -> str:
        if job.description.steps[key.step].gang:
            return job.at_time(key.time).steps[key.step].saved
        return task.saved

    # ---- runs --------------------------------------------------------------------------------------------

    def assignments(self, placements: Sequence[Placement], workers: dict[str, WorkerState]) -> tuple[Assignment, ...]:
        """Return the assignments that follow from placements. All members of a gang get the same run number."""
        gangs: dict[StepKey, int] = {}
        assignments = []
        for placement in placements:
            run = self._run_number(placement, gangs)
            task_run = TaskRun(placement.key.job, placement.key.time, placement.key.step, placement.index, run)
            assignments.append(Assignment(task_run, workers[placement.instance].node, placement.instance))
        return tuple(assignments)

    def _run_number(self, placement: Placement, gangs: dict[StepKey, int]) -> int:
        key = placement.key
        job = self._jobs.jobs[key.job]
        step = job.at_time(key.time).steps[key.step]
        if not job.description.steps[key.step].gang:
            return step.tasks[placement.index].run + 1
        if key not in gangs:
            gangs[key] = max(task.run for task in step.tasks) + 1
        return gangs[key]

    def runs_opened(self, assignments: tuple[Assignment, ...], moment: Moment) -> None:
        """Tell the scheduler the run numbers of new assignments."""
        for assignment in assignments:
            run = assignment.run
            key = StepKey(run.job, run.time, run.step)
            self._scheduler.run_started(key, run.index, assignment.instance, run.run, moment.now)
            self._latency.run_assigned(key, run.index, self._is_remote(key, assignment.instance), moment.now)
            backoff = self._backoffs.get((key, run.index))
            if backoff is not None:
                backoff.started = moment.now

    def _is_remote(self, key: StepKey, instance: str) -> bool:
        """Return whether a worker is in another rack than the data of a step."""
        rack = self._jobs.jobs[key.job].description.steps[key.step].affinity
        worker = self._scheduler.worker(instance)
        return bool(rack) and worker is not None and worker.rack != rack

    def run_measured(self, run: TaskRun, instance: str, seconds: float) -> None:
        """Record the duration of a run as its agent measured it. The end of the run is recorded afterwards."""
        key = StepKey(run.job, run.time, run.step)
        self._scheduler.record_runtime(key, run.index, instance, run.run, seconds)
        self._latency.run_measured(key, run.index, seconds)

    def runs_closed(self, outcome: Outcome, moment: Moment) -> None:
        """Apply the outcome of a command: ended runs, finished steps and finished jobs."""
        for closed in outcome.closed:
            self._run_closed(closed.ended, closed.instance, moment)
        for done in outcome.finished_steps:
            job, key = self._jobs.jobs[done.job], StepKey(done.job, done.time, done.step)
            self._latency.step_done(job, key, moment.now)
            if job.at_time(done.time).done:
                self._time_done(job, done.time, moment)
            self._step_finished(job, key, moment)
        for name in outcome.finished_jobs:
            self.job_ended(self._jobs.jobs[name])

    def _run_closed(self, ended: EndedRun, instance: str, moment: Moment) -> None:
        run = ended.run
        key = StepKey(run.job, run.time, run.step)
        self._scheduler.run_ended(key, run.index, instance, run.run, ended.how, moment.now)
        job = self._jobs.jobs[run.job]
        estimate_s = job.description.steps[run.step].estimate_ms / 1000
        self._latency.run_ended(key, run.index, ended.how, estimate_s, moment.now)
        task = self._jobs.task(run)
        if task is None or task.done or job.phase.is_final:
            self._forget_task(key, run.index)
            return
        if job.description.steps[run.step].gang:
            self._stop_gang(job, key)
        if ended.how is RunEnd.FAILED:
            earlier = self._failed_on.get((key, run.index), frozenset())
            self._failed_on[key, run.index] = earlier | {instance}
        elif ended.how is RunEnd.NEVER:
            rejected_until = self._rejected_until.setdefault((key, run.index), {})
            rejected_until[instance] = moment.now + REJECTION_MEMORY_S
        backoff_s = self._backoff_s(job, key, run.index, ended.how, moment)
        if backoff_s:
            heapq.heappush(self._backing_off, (moment.now + backoff_s, key, run.index))
        else:
            self._queue_task(job, key, run.index, moment)

    def _queue_task(self, job: Job, key: StepKey, index: int, moment: Moment) -> None:
        task = job.at_time(key.time).steps[key.step].tasks[index]
        avoid = self._avoided_workers(key, index, moment.now)
        pending = PendingTask(index, self._checkpoint(job, key, task), moment.now, avoid)
        if key in self._steps:
            self._scheduler.task_waits(key, pending, moment.now)

    def _avoided_workers(self, key: StepKey, index: int, now: float) -> frozenset[str]:
        """Return the workers on which a task has failed, and those that have rejected it lately."""
        rejected_until = self._rejected_until.get((key, index), {})
        rejected = {instance for instance, until in rejected_until.items() if now < until}
        return self._failed_on.get((key, index), frozenset()) | rejected

    def _backoff_s(self, job: Job, key: StepKey, index: int, how: RunEnd, moment: Moment) -> float:
        """Return for how many seconds a task waits before it may be scheduled again; 0 for immediately."""
        long_running = job.description.steps[key.step].long_running
        if how is RunEnd.NEVER:
            first, longest = REJECT_BACKOFF_S
        elif long_running and how in (RunEnd.FAILED, RunEnd.DONE):
            first, longest = RESTART_BACKOFF_S
        else:
            self._backoffs.pop((key, index), None)
            return 0.0
        backoff = self._backoffs.setdefault((key, index), _Backoff(0, moment.now))
        if moment.now - backoff.started > BACKOFF_RESET_S:
            backoff.count = 0
        backoff.count += 1
        return min(longest, float(first * 2 ** min(backoff.count - 1, 16)))

    def _stop_gang(self, job: Job, key: StepKey) -> None:
        for index, task in enumerate(job.at_time(key.time).steps[key.step].tasks):
            if task.open:
                self._stop_run(TaskRun(key.job, key.time, key.step, index, task.run))

    def _forget_task(self, key: StepKey, index: int) -> None:
        self._backoffs.pop((key, index), None)
        self._failed_on.pop((key, index), None)
        self._rejected_until.pop((key, index), None)

    def _time_done(self, job: Job, time: int, moment: Moment) -> None:
        """All steps of a job are done at one time: if it was late, keep the breakdown of its latency for the log."""
        start_ms = job.description.due_ms(time) or job.submitted_ms
        late = self._latency.time_done(job, time, (moment.wall_ms - start_ms) / 1000)
        if late is not None:
            self._late_jobs.append(late)

    def take_late_jobs(self) -> list[LateJob]:
        """Return the late jobs found since the last call."""
        late, self._late_jobs = self._late_jobs, []
        return late

    def _step_finished(self, job: Job, key: StepKey, moment: Moment) -> None:
        self._remove(key)
        if not job.phase.is_final:
            self._add_ready_steps(job, key.time, moment)

    def job_ended(self, job: Job) -> None:
        """Remove an ended job from the scheduler and stop its open runs."""
        for time, state in job.times.items():
            self._latency.forget(job.name, time, len(state.steps))
            for number, step in enumerate(state.steps):
                key = StepKey(job.name, time, number)
                self._remove(key)
                for index, task in enumerate(step.tasks):
                    self._forget_task(key, index)
                    if task.open and not task.done:
                        self._stop_run(TaskRun(key.job, key.time, key.step, index, task.run))

    def _remove(self, key: StepKey) -> None:
        if key in self._steps:
            self._steps.discard(key)
            self._scheduler.remove_step(key)

    # ---- time --------------------------------------------------------------------------------------------

    def process_due(self, moment: Moment) -> bool:
        """Add to the scheduler what has become due; return whether there was anything.

        This covers times of repeated jobs and tasks whose backoff has ended.
        """
        any_due = False
        while self._calendar and self._calendar[0][0] <= moment.wall_ms:
            any_due = True
            _, name, time = heapq.heappop(self._calendar)
            job = self._jobs.find(name)
            if job is not None and not job.phase.is_final:
                self._add_ready_steps(job, time, moment)
                self._schedule_time(job, time + 1)
        while self._backing_off and self._backing_off[0][0] <= moment.now:
            any_due = True
            _, key, index = heapq.heappop(self._backing_off)
            job = self._jobs.find(key.job)
            if job is None or job.phase.is_final:
                continue
            task = job.at_time(key.time).steps[key.step].tasks[index]
            if not task.open and not task.done:
                self._queue_task(job, key, index, moment)
        return any_due

    def next_due(self, moment: Moment) -> float:
        """Return the monotonic time at which `process_due` next has something to add."""
        due = moment.to_monotonic(self._calendar[0][0]) if self._calendar else float("inf")
        backoff_end = self._backing_off[0][0] if self._backing_off else float("inf")
        return min(due, backoff_end)


def _work_left(job: Job, time: int) -> float:
    """Return the estimated work that remains of a job at one time, in core-seconds."""
    steps = zip(job.description.steps, job.at_time(time).steps, strict=True)
    return sum(state.remaining_tasks * step.estimate_ms / 1000 * core_equivalents(step.needs) for step, state in steps)
