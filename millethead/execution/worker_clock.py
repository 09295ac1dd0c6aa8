"""What is known of a worker's steady clock, which may run up to 2% slow against the agent's.

Every answer and heartbeat carries a reading that was taken at some moment between two moments of the agent's clock
(of a heartbeat only the later one is known). From these follow two bounds of what the worker's clock shows now.
Agent's times are seconds of its steady clock; the worker's are milliseconds.
"""

from __future__ import annotations

import math

SLOWEST_RATE = 0.98  # of the worker's clock against the agent's
MS = 1000.0


class WorkerClock:
    """Bounds of the clock of one life, from all of its readings."""

    def __init__(self) -> None:
        self._low: tuple[float, float] | None = None  # reading, and when it had been taken at the latest
        self._high: tuple[float, float] | None = None  # reading, and when it had not been taken yet

    def add_reading(self, clock_ms: float, earliest: float | None, latest: float) -> None:
        """Take in a reading made between the two moments; `earliest` None: not known."""
        if self._low is None or clock_ms > self._lowest(latest):
            self._low = (clock_ms, latest)
        if earliest is not None and (self._high is None or clock_ms < self._highest(earliest)):
            self._high = (clock_ms, earliest)

    @property
    def known(self) -> bool:
        """Whether there is a reading at all."""
        return self._low is not None

    def lowest(self, now: float) -> float:
        """The least that the clock can show at `now`; -inf before the first reading."""
        return -math.inf if self._low is None else self._lowest(now)

    def highest(self, now: float) -> float:
        """The most that the clock can show at `now`, the lower bound where no other is known."""
        if self._high is None:
            return self.lowest(now)
        return max(self._highest(now), self.lowest(now))

    def passed_by(self, clock_ms: float) -> float:
        """The moment by which the clock has certainly reached `clock_ms`; +inf before the first reading."""
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
