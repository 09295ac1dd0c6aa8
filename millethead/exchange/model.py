"""The data types and interfaces that the exchange shares with the front ends and the worker transports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from millethead.decide.interface import ListForm, Outcome, Report, WorkerEntry, WorkerState


class Final(Enum):
    """The kind of final answer that a job gets. Each job gets exactly one."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """A job's final answer.

    `result` is the worker's result. `pause` is the time in ms after which a refused client may retry;
    0 if there is no estimate.
    """

    final: Final
    result: bytes = b""
    pause: float = 0.0


MAX_PARENTS = 64  # jobs that one job may depend on


@dataclass(slots=True, frozen=True)
class Plan:
    """When a job may run.

    It does not start before `at` (Unix time in ms of the wall clock; 0 means at once), and only after every job
    in `after` (its parents) has ended. Each parent must have been served, unless `run_if_parent_fails` is set: then any
    outcome of a parent will do.
    """

    at: float = 0.0
    after: tuple[str, ...] = ()
    run_if_parent_fails: bool = False


@dataclass(slots=True, frozen=True)
class Order:
    """One job as its client submitted it.

    The exchange does not interpret the content: `target`, `body`, `jobtype` and `queue`.

    left: the time in ms within which the job must be answered, counted from when it can run.
    asked: the timeout in ms that the client asked for.
    waits: the client's timeout runs from the submission, not from the time at which the job is due.
    once_key: the client's idempotency key.
    repeat: the client marked this request as a retry.
    fresh: a `left` below the deadline of the class is the client's wish, and not what earlier attempts have left.
    reserve: the time in ms for which one worker may hold the job.
    origin: the front end through which the job came; with `id` it identifies the job.
    client: the name of the submitter, where more than its address (`peer`) is known.
    flow: the decision module's flow in which the job waits, if that is not the flow of its tenant.
    again: the job was refused before, and a stage now submits it again.
    """

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
    reserve: float = float("inf")
    origin: str = ""
    peer: tuple[str, int] | None = None
    asked: float = float("inf")
    waits: bool = False
    client: str = ""
    plan: Plan | None = None
    flow: int | None = None
    again: bool = False


@dataclass(slots=True, frozen=True)
class WorkerListing:
    """One entry of a worker list.

    cell: the group of workers that share their detection of repeated jobs; negative if the worker detects none.
    rating: the weight of the worker in the list.
    started: Unix time in ms, 0 if the worker started long ago.
    takes: the job classes that the worker accepts (None: all).
    confirms: the worker acknowledges each job that it accepts.
    """

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
    """A listed worker, with the transport that reaches it."""

    __slots__ = ("address", "entry", "name", "number", "open", "transport")

    def __init__(self, number: int, listed: WorkerListing, transport: WorkerTransport, out: bool = False) -> None:
        self.number, self.name, self.transport = number, listed.name, transport
        self.take(listed, out)

    @property
    def wanted(self) -> bool:
        """Whether it may be sent new work: it is in service and has not been taken out of service."""
        return self.open and not self.entry.excluded

    def take(self, listed: WorkerListing, out: bool = False) -> None:
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
    """One attempt to run a job on a worker.

    sent, end: the start, and the latest end, in ms of the exchange's clock.
    same_worker_earlier: an earlier attempt of this job went to the same worker.
    write_deadline: the transport does not write the last byte of the request after this time.
    fully_written: the request was written completely, so the job may have run.
    outcome: None while the attempt is in progress.
    channel: private to the transport.
    """

    order: Order
    job: int
    number: int
    worker: Worker
    sent: float
    end: float
    same_worker_earlier: bool = False
    write_deadline: float = float("inf")
    fully_written: bool = False
    outcome: Outcome | None = None
    timer: Cancellable | None = None
    channel: Any = field(default=None)


class Cancellable(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """The exchange's clock: milliseconds, Unix time at the start of the process, never running backwards."""

    def now(self) -> float: ...

    def later(self, delay: float, call: Callable[[], None]) -> Cancellable: ...


class WorkerTransport(Protocol):
    """A transport that reaches workers.

    Each call returns at once. The transport reports the end of an attempt with `Exchange.ended`, and that of a
    probe with `Exchange.probed`.
    """

    def start(self, attempt: Attempt) -> None: ...

    def give_up(self, attempt: Attempt) -> None: ...

    def probe(self, worker: Worker) -> None: ...


class WorkerDiscovery(Protocol):
    """The service discovery client; it reports worker lists with `Exchange.listed`."""

    def watch(self, on: bool) -> None:
        """Subscribes to changes of the worker list, or unsubscribes."""

    def ask(self) -> None:
        """Requests the complete worker list."""


__all__ = [
    "Answer",
    "Attempt",
    "Cancellable",
    "Clock",
    "Final",
    "ListForm",
    "Order",
    "Outcome",
    "Plan",
    "Report",
    "Worker",
    "WorkerDiscovery",
    "WorkerListing",
    "WorkerState",
    "WorkerTransport",
]
