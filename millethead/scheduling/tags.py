"""The tag arithmetic of RBFQ (RePAIR, 3.1 and 3.3), for any resource: real-time dual tags per queue.

A unit that arrives at time t in queue i gets a local tag l = max(l_prev + s/M_i, t) and a global tag
g = max(g_prev + s/w_i, t), where s is its size, M_i the queue's floor and w_i its weight. On each arrival all global
tags shift so that the smallest equals t. The smallest due local tag goes first; when none is due, the smallest global
tag goes, and the waiting local tags of its queue drop by s/M_i. A queue that returns from idleness may lag by at most
the idle credit sigma/w_i.

Tags belong to the turns of a queue, not to its units: whichever unit takes a turn, the queue's oldest tag is used up.
Waiting tags are stored as arithmetic progressions, so that ten thousand tasks of one step cost one record. Global tags
are stored without the shift; local tags are stored `lowered` too high.

Times are in one unit of the caller's choice, rates in sizes per that unit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import exp, inf

IDLE_CREDIT = 2.0  # sigma: sizes' worth of global lag that a returning queue keeps
MIN_RATE = 1e-9  # floors and weights are never 0


class Phase(IntEnum):
    """Which tag decides a turn; the local phase goes first."""

    LOCAL = 0
    GLOBAL = 1


@dataclass(slots=True)
class _Progression:
    """`count` tags, the first at `local_tag` and `global_tag`, each further one by the steps later."""

    local_tag: float
    global_tag: float
    local_step: float
    global_step: float
    count: int


@dataclass(slots=True)
class QueueTags:
    """The waiting tags of one queue, oldest first. Change `floor` and `weight` at will: they count from the next
    arrival on."""

    floor: float = 1.0
    weight: float = 1.0
    waiting: int = 0
    _last_local: float = -inf
    _last_global: float = -inf
    _lowered: float = 0.0
    _tags: deque[_Progression] = field(default_factory=deque)

    @property
    def local_tag(self) -> float:
        """The smallest waiting local tag; infinite if nothing waits."""
        return self._tags[0].local_tag - self._lowered if self._tags else inf

    @property
    def stored_global_tag(self) -> float:
        """The smallest waiting global tag, without the common shift; infinite if nothing waits."""
        return self._tags[0].global_tag if self._tags else inf

    def append(self, size: float, count: int, now: float, shift: float) -> None:
        """Tag-Assignment for `count` units of one size."""
        local_step = size / max(self.floor, MIN_RATE)
        global_step = size / max(self.weight, MIN_RATE)
        idle = not self.waiting and self._last_global != -inf
        credit = IDLE_CREDIT / max(self.weight, MIN_RATE) if idle else 0.0
        local_tag = max(self._last_local + local_step, now + self._lowered)
        global_tag = max(self._last_global + global_step, now - credit - shift)
        self._tags.append(_Progression(local_tag, global_tag, local_step, global_step, count))
        self._last_local = local_tag + (count - 1) * local_step
        self._last_global = global_tag + (count - 1) * global_step
        self.waiting += count

    def pop(self, now: float) -> Phase:
        """Use up the oldest tag; in the global phase the waiting local tags drop."""
        first = self._tags[0]
        phase = Phase.LOCAL if self.local_tag <= now else Phase.GLOBAL
        if phase is Phase.GLOBAL:
            self._lowered += first.local_step
        first.local_tag += first.local_step
        first.global_tag += first.global_step
        self._shorten(first)
        return phase

    def drop(self) -> None:
        """Take back the newest tag: a unit no longer waits and was not served."""
        last = self._tags[-1]
        self._last_local -= last.local_step
        self._last_global -= last.global_step
        self._shorten(last)

    def _shorten(self, tags: _Progression) -> None:
        tags.count -= 1
        self.waiting -= 1
        if tags.count:
            return
        if tags is self._tags[0]:
            self._tags.popleft()
        else:
            self._tags.pop()


class TagSchedule:
    """The queues that compete for one pool of workers. A queue that is new starts at now; a process that takes over
    starts with all queues anew at now: tags only order what waits, they owe nothing from the time before."""

    def __init__(self) -> None:
        self.queues: dict[str, QueueTags] = {}
        self._shift = 0.0

    def queue(self, name: str) -> QueueTags:
        """The tags of a queue, made on first use."""
        if name not in self.queues:
            self.queues[name] = QueueTags()
        return self.queues[name]

    def forget(self, name: str) -> None:
        """Drop a queue with all its tags."""
        self.queues.pop(name, None)

    def arrive(self, name: str, size: float, count: int, now: float) -> None:
        """Tag-Adjustment, then Tag-Assignment."""
        smallest = min((queue.stored_global_tag for queue in self.queues.values()), default=inf)
        if smallest < inf:
            self._shift = now - smallest
        self.queue(name).append(size, count, now, self._shift)

    def global_tag(self, name: str) -> float:
        """The smallest global tag of a queue with the shift; infinite if nothing waits."""
        return self.queues[name].stored_global_tag + self._shift

    def rank(self, name: str, now: float) -> tuple[Phase, float]:
        """What is compared between queues: the smallest goes first."""
        queue = self.queues[name]
        local_tag = queue.local_tag
        if local_tag <= now:
            return Phase.LOCAL, local_tag
        return Phase.GLOBAL, queue.stored_global_tag

    def order(self, names: Iterable[str], now: float) -> list[str]:
        """The queues in the order of their turns, those without a waiting tag left out."""
        return sorted((name for name in names if self.queues[name].waiting), key=lambda name: self.rank(name, now))

    def take(self, name: str, now: float) -> Phase:
        """Request Scheduling: the queue's turn is used."""
        return self.queues[name].pop(now)

    def withdraw(self, name: str) -> None:
        """One unit of the queue no longer waits."""
        if self.queues[name].waiting:
            self.queues[name].drop()


class ArrivalRate:
    """Sizes that arrive per unit of time, with an exponential window."""

    __slots__ = ("_rate", "_window", "_at")

    def __init__(self, window: float, start: float = 0.0) -> None:
        self._rate, self._window, self._at = start, window, -inf

    def add(self, size: float, now: float) -> None:
        """Note an arrival."""
        self._rate = self.rate(now) + size / self._window
        self._at = now

    def rate(self, now: float) -> float:
        """The rate as of `now`."""
        return self._rate if self._at == -inf else self._rate * exp(-max(0.0, now - self._at) / self._window)
