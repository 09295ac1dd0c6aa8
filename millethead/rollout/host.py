"""Connects rollout to the program, and counts the answers that a release is judged by."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from millethead.decide.interface import NEVER_RAN, Outcome
from millethead.exchange.core import Exchange
from millethead.exchange.model import Answer, Attempt, Final, Order
from millethead.exchange.stage import Stage
from millethead.rollout.driver import SubjectView
from millethead.rollout.health import Counts

MAX_COUNTED_WORKERS = 4096


class ProgramHost:
    """`kinds`: names of the booking worker types. `leave` shuts the program down in an orderly way."""

    def __init__(self, exchange: Exchange, stage: Stage, kinds: list[str], leave: Callable[[], None]) -> None:
        self.exchange, self.kinds, self.leave = exchange, kinds, leave
        self._served_ms = [0.0] * len(exchange.settings.classes)
        self._worker_counts: dict[str, list[Counts]] = {}
        self._serving_start: dict[str, float] = {}  # worker -> its start time when it last answered a probe
        self._next_finished, stage.finished = stage.finished, self._count_answer
        exchange.on_attempt, exchange.on_probe = self._count_attempt, self._record_probe

    def _count_answer(self, order: Order, answer: Answer | None, arrived_ms: float, ended_ms: float) -> None:
        if answer is not None and answer.final is Final.SERVED:
            self._served_ms[order.job_class] += ended_ms - arrived_ms
        if self._next_finished is not None:
            self._next_finished(order, answer, arrived_ms, ended_ms)

    def _count_attempt(self, attempt: Attempt, outcome: Outcome, ms: float) -> None:
        if outcome is Outcome.CANCELLED:  # cancelled by the dispatcher, which says nothing about the worker
            return
        table = self._worker_counts.get(attempt.worker.name)
        if table is None:
            while len(self._worker_counts) >= MAX_COUNTED_WORKERS:
                del self._worker_counts[next(iter(self._worker_counts))]
            table = self._worker_counts[attempt.worker.name] = [Counts() for _ in self._served_ms]
        counts = table[attempt.order.job_class]
        if outcome is Outcome.OK:
            counts.served, counts.total_ms = counts.served + 1, counts.total_ms + ms
        elif outcome in NEVER_RAN:
            counts.refused += 1
        else:
            counts.failed += 1

    def _record_probe(self, name: str, outcome: Outcome) -> None:
        worker = self.exchange.worker(name)
        if worker is not None and outcome is Outcome.OK:
            self._serving_start[name] = worker.entry.started
        else:
            self._serving_start.pop(name, None)

    def exclude_workers(self, names: frozenset[str]) -> None:
        self.exchange.fleet_out(names)

    def workers(self) -> Mapping[str, tuple[str, SubjectView]]:
        found = {}
        for worker in self.exchange.workers:
            entry = worker.entry
            kind = self.kinds[entry.kind] if entry.kind < len(self.kinds) else ""
            found[worker.name] = (
                kind,
                SubjectView(worker.open, self._serving_start.get(worker.name) == entry.started, entry.started),
            )
        return found

    def counts(self) -> list[Counts]:
        counters = self.exchange.counters
        return [
            Counts(*each)
            for each in zip(counters.served, counters.refused, counters.failed, self._served_ms, strict=True)
        ]

    def worker_counts(self) -> Mapping[str, list[Counts]]:
        return self._worker_counts

    def probe(self, worker: str) -> None:
        found = self.exchange.worker(worker)
        if found is not None:
            found.transport.probe(found)
