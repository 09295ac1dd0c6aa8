"""Reading a log file back: record after record, and what a bad one means. Memory: a chunk, and the record read."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from millethead.storage.files import File
from millethead.storage.records import (
    HEADER_SIZE,
    MAGIC,
    MAX_BODY,
    CorruptLog,
    Entry,
    Header,
    Kind,
    Snapshot,
    SnapshotEnd,
    SnapshotPart,
    Tail,
    Truncation,
    join_parts,
    read_body,
    read_header,
)

CHUNK = 256 << 10  # bytes read at once


class SequenceError(ValueError):
    """Entries that do not follow on the log's last one, or a truncation below its snapshot."""


@dataclass(slots=True)
class Extent:
    """Which sequences a log holds: those above `floor` up to `last`; both None while it holds nothing at all."""

    floor: int | None = None
    last: int | None = None
    has_snapshot: bool = False

    def check_follows(self, sequence: int) -> None:
        """Raises SequenceError where `sequence` is not the next one. Without a snapshot a log may start anywhere."""
        if self.last is not None and sequence != self.last + 1:
            raise SequenceError(f"entry {sequence} does not follow on {self.last}")

    def extend(self, first: int, last: int) -> None:
        """Entries `first` to `last` are added; raises SequenceError."""
        self.check_follows(first)
        if self.floor is None:
            self.floor = first - 1
        self.last = last

    def check_truncation(self, sequence: int) -> None:
        """Raises SequenceError where entries above `sequence` are part of the snapshot."""
        if self.has_snapshot and self.floor is not None and sequence < self.floor:
            raise SequenceError(f"a truncation to {sequence}, below the snapshot at {self.floor}")

    def truncate(self, sequence: int) -> None:
        """Entries above `sequence` are void; raises SequenceError."""
        self.check_truncation(sequence)
        if self.last is None or self.floor is None or sequence >= self.last:
            return
        if sequence > self.floor or self.has_snapshot:
            self.last = sequence
        else:
            self.floor = self.last = None

    def restart(self, sequence: int) -> None:
        """A snapshot at `sequence` is in place of everything."""
        self.floor = self.last = sequence
        self.has_snapshot = True


@dataclass(slots=True)
class Contents:
    """What the records read so far amount to."""

    extent: Extent = field(default_factory=Extent)
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    parts: list[bytes] = field(default_factory=list)  # of a snapshot whose end has not come yet

    def apply(self, kind: int, body: bytes) -> None:
        """Take the next record in; raises CorruptLog where it cannot follow on those before."""
        content = read_body(kind, body)
        try:
            match content:
                case SnapshotPart():
                    self._take_part(content)
                    return
                case SnapshotEnd():
                    self._take_snapshot(join_parts(content, self.parts))
                case Snapshot():
                    self._take_snapshot(content)
                case Truncation():
                    self.extent.truncate(content.sequence)
                    self._drop_above(content.sequence)
                case _:
                    self.extent.extend(content[0].sequence, content[-1].sequence)
                    self.entries.extend(content)
        except SequenceError as error:
            raise CorruptLog(str(error)) from None
        self.parts = []  # what is not followed by the end was cut short, and is void

    def _take_part(self, part: SnapshotPart) -> None:
        if part.number == 0:
            self.parts = []
        if part.number != len(self.parts):
            raise CorruptLog(f"part {part.number} of a snapshot follows {len(self.parts)} parts")
        self.parts.append(part.payload)

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self.extent.restart(snapshot.sequence)
        self.snapshot, self.entries = snapshot, []

    def _drop_above(self, sequence: int) -> None:
        if self.entries:
            del self.entries[max(0, sequence + 1 - self.entries[0].sequence) :]


class Cursor:
    """Goes through the first `size` bytes of a file, from whole record to whole record."""

    def __init__(self, file: File, size: int) -> None:
        self._file, self._size = file, size
        self._chunk, self._chunk_at = b"", 0
        self.tail = self._first_tail()

    @property
    def at_end(self) -> bool:
        """Every byte was part of a whole record."""
        return self.tail.offset == self._size

    def advance(self) -> Header | None:
        """The next record's header, its body checked; None at the end, or where the next record is not whole."""
        header = self._next_header()
        if header is None or not self._body_is_whole(header):
            return None
        self._move_behind(header)
        return header

    def read(self) -> tuple[Header, bytes] | None:
        """As `advance`, with the body."""
        header = self._next_header()
        if header is None:
            return None
        body = self._bytes(header.offset + HEADER_SIZE, header.length)
        if zlib.crc32(body) != header.body_check:
            return None
        self._move_behind(header)
        return header, body

    def was_synced(self) -> bool:
        """Whether any later header says that the bytes here, where no whole record starts, were once synced. A header
        of this file is believed even where its body is not whole."""
        here = self.tail.offset
        at = here + 1
        while at + HEADER_SIZE <= self._size:
            found = self._find_magic(at)
            if found is None:
                return False
            header = read_header(self._bytes(found, HEADER_SIZE))
            if header is not None and self._is_of_this_file(header, found) and header.synced > here:
                return True
            at = found + 1
        return False

    def _first_tail(self) -> Tail:
        """Behind the record that each file starts with; it was synced before the file got its name."""
        header = read_header(self._bytes(0, HEADER_SIZE))
        expected = header and Tail(header.generation).add(Kind.FILE, b"")
        if header is None or expected != self._bytes(0, HEADER_SIZE):
            raise CorruptLog("the file does not start with a whole record")
        return Tail(header.generation, header.end, header.check)

    def _next_header(self) -> Header | None:
        header = read_header(self._bytes(self.tail.offset, HEADER_SIZE))
        if header is None or not self._is_of_this_file(header, self.tail.offset):
            return None
        if header.previous != self.tail.previous or header.end > self._size:
            return None
        if header.length > MAX_BODY:
            raise CorruptLog(f"a record of {header.length} bytes at {header.offset}")
        return header

    def _is_of_this_file(self, header: Header, offset: int) -> bool:
        return header.generation == self.tail.generation and header.offset == offset

    def _body_is_whole(self, header: Header) -> bool:
        check = 0
        for offset in range(header.offset + HEADER_SIZE, header.end, CHUNK):
            check = zlib.crc32(self._bytes(offset, min(CHUNK, header.end - offset)), check)
        return check == header.body_check

    def _move_behind(self, header: Header) -> None:
        self.tail.offset, self.tail.previous = header.end, header.check

    def _find_magic(self, offset: int) -> int | None:
        while offset + HEADER_SIZE <= self._size:
            part = self._bytes(offset, min(CHUNK, self._size - offset))
            found = part.find(MAGIC)
            if found >= 0:
                return offset + found
            offset += max(1, len(part) - len(MAGIC) + 1)
        return None

    def _bytes(self, offset: int, length: int) -> bytes:
        length = min(length, self._size - offset)
        if length > CHUNK:
            return self._file.read(offset, length)
        start = offset - self._chunk_at
        if not 0 <= start <= len(self._chunk) - length:
            self._chunk, self._chunk_at = self._file.read(offset, min(CHUNK, self._size - offset)), offset
            start = 0
        return self._chunk[start : start + length]


def replay(file: File) -> tuple[Tail, Contents]:
    """What the file's whole records hold, and where they end; raises CorruptLog."""
    cursor, contents = Cursor(file, file.size()), Contents()
    while (record := cursor.read()) is not None:
        header, body = record
        contents.apply(header.kind, body)
    if not cursor.at_end and cursor.was_synced():
        raise CorruptLog(f"bad bytes at {cursor.tail.offset}, below what was synced")
    return cursor.tail, contents
