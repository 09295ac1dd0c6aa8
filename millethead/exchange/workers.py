"""The table of listed workers, and which of them are taken out of service by an operator or by the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace
from zlib import crc32

import structlog

from millethead.decide.interface import ListForm, WorkerEntry, WorkerState
from millethead.exchange.model import Worker, WorkerListing, WorkerTransport

log = structlog.get_logger()


class WorkerTable:
    """The listed workers by name and number.

    Methods that change the table return the entries that the decision module must be informed of.
    """

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

    # ---- taken out of service ------------------------------------------------------------------------

    @property
    def out(self) -> frozenset[str]:
        """The names of workers that an operator has taken out of service, listed or not."""
        return frozenset(self._out)

    def take_out(self, names: Iterable[str]) -> list[WorkerEntry]:
        names = list(names)
        self._out.update(names)
        return self._update_marks(names)

    def put_back(self, names: Iterable[str]) -> list[WorkerEntry]:
        names = list(names)
        self._out.difference_update(names)
        return self._update_marks(names)

    def fleet_out(self, names: frozenset[str]) -> list[WorkerEntry]:
        """Replaces the set of workers that the fleet has agreed to take out of service.

        Workers that an operator has taken out stay out.
        """
        changed, self._fleet_out = self._fleet_out ^ names, names
        return self._update_marks(changed)

    def _is_out(self, name: str) -> bool:
        return name in self._out or name in self._fleet_out

    def _update_marks(self, names: Iterable[str]) -> list[WorkerEntry]:
        entries = []
        for name in names:
            worker, out = self._by_name.get(name), self._is_out(name)
            if worker is not None and worker.entry.excluded != out:
                worker.entry = replace(worker.entry, excluded=out)
                entries.append(worker.entry)
        return entries

    # ---- lists ---------------------------------------------------------------------------------------

    def listed(
        self, transport: WorkerTransport, form: ListForm, listing: Iterable[WorkerListing]
    ) -> tuple[WorkerEntry, ...]:
        """Applies a worker list, or changes to it, from one transport.

        A complete list replaces only the workers of that transport.
        """
        entries: list[WorkerEntry] = []
        listed_names: set[str] = set()
        for entry in listing:
            listed_names.add(entry.name)
            worker = self._update(entry, transport)
            if worker is None:
                continue
            entries.append(worker.entry)
            if entry.state is WorkerState.GONE:
                self._remove(worker)
        if form in (ListForm.FULL, ListForm.CACHED):
            for worker in list(self._by_number.values()):
                if worker.transport is not transport:
                    entries.append(worker.entry)
                elif worker.name not in listed_names:
                    self._remove(worker)
        return tuple(entries)

    def _update(self, entry: WorkerListing, transport: WorkerTransport) -> Worker | None:
        """Updates or adds the worker of a list entry.

        Returns None if the worker belongs to another transport, or is unknown and already gone.
        """
        worker = self._by_name.get(entry.name)
        if worker is not None and worker.transport is not transport:
            log.warning("worker_name_taken", worker=entry.name)
            return None
        if worker is None:
            return None if entry.state is WorkerState.GONE else self._add(entry, transport)
        if worker.entry.state is not entry.state:
            log.info("worker_state", worker=entry.name, state=entry.state.name.lower())
        worker.take(entry, self._is_out(entry.name))
        return worker

    def _add(self, entry: WorkerListing, transport: WorkerTransport) -> Worker:
        """Adds a worker. Its number is a hash of its name, so that it is the same on every node: the nodes
        share out the slots of a cold worker by these numbers."""
        number = crc32(entry.name.encode())
        while number in self._by_number:
            number = (number + 1) & 0xFFFFFFFF
        worker = self._by_number[number] = self._by_name[entry.name] = Worker(
            number, entry, transport, self._is_out(entry.name)
        )
        return worker

    def _remove(self, worker: Worker) -> None:
        worker.open = False
        self._by_number.pop(worker.number, None)
        self._by_name.pop(worker.name, None)


class UnlistedTransport:
    """The transport of a worker that is not listed. No attempt is ever started on it."""

    def start(self, attempt: object) -> None:
        raise AssertionError("attempt started on a worker that is not listed")

    def give_up(self, attempt: object) -> None:
        pass

    def probe(self, worker: Worker) -> None:
        pass
