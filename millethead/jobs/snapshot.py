"""The jobs as a snapshot holds them: encoded and restored job by job, so that a large table holds nobody up."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from millethead.jobs.commands import QueueTerms, TaskRun
from millethead.jobs.description import NOTHING, read_job
from millethead.jobs.state import Job, JobPhase, JobTable, StepState, Task
from millethead.rpc.codec import U8, U32, U64, CodecError, Record, decode_at, encode

SLICE_JOBS = 50  # encoded or restored in one slice
LAST_JOBS = 50  # left over at most for the moment at which the table is encoded whole
_COUNT = struct.Struct(">I")


class TableEncoder:
    """Encodes a table: whole at once, or most of it before that in slices. What changes in between is encoded again."""

    def __init__(self, table: JobTable) -> None:
        self._table = table
        self._encoded: dict[str, bytes] = {}
        self._left: dict[str, None] | None = None  # jobs that are not encoded; None: nothing is prepared

    def prepare(self) -> bool:
        """Encode some jobs more; whether so few are left that `encode` takes no time."""
        if self._left is None:
            self._left = dict.fromkeys(self._table.jobs)
            self._table.changed = self._changed
        for _ in range(min(SLICE_JOBS, len(self._left))):
            name = next(iter(self._left))
            del self._left[name]
            job = self._table.jobs.get(name)
            if job is not None:
                self._encoded[name] = encode(_job_snapshot(job))
        return len(self._left) <= LAST_JOBS

    def _changed(self, name: str) -> None:
        assert self._left is not None
        self._encoded.pop(name, None)
        self._left[name] = None

    def encode(self) -> bytes:
        """The table as it is now; what was prepared is used and given up."""
        encoded = self._encoded
        parts = [encoded.get(job.name) or encode(_job_snapshot(job)) for job in self._table.jobs.values()]
        self.give_up()
        return b"".join([_COUNT.pack(len(parts)), *parts])

    def give_up(self) -> None:
        """Nothing is prepared any more."""
        self._encoded, self._left = {}, None
        self._table.changed = lambda name: None


def encode_table(table: JobTable) -> bytes:
    """The table whole."""
    return TableEncoder(table).encode()


def restore_table(table: JobTable, data: bytes) -> Iterator[None]:
    """Fill an empty table from its encoding, a slice at each step; raises CodecError."""
    if len(data) < _COUNT.size:
        raise CodecError("the table has no count")
    (count,) = _COUNT.unpack_from(data)
    at = _COUNT.size
    for number in range(count):
        kept, at = decode_at(_JobSnapshot, data, at)
        _restore_job(table, kept)
        if number % SLICE_JOBS == SLICE_JOBS - 1:
            yield
    if at != len(data):
        raise CodecError(f"{len(data) - at} bytes behind the last job")


def _restore_job(table: JobTable, kept: _JobSnapshot) -> None:
    job = Job(
        kept.name,
        kept.terms,
        read_job(kept.body) if kept.body else NOTHING,
        kept.body,
        kept.submitted_ms,
        kept.phase,
        kept.ended_ms,
        times_done=set(kept.times_done),
    )
    table.add(job)
    for time in kept.times:
        for number, (state, step) in enumerate(zip(job.at_time(time.time).steps, time.steps, strict=True)):
            _restore_step(state, step)
            for index, task in enumerate(state.tasks):
                if task.open:
                    job.open_runs += 1
                    run = TaskRun(job.name, time.time, number, index, task.run)
                    table.open[job.name, time.time, number, index] = run


def _restore_step(state: StepState, step: _StepSnapshot) -> None:
    state.failed_runs, state.last_failed_run = step.failed_runs, step.last_failed_run
    state.saved, state.percent = step.saved, step.percent
    state.tasks = [
        Task(task.run, task.open, task.done, task.failures, task.saved, task.percent, task.node, task.instance)
        for task in step.tasks
    ]
    state.left = sum(not task.done for task in state.tasks)


@dataclass(frozen=True, slots=True)
class _TaskSnapshot(Record):
    run: U32
    open: bool
    done: bool
    failures: U32
    saved: str
    percent: U8
    node: str
    instance: str


@dataclass(frozen=True, slots=True)
class _StepSnapshot(Record):
    failed_runs: U32
    last_failed_run: U32
    saved: str
    percent: U8
    tasks: tuple[_TaskSnapshot, ...]


@dataclass(frozen=True, slots=True)
class _TimeSnapshot(Record):
    time: U32
    steps: tuple[_StepSnapshot, ...]


@dataclass(frozen=True, slots=True)
class _JobSnapshot(Record):
    name: str
    terms: QueueTerms
    body: bytes
    submitted_ms: U64
    phase: JobPhase
    ended_ms: U64
    times_done: tuple[U32, ...]
    times: tuple[_TimeSnapshot, ...]


def _job_snapshot(job: Job) -> _JobSnapshot:
    times = tuple(
        _TimeSnapshot(number, tuple(_step_snapshot(step) for step in time.steps)) for number, time in job.times.items()
    )
    return _JobSnapshot(
        job.name, job.terms, job.body, job.submitted_ms, job.phase, job.ended_ms, tuple(sorted(job.times_done)), times
    )


def _step_snapshot(step: StepState) -> _StepSnapshot:
    tasks = tuple(
        _TaskSnapshot(task.run, task.open, task.done, task.failures, task.saved, task.percent, task.node, task.instance)
        for task in step.tasks
    )
    return _StepSnapshot(step.failed_runs, step.last_failed_run, step.saved, step.percent, tasks)
