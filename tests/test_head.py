"""The head of the core without sockets: what it answers, orders and waits for, over a chain that the test moves."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any, TypeVar

import pytest
import structlog

from millethead.control.agents import LEASE_S, Agents, AgentSession
from millethead.control.calls import (
    CallAnswer,
    CallerHello,
    CallerWelcome,
    ConfigurationAck,
    ConfigurationCall,
    ConfigurationUpdate,
    HeadAnswer,
    HeadCall,
    InspectCall,
    JobCall,
)
from millethead.control.commit import CommitGate, Committed
from millethead.control.configuration_stream import Caller
from millethead.control.feeder import Clock, Feeder
from millethead.control.head import Head
from millethead.control.housekeeping import KEEP_MORE_S, PURGE_S
from millethead.control.rounds import ROUND_GAP_S
from millethead.control.state import ControlState
from millethead.execution.messages import (
    AgentHello,
    AgentWelcome,
    DesiredRuns,
    EndEntry,
    EndsNoted,
    LeaseGrant,
    LeaseRequest,
    LifeOver,
    Resources,
    RunEnd,
    RunKey,
    RunProgress,
    RunReport,
    WorkerInfo,
    WorkerSuspected,
    WorkerUpdate,
)
from millethead.jobs.commands import AssignRuns, SubmitJob
from millethead.jobs.state import JobPhase
from millethead.replication.place import NO_PLACE, LogPlace
from millethead.replication.view import View
from millethead.rpc.codec import Record, decode_any, encode_any
from millethead.scheduling.model import StepKey
from millethead.scheduling.scheduler import Scheduler

NAME, OTHER = "5c0e7a21d94b36f8", "00000000000000ff"
WALL_MS = 1_760_000_000_000
STATUS_S = 120.0
SETTLE_ROUNDS = 4
LAPSE_S = LEASE_S * 1.05 + 1.0  # by which every lease that was granted before is over
Kind = TypeVar("Kind", bound=Record)


class FakeChain:
    """Commits what has been proposed, and lets barriers pass, when it is told."""

    def __init__(self, state: ControlState, epoch: int = 1) -> None:
        self.state, self.epoch = state, epoch
        self.log: list[Record | None] = []
        self.committed = self.barrier = 0

    def propose(self, payload: bytes) -> tuple[int, object]:
        self.log.append(decode_any(payload))
        return len(self.log), self.state.apply(payload, LogPlace(self.epoch, len(self.log)))

    def send_barrier(self) -> int:
        self.barrier += 1
        return self.barrier


class FakeClock:
    """Steady time and time of day, moved by the test."""

    def __init__(self) -> None:
        self.at = 1000.0
        self.wall_error_ms = 0
        self.calls: list[tuple[float, Callable[[], None]]] = []

    def now(self) -> float:
        return self.at

    def wall_ms(self) -> int:
        return WALL_MS + round((self.at - 1000.0) * 1000) + self.wall_error_ms

    def soon(self, call: Callable[[], None]) -> None:
        self.later(0.0, call)

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        self.calls.append((self.at + delay_s, call))

    def run(self) -> bool:
        """Make the calls that are due; whether there were any."""
        due = [entry for entry in self.calls if entry[0] <= self.at]
        self.calls = [entry for entry in self.calls if entry[0] > self.at]
        for _, call in due:
            call()
        return bool(due)


class FakeLink:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Record] = []
        self.closed = False

    def send(self, record: Record) -> None:
        assert not self.closed
        self.sent.append(record.answer if isinstance(record, HeadAnswer) else record)

    def close(self) -> None:
        self.closed = True

    def take(self, kind: type[Kind]) -> list[Kind]:
        """What was sent of a kind since the last time."""
        found = [record for record in self.sent if isinstance(record, kind)]
        self.sent = [record for record in self.sent if not isinstance(record, kind)]
        return found


def document(version: int = 1, **routes: Any) -> bytes:
    """A configuration with the route `slow` and those named, each of the service alpha unless it says otherwise."""
    listed = [
        {
            "name": name,
            "host": "jobs.example",
            "path_prefix": f"/{name}/",
            "timeout_ms": 3000,
            "target_ms": 500,
            "prio": 1,
            "service": "alpha",
            "retries": 2,
            "skew": 2.0,
            **more,
        }
        for name, more in {"slow": {}, **routes}.items()
    ]
    return json.dumps(
        {"version": version, "routes": listed, "services": [{"name": "alpha"}, {"name": "beta"}]}
    ).encode()


def job(*steps: dict[str, Any], **more: Any) -> bytes:
    return json.dumps(
        {
            "spec": "work",
            "steps": [{"count": 1, "cpu": 1000, "estimate_ms": 500, **step} for step in steps or ({},)],
            **more,
        }
    ).encode()


def worker(instance: str = "i-1", sequence: int = 1, **changes: Any) -> WorkerInfo:
    values: dict[str, Any] = {
        "instance": instance,
        "service": "alpha",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "draining": False,
        "cold_left_ms": 0,
        "capacity": Resources(4000, 8000, 2),
        "labels": ("a", "r1-1"),
        "remaining_ms": -1,
        "sequence": sequence,
        **changes,
    }
    return WorkerInfo(**values)


class Bench:
    """A head with its surroundings. `settle` lets everything commit that is under way."""

    def __init__(
        self, state: ControlState | None = None, clock: FakeClock | None = None, epoch: int = 1, configured: bool = True
    ) -> None:
        self.state = state or ControlState()
        self.clock = clock or FakeClock()
        self.chain = FakeChain(self.state, epoch)
        self.head = Head(View(epoch, (), ()), self.state, self.chain, self.clock, Random(1), STATUS_S)
        self.link = FakeLink()
        self.caller: Caller = self.head.caller_hello(self.link, CallerHello("d1", 0, 0, NO_PLACE, True))
        self._number = 0
        if configured and state is None:
            self.configure(document())

    def commit(self) -> None:
        """Everything that was proposed is committed, and every barrier has passed."""
        self.chain.committed = len(self.chain.log)
        self.head.gate.committed(self.chain.committed)
        self.head.gate.barrier_passed(self.chain.barrier)

    def settle(self) -> None:
        """Everything under way comes to its end; that takes a few rounds of the scheduler."""
        for _ in range(SETTLE_ROUNDS):
            while self.clock.run():
                self.commit()
            self.commit()
            self.clock.at += ROUND_GAP_S

    def pass_time(self, seconds: float, step_s: float = 0.25) -> None:
        """Time passes; every agent that is connected has its lease renewed."""
        until = self.clock.at + seconds
        while self.clock.at < until - 1e-9:
            self.clock.at += step_s
            self.head.tick()
            self.settle()

    def call(self, method: str, name: str = NAME, body: bytes = b"", path: str = "/slow/") -> int:
        self._number += 1
        self.head.call(self.caller, JobCall(self._number, method, "jobs.example", path + name, body))
        return self._number

    def answers(self) -> dict[int, CallAnswer]:
        return {answer.number: answer for answer in self.link.take(CallAnswer)}

    def ask(self, method: str, name: str = NAME, body: bytes = b"", path: str = "/slow/") -> tuple[int, Any]:
        number = self.call(method, name, body, path)
        self.settle()
        answer = self.answers()[number]
        return answer.status, json.loads(answer.body)

    def configure(self, body: bytes, if_match: int | None = 0, method: str = "PUT") -> int:
        self._number += 1
        self.head.call(self.caller, ConfigurationCall(self._number, method, if_match, body))
        number = self._number
        self.settle()
        return self.answers()[number].status

    def agent(self, node: str = "n-1", info: WorkerInfo | None = None, leased: bool = True) -> Agent:
        agent = Agent(self, node)
        self.settle()
        if leased:
            agent.tell(LeaseRequest(1))
        agent.tell(WorkerUpdate(info or worker()))
        self.settle()
        return agent

    def proposed(self, kind: type[Kind]) -> list[Kind]:
        return [record for record in self.chain.log if isinstance(record, kind)]


class Agent:
    """An agent's end of a session."""

    def __init__(self, bench: Bench, node: str) -> None:
        self.bench, self.link = bench, FakeLink()
        self.session: AgentSession = bench.head.agent_hello(self.link, AgentHello(node, 1, 0, "z", "a:1", "alpha"))
        self._sequence = 0

    def tell(self, record: Record) -> None:
        self.bench.head.agent_record(self.session, record)

    def report(self, *ends: EndEntry, progress: tuple[RunProgress, ...] = (), instance: str = "i-1") -> int:
        self._sequence += 1
        self.tell(RunReport(instance, self._sequence, (), ends, progress))
        return self._sequence

    def lists(self) -> list[DesiredRuns]:
        return self.link.take(DesiredRuns)

    def orders(self) -> list[str]:
        """Tasks ordered since the last time, with their runs."""
        return [f"{order.key.task}#{order.key.run}" for desired in self.lists() for order in desired.orders]

    def stops(self) -> list[str]:
        return [f"{key.task}#{key.run}" for desired in self.lists() for key in desired.stops]


