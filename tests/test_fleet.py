"""Interaction of many nodes: 40 instances of the decision module and a model of 60 workers in virtual time."""

import sys
from collections import Counter, deque
from dataclasses import replace
from unittest import mock

import numpy as np

from millethead.decide import balance, picking
from millethead.decide import interface as api
from millethead.lab.clock import VirtualClock

NODES, WORKERS, SLOTS = 40, 60, 2
REPORT_LAG_MS, MEAN_WORK_MS = 400.0, 1000.0
SETTINGS = api.Settings(
    classes=(api.JobClass(deadline=15_000, aim=600, stretch=2.0, effect=api.Effect.UNSAFE),),
    nodes=NODES,
    may_probe=True,
    reports_in_probes=True,
)


class SimulatedWorker:
    """A worker with two slots and a queue. Probes get a report that is up to REPORT_LAG_MS old."""

    def __init__(self, clock):
        self.clock, self.running, self.queue = clock, 0, deque()
        self.published = self.latest = api.Report(free_slots=2.0, held=0.0)

    def make_report(self):
        held = self.running + len(self.queue)
        self.published, self.latest = (
            self.latest,
            api.Report(free_slots=SLOTS - self.running + 1e-6 * self.clock.now() % 1e-3, held=float(held)),
        )
        self.clock.later(REPORT_LAG_MS / 2, self.make_report)


class Simulation:
    """All nodes and workers, with 1500 jobs at `rate` per second; the first `cold` workers have just started."""

    def __init__(self, seed, rate, cold=0):
        self.clock, self.rng = VirtualClock(), np.random.default_rng(seed)
        self.started_at = self.clock.now()
        entries = tuple(
            api.WorkerEntry(7919 * n + 1, zone=n % 2, started=self.clock.now() if n < cold else 0.0)
            for n in range(WORKERS)
        )
        self.workers = {entry.worker: SimulatedWorker(self.clock) for entry in entries}
        self.nodes, self.waits, self.sends = [], [], []
        for worker in self.workers.values():
            self.clock.later(self.rng.random() * REPORT_LAG_MS, worker.make_report)
        for n in range(NODES):
            self.nodes.append(balance.Balancer(replace(SETTINGS, node=n, zone=n % 2), n))
            self.handle(n, api.WorkerList(api.ListForm.FULL, entries))
        for job, gap in enumerate(np.cumsum(self.rng.exponential(1000 / rate, 1500))):
            self.clock.later(
                gap,
                lambda job=job: self.handle(
                    int(self.rng.integers(NODES)), api.JobArrived(job, 0, 15_000, expected_work=MEAN_WORK_MS)
                ),
            )

    def handle(self, node, event):
        for action in self.nodes[node].handle(self.clock.now(), event):
            self.execute(node, action)

    def execute(self, node, action):
        match action:
            case api.SetTimer(token=token, delay=delay):
                self.clock.later(delay, lambda: self.handle(node, api.TimerFired(token)))
            case api.Probe(worker=number):
                self.clock.later(
                    2.0,
                    lambda: self.handle(
                        node, api.ProbeEnded(number, api.Outcome.OK, 2.0, self.workers[number].published)
                    ),
                )
            case api.Send(job=job, worker=number):
                self.sends.append((self.clock.now() - self.started_at, number))
                self.workers[number].queue.append((node, job, number, self.clock.now()))
                self.start_queued(self.workers[number])

    def start_queued(self, worker):
        while worker.queue and worker.running < SLOTS:
            worker.running += 1
            self.start_job(worker, *worker.queue.popleft())

    def start_job(self, worker, node, job, number, sent):
        self.waits.append(self.clock.now() - sent)
        elapsed = float(self.rng.lognormal(-0.5, 1.0)) * MEAN_WORK_MS
        self.clock.later(elapsed, lambda: self.end_job(worker, node, job, number, elapsed))

    def end_job(self, worker, node, job, number, elapsed):
        worker.running -= 1
        self.start_queued(worker)
        self.handle(node, api.AttemptEnded(job, 0, number, api.Outcome.OK, elapsed, True))


def queued_share(seed, **constants):
    """The share of jobs that arrived at a worker without a free slot."""
    unchanged = {"NODES_PER_PREFERRED_WORKER": picking.NODES_PER_PREFERRED_WORKER}
    with mock.patch.multiple(picking, **(unchanged | constants)):
        simulation = Simulation(seed, rate=70)
        simulation.clock.run(simulation.clock.now() + 25_000)
    assert len({worker for _, worker in simulation.sends}) > WORKERS * 0.9  # almost all workers are used
    return sum(wait > 0 for wait in simulation.waits) / len(simulation.waits)


def test_with_preferred_workers_fewer_nodes_send_jobs_to_the_same_slot():
    """Any reported free slot is a good choice for one node, but forty nodes see and use the same slots."""
    without = sum(queued_share(seed, PREFERRED_WEIGHT=1.0, NODES_PER_PREFERRED_WORKER=0.0) for seed in (1, 2, 3))
    preferred = sum(queued_share(seed) for seed in (1, 2, 3))
    assert preferred < 0.85 * without, (preferred, without)


def test_cold_workers_are_used_and_not_overloaded_by_all_nodes_together():
    """A turn at a cold worker belongs to one of forty nodes and lapses. When nodes did not check for their turns first,
    cold workers stayed idle for 8 s."""
    cold = {7919 * n + 1 for n in range(30)}
    changes = {"cold_time": 8000.0, "cold_from": 0.32, "fall_multiple": 3.0, "fall_window": 1500.0}
    with mock.patch.object(sys.modules[__name__], "SETTINGS", replace(SETTINGS, **changes)):
        simulation = Simulation(1, rate=70, cold=30)
    simulation.clock.run(simulation.started_at + 8000)
    sends = [(at, worker) for at, worker in simulation.sends if worker in cold]
    capacity = len(cold) * SLOTS * 8.0 * (0.32 + 1) / 2  # mean jobs
    assert len(sends) > capacity / 4
    for at, worker in sends:
        window = sum(at <= sent < at + 1500 for sent, other in sends if other == worker)
        share = 0.32 + 0.68 * at / 8000
        assert window <= 3.0 * SLOTS * share * 1.5 + 1, (at, worker, window)


def test_preferred_workers_are_distributed_evenly_and_few_nodes_have_none():
    nodes_by_worker = Counter()
    entries = tuple(api.WorkerEntry(7919 * n + 1, zone=n % 2) for n in range(WORKERS))
    for n in range(NODES):
        node = balance.Balancer(replace(SETTINGS, node=n, zone=n % 2), n)
        node.handle(0.0, api.WorkerList(api.ListForm.FULL, entries))
        preferred = node._preferred_workers()
        assert len(preferred) == 3 and all(worker.zone == n % 2 for worker in preferred)
        nodes_by_worker.update(worker.id for worker in preferred)
    assert len(nodes_by_worker) == WORKERS and max(nodes_by_worker.values()) <= 3
    node = balance.Balancer(replace(SETTINGS, nodes=4), 1)
    node.handle(0.0, api.WorkerList(api.ListForm.FULL, entries[:12]))
    assert not node._preferred_workers()  # it would prefer all workers
