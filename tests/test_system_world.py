"""The whole system in virtual time: seeded histories that must hold, and mutants of the rules that must be caught."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any

import pytest

from millethead.control.agents import AgentRegistry, AgentSession, WorkerOrders
from millethead.control.call_handler import CallHandler, Reply
from millethead.control.caller_fence import CallerFence
from millethead.control.calls import CallAnswer, JobCall
from millethead.control.commit import CommitGate, Committed
from millethead.control.head import Head
from millethead.control.scheduler_sync import SchedulerSync
from millethead.control.scheduling_loop import SchedulingLoop
from millethead.execution.actions import Action
from millethead.execution.agent import Agent
from millethead.execution.call_planner import CallPlanner
from millethead.execution.messages import EndsNoted, RunEnd, RunOrder, WorkerInfo
from millethead.execution.runs import Run, RunState
from millethead.execution.worker_instance import WorkerInstance
from millethead.jobs.commands import AssignRuns, EndedRun, TaskRun
from millethead.jobs.state import JobTable, Outcome
from millethead.lab.system_clients import Operator
from millethead.lab.system_clock import MachineClock, true_wall_ms
from millethead.lab.system_world import WorldSettings, play
from millethead.scheduling.model import WorkerState

SEEDS = range(24)
MUTANT_SEEDS = 12  # histories in which a mutant must be caught at the latest

Patch = pytest.MonkeyPatch


@pytest.mark.parametrize("seed", SEEDS)
def test_history_holds(seed: int) -> None:
    history = play(seed)
    assert not history.fault, history.disruptions
    assert history.starts > 0


def test_quiet_history_finishes_every_job_that_can_be_done() -> None:
    history = play(7, WorldSettings(kinds=()))
    assert not history.fault
    assert history.done >= 10


def test_history_is_the_same_again() -> None:
    first, second = play(3), play(3)
    assert (first.events, first.starts, first.ends) == (second.events, second.starts, second.ends)


# ---- mutants ---------------------------------------------------------------------------------------------


def hold_without_lease(patch: Patch) -> None:
    """The hold is renewed though the lease is over."""
    real = WorkerInstance.renewal_deadline
    patch.setattr(
        WorkerInstance,
        "renewal_deadline",
        lambda worker, lease_end, hold_max_ms, now: real(worker, now + 1e3, hold_max_ms, now),
    )


def noted_before_commit(patch: Patch) -> None:
    """Ends are taken note of before they are committed."""

    def report(head: Head, session: AgentSession, record: Any) -> None:
        if record.ends:
            session.link.send(Committed(EndsNoted(record.instance, record.sequence), 0))
        real(head, session, record)

    real = Head._runs_reported
    patch.setattr(Head, "_runs_reported", report)


def run_number_reused(patch: Patch) -> None:
    """A task's next run has the number of its last one."""

    def number(scheduler_sync: SchedulerSync, placement: Any, gangs: Any) -> int:
        key = placement.key
        step = scheduler_sync._jobs.jobs[key.job].at_time(key.time).steps[key.step]
        return max(1, step.tasks[placement.index].run)

    def assign(table: JobTable, command: AssignRuns) -> Outcome:
        for assignment in command.assignments:
            task = table.task(assignment.run)
            if task is not None and task.run >= assignment.run.run:
                task.run = assignment.run.run - 1
        return real(table, command)

    real = JobTable.assign
    patch.setattr(SchedulerSync, "_run_number", number)
    patch.setattr(JobTable, "assign", assign)


def room_freed_at_stop(patch: Patch) -> None:
    """The room of a run counts as free once it is being stopped."""

    def stop(head: Head, run: TaskRun) -> None:
        real(head, run)
        task = head.state.jobs.task(run)
        booked = head.scheduler._hosts.get(task.instance) if task is not None else None
        step = head.state.jobs.jobs[run.job].description.steps[run.step]
        if booked is not None:
            head.scheduler._pool(booked.state.service).hosts.release(booked, step.needs)

    def at_worker(run: Run) -> bool:
        return run.state in (RunState.STARTING, RunState.RUNNING)

    real = Head._stop_run
    patch.setattr(Head, "_stop_run", stop)
    patch.setattr(
        "millethead.execution.runs.RunTable.fits",
        lambda table, run, capacity: (
            sum(
                other.order.needs.cpu
                for other in table
                if other.order is not None and at_worker(other) and other is not run
            )
            + run.order.needs.cpu
            <= capacity.cpu
            if run.order is not None
            else False
        ),
    )


def fence_not_raised(patch: Patch) -> None:
    """Orders carry the fence of the first epoch for ever."""
    patch.setattr(CallPlanner, "fence", property(lambda calls: min(1, calls._session.epoch)))


