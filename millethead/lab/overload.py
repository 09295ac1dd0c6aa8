"""One queue under overload in virtual time, decided by the program's own scheduler: what an order within it earns.

Jobs of one to four steps come at a part of what the workers can do, and at more than that for a while. Estimates are
rough, some runs fail, data lies on racks, and a moment passes between an end and the next start.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from random import Random
from statistics import mean

from millethead.execution.messages import Resources, RunEnd
from millethead.scheduling.host_selection import REMOTE_RUNTIME_FACTOR
from millethead.scheduling.model import PendingStep, PendingTask, Placement, QueueSpec, StepKey, WorkerState
from millethead.scheduling.scheduler import Scheduler

QUEUE = QueueSpec("pricing", "tender", 1, 1.0, 2.2, 4)
CAPACITY = Resources(64_000, 131_072, 0)
STEPS = (1, 2, 2, 3, 3, 4)  # numbers of steps, one is drawn
MEAN_COUNT, MOST_COUNT = 8, 40  # tasks of a step
MEAN_TASK_S, TASK_CPU = 2.0, 2600
NEAR_SHARE = 0.4  # of the steps, whose data lies on a rack
FAILS = 0.05  # of the runs
TURNOVER_S = 0.15  # from the end of a run until its room is used again
LATE_TIMES, LATE_WORTH = 3.0, 0.1  # a job is late up to so many times its objective, and earns so much then
LEAST_WORTH, MOST_WORTH = 0.3, 4.0  # of a job, by its work against the mean
WINDOW_S, WORST_WINDOWS = 2.0, 6
PATIENCE_S = 0.01  # events so near to each other share a round
END_S = 200.0


@dataclass(frozen=True, slots=True)
class Setting:
    """`load`: part of what the workers can do that comes from `busy_from_s` to `busy_until_s`, else `calm_load`."""

    load: float
    workers: int = 4
    calm_load: float = 0.45
    length_s: float = 60.0
    busy_from_s: float = 12.0
    busy_until_s: float = 45.0


@dataclass(frozen=True, slots=True)
class Earned:
    """Parts of 1: worth earned of that owed, the same in the worst windows, jobs in time, and served of the largest
    tenth."""

    worth: float
    worst_windows: float
    in_time: float
    largest_served: float


@dataclass(frozen=True, slots=True)
class _Step:
    count: int
    takes_s: float
    estimate_s: float
    cpu: int
    rack: str

    @property
    def work(self) -> float:
        """Core-seconds."""
        return self.count * self.takes_s * self.cpu / 1000


@dataclass(slots=True)
class _Job:
    came: float
    steps: list[_Step]
    left: list[int] = field(default_factory=list)
    done_s: float = math.inf  # after it came

    @property
    def work(self) -> float:
        return sum(step.work for step in self.steps)

    @property
    def objective_s(self) -> float:
        return QUEUE.skew * sum(step.takes_s for step in self.steps) + QUEUE.target_s


@dataclass(frozen=True, slots=True, order=True)
class _Event:
    """`job`: it comes; `placement`: its run ends; neither: the scheduler wanted another look."""

    at: float
    number: int
    job: str = field(default="", compare=False)
    placement: Placement | None = field(default=None, compare=False)


class Overload:
    """One history."""

    def __init__(self, setting: Setting, seed: int) -> None:
        self._setting, self._random = setting, Random(seed)
        self._scheduler = Scheduler(Random(seed + 1))
        self._scheduler.set_queues((QUEUE,))
        for number in range(setting.workers):
            self._scheduler.put_worker(_worker(number))
        self._events: list[_Event] = []
        self._number = 0
        self._jobs = self._draw_jobs()

    def play(self) -> Earned:
        """Run it to its end."""
        while self._events and self._events[0].at < END_S:
            event = heapq.heappop(self._events)
            if event.placement is not None:
                self._ended(event.placement, event.at)
            elif event.job:
                self._put(event.job, 0, event.at)
            alone = not self._events or self._events[0].at > event.at + PATIENCE_S
            if alone or not (event.job or event.placement):
                self._round(event.at)
        return self._earned()

    # ---- jobs ------------------------------------------------------------------------------------------------------

    def _draw_jobs(self) -> dict[str, _Job]:
        setting, random, jobs, at = self._setting, self._random, dict[str, _Job](), 0.0
        mean_work = mean(STEPS) * MEAN_COUNT * MEAN_TASK_S * TASK_CPU / 1000
        full = setting.workers * CAPACITY.cpu / 1000 / mean_work  # jobs a second that the workers can do
        while at < setting.length_s:
            busy = setting.busy_from_s < at < setting.busy_until_s
            at += random.expovariate(full * (setting.load if busy else setting.calm_load))
            steps = [self._draw_step() for _ in range(random.choice(STEPS))]
            name = f"j{len(jobs)}"
            jobs[name] = _Job(at, steps, [step.count for step in steps])
            self._later(at, job=name)
        return jobs

    def _draw_step(self) -> _Step:
        random = self._random
        count = max(1, min(MOST_COUNT, int(random.expovariate(1 / MEAN_COUNT)) + 1))
        takes_s = MEAN_TASK_S * random.lognormvariate(-0.05, 0.3)
        cpu = int(TASK_CPU * random.uniform(0.5, 1.5))
        rack = f"r{random.randrange(self._setting.workers // 2)}" if random.random() < NEAR_SHARE else ""
        return _Step(count, takes_s, takes_s * random.lognormvariate(0.0, 0.2), cpu, rack)

    def _put(self, name: str, number: int, now: float) -> None:
        job = self._jobs[name]
        step = job.steps[number]
        estimate = sum(other.estimate_s for other in job.steps)
        self._scheduler.put_step(
            PendingStep(
                StepKey(name, 0, number),
                QUEUE.name,
                QUEUE.service,
                Resources(step.cpu, 1024, 0),
                step.count,
                step.estimate_s,
                False,
                False,
                "",
                step.rack,
                0,
                False,
                False,
                False,
                job.came + QUEUE.skew * estimate + QUEUE.target_s,
                {index: PendingTask(index, "", now) for index in range(step.count)},
                tail_s=sum(other.estimate_s for other in job.steps[number + 1 :]),
                work_left=sum(other.count * other.estimate_s * other.cpu / 1000 for other in job.steps[number:]),
            )
        )

    # ---- runs ------------------------------------------------------------------------------------------------------

    def _round(self, now: float) -> None:
        decision = self._scheduler.schedule(now)
        for placement in decision.placements:
            step = self._jobs[placement.key.job].steps[placement.key.step]
            far = step.rack and step.rack != _rack(int(placement.instance[1:]))
            self._later(now + step.takes_s * (REMOTE_RUNTIME_FACTOR if far else 1.0) + TURNOVER_S, placement=placement)
        if decision.next_round_at is not None:
            self._later(decision.next_round_at + 1e-6)

    def _ended(self, placement: Placement, now: float) -> None:
        key, index, instance = placement.key, placement.index, placement.instance
        failed = self._random.random() < FAILS
        self._scheduler.run_ended(key, index, instance, 1, RunEnd.FAILED if failed else RunEnd.DONE, now)
        if failed:
            self._scheduler.task_waits(key, PendingTask(index, "", now, frozenset((instance,))), now)
            return
        job = self._jobs[key.job]
        job.left[key.step] -= 1
        if job.left[key.step]:
            return
        self._scheduler.remove_step(key)
        if key.step + 1 < len(job.steps):
            self._put(key.job, key.step + 1, now)
        else:
            job.done_s = now - job.came

    def _later(self, at: float, job: str = "", placement: Placement | None = None) -> None:
        self._number += 1
        heapq.heappush(self._events, _Event(at, self._number, job, placement))

    # ---- worth -----------------------------------------------------------------------------------------------------

    def _earned(self) -> Earned:
        jobs = list(self._jobs.values())
        mean_work = mean(job.work for job in jobs)
        large = sorted(job.work for job in jobs)[int(0.9 * len(jobs))]
        windows: dict[int, list[tuple[float, float]]] = {}
        for job in jobs:
            owed = min(MOST_WORTH, LEAST_WORTH + (1 - LEAST_WORTH) * job.work / mean_work)
            windows.setdefault(int(job.came / WINDOW_S), []).append((owed * _part(job), owed))
        shares = sorted(_ratio(window) for window in windows.values())
        everything = [entry for window in windows.values() for entry in window]
        largest = [job for job in jobs if job.work >= large]
        return Earned(
            _ratio(everything),
            mean(shares[:WORST_WINDOWS]),
            mean(job.done_s <= job.objective_s for job in jobs),
            mean(_part(job) > 0.0 for job in largest),
        )


def _ratio(entries: list[tuple[float, float]]) -> float:
    """Worth earned of that owed."""
    return sum(earned for earned, _ in entries) / sum(owed for _, owed in entries)


def _part(job: _Job) -> float:
    """What a job earns of its worth."""
    if job.done_s <= job.objective_s:
        return 1.0
    return LATE_WORTH if job.done_s <= LATE_TIMES * job.objective_s else 0.0


def _rack(worker: int) -> str:
    return f"r{worker // 2}"


def _worker(number: int) -> WorkerState:
    rack = _rack(number)
    return WorkerState(
        f"w{number}",
        f"n{number}",
        QUEUE.service,
        CAPACITY,
        Resources(0, 0, 0),
        frozenset((rack,)),
        rack,
        False,
        None,
        True,
    )
