"""Counters by job class since the start of the process."""

from __future__ import annotations

from millethead.exchange.model import Final


class JobCounters:
    """Counters by job class.

    `served`, `refused` and `failed` count final answers. `written` counts attempts whose request was written
    completely.
    """

    __slots__ = ("failed", "refused", "served", "written")

    def __init__(self, classes: int) -> None:
        self.served, self.refused, self.failed, self.written = ([0] * classes for _ in range(4))

    def final(self, job_class: int, final: Final) -> None:
        """Counts one final answer."""
        counts = self.served if final is Final.SERVED else self.refused if final is Final.REFUSED else self.failed
        counts[job_class] += 1
