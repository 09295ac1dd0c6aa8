"""What the head of the core does: answers calls, schedules, and directs the agents.

Another head works everything here out anew from the replicated state; what must not be lost goes through the chain. A
head that leads in the next view too goes on with all of it. No input or output: records come in from links, records go
out on links, time is asked of a clock.
"""

from __future__ import annotations

from random import Random

import structlog

from millethead.control.agent_watch import AgentWatch
from millethead.control.agents import LEASE_S, Agents, AgentSession, RunStop
from millethead.control.callers import MOST_JOB_BYTES, CallerEvents, Callers, Reply
from millethead.control.calls import (
    CallAnswer,
    CallerHello,
    CallerPing,
    CallerPong,
    CallerWelcome,
    ConfigurationAck,
    ConfigurationCall,
    DrainCall,
    HeadAnswer,
    HeadCall,
    InspectCall,
    JobCall,
)
from millethead.control.commit import ChainHead, CommitGate, Committed, CommittedLink, HeadLink, each, of_view
from millethead.control.configuration_stream import Caller, ConfigurationStream, StoredConfiguration
from millethead.control.drains import OK, Leaving, drain_answer, runs_to_move
from millethead.control.feeder import Clock, Feeder
from millethead.control.housekeeping import PURGE_S, TRIM_S, purge_command, trim_command
from millethead.control.inspect import inspect
from millethead.control.rounds import HeadClock, Rounds, moment_of
from millethead.control.state import ControlState
from millethead.execution.messages import (
    AgentHello,
    AgentWelcome,
    DesiredRuns,
    EndsNoted,
    LeaseGrant,
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
    SavedRun,
    SaveProgress,
    TaskRun,
    parse_task_name,
)
from millethead.jobs.state import Job, Outcome
from millethead.replication.view import View
from millethead.rpc.codec import CodecError, Record, decode_any
from millethead.scheduling.choosing import FAR_TIMES
from millethead.scheduling.model import StepKey
from millethead.scheduling.scheduler import Scheduler

log = structlog.get_logger()

LOOK_S = 0.5  # between looks at leases, and at runs that stand still