def gang_in_part(patch: Patch) -> None:
    """One member of a gang is left out."""

    def send(agents: AgentRegistry, orders: Committed[WorkerOrders]) -> None:
        real(agents, orders.derive(lambda value: replace(value, orders=all_but_last(agents, value))))

    def all_but_last(agents: AgentRegistry, value: WorkerOrders) -> tuple[RunOrder, ...]:
        return tuple(order for order in value.orders if not last_of_gang(agents, order))

    def last_of_gang(agents: AgentRegistry, order: Any) -> bool:
        job, _, step, index = order.key.task.split(".")
        description = agents._jobs.jobs[job].description.steps[int(step)]
        return description.gang and int(index) == description.count - 1

    real = AgentRegistry.send_orders
    patch.setattr(AgentRegistry, "send_orders", send)


def lost_with_session(patch: Patch) -> None:
    """What runs at a node is given up once its agent's session is lost."""

    def gone(head: Head, session: AgentSession) -> None:
        real(head, session)
        head._end_runs(
            tuple(
                EndedRun(run, RunEnd.LOST, "") for run, task in head.state.jobs.open_runs() if task.node == session.node
            )
        )

    real = Head.agent_disconnected
    patch.setattr(Head, "agent_disconnected", gone)


def earlier_leases_forgotten(patch: Patch) -> None:
    """A new head does not wait for the leases of earlier heads."""
    patch.setattr(AgentRegistry, "lease_expired", lambda agents, node, now: now > agents._lease_ends.get(node, 0.0))


def leave_ends_all(patch: Patch) -> None:
    """A life counts as over once it has said that it ends, whatever runs there."""

    def left(agent: Agent, instance: str, now: float) -> list[Action]:
        worker = agent.worker
        if worker is not None and worker.instance == instance:
            agent._end_instance(worker, now)
            agent._send_worker_update()
        return agent._advance(now)

    patch.setattr(Agent, "worker_left", left)


def sent_before_commit(patch: Patch) -> None:
    """Orders are sent before the assignment is committed."""
    real = SchedulingLoop._run_pass

    def at_once(value: Any, then: Callable[[Committed[Any]], None]) -> None:
        then(Committed(value, 0))

    def round_(rounds: SchedulingLoop) -> None:
        gate = rounds.gate
        early = SimpleNamespace(propose=gate.propose, after_commit=at_once, closed=gate.closed)
        patch.setattr(rounds, "gate", early)
        try:
            real(rounds)
        finally:
            patch.setattr(rounds, "gate", gate)

    patch.setattr(SchedulingLoop, "_run_pass", round_)


def drained_gets_starts(patch: Patch) -> None:
    """A draining worker is taken for any other."""

    def state(agents: AgentRegistry, session: AgentSession, info: WorkerInfo) -> WorkerState:
        return real(agents, session, replace(info, draining=False))

    real = AgentRegistry.update_worker
    patch.setattr(AgentRegistry, "update_worker", state)
    patch.setattr(WorkerInstance, "draining", property(lambda worker: worker.leave_deadline < math.inf))


def shown_before_commit(patch: Patch) -> None:
    """States are shown before they are committed."""
    patch.setattr(CallHandler, "_reply_when_confirmed", lambda callers, reply, answer: reply(Committed(answer, 0)))


def taken_before_commit(patch: Patch) -> None:
    """Every answer is given before its commit."""
    patch.setattr(CommitGate, "after_commit", lambda gate, value, then: then(Committed(value, 0)))
    patch.setattr(CommitGate, "confirm", lambda gate, value, then: then(Committed(value, 0)))


def failures_not_counted(patch: Patch) -> None:
    """A task may fail for ever."""
    patch.setattr(JobTable, "_task_failed", lambda *arguments: None)


def due_ignored(patch: Patch) -> None:
    """A time is taken for due 3 s before it is."""
    real = MachineClock.wall_ms
    patch.setattr(MachineClock, "wall_ms", lambda clock, at: real(clock, at) + 3000)
    assert true_wall_ms(0.0) > 0


def dependencies_ignored(patch: Patch) -> None:
    """Steps do not wait for one another."""
    patch.setattr("millethead.jobs.state.Job.step_ready", lambda job, time, step: True)


def cancel_stops_nothing(patch: Patch) -> None:
    """What runs of a cancelled job runs on."""
    patch.setattr(SchedulerSync, "job_ended", lambda scheduler_sync, job: None)


def unknown_cancel_not_kept(patch: Patch) -> None:
    """The cancel of an unknown job is answered and leaves no tombstone."""

    def cancel(handler: CallHandler, call: JobCall, name: str, reply: Reply) -> None:
        handler._reply_when_confirmed(reply, CallAnswer(call.number, 410, b"{}", 0))

    patch.setattr(CallHandler, "_cancel_unknown", cancel)


