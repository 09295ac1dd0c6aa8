"""The waiting room: the stage before the exchange that gives the book a clock, and its effects a hand.

Work is done in slices of a few ms, with the loop's other work between them: a parent with ten thousand children
may fail, and ten thousand jobs may be due in one second.
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
from millethead.logs import Sparing
from millethead.waiting.batch import in_order
from millethead.waiting.book import Book
from millethead.waiting.entry import Close, Entry, Full, Offer, State, Why
from millethead.waiting.heap import Heap
from millethead.waiting.setup import WaitingSetup

SLICE = 1.0  # ms of work before the loop gets its turn
REST = 4.0  # ms between slices, and as many times what the last one took: what others do has most of the loop
PIECES = 1  # rounds between two looks at the time: one may hand a job to the module
STEPPED = 1000.0  # ms by which the wall clock leaves the steady one between two looks, and is said to have moved
_HERE = (State.SCHEDULED, State.WAITING, State.AGED)

log = structlog.get_logger()
sparing_log = Sparing()


class WaitingClock(Protocol):
    """Steady time, and the wall clock's (Unix ms, may be stepped)."""

    def now(self) -> float: ...

    def wall(self) -> float: ...

    def later(self, delay: float, call: Callable[[], None]) -> Cancellable: ...


class WaitingRoom:
    """Holds what must wait, passes on what may run, and owes each its one answer. A `Stage`."""

    def __init__(
        self, inner: Stage, setup: WaitingSetup, names: Sequence[str], clock: WaitingClock, ageing: bool = True
    ) -> None:
        self.inner, self.clock = inner, clock
        self.finished: Finished | None = None
        settings = inner.settings
        self.book = Book(setup, names, settings.classes, max(1, len(settings.tenants)) if ageing else None)
        self._records = Records()
        self._heap = Heap()
        self._timer: Cancellable | None = None
        self._due = inf
        self._busy = False
        self._rests = -inf  # until when nothing but what cannot wait is done
        self._inner_empty = False
        self._on_empty: Callable[[], None] | None = None
        self._drift: float | None = None

    # ---- what is known -------------------------------------------------------------------------------

    @property
    def settings(self) -> Settings:
        return self.inner.settings

    @property
    def ready(self) -> bool:
        return self.inner.ready

    @property
    def held(self) -> int:
        return len(self.book.entries)

    @property
    def closing(self) -> bool:
        return self.inner.closing

    def counts(self) -> dict[str, int]:
        return {state.value: self.book.counts[state] for state in _HERE} | self.inner.counts()

    def record(self, origin: str, job_id: str) -> Record | None:
        entry = self.book.find(origin, job_id)
        if entry is None:
            return self._known(origin, job_id)
        record = entry.record if entry.state is State.INSIDE else None
        if record is None:
            return Record(entry.came, came=entry.came, state=entry.state.value if entry.state in _HERE else "")
        return replace(record, state="aged") if entry.offers > 1 and not record.attempts else record

    def _known(self, origin: str, job_id: str) -> Record | None:
        return self._records.get((origin, job_id)) or self.inner.record(origin, job_id)

    # ---- events --------------------------------------------------------------------------------------

    def arrive(self, order: Order, reply: Reply) -> int:
        if self.record(order.origin, order.id) is not None:
            return reject_repeated(order, reply)
        try:
            entry = self.book.arrive(order, reply, self._known, self.clock.now(), self.clock.wall())
        except Full as full:
            sparing_log.warning("waiting_full", job=order.id, cap=str(full))
            reply(Answer(Final.REFUSED))
            return 0
        if entry.kept:
            self._heap.grows(self.held)
        self._go()
        return entry.number if entry.state is not State.ENDED else 0

    def arrive_all(self, orders: Sequence[tuple[Order, Reply]]) -> list[int | InvalidOrder]:
        places, why = in_order([order for order, _ in orders])
        out: dict[int, int | InvalidOrder] = dict(why)
        for n in places:
            try:
                out[n] = self.arrive(*orders[n])
            except InvalidOrder as unusable:
                out[n] = unusable
        return [out[n] for n in range(len(orders))]

    def withdraw(self, number: int) -> None:
        entry = self.book.entries.get(number)
        if entry is not None:
            if entry.state is State.INSIDE and entry.inner:
                self.inner.withdraw(entry.inner)
            self.book.withdraw(entry)
            self._go()

    def amend(self, amendment: Amendment) -> None:
        self.book.amend(amendment)
        self.inner.amend(amendment)
        self._go()

    def reconfigure(self, settings: Settings) -> None:
        """What waits stays as it is; jobs that become due from now on go by the new figures."""
        self.inner.reconfigure(settings)
        self.book.classes = settings.classes

    def leave(self, left: float | None) -> None:
        """What waits never ran: it is refused, its clients may go elsewhere at once."""
        if not self.book.leaving:
            log.info("waiting_ends", **self.counts())
            self.book.leave()
        self.inner.leave(left)
        self._go()

    def close(self, empty: Callable[[], None]) -> None:
        self._on_empty = empty
        if not self.book.leaving:
            self.leave(None)
        self.inner.close(self._inner_is_empty)
        self._empty()

    # ---- slices --------------------------------------------------------------------------------------

    def _go(self) -> None:
        """Do what is to be done now, in slices, and see to it that what comes later is done then."""
        if self._busy:
            return
        self._busy = True
        more = False
        try:
            self._look_at_wall()
            self._perform()
            now = self.clock.now()
            if now < self._rests:
                more = True
            else:
                start = time.perf_counter()
                used = 0.0
                more = True
                while more and used < SLICE:
                    more = self.book.step(self.clock.now(), self.clock.wall(), PIECES)
                    self._perform()
                    used = (time.perf_counter() - start) * 1000
                if more:
                    self._rests = now + REST * max(1.0, used)
        finally:
            self._busy = False
        now = self.clock.now()
        delay = max(0.0, self._rests - now) if more else self.book.wake(now, self.clock.wall())
        due = now + delay
        if due < self._due - 0.5 or self._timer is None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer, self._due = None, inf
            if delay < inf:
                self._timer, self._due = self.clock.later(delay, self._wake), due

    def _wake(self) -> None:
        self._timer, self._due = None, inf
        self._go()

    def _perform(self) -> None:
        while effects := self.book.take_effects():
            for effect in effects:
                if isinstance(effect, Offer):
                    self._offer(effect)
                else:
                    self._close(effect)

    def _offer(self, offer: Offer) -> None:
        entry, order = offer.entry, offer.order
        if entry.kept:
            self._heap.grows(self.held)
        entry.offered_at, entry.inner, entry.record = self.clock.now(), 0, None
        number = self.inner.arrive(order, partial(self._answered, entry, entry.offers))
        if entry.state is State.INSIDE and number:
            entry.inner = number
            entry.record = self.inner.record(order.origin, order.id)

    def _answered(self, entry: Entry, offers: int, answer: Answer) -> None:
        if entry.offers != offers:
            return
        order = entry.order
        known = self.inner.record(order.origin, order.id) or entry.record
        self.book.answered(entry, answer, known, self.clock.now())
        if entry.state is State.AGED:
            log.info("job_waits_on", job=order.id, offers=entry.offers, bound_in_ms=round(entry.end - self.clock.now()))
        self._go()

    def _close(self, close: Close) -> None:
        entry, answer, now = close.entry, close.answer, self.clock.now()
        order, reply = entry.order, entry.reply
        entry.reply = None
        # what waited here and met no room in the next stage is known there by nobody
        if close.why is not None or (entry.kept and self.inner.record(order.origin, order.id) is None):
            self._records.put((order.origin, order.id), ended_unsent(answer, entry.came, now), now)
            if close.why is not None and close.why is not Why.FULL:
                log.info(
                    "job_" + (answer.final.value if answer is not None else "withdrawn"),
                    job=order.id,
                    why=close.why.value,
                    after_ms=round(now - entry.came),
                )
        if answer is not None and reply is not None:
            reply(answer)
        if self.finished is not None:
            self.finished(order, answer, entry.came, now)
        self._empty()

    def _look_at_wall(self) -> None:
        drift = self.clock.wall() - self.clock.now()
        if self._drift is not None and abs(drift - self._drift) > STEPPED:
            log.warning("wall_clock_stepped", by_ms=round(drift - self._drift))
        self._drift = drift

    # ---- the end -------------------------------------------------------------------------------------

    def _inner_is_empty(self) -> None:
        self._inner_empty = True
        self._empty()

    def _empty(self) -> None:
        if self._inner_empty and not self.book.entries and self._on_empty is not None:
            call, self._on_empty = self._on_empty, None
            call()
