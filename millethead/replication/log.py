"""The replicated log as one member holds it in memory: a snapshot, the entries after it, and the state they make.

Entries are applied as they are appended; what is shown to others waits for the commit. An entry is identified by its
epoch and sequence: only the head of an epoch numbers entries of it, and a member appends only in order, so two logs
that hold the same (epoch, sequence) are the same up to there.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from millethead.replication.messages import EpochSpan
from millethead.replication.place import LogPlace
from millethead.storage.log import Entry, Recovered, Snapshot


class StateMachine(Protocol):
    """Deterministic state: the same entries make the same state on every member."""

    def apply(self, payload: bytes, place: LogPlace) -> object:
        """Take in the command of the entry at `place`; returns its result."""
        ...

    def snapshot(self) -> bytes: ...

    def restore(self, payload: bytes) -> None:
        """Take the state of a snapshot; empty bytes are the first state."""
        ...


class ReplicatedLog:
    """Log and state of one member."""

    def __init__(self, machine: StateMachine, recovered: Recovered) -> None:
        self.machine = machine
        self.base = recovered.snapshot or Snapshot(0, 0, b"")
        self.entries: list[Entry] = []
        machine.restore(self.base.payload)
        for entry in recovered.entries:
            self.append(entry)

    @property
    def last(self) -> tuple[int, int]:
        """Epoch and sequence of the last entry."""
        if self.entries:
            return self.entries[-1].epoch, self.entries[-1].sequence
        return self.base.epoch, self.base.sequence

    def append(self, entry: Entry) -> object:
        """Add the next entry; returns what the state machine made of it."""
        if entry.sequence != self.last[1] + 1:
            raise ValueError(f"entry {entry.sequence} does not follow {self.last[1]}")
        self.entries.append(entry)
        return self.machine.apply(entry.payload, LogPlace(entry.epoch, entry.sequence))

    def after(self, sequence: int) -> Sequence[Entry]:
        """The entries above `sequence`, which must not lie before the snapshot."""
        return self.entries[sequence - self.base.sequence :]

    def spans(self) -> tuple[EpochSpan, ...]:
        """The last sequence of each epoch that the entries after the snapshot hold."""
        found: dict[int, int] = {}
        for entry in self.entries:
            found[entry.epoch] = entry.sequence
        return tuple(EpochSpan(epoch, last) for epoch, last in found.items())

    def base_span(self) -> EpochSpan:
        return EpochSpan(self.base.epoch, self.base.sequence)

    def truncate(self, sequence: int) -> None:
        """Drop the entries above `sequence` and work the state out anew."""
        kept = list(self.entries[: sequence - self.base.sequence])
        self.entries = []
        self.machine.restore(self.base.payload)
        for entry in kept:
            self.append(entry)

    def install(self, snapshot: Snapshot) -> None:
        """Take another log's state in the place of this one."""
        self.base, self.entries = snapshot, []
        self.machine.restore(snapshot.payload)

    def compact(self) -> Snapshot:
        """Fold all entries into the snapshot; returns it."""
        epoch, sequence = self.last
        self.base, self.entries = Snapshot(epoch, sequence, self.machine.snapshot()), []
        return self.base

    def common_point(self, base: EpochSpan, spans: tuple[EpochSpan, ...]) -> int | None:
        """The last sequence up to which this log and another one (given by its base and spans) are the same, or None
        where the snapshots hide it."""
        mine = {span.epoch: span.last for span in (self.base_span(), *self.spans())}
        theirs = {span.epoch: span.last for span in (base, *spans)}
        shared = [epoch for epoch in mine if epoch in theirs]
        if not shared:
            return None
        newest = max(shared)
        point = min(mine[newest], theirs[newest])
        if point < self.base.sequence or point < base.last:
            return None
        return point
