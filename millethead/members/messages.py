"""Messages between members: member records, updates of member states, and the datagrams that carry them."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class State(IntEnum):
    """State of a member."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A member's description of itself: name, address (host:port of its membership socket, as other members reach it),
    start time of its process (Unix time, seconds), console address or empty, free text on what it serves, whether it is
    draining, its version, and whether it accepts clients."""

    name: str
    address: str
    start: float = 0.0
    console: str = ""
    serves: str = ""
    draining: bool = False
    version: str = ""
    ready: bool = False


class Update(msgspec.Struct, frozen=True, array_like=True):
    """State of one member at one incarnation."""

    record: Record
    incarnation: int
    state: int
    suspected_by: str = ""  # the suspecting member; independent confirmations are counted by it


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One datagram. `kind` is ping, ack, nack, ping-req, sync (membership state; seq 0 requests the receiver's full
    state), or one of the share messages ask, grant and release. `start` is the start time of the sender's process and
    distinguishes processes of the same name. `fleet_size` is the number of members that the sender counts. `units` is
    the size of a grant."""

    kind: str
    seq: int
    sender: str
    target: str = ""
    start: float = 0.0
    fleet_size: int = 1
    units: int = 0
    updates: tuple[Update, ...] = ()
