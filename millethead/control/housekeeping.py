"""Which jobs the core may forget, and of which it has to keep no more than the end."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from millethead.jobs.commands import PurgeJobs, TrimJobs
from millethead.jobs.state import Job

PURGE_S = 20.0  # between looks for jobs that may be forgotten
TRIM_S = 5.0  # between looks for jobs of which only the end has to be kept
KEEP_MORE_S = 60.0  # ended jobs are kept so much longer than they must be: clocks may jump
MOST_AT_ONCE = 1000  # jobs in one command


def purge_command(jobs: Iterable[Job], wall_ms: int, status_s: float) -> PurgeJobs | None:
    """Has jobs forgotten that ended long ago; None where there are none."""
    old = wall_ms - int((status_s + KEEP_MORE_S) * 1000)
    names = (job.name for job in jobs if _over(job) and job.ended_ms < old)
    found = tuple(islice(names, MOST_AT_ONCE))
    return PurgeJobs(found) if found else None


def trim_command(jobs: Iterable[Job]) -> TrimJobs | None:
    """Has no more kept of jobs that have ended than their end; None where there are none."""
    found = tuple(islice((job.name for job in jobs if _over(job) and not job.trimmed), MOST_AT_ONCE))
    return TrimJobs(found) if found else None


def _over(job: Job) -> bool:
    return job.phase.is_final and not job.open_runs
