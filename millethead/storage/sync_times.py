"""How long a disk has taken lately, by which a member leaves the chain or returns.

Only the disk is measured. A job may also wait because the thread that writes, or the event loop that waits for it, has
no processor: that says nothing about the disk, and a busy head that took it for a slow disk would hand over to the next
member, which has the same work to do.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock

MEMORY_S = 2.0  # writes are remembered for so long
MS = 1000


@dataclass(frozen=True, slots=True)
class _Taken:
    """A write that is over."""

    at: float
    seconds: float


class SyncTimes:
    """Told by whoever does the writes, in its thread; read in any thread. `clock`: steady seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = Lock()  # guards all that follows
        self._taken: deque[_Taken] = deque()
        self._idle_since = clock()
        self._began: float | None = None  # when the disk began to be what the oldest job under way waits for

    def started(self, waiting_since: float) -> None:
        """The disk is given work whose oldest job was queued at `waiting_since`. Of its wait the part counts in which
        the disk did what was queued before."""
        with self._lock:
            now = self._clock()
            self._began = now - max(0.0, self._idle_since - waiting_since)

    def finished(self, counts: bool = True) -> None:
        """The disk has done that work; `counts` false: it was not a write that anybody waits for."""
        with self._lock:
            now = self._clock()
            if self._began is not None and counts:
                self._taken.append(_Taken(now, now - self._began))
            self._began = None
            self._idle_since = now

    def latency_ms(self) -> int:
        """The longest write lately, or how long the present one is under way if that is more."""
        with self._lock:
            now = self._clock()
            while self._taken and now - self._taken[0].at > MEMORY_S:
                self._taken.popleft()
            longest = max((taken.seconds for taken in self._taken), default=0.0)
            under_way = now - self._began if self._began is not None else 0.0
        return int(MS * max(longest, under_way))
