"""One day of a workload in virtual time: the program's scheduler decides, workers and the way to them are modelled.

A placement's run begins a moment later; its end is known at the next look at its worker, which comes as the program
would have it. While nothing is decided (`headless`) ends are kept, and a new scheduler takes over from what is known
outside, as a new head does.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from random import Random

from millethead.execution.messages import RunEnd
from millethead.lab.screen.jobs import JobPlan, StepPlan, capacity_of, draw_jobs, rack_of
from millethead.lab.screen.workload import Trouble, Workload
from millethead.scheduling.model import (
    PendingStep,
    PendingTask,
    Placement,
    Preemption,
    QueueSpec,
    StepKey,
    WorkerState,
)
from millethead.scheduling.polling import run_poll_interval_s
from millethead.scheduling.scheduler import Scheduler

SERVICE = "service"
RETRIES = 4
RESTORE_S = 0.1
SAVE_S = 2.0  # of work between two checkpoints
LEAST_RAN_S = 0.001
ROUND_S = 0.01  # between two rounds of the scheduler
LEASE_S = 12.8  # a worker that is cut off for longer loses what runs there
NOTICE_S = 0.7  # until it is known that a worker does not answer
CLOSING_S = 160.0  # after the last request


@dataclass(slots=True, eq=False)
class _Run:
    placement: Placement
    number: int
    step: StepPlan
    left_s: float  # of the task's work, on a worker of speed 1, when the run began
    began: float
    rate: float  # work done in a second
    fails: bool
    over: bool = False  # at the worker
    ended: bool = False  # the head has it

    def work_done(self, now: float) -> float:
        return max(0.0, min(self.left_s, (now - self.began) * self.rate))


@dataclass(slots=True)
class _Worker:
    number: int
    state: WorkerState
    speed: float
    runs: set[_Run] = field(default_factory=set)
    cut_until: float = 0.0


@dataclass(slots=True)
class _TaskState:
    left_s: float
    fails: bool
    run: int = 0
    avoid: frozenset[str] = frozenset()
    waiting: bool = True
    done: bool = False


@dataclass(slots=True)
class DayCost:
    """What a day took beside its worth: core-seconds thrown away, starts, and how many of them far from their data."""

    wasted: float = 0.0
    starts: int = 0
    far: int = 0


class DayHistory:
    """One day; `play` runs it and returns its jobs."""

    def __init__(self, workload: Workload, seed: int, make_scheduler: Callable[[Random, float], Scheduler]) -> None:
        self._workload, self._random, self._make = workload, Random(seed), make_scheduler
        self.jobs = draw_jobs(workload, seed)
        self.cost = DayCost()
        self._by_name = {job.name: job for job in self.jobs}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = count()
        self._workers = {f"w{number}": self._worker(number) for number in range(workload.fleet.workers)}
        self._tasks: dict[StepKey, list[_TaskState]] = {}
        self._runs: dict[tuple[StepKey, int], _Run] = {}
        self._unreported: list[tuple[_Run, RunEnd]] = []
        self._failing: dict[str, Trouble] = {}  # by instance
        self._headless_until = 0.0
        self._round_at = -1.0
        self._scheduler = self._new_scheduler()
        for job in self.jobs:
            self._later(job.came, partial(self._put, job, 0))
        for trouble in workload.troubles:
            self._later(trouble.at, partial(self._begin, trouble))

    def play(self) -> list[JobPlan]:
        """Run it to its end."""
        until = self._workload.length_s + CLOSING_S
        while self._events and self._events[0][0] < until:
            at, _, call = heapq.heappop(self._events)
            call(at)
        return self.jobs

    # ---- events ----------------------------------------------------------------------------------------------------

    def _later(self, at: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._number), call))

    def _want_round(self, now: float) -> None:
        if self._round_at <= now:
            self._round_at = now + ROUND_S
            self._later(self._round_at, self._round)

    # ---- workers and troubles --------------------------------------------------------------------------------------

    def _worker(self, number: int) -> _Worker:
        fleet = self._workload.fleet
        rack, label = rack_of(fleet, number), fleet.labels[number % len(fleet.labels)]
        room = capacity_of(fleet, number)
        state = WorkerState(
            f"w{number}", f"n{number}", SERVICE, room, room, frozenset((rack, label)), rack, False, None, True
        )
        return _Worker(number, state, fleet.speeds[number % len(fleet.speeds)])

    def _begin(self, trouble: Trouble, now: float) -> None:
        """A trouble begins. Those of requests and of racks are in what was drawn."""
        match trouble.kind:
            case "headless":
                self._headless_until = now + trouble.for_s
                self._later(self._headless_until, self._new_head)
            case "cut" | "lost":
                for worker in self._struck(trouble):
                    self._cut(worker, trouble, now)
            case "slow":
                for worker in self._struck(trouble):
                    worker.speed /= trouble.x
                    self._later(now + trouble.for_s, partial(self._speed_up, worker, trouble.x))
            case "failing":
                self._failing.update({worker.state.instance: trouble for worker in self._struck(trouble)})

    def _struck(self, trouble: Trouble) -> list[_Worker]:
        """The workers that a trouble befalls."""
        chosen = self._random.sample(sorted(self._workers), round(trouble.share * len(self._workers)))
        return [self._workers[instance] for instance in chosen]

    def _speed_up(self, worker: _Worker, times: float, now: float) -> None:
        worker.speed *= times

    def _cut(self, worker: _Worker, trouble: Trouble, now: float) -> None:
        worker.cut_until = now + trouble.for_s
        self._later(now + NOTICE_S, partial(self._reach, worker))
        self._later(worker.cut_until + NOTICE_S, partial(self._reach, worker))
        if trouble.kind == "lost":
            for run in worker.runs:
                run.over = True
            self._later(now + NOTICE_S, partial(self._lose, worker))

    def _lose(self, worker: _Worker, now: float) -> None:
        for run in list(worker.runs):
            self._known_end(run, RunEnd.LOST, now)

    def _reach(self, worker: _Worker, now: float) -> None:
        worker.state = replace(worker.state, reachable=now >= worker.cut_until)
        if now >= self._headless_until:
            self._scheduler.put_worker(worker.state)
            self._want_round(now)

    # ---- the head --------------------------------------------------------------------------------------------------

    def _new_scheduler(self) -> Scheduler:
        scheduler = self._make(Random(self._random.random()), self._workload.fleet.far_times)
        scheduler.set_queues(
            QueueSpec(kind.name, SERVICE, kind.priority, kind.target_s, kind.skew, RETRIES)
            for kind in self._workload.kinds
        )
        for worker in self._workers.values():
            scheduler.put_worker(worker.state)
        return scheduler

    def _new_head(self, now: float) -> None:
        """A new scheduler works everything out from what is kept."""
        self._scheduler = self._new_scheduler()
        for key in self._tasks:
            self._show(key, now)
        for (key, index), run in self._runs.items():
            self._scheduler.run_started(key, index, run.placement.instance, run.number, now)
        reports, self._unreported = self._unreported, []
        for run, how in reports:
            self._known_end(run, how, now)
        self._want_round(now)

    def _round(self, now: float) -> None:
        if now < self._headless_until:
            return
        decision = self._scheduler.schedule(now)
        for preemption in decision.preemptions:
            self._stop(preemption, now)
        for placement in decision.placements:
            self._start(placement, now)
        if decision.next_round_at is not None:
            self._later(max(decision.next_round_at, now + ROUND_S), self._look)

    def _look(self, now: float) -> None:
        self._want_round(now)

    # ---- jobs ------------------------------------------------------------------------------------------------------

    def _put(self, job: JobPlan, number: int, now: float) -> None:
        key = StepKey(job.name, 0, number)
        self._tasks[key] = [_TaskState(task.takes_s, task.fails) for task in job.steps[number].tasks]
        if now >= self._headless_until:
            self._show(key, now)
            self._want_round(now)

    def _show(self, key: StepKey, now: float) -> None:
        job = self._by_name[key.job]
        step, rest = job.steps[key.step], job.steps[key.step + 1 :]
        waiting = {
            index: PendingTask(index, "", now, task.avoid)
            for index, task in enumerate(self._tasks[key])
            if task.waiting and not task.done
        }
        undone = sum(not task.done for task in self._tasks[key])
        self._scheduler.put_step(
            PendingStep(
                key,
                job.kind.name,
                SERVICE,
                step.needs,
                len(step.tasks),
                step.estimate_s,
                False,
                False,
                step.label,
                step.rack,
                0,
                False,
                False,
                step.checkpoints,
                job.came + job.estimated_objective_s,
                waiting,
                tail_s=sum(other.estimate_s for other in rest),
                work_left=undone * step.estimate_s * step.needs.cpu / 1000
                + sum(len(other.tasks) * other.estimate_s * other.needs.cpu / 1000 for other in rest),
            )
        )

    # ---- runs ------------------------------------------------------------------------------------------------------

    def _start(self, placement: Placement, now: float) -> None:
        key, index = placement.key, placement.index
        task, step = self._tasks[key][index], self._by_name[key.job].steps[key.step]
        worker = self._workers[placement.instance]
        task.waiting = False
        task.run += 1
        far = bool(step.rack) and worker.state.rack != step.rack
        rate = worker.speed / (self._workload.fleet.far_times if far else 1.0)
        self.cost.starts += 1
        self.cost.far += far
        trouble = self._failing.get(placement.instance)
        fails = task.fails or (trouble is not None and trouble.covers(now) and self._random.random() < trouble.x)
        task.fails = False
        began = now + self._workload.delays.start_s
        run = _Run(placement, task.run, step, task.left_s, began, rate, fails)
        self._runs[key, index] = run
        worker.runs.add(run)
        self._scheduler.run_started(key, index, placement.instance, run.number, now)
        share = self._random.uniform(0.1, 0.9) if fails else 1.0
        how = RunEnd.FAILED if fails else RunEnd.DONE
        self._later(began + run.left_s / rate * share, partial(self._over, run, how))

    def _over(self, run: _Run, how: RunEnd, now: float) -> None:
        """A run ends at its worker; the head learns of it after the next look."""
        if run.over:
            return
        run.over = True
        worker = self._workers[run.placement.instance]
        job = self._by_name[run.placement.key.job]
        spare = job.estimated_objective_s - sum(step.estimate_s for step in job.steps)
        others = [self._gap(other) for other in worker.runs if not other.over]
        gap = min(
            [
                run_poll_interval_s(spare, len(job.steps)),
                self._scheduler.poll_interval_s(worker.state.instance),
                *others,
            ]
        )
        seen = max(now + self._random.uniform(0.0, gap), worker.cut_until)
        self._later(seen + self._workload.delays.end_s, partial(self._report, run, how, now))

    def _gap(self, run: _Run) -> float:
        job = self._by_name[run.placement.key.job]
        return run_poll_interval_s(
            job.estimated_objective_s - sum(step.estimate_s for step in job.steps), len(job.steps)
        )

    def _report(self, run: _Run, how: RunEnd, ended_at: float, now: float) -> None:
        """The head learns of an end, unless there is none: then it is kept for the next one."""
        if run.ended:
            return
        if now < self._headless_until:
            self._unreported.append((run, how))
            return
        placement = run.placement
        ran_s = max(LEAST_RAN_S, ended_at - run.began)
        self._scheduler.record_runtime(placement.key, placement.index, placement.instance, run.number, ran_s)
        self._known_end(run, how, now)

    def _known_end(self, run: _Run, how: RunEnd, now: float) -> None:
        if run.ended:
            return
        run.ended = run.over = True
        key, index, instance = run.placement.key, run.placement.index, run.placement.instance
        self._workers[instance].runs.discard(run)
        self._runs.pop((key, index), None)
        self._scheduler.run_ended(key, index, instance, run.number, how, now)
        task = self._tasks[key][index]
        if how is RunEnd.DONE:
            task.done = True
            self._done(key, now)
        else:
            self._again(run, task, how, now)
        self._want_round(now)

    def _again(self, run: _Run, task: _TaskState, how: RunEnd, now: float) -> None:
        done = run.work_done(now)
        kept = done if how is RunEnd.STOPPED else SAVE_S * (done // SAVE_S)
        if run.step.checkpoints and how is not RunEnd.FAILED:
            task.left_s = max(0.01, run.left_s - kept + RESTORE_S)
            done -= kept
        if how is not RunEnd.FAILED:
            self.cost.wasted += done * run.step.needs.cpu / 1000
        if how is RunEnd.FAILED:
            task.avoid |= {run.placement.instance}
        task.waiting = True
        key, index = run.placement.key, run.placement.index
        self._scheduler.task_waits(key, PendingTask(index, "", now, task.avoid), now)

    def _done(self, key: StepKey, now: float) -> None:
        job = self._by_name[key.job]
        job.left[key.step] -= 1
        if job.left[key.step]:
            return
        self._scheduler.remove_step(key)
        del self._tasks[key]
        if key.step + 1 < len(job.steps):
            self._put(job, key.step + 1, now)
        else:
            job.done_s = now - job.came

    def _stop(self, preemption: Preemption, now: float) -> None:
        run = self._runs.get((preemption.key, preemption.index))
        if run is None or run.placement.instance != preemption.instance:
            return
        stopped = now + self._workload.delays.stop_s
        self._later(stopped, partial(self._stopped, run))

    def _stopped(self, run: _Run, now: float) -> None:
        if not run.over:
            run.over = True
            self._report(run, RunEnd.STOPPED, now, now)
