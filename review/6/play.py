"""A timed job of which many times are due at once, beside ordinary jobs."""

from __future__ import annotations

import time
from pathlib import Path

from review.harness_2.beside import play

MINUTE_MS = 60_000
TIMES = 525_600  # a time each minute for a year
STEP = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 200}
JOB = {"spec": "0.2 1000 256", "steps": [STEP], "repeats": TIMES, "interval_ms": MINUTE_MS}

if __name__ == "__main__":
    now_ms = int(1000 * time.time())
    play(
        Path(__file__).parent,
        special=[JOB | {"delay_ms": now_ms - TIMES * MINUTE_MS}],  # the year until now: all times are due
        calm=[JOB | {"delay_ms": now_ms}],  # the year from now on: one time is due
        waits=lambda _: True,
    )
