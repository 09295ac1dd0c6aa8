"""A head that is also the head of the next view keeps its sessions and commit point. After any other view it is deposed
and starts again."""

from __future__ import annotations

from dataclasses import replace

import pytest
from test_head import FakeLink, HeadHarness, job, worker
from test_leaving import FakePorts, replica_of
from test_replication import GateHarness

from millethead.control.calls import (
    CallerHello,
    CallerPing,
    CallerPong,
    CallerWelcome,
    ConfigurationUpdate,
    HeadAnswer,
    HeadCall,
    JobCall,
)
from millethead.execution.messages import AgentWelcome
from millethead.replication.chain_ports import Role
from millethead.replication.log_position import NO_POSITION
from millethead.replication.replica import Replica
from millethead.replication.view import ChainMember, Member, View
from millethead.rpc.codec import Record, encode_any

A, B, C = (Member(f"{name}:1", disk) for disk, name in enumerate("abc", 1))


def view_of(epoch: int, *chain: Member) -> View:
    return View(epoch, (A, B, C), tuple(ChainMember(member, 10, 1) for member in chain))


class RecordingPorts(FakePorts):
    """Records the leadership callbacks of a replica."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def serving(self, epoch: int) -> None:
        self.calls.append(f"serving {epoch}")

    def continue_in_view(self, view: View) -> None:
        self.calls.append(f"continue in view {view.epoch}")

    def deposed(self) -> None:
        self.calls.append("deposed")


def serving_head(epoch: int = 4) -> tuple[Replica, RecordingPorts]:
    """Returns a replica that serves as the head of A, B and C."""
    replica = replica_of(A, view_of(epoch, A, B, C))
    ports = replica._ports = RecordingPorts()
    replica.chain_committed(replica.chain.log.last[1])
    assert ports.calls == [f"serving {epoch}"]
    ports.calls.clear()
    return replica, ports


def commit_all(replica: Replica) -> None:
    replica.chain.committed = replica.chain.log.last[1]
    replica.chain_committed(replica.chain.committed)


def test_head_of_the_next_view_continues() -> None:
    replica, ports = serving_head()
    replica.chain.committed = 1
    replica.adopt(view_of(5, A, B))
    assert ports.calls == ["continue in view 5"]
    assert replica.chain.committed == 1 and not replica.serving  # the chain is not reconciled yet
    commit_all(replica)
    assert replica.serving and ports.calls == ["continue in view 5"]  # and `serving` is not called again
    replica.adopt(view_of(6, A, B, C))
    assert ports.calls == ["continue in view 5", "continue in view 6"]


@pytest.mark.parametrize(
    "view",
    [
        view_of(6, A, B),  # a view was missed: another head may have committed more entries
        view_of(5, B, A),
        replace(view_of(5, A, B), chain=(ChainMember(A, 11, 1), ChainMember(B, 10, 1))),  # another process
        view_of(5, A),  # too short to commit
    ],
    ids=["a view missed", "another head", "another process", "too short"],
)
def test_head_is_deposed_by_any_other_view(view: View) -> None:
    replica, ports = serving_head()
    replica.chain.committed = 1
    replica.adopt(view)
    assert ports.calls == ["deposed"]
    assert replica.chain.committed == 0
    if replica.chain.role is Role.HEAD and len(view.chain) > 1:
        commit_all(replica)
        assert ports.calls == ["deposed", f"serving {view.epoch}"]


def test_head_that_has_not_served_does_not_continue() -> None:
    replica = replica_of(A, view_of(4, A, B, C))
    ports = replica._ports = RecordingPorts()
    replica.adopt(view_of(5, A, B))
    assert ports.calls == ["deposed"]
    commit_all(replica)
    assert ports.calls == ["deposed", "serving 5"]


def test_pending_reads_wait_for_a_barrier_of_the_next_view() -> None:
    gate = GateHarness()
    gate.read("before")
    gate.turn()
    gate.read("behind")
    gate.chain.barrier = 0  # barrier numbers restart in the next view
    gate.gate.continue_in_view()
    assert gate.released == []
    gate.turn()
    gate.gate.barrier_passed(gate.chain.barrier)
    assert gate.released == ["before", "behind"]


def test_pending_entries_are_answered_after_their_commit() -> None:
    gate = GateHarness()
    gate.propose("order")
    gate.gate.continue_in_view()
    assert gate.released == []
    gate.commit(1)
    assert gate.released == ["order"]


class RawLink(FakeLink):
    """Keeps the answers with the epochs that they carry."""

    def send(self, record: Record) -> None:
        self.sent.append(record)


def test_sessions_continue_and_calls_of_both_epochs_are_accepted() -> None:
    bench = HeadHarness(epoch=4)
    agent = bench.agent("n-1", worker())
    bench.settle()
    agent.link.sent.clear()
    link = RawLink()
    caller = bench.head.caller_hello(link, CallerHello("d2", 0, 0, NO_POSITION, False))
    bench.head.continue_in_view(View(5, (), ()))
    assert [record.view.epoch for record in link.sent if isinstance(record, CallerWelcome)] == [4, 5]
    for number, epoch in ((70, 4), (71, 5), (72, 3), (73, 6)):
        call = encode_any(JobCall(number, "POST", "jobs.example", f"/slow/{number:016x}", job()))
        bench.head.caller_record(caller, HeadCall(epoch, call))
    bench.settle()
    answered = {record.answer.number: record.epoch for record in link.sent if isinstance(record, HeadAnswer)}
    assert answered == {70: 4, 71: 5}
    assert not [record for record in agent.link.sent if isinstance(record, AgentWelcome)]
    assert len(agent.orders()) == 2
    bench.head.caller_record(caller, CallerPing(5, True))
    assert isinstance(link.sent[-1], CallerPong)


def test_unacknowledged_configuration_is_resent_in_the_next_view() -> None:
    """The caller may have learned of the next view earlier and ignored updates of the previous epoch."""
    bench = HeadHarness(epoch=4)
    bench.link.sent.clear()
    bench.head.continue_in_view(View(5, (), ()))
    bench.settle()
    updates = [record for record in bench.link.sent if isinstance(record, ConfigurationUpdate)]
    assert [update.epoch for update in updates] == [5]
    bench.caller.place = updates[0].place
    bench.link.sent.clear()
    bench.head.continue_in_view(View(6, (), ()))
    bench.settle()
    assert not [record for record in bench.link.sent if isinstance(record, ConfigurationUpdate)]
