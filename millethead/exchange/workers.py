"""The workers that lists have named, and which of them an operator, or the fleet, has taken out."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace
from zlib import crc32

import structlog

from millethead.decide.interface import ListForm, WorkerEntry, WorkerState
from millethead.exchange.model import Listed, ServerSide, Worker

log = structlog.get_logger()


class WorkerTable:
    """Calls that change what the module must know return the entries to tell it."""

    def __init__(self) -> None:
        self._by_number: dict[int, Worker] = {}
        self._by_name: dict[str, Worker] = {}
        self._out: set[str] = set()
        self._fleet_out: frozenset[str] = frozenset()

    def __iter__(self) -> Iterator[Worker]:
        return iter(list(self._by_number.values()))

    def named(self, name: str) -> Worker | None:
        return self._by_name.get(name)

    def numbered(self, number: int) -> Worker | None:
        return self._by_number.get(number)

    # ---- out by hand, or by what the fleet has agreed on ---------------------------------------------

    @property
    def out(self) -> frozenset[str]:
        """The names that an operator has taken out, whether they are listed or not."""
        return frozenset(self._out)

    def take_out(self, names: Iterable[str]) -> list[WorkerEntry]:
        names = list(names)
        self._out.update(names)
        return self._mark(names)

    def put_back(self, names: Iterable[str]) -> list[WorkerEntry]:
        names = list(names)
        self._out.difference_update(names)
        return self._mark(names)

    def fleet_out(self, names: frozenset[str]) -> list[WorkerEntry]:
        """These, and no others, are out since the fleet has agreed on it; who is out by hand stays out."""
        changed, self._fleet_out = self._fleet_out ^ names, names
        return self._mark(changed)

    def _is_out(self, name: str) -> bool:
        return name in self._out or name in self._fleet_out

    def _mark(self, names: Iterable[str]) -> list[WorkerEntry]:
        entries = []
        for name in names:
            worker, out = self._by_name.get(name), self._is_out(name)
            if worker is not None and worker.entry.excluded != out:
                worker.entry = replace(worker.entry, excluded=out)
                entries.append(worker.entry)
        return entries

    # ---- lists ---------------------------------------------------------------------------------------

    def listed(self, side: ServerSide, form: ListForm, lines: Iterable[Listed]) -> tuple[WorkerEntry, ...]:
        """A list, or changes of it, from one server side. A whole list speaks for that side alone."""
        entries: list[WorkerEntry] = []
        named: set[str] = set()
        for line in lines:
            named.add(line.name)
            worker = self._take(line, side)
            if worker is None:
                continue
            entries.append(worker.entry)
            if line.state is WorkerState.GONE:
                self._drop(worker)
        if form in (ListForm.FULL, ListForm.CACHED):
            for worker in list(self._by_number.values()):
                if worker.side is not side:
                    entries.append(worker.entry)
                elif worker.name not in named:
                    self._drop(worker)
        return tuple(entries)

    def _take(self, line: Listed, side: ServerSide) -> Worker | None:
        """The worker of a line, brought up to date; None if the line says nothing of one that is known here."""
        worker = self._by_name.get(line.name)
        if worker is not None and worker.side is not side:
            log.warning("worker_name_taken", worker=line.name)
            return None
        if worker is None:
            return None if line.state is WorkerState.GONE else self._add(line, side)
        if worker.entry.state is not line.state:
            log.info("worker_state", worker=line.name, state=line.state.name.lower())
        worker.take(line, self._is_out(line.name))
        return worker

    def _add(self, line: Listed, side: ServerSide) -> Worker:
        """Numbers come from names: every node deals out the turns of a cold worker by them alike."""
        number = crc32(line.name.encode())
        while number in self._by_number:
            number = (number + 1) & 0xFFFFFFFF
        worker = self._by_number[number] = self._by_name[line.name] = Worker(
            number, line, side, self._is_out(line.name)
        )
        return worker

    def _drop(self, worker: Worker) -> None:
        worker.open = False
        self._by_number.pop(worker.number, None)
        self._by_name.pop(worker.name, None)


class Nowhere:
    """Stands in for the side of a worker that no list has named: nothing is ever started there."""

    def start(self, attempt: object) -> None:
        raise AssertionError("nothing is sent to a worker that no list named")

    def give_up(self, attempt: object) -> None:
        pass

    def probe(self, worker: Worker) -> None:
        pass
