"""The seam between fronts and the exchange: stages that a job passes on its way in.

A front holds one `Stage` and cannot tell how many stand behind it. The exchange is the last one; `program.py`
alone puts them together. A stage that holds jobs back owes them what the exchange owes: one final answer.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from millethead.decide.interface import Settings
from millethead.exchange.model import Answer, Final, Order
from millethead.exchange.records import Record
from millethead.logs import Sparing

sparing_log = Sparing()
Reply = Callable[[Answer], None]
Finished = Callable[[Order, Answer | None, float, float], None]  # (order, answer, came, ended), ms


class Unusable(Exception):
    """An order that cannot be taken as it stands; the text says why in one line. Nothing of it is kept, and
    the front tells its client so in the words of its own protocol."""


@dataclass(slots=True, frozen=True)
class Amendment:
    """What a client wants done with jobs of its front that wait in some stage: those in `state` (as `Record`
    names it), and if given, only those with one of the ids or of the jobtype. `hasten`: due now, instead of
    withdrawn."""

    origin: str
    state: str
    ids: frozenset[str] | None = None
    jobtype: str = ""
    hasten: bool = False


class Stage(Protocol):
    """What fronts ask of whatever stands before the workers. All times are ms."""

    @property
    def settings(self) -> Settings:
        """The figures that hold now."""

    finished: Finished | None

    @property
    def ready(self) -> bool:
        """Whether some worker is known to which work could go."""

    @property
    def held(self) -> int:
        """Jobs that still owe their final answer."""

    @property
    def closing(self) -> bool:
        """Whether nothing more is taken."""

    def record(self, origin: str, job_id: str) -> Record | None:
        """What is known of a job by its id: held (no answer yet), or ended not long ago."""

    def counts(self) -> dict[str, int]:
        """How many jobs wait in which state, besides those that wait for a worker."""

    def arrive(self, order: Order, reply: Reply) -> int:
        """Take a job in; `reply` is called once with its final answer unless it is withdrawn first. Returns
        its number, or 0 where it had its answer at once. Raises Unusable."""

    def arrive_all(self, orders: Sequence[tuple[Order, Reply]]) -> list[int | Unusable]:
        """Take in several, which may name one another in any order; the results stand in the order given."""

    def withdraw(self, number: int) -> None:
        """The client is gone: nothing more is owed."""

    def amend(self, amendment: Amendment) -> None:
        """Withdraw or hasten jobs that wait; those that have started are left alone."""

    def reconfigure(self, settings: Settings) -> None:
        """New figures for the same classes and tenants."""

    def leave(self, left: float | None) -> None:
        """The program was told to end: have everything answered in `left` ms (None: by its own deadline)."""

    def close(self, empty: Callable[[], None]) -> None:
        """Take nothing more; `empty` is called when all that is held has its answer."""


def repeated(order: Order, reply: Reply) -> int:
    """The answer to an id that is known. Ids are never reused, a client's retry included: this is the same job
    again, which could charge twice, or somebody else's under its name, which workers turn away."""
    sparing_log.warning("job_id_repeated", job=order.id)
    reply(Answer(Final.FAILED))
    return 0


def no_plan(order: Order, now: float) -> None:
    """Raises Unusable where a job that must wait reaches a stage that holds none back."""
    if order.plan is not None and (order.plan.after or order.plan.at > now):
        raise Unusable("jobs for a later time, or after others, are not taken here")


def one_by_one(stage: Stage, orders: Sequence[tuple[Order, Reply]]) -> list[int | Unusable]:
    """`arrive_all` of a stage to which jobs that come together are nothing special."""
    out: list[int | Unusable] = []
    for order, reply in orders:
        try:
            out.append(stage.arrive(order, reply))
        except Unusable as why:
            out.append(why)
    return out