class Head:
    """What the head does from the view in which it begins to lead until another member leads."""

    def __init__(
        self,
        view: View,
        state: ControlState,
        chain: ChainHead,
        clock: HeadClock,
        random: Random,
        status_s: float,
        far_times: float = FAR_TIMES,
        most_job_bytes: int = MOST_JOB_BYTES,
    ) -> None:
        self.view, self.state, self.clock, self._status_s = view, state, clock, status_s
        self._first_epoch = view.epoch  # it leads in all epochs from here to that of `view`
        self._chain = chain
        self.gate = CommitGate(chain, clock.soon)
        self.scheduler = Scheduler(random, far_times)
        self.agents = Agents(state.jobs, clock.now(), state.drained)
        self.feeder = Feeder(state.jobs, self.scheduler, self._stop_run)
        self.rounds = Rounds(state.jobs, self.gate, self.scheduler, self.agents, self.feeder, clock, self._stop_run)
        self._watch = AgentWatch(state.jobs, self.agents, self.scheduler, self._end, self._forget_worker, clock.now())
        self.configurations = ConfigurationStream(view.epoch, state.configuration, self.gate)
        events = CallerEvents(self._job_submitted, self._outcome, self._configured)
        self._calls = Callers(state, self.gate, events, clock.wall_ms, most_job_bytes)
        self._next_check = clock.now() + LOOK_S
        self._next_purge = clock.now() + PURGE_S
        self._next_trim = clock.now() + TRIM_S
        self._set_queues(self.configurations.current)
        self.feeder.take_over(self._moment())
        self.rounds.want()

    def _moment(self) -> Clock:
        return moment_of(self.clock)

    def leads_on(self, view: View) -> None:
        """The same process is the head of the next view too: sessions, leases, tags and all that waits stay."""
        self.view = view
        self.gate.leads_on()
        self.configurations.leads_on(view.epoch)
        for caller in self.configurations.callers:  # it may know the view already, and have called under it
            caller.link.send(of_view(CallerWelcome(view, True)))

    def close(self) -> None:
        """The epoch is over: nothing that waits is answered."""
        self.gate.close()

    # ---- callers -----------------------------------------------------------------------------------------

    def caller_hello(self, link: HeadLink, hello: CallerHello) -> Caller:
        """A program has come that calls for clients or the operator."""
        outlet = CommittedLink(link, self._chain)
        outlet.send(of_view(CallerWelcome(self.view, True)))
        return self.configurations.join(outlet, hello)

    def caller_record(self, caller: Caller, record: Record) -> None:
        """A record of a caller."""
        match record:
            case HeadCall(epoch=epoch, call=data):
                if self._first_epoch <= epoch <= self.view.epoch:
                    self.call(caller, decode_any(data), epoch)
            case ConfigurationAck():
                self.configurations.acknowledged(caller, record)
            case CallerPing(epoch=epoch, serving=serving):
                current = epoch == self.view.epoch and serving
                caller.link.send(of_view(CallerPong() if current else CallerWelcome(self.view, True)))

    def call(self, caller: Caller, record: Record, epoch: int | None = None) -> None:
        """A call that was sent to this head in `epoch`, one of those in which it leads (None: the present one); raises
        CodecError for what is none."""
        called_in = self.view.epoch if epoch is None else epoch

        def reply(released: Committed[CallAnswer]) -> None:
            caller.link.send(released.derive(lambda answer: HeadAnswer(called_in, answer)))

        match record:
            case JobCall():
                self._calls.job(record, reply)
            case ConfigurationCall():
                self._calls.configuration(record, reply)
            case InspectCall(number=number, what=what):
                self.gate.confirm(CallAnswer(number, 200, inspect(self, what), 0), reply)
            case DrainCall():
                self._drain(record, reply)
            case _:
                raise CodecError(f"{type(record).__name__} is no call")

    def caller_gone(self, caller: Caller) -> None:
        self.configurations.leave(caller)

    def _configured(self, configuration: Committed[StoredConfiguration]) -> None:
        """A configuration is committed."""
        self._set_queues(configuration.value)
        self.configurations.publish(configuration)
        self.rounds.want()

    def _set_queues(self, stored: StoredConfiguration) -> None:
        if stored.configuration is not None:
            self.feeder.set_queues(stored.configuration)

    def _job_submitted(self, job: Job) -> None:
        self.feeder.job_submitted(job, self._moment())
        self.rounds.want()

    def _outcome(self, outcome: Outcome) -> None:
        """Runs or jobs have ended."""
        for closed in outcome.closed:
            self.agents.closed(closed.ended.run)
        self.feeder.runs_closed(outcome, self._moment())
        for late in self.feeder.take_late():
            log.info("job_late", job=late.job, time=late.time, queue=late.queue, **late.in_ms())
        self.rounds.want()

    def _drain(self, call: DrainCall, reply: Reply) -> None:
        """The staff take a node's worker out, or put it back."""
        answer = drain_answer(self.state, self.agents, call)
        if answer.status != OK or (call.node in self.state.drained) == call.drained:
            self.gate.confirm(answer, reply)
            return
        self.gate.propose(DrainNode(call.node, call.drained))
        self.gate.after_commit(answer, reply)
        log.info("node_drained", node=call.node, drained=call.drained)
        session = self.agents.sessions.get(call.node)
        if session is not None and session.info is not None:
            self.scheduler.put_worker(self.agents.worker_state(session, session.info))
            self._evacuate(session.node, session.info)
        self.rounds.want()

    # ---- agents ------------------------------------------------------------------------------------------

    def agent_hello(self, link: HeadLink, hello: AgentHello) -> AgentSession:
        """An agent has come. What is wanted in lives that it may have forgotten is told first."""
        session = AgentSession(hello, CommittedLink(link, self._chain))
        self.agents.connected(session)
        self.gate.confirm_newest(lambda: self._wanted_at(session), lambda wanted: self._welcome(session, wanted))
        return session

    def _wanted_at(self, session: AgentSession) -> tuple[DesiredRuns, ...]:
        """All that is wanted at an agent's node, in any life."""
        instances = {task.instance for _, task in self.state.jobs.open_runs() if task.node == session.node}
        if session.instance:  # it has told of its worker already: what it was sent for that is void by the welcome
            instances.add(session.instance)
        return tuple(self.agents.whole(instance) for instance in sorted(instances))

    def _welcome(self, session: AgentSession, wanted: Committed[tuple[DesiredRuns, ...]]) -> None:
        """Welcome an agent: only now it is certain that this member is still the head, and that no other one has given
        the agent more to do."""
        if self.agents.sessions.get(session.node) is not session:
            return
        session.link.send(wanted.derive(lambda _: AgentWelcome(self.view.epoch)))
        for whole in each(wanted):
            self.agents.send_whole(session, whole)

    def agent_record(self, session: AgentSession, record: Record) -> None:
        """A record of an agent."""
        if self._watch.heard(session):
            self.rounds.want()
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
        self._watch.gone(session)

    def _lease(self, session: AgentSession, sent_ms: int) -> None:
        # the lease counts from the agent's own time of asking: before the moment at which this head is confirmed
        look_gap_ms = int(self.scheduler.look_gap(session.instance) * 1000)
        grant = LeaseGrant(sent_ms, int(LEASE_S * 1000), look_gap_ms)
        self.gate.confirm(grant, lambda released: self._grant(session, released))

    def _grant(self, session: AgentSession, grant: Committed[LeaseGrant]) -> None:
        worker = self.agents.grant(session, grant, self.clock.now())
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
            whole = self.agents.whole(info.instance)
            self.gate.after_commit(whole, lambda released: self.agents.send_whole(session, released))
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
            run = parse_task_name(entry.key.task, entry.key.run)
            if run is not None:
                ends.append(EndedRun(run, entry.how, entry.saved))
                if entry.ran_ms:
                    self.feeder.run_lasted(run, report.instance, entry.ran_ms / 1000)
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
            self.gate.confirm(noted, session.link.send)

    def _progress(self, session: AgentSession, report: RunReport) -> None:
        saved = []
        for entry in report.progress:
            run = parse_task_name(entry.key.task, entry.key.run)
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
        if task is None or not task.open or task.run != run.run or run in self.agents.stopping:
            return
        self.agents.stopping.add(run)
        self.gate.after_commit(RunStop(run, task.node, task.instance), self.agents.send_stop)

    # ---- time --------------------------------------------------------------------------------------------

    def tick(self) -> float:
        """Do what is due; returns the steady time of the next call."""
        moment = self._moment()
        if self.feeder.wake(moment):
            self.rounds.want()
        self.rounds.look(moment.now)
        if moment.now >= self._watch.next_look and self._watch.look(moment.now):
            self.rounds.want()
        if moment.now >= self._next_check:
            self._next_check = moment.now + LOOK_S
            self._watch.check_leases(moment.now)
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
            self._propose(purge_command(self.state.jobs.jobs.values(), moment.wall_ms, self._status_s))
        if moment.now >= self._next_trim:
            self._next_trim = moment.now + TRIM_S
            self._propose(trim_command(self.state.jobs.jobs.values()))
        housekeeping = min(self._next_check, self._next_purge, self._next_trim, self._watch.next_look)
        return min(self.feeder.next_wake(moment), housekeeping, self.rounds.next_look)

    def _propose(self, command: Record | None) -> None:
        if command is not None:
            self.gate.propose(command)


def run_key(run: TaskRun) -> StepKey:
    """The scheduler's name of a run's step."""
    return StepKey(run.job, run.time, run.step)
