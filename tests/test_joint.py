"""Views that change several voters at once: agreed with a majority of those before and of those after."""

from __future__ import annotations

import pytest

from millethead.replication.agreement import KnownView, decode_view, round_for
from millethead.replication.joint import JointRound, has_majorities
from millethead.replication.liveness import Liveness
from millethead.replication.messages import Heard, Heartbeat
from millethead.replication.planning import DEAD_VOTER_S, Myself, plan_as_head, wanted_voters
from millethead.replication.view import ChainMember, Member, View, ViewWithoutOutgoing, next_view
from millethead.rollout.register import ChangeRefused, RegisterMessage
from millethead.rpc.codec import encode

A, B, C, D, E, F, G = (Member(f"{name}:1", disk) for disk, name in enumerate("abcdefg", 1))
FIRST = View(4, (A, B, C, D, E), (ChainMember(A, 10, 1), ChainMember(B, 10, 1), ChainMember(C, 10, 1)))
SECOND = next_view(FIRST, FIRST.chain, (A, F, G))  # hardly anybody stays
BALLOT = (9, "a")
ACCEPTED_FIRST, ACCEPTED_SECOND = (1, "a"), (2, "a")
NOW = 100.0


def round_of(wanted: View, known: View, expected: int, agreed: int | None = None) -> JointRound:
    """`agreed`: the newest epoch of which the proposer knows that its view was agreed, by default `expected`."""
    return round_for(BALLOT, expected, wanted, KnownView(known, expected if agreed is None else agreed))


def promise(made: JointRound, *members: Member, view: View = FIRST, accepted: tuple[int, str] = ACCEPTED_FIRST) -> None:
    for member in members:
        made.take(member.name, RegisterMessage("promise", BALLOT, accepted, encode(view)))


def accept(made: JointRound, *members: Member) -> None:
    for member in members:
        made.take(member.name, RegisterMessage("accepted", BALLOT))


def test_a_view_with_other_voters_needs_a_majority_of_both() -> None:
    made = round_of(SECOND, FIRST, FIRST.epoch)
    promise(made, A, B, C)
    assert made.value == encode(SECOND)
    assert made.asked == {member.name for member in (A, B, C, D, E, F, G)}
    accept(made, F, G)
    assert not made.agreed  # none of those who voted before has it
    accept(made, A, B)
    assert not made.agreed
    accept(made, C)
    assert made.agreed


def test_a_majority_of_those_before_alone_is_not_enough() -> None:
    made = round_of(next_view(FIRST, FIRST.chain, (E, F, G)), FIRST, FIRST.epoch)
    promise(made, A, B, C)
    accept(made, A, B, C, D)
    assert not made.agreed
    accept(made, F, G)
    assert made.agreed


def test_a_view_that_may_not_be_agreed_is_followed_with_those_before_it_too() -> None:
    """G alone has accepted it: another proposer, who asks the voters before, may not hear of it."""
    made = round_of(next_view(SECOND, SECOND.chain), FIRST, FIRST.epoch)
    promise(made, G, view=SECOND, accepted=ACCEPTED_SECOND)
    promise(made, F, A, view=SECOND, accepted=ACCEPTED_SECOND)
    assert made.value is None  # a majority of its own voters, and one of the five before
    promise(made, B, C)
    assert made.value is not None


def test_a_view_that_is_known_to_be_agreed_needs_those_before_it_no_more() -> None:
    """Else the loss of two that were replaced long ago would stop the core."""
    made = round_of(next_view(SECOND, SECOND.chain), SECOND, SECOND.epoch)
    promise(made, F, G, view=SECOND, accepted=ACCEPTED_SECOND)
    assert made.value is not None
    accept(made, F, G)
    assert made.agreed


def test_a_member_that_restarts_does_not_know_that_the_view_on_its_disk_is_agreed() -> None:
    made = round_of(SECOND, SECOND, -1)
    promise(made, F, G, view=SECOND, accepted=ACCEPTED_SECOND)
    assert made.value is None
    promise(made, A, B, C)
    assert made.value == encode(FIRST) or made.value == encode(SECOND)
    assert made.old == encode(SECOND)


