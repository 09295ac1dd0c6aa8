"""What a member's part in the chain needs of its surroundings, and the roles that it may have."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from millethead.rpc.codec import Record
from millethead.storage.log import Entry, Snapshot


class Link(Protocol):
    """An ordered stream to another member; it may end at any time."""

    def send(self, record: Record) -> None: ...

    def close(self) -> None: ...


class ChainPorts(Protocol):
    """What the chain needs of its surroundings."""

    def append(self, entries: Sequence[Entry], durable: Callable[[], None]) -> None: ...

    def truncate(self, sequence: int) -> None: ...

    def install(self, snapshot: Snapshot, durable: Callable[[], None]) -> None: ...

    def soon(self, call: Callable[[], None]) -> None:
        """Call `call` in a later turn of the loop."""
        ...

    def open_link(self, address: str) -> None:
        """Open a link to the successor; ends in `Chain.link_opened` or `Chain.link_lost(None)`."""
        ...

    def committed(self, sequence: int) -> None:
        """At the head: everything up to `sequence` is committed."""
        ...

    def barrier_passed(self, number: int) -> None:
        """At the head: every member was still in the epoch when barrier `number` passed it."""
        ...

    def synced_to_head(self) -> None:
        """This member now holds what its predecessor holds."""
        ...


class Role(Enum):
    OUTSIDE = "outside"  # no place in the chain, or an earlier process of this member has it
    WAITING = "waiting"  # has a place; not yet reconciled with its predecessor
    FOLLOWING = "following"
    HEAD = "head"
