"""Retry times for refused clients, reserved so that the clients can be served when they return.

The service rate (ms of work done per ms) is measured. Future time is divided into slots. A reservation takes capacity
in the first slot with room, after the work that is queued ahead of it. So clients that are refused together get
different retry times, and return as fast as they can be served.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from math import floor

SLOT_MS = 100.0
HORIZON_SLOTS = 600  # a later retry time is cut to the last slot, and is not guaranteed
LATE_TOLERANCE_MS = 250.0  # a client may return this much after its reserved time
EARLY_TOLERANCE_MS = 20.0  # or this much before it, since clocks and network delays differ
MAX_PER_CLIENT = 2  # reservations that one client may hold
RESERVABLE_SHARE = 0.8  # of the service rate; the rest is left for new jobs
RATE_WINDOW_MS = 2000.0  # time constant of the moving average of the service rate


class ServiceRate:
    """The service rate: work done in ms per ms, as a moving average."""

    def __init__(self, initial_rate: float) -> None:
        self.rate = initial_rate
        self._done, self._since = 0.0, -1.0

    def done(self, now: float, work: float, busy: bool) -> None:
        """Records `work` ms of finished work.

        The rate falls only while `busy` (more jobs are queued): otherwise little work shows a lack of jobs, and not
        a lack of capacity.
        """
        if self._since < 0:
            self._since = now
        self._done += work
        span = now - self._since
        if span >= SLOT_MS:
            rate = self._done / span
            if busy or rate > self.rate:
                self.rate += (rate - self.rate) * min(1.0, span / RATE_WINDOW_MS)
            self._done, self._since = 0.0, now


@dataclass(slots=True, eq=False)
class Reservation:
    """A reserved retry time. `at` is in ms; `guaranteed` means that capacity is reserved for it."""

    at: float
    guaranteed: bool = True
    open: bool = True


class RetryReservations:
    """The reserved retry times. Beyond `maximum` open ones, the oldest are dropped.

    counts: the number of reservations by how they were made and ended; logged at the end of the process.
    by_tenant: the counters for the metrics, by ("promised", "kept" or "broken"; tenant).
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.counts: Counter[str] = Counter()
        self.by_tenant: Counter[tuple[str, int]] = Counter()
        self._by_client: dict[tuple[int, str], deque[Reservation]] = {}
        self._in_order: deque[tuple[tuple[int, str], Reservation]] = deque()  # in the order of creation
        self._open = 0
        self._slots: dict[tuple[int, int], float] = {}  # (tenant, slot) -> reserved work in ms
        self._full: dict[tuple[int, int], int] = {}  # (tenant, full slot) -> a later slot; all in between are full

    def __len__(self) -> int:
        return self._open

    def reserve(self, now: float, tenant: int, client: str, cost: float, ahead: float, rate: float) -> float:
        """Reserves a retry time for `cost` ms of work and returns the time until then in ms.

        `ahead` is the work of the same tenant in ms that is served before, `rate` the tenant's share of the
        service rate.
        """
        self._expire(now)
        own = self._by_client.get((tenant, client))
        if own is not None and len(own) >= MAX_PER_CLIENT:
            # no capacity is reserved: one client must not take that of the others
            self.counts["unsure"] += 1
            return max(SLOT_MS, max(reservation.at for reservation in own) - now) + SLOT_MS
        capacity = max(rate * RESERVABLE_SHARE * SLOT_MS, 1e-9)
        first = floor(now / SLOT_MS) + 1
        slot = first + min(HORIZON_SLOTS, floor(ahead / max(rate, 1e-9) / SLOT_MS))
        last = first + HORIZON_SLOTS
        # an empty slot accepts any job, so that also jobs larger than a slot get a time
        while (
            (slot := self._skip_full(tenant, slot)) < last
            and (reserved := self._slots.get((tenant, slot), 0.0))
            and reserved + cost > capacity
        ):
            if 2 * reserved > capacity:  # nearly full: later reservations skip this slot
                self._full[tenant, slot] = slot + 1
            slot += 1
        slot = min(slot, last)
        self._slots[tenant, slot] = self._slots.get((tenant, slot), 0.0) + cost
        reservation = Reservation(slot * SLOT_MS, slot < last)
        key = (tenant, client)
        self._by_client.setdefault(key, deque()).append(reservation)
        self._in_order.append((key, reservation))
        self._open += 1
        while self._open > self.maximum or len(self._in_order) > 2 * self.maximum:
            self._end(*self._in_order.popleft(), "forgotten")
        self.counts["given" if reservation.guaranteed else "unsure"] += 1
        self.by_tenant["promised", tenant] += reservation.guaranteed
        return reservation.at - now

    def _skip_full(self, tenant: int, slot: int) -> int:
        """The first slot from `slot` on that is not marked full.

        All marks on the way are set to the result (path compression), so that later searches are short.
        """
        passed = list[tuple[int, int]]()
        while (following := self._full.get((tenant, slot))) is not None:
            passed.append((tenant, slot))
            slot = following
        for key in passed:
            self._full[key] = slot
        return slot

    def redeem(self, now: float, tenant: int, client: str) -> bool:
        """Whether this client has a reservation for the current time. A reservation is redeemed only once."""
        for reservation in self._by_client.get((tenant, client), ()):
            if reservation.at - EARLY_TOLERANCE_MS <= now <= reservation.at + LATE_TOLERANCE_MS:
                self._end((tenant, client), reservation, "called")
                return True
        return False

    def _end(self, key: tuple[int, str], reservation: Reservation, cause: str) -> None:
        """Ends a reservation that was redeemed, has expired or is dropped; does nothing if it has ended before."""
        if reservation.open:
            reservation.open = False
            own = self._by_client[key]
            own.remove(reservation)
            if not own:
                del self._by_client[key]
            self._open -= 1
            self.counts[cause] += 1

    def count_kept(self, tenant: int, kept: bool, cause: str = "") -> None:
        """Counts whether a client that redeemed its reservation was served, or refused for this cause."""
        self.counts["kept" if kept else f"broken_{cause}"] += 1
        self.by_tenant["kept" if kept else "broken", tenant] += 1

    def _expire(self, now: float) -> None:
        present = floor(now / SLOT_MS)
        # a reservation may be due before one that was made earlier, and then stays longer than necessary
        while self._in_order and (not self._in_order[0][1].open or self._in_order[0][1].at + LATE_TOLERANCE_MS < now):
            self._end(*self._in_order.popleft(), "not_called")
        if len(self._slots) > 4 * HORIZON_SLOTS:
            self._slots = {key: cost for key, cost in self._slots.items() if key[1] >= present}
            self._full = {key: following for key, following in self._full.items() if key[1] >= present}
