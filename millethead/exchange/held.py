"""The jobs that an exchange holds: by number until their attempts have ended, by id until they have their answer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from millethead.exchange.model import Attempt, Cancellable, Order
from millethead.exchange.records import Record, Records
from millethead.exchange.stage import Reply

HELD = 4096  # jobs held at once, with those whose attempts are still out
BODIES = 32 << 20  # bytes of all bodies held


@dataclass(slots=True)
class HeldJob:
    """One job. `end` and `came`: ms of the exchange's clock. `out`: attempts that have not ended. `closed`: it has its
    answer, or owes none."""

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
    def name(self) -> tuple[str, str]:
        """Where it came from, and its id there."""
        return self.order.origin, self.order.id


class HeldJobs:
    """`body_bytes`: of all bodies held."""

    def __init__(self) -> None:
        self.by_number: dict[int, HeldJob] = {}
        self.body_bytes = 0
        self._by_name: dict[tuple[str, str], HeldJob] = {}
        self._records = Records()
        self._numbers = 0

    def __iter__(self) -> Iterator[HeldJob]:
        return iter(self.by_number.values())

    @property
    def owing(self) -> int:
        """Jobs that still owe their final answer."""
        return len(self._by_name)

    def has_room(self, order: Order, most: int) -> bool:
        """Whether one more job may be held, where `most` may owe their answer at once."""
        few = len(self.by_number) < HELD and self.owing < most
        return few and self.body_bytes + len(order.body) <= BODIES

    def get(self, number: int) -> HeldJob | None:
        """The job of a number, if it is held."""
        return self.by_number.get(number)

    def record(self, origin: str, job_id: str) -> Record | None:
        """What is known of a job by its id: held (no answer yet), or ended not long ago."""
        held = self._by_name.get((origin, job_id))
        return held.record if held is not None else self._records.get((origin, job_id))

    def next_number(self) -> int:
        """A number that no job had."""
        self._numbers += 1
        return self._numbers

    def add(self, held: HeldJob) -> None:
        """Hold a job."""
        self.by_number[held.number] = self._by_name[held.name] = held
        self.body_bytes += len(held.order.body)

    def answered(self, held: HeldJob, now: float) -> None:
        """A job owes no answer any more; what came of it is remembered."""
        self.handed_over(held)
        self._records.put(held.name, held.record, now)

    def handed_over(self, held: HeldJob) -> None:
        """A job owes no answer here any more."""
        del self._by_name[held.name]

    def forget(self, held: HeldJob) -> None:
        """Drop a job that has its answer and of which nothing is out."""
        if held.closed and not held.out and self.by_number.pop(held.number, None) is not None:
            self.body_bytes -= len(held.order.body)
