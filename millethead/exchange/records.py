"""What is remembered of jobs by their ids, for a bounded time and number."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from millethead.exchange.model import Answer, Final

KEPT = 32768  # outcomes remembered
KEPT_FOR = 600_000.0  # ms that an outcome is remembered
WITHDRAWN = "withdrawn"


@dataclass(slots=True)
class Record:
    """A job by its id. `ended` with no `final`: its client withdrew it. `state` is a stage's word for a job
    that it holds back, or why it ended there."""

    at: float
    final: Final | None = None
    may_have_run: bool = False
    came: float = 0.0
    attempts: int = 0
    ended: bool = False
    state: str = ""


def ended_unsent(answer: Answer | None, came: float, now: float) -> Record:
    """The outcome of a job that a stage ended before any worker had it (None: it was withdrawn)."""
    return Record(
        now,
        answer.final if answer is not None else None,
        came=came,
        ended=True,
        state=WITHDRAWN if answer is None else "",
    )


class Records:
    """Outcomes by (origin, id): the oldest go first, by number and by age."""

    def __init__(self) -> None:
        self._kept: OrderedDict[tuple[str, str], Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def get(self, name: tuple[str, str]) -> Record | None:
        return self._kept.get(name)

    def put(self, name: tuple[str, str], record: Record, now: float) -> None:
        kept = self._kept
        kept[name] = record
        kept.move_to_end(name)
        while kept and (len(kept) > KEPT or next(iter(kept.values())).at < now - KEPT_FOR):
            kept.popitem(last=False)
