"""Nodes that the staff take out: nothing new goes there, every later head knows it, and they can be put back."""

from __future__ import annotations

import json

import msgspec
import pytest
from test_command_line import Core, core, run  # noqa: F401
from test_head import NAME, OTHER, Bench, document, ended, job, task, worker

from millethead.control.calls import CallAnswer, DrainCall
from millethead.control.drains import DrainReport
from millethead.control.state import ControlState, FirstStateSnapshot
from millethead.execution.messages import RunEnd, WorkerUpdate
from millethead.jobs import drained
from millethead.jobs.commands import DrainNode
from millethead.jobs.drained import DrainedNodes
from millethead.jobs.snapshot import encode_table
from millethead.programs.command_line import ExitCode
from millethead.programs.core_client import CoreClient
from millethead.rpc.codec import encode


def drain(bench: Bench, node: str, out: bool = True, number: int = 500) -> CallAnswer | None:
    """The answer, if there is one by now."""
    bench.head.call(bench.caller, DrainCall(number, node, out))
    return bench.answers().get(number)


def drained_answer(bench: Bench, node: str, out: bool = True) -> CallAnswer:
    drain(bench, node, out)
    bench.settle()
    answer = bench.answers()[500]
    assert isinstance(answer, CallAnswer)
    return answer


def report(answer: CallAnswer) -> DrainReport:
    assert answer.status == 200
    return msgspec.json.decode(answer.body, type=DrainReport)


def test_nothing_new_goes_to_a_node_that_is_taken_out_and_its_runs_end_there():
    bench = Bench()
    agent = bench.agent(info=worker())
    assert bench.ask("POST", NAME, job({"count": 2})) == (200, {})
    bench.settle()
    assert len(agent.orders()) == 2
    assert report(drained_answer(bench, "n-1")) == DrainReport("n-1", True, "i-1", 2)
    assert bench.ask("POST", OTHER, job()) == (200, {})
    bench.pass_time(3.0)
    assert agent.orders() == [] and agent.stops() == []
    agent.report(ended(task(0), 1, RunEnd.DONE), ended(task(1), 1, RunEnd.DONE, 2))
    bench.settle()
    assert bench.ask("GET", NAME)[1] == {"state": "done"}
    assert bench.ask("GET", OTHER)[1] == {"state": "queued"}


def test_a_node_that_is_put_back_gets_tasks_again():
    bench = Bench()
    agent = bench.agent(info=worker())
    drained_answer(bench, "n-1")
    assert bench.ask("POST", NAME, job()) == (200, {})
    bench.pass_time(2.0)
    assert agent.orders() == []
    assert report(drained_answer(bench, "n-1", False)) == DrainReport("n-1", False, "i-1", 0)
    bench.settle()
    assert agent.orders() == [f"{task(0)}#1"]


def test_tasks_that_last_go_elsewhere():
    bench = Bench()
    agent = bench.agent(info=worker())
    bench.ask("POST", NAME, job({"count": 1, "long_running": True}))
    bench.settle()
    agent.orders()
    drained_answer(bench, "n-1")
    assert agent.stops() == [f"{task(0)}#1"]
    other = bench.agent("n-2", worker("i-2"))
    agent.report(ended(task(0), 1, RunEnd.STOPPED))
    bench.pass_time(1.0)
    assert other.orders() == [f"{task(0)}#2"] and agent.orders() == []


def test_the_answer_waits_for_the_commit():
    bench = Bench()
    bench.agent(info=worker())
    assert drain(bench, "n-1") is None
    bench.settle()
    assert report(bench.answers()[500]).drained


