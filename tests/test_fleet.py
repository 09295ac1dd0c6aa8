"""What many nodes do to each other: many instances of the module on virtual time, and what each is to keep to."""

import sys
from collections import Counter, deque
from dataclasses import replace
from unittest import mock

import numpy as np

from millethead.decide import balance, picking
from millethead.decide import interface as api
from millethead.lab.clock import VirtualClock

NODES, WORKERS, SLOTS, LATE, WORK = 40, 60, 2, 400.0, 1000.0
SET = api.Settings(
    classes=(api.JobClass(deadline=15_000, aim=600, stretch=2.0, effect=api.Effect.UNSAFE),),
    nodes=NODES,
    may_probe=True,
    reports_in_probes=True,
)


class Machine:
    """Two slots and a queue; its report is one of LATE ms ago, made anew as often."""

    def __init__(self, clock):
        self.clock, self.running, self.queue = clock, 0, deque()
        self.said = self.made = api.Report(free_slots=2.0, held=0.0)

    def snap(self):
        held = self.running + len(self.queue)
        self.said, self.made = (
            self.made,
            api.Report(free_slots=SLOTS - self.running + 1e-6 * self.clock.now() % 1e-3, held=float(held)),
        )
        self.clock.later(LATE / 2, self.snap)


class Fleet:
    def __init__(self, seed, rate, cold=0):
        self.clock, self.rng = VirtualClock(), np.random.default_rng(seed)
        self.began = self.clock.now()
        entries = tuple(
            api.WorkerEntry(7919 * n + 1, zone=n % 2, started=self.clock.now() if n < cold else 0.0)
            for n in range(WORKERS)
        )
        self.machines = {e.worker: Machine(self.clock) for e in entries}
        self.nodes, self.waits, self.sends = [], [], []
        for machine in self.machines.values():
            self.clock.later(self.rng.random() * LATE, machine.snap)
        for n in range(NODES):
            self.nodes.append(balance.Balancer(replace(SET, node=n, zone=n % 2), n))
            self.feed(n, api.WorkerList(api.ListForm.FULL, entries))
        for job, gap in enumerate(np.cumsum(self.rng.exponential(1000 / rate, 1500))):
            self.clock.later(
                gap,
                lambda job=job: self.feed(
                    int(self.rng.integers(NODES)), api.JobArrived(job, 0, 15_000, expected_work=WORK)
                ),
            )

    def feed(self, n, event):
        for action in self.nodes[n].handle(self.clock.now(), event):
            self.act(n, action)

    def act(self, n, action):
        match action:
            case api.SetTimer(token=token, delay=delay):
                self.clock.later(delay, lambda: self.feed(n, api.TimerFired(token)))
            case api.Probe(worker=worker):
                self.clock.later(
                    2.0, lambda: self.feed(n, api.ProbeEnded(worker, api.Outcome.OK, 2.0, self.machines[worker].said))
                )
            case api.Send(job=job, worker=worker):
                self.sends.append((self.clock.now() - self.began, worker))
                self.machines[worker].queue.append((n, job, worker, self.clock.now()))
                self.start(self.machines[worker])

    def start(self, machine):
        while machine.queue and machine.running < SLOTS:
            machine.running += 1
            self.begin(machine, *machine.queue.popleft())

    def begin(self, machine, n, job, worker, at):
        self.waits.append(self.clock.now() - at)
        took = float(self.rng.lognormal(-0.5, 1.0)) * WORK
        self.clock.later(took, lambda: self.end(machine, n, job, worker, took))

    def end(self, machine, n, job, worker, took):
        machine.running -= 1
        self.start(machine)
        self.feed(n, api.AttemptEnded(job, 0, worker, api.Outcome.OK, took, True))


def queued(seed, **constants):
    """Part of the jobs that a worker had no slot for when they came."""
    unchanged = {"NODES_PER_PREFERRED_WORKER": picking.NODES_PER_PREFERRED_WORKER}
    with mock.patch.multiple(picking, **(unchanged | constants)):
        fleet = Fleet(seed, rate=70)
        fleet.clock.run(fleet.clock.now() + 25_000)
    assert len({worker for _, worker in fleet.sends}) > WORKERS * 0.9  # nobody is left out
    return sum(w > 0 for w in fleet.waits) / len(fleet.waits)


def test_nodes_that_try_workers_of_their_own_first_fill_fewer_slots_twice():
    # each node alone does best to take any slot that shows free; forty do so with the same slots
    alike = sum(queued(seed, PREFERRED_WEIGHT=1.0, NODES_PER_PREFERRED_WORKER=0.0) for seed in (1, 2, 3))
    dealt = sum(queued(seed) for seed in (1, 2, 3))
    assert dealt < 0.85 * alike, (dealt, alike)


def test_cold_workers_are_used_and_not_pushed_over_by_all_nodes_together():
    # a turn is dealt to one of forty nodes and lapses: unless it is looked for, cold workers stood idle for 8 s
    cold = {7919 * n + 1 for n in range(30)}
    changes = {"cold_time": 8000.0, "cold_from": 0.32, "fall_multiple": 3.0, "fall_window": 1500.0}
    with mock.patch.object(sys.modules[__name__], "SET", replace(SET, **changes)):
        fleet = Fleet(1, rate=70, cold=30)
    fleet.clock.run(fleet.began + 8000)
    sends = [(at, w) for at, w in fleet.sends if w in cold]
    able = len(cold) * SLOTS * 8.0 * (0.32 + 1) / 2  # mean jobs
    assert len(sends) > able / 4
    for at, worker in sends:
        window = sum(at <= other < at + 1500 for other, w in sends if w == worker)
        share = 0.32 + 0.68 * at / 8000
        assert window <= 3.0 * SLOTS * share * 1.5 + 1, (at, worker, window)


def test_own_workers_are_dealt_out_evenly_and_few_nodes_have_none():
    count = Counter()
    entries = tuple(api.WorkerEntry(7919 * n + 1, zone=n % 2) for n in range(WORKERS))
    for n in range(NODES):
        node = balance.Balancer(replace(SET, node=n, zone=n % 2), n)
        node.handle(0.0, api.WorkerList(api.ListForm.FULL, entries))
        own = node._preferred_workers()
        assert len(own) == 3 and all(w.zone == n % 2 for w in own)
        count.update(w.id for w in own)
    assert len(count) == WORKERS and max(count.values()) <= 3
    node = balance.Balancer(replace(SET, nodes=4), 1)
    node.handle(0.0, api.WorkerList(api.ListForm.FULL, entries[:12]))
    assert not node._preferred_workers()  # they would be all of them
