"""Decides which view should follow the current one, and which member should propose it. Pure functions of received
heartbeats.

Safety does not depend on this module: a proposal of any member for which `may_lead` holds is safe, because the head of
the new chain then has all committed entries. This module decides when a change is worthwhile.
"""

from __future__ import annotations

from dataclasses import dataclass

from millethead.replication.heartbeat_monitor import PEER_SUSPICION_FACTOR, STABLE_CONTACT_S, HeartbeatMonitor
from millethead.replication.messages import Heartbeat
from millethead.replication.proposal import DepartedMember, Departure, ViewCause, ViewProposal
from millethead.replication.view import ChainMember, Member, View, next_view

SLOW_DISK_MS = 160  # a member with slower syncs is removed from the chain if enough others remain
HEALTHY_DISK_MS = 80  # a removed member may return once its syncs are at most this slow
VOTER_REMOVAL_TIMEOUT_S = 2.0  # silence after which a voter may be removed
TAKEOVER_RANK_DELAY_S = 0.2  # delay per rank between members that propose themselves as head
FIRST_EPOCH = 1
MIN_VOTERS = 3  # silent voters are not removed below this number
RESTART_DELAY_S = 0.25  # after a crash of all members, the first to restart waits this long for the others


@dataclass(frozen=True, slots=True)
class LocalMember:
    """The state of the member that plans. `log_epoch` is the epoch of the last entry in its log. Times are seconds of
    the monotonic clock."""

    member: Member
    incarnation: int
    log_epoch: int
    started: float
    leaving: bool
    disk_ms: int
    serving: bool  # it is the head, and all chain members are reconciled with it
    min_chain_length: int  # minimum number of chain members that must sync an entry before it is committed


def may_lead(view: View, local: LocalMember) -> bool:
    """Whether this member's log holds all entries committed up to the view."""
    chain_member = view.chain_member(local.member)
    if chain_member is None:
        return False
    # a member of every chain since the first has synced all committed entries, even if there are none
    return chain_member.joined <= FIRST_EPOCH or local.log_epoch >= chain_member.joined


def is_connected_to_majority(now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor) -> bool:
    """Whether this member is connected to a majority of the voters, itself included."""
    connected_voters = sum(voter == local.member or _is_connected(now, voter, monitor) for voter in view.voters)
    return connected_voters >= view.majority()


def has_majority_without(now: float, view: View, member: Member, monitor: HeartbeatMonitor) -> bool:
    """Whether the voters that this member (`member`) is connected to are a majority without it."""
    others = sum(voter != member and _is_connected(now, voter, monitor) for voter in view.voters)
    return member not in view.voters or others >= view.majority()


def _is_connected(now: float, member: Member, monitor: HeartbeatMonitor) -> bool:
    identity = monitor.identity(member.address)
    return identity is not None and identity[0] == member and monitor.is_connected(now, member.address)


def head_failure(now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor) -> ViewCause | None:
    """Returns what is wrong with the head of the view. Returns None if it is running and, according to the heartbeats
    of the voters, a majority of them still receives its heartbeats."""
    head = view.head
    if head is None:
        return ViewCause.HEAD_ENDED
    if head.member == local.member:
        return None if head.incarnation == local.incarnation else ViewCause.HEAD_RESTARTED
    if monitor.has_ended(head.member.address, head.incarnation):
        return ViewCause.HEAD_ENDED
    contact = monitor.contact(head.member.address)
    if contact is not None and now - contact.received_at <= monitor.suspicion_timeout_s:
        heartbeat = contact.heartbeat
        if heartbeat.sender != head.member or heartbeat.incarnation != head.incarnation:
            return ViewCause.HEAD_RESTARTED
        if heartbeat.leaving:
            return ViewCause.HEAD_LEAVING
        # a head that does not receive the heartbeats of a majority cannot commit
        receives_from_majority = _head_receives_from_majority(
            now, view, contact.peer_received_at, monitor.suspicion_timeout_s
        )
        return None if receives_from_majority else ViewCause.HEAD_ISOLATED
    receiving_voters = sum(
        voter != head.member and monitor.peer_receives(now, voter.address, head.member.address)
        for voter in view.voters
        if voter != local.member
    )
    return None if receiving_voters + 1 >= view.majority() else ViewCause.HEAD_SILENT


