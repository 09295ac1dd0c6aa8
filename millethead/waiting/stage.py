"""Stage in front of the exchange that holds delayed jobs: runs the table of delayed jobs on a clock and carries out the
actions that the table asks for.

Work is done in slices of a few ms, with other work of the event loop in between, because a single event may concern ten
thousand jobs: a parent with that many children fails, or that many jobs become due in the same second.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from math import inf
from typing import Protocol

import structlog

from millethead.decide.interface import Settings
from millethead.exchange.model import Answer, Cancellable, Final, Order
from millethead.exchange.records import Record, Records, ended_unsent
from millethead.exchange.stage import Amendment, Finished, InvalidOrder, Reply, Stage, reject_repeated
from millethead.logs import RateLimitedLog
from millethead.waiting.batch import sort_by_dependency
from millethead.waiting.delayed_jobs import DelayedJobs
from millethead.waiting.entry import EndReason, Entry, Finish, JobState, LimitReached, Offer
from millethead.waiting.gc_freezer import GcFreezer
from millethead.waiting.setup import WaitingSetup

SLICE_MS = 1.0  # work before the event loop continues with other work
PAUSE_FACTOR = 4.0  # pause after a slice, in multiples of its duration (1 ms at least): leaves the loop 80% of the time
ROUNDS_PER_TIME_CHECK = 1  # a single round may already pass a job to the scheduling module, which takes long
WALL_CLOCK_STEP_MS = 1000.0  # a larger change of the wall clock against the steady clock is logged as a step
_DELAYED_STATES = (JobState.SCHEDULED, JobState.WAITING, JobState.AGED)

log = structlog.get_logger()
rate_limited_log = RateLimitedLog()


class WaitingClock(Protocol):
    """The steady clock and the wall clock, both in ms. `wall` is Unix time and may be stepped."""

    def now(self) -> float: ...

    def wall(self) -> float: ...

    def later(self, delay: float, call: Callable[[], None]) -> Cancellable: ...


class WaitingStage:
    """A `Stage` that holds jobs until they may run, passes them to the next stage, and gives each one final answer."""

    def __init__(
        self, inner: Stage, setup: WaitingSetup, class_names: Sequence[str], clock: WaitingClock, ageing: bool = True
    ) -> None:
        self.inner, self.clock = inner, clock
        self.finished: Finished | None = None
        settings = inner.settings
        self.delayed_jobs = DelayedJobs(
            setup, class_names, settings.classes, max(1, len(settings.tenants)) if ageing else None
        )
        self._records = Records()
        self._gc_freezer = GcFreezer()
        self._timer: Cancellable | None = None
        self._timer_due = inf
        self._running = False
        self._paused_until = -inf  # until then only the actions of the table are carried out
        self._inner_empty = False
        self._on_empty: Callable[[], None] | None = None
        self._wall_offset: float | None = None

    # ---- queries -------------------------------------------------------------------------------------

    @property
    def settings(self) -> Settings:
        return self.inner.settings

    @property
    def ready(self) -> bool:
        return self.inner.ready

    @property
    def held(self) -> int:
        return len(self.delayed_jobs.entries)

    @property
    def closing(self) -> bool:
        return self.inner.closing

    def counts(self) -> dict[str, int]:
        return {state.value: self.delayed_jobs.counts[state] for state in _DELAYED_STATES} | self.inner.counts()

    def record(self, origin: str, job_id: str) -> Record | None:
        entry = self.delayed_jobs.find(origin, job_id)
        if entry is None:
            return self._ended_record(origin, job_id)
        record = entry.record if entry.state is JobState.OFFERED else None
        if record is None:
            return Record(
                entry.arrived_at,
                came=entry.arrived_at,
                state=entry.state.value if entry.state in _DELAYED_STATES else "",
            )
        return replace(record, state="aged") if entry.offer_count > 1 and not record.attempts else record

    def _ended_record(self, origin: str, job_id: str) -> Record | None:
        return self._records.get((origin, job_id)) or self.inner.record(origin, job_id)

    # ---- events --------------------------------------------------------------------------------------

    def arrive(self, order: Order, reply: Reply) -> int:
        if self.record(order.origin, order.id) is not None:
            return reject_repeated(order, reply)
        try:
            entry = self.delayed_jobs.arrive(order, reply, self._ended_record, self.clock.now(), self.clock.wall())
        except LimitReached as limit:
            rate_limited_log.warning("waiting_full", job=order.id, cap=str(limit))
            reply(Answer(Final.REFUSED))
            return 0
        if entry.counts_toward_limits:
            self._gc_freezer.count_job(self.held)
        self._run_slice()
        return entry.number if entry.state is not JobState.ENDED else 0

    def arrive_all(self, orders: Sequence[tuple[Order, Reply]]) -> list[int | InvalidOrder]:
        indexes, errors = sort_by_dependency([order for order, _ in orders])
        results: dict[int, int | InvalidOrder] = dict(errors)
        for index in indexes:
            try:
                results[index] = self.arrive(*orders[index])
            except InvalidOrder as unusable:
                results[index] = unusable
        return [results[index] for index in range(len(orders))]

    def withdraw(self, number: int) -> None:
        entry = self.delayed_jobs.entries.get(number)
        if entry is not None:
            if entry.state is JobState.OFFERED and entry.inner_number:
                self.inner.withdraw(entry.inner_number)
            self.delayed_jobs.withdraw(entry)
            self._run_slice()

    def amend(self, amendment: Amendment) -> None:
        self.delayed_jobs.amend(amendment)
        self.inner.amend(amendment)
        self._run_slice()

    def reconfigure(self, settings: Settings) -> None:
        """Held jobs stay; jobs that become due from now on use the new settings."""
        self.inner.reconfigure(settings)
        self.delayed_jobs.classes = settings.classes

    def leave(self, left: float | None) -> None:
        """Refuses all delayed jobs. They never ran, so their clients may submit them elsewhere at once."""
        if not self.delayed_jobs.stopping:
            log.info("waiting_ends", **self.counts())
            self.delayed_jobs.stop()
        self.inner.leave(left)
        self._run_slice()

    def close(self, empty: Callable[[], None]) -> None:
        self._on_empty = empty
        if not self.delayed_jobs.stopping:
            self.leave(None)
        self.inner.close(self._inner_is_empty)
        self._report_if_empty()

    # ---- slices --------------------------------------------------------------------------------------

    def _run_slice(self) -> None:
        """Does the work that is due now, for one slice at most, and sets the timer for the next one."""
        if self._running:
            return
        self._running = True
        more = False
        try:
            self._check_wall_clock()
            self._carry_out_actions()
            now = self.clock.now()
            if now < self._paused_until:
                more = True
            else:
                start = time.perf_counter()
                used_ms = 0.0
                more = True
                while more and used_ms < SLICE_MS:
                    more = self.delayed_jobs.step(self.clock.now(), self.clock.wall(), ROUNDS_PER_TIME_CHECK)
                    self._carry_out_actions()
                    used_ms = (time.perf_counter() - start) * 1000
                if more:
                    self._paused_until = now + PAUSE_FACTOR * max(1.0, used_ms)
        finally:
            self._running = False
        now = self.clock.now()
        delay = (
            max(0.0, self._paused_until - now) if more else self.delayed_jobs.next_step_delay(now, self.clock.wall())
        )
        due = now + delay
        if due < self._timer_due - 0.5 or self._timer is None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer, self._timer_due = None, inf
            if delay < inf:
                self._timer, self._timer_due = self.clock.later(delay, self._timer_fired), due

    def _timer_fired(self) -> None:
        self._timer, self._timer_due = None, inf
        self._run_slice()

    def _carry_out_actions(self) -> None:
        while actions := self.delayed_jobs.take_actions():
            for action in actions:
                if isinstance(action, Offer):
                    self._offer(action)
                else:
                    self._finish(action)

    def _offer(self, offer: Offer) -> None:
        entry, order = offer.entry, offer.order
        if entry.counts_toward_limits:
            self._gc_freezer.count_job(self.held)
        entry.offered_at, entry.inner_number, entry.record = self.clock.now(), 0, None
        number = self.inner.arrive(order, partial(self._answered, entry, entry.offer_count))
        if entry.state is JobState.OFFERED and number:
            entry.inner_number = number
            entry.record = self.inner.record(order.origin, order.id)

    def _answered(self, entry: Entry, offer_count: int, answer: Answer) -> None:
        """Handles the answer to the offer with this count; ignores the answer to an earlier offer."""
        if entry.offer_count != offer_count:
            return
        order = entry.order
        record = self.inner.record(order.origin, order.id) or entry.record
        self.delayed_jobs.answered(entry, answer, record, self.clock.now())
        if entry.state is JobState.AGED:
            log.info(
                "job_waits_on",
                job=order.id,
                offers=entry.offer_count,
                bound_in_ms=round(entry.deadline - self.clock.now()),
            )
        self._run_slice()

    def _finish(self, finish: Finish) -> None:
        entry, answer, now = finish.entry, finish.answer, self.clock.now()
        order, reply = entry.order, entry.reply
        entry.reply = None
        # the next stage has no record of a delayed job that it refused for lack of capacity
        if finish.reason is not None or (
            entry.counts_toward_limits and self.inner.record(order.origin, order.id) is None
        ):
            self._records.put((order.origin, order.id), ended_unsent(answer, entry.arrived_at, now), now)
            if finish.reason is not None and finish.reason is not EndReason.LIMIT_REACHED:
                log.info(
                    "job_" + (answer.final.value if answer is not None else "withdrawn"),
                    job=order.id,
                    why=finish.reason.value,
                    after_ms=round(now - entry.arrived_at),
                )
        if answer is not None and reply is not None:
            reply(answer)
        if self.finished is not None:
            self.finished(order, answer, entry.arrived_at, now)
        self._report_if_empty()

    def _check_wall_clock(self) -> None:
        """Logs a step of the wall clock since the last call."""
        offset = self.clock.wall() - self.clock.now()
        if self._wall_offset is not None and abs(offset - self._wall_offset) > WALL_CLOCK_STEP_MS:
            log.warning("wall_clock_stepped", by_ms=round(offset - self._wall_offset))
        self._wall_offset = offset

    # ---- shutdown ------------------------------------------------------------------------------------

    def _inner_is_empty(self) -> None:
        self._inner_empty = True
        self._report_if_empty()

    def _report_if_empty(self) -> None:
        """Calls the callback of `close` once neither this stage nor the next holds a job."""
        if self._inner_empty and not self.delayed_jobs.entries and self._on_empty is not None:
            call, self._on_empty = self._on_empty, None
            call()
