"""The records of a log file, as bytes: pure, no input or output.

A record is a header and a body. The header's checksum covers all its fields, and among them the body's checksum. The
fields say of which file the record is (`generation`, random for each file), where in it (`offset`), which record comes
before (`previous`, its header's checksum) and how far the file had surely been synced when the record was written
(`synced`). So neither stale bytes nor the contents of a body are ever taken for a record.
"""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

MAGIC = b"MHL1"  # the last character is the version of the format
_FIELDS = struct.Struct(">4sBQQQIII")
_CHECK = struct.Struct(">I")
HEADER_SIZE = _FIELDS.size + _CHECK.size  # bytes
MAX_RECORD = 32 << 20  # bytes, header included
MAX_BODY = MAX_RECORD - HEADER_SIZE  # bytes
BATCH_BYTES = 1 << 20  # a record of more than one entry has a body of at most this
_ENTRIES = struct.Struct(">QI")  # first sequence, count
_ENTRY = struct.Struct(">QI")  # epoch, length
_SNAPSHOT = struct.Struct(">QQ")  # epoch, sequence
_TRUNCATE = struct.Struct(">Q")  # sequence
MAX_PAYLOAD = MAX_BODY - _ENTRIES.size - _ENTRY.size  # bytes of one entry
MAX_SNAPSHOT = 1 << 30  # bytes of one snapshot
PART_BYTES = 256 << 10  # of a snapshot in one record
_PART = struct.Struct(">I")  # number, from 0
_SNAPSHOT_END = struct.Struct(">QQIQI")  # epoch, sequence, number of parts, bytes and checksum of the whole
NUMBERS = 1 << 63  # epochs and sequences are below


class CorruptLog(Exception):
    """What was once durable cannot be read: this disk is not believed."""


def _check_limits(epoch: int, sequence: int, size: int, most: int) -> None:
    if not (0 <= epoch < NUMBERS and 0 <= sequence < NUMBERS):
        raise ValueError(f"epoch {epoch}, sequence {sequence}: not from 0 to 2**63 - 1")
    if size > most:
        raise ValueError(f"a payload of {size} bytes, {most} at most")


@dataclass(frozen=True, slots=True)
class Entry:
    """One replicated command. Raises ValueError for a payload over MAX_PAYLOAD or a number that has no room."""

    epoch: int
    sequence: int
    payload: bytes

    def __post_init__(self) -> None:
        _check_limits(self.epoch, self.sequence, len(self.payload), MAX_PAYLOAD)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole state after entry (epoch, sequence). Raises ValueError for one over MAX_SNAPSHOT, and as `Entry`."""

    epoch: int
    sequence: int
    payload: bytes

    def __post_init__(self) -> None:
        _check_limits(self.epoch, self.sequence, len(self.payload), MAX_SNAPSHOT)


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Bytes of a snapshot, of which more follow."""

    number: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class SnapshotEnd:
    """All parts of a snapshot come before; only with this record it is one."""

    epoch: int
    sequence: int
    parts: int
    size: int
    check: int


@dataclass(frozen=True, slots=True)
class Truncation:
    """Entries above `sequence` are void."""

    sequence: int


Content = Snapshot | SnapshotPart | SnapshotEnd | Truncation | Sequence[Entry]


class Kind(enum.IntEnum):
    """What a record's body holds."""

    FILE = 1  # nothing: the first record of each file
    ENTRIES = 2
    TRUNCATION = 3
    SNAPSHOT = 4  # whole in one record, as it was written before there were parts
    SNAPSHOT_PART = 5
    SNAPSHOT_END = 6


@dataclass(frozen=True, slots=True)
class Header:
    """The fields of a header whose checksum holds; offsets and `length` (the body's) in bytes."""

    kind: int
    generation: int
    offset: int
    synced: int
    previous: int
    length: int
    body_check: int
    check: int

    @property
    def end(self) -> int:
        """The offset after the body."""
        return self.offset + HEADER_SIZE + self.length


@dataclass(slots=True)
class Tail:
    """Where the next record of a file goes, and what its header says."""

    generation: int
    offset: int = 0
    previous: int = 0
    synced: int = 0

    def add(self, kind: Kind, body: bytes) -> bytes:
        """The next record; the tail moves behind it."""
        fields = _FIELDS.pack(
            MAGIC, kind, self.generation, self.offset, self.synced, self.previous, len(body), zlib.crc32(body)
        )
        self.previous = zlib.crc32(fields)
        self.offset += HEADER_SIZE + len(body)
        return fields + _CHECK.pack(self.previous) + body


