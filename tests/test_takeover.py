"""Time until another head serves, in virtual time: after the head's process ended, and after a power failure of all
machines."""

from __future__ import annotations

import math

import pytest

from millethead.lab.core_machine import Machine
from millethead.lab.core_world import CoreWorld, WorldSettings
from millethead.replication.heartbeat_monitor import HeartbeatMonitor
from millethead.replication.messages import Heartbeat
from millethead.replication.view import ChainMember, Member, View, next_view
from millethead.replication.view_planning import LocalMember, is_head_healthy, keeps_all_members

HEAD, SECOND, THIRD = (Member(f"{name}:1", disk) for disk, name in enumerate("abc", 1))
VIEW = View(4, (HEAD, SECOND, THIRD), tuple(ChainMember(member, 10, 1) for member in (HEAD, SECOND, THIRD)))
CHECK_INTERVAL_S = 0.005
SUSPICION_TIMEOUT_S = 0.45
FAULT_AT_S = 4.0


def world(seed: int) -> CoreWorld:
    """Returns six members, two of which may be lost, without random faults."""
    return CoreWorld(seed, WorldSettings(trouble_s=9.0, by_chance=False, members=((6, 2),)))


def seconds_until_served(played: CoreWorld, lost: float) -> list[float]:
    """Returns a list that is filled during the run with the time from `lost` until a head served again."""
    durations: list[float] = []

    def check() -> None:
        if played.cluster.head() is not None:
            durations.append(played.timeline.now - lost)
        else:
            played.timeline.after(CHECK_INTERVAL_S, check)

    played.timeline.after(lost + CHECK_INTERVAL_S, check)
    return durations


@pytest.mark.parametrize("seed", range(4))
def test_end_of_the_head_process_is_detected_at_once(seed: int) -> None:
    played = world(seed)

    def kill_head() -> None:
        head = played.cluster.head()
        assert head is not None
        played.cluster.kill(head, 3.0)

    played.timeline.after(FAULT_AT_S, kill_head)
    served = seconds_until_served(played, FAULT_AT_S)
    assert played.play().fault == ""
    assert served[0] < 0.2


@pytest.mark.parametrize("seed", range(4))
def test_no_wait_if_all_members_return(seed: int) -> None:
    played = world(seed)
    back_s = 0.5

    def lose_power() -> None:
        for machine in played.cluster.machines():
            assert isinstance(machine, Machine)
            played.cluster.lose_power(machine, back_s)

    played.timeline.after(FAULT_AT_S, lose_power)
    served = seconds_until_served(played, FAULT_AT_S)
    assert played.play().fault == ""
    assert served[0] < back_s + 0.35


def test_missing_member_is_detected() -> None:
    assert keeps_all_members(VIEW, next_view(VIEW, VIEW.chain))
    assert not keeps_all_members(VIEW, next_view(VIEW, VIEW.chain[1:]))


def heartbeat(member: Member, incarnation: int = 10) -> Heartbeat:
    return Heartbeat(member, incarnation, VIEW.epoch, 0, False, False, False, True, ())


def monitor_of_second() -> HeartbeatMonitor:
    """Returns the monitor of the second member, which has just received heartbeats of the others."""
    monitor = HeartbeatMonitor(SECOND.address, SUSPICION_TIMEOUT_S)
    for member in (HEAD, THIRD):
        monitor.record_heartbeat(1.0, heartbeat(member))
    return monitor


LOCAL = LocalMember(SECOND, 10, VIEW.epoch, 0.0, False, 0, False, 2)


def test_late_heartbeat_does_not_revive_an_ended_process() -> None:
    monitor = monitor_of_second()
    monitor.process_ended(1.1, HEAD.address, 10)
    assert not monitor.record_heartbeat(1.2, heartbeat(HEAD))
    assert monitor.contact(HEAD.address) is None
    assert not is_head_healthy(1.2, VIEW, LOCAL, monitor)


def test_process_that_sends_heartbeats_much_later_had_not_ended() -> None:
    monitor = monitor_of_second()
    monitor.process_ended(1.1, HEAD.address, 10)
    assert monitor.record_heartbeat(1.1 + SUSPICION_TIMEOUT_S + 0.1, heartbeat(HEAD))
    assert not monitor.has_ended(HEAD.address, 10)


def test_heartbeat_of_the_next_process_counts_at_once() -> None:
    monitor = monitor_of_second()
    monitor.process_ended(1.1, HEAD.address, 10)
    assert monitor.record_heartbeat(1.15, heartbeat(HEAD, incarnation=11))
    assert monitor.silent_s(1.15, HEAD.address) == 0.0


def test_only_the_process_in_the_chain_is_recorded_as_ended() -> None:
    monitor = monitor_of_second()
    monitor.record_heartbeat(1.05, heartbeat(HEAD, incarnation=11))
    monitor.process_ended(1.1, HEAD.address, 10)
    assert monitor.silent_s(1.1, HEAD.address) < math.inf
