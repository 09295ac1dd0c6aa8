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
    process has been asked to end."""

    sender: Member
    incarnation: U64
    epoch: U64
    disk_ms: U32
    leaving: bool
    bootstrapping: bool
    observer: bool
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


@tagged(11)
@dataclass(frozen=True, slots=True)
class ChainPosition(Record):
    """The successor's log: what its snapshot covers, and the epochs of the entries after it."""

    epoch: U64
    base: EpochSpan
    spans: tuple[EpochSpan, ...]


@tagged(12)
@dataclass(frozen=True, slots=True)
class ChainTruncate(Record):
    """Entries above `sequence` are void: they were never committed."""

    epoch: U64
    sequence: U64


@tagged(13)
@dataclass(frozen=True, slots=True)
class ChainSnapshot(Record):
    """Replaces the successor's whole log: the state after entry (`entry_epoch`, `sequence`)."""

    epoch: U64
    entry_epoch: U64
    sequence: U64
    payload: bytes


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
