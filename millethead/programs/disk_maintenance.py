"""Disk maintenance of a member: log compaction, latency probes while the disk is idle, and background scrubs.

The emulated core of the lab runs the same code.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import structlog

from millethead.replication.chain import Chain
from millethead.replication.chain_ports import Role
from millethead.storage.log import Snapshot
from millethead.storage.scrubber import Scrubber

COMPACT_ENTRIES = 4000  # entries after the snapshot that trigger compaction
COMPACT_BYTES = 16 << 20  # bytes of the log besides the snapshot that trigger compaction
COMPACT_BYTES_ENTRIES = 100  # minimum number of entries for compaction by size
COMPACTION_STAGGER = 0.25  # extra fraction of the limits per chain position; avoids simultaneous compaction
PROBE_INTERVAL_S = 0.5  # of latency probes by a member outside the chain

log = structlog.get_logger()


class MaintainedDisk(Protocol):
    """Interface of the disk of a running member."""

    @property
    def size(self) -> int:
        """Size of the log file in bytes."""

    @property
    def busy(self) -> bool:
        """Whether any disk operation is pending."""

    def rewrite(self, snapshot: Snapshot) -> None:
        """Replace the log by a file with only the snapshot."""

    def probe(self) -> None:
        """Measure the latency of a write. A sync without new data would not reveal a slow disk."""

    def scrubber(self, damaged: Callable[[str], None]) -> Scrubber:
        """Create a background scrubber of this disk, which calls `damaged(why)` on corruption."""


class DiskMaintenance:
    """Runs on each tick of a member with a working disk. `clock` returns monotonic seconds."""

    def __init__(
        self,
        disk: MaintainedDisk,
        chain: Chain,
        clock: Callable[[], float],
        compact_entries: int = COMPACT_ENTRIES,
    ) -> None:
        self._disk, self._chain, self._clock = disk, chain, clock
        self._compact_entries = compact_entries
        self._next_probe = 0.0
        self.scrubber = disk.scrubber(self._rewrite_damaged)

    def tick(self) -> None:
        """Run the maintenance that is due."""
        self._compact()
        self._probe()
        self.scrubber.tick()

    def _compact(self) -> None:
        """Compact a long log once most of its snapshot is prepared.

        Waits while a snapshot is copied to the successor, because the entries after it are still needed.
        """
        log = self._chain.log
        stagger = 1 + COMPACTION_STAGGER * self._chain.index
        entries, growth = len(log.entries), self._disk.size - len(log.base.payload)
        is_large = growth > COMPACT_BYTES * stagger and entries > COMPACT_BYTES_ENTRIES
        if (
            (entries > self._compact_entries * stagger or is_large)
            and not self._chain.copying
            and log.prepare_compaction()
        ):
            self._disk.rewrite(log.compact())

    def _probe(self) -> None:
        now = self._clock()
        if self._chain.role is not Role.NOT_IN_CHAIN or now < self._next_probe:
            return
        self._next_probe = now + PROBE_INTERVAL_S
        if not self._disk.busy:
            self._disk.probe()

    def _rewrite_damaged(self, why: str) -> None:
        """Rewrite a damaged log from memory, which holds its whole content; no copy from another member is needed."""
        log.error("log_damaged", why=why, action="rewritten from memory")
        self._disk.rewrite(self._chain.log.compact())
