"""A member's share of the limits that hold for the whole fleet: the rule and its proof are in docs/members.md.

No input or output. Times are seconds of each process's own monotonic clock; amounts are whole units, of which the
whole fleet's limit has `UNITS`, so that sums are exact.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

UNITS = 1 << 30
DRIFT = 0.02  # part by which a steward counts a lease longer than its holder: clocks of two machines differ in rate
GRANTS = 8  # grants of one holder that are remembered one by one; further ones are counted at their largest
HOLDERS = 1024  # holders of one steward at once

Holder = tuple[str, float]  # a member's name and the start of its process: one started anew is another holder


class Largest:
    """The largest count of the last `window` seconds, in bounded memory."""

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
    grants: deque[tuple[float, int]] = field(default_factory=deque)  # (until, units)
    seq: int = -1  # the last question that it answered, or the release that ended it

    def most(self, now: float) -> int:
        while self.grants and self.grants[0][0] <= now:
            self.grants.popleft()
        return max((units for _, units in self.grants), default=0)


class Steward:
    """Owns one part of every limit, `UNITS // stewards` units, and lends it to members for `lease` seconds. What it
    has lent and has not run out never adds up to more than its part, whatever it believes of the fleet."""

    def __init__(self, stewards: int, lease: float, window: float, now: float) -> None:
        if stewards < 1 or lease <= 0:
            raise ValueError("at least one steward, and a lease of more than 0 s, are wanted")
        self.part, self.lease = UNITS // stewards, lease * (1 + DRIFT)
        self.fleet = Largest(window)
        # whatever an earlier process of this steward lent must have run out before anything is lent anew
        self.opens, self.closes = now + self.lease, math.inf
        self._given: dict[Holder, _Given] = {}

    def ask(self, now: float, holder: Holder, seq: int, fleet: int) -> int | None:
        """How much `holder`, which counts `fleet` members, may use for a lease from the moment it asked; None: no
        answer (a question that is older than one answered, no room, or nothing is lent now)."""
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
            return None  # asked again by a network that doubles or delays, or released since
        given.seq = seq
        others = self.lent(now) - given.most(now)
        units = max(0, min(self.part // max(1, self.fleet.get(now)), self.part - others))
        if len(given.grants) >= GRANTS:
            until, largest = given.grants.popleft()
            given.grants[0] = max(until, given.grants[0][0]), max(largest, given.grants[0][1])
        given.grants.append((now + self.lease, units))
        return units

    def release(self, now: float, holder: Holder, seq: int) -> None:
        """`holder` uses nothing any more of what it asked for up to question `seq`."""
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
    """What a steward lent: units until a time of this process's clock; `fleet`: the fleet that it reckons with."""

    seq: int
    until: float
    units: int
    fleet: int


class Share:
    """A member's own side: the grants it holds, and the fleet it reckons with.

    `fleet` rises at once to any larger count, its own or a steward's, and falls only to the largest count of the
    last `window` seconds that a majority of the stewards confirm: cut off with a minority of them, it stays.
    """

    def __init__(self, stewards: Iterable[str], lease: float, window: float) -> None:
        self.stewards, self.lease = tuple(stewards), lease
        self.fleet, self._own = 1, Largest(window)
        self.grants: dict[str, Grant] = {}
        self._asked: dict[int, tuple[str, float]] = {}

    def asking(self, now: float, seq: int, steward: str) -> None:
        """Question `seq` goes out to `steward` now: a lease counts from here, not from the answer."""
        self._asked[seq] = (steward, now)
        while len(self._asked) > 8 * len(self.stewards):
            del self._asked[next(iter(self._asked))]

    def granted(self, now: float, seq: int, steward: str, units: int, fleet: int) -> None:
        asked = self._asked.pop(seq, None)
        if asked is None or asked[0] != steward:
            return
        held = self.grants.get(steward)
        if held is None or held.seq < seq:  # a late answer must not bring an older grant back
            self.grants[steward] = Grant(seq, asked[1] + self.lease, units, fleet)

    def observe(self, now: float, count: int) -> None:
        """This member counts `count` members, itself included."""
        self._own.put(now, count)
        fresh = self.fresh(now)
        known = max([self._own.get(now), *(g.fleet for g in fresh.values())])
        if known > self.fleet or 2 * sum(name in fresh for name in self.stewards) > len(self.stewards):
            self.fleet = known

    def fresh(self, now: float) -> dict[str, Grant]:
        """The grants that have not run out, by steward."""
        return {name: grant for name, grant in self.grants.items() if now < grant.until}

    def units(self, now: float) -> int:
        """What this member may use now, of `UNITS` that the fleet has."""
        return min(sum(g.units for g in self.fresh(now).values()), UNITS // self.fleet)

    def until(self, now: float) -> float:
        """When the first of the grants in use runs out."""
        return min((g.until for g in self.fresh(now).values()), default=math.inf)

    def drop(self) -> None:
        """From now on nothing is used, and no answer on the way changes that."""
        self.grants.clear()
        self._asked.clear()
