"""The operator's actions on the running dispatcher: reads metrics, excludes workers and puts them back."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import structlog

from millethead.console.calls import ActionFailed, UnknownWorker
from millethead.console.excluded_workers import ExcludedWorkersFile
from millethead.console.metrics import ExtraMetric, MetricsSnapshot
from millethead.exchange.core import Exchange
from millethead.exchange.stage import Stage

log = structlog.get_logger()


class DispatcherActions:
    """Implements OperatorActions on the exchange. `readiness` returns why no clients are accepted, or an empty text.
    `on_change` is called when the set of excluded workers has changed."""

    def __init__(
        self,
        exchange: Exchange,
        stage: Stage,
        classes: Sequence[str],
        file: ExcludedWorkersFile,
        readiness: Callable[[], str],
        on_change: Callable[[], None],
    ) -> None:
        self.exchange, self.stage, self.classes, self.file = exchange, stage, classes, file
        self._readiness, self.on_change = readiness, on_change
        self.extra_metrics: list[Callable[[], list[ExtraMetric]]] = []  # metrics of optional parts

    def restore(self) -> None:
        """Excludes the workers that an earlier process of this dispatcher had excluded."""
        names = self.file.load()
        if names:
            log.info("workers_out", workers=",".join(names))
            self.exchange.take_out(names)

    @property
    def not_ready_reason(self) -> str:
        return self._readiness()

    def metrics(self) -> MetricsSnapshot:
        return MetricsSnapshot(
            self.classes,
            self.exchange.counters,
            self.stage.held,
            len(self.exchange.workers),
            self.exchange.down,
            [metric for source in self.extra_metrics for metric in source()],
        )

    def take_out(self, member: str) -> None:
        out = self.exchange.out
        if member not in out and self.exchange.worker(member) is None:
            raise UnknownWorker
        # the exchange first: from here on the worker gets no new jobs, even if the file cannot be written
        self.exchange.take_out([member])
        self._store_exclusion(member, member in out)
        self.on_change()
        log.info("worker_out", worker=member)

    def put_back(self, member: str) -> None:
        out = self.exchange.out
        if member not in out:
            if self.exchange.worker(member) is None:
                raise UnknownWorker
            return
        self._store(out - {member})
        self.exchange.put_back([member])
        self.on_change()
        log.info("worker_back", worker=member)

    def _store_exclusion(self, member: str, was_out: bool) -> None:
        try:
            self._store(self.exchange.out)
        except ActionFailed:
            if not was_out:  # a failed call must not leave the worker excluded
                self.exchange.put_back([member])
            raise

    def _store(self, out: frozenset[str]) -> None:
        try:
            self.file.store(out)
        except OSError as error:
            log.error("out_file_not_written", why=str(error))
            raise ActionFailed(f"it could not be stored for the next process: {error}") from None
