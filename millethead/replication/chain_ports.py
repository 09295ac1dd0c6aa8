"""Interfaces between a chain member and its environment, and the roles of a chain member."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from millethead.rpc.codec import Record
from millethead.storage.log import Entry, Snapshot


class Link(Protocol):
    """An ordered stream of records to another member. It may be lost at any time."""

    def send(self, record: Record) -> None: ...

    def close(self) -> None: ...


class ChainPorts(Protocol):
    """Disk, links and callbacks of a chain member."""

    def append(self, entries: Sequence[Entry], durable: Callable[[], None]) -> None: ...

    def truncate(self, sequence: int) -> None: ...

    def install(self, snapshot: Snapshot, durable: Callable[[], None]) -> None: ...

    def soon(self, call: Callable[[], None]) -> None:
        """Calls `call` in a later iteration of the event loop."""
        ...

    def open_link(self, address: str) -> None:
        """Opens a link to the successor. `Chain.link_opened` is called once it is open; a failed attempt is repeated by
        the implementation."""
        ...

    def committed(self, sequence: int) -> None:
        """Called at the head: all entries up to `sequence` are committed."""
        ...

    def barrier_passed(self, number: int) -> None:
        """Called at the head: all members of the chain were in the head's epoch when barrier `number` passed them."""
        ...

    def reconciled(self) -> None:
        """The log of this member now matches that of its predecessor."""
        ...


class Role(Enum):
    NOT_IN_CHAIN = "outside"  # not in the chain, or only an earlier process of this member is
    RECONCILING = "waiting"  # in the chain, but not yet reconciled with its predecessor
    FOLLOWER = "following"  # reconciled with its predecessor
    HEAD = "head"
