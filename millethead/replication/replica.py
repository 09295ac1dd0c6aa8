"""A member of the core: liveness, the agreed view, and its place in the chain, put together. No input or output.

`Replica` is driven by datagrams, links, disk completions and `tick`; what it wants done goes through `ReplicaPorts`.
Times are seconds of the steady clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

from millethead.replication.agreement import AgreementPorts, KnownView, ViewRegister
from millethead.replication.chain import Chain
from millethead.replication.chain_ports import ChainPorts, Link, Role
from millethead.replication.copying import PART_BYTES
from millethead.replication.liveness import Liveness
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
from millethead.replication.planning import (
    RANK_DELAY_S,
    RESTART_WAIT_S,
    Myself,
    head_failure,
    keeps_chain,
    majority_without,
    plan_as_head,
    plan_as_successor,
    rank,
)
from millethead.replication.proposal import ViewCause, ViewProposal
from millethead.replication.view import NO_VIEW, ChainMember, Member, View
from millethead.rollout.register import AcceptorState
from millethead.rpc.codec import Record

FIRST_PLAN_S = 0.03  # from the start of a process until it may ask for the view
ASK_STEP_S = 0.06  # after the first of the chain the next one asks for the view, so that they do not outbid each other
YOUNG_S, YOUNG_PERIOD_S = 0.6, 0.05  # so long after its start a process sends heartbeats more often
NEWS_BEAT_S = 0.02  # from the first word of a new process until the next heartbeat, which covers several of them
START_OF_EPOCH = b""  # payload of the first entry of each epoch


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """`period_s` between heartbeats, `observer_period_s` for members without a disk, `suspect_s` of silence."""

    period_s: float = 0.1
    observer_period_s: float = 0.5
    suspect_s: float = 0.45
    least_chain: int = 2
    snapshot_part_bytes: int = PART_BYTES


class ReplicaPorts(Protocol):
    """What a replica needs of its surroundings, beside the disk and the links of `ChainPorts`."""

    def datagram(self, address: str, record: Record) -> None: ...

    def view_changed(self, view: View) -> None: ...

    def proposing(self, proposal: ViewProposal) -> None:
        """This member asks the voters for a view."""
        ...

    def serving(self, epoch: int) -> None:
        """This member is the head, and everything that was committed before is in its state."""
        ...

    def leads_on(self, view: View) -> None:
        """This member served as the head and is the head of the next view too: nobody else led in between, so that
        all it has told and promised stands. Barriers that were under way are void."""
        ...

    def deposed(self) -> None:
        """This member was the head and is it no more: nothing that was not committed will be answered for."""
        ...

    def disk_ms(self) -> int:
        """Longest sync lately in ms, or how long the present one is pending if that is more."""
        ...


class _Register(AgreementPorts):
    def __init__(self, replica: Replica, save: Callable[[AcceptorState, Callable[[], None]], None]) -> None:
        self._replica, self._save = replica, save

    def send(self, address: str, message: PaxosMessage) -> None:
        self._replica.send_datagram(address, message)

    def save(self, kept: AcceptorState, done: Callable[[], None]) -> None:
        self._save(kept, done)


class Replica:
    """One process of the core. `seeds` are internal addresses; `bootstrapping`: this is the first start of all."""

    def __init__(
        self,
        me: Member,
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
        self.me, self.incarnation, self.settings, self._ports = me, incarnation, settings, ports
        self.liveness = Liveness(me.address, settings.suspect_s)
        self.chain = Chain(me, incarnation, log, chain_ports, settings.snapshot_part_bytes)
        self.register = ViewRegister(me, incarnation, _Register(self, save), kept, random, self._agreed)
        self.view = NO_VIEW
        self.leaving = False
        self.bootstrapping = bootstrapping and me.disk != 0
        self._seeds = seeds
        self._started = now
        self._now = now
        self._epoch_start = 0
        self._settled_epoch = 0  # the newest of which this member knows that its head serves
        self._serving = False  # the chain of this view is reconciled with this head
        self._leads = False  # `ports.serving` was called, and this member has been the head since
        self._head_ill_since: float | None = None
        self._next_beat = now
        self._next_plan = now + FIRST_PLAN_S

    # ---- what others read --------------------------------------------------------------------------------

    @property
    def serving(self) -> bool:
        """Whether this member is the head, and all of its chain holds what was committed before."""
        return self._serving

    @property
    def head_address(self) -> str:
        """The head of the newest view known, or an empty text."""
        return self.view.chain[0].member.address if self.view.chain else ""

    def myself(self, now: float) -> Myself:
        return Myself(
            self.me,
            self.incarnation,
            self.chain.log.last[0],
            self._started,
            self.leaving,
            self._ports.disk_ms(),
            self._serving,
            self.settings.least_chain,
        )

    def peers(self) -> set[str]:
        """Everybody who is to hear from this member."""
        known = set(self.view.addresses()) | set(self._seeds)
        known |= {
            address
            for address, contact in self.liveness.contacts().items()
            if contact.heartbeat.sender.disk or self.me.disk
        }
        known.discard(self.me.address)
        return known

    # ---- time --------------------------------------------------------------------------------------------

    def next_tick(self) -> float:
        return min(self._next_beat, self._next_plan)

    def tick(self, now: float) -> None:
        self._now = now
        self.register.tick(now)
        if now >= self._next_beat:
            self._beat(now)
        if now >= self._next_plan:
            self._next_plan = now + self.settings.period_s / 2
            self._plan(now)

    def _beat(self, now: float) -> None:
        period = self.settings.period_s if self.me.disk else self.settings.observer_period_s
        self._next_beat = now + (min(period, YOUNG_PERIOD_S) if now < self._started + YOUNG_S else period)
        beat = self._heartbeat(now)
        for address in self.peers():
            self.send_datagram(address, beat)
        for address, contact in list(self.liveness.contacts().items()):
            if now - contact.heard_at > 60 and address not in self.view.addresses():
                self.liveness.forget(address)

    def _heartbeat(self, now: float) -> Heartbeat:
        return Heartbeat(
            self.me,
            self.incarnation,
            self.view.epoch,
            self._ports.disk_ms(),
            self.leaving,
            self.bootstrapping,
            self.me.disk == 0,
            self._serving,
            self.liveness.report(now),
        )

    @property
    def handed_over(self) -> bool:
        """Whether this member is needed no more. Not for its copy: the head of a view without it serves, with enough
        disks that hold all that was committed (that such a view was agreed says nothing of what its chain has copied).
        And not for its vote: a majority of the voters is there without it."""
        if not self.me.disk:
            return True
        copied = self.chain.role is Role.OUTSIDE and self._settled_epoch == self.view.epoch
        return copied and majority_without(self._now, self.view, self.me, self.liveness)

    def _note_settled(self, beat: Heartbeat) -> None:
        """The head of the view that is in place may serve."""
        head = self.view.head
        if head is None or (head.member, head.incarnation) != (beat.sender, beat.incarnation):
            return
        if beat.serving and beat.epoch == self.view.epoch:
            self._settled_epoch = beat.epoch

    def leave(self, now: float) -> None:
        """The process has been asked to end: hand over what this member does."""
        self._now = now
        self.leaving = True
        self._beat(now)
        self._plan(now)

    # ---- datagrams ---------------------------------------------------------------------------------------

    def send_datagram(self, address: str, record: Record) -> None:
        if address == self.me.address:
            if isinstance(record, PaxosMessage):
                self.register.receive(self._now, address, record)
            return
        self._ports.datagram(address, record)

    def receive(self, now: float, record: Record, sender: str) -> None:
        """A datagram that came from `sender` (host:port of its socket)."""
        self._now = now
        match record:
            case Heartbeat():
                self._heard(now, record)
            case ViewAnnouncement(view=view):
                self.adopt(view)
            case PaxosMessage():
                self.register.receive(now, sender, record)

    def _heard(self, now: float, beat: Heartbeat) -> None:
        address = beat.sender.address
        if address == self.me.address:
            return
        news = self.liveness.heard(now, beat)
        self._note_settled(beat)
        if beat.epoch < self.view.epoch:
            self.send_datagram(address, ViewAnnouncement(self.view))
        if news:
            self._next_plan = min(self._next_plan, now)
            if self.liveness.contacts()[address].since == now:
                self._ports.datagram(address, self._heartbeat(now))  # a new process hears of this one at once
                self._next_beat = min(self._next_beat, now + NEWS_BEAT_S)  # and all hear soon who hears whom
                self.register.ask_again()  # it may be the voter that was missing

    def process_ended(self, now: float, neighbour: ChainMember) -> None:
        """Nobody listens at a neighbour's address any more: the process that has the place in the chain is over."""
        self.liveness.process_ended(now, neighbour.member.address, neighbour.incarnation)
        self._next_plan = min(self._next_plan, now)

    # ---- the view ----------------------------------------------------------------------------------------

    def _agreed(self, view: View) -> None:
        news = view.epoch > self.view.epoch
        self.adopt(view)
        if news:
            for address in self.peers():
                self.send_datagram(address, ViewAnnouncement(view))

    def adopt(self, view: View) -> None:
        """Take an agreed view if it is newer than the one in place."""
        if view.epoch <= self.view.epoch:
            return
        was_head = self.chain.role is Role.HEAD
        self._leads = self._leads and self._is_next_with_same_head(view)
        self.view = view
        self.bootstrapping = False
        self._head_ill_since = None
        self._serving = False
        self.chain.enter(view, self._leads)
        if self._leads:
            self._ports.leads_on(view)
        elif was_head:
            self._ports.deposed()
        self._ports.view_changed(view)
        if self.chain.role is Role.HEAD:
            self._epoch_start, _ = self.chain.propose(START_OF_EPOCH)

    def _is_next_with_same_head(self, view: View) -> bool:
        """Whether a view follows directly on the one in place, with the same process as its head, and can commit. A
        view between the two might have had another head, which has committed what this one does not know of."""
        before, after = self.view.head, view.head
        return (
            view.epoch == self.view.epoch + 1
            and before is not None
            and after is not None
            and (after.member, after.incarnation) == (before.member, before.incarnation)
            and len(view.chain) >= self.settings.least_chain
        )

    def chain_committed(self, sequence: int) -> None:
        """The chain's commit has moved: the first one of an epoch opens it for service."""
        if (
            not self._serving
            and self.chain.role is Role.HEAD
            and sequence >= self._epoch_start
            and len(self.view.chain) >= self.settings.least_chain
        ):
            self._serving = True
            self._next_beat = self._now  # a member that leaves waits for it
            if not self._leads:
                self._leads = True
                self._ports.serving(self.view.epoch)

    def _plan(self, now: float) -> None:
        if not self.me.disk or self.register.busy:
            return
        if self.view.epoch == 0:
            self._bootstrap(now)
        elif self.chain.role is Role.HEAD:
            wanted = plan_as_head(now, self.view, self.myself(now), self.liveness)
            if wanted is not None:
                self._propose(now, self.view.epoch, wanted, self.view)
        else:
            self._succeed(now)

    def _propose(self, now: float, expected: int, proposal: ViewProposal, known: View) -> None:
        """Ask the voters for a view in the place of that of epoch `expected`; `known`: whose voters are asked first."""
        # an entry of an epoch shows that its view was agreed: only a head that has adopted it writes one
        agreed_epoch = max(self.view.epoch, self.chain.log.last[0])
        if self.register.propose(now, expected, proposal.view, KnownView(known, agreed_epoch)):
            self._ports.proposing(proposal)

    def _succeed(self, now: float) -> None:
        me = self.myself(now)
        failure = head_failure(now, self.view, me, self.liveness)
        if failure is None:
            self._head_ill_since = None
            return
        if self._head_ill_since is None:
            self._head_ill_since = now
        place = rank(now, self.view, me, self.liveness)
        if place is None:
            return
        ill_s = now - self._head_ill_since
        if ill_s < place * RANK_DELAY_S:
            return
        wanted = plan_as_successor(now, self.view, me, self.liveness, failure)
        if wanted is None:
            return
        if self._just_back(ill_s - place * RANK_DELAY_S) and not keeps_chain(self.view, wanted.view):
            return
        self._propose(now, self.view.epoch, wanted, self.view)

    def _just_back(self, waited_s: float) -> bool:
        """Whether this process is a restarted one, and others that were killed with it may still be starting."""
        restarted = self.chain.role is Role.OUTSIDE
        return restarted and min(waited_s, self._now - self._started) < RESTART_WAIT_S

    def _bootstrap(self, now: float) -> None:
        """Before the first view: what the register holds already, else the first view of the seeds that have a
        disk."""
        hint = self.register.hint()
        if hint.epoch:
            # a restart: somebody may know a newer one, so the register itself is asked
            if now - self._started >= FIRST_PLAN_S + ASK_STEP_S * _position(hint, self.me):
                self._propose(now, -1, ViewProposal(hint, ViewCause.RESTARTED), hint)
            return
        if not self.bootstrapping:
            return
        voters = self._first_voters()
        if voters is None or self.me not in voters:
            return
        first = min(voters)
        if first != self.me and now - self._started < 1.0:
            return
        chain = [ChainMember(self.me, self.incarnation, 1)]
        for voter in voters:
            identity = self.liveness.identity(voter.address)
            if voter != self.me and identity is not None:
                chain.append(ChainMember(voter, identity[1], 1))
        first_view = View(1, voters, tuple(chain))
        self._propose(now, 0, ViewProposal(first_view, ViewCause.FIRST_START), replace(first_view, epoch=0))

    def _first_voters(self) -> tuple[Member, ...] | None:
        """The seeds that have a disk, once all seeds have been heard."""
        members = []
        for address in self._seeds:
            if address == self.me.address:
                members.append(self.me)
                continue
            identity = self.liveness.identity(address)
            if identity is None:
                return None
            if identity[0].disk:
                members.append(identity[0])
        return tuple(sorted(members))

    # ---- links -------------------------------------------------------------------------------------------

    def link_record(self, now: float, link: Link, record: Record) -> bool:
        """A record on a chain link; returns whether the link is to stay."""
        self._now = now
        match record:
            case ChainHello(view=view):
                self.adopt(view)
                return self.chain.hello(link, record)
            case ChainPosition() | ChainSnapshotAck() | ChainAck() | BarrierAck():
                self.chain.from_below(link, record)
            case _:
                self.chain.from_above(link, record)
        return True


def _position(view: View, member: Member) -> int:
    """How many members stand before this one in the chain of a view."""
    members = [place.member for place in view.chain]
    return members.index(member) if member in members else len(members)
