"""What members tell each other: records of members, updates of their state, and the datagrams that carry them."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class State(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What a member says of itself: name, address (host:port where others reach its membership socket), start (Unix
    time of its process, seconds), console address or empty, what it serves, whether it drains, its version, and whether
    it takes clients."""

    name: str
    address: str
    start: float = 0.0
    console: str = ""
    serves: str = ""
    drain: bool = False
    version: str = ""
    ready: bool = False


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A piece of news of one member."""

    record: Record
    incarnation: int
    state: int
    by: str = ""  # who suspects; counts independent confirmations


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One datagram. kind: ping, ack, nack, ping-req, sync (full state; seq 0 wants an answer), ask, grant, release
    (shares). `start` tells processes of one name apart; `fleet` is what the sender counts now; `units` are lent."""

    kind: str
    seq: int
    sender: str
    target: str = ""
    start: float = 0.0
    fleet: int = 1
    units: int = 0
    updates: tuple[Update, ...] = ()
