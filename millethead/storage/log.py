"""The durable log of one replica: one append-only file of checksummed records, rewritten when it gets long.

What recovery does about a bad record. After a loss of power each write since the last sync may be present, absent or
torn, one in the middle too; what was synced is whole on a disk that is well. Each record's header says how far the file
had surely been synced when it was written. So bad bytes below what any later header names were durable once: the disk
is not believed (CorruptLog). Bad bytes at or beyond it were never known to be synced: the file is cut there, and what
came after is dropped. A record that was synced, but after which nothing was appended, is not told from a torn tail.
"""

from __future__ import annotations

import contextlib
import errno
import secrets
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from millethead.storage.files import OS_FILES, File, Files
from millethead.storage.records import (
    CorruptLog,
    Entry,
    Kind,
    Snapshot,
    Tail,
    entries_bodies,
    snapshot_records,
    truncation_body,
)
from millethead.storage.replay import CHUNK, Cursor, Extent, SequenceError, replay

__all__ = ["LOG_NAME", "CorruptLog", "Entry", "Files", "LogFile", "Recovered", "ScrubPass", "SequenceError", "Snapshot"]

LOG_NAME = "log"


@dataclass(frozen=True, slots=True)
class Recovered:
    """What a log holds: a snapshot, and the entries after it with contiguous sequences."""

    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ScrubPass:
    """One reading of the whole file again, up to where it ended when the pass began."""

    cursor: Cursor
    end: Tail


def random_generation() -> int:
    """64 random bits that tell one log file from every other."""
    return secrets.randbits(64)


