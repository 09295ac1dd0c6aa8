"""Jobs of the emulated system, drawn by a seed: steps of every kind, and how their tasks fare at a worker."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field
from random import Random
from typing import Any

from millethead.execution.messages import Resources
from millethead.lab.system_clock import true_wall_ms

FAR_X = 1.5
RACKS = ("r1-1", "r1-2")
KINDS = ("a", "b")


@dataclass(slots=True)
class StepPlan:
    """One step as it is handed in, and as its tasks fare: `seconds` of work, `fail_share` of its runs fail."""

    count: int
    needs: Resources
    seconds: float
    deps: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    idempotent: bool = False
    long_running: bool = False
    fail_share: float = 0.0

    def described(self) -> dict[str, Any]:
        """As the client sends it: what is 0, false or empty is left out."""
        values = {
            "count": self.count,
            "cpu": self.needs.cpu,
            "mem_mb": self.needs.mem_mb,
            "gpu": self.needs.gpu,
            "estimate_ms": int(self.seconds * 1000) if self.seconds < math.inf else 1000,
            "deps": list(self.deps),
            "checkpoints": self.checkpoints,
            "gang": self.gang,
            "same_rack": self.same_rack,
            "requires": self.requires,
            "affinity": self.affinity,
            "anti_affinity": self.anti_affinity,
            "idempotent": self.idempotent,
            "long_running": self.long_running,
        }
        return {name: value for name, value in values.items() if value}


@dataclass(slots=True)
class JobPlan:
    """A job of a client. `repeats` 0: it runs once. `delay_ms`: the true time of day of its first time."""

    name: str
    queue: str
    spec: str
    steps: list[StepPlan] = field(default_factory=list)
    repeats: int = 0
    delay_ms: int = 0
    interval_ms: int = 0

    @property
    def lasting(self) -> bool:
        """Whether a step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def times(self) -> int:
        """How often its steps run."""
        return max(1, self.repeats)

    def due_ms(self, time: int) -> float:
        """The time of day at which one of its times falls due."""
        return self.delay_ms + time * self.interval_ms if self.repeats else 0.0

    def body(self) -> bytes:
        """What the client sends."""
        document: dict[str, Any] = {"spec": self.spec, "steps": [step.described() for step in self.steps]}
        if self.repeats:
            document |= {"repeats": self.repeats, "delay_ms": self.delay_ms, "interval_ms": self.interval_ms}
        return json.dumps(document).encode()


class JobMaker:
    """Draws jobs. `most`: what the smallest worker has; `poison`: the share of jobs of which no run ends well;
    `work_x`: factor of all work."""

    def __init__(self, random: Random, most: Resources, poison: float, work_x: float) -> None:
        self._random, self._most, self._poison, self._work_x = random, most, poison, work_x
        self._count = 0

    def draw(self, queue: str, at: float, size: int = 1) -> JobPlan:
        """A job for a queue, `size` times as wide as usual."""
        random = self._random
        self._count += 1
        name = f"{random.getrandbits(48):012x}{self._count:04x}"
        job = JobPlan(name, queue, f"spec of {name}")
        kind = random.random()
        if kind < 0.12:
            job.steps = [self._lasting()]
        elif kind < 0.35:
            job.steps = [self._gang() for _ in range(random.choice((1, 1, 2)))]
        else:
            job.steps = [self._plain(size) for _ in range(random.choice((1, 1, 2, 3)))]
        self._link(job)
        if size == 1 and not job.lasting and random.random() < 0.15:
            self._repeat(job, at)
        if random.random() < self._poison:
            random.choice(job.steps).fail_share = 1.0
        elif random.random() < 0.05:
            self._make_hopeless(job)
        return job

    def _link(self, job: JobPlan) -> None:
        for number, step in enumerate(job.steps):
            if number and self._random.random() < 0.7:
                step.deps = tuple(sorted(self._random.sample(range(number), self._random.randint(1, number))))

    def _repeat(self, job: JobPlan, at: float) -> None:
        job.repeats = self._random.randint(2, 5)
        job.delay_ms = int(true_wall_ms(at + self._random.uniform(-2, 6)))
        job.interval_ms = self._random.randint(300, 5000)

    def _needs(self, share: float) -> Resources:
        """A part of the smallest worker at most."""
        random = self._random
        gpu = random.randint(1, max(1, int(self._most.gpu * share))) if random.random() < 0.2 else 0
        return Resources(
            int(self._most.cpu * random.uniform(0.05, share)), int(self._most.mem_mb * random.uniform(0.02, share)), gpu
        )

    def _seconds(self) -> float:
        return self._random.choice((0.2, 0.5, 1.0, 2.0, 4.0, 7.0)) * self._random.uniform(0.7, 1.3) * self._work_x

    def _plain(self, size: int) -> StepPlan:
        random = self._random
        step = StepPlan(
            random.choice((1, 1, 2, 3, 6)) * size,
            self._needs(0.5 if size == 1 else 0.2),
            self._seconds(),
            checkpoints=random.random() < 0.4,
            idempotent=random.random() < 0.2,
        )
        if random.random() < 0.15:
            step.requires = random.choice(KINDS)
        if random.random() < 0.2:
            step.affinity = random.choice(RACKS)
        if size == 1 and random.random() < 0.2:
            step.anti_affinity = random.choice((1, 2))
        if random.random() < 0.2:
            step.fail_share = random.choice((0.1, 0.3))
        return step

    def _gang(self) -> StepPlan:
        random = self._random
        return StepPlan(
            random.randint(2, 4),
            self._needs(0.4),
            self._seconds(),
            checkpoints=random.random() < 0.5,
            gang=True,
            same_rack=random.random() < 0.3,
            anti_affinity=random.choice((0, 0, 0, 2)),
            fail_share=random.choice((0, 0, 0, 0.1)),
        )

    def _lasting(self) -> StepPlan:
        random = self._random
        seconds = random.choice((math.inf, math.inf, random.uniform(0.3, 2), random.uniform(3, 15)))
        return StepPlan(
            random.randint(1, 2),
            self._needs(0.15),
            seconds,
            long_running=True,
            checkpoints=random.random() < 0.2,
            fail_share=random.choice((0.5, 1.0)),
        )

    def _make_hopeless(self, job: JobPlan) -> None:
        step = job.steps[0]
        if self._random.random() < 0.5:
            step.requires = "nowhere"
        else:
            step.needs = Resources(self._most.cpu * 4, step.needs.mem_mb, step.needs.gpu)
