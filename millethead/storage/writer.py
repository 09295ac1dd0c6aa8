"""A thread that executes blocking disk operations, so that the event loop does not block. One sync covers many appends.

Log jobs are executed in the order in which they were queued, in groups of one sync each. Other disk jobs take
precedence.
"""

from __future__ import annotations

import contextlib
import enum
import errno
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from millethead.storage.log import Entry, LogFile, Snapshot
from millethead.storage.sync_times import SyncTimes

GROUP_BYTES = 4 << 20  # size at which a group is complete, so that other disk jobs are not delayed for long

Callback = Callable[[], None]


class WriterState(enum.Enum):
    """Whether the writer accepts and executes jobs."""

    OPEN = enum.auto()  # jobs are accepted and executed
    CLOSING = enum.auto()  # new jobs are dropped, queued ones are executed
    BROKEN = enum.auto()  # after a failure: new and queued jobs are dropped


@dataclass(frozen=True, slots=True)
class _Append:
    queued_at: float
    entries: Sequence[Entry]
    on_durable: Callback

    @property
    def size(self) -> int:
        return sum(len(entry.payload) for entry in self.entries)


@dataclass(frozen=True, slots=True)
class _Truncate:
    queued_at: float
    sequence: int
    size = 0


@dataclass(frozen=True, slots=True)
class _Install:
    queued_at: float
    snapshot: Snapshot
    on_durable: Callback

    @property
    def size(self) -> int:
        return len(self.snapshot.payload)


@dataclass(frozen=True, slots=True)
class _Rewrite:
    queued_at: float
    snapshot: Snapshot
    entries: Sequence[Entry]
    size = GROUP_BYTES


@dataclass(frozen=True, slots=True)
class _DiskJob:
    queued_at: float
    job: Callback
    done: Callback
    timed: bool


_LogJob = _Append | _Truncate | _Install | _Rewrite
_Job = TypeVar("_Job", _LogJob, _DiskJob)


