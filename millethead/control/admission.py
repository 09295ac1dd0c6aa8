"""Upper bound for the memory that jobs may use in the core.

The bound follows from the memory and the disk of the machine. New jobs are refused above it until other jobs have
ended. Besides the jobs, a member needs memory for an encoded snapshot of them (at most half of their accounted size)
and for a second copy of that snapshot while it is copied or written. While the log is rewritten, the disk holds the
snapshot twice, plus whatever is appended to the log in the meantime.
"""

from __future__ import annotations

MEMORY_SHARE = 0.25  # fraction of the process memory available for the accounted size of jobs
LOG_GROWTH_BYTES = 32 << 20  # largest growth of the log before it is rewritten
DISK_SHARE = 0.8  # fraction of the remaining disk space available for jobs
MIN_JOB_BYTES = 4 << 20
MB = 1 << 20


def max_job_bytes(memory_mb: float, disk_mb: float) -> int:
    """Return the maximum accounted size of all jobs in bytes (compare `JobTable.held_bytes`).

    A `disk_mb` of 0 means that the size of the disk is unknown; only the memory limits the jobs then.
    """
    most = MEMORY_SHARE * memory_mb * MB
    if disk_mb:
        most = min(most, DISK_SHARE * (disk_mb * MB - LOG_GROWTH_BYTES))
    return max(MIN_JOB_BYTES, int(most))
