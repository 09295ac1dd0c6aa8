"""The waiting room against a simple model: any order of push, end, withdrawal, time, clock steps and caps."""

from math import inf

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from test_waiting import NAMES, Inner

from millethead.exchange import Final, Order
from millethead.exchange.model import Plan
from millethead.exchange.stage import Amendment, InvalidOrder
from millethead.lab.clock import VirtualClock
from millethead.waiting.ageing import LEAST, MARGIN
from millethead.waiting.calendar import WIDTH
from millethead.waiting.room import WaitingRoom
from millethead.waiting.setup import ClassBound, WaitingSetup

BOUND = 20_000.0
JOBS = 12


class Model:
    """What is true of one job, whatever the room thinks of it."""

    def __init__(self, order, came):
        self.order, self.came, self.answers, self.offers = order, came, [], 0
        self.withdrawn = False

    @property
    def ended(self):
        return bool(self.answers) or self.withdrawn


class Rooms(RuleBasedStateMachine):
    @initialize(offers=st.integers(1, 3), ageing=st.booleans())
    def open(self, offers, ageing):
        self.clock, self.inner = VirtualClock(), Inner()
        setup = WaitingSetup(
            jobs=JOBS,
            bytes=400,
            edges=15,
            horizon_s=100.0,
            offers=offers,
            classes={"report": ClassBound(bound_s=BOUND / 1000)},
        )
        self.room = WaitingRoom(self.inner, setup, NAMES, self.clock, ageing)
        self.jobs, self.numbers, self.count, self.leaving = {}, {}, 0, False
        taken = self.inner.arrive

        def arrive(order, reply):
            """Each time the room hands a job on, it must be allowed to."""
            job = self.jobs[order.id]
            assert not job.ended, "offered after its end"
            plan = job.order.plan
            if plan is not None:
                assert plan.at <= self.highest_wall, "before its time"
                for parent in plan.after:
                    other = self.jobs[parent]
                    assert other.ended, "before its parent's end"
                    assert plan.run_if_parent_fails or [a.final for a in other.answers] == [Final.SERVED]
            if job.offers:
                record = self.inner.record(order.origin, order.id)
                assert record is None or record.final is Final.REFUSED
                assert record is None or not record.may_have_run or order.job_class != 1
            job.offers += 1
            number = taken(order, reply)
            return number

        self.inner.arrive = arrive
        self.highest_wall = self.clock.wall()

    @rule(
        job_class=st.integers(0, 2),
        at=st.sampled_from([0.0, 0.0, 300.0, 5000.0, 99_000.0]),
        parents=st.lists(st.integers(1, 6), max_size=3),
        run_if_parent_fails=st.booleans(),
        front=st.sampled_from(["http", "faktory"]),
        asked=st.sampled_from([inf, 2000.0, 30_000.0]),
        body=st.sampled_from([b"", b"x" * 50]),
    )
    def push(self, job_class, at, parents, run_if_parent_fails, front, asked, body):
        known = [f"job{self.count - n}" for n in parents if f"job{self.count - n}" in self.jobs]
        plan = Plan(self.clock.wall() + at if at else 0.0, tuple(dict.fromkeys(known)), run_if_parent_fails)
        job_id = f"job{self.count}"
        self.count += 1
        order = Order(
            job_id,
            job_class,
            min(asked, 5000.0),
            origin=front,
            body=body,
            asked=asked,
            waits=front == "http" and asked < inf,
            plan=plan if at or known else None,
        )
        job = self.jobs[job_id] = Model(order, self.clock.now())
        try:
            self.numbers[job_id] = self.room.arrive(order, job.answers.append)
        except InvalidOrder:
            assert order.waits and at > asked
            del self.jobs[job_id]
            return
        if not self.numbers[job_id] and self.room.record(front, job_id) is None:
            del self.jobs[job_id]  # not taken: nothing of it may be left
            assert self.leaving or self.room.book.kept or self.inner.at_once is not None

    @rule(data=st.data(), final=st.sampled_from(list(Final)), ran=st.booleans())
    def end(self, data, final, ran):
        if self.inner.taken:
            job_id = data.draw(st.sampled_from(sorted(self.inner.taken)))
            self.inner.end(job_id, final, ran or final is not Final.REFUSED)

    @rule(data=st.data())
    def withdraw(self, data):
        live = [j for j, job in self.jobs.items() if not job.ended]
        if live:
            job_id = data.draw(st.sampled_from(live))
            self.jobs[job_id].withdrawn = True  # from here on: what waits for its end may be offered within the call
            self.room.withdraw(self.numbers[job_id])

    @rule(state=st.sampled_from(["scheduled", "waiting", "aged"]), make_due=st.booleans())
    def amend(self, state, make_due):
        hit = [
            e.order.id
            for e in self.room.book.entries.values()
            if e.order.origin == "faktory" and e.state.value == state
        ]
        if make_due and state == "scheduled":
            for job_id in hit:  # it may run from now on
                self.highest_wall = max(self.highest_wall, self.jobs[job_id].order.plan.at)
        for job_id in hit if not make_due else ():
            self.jobs[job_id].withdrawn = True
        self.room.amend(Amendment("faktory", state, make_due=make_due))
        self.clock.run(self.clock.now() + 50)
        self.highest_wall = max(self.highest_wall, self.clock.wall())

    @rule(ms=st.sampled_from([1.0, 60.0, 700.0, 6000.0, 30_000.0]))
    def time_passes(self, ms):
        steps = 20
        for _ in range(steps):
            self.highest_wall = max(self.highest_wall, self.clock.wall() + ms / steps)
            self.clock.run(self.clock.now() + ms / steps)

    @rule(by=st.sampled_from([-3_600_000.0, -40.0, 700.0, 90_000.0]))
    def clock_steps(self, by):
        self.clock.ahead += by
        self.highest_wall = max(self.highest_wall, self.clock.wall())

    @rule(final=st.sampled_from([None, None, Final.REFUSED]))
    def inner_has_no_room(self, final):
        self.inner.at_once = final

    @invariant()
    def books_agree(self):
        if not hasattr(self, "room"):
            return
        book = self.room.book
        for job_id, job in self.jobs.items():
            assert len(job.answers) <= (0 if job.withdrawn and job_id in self.inner.left else 1)
            live = book.find(job.order.origin, job_id)
            assert (live is None) == job.ended, (job_id, live, job.answers)
            assert not live or live.state.value != "inside" or job_id in self.inner.taken
            # nobody is left without an answer past their own time
            if live is not None and job.order.waits and live.state.value != "inside":
                assert self.clock.now() <= job.came + job.order.asked
            if live is not None and live.due >= 0 and live.state.value in ("due", "aged"):
                assert self.clock.now() <= live.end + WIDTH
                assert live.end <= live.due + BOUND
        kept = [e for e in book.entries.values() if e.kept]
        assert book.kept == len(kept) <= JOBS
        assert book.bytes == sum(len(e.order.body) for e in kept) <= 400
        assert book.edges == sum(len(e.parents or ()) for e in book.entries.values()) <= 15
        for state, count in book.counts.items():
            assert count == sum(e.state is state for e in book.entries.values())

    def teardown(self):
        if not hasattr(self, "room"):
            return
        self.leaving = True
        ended = []
        self.room.leave(None)
        self.clock.run(self.clock.now() + 1000)
        for job_id in sorted(self.inner.taken):
            self.inner.end(job_id)
        self.room.close(lambda: ended.append(1))
        self.clock.run(self.clock.now() + 1000)
        assert ended == [1] and not self.room.held and not self.room.book.edges
        for job in self.jobs.values():
            assert len(job.answers) + job.withdrawn == 1, "one answer, or withdrawn"
        assert MARGIN < LEAST


Rooms.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
TestRooms = Rooms.TestCase
