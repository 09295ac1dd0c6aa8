"""The link to the successor in the chain: its log is brought to this member's, then gets each entry as it comes.

Until the successor is reconciled nothing is passed on: entries and barriers of that time reach it with the copy.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from millethead.replication.chain_ports import Link
from millethead.replication.copying import OutgoingSnapshot
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import (
    ChainAppend,
    ChainBarrier,
    ChainHello,
    ChainPosition,
    ChainTruncate,
    LogEntry,
    SnapshotProgress,
)
from millethead.replication.view import Member, View
from millethead.storage.log import Entry

COPY_BATCH, COPY_BYTES = 256, 1 << 20  # entries and bytes in one record, about, while a log is copied


class SuccessorLink:
    """One open link of one epoch. `synced`: the successor is reconciled; `acked`: what it and all behind it have
    synced."""

    def __init__(self, link: Link, epoch: int, log: ReplicatedLog, part_bytes: int) -> None:
        self.link, self.synced, self.acked = link, False, 0
        self._epoch, self._log, self._part_bytes = epoch, log, part_bytes
        self._outgoing: OutgoingSnapshot | None = None  # the snapshot that is under way

    @property
    def copying(self) -> bool:
        """The snapshot is on its way: it and the entries after it are still needed."""
        return self._outgoing is not None

    def greet(self, view: View, me: Member) -> None:
        """Ask the successor how far its log goes."""
        self.link.send(ChainHello(view, me))

    def pass_entries(self, entries: Sequence[Entry]) -> None:
        """Forward entries that this member has just taken."""
        if self.synced:
            self.link.send(ChainAppend(self._epoch, _wire(entries)))

    def pass_barrier(self, number: int) -> None:
        """Forward a barrier."""
        if self.synced:
            self.link.send(ChainBarrier(self._epoch, number))

    def acknowledged(self, sequence: int) -> None:
        """The successor and all behind it have synced everything up to `sequence`."""
        self.acked = max(self.acked, sequence)

    def reconcile(self, position: ChainPosition) -> bool:
        """Bring the successor's log, which it has told the position of, to this one; returns whether that is done."""
        point = self._log.common_point(position.base, position.spans)
        if point is None:
            self._outgoing = OutgoingSnapshot(
                self._epoch, self._log.base, position.partial, self.link.send, self._part_bytes
            )
            return self.copy_further(None)
        self.link.send(ChainTruncate(self._epoch, point))
        self._send_after(point)
        return True

    def copy_further(self, progress: SnapshotProgress | None) -> bool:
        """The successor has taken parts of the snapshot; the entries follow the last one. Returns whether they did."""
        outgoing = self._outgoing
        if outgoing is None:
            return False
        if progress is not None:
            outgoing.acknowledged(progress)
        if not outgoing.sent:
            return False
        self._outgoing = None
        self._send_after(outgoing.snapshot.sequence)
        return True

    def _send_after(self, point: int) -> None:
        """Send all entries above `point`; from then on the successor gets each as it comes."""
        for batch in _batches(self._log.after(point)):
            self.link.send(ChainAppend(self._epoch, _wire(batch)))
        self.synced = True


def _batches(entries: Sequence[Entry]) -> Iterator[Sequence[Entry]]:
    """Entries by the record, each of at most COPY_BATCH, and no more once it has COPY_BYTES."""
    first = size = 0
    for at, entry in enumerate(entries):
        if at - first == COPY_BATCH or size >= COPY_BYTES:
            yield entries[first:at]
            first, size = at, 0
        size += len(entry.payload)
    if first < len(entries):
        yield entries[first:]


def _wire(entries: Sequence[Entry]) -> tuple[LogEntry, ...]:
    return tuple(LogEntry(entry.epoch, entry.sequence, entry.payload) for entry in entries)
