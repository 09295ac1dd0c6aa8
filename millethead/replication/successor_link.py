"""The link to the successor in the chain. It first reconciles the successor's log with this member's log, then forwards
each new entry.

Nothing is forwarded before the successor is reconciled; entries and barriers of that time are sent with or after the
reconciliation.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from millethead.replication.chain_ports import Link
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
from millethead.replication.snapshot_transfer import OutgoingSnapshot
from millethead.replication.view import Member, View
from millethead.storage.log import Entry

COPY_BATCH = 256  # entries in one record while a log is copied
COPY_BYTES = 1 << 20  # size after which a record gets no more entries


class SuccessorLink:
    """One open link of one epoch. `synced`: the successor is reconciled. `acked`: the sequence up to which the
    successor and all members after it have synced."""

    def __init__(self, link: Link, epoch: int, log: ReplicatedLog, part_bytes: int) -> None:
        self.link, self.synced, self.acked = link, False, 0
        self._epoch, self._log, self._part_bytes = epoch, log, part_bytes
        self._outgoing: OutgoingSnapshot | None = None  # snapshot transfer in progress

    @property
    def copying(self) -> bool:
        """Whether a snapshot transfer is in progress, so that the snapshot and the entries after it are still
        needed."""
        return self._outgoing is not None

    def send_hello(self, view: View, member: Member) -> None:
        """Sends the hello; the successor answers with the position of its log."""
        self.link.send(ChainHello(view, member))

    def forward_entries(self, entries: Sequence[Entry]) -> None:
        """Forwards entries that this member has just appended."""
        if self.synced:
            self.link.send(ChainAppend(self._epoch, _to_records(entries)))

    def forward_barrier(self, number: int) -> None:
        """Forwards a barrier."""
        if self.synced:
            self.link.send(ChainBarrier(self._epoch, number))

    def acknowledged(self, sequence: int) -> None:
        """The successor and all members after it have synced all entries up to `sequence`."""
        self.acked = max(self.acked, sequence)

    def reconcile(self, position: ChainPosition) -> bool:
        """Starts to reconcile the successor's log, described by `position`. Returns whether it is complete."""
        point = self._log.common_point(position.base, position.spans)
        if point is None:
            self._outgoing = OutgoingSnapshot(
                self._epoch, self._log.base, position.partial, self.link.send, self._part_bytes
            )
            return self.continue_transfer(None)
        self.link.send(ChainTruncate(self._epoch, point))
        self._send_after(point)
        return True

    def continue_transfer(self, progress: SnapshotProgress | None) -> bool:
        """Continues a snapshot transfer after an acknowledgement; the entries follow the last part. Returns whether the
        successor is reconciled."""
        outgoing = self._outgoing
        if outgoing is None:
            return False
        if progress is not None:
            outgoing.acknowledged(progress)
        if not outgoing.all_sent:
            return False
        self._outgoing = None
        self._send_after(outgoing.snapshot.sequence)
        return True

    def _send_after(self, point: int) -> None:
        """Sends all entries above `point`. From then on new entries are forwarded at once."""
        for batch in _batches(self._log.entries_after(point)):
            self.link.send(ChainAppend(self._epoch, _to_records(batch)))
        self.synced = True


def _batches(entries: Sequence[Entry]) -> Iterator[Sequence[Entry]]:
    """Splits entries into batches of at most COPY_BATCH entries. A batch that has reached COPY_BYTES gets no more
    entries."""
    first = size = 0
    for index, entry in enumerate(entries):
        if index - first == COPY_BATCH or size >= COPY_BYTES:
            yield entries[first:index]
            first, size = index, 0
        size += len(entry.payload)
    if first < len(entries):
        yield entries[first:]


def _to_records(entries: Sequence[Entry]) -> tuple[LogEntry, ...]:
    return tuple(LogEntry(entry.epoch, entry.sequence, entry.payload) for entry in entries)
