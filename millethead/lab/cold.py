"""Cold workers under many dispatchers in virtual time: real decision modules and membership, faults between members.

Each dispatcher has more jobs than the workers can take, so that only the rule on cold workers holds it back. What all
of them together start at one cold worker within a window is held against what it bears (DESIGN: `fall_multiple` times
what it can do in that window).
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace

from millethead.decide import interface as api
from millethead.decide.balance import Balancer
from millethead.lab.world import STEP, World
from millethead.members.peers import SwimSettings
from millethead.members.share import UNITS

WORK = 400.0  # ms that a job runs
SLOTS = 8.0  # of a worker
SETTINGS = api.Settings(
    (api.JobClass(deadline=8000.0, aim=2000.0, stretch=2.0, effect=api.Effect.SAFE),),
    cold_time=8000.0,
    cold_from=0.32,
    fall_multiple=3.0,
    fall_window=1500.0,
    max_attempts=1,
    tick=5.0,
)
MODES = ("shares", "view", "roster")


@dataclass(slots=True)
class Load:
    """The heaviest window at one worker, as a part of what it bears there, and all that was started."""

    worst: float
    started: int


class ColdDay:
    """`mode`: what a dispatcher takes for its part of a cold worker: `shares` of membership, one of the fleet in its
    present `view`, or one of a `roster` that names all who ever were (the static count)."""

    def __init__(self, dispatchers: int, mode: str, seed: int, workers: int = 4, rate: float = 40.0) -> None:
        self.mode, self.rate, self.count = mode, rate, dispatchers
        self.world = World(dispatchers, seed, SwimSettings(window_s=6.0, lease_s=2.0, stewards=("d0", "d1", "d2")))
        self.nodes = {name: Balancer(SETTINGS, seed + n) for n, name in enumerate(self.world.members)}
        self.workers, self.jobs = workers, 0
        self.starts: list[tuple[float, int, float]] = []  # (ms, worker, the worker's start)
        self._began = dict.fromkeys(range(1, workers + 1), 0.0)
        self._due: list[tuple[float, int, str, api.Event]] = []
        self._seq = 0

    def restart_workers(self) -> None:
        """All come back cold now, and every dispatcher hears of it."""
        now = self.world.now * 1000
        self._began = dict.fromkeys(self._began, now)
        lines = tuple(api.WorkerEntry(w, 0, 0, w, started=now) for w in self._began)
        for name in self.nodes:
            self._give(name, now, api.WorkerList(api.ListForm.FULL, lines))
            for w in self._began:  # it shows what an empty worker shows: it is the rule that must hold back
                self._give(name, now, api.ProbeEnded(w, api.Outcome.OK, 1.0, api.Report(free_slots=SLOTS)))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.world.run(STEP)
            now, end = self.world.now * 1000 - STEP * 1000, self.world.now * 1000
            for name, node in self.nodes.items():
                if name in self.world.killed | self.world.paused:
                    continue
                self._place(name, node)
                for _ in range(round(self.rate * STEP)):
                    self.jobs += 1
                    self._later(
                        now + self.world.rng.random() * STEP * 1000,
                        name,
                        api.JobArrived(self.jobs, 0, 8000.0, 1.0, 0.0, 0, 0, WORK, False, True),
                    )
            while self._due and self._due[0][0] <= end:
                at, _, name, event = heapq.heappop(self._due)
                if name not in self.world.killed:
                    self._give(name, at, event)

    def _place(self, name: str, node: Balancer) -> None:
        member, names = self.world.members[name], sorted(self.world.members)
        if self.mode == "shares":
            clock = self.world.clock(name)
            left = member.share.earliest_expiry(clock) - clock
            here = sorted([name, *member.peer_names()])
            fleet = member.share.fleet_size
            settings = replace(
                SETTINGS,
                share=member.usable_units(clock) / UNITS,
                nodes=fleet,
                node=here.index(name) % fleet,
                share_until=(self.world.now + left) * 1000,
            )
        elif self.mode == "view":
            here = sorted([name, *member.peer_names()])
            settings = replace(SETTINGS, nodes=len(here), node=here.index(name))
        else:
            settings = replace(SETTINGS, nodes=len(names), node=names.index(name))
        if settings != node.settings:
            node.reconfigure(settings)

    def _later(self, at: float, name: str, event: api.Event) -> None:
        self._seq += 1
        heapq.heappush(self._due, (at, self._seq, name, event))

    def _give(self, name: str, now: float, event: api.Event) -> None:
        for action in self.nodes[name].handle(now, event):
            if isinstance(action, api.Send):
                self.starts.append((now, action.worker, self._began[action.worker]))
                self._later(
                    now + WORK,
                    name,
                    api.AttemptEnded(
                        action.job, 0, action.worker, api.Outcome.OK, WORK, True, api.Report(free_slots=SLOTS)
                    ),
                )
            elif isinstance(action, api.SetTimer):
                self._later(now + action.delay, name, api.TimerFired(action.token))

    def load(self) -> Load:
        """What cold workers were made to bear."""
        s, worst = SETTINGS, 0.0
        by_worker: dict[tuple[int, float], list[float]] = {}
        for at, worker, began in self.starts:
            if began and at < began + s.cold_time:
                by_worker.setdefault((worker, began), []).append(at)
        for (_, began), times in by_worker.items():
            times.sort()
            first = 0
            for n, at in enumerate(times):
                while times[first] < at - s.fall_window:
                    first += 1
                share = s.cold_from + (1 - s.cold_from) * (at - began) / s.cold_time
                worst = max(worst, (n - first + 1) * WORK / (s.fall_multiple * share * SLOTS * s.fall_window))
        return Load(worst, len(self.starts))
