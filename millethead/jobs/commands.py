"""Commands of the replicated log. Every member applies them in the same order. `at_ms` is the head's wall clock time
when it issued the command, in ms since 1970."""

from __future__ import annotations

from dataclasses import dataclass

from millethead.execution.messages import RunEnd
from millethead.rpc.codec import U8, U16, U32, U64, Record, tagged


@dataclass(frozen=True, slots=True)
class TaskRun(Record):
    """One run of one task. `job`, `time` (which occurrence of a repeated job, from 0), `step` and `index` identify the
    task; `run` numbers its attempts."""

    job: str
    time: U32
    step: U16
    index: U32
    run: U32

    @property
    def task_name(self) -> str:
        """The name of the task in messages to and from workers."""
        return f"{self.job}.{self.time}.{self.step}.{self.index}"


def parse_task_name(name: str, run: int) -> TaskRun | None:
    """Parses `TaskRun.task_name`; returns None for a name of another form."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdigit() and len(part) < 10 for part in parts[1:]):
        return None
    return TaskRun(parts[0], int(parts[1]), int(parts[2]), int(parts[3]), run)


@dataclass(frozen=True, slots=True)
class QueueTerms(Record):
    """The settings of a job's route at the time when the job was submitted."""

    route: str
    service: str
    priority: U32
    retries: U32
    target_ms: U32
    skew_thousandths: U32


@tagged(200)
@dataclass(frozen=True, slots=True)
class ChangeConfiguration(Record):
    """An operator changes the configuration. `if_match` is the version that the change requires; None: any version."""

    patch: bool
    if_match: U64 | None
    body: bytes


@tagged(201)
@dataclass(frozen=True, slots=True)
class SubmitJob(Record):
    """A job is accepted. `body` is the request body that the client sent."""

    job: str
    terms: QueueTerms
    body: bytes
    at_ms: U64


@tagged(202)
@dataclass(frozen=True, slots=True)
class CancelJob(Record):
    """A job is cancelled. One that is not known gets a tombstone."""

    job: str
    at_ms: U64


@dataclass(frozen=True, slots=True)
class Assignment(Record):
    """A run is assigned to the worker process `instance` on `node`."""

    run: TaskRun
    node: str
    instance: str


@tagged(203)
@dataclass(frozen=True, slots=True)
class AssignRuns(Record):
    """Runs are assigned to workers."""

    assignments: tuple[Assignment, ...]
    at_ms: U64


@dataclass(frozen=True, slots=True)
class EndedRun(Record):
    """A run that has ended. `saved`: its last checkpoint, empty if there is none."""

    run: TaskRun
    how: RunEnd
    saved: str


@tagged(204)
@dataclass(frozen=True, slots=True)
class EndRuns(Record):
    """Runs have ended."""

    ends: tuple[EndedRun, ...]
    at_ms: U64


@dataclass(frozen=True, slots=True)
class SavedRun(Record):
    """Progress of a running task: its newest checkpoint `saved` and the percentage done."""

    run: TaskRun
    saved: str
    percent: U8


@tagged(205)
@dataclass(frozen=True, slots=True)
class SaveProgress(Record):
    """Running tasks have written checkpoints."""

    saved: tuple[SavedRun, ...]


@tagged(207)
@dataclass(frozen=True, slots=True)
class DrainNode(Record):
    """An operator drains the worker on a node (`drained`), or puts it back into service."""

    node: str
    drained: bool


@tagged(208)
@dataclass(frozen=True, slots=True)
class RefuseOrder(Record):
    """A request of an operator is refused for good. `digest` identifies the request."""

    digest: bytes


@tagged(209)
@dataclass(frozen=True, slots=True)
class TrimJobs(Record):
    """Ended jobs without open runs are reduced to their final state, to free memory."""

    jobs: tuple[str, ...]


@tagged(206)
@dataclass(frozen=True, slots=True)
class PurgeJobs(Record):
    """Jobs that ended long ago are removed, and tombstones of jobs that were cancelled long ago."""

    jobs: tuple[str, ...]
