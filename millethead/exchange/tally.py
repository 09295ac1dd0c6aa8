"""Counts by job class since the start of the process. Each is raised at the one place where the thing happens."""

from __future__ import annotations

from millethead.exchange.model import Final


class Tally:
    """`served`, `refused` and `failed` count final answers, `written` attempts whose last byte was written."""

    __slots__ = ("failed", "refused", "served", "written")

    def __init__(self, classes: int) -> None:
        self.served, self.refused, self.failed, self.written = ([0] * classes for _ in range(4))

    def final(self, job_class: int, final: Final) -> None:
        counts = self.served if final is Final.SERVED else self.refused if final is Final.REFUSED else self.failed
        counts[job_class] += 1
