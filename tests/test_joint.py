"""Views that change several voters at once are agreed by a majority of the old voters and a majority of the new
ones."""

from __future__ import annotations

import pytest

from millethead.replication.heartbeat_monitor import HeartbeatMonitor
from millethead.replication.joint_round import JointRound, has_majorities
from millethead.replication.messages import Heartbeat, PeerAge
from millethead.replication.view import ChainMember, Member, View, ViewWithoutOutgoing, next_view
from millethead.replication.view_planning import VOTER_REMOVAL_TIMEOUT_S, LocalMember, plan_as_head, plan_voters
from millethead.replication.view_register import KnownView, decode_view, round_for
from millethead.rollout.register import ChangeRefused, RegisterMessage
from millethead.rpc.codec import encode

A, B, C, D, E, F, G = (Member(f"{name}:1", disk) for disk, name in enumerate("abcdefg", 1))
FIRST = View(4, (A, B, C, D, E), (ChainMember(A, 10, 1), ChainMember(B, 10, 1), ChainMember(C, 10, 1)))
SECOND = next_view(FIRST, FIRST.chain, (A, F, G))  # keeps only one voter
BALLOT = (9, "a")
ACCEPTED_FIRST, ACCEPTED_SECOND = (1, "a"), (2, "a")
NOW = 100.0


def make_round(wanted: View, known: View, expected: int, agreed: int | None = None) -> JointRound:
    """`agreed`: the newest epoch whose view the proposer knows to be agreed, `expected` by default."""
    return round_for(BALLOT, expected, wanted, KnownView(known, expected if agreed is None else agreed))


def promise(
    joint_round: JointRound, *members: Member, view: View = FIRST, accepted: tuple[int, str] = ACCEPTED_FIRST
) -> None:
    for member in members:
        joint_round.handle_response(member.name, RegisterMessage("promise", BALLOT, accepted, encode(view)))


def accept(joint_round: JointRound, *members: Member) -> None:
    for member in members:
        joint_round.handle_response(member.name, RegisterMessage("accepted", BALLOT))


def test_view_with_other_voters_needs_both_majorities() -> None:
    joint_round = make_round(SECOND, FIRST, FIRST.epoch)
    promise(joint_round, A, B, C)
    assert joint_round.value == encode(SECOND)
    assert joint_round.recipients == {member.name for member in (A, B, C, D, E, F, G)}
    accept(joint_round, F, G)
    assert not joint_round.agreed  # no old voter has accepted it
    accept(joint_round, A, B)
    assert not joint_round.agreed
    accept(joint_round, C)
    assert joint_round.agreed


def test_majority_of_the_old_voters_alone_is_not_enough() -> None:
    joint_round = make_round(next_view(FIRST, FIRST.chain, (E, F, G)), FIRST, FIRST.epoch)
    promise(joint_round, A, B, C)
    accept(joint_round, A, B, C, D)
    assert not joint_round.agreed
    accept(joint_round, F, G)
    assert joint_round.agreed


def test_following_a_possibly_unagreed_view_needs_its_old_voters_too() -> None:
    """Only G has accepted the view, so another proposer that contacts the old voters may not learn of it."""
    joint_round = make_round(next_view(SECOND, SECOND.chain), FIRST, FIRST.epoch)
    promise(joint_round, G, view=SECOND, accepted=ACCEPTED_SECOND)
    promise(joint_round, F, A, view=SECOND, accepted=ACCEPTED_SECOND)
    assert joint_round.value is None  # a majority of its own voters, but only one of the five old voters
    promise(joint_round, B, C)
    assert joint_round.value is not None


def test_following_an_agreed_view_does_not_need_its_old_voters() -> None:
    """Otherwise the loss of two voters that were replaced long ago would block the core."""
    joint_round = make_round(next_view(SECOND, SECOND.chain), SECOND, SECOND.epoch)
    promise(joint_round, F, G, view=SECOND, accepted=ACCEPTED_SECOND)
    assert joint_round.value is not None
    accept(joint_round, F, G)
    assert joint_round.agreed


def test_restarted_member_does_not_assume_that_its_stored_view_is_agreed() -> None:
    joint_round = make_round(SECOND, SECOND, -1)
    promise(joint_round, F, G, view=SECOND, accepted=ACCEPTED_SECOND)
    assert joint_round.value is None
    promise(joint_round, A, B, C)
    assert joint_round.value == encode(FIRST) or joint_round.value == encode(SECOND)
    assert joint_round.previous_value == encode(SECOND)


