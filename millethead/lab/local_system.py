"""The whole system on loopback: real processes of the programs, each with a settings file and a machine's address of
its own, and stand-in workers that run in this process. For `millethead demo` and for tests.

Every machine has an address of 127.0.0.0/8 to itself and the same ports, as the programs expect it (Linux answers at
all of them). Only processes that were started here are ever ended, each by its own id.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import urllib3

from millethead.configuration.settings import SETTINGS_PATH_VARIABLE
from millethead.control.inspect import StatusReport
from millethead.execution.messages import Resources
from millethead.lab.local_machine import (
    APP_PORT,
    HEARTBEAT_MS,
    HOST,
    INTERNAL_PORT,
    LAST_INTERNAL_PORT,
    PREFIX,
    REGION,
    SERVICE,
    ZONES,
    LocalSystemError,
    Machine,
    Reply,
    Role,
    configuration,
    free_network,
)
from millethead.lab.worker import TaskWork, WorkerModel, WorkerProfile
from millethead.lab.worker_server import WorkerServer
from millethead.programs.core_client import CoreAddresses, CoreClient, CoreUnreachable

POLL_S = 0.03  # between two looks at a condition
CALL_TIMEOUT_S = 4.0
END_PATIENCE_S = 8.0  # for a process to end after SIGTERM


def timed_work(task: str, spec: str) -> TaskWork:
    """The work of a task of a stand-in worker: the spec is its length in seconds, optionally followed by how it ends
    ("0.5", "0.2 failed")."""
    seconds, _, how = spec.partition(" ")
    return TaskWork(float(seconds), Resources(1000, 256, 0), how or "done", checkpoints=True)


async def wait_for(condition: Callable[[], Awaitable[bool]], seconds: float, what: str) -> None:
    """Look at a condition until it holds; raises LocalSystemError once `seconds` have passed."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while not await condition():
        if loop.time() > until:
            raise LocalSystemError(f"waited {seconds:g} s in vain: {what}")
        await asyncio.sleep(POLL_S)


@dataclass(frozen=True, slots=True)
class Layout:
    """How many machines of each role."""

    controls: int = 3
    dispatchers: int = 2
    agents: int = 3


