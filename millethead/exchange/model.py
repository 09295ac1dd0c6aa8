"""What client side and server side say to the exchange, and what it says to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from millethead.decide.interface import ListForm, Outcome, Report, WorkerEntry, WorkerState


class Final(Enum):
    """The three final answers. A job gets exactly one."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """A job's final answer: `result` is what a worker made, `pause` (ms) when a refused client may return."""

    final: Final
    result: bytes = b""
    pause: float = 0.0


PARENTS = 64  # jobs that one job may wait for


@dataclass(slots=True, frozen=True)
class Plan:
    """When a job may run: not before `at` (Unix time in ms by the wall clock, 0: at once), and only after the
    jobs named in `after` have ended: served, or in any way if `any_end`."""

    at: float = 0.0
    after: tuple[str, ...] = ()
    any_end: bool = False


@dataclass(slots=True, frozen=True)
class Order:
    """One job as a client handed it in. The core does not read its content: `target`, `body`, and how its
    client names its type and queue.

    `left` is the longest that it may take once it can run (ms), `asked` what its client itself allows, `waits`
    that the client counts that from now on and not from when the job is due. `client`: who hands it in, if more is
    known than `peer`. `flow`: the flow of the module
    that it waits in, if not its tenant's. `again`: it was refused before, and a stage hands it in once more."""

    id: str
    job_class: int
    left: float
    tenant: int = 0
    target: str = ""
    body: bytes = b""
    once_key: str = ""
    route_key: int = 0
    slots: float = 1.0
    memory: float = 0.0
    expected_work: float | None = None
    repeat: bool = False
    fresh: bool = False
    jobtype: str = ""
    queue: str = ""
    reserve: float = float("inf")  # ms that one worker may hold it
    origin: str = ""
    peer: tuple[str, int] | None = None
    asked: float = float("inf")
    waits: bool = False
    client: str = ""
    plan: Plan | None = None
    flow: int | None = None
    again: bool = False


@dataclass(slots=True, frozen=True)
class Listed:
    """One line of a worker list, by name. `started` is Unix time in ms, 0 for long ago."""

    name: str
    address: tuple[str, int] | None = None
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    rating: float = 1.0
    started: float = 0.0
    takes: frozenset[int] | None = None
    confirms: bool = False


class Worker:
    """A worker that some list has named, with the server side that reaches it."""

    __slots__ = ("address", "entry", "name", "number", "open", "side")

    def __init__(self, number: int, listed: Listed, side: ServerSide, out: bool = False) -> None:
        self.number, self.name, self.side = number, listed.name, side
        self.take(listed, out)

    @property
    def wanted(self) -> bool:
        """Whether something new may be sent to it: it is in service, and no operator has taken it out."""
        return self.open and not self.entry.excluded

    def take(self, listed: Listed, out: bool = False) -> None:
        self.address = listed.address
        self.open = listed.state is WorkerState.READY
        self.entry = WorkerEntry(
            self.number,
            listed.zone,
            listed.kind,
            listed.cell,
            listed.state,
            listed.rating,
            listed.started,
            listed.takes,
            listed.confirms,
            out,
        )


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a job to a worker, which ends at `end` at the latest. `begin_by`: after that its last byte is not
    written any more. `whole`: it was written, so the job may have run."""

    order: Order
    job: int
    number: int
    worker: Worker
    sent: float
    end: float
    earlier_here: bool = False
    begin_by: float = float("inf")
    whole: bool = False
    outcome: Outcome | None = None
    timer: Cancellable | None = None
    channel: Any = field(default=None)


class Cancellable(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """Time as the core sees it: milliseconds, Unix time at the start, never backwards."""

    def now(self) -> float: ...

    def later(self, delay: float, call: Callable[[], None]) -> Cancellable: ...


class ServerSide(Protocol):
    """What the exchange asks of those who reach workers. Each call returns at once; ends come as `ended`."""

    def start(self, attempt: Attempt) -> None: ...

    def give_up(self, attempt: Attempt) -> None: ...

    def probe(self, worker: Worker) -> None: ...


class Roster(Protocol):
    """What the exchange asks of discovery; the answer comes as `listed`."""

    def watch(self, on: bool) -> None: ...

    def ask(self) -> None: ...


__all__ = [
    "Answer",
    "Attempt",
    "Cancellable",
    "Clock",
    "Final",
    "ListForm",
    "Listed",
    "Order",
    "Outcome",
    "Plan",
    "Report",
    "Roster",
    "ServerSide",
    "Worker",
    "WorkerState",
]
