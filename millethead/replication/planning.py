"""Which view should follow the present one, and who should propose it. Pure functions of what a member has heard.

Safety does not rest on this module: any proposal that keeps `may_lead` is safe, since a new chain's head holds all that
was committed. What is decided here is when a change is worth it.
"""

from __future__ import annotations

from dataclasses import dataclass

from millethead.replication.liveness import ANSWERED_X, SETTLED_S, Liveness
from millethead.replication.messages import Heartbeat
from millethead.replication.proposal import Departed, Departure, ViewCause, ViewProposal
from millethead.replication.view import ChainMember, Member, View, next_view

SLOW_DISK_MS = 160  # a member whose syncs take longer leaves the chain where the rest is enough
WELL_DISK_MS = 80  # and comes back when they take less
DEAD_VOTER_S = 2.0  # a voter silent for so long is dropped where the majority of the others gains by it
RANK_DELAY_S = 0.2  # the second in line proposes so much later than the first
FIRST_EPOCH = 1
FEWEST_VOTERS = 3  # below this no voter is dropped for its silence
RESTART_WAIT_S = 0.25  # after all were killed at once, the first back waits so long for others that are not back yet


@dataclass(frozen=True, slots=True)
class Myself:
    """The member that plans. `led_epoch` is the epoch of the last entry of its log."""

    member: Member
    incarnation: int
    log_epoch: int
    started: float
    leaving: bool
    disk_ms: int
    serving: bool  # it is the head, and every member of the chain is reconciled with it
    least_chain: int  # members that must hold an entry before it is acknowledged


def may_lead(view: View, me: Myself) -> bool:
    """Whether this member's log holds all that was committed up to the view."""
    place = view.place(me.member)
    if place is None:
        return False
    # a member that was in every chain from the first on has synced all that was ever committed, even if that is nothing
    return place.joined <= FIRST_EPOCH or me.log_epoch >= place.joined


def in_touch_with_majority(now: float, view: View, me: Myself, liveness: Liveness) -> bool:
    """Whether this member and a majority of the voters hear each other."""
    joined = sum(voter == me.member or _is_there(now, voter, liveness) for voter in view.voters)
    return joined >= view.majority()


def majority_without(now: float, view: View, member: Member, liveness: Liveness) -> bool:
    """Whether the voters that this member (`member`) hears, and that hear it, are a majority without it."""
    others = sum(voter != member and _is_there(now, voter, liveness) for voter in view.voters)
    return member not in view.voters or others >= view.majority()


def _is_there(now: float, member: Member, liveness: Liveness) -> bool:
    identity = liveness.identity(member.address)
    return identity is not None and identity[0] == member and liveness.joined_both_ways(now, member.address)


def head_failure(now: float, view: View, me: Myself, liveness: Liveness) -> ViewCause | None:
    """What is wrong with the head of the view; None where it still runs and a majority of the voters that this member
    hears still hears it."""
    head = view.head
    if head is None:
        return ViewCause.HEAD_ENDED
    if head.member == me.member:
        return None if head.incarnation == me.incarnation else ViewCause.HEAD_RESTARTED
    if liveness.has_ended(head.member.address, head.incarnation):
        return ViewCause.HEAD_ENDED
    contact = liveness.contact(head.member.address)
    if contact is not None and now - contact.heard_at <= liveness.suspect_s:
        beat = contact.heartbeat
        if beat.sender != head.member or beat.incarnation != head.incarnation:
            return ViewCause.HEAD_RESTARTED
        if beat.leaving:
            return ViewCause.HEAD_LEAVING
        # a head that is heard, but hears no majority itself, cannot commit
        joined = _heard_by_head(now, view, contact.ages, liveness.suspect_s)
        return None if joined else ViewCause.HEAD_ISOLATED
    hearing = sum(
        voter != head.member and liveness.hears(now, voter.address, head.member.address)
        for voter in view.voters
        if voter != me.member
    )
    return None if hearing + 1 >= view.majority() else ViewCause.HEAD_SILENT


