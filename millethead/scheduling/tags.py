"""Tag arithmetic of the fair-queueing algorithm RBFQ (RePAIR, sections 3.1 and 3.3): real-time dual tags per queue.

A unit that arrives at time t in queue i gets a local tag l = max(l_prev + s/M_i, t) and a global tag g = max(g_prev +
s/w_i, t), where s is its size, M_i the floor of the queue and w_i its weight. On each arrival all global tags shift so
that the smallest equals t. The queue with the smallest due local tag is served first. If no local tag is due, the queue
with the smallest global tag is served, and its waiting local tags decrease by s/M_i. A queue that becomes active again
may lag by at most the idle credit sigma/w_i.

Tags belong to the turns of a queue, not to its units: whichever unit takes a turn, the oldest tag of the queue is used
up. Waiting tags are stored as arithmetic progressions, so that ten thousand tasks of one step need one record. Stored
global tags do not include the shift. Stored local tags do not include the reduction by global turns.

The caller chooses the unit of time. Rates are sizes per that unit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import exp, inf

IDLE_CREDIT = 2.0  # sigma: the global lag, in sizes, that a queue may keep when it becomes active again
MIN_RATE = 1e-9  # least floor and weight, which avoids a division by zero


class Phase(IntEnum):
    """The tag that decides a turn. The local phase comes first."""

    LOCAL = 0
    GLOBAL = 1


@dataclass(slots=True)
class _Progression:
    """`count` tags: the first at `local_tag` and `global_tag`, the following ones at intervals of the two steps."""

    local_tag: float
    global_tag: float
    local_step: float
    global_step: float
    count: int


@dataclass(slots=True)
class QueueTags:
    """The waiting tags of one queue, oldest first. `floor` and `weight` may be changed; new values apply from the next
    arrival on.
    """

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
        """The smallest waiting global tag without the common shift; infinite if nothing waits."""
        return self._tags[0].global_tag if self._tags else inf

    def append(self, size: float, count: int, now: float, shift: float) -> None:
        """Adds tags for `count` units of one size (Tag-Assignment in the paper)."""
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
        """Uses up the oldest tag. In the global phase the waiting local tags decrease."""
        first = self._tags[0]
        phase = Phase.LOCAL if self.local_tag <= now else Phase.GLOBAL
        if phase is Phase.GLOBAL:
            self._lowered += first.local_step
        first.local_tag += first.local_step
        first.global_tag += first.global_step
        self._shorten(first)
        return phase

    def drop(self) -> None:
        """Removes the newest tag, because a unit was withdrawn without being served."""
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
    """The tags of the queues that compete for one pool of workers.

    A new queue starts at the current time. After a takeover all queues start anew: tags only order the waiting units
    and carry no entitlement from earlier times.
    """

    def __init__(self) -> None:
        self.queues: dict[str, QueueTags] = {}
        self._shift = 0.0

    def queue(self, name: str) -> QueueTags:
        """Returns the tags of a queue, created on first use."""
        if name not in self.queues:
            self.queues[name] = QueueTags()
        return self.queues[name]

    def forget(self, name: str) -> None:
        """Removes a queue with all its tags."""
        self.queues.pop(name, None)

    def arrive(self, name: str, size: float, count: int, now: float) -> None:
        """Shifts the global tags and adds tags for new units (Tag-Adjustment and Tag-Assignment in the paper)."""
        smallest = min((queue.stored_global_tag for queue in self.queues.values()), default=inf)
        if smallest < inf:
            self._shift = now - smallest
        self.queue(name).append(size, count, now, self._shift)

    def global_tag(self, name: str) -> float:
        """Returns the smallest global tag of a queue including the shift; infinite if nothing waits."""
        return self.queues[name].stored_global_tag + self._shift

    def rank(self, name: str, now: float) -> tuple[Phase, float]:
        """Returns the sort key of a queue; the smallest is served first."""
        queue = self.queues[name]
        local_tag = queue.local_tag
        if local_tag <= now:
            return Phase.LOCAL, local_tag
        return Phase.GLOBAL, queue.stored_global_tag

    def order(self, names: Iterable[str], now: float) -> list[str]:
        """Returns the queues in the order of their turns, without those that have no waiting tag."""
        return sorted((name for name in names if self.queues[name].waiting), key=lambda name: self.rank(name, now))

    def take(self, name: str, now: float) -> Phase:
        """Uses the turn of a queue (Request Scheduling in the paper)."""
        return self.queues[name].pop(now)

    def withdraw(self, name: str) -> None:
        """Removes the tag of a unit that no longer waits."""
        if self.queues[name].waiting:
            self.queues[name].drop()


class ArrivalRate:
    """The arriving size per unit of time, averaged over an exponential window."""

    __slots__ = ("_rate", "_window", "_at")

    def __init__(self, window: float, start: float = 0.0) -> None:
        self._rate, self._window, self._at = start, window, -inf

    def add(self, size: float, now: float) -> None:
        """Records an arrival."""
        self._rate = self.rate(now) + size / self._window
        self._at = now

    def rate(self, now: float) -> float:
        """Returns the rate as of `now`."""
        return self._rate if self._at == -inf else self._rate * exp(-max(0.0, now - self._at) / self._window)