def test_the_next_life_and_the_next_head_know_it():
    bench = Bench()
    agent = bench.agent(info=worker())
    drained_answer(bench, "n-1")
    agent.tell(WorkerUpdate(worker("i-9")))
    bench.ask("POST", NAME, job())
    bench.pass_time(2.0)
    assert agent.orders() == []
    copy = ControlState()
    copy.restore(bench.state.snapshot())
    later = Bench(copy, epoch=2)
    again = later.agent(info=worker("i-9"))
    later.pass_time(2.0)
    assert again.orders() == []
    later.head.call(later.caller, DrainCall(501, "n-1", False))
    later.settle()
    assert again.orders() == [f"{task(0)}#1"]


def test_only_nodes_that_are_there_are_taken_out_and_those_that_are_out_are_put_back():
    bench = Bench()
    refused = drained_answer(bench, "n-7")
    assert refused.status == 404 and b"n-7" in refused.body
    assert len(bench.state.drained) == 0 and bench.proposed(DrainNode) == []
    agent = bench.agent("n-7", worker())
    drained_answer(bench, "n-7")
    bench.head.agent_gone(agent.session)
    assert report(drained_answer(bench, "n-7", False)) == DrainReport("n-7", False, "", 0)
    assert len(bench.state.drained) == 0


def test_the_same_call_again_proposes_nothing():
    bench = Bench()
    bench.agent(info=worker())
    assert report(drained_answer(bench, "n-1")) == report(drained_answer(bench, "n-1"))
    assert bench.proposed(DrainNode) == [DrainNode("n-1", True)]


def test_there_is_a_bound_on_nodes_that_are_out(monkeypatch):
    monkeypatch.setattr(drained, "MAX_DRAINED_NODES", 1)
    monkeypatch.setattr("millethead.control.drains.MAX_DRAINED_NODES", 1)
    bench = Bench()
    for node in ("n-1", "n-2"):
        bench.agent(node, worker(f"i-{node}"))
    assert drained_answer(bench, "n-1").status == 200
    assert drained_answer(bench, "n-2").status == 429
    nodes = DrainedNodes(("n-1",))
    nodes.apply(DrainNode("n-2", True))
    assert nodes.names() == ("n-1",)


def test_a_snapshot_of_the_first_form_is_read():
    bench = Bench()
    bench.ask("POST", NAME, job())
    first = FirstStateSnapshot(bench.state.configuration.encode(), encode_table(bench.state.jobs))
    copy = ControlState()
    copy.restore(encode(first))
    assert copy.snapshot() == bench.state.snapshot()
    assert copy.configuration.document == document()


# ---- the command line ------------------------------------------------------------------------------------


@pytest.fixture
def reached(core: Core, monkeypatch) -> Core:  # noqa: F811
    """Calls of the command line reach the head in this process."""

    def call(client, make, clear=(200,)):
        core.head.call(core.caller, make(900))
        core.clock.run()
        core.head.gate.committed(core.chain.committed)
        answer = next(record for record in reversed(core.link.sent) if isinstance(record, CallAnswer))
        assert answer.status in clear
        return answer

    monkeypatch.setattr(CoreClient, "_call", call)
    return core


def test_drain_from_the_command_line(reached):
    reached.add_worker()
    ended_well = run("drain", "side-1", "--control", "127.0.0.1:1", "--internal-port", 7660)
    said = ended_well.stdout.splitlines()[-1]  # behind the log line of the head in this process
    assert (ended_well.exit_code, said) == (0, "side-1: taken out, worker i-side-1, 0 open runs")
    shown = run("status", "--control", "127.0.0.1:1", "--internal-port", 7660).stdout
    assert "taken out" in shown
    back = run("drain", "side-1", "--undo", "--json", "--control", "127.0.0.1:1", "--internal-port", 7660)
    told = json.loads(back.stdout.splitlines()[-1])
    assert told == {"node": "side-1", "drained": False, "instance": "i-side-1", "runs": 0}


def test_an_unknown_node_is_named(reached):
    refused = run("drain", "side-9", "--control", "127.0.0.1:1", "--internal-port", 7660)
    assert refused.exit_code == ExitCode.NEGATIVE
    assert "side-9" in refused.stderr
