"""Agents without a worker, many in one process, for runs at a size that real processes would not fit: they keep their
sessions and leases with the head as real ones do, and report each ordered run as done after a while.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from millethead.execution.head_finder import HeadFinder
from millethead.execution.messages import (
    AgentHello,
    DesiredRuns,
    EndEntry,
    EndsNoted,
    LeaseRequest,
    Resources,
    RunEnd,
    RunKey,
    RunReport,
    WorkerInfo,
    WorkerUpdate,
)
from millethead.rpc.codec import Record

LEASE_GAP_S = 1.0  # between two requests, as a real agent makes them
REPORT_GAP_S = 0.2  # ends are reported together, as a real agent's looks bring them


@dataclass(frozen=True, slots=True)
class HollowWorker:
    """What every hollow agent says of its worker. `work_s`: how long each task takes."""

    service: str
    capacity: Resources
    work_s: float


class HollowAgent:
    """One agent. `seeds`: internal addresses of members of the core; `started(task)` is called for each order."""

    def __init__(self, node: str, seeds: list[str], worker: HollowWorker, started: Callable[[str], None]) -> None:
        self.node, self._worker, self._started = node, worker, started
        self._loop = asyncio.get_running_loop()
        self._finder = HeadFinder(
            self._hello, lambda: seeds, self._welcomed, self._received, lambda: None, lambda: None
        )
        self._task: asyncio.Task[None] | None = None
        self._known: set[RunKey] = set()
        self._ends: list[EndEntry] = []
        self._reports: list[RunReport] = []
        self._sequence = self._number = 0
        self.welcomes = 0

    def start(self) -> None:
        """Begin to look for the head."""
        self._task = self._loop.create_task(self._finder.run())
        self._loop.call_later(LEASE_GAP_S, self._renew)

    async def stop(self) -> None:
        """Give the session up."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def _hello(self) -> AgentHello:
        return AgentHello(self.node, 1, 0, "hollow", "127.0.0.1:1", self._worker.service)

    def _welcomed(self, epoch: int) -> None:
        self.welcomes += 1
        self._finder.send(WorkerUpdate(self._info()))
        self._finder.send(self._lease_request())
        for report in self._reports:
            self._finder.send(report)

    def _info(self) -> WorkerInfo:
        worker = self._worker
        return WorkerInfo(
            f"hollow-{self.node}",
            worker.service,
            "127.0.0.1:1",
            "hollow",
            "v1",
            8,
            False,
            0,
            worker.capacity,
            ("hollow", "hollow-1"),
            -1,
            1,
        )

    def _lease_request(self) -> LeaseRequest:
        return LeaseRequest(int(self._loop.time() * 1000))

    def _renew(self) -> None:
        if self._task is not None:
            self._finder.send(self._lease_request())
            self._loop.call_later(LEASE_GAP_S, self._renew)

    def _received(self, record: Record) -> None:
        match record:
            case DesiredRuns(orders=orders):
                for order in orders:
                    if order.key not in self._known:
                        self._known.add(order.key)
                        self._started(order.key.task)
                        self._loop.call_later(self._worker.work_s, self._ended, order.key)
            case EndsNoted(sequence=sequence):
                noted = [report for report in self._reports if report.sequence <= sequence]
                self._known.difference_update(end.key for report in noted for end in report.ends)
                self._reports = [report for report in self._reports if report.sequence > sequence]

    def _ended(self, key: RunKey) -> None:
        self._number += 1
        self._ends.append(EndEntry(self._number, key, RunEnd.DONE, ""))
        if len(self._ends) == 1:
            self._loop.call_later(REPORT_GAP_S, self._report)

    def _report(self) -> None:
        ends, self._ends = self._ends, []
        self._sequence += 1
        report = RunReport(f"hollow-{self.node}", self._sequence, (), tuple(ends), ())
        self._reports.append(report)
        self._finder.send(report)
