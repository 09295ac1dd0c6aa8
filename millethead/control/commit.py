"""What waits for a commit: answers are released only when everything they rest on is committed.

A command's answer waits for the commit of its own entry. A read's answer waits for a barrier that has passed the whole
chain since the read came, which shows without any clock that this member was still the head then, and for the commit
of the last entry that it may have seen. That commit alone would not do: the acknowledgements that it rests on may have
been sent before the read came, and another head may have committed more since.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Callable
from typing import Protocol

from millethead.rpc.codec import Record, encode_any


class ChainHead(Protocol):
    """What the chain offers to its head."""

    committed: int

    def propose(self, payload: bytes) -> tuple[int, object]: ...

    def send_barrier(self) -> int: ...


_Read = tuple[int, Callable[[], None]]  # the last entry that it may have seen, and what then


class CommitGate:
    """Callbacks in the order of their release."""

    def __init__(self, chain: ChainHead, soon: Callable[[Callable[[], None]], None]) -> None:
        self._chain, self._soon = chain, soon
        self._last = chain.committed
        self._commits: deque[tuple[int, Callable[[], None]]] = deque()
        self._reads: list[_Read] = []  # wait for a barrier that is not yet sent
        self._confirming: list[_Read] = []  # wait for the barrier under way
        self._barrier = 0
        self._sending = False
        self.closed = False

    def propose(self, command: Record, then: Callable[[], None] | None = None) -> object:
        """Append a command; returns its result, which holds once `then` is called."""
        self._last, result = self._chain.propose(encode_any(command))
        if then is not None:
            self.after_commit(then)
        return result

    @property
    def uncommitted(self) -> int:
        """Entries that are not committed yet."""
        return max(0, self._last - self._chain.committed)

    def after_commit(self, then: Callable[[], None]) -> None:
        """Call `then` once everything appended so far is committed: at once where it is."""
        self._after_commit_of(self._last, then)

    def _after_commit_of(self, sequence: int, then: Callable[[], None]) -> None:
        if sequence <= self._chain.committed:
            then()
        else:
            insort(self._commits, (sequence, then), key=lambda waiting: waiting[0])

    def confirm(self, then: Callable[[], None]) -> None:
        """Call `then` once it is certain that what can be read now is committed and not out of date."""
        self._reads.append((self._last, then))
        if not self._confirming and not self._sending:
            self._sending = True
            self._soon(self._send_barrier)

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

    def committed(self, sequence: int) -> None:
        while self._commits and self._commits[0][0] <= sequence and not self.closed:
            self._commits.popleft()[1]()

    def close(self) -> None:
        """The epoch is over: nothing that waits is ever called."""
        self.closed = True
        self._commits.clear()
        self._reads.clear()
        self._confirming.clear()
