"""Replicated state of the core: the configuration, all jobs with their tombstones, and the drained nodes."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass

from millethead.configuration.change import ConfigurationState, Decision, Method, Order, Verdict
from millethead.jobs.commands import (
    AssignRuns,
    CancelJob,
    ChangeConfiguration,
    DrainNode,
    EndRuns,
    PurgeJobs,
    RefuseOrder,
    SaveProgress,
    SubmitJob,
    TrimJobs,
)
from millethead.jobs.drained import DrainedNodes
from millethead.jobs.snapshot import TableEncoder, restore_table
from millethead.jobs.state import JobTable, Outcome
from millethead.replication.log_position import NO_POSITION, LogPosition
from millethead.rpc.codec import CodecError, Record, decode, decode_any, encode


@dataclass(frozen=True, slots=True)
class StateSnapshot(Record):
    """Snapshot of the complete state."""

    configuration: bytes
    jobs: bytes
    drained: tuple[str, ...]
    drain_place: LogPosition


@dataclass(frozen=True, slots=True)
class StateSnapshotV2(Record):
    """Snapshot format from before drains had a log position; still written while there has been no drain."""

    configuration: bytes
    jobs: bytes
    drained: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StateSnapshotV1(Record):
    """Snapshot format from before nodes could be drained; such snapshots may still be on disks."""

    configuration: bytes
    jobs: bytes


def _read_snapshot(payload: bytes) -> StateSnapshot:
    """Decode a snapshot of any format. Raises CodecError."""
    with suppress(CodecError):
        return decode(StateSnapshot, payload)
    with suppress(CodecError):
        second = decode(StateSnapshotV2, payload)
        return StateSnapshot(second.configuration, second.jobs, second.drained, NO_POSITION)
    first = decode(StateSnapshotV1, payload)
    return StateSnapshot(first.configuration, first.jobs, (), NO_POSITION)


def configuration_order(command: ChangeConfiguration) -> Order:
    """Return the operator's order that a command contains."""
    return Order(Method.PATCH if command.patch else Method.PUT, command.if_match, command.body)


class ControlState:
    """State machine of the replicated log."""

    def __init__(self) -> None:
        self.configuration = ConfigurationState()
        self.jobs = JobTable()
        self.drained = DrainedNodes()
        self._encoder = TableEncoder(self.jobs)

    def apply(self, payload: bytes, place: LogPosition) -> Decision | Outcome | None:
        """Apply the command of the log entry at `place`. The first entry of an epoch has no command."""
        if not payload:
            return None
        return self.apply_command(decode_any(payload), place)

    def apply_command(self, command: Record, place: LogPosition) -> Decision | Outcome | None:
        """Apply a decoded command; `place` is its log position."""
        match command:
            case ChangeConfiguration():
                return self._change(command, place)
            case SubmitJob():
                return self.jobs.submit(command)
            case CancelJob():
                return self.jobs.cancel(command)
            case AssignRuns():
                return self.jobs.assign(command)
            case EndRuns():
                return self.jobs.end(command)
            case SaveProgress():
                return self.jobs.save(command)
            case PurgeJobs():
                return self.jobs.purge(command)
            case TrimJobs():
                return self.jobs.trim(command)
            case RefuseOrder(digest=digest):
                self.configuration.refuse(digest)
                return None
            case DrainNode():
                self.drained.apply(command, place)
                return None
        raise ValueError(f"{type(command).__name__} is not a command")

    def _change(self, command: ChangeConfiguration, place: LogPosition) -> Decision:
        order = configuration_order(command)
        decision = self.configuration.decide(order)
        if decision.verdict is Verdict.ACCEPTED:
            self.configuration.accept(order, decision, place)
        return decision

    def prepare_snapshot(self) -> bool:
        """Do a part of the work of `snapshot` in advance.

        Return whether so little work is left that `snapshot` does not block the process noticeably.
        """
        return self._encoder.prepare()

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        configuration, jobs, drained = self.configuration.encode(), self._encoder.encode(), self.drained.names()
        if self.drained.place == NO_POSITION:
            return encode(StateSnapshotV2(configuration, jobs, drained))
        return encode(StateSnapshot(configuration, jobs, drained, self.drained.place))

    def restore(self, payload: bytes) -> None:
        """Replace the state by that of a snapshot. Empty bytes stand for the initial state."""
        for _ in self.restore_steps(payload):
            pass

    def restore_steps(self, payload: bytes) -> Iterator[None]:
        """Like `restore`, but in small steps: each iteration does a part of the work."""
        self._encoder.discard()
        self.configuration, self.jobs, self.drained = ConfigurationState(), JobTable(), DrainedNodes()
        self._encoder = TableEncoder(self.jobs)
        if payload:
            snapshot = _read_snapshot(payload)
            self.configuration = ConfigurationState.decode(snapshot.configuration)
            self.drained = DrainedNodes(snapshot.drained, snapshot.drain_place)
            yield from restore_table(self.jobs, snapshot.jobs)
