"""The core in virtual time: random fault histories checked by an oracle, mutants that the oracle must detect, and
regression tests of the chain and the commit gate."""

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
from millethead.replication.log_position import LogPosition
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
from millethead.replication.view import ChainMember, Member, View, next_view
from millethead.replication.view_planning import LocalMember, may_lead
from millethead.rpc.codec import Record
from millethead.storage.log import Entry, Recovered, Snapshot

HISTORIES = int(os.environ.get("REPLICATION_HISTORIES", "48"))
CATCH_UP_TIME_S = 4.0  # time in which the replacement of a machine must catch up
HISTORIES_PER_TEST = 8  # histories per test
HEAD, MIDDLE, TAIL = (Member(f"{name}:1", disk) for disk, name in enumerate("abc", 1))
VIEW = View(4, (HEAD, MIDDLE, TAIL), tuple(ChainMember(member, 10, 1) for member in (HEAD, MIDDLE, TAIL)))

# the first seed whose history detects the mutant; these change with the core and are found by:
# python benchmarks/replication/histories.py --mutants
FIRST_DETECTING_SEED = {
    "acknowledge_before_sync": 0,
    "too_few_disks": 2,
    "vote_after_wipe": 6,
    "view_without_majority": 0,
    "read_without_confirmation": 0,
    "read_after_earlier_commit": 1792,
    "stream_begins_with_applied_state": 3,
    "stream_of_applied_state": 1,
    "refusal_not_kept": 151,
    "bad_middle_cut": 38,
    "repeat_refused": 0,
    "rename_not_synced": 0,
    "lead_without_joining": 7,
    "lead_by_log_alone": 12,
    "promise_before_sync": 0,
    "believe_what_is_read": 167,
    "barrier_lost_with_link": 8,
    "swap_with_new_majority": 3,
    "swap_with_old_majority": 0,
    "lead_on_after_another_head": 568,
    "read_over_a_change_of_view": 14,
    "cancel_not_kept": 1,
    "cancel_answered_before_commit": 48,
    "tombstones_not_in_snapshot": 48,
}
EXTRA_SEEDS = 30  # seeds tried before a mutant counts as undetected


@pytest.mark.parametrize("first", range(0, HISTORIES, HISTORIES_PER_TEST))
def test_acknowledged_commands_survive_all_faults(first):
    played = [play(seed) for seed in range(first, min(first + HISTORIES_PER_TEST, HISTORIES))]
    assert [(history.seed, history.fault) for history in played if history.fault] == []
    assert all(history.orders and history.jobs and history.views for history in played)


def test_a_seed_determines_the_history():
    assert play(5) == play(5)


def test_late_acknowledgement_after_the_commit_of_a_later_head_is_harmless():
    """Members acknowledge the first entry of a head. A later head commits that entry before the acknowledgement reaches
    the first head."""
    assert play(381).fault == ""


def test_competing_proposers_agree_on_a_view():
    """Competing proposers sent prepare requests faster than the disks could write two promises."""
    assert play(22261).fault == ""


def test_restart_of_all_members_does_not_need_a_replaced_voter():
    """The view that replaced the voter was agreed, as log entries of its epoch prove, and was the newest view on the
    disks."""
    assert play(1087).fault == ""


def test_there_is_a_history_for_every_mutant():
    assert set(FIRST_DETECTING_SEED) == set(MUTANTS)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_the_oracle_detects(mutant):
    first = FIRST_DETECTING_SEED[mutant]
    with MUTANTS[mutant]():
        assert any(play(seed).fault for seed in range(first, first + EXTRA_SEEDS))


# ---- regression tests ----------------------------------------------------------------------


def local_state(member: Member, log_epoch: int) -> LocalMember:
    return LocalMember(member, 10, log_epoch, 0.0, False, 9, False, 2)


def test_member_of_every_chain_may_lead_without_an_entry():
    """All members were killed before the first entry of the second epoch was synced anywhere. One of them must be able
    to lead."""
    second = next_view(View(1, VIEW.voters, VIEW.chain), VIEW.chain[1:])
    assert may_lead(second, local_state(MIDDLE, 0))


