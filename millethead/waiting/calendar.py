"""Timer queue with fixed-width buckets: adding and removing an item costs the same however many there are."""

from __future__ import annotations

from collections import deque
from heapq import heapify, heappop, heappush
from math import ceil, floor, inf

BUCKET_WIDTH_MS = 50.0
MAX_STALE_KEYS = 64  # heap keys of removed buckets that are tolerated, besides one for each bucket


class Calendar:
    """Job numbers ordered by time, in ms of one clock.

    With `early`, a bucket is due at its start: its items come up to BUCKET_WIDTH_MS early and never late. Otherwise it
    is due at its end, and its items are never early. `pop` may return a number that was removed after its bucket became
    due, so the caller has to check whether it is still wanted.
    """

    __slots__ = ("_buckets", "_early", "_keys", "_popped")

    def __init__(self, early: bool) -> None:
        self._early = early
        self._buckets: dict[int, dict[int, None]] = {}
        self._keys: list[int] = []
        self._popped: deque[int] = deque()  # items of the due bucket that `pop` has not returned yet

    def __len__(self) -> int:
        return len(self._popped) + sum(map(len, self._buckets.values()))

    def _key(self, time_ms: float) -> int:
        return floor(time_ms / BUCKET_WIDTH_MS) if self._early else ceil(time_ms / BUCKET_WIDTH_MS)

    def add(self, time_ms: float, number: int) -> None:
        key = self._key(time_ms)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = {}
            heappush(self._keys, key)
        bucket[number] = None

    def remove(self, time_ms: float, number: int) -> None:
        """Removes a number; does nothing if it is not there."""
        key = self._key(time_ms)
        bucket = self._buckets.get(key)
        if bucket is None or number not in bucket:
            return
        del bucket[number]
        if not bucket:
            del self._buckets[key]
            # bounds the heap when a client keeps adding and withdrawing jobs with distant times
            if len(self._keys) > 2 * len(self._buckets) + MAX_STALE_KEYS:
                self._keys = list(self._buckets)
                heapify(self._keys)

    def pop(self, now: float) -> int | None:
        """One number whose bucket is due at `now`, or None."""
        while not self._popped:
            if not self._keys or self._keys[0] * BUCKET_WIDTH_MS > now:
                return None
            self._popped.extend(self._buckets.pop(heappop(self._keys), ()))
        return self._popped.popleft()

    def next_due(self) -> float:
        """When the next bucket is due: inf if there is none, -inf while items of a due bucket are left."""
        if self._popped:
            return -inf
        while self._keys and self._keys[0] not in self._buckets:
            heappop(self._keys)
        return self._keys[0] * BUCKET_WIDTH_MS if self._keys else inf
