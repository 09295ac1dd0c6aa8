"""Simulated connections: records arrive in order after a delay, are delayed by a partition, and are lost by a reset."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from millethead.lab.core_time import Timeline
from millethead.rpc.codec import Record

LEAST_DELAY_S, MOST_DELAY_S = 0.0003, 0.004


class WireEnd:
    """One end of a connection. `received` and `closed` are called for what comes from the other end."""

    def __init__(self, wire: Wire) -> None:
        self._wire = wire
        self.other: WireEnd = self
        self.open = True
        self.received: Callable[[Record], None] = lambda record: None
        self.closed: Callable[[], None] = lambda: None
        self.held: list[Record | None] = []  # delayed by a partition; None: the other end has closed
        self.last_at = 0.0

    def send(self, record: Record) -> None:
        """Send to the other end; without effect once this end is closed."""
        if self.open:
            self._wire.carry(self.other, record)

    def close(self) -> None:
        """Reset the connection: delayed records are lost, and the other end is notified after the partition."""
        if not self.open:
            return
        self.open = False
        self.other.held.clear()
        self._wire.carry(self.other, None)

    def vanish(self) -> None:
        """Close this end without notifying the other one, like a machine that loses power."""
        self.open = False

    def take(self, item: Record | None) -> None:
        """Handle a record, or the end of the connection."""
        if not self.open:
            return
        if item is None:
            self.open = False
            self.closed()
        else:
            self.received(item)


class Wire:
    """A connection between a program (`near`) and a member of the core (`far`)."""

    def __init__(self, timeline: Timeline, random: Random) -> None:
        self._timeline, self._random = timeline, random
        self.near, self.far = WireEnd(self), WireEnd(self)
        self.near.other, self.far.other = self.far, self.near
        self.cut = False

    def carry(self, to: WireEnd, item: Record | None) -> None:
        """Deliver a record or a close to an end after a delay, in order."""
        now = self._timeline.now
        to.last_at = max(now + self._random.uniform(LEAST_DELAY_S, MOST_DELAY_S), to.last_at)
        self._timeline.after(to.last_at - now, lambda: self._arrive(to, item))

    def _arrive(self, to: WireEnd, item: Record | None) -> None:
        if self.cut or to.held:
            to.held.append(item)
        else:
            to.take(item)

    def set_cut(self, cut: bool) -> None:
        """Partition the connection silently, or heal it, which delivers the delayed records."""
        self.cut = cut
        if cut:
            return
        for end in (self.near, self.far):
            held, end.held = end.held, []
            for item in held:
                end.take(item)
