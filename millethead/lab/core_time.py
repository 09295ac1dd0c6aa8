"""Virtual time in seconds for the emulation of the core: events in the order of their time, then of their arrival."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Timeline:
    """Time that only `run` moves."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = count()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call `call` once `delay_s` seconds have passed."""
        heapq.heappush(self._due, (self.now + max(0.0, delay_s), next(self._count), call))

    def run(self, until: float) -> None:
        """Let time pass up to and with `until`."""
        while self._due and self._due[0][0] <= until:
            at, _, call = heapq.heappop(self._due)
            self.now = max(self.now, at)
            self.events += 1
            call()
        self.now = max(self.now, until)
