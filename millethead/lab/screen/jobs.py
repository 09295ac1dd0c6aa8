"""The jobs of a day, drawn from a workload by a seed, and what each of them is owed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf, pi, sin
from random import Random

from millethead.execution.messages import Resources
from millethead.lab.screen.workload import Fleet, RequestKind, Workload
from millethead.scheduling.placement import core_equivalents

LEAST_WORTH, MOST_WORTH = 0.3, 4.0  # of a job of its kind, by its work against the mean
WAVE_SHARE = 0.25  # part of all room from which on a step is done in waves


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """One task: its time on a worker of speed 1 near its data, and whether its first run fails."""

    takes_s: float
    fails: bool


@dataclass(frozen=True, slots=True)
class StepPlan:
    """One step; steps come one after the other."""

    tasks: tuple[TaskPlan, ...]
    needs: Resources
    estimate_s: float
    rack: str
    label: str
    checkpoints: bool

    @property
    def longest_s(self) -> float:
        """The longest task."""
        return max(task.takes_s for task in self.tasks)

    @property
    def work(self) -> float:
        """Core-seconds."""
        return sum(task.takes_s for task in self.tasks) * core_equivalents(self.needs)

    def waves(self, capacity: Resources) -> int:
        """How many waves of the step fit into a quarter of the room."""
        wanted = len(self.tasks) * self.needs.cpu
        return max(1, -(-wanted // max(1, int(WAVE_SHARE * capacity.cpu))))


@dataclass(slots=True)
class JobPlan:
    """One job. `done_s`: after it came."""

    name: str
    kind: RequestKind
    came: float
    steps: tuple[StepPlan, ...]
    objective_s: float
    done_s: float = inf
    left: list[int] = field(default_factory=list)

    @property
    def work(self) -> float:
        """Core-seconds of all steps."""
        return sum(step.work for step in self.steps)

    @property
    def estimated_objective_s(self) -> float:
        """The objective as the system knows it."""
        return self.kind.target_s + self.kind.skew * sum(step.estimate_s for step in self.steps)

    def part(self) -> float:
        """What it earns of its worth."""
        if self.done_s <= self.objective_s:
            return 1.0
        return self.kind.late_worth if self.done_s <= 3.0 * self.objective_s else 0.0


def draw_jobs(workload: Workload, seed: int) -> list[JobPlan]:
    """All jobs of a day in the order in which they come."""
    jobs = [job for kind in workload.kinds for job in _draw_kind(workload, kind, Random(f"{seed} {kind.name}"))]
    return sorted(jobs, key=lambda job: job.came)


def _draw_kind(workload: Workload, kind: RequestKind, random: Random) -> Iterator[JobPlan]:
    at, number = 0.0, 0
    bursts = [trouble for trouble in workload.troubles if trouble.bursts(kind)]
    peak = kind.per_s * (1.0 + workload.swing) * max((trouble.x for trouble in bursts), default=1.0)
    while True:
        at += random.expovariate(peak)
        if at >= workload.length_s:
            return
        rate = kind.per_s * (1.0 + workload.swing * sin(2.0 * pi * at / workload.period_s))
        rate *= max((trouble.x for trouble in bursts if trouble.covers(at)), default=1.0)
        if random.random() * peak < rate:
            yield _draw_job(workload, kind, f"{kind.name}-{number}", at, random)
            number += 1


def _draw_job(workload: Workload, kind: RequestKind, name: str, at: float, random: Random) -> JobPlan:
    count = max(1, round(kind.steps.draw(random)))
    steps = tuple(_draw_step(workload, kind, at, random) for _ in range(count))
    capacity = total_capacity(workload.fleet)
    chain = sum(step.longest_s * step.waves(capacity) for step in steps)
    objective_s = kind.target_s + kind.skew * chain
    return JobPlan(name, kind, at, steps, objective_s, left=[len(step.tasks) for step in steps])


def _draw_step(workload: Workload, kind: RequestKind, at: float, random: Random) -> StepPlan:
    width = max(1, round(kind.width.draw(random)))
    mean_s = kind.task_s.draw(random)
    near, label = random.random() < kind.near_share, random.random() < kind.label_share
    tasks = tuple(
        TaskPlan(mean_s * uneven_factor(kind.uneven, random), random.random() < kind.fail_share) for _ in range(width)
    )
    return StepPlan(
        tasks,
        Resources(int(kind.cpu.draw(random)), int(kind.mem_mb.draw(random)), 0),
        mean_s * random.lognormvariate(0.0, kind.estimate_off),
        _draw_rack(workload, at, random) if near else "",
        random.choice(workload.fleet.labels) if label else "",
        random.random() < kind.checkpoint_share,
    )


def uneven_factor(spread: float, random: Random) -> float:
    """A factor round 1."""
    return random.lognormvariate(-(spread**2) / 2, spread)


def _draw_rack(workload: Workload, at: float, random: Random) -> str:
    hot = next((trouble for trouble in workload.troubles if trouble.kind == "hot_rack" and trouble.covers(at)), None)
    if hot is not None and random.random() < hot.share:
        return rack_of(workload.fleet, 0)
    return rack_of(workload.fleet, random.randrange(workload.fleet.workers))


def rack_of(fleet: Fleet, number: int) -> str:
    """The rack of a worker."""
    return f"r-{number // fleet.per_rack}"


def capacity_of(fleet: Fleet, number: int) -> Resources:
    """The room of a worker."""
    size = fleet.sizes[number % len(fleet.sizes)]
    return Resources(int(size * fleet.cpu), int(size * fleet.mem_mb), 0)


def total_capacity(fleet: Fleet) -> Resources:
    """Of all workers together."""
    capacities = [capacity_of(fleet, number) for number in range(fleet.workers)]
    return Resources(sum(room.cpu for room in capacities), sum(room.mem_mb for room in capacities), 0)
