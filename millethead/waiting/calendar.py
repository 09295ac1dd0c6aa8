"""Moments by buckets: adding and dropping one costs the same however many there are."""

from __future__ import annotations

from collections import deque
from heapq import heapify, heappop, heappush
from math import ceil, floor, inf

WIDTH = 50.0  # ms in one bucket
STALE = 64  # keys of dropped buckets that may lie about, beside as many as there are buckets


class Calendar:
    """Numbers by their moment (ms of some clock). `early`: a bucket is due at its start, so that what falls
    into it comes up to WIDTH too soon and never late; else at its end, never too soon. What `pop` gives may
    have been dropped after its bucket was opened: the caller looks."""

    __slots__ = ("_buckets", "_early", "_keys", "_open")

    def __init__(self, early: bool) -> None:
        self._early = early
        self._buckets: dict[int, dict[int, None]] = {}
        self._keys: list[int] = []
        self._open: deque[int] = deque()

    def __len__(self) -> int:
        return len(self._open) + sum(map(len, self._buckets.values()))

    def _key(self, moment: float) -> int:
        return floor(moment / WIDTH) if self._early else ceil(moment / WIDTH)

    def add(self, moment: float, number: int) -> None:
        key = self._key(moment)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = {}
            heappush(self._keys, key)
        bucket[number] = None

    def drop(self, moment: float, number: int) -> None:
        key = self._key(moment)
        bucket = self._buckets.get(key)
        if bucket is None or number not in bucket:
            return
        del bucket[number]
        if not bucket:
            del self._buckets[key]
            # a client that adds and drops far moments must not leave a key for each
            if len(self._keys) > 2 * len(self._buckets) + STALE:
                self._keys = list(self._buckets)
                heapify(self._keys)

    def pop(self, now: float) -> int | None:
        """One number whose bucket is due, None if there is none."""
        while not self._open:
            if not self._keys or self._keys[0] * WIDTH > now:
                return None
            self._open.extend(self._buckets.pop(heappop(self._keys), ()))
        return self._open.popleft()

    def first(self) -> float:
        """When the next bucket is due; inf without one, -inf while one is open."""
        if self._open:
            return -inf
        while self._keys and self._keys[0] not in self._buckets:
            heappop(self._keys)
        return self._keys[0] * WIDTH if self._keys else inf
