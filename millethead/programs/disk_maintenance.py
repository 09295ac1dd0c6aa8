"""What a member does for its disk beside the writes of the chain: it rewrites a long log, times a write while nobody
else writes, and reads the disk again in the background. The emulated core runs the same code.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import structlog

from millethead.replication.chain import Chain
from millethead.replication.chain_ports import Role
from millethead.storage.log import Snapshot
from millethead.storage.scrubber import Scrubber

COMPACT_ENTRIES = 4000  # entries after the snapshot that have the log rewritten
COMPACT_BYTES = 16 << 20  # bytes of the log file beside the snapshot that have it rewritten
COMPACT_BYTES_ENTRIES = 100  # entries, at least, that a rewrite for its bytes folds into the snapshot
APART = 0.25  # of these bounds, between a member of the chain and its successor: they do not rewrite at the same time
PROBE_S = 0.5  # a member outside the chain times a write so often

log = structlog.get_logger()


class MaintainedDisk(Protocol):
    """The disk of a running member."""

    @property
    def size(self) -> int:
        """Bytes of the log's file."""

    @property
    def busy(self) -> bool:
        """Whether any job waits for the disk."""

    def rewrite(self, snapshot: Snapshot) -> None:
        """Put a new file with just the snapshot in the log's place."""

    def probe(self) -> None:
        """Time a write: a sync of nothing new says nothing of a slow disk."""

    def scrubber(self, damaged: Callable[[str], None]) -> Scrubber:
        """A background scrub of this disk, which calls `damaged(why)`."""


class DiskMaintenance:
    """Asked at each tick of a member whose disk takes writes. `clock`: steady seconds."""

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
        """Do what is due."""
        self._compact()
        self._probe()
        self.scrubber.tick()

    def _compact(self) -> None:
        """Rewrite a log that has grown long, once most of its snapshot is prepared. A snapshot on its way to the
        successor is left as it is: the entries after it are still needed."""
        log = self._chain.log
        later = 1 + APART * self._chain.index
        entries, grown = len(log.entries), self._disk.size - len(log.base.payload)
        long = grown > COMPACT_BYTES * later and entries > COMPACT_BYTES_ENTRIES
        if (entries > self._compact_entries * later or long) and not self._chain.copying and log.prepare_compaction():
            self._disk.rewrite(log.compact())

    def _probe(self) -> None:
        now = self._clock()
        if self._chain.role is not Role.NOT_IN_CHAIN or now < self._next_probe:
            return
        self._next_probe = now + PROBE_S
        if not self._disk.busy:
            self._disk.probe()

    def _rewrite_damaged(self, why: str) -> None:
        """All that the file should hold is in memory too, so that nothing has to be copied from another member."""
        log.error("log_damaged", why=why, action="rewritten from memory")
        self._disk.rewrite(self._chain.log.compact())
