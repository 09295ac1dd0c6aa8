"""Encodes and decodes the records of a log file, without any input or output.

A record is a header and a body. The checksum of the header covers all its fields, including the checksum of the body.
The fields identify the file (`generation`, random for each file), the position in it (`offset`), the preceding record
(`previous`, the checksum of its header) and the offset up to which the file was known to be synced when the record was
written (`synced`). Therefore neither stale bytes nor the contents of a body can be mistaken for a record.
"""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

MAGIC = b"MHL1"  # the last character is the version of the format
_FIELDS = struct.Struct(">4sBQQQIII")
_CHECKSUM = struct.Struct(">I")
HEADER_SIZE = _FIELDS.size + _CHECKSUM.size  # bytes
MAX_RECORD_BYTES = 32 << 20  # bytes, header included
MAX_BODY_BYTES = MAX_RECORD_BYTES - HEADER_SIZE  # bytes
MAX_BATCH_BYTES = 1 << 20  # body size above which no further entry is added to a record
_ENTRIES = struct.Struct(">QI")  # first sequence, count
_ENTRY = struct.Struct(">QI")  # epoch, length
_SNAPSHOT = struct.Struct(">QQ")  # epoch, sequence
_TRUNCATION = struct.Struct(">Q")  # sequence
MAX_PAYLOAD_BYTES = MAX_BODY_BYTES - _ENTRIES.size - _ENTRY.size  # bytes of one entry
MAX_SNAPSHOT_BYTES = 1 << 30  # bytes of one snapshot
SNAPSHOT_PART_BYTES = 256 << 10  # maximum part of a snapshot in one record
_PART = struct.Struct(">I")  # part number, from 0
_SNAPSHOT_END = struct.Struct(">QQIQI")  # epoch, sequence, number of parts, total size, checksum of the payload
NUMBER_LIMIT = 1 << 63  # epochs and sequences are less than this


class CorruptLog(Exception):
    """Data that was durable once is unreadable. The disk cannot be trusted."""


def _check_limits(epoch: int, sequence: int, size: int, max_bytes: int) -> None:
    if not (0 <= epoch < NUMBER_LIMIT and 0 <= sequence < NUMBER_LIMIT):
        raise ValueError(f"epoch {epoch}, sequence {sequence}: not from 0 to 2**63 - 1")
    if size > max_bytes:
        raise ValueError(f"a payload of {size} bytes, {max_bytes} at most")


