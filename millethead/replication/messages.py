"""Records between the members of the core: datagrams (heartbeats, agreement) and the stream along the chain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from millethead.replication.view import Member, View
from millethead.rpc.codec import U16, U32, U64, Record, tagged


@dataclass(frozen=True, slots=True)
class Heard(Record):
    """How long ago (ms) the sender of a heartbeat last heard from a member."""

    address: str
    age_ms: U16


@tagged(1)
@dataclass(frozen=True, slots=True)
class Heartbeat(Record):
    """Sent to every known member. `disk_ms`: the longest sync lately, or how long one is pending; `leaving`: its
    process has been asked to end; `serving`: it is the head of `epoch`, and all that was committed before is on every
    disk of that epoch's chain."""

    sender: Member
    incarnation: U64
    epoch: U64
    disk_ms: U32
    leaving: bool
    bootstrapping: bool
    observer: bool
    serving: bool
    heard: tuple[Heard, ...]


@tagged(2)
@dataclass(frozen=True, slots=True)
class ViewAnnouncement(Record):
    """An agreed view."""

    view: View


class PaxosKind(IntEnum):
    PREPARE = 1
    PROMISE = 2
    ACCEPT = 3
    ACCEPTED = 4
    NACK = 5


@tagged(3)
@dataclass(frozen=True, slots=True)
class PaxosMessage(Record):
    """A message between a proposer and the acceptor named `voter`. Ballots are (number, owner)."""

    kind: PaxosKind
    voter: str
    number: U64
    owner: str
    accepted_number: U64
    accepted_owner: str
    value: bytes


@dataclass(frozen=True, slots=True)
class EpochSpan(Record):
    """The last sequence that a log holds of an epoch."""

    epoch: U64
    last: U64


@dataclass(frozen=True, slots=True)
class LogEntry(Record):
    """One replicated command, as it goes down the chain."""

    epoch: U64
    sequence: U64
    payload: bytes


@tagged(10)
@dataclass(frozen=True, slots=True)
class ChainHello(Record):
    """First record of a chain link, from the predecessor: its view, and the disk it takes the successor to have."""

    view: View
    sender: Member


@dataclass(frozen=True, slots=True)
class SnapshotName(Record):
    """Which snapshot: the last entry that it covers, its bytes, their checksum (CRC-32), and the bytes of a part."""

    entry_epoch: U64
    sequence: U64
    size: U64
    check: U32
    part_size: U32

    @property
    def part_count(self) -> int:
        """In how many parts it goes; an empty one is one empty part."""
        return max(1, -(-self.size // max(1, self.part_size)))


@dataclass(frozen=True, slots=True)
class SnapshotProgress(Record):
    """How many parts of a snapshot a member has taken."""

    name: SnapshotName
    parts: U32


@tagged(11)
@dataclass(frozen=True, slots=True)
class ChainPosition(Record):
    """The successor's log: what its snapshot covers, and the epochs of the entries after it. `partial`: a snapshot
    that it has taken a part of before its link was lost."""

    epoch: U64
    base: EpochSpan
    spans: tuple[EpochSpan, ...]
    partial: SnapshotProgress | None = None


@tagged(12)
@dataclass(frozen=True, slots=True)
class ChainTruncate(Record):
    """Entries above `sequence` are void: they were never committed."""

    epoch: U64
    sequence: U64


@tagged(18)
@dataclass(frozen=True, slots=True)
class ChainSnapshotPart(Record):
    """Part `number`, from 0, of a snapshot that replaces the successor's whole log once all of it is there."""

    epoch: U64
    name: SnapshotName
    number: U32
    payload: bytes


@tagged(19)
@dataclass(frozen=True, slots=True)
class ChainSnapshotAck(Record):
    """The successor has so many parts of a snapshot."""

    epoch: U64
    progress: SnapshotProgress


@tagged(14)
@dataclass(frozen=True, slots=True)
class ChainAppend(Record):
    """Entries that follow what the successor holds."""

    epoch: U64
    entries: tuple[LogEntry, ...]


@tagged(15)
@dataclass(frozen=True, slots=True)
class ChainAck(Record):
    """Everything up to `sequence` is synced at the sender and at all behind it."""

    epoch: U64
    sequence: U64


@tagged(16)
@dataclass(frozen=True, slots=True)
class ChainBarrier(Record):
    """Goes down the chain; comes back as BarrierAck only if every member is still in the epoch."""

    epoch: U64
    number: U64


@tagged(17)
@dataclass(frozen=True, slots=True)
class BarrierAck(Record):
    """The tail has seen barrier `number` in this epoch."""

    epoch: U64
    number: U64