def test_a_member_whose_log_has_an_entry_of_the_view_knows_that_it_is_agreed() -> None:
    """Of those before it some may be gone for good: a restart of all must not wait for them."""
    made = round_of(SECOND, SECOND, -1, agreed=SECOND.epoch)
    promise(made, F, G, view=SECOND, accepted=ACCEPTED_SECOND)
    assert made.value == encode(SECOND)
    accept(made, F, G)
    assert made.agreed


def test_an_older_view_is_not_followed_without_those_who_know_the_newer_one() -> None:
    """The first to answer has an old value, whose voters are there: most of them know nothing of the newer one."""
    old = View(2, (A, D, E), FIRST.chain[:1])
    made = round_of(next_view(SECOND, SECOND.chain), SECOND, SECOND.epoch)
    promise(made, A, D, view=old)
    assert made.value is None
    promise(made, F, G, view=SECOND, accepted=ACCEPTED_SECOND)
    assert made.old == encode(SECOND) and made.value is not None


def test_a_view_that_an_earlier_version_wrote_is_read() -> None:
    written = encode(ViewWithoutOutgoing(FIRST.epoch, FIRST.voters, FIRST.chain))
    assert decode_view(written) == FIRST
    with pytest.raises(ChangeRefused):
        decode_view(b"\0" * 7)


def test_majorities_are_of_each_group() -> None:
    groups = (frozenset("abc"), frozenset("cde"))
    assert has_majorities(frozenset("abcd"), groups)
    assert not has_majorities(frozenset("abd"), groups)
    assert not has_majorities(frozenset("ade"), groups)


# ---- what is proposed ----------------------------------------------------------------------------------------------


def beat(member: Member, *hears: Member) -> Heartbeat:
    heard = tuple(Heard(other.address, 0) for other in hears)
    return Heartbeat(member, 10, 4, 9, False, False, False, False, heard)


def liveness_of(*members: Member, since: float = NOW - 5.0) -> Liveness:
    """All of these hear one another and the head."""
    known = Liveness(A.address, 0.45)
    at = since
    while at <= NOW:
        for member in members:
            known.heard(at, beat(member, A, *members))
        at += 0.1
    return known


def head(serving: bool = True) -> Myself:
    return Myself(A, 10, 4, 0.0, False, 9, serving, 3)


def test_two_that_are_gone_are_replaced_in_one_step() -> None:
    proposal = plan_as_head(NOW, FIRST, head(), liveness_of(B, C, F, G))
    assert proposal is not None
    assert set(proposal.view.voters) == {A, B, C, F, G}
    assert proposal.view.outgoing == FIRST.voters
    assert {place.member for place in proposal.view.chain} == {A, B, C, F, G}  # they join in the same step


def test_a_wiped_disk_is_replaced_by_the_one_at_its_address() -> None:
    again = Member(C.address, 77)
    known = liveness_of(B, D, E, again)
    assert set(wanted_voters(NOW, FIRST, head(), known)) == {A, B, again, D, E}


def test_a_wiped_disk_is_not_dropped_before_the_new_one_may_join() -> None:
    again = Member(C.address, 77)
    known = liveness_of(B, D, E)
    known.heard(NOW, beat(again, A, B, D, E))
    assert wanted_voters(NOW, FIRST, head(), known) == FIRST.voters


def test_all_that_are_new_come_in_one_step() -> None:
    small = View(4, (A, B, C), FIRST.chain)
    assert set(wanted_voters(NOW, small, head(), liveness_of(B, C, D, E, F))) == {A, B, C, D, E, F}


def test_the_voter_of_a_process_that_has_just_ended_stays() -> None:
    known = liveness_of(B, C, D, E, F)
    view = View(4, (A, B, C, D, E, F), FIRST.chain)
    known.process_ended(NOW, F.address, 10)
    assert wanted_voters(NOW + 0.1, view, head(), known) == view.voters
    later = NOW + DEAD_VOTER_S + 0.2
    for member in (B, C, D, E):
        known.heard(later, beat(member, A, B, C, D, E))
    assert set(wanted_voters(later, view, head(), known)) == {A, B, C, D, E}


def test_no_voters_are_wanted_of_which_no_majority_is_there() -> None:
    view = View(4, (A, B, C, D, E, F), FIRST.chain)
    assert wanted_voters(NOW, view, head(), liveness_of(B)) == view.voters
