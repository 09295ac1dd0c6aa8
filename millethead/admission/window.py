"""The admission window: how many admitted jobs may wait for a worker at once. It is as small as keeps every slot busy.

Admitted jobs that have started do not count, since the decision module sends a job as soon as a slot is free. If
admitted jobs wait longer than the target for a whole interval, the window is too large and shrinks by a factor. If no
admitted job is waiting while others are queued, slots may have been idle, and the window grows by one.

Alternative considered: a limit on all admitted jobs (gradient, Vegas). It would have to learn the number of slots,
which the decision module knows already and which changes whenever a worker joins or leaves.
"""

from __future__ import annotations

from math import inf

INTERVAL_MS = 100.0  # as in CoDel (RFC 8289, section 4.2)


class AdmissionWindow:
    """The window size, between `minimum` and `maximum` jobs. `target` is the intended wait for a worker in ms."""

    def __init__(self, minimum: int, maximum: int, target: float) -> None:
        self.minimum, self.maximum, self.target = minimum, maximum, target
        self._size = float(minimum)
        self.reason = "start"
        self._over_target_since = inf

    def waited(self, now: float, wait: float) -> None:
        """Records that an admitted job was sent to a worker after `wait` ms."""
        if wait < self.target:
            self._over_target_since = inf
        elif self._over_target_since == inf:
            self._over_target_since = now
        elif now - self._over_target_since >= INTERVAL_MS:
            self._size = max(float(self.minimum), self._size * 0.8)
            self._over_target_since, self.reason = now, "waits inside are over the target"

    def ran_empty(self) -> None:
        """Records that all admitted jobs had started while others were queued."""
        if self._size < self.maximum:
            self._size = min(float(self.maximum), self._size + 1)
            self.reason = "all inside had started"

    @property
    def size(self) -> int:
        return int(self._size)
