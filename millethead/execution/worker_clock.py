"""Estimates a worker's monotonic clock, which may run up to 2% slower than the agent's clock.

Each answer and heartbeat contains a reading of the worker's clock. It was taken between two known times of the agent's
clock; for a heartbeat, only the later one is known. The readings yield a lower and an upper bound of the worker's clock
at any time. The agent's times are in seconds, the worker's in milliseconds.
"""

from __future__ import annotations

import math

SLOWEST_RATE = 0.98  # lowest rate of the worker's clock relative to the agent's
MS = 1000.0


class WorkerClock:
    """Bounds of the clock of one worker instance, derived from all its readings."""

    def __init__(self) -> None:
        self._low: tuple[float, float] | None = None  # reading, and the latest time at which it can have been taken
        self._high: tuple[float, float] | None = None  # reading, and the earliest time at which it can have been taken

    def add_reading(self, clock_ms: float, earliest: float | None, latest: float) -> None:
        """Add a reading that was taken between the two times; `earliest` is None if it is not known."""
        if self._low is None or clock_ms > self._lowest(latest):
            self._low = (clock_ms, latest)
        if earliest is not None and (self._high is None or clock_ms < self._highest(earliest)):
            self._high = (clock_ms, earliest)

    @property
    def known(self) -> bool:
        """Whether there is any reading."""
        return self._low is not None

    def lowest(self, now: float) -> float:
        """Return the lowest value that the clock can show at `now`; -inf before the first reading."""
        return -math.inf if self._low is None else self._lowest(now)

    def highest(self, now: float) -> float:
        """Return the highest value that the clock can show at `now`; the lower bound if no upper bound is known."""
        if self._high is None:
            return self.lowest(now)
        return max(self._highest(now), self.lowest(now))

    def passed_by(self, clock_ms: float) -> float:
        """Return the time by which the clock has certainly reached `clock_ms`; +inf before the first reading."""
        if self._low is None:
            return math.inf
        reading, at = self._low
        return at + (clock_ms - reading) / (MS * SLOWEST_RATE)

    def _lowest(self, now: float) -> float:
        assert self._low is not None
        reading, at = self._low
        return reading + (now - at) * MS * SLOWEST_RATE

    def _highest(self, now: float) -> float:
        assert self._high is not None
        reading, at = self._high
        return reading + (now - at) * MS
