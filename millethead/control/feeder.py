"""Keeps the scheduler in step with the replicated jobs: which tasks wait, which run, which steps have become ready.

All of it can be worked out from the state of the jobs, and is by a new head.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from millethead.configuration.model import Configuration
from millethead.control.job_times import JobTimes, LateJob
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
from millethead.scheduling.placement import cores
from millethead.scheduling.scheduler import Scheduler

RESTART_PAUSE_S = (0.2, 2.0)  # first and longest pause before a lasting task that failed at once is started again
REJECT_PAUSE_S = (0.05, 1.0)  # the same for a task that a worker rejected
STEADY_RUN_S = 5.0  # a lasting task that ran for so long begins with the first pause again


@dataclass(frozen=True, slots=True)
class Clock:
    """One moment by both clocks: steady seconds, and milliseconds of the time of day."""

    now: float
    wall_ms: int

    def steady(self, wall_ms: float) -> float:
        """The steady time that stands for a time of day, by the difference at this moment."""
        return self.now + (wall_ms - self.wall_ms) / 1000


@dataclass(slots=True)
class _Pause:
    """How often in a row a task ended without having run well, and when the last run began."""

    count: int = 0
    started: float = 0.0


class Feeder:
    """Translates between `JobTable` and `Scheduler`. `stop` is called for runs that are to be stopped."""

    def __init__(self, jobs: JobTable, scheduler: Scheduler, stop: Callable[[TaskRun], None]) -> None:
        self._jobs, self._scheduler, self._stop = jobs, scheduler, stop
        self._due: list[tuple[int, str, int]] = []  # (due in ms of the time of day, job, time K)
        self._resting: list[tuple[float, StepKey, int]] = []  # (steady time, step, index) of tasks that pause
        self._pauses: dict[tuple[StepKey, int], _Pause] = {}
        self._failed_on: dict[tuple[StepKey, int], frozenset[str]] = {}
        self._steps: set[StepKey] = set()
        self._times = JobTimes()
        self._late: list[LateJob] = []

    # ---- start -------------------------------------------------------------------------------------------

    def take_over(self, clock: Clock) -> None:
        """Work everything out from the replicated state: at the start of an epoch."""
        for job in list(self._jobs.jobs.values()):
            self.job_submitted(job, clock)
        for run, task in list(self._jobs.open_runs()):
            key = StepKey(run.job, run.time, run.step)
            if key not in self._steps:
                self._put(self._jobs.jobs[run.job], key, clock)  # of a job that is over: only its room counts
            self._scheduler.run_started(key, run.index, task.instance, run.run, clock.now)

    def set_queues(self, configuration: Configuration) -> None:
        """Take the queues of a configuration in force."""
        self._scheduler.set_queues(
            QueueSpec(route.name, route.service, route.prio, route.target_ms / 1000, route.skew, route.retries)
            for route in configuration.routes
        )

    # ---- jobs --------------------------------------------------------------------------------------------

    def job_submitted(self, job: Job, clock: Clock) -> None:
        """A job is known: its steps that depend on nothing may run, or wait for their first time."""
        if job.phase.is_final:
            return
        if not job.description.repeats:
            self._time_ready(job, 0, clock)
            return
        begun = max(job.times, default=-1) + 1  # of the times before, some may have no run yet: those are in no state
        for time in range(begun):
            if time not in job.times_done:
                self._time_ready(job, time, clock)
        self._next_time(job, begun)

    def _next_time(self, job: Job, time: int) -> None:
        if time < job.time_count():
            heapq.heappush(self._due, (job.description.due_ms(time), job.name, time))

    def _time_ready(self, job: Job, time: int, clock: Clock) -> None:
        for number, step in enumerate(job.at_time(time).steps):
            if not step.done and job.step_ready(time, number):
                self._put(job, StepKey(job.name, time, number), clock)

    def _put(self, job: Job, key: StepKey, clock: Clock) -> None:
        """Show a step to the scheduler, with its tasks that wait."""
        if key in self._steps:
            return
        self._steps.add(key)
        self._times.step_ready(key, clock.now)
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
            clock.steady(start_ms + job.objective_ms),
            tail_s=job.description.longest_successor_chain_ms()[key.step] / 1000,
            work_left=_work_left(job, key.time),
        )
        for index, task in enumerate(state.tasks):
            if not task.open and not task.done and not job.phase.is_final:
                pending.tasks[index] = PendingTask(index, self._checkpoint(job, key, task), clock.now)
        self._scheduler.put_step(pending)

    @staticmethod
    def _checkpoint(job: Job, key: StepKey, task: Task) -> str:
        if job.description.steps[key.step].gang:
            return job.at_time(key.time).steps[key.step].saved
        return task.saved

    # ---- runs --------------------------------------------------------------------------------------------

    def assignments(self, placements: Sequence[Placement], workers: dict[str, WorkerState]) -> tuple[Assignment, ...]:
        """The runs that placements open. All members of a gang share one run number."""
        gangs: dict[StepKey, int] = {}
        found = []
        for placement in placements:
            run = self._run_number(placement, gangs)
            task_run = TaskRun(placement.key.job, placement.key.time, placement.key.step, placement.index, run)
            found.append(Assignment(task_run, workers[placement.instance].node, placement.instance))
        return tuple(found)

    def _run_number(self, placement: Placement, gangs: dict[StepKey, int]) -> int:
        key = placement.key
        job = self._jobs.jobs[key.job]
        step = job.at_time(key.time).steps[key.step]
        if not job.description.steps[key.step].gang:
            return step.tasks[placement.index].run + 1
        if key not in gangs:
            gangs[key] = max(task.run for task in step.tasks) + 1
        return gangs[key]

    def runs_opened(self, assignments: tuple[Assignment, ...], clock: Clock) -> None:
        """Runs are assigned: the scheduler learns their numbers."""
        for assignment in assignments:
            run = assignment.run
            key = StepKey(run.job, run.time, run.step)
            self._scheduler.run_started(key, run.index, assignment.instance, run.run, clock.now)
            self._times.run_assigned(key, run.index, self._is_far(key, assignment.instance), clock.now)
            pause = self._pauses.get((key, run.index))
            if pause is not None:
                pause.started = clock.now

    def _is_far(self, key: StepKey, instance: str) -> bool:
        """Whether a worker stands in another rack than the data of a step."""
        rack = self._jobs.jobs[key.job].description.steps[key.step].affinity
        worker = self._scheduler.worker(instance)
        return bool(rack) and worker is not None and worker.rack != rack

    def run_lasted(self, run: TaskRun, instance: str, seconds: float) -> None:
        """How long a run ran, as its agent saw it; its end follows."""
        key = StepKey(run.job, run.time, run.step)
        self._scheduler.run_lasted(key, run.index, instance, run.run, seconds)
        self._times.run_lasted(key, run.index, seconds)

    def runs_closed(self, outcome: Outcome, clock: Clock) -> None:
        """Runs have ended, with whatever follows from that."""
        for closed in outcome.closed:
            self._closed(closed.ended, closed.instance, clock)
        for done in outcome.finished_steps:
            job, key = self._jobs.jobs[done.job], StepKey(done.job, done.time, done.step)
            self._times.step_done(job, key, clock.now)
            if job.at_time(done.time).done:
                self._time_over(job, done.time, clock)
            self._step_finished(job, key, clock)
        for name in outcome.finished_jobs:
            self.job_over(self._jobs.jobs[name])

    def _closed(self, ended: EndedRun, instance: str, clock: Clock) -> None:
        run = ended.run
        key = StepKey(run.job, run.time, run.step)
        self._scheduler.run_ended(key, run.index, instance, run.run, ended.how, clock.now)
        job = self._jobs.jobs[run.job]
        estimate_s = job.description.steps[run.step].estimate_ms / 1000
        self._times.run_ended(key, run.index, ended.how, estimate_s, clock.now)
        task = self._jobs.task(run)
        if task is None or task.done or job.phase.is_final:
            self._forget_task(key, run.index)
            return
        if job.description.steps[run.step].gang:
            self._stop_gang(job, key)
        if ended.how is RunEnd.FAILED:
            known = self._failed_on.get((key, run.index), frozenset())
            self._failed_on[key, run.index] = known | {instance}
        wait = self._pause(job, key, run.index, ended.how, clock)
        if wait:
            heapq.heappush(self._resting, (clock.now + wait, key, run.index))
        else:
            self._task_waits(job, key, run.index, clock)

    def _task_waits(self, job: Job, key: StepKey, index: int, clock: Clock) -> None:
        task = job.at_time(key.time).steps[key.step].tasks[index]
        avoid = self._failed_on.get((key, index), frozenset())
        pending = PendingTask(index, self._checkpoint(job, key, task), clock.now, avoid)
        if key in self._steps:
            self._scheduler.task_waits(key, pending, clock.now)

    def _pause(self, job: Job, key: StepKey, index: int, how: RunEnd, clock: Clock) -> float:
        """How long a task rests before it waits again (s)."""
        lasting = job.description.steps[key.step].long_running
        if how is RunEnd.NEVER:
            first, most = REJECT_PAUSE_S
        elif lasting and how in (RunEnd.FAILED, RunEnd.DONE):
            first, most = RESTART_PAUSE_S
        else:
            self._pauses.pop((key, index), None)
            return 0.0
        pause = self._pauses.setdefault((key, index), _Pause(0, clock.now))
        if clock.now - pause.started > STEADY_RUN_S:
            pause.count = 0
        pause.count += 1
        return min(most, float(first * 2 ** min(pause.count - 1, 16)))

    def _stop_gang(self, job: Job, key: StepKey) -> None:
        for index, task in enumerate(job.at_time(key.time).steps[key.step].tasks):
            if task.open:
                self._stop(TaskRun(key.job, key.time, key.step, index, task.run))

    def _forget_task(self, key: StepKey, index: int) -> None:
        self._pauses.pop((key, index), None)
        self._failed_on.pop((key, index), None)

    def _time_over(self, job: Job, time: int, clock: Clock) -> None:
        """All steps of a job are done at one time K: it is kept where its time went, if it was late."""
        began_ms = job.description.due_ms(time) or job.submitted_ms
        late = self._times.time_over(job, time, (clock.wall_ms - began_ms) / 1000)
        if late is not None:
            self._late.append(late)

    def take_late(self) -> list[LateJob]:
        """The jobs that were found late since the last time."""
        late, self._late = self._late, []
        return late

    def _step_finished(self, job: Job, key: StepKey, clock: Clock) -> None:
        self._remove(key)
        if not job.phase.is_final:
            self._time_ready(job, key.time, clock)

    def job_over(self, job: Job) -> None:
        """A job has ended: nothing of it waits any more, and what still runs is stopped."""
        for time, state in job.times.items():
            self._times.forget(job.name, time, len(state.steps))
            for number, step in enumerate(state.steps):
                key = StepKey(job.name, time, number)
                self._remove(key)
                for index, task in enumerate(step.tasks):
                    self._forget_task(key, index)
                    if task.open and not task.done:
                        self._stop(TaskRun(key.job, key.time, key.step, index, task.run))

    def _remove(self, key: StepKey) -> None:
        if key in self._steps:
            self._steps.discard(key)
            self._scheduler.remove_step(key)

    # ---- time --------------------------------------------------------------------------------------------

    def wake(self, clock: Clock) -> bool:
        """Bring in what has become due; returns whether there was anything."""
        woken = False
        while self._due and self._due[0][0] <= clock.wall_ms:
            woken = True
            _, name, time = heapq.heappop(self._due)
            job = self._jobs.find(name)
            if job is not None and not job.phase.is_final:
                self._time_ready(job, time, clock)
                self._next_time(job, time + 1)
        while self._resting and self._resting[0][0] <= clock.now:
            woken = True
            _, key, index = heapq.heappop(self._resting)
            job = self._jobs.find(key.job)
            if job is None or job.phase.is_final:
                continue
            task = job.at_time(key.time).steps[key.step].tasks[index]
            if not task.open and not task.done:
                self._task_waits(job, key, index, clock)
        return woken

    def next_wake(self, clock: Clock) -> float:
        """The steady time at which `wake` has something to do."""
        due = clock.steady(self._due[0][0]) if self._due else float("inf")
        rest = self._resting[0][0] if self._resting else float("inf")
        return min(due, rest)


def _work_left(job: Job, time: int) -> float:
    """What is not done yet of a job at a time K, in core-seconds by estimate."""
    steps = zip(job.description.steps, job.at_time(time).steps, strict=True)
    return sum(state.remaining_tasks * step.estimate_ms / 1000 * cores(step.needs) for step, state in steps)
