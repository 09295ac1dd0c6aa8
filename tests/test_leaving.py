"""A member that leaves: it stays in the chain, and its process runs, until enough other disks hold what it holds."""

from __future__ import annotations

from random import Random

import pytest

from millethead.lab.core_machine import CoreProcess
from millethead.lab.core_world import CoreWorld, WorldSettings
from millethead.replication.chain_ports import Role
from millethead.replication.liveness import Liveness
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import Heard, Heartbeat
from millethead.replication.planning import Myself, wanted_chain
from millethead.replication.replica import Replica, ReplicaSettings
from millethead.replication.view import ChainMember, Member, View, next_view
from millethead.rollout.register import AcceptorState
from millethead.storage.log import Recovered

A, B, C, D = (Member(f"{name}:1", disk) for disk, name in enumerate("abcd", 1))
ALL = (A, B, C, D)
NOW, LEAST = 100.0, 2


def view_of(*chain: Member, epoch: int = 4) -> View:
    return View(epoch, (A, B, C), tuple(ChainMember(member, 10, 1) for member in chain))


def heartbeat(member: Member, leaving: bool = False, serving: bool = False, epoch: int = 4) -> Heartbeat:
    heard = tuple(Heard(other.address, 0) for other in ALL if other != member)
    return Heartbeat(member, 10, epoch, 9, leaving, False, False, serving, heard)


def heard(*beats: Heartbeat) -> Liveness:
    liveness = Liveness(A.address, 0.45)
    for at in (NOW - 0.4, NOW):
        for beat in beats:
            liveness.heard(at, beat)
    return liveness


def myself(leaving: bool = False, serving: bool = True) -> Myself:
    return Myself(A, 10, 4, 0.0, leaving, 9, serving, LEAST)


def wanted(view: View, me: Myself, *beats: Heartbeat) -> list[Member]:
    return [place.member for place in wanted_chain(NOW, view, me, heard(*beats), view.voters)]


def test_a_member_that_leaves_is_left_out_where_enough_others_hold_all() -> None:
    view = view_of(A, B, C)
    assert wanted(view, myself(), heartbeat(B, leaving=True), heartbeat(C)) == [A, C]


def test_a_member_that_leaves_stays_until_the_one_that_joins_has_copied() -> None:
    """C has copied nothing yet: without B, all that was committed would be on one disk."""
    view = view_of(A, B)
    assert wanted(view, myself(), heartbeat(B, leaving=True), heartbeat(C)) == [A, B, C]
    joined = next_view(view, (*view.chain, ChainMember(C, 10, 0)))
    assert wanted(joined, myself(serving=False), heartbeat(B, leaving=True), heartbeat(C)) == [A, C, B]
    assert wanted(joined, myself(serving=True), heartbeat(B, leaving=True), heartbeat(C)) == [A, C]


def test_a_head_that_leaves_goes_on_until_enough_others_hold_all() -> None:
    view = view_of(A, B)
    assert wanted(view, myself(leaving=True), heartbeat(B), heartbeat(C)) == [A, B, C]
    joined = next_view(view, (*view.chain, ChainMember(C, 10, 0)))
    assert wanted(joined, myself(leaving=True), heartbeat(B), heartbeat(C)) == [B, C]


def test_a_head_that_leaves_hands_over_at_once_where_nobody_can_join() -> None:
    assert wanted(view_of(A, B), myself(leaving=True), heartbeat(B)) == [B]


class Surroundings:
    """What a replica asks for, with a disk that is always done."""

    def __getattr__(self, name: str):
        return lambda *arguments: None

    def disk_ms(self) -> int:
        return 0


def replica_of(member: Member, view: View) -> Replica:
    ports = Surroundings()
    log = ReplicatedLog(SilentMachine(), Recovered(None, ()))
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


class SilentMachine:
    def apply(self, payload, place):
        """Nothing to be done."""

    def prepare_snapshot(self) -> bool:
        return True

    def snapshot(self) -> bytes:
        return b""

    def restoring(self, payload):
        return iter(())


def test_a_view_without_the_member_does_not_let_it_end() -> None:
    """What it holds may be on no other disk than the head's: the head says when its whole chain holds it."""
    replica = replica_of(B, view_of(A, C, epoch=5))
    assert replica.chain.role is Role.OUTSIDE and not replica.handed_over
    replica.receive(1.0, heartbeat(A, serving=False, epoch=5), A.address)
    assert not replica.handed_over
    replica.receive(1.1, heartbeat(C, serving=True, epoch=5), C.address)
    assert not replica.handed_over, "C is not the head"
    replica.receive(1.2, heartbeat(A, serving=True, epoch=4), A.address)
    assert not replica.handed_over, "an earlier epoch, whose chain was another one"
    replica.receive(1.3, heartbeat(A, serving=True, epoch=5), A.address)
    assert replica.handed_over, "A and C are a majority of the voters without it"
    replica.adopt(view_of(C, A, epoch=6))
    assert not replica.handed_over, "a newer view has to be served too"


def test_a_voter_that_is_needed_for_a_majority_goes_on() -> None:
    replica = replica_of(B, view_of(A, D, epoch=5))
    replica.receive(1.0, heartbeat(A, serving=True, epoch=5), A.address)
    assert not replica.handed_over, "C is silent: without B no view could be agreed any more"
    replica.receive(1.1, heartbeat(C, epoch=5), C.address)
    assert replica.handed_over


def test_a_member_of_the_chain_has_not_handed_over() -> None:
    replica = replica_of(B, view_of(A, B, epoch=5))
    replica.receive(1.0, heartbeat(A, serving=True, epoch=5), A.address)
    assert not replica.handed_over


def test_a_member_without_a_disk_may_end_at_any_time() -> None:
    assert replica_of(Member("relay:1", 0), view_of(A, B)).handed_over


@pytest.mark.parametrize("seed", range(6))
def test_what_a_leaving_member_held_outlives_the_loss_of_the_next(seed: int) -> None:
    """One member is lost, a new one has just come, another leaves for good; then the third loses its disk."""
    world = CoreWorld(seed, WorldSettings(trouble_s=14.0, by_chance=False, members=((3, 1),)))
    lost, leaver, last = world.cluster.machines()[:3]
    world.timeline.after(2.0, lambda: world.cluster.replace(lost, 0.05))
    ended: list[float] = []

    def leave() -> None:
        process = leaver.process
        assert isinstance(process, CoreProcess)
        process.post(lambda: process.terminate(lambda: gone(process)))

    def gone(process: CoreProcess) -> None:
        assert process.replica is not None and process.replica.handed_over
        ended.append(world.timeline.now)
        world.cluster.replace(leaver, 0.05)

    world.timeline.after(2.4, leave)
    world.timeline.after(2.4 + 3.0 + 5.0, lambda: world.cluster.wipe(last, 0.3))
    assert world.play().fault == "" and ended
