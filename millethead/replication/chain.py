"""One member's part in the chain of one epoch: appends entries from its predecessor, forwards them and acknowledges
them.

A member syncs and forwards an entry in parallel. It acknowledges entries that are synced locally and acknowledged by
its successor. Entries that the whole chain has synced are committed; the head is the first member to learn this. This
module does not read a clock.

In a new epoch each member except the head is reconciled with its predecessor before it forwards anything. Entries that
the predecessor lacks are dropped: they were never committed, because the predecessor holds all committed entries.
Missing entries are copied. If the last common entry is hidden by the snapshots, the whole state is copied.
"""

from __future__ import annotations

from collections.abc import Sequence

from millethead.replication.chain_ports import ChainPorts, Link, Role
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
from millethead.replication.snapshot_transfer import PART_BYTES, IncomingSnapshot
from millethead.replication.successor_link import SuccessorLink
from millethead.replication.view import ChainMember, Member, View
from millethead.rpc.codec import Record
from millethead.storage.log import Entry, Snapshot


class Chain:
    """This member's part in the chain of its current view."""

    def __init__(
        self, member: Member, incarnation: int, log: ReplicatedLog, ports: ChainPorts, part_bytes: int = PART_BYTES
    ) -> None:
        self.member, self.incarnation, self.log, self._ports = member, incarnation, log, ports
        self.role = Role.NOT_IN_CHAIN
        self.epoch = 0
        self.durable = log.last[1]
        self.committed = 0
        self.barrier = self.barrier_passed = 0
        self.index = 0  # position in the chain; the head has 0
        self._successor: ChainMember | None = None
        self._predecessor: ChainMember | None = None
        self._predecessor_link: Link | None = None
        self._successor_link: SuccessorLink | None = None
        self._view = View(0, (), ())
        self._generation = 0
        self._part_bytes = part_bytes
        self._incoming: IncomingSnapshot | None = None  # snapshot transfer in progress

    # ---- view changes ----------------------------------------------------------------------------------------

    def enter_view(self, view: View, continues_as_head: bool = False) -> None:
        """Takes the role that a newer view assigns to this member and closes the links of the earlier epoch.
        `continues_as_head`: this member has been the head of every view since it learned its commit point, so the
        commit point remains valid."""
        self._close_links()
        self._view, self.epoch = view, view.epoch
        self.barrier = self.barrier_passed = 0
        if not continues_as_head:
            self.committed = 0
        own_index = next(
            (
                index
                for index, chain_member in enumerate(view.chain)
                if chain_member.member == self.member and chain_member.incarnation == self.incarnation
            ),
            None,
        )
        if own_index is None:
            self._set_role(Role.NOT_IN_CHAIN)
            return
        self.index = own_index
        self._predecessor = view.chain[own_index - 1] if own_index else None
        self._successor = view.chain[own_index + 1] if own_index + 1 < len(view.chain) else None
        self._set_role(Role.RECONCILING if own_index else Role.HEAD)

    def _set_role(self, role: Role) -> None:
        self.role = role
        if role is Role.NOT_IN_CHAIN:
            self._predecessor = self._successor = None
        elif role in (Role.HEAD, Role.FOLLOWER) and self._successor is not None:
            self._ports.open_link(self._successor.member.address)

    def _close_links(self) -> None:
        predecessor_link, successor_link = self._predecessor_link, self._successor_link
        self._predecessor_link = self._successor_link = None
        if predecessor_link is not None:
            predecessor_link.close()
        if successor_link is not None:
            successor_link.link.close()

    @property
    def successor(self) -> ChainMember | None:
        return self._successor

    @property
    def successor_synced(self) -> bool:
        """Whether the successor is reconciled, or there is none."""
        return self._successor is None or (self._successor_link is not None and self._successor_link.synced)

    @property
    def copying(self) -> bool:
        """Whether a snapshot transfer to the successor is in progress, so that the snapshot and the entries after it
        are still needed."""
        return self._successor_link is not None and self._successor_link.copying

    # ---- the head ----------------------------------------------------------------------------------------

    def propose(self, payload: bytes) -> tuple[int, object]:
        """At the head: appends a command. Returns its sequence, and its result, which is valid once the entry is
        committed."""
        assert self.role is Role.HEAD
        self.log.finish_rebuild()
        entry = Entry(self.epoch, self.log.last[1] + 1, payload)
        result = self.log.append(entry)
        self._store_and_forward((entry,))
        return entry.sequence, result

    def send_barrier(self) -> int:
        """At the head: sends a barrier down the chain, which returns only if no member has left the epoch. Returns its
        number."""
        self.barrier += 1
        if self._successor is None:
            self._barrier_returned(self.barrier)
        elif self._successor_link is not None:
            self._successor_link.forward_barrier(self.barrier)
        return self.barrier

    def _barrier_returned(self, number: int) -> None:
        self.barrier_passed = max(self.barrier_passed, number)
        if self.role is Role.HEAD:
            self._ports.barrier_passed(self.barrier_passed)
        elif self._predecessor_link is not None:
            self._predecessor_link.send(BarrierAck(self.epoch, number))

    # ---- entries -----------------------------------------------------------------------------------------

    def _store_and_forward(self, entries: Sequence[Entry]) -> None:
        """Syncs and forwards entries in parallel."""
        last, generation = entries[-1].sequence, self._generation

        def durable() -> None:
            if generation == self._generation:
                self.durable = max(self.durable, last)
                self._acknowledge()

        self._ports.append(entries, durable)
        if self._successor_link is not None:
            self._successor_link.forward_entries(entries)

    def _acknowledge(self) -> None:
        sequence = self.durable
        if self._successor is not None:
            sequence = min(sequence, self._successor_link.acked if self._successor_link is not None else 0)
        if self.role is Role.HEAD:
            if sequence > self.committed:
                self.committed = sequence
                self._ports.committed(sequence)
        elif self.role is Role.FOLLOWER and self._predecessor_link is not None:
            self._predecessor_link.send(ChainAck(self.epoch, sequence))

    # ---- links -------------------------------------------------------------------------------------------

    def link_opened(self, link: Link, address: str) -> None:
        """A link requested with `open_link` is open. It is closed again if it is no longer needed."""
        if (
            self.role not in (Role.HEAD, Role.FOLLOWER)
            or self._successor is None
            or self._successor.member.address != address
            or self._successor_link is not None
        ):
            link.close()
            return
        self._successor_link = SuccessorLink(link, self.epoch, self.log, self._part_bytes)
        self._successor_link.send_hello(self._view, self.member)

    def neighbour_of(self, link: Link) -> ChainMember | None:
        """Returns the neighbour at the other end of a link, or None if the link is not in use."""
        if link is self._predecessor_link:
            return self._predecessor
        return self.successor if self._is_successor_link(link) else None

    def _is_successor_link(self, link: Link) -> bool:
        """Whether `link` leads to the successor."""
        return self._successor_link is not None and link is self._successor_link.link

    def link_lost(self, link: Link) -> bool:
        """A link was lost. Returns whether the link to the successor has to be reopened."""
        if link is self._predecessor_link:
            self._predecessor_link = None
        elif self._is_successor_link(link):
            self._successor_link = None
            return self.role in (Role.HEAD, Role.FOLLOWER)
        return False

    def receive_hello(self, link: Link, record: ChainHello) -> bool:
        """Handles the hello of a predecessor, whose view this member has already adopted if it is newer. Returns
        whether the link is accepted; the caller closes a link that is not."""
        if (
            record.view.epoch != self.epoch
            or self.role not in (Role.RECONCILING, Role.FOLLOWER)
            or self._predecessor is None
            or self._predecessor.member != record.sender
        ):
            return False
        if self._predecessor_link is not None and self._predecessor_link is not link:
            stale_link, self._predecessor_link = self._predecessor_link, None
            stale_link.close()
        self._predecessor_link = link
        partial = self._incoming.progress if self._incoming is not None else None
        link.send(ChainPosition(self.epoch, self.log.base_span(), self.log.spans(), partial))
        return True

    def receive_from_predecessor(self, link: Link, record: Record) -> None:
        """Handles a record from the predecessor."""
        if link is not self._predecessor_link:
            return
        match record:
            case ChainTruncate(epoch=epoch, sequence=sequence) if epoch == self.epoch:
                self._truncate(sequence)
            case ChainSnapshotPart(epoch=epoch) if epoch == self.epoch:
                self._receive_snapshot_part(link, record)
            case ChainAppend(epoch=epoch, entries=entries) if epoch == self.epoch:
                self._receive_entries(entries)
            case ChainBarrier(epoch=epoch, number=number) if epoch == self.epoch:
                self._pass_barrier(number)

    def _truncate(self, sequence: int) -> None:
        if sequence < self.log.base.sequence:  # compacted after its position was sent: a new position is needed
            predecessor_link, self._predecessor_link = self._predecessor_link, None
            if predecessor_link is not None:
                predecessor_link.close()
            return
        shorter = sequence < self.log.last[1]
        if shorter:
            self.log.truncate(sequence)
            self._rebuild_state(self.log)
            self._ports.truncate(sequence)
            self._generation += 1
            # retained entries stay synced; entries with a pending sync are covered by the sync that follows
            self.durable = min(self.durable, sequence)
        self._reconciled(shorter)

    def _rebuild_state(self, log: ReplicatedLog) -> None:
        """Rebuilds the state in steps, so that heartbeats and entries are processed in between."""
        if log.rebuilding and not log.rebuild():
            self._ports.soon(lambda: self._rebuild_state(log))

    def _receive_snapshot_part(self, link: Link, part: ChainSnapshotPart) -> None:
        if self._incoming is None or self._incoming.name != part.name:
            self._incoming = IncomingSnapshot(part.name)
        incoming = self._incoming
        incoming.add_part(part)
        if not incoming.complete:
            link.send(ChainSnapshotAck(self.epoch, incoming.progress))
            return
        self._incoming = None
        snapshot = incoming.snapshot()
        if snapshot is None:  # damaged in transit: request it again
            link.close()
            self.link_lost(link)
            return
        self._install(snapshot)

    def _install(self, snapshot: Snapshot) -> None:
        self.log.install(snapshot)
        self._rebuild_state(self.log)
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
        """The log is now a prefix of the predecessor's. `changed`: entries were dropped or replaced to achieve that."""
        if self.role is Role.RECONCILING:
            self._set_role(Role.FOLLOWER)
            self._ports.reconciled()
        elif changed and self._successor_link is not None:  # the dropped entries were forwarded too
            successor_link, self._successor_link = self._successor_link, None
            successor_link.link.close()
            assert self._successor is not None
            self._ports.open_link(self._successor.member.address)
        self._sync_existing_entries()

    def _sync_existing_entries(self) -> None:
        """Syncs all existing entries, including those appended without a sync in an earlier epoch, then acknowledges
        them."""
        last, generation = self.log.last[1], self._generation

        def durable() -> None:
            if generation == self._generation:
                self.durable = max(self.durable, last)
                self._acknowledge()

        self._ports.append((), durable)

    def _receive_entries(self, records: tuple[LogEntry, ...]) -> None:
        entries = []
        for record in records:
            if record.sequence <= self.log.last[1]:
                continue
            entry = Entry(record.epoch, record.sequence, record.payload)
            self.log.append(entry)
            entries.append(entry)
        if entries:
            self._store_and_forward(entries)

    def _pass_barrier(self, number: int) -> None:
        if self.role is not Role.FOLLOWER:
            return
        self.barrier = max(self.barrier, number)
        if self._successor is None or number <= self.barrier_passed:  # the ack was lost with an earlier link
            self._barrier_returned(number)
        elif self._successor_link is not None:
            self._successor_link.forward_barrier(number)

    def receive_from_successor(self, link: Link, record: Record) -> None:
        """Handles a record from the successor."""
        successor_link = self._successor_link
        if successor_link is None or link is not successor_link.link:
            return
        match record:
            case ChainPosition(epoch=epoch) if epoch == self.epoch:
                if successor_link.reconcile(record):
                    self._resend_barrier(successor_link)
            case ChainSnapshotAck(epoch=epoch, progress=progress) if epoch == self.epoch:
                if successor_link.continue_transfer(progress):
                    self._resend_barrier(successor_link)
            case ChainAck(epoch=epoch, sequence=sequence) if epoch == self.epoch:
                successor_link.acknowledged(sequence)
                self._acknowledge()
            case BarrierAck(epoch=epoch, number=number) if epoch == self.epoch:
                self._barrier_returned(number)

    def _resend_barrier(self, successor_link: SuccessorLink) -> None:
        """Called once the successor is reconciled: resends a barrier that was lost with an earlier link."""
        if self.barrier > self.barrier_passed:
            successor_link.forward_barrier(self.barrier)
