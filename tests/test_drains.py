"""Tests of drained nodes: they get no new tasks, stay drained under every later head, and can be put back into use."""

from __future__ import annotations

import json

import msgspec
import pytest
from test_command_line import Core, core, run  # noqa: F401
from test_head import NAME, OTHER, HeadHarness, document, ended, job, task, worker

from millethead.control.calls import CallAnswer, DrainCall
from millethead.control.drains import DrainReport
from millethead.control.state import ControlState, StateSnapshotV1, StateSnapshotV2
from millethead.execution.messages import RunEnd, WorkerUpdate
from millethead.jobs import drained
from millethead.jobs.commands import DrainNode
from millethead.jobs.drained import DrainedNodes
from millethead.jobs.snapshot import encode_table
from millethead.programs.command_line import ExitCode
from millethead.programs.core_client import CoreClient
from millethead.replication.log_position import NO_POSITION, LogPosition
from millethead.rpc.codec import encode


def drain(
    harness: HeadHarness, node: str, out: bool = True, number: int = 500, place: LogPosition | None = None
) -> CallAnswer | None:
    """Send a drain call that builds on the order at `place`, or on the newest one; return an immediate answer."""
    harness.head.call(harness.caller, DrainCall(number, node, out, place or harness.state.drained.place))
    return harness.answers().get(number)


def drain_and_settle(harness: HeadHarness, node: str, out: bool = True, place: LogPosition | None = None) -> CallAnswer:
    """Send a drain call and return its answer after the commit."""
    drain(harness, node, out, place=place)
    harness.settle()
    answer = harness.answers()[500]
    assert isinstance(answer, CallAnswer)
    return answer


def report(answer: CallAnswer) -> DrainReport:
    assert answer.status == 200
    return msgspec.json.decode(answer.body, type=DrainReport)


def test_drained_node_gets_no_new_runs_and_finishes_its_open_ones():
    harness = HeadHarness()
    agent = harness.agent(info=worker())
    assert harness.ask("POST", NAME, job({"count": 2})) == (200, {})
    harness.settle()
    assert len(agent.orders()) == 2
    assert report(drain_and_settle(harness, "n-1")) == DrainReport("n-1", True, "i-1", 2)
    assert harness.ask("POST", OTHER, job()) == (200, {})
    harness.pass_time(3.0)
    assert agent.orders() == [] and agent.stops() == []
    agent.report(ended(task(0), 1, RunEnd.DONE), ended(task(1), 1, RunEnd.DONE, 2))
    harness.settle()
    assert harness.ask("GET", NAME)[1] == {"state": "done"}
    assert harness.ask("GET", OTHER)[1] == {"state": "queued"}


def test_node_gets_tasks_again_after_the_drain_is_undone():
    harness = HeadHarness()
    agent = harness.agent(info=worker())
    drain_and_settle(harness, "n-1")
    assert harness.ask("POST", NAME, job()) == (200, {})
    harness.pass_time(2.0)
    assert agent.orders() == []
    assert report(drain_and_settle(harness, "n-1", False)) == DrainReport("n-1", False, "i-1", 0)
    harness.settle()
    assert agent.orders() == [f"{task(0)}#1"]


def test_long_running_tasks_move_to_another_node():
    harness = HeadHarness()
    agent = harness.agent(info=worker())
    harness.ask("POST", NAME, job({"count": 1, "long_running": True}))
    harness.settle()
    agent.orders()
    drain_and_settle(harness, "n-1")
    assert agent.stops() == [f"{task(0)}#1"]
    other = harness.agent("n-2", worker("i-2"))
    agent.report(ended(task(0), 1, RunEnd.STOPPED))
    harness.pass_time(1.0)
    assert other.orders() == [f"{task(0)}#2"] and agent.orders() == []


def test_drain_is_answered_after_its_commit():
    harness = HeadHarness()
    harness.agent(info=worker())
    assert drain(harness, "n-1") is None
    harness.settle()
    assert report(harness.answers()[500]).drained