def is_head_healthy(now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor) -> bool:
    """Whether the head of the view has not failed."""
    return head_failure(now, view, local, monitor) is None


def _head_receives_from_majority(
    now: float, view: View, peer_received_at: dict[str, float], suspicion_timeout_s: float
) -> bool:
    """Whether the head receives heartbeats from a majority of the voters."""
    received_voters = 1 + sum(
        now - peer_received_at.get(voter.address, float("-inf")) <= PEER_SUSPICION_FACTOR * suspicion_timeout_s
        for voter in view.voters
        if view.head is not None and voter != view.head.member
    )
    return received_voters >= view.majority()


def _mutually_connected(
    now: float, local: LocalMember, monitor: HeartbeatMonitor, candidates: list[Heartbeat]
) -> list[Heartbeat]:
    """Selects candidates, in order, that are all connected to each other."""
    chosen: list[Heartbeat] = []
    for heartbeat in candidates:
        address = heartbeat.sender.address
        if all(monitor.are_peers_connected(now, address, other.sender.address) for other in chosen):
            chosen.append(heartbeat)
    return chosen


def _chain_candidates(
    now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor, voters: tuple[Member, ...]
) -> list[Heartbeat]:
    """Returns the members that could follow this member in a chain, in order of preference: first those of the current
    chain, in its order. A chain member that is leaving stays until enough other members hold all committed entries."""
    heartbeats = {
        address: contact.heartbeat
        for address, contact in monitor.contacts().items()
        if contact.heartbeat.sender.disk and address != local.member.address and monitor.is_connected(now, address)
    }
    current: list[Heartbeat] = []
    restarted: list[Heartbeat] = []
    leaving: list[Heartbeat] = []
    for chain_member in view.chain:
        heartbeat = heartbeats.get(chain_member.member.address)
        if heartbeat is not None and heartbeat.sender == chain_member.member:
            del heartbeats[chain_member.member.address]
            same_process = heartbeat.incarnation == chain_member.incarnation
            if heartbeat.leaving:
                leaving += [heartbeat] if same_process else []
            else:
                (current if same_process else restarted).append(heartbeat)
    if len(current) + (not local.leaving) < local.min_chain_length or not local.serving:
        current += leaving  # their entries are not on enough other disks yet
    joining = [
        heartbeat
        for address, heartbeat in sorted(heartbeats.items())
        if heartbeat.sender in voters and now - monitor.contacts()[address].connected_since >= STABLE_CONTACT_S
    ]
    found = current + restarted + [heartbeat for heartbeat in joining if not heartbeat.leaving]
    if len(found) + 1 < local.min_chain_length:
        found += [heartbeat for heartbeat in joining if heartbeat.leaving]  # without them nothing could be committed
    return found


def plan_chain(
    now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor, voters: tuple[Member, ...]
) -> tuple[ChainMember, ...]:
    """Returns the chain that this member would lead, or hand over to if it leaves. The voters of the next view
    (`voters`) may join."""
    candidates = _mutually_connected(now, local, monitor, _chain_candidates(now, view, local, monitor, voters))
    in_chain = {(chain_member.member, chain_member.incarnation) for chain_member in view.chain}
    needed = local.min_chain_length - (0 if local.leaving else 1)
    healthy: list[Heartbeat] = []
    slow: list[Heartbeat] = []
    for heartbeat in candidates:
        limit = SLOW_DISK_MS if (heartbeat.sender, heartbeat.incarnation) in in_chain else HEALTHY_DISK_MS
        (healthy if heartbeat.disk_ms <= limit else slow).append(heartbeat)
    slow.sort(key=lambda heartbeat: heartbeat.disk_ms)
    while len(healthy) < needed and slow:
        healthy.append(slow.pop(0))
    chosen = [heartbeat for heartbeat in candidates if heartbeat in healthy]
    local_entry = ChainMember(local.member, local.incarnation, 0)
    entries = tuple(ChainMember(heartbeat.sender, heartbeat.incarnation, 0) for heartbeat in chosen)
    if not _can_hand_over(view, local, chosen):
        return (local_entry, *entries)
    if local.leaving and _complete_copies(view, chosen) < local.min_chain_length <= len(chosen):
        return (local_entry, *entries)  # joining members have to copy this member's log first
    if local.leaving or (local.disk_ms > SLOW_DISK_MS and len(chosen) >= local.min_chain_length):
        return entries
    return (local_entry, *entries)


