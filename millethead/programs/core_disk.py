"""The disk of a member of the core: identity, log and acceptor state, with measurements of the sync latency."""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import structlog

from millethead.rollout.register import AcceptorState
from millethead.storage.files import OS_FILE_SYSTEM
from millethead.storage.identity import (
    DiskIdentity,
    discard_disk,
    finish_bootstrap,
    load_identity,
    repair_identity,
)
from millethead.storage.log import CorruptLog, Entry, LogFile, Recovered, Snapshot
from millethead.storage.register_file import RegisterFile
from millethead.storage.register_writer import RegisterWriter
from millethead.storage.scrubber import Scrubber
from millethead.storage.sync_times import SyncTimes
from millethead.storage.writer import LogWriter

log = structlog.get_logger()

DISK_RETRY_INTERVAL_S = 0.5  # between attempts to open a disk that fails writes
BROKEN_DISK_LATENCY_MS = 60_000  # reported as sync latency while the disk fails writes
ACCEPTOR_NAME = "view.agreed"  # file name of the acceptor state
PROBE_FILE_NAME = "trial"  # file written and removed to check that the disk accepts writes
PROBE_FILE_BYTES = 16_384


def _make_folder(folder: Path) -> None:
    """Create the folder and sync its entry in the parent folder. Raises OSError."""
    if folder.is_dir():
        return
    folder.mkdir(parents=True, exist_ok=True)
    parent = os.open(folder.parent, os.O_RDONLY)
    try:
        os.fsync(parent)
    finally:
        os.close(parent)


class DiskUnusable(Exception):
    """The disk cannot be read or written at present. Its content is unchanged."""


class CoreDisk:
    """The disk in `folder`. Raises DiskUnusable if it cannot be opened.

    A disk with corrupt content is emptied and gets a new identity.
    """

    def __init__(self, folder: Path, bootstrap: bool, random: Callable[[], int]) -> None:
        self._folder, self._random = folder, random
        try:
            self._open_or_discard(bootstrap)
        except OSError as error:
            raise DiskUnusable(str(error)) from error
        self._writer: LogWriter | None = None
        self._register_writer: RegisterWriter | None = None
        self._clock: Callable[[], float] = lambda: 0.0  # until the disk is started
        self._sync_times = SyncTimes(self._clock)
        self.broken = False

    def _open_or_discard(self, bootstrap: bool) -> None:
        _make_folder(self._folder)
        try:
            self._open(bootstrap)
        except CorruptLog as error:
            log.error("disk_not_believed", why=str(error))
            discard_disk(self._folder, (ACCEPTOR_NAME,))
            self._open(False)

    def _probe_write(self) -> None:
        """Write, sync and remove a small file. Raises OSError if the disk does not accept writes."""
        path = self._folder / PROBE_FILE_NAME
        with path.open("wb") as file:
            file.write(bytes(PROBE_FILE_BYTES))
            file.flush()
            os.fsync(file.fileno())
        path.unlink()

    def _open(self, bootstrap: bool) -> None:
        self._probe_write()
        self.identity: DiskIdentity = load_identity(self._folder, bootstrap, self._random)
        self._log = LogFile(self._folder)
        self.recovered: Recovered = self._log.recover()
        self._register = RegisterFile(OS_FILE_SYSTEM, self._folder / ACCEPTOR_NAME)
        self.acceptor_state: AcceptorState = self._register.load()
        self._rewrite_log()

    def _rewrite_log(self) -> None:
        """Rewrite the recovered log, because its content may not be durable.

        A killed process may not have synced it, and data that a failed sync has dropped can still be readable.
        """
        self._log.rewrite(self.recovered.snapshot or Snapshot(0, 0, b""), self.recovered.entries)

    def start(self, post: Callable[[Callable[[], None]], None], clock: Callable[[], float]) -> None:
        """Start the writers. `post` runs a callback on the event loop, `clock` returns monotonic seconds."""
        self._clock, self._sync_times = clock, SyncTimes(clock)
        self._writer = LogWriter(self._log, post, self._failed, clock=clock, times=self._sync_times)
        self._register_writer = RegisterWriter(self._register, self._writer)

    def _failed(self, error: OSError) -> None:
        log.error("disk_failed", why=str(error))
        self.broken = True

    @property
    def writer(self) -> LogWriter:
        assert self._writer is not None
        return self._writer

    @property
    def size(self) -> int:
        """Size of the log in bytes."""
        return self._log.size

    @property
    def busy(self) -> bool:
        """Whether any disk operation is pending."""
        return self.writer.pending_since is not None

    def close(self, timeout_s: float) -> None:
        self.writer.close(timeout_s)

    # ---- operations --------------------------------------------------------------------------------------

    def append(self, entries: Sequence[Entry], durable: Callable[[], None]) -> None:
        self.writer.append(entries, durable)

    def install(self, snapshot: Snapshot, durable: Callable[[], None]) -> None:
        self.writer.install(snapshot, durable)

    def truncate(self, sequence: int) -> None:
        self.writer.truncate(sequence)

    def rewrite(self, snapshot: Snapshot) -> None:
        """Replace the log by a file with only the snapshot."""
        self.writer.rewrite(snapshot, ())

    def save(self, acceptor_state: AcceptorState, done: Callable[[], None]) -> None:
        assert self._register_writer is not None
        self._register_writer.save(acceptor_state, done)

    def probe(self) -> None:
        """Measure the latency of a write. A sync without new data would not reveal a slow disk."""
        self.writer.run(self._probe_write, lambda: None, timed=True)

    def bootstrap_done(self) -> None:
        """Record that the bootstrap of the system is complete."""
        if self.identity.bootstrapping:
            self.writer.run(self._clear_bootstrap, lambda: None)

    def _clear_bootstrap(self) -> None:
        self.identity = finish_bootstrap(self._folder, self.identity)

    def scrubber(self, damaged: Callable[[str], None]) -> Scrubber:
        """Create a background scrubber of the log. Each pass starts with a check of the identity and acceptor files."""
        return Scrubber(self._log, self.writer.run, self._repair_small_files, damaged, self._clock)

    def _repair_small_files(self) -> None:
        """Repair the identity and the acceptor file. Runs in the writer thread, the only one that writes them."""
        if repair_identity(self._folder, self.identity):
            log.error("file_repaired", file="identity")
        if self._register.repair():
            log.error("file_repaired", file=ACCEPTOR_NAME)

    def record_loop_delay(self, since: float) -> None:
        """Exclude a delay of the event loop, which was due at `since`, from the measured latency."""
        self._sync_times.record_loop_delay(since)

    def latency_ms(self) -> int:
        """Return the longest recent sync in ms, or the age of the pending one if that is longer."""
        return BROKEN_DISK_LATENCY_MS if self.broken else self._sync_times.latency_ms()


def open_disk(folder: Path, bootstrap: bool = False) -> CoreDisk:
    """Open the disk. Raises DiskUnusable."""
    return CoreDisk(folder, bootstrap, lambda: secrets.randbits(64) | 1)


def wait_for_disk(folder: Path, bootstrap: bool) -> CoreDisk:
    """Open the disk at the start of a process, retrying until it is usable. Blocks."""
    while True:
        try:
            return open_disk(folder, bootstrap)
        except DiskUnusable as error:
            log.warning("disk_unusable", why=str(error))
            time.sleep(DISK_RETRY_INTERVAL_S)
