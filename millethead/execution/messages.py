"""Records between the head of the core and the agents. Times are milliseconds; `run` rises from 1 for each task."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from millethead.rpc.codec import I64, U8, U16, U32, U64, Record, tagged


class RunEnd(IntEnum):
    """How a run ended, as its worker lists it, or as follows from what is known of it."""

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LAPSED = 4
    BROKEN = 5
    ALONE = 6
    LOST = 7  # the worker's life or its lease is over: the run is gone without a listed end
    NEVER = 8  # proven never to have run, and never to run: the order was rejected, or stopped before it came


@dataclass(frozen=True, slots=True)
class RunKey(Record):
    """One run of one task, by the name that the worker knows the task under (ID.K.STEP.INDEX)."""

    task: str
    run: U32


@dataclass(frozen=True, slots=True)
class Resources(Record):
    """What a worker has, or a task asks for: thousandths of a core, megabytes, GPUs."""

    cpu: U32
    mem_mb: U32
    gpu: U16


@dataclass(frozen=True, slots=True)
class WorkerInfo(Record):
    """What a worker said of itself. `remaining_ms` is -1 unless it drains; then at least so much time is left."""

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
    """A run that the head wants at the agent's worker; the assignment is committed already. `poll_interval_ms`: the least
    time between two looks at the worker while it runs."""

    key: RunKey
    spec: str
    checkpoint: str
    needs: Resources
    poll_interval_ms: U32 = 1200


@dataclass(frozen=True, slots=True)
class EndEntry(Record):
    """One listed end: `number` is the worker's N; 0 where no listed end stands behind it (LOST, NEVER). `ran_ms`: from
    the answer of its start to the list that showed its end, by the agent's clock; 0: not known, or only roughly."""

    number: U64
    key: RunKey
    how: RunEnd
    checkpoint: str
    ran_ms: U32 = 0


@dataclass(frozen=True, slots=True)
class RunProgress(Record):
    """A run that the worker listed as running: its newest checkpoint and its percentage."""

    key: RunKey
    checkpoint: str
    percent: U8


@tagged(100)
@dataclass(frozen=True, slots=True)
class AgentHello(Record):
    """First record of an agent's session. `process` is a random number of the agent's process; `epoch` the newest
    epoch it knows; `address` where its worker takes calls."""

    node: str
    process: U64
    epoch: U64
    zone: str
    address: str
    service: str


@tagged(101)
@dataclass(frozen=True, slots=True)
class AgentWelcome(Record):
    """The head takes the session. Its epoch is the fence of all orders until a newer welcome."""

    epoch: U64


@tagged(102)
@dataclass(frozen=True, slots=True)
class LeaseRequest(Record):
    """Asks for the lease to be renewed; `sent_ms` is the agent's steady clock, which comes back with the grant."""

    sent_ms: U64


@tagged(103)
@dataclass(frozen=True, slots=True)
class LeaseGrant(Record):
    """The lease holds until `sent_ms` + `lease_ms` on the agent's steady clock. `poll_interval_ms`: the least time between
    two looks at the worker, whatever runs there; short while tasks wait for room."""

    sent_ms: U64
    lease_ms: U32
    poll_interval_ms: U32 = 250


@tagged(104)
@dataclass(frozen=True, slots=True)
class WorkerUpdate(Record):
    """The agent's worker as it is now, in the life `info.instance`; None: no life is known (it left, or it is gone
    and everything that ran there is over)."""

    info: WorkerInfo | None


@tagged(105)
@dataclass(frozen=True, slots=True)
class LifeOver(Record):
    """The life is over for certain: all its runs are gone, unless their ends were listed."""

    instance: str


@tagged(106)
@dataclass(frozen=True, slots=True)
class DesiredRuns(Record):
    """The runs wanted in a life. `whole`: `orders` is the complete list, what else runs there is to be stopped;
    otherwise `orders` are added and `stops` are taken out. Sent again whole after each new session."""

    instance: str
    whole: bool
    orders: tuple[RunOrder, ...]
    stops: tuple[RunKey, ...]


@tagged(107)
@dataclass(frozen=True, slots=True)
class RunReport(Record):
    """What the agent learnt. `sequence` rises with each report that holds ends, and is acknowledged by `EndsNoted`;
    a report is sent again in a new session until then."""

    instance: str
    sequence: U64
    started: tuple[RunKey, ...]
    ends: tuple[EndEntry, ...]
    progress: tuple[RunProgress, ...]


@tagged(108)
@dataclass(frozen=True, slots=True)
class EndsNoted(Record):
    """The ends of the report `sequence` are committed: only now `last_seen` may move past them. It says nothing of
    earlier reports, which may never have come."""

    instance: str
    sequence: U64


@tagged(109)
@dataclass(frozen=True, slots=True)
class AgentTurnedAway(Record):
    """This member is not the head; `epoch` and `head` are what it knows (empty: unknown)."""

    epoch: U64
    head: str
    members: tuple[str, ...]


@tagged(110)
@dataclass(frozen=True, slots=True)
class WorkerSuspected(Record):
    """The worker does not answer its agent: `silent_ms` since it last did. Nothing of it is over yet."""

    instance: str
    silent_ms: U32
