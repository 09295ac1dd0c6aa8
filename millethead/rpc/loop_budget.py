"""Limits the time that one iteration of an event loop spends on data received from peers.

When a member becomes the head, hundreds of agents connect and send records at once. Handling all of them in one
iteration would delay this member's heartbeats until the other members suspect it of having failed. So the records
beyond the budget of an iteration wait for later iterations, in the order in which they arrived, and timers and
datagrams are handled in between.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

ITERATION_BUDGET_S = 0.01

Work = Callable[[], None]


class IterationBudget:
    """Time budget for each iteration of the loop. `now` returns steady seconds; `soon(work)` schedules `work` for the
    next iteration."""

    def __init__(
        self, now: Callable[[], float], soon: Callable[[Work], None], budget_s: float = ITERATION_BUDGET_S
    ) -> None:
        self._now, self._soon, self._budget_s = now, soon, budget_s
        self._until: float | None = None  # when this iteration's budget ends; None before its first work
        self._waiting: deque[Work] = deque()

    @property
    def exhausted(self) -> bool:
        """Whether further work has to wait for a later iteration. The first call in an iteration starts its budget."""
        if self._until is None:
            self._until = self._now() + self._budget_s
            self._soon(self._next_iteration)
            return False
        return self._now() >= self._until

    def defer(self, work: Work) -> None:
        """Calls `work` in a later iteration, after the work that already waits. It has to defer itself again if the
        budget of that iteration is exhausted too."""
        self._waiting.append(work)

    def _next_iteration(self) -> None:
        self._until = None
        while self._waiting and not self.exhausted:
            self._waiting.popleft()()