def replaced_connections_heard(patch: Patch) -> None:
    """The head handles calls on connections that their caller has replaced."""
    patch.setattr(CallerFence, "admits", lambda fence, caller, session: True)


def other_heartbeat_ends_instance(patch: Patch) -> None:
    """The heartbeat of any other instance is taken for the proof that the current one has ended."""

    def heartbeat(agent: Agent, info: WorkerInfo, clock_ms: float | None, now: float) -> list[Action]:
        worker = agent.worker
        if worker is not None and info.instance not in (worker.instance, *agent._ended_instances):
            agent._end_instance(worker, now)
        return real(agent, info, clock_ms, now)

    real = Agent.heartbeat_received
    patch.setattr(Agent, "heartbeat_received", heartbeat)


def unconfirmed_instance_reported(patch: Patch) -> None:
    """An agent's process reports the first instance of which it gets a heartbeat, without asking the worker."""
    patch.setattr(WorkerInstance, "is_confirmed", property(lambda worker: True))


def leases_in_stale_sessions(patch: Patch) -> None:
    """A session outlives the end of its lease."""
    patch.setattr(AgentRegistry, "end_session", lambda agents, node: None)


RESTARTS: dict[str, Any] = {"gap_s": 0.2, "lengths_s": (0.3, 0.6, 1.5), "work_x": 2.0}  # of workers and agents
LONG = (14.0, 20.0)  # troubles that last longer than a lease


@dataclass(frozen=True, slots=True)
class Mutant:
    """A mutation, the rules that it may break, and the histories in which it is to show."""

    change: Callable[[Patch], None]
    rules: frozenset[str]
    settings: WorldSettings


def mutant(change: Callable[[Patch], None], rules: str, kinds: str, **settings: Any) -> Mutant:
    """Rules and kinds of trouble as texts."""
    return Mutant(
        change, frozenset(rules.split()), WorldSettings(kinds=tuple(kinds.split()), **{"gap_s": 1.0, **settings})
    )


MUTANTS = [
    mutant(hold_without_lease, "TWICE", "cut", lengths_s=LONG, work_x=5.0),
    mutant(noted_before_commit, "TWICE BUDGET LOST", "head chain"),
    mutant(run_number_reused, "TWICE LOST GANG", "crash calls drain"),
    mutant(room_freed_at_stop, "LIMIT", "cancel burst drain"),
    mutant(fence_not_raised, "FENCE", "head"),
    mutant(gang_in_part, "GANG", ""),
    mutant(lost_with_session, "TWICE ROUTE", "session"),
    mutant(earlier_leases_forgotten, "TWICE ROUTE", "head cut"),  # what runs on unknown also takes a place of its step
    mutant(leave_ends_all, "TWICE ROUTE LIMIT", "leave", work_x=3.0),
    mutant(sent_before_commit, "TWICE UNASKED", "head chain"),
    mutant(drained_gets_starts, "DRAIN", "drain"),
    mutant(shown_before_commit, "LOST MIXED", "head chain"),
    mutant(taken_before_commit, "LOST TWICE UNASKED BUDGET MIXED CONFIG", "head chain"),
    mutant(failures_not_counted, "BUDGET", "grey"),
    mutant(due_ignored, "ORDER", ""),
    mutant(dependencies_ignored, "ORDER", ""),
    mutant(cancel_stops_nothing, "UNASKED", "cancel"),
    mutant(unknown_cancel_not_kept, "UNASKED", "dispatcher"),
    mutant(other_heartbeat_ends_instance, "TWICE ROUTE LOST LIMIT", "heartbeats agent crash", **RESTARTS),
    mutant(unconfirmed_instance_reported, "TWICE ROUTE LOST LIMIT", "heartbeats agent crash", **RESTARTS),
    mutant(replaced_connections_heard, "REFUSED", "caller configuration clients", gap_s=0.5, job_gap_s=0.2),
    mutant(leases_in_stale_sessions, "TWICE LOST", "freeze cut", lengths_s=LONG),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.change.__name__)
def test_mutant_is_caught(mutant: Mutant, monkeypatch: Patch) -> None:
    mutant.change(monkeypatch)
    histories = (play(seed, mutant.settings) for seed in range(MUTANT_SEEDS))
    history = next((history for history in histories if history.fault), None)
    assert history is not None, "no history shows it"
    assert history.rule in mutant.rules, history.fault


def test_operator_sends_nothing_while_a_change_is_under_way() -> None:
    sent: list[dict[str, Any]] = []
    operator = Operator.__new__(Operator)
    operator.busy, operator.current = True, {}
    operator._put = sent.append
    operator.change({"routes": []})
    assert not sent
