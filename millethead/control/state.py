"""The replicated state of the core: the configuration, all jobs, and the nodes that are taken out."""

from __future__ import annotations

from collections.abc import Iterator
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
from millethead.replication.place import LogPlace
from millethead.rpc.codec import CodecError, Record, decode, decode_any, encode


@dataclass(frozen=True, slots=True)
class StateSnapshot(Record):
    """The whole state, as a snapshot holds it."""

    configuration: bytes
    jobs: bytes
    drained: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FirstStateSnapshot(Record):
    """The same before nodes could be taken out; snapshots of that form may lie on disks."""

    configuration: bytes
    jobs: bytes


def _read_snapshot(payload: bytes) -> StateSnapshot:
    try:
        return decode(StateSnapshot, payload)
    except CodecError:
        first = decode(FirstStateSnapshot, payload)
        return StateSnapshot(first.configuration, first.jobs, ())


def order_of(command: ChangeConfiguration) -> Order:
    """The operator's order that a command carries."""
    return Order(Method.PATCH if command.patch else Method.PUT, command.if_match, command.body)


class ControlState:
    """State machine of the replicated log."""

    def __init__(self) -> None:
        self.configuration = ConfigurationState()
        self.jobs = JobTable()
        self.drained = DrainedNodes()
        self._encoder = TableEncoder(self.jobs)

    def apply(self, payload: bytes, place: LogPlace) -> Decision | Outcome | None:
        """Take in the command of the entry at `place`; the first entry of an epoch has none."""
        if not payload:
            return None
        return self.apply_command(decode_any(payload), place)

    def apply_command(self, command: Record, place: LogPlace) -> Decision | Outcome | None:
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
                self.drained.apply(command)
                return None
        raise ValueError(f"{type(command).__name__} is no command")

    def _change(self, command: ChangeConfiguration, place: LogPlace) -> Decision:
        order = order_of(command)
        decision = self.configuration.decide(order)
        if decision.verdict is Verdict.ACCEPTED:
            self.configuration.accept(order, decision, place)
        return decision

    def prepare_snapshot(self) -> bool:
        """Do a part of the work of `snapshot` ahead; whether so little is left that it holds nobody up."""
        return self._encoder.prepare()

    def snapshot(self) -> bytes:
        return encode(StateSnapshot(self.configuration.encode(), self._encoder.encode(), self.drained.names()))

    def restore(self, payload: bytes) -> None:
        """Take the state of a snapshot; empty bytes are the first state."""
        for _ in self.restoring(payload):
            pass

    def restoring(self, payload: bytes) -> Iterator[None]:
        """The same, a part at each step."""
        self._encoder.discard()
        self.configuration, self.jobs, self.drained = ConfigurationState(), JobTable(), DrainedNodes()
        self._encoder = TableEncoder(self.jobs)
        if payload:
            kept = _read_snapshot(payload)
            self.configuration = ConfigurationState.decode(kept.configuration)
            self.drained = DrainedNodes(kept.drained)
            yield from restore_table(self.jobs, kept.jobs)
