"""Entry of one job in the table of delayed jobs, its states, and the actions that the table asks its caller for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from millethead.exchange.model import Answer, Order
from millethead.exchange.records import Record
from millethead.exchange.stage import Reply


class JobState(Enum):
    """State of a job. The values are the names that clients and operators see."""

    SCHEDULED = "scheduled"  # its set time has not come
    WAITING = "waiting"  # at least one parent has not ended
    DUE = "due"  # ready to run, not yet offered to the next stage
    AGED = "aged"  # refused before, queued for another offer
    OFFERED = "inside"  # held by the next stage
    ENDED = "ended"


class EndReason(Enum):
    """Why a job ended in this stage and not at a worker."""

    PARENT_FAILED = "parent_failed"
    DEADLINE = "bound"
    STOPPING = "stopping"
    LIMIT_REACHED = "full"
    WITHDRAWN = "withdrawn"


class LimitReached(Exception):
    """A limit of the table is reached, or the program is stopping; the message names which. The job is refused at
    once and no other job is affected."""


@dataclass(slots=True, eq=False)
class Entry:
    """One job that has no final answer yet. All times are in ms of the steady clock."""

    number: int
    order: Order
    reply: Reply | None
    arrived_at: float
    deadline: float = inf  # when the final answer is due; inf until that is known
    due_at: float = -1.0  # when the job became ready to run; -1 before that
    state: JobState = JobState.OFFERED
    counts_toward_limits: bool = False
    offer_count: int = 0
    inner_number: int = 0  # number of the job in the next stage, 0 while it has none
    offered_at: float = 0.0
    record: Record | None = None  # record of the next stage, while the job is offered
    parents: dict[int, Entry] | None = None  # the parents that have not ended, by number
    children: dict[int, Entry] | None = None

    @property
    def is_offered(self) -> bool:
        return self.state is JobState.OFFERED


@dataclass(slots=True, frozen=True)
class Offer:
    """Action: pass this order to the next stage."""

    entry: Entry
    order: Order


@dataclass(slots=True, frozen=True)
class Finish:
    """Action: give the final answer, or none (`answer` is None) if the job was withdrawn. `reason` is None if the next
    stage ended the job; that stage has already logged the end."""

    entry: Entry
    answer: Answer | None
    reason: EndReason | None


Action = Offer | Finish
RecordLookup = Callable[[str, str], Record | None]  # (origin, job id) -> record of a job
