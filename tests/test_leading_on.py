"""A head that is the head of the next view too goes on with all it knows; after any other view it begins anew."""

from __future__ import annotations

from dataclasses import replace

import pytest
from test_head import FakeLink, HeadHarness, job, worker
from test_leaving import Surroundings, replica_of
from test_replication import Gate

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
from millethead.replication.place import NO_PLACE
from millethead.replication.replica import Replica
from millethead.replication.view import ChainMember, Member, View
from millethead.rpc.codec import Record, encode_any

A, B, C = (Member(f"{name}:1", disk) for disk, name in enumerate("abc", 1))


def view_of(epoch: int, *chain: Member) -> View:
    return View(epoch, (A, B, C), tuple(ChainMember(member, 10, 1) for member in chain))


class Noted(Surroundings):
    """Notes what a replica tells of leading."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def serving(self, epoch: int) -> None:
        self.told.append(f"serving {epoch}")

    def continue_in_view(self, view: View) -> None:
        self.told.append(f"leads on {view.epoch}")

    def deposed(self) -> None:
        self.told.append("deposed")


def leading(epoch: int = 4) -> tuple[Replica, Noted]:
    """A replica that serves as the head of A, B, C."""
    replica = replica_of(A, view_of(epoch, A, B, C))
    ports = replica._ports = Noted()
    replica.chain_committed(replica.chain.log.last[1])
    assert ports.told == [f"serving {epoch}"]
    ports.told.clear()
    return replica, ports


def commit_all(replica: Replica) -> None:
    replica.chain.committed = replica.chain.log.last[1]
    replica.chain_committed(replica.chain.committed)


def test_the_head_of_the_next_view_goes_on() -> None:
    replica, ports = leading()
    replica.chain.committed = 1
    replica.adopt(view_of(5, A, B))
    assert ports.told == ["leads on 5"]
    assert replica.chain.committed == 1 and not replica.serving  # the chain is not whole yet
    commit_all(replica)
    assert replica.serving and ports.told == ["leads on 5"]  # and it does not begin anew then
    replica.adopt(view_of(6, A, B, C))
    assert ports.told == ["leads on 5", "leads on 6"]


@pytest.mark.parametrize(
    "view",
    [
        view_of(6, A, B),  # of the view between them it knows nothing: another head may have committed more
        view_of(5, B, A),
        replace(view_of(5, A, B), chain=(ChainMember(A, 11, 1), ChainMember(B, 10, 1))),  # another process
        view_of(5, A),  # too short to commit
    ],
    ids=["a view missed", "another head", "another process", "too short"],
)
def test_after_any_other_view_it_begins_anew(view: View) -> None:
    replica, ports = leading()
    replica.chain.committed = 1
    replica.adopt(view)
    assert ports.told == ["deposed"]
    assert replica.chain.committed == 0
    if replica.chain.role is Role.HEAD and len(view.chain) > 1:
        commit_all(replica)
        assert ports.told == ["deposed", f"serving {view.epoch}"]


def test_a_head_that_has_not_served_has_nothing_to_go_on_with() -> None:
    replica = replica_of(A, view_of(4, A, B, C))
    ports = replica._ports = Noted()
    replica.adopt(view_of(5, A, B))
    assert ports.told == ["deposed"]
    commit_all(replica)
    assert ports.told == ["deposed", "serving 5"]


def test_reads_under_way_wait_for_a_barrier_of_the_next_view() -> None:
    gate = Gate()
    gate.read("before")
    gate.turn()
    gate.read("behind")
    gate.chain.barrier = 0  # the chain of the next view counts anew
    gate.gate.continue_in_view()
    assert gate.released == []
    gate.turn()
    gate.gate.barrier_passed(gate.chain.barrier)
    assert gate.released == ["before", "behind"]


def test_entries_under_way_are_answered_once_they_are_committed() -> None:
    gate = Gate()
    gate.propose("order")
    gate.gate.continue_in_view()
    assert gate.released == []
    gate.commit(1)
    assert gate.released == ["order"]


class RawLink(FakeLink):
    """Keeps answers with the epoch that they name."""

    def send(self, record: Record) -> None:
        self.sent.append(record)


def test_agents_and_callers_stay_and_calls_of_either_epoch_are_taken() -> None:
    bench = HeadHarness(epoch=4)
    agent = bench.agent("n-1", worker())
    bench.settle()
    agent.link.sent.clear()
    link = RawLink()
    caller = bench.head.caller_hello(link, CallerHello("d2", 0, 0, NO_PLACE, False))
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


def test_a_caller_that_has_not_acknowledged_the_configuration_gets_it_again() -> None:
    """It may have heard of the next view before, and passed over what came under the one before it."""
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
