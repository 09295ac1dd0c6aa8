"""The demonstration: the whole system on loopback, a job, the loss of the head, and the job done all the same."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from millethead.control.inspect import StatusReport
from millethead.lab.local_machine import SERVICE, LocalSystemError, Machine, Role
from millethead.lab.local_system import LocalSystem

MOST_S = 50.0  # for all of it
JOB = "00000000000000d1"
TASK_S = 2.5  # work of each task
FIRST_TASKS, LAST_TASKS = 6, 2  # of the first step, and of the one that depends on it
STEPS = [
    {"count": FIRST_TASKS, "cpu": 1000, "mem_mb": 256, "estimate_ms": int(TASK_S * 1000), "checkpoints": True},
    {"count": LAST_TASKS, "cpu": 2000, "mem_mb": 512, "estimate_ms": int(TASK_S * 1000), "deps": [0]},
]
RUNNING_S, DONE_S, VIEW_S = 10.0, 25.0, 10.0  # how long each is waited for
LOG_TAIL = 600  # characters of a crashed program's log that are shown

Say = Callable[[str], None]


class DemoFailed(Exception):
    """The demonstration did not come to its end; the text says why."""


def run_demo(say: Say) -> None:
    """Play it, with an account line by line; raises DemoFailed. Ends whatever it has started."""
    with tempfile.TemporaryDirectory(prefix="millethead-demo-") as folder:
        system = LocalSystem(Path(folder))
        try:
            asyncio.run(_play(system, _Account(say)))
        except LocalSystemError as error:
            raise DemoFailed(f"{error}{_crashes(system)}") from None
        except asyncio.CancelledError:
            raise DemoFailed("ended by a signal") from None
        except TimeoutError:
            raise DemoFailed(f"not done after {MOST_S:g} s{_crashes(system)}") from None


def _crashes(system: LocalSystem) -> str:
    return "".join(
        f"\n{machine.name} ended with code {machine.process.returncode}:\n{machine.said[-LOG_TAIL:]}"
        for machine in system.crashed()
        if machine.process is not None
    )


class _Account:
    """Lines with the seconds since the start."""

    def __init__(self, say: Say) -> None:
        self._say, self._began = say, time.monotonic()

    def line(self, text: str) -> None:
        self._say(f"{time.monotonic() - self._began:5.1f} s  {text}")


def _cancel(play: asyncio.Task[None] | None) -> None:
    """SIGTERM: what was started is ended first."""
    if play is not None:
        play.cancel()


async def _play(system: LocalSystem, account: _Account) -> None:
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, _cancel, asyncio.current_task())
    try:
        async with asyncio.timeout(MOST_S):
            await _start(system, account)
            await _lose_head(system, account)
    finally:
        await system.stop()
    account.line("all processes ended")


async def _start(system: LocalSystem, account: _Account) -> None:
    account.line(
        f"starting {system.layout.controls} control processes (the core), {system.layout.dispatchers} "
        f"dispatchers and {system.layout.agents} agents, each with a stand-in worker"
    )
    await system.start()
    for role in Role:
        machines = [machine for machine in system.machines if machine.role is role]
        account.line(f"  {role.value}: " + ", ".join(_process(machine) for machine in machines))
    await system.put_configuration(version=1, if_match=0)
    account.line(f"configuration 1 is committed: one queue, worked by the service {SERVICE}")
    await system.ready()
    account.line("both dispatchers hold it and are ready")
    status = await system.core_reaches(lambda status: _is_settled(system, status), VIEW_S, "all join the chain")
    account.line(f"view {status.epoch}: chain {_names(system, status.chain)}, {len(status.workers)} workers")


def _is_settled(system: LocalSystem, status: StatusReport) -> bool:
    return len(status.chain) == len(system.controls) and len(status.workers) == len(system.agents)


def _process(machine: Machine) -> str:
    return f"{machine.ip} (process {machine.process.pid})" if machine.process is not None else machine.ip


async def _lose_head(system: LocalSystem, account: _Account) -> None:
    first, second = system.dispatchers[:2]
    await _hand_in(system, first, account)
    await system.tasks_run(FIRST_TASKS, RUNNING_S)
    account.line(f"{FIRST_TASKS} tasks run at the workers")
    before = await system.core_reaches(lambda status: bool(status.head), VIEW_S, "the head is known")
    head = system.by_internal(before.head)
    pid = head.process.pid if head.process is not None else 0
    system.kill(head)
    account.line(f"killed the head, {head.name} (process {pid}, SIGKILL)")
    after = await system.core_reaches(lambda status: status.epoch > before.epoch, VIEW_S, "the core agrees on a head")
    account.line(
        f"view {after.epoch}: {system.by_internal(after.head).name} is the head, chain "
        f"{_names(system, after.chain)}; {after.open_runs} runs went on meanwhile"
    )
    await system.job_reaches(second, JOB, "done", DONE_S)
    starts = sum(len(worker.model.starts) for worker in system.workers)
    account.line(f"job {JOB} is done, as {second.name} says: {starts} starts for {FIRST_TASKS + LAST_TASKS} tasks")


async def _hand_in(system: LocalSystem, dispatcher: Machine, account: _Account) -> None:
    reply = await system.job("POST", dispatcher, JOB, {"spec": str(TASK_S), "steps": STEPS})
    if reply.status != 200:
        raise LocalSystemError(f"{dispatcher.name} answered {reply.status} {reply.body.decode()} to the hand-in")
    account.line(
        f"job {JOB} is handed in at {dispatcher.name}: {FIRST_TASKS} tasks, then {LAST_TASKS} that depend "
        f"on them; {TASK_S:g} s each"
    )


def _names(system: LocalSystem, chain: tuple[str, ...]) -> str:
    return " > ".join(system.by_internal(address).name for address in chain)