@dataclass(frozen=True, slots=True)
class Entry:
    """A replicated command. Raises ValueError if the payload exceeds MAX_PAYLOAD_BYTES or a number is out of range."""

    epoch: int
    sequence: int
    payload: bytes

    def __post_init__(self) -> None:
        _check_limits(self.epoch, self.sequence, len(self.payload), MAX_PAYLOAD_BYTES)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole state after entry (epoch, sequence). Raises ValueError if the payload exceeds MAX_SNAPSHOT_BYTES or a
    number is out of range.
    """

    epoch: int
    sequence: int
    payload: bytes

    def __post_init__(self) -> None:
        _check_limits(self.epoch, self.sequence, len(self.payload), MAX_SNAPSHOT_BYTES)


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """A part of a snapshot. Parts are numbered from 0."""

    number: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class SnapshotEnd:
    """Completes a snapshot whose parts precede it. Parts without this record are ignored."""

    epoch: int
    sequence: int
    part_count: int
    size: int
    checksum: int


@dataclass(frozen=True, slots=True)
class Truncation:
    """Invalidates the entries above `sequence`."""

    sequence: int


RecordContent = Snapshot | SnapshotPart | SnapshotEnd | Truncation | Sequence[Entry]


class RecordKind(enum.IntEnum):
    """The type of a record. The values are stored in the log file."""

    FILE = 1  # empty body: the first record of each file
    ENTRIES = 2
    TRUNCATION = 3
    SNAPSHOT = 4  # in a single record, as earlier versions wrote it
    SNAPSHOT_PART = 5
    SNAPSHOT_END = 6


@dataclass(frozen=True, slots=True)
class Header:
    """The fields of a header with a valid checksum. Offsets and `length` (of the body) are in bytes."""

    kind: int
    generation: int
    offset: int
    synced: int
    previous: int
    length: int
    body_checksum: int
    checksum: int

    @property
    def end(self) -> int:
        """The offset after the body."""
        return self.offset + HEADER_SIZE + self.length


@dataclass(slots=True)
class Tail:
    """The position of the next record in a file, and the values for its header."""

    generation: int
    offset: int = 0
    previous: int = 0
    synced: int = 0

    def encode_record(self, kind: RecordKind, body: bytes) -> bytes:
        """Encodes the next record and advances the tail past it."""
        fields = _FIELDS.pack(
            MAGIC, kind, self.generation, self.offset, self.synced, self.previous, len(body), zlib.crc32(body)
        )
        self.previous = zlib.crc32(fields)
        self.offset += HEADER_SIZE + len(body)
        return fields + _CHECKSUM.pack(self.previous) + body


def decode_header(data: bytes) -> Header | None:
    """Decodes the header at the start of `data`. Returns None if it is incomplete or invalid."""
    if len(data) < HEADER_SIZE or not data.startswith(MAGIC):
        return None
    _, kind, generation, offset, synced, previous, length, body_checksum = _FIELDS.unpack_from(data)
    (checksum,) = _CHECKSUM.unpack_from(data, _FIELDS.size)
    if zlib.crc32(data[: _FIELDS.size]) != checksum:
        return None
    return Header(kind, generation, offset, synced, previous, length, body_checksum, checksum)


def encode_snapshot(snapshot: Snapshot) -> Iterator[tuple[RecordKind, bytes]]:
    """Yields the records of a snapshot as kind and body: its parts, then its end."""
    payload = snapshot.payload
    offsets = range(
        0, max(1, len(payload)), SNAPSHOT_PART_BYTES
    )  # an empty snapshot has a part too, which discards the parts of an interrupted one
    for number, offset in enumerate(offsets):
        yield RecordKind.SNAPSHOT_PART, _PART.pack(number) + payload[offset : offset + SNAPSHOT_PART_BYTES]
    end = _SNAPSHOT_END.pack(snapshot.epoch, snapshot.sequence, len(offsets), len(payload), zlib.crc32(payload))
    yield RecordKind.SNAPSHOT_END, end


def join_snapshot_parts(end: SnapshotEnd, parts: Sequence[bytes]) -> Snapshot:
    """Assembles a snapshot from all its parts. Raises CorruptLog if they do not match the number, size or checksum in
    `end`.
    """
    payload = b"".join(parts)
    if len(parts) != end.part_count or len(payload) != end.size or zlib.crc32(payload) != end.checksum:
        raise CorruptLog(f"the parts of the snapshot at {end.sequence} are not whole")
    return Snapshot(end.epoch, end.sequence, payload)


def encode_truncation(sequence: int) -> bytes:
    """Returns the body of a TRUNCATION record."""
    return _TRUNCATION.pack(sequence)


def encode_entries(entries: Sequence[Entry]) -> Iterator[bytes]:
    """Yields the bodies of the ENTRIES records for contiguous entries. Yields none if there are no entries."""
    batch: list[Entry] = []
    size = 0
    for entry in entries:
        if batch and size + len(entry.payload) > MAX_BATCH_BYTES:
            yield _encode_entries_body(batch)
            batch, size = [], 0
        batch.append(entry)
        size += _ENTRY.size + len(entry.payload)
    if batch:
        yield _encode_entries_body(batch)


def _encode_entries_body(batch: Sequence[Entry]) -> bytes:
    parts = [_ENTRIES.pack(batch[0].sequence, len(batch))]
    for entry in batch:
        parts.append(_ENTRY.pack(entry.epoch, len(entry.payload)))
        parts.append(entry.payload)
    return b"".join(parts)


def decode_body(kind: int, body: bytes) -> RecordContent:
    """Decodes a body with a valid checksum. Raises CorruptLog if this version does not write such a body."""
    try:
        match kind:
            case RecordKind.ENTRIES:
                return _decode_entries(body)
            case RecordKind.TRUNCATION:
                return Truncation(*_TRUNCATION.unpack(body))
            case RecordKind.SNAPSHOT_PART:
                (number,) = _PART.unpack_from(body)
                return SnapshotPart(number, body[_PART.size :])
            case RecordKind.SNAPSHOT_END:
                return SnapshotEnd(*_SNAPSHOT_END.unpack(body))
            case RecordKind.SNAPSHOT:
                epoch, sequence = _SNAPSHOT.unpack_from(body)
                return Snapshot(epoch, sequence, body[_SNAPSHOT.size :])
    except (struct.error, ValueError) as error:
        raise CorruptLog(f"the body of a record cannot be read: {error}") from None
    raise CorruptLog(f"a record of the unknown kind {kind}")


def _decode_entries(body: bytes) -> list[Entry]:
    first, count = _ENTRIES.unpack_from(body)
    offset, entries = _ENTRIES.size, list[Entry]()
    for sequence in range(first, first + count):
        epoch, length = _ENTRY.unpack_from(body, offset)
        offset += _ENTRY.size
        entries.append(Entry(epoch, sequence, body[offset : offset + length]))
        offset += length
    if not entries or offset != len(body):
        raise ValueError(f"{count} entries end at byte {offset} of {len(body)}")
    return entries
