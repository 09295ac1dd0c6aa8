"""Reads a log file record by record, and decides whether invalid bytes are a torn write or corruption.

Memory use is bounded by one chunk and the current record.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from millethead.storage.files import File
from millethead.storage.records import (
    HEADER_SIZE,
    MAGIC,
    MAX_BODY_BYTES,
    CorruptLog,
    Entry,
    Header,
    RecordKind,
    Snapshot,
    SnapshotEnd,
    SnapshotPart,
    Tail,
    Truncation,
    decode_body,
    decode_header,
    join_snapshot_parts,
)

CHUNK_BYTES = 256 << 10


class SequenceError(ValueError):
    """Entries do not follow the last entry of the log, or a truncation is below its snapshot."""


@dataclass(slots=True)
class SequenceRange:
    """The sequences that a log holds: above `floor`, up to and including `last`. Both are None if the log is empty."""

    floor: int | None = None
    last: int | None = None
    has_snapshot: bool = False

    def check_follows(self, sequence: int) -> None:
        """Raises SequenceError if `sequence` is not the next one. Without a snapshot, any first sequence is valid."""
        if self.last is not None and sequence != self.last + 1:
            raise SequenceError(f"entry {sequence} does not follow on {self.last}")

    def extend(self, first: int, last: int) -> None:
        """Adds the entries `first` to `last`. Raises SequenceError if they do not follow."""
        self.check_follows(first)
        if self.floor is None:
            self.floor = first - 1
        self.last = last

    def check_truncation(self, sequence: int) -> None:
        """Raises SequenceError if the snapshot contains entries above `sequence`."""
        if self.has_snapshot and self.floor is not None and sequence < self.floor:
            raise SequenceError(f"a truncation to {sequence}, below the snapshot at {self.floor}")

    def truncate(self, sequence: int) -> None:
        """Invalidates the entries above `sequence`. Raises SequenceError if it is below the snapshot."""
        self.check_truncation(sequence)
        if self.last is None or self.floor is None or sequence >= self.last:
            return
        if sequence > self.floor or self.has_snapshot:
            self.last = sequence
        else:
            self.floor = self.last = None

    def reset(self, sequence: int) -> None:
        """Replaces everything by a snapshot at `sequence`."""
        self.floor = self.last = sequence
        self.has_snapshot = True


@dataclass(slots=True)
class LogContents:
    """The contents of a log, rebuilt from the records replayed so far."""

    sequences: SequenceRange = field(default_factory=SequenceRange)
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    parts: list[bytes] = field(default_factory=list)  # of a snapshot whose end was not read yet

    def apply(self, kind: int, body: bytes) -> None:
        """Applies the next record. Raises CorruptLog if it cannot follow the earlier ones."""
        content = decode_body(kind, body)
        try:
            match content:
                case SnapshotPart():
                    self._add_part(content)
                    return
                case SnapshotEnd():
                    self._set_snapshot(join_snapshot_parts(content, self.parts))
                case Snapshot():
                    self._set_snapshot(content)
                case Truncation():
                    self.sequences.truncate(content.sequence)
                    self._drop_above(content.sequence)
                case _:
                    self.sequences.extend(content[0].sequence, content[-1].sequence)
                    self.entries.extend(content)
        except SequenceError as error:
            raise CorruptLog(str(error)) from None
        self.parts = []  # parts that are not followed by their end belong to an interrupted snapshot

    def _add_part(self, part: SnapshotPart) -> None:
        if part.number == 0:
            self.parts = []
        if part.number != len(self.parts):
            raise CorruptLog(f"part {part.number} of a snapshot follows {len(self.parts)} parts")
        self.parts.append(part.payload)

    def _set_snapshot(self, snapshot: Snapshot) -> None:
        self.sequences.reset(snapshot.sequence)
        self.snapshot, self.entries = snapshot, []

    def _drop_above(self, sequence: int) -> None:
        if self.entries:
            del self.entries[max(0, sequence + 1 - self.entries[0].sequence) :]


class Cursor:
    """Iterates over the complete records in the first `size` bytes of a file."""

    def __init__(self, file: File, size: int) -> None:
        self._file, self._size = file, size
        self._chunk, self._chunk_offset = b"", 0
        self.tail = self._read_first_tail()

    @property
    def at_end(self) -> bool:
        """Whether the cursor has passed all bytes, so that each was part of a complete record."""
        return self.tail.offset == self._size

    def advance(self) -> Header | None:
        """Returns the header of the next record after verifying its body. Returns None at the end, or if the next
        record is incomplete or invalid.
        """
        header = self._next_header()
        if header is None or not self._body_is_valid(header):
            return None
        self._advance_past(header)
        return header

    def read(self) -> tuple[Header, bytes] | None:
        """Like `advance`, but also returns the body."""
        header = self._next_header()
        if header is None:
            return None
        body = self._read_bytes(header.offset + HEADER_SIZE, header.length)
        if zlib.crc32(body) != header.body_checksum:
            return None
        self._advance_past(header)
        return header, body

    def was_synced(self) -> bool:
        """Returns whether any later header proves that the invalid bytes at the cursor were synced once. A valid header
        of this file counts even if its body is damaged.
        """
        invalid_offset = self.tail.offset
        offset = invalid_offset + 1
        while offset + HEADER_SIZE <= self._size:
            found = self._find_magic(offset)
            if found is None:
                return False
            header = decode_header(self._read_bytes(found, HEADER_SIZE))
            if header is not None and self._is_of_this_file(header, found) and header.synced > invalid_offset:
                return True
            offset = found + 1
        return False

    def _read_first_tail(self) -> Tail:
        """Returns the tail after the first record of the file. That record was synced before the file got its name."""
        header = decode_header(self._read_bytes(0, HEADER_SIZE))
        expected = header and Tail(header.generation).encode_record(RecordKind.FILE, b"")
        if header is None or expected != self._read_bytes(0, HEADER_SIZE):
            raise CorruptLog("the file does not start with a whole record")
        return Tail(header.generation, header.end, header.checksum)

    def _next_header(self) -> Header | None:
        header = decode_header(self._read_bytes(self.tail.offset, HEADER_SIZE))
        if header is None or not self._is_of_this_file(header, self.tail.offset):
            return None
        if header.previous != self.tail.previous or header.end > self._size:
            return None
        if header.length > MAX_BODY_BYTES:
            raise CorruptLog(f"a record of {header.length} bytes at {header.offset}")
        return header

    def _is_of_this_file(self, header: Header, offset: int) -> bool:
        return header.generation == self.tail.generation and header.offset == offset

    def _body_is_valid(self, header: Header) -> bool:
        checksum = 0
        for offset in range(header.offset + HEADER_SIZE, header.end, CHUNK_BYTES):
            checksum = zlib.crc32(self._read_bytes(offset, min(CHUNK_BYTES, header.end - offset)), checksum)
        return checksum == header.body_checksum

    def _advance_past(self, header: Header) -> None:
        self.tail.offset, self.tail.previous = header.end, header.checksum

    def _find_magic(self, offset: int) -> int | None:
        while offset + HEADER_SIZE <= self._size:
            chunk = self._read_bytes(offset, min(CHUNK_BYTES, self._size - offset))
            found = chunk.find(MAGIC)
            if found >= 0:
                return offset + found
            offset += max(1, len(chunk) - len(MAGIC) + 1)
        return None

    def _read_bytes(self, offset: int, length: int) -> bytes:
        length = min(length, self._size - offset)
        if length > CHUNK_BYTES:
            return self._file.read(offset, length)
        start = offset - self._chunk_offset
        if not 0 <= start <= len(self._chunk) - length:
            self._chunk, self._chunk_offset = self._file.read(offset, min(CHUNK_BYTES, self._size - offset)), offset
            start = 0
        return self._chunk[start : start + length]


def replay(file: File) -> tuple[Tail, LogContents]:
    """Returns the end of the complete records of the file, and their contents. Raises CorruptLog."""
    cursor, contents = Cursor(file, file.size()), LogContents()
    while (record := cursor.read()) is not None:
        header, body = record
        contents.apply(header.kind, body)
    if not cursor.at_end and cursor.was_synced():
        raise CorruptLog(f"bad bytes at {cursor.tail.offset}, below what was synced")
    return cursor.tail, contents