def test_drain_outlives_the_worker_instance_and_the_head():
    harness = HeadHarness()
    agent = harness.agent(info=worker())
    drain_and_settle(harness, "n-1")
    agent.send(WorkerUpdate(worker("i-9")))
    harness.ask("POST", NAME, job())
    harness.pass_time(2.0)
    assert agent.orders() == []
    copy = ControlState()
    copy.restore(harness.state.snapshot())
    later = HeadHarness(copy, epoch=2)
    agent_after_change = later.agent(info=worker("i-9"))
    later.pass_time(2.0)
    assert agent_after_change.orders() == []
    later.head.call(later.caller, DrainCall(501, "n-1", False, copy.drained.place))
    later.settle()
    assert agent_after_change.orders() == [f"{task(0)}#1"]


def test_only_connected_nodes_are_drained_but_any_drain_can_be_undone():
    harness = HeadHarness()
    refused = drain_and_settle(harness, "n-7")
    assert refused.status == 404 and b"n-7" in refused.body
    assert len(harness.state.drained) == 0 and harness.proposed(DrainNode) == []
    agent = harness.agent("n-7", worker())
    drain_and_settle(harness, "n-7")
    harness.head.agent_disconnected(agent.session)
    assert report(drain_and_settle(harness, "n-7", False)) == DrainReport("n-7", False, "", 0)
    assert len(harness.state.drained) == 0


def test_repeated_drain_proposes_nothing():
    harness = HeadHarness()
    harness.agent(info=worker())
    first = report(drain_and_settle(harness, "n-1", place=NO_POSITION))
    assert report(drain_and_settle(harness, "n-1", place=NO_POSITION)) == first
    assert harness.proposed(DrainNode) == [DrainNode("n-1", True)]


def test_number_of_drained_nodes_is_limited(monkeypatch):
    monkeypatch.setattr(drained, "MAX_DRAINED_NODES", 1)
    monkeypatch.setattr("millethead.control.drains.MAX_DRAINED_NODES", 1)
    harness = HeadHarness()
    for node in ("n-1", "n-2"):
        harness.agent(node, worker(f"i-{node}"))
    assert drain_and_settle(harness, "n-1").status == 200
    assert drain_and_settle(harness, "n-2").status == 429
    nodes = DrainedNodes(("n-1",))
    nodes.apply(DrainNode("n-2", True), LogPosition(1, 9))
    assert nodes.names() == ("n-1",)


def later_head(harness: HeadHarness) -> HeadHarness:
    """The next head, which has the state from a snapshot."""
    copy = ControlState()
    copy.restore(harness.state.snapshot())
    return HeadHarness(copy, epoch=2)


@pytest.mark.parametrize("out", [True, False], ids=["drain", "undo"])
def test_late_copy_of_a_call_does_not_undo_what_a_later_call_was_answered(out):
    """Guards against tasks on a node whose drain was acknowledged: a late copy of its undoing was applied."""
    harness = HeadHarness()
    harness.agent(info=worker())
    if not out:
        drain_and_settle(harness, "n-1")
    known = harness.state.drained.place
    report(drain_and_settle(harness, "n-1", not out))
    assert drain_and_settle(harness, "n-1", out, known).status == 412
    assert ("n-1" in harness.state.drained) is not out


@pytest.mark.parametrize("out", [True, False], ids=["drain", "undo"])
def test_late_copy_is_refused_by_the_next_head_too(out):
    """Guards against a newcomer that knows the drained nodes, but not that the copy is older."""
    harness = HeadHarness()
    harness.agent(info=worker())
    if not out:
        drain_and_settle(harness, "n-1")
    known = harness.state.drained.place
    drain_and_settle(harness, "n-1", not out)
    later = later_head(harness)
    later.agent(info=worker())
    assert drain_and_settle(later, "n-1", out, known).status == 412
    assert later.state.snapshot() == harness.state.snapshot()


