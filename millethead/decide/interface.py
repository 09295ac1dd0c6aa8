"""What goes into and comes out of the decision module: settings, events and actions.

Times and durations are milliseconds as floats; `now` is any clock that only moves forward. Indexes
(zone, kind, job class, tenant) count from 0 into the lists of the settings. Nothing here decides.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """How often a job may run: any number of times, once per key and group, or once at most."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The workers that drop a repeat of a keyed job together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt ended, or what a probe met."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    NEVER_SENT = 8


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT))


class ListForm(IntEnum):
    """What a list event carries: changed entries, all entries, the list of the last run, none, or entries that an
    operator has taken out or put back."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    BY_HAND = 4


class WorkerState(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2


def _check(owner: str, **fields: float) -> None:
    for name, value in fields.items():
        if not 0 <= value < float("inf"):
            raise ValueError(f"{owner}.{name} must be a finite number of 0 or more, not {value!r}")


@dataclass(slots=True, frozen=True)
class JobClass:
    """One class of jobs. A job is in time within `aim` plus `stretch` times its running time."""

    deadline: float
    aim: float
    stretch: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.CELL
    window: float = 0.0
    kind: int | None = None
    priority: int = 0
    streaming: bool = False

    def __post_init__(self) -> None:
        _check(
            "JobClass",
            deadline=self.deadline,
            aim=self.aim,
            stretch=self.stretch,
            worth=self.worth,
            late_worth=self.late_worth,
            window=self.window,
        )
        if self.deadline == 0:
            raise ValueError("JobClass.deadline must be more than 0")


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant. `reservation` is the absolute floor in job starts a second over all nodes (None: unknown);
    `weight` is its part of what the reservations leave over, and is unrelated to the reservation."""

    reservation: float | None = None
    weight: float = 1.0
    name: str = ""

    def __post_init__(self) -> None:
        _check("Tenant", reservation=0.0 if self.reservation is None else self.reservation, weight=self.weight)
        if self.weight == 0:
            raise ValueError("Tenant.weight must be more than 0")


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a node is told at its start. Only `classes` is essential. `share`: the part of fleet-wide limits that it
    may use until the time `share_until` (None: one of `nodes` equal parts, always). `watch_needed`: lists come on a
    watch that the module asks for; `lists_pushed`: what stands in them counts as told without being asked for."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    node: int = 0
    nodes: int = 1
    share: float | None = None
    share_until: float = float("inf")
    tick: float = 1.0
    max_attempts: int = 3
    may_probe: bool = False
    may_cancel: bool = False
    may_tell: bool = False
    parallel_attempts: bool = False
    watch_needed: bool = False
    lists_pushed: bool = False
    reports_in_answers: bool = False
    reports_in_probes: bool = False
    connect_timeout: float = 250.0
    max_pause: float = 0.0
    answer_grace: float = 0.0
    drain_grace: float = 0.0
    ask_every: float = 10_000.0
    cold_from: float = 0.1
    cold_time: float = 0.0
    fall_multiple: float = 1.0
    fall_window: float = 1_000.0
    over_share_worth: float = 1.0
    price_cross_zone: float = 0.0
    price_fetch: float = 0.0
    price_probe: float = 0.0
    price_peer: float = 0.0
    price_late_fail: float = 0.0
    backfill: bool = False
    tells_start: bool = False
    progress_every: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("Settings.classes must name at least one job class")
        for name in ("zone", "node", "nodes", "max_attempts"):
            if not float(getattr(self, name)).is_integer() or getattr(self, name) >= 2**31:
                raise ValueError(f"Settings.{name} must be a whole number under 2**31, not {getattr(self, name)!r}")
            if name in ("nodes", "max_attempts") and getattr(self, name) < 1:
                raise ValueError(f"Settings.{name} must be 1 or more, not {getattr(self, name)!r}")
        if self.cold_from > 1:
            raise ValueError(f"Settings.cold_from is a part of 1, not {self.cold_from!r}")
        numbers = (
            "zone",
            "node",
            "tick",
            "connect_timeout",
            "max_pause",
            "answer_grace",
            "drain_grace",
            "ask_every",
            "cold_from",
            "cold_time",
            "fall_multiple",
            "fall_window",
            "over_share_worth",
            "price_cross_zone",
            "price_fetch",
            "price_probe",
            "price_peer",
            "price_late_fail",
            "progress_every",
        )
        _check("Settings", **{name: getattr(self, name) for name in numbers})


