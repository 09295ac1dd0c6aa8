"""What must hold in an emulated core, checked as it happens: one sequence of committed entries, and answers that rest
on it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from millethead.configuration.change import Verdict
from millethead.control.state import ControlState, configuration_order
from millethead.jobs.commands import ChangeConfiguration, SubmitJob
from millethead.jobs.state import JobPhase
from millethead.lab.core_machine import CoreProcess
from millethead.lab.streamed import StreamedConfigurations
from millethead.replication.log_position import LogPosition
from millethead.replication.view import View
from millethead.rpc.codec import decode_any
from millethead.storage.log import Entry

OK, BAD_REQUEST, NOT_FOUND, GONE, CONFLICT = 200, 400, 404, 410, 412


class Violation(AssertionError):
    """Something that must hold does not."""


@dataclass(frozen=True, slots=True)
class _Known:
    """An entry as some log took it: what it says, and the epoch of the one before it."""

    payload: bytes
    before: int


class Oracle:
    """Told of every entry, commit, view and answer; raises Violation."""

    def __init__(self, least_chain: int) -> None:
        self.reference = ControlState()
        self.streamed = StreamedConfigurations()
        self.newest_epoch = 0
        self.views: dict[int, View] = {}
        self.acknowledged_orders: set[bytes] = set()
        self.refused_orders: set[bytes] = set()
        self.acknowledged_jobs: set[str] = set()
        self.cancelled_jobs: set[str] = set()
        self._refused_jobs: set[str] = set()  # their cancel was answered 410
        self._cancel_sent: set[str] = set()
        self._bases: dict[int | None, bytes] = {}
        self._least_chain = least_chain
        self._known: dict[tuple[int, int], _Known] = {}
        self._committed: list[int] = [0]  # the epoch of each committed entry, by its sequence
        self._committed_in: list[int] = [0]  # the epoch of the view in which it was first held for committed
        self._committing_epoch = 0
        self.version_floor = 0  # the newest version that was acknowledged or read

    @property
    def committed_entries(self) -> int:
        return len(self._committed) - 1

    # ---- logs --------------------------------------------------------------------------------------------

    def appended(self, process: str, before: tuple[int, int], entry: Entry) -> None:
        """A member has taken an entry after the one of (epoch, sequence) `before`."""
        if entry.epoch < before[0]:
            raise Violation(f"{process}: entry {entry.sequence} of epoch {entry.epoch} after one of {before[0]}")
        known = self._known.setdefault((entry.epoch, entry.sequence), _Known(entry.payload, before[0]))
        if known != _Known(entry.payload, before[0]):
            raise Violation(f"{process}: two entries are {entry.epoch}:{entry.sequence}")

    def epoch_of(self, process: CoreProcess, sequence: int) -> int:
        """The epoch of an entry in a member's log."""
        assert process.replica is not None
        epoch, at = process.replica.chain.log.last
        while at > sequence:
            epoch, at = self._known[epoch, at].before, at - 1
        return epoch

    def committed(self, process: CoreProcess, sequence: int) -> None:
        """A head holds everything up to `sequence` for committed."""
        assert process.replica is not None
        if len(process.replica.view.chain) < self._least_chain:
            return  # it does not answer
        view_epoch = process.replica.view.epoch
        epoch, at = self.epoch_of(process, sequence), sequence
        own = epoch == view_epoch  # else it lies before the epoch, and nobody is answered for it
        new: list[tuple[int, int]] = []
        while at > self.committed_entries:
            new.append((epoch, at))
            epoch, at = self._known[epoch, at].before, at - 1
        if at and self._committed[at] != epoch:
            raise Violation(
                f"{process.address}, head of epoch {view_epoch}: entry {at} is of epoch {epoch}, and "
                f"committed is one of {self._committed[at]}"
            )
        if own and self._committing_epoch < view_epoch and sequence <= self._committed_before(view_epoch):
            raise Violation(
                f"{process.address}, head of epoch {view_epoch}: commits entry {sequence} of it, and "
                f"{self._committed_before(view_epoch)} entries were committed before"
            )
        if new and view_epoch < self._committing_epoch:
            raise Violation(
                f"{process.address}: entry {sequence} is committed in epoch {view_epoch}, "
                f"after commits in {self._committing_epoch}"
            )
        if own:
            self._committing_epoch = max(self._committing_epoch, view_epoch)
        for number in reversed(new):
            self._apply(number, view_epoch)

    def _committed_before(self, view_epoch: int) -> int:
        """How many entries were committed in earlier epochs. A later head may have committed entries of this one, of
        which its own head hears late."""
        return max((at for at, epoch in enumerate(self._committed_in) if epoch < view_epoch), default=0)

    def _apply(self, number: tuple[int, int], view_epoch: int) -> None:
        payload = self._known[number].payload
        self._committed.append(number[0])
        self._committed_in.append(view_epoch)
        result = self.reference.apply(payload, LogPosition(*number))
        self.streamed.committed(self.reference.configuration)
        command = decode_any(payload) if payload else None
        if isinstance(command, ChangeConfiguration):
            digest = configuration_order(command).digest()
            if getattr(result, "verdict", None) is Verdict.ACCEPTED and digest in self.refused_orders:
                raise Violation("an order that was refused is in force")
        elif isinstance(command, SubmitJob) and command.job not in self.reference.jobs.jobs:
            raise Violation(f"job {command.job} is committed and not kept")
        elif isinstance(command, SubmitJob) and command.job in self._refused_jobs:
            raise Violation(f"job {command.job} is accepted, and its cancelling was answered 410")

    def view_adopted(self, process: CoreProcess, view: View) -> None:
        known = self.views.setdefault(view.epoch, view)
        if known != view:
            raise Violation(f"{process.address}: two views of epoch {view.epoch}: {known} and {view}")
        self.newest_epoch = max(self.newest_epoch, view.epoch)

    # ---- answers -----------------------------------------------------------------------------------------

    def in_force(self, command: ChangeConfiguration) -> bool:
        """Whether an order has taken effect at some time."""
        return configuration_order(command).digest() in self.reference.configuration._accepted

    def order_answered(self, command: ChangeConfiguration, status: int, known_acknowledged: bool) -> None:
        """`known_acknowledged`: it had been acknowledged when this call was made."""
        digest = configuration_order(command).digest()
        if status == OK:
            if not self.in_force(command):
                raise Violation("an order is acknowledged that is not committed")
            self.acknowledged_orders.add(digest)
            first = self._bases.setdefault(command.if_match, digest)
            if first != digest:
                raise Violation(f"two orders on version {command.if_match} are acknowledged")
            self.version_floor = max(self.version_floor, json.loads(command.body)["version"])
        elif status in (BAD_REQUEST, CONFLICT):
            if known_acknowledged:
                raise Violation("an acknowledged order is refused when it is sent again")
            if self.in_force(command):
                raise Violation(f"an order is refused with {status} and in force")
            self.refused_orders.add(digest)
        else:
            raise Violation(f"an order is answered {status}")

    def configuration_read(self, floor: int, status: int, body: bytes) -> None:
        """`floor`: what had been acknowledged or read when the call was made."""
        version = int(json.loads(body)["version"]) if status == OK else 0
        if version < floor:
            raise Violation(f"version {version} is read after {floor} was acknowledged or read")
        if version > self.reference.configuration.version:
            raise Violation(f"version {version} is read and not committed")
        self.version_floor = max(self.version_floor, version)

    def job_submitted(self, name: str, status: int) -> None:
        if status == OK:
            if name not in self.reference.jobs.jobs:
                raise Violation(f"job {name} is acknowledged and not committed")
            self.acknowledged_jobs.add(name)
        elif status == GONE and name not in self._cancel_sent:
            raise Violation(f"job {name} is refused as cancelled, and nobody cancelled it")

    def cancel_sent(self, name: str) -> None:
        """A client begins to cancel a job."""
        self._cancel_sent.add(name)

    def job_cancelled(self, name: str, status: int, body: bytes) -> None:
        if status == OK and json.loads(body)["state"] == "cancelled":
            if self.reference.jobs.jobs[name].phase is not JobPhase.CANCELLED:
                raise Violation(f"the cancelling of job {name} is acknowledged and not committed")
            self.cancelled_jobs.add(name)
        elif status == GONE:
            if name in self.reference.jobs.jobs:
                raise Violation(f"the cancelling of job {name} is answered 410, and the job is known")
            self._refused_jobs.add(name)

    def job_read(self, name: str, acknowledged: bool, cancelled: bool, status: int, body: bytes) -> None:
        """`acknowledged`, `cancelled`: what had been answered when the call was made."""
        if acknowledged and status == GONE:
            raise Violation(f"job {name} was acknowledged and is gone")
        if cancelled and status == OK and json.loads(body)["state"] != "cancelled":
            raise Violation(f"job {name} was cancelled and is {body!r}")

    def finish(self) -> None:
        """At the end: what was acknowledged is there."""
        accepted = self.reference.configuration._accepted
        if any(digest not in accepted for digest in self.acknowledged_orders):
            raise Violation("an acknowledged order is lost")
        if any(name not in self.reference.jobs.jobs for name in self.acknowledged_jobs):
            raise Violation("an acknowledged job is lost")
