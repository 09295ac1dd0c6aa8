"""A job of many small tasks is cancelled while all of them run."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from millethead.lab.local_machine import APP_PORT, SERVICE, Machine
from review.harness_2.deployment import BOUNDS, ROOT, Deployment, Record

CASE = Path(__file__).parent
NAME = "c" * 16
TASKS, CALM_TASKS = 6000, 400
STARTS_S = 40.0  # time for all tasks to start
WATCHED_S = 15.0  # after the cancelling was acknowledged
TIMING_S = 0.3  # for the records of the workers
HELD, BROKEN, NOT_RUN = 0, 1, 2


@dataclass(slots=True)
class Cancelled(Deployment):
    """The deployment with each worker in a process of its own."""

    worker_processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    worker_records: list[Path] = field(default_factory=list)

    async def _start_worker(self, machine: Machine) -> None:
        instance = f"i-{machine.name}-{random.getrandbits(32):08x}"
        record = machine.folder / "runs"
        address = f"{machine.ip}:{APP_PORT}"
        command = ["python3", "-m", "review.harness_2.quick_worker", address, machine.control, SERVICE, machine.zone]
        self.worker_processes.append(subprocess.Popen([*command, instance, str(record)], cwd=ROOT))
        self.worker_records.append(record)

    def end_workers(self) -> None:
        """End the workers' processes."""
        for process in self.worker_processes:
            process.kill()
            process.wait()

    def events(self) -> list[tuple[float, str, str]]:
        """What has happened at the workers: time, what, and the run."""
        found = []
        for record in self.worker_records:
            for line in record.read_text().splitlines() if record.exists() else []:
                if line.count(" ") == 3:
                    at, what, task, run = line.split(" ")
                    found.append((float(at), what, f"{task} run {run}"))
        return sorted(found)

    def left(self) -> dict[str, float]:
        """The runs that have not ended, with the time of their start."""
        runs: dict[str, float] = {}
        for at, what, run in self.events():
            if what == "start":
                runs[run] = at
            else:
                runs.pop(run, None)
        return runs


async def play(deployment: Cancelled, count: int) -> list[str]:
    """Hand a job of `count` tasks in, cancel it while all of them run, and return the breaks."""
    await deployment.begin()
    step = {"count": count, "cpu": 10, "mem_mb": 8, "estimate_ms": 60_000}
    if not await deployment.hand_in(NAME, {"spec": "90 10 8", "steps": [step]}):
        raise RuntimeError("the job was not taken")
    until = time.monotonic() + STARTS_S
    while (running := len(deployment.left())) < count and time.monotonic() < until:
        await asyncio.sleep(0.5)
    deployment.note(f"{running} of {count} tasks run")
    if running < count:
        raise RuntimeError("not all tasks have started")
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)  # calm before the cancelling
    acknowledged = False
    for number in range(5):
        reply = await deployment.ask("DELETE", NAME, None, number)
        if reply.status == 410 or 200 <= reply.status < 300:
            acknowledged = True
            break
    if not acknowledged:
        raise RuntimeError("the cancelling was not acknowledged")
    acknowledged_at = time.monotonic()
    while deployment.left() and time.monotonic() < acknowledged_at + WATCHED_S:
        await asyncio.sleep(0.25)
    return judge(deployment, acknowledged_at)


def judge(deployment: Cancelled, acknowledged_at: float) -> list[str]:
    """Hold what happened after the acknowledgement against the rule."""
    cancel_s, stop_s = BOUNDS["cancel_ms"] / 1000, BOUNDS["stop_ms"] / 1000
    after = [(at - acknowledged_at, what) for at, what, _ in deployment.events() if at > acknowledged_at]
    ends = [at for at, what in after if what != "start"]
    starts = [at for at, what in after if what == "start" and at > cancel_s]
    late = sum(at > cancel_s + stop_s + TIMING_S for at in ends) + len(deployment.left())
    for half in range(2 * int(WATCHED_S)):
        count = sum(half / 2 <= at < (half + 1) / 2 for at in ends)
        if count:
            deployment.note(f"ended {half / 2:.1f} to {half / 2 + 0.5:.1f} s after the acknowledgement: {count}")
    found = []
    if late:
        last = max(ends, default=WATCHED_S)
        found.append(
            f"{late} tasks still ran {cancel_s + stop_s:.1f} s after the acknowledgement, the last to {last:.1f} s"
        )
    if starts:
        found.append(f"{len(starts)} tasks were started later than {cancel_s:.1f} s after the acknowledgement")
    return found


async def run(folder: Path, record: Record) -> int:
    deployment = Cancelled(folder, record=record)
    deployment.layout = type(deployment.layout)(controls=3, dispatchers=2, agents=4)
    try:
        found = await play(deployment, CALM_TASKS if os.environ.get("TROUBLE") == "0" else TASKS)
    except Exception as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        return NOT_RUN
    finally:
        deployment.note_processes()
        await deployment.stop()
        deployment.end_workers()
    for text in found:
        record.write(f"BROKEN: UNASKED: {text}")
    return BROKEN if found else HELD


if __name__ == "__main__":
    record = Record(CASE / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        code = asyncio.run(run(folder, record))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.write(f"exit code {code}")
    record.close()
    sys.exit(code)