def head_is_well(now: float, view: View, me: Myself, liveness: Liveness) -> bool:
    """Whether nothing is wrong with the head of the view."""
    return head_failure(now, view, me, liveness) is None


def _heard_by_head(now: float, view: View, ages: dict[str, float], suspect_s: float) -> bool:
    heard = 1 + sum(
        now - ages.get(voter.address, float("-inf")) <= ANSWERED_X * suspect_s
        for voter in view.voters
        if view.head is not None and voter != view.head.member
    )
    return heard >= view.majority()


def _clique(now: float, me: Myself, liveness: Liveness, candidates: list[Heartbeat]) -> list[Heartbeat]:
    """Of the candidates, in order, those that hear each other and this member."""
    chosen: list[Heartbeat] = []
    for beat in candidates:
        address = beat.sender.address
        if all(liveness.pair_joined(now, address, other.sender.address) for other in chosen):
            chosen.append(beat)
    return chosen


def _candidates(now: float, view: View, me: Myself, liveness: Liveness, voters: tuple[Member, ...]) -> list[Heartbeat]:
    """Who could stand behind this member in a chain: first those of the present chain, in its order. A member of the
    chain that leaves stays until enough others hold all that was committed."""
    beats = {
        address: contact.heartbeat
        for address, contact in liveness.contacts().items()
        if contact.heartbeat.sender.disk and address != me.member.address and liveness.joined_both_ways(now, address)
    }
    order: list[Heartbeat] = []
    restarted: list[Heartbeat] = []
    leaving: list[Heartbeat] = []
    for place in view.chain:
        beat = beats.get(place.member.address)
        if beat is not None and beat.sender == place.member:
            del beats[place.member.address]
            steady = beat.incarnation == place.incarnation
            if beat.leaving:
                leaving += [beat] if steady else []
            else:
                (order if steady else restarted).append(beat)
    if len(order) + (not me.leaving) < me.least_chain or not me.serving:
        order += leaving  # what they hold is not on enough other disks yet
    fresh = [
        beat
        for address, beat in sorted(beats.items())
        if beat.sender in voters and now - liveness.contacts()[address].since >= SETTLED_S
    ]
    found = order + restarted + [beat for beat in fresh if not beat.leaving]
    if len(found) + 1 < me.least_chain:
        found += [beat for beat in fresh if beat.leaving]  # without them nothing could be acknowledged
    return found


def wanted_chain(
    now: float, view: View, me: Myself, liveness: Liveness, voters: tuple[Member, ...]
) -> tuple[ChainMember, ...]:
    """The chain that this member would lead, or hand over if it leaves; `voters` of the next view may join."""
    behind = _clique(now, me, liveness, _candidates(now, view, me, liveness, voters))
    in_chain = {(place.member, place.incarnation) for place in view.chain}
    enough = me.least_chain - (0 if me.leaving else 1)
    well: list[Heartbeat] = []
    slow: list[Heartbeat] = []
    for beat in behind:
        limit = SLOW_DISK_MS if (beat.sender, beat.incarnation) in in_chain else WELL_DISK_MS
        (well if beat.disk_ms <= limit else slow).append(beat)
    slow.sort(key=lambda beat: beat.disk_ms)
    while len(well) < enough and slow:
        well.append(slow.pop(0))
    chosen = [beat for beat in behind if beat in well]
    mine = ChainMember(me.member, me.incarnation, 0)
    places = tuple(ChainMember(beat.sender, beat.incarnation, 0) for beat in chosen)
    if not _can_hand_over(view, me, chosen):
        return (mine, *places)
    if me.leaving and _copies(view, chosen) < me.least_chain <= len(chosen):
        return (mine, *places)  # those that join first copy what this member holds
    if me.leaving or (me.disk_ms > SLOW_DISK_MS and len(chosen) >= me.least_chain):
        return places
    return (mine, *places)


