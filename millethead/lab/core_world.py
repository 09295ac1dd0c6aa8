"""The core of a system in virtual time, by a seed: members with disks, relays, clients, troubles, and an oracle that
holds them to what must be.

A history begins with the first start of all, has troubles for some seconds, and ends with a calm time in which
everything has to work again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from millethead.lab.core_clients import ANSWER_S, Client, Follower, Line, Operator, Reader, Submitter
from millethead.lab.core_durability import accepted_view, disk_identity, holds_entry, rot_offsets
from millethead.lab.core_machine import CoreProcess, Machine, Surroundings
from millethead.lab.core_network import Network
from millethead.lab.core_oracle import Oracle, Violation
from millethead.lab.core_storage import FOLDER, PagedDisk
from millethead.lab.core_time import Timeline
from millethead.lab.core_troubles import USUAL_LOSS, Troubles
from millethead.lab.streamed import UncommittedConfiguration
from millethead.replication.chain_ports import Role
from millethead.replication.replica import ReplicaSettings
from millethead.replication.view import Member, View
from millethead.storage.log import LOG_NAME, Entry

START_S = 0.3  # all processes start within this time
BACK_S = 1.0  # after the troubles all machines are back within this time
SERVING_S = 3.0  # and so much later a head serves
CALM_S = 5.5  # length of the calm time
RESETS, MOST_RESETS = 0.5, 6  # part of the histories that have links end in the calm time, and how often
DISKS_READ = 0.25  # part of the commits at which the disks are read
QUIET_S = 0.2  # at the end no client calls
MOST_CALM_VIEWS = 14  # views that the calm time may need: members come back one by one, and voters change one by one
SETTLED_VIEWS = 3  # of these after SERVING_S
SHORT_GAP_S = 0.25  # a change of view takes less
LOOK_S = 0.02  # between looks for a head that serves
SNAPSHOT_PART_BYTES = 200  # small, so that copies take several parts and lose their links half-way
DRIFT = 0.02  # by how much a steady clock runs fast or slow at most
ROTTEN_S = 1.5  # between a bit of a disk in service going bad and the loss of power that has the disk read anew


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """`trouble_s` of troubles, `gap_s` apart on average; `by_chance` false: only those that the caller makes.
    `members`: how many, and how many lost ones are tolerated; one of them is drawn."""

    trouble_s: float = 6.0
    gap_s: float = 0.6
    by_chance: bool = True
    members: tuple[tuple[int, int], ...] = ((3, 1), (3, 1), (3, 1), (4, 1), (5, 2))


@dataclass(slots=True)
class History:
    """What came of one history. `fault` is empty where everything held; times in seconds."""

    seed: int
    members: int = 0
    fault: str = ""
    events: int = 0
    entries: int = 0
    orders: int = 0
    jobs: int = 0
    views: int = 0
    wipes: int = 0
    serving_s: float = 0.0  # of the calm time, until a head served for good
    longest_gap_s: float = 0.0  # without a head that serves, troubles or not
    told: list[tuple[float, str]] = field(default_factory=list)


class CoreWorld:
    """One history; `play` runs it."""

    def __init__(self, seed: int, settings: WorldSettings) -> None:
        self.random = Random(seed)
        self.timeline = Timeline()
        self.network = Network(self.timeline, self.random)
        self.network.loss = USUAL_LOSS
        self.history = History(seed)
        self._settings = settings
        self._all: list[Machine] = []
        self._number = 0
        self._successors_due = 0  # machines that were taken away, and whose successors are not there yet
        members, tolerated = self.random.choice(settings.members)
        self.history.members = members
        self.oracle = Oracle(tolerated + 1)
        self._around = Surroundings(
            self.timeline,
            self.network,
            self.random,
            self,
            ReplicaSettings(least_chain=tolerated + 1, snapshot_part_bytes=SNAPSHOT_PART_BYTES),
        )
        relays = 1 if self.random.random() < 0.2 else 0
        addresses = [self._new_address() for _ in range(members + relays)]
        disks = addresses[:members]
        seeds = tuple(self.random.sample(addresses, 3)) if members > 3 else tuple(disks)
        for address in addresses:
            self._add_machine(address, seeds, address in disks, True)
        self.troubles = Troubles(self, settings.gap_s, settings.trouble_s)
        line = Line(self.timeline, self.random, self, self.oracle, self.troubles.acknowledged)
        self.operators = [Operator(line, name) for name in ("north", "south")]
        self.submitters = [Submitter(line, number) for number in range(2)]
        self.readers = [Reader(line) for _ in range(4)]
        self.followers = [Follower(line, number) for number in range(3)]
        self._calm_at = settings.trouble_s + BACK_S
        self._end = self._calm_at + CALM_S
        line.answered_from, line.ends_at = self._calm_at + SERVING_S, self._end - QUIET_S
        self._served_at = 0.0
        self._not_serving_at = 0.0

    # ---- machines ----------------------------------------------------------------------------------------

    def _new_address(self) -> str:
        self._number += 1
        return f"10.{self.random.randrange(1, 250)}.0.{self._number}:7660"

    def _add_machine(self, address: str, seeds: tuple[str, ...], disk: bool, bootstrap: bool) -> Machine:
        files = PagedDisk(self.random.getrandbits(64)) if disk else None
        machine = Machine(
            address, seeds, files, 1 + self.random.uniform(-DRIFT, DRIFT), self.random.uniform(0.0, 1e6), bootstrap
        )
        self._all.append(machine)
        self.timeline.after(self.random.uniform(0.0, START_S), lambda: self._start(machine))
        return machine

    def _start(self, machine: Machine) -> None:
        if machine.process is None and not machine.removed:
            machine.process, machine.rotten = CoreProcess(machine, self._around), False
            self._check_recovery(machine, machine.process)

    def _check_recovery(self, machine: Machine, process: CoreProcess) -> None:
        """What a process held for synced is there when the next one begins, if the disk is the same."""
        if process.replica is None or machine.held_synced is None:
            return
        disk, sequence = machine.held_synced
        if process.replica.me.disk == disk and process.replica.chain.log.last[1] < sequence:
            raise Violation(
                f"{machine.address} held {sequence} entries for synced, and comes back with "
                f"{process.replica.chain.log.last[1]}"
            )

    def machines(self) -> list[Machine]:
        """Those that were not taken away."""
        return [machine for machine in self._all if not machine.removed]

    def head(self) -> Machine | None:
        serving = [machine for machine in self.machines() if machine.process is not None and machine.process.is_serving]
        return max(serving, key=_epoch, default=None)

    def newest_head(self) -> str:
        view = self.oracle.views.get(self.oracle.newest_epoch)
        return view.chain[0].member.address if view is not None else ""

    # ---- what troubles do --------------------------------------------------------------------------------

    def _stop(self, machine: Machine) -> CoreProcess | None:
        process, machine.process = machine.process, None
        machine.frozen = False
        machine.deferred.clear()
        if process is not None:
            if process.replica is not None and machine.disk is not None:
                machine.held_synced = (process.replica.me.disk, process.replica.chain.durable)
            process.kill()
        return process

    def kill(self, machine: Machine, back_s: float) -> None:
        process = self._stop(machine)
        if process is None:
            return
        if process.replica is not None:
            self.network.process_ended(process)
        if machine.disk is not None:
            machine.disk.end_process()
        self.timeline.after(back_s, lambda: self._start(machine))

    def lose_power(self, machine: Machine, back_s: float) -> None:
        if self._stop(machine) is None:
            return
        self.network.power_lost(machine.address)
        if machine.disk is not None:
            machine.disk.lose_power()
        self.timeline.after(back_s, lambda: self._start(machine))

    def wipe(self, machine: Machine, back_s: float) -> None:
        self.lose_power(machine, back_s)
        assert machine.disk is not None
        machine.disk.wipe()
        self.history.wipes += 1

    def rot(self, machine: Machine, back_s: float) -> None:
        assert machine.disk is not None
        offsets = rot_offsets(machine.disk)
        if not offsets:
            return
        self.kill(machine, back_s)
        machine.rotten = True  # until the next process finds it out: the disk counts as lost
        machine.disk.flip_bit(FOLDER / LOG_NAME, self.random.choice(offsets), self.random.randrange(8))
        self.history.wipes += 1

    def rot_in_service(self, machine: Machine, back_s: float) -> None:
        """A bit of the log goes bad while the process runs; later the machine loses its power, and reads the disk
        anew."""
        assert machine.disk is not None
        offsets = rot_offsets(machine.disk)
        if offsets:
            machine.rotten = True
            machine.disk.flip_bit(FOLDER / LOG_NAME, self.random.choice(offsets), self.random.randrange(8))
        self.timeline.after(ROTTEN_S, lambda: self.lose_power(machine, back_s))

    def replace(self, machine: Machine, back_s: float) -> None:
        self._stop(machine)
        self.network.power_lost(machine.address)
        machine.removed = True
        self.history.wipes += 1
        self._successors_due += 1
        self.timeline.after(back_s, self._start_successor)

    def _start_successor(self) -> None:
        """A new machine, at an address of its own, whose seeds are some that are there now."""
        self._successors_due -= 1
        seeds = [other.address for other in self.machines()]
        self._add_machine(self._new_address(), tuple(self.random.sample(seeds, min(3, len(seeds)))), True, False)

    def freeze(self, machine: Machine, seconds: float) -> None:
        if machine.process is None or machine.frozen:
            return
        process, machine.frozen = machine.process, True

        def thaw() -> None:
            if machine.process is process:
                self._thaw(machine)

        self.timeline.after(seconds, thaw)

    def _thaw(self, machine: Machine) -> None:
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
        process = machine.process
        if process is None or process.draining:
            return

        def ended() -> None:
            if machine.process is process:
                self.kill(machine, back_s)

        process.post(lambda: process.terminate(ended))

    def may_lose(self, machine: Machine) -> bool:
        head = self.head()
        if head is None or head.process is None or head.process.replica is None:
            return False
        if self._successors_due or self.network.loss > USUAL_LOSS:
            return False
        view = head.process.replica.view
        others = [other for other in self.machines() if other.disk is not None and other is not machine]
        return (
            view.epoch == self.oracle.newest_epoch
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
            and chain.role in (Role.HEAD, Role.FOLLOWING)
            and any(voter == process.replica.me for voter in view.voters)
        )

    # ---- what the processes tell -------------------------------------------------------------------------

    def appended(self, process: CoreProcess, before: tuple[int, int], entry: Entry) -> None:
        self.oracle.appended(process.address, before, entry)

    def committed(self, process: CoreProcess, sequence: int) -> None:
        self.oracle.committed(process, sequence)
        if self.random.random() < DISKS_READ:
            self._check_disks(process, sequence)

    def _check_disks(self, process: CoreProcess, sequence: int) -> None:
        """What a head holds for committed is on the disk of each member of its chain, or that disk is lost or bad."""
        epoch = self.oracle.epoch_of(process, sequence)
        machines = {machine.address: machine for machine in self.machines()}
        for place in process.chain_places():
            machine = machines.get(place.member.address)
            disk = machine.disk if machine is not None else None
            if machine is None or disk is None or machine.rotten or disk_identity(disk) != place.member.disk:
                continue
            if not holds_entry(disk, epoch, sequence):
                raise Violation(
                    f"entry {sequence} of epoch {epoch} is committed, and not on the disk of {place.member.address}"
                )

    def view_adopted(self, process: CoreProcess, view: View) -> None:
        first = view.epoch not in self.oracle.views
        self.oracle.view_adopted(process, view)
        before = self.oracle.views.get(view.epoch - 1)
        if first and (before is not None or view.epoch == 1):
            self._check_agreed(view, (before or view).voters)
        if first:
            self.troubles.view_agreed()

    def _check_agreed(self, view: View, before: tuple[Member, ...]) -> None:
        """A view that is adopted is on the disks of a majority of the voters before it, or of its own voters where a
        later round confirmed what an earlier one had begun."""
        if not (self._is_agreed(view, before) or self._is_agreed(view, view.voters)):
            raise Violation(f"the view of epoch {view.epoch} is adopted, and on too few disks")

    def _is_agreed(self, view: View, voters: tuple[Member, ...]) -> bool:
        """Whether a majority has a view on its disks; those that are lost since count."""
        machines = {machine.address: machine for machine in self.machines()}
        holders = 0
        for voter in voters:
            machine = machines.get(voter.address)
            disk = machine.disk if machine is not None else None
            if disk is None or disk_identity(disk) != voter.disk or accepted_view(disk).epoch >= view.epoch:
                holders += 1
        return 2 * holders > len(voters)

    # ---- the play ----------------------------------------------------------------------------------------

    def play(self) -> History:
        """Run the history; a fault is told in what it returns."""
        try:
            self._play()
        except (Violation, UncommittedConfiguration) as fault:
            self.history.fault = f"{self.timeline.now:.3f} s: {fault}"
        self._count()
        return self.history

    def _play(self) -> None:
        clients: list[Client] = [*self.operators, *self.submitters, *self.readers, *self.followers]
        for client in clients:
            client.until = self._end - QUIET_S - ANSWER_S
            client.start()
        if self._settings.by_chance:
            self.troubles.start()
        self._race()
        self._look()
        self.timeline.run(self._settings.trouble_s)
        self._calm()
        self.timeline.run(self._calm_at)
        self._reset_links()
        calm_epoch = self.oracle.newest_epoch
        self.timeline.run(self._calm_at + SERVING_S)
        settled_epoch = self.oracle.newest_epoch
        self.timeline.run(self._end)
        self._check_end(calm_epoch, settled_epoch)

    def _race(self) -> None:
        """Now and then both operators act at the same moment."""
        if self.timeline.now < self._settings.trouble_s:
            for operator in self.operators:
                operator.act()
            self.timeline.after(self.random.uniform(0.3, 2.0), self._race)

    def _look(self) -> None:
        now = self.timeline.now
        if self.head() is not None:
            self._served_at = now
        elif now - self._served_at > SHORT_GAP_S:
            self._not_serving_at = now
            self.history.longest_gap_s = max(self.history.longest_gap_s, now - self._served_at)
        self.timeline.after(LOOK_S, self._look)

    def _calm(self) -> None:
        """All troubles end."""
        self.network.heal_all()
        self.network.loss = USUAL_LOSS
        for machine in self.machines():
            if machine.frozen:
                self._thaw(machine)
            machine.condition.sync_s = machine.condition.usual_s
            machine.condition.stalled_until = min(machine.condition.stalled_until, self.timeline.now)
            if machine.disk is not None:
                machine.disk.refusing, machine.disk.failing_syncs = False, 0

    def _reset_links(self) -> None:
        """Links end even in a time that is else calm; that needs no other view."""
        if self.random.random() < RESETS:
            for _ in range(MOST_RESETS):
                address = self.random.choice(self.machines()).address
                self.timeline.after(self.random.uniform(0.0, SERVING_S), partial(self.network.reset, address))

    def _check_end(self, calm_epoch: int, settled_epoch: int) -> None:
        self.oracle.finish()
        self.history.serving_s = max(0.0, self._not_serving_at - self._calm_at)
        if self.history.serving_s > SERVING_S:
            raise Violation(f"no head served {self.history.serving_s:.2f} s after all machines were back")
        epoch = self.oracle.newest_epoch
        if epoch - calm_epoch > MOST_CALM_VIEWS or epoch - settled_epoch > SETTLED_VIEWS:
            raise Violation(
                f"{epoch - calm_epoch} views in the calm time, {epoch - settled_epoch} of them after {SERVING_S:g} s"
            )
        self._check_followers()
        expected = self.oracle.reference.snapshot()
        for machine in self.machines():
            self._check_member(machine, expected)

    def _check_followers(self) -> None:
        newest = self.oracle.streamed.newest
        for follower in self.followers:
            if follower.held.place != newest:
                raise Violation(f"a follower holds {follower.held.place} at the end, and {newest} is in force")

    def _check_member(self, machine: Machine, expected: bytes) -> None:
        replica = machine.process.replica if machine.process is not None else None
        if replica is None:
            raise Violation(f"{machine.address} does not run at the end")
        if replica.view.epoch != self.oracle.newest_epoch:
            raise Violation(f"{machine.address} is in epoch {replica.view.epoch} of {self.oracle.newest_epoch}")
        if machine.disk is None:
            return
        if replica.chain.role not in (Role.HEAD, Role.FOLLOWING):
            raise Violation(f"{machine.address} has no place in the chain at the end")
        if replica.chain.log.machine.snapshot() != expected:
            raise Violation(f"{machine.address} holds another state than what is committed")

    def _count(self) -> None:
        history = self.history
        history.events, history.told = self.timeline.events, self.troubles.told
        history.entries, history.views = self.oracle.committed_entries, self.oracle.newest_epoch
        history.orders, history.jobs = len(self.oracle.acknowledged_orders), len(self.oracle.acknowledged_jobs)


def _epoch(machine: Machine) -> int:
    assert machine.process is not None and machine.process.replica is not None
    return machine.process.replica.view.epoch


def play(seed: int, settings: WorldSettings | None = None) -> History:
    """One history by its seed."""
    return CoreWorld(seed, settings or WorldSettings()).play()
