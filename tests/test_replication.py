"""The core in virtual time: histories of troubles under an oracle, wrong cores that the oracle must notice, and the
faults that it found.
"""

from __future__ import annotations

import os
from collections.abc import Iterator, Sequence

import pytest

from millethead.control.commit import CommitGate
from millethead.jobs.commands import CancelJob
from millethead.lab.core_mutants import MUTANTS
from millethead.lab.core_world import CoreWorld, WorldSettings, play
from millethead.programs.core_disk import CoreDisk
from millethead.replication.chain import Chain
from millethead.replication.chain_ports import Role
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import (
    BarrierAck,
    ChainAck,
    ChainAppend,
    ChainBarrier,
    ChainHello,
    ChainPosition,
    ChainTruncate,
    EpochSpan,
    LogEntry,
)
from millethead.replication.place import LogPlace
from millethead.replication.planning import LocalMember, may_lead
from millethead.replication.view import ChainMember, Member, View, next_view
from millethead.rpc.codec import Record
from millethead.storage.log import Entry, Recovered, Snapshot

HISTORIES = int(os.environ.get("REPLICATION_HISTORIES", "48"))
CATCH_UP_S = 4.0  # after this time the successor of a machine that was taken away stands for it
GROUP = 8  # histories in one test
HEAD, MIDDLE, TAIL = (Member(f"{name}:1", disk) for disk, name in enumerate("abc", 1))
VIEW = View(4, (HEAD, MIDDLE, TAIL), tuple(ChainMember(member, 10, 1) for member in (HEAD, MIDDLE, TAIL)))

# the first seed whose history shows the mutant; a change of the core moves them, and this finds them again:
# python benchmarks/replication/histories.py --mutants
SHOWN_BY = {
    "acknowledge_before_sync": 0,
    "too_few_disks": 2,
    "vote_after_wipe": 6,
    "view_without_majority": 0,
    "read_without_confirmation": 0,
    "read_after_earlier_commit": 841,
    "stream_begins_with_applied_state": 3,
    "stream_of_applied_state": 1,
    "refusal_not_kept": 158,
    "bad_middle_cut": 38,
    "repeat_refused": 0,
    "rename_not_synced": 0,
    "lead_without_joining": 7,
    "lead_by_log_alone": 12,
    "promise_before_sync": 0,
    "believe_what_is_read": 101,
    "barrier_lost_with_link": 8,
    "swap_with_new_majority": 3,
    "swap_with_old_majority": 0,
    "lead_on_after_another_head": 568,
    "read_over_a_change_of_view": 14,
}
MORE_SEEDS = 30  # are played after it, before the mutant counts as not noticed


@pytest.mark.parametrize("first", range(0, HISTORIES, GROUP))
def test_what_was_acknowledged_stands_through_all_troubles(first):
    played = [play(seed) for seed in range(first, min(first + GROUP, HISTORIES))]
    assert [(history.seed, history.fault) for history in played if history.fault] == []
    assert all(history.orders and history.jobs and history.views for history in played)


def test_a_seed_stands_for_one_history():
    assert play(5) == play(5)


def test_a_head_that_hears_late_of_what_a_later_one_has_committed_does_no_harm():
    """Members acknowledged its first entry, then a later head committed that entry, and only then it heard of it."""
    assert play(381).fault == ""


def test_members_that_outbid_each_other_agree_on_a_view():
    """Their promises came faster than disks wrote each of them twice."""
    assert play(22261).fault == ""


def test_a_restart_of_all_needs_no_voter_that_was_replaced_for_good():
    """The view that replaced it was agreed, as entries of its epoch show, and was still the newest on the disks."""
    assert play(1087).fault == ""


def test_there_is_a_history_for_every_mutant():
    assert set(SHOWN_BY) == set(MUTANTS)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_the_oracle_notices(mutant):
    first = SHOWN_BY[mutant]
    with MUTANTS[mutant]():
        assert any(play(seed).fault for seed in range(first, first + MORE_SEEDS))


# ---- the faults that were found, one by one ----------------------------------------------------------------------


def myself(member: Member, log_epoch: int) -> LocalMember:
    return LocalMember(member, 10, log_epoch, 0.0, False, 9, False, 2)


def test_a_member_of_every_chain_may_lead_without_any_entry():
    """All were killed before the first entry of the second epoch was synced anywhere: somebody must lead again."""
    second = next_view(View(1, VIEW.voters, VIEW.chain), VIEW.chain[1:])
    assert may_lead(second, myself(MIDDLE, 0))


