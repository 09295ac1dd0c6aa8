"""Leased shares of the limits that hold for the whole fleet. Rule and proof: docs/members.md.

The module does no input or output. Times are seconds of each process's own monotonic clock. Amounts are whole units,
`UNITS` per limit, so that sums are exact.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

UNITS = 1 << 30
DRIFT = 0.02  # a steward counts leases longer by this fraction, because the clocks of two machines differ in rate
GRANTS = 8  # further grants are merged with the oldest one, at the larger size and the later expiry
HOLDERS = 1024

Holder = tuple[str, float]  # member name and start time of its process: a restarted member is another holder


class Largest:
    """Maximum of the counts of the last `window_s` seconds, in bounded memory."""

    __slots__ = ("_seen", "window")

    def __init__(self, window: float) -> None:
        self.window, self._seen = window, deque[tuple[float, int]]()

    def put(self, now: float, count: int) -> None:
        while self._seen and self._seen[-1][1] <= count:
            self._seen.pop()
        self._seen.append((now, count))

    def get(self, now: float) -> int:
        while len(self._seen) > 1 and self._seen[0][0] < now - self.window:
            self._seen.popleft()
        return self._seen[0][1] if self._seen else 1


@dataclass(slots=True)
class _Given:
    grants: deque[tuple[float, int]] = field(default_factory=deque)  # (expiry, units)
    seq: int = -1  # sequence number of the last request that was answered, or of the release that ended the loans

    def most(self, now: float) -> int:
        while self.grants and self.grants[0][0] <= now:
            self.grants.popleft()
        return max((units for _, units in self.grants), default=0)


class Steward:
    """Manages one part of every limit, `UNITS // steward_count` units, and grants shares of it to members for `lease_s`
    seconds each. The grants that have not expired never add up to more than the part, whatever the steward assumes
    about the size of the fleet."""

    def __init__(self, stewards: int, lease: float, window: float, now: float) -> None:
        if stewards < 1 or lease <= 0:
            raise ValueError("at least one steward, and a lease of more than 0 s, are wanted")
        self.part, self.lease = UNITS // stewards, lease * (1 + DRIFT)
        self.fleet = Largest(window)
        # Grants of an earlier process of this steward must have expired before the first new grant.
        self.opens, self.closes = now + self.lease, math.inf
        self._given: dict[Holder, _Given] = {}

    def ask(self, now: float, holder: Holder, seq: int, fleet: int) -> int | None:
        """Returns the units that `holder`, which counts `fleet_size` members, may use for one lease from the moment of
        its request. Returns None if the request stays unanswered: it is older than one already answered, there are too
        many holders, or the steward grants nothing at present."""
        if not self.opens <= now < self.closes:
            return None
        self.fleet.put(now, fleet)
        given = self._given.get(holder)
        if given is None:
            if len(self._given) >= HOLDERS:
                self._tidy(now)
            if len(self._given) >= HOLDERS:
                return None
            given = self._given[holder] = _Given()
        if seq <= given.seq:
            return None  # duplicated or delayed by the network, or released since
        given.seq = seq
        others = self.lent(now) - given.most(now)
        units = max(0, min(self.part // max(1, self.fleet.get(now)), self.part - others))
        if len(given.grants) >= GRANTS:
            until, largest = given.grants.popleft()
            given.grants[0] = max(until, given.grants[0][0]), max(largest, given.grants[0][1])
        given.grants.append((now + self.lease, units))
        return units

    def release(self, now: float, holder: Holder, seq: int) -> None:
        """Ends all grants of `holder` up to request `seq`."""
        given = self._given.get(holder)
        if given is not None and seq > given.seq:
            given.grants.clear()
            given.seq = seq

    def lent(self, now: float) -> int:
        return sum(given.most(now) for given in self._given.values())

    def _tidy(self, now: float) -> None:
        for holder in [h for h, g in self._given.items() if not g.most(now)]:
            del self._given[holder]


@dataclass(slots=True, frozen=True)
class Grant:
    """A share granted by a steward: units, their expiry on this process's clock, and the fleet size that the steward
    assumes."""

    seq: int
    until: float
    units: int
    fleet: int


class Share:
    """The grants that a member holds, and the fleet size it assumes.

    `fleet_size` rises at once to any larger count, its own or a steward's. It falls only to the largest count of the
    last `window_s` seconds, and only while grants of a majority of the stewards are valid. A member that is cut off
    with a minority of the stewards keeps its value.
    """

    def __init__(self, stewards: Iterable[str], lease: float, window: float) -> None:
        self.stewards, self.lease = tuple(stewards), lease
        self.fleet, self._own = 1, Largest(window)
        self.grants: dict[str, Grant] = {}
        self._asked: dict[int, tuple[str, float]] = {}

    def asking(self, now: float, seq: int, steward: str) -> None:
        """Records that request `seq` is sent to `steward` now. The lease counts from here, not from the answer."""
        self._asked[seq] = (steward, now)
        while len(self._asked) > 8 * len(self.stewards):
            del self._asked[next(iter(self._asked))]

    def granted(self, now: float, seq: int, steward: str, units: int, fleet: int) -> None:
        asked = self._asked.pop(seq, None)
        if asked is None or asked[0] != steward:
            return
        held = self.grants.get(steward)
        if held is None or held.seq < seq:  # a late answer must not replace a newer grant
            self.grants[steward] = Grant(seq, asked[1] + self.lease, units, fleet)

    def observe(self, now: float, count: int) -> None:
        """Updates the fleet size, given that this member counts `count` members including itself."""
        self._own.put(now, count)
        fresh = self.fresh(now)
        known = max([self._own.get(now), *(g.fleet for g in fresh.values())])
        if known > self.fleet or 2 * sum(name in fresh for name in self.stewards) > len(self.stewards):
            self.fleet = known

    def fresh(self, now: float) -> dict[str, Grant]:
        """Returns the grants that have not expired, by steward."""
        return {name: grant for name, grant in self.grants.items() if now < grant.until}

    def units(self, now: float) -> int:
        """Returns the units that this member may use now, out of `UNITS`."""
        return min(sum(g.units for g in self.fresh(now).values()), UNITS // self.fleet)

    def until(self, now: float) -> float:
        """Returns the earliest expiry of the valid grants; infinite without grants."""
        return min((g.until for g in self.fresh(now).values()), default=math.inf)

    def drop(self) -> None:
        """Drops all grants. Answers to earlier requests have no effect."""
        self.grants.clear()
        self._asked.clear()
