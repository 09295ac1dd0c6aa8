"""Snapshot transfer over a chain link: in parts, with a window of unacknowledged parts, and resumable after a lost
link.

The sender accepts new entries meanwhile; it sends them after the last part. This module does not read a clock.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from millethead.replication.messages import ChainSnapshotPart, SnapshotName, SnapshotProgress
from millethead.storage.log import Snapshot

PART_BYTES = 256 << 10
WINDOW_PARTS = 8  # parts that may be sent without an acknowledgement


def snapshot_name(snapshot: Snapshot, part_bytes: int) -> SnapshotName:
    """Returns the identification of a snapshot during its transfer."""
    payload = snapshot.payload
    return SnapshotName(snapshot.epoch, snapshot.sequence, len(payload), zlib.crc32(payload), part_bytes)


class OutgoingSnapshot:
    """Transfer of a snapshot to the successor over one link, in parts of `part_bytes`. `send` is called with each
    part."""

    def __init__(
        self,
        epoch: int,
        snapshot: Snapshot,
        progress: SnapshotProgress | None,
        send: Callable[[ChainSnapshotPart], None],
        part_bytes: int = PART_BYTES,
    ) -> None:
        self.snapshot, self.name = snapshot, snapshot_name(snapshot, part_bytes)
        self._epoch, self._send = epoch, send
        self._parts = self.name.part_count
        resumable = progress is not None and progress.name == self.name
        self._acknowledged = min(progress.parts, self._parts - 1) if resumable and progress is not None else 0
        self._next_part = self._acknowledged
        self._fill()

    @property
    def all_sent(self) -> bool:
        """Whether all parts have been sent."""
        return self._next_part == self._parts

    def acknowledged(self, progress: SnapshotProgress) -> None:
        """The successor has received parts: sends more, up to the window."""
        if progress.name == self.name:
            self._acknowledged = max(self._acknowledged, min(progress.parts, self._next_part))
            self._fill()

    def _fill(self) -> None:
        while not self.all_sent and self._next_part < self._acknowledged + WINDOW_PARTS:
            start, size = self._next_part * self.name.part_size, self.name.part_size
            self._send(
                ChainSnapshotPart(self._epoch, self.name, self._next_part, self.snapshot.payload[start : start + size])
            )
            self._next_part += 1


class IncomingSnapshot:
    """The parts of a snapshot received so far. They are kept when the link is lost or the epoch changes."""

    def __init__(self, name: SnapshotName) -> None:
        self.name = name
        self._parts: list[bytes] = []

    @property
    def progress(self) -> SnapshotProgress:
        return SnapshotProgress(self.name, len(self._parts))

    def add_part(self, part: ChainSnapshotPart) -> None:
        """Appends the next part. Duplicate parts and parts out of order are ignored."""
        if part.number == len(self._parts):
            self._parts.append(part.payload)

    @property
    def complete(self) -> bool:
        return len(self._parts) == self.name.part_count

    def snapshot(self) -> Snapshot | None:
        """Returns the assembled snapshot, or None if its size or checksum is wrong."""
        payload = b"".join(self._parts)
        if len(payload) != self.name.size or zlib.crc32(payload) != self.name.checksum:
            return None
        return Snapshot(self.name.entry_epoch, self.name.sequence, payload)
