"""The core of a system in virtual time, by a seed: members with disks, relays, clients, troubles, and an oracle that
holds them to what must be.

A history begins with the first start of all, has troubles for some seconds, and ends with a calm time in which
everything has to work again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from random import Random

from millethead.lab.core_calls import ANSWER_S, CallContext
from millethead.lab.core_clients import Client, Follower, Operator, Reader, Submitter
from millethead.lab.core_cluster import Cluster
from millethead.lab.core_machine import Machine, Surroundings
from millethead.lab.core_network import Network
from millethead.lab.core_oracle import Oracle, Violation
from millethead.lab.core_time import Timeline
from millethead.lab.core_troubles import USUAL_LOSS, Troubles
from millethead.lab.core_watch import CoreWatch
from millethead.lab.streamed import UncommittedConfiguration
from millethead.replication.chain_ports import Role
from millethead.replication.replica import ReplicaSettings

BACK_S = 1.0  # after the troubles all machines are back within this time
SERVING_S = 3.0  # and so much later a head serves
CALM_S = 5.5  # length of the calm time
RESETS, MOST_RESETS = 0.5, 6  # part of the histories that have links end in the calm time, and how often
QUIET_S = 0.2  # at the end no client calls
MOST_CALM_VIEWS = 14  # views that the calm time may need: members come back one by one, and voters change one by one
SETTLED_VIEWS = 3  # of these after SERVING_S
SHORT_GAP_S = 0.25  # a change of view takes less
LOOK_S = 0.02  # between looks for a head that serves
SNAPSHOT_PART_BYTES = 200  # small, so that copies take several parts and lose their links half-way


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
        members, tolerated = self.random.choice(settings.members)
        self.history.members = members
        self.oracle = Oracle(tolerated + 1)
        watch = CoreWatch(
            self.oracle,
            self.random,
            lambda: self.cluster.machines(),
            lambda: self.troubles.view_agreed(),
            lambda: self.timeline.now,
        )
        around = Surroundings(
            self.timeline,
            self.network,
            self.random,
            watch,
            ReplicaSettings(min_chain_length=tolerated + 1, snapshot_part_bytes=SNAPSHOT_PART_BYTES),
        )
        self.cluster = Cluster(around, self.oracle)
        self.cluster.begin(members, relays=1 if self.random.random() < 0.2 else 0)
        self.troubles = Troubles(self.cluster, settings.gap_s, settings.trouble_s)
        context = CallContext(self.timeline, self.random, self.cluster, self.oracle, self.troubles.acknowledged)
        self.operators = [Operator(context, name) for name in ("north", "south")]
        self.submitters = [Submitter(context, number) for number in range(2)]
        self.readers = [Reader(context) for _ in range(4)]
        self.followers = [Follower(context, number) for number in range(3)]
        self._calm_at = settings.trouble_s + BACK_S
        self._end = self._calm_at + CALM_S
        context.answered_from, context.ends_at = self._calm_at + SERVING_S, self._end - QUIET_S
        self._served_at = 0.0
        self._not_serving_at = 0.0

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
        if self.cluster.head() is not None:
            self._served_at = now
        elif now - self._served_at > SHORT_GAP_S:
            self._not_serving_at = now
            self.history.longest_gap_s = max(self.history.longest_gap_s, now - self._served_at)
        self.timeline.after(LOOK_S, self._look)

    def _calm(self) -> None:
        """All troubles end."""
        self.network.heal_all()
        self.network.loss = USUAL_LOSS
        for machine in self.cluster.machines():
            if machine.frozen:
                self.cluster.thaw(machine)
            machine.condition.sync_s = machine.condition.usual_s
            machine.condition.stalled_until = min(machine.condition.stalled_until, self.timeline.now)
            if machine.disk is not None:
                machine.disk.refusing, machine.disk.failing_syncs = False, 0

    def _reset_links(self) -> None:
        """Links end even in a time that is else calm; that needs no other view."""
        if self.random.random() < RESETS:
            for _ in range(MOST_RESETS):
                address = self.random.choice(self.cluster.machines()).address
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
        for machine in self.cluster.machines():
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
        if replica.chain.role not in (Role.HEAD, Role.FOLLOWER):
            raise Violation(f"{machine.address} has no place in the chain at the end")
        if replica.chain.log.machine.snapshot() != expected:
            raise Violation(f"{machine.address} holds another state than what is committed")

    def _count(self) -> None:
        history = self.history
        history.events, history.told = self.timeline.events, self.troubles.told
        history.entries, history.views = self.oracle.committed_entries, self.oracle.newest_epoch
        history.wipes = self.cluster.wipes
        history.orders, history.jobs = len(self.oracle.acknowledged_orders), len(self.oracle.acknowledged_jobs)


def play(seed: int, settings: WorldSettings | None = None) -> History:
    """One history by its seed."""
    return CoreWorld(seed, settings or WorldSettings()).play()
