"""The processor of an emulated process: its calls are done one after another, and each takes the time that it costs.

As in an event loop, what is ready when a turn begins is done in that turn; what comes meanwhile waits for the next one,
timers too.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from millethead.lab.core_time import Timeline

Call = Callable[[], None]


class Processor:
    """One process's share of a processor."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._ready: list[Call] = []
        self._busy = False
        self.spent_s = 0.0  # in the call that is being done

    def post(self, call: Call) -> None:
        """Have a call done in its turn."""
        self._ready.append(call)
        if not self._busy:
            self._busy = True
            self._turn()

    def spend(self, seconds: float) -> None:
        """The call that is being done takes so much longer."""
        self.spent_s += seconds

    def _turn(self) -> None:
        batch, self._ready = self._ready, []
        self._go_on(batch, 0)

    def _go_on(self, batch: list[Call], at: int) -> None:
        for number in range(at, len(batch)):
            batch[number]()
            spent, self.spent_s = self.spent_s, 0.0
            if spent:
                self._timeline.after(spent, partial(self._go_on, batch, number + 1))
                return
        if self._ready:
            self._turn()
        else:
            self._busy = False
