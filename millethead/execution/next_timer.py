"""When a pure machine has to be called again."""

from __future__ import annotations

import math


class NextTimer:
    """Collects the moments that lie ahead, in the machine's steady seconds."""

    def __init__(self) -> None:
        self.at = math.inf

    def reset(self) -> None:
        """Nothing lies ahead any more: all is looked at anew."""
        self.at = math.inf

    def is_due(self, at: float, now: float) -> bool:
        """Whether the moment has come; if not, it lies ahead."""
        if at <= now:
            return True
        self.at = min(self.at, at)
        return False
