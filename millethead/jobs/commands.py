"""Commands of the replicated log. Every member applies them in the same order; `at_ms` is the head's time of day."""

from __future__ import annotations

from dataclasses import dataclass

from millethead.execution.messages import RunEnd
from millethead.rpc.codec import U8, U16, U32, U64, Record, tagged


@dataclass(frozen=True, slots=True)
class TaskRun(Record):
    """One run of one task: job, time K, step and index name the task."""

    job: str
    time: U32
    step: U16
    index: U32
    run: U32

    @property
    def task_name(self) -> str:
        """The name under which a worker knows the task."""
        return f"{self.job}.{self.time}.{self.step}.{self.index}"


def task_run(name: str, run: int) -> TaskRun | None:
    """The run of a task by its worker's name for it; None where the name is none of this form."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdigit() and len(part) < 10 for part in parts[1:]):
        return None
    return TaskRun(parts[0], int(parts[1]), int(parts[2]), int(parts[3]), run)


@dataclass(frozen=True, slots=True)
class QueueTerms(Record):
    """What the route of a job said when the job was handed in."""

    route: str
    service: str
    priority: U32
    retries: U32
    target_ms: U32
    skew_thousandths: U32


@tagged(200)
@dataclass(frozen=True, slots=True)
class ChangeConfiguration(Record):
    """An order of the operator. `if_match` None: it named no version."""

    patch: bool
    if_match: U64 | None
    body: bytes


@tagged(201)
@dataclass(frozen=True, slots=True)
class SubmitJob(Record):
    """A job is taken; `body` is what the client sent."""

    job: str
    terms: QueueTerms
    body: bytes
    at_ms: U64


@tagged(202)
@dataclass(frozen=True, slots=True)
class CancelJob(Record):
    job: str
    at_ms: U64


@dataclass(frozen=True, slots=True)
class Assignment(Record):
    """A run is given to a worker's life."""

    run: TaskRun
    node: str
    instance: str


@tagged(203)
@dataclass(frozen=True, slots=True)
class AssignRuns(Record):
    assignments: tuple[Assignment, ...]
    at_ms: U64


@dataclass(frozen=True, slots=True)
class EndedRun(Record):
    run: TaskRun
    how: RunEnd
    saved: str


@tagged(204)
@dataclass(frozen=True, slots=True)
class EndRuns(Record):
    ends: tuple[EndedRun, ...]
    at_ms: U64


@dataclass(frozen=True, slots=True)
class SavedRun(Record):
    """A running task has saved its progress."""

    run: TaskRun
    saved: str
    percent: U8


@tagged(205)
@dataclass(frozen=True, slots=True)
class SaveProgress(Record):
    saved: tuple[SavedRun, ...]


@tagged(207)
@dataclass(frozen=True, slots=True)
class DrainNode(Record):
    """The staff take the worker at a node out (`drained`), or put it back."""

    node: str
    drained: bool


@tagged(208)
@dataclass(frozen=True, slots=True)
class RefuseOrder(Record):
    """An order of the operator is refused for good; `digest` stands for it."""

    digest: bytes


@tagged(209)
@dataclass(frozen=True, slots=True)
class TrimJobs(Record):
    """Jobs that have ended and run nothing any more: no more is kept of them than their end."""

    jobs: tuple[str, ...]


@tagged(206)
@dataclass(frozen=True, slots=True)
class PurgeJobs(Record):
    """Jobs that ended long ago are forgotten."""

    jobs: tuple[str, ...]