def _can_hand_over(view: View, local: LocalMember, chosen: list[Heartbeat]) -> bool:
    """Whether the first chosen member is in the current chain with the same process, so that it holds all committed
    entries."""
    if not local.serving or not chosen:
        return False
    first = chosen[0]
    return any(
        chain_member.member == first.sender and chain_member.incarnation == first.incarnation
        for chain_member in view.chain
    )


def _complete_copies(view: View, chosen: list[Heartbeat]) -> int:
    """Returns how many chosen members are in the current serving chain, and therefore hold all committed entries."""
    current_processes = {(chain_member.member, chain_member.incarnation) for chain_member in view.chain}
    return sum((heartbeat.sender, heartbeat.incarnation) in current_processes for heartbeat in chosen)


def plan_voters(now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor) -> tuple[Member, ...]:
    """Returns the voters of the next view, with all changes at once. New members are added and replace voters that will
    never return or are not connected. Voters that have been silent for a long time are removed if that leaves the
    others a larger margin over a majority."""
    kept = [voter for voter in view.voters if voter == local.member or not _has_another_disk(now, voter, monitor)]
    joining = _joining_voters(now, view, monitor)
    silent = [voter for voter in kept if voter != local.member and not _is_connected(now, voter, monitor)]
    silent.sort(key=lambda voter: -monitor.silent_s(now, voter.address))
    vacant = len(view.voters) - len(kept)
    for voter in silent[: max(0, len(joining) - vacant)]:
        kept.remove(voter)
    voters = _without_silent_voters(now, [*kept, *joining], local, monitor)
    connected = sum(voter == local.member or _is_connected(now, voter, monitor) for voter in voters)
    if 2 * connected <= len(voters) or set(voters) == set(view.voters):
        return view.voters
    return tuple(voters)


def _has_another_disk(now: float, voter: Member, monitor: HeartbeatMonitor) -> bool:
    """Whether a voter will never return because its machine has another disk, which may already join."""
    contact = monitor.contact(voter.address)
    if contact is None or contact.heartbeat.sender.disk in (0, voter.disk):
        return False
    return now - contact.connected_since >= STABLE_CONTACT_S


def _joining_voters(now: float, view: View, monitor: HeartbeatMonitor) -> list[Member]:
    """Returns members with a disk that do not vote yet, have been in uninterrupted contact for a while and are not
    leaving."""
    found = []
    for address, contact in sorted(monitor.contacts().items()):
        heartbeat = contact.heartbeat
        if not heartbeat.sender.disk or heartbeat.leaving or heartbeat.sender in view.voters:
            continue
        if monitor.is_connected(now, address) and now - contact.connected_since >= STABLE_CONTACT_S:
            found.append(heartbeat.sender)
    return found


def _without_silent_voters(
    now: float, voters: list[Member], local: LocalMember, monitor: HeartbeatMonitor
) -> list[Member]:
    """Removes the voters that have been silent for a long time, where that gives the rest a larger margin over a
    majority."""
    long_silent = [
        voter
        for voter in voters
        if voter != local.member
        and min(monitor.silent_s(now, voter.address), now - local.started) > VOTER_REMOVAL_TIMEOUT_S
    ]
    remaining = list(voters)
    for voter in long_silent:
        connected = sum(other == local.member or _is_connected(now, other, monitor) for other in remaining)
        if len(remaining) <= MIN_VOTERS or _majority_margin(connected, len(remaining) - 1) <= _majority_margin(
            connected, len(remaining)
        ):
            continue
        remaining.remove(voter)
    return remaining