def test_member_that_joined_later_may_lead_only_with_an_entry_since_then():
    joined = next_view(next_view(VIEW, VIEW.chain[:2]), VIEW.chain)
    assert not may_lead(joined, local_state(TAIL, 4))
    assert may_lead(joined, local_state(TAIL, joined.epoch))
    assert may_lead(joined, local_state(MIDDLE, 4))
    assert not may_lead(next_view(VIEW, VIEW.chain[:2]), local_state(TAIL, 4))


@pytest.mark.parametrize("seed", range(4))
def test_machine_may_be_lost_after_the_replacement_of_another_has_caught_up(seed):
    """By then the voter of the replaced machine must not be needed for a majority."""
    world = CoreWorld(seed, WorldSettings(trouble_s=9.0, by_chance=False, members=((3, 1),)))
    lost, gone = world.cluster.machines()[:2]
    world.timeline.after(2.0, lambda: world.cluster.replace(gone, 0.2))
    world.timeline.after(2.0 + 0.2 + 0.3 + CATCH_UP_TIME_S, lambda: world.cluster.wipe(lost, 0.5))
    assert world.play().fault == ""


class RecordingMachine:
    """A state machine that records the payloads it applied."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []

    def apply(self, payload: bytes, position: LogPosition) -> None:
        self.payloads.append(payload)

    def snapshot(self) -> bytes:
        return b"\n".join(self.payloads)

    def prepare_snapshot(self) -> bool:
        return True

    def restore_steps(self, payload: bytes) -> Iterator[None]:
        self.payloads = payload.split(b"\n") if payload else []
        yield


class FakeLink:
    def __init__(self) -> None:
        self.sent: list[Record] = []
        self.closed = False

    def send(self, record: Record) -> None:
        self.sent.append(record)

    def close(self) -> None:
        self.closed = True


class FakePorts:
    """Ports with a disk that syncs at once and links that the test opens."""

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
        """Not used in these tests."""


class ReconciledChain:
    """The chain of one member in `VIEW`, reconciled with its neighbours."""

    def __init__(self, me: Member, entries: int = 3) -> None:
        self.ports, self.up, self.down = FakePorts(), FakeLink(), FakeLink()
        kept = tuple(Entry(3, sequence, b"%d" % sequence) for sequence in range(1, entries + 1))
        self.chain = Chain(me, 10, ReplicatedLog(RecordingMachine(), Recovered(None, kept)), self.ports)
        self.chain.enter_view(VIEW)
        if self.chain.role is Role.RECONCILING:
            self.connect_predecessor()
            self.chain.receive_from_predecessor(self.up, ChainTruncate(4, entries))
        self.connect_successor()

    def connect_predecessor(self) -> None:
        """The predecessor opens a link."""
        self.up = FakeLink()
        before = VIEW.chain[[chain_member.member for chain_member in VIEW.chain].index(self.chain.member) - 1].member
        assert self.chain.receive_hello(self.up, ChainHello(VIEW, before))

    def connect_successor(self) -> None:
        """The successor accepts a new link."""
        if self.chain.successor is not None:
            self.down = FakeLink()
            self.chain.link_opened(self.down, self.chain.successor.member.address)
            last = EpochSpan(3, self.chain.log.last[1])
            self.chain.receive_from_successor(self.down, ChainPosition(4, EpochSpan(0, 0), (last,)))

    def barriers_to_successor(self) -> list[int]:
        return [record.number for record in self.down.sent if isinstance(record, ChainBarrier)]

    def acks_to_predecessor(self) -> list[int]:
        return [record.number for record in self.up.sent if isinstance(record, BarrierAck)]


@pytest.mark.parametrize("me", [HEAD, MIDDLE], ids=["head", "middle"])
def test_barrier_lost_with_a_link_is_resent(me):
    member = ReconciledChain(me)
    if me is HEAD:
        member.chain.send_barrier()
    else:
        member.chain.receive_from_predecessor(member.up, ChainBarrier(4, 1))
    assert member.barriers_to_successor() == [1]
    assert member.chain.link_lost(member.down)
    member.connect_successor()
    assert member.barriers_to_successor() == [1]


def test_barrier_that_arrives_while_the_successor_link_is_reopened_is_forwarded():
    member = ReconciledChain(MIDDLE)
    member.chain.link_lost(member.down)
    member.chain.receive_from_predecessor(member.up, ChainBarrier(4, 1))
    member.connect_successor()
    assert member.barriers_to_successor() == [1]


def test_barrier_ack_lost_with_the_predecessor_link_is_resent():
    """The successor has acknowledged the barrier, and its link is being reopened when the barrier arrives again."""
    member = ReconciledChain(MIDDLE)
    member.chain.receive_from_predecessor(member.up, ChainBarrier(4, 1))
    member.chain.link_lost(member.up)
    member.chain.receive_from_successor(member.down, BarrierAck(4, 1))
    member.chain.link_lost(member.down)
    member.connect_predecessor()
    member.chain.receive_from_predecessor(member.up, ChainTruncate(4, 3))
    member.chain.receive_from_predecessor(member.up, ChainBarrier(4, 1))
    member.connect_successor()
    assert member.acks_to_predecessor() == [1] or member.barriers_to_successor() == [1]


def test_log_compacted_after_its_position_was_sent_is_not_truncated():
    member = ReconciledChain(TAIL, entries=5)
    member.connect_predecessor()
    member.chain.log.compact()
    member.chain.receive_from_predecessor(member.up, ChainTruncate(4, 3))
    member.chain.receive_from_predecessor(member.up, ChainAppend(4, (LogEntry(4, 4, b"other"),)))
    assert member.up.closed and member.ports.truncated == []
    assert member.chain.log.last == (3, 5)
    member.connect_predecessor()
    assert member.up.sent == [ChainPosition(4, EpochSpan(3, 5), ())]


class FakeChain:
    """The part of the chain that the commit gate uses."""

    def __init__(self) -> None:
        self.committed = self.last = self.barrier = 0

    def propose(self, payload: bytes) -> tuple[int, object]:
        self.last += 1
        return self.last, None

    def send_barrier(self) -> int:
        self.barrier += 1
        return self.barrier


class GateHarness:
    """A commit gate that records what it releases."""

    def __init__(self) -> None:
        self.chain, self.released = FakeChain(), list[str]()
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


def test_read_waits_for_a_barrier_even_if_a_commit_is_pending():
    """The acknowledgements of that commit may be older than the read, and another head may have committed entries
    since."""
    gate = GateHarness()
    gate.propose("order")
    gate.read("read")
    gate.turn()
    gate.commit(1)
    assert gate.released == ["order"]
    gate.gate.barrier_passed(1)
    assert gate.released == ["order", "read"]


def test_read_waits_for_the_commit_of_the_entries_it_saw():
    gate = GateHarness()
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


def test_nothing_is_released_after_the_epoch_has_ended():
    gate = GateHarness()
    gate.propose("order")
    gate.read("read")
    gate.turn()
    gate.gate.close()
    gate.gate.barrier_passed(1)
    gate.commit(1)
    assert gate.released == []


def test_head_commits_entries_acknowledged_by_its_successor():
    member = ReconciledChain(HEAD)
    member.chain.propose(b"x")
    assert member.ports.commits == []
    member.chain.receive_from_successor(member.down, ChainAck(4, 4))
    assert member.ports.commits == [4]


def test_acceptor_state_read_at_startup_is_synced_before_the_first_answer(tmp_path, monkeypatch):
    """The previous process may have been killed before it synced the file. A power failure would then undo what the
    acceptor has promised since."""
    CoreDisk(tmp_path, False, lambda: 7)
    synced: set[int] = set()
    real = os.fdatasync
    monkeypatch.setattr(os, "fdatasync", lambda file: synced.add(os.fstat(file).st_ino) or real(file))
    CoreDisk(tmp_path, False, lambda: 8)
    assert (tmp_path / "view.agreed").stat().st_ino in synced
