"""Times to come back: given so that they can be kept, and held to account.

The drain (ms of work done in a ms) is measured. Time ahead is cut into slots; a promise takes room in the first slot
after the work ahead of it, and a slot that is full passes it on to the next. So those who are turned away together are
told different times, and come back as fast as they can be served.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from math import floor

SLOT = 100.0  # ms
HORIZON = 600  # slots: what lies beyond is told the last one, and counted as unsure
GRACE = 250.0  # ms after the stated time within which a promise is called in
EARLY = 20.0  # ms before it: clocks and ways differ
EACH = 2  # promises that one client may hold
SHARE = 0.8  # of the drain that is promised: the rest is for newcomers
SMOOTH = 2000.0  # ms over which the drain is measured


class Drain:
    """Work done in a ms, as a moving mean."""

    def __init__(self, first: float) -> None:
        self.rate = first
        self._done, self._since = 0.0, -1.0

    def done(self, now: float, work: float, busy: bool) -> None:
        """So much work ended; `busy`: there was more to do, so that it says what can be done."""
        if self._since < 0:
            self._since = now
        self._done += work
        span = now - self._since
        if span >= SLOT:
            rate = self._done / span
            if busy or rate > self.rate:
                self.rate += (rate - self.rate) * min(1.0, span / SMOOTH)
            self._done, self._since = 0.0, now


@dataclass(slots=True, eq=False)
class Promise:
    at: float
    sure: bool = True
    open: bool = True


class Promises:
    """Who was told to come back when. `most` are remembered; the oldest are forgotten first."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.counts: Counter[str] = Counter()
        self.by_tenant: Counter[tuple[str, int]] = Counter()  # (promised, kept or broken; tenant)
        self._by_client: dict[tuple[int, str], deque[Promise]] = {}
        self._given: deque[tuple[tuple[int, str], Promise]] = deque()  # in the order given
        self._out = 0
        self._slots: dict[tuple[int, int], float] = {}  # (tenant, slot) -> ms of work promised
        self._full: dict[tuple[int, int], int] = {}  # (tenant, slot) -> a later one, up to which all are full

    def __len__(self) -> int:
        return self._out

    def give(self, now: float, tenant: int, client: str, cost: float, ahead: float, rate: float) -> float:
        """ms from now after which this client may come back; `rate` is its tenant's part of the drain."""
        self._forget(now)
        mine = self._by_client.get((tenant, client))
        if mine is not None and len(mine) >= EACH:
            # one client must not buy up the time of the others: it is told a time after its own, without a claim
            self.counts["unsure"] += 1
            return max(SLOT, max(promise.at for promise in mine) - now) + SLOT
        room = max(rate * SHARE * SLOT, 1e-9)
        first = floor(now / SLOT) + 1
        number = first + min(HORIZON, floor(ahead / max(rate, 1e-9) / SLOT))
        last = first + HORIZON
        # a slot takes one promise however dear, so that a dear job can be promised at all
        while (
            (number := self._open(tenant, number)) < last
            and (taken := self._slots.get((tenant, number), 0.0))
            and taken + cost > room
        ):
            if 2 * taken > room:  # the next ones need not look at it again
                self._full[tenant, number] = number + 1
            number += 1
        number = min(number, last)
        self._slots[tenant, number] = self._slots.get((tenant, number), 0.0) + cost
        promise = Promise(number * SLOT, number < last)
        key = (tenant, client)
        self._by_client.setdefault(key, deque()).append(promise)
        self._given.append((key, promise))
        self._out += 1
        while self._out > self.most or len(self._given) > 2 * self.most:
            self._end(*self._given.popleft(), "forgotten")
        self.counts["given" if promise.sure else "unsure"] += 1
        self.by_tenant["promised", tenant] += promise.sure
        return promise.at - now

    def _open(self, tenant: int, number: int) -> int:
        """The first slot from `number` on that is not full; the way there is shortened for those who come after."""
        passed = list[tuple[int, int]]()
        while (following := self._full.get((tenant, number))) is not None:
            passed.append((tenant, number))
            number = following
        for slot in passed:
            self._full[slot] = number
        return number

    def call_in(self, now: float, tenant: int, client: str) -> bool:
        """Whether this client was told to come back now; a promise is called in once."""
        for promise in self._by_client.get((tenant, client), ()):
            if promise.at - EARLY <= now <= promise.at + GRACE:
                self._end((tenant, client), promise, "called")
                return True
        return False

    def _end(self, key: tuple[int, str], promise: Promise, how: str) -> None:
        """It is called in, over or forgotten; each ends once."""
        if promise.open:
            promise.open = False
            mine = self._by_client[key]
            mine.remove(promise)
            if not mine:
                del self._by_client[key]
            self._out -= 1
            self.counts[how] += 1

    def kept(self, tenant: int, well: bool, cause: str = "") -> None:
        """How one that was called in went."""
        self.counts["kept" if well else f"broken_{cause}"] += 1
        self.by_tenant["kept" if well else "broken", tenant] += 1

    def _forget(self, now: float) -> None:
        present = floor(now / SLOT)
        # given later may be due sooner: some stay a little longer than they need to
        while self._given and (not self._given[0][1].open or self._given[0][1].at + GRACE < now):
            self._end(*self._given.popleft(), "not_called")
        if len(self._slots) > 4 * HORIZON:
            self._slots = {n: cost for n, cost in self._slots.items() if n[1] >= present}
            self._full = {n: then for n, then in self._full.items() if n[1] >= present}
