"""The hosts of one service with their free resources, and the weighted random choice of a host.

A *host* is a worker with the resources that the scheduler has allocated on it. Only hosts that fit by label,
anti-affinity and capacity are candidates. The weight of a candidate is the number of such tasks that fit, times its
health. It is lower if the task would fragment resources that a larger unit needs.
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

FRAGMENTATION_WEIGHT = 0.15  # weight factor of a host on which a task would displace a larger unit
SLOTS_PER_WORKER = 8.0  # a slot, the unit of size for the tags, is this part of the largest worker
MIN_SLOTS = 0.1  # least size of a task in slots
UNLIMITED_TASKS = 1 << 16  # number of tasks that stands for no limit
CORES_PER_GPU = 8.0  # cores that one GPU is equivalent to
NOTHING = Resources(0, 0, 0)


def fit_count(available: Resources, needs: Resources) -> int:
    """Returns how many tasks with these needs fit in the available resources."""
    count = available.cpu // needs.cpu if needs.cpu else UNLIMITED_TASKS
    if needs.mem_mb:
        count = min(count, available.mem_mb // needs.mem_mb)
    if needs.gpu:
        count = min(count, available.gpu // needs.gpu)
    return count


def covers(available: Resources, needs: Resources) -> bool:
    """Returns whether the available resources cover one task with these needs."""
    return available.cpu >= needs.cpu and available.mem_mb >= needs.mem_mb and available.gpu >= needs.gpu


def add(left: Resources, right: Resources) -> Resources:
    """Returns the sum of each kind of resource."""
    return Resources(left.cpu + right.cpu, left.mem_mb + right.mem_mb, left.gpu + right.gpu)


def subtract(left: Resources, right: Resources) -> Resources:
    """Returns the difference of each kind of resource, but at least 0."""
    return Resources(max(0, left.cpu - right.cpu), max(0, left.mem_mb - right.mem_mb), max(0, left.gpu - right.gpu))


def scale(needs: Resources, count: int) -> Resources:
    """Returns the needs of `count` tasks."""
    return Resources(needs.cpu * count, needs.mem_mb * count, needs.gpu * count)


def dominant_share(needs: Resources, capacity: Resources) -> float:
    """Returns the largest fraction that the needs take of any kind of resource of the capacity."""
    return max(
        needs.cpu / max(capacity.cpu, 1),
        needs.mem_mb / max(capacity.mem_mb, 1),
        needs.gpu / capacity.gpu if capacity.gpu else 0.0,
    )


def core_equivalents(needs: Resources) -> float:
    """Returns the needs as a number of cores, with each GPU counted as `CORES_PER_GPU`."""
    return needs.cpu / 1000.0 + CORES_PER_GPU * needs.gpu


class HostReservation(Protocol):
    """The reservation of a step, as a host refers to it."""

    @property
    def owner(self) -> object:
        """The step that holds the reservation."""

    @property
    def start_at(self) -> float:
        """When the reserved resources are expected to be used."""

    @property
    def priority(self) -> int:
        """The priority of the step's queue."""

    @property
    def resources_by_instance(self) -> Mapping[str, Resources]:
        """The resources reserved on each instance."""


