"""Measures the recent latency of the disk. A member leaves or rejoins the replication chain by it.

Only time spent in the disk counts. A job may also wait because the writer's thread or the event loop does not get a
processor, which says nothing about the disk. If a busy head mistook such a delay for a slow disk, it would hand
leadership to the next member, which then has the same load. Therefore the writer's thread reports when the disk starts
and finishes work, and the event loop reports its own delays: during these the thread may have been waiting for the
interpreter lock although its write was finished.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock

WINDOW_S = 2.0  # age up to which writes count
MIN_LOOP_DELAY_S = 0.01  # shorter delays of the event loop are ignored
MS = 1000


@dataclass(frozen=True, slots=True)
class _Interval:
    """An interval of the clock, in seconds."""

    start: float
    end: float

    def overlap(self, other: _Interval) -> float:
        """Returns the length of the intersection of two intervals, in seconds."""
        return max(0.0, min(self.end, other.end) - max(self.start, other.start))


class SyncTimes:
    """Records disk writes in the thread that executes them, and computes their latency on the event loop. `clock`
    returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = Lock()  # guards the attributes below
        self._writes: deque[_Interval] = deque()
        self._loop_delays: deque[_Interval] = deque()  # in order, without overlap
        self._idle_since = clock()
        self._busy_since: float | None = None  # time from which the oldest job in progress waits for the disk

    def record_start(self, queued_at: float) -> None:
        """Records that the disk starts a group of jobs, the oldest of which was queued at `queued_at`.

        The time that this job waited while the disk was busy with earlier jobs counts as latency.
        """
        with self._lock:
            now = self._clock()
            self._busy_since = now - max(0.0, self._idle_since - queued_at)

    def record_end(self, counts_as_latency: bool = True) -> None:
        """Records that the disk has finished that work. `counts_as_latency` is false if the work was not a write that a
        caller waits for.
        """
        with self._lock:
            now = self._clock()
            if self._busy_since is not None and counts_as_latency:
                self._writes.append(_Interval(self._busy_since, now))
            self._busy_since = None
            self._idle_since = now

    def record_loop_delay(self, due_at: float) -> None:
        """Records that the event loop should have continued at `due_at` and continues only now."""
        with self._lock:
            self._loop_delays.append(_Interval(due_at, self._clock()))

    def latency_ms(self) -> int:
        """Returns the longest recent write, or the duration of the write in progress if that is longer."""
        with self._lock:
            now = self._clock()
            _drop_before(self._writes, now - WINDOW_S)
            intervals = list(self._writes)
            if self._busy_since is not None:
                intervals.append(_Interval(self._busy_since, now))
            _drop_before(self._loop_delays, min([now - WINDOW_S, *(interval.start for interval in intervals)]))
            return int(MS * max(map(self._disk_time, intervals), default=0.0))

    def _disk_time(self, write: _Interval) -> float:
        """Returns the duration of a write in seconds, without the delays of the event loop during it."""
        return write.end - write.start - sum(map(write.overlap, self._loop_delays))


def _drop_before(intervals: deque[_Interval], before: float) -> None:
    while intervals and intervals[0].end < before:
        intervals.popleft()
