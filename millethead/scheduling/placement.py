"""Where a unit goes: the workers of one service with their free room, and the random pick weighted by room.

A *host* is a worker as the scheduler books it. Only hosts that fit by label, anti-affinity and capacity are picked
from; among these the weight of a host is the number of such tasks that it has room for, times its health, less where
the task would break up room that a larger unit needs.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from typing import TYPE_CHECKING, Protocol

from millethead.execution.messages import Resources
from millethead.scheduling.model import LEAST_WEIGHT, WorkerState

if TYPE_CHECKING:
    from millethead.scheduling.state import Run

KEEP_LARGE = 0.15  # weight of a host on which a task would take the place of a larger unit
SLOTS_PER_WORKER = 8.0  # a slot, the spacing unit of the tags, is this part of the largest worker
LEAST_SLOTS = 0.1
UNBOUNDED = 1 << 16
GPU_CORES = 8.0  # cores that a GPU counts for
NOTHING = Resources(0, 0, 0)


def fit_count(room: Resources, needs: Resources) -> int:
    """How many tasks of these needs a room holds."""
    count = room.cpu // needs.cpu if needs.cpu else UNBOUNDED
    if needs.mem_mb:
        count = min(count, room.mem_mb // needs.mem_mb)
    if needs.gpu:
        count = min(count, room.gpu // needs.gpu)
    return count


def holds(room: Resources, needs: Resources) -> bool:
    """Whether a room holds one task of these needs."""
    return room.cpu >= needs.cpu and room.mem_mb >= needs.mem_mb and room.gpu >= needs.gpu


def plus(left: Resources, right: Resources) -> Resources:
    """The sum."""
    return Resources(left.cpu + right.cpu, left.mem_mb + right.mem_mb, left.gpu + right.gpu)


def minus(left: Resources, right: Resources) -> Resources:
    """The difference, nothing below 0."""
    return Resources(max(0, left.cpu - right.cpu), max(0, left.mem_mb - right.mem_mb), max(0, left.gpu - right.gpu))


def times(needs: Resources, count: int) -> Resources:
    """The needs of `count` tasks."""
    return Resources(needs.cpu * count, needs.mem_mb * count, needs.gpu * count)


def share(needs: Resources, capacity: Resources) -> float:
    """The largest part of any kind of resource that the needs take of the capacity."""
    return max(
        needs.cpu / max(capacity.cpu, 1),
        needs.mem_mb / max(capacity.mem_mb, 1),
        needs.gpu / capacity.gpu if capacity.gpu else 0.0,
    )


def cores(needs: Resources) -> float:
    """What the prices count: cores, with each GPU as several."""
    return needs.cpu / 1000.0 + GPU_CORES * needs.gpu


class Claim(Protocol):
    """Room that is kept on a host for one step."""

    @property
    def holder(self) -> object:
        """The step for which it is kept."""

    @property
    def start_at(self) -> float:
        """When it is expected to be used."""

    @property
    def priority(self) -> int:
        """The priority of the step's queue."""

    @property
    def shares(self) -> Mapping[str, Resources]:
        """What is kept at each instance."""


@dataclass(slots=True, eq=False)
class Host:
    """A worker with what is booked there. `free` is capacity less bookings, and never below 0. `health` is a factor of
    its weight; at 0 it is avoided. `proven` is False while its health is only being tried out."""

    state: WorkerState
    booked: Resources = NOTHING
    free: Resources = NOTHING
    health: float = 1.0
    merit: float = 1.0  # its health by itself, whatever is held of the other workers
    proven: bool = True
    claim: Claim | None = None
    lasting: int = 0  # runs of tasks that last
    runs: dict[Run, None] = field(default_factory=dict)
    open: bool = False
    service: str = ""
    rack: str = ""
    capacity: Resources = NOTHING
    labels: frozenset[str] = frozenset()
    level: int = 0
    position: int = 0

    def __post_init__(self) -> None:
        self.show(self.state)

    def show(self, state: WorkerState) -> None:
        """Take over what the worker says of itself: a copy, since the caller may go on to change its record."""
        self.state = state
        self.open = state.reachable and not state.draining
        self.service, self.rack = state.service, state.rack
        self.capacity, self.labels = state.capacity, state.labels
        self.refresh()

    def shows(self, state: WorkerState) -> bool:
        """Whether nothing is new in it that decides where tasks fit."""
        return (self.open, self.service, self.rack, self.capacity, self.labels) == (
            state.reachable and not state.draining,
            state.service,
            state.rack,
            state.capacity,
            state.labels,
        )

    @property
    def instance(self) -> str:
        """The worker's life."""
        return self.state.instance

    def takes(self, requires: str) -> bool:
        """Whether it takes tasks that require this label."""
        return self.open and (not requires or requires in self.labels)

    def refresh(self) -> None:
        """Derive the free room."""
        self.free = minus(self.capacity, self.booked)
        self.state.free = self.free


