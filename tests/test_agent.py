"""Tests of the agent's state machine: single rules, simulated histories with faults, and mutants of the rules."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import pytest
from agent_world import SimulatedSystem, run_history, work_unit
from hypothesis import given
from hypothesis import strategies as st

from millethead.execution import agent as agent_module
from millethead.execution.actions import Action, CallWorker, CloseSession, SendRecord
from millethead.execution.agent import Agent
from millethead.execution.call_planner import MAX_POLL_WAIT_INTERVALS, AgentLimits
from millethead.execution.calls import (
    CallAnswer,
    CallStatus,
    PollCall,
    Rejection,
    RunLists,
    StartCall,
    StopCall,
    WorkerCall,
    encode_request,
    read_answer,
)
from millethead.execution.heartbeats import MalformedHeartbeat, read_heartbeat
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
from millethead.execution.order_answers import apply_start_answer
from millethead.execution.reports import LastSeen, PendingReports
from millethead.execution.runs import InvalidTransition, Run, RunState, RunTable, transition
from millethead.execution.worker_clock import WorkerClock
from millethead.execution.worker_instance import (
    LOSS_RECOVERY_S,
    MAX_POLL_WAIT_AFTER_LOSS_S,
    SHORT_POLL_ANSWER_TIMEOUT_S,
    WorkerInstance,
)
from millethead.rpc.codec import Record

LIMITS = AgentLimits(hold_max_ms=6000, heartbeat_s=1.0)
PROCESS_START = 100.0  # when the agent process started
NEEDS = Resources(1000, 512, 0)
CLOCK_MS = 50_000.0  # the worker's clock at PROCESS_START, in tests in which it runs at the normal rate


def info(instance: str = "i-1", sequence: int = 1, **changes: object) -> WorkerInfo:
    default = WorkerInfo(
        instance, "service", "10.0.0.1:80", "zone", "v1", 8, False, 0, Resources(4000, 4096, 0), (), -1, sequence
    )
    return replace(default, **changes)  # type: ignore[arg-type]


def order(name: str, run: int = 1, needs: Resources = NEEDS) -> RunOrder:
    return RunOrder(RunKey(name, run), f"spec of {name}", "", needs)


class AgentHarness:
    """An agent whose calls and records are answered by the test."""

    def __init__(self) -> None:
        self.now = PROCESS_START
        self.agent = Agent(LIMITS, PROCESS_START)
        self.calls: list[WorkerCall] = []
        self.sent: list[Record] = []
        self.closed: list[str] = []

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, CallWorker):
                self.calls.append(action.call)
            elif isinstance(action, SendRecord):
                self.sent.append(action.record)
            elif isinstance(action, CloseSession):
                self.closed.append(action.cause)

    def pass_time(self, seconds: float) -> None:
        """Advance the time and call the agent whenever its timer expires."""
        until = self.now + seconds
        while self.agent.next_timer() <= until:
            self.now = max(self.now, self.agent.next_timer())
            self.execute(self.agent.timer_expired(self.now))
        self.now = until

    @property
    def clock_ms(self) -> float:
        return CLOCK_MS + (self.now - PROCESS_START) * 1000

    def heartbeat(self, worker: WorkerInfo | None = None) -> None:
        self.execute(self.agent.heartbeat_received(worker or info(), self.clock_ms, self.now))

    def welcome(self, epoch: int = 7, lease_ms: int = 60_000) -> None:
        self.execute(self.agent.session_opened(epoch, self.now))
        self.receive(LeaseGrant(int(self.now * 1000), lease_ms))

    def receive(self, record: Record) -> None:
        self.execute(self.agent.record_received(record, self.now))

    def order_runs(
        self, *orders: RunOrder, complete: bool = False, instance: str = "i-1", stops: tuple[RunKey, ...] = ()
    ) -> None:
        self.receive(DesiredRuns(instance, complete, orders, stops))

    def answer(
        self,
        call: WorkerCall,
        status: CallStatus = CallStatus.DONE,
        rejection: Rejection = Rejection.OTHER,
        running: tuple[RunProgress, ...] = (),
        ends: tuple[EndEntry, ...] = (),
        after: float = 0.01,
        sent_at: float | None = None,
    ) -> None:
        """Answer a call that was sent now, unless `sent_at` is given; the answer takes `after` seconds."""
        self.calls.remove(call)
        sent_at, self.now = self.now if sent_at is None else sent_at, self.now + after
        lists = RunLists(running, ends) if isinstance(call, PollCall) else None
        clock_ms = self.clock_ms if status in (CallStatus.DONE, CallStatus.REJECTED) else None
        answer = CallAnswer(status, sent_at, self.now, rejection, clock_ms, lists)
        self.execute(self.agent.call_ended(call.number, answer, self.now))

    def only_call(self, kind: type[WorkerCall]) -> WorkerCall:
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
def harness() -> AgentHarness:
    """Return an agent with a session and a worker instance that was observed from its start, without runs."""
    harness = AgentHarness()
    harness.heartbeat(info("i-0"))
    harness.welcome()
    harness.answer(harness.only_call(PollCall))
    harness.heartbeat(info("i-1"))
    harness.answer(harness.only_call(PollCall), CallStatus.WRONG_INSTANCE)
    harness.order_runs(complete=True)
    harness.sent.clear()
    return harness


# ---- worker clock ------------------------------------------------------------------------------------


@given(
    rate=st.floats(0.98, 1.0),
    reads=st.lists(st.tuples(st.floats(0, 100), st.floats(0, 3), st.floats(0, 1)), min_size=1, max_size=8),
)
def test_clock_bounds_hold_at_any_rate(rate: float, reads: list[tuple[float, float, float]]) -> None:
    clock = WorkerClock()
    for sent, took, share in sorted(reads):
        clock.add_reading(500 + (sent + took * share) * 1000 * rate, sent, sent + took)
    now = max(sent + took for sent, took, _ in reads) + 5
    true = 500 + now * 1000 * rate
    assert clock.lowest(now) <= true + 1e-6
    assert clock.highest(now) >= true - 1e-6
    assert 500 + clock.passed_by(true) * 1000 * rate >= true - 1e-6


def test_unknown_clock_grants_nothing() -> None:
    worker = WorkerInstance("i-1", True, PROCESS_START, -math.inf)
    assert worker.renewal_deadline(PROCESS_START + 60, 6000, PROCESS_START) is None
    assert worker.clock.passed_by(1.0) == math.inf


def test_deadline_never_reaches_past_the_lease() -> None:
    worker = WorkerInstance("i-1", True, PROCESS_START, -math.inf)
    worker.clock.add_reading(1000, PROCESS_START, PROCESS_START)
    deadline = worker.renewal_deadline(PROCESS_START + 3, 6000, PROCESS_START)
    assert deadline is not None
    slow = PROCESS_START + (deadline - 1000) / (1000 * 0.98)
    assert slow <= PROCESS_START + 3
    assert worker.renewal_deadline(PROCESS_START, 6000, PROCESS_START) is None


# ---- runs and reports --------------------------------------------------------------------------------


def test_invalid_transition_is_rejected() -> None:
    run = Run(RunKey("a.0.0.0", 1), None, False, RunState.CLOSED, PROCESS_START)
    with pytest.raises(InvalidTransition):
        transition(run, RunState.STARTING, PROCESS_START)


def test_run_with_unknown_needs_leaves_no_capacity() -> None:
    table = RunTable()
    table.add(Run(RunKey("a.0.0.0", 1), None, False, RunState.RUNNING, PROCESS_START))
    waiting = table.add(Run(RunKey("b.0.0.0", 1), order("b.0.0.0"), True, RunState.WAITING, PROCESS_START))
    assert not table.fits(waiting, Resources(1 << 20, 1 << 20, 8))


def test_last_seen_advances_only_over_consecutive_acknowledged_ends() -> None:
    seen = LastSeen()
    ends = tuple(EndEntry(number, RunKey(f"t{number}", 1), RunEnd.DONE, "") for number in (5, 6, 7))
    assert seen.take_new(ends) == ends
    assert seen.number == 4  # the worker forgot the earlier ends before this process started
    assert seen.take_new(ends) == ()
    seen.acknowledge(6)
    assert seen.number == 4
    seen.acknowledge(5)
    assert seen.number == 6


def test_reports_are_kept_until_acknowledged() -> None:
    reports = PendingReports()
    end = EndEntry(1, RunKey("t", 1), RunEnd.DONE, "")
    assert reports.add(RunReport("i-1", 0, (), (), ())).sequence == 0
    first = reports.add(RunReport("i-1", 0, (RunKey("s", 1),), (end,), ()))
    reports.add(RunReport("i-2", 0, (), (end,), ()))
    assert first.sequence == 1 and first.started
    assert reports.acknowledge("i-1", 9) == ()
    assert reports.acknowledge("i-1", 1) == (end,)
    assert [report.instance for report in reports.unacknowledged] == ["i-2"]


# ---- encoding ----------------------------------------------------------------------------------------


def test_request_bodies_omit_empty_fields() -> None:
    poll = PollCall(1, "i", 1.0, 7, 57, None, 0)
    assert encode_request(poll) == b'{"fence":7,"last_seen":57}'
    start = StartCall(1, "i", 1.0, 7, RunKey("t", 2), "s", "", 99)
    assert encode_request(start) == b'{"task":"t","run":2,"spec":"s","deadline_ms":99,"fence":7}'


@given(status=st.sampled_from([200, 409, 421, 429, 503, 500, 302]), body=st.binary(max_size=40))
def test_any_answer_has_an_outcome(status: int, body: bytes) -> None:
    for call in (PollCall(1, "i", 1.0, 7, 0, None, 0), StopCall(1, "i", 1.0, 7, RunKey("t", 1))):
        answer = read_answer(call, status, body, 1.0, 2.0)
        assert answer.status is not CallStatus.DONE or not isinstance(call, PollCall) or answer.lists is not None


def test_poll_answer_is_decoded() -> None:
    raw = b'{"clock_ms":482113,"running":[["a.0.1.17",2,"x",41]],"exited":[[58,"a.0.1.9",1,"done",""]]}'
    answer = read_answer(PollCall(1, "i", 1.0, 7, 0, None, 0), 200, raw, 1.0, 2.0)
    assert answer.clock_ms == 482113
    assert answer.lists == RunLists(
        (RunProgress(RunKey("a.0.1.17", 2), "x", 41),), (EndEntry(58, RunKey("a.0.1.9", 1), RunEnd.DONE, ""),)
    )


@given(st.binary(max_size=60))
def test_any_heartbeat_is_decoded_or_rejected(body: bytes) -> None:
    try:
        worker, _ = read_heartbeat("i-1", body)
    except MalformedHeartbeat:
        return
    assert worker.instance == "i-1"


def test_heartbeat_is_decoded() -> None:
    body = (
        b'{"service":"s","addr":"10.0.0.9:80","state":"draining","remaining_ms":1500.7,"seq":4,"clock_ms":12,'
        b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a"],"more":1}'
    )
    worker, clock_ms = read_heartbeat("i-1", body)
    assert (worker.draining, worker.remaining_ms, worker.sequence, clock_ms) == (True, 1500, 4, 12)
    assert worker.capacity == Resources(16000, 32768, 0) and worker.labels == ("a",)


# ---- starting ----------------------------------------------------------------------------------------


def test_desired_run_is_started_with_the_fencing_token_and_reported(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    call = harness.only_call(StartCall)
    assert isinstance(call, StartCall)
    assert (call.fence, call.instance, call.spec) == (7, "i-1", "spec of a.0.0.0")
    harness.answer(call)
    assert RunReport("i-1", 0, (RunKey("a.0.0.0", 1),), (), ()) in harness.sent


@pytest.mark.parametrize(
    ("status", "rejection"),
    [
        (CallStatus.REJECTED, Rejection.ROOM),
        (CallStatus.REJECTED, Rejection.OLD),
        (CallStatus.UNHEALTHY, Rejection.OTHER),
        (CallStatus.INVALID, Rejection.OTHER),
    ],
)
def test_run_whose_first_start_is_rejected_never_started(
    harness: AgentHarness, status: CallStatus, rejection: Rejection
) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall), status, rejection)
    assert harness.ends() == [("a.0.0.0", RunEnd.NEVER)]
    harness.pass_time(1.0)
    assert not harness.starts()


@pytest.mark.parametrize("rejection", [Rejection.ROOM, Rejection.OLD])
def test_rejection_after_an_unanswered_start_proves_nothing(harness: AgentHarness, rejection: Rejection) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall), CallStatus.UNCLEAR, after=0.3)
    harness.answer(harness.only_call(StartCall), CallStatus.REJECTED, rejection)
    assert harness.ends() == []


def test_unanswered_start_is_attempted_three_times_then_stopped(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    for _ in range(3):
        for poll in [call for call in harness.calls if isinstance(call, PollCall)]:
            harness.answer(poll)
        harness.answer(harness.only_call(StartCall), CallStatus.UNCLEAR, after=0.3)
    assert not harness.starts()
    for poll in [call for call in harness.calls if isinstance(call, PollCall)]:
        harness.answer(poll)
    harness.answer(harness.only_call(StopCall), CallStatus.UNCLEAR, after=0.4)
    harness.pass_time(0.1)
    harness.answer(harness.only_call(StopCall))
    assert harness.ends() == []
    harness.pass_time(0.3)
    poll = harness.only_call(PollCall)
    harness.answer(poll)
    harness.pass_time(0.3)
    if not harness.ends():  # that poll was sent before the stop was answered
        harness.answer(harness.only_call(PollCall))
    assert harness.ends() == [("a.0.0.0", RunEnd.NEVER)]


def test_late_start_is_retried(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall), CallStatus.REJECTED, Rejection.LATE)
    harness.pass_time(0.1)
    harness.answer(harness.only_call(StartCall))
    assert harness.ends() == []


def test_higher_fencing_token_at_the_worker_closes_the_session(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall), CallStatus.REJECTED, Rejection.FENCE)
    assert harness.closed
    in_flight = list(harness.calls)
    harness.pass_time(0.5)
    assert harness.calls == in_flight
    harness.welcome(8)
    harness.order_runs(order("a.0.0.0"), complete=True)
    call = harness.only_call(StartCall)
    assert isinstance(call, StartCall) and call.fence == 8


def test_run_that_does_not_fit_waits_and_is_then_reported_as_never_started(harness: AgentHarness) -> None:
    harness.order_runs(*(order(f"a.0.0.{index}", needs=Resources(2000, 512, 0)) for index in range(3)))
    assert harness.starts() == ["a.0.0.0", "a.0.0.1"]
    for call in list(harness.calls):
        if isinstance(call, StartCall):
            harness.answer(call)
    harness.pass_time(1.1)
    assert harness.ends() == [("a.0.0.2", RunEnd.NEVER)]


def test_stopped_run_reserves_capacity_until_its_end_is_listed(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0", needs=Resources(4000, 512, 0)))
    harness.answer(harness.only_call(StartCall))
    harness.order_runs(order("b.0.0.0", needs=Resources(4000, 512, 0)), stops=(RunKey("a.0.0.0", 1),))
    harness.answer(harness.only_call(StopCall))
    assert not harness.starts()
    harness.pass_time(0.3)
    harness.answer(harness.only_call(PollCall), ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.STOPPED, ""),))
    assert harness.starts() == ["b.0.0.0"]


def test_draining_worker_gets_no_starts(harness: AgentHarness) -> None:
    harness.heartbeat(info(sequence=2, draining=True, remaining_ms=3000))
    harness.order_runs(order("a.0.0.0"))
    assert not harness.calls
    assert harness.ends() == [("a.0.0.0", RunEnd.NEVER)]
    update = harness.records(WorkerUpdate)[-1]
    assert isinstance(update, WorkerUpdate) and update.info is not None and update.info.draining


def test_no_start_without_a_lease(harness: AgentHarness) -> None:
    harness.pass_time(0.5)
    harness.execute(harness.agent.session_closed(harness.now))
    other = AgentHarness()
    other.heartbeat(info("i-1"))
    other.execute(other.agent.session_opened(7, other.now))
    other.order_runs(order("a.0.0.0"), complete=True)
    assert not other.calls
    other.receive(LeaseGrant(int(other.now * 1000), 4000))
    other.answer(other.only_call(PollCall))
    assert other.starts() == ["a.0.0.0"]


# ---- restart of the agent ----------------------------------------------------------------------------


def test_new_process_starts_nothing_before_both_lists() -> None:
    harness = AgentHarness()
    harness.welcome()
    assert not harness.records(WorkerUpdate)  # it does not know yet whether there is a worker
    harness.heartbeat()
    poll = harness.only_call(PollCall)
    assert isinstance(poll, PollCall) and poll.wait_ms == 0
    harness.order_runs(order("a.0.0.0"), order("b.0.0.0"), complete=True)
    assert not harness.starts()
    harness.answer(poll, running=(RunProgress(RunKey("a.0.0.0", 1), "", 30),))
    assert harness.starts() == ["b.0.0.0"]


def test_new_process_stops_runs_that_are_not_desired() -> None:
    harness = AgentHarness()
    harness.welcome()
    harness.heartbeat()
    harness.answer(harness.only_call(PollCall), running=(RunProgress(RunKey("a.0.0.0", 1), "", 30),))
    assert not any(isinstance(call, StopCall) for call in harness.calls)  # the head has not sent the desired runs
    harness.order_runs(complete=True)
    stop = harness.only_call(StopCall)
    assert isinstance(stop, StopCall) and stop.key == RunKey("a.0.0.0", 1)


def test_cancelled_run_of_a_previous_process_is_stopped_before_it_counts_as_never_started() -> None:
    harness = AgentHarness()
    harness.welcome()
    harness.heartbeat()
    harness.answer(harness.only_call(PollCall))
    harness.order_runs(complete=True, stops=(RunKey("a.0.0.0", 1),))
    assert harness.ends() == []
    harness.answer(harness.only_call(StopCall))
    for _ in range(3):
        harness.pass_time(0.3)
        for call in list(harness.calls):
            harness.answer(call)
    assert harness.ends() == [("a.0.0.0", RunEnd.NEVER)]


def test_instance_is_learnt_from_the_head_before_its_first_heartbeat() -> None:
    harness = AgentHarness()
    harness.welcome()
    harness.order_runs(order("a.0.0.0"), complete=True)
    poll = harness.only_call(PollCall)
    assert poll.instance == "i-1"
    harness.answer(poll, running=(RunProgress(RunKey("a.0.0.0", 1), "", 30),))
    harness.pass_time(0.01)
    poll = harness.only_call(PollCall)
    assert isinstance(poll, PollCall) and poll.deadline_ms is not None
    harness.heartbeat()
    assert not harness.records(LifeOver)


# ---- polls and ends ----------------------------------------------------------------------------------


def test_idle_worker_is_not_polled(harness: AgentHarness) -> None:
    for sequence in range(2, 30):
        harness.pass_time(1.0)
        harness.heartbeat(info(sequence=sequence))
        harness.receive(LeaseGrant(int(harness.now * 1000), 4000))
    assert not harness.calls


def test_polls_keep_their_interval_and_wait_for_ends(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    poll = harness.only_call(PollCall)
    harness.answer(poll, running=(RunProgress(RunKey("a.0.0.0", 1), "", 1),))
    harness.pass_time(0.24)
    assert not harness.calls
    harness.pass_time(0.02)
    poll = harness.only_call(PollCall)
    assert isinstance(poll, PollCall) and 1500 <= poll.wait_ms <= 2000


def test_end_contains_the_duration_of_the_run(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.answer(harness.only_call(PollCall), running=(RunProgress(RunKey("a.0.0.0", 1), "", 1),))
    for _ in range(2):
        harness.pass_time(1.0)
        harness.receive(LeaseGrant(int(harness.now * 1000), 60_000))
    harness.answer(harness.only_call(PollCall), ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    (report,) = [record for record in harness.sent if isinstance(record, RunReport) and record.ends]
    assert 2000 <= report.ends[0].ran_ms <= 2100


def test_end_of_a_run_with_an_unanswered_start_has_no_duration(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall), CallStatus.UNCLEAR, after=0.3)
    harness.answer(harness.only_call(StartCall))
    ended = (EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),)
    for poll in [call for call in harness.calls if isinstance(call, PollCall)]:
        harness.answer(poll, ends=ended)
    (report,) = [record for record in harness.sent if isinstance(record, RunReport) and record.ends]
    assert report.ends[0].ran_ms == 0


def test_end_of_a_run_on_a_cold_worker_has_no_duration(harness: AgentHarness) -> None:
    harness.heartbeat(info("i-1", 2, cold_left_ms=4000))
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.answer(harness.only_call(PollCall), ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    (report,) = [record for record in harness.sent if isinstance(record, RunReport) and record.ends]
    assert report.ends[0].ran_ms == 0


def test_polling_interval_is_the_shortest_of_all_runs(harness: AgentHarness) -> None:
    harness.receive(LeaseGrant(int(harness.now * 1000), 60_000, 1200))
    harness.order_runs(order("a.0.0.0"), replace(order("b.0.0.0"), poll_interval_ms=60))
    for start in [call for call in harness.calls if isinstance(call, StartCall)]:
        harness.answer(start)
    running = tuple(RunProgress(RunKey(name, 1), "", 1) for name in ("a.0.0.0", "b.0.0.0"))
    harness.answer(harness.only_call(PollCall), running=running)
    harness.pass_time(0.059)
    assert not harness.calls
    harness.pass_time(0.002)
    ended = (EndEntry(1, RunKey("b.0.0.0", 1), RunEnd.DONE, ""),)
    harness.answer(harness.only_call(PollCall), running=running[:1], ends=ended)
    harness.pass_time(1.1)
    assert not harness.calls  # the remaining run asks for a longer interval
    harness.order_runs(replace(order("c.0.0.0"), poll_interval_ms=60))
    harness.answer(harness.only_call(StartCall))
    harness.pass_time(0.06)
    assert isinstance(harness.only_call(PollCall), PollCall)


def test_unanswered_poll_is_repeated_at_once_and_then_extends_no_deadline(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.answer(harness.only_call(PollCall), CallStatus.UNCLEAR, after=2.7)
    again = harness.only_call(PollCall)
    assert isinstance(again, PollCall) and again.wait_ms == 0
    harness.answer(again, CallStatus.UNCLEAR, after=0.7)
    probe = harness.only_call(PollCall)
    assert isinstance(probe, PollCall) and isinstance(again, PollCall)
    assert probe.deadline_ms is None or probe.deadline_ms == again.deadline_ms


def test_single_lost_poll_raises_no_suspicion_and_starts_continue(harness: AgentHarness) -> None:
    """A poll with a wait is due only after its wait, and a single lost call may be lost on the way."""
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.answer(harness.only_call(PollCall), CallStatus.UNCLEAR, after=2.7)
    harness.order_runs(order("b.0.0.0"))
    assert "b.0.0.0" in harness.starts()
    assert not harness.records(WorkerSuspected)
    harness.answer(harness.only_call(PollCall))
    harness.pass_time(2.0)
    assert not harness.records(WorkerSuspected)


def test_second_lost_call_raises_suspicion_and_delays_starts(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    first = harness.only_call(PollCall)
    harness.answer(first, CallStatus.UNCLEAR, after=first.timeout_s)
    again = harness.only_call(PollCall)
    assert again.timeout_s == SHORT_POLL_ANSWER_TIMEOUT_S
    harness.answer(again, CallStatus.UNCLEAR, after=again.timeout_s)
    harness.order_runs(order("b.0.0.0"))
    assert "b.0.0.0" not in harness.starts()
    harness.pass_time(0.05)
    assert harness.records(WorkerSuspected)


def test_wait_of_a_poll_is_limited_by_the_shortest_polling_interval(harness: AgentHarness) -> None:
    """A lost poll is detected only after its wait; no end at the worker is known until then."""
    urgent = replace(order("a.0.0.0"), poll_interval_ms=100)
    harness.order_runs(urgent, order("b.0.0.0"))
    for start in [call for call in harness.calls if isinstance(call, StartCall)]:
        harness.answer(start)
    running = tuple(RunProgress(RunKey(name, 1), "", 1) for name in ("a.0.0.0", "b.0.0.0"))
    harness.answer(harness.only_call(PollCall), running=running)
    harness.pass_time(0.1)
    poll = harness.only_call(PollCall)
    assert poll.wait_ms == MAX_POLL_WAIT_INTERVALS * 100 and poll.timeout_s == pytest.approx(
        0.4 + SHORT_POLL_ANSWER_TIMEOUT_S
    )
    harness.answer(poll, running=running[1:], ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    harness.pass_time(0.3)
    assert harness.only_call(PollCall).wait_ms > 1000


def test_polls_wait_briefly_after_a_lost_one(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    running = (RunProgress(RunKey("a.0.0.0", 1), "", 1),)
    harness.answer(harness.only_call(PollCall), CallStatus.UNCLEAR, after=2.7)
    lost_at = harness.now
    harness.answer(harness.only_call(PollCall), running=running)
    waits: list[tuple[float, int]] = []
    while harness.now < lost_at + 2 * LOSS_RECOVERY_S:
        harness.pass_time(0.05)
        for call in [call for call in harness.calls if isinstance(call, PollCall)]:
            waits.append((harness.now - lost_at, call.wait_ms))
            harness.receive(LeaseGrant(int(harness.now * 1000), 60_000))
            harness.answer(call, running=running, after=call.wait_ms / 1000)
    assert {wait for at, wait in waits if at < LOSS_RECOVERY_S} == {int(MAX_POLL_WAIT_AFTER_LOSS_S * 1000)}
    assert min(wait for at, wait in waits if at > LOSS_RECOVERY_S + 1) > 1000


def test_end_listed_late_after_a_lost_poll_has_no_duration(harness: AgentHarness) -> None:
    """Otherwise, a worker that loses an occasional call would count as slow."""
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.answer(harness.only_call(PollCall), running=(RunProgress(RunKey("a.0.0.0", 1), "", 1),))
    harness.pass_time(0.3)
    harness.answer(harness.only_call(PollCall), CallStatus.UNCLEAR, after=2.7)
    harness.answer(harness.only_call(PollCall), ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    (report,) = [record for record in harness.sent if isinstance(record, RunReport) and record.ends]
    assert report.ends[0].ran_ms == 0


def test_poll_that_an_unhealthy_worker_refuses_counts_as_missed(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    for _ in range(3):
        harness.answer(harness.only_call(PollCall), CallStatus.UNHEALTHY)
        assert not harness.calls  # no immediate retry
        harness.pass_time(0.5)
    worker = harness.agent.worker
    assert worker is not None
    before = worker.max_sent_deadline
    harness.answer(harness.only_call(PollCall), CallStatus.UNHEALTHY)
    harness.pass_time(0.5)
    assert worker.max_sent_deadline == before
    assert harness.records(WorkerSuspected)


def test_unresponsive_worker_is_suspected_and_its_runs_are_lost_after_the_deadline(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    started_at = harness.now
    while not harness.ends() and harness.now < started_at + 20:
        harness.receive(LeaseGrant(int(harness.now * 1000), 4000))
        for call in list(harness.calls):
            harness.answer(call, CallStatus.UNCLEAR, after=call.timeout_s)
        harness.pass_time(0.05)
    worker = harness.agent.worker
    assert worker is not None
    assert harness.ends() == [("a.0.0.0", RunEnd.LOST)]
    assert worker.clock.lowest(harness.now) >= worker.max_sent_deadline
    assert harness.records(WorkerSuspected)


def test_acknowledgement_does_not_cover_earlier_reports(harness: AgentHarness) -> None:
    """An acknowledgement must not cover earlier reports.

    The first report was dropped because its member was between two epochs. The same member took the second report as
    the head of the new epoch, before it welcomed the agent. The ends of the first report were forgotten, and their
    tasks ran twice.
    """
    harness.order_runs(order("a.0.0.0"), order("b.0.0.0"))
    for start in [call for call in harness.calls if isinstance(call, StartCall)]:
        harness.answer(start)
    first = EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, "")
    running = (RunProgress(RunKey("b.0.0.0", 1), "", 1),)
    harness.answer(harness.only_call(PollCall), running=running, ends=(first,))
    harness.pass_time(0.3)
    second = EndEntry(2, RunKey("b.0.0.0", 1), RunEnd.DONE, "")
    harness.answer(harness.only_call(PollCall), ends=(first, second))
    lost, taken = [record for record in harness.records(RunReport) if isinstance(record, RunReport) and record.ends]
    harness.sent.clear()
    harness.receive(EndsNoted("i-1", taken.sequence))
    worker = harness.agent.worker
    assert worker is not None and worker.last_seen.number == 0
    harness.welcome(8)
    repeated = [record for record in harness.records(RunReport) if isinstance(record, RunReport) and record.ends]
    assert [report.ends[0].key.task for report in repeated] == ["a.0.0.0"]
    harness.receive(EndsNoted("i-1", lost.sequence))
    assert worker.last_seen.number == 2


def test_ends_are_reported_once_per_session_until_acknowledged(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"), order("b.0.0.0"))
    for call in list(harness.calls):
        if isinstance(call, StartCall):
            harness.answer(call)
    running = (RunProgress(RunKey("b.0.0.0", 1), "", 0),)
    end = EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, "")
    harness.answer(harness.only_call(PollCall), running=running, ends=(end,))
    harness.pass_time(0.3)
    harness.answer(harness.only_call(PollCall), running=running, ends=(end,))
    assert harness.ends() == [("a.0.0.0", RunEnd.DONE)]
    harness.execute(harness.agent.session_closed(harness.now))
    harness.sent.clear()
    harness.welcome()
    assert harness.ends() == [("a.0.0.0", RunEnd.DONE)]
    harness.pass_time(0.3)
    poll = harness.only_call(PollCall)
    assert isinstance(poll, PollCall) and poll.last_seen == 0
    harness.receive(EndsNoted("i-1", 1))
    harness.answer(poll, running=running, ends=(end,))
    harness.pass_time(0.3)
    following = harness.only_call(PollCall)
    assert isinstance(following, PollCall) and following.last_seen == 1


def test_absence_in_a_list_requested_before_the_start_proves_nothing(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    poll = harness.only_call(PollCall)
    harness.order_runs(order("b.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.calls.remove(poll)
    lists = RunLists((RunProgress(RunKey("a.0.0.0", 1), "", 5),), ())
    answer = CallAnswer(CallStatus.DONE, harness.now - 0.5, harness.now, Rejection.OTHER, harness.clock_ms, lists)
    harness.execute(harness.agent.call_ended(poll.number, answer, harness.now))
    assert harness.ends() == []


# ---- instances and sessions --------------------------------------------------------------------------


def test_new_instance_ends_the_old_one(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.heartbeat(info("i-2"))
    assert not harness.records(LifeOver)
    harness.answer(harness.only_call(PollCall), CallStatus.WRONG_INSTANCE)
    assert harness.records(LifeOver) == [LifeOver("i-1")]
    assert harness.records(WorkerUpdate)[-1] == WorkerUpdate(info("i-2"))
    harness.order_runs(order("a.0.0.0", 1), instance="i-1")
    assert harness.records(LifeOver) == [LifeOver("i-1")] * 2
    harness.heartbeat(info("i-1", sequence=99))  # outdated
    assert harness.agent.worker is not None and harness.agent.worker.instance == "i-2"


def running_harness() -> AgentHarness:
    """A process that was started while run a.0.0.0 was at i-1, and has listed it."""
    harness = AgentHarness()
    harness.heartbeat()
    harness.welcome()
    harness.order_runs(order("a.0.0.0"), complete=True)
    harness.answer(harness.only_call(PollCall), running=(RunProgress(RunKey("a.0.0.0", 1), "", 1),))
    return harness


def test_late_heartbeat_of_an_earlier_instance_ends_nothing() -> None:
    """Guards against TWICE: the present instance was taken for ended, and its tasks were started elsewhere."""
    harness = running_harness()
    harness.pass_time(0.3)
    waiting, sent_at = harness.only_call(PollCall), harness.now
    harness.pass_time(0.1)
    harness.heartbeat(info("i-0", sequence=50))
    running = (RunProgress(RunKey("a.0.0.0", 1), "", 1),)
    harness.answer(waiting, running=running, sent_at=sent_at)  # before the heartbeat came, so it proves nothing
    asked = harness.only_call(PollCall)
    assert isinstance(asked, PollCall) and (asked.instance, asked.wait_ms) == ("i-1", 0)
    assert not harness.records(LifeOver)
    harness.answer(asked, running=(RunProgress(RunKey("a.0.0.0", 1), "", 2),))
    assert harness.records(LifeOver) == [LifeOver("i-0")]
    harness.heartbeat(info("i-0", sequence=51))
    harness.heartbeat(info(sequence=2, draining=True, remaining_ms=100))
    assert harness.agent.worker is not None and harness.agent.worker.instance == "i-1"
    assert harness.records(WorkerUpdate)[-1] == WorkerUpdate(info(sequence=2, draining=True, remaining_ms=100))
    assert harness.ends() == []


@pytest.mark.parametrize("status", [CallStatus.UNHEALTHY, CallStatus.INVALID])
def test_refusal_of_an_unhealthy_worker_does_not_show_which_instance_it_is(status: CallStatus) -> None:
    """Guards against a new instance whose heartbeats are ignored, since it answered 503 before it looked for whom."""
    harness = running_harness()
    harness.order_runs(order("b.0.0.0"))
    harness.heartbeat(info("i-2"))
    harness.answer(harness.only_call(StartCall), status)
    assert not harness.records(LifeOver)
    harness.answer(harness.only_call(PollCall), CallStatus.WRONG_INSTANCE)
    assert harness.records(LifeOver) == [LifeOver("i-1")]
    assert harness.records(WorkerUpdate)[-1] == WorkerUpdate(info("i-2"))


def test_instance_whose_calls_are_unanswered_is_not_ended_by_a_heartbeat_of_another() -> None:
    """Guards against ending runs whose deadline has not passed; the new instance is known once the worker answers."""
    harness = running_harness()
    harness.heartbeat(info("i-2"))
    for _ in range(2):
        harness.answer(harness.only_call(PollCall), CallStatus.UNCLEAR, after=0.4)
        harness.receive(LeaseGrant(int(harness.now * 1000), 60_000))
        harness.pass_time(0.7)
    assert not harness.records(LifeOver) and harness.ends() == []
    harness.answer(harness.only_call(PollCall), CallStatus.WRONG_INSTANCE)
    assert harness.records(LifeOver) == [LifeOver("i-1")]
    assert harness.records(WorkerUpdate)[-1] == WorkerUpdate(info("i-2"))


@pytest.mark.parametrize("listed_first", [True, False], ids=["list before the answer", "list after the answer"])
def test_new_process_does_not_report_an_instance_before_the_worker_confirms_it(listed_first: bool) -> None:
    """Guards against TWICE: a late heartbeat that came first made the head end the runs of the present instance."""
    harness = AgentHarness()
    harness.heartbeat(info("i-0", sequence=50))
    harness.welcome()
    if listed_first:
        harness.order_runs(order("a.0.0.0"), complete=True)
    assert not harness.records(WorkerUpdate)
    harness.answer(harness.only_call(PollCall), CallStatus.WRONG_INSTANCE)
    if not listed_first:
        harness.order_runs(order("a.0.0.0"), complete=True)
    harness.answer(harness.only_call(PollCall), running=(RunProgress(RunKey("a.0.0.0", 1), "", 1),))
    assert harness.records(LifeOver) == [LifeOver("i-0")]
    assert not harness.records(WorkerUpdate)
    harness.heartbeat()
    assert harness.records(WorkerUpdate) == [WorkerUpdate(info())]
    assert harness.ends() == []


def test_new_process_reports_the_instance_once_it_has_answered() -> None:
    harness = AgentHarness()
    harness.heartbeat()
    harness.welcome()
    assert not harness.records(WorkerUpdate)
    harness.answer(harness.only_call(PollCall))
    assert harness.records(WorkerUpdate) == [WorkerUpdate(info())]


def test_answer_421_ends_the_instance(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall), CallStatus.WRONG_INSTANCE)
    assert harness.records(LifeOver) == [LifeOver("i-1")]
    assert harness.records(WorkerUpdate)[-1] == WorkerUpdate(None)


def test_old_heartbeat_is_ignored(harness: AgentHarness) -> None:
    harness.heartbeat(info(sequence=5, draining=True, remaining_ms=100))
    harness.heartbeat(info(sequence=4))
    assert harness.agent.worker is not None and harness.agent.worker.draining


def test_leaving_worker_ends_after_the_grace_period(harness: AgentHarness) -> None:
    harness.execute(harness.agent.worker_left("i-1", harness.now))
    assert not harness.records(LifeOver)
    harness.pass_time(0.3)
    assert harness.records(LifeOver) == [LifeOver("i-1")]
    assert harness.records(WorkerUpdate) == [WorkerUpdate(info(draining=True)), WorkerUpdate(None)]


def test_worker_that_serves_after_leaving_is_polled_until_its_runs_end(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.execute(harness.agent.worker_left("i-1", harness.now))
    running = (RunProgress(RunKey("a.0.0.0", 1), "", 1),)
    harness.answer(harness.only_call(PollCall), running=running)
    harness.order_runs(order("b.0.0.0"))  # sent before the head receives the update
    harness.heartbeat(info(sequence=9))  # outdated
    harness.pass_time(0.3)
    assert not harness.records(LifeOver) and not harness.starts()
    poll = harness.only_call(PollCall)
    assert isinstance(poll, PollCall) and poll.deadline_ms is not None
    harness.answer(poll, ends=(EndEntry(1, RunKey("a.0.0.0", 1), RunEnd.DONE, ""),))
    assert ("a.0.0.0", RunEnd.DONE) in harness.ends()
    assert harness.records(LifeOver) == [LifeOver("i-1")]


def test_worker_that_left_ends_once_its_port_is_closed(harness: AgentHarness) -> None:
    harness.order_runs(order("a.0.0.0"))
    harness.answer(harness.only_call(StartCall))
    harness.execute(harness.agent.worker_left("i-1", harness.now))
    for _ in range(3):
        assert not harness.records(LifeOver)
        refused = harness.only_call(PollCall)
        harness.calls.remove(refused)
        answer = CallAnswer(CallStatus.NOT_SENT, harness.now, harness.now, no_listener=True)
        harness.execute(harness.agent.call_ended(refused.number, answer, harness.now))
        harness.pass_time(0.3)
    assert harness.records(LifeOver) == [LifeOver("i-1")]


def test_head_of_an_older_epoch_is_rejected(harness: AgentHarness) -> None:
    harness.execute(harness.agent.session_closed(harness.now))
    harness.execute(harness.agent.session_opened(6, harness.now))
    assert harness.closed and harness.agent.epoch == 7


def test_session_with_a_head_that_grants_no_lease_is_closed(harness: AgentHarness) -> None:
    harness.pass_time(1.5)
    assert harness.records(LeaseRequest)
    harness.pass_time(1.0)
    assert harness.closed


def test_missing_heartbeats_are_reported(harness: AgentHarness) -> None:
    for _ in range(6):
        harness.pass_time(1.0)
        harness.receive(LeaseGrant(int(harness.now * 1000), 4000))
    assert harness.records(WorkerSuspected)
    assert not harness.calls


# ---- simulated histories -----------------------------------------------------------------------------


def test_history_without_faults_needs_few_polls_and_none_when_idle() -> None:
    system = SimulatedSystem(1, [work_unit(f"u{number}.0.0", seconds=0.5 + number % 3) for number in range(12)])
    system.run(10)
    system.check_history()
    assert system.head.finished
    assert [start.run for start in system.worker.starts] == [1] * 12
    polls = system.polls
    assert polls <= 12
    system.run(60)
    assert system.polls == polls


@pytest.mark.parametrize("seed", range(60))
def test_history_with_faults(seed: int) -> None:
    run_history(seed)


# ---- mutants: the checks must detect each of them ----------------------------------------------------

MUTANT_SEEDS = range(60)


def end_unconfirmed_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """A start without an answer is reported as never started."""

    def apply(worker: WorkerInstance, call: StartCall, answer: CallAnswer, now: float) -> None:
        run = worker.runs.get(call.key)
        if run is not None and answer.status is CallStatus.UNCLEAR and run.state is RunState.STARTING:
            run.call_in_flight = False
            agent_module.record_inferred_end(worker, run, RunEnd.NEVER, now)
            return
        original(worker, call, answer, now)

    original = apply_start_answer
    monkeypatch.setattr(agent_module, "apply_start_answer", apply)


def renew_without_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Runs are renewed for the longest possible time, regardless of the lease."""
    original = WorkerInstance.renewal_deadline
    monkeypatch.setattr(
        WorkerInstance,
        "renewal_deadline",
        lambda self, lease_end, hold_max_ms, now: original(self, now + 100, hold_max_ms, now),
    )


