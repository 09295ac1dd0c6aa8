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
# a steward counts leases longer by this fraction, because the clocks of two machines differ in rate
MAX_CLOCK_DRIFT = 0.02
MAX_GRANTS_PER_HOLDER = 8  # further grants are merged with the oldest one, at the larger size and the later expiry
MAX_HOLDERS = 1024

Holder = tuple[str, float]  # member name and start time of its process: a restarted member is another holder


class WindowMaximum:
    """Maximum of the counts of the last `window_s` seconds, in bounded memory."""

    __slots__ = ("_maxima", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s, self._maxima = window_s, deque[tuple[float, int]]()

    def add(self, now: float, count: int) -> None:
        """Adds a count."""
        while self._maxima and self._maxima[-1][1] <= count:
            self._maxima.pop()
        self._maxima.append((now, count))

    def value(self, now: float) -> int:
        """Returns the maximum, or 1 without any count."""
        while len(self._maxima) > 1 and self._maxima[0][0] < now - self.window_s:
            self._maxima.popleft()
        return self._maxima[0][1] if self._maxima else 1


@dataclass(slots=True)
class _HolderGrants:
    grants: deque[tuple[float, int]] = field(default_factory=deque)  # (expiry, units)
    seq: int = -1  # sequence number of the last request that was answered, or of the release that ended the grants

    def max_units(self, now: float) -> int:
        while self.grants and self.grants[0][0] <= now:
            self.grants.popleft()
        return max((units for _, units in self.grants), default=0)


class Steward:
    """Manages one part of every limit, `UNITS // steward_count` units, and grants shares of it to members for `lease_s`
    seconds each. The grants that have not expired never add up to more than the part, whatever the steward assumes
    about the size of the fleet."""

    def __init__(self, steward_count: int, lease_s: float, window_s: float, now: float) -> None:
        if steward_count < 1 or lease_s <= 0:
            raise ValueError("there must be at least one steward and a lease longer than 0 s")
        self.part_units, self.lease_s = UNITS // steward_count, lease_s * (1 + MAX_CLOCK_DRIFT)
        self.fleet_sizes = WindowMaximum(window_s)
        # Grants of an earlier process of this steward must have expired before the first new grant.
        self.grants_from, self.grants_until = now + self.lease_s, math.inf
        self._grants_by_holder: dict[Holder, _HolderGrants] = {}

    def request(self, now: float, holder: Holder, seq: int, fleet_size: int) -> int | None:
        """Returns the units that `holder`, which counts `fleet_size` members, may use for one lease from the moment of
        its request. Returns None if the request stays unanswered: it is older than one already answered, there are too
        many holders, or the steward grants nothing at present."""
        if not self.grants_from <= now < self.grants_until:
            return None
        self.fleet_sizes.add(now, fleet_size)
        holder_grants = self._grants_by_holder.get(holder)
        if holder_grants is None:
            if len(self._grants_by_holder) >= MAX_HOLDERS:
                self._remove_expired_holders(now)
            if len(self._grants_by_holder) >= MAX_HOLDERS:
                return None
            holder_grants = self._grants_by_holder[holder] = _HolderGrants()
        if seq <= holder_grants.seq:
            return None  # duplicated or delayed by the network, or released since
        holder_grants.seq = seq
        others = self.outstanding_units(now) - holder_grants.max_units(now)
        units = max(0, min(self.part_units // max(1, self.fleet_sizes.value(now)), self.part_units - others))
        if len(holder_grants.grants) >= MAX_GRANTS_PER_HOLDER:
            expires_at, largest = holder_grants.grants.popleft()
            holder_grants.grants[0] = (
                max(expires_at, holder_grants.grants[0][0]),
                max(largest, holder_grants.grants[0][1]),
            )
        holder_grants.grants.append((now + self.lease_s, units))
        return units

    def release(self, now: float, holder: Holder, seq: int) -> None:
        """Ends all grants of `holder` up to request `seq`."""
        holder_grants = self._grants_by_holder.get(holder)
        if holder_grants is not None and seq > holder_grants.seq:
            holder_grants.grants.clear()
            holder_grants.seq = seq

    def outstanding_units(self, now: float) -> int:
        """Returns the sum of the units granted and not expired."""
        return sum(holder_grants.max_units(now) for holder_grants in self._grants_by_holder.values())

    def _remove_expired_holders(self, now: float) -> None:
        for holder in [name for name, grants in self._grants_by_holder.items() if not grants.max_units(now)]:
            del self._grants_by_holder[holder]


@dataclass(slots=True, frozen=True)
class Grant:
    """A share granted by a steward: units, their expiry on this process's clock, and the fleet size that the steward
    assumes."""

    seq: int
    expires_at: float
    units: int
    fleet_size: int


class Share:
    """The grants that a member holds, and the fleet size it assumes.

    `fleet_size` rises at once to any larger count, its own or a steward's. It falls only to the largest count of the
    last `window_s` seconds, and only while grants of a majority of the stewards are valid. A member that is cut off
    with a minority of the stewards keeps its value.
    """

    def __init__(self, stewards: Iterable[str], lease_s: float, window_s: float) -> None:
        self.stewards, self.lease_s = tuple(stewards), lease_s
        self.fleet_size, self._own_counts = 1, WindowMaximum(window_s)
        self.grants: dict[str, Grant] = {}
        self._requests: dict[int, tuple[str, float]] = {}

    def record_request(self, now: float, seq: int, steward: str) -> None:
        """Records that request `seq` is sent to `steward` now. The lease counts from here, not from the answer."""
        self._requests[seq] = (steward, now)
        while len(self._requests) > 8 * len(self.stewards):
            del self._requests[next(iter(self._requests))]

    def record_grant(self, now: float, seq: int, steward: str, units: int, fleet_size: int) -> None:
        """Stores the grant that answers request `seq`. Answers to unknown requests are ignored."""
        request = self._requests.pop(seq, None)
        if request is None or request[0] != steward:
            return
        current = self.grants.get(steward)
        if current is None or current.seq < seq:  # a late answer must not replace a newer grant
            self.grants[steward] = Grant(seq, request[1] + self.lease_s, units, fleet_size)

    def observe_count(self, now: float, count: int) -> None:
        """Updates the fleet size, given that this member counts `count` members including itself."""
        self._own_counts.add(now, count)
        valid = self.valid_grants(now)
        largest = max([self._own_counts.value(now), *(grant.fleet_size for grant in valid.values())])
        if largest > self.fleet_size or 2 * sum(name in valid for name in self.stewards) > len(self.stewards):
            self.fleet_size = largest

    def valid_grants(self, now: float) -> dict[str, Grant]:
        """Returns the grants that have not expired, by steward."""
        return {name: grant for name, grant in self.grants.items() if now < grant.expires_at}

    def usable_units(self, now: float) -> int:
        """Returns the units that this member may use now, out of `UNITS`."""
        return min(sum(grant.units for grant in self.valid_grants(now).values()), UNITS // self.fleet_size)

    def earliest_expiry(self, now: float) -> float:
        """Returns the earliest expiry of the valid grants; infinite without grants."""
        return min((grant.expires_at for grant in self.valid_grants(now).values()), default=math.inf)

    def drop_grants(self) -> None:
        """Drops all grants. Answers to earlier requests have no effect."""
        self.grants.clear()
        self._requests.clear()
