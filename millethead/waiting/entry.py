"""A waiting job, its states, and what the book has others do for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from millethead.exchange.model import Answer, Order
from millethead.exchange.records import Record
from millethead.exchange.stage import Reply


class State(Enum):
    SCHEDULED = "scheduled"  # its time has not come
    WAITING = "waiting"  # a parent has not ended
    DUE = "due"  # it could run, and waits to be offered for the first time
    AGED = "aged"  # refused before, it waits to be offered again
    INSIDE = "inside"  # the next stage has it
    ENDED = "ended"


class Why(Enum):
    """Why a job ended here and not at a worker."""

    PARENT = "parent_failed"
    BOUND = "bound"
    LEAVING = "stopping"
    FULL = "full"
    WITHDRAWN = "withdrawn"


class Full(Exception):
    """A cap is reached: the job is refused at once, and nothing else is disturbed."""


@dataclass(slots=True, eq=False)
class Entry:
    """One job that owes its final answer. `end`: when it is owed, inf while that is not known."""

    number: int
    order: Order
    reply: Reply | None
    came: float
    end: float = inf
    due: float = -1.0  # when it became due
    state: State = State.INSIDE
    kept: bool = False  # counted in the caps
    offers: int = 0
    inner: int = 0  # its number in the next stage
    offered_at: float = 0.0
    record: Record | None = None  # what the next stage knows of it, while it is inside
    parents: dict[int, Entry] | None = None  # those that have not ended
    children: dict[int, Entry] | None = None

    @property
    def offered(self) -> bool:
        return self.state is State.INSIDE


@dataclass(slots=True, frozen=True)
class Offer:
    """Hand this order to the next stage."""

    entry: Entry
    order: Order


@dataclass(slots=True, frozen=True)
class Close:
    """Give the final answer (None: it was withdrawn). No `why`: the next stage ended it, and has logged that."""

    entry: Entry
    answer: Answer | None
    why: Why | None


Effect = Offer | Close
Known = Callable[[str, str], Record | None]
