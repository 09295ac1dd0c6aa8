"""The interface between the front ends and the exchange: pipeline stages that each job passes through.

A front end holds the first `Stage`, and does not depend on how many follow. The exchange is the last one;
`program.py` connects them. A stage that holds jobs back has to give each of them exactly one final answer, as the
exchange does.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from millethead.decide.interface import Settings
from millethead.exchange.model import Answer, Final, Order
from millethead.exchange.records import Record
from millethead.logs import RateLimitedLog

limited_log = RateLimitedLog()
Reply = Callable[[Answer], None]
Finished = Callable[[Order, Answer | None, float, float], None]  # (order, answer, came, ended), ms


class InvalidOrder(Exception):
    """An invalid order. The text is a one-line reason.

    Nothing of the order is stored, and the front end reports the error to the client in its own protocol.
    """


@dataclass(slots=True, frozen=True)
class Amendment:
    """A client's request to withdraw jobs that wait in some stage, or to make them due now (`make_due`).

    It selects the jobs of the front end `origin` that are in `state` (see `Record.state`); if `ids` or `jobtype`
    is given, only those that match.
    """

    origin: str
    state: str
    ids: frozenset[str] | None = None
    jobtype: str = ""
    make_due: bool = False


class Stage(Protocol):
    """A pipeline stage, as the front ends use it. All times are in ms."""

    @property
    def settings(self) -> Settings:
        """The current settings."""

    finished: Finished | None  # called when a job has been answered or withdrawn

    @property
    def ready(self) -> bool:
        """Whether some worker is in service and the stage is not shutting down."""

    @property
    def held(self) -> int:
        """The number of jobs without a final answer."""

    @property
    def closing(self) -> bool:
        """Whether no more jobs are accepted."""

    def record(self, origin: str, job_id: str) -> Record | None:
        """Returns the record of a job that is unanswered or ended recently."""

    def counts(self) -> dict[str, int]:
        """The number of jobs held back, by state. Jobs that wait for a worker are not included."""

    def arrive(self, order: Order, reply: Reply) -> int:
        """Accepts a job. `reply` is called once with its final answer, unless the job is withdrawn before.

        Returns the number of the job, or 0 if it was answered at once. Raises InvalidOrder.
        """

    def arrive_all(self, orders: Sequence[tuple[Order, Reply]]) -> list[int | InvalidOrder]:
        """Accepts several jobs, which may depend on each other in any order. Returns the results in the order
        of `orders`."""

    def withdraw(self, number: int) -> None:
        """Drops a job whose client has disconnected."""

    def amend(self, amendment: Amendment) -> None:
        """Withdraws waiting jobs or makes them due. Jobs that have started are not affected."""

    def reconfigure(self, settings: Settings) -> None:
        """Applies new settings for the same classes and tenants."""

    def leave(self, left: float | None) -> None:
        """Starts the shutdown: every job is answered within `left` ms (None: by its own deadline)."""

    def close(self, empty: Callable[[], None]) -> None:
        """Accepts no more jobs; `empty` is called once all held jobs are answered."""


def reject_repeated(order: Order, reply: Reply) -> int:
    """Answers a job with a known id with FAILED, and returns 0.

    Ids are never reused, not even by a client's retry. So this is either the same job again, which could charge
    a customer twice, or another client's job under the same id, which workers reject.
    """
    limited_log.warning("job_id_repeated", job=order.id)
    reply(Answer(Final.FAILED))
    return 0


def reject_deferred(order: Order, now: float) -> None:
    """Raises InvalidOrder for a job that must wait, in a stage that does not hold jobs back."""
    if order.plan is not None and (order.plan.after or order.plan.at > now):
        raise InvalidOrder("jobs for a later time, or after others, are not taken here")


def arrive_individually(stage: Stage, orders: Sequence[tuple[Order, Reply]]) -> list[int | InvalidOrder]:
    """Implements `arrive_all` for a stage that handles each job on its own."""
    results: list[int | InvalidOrder] = []
    for order, reply in orders:
        try:
            results.append(stage.arrive(order, reply))
        except InvalidOrder as error:
            results.append(error)
    return results
