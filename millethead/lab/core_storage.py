"""The disk of a member of an emulated core: what the control program keeps, on a simulated disk, with syncs that take
virtual time.

The log, its writer and the acceptor's file are the program's own; the identity follows `storage.identity` step by step,
as that calls the operating system directly.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random

from millethead.lab.disk import Operation, SimulatedDisk, _SimulatedFile, _Write
from millethead.programs.core_disk import ACCEPTOR_NAME
from millethead.rollout.register import AcceptorState
from millethead.storage import identity as identities
from millethead.storage.files import FileSystem
from millethead.storage.identity import IDENTITY_NAME, DiskIdentity
from millethead.storage.log import LOG_NAME, CorruptLog, Entry, LogFile, Recovered, Snapshot
from millethead.storage.register_file import RegisterFile
from millethead.storage.register_writer import RegisterWriter
from millethead.storage.scrubber import Scrubber
from millethead.storage.sync_times import SyncTimes
from millethead.storage.writer import LogWriter

FOLDER = Path("/data")
BROKEN_MS = 60_000  # told as the time of a sync while the disk takes no writes
SHORT_S = 0.05
EARLY = 0.3  # part of the short syncs that are through at once, though their end is told as late as that of others


class Ended(BaseException):
    """The process ends, or the machine loses power, in the middle of a call on the disk."""


class Unusable(Exception):
    """The disk takes no writes at present."""


class PagedDisk(SimulatedDisk):
    """A simulated disk on which what a failed sync gave up does not come back over what was written since."""

    def sync(self, file: _SimulatedFile) -> None:
        written = [change for change in file.inode.unsynced if isinstance(change, _Write)]
        super().sync(file)
        file.inode.given_up = [
            old
            for old in file.inode.given_up
            if not (isinstance(old, _Write) and any(_covers(new, old) for new in written))
        ]


def _covers(new: _Write, old: _Write) -> bool:
    return new.offset <= old.offset and old.offset + len(old.data) <= new.offset + len(new.data)


def write_durably(files: FileSystem, path: Path, data: bytes) -> None:
    """Write a file whole, its name on the disk too; raises OSError."""
    new = path.with_name(f"{path.name}.new")
    file = files.create(new)
    file.write(0, data)
    file.fdatasync()
    file.close()
    files.rename(new, path)
    files.sync_folder(path.parent)


def read_whole(files: FileSystem, path: Path) -> bytes | None:
    """The bytes of a file, or None where there is none."""
    try:
        file = files.open(path)
    except FileNotFoundError:
        return None
    return file.read(0, file.size())


class CoreStorage:
    """What `programs.core_disk.CoreDisk` is to the program, for one process. `clock` is the process's own, `later`
    waits on it; `post` has a call done by the process."""

    def __init__(
        self,
        disk: SimulatedDisk,
        random: Random,
        bootstrap: bool,
        clock: Callable[[], float],
        later: Callable[[float, Callable[[], None]], None],
        sync_s: Callable[[], float],
    ) -> None:
        self._disk, self._random, self._clock, self._later, self._sync_s = disk, random, clock, later, sync_s
        if disk.refusing:
            raise Unusable
        try:
            self._open_believed(bootstrap)
        except OSError as error:
            raise Unusable from error
        self.writer = LogWriter(self._log, self._post, self._failed, clock=clock, threaded=False)
        self._register_writer = RegisterWriter(self._acceptor, self.writer)
        self._sync_times = SyncTimes(clock)
        self._due: list[Callable[[], None]] = []
        self._working = False
        self._stepped = False
        self.broken = False

    def _open_believed(self, bootstrap: bool) -> None:
        try:
            self._open(bootstrap)
        except CorruptLog:
            self._discard()
            self._open(False)

    def _open(self, bootstrap: bool) -> None:
        self.identity = self._load_identity(bootstrap)
        self._log = LogFile(FOLDER, self._disk, generation=lambda: self._random.getrandbits(64))
        self.recovered: Recovered = self._log.recover()
        self._acceptor = RegisterFile(self._disk, FOLDER / ACCEPTOR_NAME)
        self.kept: AcceptorState = self._acceptor.load()
        self._write_anew()

    def _write_anew(self) -> None:
        """Write again what was read: a process that was killed may have left it unsynced, and what a failed sync gave
        up can still be read."""
        self._log.rewrite(self.recovered.snapshot or Snapshot(0, 0, b""), self.recovered.entries)

    def _load_identity(self, bootstrap: bool) -> DiskIdentity:
        data = read_whole(self._disk, FOLDER / IDENTITY_NAME)
        if data is not None:
            identity = identities.decode_identity(data)
            self._disk.sync_folder(FOLDER)
            return identity
        if self._disk.exists(FOLDER / LOG_NAME):
            raise CorruptLog("no identity beside a log")
        identity = DiskIdentity(self._random.getrandbits(63) | 1, bootstrap)
        write_durably(self._disk, FOLDER / IDENTITY_NAME, identities.encode_identity(identity))
        return identity

    def _discard(self) -> None:
        for name in (IDENTITY_NAME, ACCEPTOR_NAME, LOG_NAME):
            with contextlib.suppress(FileNotFoundError):
                self._disk.remove(FOLDER / name)
            self._disk.sync_folder(FOLDER)

    # ---- jobs --------------------------------------------------------------------------------------------

    def append(self, entries: Sequence[Entry], durable: Callable[[], None]) -> None:
        self.writer.append(entries, durable)
        self._wake()

    def truncate(self, sequence: int) -> None:
        self.writer.truncate(sequence)
        self._wake()

    def install(self, snapshot: Snapshot, durable: Callable[[], None]) -> None:
        self.writer.install(snapshot, durable)
        self._wake()

    def rewrite(self, snapshot: Snapshot) -> None:
        self.writer.rewrite(snapshot, ())
        self._wake()

    @property
    def size(self) -> int:
        """Bytes of the log."""
        return self._log.size

    @property
    def busy(self) -> bool:
        """Whether any job waits for the disk."""
        return self.writer.pending_since is not None

    def probe(self) -> None:
        """Time a sync."""
        self.append((), lambda: None)

    def scrubber(self, damaged: Callable[[str], None]) -> Scrubber:
        """A background scrub of the log and of the acceptor's file."""
        return Scrubber(self._log, self._run, self._repair_acceptor, damaged, self._clock)

    def _repair_acceptor(self) -> None:
        self._acceptor.repair()

    def _run(self, job: Callable[[], None], done: Callable[[], None]) -> None:
        self.writer.run(job, done)
        self._wake()

    def save(self, kept: AcceptorState, done: Callable[[], None]) -> None:
        self._register_writer.save(kept, done)
        self._wake()

    def bootstrap_done(self) -> None:
        """Remember that the first start of the whole system is over."""
        if self.identity.bootstrapping:
            done = DiskIdentity(self.identity.disk_id, False)
            self.writer.run(
                lambda: write_durably(self._disk, FOLDER / IDENTITY_NAME, identities.encode_identity(done)),
                lambda: None,
            )
            self._wake()

    def held_up(self, since: float) -> None:
        """The event loop should have gone on at `since`, and does so only now."""
        self._sync_times.record_loop_delay(since)

    def latency_ms(self) -> int:
        """The longest sync lately, or how long the present one is pending if that is more."""
        return BROKEN_MS if self.broken else self._sync_times.latency_ms()

    def _failed(self, error: OSError) -> None:
        self.broken = True

    # ---- the writer's thread -----------------------------------------------------------------------------

    def _wake(self) -> None:
        waiting_since = self.writer.pending_since
        if not self._working and not self.writer.broken and waiting_since is not None:
            self._working = True
            self._sync_times.record_start(waiting_since)
            sync_s = self._sync_s()
            self._stepped = sync_s < SHORT_S and self._random.random() < EARLY
            if self._stepped:
                self.writer.step()
            self._later(sync_s, self._synced)

    def _synced(self) -> None:
        if not self._stepped:
            self.writer.step()
        self._sync_times.record_end()
        due, self._due = self._due, []
        self._working = False
        for call in due:
            call()
        self._wake()

    def _post(self, call: Callable[[], None]) -> None:
        self._due.append(call)

    def interrupt(self) -> None:
        """The process ends: a step under way gets as far as chance has it."""
        if not self._working or self._stepped:
            return
        left = self._random.randrange(5)

        def before(operation: Operation, path: Path) -> None:
            nonlocal left
            left -= 1
            if left < 0:
                raise Ended

        self._disk.before = before
        try:
            self.writer.step()
        except Ended:
            pass
        finally:
            self._disk.before = lambda operation, path: None
