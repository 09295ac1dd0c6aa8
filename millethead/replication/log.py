"""The replicated log as one member holds it in memory: a snapshot, the entries after it, and the state they make.

Entries are applied as they are appended; what is shown to others waits for the commit. An entry is identified by its
epoch and sequence: only the head of an epoch numbers entries of it, and a member appends only in order, so two logs
that hold the same (epoch, sequence) are the same up to there.

Some entries that the snapshot covers are kept behind it, so that a member that was away for a moment needs no more
than the difference. A state that has to be worked out anew is worked out in steps (`rebuild`), between which the member
does other things; entries that come meanwhile are applied in their turn.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol

from millethead.replication.messages import EpochSpan
from millethead.replication.place import LogPlace
from millethead.storage.log import Entry, Recovered, Snapshot

KEPT_ENTRIES = 2000  # behind the snapshot at most, for members that lack little
KEPT_BYTES = 4 << 20
STEP_ENTRIES = 100  # applied in one step of a rebuild


class StateMachine(Protocol):
    """Deterministic state: the same entries make the same state on every member."""

    def apply(self, payload: bytes, place: LogPlace) -> object:
        """Take in the command of the entry at `place`; returns its result."""
        ...

    def prepare_snapshot(self) -> bool:
        """Do a part of the work of `snapshot` ahead; whether so little is left that it holds nobody up."""
        ...

    def snapshot(self) -> bytes: ...

    def restoring(self, payload: bytes) -> Iterator[None]:
        """Take the state of a snapshot, a part at each step; empty bytes are the first state."""
        ...


class ReplicatedLog:
    """Log and state of one member."""

    def __init__(self, machine: StateMachine, recovered: Recovered) -> None:
        self.machine = machine
        self.base = recovered.snapshot or Snapshot(0, 0, b"")
        self.entries: list[Entry] = []
        self._kept: list[Entry] = []  # up to the snapshot
        self._floor = EpochSpan(self.base.epoch, self.base.sequence)  # the last entry before those that are kept
        self._steps: Iterator[None] | None = None
        self._start_again(self.base, recovered.entries)
        self.settle()

    @property
    def last(self) -> tuple[int, int]:
        """Epoch and sequence of the last entry."""
        if self.entries:
            return self.entries[-1].epoch, self.entries[-1].sequence
        return self.base.epoch, self.base.sequence

    def append(self, entry: Entry) -> object:
        """Add the next entry; returns what the state machine made of it, None while the state is worked out anew."""
        if entry.sequence != self.last[1] + 1:
            raise ValueError(f"entry {entry.sequence} does not follow {self.last[1]}")
        self.entries.append(entry)
        return None if self.rebuilding else self._apply(entry)

    def _apply(self, entry: Entry) -> object:
        return self.machine.apply(entry.payload, LogPlace(entry.epoch, entry.sequence))

    def after(self, sequence: int) -> Sequence[Entry]:
        """The entries above `sequence`, which must not lie before those that are kept."""
        if sequence >= self.base.sequence:
            return self.entries[sequence - self.base.sequence :]
        return self._kept[sequence - self._floor.last :] + self.entries

    def spans(self) -> tuple[EpochSpan, ...]:
        """The last sequence of each epoch that the entries after the snapshot hold."""
        return _spans(self.entries)

    def base_span(self) -> EpochSpan:
        return EpochSpan(self.base.epoch, self.base.sequence)

    # ---- working the state out anew ----------------------------------------------------------------------

    @property
    def rebuilding(self) -> bool:
        """The state is being worked out anew, and lags behind the entries."""
        return self._steps is not None

    def truncate(self, sequence: int) -> None:
        """Drop the entries above `sequence`; the state is worked out anew by `rebuild`."""
        self._start_again(self.base, self.entries[: sequence - self.base.sequence])

    def install(self, snapshot: Snapshot) -> None:
        """Take another log's state in the place of this one, by `rebuild`."""
        self._kept, self._floor = [], EpochSpan(snapshot.epoch, snapshot.sequence)
        self._start_again(snapshot, ())

    def _start_again(self, base: Snapshot, entries: Sequence[Entry]) -> None:
        self.base, self.entries = base, list(entries)
        self._steps = self._rebuild_steps()

    def _rebuild_steps(self) -> Iterator[None]:
        yield from self.machine.restoring(self.base.payload)
        at = 0
        while at < len(self.entries):  # it may grow meanwhile
            self._apply(self.entries[at])
            at += 1
            if at % STEP_ENTRIES == 0:
                yield

    def rebuild(self) -> bool:
        """Do a step of working the state out; whether it is there."""
        if self._steps is not None and next(self._steps, self) is self:
            self._steps = None
        return self._steps is None

    def settle(self) -> None:
        """Work the state out now, if it is not there."""
        while not self.rebuild():
            pass

    # ---- the snapshot ------------------------------------------------------------------------------------

    def prepare_compaction(self) -> bool:
        """Do a part of what `compact` needs; whether it may be called now without holding anybody up."""
        return not self.rebuilding and self.machine.prepare_snapshot()

    def compact(self) -> Snapshot:
        """Fold all entries into the snapshot; returns it. The last ones are kept behind it."""
        self.settle()
        epoch, sequence = self.last
        self._keep(self._kept + self.entries)
        self.base, self.entries = Snapshot(epoch, sequence, self.machine.snapshot()), []
        return self.base

    def _keep(self, entries: list[Entry]) -> None:
        """Keep the last of these entries, within bounds."""
        first, size = len(entries), 0
        while first and len(entries) - first < KEPT_ENTRIES:
            size += len(entries[first - 1].payload)
            if size > KEPT_BYTES:
                break
            first -= 1
        if first:
            self._floor = EpochSpan(entries[first - 1].epoch, entries[first - 1].sequence)
        self._kept = entries[first:]

    def common_point(self, base: EpochSpan, spans: tuple[EpochSpan, ...]) -> int | None:
        """The last sequence up to which this log and another one (given by its base and spans) are the same, or None
        where the snapshots hide it."""
        own = (self._floor, *_spans(self._kept), self.base_span(), *self.spans())
        mine = {span.epoch: span.last for span in own}
        theirs = {span.epoch: span.last for span in (base, *spans)}
        shared = [epoch for epoch in mine if epoch in theirs]
        if not shared:
            return None
        newest = max(shared)
        point = min(mine[newest], theirs[newest])
        if point < self._floor.last or point < base.last:
            return None
        return point


def _spans(entries: Sequence[Entry]) -> tuple[EpochSpan, ...]:
    found: dict[int, int] = {}
    for entry in entries:
        found[entry.epoch] = entry.sequence
    return tuple(EpochSpan(epoch, last) for epoch, last in found.items())
