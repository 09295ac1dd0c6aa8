"""What the head of the core does in one epoch: answers calls, schedules, and directs the agents.

Everything here is worked out anew from the replicated state by the head of the next epoch; what must not be lost goes
through the chain. No input or output: records come in from links, records go out on links, time is asked of a clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import structlog

from millethead.control.agents import Agents, AgentSession
from millethead.control.callers import CallerEvents, Callers
from millethead.control.calls import (
    CallAnswer,
    CallerHello,
    CallerPing,
    CallerPong,
    CallerWelcome,
    ConfigurationAck,
    ConfigurationCall,
    ConfigurationUpdate,
    DrainCall,
    InspectCall,
    JobCall,
)
from millethead.control.commit import ChainHead, CommitGate
from millethead.control.drains import OK, Leaving, drain_answer, runs_to_move
from millethead.control.feeder import Clock, Feeder
from millethead.control.inspect import inspect
from millethead.control.rounds import HeadClock, Rounds, moment_of
from millethead.control.state import ControlState
from millethead.execution.messages import (
    AgentHello,
    AgentWelcome,
    EndsNoted,
    LeaseRequest,
    LifeOver,
    RunEnd,
    RunReport,
    WorkerInfo,
    WorkerSuspected,
    WorkerUpdate,
)
from millethead.jobs.commands import (
    DrainNode,
    EndedRun,
    EndRuns,
    PurgeJobs,
    SavedRun,
    SaveProgress,
    TaskRun,
    task_run,
)
from millethead.jobs.state import Job, Outcome, Task
from millethead.replication.view import View
from millethead.rpc.codec import Record
from millethead.scheduling.choosing import FAR_TIMES
from millethead.scheduling.model import StepKey
from millethead.scheduling.scheduler import Scheduler

log = structlog.get_logger()

LOOK_S = 0.5  # between looks at leases, and at runs that stand still
PURGE_S = 20.0  # between looks for jobs that may be forgotten
KEEP_MORE_S = 60.0  # ended jobs are kept so much longer than they must be: clocks may jump


class HeadLink(Protocol):
    """A connection of an agent or a caller."""

    def send(self, record: Record) -> None: ...

    def close(self) -> None: ...


@dataclass(slots=True)
class Caller:
    """A program that calls for clients or the operator. `configuration` is the version that it has put into force."""

    node: str
    link: HeadLink
    wants_configuration: bool
    configuration: int


class Head:
    """One epoch of the head."""

    def __init__(
        self,
        view: View,
        state: ControlState,
        chain: ChainHead,
        clock: HeadClock,
        random: Random,
        status_s: float,
        far_times: float = FAR_TIMES,
    ) -> None:
        self.view, self.state, self.clock, self._status_s = view, state, clock, status_s
        self.gate = CommitGate(chain, clock.soon)
        self.scheduler = Scheduler(random, far_times)
        self.agents = Agents(state.jobs, clock.now(), state.drained)
        self.feeder = Feeder(state.jobs, self.scheduler, self._stop_run)
        self.rounds = Rounds(state.jobs, self.gate, self.scheduler, self.agents, self.feeder, clock, self._stop_run)
        events = CallerEvents(self._job_submitted, self._outcome, self._configured)
        self._calls = Callers(state, self.gate, events, clock.wall_ms)
        self.callers: list[Caller] = []
        self._next_check = clock.now() + LOOK_S
        self._next_purge = clock.now() + PURGE_S
        self._configured()
        self.feeder.take_over(self._moment())
        self.rounds.want()

    def _moment(self) -> Clock:
        return moment_of(self.clock)

    def close(self) -> None:
        """The epoch is over: nothing that waits is answered."""
        self.gate.close()

    # ---- callers -----------------------------------------------------------------------------------------

    def caller_hello(self, link: HeadLink, hello: CallerHello) -> Caller:
        """A program has come that calls for clients or the operator."""
        caller = Caller(hello.node, link, hello.wants_configuration, hello.configuration)
        self.callers.append(caller)
        link.send(CallerWelcome(self.view, True))
        if self.state.configuration.version != hello.configuration:
            self.gate.confirm(lambda: self._send_configuration(caller))
        return caller

    def caller_record(self, caller: Caller, record: Record) -> None:
        """A record of a caller."""

        def reply(answer: CallAnswer) -> None:
            caller.link.send(answer)

        match record:
            case JobCall():
                self._calls.job(record, reply)
            case ConfigurationCall():
                self._calls.configuration(record, reply)
            case InspectCall(number=number, what=what):
                body = inspect(self, what)
                self.gate.confirm(lambda: reply(CallAnswer(number, 200, body, 0)))
            case DrainCall():
                self._drain(record, reply)
            case ConfigurationAck(version=version):
                caller.configuration = version
            case CallerPing(epoch=epoch, serving=serving):
                current = epoch == self.view.epoch and serving
                caller.link.send(CallerPong() if current else CallerWelcome(self.view, True))

    def caller_gone(self, caller: Caller) -> None:
        if caller in self.callers:
            self.callers.remove(caller)

    def _send_configuration(self, caller: Caller) -> None:
        configuration = self.state.configuration
        if caller.wants_configuration and configuration.document:
            caller.link.send(ConfigurationUpdate(configuration.version, configuration.document))

    def _configured(self) -> None:
        """A configuration is committed, or this head begins with one."""
        configuration = self.state.configuration.configuration
        if configuration is None:
            return
        self.feeder.set_queues(configuration)
        for caller in self.callers:
            self._send_configuration(caller)
        self.rounds.want()

    def _job_submitted(self, job: Job) -> None:
        self.feeder.job_submitted(job, self._moment())
        self.rounds.want()

    def _outcome(self, outcome: Outcome) -> None:
        """Runs or jobs have ended."""
        for closed in outcome.closed:
            self.agents.closed(closed.ended.run)
        self.feeder.runs_closed(outcome, self._moment())
        self.rounds.want()

    def _drain(self, call: DrainCall, reply: Callable[[CallAnswer], None]) -> None:
        """The staff take a node's worker out, or put it back."""
        answer = drain_answer(self.state, self.agents, call)
        if answer.status != OK or (call.node in self.state.drained) == call.drained:
            self.gate.confirm(lambda: reply(answer))
            return
        self.gate.propose(DrainNode(call.node, call.drained), lambda: reply(answer))
        log.info("node_drained", node=call.node, drained=call.drained)
        session = self.agents.sessions.get(call.node)
        if session is not None and session.info is not None:
            self.scheduler.put_worker(self.agents.worker_state(session, session.info))
            self._evacuate(session.node, session.info)
        self.rounds.want()

    # ---- agents ------------------------------------------------------------------------------------------

    def agent_hello(self, link: HeadLink, hello: AgentHello) -> AgentSession:
        """An agent has come. What is wanted in lives that it may have forgotten is told first."""
        session = AgentSession(hello, link)
        self.agents.connected(session)
        self.gate.confirm(lambda: self._welcome(session))
        return session

    def _welcome(self, session: AgentSession) -> None:
        """Welcome an agent: only now it is certain that this member is still the head, and that no other one has given
        the agent more to do."""
        session.link.send(AgentWelcome(self.view.epoch))
        instances = {task.instance for _, task in self.state.jobs.open_runs() if task.node == session.node}
        if session.instance:  # it has told of its worker already: what it was sent for that is void by the welcome
            instances.add(session.instance)
        for instance in sorted(instances):
            self.agents.send_whole(session, instance)

    def agent_record(self, session: AgentSession, record: Record) -> None:
        """A record of an agent."""
        match record:
            case LeaseRequest(sent_ms=sent_ms):
                self._lease(session, sent_ms)
            case WorkerUpdate(info=info):
                self._worker(session, info)
            case LifeOver(instance=instance):
                self._life_over(instance)
            case RunReport():
                self._report(session, record)
            case WorkerSuspected(instance=instance):
                self._suspected(session, instance)

    def agent_gone(self, session: AgentSession) -> None:
        self.agents.disconnected(session)

    def _lease(self, session: AgentSession, sent_ms: int) -> None:
        # the lease counts from the agent's own time of asking: before the moment at which this head is confirmed
        self.gate.confirm(lambda: self._grant(session, sent_ms))

    def _grant(self, session: AgentSession, sent_ms: int) -> None:
        now = self.clock.now()
        worker = self.agents.grant(session, sent_ms, self.scheduler.look_gap(session.instance), now)
        if worker is not None:
            self.scheduler.put_worker(worker)
            self.rounds.want()

    def _worker(self, session: AgentSession, info: WorkerInfo | None) -> None:
        if info is None:
            if session.instance:
                self._forget_worker(session.instance)
            return
        if session.instance and session.instance != info.instance:
            self._forget_worker(session.instance)
        others = {
            task.instance
            for _, task in self.state.jobs.open_runs()
            if task.node == session.node and task.instance != info.instance
        }
        for instance in sorted(others):  # one worker stands at a node: another life there is over
            self._life_over(instance)
        first = session.instance != info.instance
        state = self.agents.worker_state(session, info)
        self.scheduler.put_worker(state)
        if first:
            self.agents.send_whole(session, info.instance)
        self._evacuate(session.node, info)
        self.rounds.want()

    def _suspected(self, session: AgentSession, instance: str) -> None:
        """A worker does not answer: nothing new goes there until it does."""
        worker = self.agents.suspect(instance, self.clock.now())
        if worker is not None:
            log.info("worker_suspected", node=session.node, instance=instance)
            self.scheduler.put_worker(worker)

    def _evacuate(self, node: str, info: WorkerInfo) -> None:
        """Stop what has to go on elsewhere, at a worker that drains or that the staff have taken out."""
        leaving = Leaving.SOON if info.draining else Leaving.LATER if node in self.state.drained else None
        if leaving is not None:
            for run in runs_to_move(self.state.jobs, info, leaving):
                self._stop_run(run)

    def _forget_worker(self, instance: str) -> None:
        self.scheduler.remove_worker(instance)
        self.agents.forget(instance)

    def _life_over(self, instance: str) -> None:
        lost = tuple(
            EndedRun(run, RunEnd.LOST, "") for run, task in self.state.jobs.open_runs() if task.instance == instance
        )
        self._forget_worker(instance)
        self._end(lost)

    def _end(self, ends: tuple[EndedRun, ...]) -> None:
        if ends:
            outcome = self.gate.propose(EndRuns(ends, self.clock.wall_ms()))
            assert isinstance(outcome, Outcome)
            self._outcome(outcome)

    def _report(self, session: AgentSession, report: RunReport) -> None:
        self._progress(session, report)
        ends = []
        for entry in report.ends:
            run = task_run(entry.key.task, entry.key.run)
            if run is not None:
                ends.append(EndedRun(run, entry.how, entry.saved))
                if entry.ran_ms:
                    self.scheduler.run_lasted(run_key(run), run.index, report.instance, run.run, entry.ran_ms / 1000)
        known = tuple(
            end
            for end in ends
            if (task := self.state.jobs.task(end.run)) is not None
            and task.open
            and task.run == end.run.run
            and task.instance == report.instance
        )
        self._end(known)
        if report.ends:
            noted = EndsNoted(report.instance, report.sequence)
            self.gate.confirm(lambda: session.link.send(noted))

    def _progress(self, session: AgentSession, report: RunReport) -> None:
        saved = []
        for entry in report.progress:
            run = task_run(entry.key.task, entry.key.run)
            task = self.state.jobs.task(run) if run is not None else None
            if run is None or task is None or not task.open or task.run != run.run:
                continue
            self.scheduler.progress(run_key(run), run.index, task.instance, entry.percent, self.clock.now())
            if entry.saved and entry.saved != task.saved:
                saved.append(SavedRun(run, entry.saved, min(entry.percent, 100)))
        if saved:
            self.gate.propose(SaveProgress(tuple(saved)))

    def _stop_run(self, run: TaskRun) -> None:
        task = self.state.jobs.task(run)
        if task is not None and task.open and task.run == run.run:
            self.gate.after_commit(lambda: self.agents.send_stop(run, task))

    # ---- time --------------------------------------------------------------------------------------------

    def tick(self) -> float:
        """Do what is due; returns the steady time of the next call."""
        moment = self._moment()
        if self.feeder.wake(moment):
            self.rounds.want()
        self.rounds.look(moment.now)
        if moment.now >= self._next_check:
            self._next_check = moment.now + LOOK_S
            self._check_leases(moment.now)
            for worker in self.agents.answering_again(moment.now):
                self.scheduler.put_worker(worker)
            for change in self.scheduler.health.take_changes():
                log.info(
                    "worker_standing",
                    instance=change.instance,
                    standing=change.standing.value,
                    cause=change.cause.value,
                )
            for preemption in self.scheduler.stalled(moment.now):
                self.rounds.preempt(preemption)
            self.rounds.want()
        if moment.now >= self._next_purge:
            self._next_purge = moment.now + PURGE_S
            self._purge(moment.wall_ms)
        return min(self.feeder.next_wake(moment), self._next_check, self._next_purge, self.rounds.next_look)

    def _check_leases(self, now: float) -> None:
        """End what runs at agents whose lease is over."""
        runs_at: dict[str, list[tuple[TaskRun, Task]]] = {}
        for run, task in self.state.jobs.open_runs():
            runs_at.setdefault(task.node, []).append((run, task))
        for node in sorted(runs_at):
            if not self.agents.lapsed(node, now):
                continue
            log.warning("lease_lapsed", node=node, runs=len(runs_at[node]))
            for instance in sorted({task.instance for _, task in runs_at[node]}):
                self._forget_worker(instance)
            self.agents.end_session(node)
            self._end(tuple(EndedRun(run, RunEnd.LOST, "") for run, _ in runs_at[node]))

    def _purge(self, wall_ms: int) -> None:
        old = wall_ms - int((self._status_s + KEEP_MORE_S) * 1000)
        names = tuple(
            job.name
            for job in self.state.jobs.jobs.values()
            if job.phase.over and not job.open_runs and job.ended_ms < old
        )
        if names:
            self.gate.propose(PurgeJobs(names[:1000]))


def run_key(run: TaskRun) -> StepKey:
    """The scheduler's name of a run's step."""
    return StepKey(run.job, run.time, run.step)
