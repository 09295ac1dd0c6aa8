"""Copying a snapshot along a chain link: in parts, with a window, and from where it was after a link was lost.

The sender goes on taking entries meanwhile; they follow once the last part is out. Nothing here reads a clock.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from millethead.replication.messages import ChainSnapshotPart, SnapshotName, SnapshotProgress
from millethead.storage.log import Snapshot

PART_BYTES = 256 << 10
WINDOW_PARTS = 8  # that may be under way


def snapshot_name(snapshot: Snapshot, part_bytes: int) -> SnapshotName:
    """What a snapshot is known by while it is copied."""
    payload = snapshot.payload
    return SnapshotName(snapshot.epoch, snapshot.sequence, len(payload), zlib.crc32(payload), part_bytes)


class OutgoingSnapshot:
    """The copy of a snapshot to one successor, over one link, in parts of `part_bytes`. `send` takes each part."""

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
        known = progress is not None and progress.name == self.name
        self._acknowledged = min(progress.parts, self._parts - 1) if known and progress is not None else 0
        self._next = self._acknowledged
        self._fill()

    @property
    def sent(self) -> bool:
        """Every part is out."""
        return self._next == self._parts

    def acknowledged(self, progress: SnapshotProgress) -> None:
        """The successor has parts; more may go."""
        if progress.name == self.name:
            self._acknowledged = max(self._acknowledged, min(progress.parts, self._next))
            self._fill()

    def _fill(self) -> None:
        while not self.sent and self._next < self._acknowledged + WINDOW_PARTS:
            at, size = self._next * self.name.part_size, self.name.part_size
            self._send(ChainSnapshotPart(self._epoch, self.name, self._next, self.snapshot.payload[at : at + size]))
            self._next += 1


class IncomingSnapshot:
    """Parts of one snapshot, as they come; they outlast the link and the epoch that brought them."""

    def __init__(self, name: SnapshotName) -> None:
        self.name = name
        self._parts: list[bytes] = []

    @property
    def progress(self) -> SnapshotProgress:
        return SnapshotProgress(self.name, len(self._parts))

    def take(self, part: ChainSnapshotPart) -> None:
        """Take the next part; one that is there already, or that came too early, changes nothing."""
        if part.number == len(self._parts):
            self._parts.append(part.payload)

    @property
    def complete(self) -> bool:
        return len(self._parts) == self.name.part_count

    def snapshot(self) -> Snapshot | None:
        """The whole; None where it is not what was announced."""
        payload = b"".join(self._parts)
        if len(payload) != self.name.size or zlib.crc32(payload) != self.name.check:
            return None
        return Snapshot(self.name.entry_epoch, self.name.sequence, payload)