def read_header(data: bytes) -> Header | None:
    """The header that `data` starts with; None where it is not whole."""
    if len(data) < HEADER_SIZE or not data.startswith(MAGIC):
        return None
    _, kind, generation, offset, synced, previous, length, body_check = _FIELDS.unpack_from(data)
    (check,) = _CHECK.unpack_from(data, _FIELDS.size)
    if zlib.crc32(data[: _FIELDS.size]) != check:
        return None
    return Header(kind, generation, offset, synced, previous, length, body_check, check)


def snapshot_records(snapshot: Snapshot) -> Iterator[tuple[Kind, bytes]]:
    """The records that hold a snapshot, by kind and body: its parts, then its end."""
    payload = snapshot.payload
    parts = range(0, max(1, len(payload)), PART_BYTES)  # an empty one has a part too, which voids what was cut short
    for number, at in enumerate(parts):
        yield Kind.SNAPSHOT_PART, _PART.pack(number) + payload[at : at + PART_BYTES]
    end = _SNAPSHOT_END.pack(snapshot.epoch, snapshot.sequence, len(parts), len(payload), zlib.crc32(payload))
    yield Kind.SNAPSHOT_END, end


def join_parts(end: SnapshotEnd, parts: Sequence[bytes]) -> Snapshot:
    """The snapshot of which all parts are there; raises CorruptLog where they are not what the end says."""
    payload = b"".join(parts)
    if len(parts) != end.parts or len(payload) != end.size or zlib.crc32(payload) != end.check:
        raise CorruptLog(f"the parts of the snapshot at {end.sequence} are not whole")
    return Snapshot(end.epoch, end.sequence, payload)


def truncation_body(sequence: int) -> bytes:
    """The body of a record of kind TRUNCATION."""
    return _TRUNCATE.pack(sequence)


def entries_bodies(entries: Sequence[Entry]) -> Iterator[bytes]:
    """The bodies of as many records of kind ENTRIES as contiguous entries need; none for no entries."""
    batch: list[Entry] = []
    size = 0
    for entry in entries:
        if batch and size + len(entry.payload) > BATCH_BYTES:
            yield _entries_body(batch)
            batch, size = [], 0
        batch.append(entry)
        size += _ENTRY.size + len(entry.payload)
    if batch:
        yield _entries_body(batch)


def _entries_body(batch: Sequence[Entry]) -> bytes:
    parts = [_ENTRIES.pack(batch[0].sequence, len(batch))]
    for entry in batch:
        parts.append(_ENTRY.pack(entry.epoch, len(entry.payload)))
        parts.append(entry.payload)
    return b"".join(parts)


def read_body(kind: int, body: bytes) -> Content:
    """What a body holds whose checksum holds; raises CorruptLog where that is nothing this version writes."""
    try:
        match kind:
            case Kind.ENTRIES:
                return _read_entries(body)
            case Kind.TRUNCATION:
                return Truncation(*_TRUNCATE.unpack(body))
            case Kind.SNAPSHOT_PART:
                (number,) = _PART.unpack_from(body)
                return SnapshotPart(number, body[_PART.size :])
            case Kind.SNAPSHOT_END:
                return SnapshotEnd(*_SNAPSHOT_END.unpack(body))
            case Kind.SNAPSHOT:
                epoch, sequence = _SNAPSHOT.unpack_from(body)
                return Snapshot(epoch, sequence, body[_SNAPSHOT.size :])
    except (struct.error, ValueError) as error:
        raise CorruptLog(f"the body of a record cannot be read: {error}") from None
    raise CorruptLog(f"a record of the unknown kind {kind}")


def _read_entries(body: bytes) -> list[Entry]:
    first, count = _ENTRIES.unpack_from(body)
    at, entries = _ENTRIES.size, list[Entry]()
    for sequence in range(first, first + count):
        epoch, length = _ENTRY.unpack_from(body, at)
        at += _ENTRY.size
        entries.append(Entry(epoch, sequence, body[at : at + length]))
        at += length
    if not entries or at != len(body):
        raise ValueError(f"{count} entries end at byte {at} of {len(body)}")
    return entries