class Hosts:
    """The hosts of one service, indexed by free processor room, so that a full fleet is not searched."""

    def __init__(self) -> None:
        self.by_instance: dict[str, Host] = {}
        self.by_rack: dict[str, list[Host]] = {}
        self.largest = NOTHING  # the most of each kind of resource that a host has
        self._capacity = self._booked = NOTHING  # of all open hosts together
        self._open = self._trusted = 0  # how many are open, and of these have a merit
        self._levels: list[list[Host]] = [[] for _ in range(33)]  # by bits of the free thousandths of a core

    def __iter__(self) -> Iterator[Host]:
        return iter(self.by_instance.values())

    def __len__(self) -> int:
        return len(self.by_instance)

    def add(self, host: Host) -> None:
        """Take in a host."""
        self.by_instance[host.instance] = host
        self.by_rack.setdefault(host.rack, []).append(host)
        self._enter(host)
        if host.open:
            self._capacity, self._booked = plus(self._capacity, host.capacity), plus(self._booked, host.booked)
            self._open += 1
            self._trusted += host.merit > 0.0
        self._measure()

    def remove(self, host: Host) -> None:
        """Leave a host out."""
        del self.by_instance[host.instance]
        rack = self.by_rack[host.rack]
        rack.remove(host)
        if not rack:
            del self.by_rack[host.rack]
        self._leave(host)
        if host.open:
            self._capacity, self._booked = minus(self._capacity, host.capacity), minus(self._booked, host.booked)
            self._open -= 1
            self._trusted -= host.merit > 0.0
        self._measure()

    def book(self, host: Host, needs: Resources) -> None:
        """Take room."""
        self._set_booked(host, plus(host.booked, needs))

    def release(self, host: Host, needs: Resources) -> None:
        """Give room back."""
        self._set_booked(host, minus(host.booked, needs))

    @property
    def capacity(self) -> Resources:
        """Of all open hosts together."""
        return self._capacity

    @property
    def booked(self) -> Resources:
        """On all open hosts together."""
        return self._booked

    @property
    def used_share(self) -> float:
        """The largest part of any kind of resource that is booked on the open hosts together."""
        return share(self._booked, self._capacity)

    def set_merit(self, host: Host, merit: float) -> None:
        """What is held of a host by itself."""
        if host.open:
            self._trusted += (merit > 0.0) - (host.merit > 0.0)
        host.merit = merit

    @property
    def mostly_doubted(self) -> bool:
        """Whether less than half of the open hosts have any merit."""
        return 2 * self._trusted < self._open

    def with_room(self, needs: Resources, random: Random) -> Iterator[Host]:
        """Hosts that have room for one task: by powers of two of their free cores, from a random one on in each."""
        for level in range(32, needs.cpu.bit_length() - 1, -1):
            hosts = self._levels[level]
            if not hosts:
                continue
            start = random.randrange(len(hosts))
            for host in hosts[start:] + hosts[:start]:
                if holds(host.free, needs):
                    yield host

    def slots(self, needs: Resources) -> float:
        """The size of a task in slots: parts of the largest worker."""
        return max(LEAST_SLOTS, SLOTS_PER_WORKER * min(1.0, share(needs, self.largest)))

    def _set_booked(self, host: Host, booked: Resources) -> None:
        if host.open:
            self._booked = plus(minus(self._booked, host.booked), booked)
        host.booked = booked
        host.refresh()
        if host.free.cpu.bit_length() != host.level:
            self._leave(host)
            self._enter(host)

    def _enter(self, host: Host) -> None:
        host.level = host.free.cpu.bit_length()
        hosts = self._levels[host.level]
        host.position = len(hosts)
        hosts.append(host)

    def _leave(self, host: Host) -> None:
        hosts = self._levels[host.level]
        last = hosts.pop()
        if last is not host:
            hosts[host.position] = last
            last.position = host.position

    def _measure(self) -> None:
        capacities = [host.capacity for host in self]
        self.largest = Resources(
            max((capacity.cpu for capacity in capacities), default=0),
            max((capacity.mem_mb for capacity in capacities), default=0),
            max((capacity.gpu for capacity in capacities), default=0),
        )


