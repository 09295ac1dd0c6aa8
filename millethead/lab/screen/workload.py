"""A deployment's workload by figures: workers, kinds of requests, delays, and troubles at set times.

It is read from a TOML file (`benchmarks/decisions/workloads/`). Times are seconds, cores are thousandths of a core.
"""

from __future__ import annotations

from math import log
from pathlib import Path
from random import Random
from typing import Literal

import msgspec


class Spread(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A quantity with a lognormal distribution: its mean, the standard deviation of its logarithm, and a bound."""

    mean: float
    spread: float = 0.0
    most: float = float("inf")

    def draw(self, random: Random) -> float:
        """One value."""
        if not self.spread:
            return min(self.most, self.mean)
        middle = log(self.mean) - self.spread**2 / 2
        return min(self.most, random.lognormvariate(middle, self.spread))


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request: a queue with its objective, and what its jobs are made of.

    `uneven`: spread of the times of one step's tasks; `estimate_off`: of the estimate against the mean task.
    `near_share`: steps whose data lies on a rack; `label_share`: steps that require a worker's label. `fail_share`:
    runs that fail by themselves. `checkpoint_share`: steps whose work survives a stop.
    """

    name: str
    per_s: float
    priority: int
    target_s: float
    skew: float
    worth: float
    late_worth: float
    steps: Spread
    width: Spread
    cpu: Spread
    mem_mb: Spread
    task_s: Spread
    uneven: float = 0.2
    estimate_off: float = 0.3
    near_share: float = 0.0
    label_share: float = 0.0
    fail_share: float = 0.0
    checkpoint_share: float = 0.0


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The workers. Sizes, speeds and labels go round from worker to worker; `racks` are filled one by one."""

    workers: int
    cpu: int
    mem_mb: int
    sizes: tuple[float, ...] = (1.0,)
    speeds: tuple[float, ...] = (1.0,)
    labels: tuple[str, ...] = ("a",)
    per_rack: int = 8
    far_times: float = 1.5


class Delays(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`start_s` from a placement until its run begins; `end_s` from a look at a worker until the end is committed;
    `stop_s` until a run that is to be stopped is gone."""

    start_s: float = 0.03
    end_s: float = 0.03
    stop_s: float = 0.3


class Trouble(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that happens from `at` for `for_s`.

    `burst`: `x` times the requests of `kind_of_request`; `failing`: a share of the workers fails each run with the
    chance `x`; `cut`: a share of the workers is not reached, and runs on; `lost`: a share of the workers dies;
    `headless`: nothing is decided; `hot_rack`: the share of the steps with data that wants one and the same rack;
    `slow`: a share of the workers takes `x` times as long.
    """

    kind: Literal["burst", "failing", "cut", "lost", "headless", "hot_rack", "slow"]
    at: float
    for_s: float
    share: float = 0.0
    x: float = 1.0
    kind_of_request: str = ""

    def bursts(self, kind: RequestKind) -> bool:
        """Whether it brings more requests of a kind."""
        return self.kind == "burst" and self.kind_of_request in ("", kind.name)

    def covers(self, now: float) -> bool:
        """Whether it is under way."""
        return self.at <= now < self.at + self.for_s


class Goal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the parts of the worth."""

    whole: float = 0.5
    worst_kind: float = 0.3
    worst_windows: float = 0.2


class Workload(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All figures of one deployment. `swing` and `period_s`: the wave of the traffic."""

    name: str
    fleet: Fleet
    kinds: tuple[RequestKind, ...]
    length_s: float = 34.0
    swing: float = 0.0
    period_s: float = 11.0
    delays: Delays = Delays()
    goal: Goal = Goal()
    troubles: tuple[Trouble, ...] = ()


def read_workload(path: Path) -> Workload:
    """The workload of a file; raises msgspec.ValidationError with the place of what is wrong."""
    return msgspec.toml.decode(path.read_bytes(), type=Workload)
