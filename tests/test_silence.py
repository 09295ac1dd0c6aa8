"""Tests of the failure detector: unresponsive agents are detected soon and get no new runs until they respond."""

from __future__ import annotations

from test_head import OTHER, Agent, HeadHarness, ended, job, task, worker

from millethead.control.failure_detector import RESPONSE_TIMEOUT_S, STALL_THRESHOLD_S, FailureDetector
from millethead.execution.messages import LeaseRequest, RunEnd

STEP_S = 0.1


def check_until(failure_detector: FailureDetector, begin: float, end: float) -> list[str]:
    """Run the check repeatedly, as the head does."""
    found: list[str] = []
    now = begin
    while now < end:
        found += failure_detector.check(now)
        now += STEP_S
    return found


def two_agents() -> tuple[HeadHarness, Agent, Agent]:
    """Return a head with two agents, each with a free worker."""
    harness = HeadHarness()
    first = harness.agent("n-1", worker("i-1"))
    return harness, first, harness.agent("n-2", worker("i-2"))


def run_on_first(harness: HeadHarness, first: Agent, second: Agent, **step: bool) -> tuple[Agent, Agent]:
    """Run a job; return the agent that got it, then the other one."""
    harness.ask("POST", body=job(step))
    at_first, at_second = first.orders(), second.orders()
    assert len(at_first + at_second) == 1
    return (first, second) if at_first else (second, first)


def pass_time(harness: HeadHarness, seconds: float, *responsive: Agent) -> None:
    """Advance the time in small steps; the given agents keep requesting leases."""
    until = harness.clock.at + seconds
    while harness.clock.at < until:
        for agent in responsive:
            agent.send(LeaseRequest(1))
        harness.pass_time(STEP_S, STEP_S)


def test_node_is_unresponsive_after_the_response_timeout() -> None:
    failure_detector = FailureDetector(0.0)
    failure_detector.expect_response("n", 0.0)
    failure_detector.expect_response("n", 0.3)  # the time of the first order counts
    assert check_until(failure_detector, 0.0, RESPONSE_TIMEOUT_S) == []
    assert failure_detector.check(RESPONSE_TIMEOUT_S + 0.01) == ["n"] and failure_detector.is_unresponsive("n")
    assert failure_detector.check(RESPONSE_TIMEOUT_S + 0.05) == []  # reported once
    assert failure_detector.record_response("n") and not failure_detector.is_unresponsive("n")


def test_response_in_time_clears_the_deadline() -> None:
    failure_detector = FailureDetector(0.0)
    failure_detector.expect_response("n", 0.0)
    assert not failure_detector.record_response("n")
    assert check_until(failure_detector, 0.0, 2.0) == []


def test_stall_of_the_head_extends_all_deadlines() -> None:
    failure_detector = FailureDetector(0.0)
    failure_detector.expect_response("n", 0.0)
    assert failure_detector.check(STALL_THRESHOLD_S + 3.0) == []
    assert check_until(failure_detector, STALL_THRESHOLD_S + 3.0, STALL_THRESHOLD_S + 3.0 + RESPONSE_TIMEOUT_S) == []
    assert failure_detector.check(STALL_THRESHOLD_S + 3.0 + RESPONSE_TIMEOUT_S + 0.02) == ["n"]


def test_run_of_an_unresponsive_agent_stays_while_its_lease_is_valid() -> None:
    harness, first, second = two_agents()
    _, other = run_on_first(harness, first, second)
    pass_time(harness, 3.0, other)
    assert not other.orders()


def test_agent_without_an_order_is_not_expected_to_respond() -> None:
    """The job of the only order is cancelled before its assignment is committed, so the agent is sent no order."""
    harness = HeadHarness()
    agent = harness.agent("n-1", worker("i-1"))
    agent.desired_runs()
    harness.call("POST", body=job())
    harness.commit()
    harness.clock.run()  # the scheduling pass proposes the assignment
    harness.call("DELETE")
    harness.settle()
    assert not agent.orders()
    agent.report(ended(task(), 1, RunEnd.NEVER))
    harness.settle()
    pass_time(harness, RESPONSE_TIMEOUT_S + 3 * STEP_S)
    harness.ask("POST", OTHER, job())
    assert agent.orders() == [f"{task(name=OTHER)}#1"]


def test_disconnected_agent_gets_no_new_runs() -> None:
    harness, first, second = two_agents()
    harness.head.agent_disconnected(first.session)
    harness.ask("POST", OTHER, job({"count": 4}))
    assert len(second.orders()) == 4
    harness.ask("POST", "a" * 16, job())
    again = harness.agent("n-1", worker("i-1", 2))
    harness.settle()
    assert again.orders() == [f"{task(name='a' * 16)}#1"]


def test_unresponsive_agent_gets_no_new_runs_until_it_responds() -> None:
    harness, first, second = two_agents()
    assigned, other = run_on_first(harness, first, second)
    pass_time(harness, RESPONSE_TIMEOUT_S + 3 * STEP_S, other)
    harness.ask("POST", OTHER, job({"count": 4}))
    assert len(other.orders()) == 4 and not assigned.orders()
    assigned.report(ended(task(), 1, RunEnd.DONE), instance="i-1" if assigned is first else "i-2")
    harness.ask("POST", "a" * 16, job({"count": 4}))
    harness.settle()
    assert len(assigned.orders()) == 4
