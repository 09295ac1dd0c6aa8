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
from millethead.scheduling.model import MIN_HOST_WEIGHT, WorkerState

if TYPE_CHECKING:
    from millethead.scheduling.state import Run

FRAGMENTATION_WEIGHT = 0.15  # weight of a host on which a task would take the place of a larger unit
SLOTS_PER_WORKER = 8.0  # a slot, the spacing unit of the tags, is this part of the largest worker
MIN_SLOTS = 0.1
UNLIMITED_TASKS = 1 << 16
CORES_PER_GPU = 8.0  # cores that a GPU counts for
NOTHING = Resources(0, 0, 0)


def fit_count(available: Resources, needs: Resources) -> int:
    """How many tasks of these needs a room holds."""
    count = available.cpu // needs.cpu if needs.cpu else UNLIMITED_TASKS
    if needs.mem_mb:
        count = min(count, available.mem_mb // needs.mem_mb)
    if needs.gpu:
        count = min(count, available.gpu // needs.gpu)
    return count


def covers(available: Resources, needs: Resources) -> bool:
    """Whether a room holds one task of these needs."""
    return available.cpu >= needs.cpu and available.mem_mb >= needs.mem_mb and available.gpu >= needs.gpu


def add(left: Resources, right: Resources) -> Resources:
    """The sum."""
    return Resources(left.cpu + right.cpu, left.mem_mb + right.mem_mb, left.gpu + right.gpu)


def subtract(left: Resources, right: Resources) -> Resources:
    """The difference, nothing below 0."""
    return Resources(max(0, left.cpu - right.cpu), max(0, left.mem_mb - right.mem_mb), max(0, left.gpu - right.gpu))


def scale(needs: Resources, count: int) -> Resources:
    """The needs of `count` tasks."""
    return Resources(needs.cpu * count, needs.mem_mb * count, needs.gpu * count)


def dominant_share(needs: Resources, capacity: Resources) -> float:
    """The largest part of any kind of resource that the needs take of the capacity."""
    return max(
        needs.cpu / max(capacity.cpu, 1),
        needs.mem_mb / max(capacity.mem_mb, 1),
        needs.gpu / capacity.gpu if capacity.gpu else 0.0,
    )


def core_equivalents(needs: Resources) -> float:
    """What the prices count: cores, with each GPU as several."""
    return needs.cpu / 1000.0 + CORES_PER_GPU * needs.gpu


class HostReservation(Protocol):
    """Room that is kept on a host for one step."""

    @property
    def owner(self) -> object:
        """The step for which it is kept."""

    @property
    def start_at(self) -> float:
        """When it is expected to be used."""

    @property
    def priority(self) -> int:
        """The priority of the step's queue."""

    @property
    def resources_by_instance(self) -> Mapping[str, Resources]:
        """What is kept at each instance."""


@dataclass(slots=True, eq=False)
class Host:
    """A worker with what is booked there. `free` is capacity less bookings, and never below 0. `health` is a factor of
    its weight; at 0 it is avoided. `proven` is False while its health is only being tried out."""

    state: WorkerState
    allocated: Resources = NOTHING
    free: Resources = NOTHING
    health: float = 1.0
    own_health: float = 1.0  # its health by itself, whatever is held of the other workers
    is_sound: bool = True
    reservation: HostReservation | None = None
    long_running_count: int = 0  # runs of tasks that last
    runs: dict[Run, None] = field(default_factory=dict)
    schedulable: bool = False
    service: str = ""
    rack: str = ""
    capacity: Resources = NOTHING
    labels: frozenset[str] = frozenset()
    free_cpu_bits: int = 0
    position: int = 0

    def __post_init__(self) -> None:
        self.update(self.state)

    def update(self, state: WorkerState) -> None:
        """Take over what the worker says of itself: a copy, since the caller may go on to change its record."""
        self.state = state
        self.schedulable = state.reachable and not state.draining
        self.service, self.rack = state.service, state.rack
        self.capacity, self.labels = state.capacity, state.labels
        self.update_free()

    def is_unchanged(self, state: WorkerState) -> bool:
        """Whether nothing is new in it that decides where tasks fit."""
        return (self.schedulable, self.service, self.rack, self.capacity, self.labels) == (
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

    def accepts(self, requires: str) -> bool:
        """Whether it takes tasks that require this label."""
        return self.schedulable and (not requires or requires in self.labels)

    def update_free(self) -> None:
        """Derive the free room."""
        self.free = subtract(self.capacity, self.allocated)
        self.state.free = self.free


class Hosts:
    """The hosts of one service, indexed by free processor room, so that a full fleet is not searched."""

    def __init__(self) -> None:
        self.by_instance: dict[str, Host] = {}
        self.by_rack: dict[str, list[Host]] = {}
        self.largest = NOTHING  # the most of each kind of resource that a host has
        self._capacity = self._allocated = NOTHING  # of all open hosts together
        self._schedulable_count = self._healthy_count = 0  # how many are open, and of these have a merit
        self._hosts_by_free_cpu_bits: list[list[Host]] = [
            [] for _ in range(33)
        ]  # by bits of the free thousandths of a core

    def __iter__(self) -> Iterator[Host]:
        return iter(self.by_instance.values())

    def __len__(self) -> int:
        return len(self.by_instance)

    def add(self, host: Host) -> None:
        """Take in a host."""
        self.by_instance[host.instance] = host
        self.by_rack.setdefault(host.rack, []).append(host)
        self._add_to_level(host)
        if host.schedulable:
            self._capacity, self._allocated = add(self._capacity, host.capacity), add(self._allocated, host.allocated)
            self._schedulable_count += 1
            self._healthy_count += host.own_health > 0.0
        self._update_largest()

    def remove(self, host: Host) -> None:
        """Leave a host out."""
        del self.by_instance[host.instance]
        rack = self.by_rack[host.rack]
        rack.remove(host)
        if not rack:
            del self.by_rack[host.rack]
        self._remove_from_level(host)
        if host.schedulable:
            self._capacity, self._allocated = (
                subtract(self._capacity, host.capacity),
                subtract(self._allocated, host.allocated),
            )
            self._schedulable_count -= 1
            self._healthy_count -= host.own_health > 0.0
        self._update_largest()

    def allocate(self, host: Host, needs: Resources) -> None:
        """Take room."""
        self._set_allocated(host, add(host.allocated, needs))

    def release(self, host: Host, needs: Resources) -> None:
        """Give room back."""
        self._set_allocated(host, subtract(host.allocated, needs))

    @property
    def capacity(self) -> Resources:
        """Of all open hosts together."""
        return self._capacity

    @property
    def allocated(self) -> Resources:
        """On all open hosts together."""
        return self._allocated

    @property
    def used_share(self) -> float:
        """The largest part of any kind of resource that is booked on the open hosts together."""
        return dominant_share(self._allocated, self._capacity)

    def set_own_health(self, host: Host, own_health: float) -> None:
        """What is held of a host by itself."""
        if host.schedulable:
            self._healthy_count += (own_health > 0.0) - (host.own_health > 0.0)
        host.own_health = own_health

    @property
    def mostly_unhealthy(self) -> bool:
        """Whether less than half of the open hosts have any merit."""
        return 2 * self._healthy_count < self._schedulable_count

    def with_capacity(self, needs: Resources, random: Random) -> Iterator[Host]:
        """Hosts that have room for one task: by powers of two of their free cores, from a random one on in each."""
        for free_cpu_bits in range(32, needs.cpu.bit_length() - 1, -1):
            hosts = self._hosts_by_free_cpu_bits[free_cpu_bits]
            if not hosts:
                continue
            start = random.randrange(len(hosts))
            for host in hosts[start:] + hosts[:start]:
                if covers(host.free, needs):
                    yield host

    def slots(self, needs: Resources) -> float:
        """The size of a task in slots: parts of the largest worker."""
        return max(MIN_SLOTS, SLOTS_PER_WORKER * min(1.0, dominant_share(needs, self.largest)))

    def _set_allocated(self, host: Host, allocated: Resources) -> None:
        if host.schedulable:
            self._allocated = add(subtract(self._allocated, host.allocated), allocated)
        host.allocated = allocated
        host.update_free()
        if host.free.cpu.bit_length() != host.free_cpu_bits:
            self._remove_from_level(host)
            self._add_to_level(host)

    def _add_to_level(self, host: Host) -> None:
        host.free_cpu_bits = host.free.cpu.bit_length()
        hosts = self._hosts_by_free_cpu_bits[host.free_cpu_bits]
        host.position = len(hosts)
        hosts.append(host)

    def _remove_from_level(self, host: Host) -> None:
        hosts = self._hosts_by_free_cpu_bits[host.free_cpu_bits]
        last = hosts.pop()
        if last is not host:
            hosts[host.position] = last
            last.position = host.position

    def _update_largest(self) -> None:
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

    owner: object
    needs: Resources
    requires: str
    max_per_instance: int
    tasks_by_instance: Mapping[str, int]
    priority: int
    ends_at: float
    excluded: frozenset[str] = frozenset()
    unconditional: bool = False

    def fit_on(self, host: Host) -> int:
        """How many such tasks a host takes now, by label, anti-affinity, capacity, health and what is kept there."""
        free, needs = host.free, self.needs
        if free.cpu < needs.cpu or free.mem_mb < needs.mem_mb or free.gpu < needs.gpu:
            return 0
        if not host.schedulable or (self.requires and self.requires not in host.labels):
            return 0
        if host.health <= 0.0 and not self.unconditional:
            return 0
        if self.excluded and host.instance in self.excluded:
            return 0
        if host.reservation is not None and not self.unconditional:
            free = self._unreserved(host, host.reservation)
        count = fit_count(free, needs)
        return count if self.max_per_instance >= UNLIMITED_TASKS else min(count, self.spread_capacity(host))

    def spread_capacity(self, host: Host) -> int:
        """How many tasks of the step anti-affinity still lets a host take."""
        return max(0, self.max_per_instance - self.tasks_by_instance.get(host.instance, 0))

    def has_room(self, host: Host) -> bool:
        """Whether one such task fits in the free room, whatever of the step runs there."""
        return covers(host.free, self.needs)

    def fit_when_empty(self, host: Host) -> int:
        """How many a host could take if nothing ran there."""
        if not host.accepts(self.requires) or host.instance in self.excluded:
            return 0
        return min(fit_count(host.capacity, self.needs), self.max_per_instance)

    def _unreserved(self, host: Host, reservation: HostReservation) -> Resources:
        """The room that the demand may use where some is kept: all of it with a better priority or when the task ends
        before the claim is used, else what is left beside the claim."""
        if (
            reservation.owner is self.owner
            or self.priority < reservation.priority
            or self.ends_at <= reservation.start_at
        ):
            return host.free
        return subtract(host.free, reservation.resources_by_instance[host.instance])


def weighted_choice(hosts: list[Host], weights: list[float], random: Random) -> Host | None:
    """A random host, by weight; None if all weights are 0."""
    sums = list(accumulate(weights))
    if not sums or sums[-1] <= 0.0:
        return None
    point = random.random() * sums[-1]
    return next((host for host, top in zip(hosts, sums, strict=True) if point < top), hosts[-1])


def fragmentation_factor(host: Host, needs: Resources, large_needs: Resources) -> float:
    """The factor by which a host's weight falls where the task takes the place of a larger one."""
    before = fit_count(host.free, large_needs)
    if not before:
        return 1.0
    return FRAGMENTATION_WEIGHT if before > fit_count(subtract(host.free, needs), large_needs) else 1.0


def place_gang(demand: Demand, count: int, hosts: Iterable[Host], random: Random) -> list[Host] | None:
    """Hosts for all members of a gang, few of them: one that is picked is filled. None if there is no room for all."""
    fit_by_host = {host: number for host in hosts if (number := demand.fit_on(host))}
    if sum(fit_by_host.values()) < count:
        return None
    hosts_by_member: list[Host] = []
    while len(hosts_by_member) < count:
        host = weighted_choice(
            list(fit_by_host),
            [number * max(host.health, MIN_HOST_WEIGHT) for host, number in fit_by_host.items()],
            random,
        )
        if host is None:
            return None
        hosts_by_member += [host] * min(fit_by_host.pop(host), count - len(hosts_by_member))
    return hosts_by_member
