"""Agents that say nothing: found out soon, and used no more until they are heard."""

from __future__ import annotations

from test_head import OTHER, Agent, Bench, ended, job, task, worker

from millethead.control.silence import SILENT_S, STALL_S, Silences
from millethead.execution.messages import LeaseRequest, RunEnd

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


def test_run_of_a_silent_agent_stays_until_its_lease_is_over() -> None:
    bench, first, second = two_agents()
    _, other = run_on_first(bench, first, second)
    pass_time(bench, 3.0, other)
    assert not other.orders()


def test_no_word_is_awaited_of_an_agent_that_was_told_nothing() -> None:
    """The only order's job was cancelled before its assignment was committed."""
    bench = Bench()
    agent = bench.agent("n-1", worker("i-1"))
    agent.lists()
    bench.call("POST", body=job())
    bench.commit()
    bench.clock.run()  # the round proposes the assignment
    bench.call("DELETE")
    bench.settle()
    assert not agent.orders()
    agent.report(ended(task(), 1, RunEnd.NEVER))
    bench.settle()
    pass_time(bench, SILENT_S + 3 * STEP_S)
    bench.ask("POST", OTHER, job())
    assert agent.orders() == [f"{task(name=OTHER)}#1"]


def test_agent_whose_connection_has_ended_gets_nothing_new() -> None:
    bench, first, second = two_agents()
    bench.head.agent_gone(first.session)
    bench.ask("POST", OTHER, job({"count": 4}))
    assert len(second.orders()) == 4
    bench.ask("POST", "a" * 16, job())
    again = bench.agent("n-1", worker("i-1", 2))
    bench.settle()
    assert again.orders() == [f"{task(name='a' * 16)}#1"]


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
