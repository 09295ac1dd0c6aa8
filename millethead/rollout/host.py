"""Connects rollout to the program, and counts the answers that a release is judged by."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from millethead.decide.interface import NEVER_RAN, Outcome
from millethead.exchange.core import Exchange
from millethead.exchange.model import Answer, Attempt, Final, Order
from millethead.exchange.stage import Stage
from millethead.rollout.driver import View
from millethead.rollout.health import Counts

MOST = 4096


class ProgramHost:
    """`kinds`: names of the booking worker types. `leave` shuts the program down in an orderly way."""

    def __init__(self, exchange: Exchange, stage: Stage, kinds: list[str], leave: Callable[[], None]) -> None:
        self.exchange, self.kinds, self.leave = exchange, kinds, leave
        self._ms = [0.0] * len(exchange.settings.classes)
        self._made: dict[str, list[Counts]] = {}
        self._serves: dict[str, float] = {}  # worker -> its start time when it last answered a probe
        self._finished, stage.finished = stage.finished, self._count
        exchange.on_attempt, exchange.on_probe = self._attempt, self._probed

    def _count(self, order: Order, answer: Answer | None, came: float, ended: float) -> None:
        if answer is not None and answer.final is Final.SERVED:
            self._ms[order.job_class] += ended - came
        if self._finished is not None:
            self._finished(order, answer, came, ended)

    def _attempt(self, attempt: Attempt, outcome: Outcome, ms: float) -> None:
        if outcome is Outcome.CANCELLED:  # cancelled by the dispatcher, which says nothing about the worker
            return
        table = self._made.get(attempt.worker.name)
        if table is None:
            while len(self._made) >= MOST:
                del self._made[next(iter(self._made))]
            table = self._made[attempt.worker.name] = [Counts() for _ in self._ms]
        counts = table[attempt.order.job_class]
        if outcome is Outcome.OK:
            counts.served, counts.ms = counts.served + 1, counts.ms + ms
        elif outcome in NEVER_RAN:
            counts.refused += 1
        else:
            counts.failed += 1

    def _probed(self, name: str, outcome: Outcome) -> None:
        worker = self.exchange.worker(name)
        if worker is not None and outcome is Outcome.OK:
            self._serves[name] = worker.entry.started
        else:
            self._serves.pop(name, None)

    def fleet_out(self, names: frozenset[str]) -> None:
        self.exchange.fleet_out(names)

    def workers(self) -> Mapping[str, tuple[str, View]]:
        found = {}
        for worker in self.exchange.workers:
            entry = worker.entry
            kind = self.kinds[entry.kind] if entry.kind < len(self.kinds) else ""
            found[worker.name] = kind, View(worker.open, self._serves.get(worker.name) == entry.started, entry.started)
        return found

    def counts(self) -> list[Counts]:
        tally = self.exchange.counters
        return [Counts(*each) for each in zip(tally.served, tally.refused, tally.failed, self._ms, strict=True)]

    def worker_counts(self) -> Mapping[str, list[Counts]]:
        return self._made

    def probe(self, worker: str) -> None:
        found = self.exchange.worker(worker)
        if found is not None:
            found.transport.probe(found)
