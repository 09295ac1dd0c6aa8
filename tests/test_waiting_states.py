"""Model-based test of the stage for delayed jobs: random order of submissions, ends, withdrawals and clock steps."""

from math import inf

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from test_waiting import NAMES, FakeNextStage

from millethead.exchange import Final, Order
from millethead.exchange.model import Plan
from millethead.exchange.stage import Amendment, InvalidOrder
from millethead.lab.clock import VirtualClock
from millethead.waiting.ageing import ANSWER_MARGIN_MS, MIN_TIME_LEFT_MS
from millethead.waiting.calendar import BUCKET_WIDTH_MS
from millethead.waiting.setup import ClassBound, WaitingSetup
from millethead.waiting.stage import WaitingStage

BOUND_MS = 20_000.0
MAX_JOBS = 12


class ModelJob:
    """The expected state of one job, independent of the stage under test."""

    def __init__(self, order, arrived_at):
        self.order, self.arrived_at, self.answers, self.offers = order, arrived_at, [], 0
        self.withdrawn = False

    @property
    def ended(self):
        return bool(self.answers) or self.withdrawn


class WaitingStageMachine(RuleBasedStateMachine):
    @initialize(offers=st.integers(1, 3), ageing=st.booleans())
    def open(self, offers, ageing):
        self.clock, self.inner = VirtualClock(), FakeNextStage()
        setup = WaitingSetup(
            jobs=MAX_JOBS,
            bytes=400,
            edges=15,
            horizon_s=100.0,
            offers=offers,
            classes={"report": ClassBound(bound_s=BOUND_MS / 1000)},
        )
        self.stage = WaitingStage(self.inner, setup, NAMES, self.clock, ageing)
        self.jobs, self.numbers, self.count, self.leaving = {}, {}, 0, False
        arrive_unchecked = self.inner.arrive

        def arrive(order, reply):
            """Checks that the stage may offer this job now."""
            job = self.jobs[order.id]
            assert not job.ended, "offered after its end"
            plan = job.order.plan
            # `amend` runs the clock for 50 ms before it updates highest_wall, so offers need the time now
            self.highest_wall = max(self.highest_wall, self.clock.wall())
            if plan is not None:
                assert plan.at <= self.highest_wall, "offered before its set time"
                for parent in plan.after:
                    other = self.jobs[parent]
                    assert other.ended, "offered before its parent's end"
                    assert plan.run_if_parent_fails or [a.final for a in other.answers] == [Final.SERVED]
            if job.offers:
                record = self.inner.record(order.origin, order.id)
                assert record is None or record.final is Final.REFUSED
                assert record is None or not record.may_have_run or order.job_class != 1
            job.offers += 1
            number = arrive_unchecked(order, reply)
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
        job = self.jobs[job_id] = ModelJob(order, self.clock.now())
        try:
            self.numbers[job_id] = self.stage.arrive(order, job.answers.append)
        except InvalidOrder:
            assert order.waits and at > asked
            del self.jobs[job_id]
            return
        if not self.numbers[job_id] and self.stage.record(front, job_id) is None:
            del self.jobs[job_id]  # refused: no trace of it may be left
            assert self.leaving or self.stage.delayed_jobs.counted_jobs or self.inner.immediate_answer is not None

    @rule(data=st.data(), final=st.sampled_from(list(Final)), ran=st.booleans())
    def end(self, data, final, ran):
        if self.inner.held_jobs:
            job_id = data.draw(st.sampled_from(sorted(self.inner.held_jobs)))
            self.inner.end(job_id, final, ran or final is not Final.REFUSED)

    @rule(data=st.data())
    def withdraw(self, data):
        live = [j for j, job in self.jobs.items() if not job.ended]
        if live:
            job_id = data.draw(st.sampled_from(live))
            self.jobs[job_id].withdrawn = True  # set before the call, which may offer its children
            self.stage.withdraw(self.numbers[job_id])

    @rule(state=st.sampled_from(["scheduled", "waiting", "aged"]), make_due=st.booleans())
    def amend(self, state, make_due):
        matching = [
            e.order.id
            for e in self.stage.delayed_jobs.entries.values()
            if e.order.origin == "faktory" and e.state.value == state
        ]
        if make_due and state == "scheduled":
            for job_id in matching:  # may be offered from now on
                self.highest_wall = max(self.highest_wall, self.jobs[job_id].order.plan.at)
        for job_id in matching if not make_due else ():
            self.jobs[job_id].withdrawn = True
        self.stage.amend(Amendment("faktory", state, make_due=make_due))
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
    def next_stage_answers_at_once(self, final):
        self.inner.immediate_answer = final

    @invariant()
    def stage_agrees_with_model(self):
        if not hasattr(self, "stage"):
            return
        delayed_jobs = self.stage.delayed_jobs
        for job_id, job in self.jobs.items():
            assert len(job.answers) <= (0 if job.withdrawn and job_id in self.inner.withdrawn else 1)
            live = delayed_jobs.find(job.order.origin, job_id)
            assert (live is None) == job.ended, (job_id, live, job.answers)
            assert not live or live.state.value != "inside" or job_id in self.inner.held_jobs
            # every waiting client is answered before its own timeout
            if live is not None and job.order.waits and live.state.value != "inside":
                assert self.clock.now() <= job.arrived_at + job.order.asked
            if live is not None and live.due_at >= 0 and live.state.value in ("due", "aged"):
                assert self.clock.now() <= live.deadline + BUCKET_WIDTH_MS
                assert live.deadline <= live.due_at + BOUND_MS
        counted = [e for e in delayed_jobs.entries.values() if e.counts_toward_limits]
        assert delayed_jobs.counted_jobs == len(counted) <= MAX_JOBS
        assert delayed_jobs.counted_bytes == sum(len(e.order.body) for e in counted) <= 400
        assert delayed_jobs.dependency_count == sum(len(e.parents or ()) for e in delayed_jobs.entries.values()) <= 15
        for state, count in delayed_jobs.counts.items():
            assert count == sum(e.state is state for e in delayed_jobs.entries.values())

    def teardown(self):
        if not hasattr(self, "stage"):
            return
        self.leaving = True
        closed = []
        self.stage.leave(None)
        self.clock.run(self.clock.now() + 1000)
        for job_id in sorted(self.inner.held_jobs):
            self.inner.end(job_id)
        self.stage.close(lambda: closed.append(1))
        self.clock.run(self.clock.now() + 1000)
        assert closed == [1] and not self.stage.held and not self.stage.delayed_jobs.dependency_count
        for job in self.jobs.values():
            assert len(job.answers) + job.withdrawn == 1, "exactly one answer, or withdrawn"
        assert ANSWER_MARGIN_MS < MIN_TIME_LEFT_MS


WaitingStageMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
TestWaitingStage = WaitingStageMachine.TestCase
