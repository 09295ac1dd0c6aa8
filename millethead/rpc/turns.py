"""How long one turn of an event loop works on what its peers have sent.

A member that becomes the head hears from hundreds of agents at once. Worked off in one turn, their records hold up the
heartbeats of this member until others give it up. So what is left of a turn's slice waits for the next turns, in the
order in which it came, and timers and datagrams get their turn in between.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

SLICE_S = 0.01

Work = Callable[[], None]


class TurnSlices:
    """One slice of work for each turn of the loop. `now`: steady seconds; `soon(work)` has `work` done in the next
    turn."""

    def __init__(self, now: Callable[[], float], soon: Callable[[Work], None], slice_s: float = SLICE_S) -> None:
        self._now, self._soon, self._slice_s = now, soon, slice_s
        self._until: float | None = None  # the end of this turn's slice; None: nothing was done in this turn
        self._waiting: deque[Work] = deque()

    @property
    def spent(self) -> bool:
        """Whether what is left has to wait for a later turn. The first call in a turn begins its slice."""
        if self._until is None:
            self._until = self._now() + self._slice_s
            self._soon(self._next_turn)
            return False
        return self._now() >= self._until

    def defer(self, work: Work) -> None:
        """Have `work` go on in a later turn, after what waits already; it defers itself again where that turn's slice
        is spent too."""
        self._waiting.append(work)

    def _next_turn(self) -> None:
        self._until = None
        while self._waiting and not self.spent:
            self._waiting.popleft()()
