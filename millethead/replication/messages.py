"""Records exchanged by the core members: datagrams (heartbeats and agreement) and the stream along the chain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from millethead.replication.view import Member, View
from millethead.rpc.codec import U16, U32, U64, Record, tagged


@dataclass(frozen=True, slots=True)
class PeerAge(Record):
    """Time in ms since the sender of a heartbeat last received one from the member at `address`."""

    address: str
    age_ms: U16


@tagged(1)
@dataclass(frozen=True, slots=True)
class Heartbeat(Record):
    """Sent periodically to all known members. `disk_ms`: the longest recent sync, or the age of a pending one.
    `leaving`: the process is shutting down. `serving`: the sender is the head of `epoch`, and every member of that
    epoch's chain has synced all entries committed before."""

    sender: Member
    incarnation: U64
    epoch: U64
    disk_ms: U32
    leaving: bool
    bootstrapping: bool
    observer: bool
    serving: bool
    peer_ages: tuple[PeerAge, ...]


@tagged(2)
@dataclass(frozen=True, slots=True)
class ViewAnnouncement(Record):
    """Announces an agreed view."""

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
    """A message between a proposer and the acceptor named `voter`. A ballot is the pair (number, owner)."""

    kind: PaxosKind
    voter: str
    number: U64
    owner: str
    accepted_number: U64
    accepted_owner: str
    value: bytes


@dataclass(frozen=True, slots=True)
class EpochSpan(Record):
    """The last sequence of an epoch in a log."""

    epoch: U64
    last: U64


@dataclass(frozen=True, slots=True)
class LogEntry(Record):
    """A replicated command as sent along the chain."""

    epoch: U64
    sequence: U64
    payload: bytes


@tagged(10)
@dataclass(frozen=True, slots=True)
class ChainHello(Record):
    """The first record on a chain link, sent by the predecessor: its view and its own identity."""

    view: View
    sender: Member


@dataclass(frozen=True, slots=True)
class SnapshotName(Record):
    """Identifies a snapshot during its transfer: the last entry that it covers, its size in bytes, its CRC-32, and the
    size of a part in bytes."""

    entry_epoch: U64
    sequence: U64
    size: U64
    checksum: U32
    part_size: U32

    @property
    def part_count(self) -> int:
        """The number of parts. An empty snapshot has one empty part."""
        return max(1, -(-self.size // max(1, self.part_size)))


@dataclass(frozen=True, slots=True)
class SnapshotProgress(Record):
    """The number of parts of a snapshot that a member has received."""

    name: SnapshotName
    parts: U32


@tagged(11)
@dataclass(frozen=True, slots=True)
class ChainPosition(Record):
    """Describes the successor's log: the last entry that its snapshot covers, and the epochs of the entries after it.
    `partial`: progress of a snapshot transfer that was interrupted by a lost link."""

    epoch: U64
    base: EpochSpan
    spans: tuple[EpochSpan, ...]
    partial: SnapshotProgress | None = None


@tagged(12)
@dataclass(frozen=True, slots=True)
class ChainTruncate(Record):
    """Instructs the successor to drop the entries above `sequence`, which were never committed."""

    epoch: U64
    sequence: U64


@tagged(18)
@dataclass(frozen=True, slots=True)
class ChainSnapshotPart(Record):
    """Part `number` (from 0) of a snapshot, which replaces the successor's whole log once it is complete."""

    epoch: U64
    name: SnapshotName
    number: U32
    payload: bytes


@tagged(19)
@dataclass(frozen=True, slots=True)
class ChainSnapshotAck(Record):
    """Reports how many parts of a snapshot the successor has received."""

    epoch: U64
    progress: SnapshotProgress


@tagged(14)
@dataclass(frozen=True, slots=True)
class ChainAppend(Record):
    """Entries that follow the last entry of the successor's log."""

    epoch: U64
    entries: tuple[LogEntry, ...]


@tagged(15)
@dataclass(frozen=True, slots=True)
class ChainAck(Record):
    """The sender and all members after it in the chain have synced all entries up to `sequence`."""

    epoch: U64
    sequence: U64


@tagged(16)
@dataclass(frozen=True, slots=True)
class ChainBarrier(Record):
    """Sent down the chain. A BarrierAck returns only if all members are still in the epoch."""

    epoch: U64
    number: U64


@tagged(17)
@dataclass(frozen=True, slots=True)
class BarrierAck(Record):
    """Barrier `number` has reached the tail in this epoch."""

    epoch: U64
    number: U64
