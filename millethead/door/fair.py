"""Fair queues by tenant, and by client within a tenant, in memory bounded by the jobs that stand in them.

Tenants: start-time fair queuing by weight (Goyal, Vin and Cheng 1996): the one whose next job begins at the least
virtual time goes; a tenant that was idle begins at the present, so it has no claim from then, and no debt. Within a
tenant its clients are hashed into lanes, two choices each, the emptier one taken (shuffle sharding), and the lanes
are served by deficit round robin (Shreedhar and Varghese 1995). Cost is work in ms, not a count.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from math import inf

FIRST = -1  # the lane of those who were told to come now
Hash = Callable[[str], int]  # 64 bits, under a seed that nobody outside knows


@dataclass(slots=True, eq=False)
class Item:
    """One job at the door. `what` is the caller's."""

    tenant: int
    client: str
    cost: float
    what: object
    came: float = 0.0
    lane: int = -1


@dataclass(slots=True, eq=False)
class _Lane:
    items: OrderedDict[int, Item] = field(default_factory=OrderedDict)
    cost: float = 0.0
    deficit: float = 0.0


class _Tenant:
    """One tenant's lanes; only those with jobs exist."""

    __slots__ = ("active", "cost", "lanes", "start", "weight")

    def __init__(self, weight: float) -> None:
        self.weight, self.start, self.cost = weight, 0.0, 0.0
        self.lanes: dict[int, _Lane] = {}
        self.active: deque[int] = deque()


class FairQueue:
    """`quantum`: ms of work that a lane may take in one round; about a mean job."""

    def __init__(self, weights: Sequence[float], lanes: int, hashed: Hash, quantum: float = 1000.0) -> None:
        self._tenants = [_Tenant(weight) for weight in weights]
        self._lanes, self._hash, self.quantum = lanes, hashed, quantum
        self._virtual = 0.0
        self._count = 0
        self.cost = 0.0

    def __len__(self) -> int:
        return self._count

    def reweigh(self, weights: Sequence[float]) -> None:
        """New weights for the same tenants; what they have had stays."""
        for tenant, weight in zip(self._tenants, weights, strict=True):
            tenant.weight = weight

    def ahead(self, tenant: int, client: str) -> float:
        """ms of work, by all tenants, that will go before a new job of this client (a bound from above)."""
        own = self._tenants[tenant]
        number = self._place(own, client)
        lane = own.lanes.get(number)
        mine = lane.cost if lane is not None else 0.0
        # in the rounds that its own lane takes, each other lane takes as much, or what it has
        rounds = -(-(mine + 1.0) // self.quantum) * self.quantum
        mine += sum(min(other.cost, rounds) for n, other in own.lanes.items() if n not in (number, FIRST))
        mine += first.cost if (first := own.lanes.get(FIRST)) is not None else 0.0
        return min(self.cost, mine / self.share(tenant))

    def _place(self, tenant: _Tenant, client: str) -> int:
        """The emptier of two lanes: a client meets a greedy one in both with the chance of 1 in lanes squared."""
        mixed = self._hash(client)
        one, two = mixed % self._lanes, (mixed >> 32) % self._lanes
        costs = [lane.cost if (lane := tenant.lanes.get(n)) is not None else 0.0 for n in (one, two)]
        return one if costs[0] <= costs[1] else two

    def share(self, tenant: int) -> float:
        """What part of the work this tenant has while all that stand here go on asking."""
        own = self._tenants[tenant]
        return own.weight / sum(t.weight for t in self._tenants if t.cost or t is own)

    def push(self, item: Item, first: bool = False) -> None:
        """`first`: before its tenant's others, but at that tenant's charge alone."""
        tenant = self._tenants[item.tenant]
        if not tenant.cost:
            tenant.start = max(tenant.start, self._virtual)
        item.lane = FIRST if first else self._place(tenant, item.client)
        lane = tenant.lanes.get(item.lane)
        if lane is None:
            lane = tenant.lanes[item.lane] = _Lane()
            if not first:
                tenant.active.append(item.lane)
        lane.items[id(item)] = item
        lane.cost += item.cost
        tenant.cost += item.cost
        self.cost += item.cost
        self._count += 1

    def drop(self, item: Item) -> bool:
        """Take one out that goes no further; whether it stood here."""
        lane = self._tenants[item.tenant].lanes.get(item.lane)
        if lane is None or lane.items.pop(id(item), None) is None:
            return False
        self._took(self._tenants[item.tenant], item.lane, lane, item)
        return True

    def _took(self, tenant: _Tenant, number: int, lane: _Lane, item: Item) -> None:
        lane.cost -= item.cost
        tenant.cost -= item.cost
        self.cost -= item.cost
        self._count -= 1
        if not lane.items:
            del tenant.lanes[number]
            if number != FIRST:
                tenant.active.remove(number)
            if not tenant.lanes:
                tenant.cost = 0.0  # sums of floats do not come back to nothing by themselves
        if not self._count:
            self.cost = 0.0

    def pop(self) -> Item | None:
        """The next job, None if there is none."""
        best, start = None, inf
        for tenant in self._tenants:
            if tenant.lanes and tenant.start < start:
                best, start = tenant, tenant.start
        if best is None:
            return None
        self._virtual = start
        item = self._round(best)
        best.start = start + item.cost / best.weight
        return item

    def _round(self, tenant: _Tenant) -> Item:
        lane = tenant.lanes.get(FIRST)
        if lane is not None:
            _, item = lane.items.popitem(last=False)
            self._took(tenant, FIRST, lane, item)
            return item
        while True:
            number = tenant.active[0]
            lane = tenant.lanes[number]
            item = next(iter(lane.items.values()))
            if item.cost <= lane.deficit:
                lane.deficit -= item.cost
                del lane.items[id(item)]
                self._took(tenant, number, lane, item)
                return item
            # as many rounds at once as the cheapest way forward takes: a dear job must not be waited for in steps
            rounds = 1.0
            if len(tenant.active) == 1:
                rounds = max(1.0, -(-(item.cost - lane.deficit) // self.quantum))
            lane.deficit += rounds * self.quantum
            tenant.active.rotate(-1)

    def __iter__(self) -> Iterator[Item]:
        for tenant in self._tenants:
            for lane in tenant.lanes.values():
                yield from lane.items.values()