@dataclass(slots=True, eq=False)
class Host:
    """A worker with its allocations.

    `free` is the capacity less the allocated resources, never below 0. `health` is a factor of the host's weight; a
    host with health 0 is avoided. `is_sound` is False while the worker is avoided or probed.
    """

    state: WorkerState
    allocated: Resources = NOTHING
    free: Resources = NOTHING
    health: float = 1.0
    own_health: float = 1.0  # its health regardless of the other workers of the service
    is_sound: bool = True
    reservation: HostReservation | None = None
    long_running_count: int = 0  # number of long-running tasks on it
    runs: dict[Run, None] = field(default_factory=dict)
    schedulable: bool = False  # reachable and not draining
    service: str = ""
    rack: str = ""
    capacity: Resources = NOTHING
    labels: frozenset[str] = frozenset()
    free_cpu_bits: int = 0  # bit length of the free thousandths of a core; the list of `Hosts` in which it is
    position: int = 0  # its index in that list

    def __post_init__(self) -> None:
        self.update(self.state)

    def update(self, state: WorkerState) -> None:
        """Applies the reported state of the worker. The fields are copied because the caller may change its record
        later.
        """
        self.state = state
        self.schedulable = state.reachable and not state.draining
        self.service, self.rack = state.service, state.rack
        self.capacity, self.labels = state.capacity, state.labels
        self.update_free()

    def is_unchanged(self, state: WorkerState) -> bool:
        """Returns whether a reported state changes nothing that decides which tasks fit."""
        return (self.schedulable, self.service, self.rack, self.capacity, self.labels) == (
            state.reachable and not state.draining,
            state.service,
            state.rack,
            state.capacity,
            state.labels,
        )

    @property
    def instance(self) -> str:
        """The instance ID of the worker."""
        return self.state.instance

    def accepts(self, requires: str) -> bool:
        """Returns whether it accepts tasks that require this label; an empty label is always present."""
        return self.schedulable and (not requires or requires in self.labels)

    def update_free(self) -> None:
        """Recomputes the free resources."""
        self.free = subtract(self.capacity, self.allocated)
        self.state.free = self.free