def test_a_member_that_joined_later_leads_only_with_an_entry_since():
    joined = next_view(next_view(VIEW, VIEW.chain[:2]), VIEW.chain)
    assert not may_lead(joined, myself(TAIL, 4))
    assert may_lead(joined, myself(TAIL, joined.epoch))
    assert may_lead(joined, myself(MIDDLE, 4))
    assert not may_lead(next_view(VIEW, VIEW.chain[:2]), myself(TAIL, 4))


@pytest.mark.parametrize("seed", range(4))
def test_a_machine_may_be_lost_once_the_successor_of_another_has_had_its_time(seed):
    """The voter of the machine that is gone must not be needed for a majority by then."""
    world = CoreWorld(seed, WorldSettings(trouble_s=9.0, by_chance=False, members=((3, 1),)))
    lost, gone = world.cluster.machines()[:2]
    world.timeline.after(2.0, lambda: world.cluster.replace(gone, 0.2))
    world.timeline.after(2.0 + 0.2 + 0.3 + CATCH_UP_S, lambda: world.cluster.wipe(lost, 0.5))
    assert world.play().fault == ""


class Machine:
    """A state machine that keeps what it was given."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []

    def apply(self, payload: bytes, place: LogPlace) -> None:
        self.payloads.append(payload)

    def snapshot(self) -> bytes:
        return b"\n".join(self.payloads)

    def prepare_snapshot(self) -> bool:
        return True

    def restore_steps(self, payload: bytes) -> Iterator[None]:
        self.payloads = payload.split(b"\n") if payload else []
        yield


class Link:
    def __init__(self) -> None:
        self.sent: list[Record] = []
        self.closed = False

    def send(self, record: Record) -> None:
        self.sent.append(record)

    def close(self) -> None:
        self.closed = True


class Ports:
    """A disk whose syncs are over at once, and links that are opened by hand."""

    def __init__(self) -> None:
        self.truncated: list[int] = []
        self.opened: list[str] = []
        self.barriers: list[int] = []
        self.commits: list[int] = []
        self.installed: list[Snapshot] = []
        self.due: list = []

    def append(self, entries: Sequence[Entry], durable) -> None:
        durable()

    def truncate(self, sequence: int) -> None:
        self.truncated.append(sequence)

    def install(self, snapshot: Snapshot, durable) -> None:
        self.installed.append(snapshot)
        durable()

    def soon(self, call) -> None:
        self.due.append(call)

    def open_link(self, address: str) -> None:
        self.opened.append(address)

    def committed(self, sequence: int) -> None:
        self.commits.append(sequence)

    def barrier_passed(self, number: int) -> None:
        self.barriers.append(number)

    def reconciled(self) -> None:
        """Nothing to be done."""


class Standing:
    """The chain's part of one member, in `VIEW`, reconciled with its neighbours."""

    def __init__(self, me: Member, entries: int = 3) -> None:
        self.ports, self.up, self.down = Ports(), Link(), Link()
        kept = tuple(Entry(3, sequence, b"%d" % sequence) for sequence in range(1, entries + 1))
        self.chain = Chain(me, 10, ReplicatedLog(Machine(), Recovered(None, kept)), self.ports)
        self.chain.enter_view(VIEW)
        if self.chain.role is Role.RECONCILING:
            self.hello()
            self.chain.receive_from_predecessor(self.up, ChainTruncate(4, entries))
        self.join_below()

    def hello(self) -> None:
        """The predecessor has opened a link."""
        self.up = Link()
        before = VIEW.chain[[place.member for place in VIEW.chain].index(self.chain.member) - 1].member
        assert self.chain.receive_hello(self.up, ChainHello(VIEW, before))

    def join_below(self) -> None:
        """The successor has taken a new link."""
        if self.chain.successor is not None:
            self.down = Link()
            self.chain.link_opened(self.down, self.chain.successor.member.address)
            last = EpochSpan(3, self.chain.log.last[1])
            self.chain.receive_from_successor(self.down, ChainPosition(4, EpochSpan(0, 0), (last,)))

    def barriers_below(self) -> list[int]:
        return [record.number for record in self.down.sent if isinstance(record, ChainBarrier)]

    def answers_above(self) -> list[int]:
        return [record.number for record in self.up.sent if isinstance(record, BarrierAck)]


@pytest.mark.parametrize("me", [HEAD, MIDDLE], ids=["head", "middle"])
def test_a_barrier_that_a_link_took_with_it_is_sent_again(me):
    member = Standing(me)
    if me is HEAD:
        member.chain.send_barrier()
    else:
        member.chain.receive_from_predecessor(member.up, ChainBarrier(4, 1))
    assert member.barriers_below() == [1]
    assert member.chain.link_lost(member.down)
    member.join_below()
    assert member.barriers_below() == [1]


