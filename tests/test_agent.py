"""The agent's decisions: each rule by itself, plays against a worker with seeded trouble, and mutants of the rules."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import pytest
from agent_world import World, play, unit
from hypothesis import given
from hypothesis import strategies as st

from millethead.execution import agent as agent_module
from millethead.execution.actions import Action, CallWorker, CloseSession, SendRecord
from millethead.execution.agent import Agent
from millethead.execution.calls import (
    CallAnswer,
    CallVerdict,
    HoldCall,
    HoldLists,
    Rejection,
    StartCall,
    StopCall,
    WorkerCall,
    body_of,
    read_answer,
)
from millethead.execution.heartbeats import MalformedBeat, read_beat
from millethead.execution.life import LOSSY_S, LOSSY_WAIT_S, SHORT_PATIENCE_S, Life
from millethead.execution.messages import (
    DesiredRuns,
    EndEntry,
    EndsNoted,
    LeaseGrant,
    LeaseRequest,
    LifeOver,
    Resources,
    RunEnd,
    RunKey,
    RunOrder,
    RunProgress,
    RunReport,
    WorkerInfo,
    WorkerSuspected,
    WorkerUpdate,
)
from millethead.execution.order_answers import take_start_answer
from millethead.execution.reports import LastSeen, ReportBook
from millethead.execution.runs import IllegalChange, Run, RunState, RunTable, change
from millethead.execution.worker_calls import WAIT_GAPS, AgentLimits
from millethead.execution.worker_clock import WorkerClock
from millethead.rpc.codec import Record

LIMITS = AgentLimits(hold_max_ms=6000, heartbeat_s=1.0)
BORN = 100.0  # when the agent's process began
NEEDS = Resources(1000, 512, 0)
CLOCK_MS = 50_000.0  # the worker's clock at BORN, in the tests that do not let it run slow


def info(instance: str = "i-1", sequence: int = 1, **changes: object) -> WorkerInfo:
    whole = WorkerInfo(
        instance, "service", "10.0.0.1:80", "zone", "v1", 8, False, 0, Resources(4000, 4096, 0), (), -1, sequence
    )
    return replace(whole, **changes)  # type: ignore[arg-type]


def order(name: str, run: int = 1, needs: Resources = NEEDS) -> RunOrder:
    return RunOrder(RunKey(name, run), f"spec of {name}", "", needs)


class Desk:
    """An agent whose calls and records are answered by hand."""

    def __init__(self) -> None:
        self.now = BORN
        self.agent = Agent(LIMITS, BORN)
        self.calls: list[WorkerCall] = []
        self.sent: list[Record] = []
        self.closed: list[str] = []

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, CallWorker):
                self.calls.append(action.call)
            elif isinstance(action, SendRecord):
                self.sent.append(action.record)
            elif isinstance(action, CloseSession):
                self.closed.append(action.cause)

    def pass_time(self, seconds: float) -> None:
        """Let time go on, with the timer whenever the agent asks for it."""
        until = self.now + seconds
        while self.agent.next_wake() <= until:
            self.now = max(self.now, self.agent.next_wake())
            self.take(self.agent.timer(self.now))
        self.now = until

    @property
    def clock_ms(self) -> float:
        return CLOCK_MS + (self.now - BORN) * 1000

    def beat(self, worker: WorkerInfo | None = None) -> None:
        self.take(self.agent.worker_beat(worker or info(), self.clock_ms, self.now))

    def welcome(self, epoch: int = 7, lease_ms: int = 60_000) -> None:
        self.take(self.agent.welcomed(epoch, self.now))
        self.receive(LeaseGrant(int(self.now * 1000), lease_ms))

    def receive(self, record: Record) -> None:
        self.take(self.agent.received(record, self.now))

    def want(
        self, *orders: RunOrder, whole: bool = False, instance: str = "i-1", stops: tuple[RunKey, ...] = ()
    ) -> None:
        self.receive(DesiredRuns(instance, whole, orders, stops))

    def answer(
        self,
        call: WorkerCall,
        verdict: CallVerdict = CallVerdict.DONE,
        rejection: Rejection = Rejection.OTHER,
        running: tuple[RunProgress, ...] = (),
        ends: tuple[EndEntry, ...] = (),
        after: float = 0.01,
    ) -> None:
        self.calls.remove(call)
        sent_at, self.now = self.now, self.now + after
        lists = HoldLists(running, ends) if isinstance(call, HoldCall) else None
        clock_ms = self.clock_ms if verdict in (CallVerdict.DONE, CallVerdict.REJECTED) else None
        answer = CallAnswer(verdict, sent_at, self.now, rejection, clock_ms, lists)
        self.take(self.agent.call_ended(call.call, answer, self.now))

    def only(self, kind: type[WorkerCall]) -> WorkerCall:
        found = [call for call in self.calls if isinstance(call, kind)]
        assert len(found) == 1, found
        return found[0]

    def starts(self) -> list[str]:
        return [call.key.task for call in self.calls if isinstance(call, StartCall)]

    def ends(self) -> list[tuple[str, RunEnd]]:
        reports = [record for record in self.sent if isinstance(record, RunReport)]
        return [(end.key.task, end.how) for report in reports for end in report.ends]

    def records(self, kind: type[Record]) -> list[Record]:
        return [record for record in self.sent if isinstance(record, kind)]


@pytest.fixture
def desk() -> Desk:
    """An agent with a session and a life that is known from its beginning, with nothing there."""
    desk = Desk()
    desk.beat(info("i-0"))
    desk.welcome()
    desk.beat(info("i-1"))
    desk.want(whole=True)
    desk.answer(desk.only(HoldCall))  # of the life before
    desk.sent.clear()
    return desk


# ---- the worker's clock ------------------------------------------------------------------------------


@given(
    rate=st.floats(0.98, 1.0),
    reads=st.lists(st.tuples(st.floats(0, 100), st.floats(0, 3), st.floats(0, 1)), min_size=1, max_size=8),
)
def test_clock_bounds_hold_at_any_rate(rate: float, reads: list[tuple[float, float, float]]) -> None:
    clock = WorkerClock()
    for sent, took, share in sorted(reads):
        clock.learn(500 + (sent + took * share) * 1000 * rate, sent, sent + took)
    now = max(sent + took for sent, took, _ in reads) + 5
    true = 500 + now * 1000 * rate
    assert clock.lowest(now) <= true + 1e-6
    assert clock.highest(now) >= true - 1e-6
    assert 500 + clock.passed_by(true) * 1000 * rate >= true - 1e-6


def test_unknown_clock_grants_nothing() -> None:
    life = Life("i-1", True, BORN, -math.inf)
    assert life.deadline(BORN + 60, 6000, BORN) is None
    assert life.clock.passed_by(1.0) == math.inf


def test_deadline_never_reaches_past_the_lease() -> None:
    life = Life("i-1", True, BORN, -math.inf)
    life.clock.learn(1000, BORN, BORN)
    deadline = life.deadline(BORN + 3, 6000, BORN)
    assert deadline is not None
    slow = BORN + (deadline - 1000) / (1000 * 0.98)
    assert slow <= BORN + 3
    assert life.deadline(BORN, 6000, BORN) is None


# ---- runs and reports --------------------------------------------------------------------------------


def test_illegal_change_is_refused() -> None:
    run = Run(RunKey("a.0.0.0", 1), None, False, RunState.CLOSED, BORN)
    with pytest.raises(IllegalChange):
        change(run, RunState.STARTING, BORN)


def test_unknown_needs_leave_no_room() -> None:
    table = RunTable()
    table.add(Run(RunKey("a.0.0.0", 1), None, False, RunState.RUNNING, BORN))
    waiting = table.add(Run(RunKey("b.0.0.0", 1), order("b.0.0.0"), True, RunState.WAITING, BORN))
    assert not table.fits(waiting, Resources(1 << 20, 1 << 20, 8))


def test_last_seen_moves_only_over_noted_ends_without_a_gap() -> None:
    seen = LastSeen()
    ends = tuple(EndEntry(number, RunKey(f"t{number}", 1), RunEnd.DONE, "") for number in (5, 6, 7))
    assert seen.fresh(ends) == ends
    assert seen.number == 4  # what is missing below was forgotten before this process began
    assert seen.fresh(ends) == ()
    seen.note(6)
    assert seen.number == 4
    seen.note(5)
    assert seen.number == 6


def test_reports_are_kept_until_noted() -> None:
    book = ReportBook()
    end = EndEntry(1, RunKey("t", 1), RunEnd.DONE, "")
    assert book.add(RunReport("i-1", 0, (), (), ())).sequence == 0
    first = book.add(RunReport("i-1", 0, (RunKey("s", 1),), (end,), ()))
    book.add(RunReport("i-2", 0, (), (end,), ()))
    assert first.sequence == 1 and first.started
    assert book.note("i-1", 9) == ()
    assert book.note("i-1", 1) == (end,)
    assert [report.instance for report in book.open] == ["i-2"]


# ---- the wire ----------------------------------------------------------------------------------------


def test_bodies_leave_out_what_is_empty() -> None:
    hold = HoldCall(1, "i", 1.0, 7, 57, None, 0)
    assert body_of(hold) == b'{"fence":7,"last_seen":57}'
    start = StartCall(1, "i", 1.0, 7, RunKey("t", 2), "s", "", 99)
    assert body_of(start) == b'{"task":"t","run":2,"spec":"s","deadline_ms":99,"fence":7}'


@given(status=st.sampled_from([200, 409, 421, 429, 503, 500, 302]), body=st.binary(max_size=40))
def test_any_answer_has_an_outcome(status: int, body: bytes) -> None:
    for call in (HoldCall(1, "i", 1.0, 7, 0, None, 0), StopCall(1, "i", 1.0, 7, RunKey("t", 1))):
        answer = read_answer(call, status, body, 1.0, 2.0)
        assert answer.result is not CallVerdict.DONE or not isinstance(call, HoldCall) or answer.lists is not None


def test_hold_answer_is_read() -> None:
    raw = b'{"clock_ms":482113,"running":[["a.0.1.17",2,"x",41]],"exited":[[58,"a.0.1.9",1,"done",""]]}'
    answer = read_answer(HoldCall(1, "i", 1.0, 7, 0, None, 0), 200, raw, 1.0, 2.0)
    assert answer.clock_ms == 482113
    assert answer.lists == HoldLists(
        (RunProgress(RunKey("a.0.1.17", 2), "x", 41),), (EndEntry(58, RunKey("a.0.1.9", 1), RunEnd.DONE, ""),)
    )


@given(st.binary(max_size=60))
def test_any_heartbeat_is_read_or_refused(body: bytes) -> None:
    try:
        worker, _ = read_beat("i-1", body)
    except MalformedBeat:
        return
    assert worker.instance == "i-1"


def test_heartbeat_is_read() -> None:
    body = (
        b'{"service":"s","addr":"10.0.0.9:80","state":"draining","remaining_ms":1500.7,"seq":4,"clock_ms":12,'
        b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a"],"more":1}'
    )
    worker, clock_ms = read_beat("i-1", body)
    assert (worker.draining, worker.remaining_ms, worker.sequence, clock_ms) == (True, 1500, 4, 12)
    assert worker.capacity == Resources(16000, 32768, 0) and worker.labels == ("a",)


# ---- starting ----------------------------------------------------------------------------------------


def test_wanted_run_is_started_with_the_fence_and_reported(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    call = desk.only(StartCall)
    assert isinstance(call, StartCall)
    assert (call.fence, call.instance, call.spec) == (7, "i-1", "spec of a.0.0.0")
    desk.answer(call)
    assert RunReport("i-1", 0, (RunKey("a.0.0.0", 1),), (), ()) in desk.sent


@pytest.mark.parametrize(
    ("verdict", "rejection"),
    [
        (CallVerdict.REJECTED, Rejection.ROOM),
        (CallVerdict.REJECTED, Rejection.OLD),
        (CallVerdict.UNHEALTHY, Rejection.OTHER),
        (CallVerdict.INVALID, Rejection.OTHER),
    ],
)
def test_first_call_rejected_never_ran(desk: Desk, verdict: CallVerdict, rejection: Rejection) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall), verdict, rejection)
    assert desk.ends() == [("a.0.0.0", RunEnd.NEVER)]
    desk.pass_time(1.0)
    assert not desk.starts()


@pytest.mark.parametrize("rejection", [Rejection.ROOM, Rejection.OLD])
def test_rejection_after_silence_proves_nothing_alone(desk: Desk, rejection: Rejection) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall), CallVerdict.UNCLEAR, after=0.3)
    desk.answer(desk.only(StartCall), CallVerdict.REJECTED, rejection)
    assert desk.ends() == []


def test_unclear_start_is_tried_three_times_then_stopped_and_disproved(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    for _ in range(3):
        for hold in [call for call in desk.calls if isinstance(call, HoldCall)]:
            desk.answer(hold)
        desk.answer(desk.only(StartCall), CallVerdict.UNCLEAR, after=0.3)
    assert not desk.starts()
    for hold in [call for call in desk.calls if isinstance(call, HoldCall)]:
        desk.answer(hold)
    desk.answer(desk.only(StopCall), CallVerdict.UNCLEAR, after=0.4)
    desk.pass_time(0.1)
    desk.answer(desk.only(StopCall))
    assert desk.ends() == []
    desk.pass_time(0.3)
    look = desk.only(HoldCall)
    desk.answer(look)
    desk.pass_time(0.3)
    if not desk.ends():  # that look had been sent before the stop was answered
        desk.answer(desk.only(HoldCall))
    assert desk.ends() == [("a.0.0.0", RunEnd.NEVER)]


def test_late_start_is_made_again(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall), CallVerdict.REJECTED, Rejection.LATE)
    desk.pass_time(0.1)
    desk.answer(desk.only(StartCall))
    assert desk.ends() == []


def test_higher_fence_at_the_worker_closes_the_session(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall), CallVerdict.REJECTED, Rejection.FENCE)
    assert desk.closed
    under_way = list(desk.calls)
    desk.pass_time(0.5)
    assert desk.calls == under_way
    desk.welcome(8)
    desk.want(order("a.0.0.0"), whole=True)
    call = desk.only(StartCall)
    assert isinstance(call, StartCall) and call.fence == 8


def test_what_does_not_fit_waits_and_then_never_ran(desk: Desk) -> None:
    desk.want(*(order(f"a.0.0.{index}", needs=Resources(2000, 512, 0)) for index in range(3)))
    assert desk.starts() == ["a.0.0.0", "a.0.0.1"]
    for call in list(desk.calls):
        if isinstance(call, StartCall):
            desk.answer(call)
    desk.pass_time(1.1)
    assert desk.ends() == [("a.0.0.2", RunEnd.NEVER)]


def test_stopped_run_takes_room_until_its_end_is_listed(desk: Desk) -> None:
    desk.want(order("a.0.0.0", needs=Resources(4000, 512, 0)))
    desk.answer(desk.only(StartCall))
    desk.want(order("b.0.0.0", needs=Resources(4000, 512, 0)), stops=(RunKey("a.0.0.0", 1),))
    desk.answer(desk.only(StopCall))
    assert not desk.starts()
    desk.pass_time(0.3)
    desk.answer(desk.only(HoldCall), ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.STOPPED, ""),))
    assert desk.starts() == ["b.0.0.0"]


def test_draining_worker_gets_nothing(desk: Desk) -> None:
    desk.beat(info(sequence=2, draining=True, remaining_ms=3000))
    desk.want(order("a.0.0.0"))
    assert not desk.calls
    assert desk.ends() == [("a.0.0.0", RunEnd.NEVER)]
    update = desk.records(WorkerUpdate)[-1]
    assert isinstance(update, WorkerUpdate) and update.info is not None and update.info.draining


def test_no_lease_no_start(desk: Desk) -> None:
    desk.pass_time(0.5)
    desk.take(desk.agent.session_closed(desk.now))
    late = Desk()
    late.beat(info("i-0"))
    late.take(late.agent.welcomed(7, late.now))
    late.beat(info("i-1"))
    late.want(order("a.0.0.0"), whole=True)
    assert not late.calls
    late.receive(LeaseGrant(int(late.now * 1000), 4000))
    assert late.starts() == ["a.0.0.0"]


# ---- a new process -----------------------------------------------------------------------------------


def test_new_process_starts_nothing_before_both_lists() -> None:
    desk = Desk()
    desk.welcome()
    assert not desk.records(WorkerUpdate)  # it does not know of any life, nor that there is none
    desk.beat()
    look = desk.only(HoldCall)
    assert isinstance(look, HoldCall) and look.wait_ms == 0
    desk.want(order("a.0.0.0"), order("b.0.0.0"), whole=True)
    assert not desk.starts()
    desk.answer(look, running=(RunProgress(RunKey("a.0.0.0", 1), "", 30),))
    assert desk.starts() == ["b.0.0.0"]


def test_new_process_stops_what_nobody_wants() -> None:
    desk = Desk()
    desk.welcome()
    desk.beat()
    desk.answer(desk.only(HoldCall), running=(RunProgress(RunKey("a.0.0.0", 1), "", 30),))
    assert not any(isinstance(call, StopCall) for call in desk.calls)  # the head has not said what it wants
    desk.want(whole=True)
    stop = desk.only(StopCall)
    assert isinstance(stop, StopCall) and stop.key == RunKey("a.0.0.0", 1)


def test_cancelled_run_of_a_predecessor_is_stopped_before_it_never_ran() -> None:
    desk = Desk()
    desk.welcome()
    desk.beat()
    desk.answer(desk.only(HoldCall))
    desk.want(whole=True, stops=(RunKey("a.0.0.0", 1),))
    assert desk.ends() == []
    desk.answer(desk.only(StopCall))
    for _ in range(3):
        desk.pass_time(0.3)
        for call in list(desk.calls):
            desk.answer(call)
    assert desk.ends() == [("a.0.0.0", RunEnd.NEVER)]


def test_life_is_known_from_the_head_before_its_heartbeat() -> None:
    desk = Desk()
    desk.welcome()
    desk.want(order("a.0.0.0"), whole=True)
    look = desk.only(HoldCall)
    assert look.instance == "i-1"
    desk.answer(look, running=(RunProgress(RunKey("a.0.0.0", 1), "", 30),))
    desk.pass_time(0.01)
    hold = desk.only(HoldCall)
    assert isinstance(hold, HoldCall) and hold.deadline_ms is not None
    desk.beat()
    assert not desk.records(LifeOver)


# ---- holds and ends ----------------------------------------------------------------------------------


def test_idle_worker_is_not_looked_at(desk: Desk) -> None:
    for sequence in range(2, 30):
        desk.pass_time(1.0)
        desk.beat(info(sequence=sequence))
        desk.receive(LeaseGrant(int(desk.now * 1000), 4000))
    assert not desk.calls


def test_looks_keep_their_gap_and_wait_for_ends(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    look = desk.only(HoldCall)
    desk.answer(look, running=(RunProgress(RunKey("a.0.0.0", 1), "", 1),))
    desk.pass_time(0.24)
    assert not desk.calls
    desk.pass_time(0.02)
    hold = desk.only(HoldCall)
    assert isinstance(hold, HoldCall) and 1500 <= hold.wait_ms <= 2000


def test_end_tells_how_long_the_run_took(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.answer(desk.only(HoldCall), running=(RunProgress(RunKey("a.0.0.0", 1), "", 1),))
    for _ in range(2):
        desk.pass_time(1.0)
        desk.receive(LeaseGrant(int(desk.now * 1000), 60_000))
    desk.answer(desk.only(HoldCall), ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    (report,) = [record for record in desk.sent if isinstance(record, RunReport) and record.ends]
    assert 2000 <= report.ends[0].ran_ms <= 2100


def test_end_of_a_run_that_may_have_begun_before_its_start_was_answered_tells_no_time(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall), CallVerdict.UNCLEAR, after=0.3)
    desk.answer(desk.only(StartCall))
    ended = (EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),)
    for hold in [call for call in desk.calls if isinstance(call, HoldCall)]:
        desk.answer(hold, ends=ended)
    (report,) = [record for record in desk.sent if isinstance(record, RunReport) and record.ends]
    assert report.ends[0].ran_ms == 0


def test_end_of_a_run_at_a_cold_worker_tells_no_time(desk: Desk) -> None:
    desk.beat(info("i-1", 2, cold_left_ms=4000))
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.answer(desk.only(HoldCall), ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    (report,) = [record for record in desk.sent if isinstance(record, RunReport) and record.ends]
    assert report.ends[0].ran_ms == 0


def test_looks_come_as_soon_as_a_run_there_asks_for(desk: Desk) -> None:
    desk.receive(LeaseGrant(int(desk.now * 1000), 60_000, 1200))
    desk.want(order("a.0.0.0"), replace(order("b.0.0.0"), look_gap_ms=60))
    for start in [call for call in desk.calls if isinstance(call, StartCall)]:
        desk.answer(start)
    running = tuple(RunProgress(RunKey(name, 1), "", 1) for name in ("a.0.0.0", "b.0.0.0"))
    desk.answer(desk.only(HoldCall), running=running)
    desk.pass_time(0.059)
    assert not desk.calls
    desk.pass_time(0.002)
    ended = (EndEntry(1, RunKey("b.0.0.0", 1), RunEnd.DONE, ""),)
    desk.answer(desk.only(HoldCall), running=running[:1], ends=ended)
    desk.pass_time(1.1)
    assert not desk.calls  # what is left there has time
    desk.want(replace(order("c.0.0.0"), look_gap_ms=60))
    desk.answer(desk.only(StartCall))
    desk.pass_time(0.06)
    assert isinstance(desk.only(HoldCall), HoldCall)


def test_unanswered_hold_is_repeated_at_once_and_then_extends_nothing(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.answer(desk.only(HoldCall), CallVerdict.UNCLEAR, after=2.7)
    again = desk.only(HoldCall)
    assert isinstance(again, HoldCall) and again.wait_ms == 0
    desk.answer(again, CallVerdict.UNCLEAR, after=0.7)
    probe = desk.only(HoldCall)
    assert isinstance(probe, HoldCall) and isinstance(again, HoldCall)
    assert probe.deadline_ms is None or probe.deadline_ms == again.deadline_ms


def test_single_lost_hold_raises_no_suspicion_and_new_starts_go_on(desk: Desk) -> None:
    """A hold that waits is due only after its wait; one lost order says little of the worker."""
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.answer(desk.only(HoldCall), CallVerdict.UNCLEAR, after=2.7)
    desk.want(order("b.0.0.0"))
    assert "b.0.0.0" in desk.starts()
    assert not desk.records(WorkerSuspected)
    desk.answer(desk.only(HoldCall))
    desk.pass_time(2.0)
    assert not desk.records(WorkerSuspected)


def test_second_lost_call_raises_suspicion_and_keeps_new_starts_back(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    first = desk.only(HoldCall)
    desk.answer(first, CallVerdict.UNCLEAR, after=first.timeout_s)
    again = desk.only(HoldCall)
    assert again.timeout_s == SHORT_PATIENCE_S
    desk.answer(again, CallVerdict.UNCLEAR, after=again.timeout_s)
    desk.want(order("b.0.0.0"))
    assert "b.0.0.0" not in desk.starts()
    desk.pass_time(0.05)
    assert desk.records(WorkerSuspected)


def test_hold_waits_no_longer_than_the_most_urgent_run_there_allows(desk: Desk) -> None:
    """A lost hold is found out after its wait: until then no end at that worker is known."""
    urgent = replace(order("a.0.0.0"), look_gap_ms=100)
    desk.want(urgent, order("b.0.0.0"))
    for start in [call for call in desk.calls if isinstance(call, StartCall)]:
        desk.answer(start)
    running = tuple(RunProgress(RunKey(name, 1), "", 1) for name in ("a.0.0.0", "b.0.0.0"))
    desk.answer(desk.only(HoldCall), running=running)
    desk.pass_time(0.1)
    hold = desk.only(HoldCall)
    assert hold.wait_ms == WAIT_GAPS * 100 and hold.timeout_s == pytest.approx(0.4 + SHORT_PATIENCE_S)
    desk.answer(hold, running=running[1:], ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    desk.pass_time(0.3)
    assert desk.only(HoldCall).wait_ms > 1000


def test_holds_wait_briefly_after_one_was_lost(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    running = (RunProgress(RunKey("a.0.0.0", 1), "", 1),)
    desk.answer(desk.only(HoldCall), CallVerdict.UNCLEAR, after=2.7)
    lost_at = desk.now
    desk.answer(desk.only(HoldCall), running=running)
    waits: list[tuple[float, int]] = []
    while desk.now < lost_at + 2 * LOSSY_S:
        desk.pass_time(0.05)
        for call in [call for call in desk.calls if isinstance(call, HoldCall)]:
            waits.append((desk.now - lost_at, call.wait_ms))
            desk.receive(LeaseGrant(int(desk.now * 1000), 60_000))
            desk.answer(call, running=running, after=call.wait_ms / 1000)
    assert {wait for at, wait in waits if at < LOSSY_S} == {int(LOSSY_WAIT_S * 1000)}
    assert min(wait for at, wait in waits if at > LOSSY_S + 1) > 1000


def test_end_that_was_listed_late_after_a_lost_hold_tells_no_time(desk: Desk) -> None:
    """Otherwise a worker that loses an order now and then is taken for a slow one."""
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.answer(desk.only(HoldCall), running=(RunProgress(RunKey("a.0.0.0", 1), "", 1),))
    desk.pass_time(0.3)
    desk.answer(desk.only(HoldCall), CallVerdict.UNCLEAR, after=2.7)
    desk.answer(desk.only(HoldCall), ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    (report,) = [record for record in desk.sent if isinstance(record, RunReport) and record.ends]
    assert report.ends[0].ran_ms == 0


def test_hold_that_an_unhealthy_worker_turns_down_counts_as_missed(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    for _ in range(3):
        desk.answer(desk.only(HoldCall), CallVerdict.UNHEALTHY)
        assert not desk.calls  # it is not asked again at once
        desk.pass_time(0.5)
    life = desk.agent.life
    assert life is not None
    before = life.most_deadline
    desk.answer(desk.only(HoldCall), CallVerdict.UNHEALTHY)
    desk.pass_time(0.5)
    assert life.most_deadline == before
    assert desk.records(WorkerSuspected)


def test_silent_worker_is_suspected_and_its_runs_are_lost_once_the_hold_lapsed(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    begun = desk.now
    while not desk.ends() and desk.now < begun + 20:
        desk.receive(LeaseGrant(int(desk.now * 1000), 4000))
        for call in list(desk.calls):
            desk.answer(call, CallVerdict.UNCLEAR, after=call.timeout_s)
        desk.pass_time(0.05)
    life = desk.agent.life
    assert life is not None
    assert desk.ends() == [("a.0.0.0", RunEnd.LOST)]
    assert life.clock.lowest(desk.now) >= life.most_deadline
    assert desk.records(WorkerSuspected)


def test_a_noted_report_says_nothing_of_the_one_before(desk: Desk) -> None:
    """The one before was dropped, as its member was between two epochs, and the next one was taken by the same member
    as the head of the new epoch, before this agent was welcomed: its ends were forgotten, and its tasks ran twice."""
    desk.want(order("a.0.0.0"), order("b.0.0.0"))
    for start in [call for call in desk.calls if isinstance(call, StartCall)]:
        desk.answer(start)
    first = EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, "")
    running = (RunProgress(RunKey("b.0.0.0", 1), "", 1),)
    desk.answer(desk.only(HoldCall), running=running, ends=(first,))
    desk.pass_time(0.3)
    second = EndEntry(2, RunKey("b.0.0.0", 1), RunEnd.DONE, "")
    desk.answer(desk.only(HoldCall), ends=(first, second))
    lost, taken = [record for record in desk.records(RunReport) if isinstance(record, RunReport) and record.ends]
    desk.sent.clear()
    desk.receive(EndsNoted("i-1", taken.sequence))
    life = desk.agent.life
    assert life is not None and life.last_seen.number == 0
    desk.welcome(8)
    repeated = [record for record in desk.records(RunReport) if isinstance(record, RunReport) and record.ends]
    assert [report.ends[0].key.task for report in repeated] == ["a.0.0.0"]
    desk.receive(EndsNoted("i-1", lost.sequence))
    assert life.last_seen.number == 2


def test_ends_are_reported_once_in_a_session_and_again_in_the_next(desk: Desk) -> None:
    desk.want(order("a.0.0.0"), order("b.0.0.0"))
    for call in list(desk.calls):
        if isinstance(call, StartCall):
            desk.answer(call)
    running = (RunProgress(RunKey("b.0.0.0", 1), "", 0),)
    end = EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, "")
    desk.answer(desk.only(HoldCall), running=running, ends=(end,))
    desk.pass_time(0.3)
    desk.answer(desk.only(HoldCall), running=running, ends=(end,))
    assert desk.ends() == [("a.0.0.0", RunEnd.DONE)]
    desk.take(desk.agent.session_closed(desk.now))
    desk.sent.clear()
    desk.welcome()
    assert desk.ends() == [("a.0.0.0", RunEnd.DONE)]
    desk.pass_time(0.3)
    hold = desk.only(HoldCall)
    assert isinstance(hold, HoldCall) and hold.last_seen == 0
    desk.receive(EndsNoted("i-1", 1))
    desk.answer(hold, running=running, ends=(end,))
    desk.pass_time(0.3)
    following = desk.only(HoldCall)
    assert isinstance(following, HoldCall) and following.last_seen == 1


def test_absence_in_a_list_requested_before_the_start_proves_nothing(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    hold = desk.only(HoldCall)
    desk.want(order("b.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.calls.remove(hold)
    lists = HoldLists((RunProgress(RunKey("a.0.0.0", 1), "", 5),), ())
    answer = CallAnswer(CallVerdict.DONE, desk.now - 0.5, desk.now, Rejection.OTHER, desk.clock_ms, lists)
    desk.take(desk.agent.call_ended(hold.call, answer, desk.now))
    assert desk.ends() == []


# ---- lives and sessions ------------------------------------------------------------------------------


def test_new_life_ends_the_old_one(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.beat(info("i-2"))
    assert desk.records(LifeOver) == [LifeOver("i-1")]
    desk.want(order("a.0.0.0", 1), instance="i-1")
    assert desk.records(LifeOver) == [LifeOver("i-1")] * 2
    desk.beat(info("i-1", sequence=99))  # a late one
    assert desk.agent.life is not None and desk.agent.life.instance == "i-2"


def test_other_life_answers_421(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall), CallVerdict.WRONG_LIFE)
    assert desk.records(LifeOver) == [LifeOver("i-1")]
    assert desk.records(WorkerUpdate)[-1] == WorkerUpdate(None)


def test_old_heartbeat_is_ignored(desk: Desk) -> None:
    desk.beat(info(sequence=5, draining=True, remaining_ms=100))
    desk.beat(info(sequence=4))
    assert desk.agent.life is not None and desk.agent.life.draining


def test_leaving_worker_is_over_shortly_after(desk: Desk) -> None:
    desk.take(desk.agent.worker_left("i-1", desk.now))
    assert not desk.records(LifeOver)
    desk.pass_time(0.3)
    assert desk.records(LifeOver) == [LifeOver("i-1")]
    assert desk.records(WorkerUpdate) == [WorkerUpdate(info(draining=True)), WorkerUpdate(None)]


def test_worker_that_serves_on_after_its_leave_is_held_until_its_runs_are_over(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.take(desk.agent.worker_left("i-1", desk.now))
    running = (RunProgress(RunKey("a.0.0.0", 1), "", 1),)
    desk.answer(desk.only(HoldCall), running=running)
    desk.want(order("b.0.0.0"))  # crosses what the head is told
    desk.beat(info(sequence=9))  # a late one
    desk.pass_time(0.3)
    assert not desk.records(LifeOver) and not desk.starts()
    hold = desk.only(HoldCall)
    assert isinstance(hold, HoldCall) and hold.deadline_ms is not None
    desk.answer(hold, ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    assert ("a.0.0.0", RunEnd.DONE) in desk.ends()
    assert desk.records(LifeOver) == [LifeOver("i-1")]


def test_worker_that_is_gone_after_its_leave_is_over_once_its_port_is_closed(desk: Desk) -> None:
    desk.want(order("a.0.0.0"))
    desk.answer(desk.only(StartCall))
    desk.take(desk.agent.worker_left("i-1", desk.now))
    for _ in range(3):
        assert not desk.records(LifeOver)
        refused = desk.only(HoldCall)
        desk.calls.remove(refused)
        answer = CallAnswer(CallVerdict.NOT_SENT, desk.now, desk.now, no_listener=True)
        desk.take(desk.agent.call_ended(refused.call, answer, desk.now))
        desk.pass_time(0.3)
    assert desk.records(LifeOver) == [LifeOver("i-1")]


def test_welcome_of_an_older_epoch_is_refused(desk: Desk) -> None:
    desk.take(desk.agent.session_closed(desk.now))
    desk.take(desk.agent.welcomed(6, desk.now))
    assert desk.closed and desk.agent.epoch == 7


def test_head_that_grants_nothing_is_left(desk: Desk) -> None:
    desk.pass_time(1.5)
    assert desk.records(LeaseRequest)
    desk.pass_time(1.0)
    assert desk.closed


def test_heartbeats_that_stay_away_are_told(desk: Desk) -> None:
    for _ in range(6):
        desk.pass_time(1.0)
        desk.receive(LeaseGrant(int(desk.now * 1000), 4000))
    assert desk.records(WorkerSuspected)
    assert not desk.calls


# ---- plays -------------------------------------------------------------------------------------------


def test_calm_play_needs_few_looks_and_none_when_idle() -> None:
    world = World(1, [unit(f"u{number}.0.0", seconds=0.5 + number % 3) for number in range(12)])
    world.run(10)
    world.check_whole()
    assert world.head.finished
    assert [start.run for start in world.worker.starts] == [1] * 12
    looks = world.looks
    assert looks <= 12
    world.run(60)
    assert world.looks == looks


@pytest.mark.parametrize("seed", range(60))
def test_play_with_trouble(seed: int) -> None:
    play(seed)


# ---- mutants: each must be caught by the oracle -----------------------------------------------------

MUTANT_SEEDS = range(60)


def conclude_unclear(monkeypatch: pytest.MonkeyPatch) -> None:
    """A start without an answer is reported never to have run."""

    def take(life: Life, call: StartCall, answer: CallAnswer, now: float) -> None:
        run = life.runs.get(call.key)
        if run is not None and answer.result is CallVerdict.UNCLEAR and run.state is RunState.STARTING:
            run.calling = False
            agent_module.conclude(life, run, RunEnd.NEVER, now)
            return
        original(life, call, answer, now)

    original = take_start_answer
    monkeypatch.setattr(agent_module, "take_start_answer", take)


def hold_without_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Holds go to the longest time, whatever the lease."""
    original = Life.deadline
    monkeypatch.setattr(Life, "deadline", lambda self, lease_end, most, now: original(self, now + 100, most, now))