def _can_hand_over(view: View, me: Myself, chosen: list[Heartbeat]) -> bool:
    """Whether the first of those chosen is in the chain now, as the process that it is: it holds all."""
    if not me.serving or not chosen:
        return False
    first = chosen[0]
    return any(place.member == first.sender and place.incarnation == first.incarnation for place in view.chain)


def _copies(view: View, chosen: list[Heartbeat]) -> int:
    """How many of those chosen were in the chain that serves: they hold all that was committed."""
    steady = {(place.member, place.incarnation) for place in view.chain}
    return sum((beat.sender, beat.incarnation) in steady for beat in chosen)


def wanted_voters(now: float, view: View, me: Myself, liveness: Liveness) -> tuple[Member, ...]:
    """The voters of the next view, all changes at once: members that are new come, and take the places of voters that
    are gone for good or not heard; and voters that have been silent for long go where the majority of the others gains
    by it."""
    kept = [voter for voter in view.voters if voter == me.member or not _has_another_disk(now, voter, liveness)]
    fresh = _newcomers(now, view, liveness)
    silent = [voter for voter in kept if voter != me.member and not _is_there(now, voter, liveness)]
    silent.sort(key=lambda voter: -liveness.silent_for(now, voter.address))
    vacant = len(view.voters) - len(kept)
    for voter in silent[: max(0, len(fresh) - vacant)]:
        kept.remove(voter)
    voters = _without_dead(now, [*kept, *fresh], me, liveness)
    there = sum(voter == me.member or _is_there(now, voter, liveness) for voter in voters)
    if 2 * there <= len(voters) or set(voters) == set(view.voters):
        return view.voters
    return tuple(voters)


def _has_another_disk(now: float, voter: Member, liveness: Liveness) -> bool:
    """Whether a voter never returns, since its machine has another disk, which can take its place by now."""
    contact = liveness.contact(voter.address)
    if contact is None or contact.heartbeat.sender.disk in (0, voter.disk):
        return False
    return now - contact.since >= SETTLED_S


def _newcomers(now: float, view: View, liveness: Liveness) -> list[Member]:
    """Members with a disk that do not vote, have been heard for a while without a gap, and stay."""
    found = []
    for address, contact in sorted(liveness.contacts().items()):
        beat = contact.heartbeat
        if not beat.sender.disk or beat.leaving or beat.sender in view.voters:
            continue
        if liveness.joined_both_ways(now, address) and now - contact.since >= SETTLED_S:
            found.append(beat.sender)
    return found


def _without_dead(now: float, voters: list[Member], me: Myself, liveness: Liveness) -> list[Member]:
    """The voters without those that have been silent for long, as far as a majority of the rest gains by it."""
    dead = [
        voter
        for voter in voters
        if voter != me.member and min(liveness.silent_for(now, voter.address), now - me.started) > DEAD_VOTER_S
    ]
    left = list(voters)
    for voter in dead:
        live = sum(other == me.member or _is_there(now, other, liveness) for other in left)
        if len(left) <= FEWEST_VOTERS or _slack(live, len(left) - 1) <= _slack(live, len(left)):
            continue
        left.remove(voter)
    return left


