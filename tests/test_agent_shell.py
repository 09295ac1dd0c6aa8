"""Tests of the agent's shell on loopback: heartbeats, a session with a head found through another member, a worker."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest
import urllib3

from millethead.configuration.settings import Bounds, Listen, ProcessSettings
from millethead.execution.messages import (
    AgentHello,
    AgentTurnedAway,
    AgentWelcome,
    DesiredRuns,
    EndEntry,
    EndsNoted,
    LeaseGrant,
    LeaseRequest,
    Resources,
    RunEnd,
    RunKey,
    RunOrder,
    RunReport,
    WorkerUpdate,
)
from millethead.execution.shell import AgentShell, UnfitSettings
from millethead.lab.worker import TaskWork, WorkerModel, WorkerProfile
from millethead.lab.worker_server import WorkerServer
from millethead.rpc.codec import Record
from millethead.rpc.connection import Connection

HOST, HEAD_HOST, OTHER_HOST = "127.0.0.1", "127.0.0.2", "127.0.0.3"
TEST_TIMEOUT_S = 20.0
NEEDS = Resources(1000, 512, 0)
LEASE_MS = 5000


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class FakeMember:
    """A member of the core: the head, or a member that redirects agents to the head."""

    def __init__(self, head: str | None = None, epoch: int = 3) -> None:
        self.head, self.epoch = head, epoch
        self.hellos: list[AgentHello] = []
        self.ends: list[EndEntry] = []
        self.worker: asyncio.Queue[WorkerUpdate] = asyncio.Queue()
        self.changed = asyncio.Event()
        self.sessions: list[Connection] = []
        self.desired: tuple[RunOrder, ...] = ()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self._receive, lambda _: None), host, port)

    def close(self) -> None:
        for session in self.sessions:
            session.close()
        if self._server is not None:
            self._server.close()

    def _receive(self, connection: Connection, record: Record) -> None:
        if isinstance(record, AgentHello):
            self._answer_hello(connection, record)
        elif isinstance(record, LeaseRequest):
            connection.send(LeaseGrant(record.sent_ms, LEASE_MS))
        elif isinstance(record, WorkerUpdate):
            self.worker.put_nowait(record)
            if record.info is not None:
                connection.send(DesiredRuns(record.info.instance, True, self.desired, ()))
        elif isinstance(record, RunReport) and record.ends:
            self.ends += record.ends
            self.desired = tuple(order for order in self.desired if order.key not in {end.key for end in self.ends})
            connection.send(EndsNoted(record.instance, record.sequence))
        self.changed.set()

    def _answer_hello(self, connection: Connection, hello: AgentHello) -> None:
        self.hellos.append(hello)
        if self.head is not None:
            connection.send(AgentTurnedAway(self.epoch, self.head, ()))
            return
        self.sessions.append(connection)
        connection.send(AgentWelcome(self.epoch))

    async def wait_for_ends(self, count: int) -> None:
        while len(self.ends) < count:
            self.changed.clear()
            await self.changed.wait()


class System:
    """The agent's shell with its worker, a head, and the member that is its seed."""

    def __init__(self, settings: ProcessSettings) -> None:
        port = settings.port_range[0]
        self.settings = settings
        self.head = FakeMember()
        self.other = FakeMember(head=f"{HEAD_HOST}:{port}")
        self.shell = AgentShell(settings)
        self.model = WorkerModel(
            WorkerProfile(address=str(settings.app)),
            lambda task, spec: TaskWork(0.02, NEEDS),
            "i-1",
            asyncio.get_running_loop().time(),
        )
        self.server = WorkerServer(self.model, str(settings.listen.control), heartbeat_s=0.1)

    async def start(self) -> asyncio.Task[None]:
        port = self.settings.port_range[0]
        await self.head.listen(HEAD_HOST, port)
        await self.other.listen(OTHER_HOST, port)
        host, app_port = str(self.settings.app).split(":")
        await self.server.start(host, int(app_port))
        return asyncio.create_task(self.shell.run())

    async def end(self, running: asyncio.Task[None]) -> None:
        self.shell.stop()
        await running
        await self.server.stop()
        self.head.close()
        self.other.close()


def agent_settings() -> ProcessSettings:
    port = free_port()
    return ProcessSettings(
        node="agent-1",
        role="agent",
        ip=HOST,
        zone="z",
        port_range=(port, port),
        seeds=(f"{OTHER_HOST}:1",),
        listen=Listen(control=f"{HOST}:{free_port()}"),
        app=f"{HOST}:{free_port()}",
        service="s",
        heartbeat_ms=100.0,
        bounds=Bounds(hold_max_ms=6000.0),
    )


@pytest.fixture
async def system() -> AsyncIterator[System]:
    system = System(agent_settings())
    async with asyncio.timeout(TEST_TIMEOUT_S):
        running = await system.start()
    yield system
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await system.end(running)


def orders(*names: str) -> tuple[RunOrder, ...]:
    return tuple(RunOrder(RunKey(name, 1), "spec", "", NEEDS) for name in names)


async def test_runs_are_started_and_their_ends_reported(system: System) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        update = await system.head.worker.get()
        assert update.info is not None and update.info.instance == "i-1"
        system.head.sessions[-1].send(DesiredRuns("i-1", False, orders("a.0.0.0", "a.0.0.1", "a.0.0.2"), ()))
        await system.head.wait_for_ends(3)
    assert [(end.key.task, end.how) for end in sorted(system.head.ends, key=lambda end: end.key.task)] == [
        ("a.0.0.0", RunEnd.DONE),
        ("a.0.0.1", RunEnd.DONE),
        ("a.0.0.2", RunEnd.DONE),
    ]
    assert system.other.hellos  # the head was found through this member
    assert system.head.hellos[0].address == system.settings.app


async def test_lost_session_is_reopened(system: System) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await system.head.worker.get()
        system.head.desired = orders("a.0.0.0")
        system.head.sessions[-1].close()
        await system.head.wait_for_ends(1)
    assert len(system.head.sessions) == 2


async def test_malformed_heartbeats_are_rejected(system: System) -> None:
    def ask(method: str, path: str, body: bytes | None) -> int:
        with urllib3.PoolManager(retries=False) as http:
            return int(http.request(method, f"http://{system.settings.listen.control}{path}", body=body).status)

    assert await asyncio.to_thread(ask, "PUT", "/-/instances/i-9", b"{}") == 400
    assert await asyncio.to_thread(ask, "GET", "/-/config", None) == 404
    good = b'{"service":"s","addr":"127.0.0.1:9","seq":1}'
    assert await asyncio.to_thread(ask, "PUT", "/-/instances/i-9", good) == 200
    assert await asyncio.to_thread(ask, "DELETE", "/-/instances/i-9", None) == 200


async def test_settings_without_a_worker_are_rejected() -> None:
    settings = ProcessSettings(node="n", role="r", ip=HOST, port_range=(1, 2))
    with pytest.raises(UnfitSettings):
        AgentShell(settings)


async def test_agent_stops_without_any_reachable_member() -> None:
    settings = agent_settings()
    shell = AgentShell(settings)
    running = asyncio.create_task(shell.run())
    async with asyncio.timeout(TEST_TIMEOUT_S):
        writer = None
        while writer is None:
            with contextlib.suppress(ConnectionRefusedError):
                _, writer = await asyncio.open_connection(*str(settings.listen.control).split(":"))
        writer.close()
        shell.stop()
        await running
