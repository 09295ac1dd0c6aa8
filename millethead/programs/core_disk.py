"""The disk of a member of the core: identity, log and acceptor, opened, and how long its syncs take."""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import structlog

from millethead.rollout.register import AcceptorState
from millethead.storage.files import OS_FILES
from millethead.storage.identity import (
    DiskIdentity,
    bootstrap_done,
    discard_disk,
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

REVIVE_S = 0.5  # between tries of a disk that takes no writes
BROKEN_MS = 60_000  # told as the time of a sync while the disk takes no writes
ACCEPTOR_NAME = "view.agreed"  # the acceptor's file
TRIAL, TRIAL_BYTES = "trial", 16_384  # a file that is written and removed to see whether the disk takes writes


def _make_folder(folder: Path) -> None:
    """Make the folder, its name on disk too; raises OSError."""
    if folder.is_dir():
        return
    folder.mkdir(parents=True, exist_ok=True)
    parent = os.open(folder.parent, os.O_RDONLY)
    try:
        os.fsync(parent)
    finally:
        os.close(parent)


class DiskUnusable(Exception):
    """The disk takes or gives nothing at present; what is on it stays as it is."""


class CoreDisk:
    """Opens what is in `folder`; raises DiskUnusable. A disk whose content cannot be believed is emptied, and is
    another disk then."""

    def __init__(self, folder: Path, bootstrap: bool, random: Callable[[], int]) -> None:
        self._folder, self._random = folder, random
        try:
            self._open_believed(bootstrap)
        except OSError as error:
            raise DiskUnusable(str(error)) from error
        self._writer: LogWriter | None = None
        self._register_writer: RegisterWriter | None = None
        self._clock: Callable[[], float] = lambda: 0.0  # until the disk is started
        self._sync_times = SyncTimes(self._clock)
        self.broken = False

    def _open_believed(self, bootstrap: bool) -> None:
        _make_folder(self._folder)
        try:
            self._open(bootstrap)
        except CorruptLog as error:
            log.error("disk_not_believed", why=str(error))
            discard_disk(self._folder, (ACCEPTOR_NAME,))
            self._open(False)

    def _check_writes(self) -> None:
        """Raises OSError where the disk takes no more bytes."""
        path = self._folder / TRIAL
        with path.open("wb") as file:
            file.write(bytes(TRIAL_BYTES))
            file.flush()
            os.fsync(file.fileno())
        path.unlink()

    def _open(self, bootstrap: bool) -> None:
        self._check_writes()
        self.identity: DiskIdentity = load_identity(self._folder, bootstrap, self._random)
        self._log = LogFile(self._folder)
        self.recovered: Recovered = self._log.recover()
        self._register = RegisterFile(OS_FILES, self._folder / ACCEPTOR_NAME)
        self.kept: AcceptorState = self._register.load()
        self._write_anew()

    def _write_anew(self) -> None:
        """Write again what was read: a process that was killed may have left it unsynced, and what a failed sync gave
        up can still be read."""
        self._log.rewrite(self.recovered.snapshot or Snapshot(0, 0, b""), self.recovered.entries)

    def start(self, post: Callable[[Callable[[], None]], None], clock: Callable[[], float]) -> None:
        """Begin to take writes."""
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
        """Bytes of the log."""
        return self._log.size

    @property
    def busy(self) -> bool:
        """Whether any job waits for the disk."""
        return self.writer.pending_since is not None

    def close(self, timeout_s: float) -> None:
        self.writer.close(timeout_s)

    # ---- jobs --------------------------------------------------------------------------------------------

    def append(self, entries: Sequence[Entry], durable: Callable[[], None]) -> None:
        self.writer.append(entries, durable)

    def install(self, snapshot: Snapshot, durable: Callable[[], None]) -> None:
        self.writer.install(snapshot, durable)

    def truncate(self, sequence: int) -> None:
        self.writer.truncate(sequence)

    def rewrite(self, snapshot: Snapshot) -> None:
        """Put a new file with just the snapshot in the log's place."""
        self.writer.rewrite(snapshot, ())

    def save(self, kept: AcceptorState, done: Callable[[], None]) -> None:
        assert self._register_writer is not None
        self._register_writer.save(kept, done)

    def probe(self) -> None:
        """Time a write: a sync of nothing new says nothing of a slow disk."""
        self.writer.run(self._check_writes, lambda: None, timed=True)

    def bootstrap_done(self) -> None:
        """Remember that the first start of the whole system is over."""
        if self.identity.bootstrapping:
            self.writer.run(self._forget_bootstrap, lambda: None)

    def _forget_bootstrap(self) -> None:
        self.identity = bootstrap_done(self._folder, self.identity)

    def scrubber(self, damaged: Callable[[str], None]) -> Scrubber:
        """A background scrub of the log, and of the identity and the acceptor's file at the start of each pass."""
        return Scrubber(self._log, self.writer.run, self._repair_small_files, damaged, self._clock)

    def _repair_small_files(self) -> None:
        """In the writer's thread, which alone writes them."""
        if repair_identity(self._folder, self.identity):
            log.error("file_repaired", file="identity")
        if self._register.repair():
            log.error("file_repaired", file=ACCEPTOR_NAME)

    def held_up(self, since: float) -> None:
        """The event loop should have gone on at `since`, and does so only now."""
        self._sync_times.held_up(since)

    def latency_ms(self) -> int:
        """The longest sync lately, or how long the present one is pending if that is more."""
        return BROKEN_MS if self.broken else self._sync_times.latency_ms()


def open_disk(folder: Path, bootstrap: bool = False) -> CoreDisk:
    """The disk, with what is on it; raises DiskUnusable."""
    return CoreDisk(folder, bootstrap, lambda: secrets.randbits(64) | 1)


def await_disk(folder: Path, bootstrap: bool) -> CoreDisk:
    """The disk at the start of a process, which waits until it can be used."""
    while True:
        try:
            return open_disk(folder, bootstrap)
        except DiskUnusable as error:
            log.warning("disk_unusable", why=str(error))
            time.sleep(REVIVE_S)