def _slack(live: int, voters: int) -> int:
    """How many live voters a majority can do without."""
    return live - (voters // 2 + 1)


def plan_as_head(now: float, view: View, me: Myself, liveness: Liveness) -> ViewProposal | None:
    """At the head: the view to propose, if any."""
    if not in_touch_with_majority(now, view, me, liveness):
        return None
    voters = wanted_voters(now, view, me, liveness)
    chain = wanted_chain(now, view, me, liveness, voters)
    if len(chain) < me.least_chain <= len(view.chain) and not me.leaving:
        more = _more_voters(view, voters)
        return ViewProposal(more, ViewCause.VOTERS, (), me.disk_ms) if more is not None else None
    same = [(place.member, place.incarnation) for place in chain] == [
        (place.member, place.incarnation) for place in view.chain
    ]
    if same and voters == view.voters:
        return None
    chain = tuple(place for place in chain if place.member in voters) or chain
    wanted = next_view(view, chain, voters)
    return ViewProposal(wanted, _cause_at_head(wanted, me, same), _departed(now, view, wanted, liveness), me.disk_ms)


def _cause_at_head(wanted: View, me: Myself, same_chain: bool) -> ViewCause:
    if wanted.place(me.member) is None:
        return ViewCause.LEAVING if me.leaving else ViewCause.OWN_DISK_SLOW
    return ViewCause.VOTERS if same_chain else ViewCause.MEMBERS


def _departed(now: float, view: View, wanted: View, liveness: Liveness) -> tuple[Departed, ...]:
    """Which members of the chain are not in the wanted one as the process that they were, and why."""
    kept = {(place.member, place.incarnation) for place in wanted.chain}
    return tuple(
        Departed(place.member.address, _why_departed(now, place, liveness))
        for place in view.chain
        if (place.member, place.incarnation) not in kept
    )


def _why_departed(now: float, place: ChainMember, liveness: Liveness) -> Departure:
    contact = liveness.contact(place.member.address)
    if contact is None or now - contact.heard_at > liveness.suspect_s:
        return Departure.SILENT
    beat = contact.heartbeat
    if (beat.sender, beat.incarnation) != (place.member, place.incarnation):
        return Departure.RESTARTED
    if beat.leaving:
        return Departure.LEAVING
    return Departure.DISK_SLOW if beat.disk_ms > SLOW_DISK_MS else Departure.APART


def keeps_chain(view: View, wanted: View) -> bool:
    """Whether all members of the chain are in the wanted one: there is nobody to wait for."""
    return {place.member for place in view.chain} <= {place.member for place in wanted.chain}


def _more_voters(view: View, voters: tuple[Member, ...]) -> View | None:
    """A shorter chain could acknowledge nothing, so the present one waits for its members to come back. Meanwhile
    voters may come, which can then take a place in it."""
    kept = all(place.member in voters for place in view.chain)
    return next_view(view, view.chain, voters) if kept and voters != view.voters else None


def rank(now: float, view: View, me: Myself, liveness: Liveness) -> int | None:
    """How many others of the chain come before this member in proposing itself as head: those whose process is still
    the one of the view come first, then the restarted ones, each in the chain's order. None: it may not lead."""
    if not may_lead(view, me) or me.leaving or view.place(me.member) is None:
        return None
    ahead = 0
    mine_steady = any(place.member == me.member and place.incarnation == me.incarnation for place in view.chain)
    before = True
    for place in view.chain:
        if place.member == me.member:
            before = False
            continue
        identity = liveness.identity(place.member.address)
        if identity is None or identity[0] != place.member or not _is_there(now, place.member, liveness):
            continue
        if place == view.head and identity[1] == place.incarnation:
            continue  # the head itself is not well: that is why this member may lead
        contact = liveness.contact(place.member.address)
        if contact is not None and contact.heartbeat.leaving:
            continue
        steady = identity[1] == place.incarnation
        if (steady and not mine_steady) or (steady == mine_steady and before):
            ahead += 1
    return ahead


def plan_as_successor(
    now: float, view: View, me: Myself, liveness: Liveness, failure: ViewCause
) -> ViewProposal | None:
    """At a member that takes over from a head that is gone by `failure`: the view to propose, if any."""
    if not in_touch_with_majority(now, view, me, liveness):
        return None
    chain = wanted_chain(now, view, me, liveness, view.voters)
    if chain[0].member != me.member or len(chain) < min(me.least_chain, len(view.voters)):
        return None
    wanted = next_view(view, chain)
    return ViewProposal(wanted, failure, _departed(now, view, wanted, liveness), me.disk_ms)
