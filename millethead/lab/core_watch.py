"""What the processes of an emulated core tell, held against the oracle and against the disks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from millethead.lab.core_durability import accepted_view, disk_identity, holds_entry
from millethead.lab.core_machine import CoreProcess, Machine
from millethead.lab.core_oracle import Oracle, Violation
from millethead.replication.proposal import ViewProposal
from millethead.replication.view import Member, View
from millethead.storage.log import Entry

DISKS_READ = 0.25  # part of the commits at which the disks are read


@dataclass(frozen=True, slots=True)
class Proposed:
    """A view that a member has asked the voters for, and when."""

    at: float
    address: str
    proposal: ViewProposal


class CoreWatch:
    """`view_agreed` is called when a view is adopted for the first time. `proposals`: all that were made."""

    def __init__(
        self,
        oracle: Oracle,
        random: Random,
        machines: Callable[[], list[Machine]],
        view_agreed: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        self._now = now
        self._oracle, self._random, self._machines, self._view_agreed = oracle, random, machines, view_agreed
        self.proposals: list[Proposed] = []
        self.heads: list[float] = []  # when a process began to serve as the head
        self.adopted_at: dict[int, float] = {}  # when each view was adopted for the first time

    def appended(self, process: CoreProcess, before: tuple[int, int], entry: Entry) -> None:
        """A process has taken an entry behind the one of this epoch and sequence."""
        self._oracle.appended(process.address, before, entry)

    def committed(self, process: CoreProcess, sequence: int) -> None:
        """A head holds all up to this sequence for committed."""
        self._oracle.committed(process, sequence)
        if self._random.random() < DISKS_READ:
            self._check_disks(process, sequence)

    def _check_disks(self, process: CoreProcess, sequence: int) -> None:
        """What a head holds for committed is on the disk of each member of its chain, or that disk is lost or bad."""
        epoch = self._oracle.epoch_of(process, sequence)
        machines = {machine.address: machine for machine in self._machines()}
        for place in process.chain_places():
            machine = machines.get(place.member.address)
            disk = machine.disk if machine is not None else None
            if machine is None or disk is None or machine.rotten or disk_identity(disk) != place.member.disk:
                continue
            if not holds_entry(disk, epoch, sequence):
                raise Violation(
                    f"entry {sequence} of epoch {epoch} is committed, and not on the disk of {place.member.address}"
                )

    def head_began(self, process: CoreProcess) -> None:
        """A process serves as the head, and knows nothing of what one before it knew beside the log."""
        self.heads.append(self._now())

    def proposed(self, process: CoreProcess, proposal: ViewProposal) -> None:
        """A process asks the voters for a view."""
        self.proposals.append(Proposed(self._now(), process.address, proposal))

    def view_adopted(self, process: CoreProcess, view: View) -> None:
        """A process holds a view for agreed."""
        first = view.epoch not in self._oracle.views
        self.adopted_at.setdefault(view.epoch, self._now())
        self._oracle.view_adopted(process, view)
        before = self._oracle.views.get(view.epoch - 1)
        if first and (before is not None or view.epoch == 1):
            self._check_agreed(view, (before or view).voters)
        if first:
            self._view_agreed()

    def _check_agreed(self, view: View, before: tuple[Member, ...]) -> None:
        """A view that is adopted is on the disks of a majority of the voters before it, and of a majority of its
        own."""
        if not (self._is_agreed(view, before) and self._is_agreed(view, view.voters)):
            raise Violation(f"the view of epoch {view.epoch} is adopted, and on too few disks")

    def _is_agreed(self, view: View, voters: tuple[Member, ...]) -> bool:
        """Whether a majority has a view on its disks; those that are lost since count."""
        machines = {machine.address: machine for machine in self._machines()}
        holders = 0
        for voter in voters:
            machine = machines.get(voter.address)
            disk = machine.disk if machine is not None else None
            if disk is None or disk_identity(disk) != voter.disk or accepted_view(disk).epoch >= view.epoch:
                holders += 1
        return 2 * holders > len(voters)
