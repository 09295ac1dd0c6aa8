"""The budget of a cold worker: in any window all dispatchers together send it at most N jobs of mean work, plus
2 * sqrt(N) + 2 for chance. Real decision modules in virtual time, with more jobs than the worker can run."""

import heapq
import random
from math import sqrt

import pytest

from millethead.decide import interface as api
from millethead.decide.balance import Balancer

MEAN_WORK_MS, SLOTS = 400.0, 8.0  # of a mean job on a warm worker; of the worker
STARTED_MS, COLD_TIME_MS, COLD_FROM, WINDOW_MS = 2000.0, 8000.0, 0.32, 1500.0


class ColdStart:
    """Simulation of one cold worker and its dispatchers. `skew`: ms over which the worker list reaches the dispatchers;
    `restart`: all dispatchers restart at one moment and lose their state; `heavy`: one job in five is ten times as long
    as the others; `arrival_delay`: ms from the start of the worker until jobs begin to arrive; if it is negative, jobs
    begin to arrive at a random time within that many ms before the start."""

    def __init__(self, nodes, seed, multiple, skew=0.0, restart=False, heavy=False, arrival_delay=-1000.0):
        self.rng, self.count, self.seed, self.multiple, self.heavy = random.Random(seed), nodes, seed, multiple, heavy
        self.due, self.sequence, self.sent, self.running_until, self.work = [], 0, [], [], {}
        self.worker = self.rng.getrandbits(31)
        self.nodes = [self.make_node(n) for n in range(nodes)]
        for n in range(nodes):
            self.deliver_list(n, STARTED_MS + self.rng.random() * skew)
            at = STARTED_MS + arrival_delay * self.rng.random() if arrival_delay < 0 else STARTED_MS + arrival_delay
            while at < STARTED_MS + COLD_TIME_MS:
                at += self.rng.expovariate(max(2.0, 120.0 / nodes) / 1000)
                work = MEAN_WORK_MS * (0.357 if self.rng.random() < 0.8 else 3.57) if heavy else MEAN_WORK_MS
                self.work[len(self.work) + 1] = work
                self.schedule(at, n, api.JobArrived(len(self.work), 0, 8000.0, 1.0, 0.0, 0, 0, work, False, True))
        if restart:
            at = STARTED_MS + self.rng.uniform(0.2, 0.7) * COLD_TIME_MS
            for n in range(nodes):
                self.schedule(at, n, None)

    def make_node(self, n):
        settings = api.Settings(
            (api.JobClass(deadline=8000.0, aim=8000.0, stretch=2.0, effect=api.Effect.SAFE),),
            nodes=self.count,
            node=n,
            cold_time=COLD_TIME_MS,
            cold_from=COLD_FROM,
            fall_multiple=self.multiple,
            fall_window=WINDOW_MS,
            max_attempts=1,
            tick=5.0,
        )
        node = Balancer(settings, 1000 * self.seed + n)
        node.mean_times, node.mean_work = [MEAN_WORK_MS], MEAN_WORK_MS
        return node

    def schedule(self, at, n, event):
        """Pass the event to node `n` at a time; None restarts the node."""
        self.sequence += 1
        heapq.heappush(self.due, (at, self.sequence, n, event))

    def deliver_list(self, n, at):
        entry = api.WorkerEntry(self.worker, 0, 0, 0, started=STARTED_MS)
        self.schedule(at, n, api.WorkerList(api.ListForm.FULL, (entry,)))
        self.schedule(at, n, api.ProbeEnded(self.worker, api.Outcome.OK, 1.0, self.report(at)))

    def report(self, at):
        self.running_until = [end for end in self.running_until if end > at]
        return api.Report(free_slots=max(0.0, SLOTS - len(self.running_until)))

    def speed(self, at):
        """Speed of the worker relative to a warm one."""
        return COLD_FROM + (1 - COLD_FROM) * (at - STARTED_MS) / COLD_TIME_MS

    def run(self):
        while self.due and self.due[0][0] < STARTED_MS + COLD_TIME_MS:
            at, _, n, event = heapq.heappop(self.due)
            if event is None:
                self.nodes[n] = self.make_node(n)
                self.deliver_list(n, at + 1)
                continue
            if isinstance(event, api.AttemptEnded):
                event.report = self.report(at)
            for action in self.nodes[n].handle(at, event):
                if isinstance(action, api.Send):
                    work = self.work[action.job]
                    elapsed = work / self.speed(at)
                    self.sent.append((at, work / MEAN_WORK_MS))
                    self.running_until.append(at + elapsed)
                    ended = api.AttemptEnded(action.job, 0, self.worker, api.Outcome.OK, elapsed, True)
                    self.schedule(at + elapsed, n, ended)
                elif isinstance(action, api.SetTimer):
                    self.schedule(at + action.delay, n, api.TimerFired(action.token))
        return self

    def heaviest_window(self):
        """(largest excess over the budget N + 2, in units of sqrt(N); largest work in a window relative to N)"""
        first, work, excess, ratio = 0, 0.0, -99.0, 0.0
        for at, jobs in self.sent:
            work += jobs
            while self.sent[first][0] < at - WINDOW_MS:
                work -= self.sent[first][1]
                first += 1
            budget = self.multiple * self.speed(at) * SLOTS * WINDOW_MS / MEAN_WORK_MS
            excess, ratio = max(excess, (work - budget - 2) / sqrt(budget)), max(ratio, work / budget)
        return excess, ratio

    def utilization(self):
        """The work sent, relative to what the worker can do while it is cold."""
        return sum(jobs for _, jobs in self.sent) * MEAN_WORK_MS / (SLOTS * COLD_TIME_MS * (COLD_FROM + 1) / 2)


@pytest.mark.parametrize("multiple", [1.5, 2.0, 2.5, 3.0, 4.0])
@pytest.mark.parametrize("nodes", [2, 3, 5, 20, 60])
def test_the_budget_holds_and_is_used(nodes, multiple):
    for seed, options in enumerate(
        (
            {},
            {"skew": 3000.0},
            {"restart": True},
            {"heavy": True},
            {"arrival_delay": 5000.0},
            {"skew": 3000.0, "restart": True, "heavy": True},
        )
    ):
        cold_start = ColdStart(nodes, seed + 1, multiple, **options).run()
        excess, ratio = cold_start.heaviest_window()
        assert excess <= 2, f"{options}: {ratio:.2f} of N"
        # With delayed arrivals, low utilization is allowed: a dispatcher that sends almost nothing keeps any budget.
        if not cold_start.heavy and "arrival_delay" not in options:
            assert cold_start.utilization() > 0.5, options


def test_the_budget_holds_for_200_nodes():
    excess, ratio = ColdStart(200, 1, 3.0, skew=3000.0, restart=True).run().heaviest_window()
    assert excess <= 2, f"{ratio:.2f} of N"
