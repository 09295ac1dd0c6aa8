"""UNASKED: a job whose cancelling was answered with 410 runs afterwards.

A dispatcher's machine freezes. A client hands a job in there, has no answer, leaves before its deadline and cancels the
job at another dispatcher, which answers 410. The machine wakes again, and the job is accepted and run.
With TROUBLE=0 the same is done without the freeze.
"""

from __future__ import annotations

import asyncio
import signal
import time

from harness import BOUNDS, BROKEN, HELD, NOT_RUN, Deployment, Layout, job_name, run, trouble

FREEZE_S = 5.0  # the sites' longest node_freeze
LEAVES_AFTER_S = 0.5  # the client leaves before its deadline
WATCH_S = 6.0


async def case(system: Deployment) -> int:
    record = system.record
    frozen, other = system.dispatchers[:2]
    name = job_name()
    step = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}
    froze_at = time.monotonic()
    if trouble():
        system.signal(frozen, signal.SIGSTOP)
        record.line(f"the machine of {frozen.name} freezes")
    await system.client("POST", frozen, name, {"spec": "1.0 1000", "steps": [step]}, leaves_after_s=LEAVES_AFTER_S)
    cancel = await system.client("DELETE", other, name)
    cancelled_at = time.monotonic()
    if trouble():
        await asyncio.sleep(max(0.0, froze_at + FREEZE_S - time.monotonic()))
        system.signal(frozen, signal.SIGCONT)
        record.line(f"the machine of {frozen.name} wakes after {time.monotonic() - froze_at:.1f} s")
    if not (200 <= cancel.status < 300 or cancel.status == 410):
        return NOT_RUN
    await asyncio.sleep(WATCH_S)
    await system.client("GET", other, name)
    bound_s = BOUNDS["cancel_ms"] / 1000
    late = [
        (start.task, start.run, round(start.at - cancelled_at, 3))
        for worker in system.workers
        for start in worker.model.starts
        if start.task.startswith(name) and start.at > cancelled_at + bound_s
    ]
    record.line(f"starts later than {bound_s:g} s after the cancelling was acknowledged (task, run, seconds): {late}")
    return BROKEN if late else HELD


run(case, Layout(controls=3, dispatchers=2, agents=3), lambda index: f"r-{index // 3}")
