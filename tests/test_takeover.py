"""How soon another head serves, in virtual time: after the end of its process, and after all machines lost power."""

from __future__ import annotations

import math

import pytest

from millethead.lab.core_machine import Machine
from millethead.lab.core_world import CoreWorld, WorldSettings
from millethead.replication.liveness import HeartbeatMonitor
from millethead.replication.messages import Heartbeat
from millethead.replication.planning import LocalMember, is_head_healthy, keeps_all_members
from millethead.replication.view import ChainMember, Member, View, next_view

HEAD, SECOND, THIRD = (Member(f"{name}:1", disk) for disk, name in enumerate("abc", 1))
VIEW = View(4, (HEAD, SECOND, THIRD), tuple(ChainMember(member, 10, 1) for member in (HEAD, SECOND, THIRD)))
LOOK_S = 0.005
SUSPECT_S = 0.45
TROUBLE_AT = 4.0


def world(seed: int) -> CoreWorld:
    """Six members, two of which may be lost, without troubles of its own."""
    return CoreWorld(seed, WorldSettings(trouble_s=9.0, by_chance=False, members=((6, 2),)))


def seconds_until_served(played: CoreWorld, lost: float) -> list[float]:
    """Filled while the world plays: how long after `lost` a head served again."""
    found: list[float] = []

    def look() -> None:
        if played.cluster.head() is not None:
            found.append(played.timeline.now - lost)
        else:
            played.timeline.after(LOOK_S, look)

    played.timeline.after(lost + LOOK_S, look)
    return found


@pytest.mark.parametrize("seed", range(4))
def test_end_of_the_heads_process_is_known_at_once(seed: int) -> None:
    played = world(seed)

    def kill_head() -> None:
        head = played.cluster.head()
        assert head is not None
        played.cluster.kill(head, 3.0)

    played.timeline.after(TROUBLE_AT, kill_head)
    served = seconds_until_served(played, TROUBLE_AT)
    assert played.play().fault == ""
    assert served[0] < 0.2


@pytest.mark.parametrize("seed", range(4))
def test_members_that_all_come_back_do_not_wait_for_others(seed: int) -> None:
    played = world(seed)
    back_s = 0.5

    def lose_power() -> None:
        for machine in played.cluster.machines():
            assert isinstance(machine, Machine)
            played.cluster.lose_power(machine, back_s)

    played.timeline.after(TROUBLE_AT, lose_power)
    served = seconds_until_served(played, TROUBLE_AT)
    assert played.play().fault == ""
    assert served[0] < back_s + 0.35


def test_member_that_is_missing_is_waited_for() -> None:
    assert keeps_all_members(VIEW, next_view(VIEW, VIEW.chain))
    assert not keeps_all_members(VIEW, next_view(VIEW, VIEW.chain[1:]))


def heartbeat(member: Member, incarnation: int = 10) -> Heartbeat:
    return Heartbeat(member, incarnation, VIEW.epoch, 0, False, False, False, True, ())


def liveness() -> HeartbeatMonitor:
    """At the second member, which has just heard the others."""
    known = HeartbeatMonitor(SECOND.address, SUSPECT_S)
    for member in (HEAD, THIRD):
        known.record_heartbeat(1.0, heartbeat(member))
    return known


ME = LocalMember(SECOND, 10, VIEW.epoch, 0.0, False, 0, False, 2)


def test_heartbeat_that_was_under_way_does_not_bring_an_ended_process_back() -> None:
    known = liveness()
    known.process_ended(1.1, HEAD.address, 10)
    assert not known.record_heartbeat(1.2, heartbeat(HEAD))
    assert known.contact(HEAD.address) is None
    assert not is_head_healthy(1.2, VIEW, ME, known)


def test_process_that_is_heard_long_after_was_not_over() -> None:
    known = liveness()
    known.process_ended(1.1, HEAD.address, 10)
    assert known.record_heartbeat(1.1 + SUSPECT_S + 0.1, heartbeat(HEAD))
    assert not known.has_ended(HEAD.address, 10)


def test_next_process_at_the_address_is_heard_at_once() -> None:
    known = liveness()
    known.process_ended(1.1, HEAD.address, 10)
    assert known.record_heartbeat(1.15, heartbeat(HEAD, incarnation=11))
    assert known.silent_s(1.15, HEAD.address) == 0.0


def test_only_the_process_that_had_the_place_is_over() -> None:
    known = liveness()
    known.record_heartbeat(1.05, heartbeat(HEAD, incarnation=11))
    known.process_ended(1.1, HEAD.address, 10)
    assert known.silent_s(1.1, HEAD.address) < math.inf
