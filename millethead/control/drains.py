"""Workers that get nothing new: those that drain by themselves, and those whose node the staff have taken out.

A node that is taken out is part of the replicated state, so that every later head knows it. What runs there ends there,
but for tasks that last, which would never end.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

from millethead.control.agents import Agents
from millethead.control.calls import CallAnswer, DrainCall
from millethead.control.state import ControlState
from millethead.execution.messages import WorkerInfo
from millethead.jobs.commands import TaskRun
from millethead.jobs.drained import MAX_DRAINED_NODES
from millethead.jobs.state import JobTable

OK, NOT_FOUND, TOO_MANY = 200, 404, 429
LEAVES_SHARE = 0.9  # of the time that a draining worker has left, a run must end in to stay there


class Leaving(enum.Enum):
    """How long a worker that gets nothing new has left."""

    SOON = enum.auto()  # what it says itself
    LATER = enum.auto()  # as long as its runs take


class DrainReport(msgspec.Struct, frozen=True):
    """What a call about a node meant. `instance`: its worker's life, empty without one; `runs`: open there now."""

    node: str
    drained: bool
    instance: str
    runs: int


def runs_to_move(jobs: JobTable, info: WorkerInfo, leaving: Leaving) -> Iterator[TaskRun]:
    """Open runs at a worker that are to go on elsewhere, of which the caller may stop any at once."""
    if leaving is Leaving.SOON and info.remaining_ms < 0:
        return
    for run, task in list(jobs.open_runs()):
        if task.instance != info.instance:
            continue
        step = jobs.jobs[run.job].description.steps[run.step]
        left_ms = step.estimate_ms * (1 - task.percent / 100)
        if step.long_running or (leaving is Leaving.SOON and left_ms > LEAVES_SHARE * info.remaining_ms):
            yield run


def drain_answer(state: ControlState, agents: Agents, call: DrainCall) -> CallAnswer:
    """What the call is answered once its command is committed. A node whose agent is not there cannot be taken out: it
    may be a misspelt name; one that was taken out can always be put back."""
    session = agents.sessions.get(call.node)
    if session is None and call.node not in state.drained:
        return _refusal(call, NOT_FOUND, f"no agent of a node {call.node} is connected")
    if call.drained and call.node not in state.drained and len(state.drained) >= MAX_DRAINED_NODES:
        return _refusal(call, TOO_MANY, f"{MAX_DRAINED_NODES} nodes are taken out already")
    report = DrainReport(
        call.node, call.drained, session.instance if session is not None else "", _open_at(state.jobs, call.node)
    )
    return CallAnswer(call.number, OK, msgspec.json.encode(report), 0)


def _refusal(call: DrainCall, status: int, text: str) -> CallAnswer:
    return CallAnswer(call.number, status, msgspec.json.encode({"error": text}), 0)


def _open_at(jobs: JobTable, node: str) -> int:
    return sum(task.node == node for _, task in jobs.open_runs())