def test_a_barrier_that_came_while_the_link_below_was_open_anew_is_sent_on():
    member = Standing(MIDDLE)
    member.chain.link_lost(member.down)
    member.chain.receive_from_predecessor(member.up, ChainBarrier(4, 1))
    member.join_below()
    assert member.barriers_below() == [1]


def test_an_answer_that_the_link_above_took_with_it_is_given_again():
    """The successor has passed the barrier, and its link is being opened anew when the barrier comes again."""
    member = Standing(MIDDLE)
    member.chain.receive_from_predecessor(member.up, ChainBarrier(4, 1))
    member.chain.link_lost(member.up)
    member.chain.receive_from_successor(member.down, BarrierAck(4, 1))
    member.chain.link_lost(member.down)
    member.hello()
    member.chain.receive_from_predecessor(member.up, ChainTruncate(4, 3))
    member.chain.receive_from_predecessor(member.up, ChainBarrier(4, 1))
    member.join_below()
    assert member.answers_above() == [1] or member.barriers_below() == [1]


def test_a_log_compacted_since_it_told_its_position_is_not_cut_but_told_anew():
    member = Standing(TAIL, entries=5)
    member.hello()
    member.chain.log.compact()
    member.chain.receive_from_predecessor(member.up, ChainTruncate(4, 3))
    member.chain.receive_from_predecessor(member.up, ChainAppend(4, (LogEntry(4, 4, b"other"),)))
    assert member.up.closed and member.ports.truncated == []
    assert member.chain.log.last == (3, 5)
    member.hello()
    assert member.up.sent == [ChainPosition(4, EpochSpan(3, 5), ())]


class Tail:
    """The chain as the gate sees it."""

    def __init__(self) -> None:
        self.committed = self.last = self.barrier = 0

    def propose(self, payload: bytes) -> tuple[int, object]:
        self.last += 1
        return self.last, None

    def send_barrier(self) -> int:
        self.barrier += 1
        return self.barrier


class Gate:
    """A gate, with what it has released."""

    def __init__(self) -> None:
        self.chain, self.released = Tail(), list[str]()
        self._soon: list = []
        self.gate = CommitGate(self.chain, self._soon.append)

    def turn(self) -> None:
        due, self._soon[:] = list(self._soon), []
        for call in due:
            call()

    def propose(self, name: str) -> None:
        self.gate.propose(CancelJob("j", 1))
        self.gate.after_commit(name, lambda released: self.released.append(released.value))

    def read(self, name: str) -> None:
        self.gate.confirm(name, lambda released: self.released.append(released.value))

    def commit(self, sequence: int) -> None:
        self.chain.committed = sequence
        self.gate.committed(sequence)


def test_a_read_waits_for_a_barrier_even_where_a_commit_is_outstanding():
    """The acknowledgements of that commit may be older than the read, and another head may have gone on since."""
    gate = Gate()
    gate.propose("order")
    gate.read("read")
    gate.turn()
    gate.commit(1)
    assert gate.released == ["order"]
    gate.gate.barrier_passed(1)
    assert gate.released == ["order", "read"]


def test_a_read_waits_for_the_commit_of_what_it_saw_after_its_barrier():
    gate = Gate()
    gate.propose("first")
    gate.read("read")
    gate.turn()
    gate.propose("second")
    gate.gate.barrier_passed(1)
    assert gate.released == []
    gate.commit(1)
    assert gate.released == ["first", "read"]
    gate.commit(2)
    assert gate.released == ["first", "read", "second"]


def test_nothing_is_released_once_the_epoch_is_over():
    gate = Gate()
    gate.propose("order")
    gate.read("read")
    gate.turn()
    gate.gate.close()
    gate.gate.barrier_passed(1)
    gate.commit(1)
    assert gate.released == []


def test_the_head_commits_what_the_chain_below_acknowledges():
    member = Standing(HEAD)
    member.chain.propose(b"x")
    assert member.ports.commits == []
    member.chain.receive_from_successor(member.down, ChainAck(4, 4))
    assert member.ports.commits == [4]


def test_what_an_acceptor_reads_at_its_start_is_durable_before_it_answers(tmp_path, monkeypatch):
    """A process that was killed may have left it unsynced; a loss of power would take back what was answered since."""
    CoreDisk(tmp_path, False, lambda: 7)
    synced: set[int] = set()
    real = os.fdatasync
    monkeypatch.setattr(os, "fdatasync", lambda file: synced.add(os.fstat(file).st_ino) or real(file))
    CoreDisk(tmp_path, False, lambda: 8)
    assert (tmp_path / "view.agreed").stat().st_ino in synced
