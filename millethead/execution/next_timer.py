"""Tracks the time at which a state machine has to be called next."""

from __future__ import annotations

import math


class NextTimer:
    """The earliest time, in seconds of the monotonic clock, at which something becomes due."""

    def __init__(self) -> None:
        self.at = math.inf

    def reset(self) -> None:
        """Forget all times; the state machine checks everything again."""
        self.at = math.inf

    def is_due(self, at: float, now: float) -> bool:
        """Return whether the time has come; if not, make sure that the timer expires by then."""
        if at <= now:
            return True
        self.at = min(self.at, at)
        return False
