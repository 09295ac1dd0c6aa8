"""The head of the core, its leader: answers calls, runs the scheduler and directs the agents.

A new head rebuilds everything in this module from the replicated state; whatever must survive goes through the chain. A
head that also leads in the next view keeps all of it. The module does no input or output: records arrive from links and
leave on links, and the time comes from a clock.
"""

from __future__ import annotations

from random import Random

import structlog

from millethead.control.agent_monitor import AgentMonitor
from millethead.control.agents import LEASE_S, AgentRegistry, AgentSession, RunStop
from millethead.control.call_handler import MAX_JOB_BYTES, CallHandler, Reply, StateChangeCallbacks
from millethead.control.caller_fence import CallerFence
from millethead.control.calls import (
    Call,
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
    caller_id,
)
from millethead.control.commit import (
    ChainHead,
    CommitGate,
    Committed,
    CommittedLink,
    HeadLink,
    from_view,
    split_committed,
)
from millethead.control.configuration_stream import CallerSession, ConfigurationStream, StoredConfiguration
from millethead.control.drains import OK, DrainReason, builds_on_newest_order, drain_answer, runs_to_evacuate
from millethead.control.inspect import inspect
from millethead.control.retention import Retention
from millethead.control.scheduler_sync import Moment, SchedulerSync
from millethead.control.scheduling_loop import HeadClock, SchedulingLoop, read_clocks
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
from millethead.scheduling.host_selection import REMOTE_RUNTIME_FACTOR
from millethead.scheduling.model import StepKey
from millethead.scheduling.scheduler import Scheduler

log = structlog.get_logger()

CHECK_INTERVAL_S = 0.5  # between two checks of leases and of stalled runs