def test_log_entry_of_a_view_proves_that_it_is_agreed() -> None:
    """Some of the old voters may be lost for good, and a restart of all members must not wait for them."""
    joint_round = make_round(SECOND, SECOND, -1, agreed=SECOND.epoch)
    promise(joint_round, F, G, view=SECOND, accepted=ACCEPTED_SECOND)
    assert joint_round.value == encode(SECOND)
    accept(joint_round, F, G)
    assert joint_round.agreed


def test_older_view_is_not_followed_without_the_voters_of_the_known_one() -> None:
    """The first voters to respond have an old value. Most of its voters do not know the newer view."""
    old = View(2, (A, D, E), FIRST.chain[:1])
    joint_round = make_round(next_view(SECOND, SECOND.chain), SECOND, SECOND.epoch)
    promise(joint_round, A, D, view=old)
    assert joint_round.value is None
    promise(joint_round, F, G, view=SECOND, accepted=ACCEPTED_SECOND)
    assert joint_round.previous_value == encode(SECOND) and joint_round.value is not None


def test_view_in_the_earlier_format_is_decoded() -> None:
    written = encode(ViewWithoutOutgoing(FIRST.epoch, FIRST.voters, FIRST.chain))
    assert decode_view(written) == FIRST
    with pytest.raises(ChangeRefused):
        decode_view(b"\0" * 7)


def test_majority_of_each_group_is_needed() -> None:
    groups = (frozenset("abc"), frozenset("cde"))
    assert has_majorities(frozenset("abcd"), groups)
    assert not has_majorities(frozenset("abd"), groups)
    assert not has_majorities(frozenset("ade"), groups)


# ---- planning of views ----------------------------------------------------------------------------------------------


def make_heartbeat(member: Member, *hears: Member) -> Heartbeat:
    peer_ages = tuple(PeerAge(other.address, 0) for other in hears)
    return Heartbeat(member, 10, 4, 9, False, False, False, False, peer_ages)


def monitor_of(*members: Member, since: float = NOW - 5.0) -> HeartbeatMonitor:
    """All of these members are connected to each other and to the head."""
    monitor = HeartbeatMonitor(A.address, 0.45)
    at = since
    while at <= NOW:
        for member in members:
            monitor.record_heartbeat(at, make_heartbeat(member, A, *members))
        at += 0.1
    return monitor


def head_state(serving: bool = True) -> LocalMember:
    return LocalMember(A, 10, 4, 0.0, False, 9, serving, 3)


def test_two_lost_members_are_replaced_in_one_step() -> None:
    proposal = plan_as_head(NOW, FIRST, head_state(), monitor_of(B, C, F, G))
    assert proposal is not None
    assert set(proposal.view.voters) == {A, B, C, F, G}
    assert proposal.view.outgoing == FIRST.voters
    # the new voters join the chain in the same step
    assert {chain_member.member for chain_member in proposal.view.chain} == {A, B, C, F, G}


def test_voter_with_a_wiped_disk_is_replaced_by_the_one_at_its_address() -> None:
    replacement = Member(C.address, 77)
    monitor = monitor_of(B, D, E, replacement)
    assert set(plan_voters(NOW, FIRST, head_state(), monitor)) == {A, B, replacement, D, E}


def test_voter_with_a_wiped_disk_stays_until_the_new_one_may_join() -> None:
    replacement = Member(C.address, 77)
    monitor = monitor_of(B, D, E)
    monitor.record_heartbeat(NOW, make_heartbeat(replacement, A, B, D, E))
    assert plan_voters(NOW, FIRST, head_state(), monitor) == FIRST.voters


def test_all_new_members_become_voters_in_one_step() -> None:
    small = View(4, (A, B, C), FIRST.chain)
    assert set(plan_voters(NOW, small, head_state(), monitor_of(B, C, D, E, F))) == {A, B, C, D, E, F}


def test_voter_whose_process_has_just_ended_stays() -> None:
    monitor = monitor_of(B, C, D, E, F)
    view = View(4, (A, B, C, D, E, F), FIRST.chain)
    monitor.process_ended(NOW, F.address, 10)
    assert plan_voters(NOW + 0.1, view, head_state(), monitor) == view.voters
    later = NOW + VOTER_REMOVAL_TIMEOUT_S + 0.2
    for member in (B, C, D, E):
        monitor.record_heartbeat(later, make_heartbeat(member, A, B, C, D, E))
    assert set(plan_voters(later, view, head_state(), monitor)) == {A, B, C, D, E}


def test_voters_are_unchanged_if_no_majority_is_connected() -> None:
    view = View(4, (A, B, C, D, E, F), FIRST.chain)
    assert plan_voters(NOW, view, head_state(), monitor_of(B)) == view.voters
