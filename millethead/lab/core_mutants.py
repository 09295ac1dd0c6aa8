"""Faults that an emulation of the core has to notice: each puts one wrong step in the place of a right one.

`MUTANTS` has each under its name, as a context manager that holds while a history is played.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest import mock
from weakref import WeakKeyDictionary

from millethead.configuration.change import ConfigurationState, Decision, Method, Order, Verdict
from millethead.control.call_handler import CallHandler, Reply
from millethead.control.calls import CallAnswer, JobCall
from millethead.control.commit import CommitGate, Committed
from millethead.control.configuration_stream import ConfigurationStream, StoredConfiguration
from millethead.jobs.commands import CancelJob
from millethead.jobs.tombstones import Tombstones
from millethead.lab import core_world
from millethead.lab.core_oracle import GONE
from millethead.lab.core_storage import CoreStorage
from millethead.lab.disk import SimulatedDisk
from millethead.replication import view_planning
from millethead.replication.chain import Chain
from millethead.replication.chain_ports import Role
from millethead.replication.joint_round import JointRound, Quorums
from millethead.replication.messages import PaxosMessage
from millethead.replication.replica import Replica, ReplicaSettings
from millethead.replication.view import View
from millethead.replication.view_register import ViewRegister
from millethead.storage.files import FileSystem
from millethead.storage.identity import DiskIdentity
from millethead.storage.log import Entry, LogFile
from millethead.storage.replay import Cursor

Mutant = Callable[[], AbstractContextManager[object]]


def _nothing() -> None:
    """What is done once a sync is over, where nobody waits for it."""


@contextmanager
def acknowledge_before_sync() -> Iterator[None]:
    """Entries count as synced as soon as they are queued."""
    queue = CoreStorage.append

    def append(self: CoreStorage, entries: Sequence[Entry], durable: Callable[[], None]) -> None:
        queue(self, entries, _nothing)
        self._later(0.0, durable)

    with mock.patch.object(CoreStorage, "append", append):
        yield


@contextmanager
def too_few_disks() -> Iterator[None]:
    """One member of the chain fewer than t + 1 is enough to answer."""

    def settings(min_chain_length: int, snapshot_part_bytes: int) -> ReplicaSettings:
        return ReplicaSettings(min_chain_length=min_chain_length - 1, snapshot_part_bytes=snapshot_part_bytes)

    with mock.patch.object(core_world, "ReplicaSettings", settings):
        yield


@contextmanager
def vote_after_wipe() -> Iterator[None]:
    """A disk that was lost comes back, empty, under its old identity."""
    kept: WeakKeyDictionary[SimulatedDisk, DiskIdentity] = WeakKeyDictionary()
    load = CoreStorage._load_identity

    def load_identity(self: CoreStorage, bootstrap: bool) -> DiskIdentity:
        found = load(self, bootstrap)
        return kept.setdefault(self._disk, found)

    with mock.patch.object(CoreStorage, "_load_identity", load_identity):
        yield


def view_without_majority() -> AbstractContextManager[object]:
    """One voter that has accepted a view is enough."""
    return mock.patch.object(JointRound, "agreed", property(lambda self: len(self._accepted) > 0))


def swap_with_new_majority() -> AbstractContextManager[object]:
    """A view that changes the voters is agreed with a majority of its own voters, whoever voted before."""

    def required_quorums(self: JointRound) -> Quorums:
        return self._previous_quorums if self.value is None else (self._voters(self.value),)

    return mock.patch.object(JointRound, "required_quorums", property(required_quorums))


def swap_with_old_majority() -> AbstractContextManager[object]:
    """A view that changes the voters is agreed with a majority of those before."""

    def required_quorums(self: JointRound) -> Quorums:
        return self._previous_quorums

    return mock.patch.object(JointRound, "required_quorums", property(required_quorums))


@contextmanager
def read_without_confirmation() -> Iterator[None]:
    """What the head reads is answered at once."""

    def confirm(self: CommitGate, value: Any, then: Callable[[Committed[Any]], None]) -> None:
        then(Committed(value, 0))

    with mock.patch.object(CommitGate, "confirm", confirm):
        yield


@contextmanager
def stream_begins_with_applied_state() -> Iterator[None]:
    """A follower that comes is told what is applied when the barrier has passed, committed or not."""

    def confirm_newest(self: CommitGate, capture: Callable[[], Any], then: Callable[[Committed[Any]], None]) -> None:
        self.confirm(None, lambda _: then(Committed(capture(), 0)))

    with mock.patch.object(CommitGate, "confirm_newest", confirm_newest):
        yield


@contextmanager
def stream_of_applied_state() -> Iterator[None]:
    """Once a configuration is committed, followers are told the one that is applied by then."""
    publish = ConfigurationStream.publish

    def publish_newest(self: ConfigurationStream, configuration: Committed[StoredConfiguration]) -> None:
        publish(self, Committed(self._newest(), configuration.sequence))

    with mock.patch.object(ConfigurationStream, "publish", publish_newest):
        yield


@contextmanager
def read_after_earlier_commit() -> Iterator[None]:
    """A read waits for the commit of the last entry only, where that is outstanding, and for no barrier."""
    confirm = CommitGate.confirm

    def confirm_by_commit(self: CommitGate, value: Any, then: Callable[[Committed[Any]], None]) -> None:
        if self.uncommitted:
            self.after_commit(value, then)
        else:
            confirm(self, value, then)

    with mock.patch.object(CommitGate, "confirm", confirm_by_commit):
        yield


def refusal_not_kept() -> AbstractContextManager[object]:
    """An order that builds on a version still to come is refused, and nobody remembers it."""
    return mock.patch.object(ConfigurationState, "refuse", lambda self, digest: None)


@contextmanager
def bad_middle_cut() -> Iterator[None]:
    """Bad bytes in the middle of a log are cut as if they were a torn tail."""

    def was_synced(self: Cursor) -> bool:
        return False

    with mock.patch.object(Cursor, "was_synced", was_synced):
        yield


@contextmanager
def repeat_refused() -> Iterator[None]:
    """The same order again is an order on an old version."""
    decide = ConfigurationState.decide

    def decide_anew(self: ConfigurationState, order: Order) -> Decision:
        decision = decide(self, order)
        if decision.verdict is Verdict.REPEATED:
            return decide(self, Order(Method.PUT, order.if_match, order.body + b" "))
        return decision

    with mock.patch.object(ConfigurationState, "decide", decide_anew):
        yield


class _NamesNotSynced:
    """Files whose folders are not synced."""

    def __init__(self, files: FileSystem) -> None:
        self._files = files

    def __getattr__(self, name: str) -> Any:
        return getattr(self._files, name)

    def sync_folder(self, folder: object) -> None:
        """Left out."""


@contextmanager
def rename_not_synced() -> Iterator[None]:
    """A rewritten log is renamed, and the folder not synced."""
    replace_file = LogFile._replace_file

    def replace(self: LogFile, records: Any) -> None:
        files = self._file_system
        self._file_system = _NamesNotSynced(files)
        try:
            replace_file(self, records)
        finally:
            self._file_system = files

    with mock.patch.object(LogFile, "_replace_file", replace):
        yield


@contextmanager
def lead_without_joining() -> Iterator[None]:
    """Whoever has a place in the chain may lead it, reconciled or not."""

    def may_lead(view: View, local: view_planning.LocalMember) -> bool:
        return view.chain_member(local.member) is not None

    with mock.patch.object(view_planning, "may_lead", may_lead):
        yield


@contextmanager
def lead_by_log_alone() -> Iterator[None]:
    """In the second epoch and later a member without any entry may not lead, though it was in every chain."""

    def may_lead(view: View, local: view_planning.LocalMember) -> bool:
        chain_member = view.chain_member(local.member)
        return chain_member is not None and (local.log_epoch >= chain_member.joined or view.epoch <= 1)

    with mock.patch.object(view_planning, "may_lead", may_lead):
        yield


@contextmanager
def promise_before_sync() -> Iterator[None]:
    """An acceptor answers before its state is on the disk."""
    vote = ViewRegister._handle_request

    def vote_at_once(self: ViewRegister, sender: str, message: PaxosMessage) -> None:
        ports = self._ports

        class AtOnce:
            def send(self, address: str, message: PaxosMessage) -> None:
                ports.send(address, message)

            def save(self, kept: object, done: Callable[[], None]) -> None:
                done()
                ports.save(kept, _nothing)  # type: ignore[arg-type]

        self._ports = AtOnce()
        try:
            vote(self, sender, message)
        finally:
            self._ports = ports

    with mock.patch.object(ViewRegister, "_handle_request", vote_at_once):
        yield


@contextmanager
def believe_what_is_read() -> Iterator[None]:
    """What a new process reads of its disk is not written again before it answers by it."""

    def write_anew(self: CoreStorage) -> None:
        """Left out."""

    with mock.patch.object(CoreStorage, "_write_anew", write_anew):
        yield


@contextmanager
def barrier_lost_with_link() -> Iterator[None]:
    """In the middle of the chain a barrier that was under way on a link that ended is not sent again."""

    def pass_barrier(self: Chain, number: int) -> None:
        if self.role is not Role.FOLLOWER:
            return
        if self._successor is None:
            self._barrier_returned(number)
        elif self._successor_link is not None:
            self._successor_link.forward_barrier(number)

    with mock.patch.object(Chain, "_pass_barrier", pass_barrier):
        yield


@contextmanager
def lead_on_after_another_head() -> Iterator[None]:
    """A member that is the head again goes on with what it knew, also where another one has led in between."""

    def is_next(self: Replica, view: View) -> bool:
        before, after = self.view.head, view.head
        return before is not None and after is not None and before.member == after.member

    with mock.patch.object(Replica, "_is_next_with_same_head", is_next):
        yield


@contextmanager
def read_over_a_change_of_view() -> Iterator[None]:
    """Reads that waited for a barrier of the view before are answered when the next view comes."""

    def continue_in_view(self: CommitGate) -> None:
        ready, self._awaiting_barrier = self._awaiting_barrier, []
        for _, release in ready:
            release()

    with mock.patch.object(CommitGate, "continue_in_view", continue_in_view):
        yield


def cancel_not_kept() -> AbstractContextManager[object]:
    """The cancel of an unknown job is answered like a read, and nothing is kept of it."""

    def cancel(handler: CallHandler, call: JobCall, name: str, reply: Reply) -> None:
        handler._reply_when_confirmed(reply, CallAnswer(call.number, GONE, b"{}", 0))

    return mock.patch.object(CallHandler, "_cancel_unknown", cancel)


def cancel_answered_before_commit() -> AbstractContextManager[object]:
    """The cancel of an unknown job is answered once it is applied at the head."""

    def cancel(handler: CallHandler, call: JobCall, name: str, reply: Reply) -> None:
        handler._gate.propose(CancelJob(name, 0))
        reply(Committed(CallAnswer(call.number, GONE, b"{}", 0), 0))

    return mock.patch.object(CallHandler, "_cancel_unknown", cancel)


def tombstones_not_in_snapshot() -> AbstractContextManager[object]:
    """Snapshots leave the tombstones out."""
    return mock.patch.object(Tombstones, "encode", lambda tombstones: b"")


MUTANTS: dict[str, Mutant] = {
    "acknowledge_before_sync": acknowledge_before_sync,
    "too_few_disks": too_few_disks,
    "vote_after_wipe": vote_after_wipe,
    "view_without_majority": view_without_majority,
    "read_without_confirmation": read_without_confirmation,
    "read_after_earlier_commit": read_after_earlier_commit,
    "stream_begins_with_applied_state": stream_begins_with_applied_state,
    "stream_of_applied_state": stream_of_applied_state,
    "refusal_not_kept": refusal_not_kept,
    "bad_middle_cut": bad_middle_cut,
    "repeat_refused": repeat_refused,
    "rename_not_synced": rename_not_synced,
    "lead_without_joining": lead_without_joining,
    "lead_by_log_alone": lead_by_log_alone,
    "promise_before_sync": promise_before_sync,
    "believe_what_is_read": believe_what_is_read,
    "barrier_lost_with_link": barrier_lost_with_link,
    "swap_with_new_majority": swap_with_new_majority,
    "swap_with_old_majority": swap_with_old_majority,
    "lead_on_after_another_head": lead_on_after_another_head,
    "read_over_a_change_of_view": read_over_a_change_of_view,
    "cancel_not_kept": cancel_not_kept,
    "cancel_answered_before_commit": cancel_answered_before_commit,
    "tombstones_not_in_snapshot": tombstones_not_in_snapshot,
}