class Head:
    """The head, from the first view in which this member leads until another member takes over."""

    def __init__(
        self,
        view: View,
        state: ControlState,
        chain: ChainHead,
        clock: HeadClock,
        random: Random,
        job_retention_s: float,
        far_times: float = REMOTE_RUNTIME_FACTOR,
        max_job_bytes: int = MAX_JOB_BYTES,
    ) -> None:
        self.view, self.state, self.clock = view, state, clock
        self._first_epoch = view.epoch  # this head leads in all epochs from here to that of `view`
        self._chain = chain
        self.gate = CommitGate(chain, clock.soon)
        self.scheduler = Scheduler(random, far_times)
        self.agents = AgentRegistry(state.jobs, clock.now(), state.drained)
        self.scheduler_sync = SchedulerSync(state.jobs, self.scheduler, self._stop_run)
        self.scheduling = SchedulingLoop(
            state.jobs, self.gate, self.scheduler, self.agents, self.scheduler_sync, clock, self._stop_run
        )
        self._agent_monitor = AgentMonitor(
            state.jobs, self.agents, self.scheduler, self._end_runs, self._forget_worker, clock.now()
        )
        self.configuration_stream = ConfigurationStream(view.epoch, state.configuration, self.gate)
        callbacks = StateChangeCallbacks(self._job_submitted, self._apply_outcome, self._configuration_committed)
        self._call_handler = CallHandler(state, self.gate, callbacks, clock.wall_ms, max_job_bytes)
        self._caller_fence, self._caller_sessions = CallerFence(), 0
        self._next_check = clock.now() + CHECK_INTERVAL_S
        self._retention = Retention(state.jobs, job_retention_s, clock.now())
        self._set_queues(self.configuration_stream.current)
        self.scheduler_sync.rebuild(self._now())
        self.scheduling.request_pass()

    def _now(self) -> Moment:
        return read_clocks(self.clock)

    def continue_in_view(self, view: View) -> None:
        """Continue as the head in the next view, keeping sessions, leases, call numbers and pending callbacks."""
        self.view = view
        self.gate.continue_in_view()
        self.configuration_stream.continue_in_view(view.epoch)
        for caller in self.configuration_stream.callers:  # a caller may know the view already and have sent calls in it
            caller.link.send(from_view(CallerWelcome(view, True)))

    def close(self) -> None:
        """End the epoch: pending calls are not answered any more."""
        self.gate.close()

    # ---- callers -----------------------------------------------------------------------------------------

    def caller_hello(self, link: HeadLink, hello: CallerHello) -> CallerSession:
        """Open the session of a caller, a program that sends the calls of clients or of the operator."""
        committed_link = CommittedLink(link, self._chain)
        committed_link.send(from_view(CallerWelcome(self.view, True)))
        caller = self.configuration_stream.add_caller(committed_link, hello)
        self._caller_sessions += 1
        caller.number = self._caller_sessions
        return caller

    def caller_record(self, caller: CallerSession, record: Record) -> None:
        """Handle a record from a caller."""
        match record:
            case HeadCall(epoch=epoch, call=data):
                if self._first_epoch <= epoch <= self.view.epoch:
                    self._call_received(caller, decode_any(data), epoch)
            case ConfigurationAck():
                self.configuration_stream.record_ack(caller, record)
            case CallerPing(epoch=epoch, serving=serving):
                current = epoch == self.view.epoch and serving
                caller.link.send(from_view(CallerPong() if current else CallerWelcome(self.view, True)))

    def _call_received(self, caller: CallerSession, record: Record, epoch: int) -> None:
        """Handle a call, unless its caller has replaced the connection: then a newer copy may have been answered."""
        if isinstance(record, Call) and not self._caller_fence.admits(caller_id(record.number), caller.number):
            log.info("stale_call_ignored", node=caller.node)
            return
        self.call(caller, record, epoch)

    def call(self, caller: CallerSession, record: Record, epoch: int | None = None) -> None:
        """Handle a call that was sent to this head in `epoch`, or in the present epoch if that is None.

        The epoch must be one in which this head leads. Raises CodecError if the record is not a call.
        """
        call_epoch = self.view.epoch if epoch is None else epoch

        def reply(released: Committed[CallAnswer]) -> None:
            caller.link.send(released.derive(lambda answer: HeadAnswer(call_epoch, answer)))

        match record:
            case JobCall():
                self._call_handler.job(record, reply)
            case ConfigurationCall():
                self._call_handler.configuration(record, reply)
            case InspectCall(number=number, what=what):
                self.gate.confirm(CallAnswer(number, 200, inspect(self, what), 0), reply)
            case DrainCall():
                self._drain(record, reply)
            case _:
                raise CodecError(f"{type(record).__name__} is no call")

    def caller_disconnected(self, caller: CallerSession) -> None:
        """End the session of a caller."""
        self.configuration_stream.remove_caller(caller)

    def _configuration_committed(self, configuration: Committed[StoredConfiguration]) -> None:
        """Apply and publish a newly committed configuration."""
        self._set_queues(configuration.value)
        self.configuration_stream.publish(configuration)
        self.scheduling.request_pass()

    def _set_queues(self, stored: StoredConfiguration) -> None:
        if stored.configuration is not None:
            self.scheduler_sync.set_queues(stored.configuration)

    def _job_submitted(self, job: Job) -> None:
        self.scheduler_sync.job_submitted(job, self._now())
        self.scheduling.request_pass()

    def _apply_outcome(self, outcome: Outcome) -> None:
        """Apply the outcome of a command that ended runs or jobs."""
        for closed in outcome.closed:
            self.agents.run_closed(closed.ended.run)
        self.scheduler_sync.runs_closed(outcome, self._now())
        for late in self.scheduler_sync.take_late_jobs():
            log.info("job_late", job=late.job, time=late.time, queue=late.queue, **late.log_fields())
        self.scheduling.request_pass()

    def _drain(self, call: DrainCall, reply: Reply) -> None:
        """Handle an operator's call to drain a node or to undo that."""
        answer = drain_answer(self.state, self.agents, call)
        if answer.status != OK or not builds_on_newest_order(self.state, call):
            self.gate.confirm(answer, reply)
            return
        # committed even if it changes nothing, so that delayed copies of earlier calls are refused from now on
        self.gate.propose(DrainNode(call.node, call.drained))
        self.gate.after_commit(answer, reply)
        log.info("node_drained", node=call.node, drained=call.drained)
        session = self.agents.sessions.get(call.node)
        if session is not None and session.info is not None:
            self.scheduler.put_worker(self.agents.update_worker(session, session.info))
            self._evacuate(session.node, session.info)
        self.scheduling.request_pass()

    # ---- agents ------------------------------------------------------------------------------------------

    def agent_hello(self, link: HeadLink, hello: AgentHello) -> AgentSession:
        """Open the session of an agent.

        The first records of the session list the desired runs of all worker instances on the node, because the agent
        may have lost that state.
        """
        session = AgentSession(hello, CommittedLink(link, self._chain))
        self.agents.add_session(session)
        self.gate.confirm_newest(lambda: self._desired_at(session), lambda desired: self._welcome(session, desired))
        return session

    def _desired_at(self, session: AgentSession) -> tuple[DesiredRuns, ...]:
        """Return the complete lists of desired runs of all worker instances on an agent's node."""
        instances = {task.instance for _, task in self.state.jobs.open_runs() if task.node == session.node}
        # An agent that has reported its worker already discards with the welcome what it was sent before.
        if session.instance:
            instances.add(session.instance)
        return tuple(self.agents.complete_runs(instance) for instance in sorted(instances))

    def _welcome(self, session: AgentSession, desired: Committed[tuple[DesiredRuns, ...]]) -> None:
        """Welcome an agent.

        Only now it is certain that this member is still the head, and that no other head has given the agent further
        orders.
        """
        if self.agents.sessions.get(session.node) is not session:
            return
        session.link.send(desired.derive(lambda _: AgentWelcome(self.view.epoch)))
        for whole in split_committed(desired):
            self.agents.send_complete_runs(session, whole)

    def agent_record(self, session: AgentSession, record: Record) -> None:
        """Handle a record from an agent."""
        if self._agent_monitor.record_received(session):
            self.scheduling.request_pass()
        match record:
            case LeaseRequest(sent_ms=sent_ms):
                self._lease_requested(session, sent_ms)
            case WorkerUpdate(info=info):
                self._worker_updated(session, info)
            case LifeOver(instance=instance):
                self._instance_ended(instance)
            case RunReport():
                self._runs_reported(session, record)
            case WorkerSuspected(instance=instance):
                self._worker_suspected(session, instance)

    def agent_disconnected(self, session: AgentSession) -> None:
        """End the session of an agent. Its runs are kept until its lease expires."""
        self.agents.remove_session(session)
        self._agent_monitor.connection_closed(session)

    def _lease_requested(self, session: AgentSession, sent_ms: int) -> None:
        # The lease starts at the time of the agent's request, before this member is confirmed as the head.
        """Grant a lease as soon as this member is confirmed as the head."""
        poll_interval_ms = int(self.scheduler.poll_interval_s(session.instance) * 1000)
        grant = LeaseGrant(sent_ms, int(LEASE_S * 1000), poll_interval_ms)
        self.gate.confirm(grant, lambda released: self._grant(session, released))

    def _grant(self, session: AgentSession, grant: Committed[LeaseGrant]) -> None:
        worker = self.agents.grant_lease(session, grant, self.clock.now())
        if worker is not None:
            self.scheduler.put_worker(worker)
            self.scheduling.request_pass()

    def _worker_updated(self, session: AgentSession, info: WorkerInfo | None) -> None:
        """Handle a worker's description of itself, or None if the agent has no worker any more."""
        if info is None:
            if session.instance:
                self._forget_worker(session.instance)
            return
        for instance in self.agents.instances_of(session.node):
            if instance != info.instance:  # a node has one worker, so any other instance has ended
                self._instance_ended(instance)
        is_new = session.instance != info.instance
        state = self.agents.update_worker(session, info)
        self.scheduler.put_worker(state)
        if is_new:
            whole = self.agents.complete_runs(info.instance)
            self.gate.after_commit(whole, lambda released: self.agents.send_complete_runs(session, released))
        self._evacuate(session.node, info)
        self.scheduling.request_pass()

    def _worker_suspected(self, session: AgentSession, instance: str) -> None:
        """Assign nothing more to a worker that does not answer its agent, until it does."""
        worker = self.agents.mark_suspected(instance, self.clock.now())
        if worker is not None:
            log.info("worker_suspected", node=session.node, instance=instance)
            self.scheduler.put_worker(worker)

    def _evacuate(self, node: str, info: WorkerInfo) -> None:
        """Stop the runs that must continue elsewhere, on a worker that shuts down or whose node is drained."""
        reason = DrainReason.SHUTDOWN if info.draining else DrainReason.OPERATOR if node in self.state.drained else None
        if reason is not None:
            for run in runs_to_evacuate(self.state.jobs, info, reason):
                self._stop_run(run)

    def _forget_worker(self, instance: str) -> None:
        self.scheduler.remove_worker(instance)
        self.agents.remove_worker(instance)

    def _instance_ended(self, instance: str) -> None:
        """End the runs of a worker instance that has ended."""
        lost = tuple(
            EndedRun(run, RunEnd.LOST, "") for run, task in self.state.jobs.open_runs() if task.instance == instance
        )
        self._forget_worker(instance)
        self._end_runs(lost)

    def _end_runs(self, ends: tuple[EndedRun, ...]) -> None:
        if ends:
            outcome = self.gate.propose(EndRuns(ends, self.clock.wall_ms()))
            assert isinstance(outcome, Outcome)
            self._apply_outcome(outcome)

    def _runs_reported(self, session: AgentSession, report: RunReport) -> None:
        """Apply an agent's report on its runs, and acknowledge the reported ends once they are committed."""
        self._save_progress(session, report)
        ends = []
        for entry in report.ends:
            run = parse_task_name(entry.key.task, entry.key.run)
            if run is not None:
                ends.append(EndedRun(run, entry.how, entry.checkpoint))
                if entry.ran_ms:
                    self.scheduler_sync.run_measured(run, report.instance, entry.ran_ms / 1000)
        open_ends = tuple(
            end
            for end in ends
            if (task := self.state.jobs.task(end.run)) is not None
            and task.open
            and task.run == end.run.run
            and task.instance == report.instance
        )
        self._end_runs(open_ends)
        if report.ends:
            noted = EndsNoted(report.instance, report.sequence)
            self.gate.confirm(noted, session.link.send)

    def _save_progress(self, session: AgentSession, report: RunReport) -> None:
        """Pass the reported progress to the scheduler and save new checkpoints."""
        saved = []
        for entry in report.progress:
            run = parse_task_name(entry.key.task, entry.key.run)
            task = self.state.jobs.task(run) if run is not None else None
            if run is None or task is None or not task.open or task.run != run.run:
                continue
            self.scheduler.progress(step_key(run), run.index, task.instance, entry.percent, self.clock.now())
            if entry.checkpoint and entry.checkpoint != task.saved:
                saved.append(SavedRun(run, entry.checkpoint, min(entry.percent, 100)))
        if saved:
            self.gate.propose(SaveProgress(tuple(saved)))

    def _stop_run(self, run: TaskRun) -> None:
        """Stop a run, unless it has ended or is being stopped already; the order is sent after the commit."""
        task = self.state.jobs.task(run)
        if task is None or not task.open or task.run != run.run or run in self.agents.stopping:
            return
        self.agents.stopping.add(run)
        self.gate.after_commit(RunStop(run, task.node, task.instance), self.agents.send_stop)

    # ---- periodic work -----------------------------------------------------------------------------------

    def tick(self) -> float:
        """Perform all periodic work that is due; return the monotonic time of the next call."""
        moment = self._now()
        if self.scheduler_sync.process_due(moment):
            self.scheduling.request_pass()
        self.scheduling.request_pass_if_due(moment.now)
        if moment.now >= self._agent_monitor.next_check and self._agent_monitor.check_responses(moment.now):
            self.scheduling.request_pass()
        if moment.now >= self._next_check:
            self._next_check = moment.now + CHECK_INTERVAL_S
            self._agent_monitor.check_leases(moment.now)
            for worker in self.agents.recovered_workers(moment.now):
                self.scheduler.put_worker(worker)
            for change in self.scheduler.health.take_changes():
                log.info(
                    "worker_standing",
                    instance=change.instance,
                    standing=change.state.value,
                    cause=change.cause.value,
                )
            for preemption in self.scheduler.stalled(moment.now):
                self.scheduling.preempt(preemption)
            self.scheduling.request_pass()
        for command in self._retention.take_due(moment.now, moment.wall_ms):
            self.gate.propose(command)
        next_periodic = min(self._next_check, self._retention.next_due, self._agent_monitor.next_check)
        return min(self.scheduler_sync.next_due(moment), next_periodic, self.scheduling.next_pass)


def step_key(run: TaskRun) -> StepKey:
    """Return the scheduler's key for the step of a run."""
    return StepKey(run.job, run.time, run.step)
