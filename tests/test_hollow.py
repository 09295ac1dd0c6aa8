"""Hollow agents: what the scale run rests on. One process of the core would not tell them from real ones."""

from __future__ import annotations

import asyncio

import pytest

from millethead.execution.messages import (
    AgentHello,
    AgentWelcome,
    DesiredRuns,
    EndsNoted,
    LeaseRequest,
    Resources,
    RunEnd,
    RunKey,
    RunOrder,
    RunReport,
    WorkerUpdate,
)
from millethead.lab.hollow import HollowAgent, HollowWorker
from millethead.rpc.codec import Record
from millethead.rpc.connection import Connection

WORKER = HollowWorker("assembly", Resources(4000, 8192, 0), 0.01)
NEEDS = Resources(1000, 100, 0)


class StandInHead:
    """Takes one agent's session on loopback, and keeps what it says."""

    def __init__(self) -> None:
        self.said: list[Record] = []
        self.changed = asyncio.Event()
        self.link: Connection | None = None

    async def listen(self) -> str:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Connection(self._received, lambda _: None), "127.0.0.1", 0)
        self.server = server
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def _received(self, link: Connection, record: Record) -> None:
        self.said.append(record)
        if isinstance(record, AgentHello):
            self.link = link
            link.send(AgentWelcome(3))
        self.changed.set()

    async def hears(self, kind: type[Record], count: int = 1) -> list[Record]:
        """So many records of a kind, once they have come."""
        async with asyncio.timeout(10.0):
            while len(found := [record for record in self.said if isinstance(record, kind)]) < count:
                self.changed.clear()
                await self.changed.wait()
        return found


@pytest.fixture
async def head():
    stand_in = StandInHead()
    stand_in.address = await stand_in.listen()
    yield stand_in
    if stand_in.link is not None:
        stand_in.link.close()
    stand_in.server.close()


def order(index: int) -> RunOrder:
    return RunOrder(RunKey(f"00000000000000aa.0.0.{index}", 1), "work", "", NEEDS)


async def test_an_agent_says_who_it_is_and_reports_what_it_was_told_to_run(head):
    started: list[str] = []
    agent = HollowAgent("side-1", [head.address], WORKER, started.append)
    agent.start()
    (update,) = await head.hears(WorkerUpdate)
    assert update.info.service == "assembly" and update.info.capacity == WORKER.capacity
    await head.hears(LeaseRequest)
    head.link.send(DesiredRuns("hollow-side-1", False, (order(0), order(1)), ()))
    (report,) = await head.hears(RunReport)
    assert sorted(started) == [order(0).key.task, order(1).key.task]
    assert {(end.key, end.how) for end in report.ends} == {(order(n).key, RunEnd.DONE) for n in (0, 1)}
    head.link.send(DesiredRuns("hollow-side-1", True, (order(0), order(2)), ()))  # the first was not noted yet
    _, second = await head.hears(RunReport, 2)
    assert [end.key for end in second.ends] == [order(2).key]
    await agent.stop()


async def test_what_is_not_noted_is_reported_again_to_the_next_head(head):
    agent = HollowAgent("side-1", [head.address], WORKER, lambda task: None)
    agent.start()
    await head.hears(WorkerUpdate)
    head.link.send(DesiredRuns("hollow-side-1", False, (order(0),), ()))
    (first,) = await head.hears(RunReport)
    head.link.close()
    _, again = await head.hears(RunReport, 2)
    assert again == first and agent.welcomes == 2
    head.link.send(EndsNoted("hollow-side-1", first.sequence))
    head.link.send(DesiredRuns("hollow-side-1", False, (order(1),), ()))
    *_, last = await head.hears(RunReport, 3)
    assert [end.key for end in last.ends] == [order(1).key]
    head.link.close()
    await head.hears(AgentHello, 3)
    assert (await head.hears(RunReport, 4))[-1] == last  # and not the first, which was noted
    await agent.stop()