class LogFile:
    """The log's file; its calls block, and are made from one thread. Call `recover` (or `rewrite`) first.

    An OSError from a write or sync leaves it unknown what the file holds. From then on every call raises OSError, but
    for `recover`, which reads the file anew, and `rewrite`, which does not need it. After a failed sync `rewrite` is
    the safe one: an operating system may count as clean what it could not write.
    """

    def __init__(
        self,
        folder: Path,
        files: Files = OS_FILES,
        name: str = LOG_NAME,
        *,
        generation: Callable[[], int] = random_generation,
    ) -> None:
        self._folder, self._files, self._generation = folder, files, generation
        self._path, self._new_path = folder / name, folder / f"{name}.new"
        self._file: File | None = None
        self._tail = Tail(0)
        self._extent = Extent()
        self._usable = False

    @property
    def size(self) -> int:
        """Bytes of the file."""
        return self._tail.offset

    def recover(self) -> Recovered:
        """Read the file, or create it; what is returned is durable. Raises OSError, and CorruptLog where something
        that was durable cannot be read: the file is then as it was, and only `rewrite` makes the log usable."""
        self.close()
        with contextlib.suppress(FileNotFoundError):
            self._files.remove(self._new_path)  # left by a rewrite that was cut short
        try:
            file = self._files.open(self._path)
        except FileNotFoundError:
            self._replace_file(())
            return Recovered(None, ())
        try:
            tail, contents = replay(file)
            if tail.offset != file.size():
                file.truncate(tail.offset)
            file.fsync()  # what a killed process had written, or cut, but not synced
            self._files.sync_folder(self._folder)  # as it may have renamed the file
        except BaseException:
            file.close()
            raise
        tail.synced = tail.offset
        self._adopt(file, tail, contents.extent)
        return Recovered(contents.snapshot, tuple(contents.entries))

    def append(self, entries: Sequence[Entry]) -> None:
        """Write entries that follow on the last one, not synced; raises OSError, and SequenceError for others."""
        if entries:
            _check_contiguous(self._extent.last, entries)
            self._write((Kind.ENTRIES, body) for body in entries_bodies(entries))
            self._extent.extend(entries[0].sequence, entries[-1].sequence)

    def truncate(self, sequence: int) -> None:
        """Entries above `sequence` are void, once synced; raises OSError, and SequenceError for a sequence below the
        snapshot's. The file grows by a marker."""
        self._extent.check_truncation(sequence)
        if self._extent.last is not None and sequence < self._extent.last:
            self._write([(Kind.TRUNCATION, truncation_body(sequence))])
            self._extent.truncate(sequence)

    def install(self, snapshot: Snapshot) -> None:
        """Once synced, the snapshot is in place of everything before; raises OSError."""
        for record in snapshot_records(snapshot):
            self._write([record])
        self._extent.restart(snapshot.sequence)

    def sync(self) -> None:
        """Make what was written durable; raises OSError."""
        file = self._usable_file()
        if self._tail.synced == self._tail.offset:
            return
        self._usable = False
        file.fdatasync()
        self._usable = True
        self._tail.synced = self._tail.offset

    def rewrite(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """Put a new file with just these contents in the old one's place; it is durable when this returns, and until
        then the old one is. `entries` are all that are to be kept, those not yet synced too. Raises OSError."""
        _check_contiguous(snapshot.sequence, entries)
        self._replace_file(_records(snapshot, entries))
        self._extent.restart(snapshot.sequence)
        if entries:
            self._extent.extend(entries[0].sequence, entries[-1].sequence)

    def scrub(self) -> int:
        """Read the whole file again; the number of bytes whose checksums hold. Raises OSError and CorruptLog."""
        scrub = self.begin_scrub()
        while not self.scrub_slice(scrub, CHUNK):
            pass
        return scrub.end.offset

    def begin_scrub(self) -> ScrubPass:
        """Begin to read the whole file again, from the disk where the system can be told so. Raises OSError and
        CorruptLog."""
        file, end = self._usable_file(), replace(self._tail)
        file.drop_cached()
        return ScrubPass(Cursor(file, end.offset), end)

    def scrub_slice(self, scrub: ScrubPass, most: int) -> bool:
        """Check about `most` bytes more; whether the pass is over, as it is too where the file was replaced. Raises
        OSError and CorruptLog."""
        self._usable_file()
        if scrub.end.generation != self._tail.generation:
            return True
        cursor = scrub.cursor
        until = cursor.tail.offset + most
        while cursor.tail.offset < until:
            if cursor.advance() is None:
                self._check_scrub_end(scrub)
                return True
        return False

    def _check_scrub_end(self, scrub: ScrubPass) -> None:
        tail = scrub.cursor.tail
        if not scrub.cursor.at_end or tail.previous != scrub.end.previous:
            raise CorruptLog(f"{self._path.name}: bad bytes at {tail.offset}")

    def close(self) -> None:
        """Let go of the file; nothing is synced."""
        file, self._file, self._usable = self._file, None, False
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

    def _usable_file(self) -> File:
        if self._file is None or not self._usable:
            raise OSError(errno.EIO, "the log is not open, or a call on its file failed before", str(self._path))
        return self._file

    def _write(self, records: Iterator[tuple[Kind, bytes]] | Sequence[tuple[Kind, bytes]]) -> None:
        file, offset = self._usable_file(), self._tail.offset
        data = b"".join(self._tail.add(kind, body) for kind, body in records)
        self._usable = False
        file.write(offset, data)
        self._usable = True

    def _replace_file(self, records: Iterator[tuple[Kind, bytes]] | Sequence[tuple[Kind, bytes]]) -> None:
        """Write a new file and give it the log's name, and start with an empty extent."""
        file, tail = self._files.create(self._new_path), Tail(self._generation())
        try:
            file.write(0, tail.add(Kind.FILE, b""))
            for kind, body in records:
                offset = tail.offset
                file.write(offset, tail.add(kind, body))
            file.fsync()
            self._files.rename(self._new_path, self._path)
        except OSError:
            file.close()
            with contextlib.suppress(OSError):
                self._files.remove(self._new_path)
            raise
        self._adopt(file, tail, Extent())
        self._usable = False  # until the name is durable: the old file could come back without what is appended
        self._files.sync_folder(self._folder)
        tail.synced = tail.offset
        self._usable = True

    def _adopt(self, file: File, tail: Tail, extent: Extent) -> None:
        self.close()
        self._file, self._tail, self._extent, self._usable = file, tail, extent, True


def _records(snapshot: Snapshot, entries: Sequence[Entry]) -> Iterator[tuple[Kind, bytes]]:
    yield from snapshot_records(snapshot)
    for body in entries_bodies(entries):
        yield Kind.ENTRIES, body


def _check_contiguous(last: int | None, entries: Sequence[Entry]) -> None:
    for entry in entries:
        if last is not None and entry.sequence != last + 1:
            raise SequenceError(f"entry {entry.sequence} does not follow on {last}")
        last = entry.sequence
