"""The thread that waits on the disk, so that the event loop does not; many appends ride on one sync.

Jobs on the log are done in the order they were queued, a group of them for each sync. Other disk jobs go before.
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

GROUP_BYTES = 4 << 20  # no more is added to a group that holds as much, so that other disk jobs get their turn

Callback = Callable[[], None]


class WriterState(enum.Enum):
    """What becomes of a job that is queued."""

    OPEN = enum.auto()  # it is done
    CLOSING = enum.auto()  # it is dropped; those queued before are done
    BROKEN = enum.auto()  # it is dropped, as were those queued before


@dataclass(frozen=True, slots=True)
class _Append:
    since: float
    entries: Sequence[Entry]
    durable: Callback

    @property
    def size(self) -> int:
        return sum(len(entry.payload) for entry in self.entries)


@dataclass(frozen=True, slots=True)
class _Truncate:
    since: float
    sequence: int
    size = 0


@dataclass(frozen=True, slots=True)
class _Install:
    since: float
    snapshot: Snapshot
    durable: Callback

    @property
    def size(self) -> int:
        return len(self.snapshot.payload)


@dataclass(frozen=True, slots=True)
class _Rewrite:
    since: float
    snapshot: Snapshot
    entries: Sequence[Entry]
    size = GROUP_BYTES


@dataclass(frozen=True, slots=True)
class _Run:
    since: float
    job: Callback
    done: Callback
    timed: bool


_LogJob = _Append | _Truncate | _Install | _Rewrite
_Job = TypeVar("_Job", _LogJob, _Run)


class LogWriter:
    """Owns the log, and does all blocking disk jobs in one background thread.

    `post(f)` schedules `f` on the event loop; `failed(error)` is posted once, when a job has failed. From then on
    nothing is done, and `durable` and `done` are no longer called. With `threaded` false nothing is done but by calls
    of `step`, for a simulation. `clock` gives monotonic seconds. `times` is told of each write that is done.
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
        self._times = times if times is not None else SyncTimes(clock)
        self._log, self._post_to_loop, self._failed, self._clock = log, post, failed, clock
        self._wake = threading.Condition()  # guards all that follows
        self._state = WriterState.OPEN
        self._log_jobs = deque[_LogJob]()
        self._runs = deque[_Run]()
        self._working_since: float | None = None
        self._thread = threading.Thread(target=self._work, name="log-writer", daemon=True) if threaded else None
        if self._thread is not None:
            self._thread.start()

    @property
    def broken(self) -> bool:
        """A job has failed, and nothing more is done."""
        return self._state is WriterState.BROKEN

    @property
    def pending_since(self) -> float | None:
        """The time of the clock since which the oldest unfinished job has waited; None when there is none."""
        with self._wake:
            waits = [queue[0].since for queue in (self._log_jobs, self._runs) if queue]
            if self._working_since is not None:
                waits.append(self._working_since)
        return min(waits, default=None)

    def append(self, entries: Sequence[Entry], durable: Callback) -> None:
        """Append entries; `durable` is posted once they, and all jobs on the log before, are synced. Without entries
        it says just that."""
        self._add(self._log_jobs, _Append(self._clock(), entries, durable))

    def truncate(self, sequence: int) -> None:
        """Make the entries above `sequence` void."""
        self._add(self._log_jobs, _Truncate(self._clock(), sequence))

    def install(self, snapshot: Snapshot, durable: Callback) -> None:
        """Put a snapshot in place of everything queued or written before."""
        self._add(self._log_jobs, _Install(self._clock(), snapshot, durable))

    def rewrite(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """Write the log anew; `entries` are all after the snapshot that are to be kept, queued ones too."""
        self._add(self._log_jobs, _Rewrite(self._clock(), snapshot, entries))

    def run(self, job: Callback, done: Callback, timed: bool = False) -> None:
        """Do another blocking disk job, in order with others of its sort and before the queued jobs on the log.
        `timed`: how long it takes tells how fast the disk is."""
        self._add(self._runs, _Run(self._clock(), job, done, timed))

    def close(self, timeout: float | None = None) -> None:
        """Finish what is queued; waits for it, at most `timeout` seconds. The log stays open."""
        with self._wake:
            self._enter(WriterState.CLOSING)
        if self._thread is not None:
            self._thread.join(timeout)
            return
        while self.step():
            pass

    def step(self) -> bool:
        """Do one other job, or else one group of jobs on the log; false when nothing is queued. Blocks on the disk."""
        with self._wake:
            run, group = self._take()
        if run is None and not group:
            return False
        self._times.started(run.since if run is not None else group[0].since)
        try:
            if run is not None:
                run.job()
                self._post(run.done)
            else:
                self._commit(group)
        except OSError as error:
            self._break(error)
        except Exception as error:  # a fault in the program: the disk's state is as unknown
            failure = OSError(errno.EIO, f"{type(error).__name__}: {error}")
            failure.__cause__ = error
            self._break(failure)
        finally:
            self._times.finished(_is_timed(run, group))
            with self._wake:
                self._working_since = None
        return True

    def _work(self) -> None:
        while True:
            with self._wake:
                while not self._runs and not self._log_jobs:
                    if self._state is not WriterState.OPEN:
                        return
                    self._wake.wait()
            self.step()

    def _add(self, queue: deque[_Job], job: _Job) -> None:
        with self._wake:
            if self._state is WriterState.OPEN:
                queue.append(job)
                self._wake.notify()

    def _take(self) -> tuple[_Run | None, list[_LogJob]]:
        if self._runs:
            run = self._runs.popleft()
            self._working_since = run.since
            return run, []
        group, size = list[_LogJob](), 0
        while self._log_jobs and size < GROUP_BYTES:
            group.append(self._log_jobs.popleft())
            size += group[-1].size
        if group:
            self._working_since = group[0].since
        return None, group

    def _commit(self, group: Sequence[_LogJob]) -> None:
        entries = list[Entry]()
        for job in group:
            if isinstance(job, _Append):
                entries.extend(job.entries)
                continue
            self._log.append(entries)
            entries = []
            self._do(job)
        self._log.append(entries)
        self._log.sync()
        callbacks = [job.durable for job in group if isinstance(job, _Append | _Install)]
        if callbacks:
            self._post(lambda: _call_all(callbacks))

    def _do(self, job: _Truncate | _Install | _Rewrite) -> None:
        match job:
            case _Truncate():
                self._log.truncate(job.sequence)
            case _Install():
                self._log.install(job.snapshot)
            case _Rewrite():
                self._log.rewrite(job.snapshot, job.entries)

    def _break(self, error: OSError) -> None:
        with self._wake:
            self._enter(WriterState.BROKEN)
            self._log_jobs.clear()
            self._runs.clear()
        self._post(lambda: self._failed(error))

    def _enter(self, state: WriterState) -> None:
        if self._state is not WriterState.BROKEN:
            self._state = state
            self._wake.notify_all()

    def _post(self, callback: Callback) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop is closed: nobody is left to hear of it
            self._post_to_loop(callback)


def _is_timed(run: _Run | None, group: Sequence[_LogJob]) -> bool:
    """Whether work on the disk tells how fast it is: somebody waits for it, and it is bounded."""
    if run is not None:
        return run.timed
    return any(isinstance(job, _Append | _Install) for job in group)


def _call_all(callbacks: Sequence[Callback]) -> None:
    for callback in callbacks:
        callback()
