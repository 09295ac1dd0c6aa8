"""Input and output of the decision module: settings, events and actions.

All times and durations are milliseconds as floats, on any monotonic clock. Zones, worker kinds, job classes and tenants
are indexes from 0 into the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """How often a job may run: any number of times, once per key and deduplication group, or at most once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The deduplication group of a keyed job: the workers among which a repeat with the same key is dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """The outcome of an attempt or of a probe."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    NEVER_SENT = 8


# outcomes after which the worker has certainly not started the job
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT))


class ListForm(IntEnum):
    """Content of a worker list event: changed entries (DELTA), all entries (FULL), the stored list of the previous
    process (CACHED), none because the call failed (FAILED), or entries that an operator has excluded or put back."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    BY_OPERATOR = 4


class WorkerState(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2


def _check_finite(owner: str, **fields: float) -> None:
    """Raise ValueError unless every field is a finite number of 0 or more."""
    for name, value in fields.items():
        if not 0 <= value < float("inf"):
            raise ValueError(f"{owner}.{name} must be a finite number of 0 or more, not {value!r}")


@dataclass(slots=True, frozen=True)
class JobClass:
    """A class of jobs. A job is in time if it completes within `aim` plus `stretch` times its running time.

    `deadline` is the latest time of its final answer. `worth` is its value in time, `late_worth` after that. `window`
    is how long a deduplication group remembers a key.
    """

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
        _check_finite(
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
    """A tenant. `reservation` is its guaranteed rate over all nodes in job starts per second (None: unknown); `weight`
    is its share of the capacity that the reservations leave, independent of the reservation."""

    reservation: float | None = None
    weight: float = 1.0
    name: str = ""

    def __post_init__(self) -> None:
        _check_finite("Tenant", reservation=0.0 if self.reservation is None else self.reservation, weight=self.weight)
        if self.weight == 0:
            raise ValueError("Tenant.weight must be more than 0")


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a node; only `classes` is required.

    `share` is the fraction of fleet-wide limits that the node may use until the time `share_until` (None: always one of
    `nodes` equal parts). With `watch_needed` the module has to request a watch to receive worker lists; with
    `lists_pushed` they arrive without a request.
    """

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
        _check_finite("Settings", **{name: getattr(self, name) for name in numbers})


@dataclass(slots=True)
class Report:
    """A worker's load as reported; None for values that the worker does not report. With `exact`, the free slots are
    current and for this node alone; otherwise they may be out of date and are shared with the other nodes."""

    free_slots: float | None = None
    free_memory: float | None = None
    held: float | None = None
    queued: float | None = None
    busy: float | None = None
    exact: bool = False


# ---- events --------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """An entry of the worker list. `started` is the time of the worker's last start, 0 if unknown or long ago. `cell`
    is negative if the worker does not drop repeats. `job_classes` limits the classes that it accepts (None: all).
    `confirms`: it confirms each job that it accepts. `excluded`: an operator has excluded it from new jobs."""

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    rating: float = 1.0
    started: float = 0.0
    job_classes: frozenset[int] | None = None
    confirms: bool = False
    excluded: bool = False


@dataclass(slots=True)
class WorkerList:
    """The list of workers or a change to it. `within`: if lists have to be requested, latest start of the next call."""

    form: ListForm
    workers: tuple[WorkerEntry, ...] = ()
    version: int = 0
    within: float = float("inf")


@dataclass(slots=True)
class JobArrived:
    """A job that needs exactly one final answer within `time_left`. `fresh`: this is the client's first try, so a
    `time_left` below the deadline of the class is the client's choice, not the rest after earlier tries."""

    job: int
    job_class: int
    time_left: float
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    key: int = 0
    expected_work: float | None = None
    repeat: bool = False
    fresh: bool = False


@dataclass(slots=True)
class JobWithdrawn:
    """The client no longer waits for the job's answer."""

    job: int


@dataclass(slots=True)
class Closing:
    """The node shuts down: all jobs, also those that still arrive, need their final answer within `time_left`."""

    time_left: float


@dataclass(slots=True)
class AttemptStreaming:
    """The worker's answer is being streamed to the client, so the attempt can no longer be replaced."""

    job: int
    attempt: int
    worker: int
    elapsed: float = 0.0


@dataclass(slots=True)
class AttemptTaken:
    """A worker has confirmed that it has accepted the job."""

    job: int
    attempt: int


@dataclass(slots=True)
class AttemptProgress:
    """A progress message of a worker: the job has started (`share` None), or the completed fraction."""

    job: int
    attempt: int
    worker: int
    share: float | None = None


@dataclass(slots=True)
class AttemptEnded:
    """The end of an attempt, once per attempt. `final`: the job has its final answer. `unusable`: the worker rejected
    the job itself as invalid, which is no failure of the worker."""

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

# ---- actions, executed in the order returned -------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start the job's next attempt; attempts are numbered from 0. A `timeout` of 0 means the job's deadline. The worker
    has to start the job within `within` ms or not at all."""

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
    """Final answer: the job was not run, or a repeat is harmless; the client may retry after `pause`."""

    job: int
    pause: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: the job may or may not have run."""

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