@dataclass(slots=True)
class Report:
    """A worker's load as it said it; None where the worker does not say. `exact`: the free slots are this
    node's own and known at this moment, not a late and shared figure."""

    free_slots: float | None = None
    free_memory: float | None = None
    held: float | None = None
    queued: float | None = None
    busy: float | None = None
    exact: bool = False


# ---- events: what a node is told -----------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """One line of the worker list. `started` is the clock time of the last start, 0 for long ago; `cell` is
    below 0 where the worker drops no repeats; `takes` names the job classes that it takes, if not all;
    `confirms`: it says so when it has taken a job; `out`: an operator wants it left out."""

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    rating: float = 1.0
    started: float = 0.0
    takes: frozenset[int] | None = None
    confirms: bool = False
    out: bool = False


@dataclass(slots=True)
class WorkerList:
    """`within`: where a list has to be asked for, ms until the next call begins at the latest."""

    form: ListForm
    workers: tuple[WorkerEntry, ...] = ()
    version: int = 0
    within: float = float("inf")


@dataclass(slots=True)
class JobArrived:
    """A job that the node must give exactly one final answer within `left`. `fresh`: a `left` below the
    deadline of its class is the client's wish, and not what earlier tries of it have used up."""

    job: int
    job_class: int
    left: float
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    key: int = 0
    expected_work: float | None = None
    repeat: bool = False
    fresh: bool = False


@dataclass(slots=True)
class JobWithdrawn:
    job: int


@dataclass(slots=True)
class Closing:
    """The node ends: whatever is held, and what still arrives, needs its final answer within `left`."""

    left: float


@dataclass(slots=True)
class AttemptStreaming:
    job: int
    attempt: int
    worker: int
    elapsed: float = 0.0


@dataclass(slots=True)
class AttemptTaken:
    """A worker that confirms has taken the job."""

    job: int
    attempt: int


@dataclass(slots=True)
class AttemptProgress:
    """A worker's note: the job has started (`share` None) or how much of it is done."""

    job: int
    attempt: int
    worker: int
    share: float | None = None


@dataclass(slots=True)
class AttemptEnded:
    """Each attempt ends once. `final` says that the job has its answer and nothing more is owed; `unusable`
    that the worker found fault with the job and not with itself."""

    job: int
    attempt: int
    worker: int
    outcome: Outcome
    elapsed: float
    final: bool
    report: Report | None = None
    unusable: bool = False


@dataclass(slots=True)
class ProbeEnded:
    worker: int
    outcome: Outcome
    elapsed: float
    report: Report | None = None


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class PeerMessage:
    sender: int
    payload: bytes


Event = (
    WorkerList
    | JobArrived
    | JobWithdrawn
    | Closing
    | AttemptStreaming
    | AttemptTaken
    | AttemptProgress
    | AttemptEnded
    | ProbeEnded
    | TimerFired
    | PeerMessage
)

# ---- actions: what a node does, in the order given -------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start the job's next attempt; attempts count from 0 in the order sent. No `timeout`: until `left`. It has to
    begin at the worker within `within` ms, or else not at all."""

    job: int
    worker: int
    timeout: float = 0.0
    within: float = float("inf")


@dataclass(slots=True)
class CancelAttempt:
    job: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, trying again is harmless (after `pause`, if given)."""

    job: int
    pause: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: no promise about what was done."""

    job: int


@dataclass(slots=True)
class Probe:
    worker: int


@dataclass(slots=True)
class SetTimer:
    token: int
    delay: float


@dataclass(slots=True)
class WatchWorkers:
    on: bool = True


@dataclass(slots=True)
class ListWorkers:
    pass


@dataclass(slots=True)
class TellPeers:
    payload: bytes
    node: int | None = field(default=None)


Action = Send | CancelAttempt | Refuse | Fail | Probe | SetTimer | WatchWorkers | ListWorkers | TellPeers