def _majority_margin(connected: int, voters: int) -> int:
    """Returns how many connected voters can fail before there is no majority."""
    return connected - (voters // 2 + 1)


def plan_as_head(now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor) -> ViewProposal | None:
    """At the head: returns the view to propose, if any."""
    if not is_connected_to_majority(now, view, local, monitor):
        return None
    voters = plan_voters(now, view, local, monitor)
    chain = plan_chain(now, view, local, monitor, voters)
    if len(chain) < local.min_chain_length <= len(view.chain) and not local.leaving:
        extended = _view_with_new_voters(view, voters)
        return ViewProposal(extended, ViewCause.VOTERS, (), local.disk_ms) if extended is not None else None
    same_chain = [(chain_member.member, chain_member.incarnation) for chain_member in chain] == [
        (chain_member.member, chain_member.incarnation) for chain_member in view.chain
    ]
    if same_chain and voters == view.voters:
        return None
    chain = tuple(chain_member for chain_member in chain if chain_member.member in voters) or chain
    wanted = next_view(view, chain, voters)
    return ViewProposal(
        wanted, _cause_at_head(wanted, local, same_chain), _departed(now, view, wanted, monitor), local.disk_ms
    )


def _cause_at_head(wanted: View, local: LocalMember, same_chain: bool) -> ViewCause:
    if wanted.chain_member(local.member) is None:
        return ViewCause.LEAVING if local.leaving else ViewCause.OWN_DISK_SLOW
    return ViewCause.VOTERS if same_chain else ViewCause.MEMBERS


def _departed(now: float, view: View, wanted: View, monitor: HeartbeatMonitor) -> tuple[DepartedMember, ...]:
    """Returns the chain members that are not in the wanted chain with the same process, with the reasons."""
    kept = {(chain_member.member, chain_member.incarnation) for chain_member in wanted.chain}
    return tuple(
        DepartedMember(chain_member.member.address, _departure_reason(now, chain_member, monitor))
        for chain_member in view.chain
        if (chain_member.member, chain_member.incarnation) not in kept
    )


def _departure_reason(now: float, chain_member: ChainMember, monitor: HeartbeatMonitor) -> Departure:
    contact = monitor.contact(chain_member.member.address)
    if contact is None or now - contact.received_at > monitor.suspicion_timeout_s:
        return Departure.SILENT
    heartbeat = contact.heartbeat
    if (heartbeat.sender, heartbeat.incarnation) != (chain_member.member, chain_member.incarnation):
        return Departure.RESTARTED
    if heartbeat.leaving:
        return Departure.LEAVING
    return Departure.DISK_SLOW if heartbeat.disk_ms > SLOW_DISK_MS else Departure.NOT_CONNECTED


def keeps_all_members(view: View, wanted: View) -> bool:
    """Whether all members of the current chain are in the wanted one, so that there is no member to wait for."""
    return {chain_member.member for chain_member in view.chain} <= {
        chain_member.member for chain_member in wanted.chain
    }


def _view_with_new_voters(view: View, voters: tuple[Member, ...]) -> View | None:
    """Returns a view with the current chain and the new voters. It is used when the wanted chain is too short to
    commit: the current chain waits for its members to return, and new voters can then join it."""
    kept = all(chain_member.member in voters for chain_member in view.chain)
    return next_view(view, view.chain, voters) if kept and voters != view.voters else None


def takeover_rank(now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor) -> int | None:
    """Returns how many other chain members propose themselves as head before this member. Members whose process is
    still that of the view come first, then restarted ones, each group in chain order. Returns None if this member may
    not lead."""
    if not may_lead(view, local) or local.leaving or view.chain_member(local.member) is None:
        return None
    ahead = 0
    local_same_process = any(
        chain_member.member == local.member and chain_member.incarnation == local.incarnation
        for chain_member in view.chain
    )
    before_local = True
    for chain_member in view.chain:
        if chain_member.member == local.member:
            before_local = False
            continue
        identity = monitor.identity(chain_member.member.address)
        if (
            identity is None
            or identity[0] != chain_member.member
            or not _is_connected(now, chain_member.member, monitor)
        ):
            continue
        if chain_member == view.head and identity[1] == chain_member.incarnation:
            continue  # the head has failed, which is why this member may take over
        contact = monitor.contact(chain_member.member.address)
        if contact is not None and contact.heartbeat.leaving:
            continue
        same_process = identity[1] == chain_member.incarnation
        if (same_process and not local_same_process) or (same_process == local_same_process and before_local):
            ahead += 1
    return ahead


def plan_takeover(
    now: float, view: View, local: LocalMember, monitor: HeartbeatMonitor, failure: ViewCause
) -> ViewProposal | None:
    """At a member that takes over from a head that has failed with `failure`: returns the view to propose, if any."""
    if not is_connected_to_majority(now, view, local, monitor):
        return None
    chain = plan_chain(now, view, local, monitor, view.voters)
    if chain[0].member != local.member or len(chain) < min(local.min_chain_length, len(view.voters)):
        return None
    wanted = next_view(view, chain)
    return ViewProposal(wanted, failure, _departed(now, view, wanted, monitor), local.disk_ms)
