"""What a played day has earned: by parts, by kind and by cause, as the operators' bench weighs it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import mean

from millethead.lab.screen.jobs import LEAST_WORTH, MOST_WORTH, JobPlan
from millethead.lab.screen.workload import Workload

WINDOW_S, WORST_WINDOWS = 4.0, 2
LEAST_SHARE = 0.05  # of the requests, from which a kind counts among the worst
LARGEST_SHARE, LARGE_SHARE = 0.1, 0.3  # the largest tenth of a kind, and the fifth beneath it


@dataclass(frozen=True, slots=True)
class Earned:
    """Parts of 1: worth earned of what was owed. `kinds`: by kind of request."""

    worth: float
    whole: float
    worst_kind: float
    worst_windows: float
    kinds: dict[str, float]


@dataclass(frozen=True, slots=True)
class _Entry:
    job: JobPlan
    owed: float

    @property
    def earned(self) -> float:
        return self.owed * self.job.part()


def judge(workload: Workload, jobs: list[JobPlan]) -> Earned:
    """Weigh a day."""
    entries = [entry for kind in workload.kinds for entry in _entries([job for job in jobs if job.kind is kind])]
    kinds = {kind.name: _ratio(entry for entry in entries if entry.job.kind is kind) for kind in workload.kinds}
    whole, goal = _ratio(entries), workload.goal
    worst_kind = min(_class_ratios(workload, entries), default=whole)
    windows = _worst_windows(entries)
    worth = goal.whole * whole + goal.worst_kind * worst_kind + goal.worst_windows * windows
    return Earned(worth, whole, worst_kind, windows, kinds)


def _entries(jobs: list[JobPlan]) -> list[_Entry]:
    """The jobs of one kind with what each is owed."""
    if not jobs:
        return []
    mean_work = mean(job.work for job in jobs)
    worth = jobs[0].kind.worth
    return [
        _Entry(job, worth * min(MOST_WORTH, LEAST_WORTH + (1.0 - LEAST_WORTH) * job.work / mean_work)) for job in jobs
    ]


def _class_ratios(workload: Workload, entries: list[_Entry]) -> Iterable[float]:
    """Of each kind with enough requests, and of its large jobs."""
    for kind in workload.kinds:
        own = sorted((entry for entry in entries if entry.job.kind is kind), key=lambda entry: -entry.job.work)
        if len(own) < LEAST_SHARE * len(entries):
            continue
        largest, large = int(LARGEST_SHARE * len(own)), int(LARGE_SHARE * len(own))
        for part in (own, own[:largest], own[largest:large]):
            if part:
                yield _ratio(part)


def _worst_windows(entries: list[_Entry]) -> float:
    windows: dict[int, list[_Entry]] = {}
    for entry in entries:
        windows.setdefault(int(entry.job.came / WINDOW_S), []).append(entry)
    return mean(sorted(_ratio(window) for window in windows.values())[:WORST_WINDOWS])


def _ratio(entries: Iterable[_Entry]) -> float:
    listed = list(entries)
    owed = sum(entry.owed for entry in listed)
    return sum(entry.earned for entry in listed) / owed if owed else 1.0
