"""The write-ahead log of one replica: an append-only file of checksummed records, rewritten when it gets long.

After a power loss, each write since the last sync may be present, absent or torn, independently of later writes. Synced
data is intact unless the disk is faulty. Each record header contains the offset up to which the file was known to be
synced when the record was written (`synced`). Recovery therefore treats invalid bytes as follows:

Below the `synced` offset of any later header, they were durable once. The disk cannot be trusted, and recovery raises
CorruptLog. At or above it, they were never known to be synced. The file is truncated there, and everything after is
dropped. If nothing was appended after a synced record, damage to that record cannot be told from a torn write.
"""

from __future__ import annotations

import contextlib
import errno
import secrets
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from millethead.storage.files import OS_FILE_SYSTEM, File, FileSystem
from millethead.storage.records import (
    CorruptLog,
    Entry,
    RecordKind,
    Snapshot,
    Tail,
    encode_entries,
    encode_snapshot,
    encode_truncation,
)
from millethead.storage.replay import CHUNK_BYTES, Cursor, SequenceError, SequenceRange, replay

__all__ = [
    "LOG_NAME",
    "CorruptLog",
    "Entry",
    "FileSystem",
    "LogFile",
    "Recovered",
    "ScrubPass",
    "SequenceError",
    "Snapshot",
]

LOG_NAME = "log"


@dataclass(frozen=True, slots=True)
class Recovered:
    """The contents of a log: a snapshot, and the entries after it with contiguous sequences."""

    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ScrubPass:
    """The progress of one scrub of the whole file, up to where the file ended when the pass began."""

    cursor: Cursor
    end: Tail


def random_generation() -> int:
    """Returns 64 random bits that identify a log file."""
    return secrets.randbits(64)