@dataclass(slots=True)
class LocalSystem:
    """The machines of one system, under `folder`. `start`, then any of the rest, then `stop`."""

    folder: Path
    layout: Layout = field(default_factory=Layout)
    machines: list[Machine] = field(default_factory=list)
    workers: list[WorkerServer] = field(default_factory=list)
    _http: urllib3.PoolManager = field(default_factory=lambda: urllib3.PoolManager(retries=False, maxsize=16))

    # ---- machines ----------------------------------------------------------------------------------------

    @property
    def controls(self) -> list[Machine]:
        return [machine for machine in self.machines if machine.role is Role.CONTROL]

    @property
    def dispatchers(self) -> list[Machine]:
        return [machine for machine in self.machines if machine.role is Role.DISPATCHER]

    @property
    def agents(self) -> list[Machine]:
        return [machine for machine in self.machines if machine.role is Role.AGENT]

    def by_internal(self, address: str) -> Machine:
        """The machine that takes internal calls at an address; raises LocalSystemError for any other address."""
        for machine in self.machines:
            if machine.internal == address:
                return machine
        raise LocalSystemError(f"no machine at {address}")

    async def start(self) -> None:
        """Start every machine's program, and the workers beside the agents."""
        network = free_network()
        counts = {
            Role.CONTROL: self.layout.controls,
            Role.DISPATCHER: self.layout.dispatchers,
            Role.AGENT: self.layout.agents,
        }
        number = 0
        for role, count in counts.items():
            for index in range(count):
                number += 1
                self.machines.append(self._machine(role, index, f"{network}.{number}"))
        for machine in self.machines:
            self._write_settings(machine, bootstrap=True)
            self.start_process(machine)
        for machine in self.agents:
            await self._start_worker(machine)

    def _machine(self, role: Role, index: int, ip: str) -> Machine:
        name = f"{role}-{index + 1}"
        folder = self.folder / name
        folder.mkdir(parents=True)
        return Machine(name, role, ip, ZONES[index % len(ZONES)], folder)

    def _write_settings(self, machine: Machine, bootstrap: bool) -> None:
        machine.settings_file.write_bytes(msgspec.json.encode(self._settings(machine, bootstrap)))

    def _settings(self, machine: Machine, bootstrap: bool) -> dict[str, object]:
        """The settings file of one process, as the platform writes it."""
        edge = machine.role is Role.DISPATCHER
        settings: dict[str, object] = {
            "node": machine.name,
            "role": machine.role.value,
            "class": "side" if machine.role is Role.AGENT else "edge",
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {"front": machine.front, "ready": machine.ready} if edge else {"control": machine.control},
            "port_range": [INTERNAL_PORT, LAST_INTERNAL_PORT],
            "seeds": [control.control for control in self.controls[:3]],
            "bootstrap": bootstrap,
            "heartbeat_ms": HEARTBEAT_MS,
            "tolerate": {"machines": 1},
        }
        if machine.role is Role.CONTROL:
            settings |= {"data_dir": str(machine.folder / "data"), "counts_for_quorum": True}
        if machine.role is Role.AGENT:
            settings |= {"app": f"{machine.ip}:{APP_PORT}", "service": SERVICE}
        return settings

    async def _start_worker(self, machine: Machine) -> None:
        profile = WorkerProfile(
            service=SERVICE,
            address=f"{machine.ip}:{APP_PORT}",
            zone=machine.zone,
            labels=("assembler", f"{machine.zone}-1"),
        )
        now = asyncio.get_running_loop().time()
        model = WorkerModel(profile, timed_work, f"i-{machine.name}-{random.getrandbits(32):08x}", now)
        worker = WorkerServer(model, machine.control, HEARTBEAT_MS / 1000)
        await worker.start(machine.ip, APP_PORT)
        self.workers.append(worker)

    # ---- processes ---------------------------------------------------------------------------------------

    def start_process(self, machine: Machine) -> None:
        """Start a machine's program; after its first start the settings say that it is another one."""
        if machine.log is None:
            machine.log = (machine.folder / "log").open("ab")
        else:
            self._write_settings(machine, bootstrap=False)
        environment = {**os.environ, SETTINGS_PATH_VARIABLE: str(machine.settings_file)}
        machine.process = subprocess.Popen(
            [sys.executable, "-m", "millethead", machine.role.value],
            stdin=subprocess.DEVNULL,
            stdout=machine.log,
            stderr=subprocess.STDOUT,
            env=environment,
            cwd=machine.folder,
        )

    def kill(self, machine: Machine) -> None:
        """End a machine's process at once (SIGKILL)."""
        if machine.process is not None and machine.running:
            machine.process.kill()
            machine.process.wait()

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a machine's process a signal."""
        if machine.process is not None:
            machine.process.send_signal(number)

    async def ended(self, machine: Machine, seconds: float = END_PATIENCE_S) -> int:
        """Wait for the end of a machine's process; its exit code. Raises LocalSystemError."""
        process = machine.process
        if process is None:
            raise LocalSystemError(f"{machine.name} was never started")

        async def over() -> bool:
            return process.poll() is not None

        await wait_for(over, seconds, f"{machine.name} ends")
        return int(process.returncode)

    def crashed(self) -> list[Machine]:
        """Machines whose program has ended by itself with a fault."""
        return [
            machine for machine in self.machines if machine.process is not None and (machine.process.poll() or 0) > 0
        ]

    async def stop(self) -> None:
        """End all that was started here: workers, then processes by SIGTERM, then what is left by SIGKILL."""
        for worker in self.workers:
            await worker.stop()
        running = [machine for machine in self.machines if machine.running]
        for machine in running:
            self.signal(machine, signal.SIGTERM)
        until = asyncio.get_running_loop().time() + END_PATIENCE_S
        for machine in running:
            with suppress(LocalSystemError):
                await self.ended(machine, until - asyncio.get_running_loop().time())
            self.kill(machine)
        for machine in self.machines:
            if machine.log is not None:
                machine.log.close()
        self._http.clear()

    # ---- calls -------------------------------------------------------------------------------------------

    async def call(
        self, method: str, address: str, path: str, body: object = None, headers: dict[str, str] | None = None
    ) -> Reply:
        """Make a call over HTTP; `body` is sent as JSON."""
        data = None if body is None else msgspec.json.encode(body)
        return await asyncio.to_thread(self._call, method, f"http://{address}{path}", data, headers or {})

    def _call(self, method: str, url: str, data: bytes | None, headers: dict[str, str]) -> Reply:
        sent = {"Content-Type": "application/json", **headers}
        try:
            response = self._http.request(method, url, body=data, headers=sent, timeout=CALL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return Reply(0)
        return Reply(response.status, response.data)

    async def job(self, method: str, dispatcher: Machine, name: str, body: object = None) -> Reply:
        """A client's call about a job, at one dispatcher."""
        return await self.call(method, dispatcher.front, f"{PREFIX}{name}", body, {"Host": HOST})

    async def put_configuration(self, version: int, if_match: int, target_ms: int = 1000) -> None:
        """Have a configuration with one queue and one service taken; raises LocalSystemError."""
        document = configuration(version, target_ms)

        async def taken() -> bool:
            for control in self.controls:
                reply = await self.call("PUT", control.control, "/-/config", document, {"If-Match": str(if_match)})
                if reply.status == 200:
                    return True
                if 400 <= reply.status < 500:
                    raise LocalSystemError(f"the configuration is refused: {reply.status} {reply.body.decode()}")
            return False

        await wait_for(taken, 15.0, "a control process takes the configuration")

    async def ready(self, seconds: float = 15.0) -> None:
        """Wait until every dispatcher that runs calls itself ready; raises LocalSystemError."""
        for machine in self.dispatchers:
            if machine.running:
                await wait_for(
                    lambda at=machine.ready: self._is_ready(at),  # type: ignore[misc]
                    seconds,
                    f"{machine.name} is ready",
                )

    async def status(self) -> StatusReport:
        """The core as its head sees it, asked of the control processes that run. Raises CoreUnreachable."""
        members = tuple(machine.internal for machine in self.controls if machine.running)
        return await asyncio.to_thread(CoreClient(CoreAddresses((), members)).status)

    async def core_reaches(self, condition: Callable[[StatusReport], bool], seconds: float, what: str) -> StatusReport:
        """Wait until what the head says fulfils a condition; raises LocalSystemError."""
        found: list[StatusReport] = []

        async def fulfilled() -> bool:
            try:
                found.append(await self.status())
            except CoreUnreachable:
                return False
            return condition(found[-1])

        await wait_for(fulfilled, seconds, what)
        return found[-1]

    async def tasks_run(self, count: int, seconds: float) -> None:
        """Wait until so many tasks run at the workers; raises LocalSystemError."""

        async def enough() -> bool:
            return sum(len(worker.model.running()) for worker in self.workers) >= count

        await wait_for(enough, seconds, f"{count} tasks run at the workers")

    async def _is_ready(self, address: str) -> bool:
        return (await self.call("GET", address, "/-/ready")).status == 200

    async def job_reaches(self, dispatcher: Machine, name: str, state: str, seconds: float) -> None:
        """Wait until a dispatcher shows a job in a state; raises LocalSystemError."""
        last = Reply(0)

        async def there() -> bool:
            nonlocal last
            last = await self.job("GET", dispatcher, name)
            return last.state == state

        try:
            await wait_for(there, seconds, f"job {name} is {state} at {dispatcher.name}")
        except LocalSystemError as error:
            raise LocalSystemError(f"{error}; the last answer: {last.status} {last.body.decode()}") from None
