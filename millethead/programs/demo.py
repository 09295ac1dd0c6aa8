"""Demonstration: runs the whole system on loopback and completes a job although the head is killed."""

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

DEMO_TIMEOUT_S = 50.0  # of the whole demonstration
JOB = "00000000000000d1"
TASK_S = 2.5  # duration of each task
FIRST_TASKS, LAST_TASKS = 6, 2  # tasks of the first step and of the step that depends on it
STEPS = [
    {"count": FIRST_TASKS, "cpu": 1000, "mem_mb": 256, "estimate_ms": int(TASK_S * 1000), "checkpoints": True},
    {"count": LAST_TASKS, "cpu": 2000, "mem_mb": 512, "estimate_ms": int(TASK_S * 1000), "deps": [0]},
]
RUNNING_TIMEOUT_S, DONE_TIMEOUT_S, VIEW_TIMEOUT_S = 10.0, 25.0, 10.0
LOG_TAIL = 600  # length of the printed end of a crashed program's log in characters

WriteLine = Callable[[str], None]


class DemoFailed(Exception):
    """The demonstration failed; the message has the reason."""


def run_demo(write_line: WriteLine) -> None:
    """Run the demonstration and report its progress line by line. Stops all processes it started. Raises DemoFailed."""
    with tempfile.TemporaryDirectory(prefix="millethead-demo-") as folder:
        system = LocalSystem(Path(folder))
        try:
            asyncio.run(_run_steps(system, _ProgressLog(write_line)))
        except LocalSystemError as error:
            raise DemoFailed(f"{error}{_crashes(system)}") from None
        except asyncio.CancelledError:
            raise DemoFailed("ended by a signal") from None
        except TimeoutError:
            raise DemoFailed(f"not done after {DEMO_TIMEOUT_S:g} s{_crashes(system)}") from None


def _crashes(system: LocalSystem) -> str:
    return "".join(
        f"\n{machine.name} ended with code {machine.process.returncode}:\n{machine.said[-LOG_TAIL:]}"
        for machine in system.crashed()
        if machine.process is not None
    )


class _ProgressLog:
    """Writes lines prefixed with the seconds since the start."""

    def __init__(self, write_line: WriteLine) -> None:
        self._write_line, self._started_at = write_line, time.monotonic()

    def line(self, text: str) -> None:
        self._write_line(f"{time.monotonic() - self._started_at:5.1f} s  {text}")


def _cancel(play: asyncio.Task[None] | None) -> None:
    """Cancel on SIGTERM, so that the started processes are stopped first."""
    if play is not None:
        play.cancel()


async def _run_steps(system: LocalSystem, progress: _ProgressLog) -> None:
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, _cancel, asyncio.current_task())
    try:
        async with asyncio.timeout(DEMO_TIMEOUT_S):
            await _start(system, progress)
            await _lose_head(system, progress)
    finally:
        await system.stop()
    progress.line("all processes ended")


async def _start(system: LocalSystem, progress: _ProgressLog) -> None:
    progress.line(
        f"starting {system.layout.controls} control processes (the core), {system.layout.dispatchers} "
        f"dispatchers and {system.layout.agents} agents, each with a stand-in worker"
    )
    await system.start()
    for role in Role:
        machines = [machine for machine in system.machines if machine.role is role]
        progress.line(f"  {role.value}: " + ", ".join(_process(machine) for machine in machines))
    await system.put_configuration(version=1, if_match=0)
    progress.line(f"configuration 1 is committed: one queue, worked by the service {SERVICE}")
    await system.ready()
    progress.line("both dispatchers hold it and are ready")
    status = await system.core_reaches(lambda status: _is_settled(system, status), VIEW_TIMEOUT_S, "all join the chain")
    progress.line(f"view {status.epoch}: chain {_names(system, status.chain)}, {len(status.workers)} workers")


def _is_settled(system: LocalSystem, status: StatusReport) -> bool:
    return len(status.chain) == len(system.controls) and len(status.workers) == len(system.agents)


def _process(machine: Machine) -> str:
    return f"{machine.ip} (process {machine.process.pid})" if machine.process is not None else machine.ip


async def _lose_head(system: LocalSystem, progress: _ProgressLog) -> None:
    first, second = system.dispatchers[:2]
    await _submit_job(system, first, progress)
    await system.tasks_run(FIRST_TASKS, RUNNING_TIMEOUT_S)
    progress.line(f"{FIRST_TASKS} tasks run at the workers")
    before = await system.core_reaches(lambda status: bool(status.head), VIEW_TIMEOUT_S, "the head is known")
    head = system.by_internal(before.head)
    pid = head.process.pid if head.process is not None else 0
    system.kill(head)
    progress.line(f"killed the head, {head.name} (process {pid}, SIGKILL)")
    after = await system.core_reaches(
        lambda status: status.epoch > before.epoch, VIEW_TIMEOUT_S, "the core agrees on a head"
    )
    progress.line(
        f"view {after.epoch}: {system.by_internal(after.head).name} is the head, chain "
        f"{_names(system, after.chain)}; {after.open_runs} runs went on meanwhile"
    )
    await system.job_reaches(second, JOB, "done", DONE_TIMEOUT_S)
    starts = sum(len(worker.model.starts) for worker in system.workers)
    progress.line(f"job {JOB} is done, as {second.name} says: {starts} starts for {FIRST_TASKS + LAST_TASKS} tasks")


async def _submit_job(system: LocalSystem, dispatcher: Machine, progress: _ProgressLog) -> None:
    reply = await system.job("POST", dispatcher, JOB, {"spec": str(TASK_S), "steps": STEPS})
    if reply.status != 200:
        raise LocalSystemError(f"{dispatcher.name} answered {reply.status} {reply.body.decode()} to the hand-in")
    progress.line(
        f"job {JOB} is handed in at {dispatcher.name}: {FIRST_TASKS} tasks, then {LAST_TASKS} that depend "
        f"on them; {TASK_S:g} s each"
    )


def _names(system: LocalSystem, chain: tuple[str, ...]) -> str:
    return " > ".join(system.by_internal(address).name for address in chain)