def forget_unnoted(monkeypatch: pytest.MonkeyPatch) -> None:
    """The worker is told to forget ends that are merely reported."""
    original = LastSeen.fresh

    def fresh(self: LastSeen, ends: tuple[EndEntry, ...]) -> tuple[EndEntry, ...]:
        found = original(self, ends)
        for end in found:
            self.note(end.number)
        return found

    monkeypatch.setattr(LastSeen, "fresh", fresh)


def no_room_for_unclear(monkeypatch: pytest.MonkeyPatch) -> None:
    """Runs whose start or stop is under way take no room."""
    original = RunTable.taken

    def taken(self: RunTable) -> Resources | None:
        sure = RunTable()
        for run in self:
            if run.state is RunState.RUNNING:
                sure.add(run)
        return original(sure)

    monkeypatch.setattr(RunTable, "taken", taken)


def start_when_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    """Draining is not looked at."""
    monkeypatch.setattr(Life, "draining", property(lambda self: False))


def lost_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """A silent worker's runs are given up a second after its last answer."""
    monkeypatch.setattr(Life, "lapsed_at", property(lambda self: self.heard_at + 1.0))


@pytest.mark.parametrize(
    "mutate",
    [conclude_unclear, hold_without_lease, forget_unnoted, no_room_for_unclear, start_when_draining, lost_too_early],
)
def test_mutant_is_caught(monkeypatch: pytest.MonkeyPatch, mutate: Callable[[pytest.MonkeyPatch], None]) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in MUTANT_SEEDS:
            play(seed)
