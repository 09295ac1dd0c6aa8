"""A core member: combines heartbeats, the agreed view and the chain. It does no input or output itself.

`Replica` is driven by datagrams, links, disk completions and `tick`, and acts through `ReplicaPorts`. Times are seconds
of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

from millethead.replication.chain import Chain
from millethead.replication.chain_ports import ChainPorts, Link, Role
from millethead.replication.heartbeat_monitor import HeartbeatMonitor
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import (
    BarrierAck,
    ChainAck,
    ChainHello,
    ChainPosition,
    ChainSnapshotAck,
    Heartbeat,
    PaxosMessage,
    ViewAnnouncement,
)
from millethead.replication.proposal import ViewCause, ViewProposal
from millethead.replication.snapshot_transfer import PART_BYTES
from millethead.replication.view import NO_VIEW, ChainMember, Member, View
from millethead.replication.view_planning import (
    RESTART_DELAY_S,
    TAKEOVER_RANK_DELAY_S,
    LocalMember,
    has_majority_without,
    head_failure,
    keeps_all_members,
    plan_as_head,
    plan_takeover,
    takeover_rank,
)
from millethead.replication.view_register import AgreementPorts, KnownView, ViewRegister
from millethead.rollout.register import AcceptorState
from millethead.rpc.codec import Record

FIRST_PLAN_DELAY_S = 0.03  # delay from the start of a process until its first proposal
# delay between the queries of successive chain members after a restart, so that their ballots do not compete
QUERY_STAGGER_S = 0.06
STARTUP_S = 0.6  # time after the start of a process during which it sends heartbeats more often
STARTUP_HEARTBEAT_PERIOD_S = 0.05
# delay of the next heartbeat after a new process appears; it covers several new processes
NEW_PEER_HEARTBEAT_DELAY_S = 0.02
CONTACT_RETENTION_S = 60  # silence after which the contact of an address outside the view is dropped
BOOTSTRAP_FALLBACK_S = 1.0  # time after which other members than the first voter propose the first view
EPOCH_START_PAYLOAD = b""  # payload of the first entry of each epoch


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """`period_s`: heartbeat period; `observer_period_s`: that of members without a disk; `suspicion_timeout_s`: time
    without a heartbeat after which a member is suspected; `min_chain_length`: minimum number of chain members that must
    sync an entry before it is committed."""

    period_s: float = 0.1
    observer_period_s: float = 0.5
    suspicion_timeout_s: float = 0.45
    min_chain_length: int = 2
    snapshot_part_bytes: int = PART_BYTES


class ReplicaPorts(Protocol):
    """Environment of a replica, besides the disk and the links of `ChainPorts`."""

    def datagram(self, address: str, record: Record) -> None: ...

    def view_changed(self, view: View) -> None: ...

    def proposing(self, proposal: ViewProposal) -> None:
        """This member proposes a view to the voters."""
        ...

    def serving(self, epoch: int) -> None:
        """This member is the head, and its state contains all entries committed before its epoch."""
        ...

    def continue_in_view(self, view: View) -> None:
        """This member was the serving head and is also the head of the next view. No other member has led in between,
        so its results and sessions remain valid. Pending barriers are void."""
        ...

    def deposed(self) -> None:
        """This member is no longer the head. Results of uncommitted entries must not be returned."""
        ...

    def disk_ms(self) -> int:
        """Returns the longest recent sync in ms, or the age of a pending one if that is longer."""
        ...


class _RegisterPorts(AgreementPorts):
    def __init__(self, replica: Replica, save: Callable[[AcceptorState, Callable[[], None]], None]) -> None:
        self._replica, self._save = replica, save

    def send(self, address: str, message: PaxosMessage) -> None:
        self._replica.send_datagram(address, message)

    def save(self, kept: AcceptorState, done: Callable[[], None]) -> None:
        self._save(kept, done)


class Replica:
    """One process of the core. `seeds` are internal addresses. `bootstrapping`: this is the first start of the whole
    core."""

    def __init__(
        self,
        member: Member,
        incarnation: int,
        settings: ReplicaSettings,
        ports: ReplicaPorts,
        chain_ports: ChainPorts,
        save: Callable[[AcceptorState, Callable[[], None]], None],
        log: ReplicatedLog,
        kept: AcceptorState,
        seeds: tuple[str, ...],
        bootstrapping: bool,
        now: float,
        random: Random,
    ) -> None:
        self.member, self.incarnation, self.settings, self._ports = member, incarnation, settings, ports
        self.monitor = HeartbeatMonitor(member.address, settings.suspicion_timeout_s)
        self.chain = Chain(member, incarnation, log, chain_ports, settings.snapshot_part_bytes)
        self.register = ViewRegister(member, incarnation, _RegisterPorts(self, save), kept, random, self._view_agreed)
        self.view = NO_VIEW
        self.leaving = False
        self.bootstrapping = bootstrapping and member.disk != 0
        self._seeds = seeds
        self._started = now
        self._now = now
        self._epoch_start_sequence = 0
        self._serving_epoch = 0  # the newest epoch whose head is known to serve
        self._serving = False  # this member is the head, and its chain is reconciled
        self._announced_as_head = False  # `ports.serving` was called, and this member has been the head ever since
        self._head_failed_since: float | None = None
        self._next_heartbeat = now
        self._next_plan = now + FIRST_PLAN_DELAY_S

    # ---- status ------------------------------------------------------------------------------------------

    @property
    def serving(self) -> bool:
        """Whether this member is the head, and its whole chain holds all entries committed before its epoch."""
        return self._serving

    @property
    def head_address(self) -> str:
        """The address of the head of the newest known view, or an empty string."""
        return self.view.chain[0].member.address if self.view.chain else ""

    def local_state(self, now: float) -> LocalMember:
        return LocalMember(
            self.member,
            self.incarnation,
            self.chain.log.last[0],
            self._started,
            self.leaving,
            self._ports.disk_ms(),
            self._serving,
            self.settings.min_chain_length,
        )

    def peers(self) -> set[str]:
        """Returns the addresses that receive heartbeats and announcements from this member."""
        known = set(self.view.addresses()) | set(self._seeds)
        known |= {
            address
            for address, contact in self.monitor.contacts().items()
            if contact.heartbeat.sender.disk or self.member.disk
        }
        known.discard(self.member.address)
        return known

    # ---- timers ------------------------------------------------------------------------------------------

    def next_tick(self) -> float:
        return min(self._next_heartbeat, self._next_plan)

    def tick(self, now: float) -> None:
        self._now = now
        self.register.tick(now)
        if now >= self._next_heartbeat:
            self._send_heartbeats(now)
        if now >= self._next_plan:
            self._next_plan = now + self.settings.period_s / 2
            self._plan(now)

    def _send_heartbeats(self, now: float) -> None:
        period = self.settings.period_s if self.member.disk else self.settings.observer_period_s
        self._next_heartbeat = now + (
            min(period, STARTUP_HEARTBEAT_PERIOD_S) if now < self._started + STARTUP_S else period
        )
        heartbeat = self._heartbeat(now)
        for address in self.peers():
            self.send_datagram(address, heartbeat)
        for address, contact in list(self.monitor.contacts().items()):
            if now - contact.received_at > CONTACT_RETENTION_S and address not in self.view.addresses():
                self.monitor.forget(address)

    def _heartbeat(self, now: float) -> Heartbeat:
        return Heartbeat(
            self.member,
            self.incarnation,
            self.view.epoch,
            self._ports.disk_ms(),
            self.leaving,
            self.bootstrapping,
            self.member.disk == 0,
            self._serving,
            self.monitor.contact_ages(now),
        )

    @property
    def handed_over(self) -> bool:
        """Whether this member may exit: neither its data nor its vote is needed any more.

        Its data is not needed once the head of a view without this member serves, because enough disks then hold all
        committed entries. Agreement on such a view is not sufficient, because its chain may still be copying. Its vote
        is not needed if the other connected voters are a majority.
        """
        if not self.member.disk:
            return True
        copied = self.chain.role is Role.NOT_IN_CHAIN and self._serving_epoch == self.view.epoch
        return copied and has_majority_without(self._now, self.view, self.member, self.monitor)

    def _record_serving_head(self, heartbeat: Heartbeat) -> None:
        """Records the epoch if the head of the current view announces that it serves."""
        head = self.view.head
        if head is None or (head.member, head.incarnation) != (heartbeat.sender, heartbeat.incarnation):
            return
        if heartbeat.serving and heartbeat.epoch == self.view.epoch:
            self._serving_epoch = heartbeat.epoch

    def leave(self, now: float) -> None:
        """Starts the hand-over before a shutdown of this process."""
        self._now = now
        self.leaving = True
        self._send_heartbeats(now)
        self._plan(now)

    # ---- datagrams ---------------------------------------------------------------------------------------

    def send_datagram(self, address: str, record: Record) -> None:
        if address == self.member.address:
            if isinstance(record, PaxosMessage):
                self.register.receive(self._now, address, record)
            return
        self._ports.datagram(address, record)

    def receive(self, now: float, record: Record, sender: str) -> None:
        """Processes a datagram from `sender` (host:port of its socket)."""
        self._now = now
        match record:
            case Heartbeat():
                self._receive_heartbeat(now, record)
            case ViewAnnouncement(view=view):
                self.adopt(view)
            case PaxosMessage():
                self.register.receive(now, sender, record)

    def _receive_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        address = heartbeat.sender.address
        if address == self.member.address:
            return
        changed = self.monitor.record_heartbeat(now, heartbeat)
        self._record_serving_head(heartbeat)
        if heartbeat.epoch < self.view.epoch:
            self.send_datagram(address, ViewAnnouncement(self.view))
        if changed:
            self._next_plan = min(self._next_plan, now)
            if self.monitor.contacts()[address].connected_since == now:
                self._ports.datagram(address, self._heartbeat(now))  # announces this process to the new one at once
                # updates the contact ages at all members soon
                self._next_heartbeat = min(self._next_heartbeat, now + NEW_PEER_HEARTBEAT_DELAY_S)
                self.register.retransmit_next_tick()  # the new process may be the voter missing for a majority

    def process_ended(self, now: float, neighbour: ChainMember) -> None:
        """The process of a chain neighbour has ended, because nothing listens on its address any more."""
        self.monitor.process_ended(now, neighbour.member.address, neighbour.incarnation)
        self._next_plan = min(self._next_plan, now)

    # ---- views -------------------------------------------------------------------------------------------

    def _view_agreed(self, view: View) -> None:
        changed = view.epoch > self.view.epoch
        self.adopt(view)
        if changed:
            for address in self.peers():
                self.send_datagram(address, ViewAnnouncement(view))

    def adopt(self, view: View) -> None:
        """Adopts an agreed view if it is newer than the current one."""
        if view.epoch <= self.view.epoch:
            return
        was_head = self.chain.role is Role.HEAD
        self._announced_as_head = self._announced_as_head and self._is_next_with_same_head(view)
        self.view = view
        self.bootstrapping = False
        self._head_failed_since = None
        self._serving = False
        self.chain.enter_view(view, self._announced_as_head)
        if self._announced_as_head:
            self._ports.continue_in_view(view)
        elif was_head:
            self._ports.deposed()
        self._ports.view_changed(view)
        if self.chain.role is Role.HEAD:
            self._epoch_start_sequence, _ = self.chain.propose(EPOCH_START_PAYLOAD)

    def _is_next_with_same_head(self, view: View) -> bool:
        """Whether `view` directly follows the current one, has the same process as its head, and its chain is long
        enough to commit. If a view in between was missed, its head may have committed entries unknown to this
        member."""
        before, after = self.view.head, view.head
        return (
            view.epoch == self.view.epoch + 1
            and before is not None
            and after is not None
            and (after.member, after.incarnation) == (before.member, before.incarnation)
            and len(view.chain) >= self.settings.min_chain_length
        )

    def chain_committed(self, sequence: int) -> None:
        """The commit point of the chain has advanced. The first commit of an epoch makes this member the serving
        head."""
        if (
            not self._serving
            and self.chain.role is Role.HEAD
            and sequence >= self._epoch_start_sequence
            and len(self.view.chain) >= self.settings.min_chain_length
        ):
            self._serving = True
            self._next_heartbeat = self._now  # a leaving member waits for this heartbeat
            if not self._announced_as_head:
                self._announced_as_head = True
                self._ports.serving(self.view.epoch)

    def _plan(self, now: float) -> None:
        if not self.member.disk or self.register.busy:
            return
        if self.view.epoch == 0:
            self._bootstrap(now)
        elif self.chain.role is Role.HEAD:
            wanted = plan_as_head(now, self.view, self.local_state(now), self.monitor)
            if wanted is not None:
                self._propose(now, self.view.epoch, wanted, self.view)
        else:
            self._plan_takeover(now)

    def _propose(self, now: float, expected: int, proposal: ViewProposal, known: View) -> None:
        """Proposes a view that replaces the one of epoch `expected`. The voters of `known` receive the first
        request."""
        # an entry of an epoch proves that its view was agreed: only a head that has adopted the view creates entries
        agreed_epoch = max(self.view.epoch, self.chain.log.last[0])
        if self.register.propose(now, expected, proposal.view, KnownView(known, agreed_epoch)):
            self._ports.proposing(proposal)

    def _plan_takeover(self, now: float) -> None:
        local = self.local_state(now)
        failure = head_failure(now, self.view, local, self.monitor)
        if failure is None:
            self._head_failed_since = None
            return
        if self._head_failed_since is None:
            self._head_failed_since = now
        own_rank = takeover_rank(now, self.view, local, self.monitor)
        if own_rank is None:
            return
        failed_s = now - self._head_failed_since
        if failed_s < own_rank * TAKEOVER_RANK_DELAY_S:
            return
        wanted = plan_takeover(now, self.view, local, self.monitor, failure)
        if wanted is None:
            return
        if self._recently_restarted(failed_s - own_rank * TAKEOVER_RANK_DELAY_S) and not keeps_all_members(
            self.view, wanted.view
        ):
            return
        self._propose(now, self.view.epoch, wanted, self.view)

    def _recently_restarted(self, waited_s: float) -> bool:
        """Whether this process has recently restarted, so that other members that crashed with it may still be
        starting."""
        restarted = self.chain.role is Role.NOT_IN_CHAIN
        return restarted and min(waited_s, self._now - self._started) < RESTART_DELAY_S

    def _bootstrap(self, now: float) -> None:
        """Proposes a view when none is known: the one this member's acceptor has accepted, otherwise an initial view of
        the seeds that have a disk."""
        accepted = self.register.accepted_view()
        if accepted.epoch:
            # after a restart: other members may have accepted a newer view, so the register is queried
            if now - self._started >= FIRST_PLAN_DELAY_S + QUERY_STAGGER_S * _chain_index(accepted, self.member):
                self._propose(now, -1, ViewProposal(accepted, ViewCause.RESTARTED), accepted)
            return
        if not self.bootstrapping:
            return
        voters = self._initial_voters()
        if voters is None or self.member not in voters:
            return
        first = min(voters)
        if first != self.member and now - self._started < BOOTSTRAP_FALLBACK_S:
            return
        chain = [ChainMember(self.member, self.incarnation, 1)]
        for voter in voters:
            identity = self.monitor.identity(voter.address)
            if voter != self.member and identity is not None:
                chain.append(ChainMember(voter, identity[1], 1))
        first_view = View(1, voters, tuple(chain))
        self._propose(now, 0, ViewProposal(first_view, ViewCause.FIRST_START), replace(first_view, epoch=0))

    def _initial_voters(self) -> tuple[Member, ...] | None:
        """Returns the seeds that have a disk, or None until a heartbeat of every seed has arrived."""
        members = []
        for address in self._seeds:
            if address == self.member.address:
                members.append(self.member)
                continue
            identity = self.monitor.identity(address)
            if identity is None:
                return None
            if identity[0].disk:
                members.append(identity[0])
        return tuple(sorted(members))

    # ---- links -------------------------------------------------------------------------------------------

    def link_record(self, now: float, link: Link, record: Record) -> bool:
        """Processes a record from a chain link. Returns whether the link stays open."""
        self._now = now
        match record:
            case ChainHello(view=view):
                self.adopt(view)
                return self.chain.receive_hello(link, record)
            case ChainPosition() | ChainSnapshotAck() | ChainAck() | BarrierAck():
                self.chain.receive_from_successor(link, record)
            case _:
                self.chain.receive_from_predecessor(link, record)
        return True


def _chain_index(view: View, member: Member) -> int:
    """Returns the index of a member in the chain of a view, or the length of the chain if it is not in it."""
    members = [chain_member.member for chain_member in view.chain]
    return members.index(member) if member in members else len(members)
