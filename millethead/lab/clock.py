"""Clocks for tests and experiments: one that moves when told, and one that runs faster than time."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from itertools import count

from millethead.net.exchange import LoopClock, _Timer


class Timer:
    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class VirtualClock:
    """Time that only `run` moves (ms). The wall clock is `ahead` of it, and may be stepped."""

    def __init__(self, start: float = 1_700_000_000_000.0) -> None:
        self.time, self.ahead = start, 0.0
        self._due: list[tuple[float, int, Timer]] = []
        self._count = count()

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time + self.ahead

    def later(self, delay: float, call: Callable[[], None]) -> Timer:
        timer = Timer(call)
        heapq.heappush(self._due, (self.time + max(0.0, delay), next(self._count), timer))
        return timer

    def run(self, until: float) -> None:
        """Let time pass up to and with `until`."""
        while self._due and self._due[0][0] <= until:
            at, _, timer = heapq.heappop(self._due)
            self.time = max(self.time, at)
            call, timer.call = timer.call, None
            if call is not None:
                call()
        self.time = max(self.time, until)


class FastClock(LoopClock):
    """The loop's clock, `speed` times as fast from its start on; its wall clock may be stepped too."""

    def __init__(self, speed: float) -> None:
        super().__init__()
        self.speed, self.ahead = speed, 0.0
        self._start, self._began = time.time() * 1000, time.monotonic()

    def now(self) -> float:
        return self._start + (time.monotonic() - self._began) * 1000 * self.speed

    def wall(self) -> float:
        return self.now() + self.ahead

    def later(self, delay: float, call: Callable[[], None]) -> _Timer:
        return super().later(delay / self.speed, call)
