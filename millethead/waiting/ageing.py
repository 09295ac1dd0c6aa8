"""Ageing: which refused jobs are offered again, until when, and in which order queued jobs are offered.

A job is offered again if its class has a configured bound, the scheduling module refused it, and it either never ran
or may safely be repeated. Such jobs wait in one flow of the scheduling module that belongs to aged jobs alone. That
flow has an absolute reservation, so the local tags of RBFQ schedule it even if the flows of the tenants are flooded.
docs/waiting.md lists the alternatives that were considered.
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

AGED_FLOW_WEIGHT = 0.1  # for capacity that the reservations leave over; low, as the flow relies on its reservation
MIN_TIME_LEFT_MS = 100.0  # a job this close to its deadline is not offered again
ANSWER_MARGIN_MS = 20.0  # the answer leaves this long before the client's own time-out, to arrive in time
QUICK_REFUSAL_MS = 50.0  # a refusal within this time means that the next offer would be refused too
MIN_PAUSE_MS, MAX_PAUSE_MS = 100.0, 2000.0  # pause of a queue after a quick refusal; doubles with each further one


def aged_flow(setup: WaitingSetup) -> Tenant:
    """The flow of the scheduling module for aged jobs, which follows those of the tenants."""
    return Tenant(setup.aged_rate, AGED_FLOW_WEIGHT, "aged")


class ClassDeadlines:
    """Deadlines of due jobs by job class."""

    def __init__(self, setup: WaitingSetup, class_names: Sequence[str]) -> None:
        self._bounds_ms = [
            setup.classes[name].bound_s * 1000 if name in setup.classes else None for name in class_names
        ]

    def deadline(self, order: Order, job_class: JobClass, due_at: float) -> float:
        """When the final answer of a job that became due at `due_at` has to be given: the time-out of its client or
        the bound of its class, whichever comes first. All times in ms."""
        bound_ms = self._bounds_ms[order.job_class]
        allowed_ms = job_class.deadline if bound_ms is None else bound_ms
        return due_at + min(allowed_ms, order.asked - ANSWER_MARGIN_MS if order.waits else order.asked)

    def may_retry(
        self, order: Order, job_class: JobClass, answer: Answer, record: Record | None, now: float, deadline: float
    ) -> bool:
        """Whether a job with this answer is queued for another offer. A job that may have run is queued only if it may
        be repeated, because the module that refused it no longer knows where and when it ran."""
        if (
            answer.final is not Final.REFUSED
            or self._bounds_ms[order.job_class] is None
            or now >= deadline - MIN_TIME_LEFT_MS
        ):
            return False
        return job_class.effect is Effect.SAFE or record is None or not record.may_have_run


class FlowQueue:
    """Due jobs of one flow that no worker has started: up to `max_offered` are offered to the scheduling module, the
    others are queued here.

    The number of offers is limited because the module examines every job that it holds for each free slot, so ten
    thousand jobs that become due in one second would delay all others. Queued jobs are grouped by class, by whether
    they were offered before, and by whether their client has a time-out. Each group is first in, first out; among the
    heads of the groups the one with the earliest deadline is offered next.
    """

    def __init__(self, max_offered: int) -> None:
        self.max_offered = max_offered
        self._queues: dict[tuple[int, bool, bool], OrderedDict[int, Entry]] = {}
        self._offered: dict[int, Entry] = {}
        self._count = 0
        self._paused_until, self._pause_ms = -inf, MIN_PAUSE_MS

    def __len__(self) -> int:
        return self._count

    @staticmethod
    def _group(entry: Entry) -> tuple[int, bool, bool]:
        return entry.order.job_class, entry.offer_count > 1, entry.order.asked < inf

    def add(self, entry: Entry) -> None:
        self._queues.setdefault(self._group(entry), OrderedDict())[entry.number] = entry
        self._count += 1

    def remove(self, entry: Entry) -> None:
        """Removes a queued job; does nothing if it is not queued."""
        group = self._group(entry)
        if (queue := self._queues.get(group)) is not None and queue.pop(entry.number, None) is not None:
            self._count -= 1
            if not queue:
                del self._queues[group]

    def next_to_offer(self, now: float) -> Entry | None:
        """The job to offer next; None if nothing is queued, the queue is paused, or `max_offered` jobs are offered."""
        if not self._count or now < self._paused_until:
            return None
        if len(self._offered) >= self.max_offered:
            for number, entry in list(self._offered.items()):
                if not entry.is_offered or (entry.record is not None and entry.record.attempts):
                    del self._offered[number]  # started or ended
            if len(self._offered) >= self.max_offered:
                return None
        return min((next(iter(queue.values())) for queue in self._queues.values()), key=lambda entry: entry.deadline)

    def mark_offered(self, entry: Entry) -> None:
        self._offered[entry.number] = entry

    def offer_refused(self, entry: Entry, now: float, elapsed_ms: float) -> None:
        """Records that an offer was refused `elapsed_ms` after it was made, and pauses the queue if that was quick."""
        self._offered.pop(entry.number, None)
        if elapsed_ms < QUICK_REFUSAL_MS:
            self._paused_until, self._pause_ms = now + self._pause_ms, min(MAX_PAUSE_MS, 2 * self._pause_ms)
        else:
            self._pause_ms = MIN_PAUSE_MS
