"""How much the core may hold of jobs, worked out from its machines: more is refused until some have ended.

What a member needs besides the jobs themselves: the snapshot of them in memory, encoded (at most half of what the
jobs are counted with), once more while it is copied or written, and on disk twice while the log is rewritten, beside
what the log grows by in between.
"""

from __future__ import annotations

MEMORY_SHARE = 0.25  # of a process's memory, for what jobs are counted with
LOG_GROWTH_BYTES = 32 << 20  # by which a log grows at most before it is rewritten
DISK_SHARE = 0.8  # of what the disk has beyond that
LEAST_BYTES = 4 << 20
MB = 1 << 20


def most_job_bytes(memory_mb: float, disk_mb: float) -> int:
    """Bytes that all jobs together may be counted with (`JobTable.held_bytes`). `disk_mb` 0: not known."""
    most = MEMORY_SHARE * memory_mb * MB
    if disk_mb:
        most = min(most, DISK_SHARE * (disk_mb * MB - LOG_GROWTH_BYTES))
    return max(LEAST_BYTES, int(most))
