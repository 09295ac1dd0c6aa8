"""Ageing: which refused jobs wait on, until when, and in which order those that wait are offered.

A job of a class with a bound that the module refused, and that never ran or may be repeated, is offered again
under a flow of the module's own for aged jobs. That flow has an absolute reservation, so RBFQ's local tags give
it its turn whatever floods the flows of the tenants. docs/waiting.md says which other ways were weighed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from math import inf

from millethead.decide.interface import Effect, JobClass, Tenant
from millethead.exchange.model import Answer, Final, Order
from millethead.exchange.records import Record
from millethead.waiting.entry import Entry
from millethead.waiting.setup import WaitingSetup

WEIGHT = 0.1  # of the aged flow in what the reservations leave over: the floor is what it is for
LEAST = 100.0  # ms before its bound from which a job is not worth another offer
MARGIN = 20.0  # ms before its client's time is up by which an answer is on its way
SOON = 50.0  # ms: a refusal that comes sooner says that the next offer would meet the same
PAUSE, PAUSE_MOST = 100.0, 2000.0  # ms without offers from a line after such a refusal, doubling


def aged_flow(setup: WaitingSetup) -> Tenant:
    """The flow that aged jobs wait in, behind those of the tenants."""
    return Tenant(setup.aged_rate, WEIGHT, "aged")


class Bounds:
    """How long a due job may take, by class (ms)."""

    def __init__(self, setup: WaitingSetup, names: Sequence[str]) -> None:
        self._bounds = [setup.classes[name].bound_s * 1000 if name in setup.classes else None for name in names]

    def end(self, order: Order, cls: JobClass, due: float) -> float:
        """When a job that is due at `due` owes its final answer: its client's own time, but not above what
        the class allows."""
        bound = self._bounds[order.job_class]
        allowed = cls.deadline if bound is None else bound
        return due + min(allowed, order.asked - MARGIN if order.waits else order.asked)

    def waits_on(
        self, order: Order, cls: JobClass, answer: Answer, record: Record | None, now: float, end: float
    ) -> bool:
        """Whether a job that had this answer goes back to wait. What may have run does so only if it may be
        repeated: the module that refused it has forgotten where and when it ran."""
        if answer.final is not Final.REFUSED or self._bounds[order.job_class] is None or now >= end - LEAST:
            return False
        return cls.effect is Effect.SAFE or record is None or not record.may_have_run


class Line:
    """Due jobs of one flow that no worker has: some offered to the module, the others here in order.

    Only so many are offered at once: the module looks at all it holds for each free slot, and ten thousand
    jobs due in one second would stand in the way of all others. Of those here goes the one whose time is up
    first, among the first of each class, of those offered before, and of those whose client waits.
    """

    def __init__(self, window: int) -> None:
        self.window = window
        self._waiting: dict[tuple[int, bool, bool], OrderedDict[int, Entry]] = {}
        self._offered: dict[int, Entry] = {}
        self._count = 0
        self._after, self._pause = -inf, PAUSE

    def __len__(self) -> int:
        return self._count

    @staticmethod
    def _key(entry: Entry) -> tuple[int, bool, bool]:
        return entry.order.job_class, entry.offers > 1, entry.order.asked < inf

    def add(self, entry: Entry) -> None:
        self._waiting.setdefault(self._key(entry), OrderedDict())[entry.number] = entry
        self._count += 1

    def drop(self, entry: Entry) -> None:
        key = self._key(entry)
        if (queue := self._waiting.get(key)) is not None and queue.pop(entry.number, None) is not None:
            self._count -= 1
            if not queue:
                del self._waiting[key]

    def next(self, now: float) -> Entry | None:
        """The next one to offer, if there is room for one among those offered."""
        if not self._count or now < self._after:
            return None
        if len(self._offered) >= self.window:
            for number, entry in list(self._offered.items()):
                if not entry.offered or (entry.record is not None and entry.record.attempts):
                    del self._offered[number]  # it has started, or ended
            if len(self._offered) >= self.window:
                return None
        return min((next(iter(queue.values())) for queue in self._waiting.values()), key=lambda e: e.end)

    def offered(self, entry: Entry) -> None:
        self._offered[entry.number] = entry

    def came_back(self, entry: Entry, now: float, since: float) -> None:
        """An offer was refused `since` ms after it was made."""
        self._offered.pop(entry.number, None)
        if since < SOON:
            self._after, self._pause = now + self._pause, min(PAUSE_MOST, 2 * self._pause)
        else:
            self._pause = PAUSE