class Hosts:
    """The hosts of one service, indexed by free CPU so that a full fleet is not searched."""

    def __init__(self) -> None:
        self.by_instance: dict[str, Host] = {}
        self.by_rack: dict[str, list[Host]] = {}
        self.largest = NOTHING  # the maximum of each kind of resource over the hosts
        self._capacity = self._allocated = NOTHING  # totals of all schedulable hosts
        # Numbers of schedulable hosts, and of those with own health above 0.
        self._schedulable_count = self._healthy_count = 0
        # Indexed by the bit length of the free thousandths of a core.
        self._hosts_by_free_cpu_bits: list[list[Host]] = [[] for _ in range(33)]

    def __iter__(self) -> Iterator[Host]:
        return iter(self.by_instance.values())

    def __len__(self) -> int:
        return len(self.by_instance)

    def add(self, host: Host) -> None:
        """Adds a host."""
        self.by_instance[host.instance] = host
        self.by_rack.setdefault(host.rack, []).append(host)
        self._add_to_index(host)
        if host.schedulable:
            self._capacity, self._allocated = add(self._capacity, host.capacity), add(self._allocated, host.allocated)
            self._schedulable_count += 1
            self._healthy_count += host.own_health > 0.0
        self._update_largest()

    def remove(self, host: Host) -> None:
        """Removes a host."""
        del self.by_instance[host.instance]
        rack = self.by_rack[host.rack]
        rack.remove(host)
        if not rack:
            del self.by_rack[host.rack]
        self._remove_from_index(host)
        if host.schedulable:
            self._capacity, self._allocated = (
                subtract(self._capacity, host.capacity),
                subtract(self._allocated, host.allocated),
            )
            self._schedulable_count -= 1
            self._healthy_count -= host.own_health > 0.0
        self._update_largest()

    def allocate(self, host: Host, needs: Resources) -> None:
        """Allocates resources on a host."""
        self._set_allocated(host, add(host.allocated, needs))

    def release(self, host: Host, needs: Resources) -> None:
        """Releases resources on a host."""
        self._set_allocated(host, subtract(host.allocated, needs))

    @property
    def capacity(self) -> Resources:
        """The total capacity of all schedulable hosts."""
        return self._capacity

    @property
    def allocated(self) -> Resources:
        """The total allocated resources of all schedulable hosts."""
        return self._allocated

    @property
    def used_share(self) -> float:
        """The largest fraction of any kind of resource that is allocated on the schedulable hosts."""
        return dominant_share(self._allocated, self._capacity)

    def set_own_health(self, host: Host, own_health: float) -> None:
        """Sets the health of a host regardless of the other workers of the service."""
        if host.schedulable:
            self._healthy_count += (own_health > 0.0) - (host.own_health > 0.0)
        host.own_health = own_health

    @property
    def mostly_unhealthy(self) -> bool:
        """Whether fewer than half of the schedulable hosts have own health above 0."""
        return 2 * self._healthy_count < self._schedulable_count

    def with_capacity(self, needs: Resources, random: Random) -> Iterator[Host]:
        """Yields the hosts with enough free resources for one task: those with most free CPU first, by powers of two.

        Within a power of two, the hosts are yielded in a circle from a random start.
        """
        for free_cpu_bits in range(32, needs.cpu.bit_length() - 1, -1):
            hosts = self._hosts_by_free_cpu_bits[free_cpu_bits]
            if not hosts:
                continue
            start = random.randrange(len(hosts))
            for host in hosts[start:] + hosts[:start]:
                if covers(host.free, needs):
                    yield host

    def slots(self, needs: Resources) -> float:
        """Returns the size of a task in slots (`SLOTS_PER_WORKER`)."""
        return max(MIN_SLOTS, SLOTS_PER_WORKER * min(1.0, dominant_share(needs, self.largest)))

    def _set_allocated(self, host: Host, allocated: Resources) -> None:
        if host.schedulable:
            self._allocated = add(subtract(self._allocated, host.allocated), allocated)
        host.allocated = allocated
        host.update_free()
        if host.free.cpu.bit_length() != host.free_cpu_bits:
            self._remove_from_index(host)
            self._add_to_index(host)

    def _add_to_index(self, host: Host) -> None:
        host.free_cpu_bits = host.free.cpu.bit_length()
        hosts = self._hosts_by_free_cpu_bits[host.free_cpu_bits]
        host.position = len(hosts)
        hosts.append(host)

    def _remove_from_index(self, host: Host) -> None:
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
    """The requirements of a unit of a step.

    `max_per_instance` limits the tasks of the step on one instance; `tasks_by_instance` holds how many run there now.
    `ends_at` is the expected end of a task placed now. Hosts in `excluded` are not used. An `unconditional` demand
    ignores the health of hosts and the reservations of other steps.
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
        """Returns how many such tasks a host accepts now by label, anti-affinity, capacity, health and reservations."""
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
        """Returns how many more tasks of the step anti-affinity allows on a host."""
        return max(0, self.max_per_instance - self.tasks_by_instance.get(host.instance, 0))

    def has_room(self, host: Host) -> bool:
        """Returns whether one such task fits in the free resources, regardless of anti-affinity."""
        return covers(host.free, self.needs)

    def fit_when_empty(self, host: Host) -> int:
        """Returns how many such tasks a host could accept if nothing ran there."""
        if not host.accepts(self.requires) or host.instance in self.excluded:
            return 0
        return min(fit_count(host.capacity, self.needs), self.max_per_instance)

    def _unreserved(self, host: Host, reservation: HostReservation) -> Resources:
        """Returns the resources that the demand may use on a host with a reservation.

        All free resources count if the reservation belongs to the same step, if the demand has a higher priority, or if
        the task ends before the reservation starts (backfill). Otherwise the reserved resources are subtracted.
        """
        if (
            reservation.owner is self.owner
            or self.priority < reservation.priority
            or self.ends_at <= reservation.start_at
        ):
            return host.free
        return subtract(host.free, reservation.resources_by_instance[host.instance])


def weighted_choice(hosts: list[Host], weights: list[float], random: Random) -> Host | None:
    """Returns a random host by weight, or None if all weights are 0."""
    sums = list(accumulate(weights))
    if not sums or sums[-1] <= 0.0:
        return None
    point = random.random() * sums[-1]
    return next((host for host, top in zip(hosts, sums, strict=True) if point < top), hosts[-1])


def fragmentation_factor(host: Host, needs: Resources, large_needs: Resources) -> float:
    """Returns the weight factor of a host: lower than 1 if the task would displace a larger one."""
    before = fit_count(host.free, large_needs)
    if not before:
        return 1.0
    return FRAGMENTATION_WEIGHT if before > fit_count(subtract(host.free, needs), large_needs) else 1.0


def place_gang(demand: Demand, count: int, hosts: Iterable[Host], random: Random) -> list[Host] | None:
    """Returns a host for each member of a gang, or None if the members do not all fit.

    Each chosen host is filled before the next one is chosen, so that few hosts are used.
    """
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
