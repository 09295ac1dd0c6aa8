"""One member's part in the chain of one epoch: takes entries from its predecessor, passes them on, acknowledges.

A member syncs and forwards at once, in parallel; it acknowledges what is synced here and acknowledged by its
successor. What the whole chain has synced is committed: the head learns it first. Nothing here reads a clock.

On a new epoch every member but the head is reconciled with its predecessor before it passes anything on: entries that
the predecessor lacks are dropped (they were never committed, since the predecessor holds all that was), those that it
has are copied, or the whole state where the snapshots hide the common point.
"""

from __future__ import annotations

from collections.abc import Sequence

from millethead.replication.chain_ports import ChainPorts, Link, Role
from millethead.replication.copying import PART_BYTES, IncomingSnapshot
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import (
    BarrierAck,
    ChainAck,
    ChainAppend,
    ChainBarrier,
    ChainHello,
    ChainPosition,
    ChainSnapshotAck,
    ChainSnapshotPart,
    ChainTruncate,
    LogEntry,
)
from millethead.replication.successor import SuccessorLink
from millethead.replication.view import ChainMember, Member, View
from millethead.rpc.codec import Record
from millethead.storage.log import Entry, Snapshot


class Chain:
    """This member's place in the chain of the view that it has adopted."""

    def __init__(
        self, me: Member, incarnation: int, log: ReplicatedLog, ports: ChainPorts, part_bytes: int = PART_BYTES
    ) -> None:
        self.me, self.incarnation, self.log, self._ports = me, incarnation, log, ports
        self.role = Role.OUTSIDE
        self.epoch = 0
        self.durable = log.last[1]
        self.committed = 0
        self.barrier = self.barrier_passed = 0
        self.place = 0  # in the chain, from 0 for the head
        self._successor: ChainMember | None = None
        self._predecessor: ChainMember | None = None
        self._up: Link | None = None
        self._down: SuccessorLink | None = None
        self._view = View(0, (), ())
        self._generation = 0
        self._part_bytes = part_bytes
        self._incoming: IncomingSnapshot | None = None  # not yet whole

    # ---- the view ----------------------------------------------------------------------------------------

    def enter(self, view: View, leads_on: bool = False) -> None:
        """Take the place that a newer view gives to this member; links of the earlier epoch end. `leads_on`: it has
        been the head in every view since it committed what it holds for committed, so that this stays so."""
        self._drop_links()
        self._view, self.epoch = view, view.epoch
        self.barrier = self.barrier_passed = 0
        if not leads_on:
            self.committed = 0
        at = next(
            (
                number
                for number, place in enumerate(view.chain)
                if place.member == self.me and place.incarnation == self.incarnation
            ),
            None,
        )
        if at is None:
            self._become(Role.OUTSIDE)
            return
        self.place = at
        self._predecessor = view.chain[at - 1] if at else None
        self._successor = view.chain[at + 1] if at + 1 < len(view.chain) else None
        self._become(Role.WAITING if at else Role.HEAD)

    def _become(self, role: Role) -> None:
        self.role = role
        if role is Role.OUTSIDE:
            self._predecessor = self._successor = None
        elif role in (Role.HEAD, Role.FOLLOWING) and self._successor is not None:
            self._ports.open_link(self._successor.member.address)

    def _drop_links(self) -> None:
        up, down = self._up, self._down
        self._up = self._down = None
        if up is not None:
            up.close()
        if down is not None:
            down.link.close()

    @property
    def successor(self) -> ChainMember | None:
        return self._successor

    @property
    def linked_down(self) -> bool:
        """Whether the successor is reconciled, or there is none."""
        return self._successor is None or (self._down is not None and self._down.synced)

    @property
    def copying(self) -> bool:
        """The snapshot is on its way to the successor: it and the entries after it are still needed."""
        return self._down is not None and self._down.copying

    # ---- the head ----------------------------------------------------------------------------------------

    def propose(self, payload: bytes) -> tuple[int, object]:
        """At the head: append a command; returns its sequence, and the result that holds once it is committed."""
        assert self.role is Role.HEAD
        self.log.settle()
        entry = Entry(self.epoch, self.log.last[1] + 1, payload)
        result = self.log.append(entry)
        self._store((entry,))
        return entry.sequence, result

    def send_barrier(self) -> int:
        """At the head: ask the chain whether the epoch still holds; returns the barrier's number."""
        self.barrier += 1
        if self._successor is None:
            self._barrier_back(self.barrier)
        elif self._down is not None:
            self._down.pass_barrier(self.barrier)
        return self.barrier

    def _barrier_back(self, number: int) -> None:
        self.barrier_passed = max(self.barrier_passed, number)
        if self.role is Role.HEAD:
            self._ports.barrier_passed(self.barrier_passed)
        elif self._up is not None:
            self._up.send(BarrierAck(self.epoch, number))

    # ---- entries -----------------------------------------------------------------------------------------

    def _store(self, entries: Sequence[Entry]) -> None:
        """Sync and forward at once."""
        last, generation = entries[-1].sequence, self._generation

        def durable() -> None:
            if generation == self._generation:
                self.durable = max(self.durable, last)
                self._acknowledge()

        self._ports.append(entries, durable)
        if self._down is not None:
            self._down.pass_entries(entries)

    def _acknowledge(self) -> None:
        sequence = self.durable
        if self._successor is not None:
            sequence = min(sequence, self._down.acked if self._down is not None else 0)
        if self.role is Role.HEAD:
            if sequence > self.committed:
                self.committed = sequence
                self._ports.committed(sequence)
        elif self.role is Role.FOLLOWING and self._up is not None:
            self._up.send(ChainAck(self.epoch, sequence))

    # ---- links -------------------------------------------------------------------------------------------

    def link_opened(self, link: Link, address: str) -> None:
        """A link that `open_link` asked for is there."""
        if (
            self.role not in (Role.HEAD, Role.FOLLOWING)
            or self._successor is None
            or self._successor.member.address != address
            or self._down is not None
        ):
            link.close()
            return
        self._down = SuccessorLink(link, self.epoch, self.log, self._part_bytes)
        self._down.greet(self._view, self.me)

    def neighbour_of(self, link: Link) -> ChainMember | None:
        """The neighbour at the other end of a link; None for one that is not in use."""
        if link is self._up:
            return self._predecessor
        return self.successor if self._is_down(link) else None

    def _is_down(self, link: Link) -> bool:
        """Whether it is the link to the successor."""
        return self._down is not None and link is self._down.link

    def link_lost(self, link: Link) -> bool:
        """A link has ended; returns whether the one to the successor has to be opened again."""
        if link is self._up:
            self._up = None
        elif self._is_down(link):
            self._down = None
            return self.role in (Role.HEAD, Role.FOLLOWING)
        return False

    def hello(self, link: Link, record: ChainHello) -> bool:
        """A predecessor has come, with a view that this member has adopted by now if it is newer. Returns whether it
        is taken; a link that is not is to be closed."""
        if (
            record.view.epoch != self.epoch
            or self.role not in (Role.WAITING, Role.FOLLOWING)
            or self._predecessor is None
            or self._predecessor.member != record.sender
        ):
            return False
        if self._up is not None and self._up is not link:
            stale, self._up = self._up, None
            stale.close()
        self._up = link
        partial = self._incoming.progress if self._incoming is not None else None
        link.send(ChainPosition(self.epoch, self.log.base_span(), self.log.spans(), partial))
        return True

    def from_above(self, link: Link, record: Record) -> None:
        """A record from the predecessor."""
        if link is not self._up:
            return
        match record:
            case ChainTruncate(epoch=epoch, sequence=sequence) if epoch == self.epoch:
                self._truncate(sequence)
            case ChainSnapshotPart(epoch=epoch) if epoch == self.epoch:
                self._take_part(link, record)
            case ChainAppend(epoch=epoch, entries=entries) if epoch == self.epoch:
                self._take(entries)
            case ChainBarrier(epoch=epoch, number=number) if epoch == self.epoch:
                self._pass_barrier(number)

    def _truncate(self, sequence: int) -> None:
        if sequence < self.log.base.sequence:  # the log was compacted since it told its position: it is told anew
            up, self._up = self._up, None
            if up is not None:
                up.close()
            return
        shorter = sequence < self.log.last[1]
        if shorter:
            self.log.truncate(sequence)
            self._rebuild(self.log)
            self._ports.truncate(sequence)
            self._generation += 1
            # what was synced and kept stays so; entries whose sync is under way are reported by the sync that follows
            self.durable = min(self.durable, sequence)
        self._reconciled(shorter)

    def _rebuild(self, log: ReplicatedLog) -> None:
        """Work the state out in steps, between which heartbeats and entries are taken."""
        if log.rebuilding and not log.rebuild():
            self._ports.soon(lambda: self._rebuild(log))

    def _take_part(self, link: Link, part: ChainSnapshotPart) -> None:
        if self._incoming is None or self._incoming.name != part.name:
            self._incoming = IncomingSnapshot(part.name)
        incoming = self._incoming
        incoming.take(part)
        if not incoming.complete:
            link.send(ChainSnapshotAck(self.epoch, incoming.progress))
            return
        self._incoming = None
        snapshot = incoming.snapshot()
        if snapshot is None:  # damaged on its way: it is asked for anew
            link.close()
            self.link_lost(link)
            return
        self._install(snapshot)

    def _install(self, snapshot: Snapshot) -> None:
        self.log.install(snapshot)
        self._rebuild(self.log)
        self._generation += 1
        generation = self._generation
        self.durable = 0

        def durable() -> None:
            if generation == self._generation:
                self.durable = max(self.durable, snapshot.sequence)
                self._acknowledge()

        self._ports.install(snapshot, durable)
        self._reconciled(True)

    def _reconciled(self, changed: bool) -> None:
        """The predecessor has brought this log to a prefix of its own; `changed`: some of it was dropped for that."""
        if self.role is Role.WAITING:
            self._become(Role.FOLLOWING)
            self._ports.synced_to_head()
        elif changed and self._down is not None:  # what was passed on is void as well
            down, self._down = self._down, None
            down.link.close()
            assert self._successor is not None
            self._ports.open_link(self._successor.member.address)
        self._sync_kept()

    def _sync_kept(self) -> None:
        """Have all that is kept synced, also what was appended without a sync before the epoch, then acknowledge."""
        last, generation = self.log.last[1], self._generation

        def durable() -> None:
            if generation == self._generation:
                self.durable = max(self.durable, last)
                self._acknowledge()

        self._ports.append((), durable)

    def _take(self, records: tuple[LogEntry, ...]) -> None:
        entries = []
        for record in records:
            if record.sequence <= self.log.last[1]:
                continue
            entry = Entry(record.epoch, record.sequence, record.payload)
            self.log.append(entry)
            entries.append(entry)
        if entries:
            self._store(entries)

    def _pass_barrier(self, number: int) -> None:
        if self.role is not Role.FOLLOWING:
            return
        self.barrier = max(self.barrier, number)
        if self._successor is None or number <= self.barrier_passed:  # the answer was lost with an earlier link
            self._barrier_back(number)
        elif self._down is not None:
            self._down.pass_barrier(number)

    def from_below(self, link: Link, record: Record) -> None:
        """A record from the successor."""
        down = self._down
        if down is None or link is not down.link:
            return
        match record:
            case ChainPosition(epoch=epoch) if epoch == self.epoch:
                if down.reconcile(record):
                    self._repeat_barrier(down)
            case ChainSnapshotAck(epoch=epoch, progress=progress) if epoch == self.epoch:
                if down.copy_further(progress):
                    self._repeat_barrier(down)
            case ChainAck(epoch=epoch, sequence=sequence) if epoch == self.epoch:
                down.acknowledged(sequence)
                self._acknowledge()
            case BarrierAck(epoch=epoch, number=number) if epoch == self.epoch:
                self._barrier_back(number)

    def _repeat_barrier(self, down: SuccessorLink) -> None:
        """The successor has just been reconciled: a barrier that was lost with an earlier link goes again."""
        if self.barrier > self.barrier_passed:
            down.pass_barrier(self.barrier)