def forget_unacknowledged_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """The worker is allowed to forget ends that are reported but not acknowledged."""
    original = LastSeen.take_new

    def take_new(self: LastSeen, ends: tuple[EndEntry, ...]) -> tuple[EndEntry, ...]:
        found = original(self, ends)
        for end in found:
            self.acknowledge(end.number)
        return found

    monkeypatch.setattr(LastSeen, "take_new", take_new)


def reserve_only_for_running(monkeypatch: pytest.MonkeyPatch) -> None:
    """Runs whose start or stop is in flight reserve no capacity."""
    original = RunTable.reserved

    def reserved(self: RunTable) -> Resources | None:
        running = RunTable()
        for run in self:
            if run.state is RunState.RUNNING:
                running.add(run)
        return original(running)

    monkeypatch.setattr(RunTable, "reserved", reserved)


def start_when_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    """Runs are started on a draining worker."""
    monkeypatch.setattr(WorkerInstance, "draining", property(lambda self: False))


def end_runs_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """The runs of an unresponsive worker are ended one second after its last answer."""
    monkeypatch.setattr(WorkerInstance, "expired_at", property(lambda self: self.last_contact_at + 1.0))


@pytest.mark.parametrize(
    "mutate",
    [
        end_unconfirmed_start,
        renew_without_lease,
        forget_unacknowledged_ends,
        reserve_only_for_running,
        start_when_draining,
        end_runs_too_early,
    ],
)
def test_mutant_is_detected(monkeypatch: pytest.MonkeyPatch, mutate: Callable[[pytest.MonkeyPatch], None]) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in MUTANT_SEEDS:
            run_history(seed)
