"""What the calls of the staff do to the program: figures read where they are counted, workers out by name."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import structlog

from millethead.console.calls import NotKept, UnknownMember
from millethead.console.figures import Figures, More
from millethead.console.store import OutFile
from millethead.exchange.core import Exchange
from millethead.exchange.stage import Stage

log = structlog.get_logger()


class FrontDesk:
    """`takes_clients` says why no clients are taken, with nothing for yes; `told` is called when the set of workers out
    has changed."""

    def __init__(
        self,
        exchange: Exchange,
        stage: Stage,
        classes: Sequence[str],
        file: OutFile,
        takes_clients: Callable[[], str],
        told: Callable[[], None],
    ) -> None:
        self.exchange, self.stage, self.classes, self.file = exchange, stage, classes, file
        self.takes_clients, self.told = takes_clients, told
        self.more: list[Callable[[], list[More]]] = []  # figures of parts that an operator has set up

    def restore(self) -> None:
        """Take out again what an earlier process of this dispatcher had out."""
        names = self.file.load()
        if names:
            log.info("workers_out", workers=",".join(names))
            self.exchange.take_out(names)

    @property
    def takes(self) -> str:
        return self.takes_clients()

    def figures(self) -> Figures:
        return Figures(
            self.classes,
            self.exchange.counters,
            self.stage.held,
            len(self.exchange.workers),
            self.exchange.down,
            [figure for part in self.more for figure in part()],
        )

    def take_out(self, member: str) -> None:
        out = self.exchange.out
        if member not in out and self.exchange.worker(member) is None:
            raise UnknownMember
        # the module first: from here on nothing new goes there, whatever becomes of the file
        self.exchange.take_out([member])
        self._keep(member, member in out)
        self.told()
        log.info("worker_out", worker=member)

    def put_back(self, member: str) -> None:
        out = self.exchange.out
        if member not in out:
            if self.exchange.worker(member) is None:
                raise UnknownMember
            return
        self._store(out - {member})
        self.exchange.put_back([member])
        self.told()
        log.info("worker_back", worker=member)

    def _keep(self, member: str, before: bool) -> None:
        try:
            self._store(self.exchange.out)
        except NotKept:
            if not before:  # a no must not leave it out
                self.exchange.put_back([member])
            raise

    def _store(self, out: frozenset[str]) -> None:
        try:
            self.file.store(out)
        except OSError as error:
            log.error("out_file_not_written", why=str(error))
            raise NotKept(f"it could not be stored for the next process: {error}") from None
