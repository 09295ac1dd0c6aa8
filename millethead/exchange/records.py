"""Records of jobs by id. The records of ended jobs are kept for a bounded time, up to a bounded number."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from millethead.exchange.model import Answer, Final

MAX_RECORDS = 32768
RECORD_LIFETIME_MS = 600_000.0
WITHDRAWN = "withdrawn"


@dataclass(slots=True)
class Record:
    """The state of one job.

    at: when the record last changed (ms).
    final: the kind of answer; None while the job is held, and for a job that its client withdrew (`ended` is
        then set).
    may_have_run: some attempt may have executed the job.
    came: when the job arrived (ms).
    state: the name of the state in which a stage holds the job back, or why the job ended in that stage.
    """

    at: float
    final: Final | None = None
    may_have_run: bool = False
    came: float = 0.0
    attempts: int = 0
    ended: bool = False
    state: str = ""


def ended_unsent(answer: Answer | None, came: float, now: float) -> Record:
    """Returns the record of a job that ended in a stage before it was sent to a worker.

    `answer` is None if the client withdrew the job.
    """
    return Record(
        now,
        answer.final if answer is not None else None,
        came=came,
        ended=True,
        state=WITHDRAWN if answer is None else "",
    )


class Records:
    """Records of ended jobs by (origin, id).

    `put` evicts the oldest records beyond MAX_RECORDS, and those older than RECORD_LIFETIME_MS.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[tuple[str, str], Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: tuple[str, str]) -> Record | None:
        return self._records.get(key)

    def put(self, key: tuple[str, str], record: Record, now: float) -> None:
        records = self._records
        records[key] = record
        records.move_to_end(key)
        while records and (len(records) > MAX_RECORDS or next(iter(records.values())).at < now - RECORD_LIFETIME_MS):
            records.popitem(last=False)
