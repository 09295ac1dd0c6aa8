"""The door: the stage before the exchange that decides who comes next, and who must come back and when."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from math import inf

import structlog
from xxhash import xxh3_64_intdigest

from millethead.console.figures import More
from millethead.decide.interface import Settings
from millethead.door.fair import FairQueue, Item
from millethead.door.promises import Drain, Promises
from millethead.door.setup import DoorSetup
from millethead.door.window import Window
from millethead.exchange.model import Answer, Cancellable, Clock, Final, Order
from millethead.exchange.records import Record, Records, ended_unsent
from millethead.exchange.stage import (
    Amendment,
    Finished,
    Reply,
    Stage,
    Unusable,
    arrive_individually,
    reject_deferred,
    reject_repeated,
)
from millethead.logs import Sparing

LOOK = 5.0  # ms between two looks while jobs stand at the door
SWEEP = 100.0  # ms between two looks for those who stand there too long
LEAST = 50.0  # ms of its own time that a job must have left to be let in

# what is counted by tenant: name of the figure -> what it says
FIGURES = {
    "offered": "Jobs that came to the door.",
    "let_in": "Jobs let in from the door.",
    "turned_away": "Jobs refused at the door.",
    "promised": "Times to come back that were told with a claim.",
    "kept": "Clients that came back in time and were not refused.",
    "broken": "Clients that came back in time and were refused.",
}

log = structlog.get_logger()
sparing_log = Sparing()


@dataclass(slots=True, eq=False)
class Guest:
    """One job that came to the door and owes its answer."""

    number: int
    order: Order
    reply: Reply | None
    item: Item
    end: float
    called: bool = False  # it came back as it was told to
    inner: int = 0
    let_in: float = -1.0
    record: Record | None = None


class Door:
    """A `Stage`. `seed` keys the hash by which clients share lanes: nobody outside can aim at one."""

    def __init__(self, inner: Stage, setup: DoorSetup, clock: Clock, seed: int, tenants: Sequence[str] = ()) -> None:
        """`tenants`: their names, for the figures."""
        self.inner, self.setup, self.clock = inner, setup, clock
        settings = inner.settings
        count = max(1, len(settings.tenants))
        self.tenants = [*tenants[:count], *(str(n) for n in range(len(tenants), count))]
        self.tally: Counter[tuple[str, int]] = Counter()  # (what of FIGURES, tenant), but what `promises` counts
        self.means = [c.deadline / 10 for c in settings.classes]  # ms of work by class, learned
        self.queue = FairQueue(_weights(settings), setup.lanes, partial(_hashed, seed & 0xFFFFFFFFFFFFFFFF))
        self.window = Window(setup.window_least, setup.window_most, setup.target_ms)
        self.promises, self.drain = Promises(setup.promises), Drain(1.0)
        self._finished: Finished | None = None
        self._guests: dict[int, Guest] = {}
        self._standing: dict[tuple[str, str], Guest] = {}
        self._unsent: dict[int, Guest] = {}
        self._records = Records()  # of those that ended at the door
        self._bytes = self._numbers = 0
        self._timer: Cancellable | None = None
        self._swept = -inf
        self._leaving = False

    # ---- what is known -------------------------------------------------------------------------------

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
        return len(self._guests)

    @property
    def closing(self) -> bool:
        return self.inner.closing

    def counts(self) -> dict[str, int]:
        return {"queued": len(self.queue)} | self.inner.counts()

    def record(self, origin: str, job_id: str) -> Record | None:
        guest = self._standing.get((origin, job_id))
        if guest is not None:
            return Record(guest.item.came, came=guest.item.came, state="queued")
        return self.inner.record(origin, job_id) or self._records.get((origin, job_id))

    def figures(self) -> list[More]:
        """For the staff's page."""
        counts = self.tally + self.promises.by_tenant
        return [
            *(
                (
                    f"door_{name}_total",
                    "counter",
                    text,
                    [("tenant", tenant, counts[name, n]) for n, tenant in enumerate(self.tenants)],
                )
                for name, text in FIGURES.items()
            ),
            ("door_queued", "gauge", "Jobs that stand at the door.", [("", "", len(self.queue))]),
            (
                "door_window",
                "gauge",
                "Jobs that may wait for a worker inside, and why so many.",
                [("why", self.window.why, self.window.room)],
            ),
            ("door_drain", "gauge", "Work done, in ms a ms.", [("", "", round(self.drain.rate, 3))]),
        ]

    # ---- events --------------------------------------------------------------------------------------

    def arrive(self, order: Order, reply: Reply) -> int:
        now, name = self.clock.now(), (order.origin, order.id)
        reject_deferred(order, now)
        if name in self._standing or (self._records.get(name) is not None and not order.again):
            return reject_repeated(order, reply)
        if self._leaving:
            reply(Answer(Final.REFUSED))
            return 0  # not counted: the figures are of a door that is open
        client = order.client or (order.peer[0] if order.peer else "")
        tenant = order.tenant if order.tenant < max(1, len(self.settings.tenants)) else 0
        cost = order.expected_work or self.means[order.job_class]
        self._numbers += 1
        self.tally["offered", tenant] += 1
        guest = Guest(self._numbers, order, reply, Item(tenant, client, cost, None, now), now + order.left)
        guest.item.what = guest
        guest.called = self.promises.call_in(now, tenant, client)
        self._see_who_started()
        if not self.queue and self._room():
            self._guests[guest.number] = guest
            self._let_in(guest)
            return guest.number if guest.number in self._guests else 0
        ahead = self.queue.ahead(tenant, client)
        full = len(self.queue) >= self.setup.jobs or self._bytes + len(order.body) > self.setup.bytes
        if full or (not guest.called and ahead > self.setup.wait_ms * self.drain.rate):
            if guest.called:
                self.promises.kept(guest.item.tenant, False, "full")
            pause = self._promise(guest, ahead)
            self.tally["turned_away", tenant] += 1
            sparing_log.warning("door_turned_away", job=order.id, tenant=tenant, full=full, back_in_ms=round(pause))
            reply(Answer(Final.REFUSED, pause=pause))
            return 0
        self._guests[guest.number] = self._standing[name] = guest
        self._bytes += len(order.body)
        self.queue.push(guest.item, guest.called)
        self._pump()
        return guest.number

    def arrive_all(self, orders: Sequence[tuple[Order, Reply]]) -> list[int | Unusable]:
        return arrive_individually(self, orders)

    def withdraw(self, number: int) -> None:
        guest = self._guests.get(number)
        if guest is None:
            return
        if guest.let_in < 0:
            self._leaves(guest)
            self._ends(guest, None)
        else:
            self._guests.pop(number)
            self._unsent.pop(number, None)
            self.inner.withdraw(guest.inner)
        self._pump()

    def amend(self, amendment: Amendment) -> None:
        self.inner.amend(amendment)

    def reconfigure(self, settings: Settings) -> None:
        """New weights for what stands at the door, too."""
        self.inner.reconfigure(settings)
        self.queue.reweigh(_weights(settings))

    def leave(self, left: float | None) -> None:
        """All who stand at the door are told at once: they never ran, and others may take them."""
        if not self._leaving:
            log.info(
                "door_ends",
                queued=len(self.queue),
                window=self.window.room,
                why=self.window.why,
                drain=round(self.drain.rate, 2),
                **self.promises.counts,
            )
        self._leaving = True
        for guest in list(self._standing.values()):
            self._leaves(guest)
            self._ends(guest, Answer(Final.REFUSED))
        self.inner.leave(left)

    def close(self, empty: Callable[[], None]) -> None:
        if not self._leaving:
            self.leave(None)
        self.inner.close(empty)

    # ---- letting in ----------------------------------------------------------------------------------

    def _room(self) -> bool:
        """Whether one more may wait for a worker inside."""
        return len(self._unsent) < self.window.room

    def _see_who_started(self) -> None:
        now = self.clock.now()
        for number, guest in list(self._unsent.items()):
            if guest.record is None or guest.record.attempts:
                del self._unsent[number]
                self.window.waited(now, now - guest.let_in)

    def _let_in(self, guest: Guest) -> None:
        now, order = self.clock.now(), guest.order
        guest.let_in = now
        self.tally["let_in", guest.item.tenant] += 1
        if now > guest.item.came:
            order = replace(order, left=max(1.0, guest.end - now))
        number = self.inner.arrive(order, partial(self._answered, guest))
        guest.inner = number
        if number and guest.number in self._guests:
            guest.record = self.inner.record(order.origin, order.id)
            if guest.record is not None and not guest.record.attempts:
                self._unsent[guest.number] = guest

    def _answered(self, guest: Guest, answer: Answer) -> None:
        self._guests.pop(guest.number, None)
        self._unsent.pop(guest.number, None)
        now, served = self.clock.now(), answer.final is Final.SERVED
        if served:
            self.drain.done(now, guest.item.cost, bool(self.queue))
            if guest.order.expected_work is None:
                mean = self.means[guest.order.job_class]
                self.means[guest.order.job_class] = mean + 0.03 * (min(now - guest.let_in, 5 * mean) - mean)
        if guest.called:
            self.promises.kept(guest.item.tenant, answer.final is not Final.REFUSED, "refused_inside")
        if answer.final is Final.REFUSED and not answer.pause and not self._leaving:
            answer = replace(answer, pause=self._promise(guest, self.queue.cost))
        if guest.reply is not None:
            guest.reply(answer)
        self._pump()

    def _pump(self) -> None:
        """Let in whom there is room for, and look again while somebody stands at the door."""
        now = self.clock.now()
        self._see_who_started()
        if now - self._swept >= SWEEP:
            self._swept = now
            for guest in [g for g in self._standing.values() if now >= g.end - LEAST]:
                self._leaves(guest)
                self._ends(guest, Answer(Final.REFUSED, pause=self._promise(guest, self.queue.cost)))
        while self.queue and self._room():
            item = self.queue.pop()
            came = item.what if item is not None else None
            if isinstance(came, Guest):
                guest = came
                self._standing.pop((guest.order.origin, guest.order.id), None)
                self._bytes -= len(guest.order.body)
                self._let_in(guest)
                if not self._unsent and self.queue:
                    self.window.ran_dry()
        if self.queue and self._timer is None:
            self._timer = self.clock.later(LOOK, self._look)

    def _look(self) -> None:
        self._timer = None
        self._pump()

    # ---- turning away --------------------------------------------------------------------------------

    def _promise(self, guest: Guest, ahead: float) -> float:
        """When its client may come back, in ms."""
        item = guest.item
        share = self.queue.share(item.tenant)
        return self.promises.give(
            self.clock.now(), item.tenant, item.client, item.cost, ahead * share, self.drain.rate * share
        )

    def _leaves(self, guest: Guest) -> None:
        self.queue.drop(guest.item)
        self._standing.pop((guest.order.origin, guest.order.id), None)
        self._bytes -= len(guest.order.body)

    def _ends(self, guest: Guest, answer: Answer | None) -> None:
        """The answer of one that was never let in."""
        self._guests.pop(guest.number, None)
        reply, guest.reply = guest.reply, None
        if guest.called and answer is not None:
            self.promises.kept(guest.item.tenant, False, "stopping" if self._leaving else "too_late")
        order, now = guest.order, self.clock.now()
        self.tally["turned_away", guest.item.tenant] += answer is not None
        self._records.put((order.origin, order.id), ended_unsent(answer, guest.item.came, now), now)
        if answer is not None and reply is not None:
            reply(answer)
        if self._finished is not None:
            self._finished(order, answer, guest.item.came, now)


def _weights(settings: Settings) -> list[float]:
    return [tenant.weight for tenant in settings.tenants] or [1.0]


def _hashed(seed: int, client: str) -> int:
    return xxh3_64_intdigest(client.encode("utf-8", "surrogatepass"), seed)
