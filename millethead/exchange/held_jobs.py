"""The jobs that an exchange holds.

They are indexed by number until all their attempts have ended, and by id until they are answered.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from millethead.exchange.model import Attempt, Cancellable, Order
from millethead.exchange.records import Record, Records
from millethead.exchange.stage import Reply

MAX_HELD_JOBS = 4096  # answered jobs with attempts still in progress included
MAX_BODY_BYTES = 32 << 20  # total of the bodies of all held jobs


@dataclass(slots=True)
class HeldJob:
    """One held job.

    `end` (the deadline) and `came` (the arrival) are ms of the exchange's clock. `out` counts the attempts in
    progress. `closed` means that the job was answered or withdrawn.
    """

    number: int
    order: Order
    reply: Reply | None
    end: float
    came: float
    record: Record
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    closed: bool = False
    timer: Cancellable | None = None

    @property
    def key(self) -> tuple[str, str]:
        """(origin, id), which identifies the job."""
        return self.order.origin, self.order.id


class HeldJobs:
    """The table of held jobs. `body_bytes` is the total size of their bodies."""

    def __init__(self) -> None:
        self.by_number: dict[int, HeldJob] = {}
        self.body_bytes = 0
        self._unanswered: dict[tuple[str, str], HeldJob] = {}
        self._records = Records()
        self._last_number = 0

    def __iter__(self) -> Iterator[HeldJob]:
        return iter(self.by_number.values())

    @property
    def unanswered(self) -> int:
        """The number of jobs without a final answer."""
        return len(self._unanswered)

    def has_room(self, order: Order, max_unanswered: int) -> bool:
        """Whether one more job may be held, where at most `max_unanswered` may be without an answer."""
        below_limits = len(self.by_number) < MAX_HELD_JOBS and self.unanswered < max_unanswered
        return below_limits and self.body_bytes + len(order.body) <= MAX_BODY_BYTES

    def get(self, number: int) -> HeldJob | None:
        """Returns the held job with this number."""
        return self.by_number.get(number)

    def record(self, origin: str, job_id: str) -> Record | None:
        """Returns the record of a job that is unanswered or ended recently."""
        held = self._unanswered.get((origin, job_id))
        return held.record if held is not None else self._records.get((origin, job_id))

    def next_number(self) -> int:
        """Returns a number that no job has had."""
        self._last_number += 1
        return self._last_number

    def add(self, held: HeldJob) -> None:
        self.by_number[held.number] = self._unanswered[held.key] = held
        self.body_bytes += len(held.order.body)

    def answered(self, held: HeldJob, now: float) -> None:
        """Removes an answered or withdrawn job from the unanswered ones, and stores its record."""
        self.handed_over(held)
        self._records.put(held.key, held.record, now)

    def handed_over(self, held: HeldJob) -> None:
        """Removes a job from the unanswered ones without storing a record."""
        del self._unanswered[held.key]

    def forget(self, held: HeldJob) -> None:
        """Removes a job if it is closed and none of its attempts is in progress."""
        if held.closed and not held.out and self.by_number.pop(held.number, None) is not None:
            self.body_bytes -= len(held.order.body)