def task(index: int = 0, step: int = 0, time: int = 0, name: str = NAME) -> str:
    return f"{name}.{time}.{step}.{index}"


def ended(name: str, run: int, how: RunEnd, number: int = 1, saved: str = "") -> EndEntry:
    return EndEntry(number, RunKey(name, run), how, saved)


# ---- the gate --------------------------------------------------------------------------------------------


class Gate:
    """A gate over a chain that the test moves."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.chain, self.clock = FakeChain(self.state), FakeClock()
        self.gate = CommitGate(self.chain, self.clock.soon)
        self.called: list[str] = []

    def note(self, released: Committed[str]) -> None:
        self.called.append(released.value)

    def propose(self, name: str) -> None:
        self.gate.propose(command())
        self.gate.after_commit(name, self.note)

    def read(self, name: str) -> None:
        self.gate.confirm(name, self.note)

    def commit(self, sequence: int) -> None:
        self.chain.committed = sequence
        self.gate.committed(sequence)


def command() -> AssignRuns:
    return AssignRuns((), 1)


def test_command_is_answered_once_it_is_committed() -> None:
    gate = Gate()
    gate.propose("one")
    gate.propose("two")
    assert gate.gate.uncommitted == 2 and gate.called == []
    gate.commit(1)
    assert gate.called == ["one"]
    gate.commit(2)
    assert gate.called == ["one", "two"] and gate.gate.uncommitted == 0


def test_read_waits_for_a_barrier_sent_after_it_came() -> None:
    gate = Gate()
    gate.read("first")
    gate.clock.run()
    assert gate.chain.barrier == 1
    gate.read("second")
    gate.gate.barrier_passed(1)
    assert gate.called == ["first"]
    gate.clock.run()
    gate.gate.barrier_passed(1)
    assert gate.called == ["first"], "the barrier was sent before the second read came"
    gate.gate.barrier_passed(2)
    assert gate.called == ["first", "second"]


def test_read_waits_for_the_commit_of_what_it_may_have_seen() -> None:
    gate = Gate()
    gate.gate.propose(command())
    gate.read("read")
    gate.clock.run()
    gate.gate.barrier_passed(gate.chain.barrier)
    assert gate.called == []
    gate.commit(1)
    assert gate.called == ["read"]


def test_commit_alone_confirms_no_read() -> None:
    gate = Gate()
    gate.gate.propose(command())
    gate.read("read")
    gate.commit(1)
    assert gate.called == [], "the acknowledgements may be older than the read"


def test_nothing_is_released_once_the_epoch_is_over() -> None:
    gate = Gate()
    gate.propose("command")
    gate.read("read")
    gate.clock.run()
    gate.gate.close()
    gate.commit(1)
    gate.gate.barrier_passed(9)
    gate.clock.run()
    assert gate.called == []


# ---- callers ---------------------------------------------------------------------------------------------


def test_caller_is_welcomed_and_told_the_configuration() -> None:
    bench = Bench()
    link = FakeLink()
    caller = bench.head.caller_hello(link, CallerHello("d2", 0, 0, NO_PLACE, True))
    assert link.take(CallerWelcome)[0].serving
    assert not link.take(ConfigurationUpdate)
    bench.settle()
    assert [update.version for update in link.take(ConfigurationUpdate)] == [1]
    bench.head.caller_record(caller, ConfigurationAck(1, LogPlace(1, 1)))
    assert caller.configuration == 1


def test_caller_that_holds_the_configuration_is_not_told_again() -> None:
    bench = Bench()
    link = FakeLink()
    bench.head.caller_hello(link, CallerHello("d2", 0, 1, LogPlace(1, 1), True))
    bench.settle()
    assert not link.take(ConfigurationUpdate)


def test_new_configuration_goes_to_all_callers_that_are_there() -> None:
    bench = Bench()
    gone = bench.head.caller_hello(FakeLink(), CallerHello("d2", 0, 1, LogPlace(1, 1), True))
    bench.head.caller_gone(gone)
    bench.link.take(ConfigurationUpdate)
    assert bench.configure(document(4), 1) == 200
    assert [update.version for update in bench.link.take(ConfigurationUpdate)] == [4]


def test_call_that_was_sent_to_the_head_of_another_epoch_is_passed_over() -> None:
    """It may have lain in the socket while another head answered it otherwise; only a call of this epoch counts."""
    bench = Bench(epoch=6)
    post = JobCall(70, "POST", "jobs.example", f"/slow/{NAME}", job())
    for epoch in (5, 7):
        bench.head.caller_record(bench.caller, HeadCall(epoch, encode_any(post)))
        bench.settle()
    assert not bench.answers() and not bench.state.jobs.jobs
    bench.head.caller_record(bench.caller, HeadCall(6, encode_any(post)))
    bench.settle()
    assert bench.answers()[70].status == 200


def test_answer_names_the_epoch_of_the_head_that_gives_it() -> None:
    bench = Bench(epoch=6)
    sent: list[Record] = []
    bench.caller.link.link.send = sent.append  # type: ignore[attr-defined]
    bench.call("GET")
    bench.settle()
    assert [(answer.epoch, answer.answer.status) for answer in sent if isinstance(answer, HeadAnswer)] == [(6, 410)]


def test_caller_that_comes_is_never_told_what_is_not_committed() -> None:
    """The barrier has passed, and the entry of version 2 is applied and not committed: it may never be."""
    bench = Bench()
    bench.head.call(bench.caller, ConfigurationCall(77, "PUT", 1, document(2)))
    link = FakeLink()
    bench.head.caller_hello(link, CallerHello("d2", 0, 0, NO_PLACE, True))
    bench.clock.run()
    bench.head.gate.barrier_passed(bench.chain.barrier)
    assert not link.take(ConfigurationUpdate)
    bench.commit()
    (update,) = link.take(ConfigurationUpdate)
    assert (update.version, update.place, update.discard) == (2, LogPlace(1, len(bench.chain.log)), False)


def test_of_two_orders_under_way_each_is_told_with_its_own_commit() -> None:
    bench = Bench()
    bench.link.take(ConfigurationUpdate)
    first = len(bench.chain.log) + 1
    bench.head.call(bench.caller, ConfigurationCall(77, "PUT", 1, document(2)))
    bench.head.call(bench.caller, ConfigurationCall(78, "PUT", 2, document(3)))
    assert len(bench.chain.log) == first + 1
    for sequence, version in ((first, 2), (first + 1, 3)):
        bench.chain.committed = sequence
        bench.head.gate.committed(sequence)
        (update,) = bench.link.take(ConfigurationUpdate)
        assert (update.version, update.place) == (version, LogPlace(1, sequence))
        assert json.loads(update.document)["version"] == version


def test_caller_that_holds_what_was_never_committed_is_told_to_discard_it() -> None:
    bench = Bench(epoch=3)
    link = FakeLink()
    with structlog.testing.capture_logs() as lines:
        bench.head.caller_hello(link, CallerHello("d2", 0, 9, LogPlace(2, 50), True))
        bench.settle()
    (update,) = link.take(ConfigurationUpdate)
    assert update.discard and (update.epoch, update.version) == (3, 1)
    assert [line["event"] for line in lines if line.get("node") == "d2"] == ["caller_configuration_not_committed"]


def test_caller_with_an_older_committed_configuration_discards_nothing() -> None:
    bench = Bench()
    before = bench.state.configuration.place
    assert bench.configure(document(2), 1) == 200
    link = FakeLink()
    bench.head.caller_hello(link, CallerHello("d2", 0, 1, before, True))
    bench.settle()
    assert [(update.version, update.discard) for update in link.take(ConfigurationUpdate)] == [(2, False)]


def test_agent_that_comes_is_not_told_of_a_cancel_that_is_not_committed() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    bench.call("DELETE")
    bench.head.agent_gone(agent.session)
    again = Agent(bench, "n-1")
    bench.clock.run()
    bench.head.gate.barrier_passed(bench.chain.barrier)
    assert not again.link.take(AgentWelcome) and not again.lists()
    bench.commit()
    assert again.link.take(AgentWelcome)
    assert RunKey(task(), 1) in [key for desired in again.lists() for key in desired.stops]


def test_stop_that_waits_for_its_commit_is_part_of_what_a_new_session_is_told() -> None:
    """The whole list is made before the stop is released: it must not have the run begun again."""
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    bench.call("DELETE")
    agent.lists()
    whole = bench.head.agents.whole("i-1")
    assert not whole.orders and whole.stops == (RunKey(task(), 1),)


def test_order_that_builds_on_a_version_to_come_is_refused_for_good() -> None:
    bench = Bench()
    assert bench.configure(document(9), 5) == 412
    assert bench.configure(document(5), 1) == 200
    assert bench.configure(document(9), 5) == 412, "a copy that came late"
    assert bench.state.configuration.version == 5


def test_configuration_is_told_after_its_commit_only() -> None:
    bench = Bench()
    bench.link.take(ConfigurationUpdate)
    bench.head.call(bench.caller, ConfigurationCall(77, "PUT", 1, document(2)))
    bench.clock.run()
    assert not bench.answers() and not bench.link.take(ConfigurationUpdate)
    bench.settle()
    assert bench.answers()[77].status == 200 and bench.link.take(ConfigurationUpdate)


def test_answers_to_the_operator() -> None:
    bench = Bench(configured=False)
    bench.head.call(bench.caller, ConfigurationCall(1, "GET", None, b""))
    bench.settle()
    assert bench.answers()[1].status == 404
    assert bench.configure(b"{", 0) == 400
    assert bench.configure(document(1)) == 200
    assert bench.configure(document(1)) == 200, "the same order again"
    assert bench.configure(document(2)) == 412
    assert bench.configure(document(1, fast={}), 1) == 400, "the version does not rise"
    patch = json.dumps({"version": 5, "delete": {"routes": ["slow"]}}).encode()
    assert bench.configure(patch, 1, "PATCH") == 200
    assert bench.configure(document(1)) == 200, "an accepted order stays so"
    bench.head.call(bench.caller, ConfigurationCall(99, "GET", None, b""))
    bench.settle()
    answer = bench.answers()[99]
    assert answer.status == 200 and json.loads(answer.body)["version"] == 5


def test_no_job_is_taken_before_a_configuration() -> None:
    bench = Bench(configured=False)
    assert bench.ask("POST", body=job())[0] == 503
    assert not bench.proposed(SubmitJob)


@pytest.mark.parametrize(
    ("method", "name", "path", "status"),
    [
        ("POST", NAME, "/nowhere/", 404),
        ("GET", NAME, "/slo", 404),
        ("POST", "XYZ", "/slow/", 404),
        ("GET", NAME[:-1], "/slow/", 404),
        ("GET", NAME, "/slow/", 410),
        ("DELETE", NAME, "/slow/", 410),
        ("PUT", NAME, "/slow/", 405),
        ("POST", "", "/slow/", 405),
    ],
)
def test_refusals(method: str, name: str, path: str, status: int) -> None:
    bench = Bench()
    assert bench.ask(method, name, job(), path)[0] == status
    assert not bench.proposed(SubmitJob)


def test_invalid_job_is_refused_with_all_findings() -> None:
    status, answer = Bench().ask("POST", body=job({"count": 0, "cpu": -1}))
    assert status == 400 and len(answer["findings"]) == 2


def test_job_is_acknowledged_after_its_commit_and_once() -> None:
    bench = Bench()
    first, second = bench.call("POST", body=job()), bench.call("POST", body=job())
    bench.clock.run()
    assert not bench.answers()
    bench.settle()
    assert {number: answer.status for number, answer in bench.answers().items()} == {first: 200, second: 200}
    assert len(bench.proposed(SubmitJob)) == 1


def test_states_as_they_are_shown() -> None:
    bench = Bench()
    bench.ask("POST", body=job())
    assert bench.ask("GET") == (200, {"state": "queued"})
    assert bench.ask("GET", "") == (200, {"pending": 1})
    agent = bench.agent()
    assert bench.ask("GET") == (200, {"state": "running"})
    agent.report(ended(task(), 1, RunEnd.DONE))
    number = bench.call("GET")
    assert number not in bench.answers(), "the end is not committed yet"
    bench.settle()
    assert json.loads(bench.answers()[number].body) == {"state": "done"}
    assert bench.ask("DELETE") == (200, {"state": "done"})
    assert bench.ask("GET", "") == (200, {"pending": 0})


def test_cancel_is_acknowledged_after_its_commit() -> None:
    bench = Bench()
    bench.ask("POST", body=job())
    number = bench.call("DELETE")
    bench.clock.run()
    assert not bench.answers()
    bench.settle()
    assert bench.answers()[number].status == 200
    assert bench.ask("GET") == (200, {"state": "cancelled"})


def test_full_table_refuses_new_jobs_and_knows_the_old_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("millethead.control.callers.MOST_JOBS", 1)
    bench = Bench()
    assert bench.ask("POST", body=job())[0] == 200
    assert bench.ask("POST", OTHER, job())[0] == 429
    assert bench.ask("POST", body=job())[0] == 200
    assert bench.ask("GET", OTHER)[0] == 410


def test_inspection_is_answered() -> None:
    bench = Bench()
    bench.agent()
    bench.head.call(bench.caller, InspectCall(5, "status"))
    bench.settle()
    assert bench.answers()[5].status == 200


# ---- orders ----------------------------------------------------------------------------------------------


def test_agent_is_welcomed_once_this_is_certainly_the_head() -> None:
    bench = Bench(epoch=6)
    agent = Agent(bench, "n-1")
    bench.clock.run()
    assert not agent.link.take(AgentWelcome)
    bench.settle()
    assert [welcome.epoch for welcome in agent.link.take(AgentWelcome)] == [6]


def test_run_is_ordered_after_its_assignment_is_committed() -> None:
    bench = Bench()
    agent = bench.agent()
    agent.lists()
    bench.call("POST", body=job({"count": 2}))
    bench.commit()
    bench.clock.run()
    assert bench.proposed(AssignRuns) and not agent.orders()
    bench.commit()
    orders = [order for desired in agent.lists() for order in desired.orders]
    assert {order.key.task for order in orders} == {task(0), task(1)}
    assert all(order.spec == "work" and order.needs == Resources(1000, 0, 0) for order in orders)


def test_time_that_an_agent_measured_is_told_to_the_scheduler() -> None:
    """Reported ends, not the times at which they come, say how fast a worker is."""
    bench = Bench()
    agent = bench.agent()
    assert bench.ask("POST", body=job({"count": 3}))[0] == 200
    bench.clock.at += 60.0
    agent.report(*(replace(ended(task(index), 1, RunEnd.DONE, index + 1), ran_ms=500) for index in range(3)))
    bench.settle()
    assert bench.head.scheduler.health._workers["i-1"].samples == 3
    assert bench.head.scheduler.health._workers["i-1"].pace == pytest.approx(0.0)


def test_change_of_a_workers_standing_is_logged_once() -> None:
    bench = Bench()
    bench.agent()
    for number in range(3):
        bench.head.scheduler.health.run_ended((StepKey(f"j{number}", 0, 0), 0, "i-1"), RunEnd.FAILED, bench.clock.at)
    with structlog.testing.capture_logs() as lines:
        bench.pass_time(1.5)
    (line,) = [line for line in lines if line["event"] == "worker_standing"]
    assert (line["instance"], line["standing"], line["cause"]) == ("i-1", "avoided", "fails")


def look_gaps(*steps: dict[str, Any]) -> list[int]:
    """The least time between two looks that each run of a job asks for (ms)."""
    bench = Bench()
    agent = bench.agent()
    agent.lists()
    assert bench.ask("POST", body=job(*steps))[0] == 200
    return [order.look_gap_ms for desired in agent.lists() for order in desired.orders]


def test_order_says_how_late_its_end_may_be_known() -> None:
    assert look_gaps({}) == [250]  # a quarter of (2.0 - 1) x 500 ms + 500 ms
    assert look_gaps({}, {"deps": [0]}) == [187]  # half of a quarter of 1,000 + 500 ms
    assert look_gaps({"long_running": True}) == [500]
    assert look_gaps({"estimate_ms": 60_000}) == [1200]


def test_new_session_is_not_told_of_runs_that_are_not_committed() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.call("POST", body=job())
    bench.commit()
    bench.clock.run()
    assert bench.proposed(AssignRuns)
    again = Agent(bench, "n-1")
    bench.head.gate.barrier_passed(bench.chain.barrier)
    again.tell(WorkerUpdate(worker()))
    assert not again.orders()
    bench.settle()
    assert set(again.orders()) == {f"{task()}#1"} and agent.link.closed


def test_next_run_has_a_higher_number_and_the_checkpoint() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job({"checkpoints": True}))
    assert agent.orders() == [f"{task()}#1"]
    agent.report(progress=(RunProgress(RunKey(task(), 1), "half", 50),))
    agent.report(ended(task(), 1, RunEnd.LAPSED))
    bench.settle()
    orders = [order for desired in agent.lists() for order in desired.orders]
    assert [(order.key.run, order.checkpoint) for order in orders] == [(2, "half")]


def test_ends_are_noted_after_their_commit() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    sequence = agent.report(ended(task(), 1, RunEnd.DONE))
    bench.clock.run()
    assert not agent.link.take(EndsNoted)
    bench.settle()
    assert [noted.sequence for noted in agent.link.take(EndsNoted)] == [sequence]


def test_end_that_was_committed_before_is_noted_again() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    for _ in range(2):
        sequence = agent.report(ended(task(), 1, RunEnd.DONE))
        bench.settle()
        assert [noted.sequence for noted in agent.link.take(EndsNoted)] == [sequence]
    assert bench.state.jobs.jobs[NAME].phase is JobPhase.DONE


def test_ends_of_other_runs_lives_and_jobs_change_nothing() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    agent.report(ended(task(), 7, RunEnd.DONE))
    agent.report(ended(task(), 1, RunEnd.DONE), instance="i-0")
    agent.report(ended(task(name=OTHER), 1, RunEnd.DONE))
    agent.report(ended("no task", 1, RunEnd.DONE))
    bench.settle()
    assert len(agent.link.take(EndsNoted)) == 4
    assert bench.state.jobs.jobs[NAME].phase is JobPhase.RUNNING


def test_room_is_free_at_the_listed_end_not_at_the_stop() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job({"cpu": 4000}))
    bench.ask("POST", OTHER, job({"cpu": 4000}))
    assert agent.orders() == [f"{task()}#1"]
    bench.ask("DELETE")
    assert agent.stops() == [f"{task()}#1"]
    bench.pass_time(2.0)
    assert not agent.orders()
    agent.report(ended(task(), 1, RunEnd.STOPPED))
    bench.settle()
    assert agent.orders() == [f"{task(name=OTHER)}#1"]


def test_run_that_is_cancelled_before_its_commit_is_stopped_not_ordered() -> None:
    bench = Bench()
    agent = bench.agent()
    agent.lists()
    bench.call("POST", body=job())
    bench.commit()
    bench.clock.run()
    bench.call("DELETE")
    bench.settle()
    lists = agent.lists()
    assert not [order for desired in lists for order in desired.orders]
    assert [key for desired in lists for key in desired.stops] == [RunKey(task(), 1)]


def test_steps_wait_for_those_they_depend_on() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job({"count": 2}, {"deps": [0]}))
    assert sorted(agent.orders()) == [f"{task(0)}#1", f"{task(1)}#1"]
    agent.report(ended(task(0), 1, RunEnd.DONE))
    bench.settle()
    assert not agent.orders()
    agent.report(ended(task(1), 1, RunEnd.DONE, 2))
    bench.settle()
    assert agent.orders() == [f"{task(0, 1)}#1"]


def test_queue_that_was_dropped_keeps_its_jobs() -> None:
    bench = Bench()
    bench.ask("POST", body=job())
    assert bench.configure(document(2, fast={}).replace(b'"/slow/"', b'"/other/"'), 1) == 200
    agent = bench.agent()
    assert agent.orders() == [f"{task()}#1"]
    assert bench.ask("GET")[0] == 404


# ---- gangs -----------------------------------------------------------------------------------------------


def test_gang_is_placed_whole_or_not_at_all() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job({"count": 5, "gang": True}))
    assert not agent.orders()
    other = bench.agent("n-2", worker("i-2", capacity=Resources(1000, 8000, 0)))
    orders = agent.orders() + other.orders()
    assert sorted(orders) == [f"{task(index)}#1" for index in range(5)]


def test_members_of_a_gang_share_the_run_above_all_of_theirs() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job({"count": 2, "gang": True}))
    agent.lists()
    agent.report(ended(task(0), 1, RunEnd.FAILED), ended(task(1), 1, RunEnd.BROKEN, 2))
    bench.pass_time(2.0)
    assert sorted(agent.orders()) == [f"{task(0)}#2", f"{task(1)}#2"]


def test_gang_of_which_one_ends_is_stopped_and_starts_again_once_all_have_ended() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job({"count": 3, "gang": True}))
    agent.lists()
    agent.report(ended(task(1), 1, RunEnd.NEVER, 0))
    bench.settle()
    assert sorted(agent.stops()) == [f"{task(0)}#1", f"{task(2)}#1"]
    agent.report(ended(task(0), 1, RunEnd.STOPPED))
    bench.pass_time(2.0)
    assert not agent.orders()
    agent.report(ended(task(2), 1, RunEnd.STOPPED, 2))
    bench.pass_time(2.0)
    assert sorted(agent.orders()) == [f"{task(index)}#2" for index in range(3)]


def test_gang_that_failed_where_it_fits_alone_goes_there_again() -> None:
    """A gang waits for workers on which it has not failed, but not for ever."""
    bench = Bench()
    first = bench.agent()
    second = bench.agent("n-2", worker("i-2"))
    bench.ask("POST", OTHER, job({"cpu": 4000, "long_running": True}))
    free = second if first.orders() else first
    free.lists()
    instance = "i-2" if free is second else "i-1"
    bench.ask("POST", body=job({"count": 2, "gang": True, "cpu": 2000}))
    assert sorted(free.orders()) == [f"{task(0)}#1", f"{task(1)}#1"]
    free.report(ended(task(0), 1, RunEnd.FAILED), ended(task(1), 1, RunEnd.BROKEN, 2), instance=instance)
    bench.pass_time(3.0)
    assert sorted(free.orders()) == [f"{task(0)}#2", f"{task(1)}#2"]


# ---- times and pauses ------------------------------------------------------------------------------------


def timed(repeats: int, delay_ms: int, interval_ms: int, *steps: dict[str, Any]) -> bytes:
    return job(*steps, repeats=repeats, delay_ms=WALL_MS + delay_ms, interval_ms=interval_ms)


def test_times_start_when_they_are_due() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=timed(2, 4000, 3000))
    while bench.clock.wall_ms() < WALL_MS + 3500:
        bench.pass_time(0.1)
        assert not agent.orders()
    bench.pass_time(1.5)
    assert agent.orders() == [f"{task()}#1"]
    bench.pass_time(3.0)
    assert agent.orders() == [f"{task(time=1)}#1"], "times may overlap"


def test_times_without_a_run_outlive_the_head() -> None:
    """Time 0 finds no room, time 1 does; a head that knows only what is committed must run both."""
    bench = Bench()
    bench.agent()
    bench.ask("POST", OTHER, job({"cpu": 4000}))
    bench.ask("POST", body=timed(2, 100, 100))
    bench.pass_time(1.0)
    state = ControlState()
    state.restore(bench.state.snapshot())
    times = state.jobs.jobs[NAME].times
    for time in list(times):
        del times[time]
    state.jobs.jobs[NAME].at_time(1)  # as on a member that has seen a run of time 1 only
    bench.head.close()
    successor = Bench(state, bench.clock, epoch=2)
    agent = successor.agent("n-2", worker("i-2"))
    successor.pass_time(1.0)
    assert sorted(agent.orders()) == [f"{task()}#1", f"{task(time=1)}#1"]


def test_lasting_task_is_started_again_within_three_seconds() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job({"long_running": True}))
    for number in range(1, 9):
        bench.pass_time(0.0)
        waited = 0.0
        while f"{task()}#{number}" not in agent.orders():
            bench.pass_time(0.25)
            waited += 0.25
            assert waited <= 2.75, f"run {number} waits for {waited} s"
        agent.report(ended(task(), number, RunEnd.FAILED, number))
        bench.settle()


def test_rejected_task_rests_a_little() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    agent.lists()
    agent.report(ended(task(), 1, RunEnd.NEVER, 0))
    bench.settle()
    assert not agent.orders()
    bench.pass_time(0.5)
    assert agent.orders() == [f"{task()}#2"]


# ---- lives and leases ------------------------------------------------------------------------------------


def test_lease_is_granted_once_this_is_certainly_the_head() -> None:
    bench = Bench()
    agent = bench.agent(leased=False)
    agent.tell(LeaseRequest(12_345))
    bench.clock.run()
    assert not agent.link.take(LeaseGrant)
    bench.settle()
    (grant,) = agent.link.take(LeaseGrant)
    assert grant.sent_ms == 12_345 and grant.lease_ms == LEASE_S * 1000


def test_runs_outlive_a_lost_session_until_the_lease_is_over() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    bench.head.agent_gone(agent.session)
    other = bench.agent("n-2", worker("i-2"))
    bench.pass_time(LEASE_S)
    assert not other.orders()
    bench.pass_time(LAPSE_S - LEASE_S)
    assert other.orders() == [f"{task()}#2"]


def test_lease_of_an_earlier_head_is_waited_for() -> None:
    bench = Bench()
    bench.agent()
    bench.ask("POST", body=job())
    state = ControlState()
    state.restore(bench.state.snapshot())
    successor = Bench(state, bench.clock, epoch=2)
    other = successor.agent("n-2", worker("i-2"))
    successor.pass_time(LEASE_S)
    assert not other.orders()
    successor.pass_time(LAPSE_S - LEASE_S)
    assert other.orders() == [f"{task()}#2"]


def test_lapse_ends_the_session_in_which_the_orders_went_out() -> None:
    """An agent that stood still for longer than its lease must not start what has been given to others since, though
    its connection still stands."""
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    bench.agent("n-2", worker("i-2"))
    bench.pass_time(LAPSE_S + 1.0)
    assert agent.link.closed


def test_no_lease_is_granted_in_a_session_that_has_ended() -> None:
    bench = Bench()
    agent = bench.agent()
    agent.link.take(LeaseGrant)
    agent.tell(LeaseRequest(5000))
    again = Agent(bench, "n-1")
    bench.settle()
    assert not [record for record in agent.link.sent if isinstance(record, LeaseGrant)]
    assert again.link.take(AgentWelcome)


def test_nothing_is_given_to_an_agent_that_has_no_lease_yet() -> None:
    bench = Bench()
    bench.pass_time(LAPSE_S)
    agent = bench.agent(leased=False)
    bench.ask("POST", body=job())
    assert not agent.orders()
    agent.tell(LeaseRequest(1))
    bench.settle()
    assert agent.orders() == [f"{task()}#1"]


def test_worker_comes_back_after_its_lease_was_over() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    bench.pass_time(LAPSE_S + 1.0)
    bench.head.agent_gone(agent.session)
    again = bench.agent()
    bench.pass_time(1.0)
    assert again.orders() == [f"{task()}#2"]


def test_life_that_is_over_frees_its_runs_at_once() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    agent.lists()
    agent.tell(LifeOver("i-1"))
    agent.tell(WorkerUpdate(worker("i-2")))
    bench.settle()
    assert agent.orders() == [f"{task()}#2"]


def test_new_life_at_a_node_ends_the_one_before() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    agent.lists()
    agent.tell(WorkerUpdate(worker("i-2")))
    bench.settle()
    assert agent.orders() == [f"{task()}#2"]


def test_worker_that_left_gets_nothing() -> None:
    bench = Bench()
    agent = bench.agent()
    agent.lists()
    agent.tell(WorkerUpdate(None))
    bench.ask("POST", body=job())
    assert not agent.orders()


def test_suspected_worker_gets_nothing_until_it_answers_again() -> None:
    bench = Bench()
    agent = bench.agent()
    agent.lists()
    agent.tell(WorkerSuspected("i-1", 900))
    bench.ask("POST", body=job())
    bench.pass_time(1.0)
    assert not agent.orders()
    bench.pass_time(2.0)
    assert agent.orders() == [f"{task()}#1"]


def test_draining_worker_gets_nothing_and_what_cannot_end_there_is_stopped() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job({"estimate_ms": 1000}))
    bench.ask("POST", OTHER, job({"estimate_ms": 60_000}))
    agent.lists()
    agent.tell(WorkerUpdate(worker(draining=True, remaining_ms=5000, sequence=2)))
    bench.settle()
    assert agent.stops() == [f"{task(name=OTHER)}#1"]
    bench.ask("POST", "a" * 16, job())
    assert not agent.orders()


def test_new_session_is_told_whole_with_what_is_to_be_stopped() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    bench.ask("POST", OTHER, job())
    bench.ask("DELETE", OTHER)
    bench.head.agent_gone(agent.session)
    again = bench.agent()
    whole = [desired for desired in again.lists() if desired.whole]
    assert whole and all(desired.instance == "i-1" for desired in whole)
    assert [order.key for order in whole[-1].orders] == [RunKey(task(), 1)]
    assert whole[-1].stops == (RunKey(task(name=OTHER), 1),)


def test_later_session_of_a_node_takes_the_place_of_the_earlier_one() -> None:
    bench = Bench()
    first = bench.agent()
    second = bench.agent()
    assert first.link.closed
    bench.head.agent_gone(first.session)
    assert bench.head.agents.sessions["n-1"] is second.session


# ---- epochs ----------------------------------------------------------------------------------------------


def test_new_head_goes_on_with_what_runs() -> None:
    bench = Bench()
    bench.agent()
    bench.ask("POST", body=job({"count": 2, "cpu": 2000}, {"deps": [0]}))
    bench.ask("POST", OTHER, job({"cpu": 2000}))
    state = ControlState()
    state.restore(bench.state.snapshot())
    successor = Bench(state, bench.clock, epoch=2)
    agent = successor.agent()
    assert sorted(set(agent.orders())) == [f"{task(0)}#1", f"{task(1)}#1"], "there is no room for more"
    agent.report(ended(task(0), 1, RunEnd.DONE), ended(task(1), 1, RunEnd.DONE, 2))
    successor.settle()
    assert set(agent.orders()) == {f"{task(0, 1)}#1", f"{task(name=OTHER)}#1"}


def test_head_whose_epoch_is_over_answers_and_orders_nothing() -> None:
    bench = Bench()
    agent = bench.agent()
    agent.lists()
    bench.call("POST", body=job())
    bench.call("GET", OTHER)
    agent.tell(LeaseRequest(9000))
    agent.link.take(LeaseGrant)
    bench.head.close()
    bench.settle()
    assert not bench.answers() and not agent.link.take(LeaseGrant) and not agent.orders()


def test_ended_jobs_are_forgotten_late() -> None:
    bench = Bench()
    agent = bench.agent()
    bench.ask("POST", body=job())
    agent.report(ended(task(), 1, RunEnd.DONE))
    bench.settle()
    bench.pass_time(STATUS_S, 1.0)
    assert bench.ask("GET") == (200, {"state": "done"})
    bench.pass_time(KEEP_MORE_S + PURGE_S + 1.0, 1.0)
    assert bench.ask("GET")[0] == 410
    assert not bench.state.jobs.jobs


# ---- feeder and agents by themselves ---------------------------------------------------------------------


def test_feeder_wakes_when_the_next_time_is_due() -> None:
    state = ControlState()
    feeder = Feeder(state.jobs, Scheduler(Random(1)), lambda run: None)
    bench = Bench()
    bench.ask("POST", body=timed(3, 1000, 500))
    feeder = bench.head.feeder
    clock = Clock(500.0, WALL_MS)
    assert feeder.next_wake(clock) == pytest.approx(501.0)
    assert not feeder.wake(clock)
    assert feeder.wake(Clock(501.2, WALL_MS + 1200))
    assert feeder.next_wake(Clock(501.2, WALL_MS + 1200)) == pytest.approx(501.5)


def test_scheduler_forgets_a_job_that_is_over() -> None:
    bench = Bench()
    bench.ask("POST", body=job({"count": 3}))
    assert bench.head.scheduler.why_waiting(StepKey(NAME, 0, 0), 0, bench.clock.at).value != "not waiting"
    bench.ask("DELETE")
    assert bench.head.scheduler.why_waiting(StepKey(NAME, 0, 0), 0, bench.clock.at).value == "not waiting"
    assert not bench.head.feeder._steps


def test_lease_counts_from_the_begin_of_the_epoch_where_none_was_granted() -> None:
    agents = Agents(ControlState().jobs, 100.0)
    assert not agents.lapsed("n-1", 100.0 + LEASE_S)
    assert agents.lapsed("n-1", 100.0 + LAPSE_S)