def test_call_that_was_accepted_before_a_change_of_the_head_is_acknowledged_again():
    harness = HeadHarness()
    harness.agent(info=worker())
    drain_and_settle(harness, "n-1", place=NO_POSITION)
    later = later_head(harness)
    later.agent(info=worker())
    assert report(drain_and_settle(later, "n-1", place=NO_POSITION)).drained
    assert later.proposed(DrainNode) == []


def test_call_that_builds_on_the_newest_order_is_taken():
    harness = HeadHarness()
    harness.agent(info=worker())
    for out in (True, False, False, True):
        assert report(drain_and_settle(harness, "n-1", out)).drained is out
    assert len(harness.proposed(DrainNode)) == 4


def test_snapshot_of_the_second_format_is_restored():
    harness = HeadHarness()
    harness.ask("POST", NAME, job())
    second = StateSnapshotV2(harness.state.configuration.encode(), encode_table(harness.state.jobs), ("n-1",))
    copy = ControlState()
    copy.restore(encode(second))
    assert (copy.drained.names(), copy.drained.place) == (("n-1",), NO_POSITION)
    assert copy.snapshot() == encode(second)


def test_snapshot_of_the_first_format_is_restored():
    harness = HeadHarness()
    harness.ask("POST", NAME, job())
    first = StateSnapshotV1(harness.state.configuration.encode(), encode_table(harness.state.jobs))
    copy = ControlState()
    copy.restore(encode(first))
    assert copy.snapshot() == harness.state.snapshot()
    assert copy.configuration.document == document()


# ---- the command line ------------------------------------------------------------------------------------


@pytest.fixture
def in_process_head(core: Core, monkeypatch) -> Core:  # noqa: F811
    """Route calls of the command line to the head in this process."""

    def call(client, make, clear=(200,)):
        core.head.call(core.caller, make(900))
        core.clock.run()
        core.head.gate.committed(core.chain.committed)
        answer = next(record for record in reversed(core.link.sent) if isinstance(record, CallAnswer))
        assert answer.status in clear
        return answer

    monkeypatch.setattr(CoreClient, "_call", call)
    return core


def test_drain_from_the_command_line(in_process_head):
    in_process_head.add_worker()
    finished = run("drain", "side-1", "--control", "127.0.0.1:1", "--internal-port", 7660)
    output = finished.stdout.splitlines()[-1]  # after the log line of the head in this process
    assert (finished.exit_code, output) == (0, "side-1: taken out, worker i-side-1, 0 open runs")
    shown = run("status", "--control", "127.0.0.1:1", "--internal-port", 7660).stdout
    assert "taken out" in shown
    back = run("drain", "side-1", "--undo", "--json", "--control", "127.0.0.1:1", "--internal-port", 7660)
    decoded = json.loads(back.stdout.splitlines()[-1])
    assert decoded == {"node": "side-1", "drained": False, "instance": "i-side-1", "runs": 0}


def test_drain_of_an_unknown_node_fails(in_process_head):
    refused = run("drain", "side-9", "--control", "127.0.0.1:1", "--internal-port", 7660)
    assert refused.exit_code == ExitCode.NEGATIVE
    assert "side-9" in refused.stderr


def test_drain_after_another_order_fails(in_process_head, monkeypatch):
    """Another operator's order is committed between the command's look at the core and its call."""
    in_process_head.add_worker()
    call = CoreClient._call

    def interrupted(client, make, clear=(200,)):
        if isinstance(make(900), DrainCall):
            in_process_head.head.state.drained.place = LogPosition(1, 1000)
        return call(client, make, clear)

    monkeypatch.setattr(CoreClient, "_call", interrupted)
    refused = run("drain", "side-1", "--control", "127.0.0.1:1", "--internal-port", 7660)
    assert refused.exit_code == ExitCode.NEGATIVE
    assert "another order" in refused.stderr
