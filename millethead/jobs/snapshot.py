"""Encoding of the job table in snapshots. Jobs are encoded and restored in slices, so that a large table does not block
the event loop. The tombstones follow the last job; tables from before there were tombstones end there."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from millethead.jobs.commands import QueueTerms, TaskRun
from millethead.jobs.description import NOTHING, read_job
from millethead.jobs.state import Job, JobPhase, JobTable, StepState, Task
from millethead.jobs.tombstones import Tombstones
from millethead.rpc.codec import U8, U32, U64, CodecError, Record, decode_at, encode

JOBS_PER_SLICE = 50  # jobs encoded or restored in one slice
MAX_REMAINING_JOBS = 50  # jobs that `prepare` may leave for the final `encode`
_COUNT = struct.Struct(">I")


class TableEncoder:
    """Encodes a table at once, or mostly in advance and in slices. A job that changes afterwards is encoded again."""

    def __init__(self, table: JobTable) -> None:
        self._table = table
        self._encoded: dict[str, bytes] = {}
        self._unencoded: dict[str, None] | None = None  # names of jobs still to be encoded; None: not started

    def prepare(self) -> bool:
        """Encodes another slice of jobs. Returns whether so few are left that `encode` will be quick."""
        if self._unencoded is None:
            self._unencoded = dict.fromkeys(self._table.jobs)
            self._table.changed = self._job_changed
        for _ in range(min(JOBS_PER_SLICE, len(self._unencoded))):
            name = next(iter(self._unencoded))
            del self._unencoded[name]
            job = self._table.jobs.get(name)
            if job is not None:
                self._encoded[name] = encode(_job_snapshot(job))
        return len(self._unencoded) <= MAX_REMAINING_JOBS

    def _job_changed(self, name: str) -> None:
        assert self._unencoded is not None
        self._encoded.pop(name, None)
        self._unencoded[name] = None

    def encode(self) -> bytes:
        """Encodes the table as it is now, using and then discarding the prepared encodings."""
        encoded = self._encoded
        parts = [encoded.get(job.name) or encode(_job_snapshot(job)) for job in self._table.jobs.values()]
        self.discard()
        return b"".join([_COUNT.pack(len(parts)), *parts, self._table.tombstones.encode()])

    def discard(self) -> None:
        """Discards the prepared encodings."""
        self._encoded, self._unencoded = {}, None
        self._table.changed = lambda name: None


def encode_table(table: JobTable) -> bytes:
    """Encodes a table at once."""
    return TableEncoder(table).encode()


def restore_table(table: JobTable, data: bytes) -> Iterator[None]:
    """Fills an empty table from its encoding, one slice for each iteration; raises CodecError."""
    if len(data) < _COUNT.size:
        raise CodecError("the table has no count")
    (count,) = _COUNT.unpack_from(data)
    at = _COUNT.size
    for number in range(count):
        job_snapshot, at = decode_at(_JobSnapshot, data, at)
        _restore_job(table, job_snapshot)
        if number % JOBS_PER_SLICE == JOBS_PER_SLICE - 1:
            yield
    table.tombstones = Tombstones.decode(data[at:])


def _restore_job(table: JobTable, snapshot: _JobSnapshot) -> None:
    job = Job(
        snapshot.name,
        snapshot.terms,
        read_job(snapshot.body) if snapshot.body else NOTHING,
        snapshot.body,
        snapshot.submitted_ms,
        snapshot.phase,
        snapshot.ended_ms,
        times_done=set(snapshot.times_done),
    )
    table.add(job)
    for time in snapshot.times:
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
    state.remaining_tasks = sum(not task.done for task in state.tasks)


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
