"""Records exchanged between the head and the agents. Times are milliseconds; `run` counts the runs of a task from 1."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from millethead.rpc.codec import I64, U8, U16, U32, U64, Record, tagged


class RunEnd(IntEnum):
    """How a run ended, as listed by its worker or inferred by the agent."""

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LAPSED = 4
    BROKEN = 5
    ALONE = 6
    LOST = 7  # the worker instance or its lease ended, so the run is gone without a listed end
    NEVER = 8  # certainly never started and never will: the start was rejected, or stopped before it arrived


@dataclass(frozen=True, slots=True)
class RunKey(Record):
    """One run of a task; `task` is the name under which the worker knows the task (ID.K.STEP.INDEX)."""

    task: str
    run: U32


@dataclass(frozen=True, slots=True)
class Resources(Record):
    """Resources that a worker has or a task needs: thousandths of a core, megabytes, GPUs."""

    cpu: U32
    mem_mb: U32
    gpu: U16


@dataclass(frozen=True, slots=True)
class WorkerInfo(Record):
    """A worker's description of itself.

    `remaining_ms` is the minimum time left to a draining worker; -1 if the worker does not drain.
    """

    instance: str
    service: str
    address: str
    zone: str
    version: str
    slots: U32
    draining: bool
    cold_left_ms: U32
    capacity: Resources
    labels: tuple[str, ...]
    remaining_ms: I64
    sequence: U64


@dataclass(frozen=True, slots=True)
class RunOrder(Record):
    """A run that the head wants on the worker; its assignment is committed.

    `poll_interval_ms` is the minimum time between two polls of the worker while the run exists.
    """

    key: RunKey
    spec: str
    checkpoint: str
    needs: Resources
    poll_interval_ms: U32 = 1200


@dataclass(frozen=True, slots=True)
class EndEntry(Record):
    """The end of one run.

    `number` is the worker's number of the end, or 0 for an inferred end (LOST, NEVER). `ran_ms` is the time from the
    answer to the start until the list with the end, by the agent's clock; 0 if it is unknown or imprecise.
    """

    number: U64
    key: RunKey
    how: RunEnd
    checkpoint: str
    ran_ms: U32 = 0


@dataclass(frozen=True, slots=True)
class RunProgress(Record):
    """A run that the worker listed as running, with its newest checkpoint and its percentage."""

    key: RunKey
    checkpoint: str
    percent: U8


@tagged(100)
@dataclass(frozen=True, slots=True)
class AgentHello(Record):
    """First record of an agent's session.

    `process` is a random number of the agent process, `epoch` the newest epoch that it has seen, `address` the address
    at which its worker accepts calls.
    """

    node: str
    process: U64
    epoch: U64
    zone: str
    address: str
    service: str


@tagged(101)
@dataclass(frozen=True, slots=True)
class AgentWelcome(Record):
    """The head accepts the session. Its epoch is the fencing token of all orders until a newer welcome."""

    epoch: U64


@tagged(102)
@dataclass(frozen=True, slots=True)
class LeaseRequest(Record):
    """Requests a renewal of the lease. `sent_ms` is the agent's monotonic clock; the grant returns it."""

    sent_ms: U64


@tagged(103)
@dataclass(frozen=True, slots=True)
class LeaseGrant(Record):
    """Extends the lease to `sent_ms` + `lease_ms` on the agent's monotonic clock.

    `poll_interval_ms` is the minimum time between two polls of the worker, whichever runs exist; it is short while
    tasks wait for capacity.
    """

    sent_ms: U64
    lease_ms: U32
    poll_interval_ms: U32 = 250


@tagged(104)
@dataclass(frozen=True, slots=True)
class WorkerUpdate(Record):
    """Current state of the agent's worker.

    None: no worker instance exists; it has left, or it is gone and all its runs have ended.
    """

    info: WorkerInfo | None


@tagged(105)
@dataclass(frozen=True, slots=True)
class LifeOver(Record):
    """The worker instance has certainly ended: its runs are lost, unless their ends were listed."""

    instance: str


@tagged(106)
@dataclass(frozen=True, slots=True)
class DesiredRuns(Record):
    """Runs that the head wants on a worker instance.

    If `complete`, `orders` is the complete list and all other runs have to be stopped. Otherwise `orders` are added and
    `stops` are removed. The complete list is sent again in each new session.
    """

    instance: str
    complete: bool
    orders: tuple[RunOrder, ...]
    stops: tuple[RunKey, ...]


@tagged(107)
@dataclass(frozen=True, slots=True)
class RunReport(Record):
    """Changes that the agent has observed.

    `sequence` increases with each report that contains ends. Such a report is acknowledged by `EndsNoted` and sent
    again in each new session until then.
    """

    instance: str
    sequence: U64
    started: tuple[RunKey, ...]
    ends: tuple[EndEntry, ...]
    progress: tuple[RunProgress, ...]


@tagged(108)
@dataclass(frozen=True, slots=True)
class EndsNoted(Record):
    """Acknowledges that the ends of the report `sequence` are committed; `last_seen` may advance past them only now.

    It does not acknowledge earlier reports, which may have been lost.
    """

    instance: str
    sequence: U64


@tagged(109)
@dataclass(frozen=True, slots=True)
class AgentTurnedAway(Record):
    """The member is not the head; `epoch` and `head` are the newest that it knows (an empty `head` is unknown)."""

    epoch: U64
    head: str
    members: tuple[str, ...]


@tagged(110)
@dataclass(frozen=True, slots=True)
class WorkerSuspected(Record):
    """The worker has not answered its agent for `silent_ms`. None of its runs has ended yet."""

    instance: str
    silent_ms: U32
