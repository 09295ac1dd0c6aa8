"""Draining: workers that get no new tasks, because they shut down or because an operator has drained their node.

Drained nodes are part of the replicated state, so they stay drained under every later head. Open runs finish on a
drained node, except for runs of long-running tasks, which would never end.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

from millethead.control.agents import AgentRegistry
from millethead.control.calls import CallAnswer, DrainCall
from millethead.control.state import ControlState
from millethead.execution.messages import WorkerInfo
from millethead.jobs.commands import TaskRun
from millethead.jobs.drained import MAX_DRAINED_NODES
from millethead.jobs.state import JobTable

OK, NOT_FOUND, CONFLICT, TOO_MANY = 200, 404, 412, 429
REMAINING_TIME_SHARE = 0.9  # a run stays on a worker if it ends within this fraction of the worker's remaining time


class DrainReason(enum.Enum):
    """Why a worker gets no new tasks, which determines how much time its runs have left."""

    SHUTDOWN = enum.auto()  # the worker reports its remaining time itself
    OPERATOR = enum.auto()  # unlimited: runs may finish


class DrainReport(msgspec.Struct, frozen=True):
    """Result of a drain call, encoded as JSON.

    `instance` is the worker instance on the node, or empty if there is none. `runs` counts the runs open on the node.
    """

    node: str
    drained: bool
    instance: str
    runs: int


def runs_to_evacuate(jobs: JobTable, info: WorkerInfo, reason: DrainReason) -> Iterator[TaskRun]:
    """Yield the open runs of a worker that must continue on another worker.

    The consumer may stop each run as soon as it is yielded.
    """
    if reason is DrainReason.SHUTDOWN and info.remaining_ms < 0:
        return
    for run, task in list(jobs.open_runs()):
        if task.instance != info.instance:
            continue
        step = jobs.jobs[run.job].description.steps[run.step]
        left_ms = step.estimate_ms * (1 - task.percent / 100)
        if step.long_running or (reason is DrainReason.SHUTDOWN and left_ms > REMAINING_TIME_SHARE * info.remaining_ms):
            yield run


def drain_answer(state: ControlState, agents: AgentRegistry, call: DrainCall) -> CallAnswer:
    """Return the answer to a drain call, to be sent once its command is committed.

    A node without a connected agent cannot be drained, because its name may be misspelt. A drained node can always be
    put back into use. A call that does not build on the newest order is only acknowledged if what it asks for holds
    already: it may be the repetition of one that was accepted.
    """
    if not builds_on_newest_order(state, call) and (call.node in state.drained) != call.drained:
        return _refusal(call, CONFLICT, "another order came in between, see `millethead status`")
    session = agents.sessions.get(call.node)
    if session is None and call.node not in state.drained:
        return _refusal(call, NOT_FOUND, f"no agent of a node {call.node} is connected")
    if call.drained and call.node not in state.drained and len(state.drained) >= MAX_DRAINED_NODES:
        return _refusal(call, TOO_MANY, f"{MAX_DRAINED_NODES} nodes are taken out already")
    report = DrainReport(
        call.node,
        call.drained,
        session.instance if session is not None else "",
        _count_open_runs(state.jobs, call.node),
    )
    return CallAnswer(call.number, OK, msgspec.json.encode(report), 0)


def builds_on_newest_order(state: ControlState, call: DrainCall) -> bool:
    """Return whether the caller knew of the newest order when it made the call."""
    return call.place == state.drained.place


def _refusal(call: DrainCall, status: int, text: str) -> CallAnswer:
    return CallAnswer(call.number, status, msgspec.json.encode({"error": text}), 0)


def _count_open_runs(jobs: JobTable, node: str) -> int:
    return sum(task.node == node for _, task in jobs.open_runs())
