"""A fair queue by tenant, and by client within a tenant. Its memory is bounded by the number of queued jobs.

Tenants are served by weighted start-time fair queueing (Goyal, Vin and Cheng 1996): the tenant with the least virtual
start time is next. A tenant that was idle restarts at the current virtual time, with neither credit nor debt.

Within a tenant, each client is hashed to two lanes and uses the one with less work (shuffle sharding). The lanes are
served by deficit round robin (Shreedhar and Varghese 1995). The cost of a job is its work in ms.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from math import inf

PRIORITY_LANE = -1  # for clients that return at their reserved time; served before the other lanes of the tenant
Hash = Callable[[str], int]  # 64 bits, keyed with a secret seed


@dataclass(slots=True, eq=False)
class Item:
    """One queued job. `cost` is its work in ms, `arrived` its arrival in ms; `payload` belongs to the caller."""

    tenant: int
    client: str
    cost: float
    payload: object
    arrived: float = 0.0
    lane: int = -1


@dataclass(slots=True, eq=False)
class _Lane:
    items: OrderedDict[int, Item] = field(default_factory=OrderedDict)
    cost: float = 0.0
    deficit: float = 0.0


class _Tenant:
    """The lanes of one tenant. Only lanes with jobs exist.

    `active` are the lanes in the order of the round robin, without the priority lane.
    """

    __slots__ = ("active", "cost", "lanes", "start", "weight")

    def __init__(self, weight: float) -> None:
        self.weight, self.start, self.cost = weight, 0.0, 0.0
        self.lanes: dict[int, _Lane] = {}
        self.active: deque[int] = deque()


class FairQueue:
    """The queue.

    `weights` are those of the tenants, `lanes` is the number of lanes per tenant. `quantum` is the work in ms that a
    lane may do in one round, about that of a mean job. `cost` is the total work of all queued jobs.
    """

    def __init__(self, weights: Sequence[float], lanes: int, hash_client: Hash, quantum: float = 1000.0) -> None:
        self._tenants = [_Tenant(weight) for weight in weights]
        self._lanes, self._hash, self.quantum = lanes, hash_client, quantum
        self._virtual_time = 0.0
        self._count = 0
        self.cost = 0.0

    def __len__(self) -> int:
        return self._count

    def set_weights(self, weights: Sequence[float]) -> None:
        """Sets new weights for the same tenants. Their virtual start times are kept."""
        for tenant, weight in zip(self._tenants, weights, strict=True):
            tenant.weight = weight

    def ahead(self, tenant: int, client: str) -> float:
        """An upper bound of the work in ms, of all tenants, that is served before a new job of this client."""
        own = self._tenants[tenant]
        number = self._choose_lane(own, client)
        lane = own.lanes.get(number)
        work = lane.cost if lane is not None else 0.0
        # while its own lane is worked off, each other lane does as much work, or all that it has
        rounds = -(-(work + 1.0) // self.quantum) * self.quantum
        work += sum(min(other.cost, rounds) for n, other in own.lanes.items() if n not in (number, PRIORITY_LANE))
        work += priority.cost if (priority := own.lanes.get(PRIORITY_LANE)) is not None else 0.0
        return min(self.cost, work / self.share(tenant))

    def _choose_lane(self, tenant: _Tenant, client: str) -> int:
        """The one of a client's two lanes that has less work.

        The probability that a client shares both lanes with one given greedy client is 1 / lanes squared.
        """
        digest = self._hash(client)
        one, two = digest % self._lanes, (digest >> 32) % self._lanes
        costs = [lane.cost if (lane := tenant.lanes.get(n)) is not None else 0.0 for n in (one, two)]
        return one if costs[0] <= costs[1] else two

    def share(self, tenant: int) -> float:
        """The fraction of the work that this tenant gets while all tenants with queued jobs stay backlogged."""
        own = self._tenants[tenant]
        return own.weight / sum(t.weight for t in self._tenants if t.cost or t is own)

    def push(self, item: Item, priority: bool = False) -> None:
        """Queues a job. With `priority` it goes before the other jobs of its tenant, but not of other tenants."""
        tenant = self._tenants[item.tenant]
        if not tenant.cost:
            tenant.start = max(tenant.start, self._virtual_time)
        item.lane = PRIORITY_LANE if priority else self._choose_lane(tenant, item.client)
        lane = tenant.lanes.get(item.lane)
        if lane is None:
            lane = tenant.lanes[item.lane] = _Lane()
            if not priority:
                tenant.active.append(item.lane)
        lane.items[id(item)] = item
        lane.cost += item.cost
        tenant.cost += item.cost
        self.cost += item.cost
        self._count += 1

    def remove(self, item: Item) -> bool:
        """Removes a job, wherever it is in the queue. Returns whether it was queued."""
        lane = self._tenants[item.tenant].lanes.get(item.lane)
        if lane is None or lane.items.pop(id(item), None) is None:
            return False
        self._subtract(self._tenants[item.tenant], item.lane, lane, item)
        return True

    def _subtract(self, tenant: _Tenant, number: int, lane: _Lane, item: Item) -> None:
        """Subtracts a removed job from the totals, and deletes its lane if that is empty."""
        lane.cost -= item.cost
        tenant.cost -= item.cost
        self.cost -= item.cost
        self._count -= 1
        if not lane.items:
            del tenant.lanes[number]
            if number != PRIORITY_LANE:
                tenant.active.remove(number)
            if not tenant.lanes:
                tenant.cost = 0.0  # rounding errors can leave a remainder
        if not self._count:
            self.cost = 0.0

    def pop(self) -> Item | None:
        """Removes and returns the next job; None if the queue is empty."""
        best, start = None, inf
        for tenant in self._tenants:
            if tenant.lanes and tenant.start < start:
                best, start = tenant, tenant.start
        if best is None:
            return None
        self._virtual_time = start
        item = self._pop_from(best)
        best.start = start + item.cost / best.weight
        return item

    def _pop_from(self, tenant: _Tenant) -> Item:
        """Removes and returns the tenant's next job by deficit round robin."""
        lane = tenant.lanes.get(PRIORITY_LANE)
        if lane is not None:
            _, item = lane.items.popitem(last=False)
            self._subtract(tenant, PRIORITY_LANE, lane, item)
            return item
        while True:
            number = tenant.active[0]
            lane = tenant.lanes[number]
            item = next(iter(lane.items.values()))
            if item.cost <= lane.deficit:
                lane.deficit -= item.cost
                del lane.items[id(item)]
                self._subtract(tenant, number, lane, item)
                return item
            # with one lane left, all rounds that an expensive job needs are done at once
            rounds = 1.0
            if len(tenant.active) == 1:
                rounds = max(1.0, -(-(item.cost - lane.deficit) // self.quantum))
            lane.deficit += rounds * self.quantum
            tenant.active.rotate(-1)

    def __iter__(self) -> Iterator[Item]:
        for tenant in self._tenants:
            for lane in tenant.lanes.values():
                yield from lane.items.values()
