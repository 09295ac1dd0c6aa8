"""A member that is leaving stays in the chain, and its process keeps running, until enough other disks hold its
entries."""

from __future__ import annotations

from random import Random

import pytest

from millethead.lab.core_machine import CoreProcess
from millethead.lab.core_world import CoreWorld, WorldSettings
from millethead.replication.chain_ports import Role
from millethead.replication.heartbeat_monitor import HeartbeatMonitor
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import Heartbeat, PeerAge
from millethead.replication.replica import Replica, ReplicaSettings
from millethead.replication.view import ChainMember, Member, View, next_view
from millethead.replication.view_planning import LocalMember, plan_chain
from millethead.rollout.register import AcceptorState
from millethead.storage.log import Recovered

A, B, C, D = (Member(f"{name}:1", disk) for disk, name in enumerate("abcd", 1))
ALL = (A, B, C, D)
NOW, MIN_CHAIN_LENGTH = 100.0, 2


def view_of(*chain: Member, epoch: int = 4) -> View:
    return View(epoch, (A, B, C), tuple(ChainMember(member, 10, 1) for member in chain))


def heartbeat(member: Member, leaving: bool = False, serving: bool = False, epoch: int = 4) -> Heartbeat:
    peer_ages = tuple(PeerAge(other.address, 0) for other in ALL if other != member)
    return Heartbeat(member, 10, epoch, 9, leaving, False, False, serving, peer_ages)


def monitor_of(*heartbeats: Heartbeat) -> HeartbeatMonitor:
    monitor = HeartbeatMonitor(A.address, 0.45)
    for at in (NOW - 0.4, NOW):
        for received in heartbeats:
            monitor.record_heartbeat(at, received)
    return monitor


def local_state(leaving: bool = False, serving: bool = True) -> LocalMember:
    return LocalMember(A, 10, 4, 0.0, leaving, 9, serving, MIN_CHAIN_LENGTH)


def planned_chain(view: View, local: LocalMember, *heartbeats: Heartbeat) -> list[Member]:
    return [chain_member.member for chain_member in plan_chain(NOW, view, local, monitor_of(*heartbeats), view.voters)]


def test_leaving_member_is_removed_if_enough_others_hold_all_entries() -> None:
    view = view_of(A, B, C)
    assert planned_chain(view, local_state(), heartbeat(B, leaving=True), heartbeat(C)) == [A, C]


def test_leaving_member_stays_until_the_joining_one_has_copied() -> None:
    """C has copied nothing yet: without B, all committed entries would be on one disk."""
    view = view_of(A, B)
    assert planned_chain(view, local_state(), heartbeat(B, leaving=True), heartbeat(C)) == [A, B, C]
    joined = next_view(view, (*view.chain, ChainMember(C, 10, 0)))
    assert planned_chain(joined, local_state(serving=False), heartbeat(B, leaving=True), heartbeat(C)) == [A, C, B]
    assert planned_chain(joined, local_state(serving=True), heartbeat(B, leaving=True), heartbeat(C)) == [A, C]


def test_leaving_head_stays_until_enough_others_hold_all_entries() -> None:
    view = view_of(A, B)
    assert planned_chain(view, local_state(leaving=True), heartbeat(B), heartbeat(C)) == [A, B, C]
    joined = next_view(view, (*view.chain, ChainMember(C, 10, 0)))
    assert planned_chain(joined, local_state(leaving=True), heartbeat(B), heartbeat(C)) == [B, C]


def test_leaving_head_hands_over_at_once_if_no_member_can_join() -> None:
    assert planned_chain(view_of(A, B), local_state(leaving=True), heartbeat(B)) == [B]


class FakePorts:
    """Ports of a replica that accept every call."""

    def __getattr__(self, name: str):
        return lambda *arguments: None

    def disk_ms(self) -> int:
        return 0


def replica_of(member: Member, view: View) -> Replica:
    ports = FakePorts()
    log = ReplicatedLog(EmptyMachine(), Recovered(None, ()))
    replica = Replica(
        member,
        10,
        ReplicaSettings(),
        ports,
        ports,
        lambda kept, done: done(),
        log,
        AcceptorState(),
        (),
        False,
        0.0,
        Random(1),
    )
    replica.adopt(view)
    return replica


class EmptyMachine:
    def apply(self, payload, position):
        """Ignores the entry."""

    def prepare_snapshot(self) -> bool:
        return True

    def snapshot(self) -> bytes:
        return b""

    def restore_steps(self, payload):
        return iter(())


def test_member_waits_until_the_view_without_it_serves() -> None:
    """Some of its entries may only be on the head's disk. The head announces when its whole chain holds them."""
    replica = replica_of(B, view_of(A, C, epoch=5))
    assert replica.chain.role is Role.NOT_IN_CHAIN and not replica.handed_over
    replica.receive(1.0, heartbeat(A, serving=False, epoch=5), A.address)
    assert not replica.handed_over
    replica.receive(1.1, heartbeat(C, serving=True, epoch=5), C.address)
    assert not replica.handed_over, "C is not the head"
    replica.receive(1.2, heartbeat(A, serving=True, epoch=4), A.address)
    assert not replica.handed_over, "heartbeat of an earlier epoch, which had another chain"
    replica.receive(1.3, heartbeat(A, serving=True, epoch=5), A.address)
    assert replica.handed_over, "A and C are a majority of the voters without B"
    replica.adopt(view_of(C, A, epoch=6))
    assert not replica.handed_over, "the head of the newer view does not serve yet"


def test_voter_that_is_needed_for_a_majority_stays() -> None:
    replica = replica_of(B, view_of(A, D, epoch=5))
    replica.receive(1.0, heartbeat(A, serving=True, epoch=5), A.address)
    assert not replica.handed_over, "C is silent, so B is needed to agree on a view"
    replica.receive(1.1, heartbeat(C, epoch=5), C.address)
    assert replica.handed_over


def test_chain_member_has_not_handed_over() -> None:
    replica = replica_of(B, view_of(A, B, epoch=5))
    replica.receive(1.0, heartbeat(A, serving=True, epoch=5), A.address)
    assert not replica.handed_over


def test_member_without_a_disk_may_exit_at_any_time() -> None:
    assert replica_of(Member("relay:1", 0), view_of(A, B)).handed_over


@pytest.mark.parametrize("seed", range(6))
def test_entries_of_a_leaving_member_survive_the_loss_of_another(seed: int) -> None:
    """One member is replaced, another one leaves for good soon after, and then the third loses its disk."""
    world = CoreWorld(seed, WorldSettings(trouble_s=14.0, by_chance=False, members=((3, 1),)))
    lost, leaver, last = world.cluster.machines()[:3]
    world.timeline.after(2.0, lambda: world.cluster.replace(lost, 0.05))
    ended: list[float] = []

    def leave() -> None:
        process = leaver.process
        assert isinstance(process, CoreProcess)
        process.post(lambda: process.terminate(lambda: process_exited(process)))

    def process_exited(process: CoreProcess) -> None:
        assert process.replica is not None and process.replica.handed_over
        ended.append(world.timeline.now)
        world.cluster.replace(leaver, 0.05)

    world.timeline.after(2.4, leave)
    world.timeline.after(2.4 + 3.0 + 5.0, lambda: world.cluster.wipe(last, 0.3))
    assert world.play().fault == "" and ended
