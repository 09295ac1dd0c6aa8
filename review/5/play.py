"""A queue is moved to another service by a configuration, and the workers of the old service leave."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from millethead.lab.local_machine import APP_PORT, SERVICE, Machine, configuration
from millethead.lab.worker import WorkerModel, WorkerProfile
from millethead.lab.worker_server import WorkerServer
from review.harness_2.deployment import BOUNDS, CAPACITY, HEARTBEAT_MS, Deployment, Record, work_of

CASE = Path(__file__).parent
OLD, NEW = SERVICE, "assembly-new"
LASTING = "a" * 16
WIDE = "b" * 16
HELD, BROKEN, NOT_RUN = 0, 1, 2
IDLE_S = 3.0


def document(version: int, service: str) -> dict[str, object]:
    """The configuration with one queue, worked by `service`. Both services are listed."""
    found = configuration(version)
    route, known = found["routes"][0], found["services"][0]  # type: ignore[index]
    found["routes"] = [route | {"service": service}]
    found["services"] = [known, known | {"name": NEW}]
    return found


@dataclass(slots=True)
class Migration(Deployment):
    """One worker of the old service and six of the new one."""

    def _service_of(self, machine: Machine) -> str:
        return OLD if machine.name == "agent-1" else NEW

    def _settings(self, machine: Machine, bootstrap: bool) -> dict[str, object]:
        settings = Deployment._settings(self, machine, bootstrap)
        return settings | ({"service": self._service_of(machine)} if "service" in settings else {})

    async def _start_worker(self, machine: Machine) -> None:
        profile = WorkerProfile(
            service=self._service_of(machine),
            address=f"{machine.ip}:{APP_PORT}",
            zone=machine.zone,
            labels=("assembler", f"{machine.zone}-1"),
            capacity=CAPACITY,
        )
        model = WorkerModel(profile, work_of, f"i-{machine.name}-{random.getrandbits(32):08x}", time.monotonic())
        worker = WorkerServer(model, machine.control, HEARTBEAT_MS / 1000)
        await worker.start(machine.ip, APP_PORT)
        self.workers.append(worker)

    def running_by_service(self, job: str) -> dict[str, int]:
        """How many runs of a job each service has."""
        found = {OLD: 0, NEW: 0}
        for worker in self.workers:
            found[worker.model.profile.service] += sum(run.task.startswith(f"{job}.") for run in worker.model.running())
        return found


async def play(deployment: Migration, moved: bool) -> list[str]:
    """Play it; with `moved` the queue is moved. Returns the breaks."""
    await deployment.start()
    await deployment.order(document(1, OLD), 0)
    await deployment.ready()
    lasting = {
        "spec": "1000 1000 256",
        "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1200, "long_running": True}],
    }
    wide = {"spec": "1.5 8000 4096", "steps": [{"count": 20, "cpu": 8000, "mem_mb": 4096, "estimate_ms": 1500}]}
    for name, body in ((LASTING, lasting), (WIDE, wide)):
        deployment.note(f"job {name}: {msgspec.json.encode(body).decode()}")
        if not await deployment.hand_in(name, body):
            raise RuntimeError("a job was not taken")
    await deployment.tasks_run(5, 10.0)
    deployment.note(f"running: {deployment.running_by_service(LASTING)}, {deployment.running_by_service(WIDE)}")
    if moved:
        await deployment.order(document(2, NEW), 1)
        await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000)
        remaining_s = BOUNDS["drain_ms"] / 1000 + 1.0
        old = [worker for worker in deployment.workers if worker.model.profile.service == OLD]
        for worker in old:
            worker.model.drain(time.monotonic() + remaining_s)
            deployment.note(f"worker {worker.model.instance} says that it drains, for {remaining_s:.0f} s at least")
        await asyncio.sleep(HEARTBEAT_MS / 1000 + remaining_s + 0.5)
        for worker in old:
            await worker.leave()
            deployment.note(f"worker {worker.model.instance} has left")
            deployment.workers.remove(worker)
    deployment.note("end of the traffic")
    await asyncio.sleep(BOUNDS["finish_s"])
    return await look(deployment)


async def look(deployment: Migration) -> list[str]:
    """Watch for some seconds, and hold what is seen against the rule."""
    since: dict[str, float] = {}
    longest = dict.fromkeys((LASTING, WIDE), 0.0)
    until = time.monotonic() + 2 * IDLE_S + 1
    while (now := time.monotonic()) < until:
        for name in longest:
            if sum(deployment.running_by_service(name).values()):
                since.pop(name, None)
            else:
                longest[name] = max(longest[name], now - since.setdefault(name, now))
        await asyncio.sleep(0.05)
    found = []
    for name, idle_s in longest.items():
        reply = await deployment.ask("GET", name)
        used = deployment.used_share()
        deployment.note(f"job {name} is {reply.state}; nothing running for {idle_s:.1f} s; {used:.2f} of the room used")
        if reply.status != 200:
            found.append(f"job {name} is answered {reply.status}")
        elif reply.state in ("queued", "running") and idle_s >= IDLE_S and used < 0.5:
            found.append(f"job {name} is {reply.state}, and had nothing running for {idle_s:.1f} s beside free room")
    return found


async def run(folder: Path, record: Record) -> int:
    deployment = Migration(folder, record=record)
    deployment.layout = type(deployment.layout)(controls=3, dispatchers=2, agents=7)
    try:
        found = await play(deployment, os.environ.get("TROUBLE") != "0")
    except Exception as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        return NOT_RUN
    finally:
        deployment.note_processes()
        await deployment.stop()
    for text in found:
        record.write(f"BROKEN: LOST: {text}")
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