class LogFile:
    """The log file. Calls block and must be made from one thread. Call `recover` or `rewrite` first.

    After an OSError from a write or sync the contents of the file are unknown. Every later call raises OSError, except
    `recover`, which reads the file again, and `rewrite`, which does not depend on its contents. After a failed sync
    only `rewrite` is safe, because an operating system may mark pages as clean that it failed to write.
    """

    def __init__(
        self,
        folder: Path,
        file_system: FileSystem = OS_FILE_SYSTEM,
        name: str = LOG_NAME,
        *,
        generation: Callable[[], int] = random_generation,
    ) -> None:
        self._folder, self._file_system, self._generation = folder, file_system, generation
        self._path, self._rewrite_path = folder / name, folder / f"{name}.new"
        self._file: File | None = None
        self._tail = Tail(0)
        self._sequences = SequenceRange()
        self._usable = False

    @property
    def size(self) -> int:
        """Size of the file in bytes."""
        return self._tail.offset

    def recover(self) -> Recovered:
        """Reads the file, or creates it. The returned contents are durable.

        Raises OSError, and CorruptLog if data that was durable is unreadable. The file is then unchanged, and only
        `rewrite` makes the log usable.
        """
        self.close()
        with contextlib.suppress(FileNotFoundError):
            self._file_system.remove(self._rewrite_path)  # left by an interrupted rewrite
        try:
            file = self._file_system.open(self._path)
        except FileNotFoundError:
            self._replace_file(())
            return Recovered(None, ())
        try:
            tail, contents = replay(file)
            if tail.offset != file.size():
                file.truncate(tail.offset)
            file.fsync()  # a killed process may have written or truncated without syncing
            self._file_system.sync_folder(self._folder)  # it may also have renamed the file
        except BaseException:
            file.close()
            raise
        tail.synced = tail.offset
        self._adopt(file, tail, contents.sequences)
        return Recovered(contents.snapshot, tuple(contents.entries))

    def append(self, entries: Sequence[Entry]) -> None:
        """Writes entries that follow the last one, without syncing. Raises OSError, and SequenceError if they do not
        follow.
        """
        if entries:
            _check_contiguous(self._sequences.last, entries)
            self._write((RecordKind.ENTRIES, body) for body in encode_entries(entries))
            self._sequences.extend(entries[0].sequence, entries[-1].sequence)

    def truncate(self, sequence: int) -> None:
        """Invalidates the entries above `sequence` by appending a marker, effective once synced. Raises OSError, and
        SequenceError if `sequence` is below the snapshot.
        """
        self._sequences.check_truncation(sequence)
        if self._sequences.last is not None and sequence < self._sequences.last:
            self._write([(RecordKind.TRUNCATION, encode_truncation(sequence))])
            self._sequences.truncate(sequence)

    def install(self, snapshot: Snapshot) -> None:
        """Appends a snapshot that replaces everything before it once it is synced. Raises OSError."""
        for record in encode_snapshot(snapshot):
            self._write([record])
        self._sequences.reset(snapshot.sequence)

    def sync(self) -> None:
        """Makes all writes durable. Raises OSError."""
        file = self._usable_file()
        if self._tail.synced == self._tail.offset:
            return
        self._usable = False
        file.fdatasync()
        self._usable = True
        self._tail.synced = self._tail.offset

    def rewrite(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """Replaces the file by a new one that contains only the snapshot and `entries`.

        `entries` are all entries to be kept, including those not yet synced. The new file is durable on return. If the
        call is interrupted, the old file remains valid. Raises OSError.
        """
        _check_contiguous(snapshot.sequence, entries)
        self._replace_file(_encode_records(snapshot, entries))
        self._sequences.reset(snapshot.sequence)
        if entries:
            self._sequences.extend(entries[0].sequence, entries[-1].sequence)

    def scrub(self) -> int:
        """Reads the whole file and verifies all checksums. Returns the number of bytes verified. Raises OSError and
        CorruptLog.
        """
        scrub = self.begin_scrub()
        while not self.scrub_slice(scrub, CHUNK_BYTES):
            pass
        return scrub.end.offset

    def begin_scrub(self) -> ScrubPass:
        """Starts a scrub of the whole file. Drops it from the page cache first, if the system supports it. Raises
        OSError and CorruptLog.
        """
        file, end = self._usable_file(), replace(self._tail)
        file.drop_cached()
        return ScrubPass(Cursor(file, end.offset), end)

    def scrub_slice(self, scrub: ScrubPass, max_bytes: int) -> bool:
        """Verifies about `max_bytes` more. Returns whether the pass is finished, which it also is if the file was
        replaced. Raises OSError and CorruptLog.
        """
        self._usable_file()
        if scrub.end.generation != self._tail.generation:
            return True
        cursor = scrub.cursor
        until = cursor.tail.offset + max_bytes
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
        """Closes the file without syncing it."""
        file, self._file, self._usable = self._file, None, False
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

    def _usable_file(self) -> File:
        if self._file is None or not self._usable:
            raise OSError(errno.EIO, "log is not open, or an earlier call on its file failed", str(self._path))
        return self._file

    def _write(self, records: Iterator[tuple[RecordKind, bytes]] | Sequence[tuple[RecordKind, bytes]]) -> None:
        file, offset = self._usable_file(), self._tail.offset
        data = b"".join(self._tail.encode_record(kind, body) for kind, body in records)
        self._usable = False
        file.write(offset, data)
        self._usable = True

    def _replace_file(self, records: Iterator[tuple[RecordKind, bytes]] | Sequence[tuple[RecordKind, bytes]]) -> None:
        """Writes a new file, renames it to the name of the log and resets the sequence range."""
        file, tail = self._file_system.create(self._rewrite_path), Tail(self._generation())
        try:
            file.write(0, tail.encode_record(RecordKind.FILE, b""))
            for kind, body in records:
                offset = tail.offset
                file.write(offset, tail.encode_record(kind, body))
            file.fsync()
            self._file_system.rename(self._rewrite_path, self._path)
        except OSError:
            file.close()
            with contextlib.suppress(OSError):
                self._file_system.remove(self._rewrite_path)
            raise
        self._adopt(file, tail, SequenceRange())
        # A power loss before the rename is durable could restore the old file, without later appends.
        self._usable = False
        self._file_system.sync_folder(self._folder)
        tail.synced = tail.offset
        self._usable = True

    def _adopt(self, file: File, tail: Tail, sequences: SequenceRange) -> None:
        self.close()
        self._file, self._tail, self._sequences, self._usable = file, tail, sequences, True


def _encode_records(snapshot: Snapshot, entries: Sequence[Entry]) -> Iterator[tuple[RecordKind, bytes]]:
    yield from encode_snapshot(snapshot)
    for body in encode_entries(entries):
        yield RecordKind.ENTRIES, body


def _check_contiguous(last: int | None, entries: Sequence[Entry]) -> None:
    for entry in entries:
        if last is not None and entry.sequence != last + 1:
            raise SequenceError(f"entry {entry.sequence} does not follow on {last}")
        last = entry.sequence