class LogWriter:
    """Owns the log, and executes all blocking disk jobs in one background thread.

    `post(f)` schedules `f` on the event loop. `failed(error)` is posted once, after the first job that fails. From then
    on no job is executed, and no `on_durable` or `done` callback is called. If `threaded` is false, jobs are executed
    only by calls of `step`, for simulations. `clock` returns monotonic seconds. `times` records the duration of each
    write.
    """

    def __init__(
        self,
        log: LogFile,
        post: Callable[[Callback], None],
        failed: Callable[[OSError], None],
        *,
        clock: Callable[[], float] = time.monotonic,
        threaded: bool = True,
        times: SyncTimes | None = None,
    ) -> None:
        self._sync_times = times if times is not None else SyncTimes(clock)
        self._log, self._schedule, self._on_failure, self._clock = log, post, failed, clock
        self._condition = threading.Condition()  # guards the attributes below
        self._state = WriterState.OPEN
        self._log_jobs = deque[_LogJob]()
        self._disk_jobs = deque[_DiskJob]()
        self._executing_since: float | None = None
        self._thread = threading.Thread(target=self._run_thread, name="log-writer", daemon=True) if threaded else None
        if self._thread is not None:
            self._thread.start()

    @property
    def broken(self) -> bool:
        """Whether a job has failed, after which no job is executed."""
        return self._state is WriterState.BROKEN

    @property
    def pending_since(self) -> float | None:
        """The time at which the oldest unfinished job was queued. None if there is none."""
        with self._condition:
            waits = [queue[0].queued_at for queue in (self._log_jobs, self._disk_jobs) if queue]
            if self._executing_since is not None:
                waits.append(self._executing_since)
        return min(waits, default=None)

    def append(self, entries: Sequence[Entry], on_durable: Callback) -> None:
        """Appends entries. `on_durable` is posted once these and all earlier log jobs are synced, also if `entries` is
        empty.
        """
        self._enqueue(self._log_jobs, _Append(self._clock(), entries, on_durable))

    def truncate(self, sequence: int) -> None:
        """Invalidates the entries above `sequence`."""
        self._enqueue(self._log_jobs, _Truncate(self._clock(), sequence))

    def install(self, snapshot: Snapshot, on_durable: Callback) -> None:
        """Replaces everything queued or written before by a snapshot."""
        self._enqueue(self._log_jobs, _Install(self._clock(), snapshot, on_durable))

    def rewrite(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """Rewrites the log. `entries` are all entries after the snapshot that are to be kept, including queued ones."""
        self._enqueue(self._log_jobs, _Rewrite(self._clock(), snapshot, entries))

    def run(self, job: Callback, done: Callback, timed: bool = False) -> None:
        """Executes another blocking disk job, in order with others of this kind and before the queued log jobs.

        If `timed` is true, its duration counts as disk latency.
        """
        self._enqueue(self._disk_jobs, _DiskJob(self._clock(), job, done, timed))

    def close(self, timeout: float | None = None) -> None:
        """Executes the queued jobs and waits up to `timeout` seconds for them. The log stays open."""
        with self._condition:
            self._set_state(WriterState.CLOSING)
        if self._thread is not None:
            self._thread.join(timeout)
            return
        while self.step():
            pass

    def step(self) -> bool:
        """Executes one other disk job, or else one group of log jobs. Returns false if no job is queued. Blocks on the
        disk.
        """
        with self._condition:
            disk_job, group = self._dequeue()
        if disk_job is None and not group:
            return False
        self._sync_times.record_start(disk_job.queued_at if disk_job is not None else group[0].queued_at)
        try:
            if disk_job is not None:
                disk_job.job()
                self._post(disk_job.done)
            else:
                self._execute_group(group)
        except OSError as error:
            self._fail(error)
        except Exception as error:  # a bug: the state of the disk is unknown as well
            failure = OSError(errno.EIO, f"{type(error).__name__}: {error}")
            failure.__cause__ = error
            self._fail(failure)
        finally:
            self._sync_times.record_end(_is_timed(disk_job, group))
            with self._condition:
                self._executing_since = None
        return True

    def _run_thread(self) -> None:
        while True:
            with self._condition:
                while not self._disk_jobs and not self._log_jobs:
                    if self._state is not WriterState.OPEN:
                        return
                    self._condition.wait()
            self.step()

    def _enqueue(self, queue: deque[_Job], job: _Job) -> None:
        with self._condition:
            if self._state is WriterState.OPEN:
                queue.append(job)
                self._condition.notify()

    def _dequeue(self) -> tuple[_DiskJob | None, list[_LogJob]]:
        if self._disk_jobs:
            disk_job = self._disk_jobs.popleft()
            self._executing_since = disk_job.queued_at
            return disk_job, []
        group, size = list[_LogJob](), 0
        while self._log_jobs and size < GROUP_BYTES:
            group.append(self._log_jobs.popleft())
            size += group[-1].size
        if group:
            self._executing_since = group[0].queued_at
        return None, group

    def _execute_group(self, group: Sequence[_LogJob]) -> None:
        entries = list[Entry]()
        for job in group:
            if isinstance(job, _Append):
                entries.extend(job.entries)
                continue
            self._log.append(entries)
            entries = []
            self._execute(job)
        self._log.append(entries)
        self._log.sync()
        callbacks = [job.on_durable for job in group if isinstance(job, _Append | _Install)]
        if callbacks:
            self._post(lambda: _call_all(callbacks))

    def _execute(self, job: _Truncate | _Install | _Rewrite) -> None:
        match job:
            case _Truncate():
                self._log.truncate(job.sequence)
            case _Install():
                self._log.install(job.snapshot)
            case _Rewrite():
                self._log.rewrite(job.snapshot, job.entries)

    def _fail(self, error: OSError) -> None:
        with self._condition:
            self._set_state(WriterState.BROKEN)
            self._log_jobs.clear()
            self._disk_jobs.clear()
        self._post(lambda: self._on_failure(error))

    def _set_state(self, state: WriterState) -> None:
        if self._state is not WriterState.BROKEN:
            self._state = state
            self._condition.notify_all()

    def _post(self, callback: Callback) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop is closed, so the callback has no effect
            self._schedule(callback)


def _is_timed(disk_job: _DiskJob | None, group: Sequence[_LogJob]) -> bool:
    """Whether the duration of the work counts as disk latency: it is bounded, and a caller waits for it."""
    if disk_job is not None:
        return disk_job.timed
    return any(isinstance(job, _Append | _Install) for job in group)


def _call_all(callbacks: Sequence[Callback]) -> None:
    for callback in callbacks:
        callback()
