"""The machines of an emulated core: they start, stop, lose their power or their disks, freeze, and are replaced."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from millethead.lab.core_durability import COPY_BYTES, equal_copies, rot_offsets
from millethead.lab.core_machine import CoreProcess, Machine, Surroundings
from millethead.lab.core_oracle import Oracle, Violation
from millethead.lab.core_storage import FOLDER, PagedDisk
from millethead.lab.core_troubles import USUAL_LOSS
from millethead.lab.disk import SimulatedDisk
from millethead.replication.chain_ports import Role
from millethead.replication.view import View
from millethead.storage.log import LOG_NAME

START_S = 0.3  # all processes start within this time
DRIFT = 0.02  # by how much a steady clock runs fast or slow at most
ROT_OF_COPIES = 0.4  # part of the bits that go bad in a copy of the identity or of the promises
ROTTEN_S = 1.5  # between a bit of a disk in service going bad and the loss of power that has the disk read anew


class Cluster:
    """`wipes`: disks that were lost or replaced so far."""

    def __init__(self, around: Surroundings, oracle: Oracle) -> None:
        self.timeline, self.network, self.random = around.timeline, around.network, around.random
        self.wipes = 0
        self._around, self._oracle = around, oracle
        self._all: list[Machine] = []
        self._number = 0
        self._successors_due = 0  # machines that were taken away, and whose successors are not there yet

    def begin(self, members: int, relays: int) -> None:
        """The first start of all: so many with a disk, and so many without."""
        addresses = [self._new_address() for _ in range(members + relays)]
        disks = addresses[:members]
        seeds = tuple(self.random.sample(addresses, 3)) if members > 3 else tuple(disks)
        for address in addresses:
            self._add_machine(address, seeds, address in disks, True)

    def _new_address(self) -> str:
        self._number += 1
        return f"10.{self.random.randrange(1, 250)}.0.{self._number}:7660"

    def _add_machine(self, address: str, seeds: tuple[str, ...], disk: bool, bootstrap: bool) -> Machine:
        files = PagedDisk(self.random.getrandbits(64)) if disk else None
        machine = Machine(
            address, seeds, files, 1 + self.random.uniform(-DRIFT, DRIFT), self.random.uniform(0.0, 1e6), bootstrap
        )
        self._all.append(machine)
        self.timeline.after(self.random.uniform(0.0, START_S), lambda: self.start(machine))
        return machine

    def start(self, machine: Machine) -> None:
        """Start the process of a machine that has none."""
        if machine.process is None and not machine.removed:
            machine.process, machine.rotten = CoreProcess(machine, self._around), False
            self._check_recovery(machine, machine.process)

    def _check_recovery(self, machine: Machine, process: CoreProcess) -> None:
        """What a process held for synced is there when the next one begins, if the disk is the same."""
        if process.replica is None or machine.held_synced is None:
            return
        disk, sequence = machine.held_synced
        if process.replica.member.disk == disk and process.replica.chain.log.last[1] < sequence:
            raise Violation(
                f"{machine.address} held {sequence} entries for synced, and comes back with "
                f"{process.replica.chain.log.last[1]}"
            )

    def machines(self) -> list[Machine]:
        """Those that were not taken away."""
        return [machine for machine in self._all if not machine.removed]

    def head(self) -> Machine | None:
        """The machine whose process serves as the head of the newest epoch."""
        serving = [machine for machine in self.machines() if machine.process is not None and machine.process.is_serving]
        return max(serving, key=_epoch, default=None)

    def newest_head(self) -> str:
        """The address of the head of the newest view, serving or not."""
        view = self._oracle.views.get(self._oracle.newest_epoch)
        return view.chain[0].member.address if view is not None else ""

    # ---- what troubles do --------------------------------------------------------------------------------

    def _stop(self, machine: Machine) -> CoreProcess | None:
        process, machine.process = machine.process, None
        machine.frozen = False
        machine.deferred.clear()
        if process is not None:
            if process.replica is not None and machine.disk is not None:
                machine.held_synced = (process.replica.member.disk, process.replica.chain.durable)
            process.kill()
        return process

    def kill(self, machine: Machine, back_s: float) -> None:
        """Its process ends at once; another starts after `back_s`."""
        process = self._stop(machine)
        if process is None:
            return
        if process.replica is not None:
            self.network.process_ended(process)
        if machine.disk is not None:
            machine.disk.end_process()
        self.timeline.after(back_s, lambda: self.start(machine))

    def lose_power(self, machine: Machine, back_s: float) -> None:
        """The same, and what was not synced may be lost."""
        if self._stop(machine) is None:
            return
        self.network.power_lost(machine.address)
        if machine.disk is not None:
            machine.disk.lose_power()
        self.timeline.after(back_s, lambda: self.start(machine))

    def wipe(self, machine: Machine, back_s: float) -> None:
        """It loses its power and its disk."""
        self.lose_power(machine, back_s)
        assert machine.disk is not None
        machine.disk.wipe()
        self.wipes += 1

    def rot(self, machine: Machine, back_s: float) -> None:
        """A bit of its log goes bad while no process runs, or one of a copy of its identity or its promises."""
        assert machine.disk is not None
        if self.random.random() < ROT_OF_COPIES:
            self.kill(machine, back_s)
            self._rot_copy(machine.disk)
            return
        offsets = rot_offsets(machine.disk)
        if not offsets:
            return
        self.kill(machine, back_s)
        machine.rotten = True  # until the next process finds it out: the disk counts as lost
        machine.disk.flip_bit(FOLDER / LOG_NAME, self.random.choice(offsets), self.random.randrange(8))
        self.wipes += 1

    def rot_in_service(self, machine: Machine, back_s: float) -> None:
        """A bit goes bad while the process runs; later the machine loses its power, and reads the disk anew."""
        if self.random.random() < ROT_OF_COPIES:
            self.rot_copy_in_service(machine, back_s)
        else:
            self.rot_log_in_service(machine, back_s)

    def rot_log_in_service(self, machine: Machine, back_s: float) -> None:
        """The same, in the log."""
        assert machine.disk is not None
        offsets = rot_offsets(machine.disk)
        if offsets:
            machine.rotten = True
            machine.disk.flip_bit(FOLDER / LOG_NAME, self.random.choice(offsets), self.random.randrange(8))
        self.timeline.after(ROTTEN_S, lambda: self.lose_power(machine, back_s))

    def rot_copy_in_service(self, machine: Machine, back_s: float) -> None:
        """The same, in a copy of the identity or of the promises."""
        assert machine.disk is not None
        self._rot_copy(machine.disk)
        self.timeline.after(ROTTEN_S, lambda: self.lose_power(machine, back_s))

    def _rot_copy(self, disk: SimulatedDisk) -> None:
        """A bit goes bad in one of two copies that are the same: the disk stays what it is."""
        copies = equal_copies(disk)
        if copies:
            path, offset = self.random.choice(copies)
            disk.flip_bit(path, offset + self.random.randrange(COPY_BYTES), self.random.randrange(8))

    def replace(self, machine: Machine, back_s: float) -> None:
        """It is taken away for good; a new one comes after `back_s`."""
        self._stop(machine)
        self.network.power_lost(machine.address)
        machine.removed = True
        self.wipes += 1
        self._successors_due += 1
        self.timeline.after(back_s, self._start_successor)

    def _start_successor(self) -> None:
        """A new machine, at an address of its own, whose seeds are some that are there now."""
        self._successors_due -= 1
        seeds = [other.address for other in self.machines()]
        self._add_machine(self._new_address(), tuple(self.random.sample(seeds, min(3, len(seeds)))), True, False)

    def freeze(self, machine: Machine, seconds: float) -> None:
        """Its process does nothing for a while."""
        if machine.process is None or machine.frozen:
            return
        process, machine.frozen = machine.process, True

        def thaw() -> None:
            if machine.process is process:
                self.thaw(machine)

        self.timeline.after(seconds, thaw)

    def thaw(self, machine: Machine) -> None:
        """What came while it was frozen is looked at now."""
        machine.frozen = False
        deferred, machine.deferred = machine.deferred, []
        queues: dict[object, deque[tuple[CoreProcess, Callable[[], None]]]] = {}
        for process, call, source in deferred:
            queues.setdefault(source, deque()).append((process, call))
        while queues:  # the sockets and the timers are looked at in any order
            source = self.random.choice(list(queues))
            process, call = queues[source].popleft()
            if not queues[source]:
                del queues[source]
            process.post(call)

    def terminate(self, machine: Machine, back_s: float) -> None:
        """SIGTERM: its process hands over and ends."""
        process = machine.process
        if process is None or process.draining:
            return

        def ended() -> None:
            if machine.process is process:
                self.kill(machine, back_s)

        process.post(lambda: process.terminate(ended))

    def may_lose(self, machine: Machine) -> bool:
        """Whether all that was acknowledged is on the others, which can go on without this one."""
        head = self.head()
        if head is None or head.process is None or head.process.replica is None:
            return False
        if not head.process.replica.serving:
            return False
        if self._successors_due or self.network.loss > USUAL_LOSS:
            return False
        view = head.process.replica.view
        others = [other for other in self.machines() if other.disk is not None and other is not machine]
        return (
            view.epoch == self._oracle.newest_epoch
            and all(self._is_well(other, view) for other in others)
            and {voter.address for voter in view.voters} <= {other.address for other in [*others, machine]}
            and all(self.network.joined(one.address, other.address) for one in others for other in others)
        )

    def _is_well(self, machine: Machine, view: View) -> bool:
        """Whether a machine counts as one that is not lost: it has a place in the chain, and holds all."""
        process = machine.process
        if process is None or machine.frozen or process.draining or process.replica is None or process.storage is None:
            return False
        if process.storage.broken or machine.condition.stalled_until > self.timeline.now:
            return False
        chain = process.replica.chain
        return (
            process.replica.view == view
            and chain.role in (Role.HEAD, Role.FOLLOWER)
            and any(voter == process.replica.member for voter in view.voters)
        )


def _epoch(machine: Machine) -> int:
    assert machine.process is not None and machine.process.replica is not None
    return machine.process.replica.view.epoch
