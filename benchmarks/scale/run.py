"""What each program costs as agents and task starts grow: real processes of the core and of dispatchers on loopback,
with hollow agents and hollow clients' calls that share this process.

Usage: run.py [--agents=LIST] [--rates=LIST] [--seconds=S] [--out=FILE]

For each number of agents the core is started anew, left without jobs for a while, and then given jobs of 20 tasks at
each rate of task starts a second. Processor time is the processes' own (`/proc/PID/stat`), memory their peak (VmHWM).
A rate counts as reached by what the hollow agents were told to start; the delay is from a hand-in to each task's order.

Options:
  --agents=LIST  numbers of hollow agents [default: 30,100,300,1000]
  --rates=LIST   task starts a second, 0 for none [default: 0,50,200]
  --seconds=S    of each measurement [default: 8]
  --out=FILE     where the table goes [default: benchmarks/scale/results/slopes.csv]
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import structlog
from docopt import docopt

from millethead.control.calls import JobCall
from millethead.control.client import CallFailed, HeadCaller
from millethead.execution.messages import Resources
from millethead.lab.hollow import HollowAgent, HollowWorker
from millethead.lab.local_machine import HOST, PREFIX, SERVICE, Machine
from millethead.lab.local_system import Layout, LocalSystem
from millethead.lab.table import keep

TASKS = 20  # of a job
WORK_S = 1.0  # of a task
CAPACITY = Resources(32_000, 65_536, 0)
SETTLE_S = 2.0  # after the start, and after a change of the rate
TICKS = os.sysconf("SC_CLK_TCK")
CALLERS = 4  # hollow dispatchers


@dataclass
class Load:
    """Jobs that are handed in at a rate, and what became of their tasks."""

    callers: list[HeadCaller]
    handed_in: dict[str, float] = field(default_factory=dict)
    delays_ms: list[float] = field(default_factory=list)
    starts: int = 0
    refused: int = 0
    jobs: int = 0

    def started(self, task: str) -> None:
        """An agent was told to start a task."""
        self.starts += 1
        at = self.handed_in.get(task.partition(".")[0])
        if at is not None:
            self.delays_ms.append(1000 * (asyncio.get_running_loop().time() - at))

    async def run(self, rate: float) -> None:
        """Hand jobs in for ever."""
        loop, tasks = asyncio.get_running_loop(), set()
        due = loop.time()
        while True:
            due += TASKS / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            tasks.add(task := loop.create_task(self._hand_in()))
            task.add_done_callback(tasks.discard)

    async def _hand_in(self) -> None:
        self.jobs += 1
        name = f"{self.jobs:016x}"
        step = {"count": TASKS, "cpu": 1000, "mem_mb": 256, "estimate_ms": int(1000 * WORK_S)}
        body = json.dumps({"spec": "hollow", "steps": [step]}).encode()
        self.handed_in[name] = asyncio.get_running_loop().time()
        caller = self.callers[self.jobs % len(self.callers)]
        try:
            answer = await caller.call(lambda number: JobCall(number, "POST", HOST, PREFIX + name, body), 3.0, 3.0)
            self.refused += answer.status != 200
        except CallFailed:
            self.refused += 1


def cpu_s(machine: Machine) -> float:
    """Processor seconds of a machine's process so far."""
    assert machine.process is not None
    fields = Path(f"/proc/{machine.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def peak_mb(machine: Machine) -> float:
    """The most memory that a machine's process has had."""
    assert machine.process is not None
    for line in Path(f"/proc/{machine.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


@asynccontextmanager
async def core(agents: int) -> AsyncIterator[tuple[LocalSystem, Load, list[HollowAgent]]]:
    """A core of three with two dispatchers, and so many hollow agents that the head knows."""
    with tempfile.TemporaryDirectory() as folder:
        system = LocalSystem(Path(folder), Layout(controls=3, dispatchers=2, agents=0))
        hollow: list[HollowAgent] = []
        callers: list[HeadCaller] = []
        try:
            await system.start()
            await system.put_configuration(1, 0)
            members = [machine.internal for machine in system.controls]
            callers = [HeadCaller(f"hollow-{n}", lambda: tuple(members), Random(n)) for n in range(CALLERS)]
            load = Load(callers)
            for caller in callers:
                caller.start()
            worker = HollowWorker(SERVICE, CAPACITY, WORK_S)
            for n in range(agents):
                hollow.append(HollowAgent(f"side-{n}", members, worker, load.started))
                hollow[-1].start()
                await asyncio.sleep(0.002)
            await system.core_reaches(lambda status: len(status.workers) == agents, 60.0, "all agents are known")
            yield system, load, hollow
        finally:
            for caller in callers:
                caller.close()
            await asyncio.gather(*(agent.stop() for agent in hollow))
            await system.stop()


async def measure(system: LocalSystem, load: Load, rate: float, seconds: float) -> dict[str, object]:
    """One line of the table."""
    loop = asyncio.get_running_loop()
    handing = loop.create_task(load.run(rate)) if rate else None
    await asyncio.sleep(SETTLE_S)
    status = await system.status()
    head = system.by_internal(status.head)
    others = [machine for machine in system.controls if machine is not head]
    watched = [head, *others, *system.dispatchers]
    before, starts, began = [cpu_s(machine) for machine in watched], load.starts, loop.time()
    load.delays_ms.clear()
    refused = load.refused
    await asyncio.sleep(seconds)
    took = loop.time() - began
    used = [(after - early) / took for after, early in zip(map(cpu_s, watched), before, strict=True)]
    delays = sorted(load.delays_ms) or [0.0]
    same_head = (await system.status()).epoch == status.epoch
    if handing is not None:
        handing.cancel()
        with suppress(asyncio.CancelledError):
            await handing
    return {
        "starts_wanted": rate,
        "starts_reached": round((load.starts - starts) / took, 1),
        "head_cores": round(used[0], 4),
        "follower_cores": round(max(used[1 : 1 + len(others)]), 4),
        "dispatcher_cores": round(max(used[1 + len(others) :]), 4),
        "head_mb": round(peak_mb(head), 1),
        "follower_mb": round(max(map(peak_mb, others)), 1),
        "delay_p50_ms": round(delays[len(delays) // 2], 1),
        "delay_p95_ms": round(delays[int(0.95 * (len(delays) - 1))], 1),
        "refused": load.refused - refused,
        "head_stayed": same_head,
    }


def quiet_logs() -> None:
    """Sessions that end by the hundred are no news here."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))


async def main(agents: list[int], rates: list[float], seconds: float, out: Path) -> None:
    rows: list[dict[str, object]] = []
    for count in agents:
        async with core(count) as (system, load, _):
            for rate in rates:
                rows.append({"agents": count, **await measure(system, load, rate, seconds)})
                print(rows[-1], flush=True)
    keep(out, rows)


if __name__ == "__main__":
    options = docopt(__doc__)
    quiet_logs()
    asyncio.run(
        main(
            [int(count) for count in options["--agents"].split(",")],
            [float(rate) for rate in options["--rates"].split(",")],
            float(options["--seconds"]),
            Path(options["--out"]),
        )
    )