@dataclass(slots=True)
class Demand:
    """What a unit of a step asks of the hosts.

    `most` is how many tasks of the step an instance carries at most, `carried` how many it carries now. `ends_at` is
    when a task placed now is expected to end. `shunned` instances are left out. `unconditional`: neither the health
    of a host counts nor what is kept there for others.
    """

    holder: object
    needs: Resources
    requires: str
    most: int
    carried: Mapping[str, int]
    priority: int
    ends_at: float
    shunned: frozenset[str] = frozenset()
    unconditional: bool = False

    def at(self, host: Host) -> int:
        """How many such tasks a host takes now, by label, anti-affinity, capacity, health and what is kept there."""
        free, needs = host.free, self.needs
        if free.cpu < needs.cpu or free.mem_mb < needs.mem_mb or free.gpu < needs.gpu:
            return 0
        if not host.open or (self.requires and self.requires not in host.labels):
            return 0
        if host.health <= 0.0 and not self.unconditional:
            return 0
        if self.shunned and host.instance in self.shunned:
            return 0
        if host.claim is not None and not self.unconditional:
            free = self._beside(host, host.claim)
        count = fit_count(free, needs)
        return count if self.most >= UNBOUNDED else min(count, self.spare(host))

    def spare(self, host: Host) -> int:
        """How many tasks of the step anti-affinity still lets a host take."""
        return max(0, self.most - self.carried.get(host.instance, 0))

    def has_room(self, host: Host) -> bool:
        """Whether one such task fits in the free room, whatever of the step runs there."""
        return holds(host.free, self.needs)

    def at_best(self, host: Host) -> int:
        """How many a host could take if nothing ran there."""
        if not host.takes(self.requires) or host.instance in self.shunned:
            return 0
        return min(fit_count(host.capacity, self.needs), self.most)

    def _beside(self, host: Host, claim: Claim) -> Resources:
        """The room that the demand may use where some is kept: all of it with a better priority or when the task ends
        before the claim is used, else what is left beside the claim."""
        if claim.holder is self.holder or self.priority < claim.priority or self.ends_at <= claim.start_at:
            return host.free
        return minus(host.free, claim.shares[host.instance])


def pick(hosts: list[Host], weights: list[float], random: Random) -> Host | None:
    """A random host, by weight; None if all weights are 0."""
    sums = list(accumulate(weights))
    if not sums or sums[-1] <= 0.0:
        return None
    point = random.random() * sums[-1]
    return next((host for host, top in zip(hosts, sums, strict=True) if point < top), hosts[-1])


def keeps_large(host: Host, needs: Resources, large: Resources) -> float:
    """The factor by which a host's weight falls where the task takes the place of a larger one."""
    before = fit_count(host.free, large)
    if not before:
        return 1.0
    return KEEP_LARGE if before > fit_count(minus(host.free, needs), large) else 1.0


def spread_gang(demand: Demand, count: int, hosts: Iterable[Host], random: Random) -> list[Host] | None:
    """Hosts for all members of a gang, few of them: one that is picked is filled. None if there is no room for all."""
    room = {host: number for host in hosts if (number := demand.at(host))}
    if sum(room.values()) < count:
        return None
    chosen: list[Host] = []
    while len(chosen) < count:
        host = pick(list(room), [number * max(host.health, LEAST_WEIGHT) for host, number in room.items()], random)
        if host is None:
            return None
        chosen += [host] * min(room.pop(host), count - len(chosen))
    return chosen
