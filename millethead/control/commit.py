"""When the head may let something out: values worked out from the applied state, and values that are committed.

A command's answer waits for the commit of its own entry. A read's answer waits for a barrier that has passed the whole
chain since the read came, which shows without any clock that this member was still the head then, and for the commit
of the last entry that it may have seen. That commit alone would not do: the acknowledgements that it rests on may have
been sent before the read came, and another head may have committed more since.

The state of the head holds what was *applied*, which may never be committed. Links of the head accept `Committed`
values only, and nothing but `CommitGate` makes one: the value is captured when the gate is asked, and released
together with the sequence that it rests on. So a callback cannot tell of what was applied after that.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from millethead.control.calls import CallerPong, CallerWelcome
from millethead.rpc.codec import Record, encode_any

T = TypeVar("T")
U = TypeVar("U")
R = TypeVar("R", bound=Record)


@dataclass(frozen=True, slots=True)
class Committed(Generic[T]):
    """A value that rests on no entry above `sequence`, which is committed. Made by this module alone."""

    value: T
    sequence: int

    def derive(self, make: Callable[[T], U]) -> Committed[U]:
        """Another value that is worked out from this one alone."""
        return Committed(make(self.value), self.sequence)


def each(released: Committed[tuple[T, ...]]) -> list[Committed[T]]:
    """The values of a committed tuple, one by one."""
    return [Committed(value, released.sequence) for value in released.value]


def of_view(record: CallerWelcome | CallerPong) -> Committed[Record]:
    """A record that tells of the agreed view only, and of no entry."""
    return Committed(record, 0)


class HeadLink(Protocol):
    """A connection of an agent or a caller."""

    def send(self, record: Record) -> None: ...

    def close(self) -> None: ...


class ChainHead(Protocol):
    """What the chain offers to its head."""

    committed: int

    def propose(self, payload: bytes) -> tuple[int, object]: ...

    def send_barrier(self) -> int: ...


class UncommittedRelease(AssertionError):
    """A record was to leave the head that rests on an entry which is not committed."""


@dataclass(frozen=True, slots=True)
class CommittedLink:
    """The one way by which records leave the head: only what is committed passes, which is looked at once more here;
    the member ends (UncommittedRelease) sooner than it tells of anything else."""

    link: HeadLink
    chain: ChainHead

    def send(self, record: Committed[R]) -> None:
        if record.sequence > self.chain.committed:
            raise UncommittedRelease(f"entry {record.sequence}, and {self.chain.committed} is committed")
        self.link.send(record.value)

    def close(self) -> None:
        self.link.close()


Release = Callable[[], None]
_Read = tuple[int, Release]  # the last entry that it may have seen, and what then


class CommitGate:
    """Callbacks in the order of their release."""

    def __init__(self, chain: ChainHead, soon: Callable[[Callable[[], None]], None]) -> None:
        self._chain, self._soon = chain, soon
        self._last = chain.committed
        self._commits: deque[tuple[int, Release]] = deque()
        self._reads: list[_Read] = []  # wait for a barrier that is not yet sent
        self._confirming: list[_Read] = []  # wait for the barrier under way
        self._barrier = 0
        self._sending = False
        self.closed = False

    def propose(self, command: Record) -> object:
        """Append a command; returns its result, which is applied and not committed yet."""
        self._last, result = self._chain.propose(encode_any(command))
        return result

    @property
    def uncommitted(self) -> int:
        """Entries that are not committed yet."""
        return max(0, self._last - self._chain.committed)

    def after_commit(self, value: T, then: Callable[[Committed[T]], None]) -> None:
        """Call `then` with the value, as it is now, once everything applied so far is committed: at once where it
        is."""
        released = Committed(value, self._last)
        self._after_commit_of(released.sequence, lambda: then(released))

    def _after_commit_of(self, sequence: int, then: Release) -> None:
        if sequence <= self._chain.committed:
            then()
        else:
            insort(self._commits, (sequence, then), key=lambda waiting: waiting[0])

    def confirm(self, value: T, then: Callable[[Committed[T]], None]) -> None:
        """Call `then` with the value, as it is now, once it is certain that it is committed and was not out of date
        when this was called."""
        released = Committed(value, self._last)
        self._reads.append((released.sequence, lambda: then(released)))
        if not self._confirming and not self._sending:
            self._sending = True
            self._soon(self._send_barrier)

    def confirm_newest(self, capture: Callable[[], T], then: Callable[[Committed[T]], None]) -> None:
        """As `confirm`, for the beginning of a stream: `capture` is called when this member was certainly the head,
        and what it returns is released once all is committed that was applied by then. What is released later
        through `after_commit` rests on later entries, so that nothing is missed in between."""

        def confirmed(_: Committed[None]) -> None:
            self.after_commit(capture(), then)

        self.confirm(None, confirmed)

    def _send_barrier(self) -> None:
        self._sending = False
        if self.closed or not self._reads:
            return
        self._confirming, self._reads = self._reads, []
        self._barrier = self._chain.send_barrier()

    def barrier_passed(self, number: int) -> None:
        if self.closed or not self._confirming or number < self._barrier:
            return
        ready, self._confirming = self._confirming, []
        for last, then in ready:
            self._after_commit_of(last, then)
        if self._reads and not self._sending:
            self._sending = True
            self._soon(self._send_barrier)

    def leads_on(self) -> None:
        """The head goes on in another view. A barrier that was under way ended with the links of the view before, so
        reads that waited for it wait for another one; entries are committed by the members of the new chain."""
        self._reads = self._confirming + self._reads
        self._confirming = []
        if self._reads and not self._sending:
            self._sending = True
            self._soon(self._send_barrier)

    def committed(self, sequence: int) -> None:
        while self._commits and self._commits[0][0] <= sequence and not self.closed:
            self._commits.popleft()[1]()

    def close(self) -> None:
        """The epoch is over: nothing that waits is ever called."""
        self.closed = True
        self._commits.clear()
        self._reads.clear()
        self._confirming.clear()
