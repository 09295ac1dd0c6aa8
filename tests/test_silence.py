"""Agents that say nothing: found out soon, used no more, and what may run twice goes on elsewhere."""

from __future__ import annotations

from test_head import NAME, OTHER, Agent, Bench, ended, job, task, worker

from millethead.control.agent_watch import RETURN_S
from millethead.control.silence import SILENT_S, STALL_S, Silences
from millethead.execution.messages import LeaseRequest, RunEnd, RunReport, WorkerSuspected

STEP_S = 0.1


def look_until(silences: Silences, begin: float, end: float) -> list[str]:
    """Look again and again, as the head does."""
    found: list[str] = []
    now = begin
    while now < end:
        found += silences.look(now)
        now += STEP_S
    return found


def two_agents() -> tuple[Bench, Agent, Agent]:
    """A head with two agents; the first has room for all that comes, the second is connected but takes nothing yet."""
    bench = Bench()
    first = bench.agent("n-1", worker("i-1"))
    return bench, first, bench.agent("n-2", worker("i-2"))


def run_on_first(bench: Bench, first: Agent, second: Agent, **step: bool) -> tuple[Agent, Agent]:
    """Have a job run, and return the agent that has it first."""
    bench.ask("POST", body=job(step))
    at_first, at_second = first.orders(), second.orders()
    assert len(at_first + at_second) == 1
    return (first, second) if at_first else (second, first)


def pass_time(bench: Bench, seconds: float, *alive: Agent) -> None:
    """Time passes in small steps; agents that are alive ask for their leases."""
    until = bench.clock.at + seconds
    while bench.clock.at < until:
        for agent in alive:
            agent.tell(LeaseRequest(1))
        bench.pass_time(STEP_S, STEP_S)


def test_node_is_silent_once_a_word_of_it_has_stayed_away() -> None:
    silences = Silences(0.0)
    silences.await_word("n", 0.0)
    silences.await_word("n", 0.3)  # the first order counts
    assert look_until(silences, 0.0, SILENT_S) == []
    assert silences.look(SILENT_S + 0.01) == ["n"] and silences.is_silent("n")
    assert silences.look(SILENT_S + 0.05) == []  # told once
    assert silences.heard("n") and not silences.is_silent("n")


def test_word_ends_the_wait() -> None:
    silences = Silences(0.0)
    silences.await_word("n", 0.0)
    assert not silences.heard("n")
    assert look_until(silences, 0.0, 2.0) == []


def test_nobody_is_silent_where_the_head_itself_stood_still() -> None:
    silences = Silences(0.0)
    silences.await_word("n", 0.0)
    assert silences.look(STALL_S + 3.0) == []
    assert look_until(silences, STALL_S + 3.0, STALL_S + 3.0 + SILENT_S) == []
    assert silences.look(STALL_S + 3.0 + SILENT_S + 0.02) == ["n"]


def test_idempotent_run_of_a_silent_agent_goes_on_elsewhere() -> None:
    bench, first, second = two_agents()
    holder, other = run_on_first(bench, first, second, idempotent=True)
    pass_time(bench, SILENT_S + 3 * STEP_S, other)
    assert other.orders() == [f"{task()}#2"]
    assert holder.stops() == [f"{task()}#1"]  # for when it reads again


def test_other_run_of_a_silent_agent_stays_until_its_lease_is_over() -> None:
    bench, first, second = two_agents()
    _, other = run_on_first(bench, first, second)
    pass_time(bench, 3.0, other)
    assert not other.orders()


def test_silent_agent_gets_nothing_new_until_it_is_heard() -> None:
    bench, first, second = two_agents()
    holder, other = run_on_first(bench, first, second)
    pass_time(bench, SILENT_S + 3 * STEP_S, other)
    bench.ask("POST", OTHER, job({"count": 4}))
    assert len(other.orders()) == 4 and not holder.orders()
    holder.report(ended(task(), 1, RunEnd.DONE), instance="i-1" if holder is first else "i-2")
    bench.ask("POST", "a" * 16, job({"count": 4}))
    bench.settle()
    assert len(holder.orders()) == 4


def test_agent_that_answers_keeps_its_idempotent_run() -> None:
    bench, first, second = two_agents()
    holder, other = run_on_first(bench, first, second, idempotent=True)
    holder.tell(RunReport("i-1", 1, (), (), ()))
    pass_time(bench, 3.0, other)  # nothing is asked of it meanwhile
    assert not other.orders() and not holder.stops()


def test_idempotent_run_at_a_worker_that_does_not_answer_goes_on_elsewhere() -> None:
    bench, first, second = two_agents()
    holder, other = run_on_first(bench, first, second, idempotent=True)
    holder.tell(WorkerSuspected("i-1" if holder is first else "i-2", 900))
    bench.settle()
    assert other.orders() == [f"{task()}#2"]


def test_end_of_a_given_up_run_is_passed_over_and_the_job_is_done_by_the_other() -> None:
    bench, first, second = two_agents()
    holder, other = run_on_first(bench, first, second, idempotent=True)
    pass_time(bench, SILENT_S + 3 * STEP_S, other)
    assert other.orders() == [f"{task()}#2"]
    holder.report(ended(task(), 1, RunEnd.DONE), instance="i-1" if holder is first else "i-2")
    bench.settle()
    assert bench.ask("GET", NAME)[1]["state"] == "running"
    other.report(ended(task(), 2, RunEnd.DONE), instance="i-2" if holder is first else "i-1")
    bench.settle()
    assert bench.ask("GET", NAME)[1]["state"] == "done"


def test_new_head_gives_up_idempotent_runs_of_agents_that_do_not_come() -> None:
    bench, first, second = two_agents()
    holder, _ = run_on_first(bench, first, second, idempotent=True)
    later = Bench(bench.state, bench.clock, epoch=2)
    node, instance = ("n-2", "i-2") if holder is first else ("n-1", "i-1")
    other = later.agent(node, worker(instance))
    pass_time(later, RETURN_S - STEP_S, other)
    assert not other.orders()
    pass_time(later, SILENT_S + 4 * STEP_S, other)
    assert other.orders() == [f"{task()}#2"]
