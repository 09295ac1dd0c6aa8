"""The admission queue: the stage before the exchange that admits jobs fairly, and refuses those over its limits.

A refused client is given the time at which it may retry.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from math import inf

import structlog
from xxhash import xxh3_64_intdigest

from millethead.admission.fair_queue import FairQueue, Item
from millethead.admission.retry_times import RetryReservations, ServiceRate
from millethead.admission.setup import AdmissionSetup
from millethead.admission.window import AdmissionWindow
from millethead.console.metrics import ExtraMetric
from millethead.decide.interface import Settings
from millethead.exchange.model import Answer, Cancellable, Clock, Final, Order
from millethead.exchange.records import Record, Records, ended_unsent
from millethead.exchange.stage import (
    Amendment,
    Finished,
    InvalidOrder,
    Reply,
    Stage,
    arrive_individually,
    reject_deferred,
    reject_repeated,
)
from millethead.logs import RateLimitedLog

ADMIT_INTERVAL_MS = 5.0  # between attempts to admit more jobs while some are queued
EXPIRY_INTERVAL_MS = 100.0  # between searches for queued jobs that are out of time
MIN_REMAINING_MS = 50.0  # a queued job with less time before its deadline is refused

# counters by tenant: name of the metric -> its help text
METRICS = {
    "offered": "Jobs that came to the door.",
    "let_in": "Jobs let in from the door.",
    "turned_away": "Jobs refused at the door.",
    "promised": "Times to come back that were told with a claim.",
    "kept": "Clients that came back in time and were not refused.",
    "broken": "Clients that came back in time and were refused.",
}

log = structlog.get_logger()
limited_log = RateLimitedLog()


@dataclass(slots=True, eq=False)
class PendingJob:
    """One unanswered job.

    number, inner_number: its numbers here and in the next stage.
    end: its deadline in ms.
    returned: its client retries at the time that it was given.
    admitted_at: ms; negative while the job is queued.
    record: its record in the next stage.
    """

    number: int
    order: Order
    reply: Reply | None
    item: Item
    end: float
    returned: bool = False
    inner_number: int = 0
    admitted_at: float = -1.0
    record: Record | None = None


class AdmissionQueue:
    """A `Stage` that queues jobs by tenant and client, and admits them to the next stage `inner`.

    `seed` keys the hash that assigns clients to lanes, so that a client cannot choose its lane.
    """

    def __init__(
        self, inner: Stage, setup: AdmissionSetup, clock: Clock, seed: int, tenants: Sequence[str] = ()
    ) -> None:
        """`tenants` are the names for the metrics. A tenant without a name is reported by its index."""
        self.inner, self.setup, self.clock = inner, setup, clock
        settings = inner.settings
        count = max(1, len(settings.tenants))
        self.tenants = [*tenants[:count], *(str(n) for n in range(len(tenants), count))]
        self.counters: Counter[tuple[str, int]] = Counter()  # by (name in METRICS, tenant); `reservations` has the rest
        self.mean_work = [c.deadline / 10 for c in settings.classes]  # ms of work by class: moving averages
        self.queue = FairQueue(_weights(settings), setup.lanes, partial(hash_client, seed & 0xFFFFFFFFFFFFFFFF))
        self.window = AdmissionWindow(setup.window_least, setup.window_most, setup.target_ms)
        self.reservations, self.service_rate = RetryReservations(setup.promises), ServiceRate(1.0)
        self._finished: Finished | None = None
        self._pending: dict[int, PendingJob] = {}
        self._queued: dict[tuple[str, str], PendingJob] = {}
        self._waiting_inside: dict[int, PendingJob] = {}  # admitted, and not sent to a worker yet
        self._records = Records()  # of the jobs that ended in this queue
        self._queued_bytes = self._last_number = 0
        self._timer: Cancellable | None = None
        self._last_expiry = -inf
        self._leaving = False

    # ---- state ---------------------------------------------------------------------------------------

    @property
    def settings(self) -> Settings:
        return self.inner.settings

    @property
    def finished(self) -> Finished | None:
        return self._finished

    @finished.setter
    def finished(self, call: Finished | None) -> None:
        self._finished = self.inner.finished = call

    @property
    def ready(self) -> bool:
        return self.inner.ready

    @property
    def held(self) -> int:
        return len(self._pending)

    @property
    def closing(self) -> bool:
        return self.inner.closing

    def counts(self) -> dict[str, int]:
        return {"queued": len(self.queue)} | self.inner.counts()

    def record(self, origin: str, job_id: str) -> Record | None:
        job = self._queued.get((origin, job_id))
        if job is not None:
            return Record(job.item.arrived, came=job.item.arrived, state="queued")
        return self.inner.record(origin, job_id) or self._records.get((origin, job_id))

    def figures(self) -> list[ExtraMetric]:
        """The metrics of this stage."""
        counts = self.counters + self.reservations.by_tenant
        return [
            *(
                (
                    f"door_{name}_total",
                    "counter",
                    text,
                    [("tenant", tenant, counts[name, n]) for n, tenant in enumerate(self.tenants)],
                )
                for name, text in METRICS.items()
            ),
            ("door_queued", "gauge", "Jobs that stand at the door.", [("", "", len(self.queue))]),
            (
                "door_window",
                "gauge",
                "Jobs that may wait for a worker inside, and why so many.",
                [("why", self.window.reason, self.window.size)],
            ),
            ("door_drain", "gauge", "Work done, in ms a ms.", [("", "", round(self.service_rate.rate, 3))]),
        ]

    # ---- events --------------------------------------------------------------------------------------

    def arrive(self, order: Order, reply: Reply) -> int:
        now, key = self.clock.now(), (order.origin, order.id)
        reject_deferred(order, now)
        if key in self._queued or (self._records.get(key) is not None and not order.again):
            return reject_repeated(order, reply)
        if self._leaving:
            reply(Answer(Final.REFUSED))
            return 0  # not counted: the metrics do not include the shutdown
        client = order.client or (order.peer[0] if order.peer else "")
        tenant = order.tenant if order.tenant < max(1, len(self.settings.tenants)) else 0
        cost = order.expected_work or self.mean_work[order.job_class]
        self._last_number += 1
        self.counters["offered", tenant] += 1
        job = PendingJob(self._last_number, order, reply, Item(tenant, client, cost, None, now), now + order.left)
        job.item.payload = job
        job.returned = self.reservations.redeem(now, tenant, client)
        self._update_started()
        if not self.queue and self._has_room():
            self._pending[job.number] = job
            self._admit(job)
            return job.number if job.number in self._pending else 0
        ahead = self.queue.ahead(tenant, client)
        full = len(self.queue) >= self.setup.jobs or self._queued_bytes + len(order.body) > self.setup.bytes
        if full or (not job.returned and ahead > self.setup.wait_ms * self.service_rate.rate):
            if job.returned:
                self.reservations.count_kept(job.item.tenant, False, "full")
            pause = self._reserve_retry(job, ahead)
            self.counters["turned_away", tenant] += 1
            limited_log.warning("door_turned_away", job=order.id, tenant=tenant, full=full, back_in_ms=round(pause))
            reply(Answer(Final.REFUSED, pause=pause))
            return 0
        self._pending[job.number] = self._queued[key] = job
        self._queued_bytes += len(order.body)
        self.queue.push(job.item, job.returned)
        self._admit_queued()
        return job.number

    def arrive_all(self, orders: Sequence[tuple[Order, Reply]]) -> list[int | InvalidOrder]:
        return arrive_individually(self, orders)

    def withdraw(self, number: int) -> None:
        job = self._pending.get(number)
        if job is None:
            return
        if job.admitted_at < 0:
            self._remove_queued(job)
            self._close(job, None)
        else:
            self._pending.pop(number)
            self._waiting_inside.pop(number, None)
            self.inner.withdraw(job.inner_number)
        self._admit_queued()

    def amend(self, amendment: Amendment) -> None:
        self.inner.amend(amendment)

    def reconfigure(self, settings: Settings) -> None:
        """Applies new settings. The new tenant weights also apply to the queued jobs."""
        self.inner.reconfigure(settings)
        self.queue.set_weights(_weights(settings))

    def leave(self, left: float | None) -> None:
        """Starts the shutdown. All queued jobs are refused at once: they never ran, so another dispatcher can
        accept them."""
        if not self._leaving:
            log.info(
                "door_ends",
                queued=len(self.queue),
                window=self.window.size,
                why=self.window.reason,
                drain=round(self.service_rate.rate, 2),
                **self.reservations.counts,
            )
        self._leaving = True
        for job in list(self._queued.values()):
            self._remove_queued(job)
            self._close(job, Answer(Final.REFUSED))
        self.inner.leave(left)

    def close(self, empty: Callable[[], None]) -> None:
        if not self._leaving:
            self.leave(None)
        self.inner.close(empty)

    # ---- admission -----------------------------------------------------------------------------------

    def _has_room(self) -> bool:
        """Whether one more admitted job may wait for a worker."""
        return len(self._waiting_inside) < self.window.size

    def _update_started(self) -> None:
        """Finds the admitted jobs that have been sent to a worker, and passes their waits to the window."""
        now = self.clock.now()
        for number, job in list(self._waiting_inside.items()):
            if job.record is None or job.record.attempts:
                del self._waiting_inside[number]
                self.window.waited(now, now - job.admitted_at)

    def _admit(self, job: PendingJob) -> None:
        now, order = self.clock.now(), job.order
        job.admitted_at = now
        self.counters["let_in", job.item.tenant] += 1
        if now > job.item.arrived:
            order = replace(order, left=max(1.0, job.end - now))
        number = self.inner.arrive(order, partial(self._answered, job))
        job.inner_number = number
        if number and job.number in self._pending:
            job.record = self.inner.record(order.origin, order.id)
            if job.record is not None and not job.record.attempts:
                self._waiting_inside[job.number] = job

    def _answered(self, job: PendingJob, answer: Answer) -> None:
        """Handles the answer of an admitted job."""
        self._pending.pop(job.number, None)
        self._waiting_inside.pop(job.number, None)
        now, served = self.clock.now(), answer.final is Final.SERVED
        if served:
            self.service_rate.done(now, job.item.cost, bool(self.queue))
            if job.order.expected_work is None:
                mean = self.mean_work[job.order.job_class]
                self.mean_work[job.order.job_class] = mean + 0.03 * (min(now - job.admitted_at, 5 * mean) - mean)
        if job.returned:
            self.reservations.count_kept(job.item.tenant, answer.final is not Final.REFUSED, "refused_inside")
        if answer.final is Final.REFUSED and not answer.pause and not self._leaving:
            answer = replace(answer, pause=self._reserve_retry(job, self.queue.cost))
        if job.reply is not None:
            job.reply(answer)
        self._admit_queued()

    def _admit_queued(self) -> None:
        """Refuses the queued jobs that are out of time, admits as many others as there is room for, and sets a
        timer to continue while jobs are queued."""
        now = self.clock.now()
        self._update_started()
        if now - self._last_expiry >= EXPIRY_INTERVAL_MS:
            self._last_expiry = now
            for job in [job for job in self._queued.values() if now >= job.end - MIN_REMAINING_MS]:
                self._remove_queued(job)
                self._close(job, Answer(Final.REFUSED, pause=self._reserve_retry(job, self.queue.cost)))
        while self.queue and self._has_room():
            item = self.queue.pop()
            payload = item.payload if item is not None else None
            if isinstance(payload, PendingJob):
                job = payload
                self._queued.pop((job.order.origin, job.order.id), None)
                self._queued_bytes -= len(job.order.body)
                self._admit(job)
                if not self._waiting_inside and self.queue:
                    self.window.ran_empty()
        if self.queue and self._timer is None:
            self._timer = self.clock.later(ADMIT_INTERVAL_MS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._admit_queued()

    # ---- refusal -------------------------------------------------------------------------------------

    def _reserve_retry(self, job: PendingJob, ahead: float) -> float:
        """Reserves a retry time for the client of a refused job, and returns the time until then in ms.

        `ahead` is the work of all tenants, in ms, that is served before it.
        """
        item = job.item
        share = self.queue.share(item.tenant)
        return self.reservations.reserve(
            self.clock.now(), item.tenant, item.client, item.cost, ahead * share, self.service_rate.rate * share
        )

    def _remove_queued(self, job: PendingJob) -> None:
        self.queue.remove(job.item)
        self._queued.pop((job.order.origin, job.order.id), None)
        self._queued_bytes -= len(job.order.body)

    def _close(self, job: PendingJob, answer: Answer | None) -> None:
        """Closes a job that was never admitted (answer None: its client withdrew it)."""
        self._pending.pop(job.number, None)
        reply, job.reply = job.reply, None
        if job.returned and answer is not None:
            self.reservations.count_kept(job.item.tenant, False, "stopping" if self._leaving else "too_late")
        order, now = job.order, self.clock.now()
        self.counters["turned_away", job.item.tenant] += answer is not None
        self._records.put((order.origin, order.id), ended_unsent(answer, job.item.arrived, now), now)
        if answer is not None and reply is not None:
            reply(answer)
        if self._finished is not None:
            self._finished(order, answer, job.item.arrived, now)


def _weights(settings: Settings) -> list[float]:
    return [tenant.weight for tenant in settings.tenants] or [1.0]


def hash_client(seed: int, client: str) -> int:
    """A 64-bit hash of a client's name."""
    return xxh3_64_intdigest(client.encode("utf-8", "surrogatepass"), seed)
