"""Retention of ended jobs and of tombstones: what may be purged, and which jobs may be trimmed to their final state."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, islice

from millethead.jobs.commands import PurgeJobs, TrimJobs
from millethead.jobs.state import Job, JobTable

PURGE_INTERVAL_S = 20.0  # between two purges
FULL_PURGE_INTERVAL_S = 1.0  # after a purge of MAX_JOBS_PER_COMMAND, since there may be more
TRIM_INTERVAL_S = 5.0  # between two trims
RETENTION_MARGIN_S = 60.0  # added to the retention period of ended jobs, because the time of day may jump
MAX_JOBS_PER_COMMAND = 1000


def purge_command(table: JobTable, wall_ms: int, job_retention_s: float) -> PurgeJobs | None:
    """Return the command that purges jobs and tombstones whose retention period is over; None if there are none."""
    ended_before_ms = wall_ms - int((job_retention_s + RETENTION_MARGIN_S) * 1000)
    ended = (job.name for job in table.jobs.values() if _has_ended(job) and job.ended_ms < ended_before_ms)
    names = chain(ended, table.tombstones.cancelled_before(ended_before_ms))
    found = tuple(islice(names, MAX_JOBS_PER_COMMAND))
    return PurgeJobs(found) if found else None


def trim_command(jobs: Iterable[Job]) -> TrimJobs | None:
    """Return the command that trims ended jobs to their final state; None if there are none."""
    found = tuple(islice((job.name for job in jobs if _has_ended(job) and not job.trimmed), MAX_JOBS_PER_COMMAND))
    return TrimJobs(found) if found else None


def purge_interval_s(command: PurgeJobs | None) -> float:
    """Return the time until the next purge, given the command of the last one."""
    is_full = command is not None and len(command.jobs) == MAX_JOBS_PER_COMMAND
    return FULL_PURGE_INTERVAL_S if is_full else PURGE_INTERVAL_S


class Retention:
    """Decides when ended jobs and tombstones are purged, and when jobs are trimmed."""

    def __init__(self, table: JobTable, job_retention_s: float, now: float) -> None:
        self._table, self._job_retention_s = table, job_retention_s
        self._next_purge = now + PURGE_INTERVAL_S
        self._next_trim = now + TRIM_INTERVAL_S

    @property
    def next_due(self) -> float:
        """Return the monotonic time of the next purge or trim."""
        return min(self._next_purge, self._next_trim)

    def take_due(self, now: float, wall_ms: int) -> list[PurgeJobs | TrimJobs]:
        """Return the commands that are due."""
        found: list[PurgeJobs | TrimJobs | None] = []
        if now >= self._next_purge:
            purge = purge_command(self._table, wall_ms, self._job_retention_s)
            self._next_purge = now + purge_interval_s(purge)
            found.append(purge)
        if now >= self._next_trim:
            self._next_trim = now + TRIM_INTERVAL_S
            found.append(trim_command(self._table.jobs.values()))
        return [command for command in found if command is not None]


def _has_ended(job: Job) -> bool:
    return job.phase.is_final and not job.open_runs
