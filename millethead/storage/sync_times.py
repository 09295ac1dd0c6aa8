"""How long a disk's writes have taken lately, by which a member leaves the chain or returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MEMORY_S = 2.0  # writes are remembered for so long
MS = 1000


class SyncTimes:
    """`clock`: steady seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._taken: deque[tuple[float, int]] = deque()  # when each write was done, and how long it took (ms)

    def timed(self, done: Callable[[], None]) -> Callable[[], None]:
        """A write begins now; what is returned is to be called in place of `done` when it is durable."""
        began = self._clock()

        def timed() -> None:
            now = self._clock()
            self._taken.append((now, int(MS * (now - began))))
            done()

        return timed

    def latency_ms(self, pending_since: float | None) -> int:
        """The longest write lately, or how long the present one is pending if that is more."""
        now = self._clock()
        while self._taken and now - self._taken[0][0] > MEMORY_S:
            self._taken.popleft()
        longest = max((taken for _, taken in self._taken), default=0)
        return longest if pending_since is None else max(longest, int(MS * (now - pending_since)))
