"""The replicated log of one member in memory: a snapshot, the entries after it, and the state that results from them.

Entries are applied when they are appended; results become visible after the commit. An entry is identified by its epoch
and sequence. Only the head of an epoch creates entries of that epoch, and members append in order, so two logs that
contain the same (epoch, sequence) are identical up to that entry.

Some of the entries covered by the snapshot are retained, so that a member that was disconnected briefly only needs the
missing entries. A state that has to be rebuilt is rebuilt in steps (`rebuild`), so that the member can do other work in
between. Entries appended during a rebuild are applied at its end, in order.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol

from millethead.replication.log_position import LogPosition
from millethead.replication.messages import EpochSpan
from millethead.storage.log import Entry, Recovered, Snapshot

MAX_RETAINED_ENTRIES = 2000  # limit of the entries retained after compaction, for members that lack only a few
MAX_RETAINED_BYTES = 4 << 20  # limit of their payload
REBUILD_STEP_ENTRIES = 100  # entries applied in one step of a rebuild


class StateMachine(Protocol):
    """A deterministic state machine: the same entries produce the same state on each member."""

    def apply(self, payload: bytes, position: LogPosition) -> object:
        """Applies the command of the entry at `position` and returns its result."""
        ...

    def prepare_snapshot(self) -> bool:
        """Does a part of the work of `snapshot` in advance. Returns whether the rest is short enough not to block the
        event loop."""
        ...

    def snapshot(self) -> bytes: ...

    def restore_steps(self, payload: bytes) -> Iterator[None]:
        """Restores the state from a snapshot, a part in each iteration. Empty bytes restore the initial state."""
        ...


class ReplicatedLog:
    """Log and state of one member."""

    def __init__(self, machine: StateMachine, recovered: Recovered) -> None:
        self.machine = machine
        self.base = recovered.snapshot or Snapshot(0, 0, b"")
        self.entries: list[Entry] = []
        self._retained_entries: list[Entry] = []  # retained entries that the snapshot covers
        self._retained_after = EpochSpan(self.base.epoch, self.base.sequence)  # the last entry before the retained ones
        self._steps: Iterator[None] | None = None
        self._begin_rebuild(self.base, recovered.entries)
        self.finish_rebuild()

    @property
    def last(self) -> tuple[int, int]:
        """Epoch and sequence of the last entry."""
        if self.entries:
            return self.entries[-1].epoch, self.entries[-1].sequence
        return self.base.epoch, self.base.sequence

    def append(self, entry: Entry) -> object:
        """Appends the next entry. Returns the result of the state machine, or None during a rebuild."""
        if entry.sequence != self.last[1] + 1:
            raise ValueError(f"entry {entry.sequence} does not follow {self.last[1]}")
        self.entries.append(entry)
        return None if self.rebuilding else self._apply(entry)

    def _apply(self, entry: Entry) -> object:
        return self.machine.apply(entry.payload, LogPosition(entry.epoch, entry.sequence))

    def entries_after(self, sequence: int) -> Sequence[Entry]:
        """Returns the entries above `sequence`. These must be in the log or among the retained entries."""
        if sequence >= self.base.sequence:
            return self.entries[sequence - self.base.sequence :]
        return self._retained_entries[sequence - self._retained_after.last :] + self.entries

    def spans(self) -> tuple[EpochSpan, ...]:
        """Returns the last sequence of each epoch among the entries after the snapshot."""
        return _spans(self.entries)

    def base_span(self) -> EpochSpan:
        return EpochSpan(self.base.epoch, self.base.sequence)

    # ---- rebuilding the state ----------------------------------------------------------------------------

    @property
    def rebuilding(self) -> bool:
        """Whether the state is being rebuilt and does not yet reflect all entries."""
        return self._steps is not None

    def truncate(self, sequence: int) -> None:
        """Drops the entries above `sequence`. The state has to be rebuilt with `rebuild`."""
        self._begin_rebuild(self.base, self.entries[: sequence - self.base.sequence])

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the log by a snapshot of another log. The state has to be rebuilt with `rebuild`."""
        self._retained_entries, self._retained_after = [], EpochSpan(snapshot.epoch, snapshot.sequence)
        self._begin_rebuild(snapshot, ())

    def _begin_rebuild(self, base: Snapshot, entries: Sequence[Entry]) -> None:
        self.base, self.entries = base, list(entries)
        self._steps = self._rebuild_steps()

    def _rebuild_steps(self) -> Iterator[None]:
        yield from self.machine.restore_steps(self.base.payload)
        index = 0
        while index < len(self.entries):  # entries may be appended during the rebuild
            self._apply(self.entries[index])
            index += 1
            if index % REBUILD_STEP_ENTRIES == 0:
                yield

    def rebuild(self) -> bool:
        """Does one step of a rebuild. Returns whether the state is complete."""
        if self._steps is not None and next(self._steps, self) is self:
            self._steps = None
        return self._steps is None

    def finish_rebuild(self) -> None:
        """Completes a rebuild that is in progress."""
        while not self.rebuild():
            pass

    # ---- the snapshot ------------------------------------------------------------------------------------

    def prepare_compaction(self) -> bool:
        """Does a part of the work of `compact` in advance. Returns whether `compact` can be called now without blocking
        the event loop."""
        return not self.rebuilding and self.machine.prepare_snapshot()

    def compact(self) -> Snapshot:
        """Replaces all entries by a new snapshot and returns it. The last entries are retained for other members."""
        self.finish_rebuild()
        epoch, sequence = self.last
        self._retain(self._retained_entries + self.entries)
        self.base, self.entries = Snapshot(epoch, sequence, self.machine.snapshot()), []
        return self.base

    def _retain(self, entries: list[Entry]) -> None:
        """Retains the last of these entries, within the limits."""
        first, size = len(entries), 0
        while first and len(entries) - first < MAX_RETAINED_ENTRIES:
            size += len(entries[first - 1].payload)
            if size > MAX_RETAINED_BYTES:
                break
            first -= 1
        if first:
            self._retained_after = EpochSpan(entries[first - 1].epoch, entries[first - 1].sequence)
        self._retained_entries = entries[first:]

    def common_point(self, base: EpochSpan, spans: tuple[EpochSpan, ...]) -> int | None:
        """Returns the last sequence up to which this log and another log, described by its base and spans, are
        identical. Returns None if it cannot be determined because the entries there were compacted."""
        own = (self._retained_after, *_spans(self._retained_entries), self.base_span(), *self.spans())
        own_last = {span.epoch: span.last for span in own}
        other_last = {span.epoch: span.last for span in (base, *spans)}
        shared = [epoch for epoch in own_last if epoch in other_last]
        if not shared:
            return None
        newest = max(shared)
        point = min(own_last[newest], other_last[newest])
        if point < self._retained_after.last or point < base.last:
            return None
        return point


def _spans(entries: Sequence[Entry]) -> tuple[EpochSpan, ...]:
    found: dict[int, int] = {}
    for entry in entries:
        found[entry.epoch] = entry.sequence
    return tuple(EpochSpan(epoch, last) for epoch, last in found.items())
