"""How long a disk has taken lately, by which a member leaves the chain or returns.

Only the disk is measured. A job may also wait because the thread that writes, or the event loop that waits for it, has
no processor: that says nothing about the disk, and a busy head that took it for a slow disk would hand over to the next
member, which has the same work to do. So the writer's thread tells when the disk has work, and the event loop tells
when it was held up itself: the thread may have waited for the interpreter meanwhile, with its write long done.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock

MEMORY_S = 2.0  # writes are remembered for so long
HELD_UP_S = 0.01  # an event loop that goes on so late was held up
MS = 1000


@dataclass(frozen=True, slots=True)
class _Span:
    """Seconds of the clock from `since` to `until`."""

    since: float
    until: float

    def overlap(self, other: _Span) -> float:
        """How long both last at once."""
        return max(0.0, min(self.until, other.until) - max(self.since, other.since))


class SyncTimes:
    """Told by whoever does the writes, in its thread; read on the event loop. `clock`: steady seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = Lock()  # guards all that follows
        self._writes: deque[_Span] = deque()
        self._held_up: deque[_Span] = deque()  # spans that follow one another
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
                self._writes.append(_Span(self._began, now))
            self._began = None
            self._idle_since = now

    def held_up(self, since: float) -> None:
        """The event loop should have gone on at `since`, and does so only now."""
        with self._lock:
            self._held_up.append(_Span(since, self._clock()))

    def latency_ms(self) -> int:
        """The longest write lately, or how long the present one is under way if that is more."""
        with self._lock:
            now = self._clock()
            _forget(self._writes, now - MEMORY_S)
            spans = list(self._writes)
            if self._began is not None:
                spans.append(_Span(self._began, now))
            _forget(self._held_up, min([now - MEMORY_S, *(span.since for span in spans)]))
            return int(MS * max(map(self._at_disk, spans), default=0.0))

    def _at_disk(self, write: _Span) -> float:
        """How long a write took (s), without the time in which the process was held up."""
        return write.until - write.since - sum(map(write.overlap, self._held_up))


def _forget(spans: deque[_Span], before: float) -> None:
    while spans and spans[0].until < before:
        spans.popleft()
