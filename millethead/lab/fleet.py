"""A modelled fleet in virtual time: a server side whose workers have slots, a queue, and faults."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field

import numpy as np

from millethead.decide.interface import Effect, ListForm, Outcome, Report, WorkerState
from millethead.exchange.core import Exchange
from millethead.exchange.model import Attempt, Worker, WorkerListing
from millethead.lab.clock import Timer, VirtualClock

DELAY = 2.0  # ms one way


@dataclass(slots=True, eq=False)
class Machine:
    """One worker: what it runs, what waits there, and what is wrong with it (`dark`: it takes, and says
    nothing; `speed` below 1: it is slow)."""

    name: str
    slots: int
    queue: int
    speed: float = 1.0
    dark: bool = False
    running: dict[Attempt, Timer | None] = field(default_factory=dict)
    waiting: deque[Attempt] = field(default_factory=deque)


class Fleet:
    """Serves attempts of an exchange; counts how often each job began to run (`runs`)."""

    def __init__(
        self,
        exchange: Exchange,
        clock: VirtualClock,
        work: list[float],
        seed: int,
        machines: int = 8,
        slots: int = 2,
        queue: int = 2,
        spread: float = 0.5,
    ) -> None:
        self.exchange, self.clock, self.work, self.spread = exchange, clock, work, spread
        self.rng = np.random.default_rng(seed)
        self.machines = {f"m{n}": Machine(f"m{n}", slots, queue) for n in range(machines)}
        self.runs: Counter[str] = Counter()
        self.busy_ms = 0.0
        self.broken: set[str] = set()  # ids that end in an error
        self._list(list(self.machines), WorkerState.READY, ListForm.FULL)

    @property
    def capacity(self) -> float:
        """Slots of machines that answer."""
        return sum(m.slots * m.speed for m in self.machines.values() if not m.dark)

    def drain(self, name: str) -> None:
        self._list([name], WorkerState.DRAINING, ListForm.DELTA)

    def back(self, name: str) -> None:
        self._list([name], WorkerState.READY, ListForm.DELTA)

    def _list(self, names: list[str], state: WorkerState, form: ListForm) -> None:
        self.exchange.listed(
            self, form, [WorkerListing(name, zone=0, cell=n, state=state) for n, name in enumerate(names)]
        )

    # ---- what the exchange asks ----------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        self.clock.later(DELAY, lambda: self._arrives(attempt))

    def give_up(self, attempt: Attempt) -> None:
        attempt.fully_written = True
        self.clock.later(DELAY, lambda: self._dropped(attempt))

    def probe(self, worker: Worker) -> None:
        machine = self.machines[worker.name]
        self.clock.later(2 * DELAY, lambda: self.exchange.probed(worker, Outcome.OK, 2 * DELAY, self._report(machine)))

    # ---- a machine -----------------------------------------------------------------------------------

    def _report(self, machine: Machine) -> Report:
        return Report(
            free_slots=float(machine.slots - len(machine.running)),
            queued=float(len(machine.waiting)),
            held=float(len(machine.running) + len(machine.waiting)),
        )

    def _arrives(self, attempt: Attempt) -> None:
        machine = self.machines[attempt.worker.name]
        if attempt.outcome is not None:
            return
        attempt.fully_written = True
        if machine.dark:
            machine.waiting.append(attempt)
        elif len(machine.running) < machine.slots:
            self._runs(machine, attempt)
        elif len(machine.waiting) < machine.queue:
            machine.waiting.append(attempt)
        else:
            self.clock.later(DELAY, lambda: self.exchange.ended(attempt, Outcome.FULL, report=self._report(machine)))

    def _runs(self, machine: Machine, attempt: Attempt) -> None:
        self.runs[attempt.order.id] += 1
        mean = attempt.order.expected_work or self.work[attempt.order.job_class]
        took = mean * float(self.rng.lognormal(-(self.spread**2) / 2, self.spread)) / machine.speed
        self.busy_ms += took
        machine.running[attempt] = self.clock.later(took, lambda: self._done(machine, attempt))

    def _done(self, machine: Machine, attempt: Attempt) -> None:
        del machine.running[attempt]
        outcome = Outcome.ERROR if attempt.order.id in self.broken else Outcome.OK
        if not machine.dark:
            self.clock.later(DELAY, lambda: self.exchange.ended(attempt, outcome, b"done", self._report(machine)))
        self._next(machine)

    def _next(self, machine: Machine) -> None:
        while machine.waiting and len(machine.running) < machine.slots and not machine.dark:
            self._runs(machine, machine.waiting.popleft())

    def _dropped(self, attempt: Attempt) -> None:
        machine = self.machines[attempt.worker.name]
        if attempt in machine.waiting:
            machine.waiting.remove(attempt)
        elif attempt in machine.running:
            timer = machine.running.pop(attempt)
            if timer is not None:
                timer.cancel()
            self._next(machine)


def twice(fleet: Fleet, effects: dict[str, Effect]) -> list[str]:
    """Ids of jobs that must not run twice and did."""
    return [job for job, times in fleet.runs.items() if times > 1 and effects[job] is not Effect.SAFE]


def poisson(rng: np.random.Generator, rate: float, until: float) -> list[float]:
    """Arrival times in ms at `rate` a second, up to `until`."""
    if rate <= 0:
        return []
    gaps = rng.exponential(1000 / rate, size=math.ceil(rate * until / 1000 * 1.2) + 50)
    times = np.cumsum(gaps)
    return [float(t) for t in times[times < until]]
