"""The book of waiting jobs: states, parents, set times, bounds and caps. No I/O, and no clock but what it is told.

Two times go through it, both in ms: `now`, which only moves forward, and `wall`, by which set times go and which
may be stepped either way. Whatever may touch many jobs (the end of a parent, a withdrawal by pattern, the end of
the program) becomes a chore that `step` works off a piece at a time, without recursion.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace
from math import inf

from millethead.decide.interface import JobClass
from millethead.exchange.model import Answer, Final, Order
from millethead.exchange.records import Record
from millethead.exchange.stage import Amendment, InvalidOrder, Reply
from millethead.waiting.ageing import MARGIN, Bounds, Line
from millethead.waiting.calendar import Calendar
from millethead.waiting.dependencies import Dependencies
from millethead.waiting.entry import Close, Effect, Entry, Full, Known, Offer, State, Why
from millethead.waiting.setup import WaitingSetup

LATE = 1500.0  # ms by which a set time may be noticed late (a bucket, a look, a crowd): its job's bound counts them
LOOK = 500.0  # ms between two looks at the wall clock while something waits for it: it may have been stepped
CHEAP = 16  # pieces that cost microseconds for one that hands a job on
PUMP = 10.0  # ms between two looks at lines whose offers all wait for a worker


class Book:
    """`aged` is the module's flow for aged jobs; None: they wait on in their tenant's (for comparison only)."""

    def __init__(
        self, setup: WaitingSetup, names: Sequence[str], classes: Sequence[JobClass], aged: int | None
    ) -> None:
        self.setup, self.classes, self.aged, self.bounds = setup, classes, aged, Bounds(setup, names)
        self.entries: dict[int, Entry] = {}
        self.leaving = False
        self.kept = self.bytes = 0
        self.returned = 0  # how often a refused job went back to wait
        self.counts = dict.fromkeys(State, 0)
        self._ids: dict[str, dict[str, Entry]] = {}
        self._dependencies = Dependencies()
        self._numbers = 0
        self._now = 0.0
        self._times = Calendar(early=False)
        self._ends = Calendar(early=True)
        self._lines: dict[int, Line] = {}
        self._chores: deque[Iterator[None]] = deque()
        self._effects: list[Effect] = []

    # ---- what is known -------------------------------------------------------------------------------

    def find(self, origin: str, job_id: str) -> Entry | None:
        """The job of this id that owes its answer."""
        return self._ids.get(origin, {}).get(job_id)

    @property
    def edges(self) -> int:
        """Jobs waited for, once for each that waits."""
        return self._dependencies.edges

    def take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects

    def wake(self, now: float, wall: float) -> float:
        """ms until `step` has something to do; inf if nothing but an event can bring that."""
        if self._chores or self._effects:
            return 0.0
        delay = max(0.0, self._ends.first() - now)
        if (first := self._times.first()) < inf:
            delay = min(delay, max(0.0, min(first - wall, LOOK)))
        if any(self._lines.values()):
            delay = min(delay, PUMP)
        return delay

    # ---- events --------------------------------------------------------------------------------------

    def arrive(self, order: Order, reply: Reply, known: Known, now: float, wall: float) -> Entry:
        """Take a job in. Raises InvalidOrder if it cannot mean anything, Full if a cap is reached."""
        self._now, plan = now, order.plan
        if plan is None:
            entry = self._new(order, reply, now)
            entry.due, entry.offers = now, 1
            self._settle_end(entry)
            self._effects.append(Offer(entry, order))
            return entry
        if plan.at > wall + self.setup.horizon_s * 1000:
            raise InvalidOrder(f"the set time is more than {self.setup.horizon_s:.0f} s ahead")
        if order.waits and plan.at > wall + order.asked:
            raise InvalidOrder("the set time is later than the client waits for its answer")
        parents: dict[int, Entry] = {}
        failed = False
        for parent in plan.after:
            live, record = self._parent(order, parent, known)
            if live is not None:
                parents[live.number] = live
            elif record is None:
                raise InvalidOrder(f"no job {parent} is known to wait for")
            else:
                failed |= record.final is not Final.SERVED and not plan.run_if_parent_fails
        if self.leaving:
            raise Full("stopping")
        self._room_for(order, len(parents))
        entry = self._new(order, reply, now)
        self._keep(entry)
        if order.waits:
            entry.end = now + order.asked - MARGIN
            self._ends.add(entry.end, entry.number)
        if failed:
            self._close(entry, Answer(Final.FAILED), Why.PARENT)
            return entry
        if parents:
            self._dependencies.link(entry, parents)
        if plan.at > wall:
            self._to(entry, State.SCHEDULED)
            self._times.add(plan.at, entry.number)
        elif parents:
            self._to(entry, State.WAITING)
        else:
            self._become_due(entry, now)
        return entry

    def answered(self, entry: Entry, answer: Answer, record: Record | None, now: float) -> None:
        """The next stage gave its answer: the final one, unless the job waits on."""
        if entry.state is not State.INSIDE:
            return
        self._now = now
        order, line = entry.order, self._lines.get(self._flow(entry))
        cls = self.classes[order.job_class]
        if line is not None and answer.final is Final.REFUSED:
            line.came_back(entry, now, now - entry.offered_at)
        if not self.leaving and self.bounds.waits_on(order, cls, answer, record, now, entry.end):
            try:
                if not entry.kept:
                    self._room_for(order, 0)
                    self._keep(entry)
            except Full:
                self._close(entry, answer, Why.FULL)
                return
            entry.record = None
            self.returned += 1
            self._ends.add(entry.end, entry.number)
            self._to(entry, State.AGED)
            self._line(entry).add(entry)
            return
        self._close(entry, answer, None)

    def withdraw(self, entry: Entry) -> None:
        """Its client wants it no more; what waits for it is told."""
        if entry.state is not State.ENDED:
            self._close(entry, None, None if entry.state is State.INSIDE else Why.WITHDRAWN)

    def amend(self, amendment: Amendment) -> None:
        """Withdraw or make_due what the amendment names, a piece at a time."""
        ids = self._ids.get(amendment.origin, {})
        among: Iterable[Entry] = (
            list(ids.values())
            if amendment.ids is None
            else [entry for job_id in amendment.ids if (entry := ids.get(job_id)) is not None]
        )
        self._chores.append(self._amend(amendment, among))

    def _amend(self, amendment: Amendment, among: Iterable[Entry]) -> Iterator[None]:
        for entry in among:
            if entry.state.value == amendment.state and amendment.jobtype in ("", entry.order.jobtype):
                if not amendment.make_due:
                    self._close(entry, None, Why.WITHDRAWN)
                elif entry.state is State.SCHEDULED:
                    self._time_came(entry, self._now)
            yield

    def leave(self) -> None:
        """The program ends: whatever waits here never ran, and is refused."""
        self.leaving = True
        self._chores.append(self._refuse_all(list(self.entries.values())))

    def _refuse_all(self, entries: list[Entry]) -> Iterator[None]:
        for entry in entries:
            if entry.state not in (State.INSIDE, State.ENDED):
                self._close(entry, Answer(Final.REFUSED), Why.LEAVING)
            yield

    # ---- time passes ---------------------------------------------------------------------------------

    def step(self, now: float, wall: float, most: int) -> bool:
        """Up to `most` rounds of some small pieces of each kind; whether anything may be left for now."""
        self._now = now
        done = True
        while done and most > 0:
            # some of each: a long chore must not hold up what is due, nor an answer that is owed
            done = False
            for piece in (self._chore, self._over, self._came):
                pieces = CHEAP
                while pieces and piece(now, wall):
                    done, pieces = True, pieces - 1
            done |= self._offer(now)
            most -= 1
        return done

    def _chore(self, now: float, wall: float) -> bool:
        if not self._chores:
            return False
        try:
            next(self._chores[0])
        except StopIteration:
            self._chores.popleft()
        return True

    def _over(self, now: float, wall: float) -> bool:
        """Answer one job whose time is up."""
        number = self._ends.pop(now)
        if number is None:
            return False
        entry = self.entries.get(number)
        # what is inside has its answer from there, by the same time
        if entry is not None and entry.state is not State.INSIDE:
            self._close(entry, Answer(Final.REFUSED), Why.BOUND)
        return True

    def _came(self, now: float, wall: float) -> bool:
        number = self._times.pop(wall)
        if number is None:
            return False
        entry = self.entries.get(number)
        if entry is not None and entry.state is State.SCHEDULED and entry.order.plan is not None:
            if entry.order.plan.at > wall:  # the wall clock was stepped back while its bucket was open
                self._times.add(entry.order.plan.at, number)
            else:
                # more than that is a clock stepped forward, which must not use up the job's own time
                late = wall - entry.order.plan.at
                self._time_came(entry, now - late if late <= LATE else now)
        return True

    def _offer(self, now: float) -> bool:
        """Offer one job: lines take turns, so that no tenant's many stand before another's few."""
        if self.leaving:
            return False
        for flow, line in self._lines.items():
            entry = line.next(now)
            if entry is not None:
                line.drop(entry)
                line.offered(entry)
                del self._lines[flow]  # to the end of the turns
                self._lines[flow] = line
                aged = entry.state is State.AGED
                entry.offers += 1
                self._to(entry, State.INSIDE)
                order = entry.order
                cls = self.classes[order.job_class]
                self._effects.append(
                    Offer(
                        entry,
                        replace(
                            order,
                            left=max(1.0, min(cls.deadline, entry.end - now)),
                            plan=None,
                            fresh=True,
                            flow=self.aged if aged else None,
                            again=entry.offers > 1,
                        ),
                    )
                )
                return True
        return False

    # ---- inside --------------------------------------------------------------------------------------

    def _parent(self, order: Order, job_id: str, known: Known) -> tuple[Entry | None, Record | None]:
        """A job to wait for: of the same front, else of another."""
        if job_id == order.id:
            raise InvalidOrder("a job cannot wait for itself")
        for origin in (order.origin, *(o for o in self._ids if o != order.origin)):
            live = self.find(origin, job_id)
            if live is not None:
                return live, None
            record = known(origin, job_id)
            if record is not None and record.ended:
                return None, record
        return None, None

    def _room_for(self, order: Order, edges: int) -> None:
        setup = self.setup
        for name, have, more, most in (
            ("jobs", self.kept, 1, setup.jobs),
            ("edges", self.edges, edges, setup.edges),
            ("bytes", self.bytes, len(order.body), setup.bytes),
        ):
            if have + more > most:
                raise Full(name)

    def _new(self, order: Order, reply: Reply, now: float) -> Entry:
        self._numbers += 1
        entry = Entry(self._numbers, order, reply, now)
        self.entries[entry.number] = entry
        self._ids.setdefault(order.origin, {})[order.id] = entry
        self.counts[entry.state] += 1
        return entry

    def _keep(self, entry: Entry) -> None:
        entry.kept = True
        self.kept += 1
        self.bytes += len(entry.order.body)

    def _to(self, entry: Entry, state: State) -> None:
        self.counts[entry.state] -= 1
        self.counts[state] += 1
        entry.state = state

    def _flow(self, entry: Entry) -> int:
        if entry.offers > 1 or entry.state is State.AGED:
            return -1 if self.aged is None else self.aged
        return entry.order.tenant

    def _line(self, entry: Entry) -> Line:
        flow = self._flow(entry)
        line = self._lines.get(flow)
        if line is None:
            line = self._lines[flow] = Line(self.setup.offers)
        return line

    def _settle_end(self, entry: Entry) -> None:
        order = entry.order
        entry.end = min(entry.end, self.bounds.end(order, self.classes[order.job_class], entry.due))

    def _time_came(self, entry: Entry, due: float) -> None:
        if entry.order.plan is not None:
            self._times.drop(entry.order.plan.at, entry.number)
        if entry.parents:
            self._to(entry, State.WAITING)
        else:
            self._become_due(entry, due)

    def _become_due(self, entry: Entry, due: float) -> None:
        """From here on its time runs."""
        if self.leaving:
            self._close(entry, Answer(Final.REFUSED), Why.LEAVING)
            return
        if entry.end < inf:
            self._ends.drop(entry.end, entry.number)
        entry.due = due
        self._settle_end(entry)
        self._ends.add(entry.end, entry.number)
        self._to(entry, State.DUE)
        self._line(entry).add(entry)

    def _close(self, entry: Entry, answer: Answer | None, why: Why | None) -> None:
        """The one place where a job leaves the book."""
        order = entry.order
        if entry.state is State.SCHEDULED and order.plan is not None:
            self._times.drop(order.plan.at, entry.number)
        elif entry.state in (State.DUE, State.AGED):
            self._line(entry).drop(entry)
        if entry.end < inf:
            self._ends.drop(entry.end, entry.number)
        self.counts[entry.state] -= 1
        entry.state = State.ENDED
        del self.entries[entry.number], self._ids[order.origin][order.id]
        if entry.kept:
            self.kept -= 1
            self.bytes -= len(order.body)
        self._dependencies.unlink(entry)
        if entry.children:
            served = answer is not None and answer.final is Final.SERVED
            self._chores.append(self._tell_children(entry, entry.children, served))
            entry.children = None
        self._effects.append(Close(entry, answer, why))

    def _tell_children(self, parent: Entry, children: dict[int, Entry], served: bool) -> Iterator[None]:
        for child in self._dependencies.release(parent, children):
            if child is not None:
                plan = child.order.plan
                if not served and not (plan is not None and plan.run_if_parent_fails):
                    self._close(child, Answer(Final.FAILED), Why.PARENT)
                elif not child.parents and child.state is State.WAITING:
                    self._become_due(child, self._now)
            yield
