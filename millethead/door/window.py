"""How many jobs may wait for a worker inside at once: as few as keep every free slot used.

Jobs inside that have started do not count: the module sends them when a slot is free. If jobs wait inside longer than
the target over a whole interval, the window is too wide and shrinks (multiplicative); if the window was empty while
others stood at the door, slots may have been idle, and it grows. Weighed: a limit on all jobs inside (gradient, Vegas)
would have to learn the number of slots, which the module knows and changes with every worker that comes or goes.
"""

from __future__ import annotations

from math import inf

INTERVAL = 100.0  # ms, as CoDel (RFC 8289, section 4.2) has it


class Window:
    def __init__(self, least: int, most: int, target: float) -> None:
        self.least, self.most, self.target = least, most, target
        self.size = float(least)
        self.why = "start"
        self._over_since = inf

    def waited(self, now: float, wait: float) -> None:
        """A job was sent to a worker after `wait` ms inside."""
        if wait < self.target:
            self._over_since = inf
        elif self._over_since == inf:
            self._over_since = now
        elif now - self._over_since >= INTERVAL:
            self.size = max(float(self.least), self.size * 0.8)
            self._over_since, self.why = now, "waits inside are over the target"

    def ran_dry(self) -> None:
        """All that had been let in had started, while more stood at the door."""
        if self.size < self.most:
            self.size = min(float(self.most), self.size + 1)
            self.why = "all inside had started"

    @property
    def room(self) -> int:
        return int(self.size)
