"""Cold workers: what all dispatchers together send one in any window stays within its budget of N calls of mean work
and what is left to chance, 2 x root of N + 2. Real modules in virtual time, with more jobs than the worker takes."""

import heapq
import random
from math import sqrt

import pytest

from millethead.decide import interface as api
from millethead.decide.balance import Balancer

WORK, SLOTS, BEGAN = 400.0, 8.0, 2000.0  # ms of a mean job on a warm worker, its slots, ms of its start
COLD, FROM, WINDOW = 8000.0, 0.32, 1500.0


class Day:
    """One cold worker. `skew`: ms by which lists reach dispatchers at different times; `restart`: all forget, once, at
    one moment, what they have sent; `heavy`: one job in five is ten times as long as the others; `quiet`: no job comes
    in the first so many ms."""

    def __init__(self, nodes, seed, multiple, skew=0.0, restart=False, heavy=False, quiet=-1000.0):
        self.rng, self.count, self.seed, self.multiple, self.heavy = random.Random(seed), nodes, seed, multiple, heavy
        self.due, self.seq, self.sent, self.ends, self.cost = [], 0, [], [], {}
        self.worker = self.rng.getrandbits(31)
        self.nodes = [self.node(n) for n in range(nodes)]
        for n in range(nodes):
            self.list(n, BEGAN + self.rng.random() * skew)
            at = BEGAN + quiet * self.rng.random() if quiet < 0 else BEGAN + quiet
            while at < BEGAN + COLD:
                at += self.rng.expovariate(max(2.0, 120.0 / nodes) / 1000)
                work = WORK * (0.357 if self.rng.random() < 0.8 else 3.57) if heavy else WORK
                self.cost[len(self.cost) + 1] = work
                self.later(at, n, api.JobArrived(len(self.cost), 0, 8000.0, 1.0, 0.0, 0, 0, work, False, True))
        if restart:
            at = BEGAN + self.rng.uniform(0.2, 0.7) * COLD
            for n in range(nodes):
                self.later(at, n, None)

    def node(self, n):
        settings = api.Settings(
            (api.JobClass(deadline=8000.0, aim=8000.0, stretch=2.0, effect=api.Effect.SAFE),),
            nodes=self.count,
            node=n,
            cold_time=COLD,
            cold_from=FROM,
            fall_multiple=self.multiple,
            fall_window=WINDOW,
            max_attempts=1,
            tick=5.0,
        )
        made = Balancer(settings, 1000 * self.seed + n)
        made.mean_times, made.mean_work = [WORK], WORK
        return made

    def later(self, at, n, event):
        self.seq += 1
        heapq.heappush(self.due, (at, self.seq, n, event))

    def list(self, n, at):
        self.later(at, n, api.WorkerList(api.ListForm.FULL, (api.WorkerEntry(self.worker, 0, 0, 0, started=BEGAN),)))
        self.later(at, n, api.ProbeEnded(self.worker, api.Outcome.OK, 1.0, self.report(at)))

    def report(self, at):
        self.ends = [end for end in self.ends if end > at]
        return api.Report(free_slots=max(0.0, SLOTS - len(self.ends)))

    def share(self, at):
        return FROM + (1 - FROM) * (at - BEGAN) / COLD

    def run(self):
        while self.due and self.due[0][0] < BEGAN + COLD:
            at, _, n, event = heapq.heappop(self.due)
            if event is None:
                self.nodes[n] = self.node(n)
                self.list(n, at + 1)
                continue
            if isinstance(event, api.AttemptEnded):
                event.report = self.report(at)
            for action in self.nodes[n].handle(at, event):
                if isinstance(action, api.Send):
                    work = self.cost[action.job]
                    took = work / self.share(at)
                    self.sent.append((at, work / WORK))
                    self.ends.append(at + took)
                    self.later(at + took, n, api.AttemptEnded(action.job, 0, self.worker, api.Outcome.OK, took, True))
                elif isinstance(action, api.SetTimer):
                    self.later(at + action.delay, n, api.TimerFired(action.token))
        return self

    def worst(self):
        """(by how many roots of N the heaviest window passes N, less the 2 calls; its part of N)"""
        first, work, roots, part = 0, 0.0, -99.0, 0.0
        for at, cost in self.sent:
            work += cost
            while self.sent[first][0] < at - WINDOW:
                work -= self.sent[first][1]
                first += 1
            bears = self.multiple * self.share(at) * SLOTS * WINDOW / WORK
            roots, part = max(roots, (work - bears - 2) / sqrt(bears)), max(part, work / bears)
        return roots, part

    def used(self):
        """What was sent, as a part of what the worker can do while it is cold."""
        return sum(cost for _, cost in self.sent) * WORK / (SLOTS * COLD * (FROM + 1) / 2)


@pytest.mark.parametrize("multiple", [1.5, 2.0, 2.5, 3.0, 4.0])
@pytest.mark.parametrize("nodes", [2, 3, 5, 20, 60])
def test_the_budget_holds_and_is_used(nodes, multiple):
    for seed, more in enumerate(
        (
            {},
            {"skew": 3000.0},
            {"restart": True},
            {"heavy": True},
            {"quiet": 5000.0},
            {"skew": 3000.0, "restart": True, "heavy": True},
        )
    ):
        day = Day(nodes, seed + 1, multiple, **more).run()
        roots, part = day.worst()
        assert roots <= 2, f"{more}: {part:.2f} of N"
        if not day.heavy and "quiet" not in more:  # half of what it can do: who hardly sends keeps every budget
            assert day.used() > 0.5, more


def test_the_budget_holds_for_200():
    roots, part = Day(200, 1, 3.0, skew=3000.0, restart=True).run().worst()
    assert roots <= 2, f"{part:.2f} of N"
