"""Controls when values may leave the head: only after the log entries on which they depend are committed.

The answer to a command waits for the commit of its own entry. The answer to a read waits for two things. A barrier must
have passed the whole chain since the read arrived, which proves without any clock that this member was still the head
then. And the last entry that the read may have seen must be committed. The commit alone is not enough: the
acknowledgements behind it may have been sent before the read arrived, and another head may have committed further
entries since.

The state of the head is the *applied* state, which may never be committed. Links of the head accept `Committed` values
only, and only `CommitGate` creates those. A value is captured when the gate is called and is released together with the
sequence number that it depends on, so a callback cannot leak anything that was applied later.
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
    """A value that depends on no log entry above `sequence`, which is committed. Created by this module only."""

    value: T
    sequence: int

    def derive(self, make: Callable[[T], U]) -> Committed[U]:
        """Return another committed value that is computed from this one alone."""
        return Committed(make(self.value), self.sequence)


def split_committed(released: Committed[tuple[T, ...]]) -> list[Committed[T]]:
    """Split a committed tuple into its committed elements."""
    return [Committed(value, released.sequence) for value in released.value]


def from_view(record: CallerWelcome | CallerPong) -> Committed[Record]:
    """Wrap a record that depends on the agreed view only and on no log entry."""
    return Committed(record, 0)


class HeadLink(Protocol):
    """Connection of the head to an agent or a caller."""

    def send(self, record: Record) -> None: ...

    def close(self) -> None: ...


class ChainHead(Protocol):
    """Operations of the replication chain that the head uses."""

    committed: int

    def propose(self, payload: bytes) -> tuple[int, object]:
        """Append an entry and apply it; return its sequence number and the result."""

    def send_barrier(self) -> int:
        """Send a barrier along the chain; return its number."""


class UncommittedRelease(AssertionError):
    """A record that depends on an uncommitted log entry was about to leave the head."""


@dataclass(frozen=True, slots=True)
class CommittedLink:
    """Wrapper of a link that lets only committed records leave the head.

    The sequence number is checked once more here. On a violation the member fails with UncommittedRelease and sends
    nothing.
    """

    link: HeadLink
    chain: ChainHead

    def send(self, record: Committed[R]) -> None:
        """Send a record, provided that everything it depends on is committed."""
        if record.sequence > self.chain.committed:
            raise UncommittedRelease(
                f"record depends on entry {record.sequence}, but only {self.chain.committed} is committed"
            )
        self.link.send(record.value)

    def close(self) -> None:
        self.link.close()


Release = Callable[[], None]
_PendingRead = tuple[int, Release]  # sequence of the last entry that the read may have seen, and the callback


class CommitGate:
    """Queue of callbacks that wait for a commit or for a barrier, in the order of their release."""

    def __init__(self, chain: ChainHead, soon: Callable[[Callable[[], None]], None]) -> None:
        self._chain, self._soon = chain, soon
        self._last_sequence = chain.committed
        self._awaiting_commit: deque[tuple[int, Release]] = deque()
        self._awaiting_next_barrier: list[_PendingRead] = []
        self._awaiting_barrier: list[_PendingRead] = []  # sent and not passed yet
        self._pending_barrier = 0
        self._barrier_scheduled = False
        self.closed = False

    def propose(self, command: Record) -> object:
        """Append a command to the log; return its result, which is applied but not committed yet."""
        self._last_sequence, result = self._chain.propose(encode_any(command))
        return result

    @property
    def uncommitted(self) -> int:
        """Number of log entries that are not committed yet."""
        return max(0, self._last_sequence - self._chain.committed)

    def after_commit(self, value: T, callback: Callable[[Committed[T]], None]) -> None:
        """Call `callback` with the present value once everything applied so far is committed.

        The call is immediate if that is the case already.
        """
        released = Committed(value, self._last_sequence)
        self._after_commit_of(released.sequence, lambda: callback(released))

    def _after_commit_of(self, sequence: int, callback: Release) -> None:
        if sequence <= self._chain.committed:
            callback()
        else:
            insort(self._awaiting_commit, (sequence, callback), key=lambda pending: pending[0])

    def confirm(self, value: T, callback: Callable[[Committed[T]], None]) -> None:
        """Call `callback` with the present value once it is committed and was certainly up to date at this call."""
        released = Committed(value, self._last_sequence)
        self._awaiting_next_barrier.append((released.sequence, lambda: callback(released)))
        if not self._awaiting_barrier and not self._barrier_scheduled:
            self._barrier_scheduled = True
            self._soon(self._send_barrier)

    def confirm_newest(self, capture: Callable[[], T], callback: Callable[[Committed[T]], None]) -> None:
        """Like `confirm`, for the first value of a stream.

        `capture` is called once this member is confirmed as the head, and its result is released once everything
        applied by then is committed. Values that are released later through `after_commit` depend on later entries, so
        the stream has no gap.
        """

        def confirmed(_: Committed[None]) -> None:
            self.after_commit(capture(), callback)

        self.confirm(None, confirmed)

    def _send_barrier(self) -> None:
        self._barrier_scheduled = False
        if self.closed or not self._awaiting_next_barrier:
            return
        self._awaiting_barrier, self._awaiting_next_barrier = self._awaiting_next_barrier, []
        self._pending_barrier = self._chain.send_barrier()

    def barrier_passed(self, number: int) -> None:
        """Release the reads that waited for the barrier, if `number` is at least its number."""
        if self.closed or not self._awaiting_barrier or number < self._pending_barrier:
            return
        ready, self._awaiting_barrier = self._awaiting_barrier, []
        for sequence, callback in ready:
            self._after_commit_of(sequence, callback)
        if self._awaiting_next_barrier and not self._barrier_scheduled:
            self._barrier_scheduled = True
            self._soon(self._send_barrier)

    def continue_in_view(self) -> None:
        """Continue as the head in another view.

        A pending barrier was lost with the links of the previous view, so the reads that waited for it wait for a new
        barrier. Pending entries are committed by the members of the new chain.
        """
        self._awaiting_next_barrier = self._awaiting_barrier + self._awaiting_next_barrier
        self._awaiting_barrier = []
        if self._awaiting_next_barrier and not self._barrier_scheduled:
            self._barrier_scheduled = True
            self._soon(self._send_barrier)

    def committed(self, sequence: int) -> None:
        """Release what waited for the commit of entries up to `sequence`."""
        while self._awaiting_commit and self._awaiting_commit[0][0] <= sequence and not self.closed:
            self._awaiting_commit.popleft()[1]()

    def close(self) -> None:
        """End the epoch: pending callbacks are dropped and never called."""
        self.closed = True
        self._awaiting_commit.clear()
        self._awaiting_next_barrier.clear()
        self._awaiting_barrier.clear()
