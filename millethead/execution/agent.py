"""State machine of the agent: decides what to start, stop and renew on its worker and what to report to the head.

Each event has a method whose last argument `now` is the time of the event in seconds of the agent's monotonic clock.
The method returns the actions to carry out. `next_timer` returns the time at which `timer_expired` has to be called.
The module performs no I/O.

The agent preserves these invariants, whichever messages are lost:

- The runs that may exist on the worker never exceed its capacity. A start without an answer counts until it is proven
  not to have been carried out.
- A run is reported as never started only if its start can no longer be carried out.
- No renewal deadline is granted that the worker's clock, which may run slow, could reach after the end of the lease.
- Ends are reported until the head acknowledges them. Only then is the worker allowed to forget them.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import replace

from millethead.execution.actions import Action, CloseSession, SendRecord
from millethead.execution.call_planner import AgentLimits, CallPlanner
from millethead.execution.calls import CallAnswer, CallStatus, PollCall, Rejection, StopCall, WorkerCall, is_missed
from millethead.execution.desired_runs import apply_desired
from millethead.execution.lease import HeadSession
from millethead.execution.messages import (
    DesiredRuns,
    EndsNoted,
    LeaseGrant,
    LeaseRequest,
    LifeOver,
    RunEnd,
    RunProgress,
    RunReport,
    WorkerInfo,
    WorkerSuspected,
    WorkerUpdate,
)
from millethead.execution.next_timer import NextTimer
from millethead.execution.order_answers import apply_start_answer, apply_stop_answer
from millethead.execution.reports import PendingReports
from millethead.execution.run_lists import record_inferred_end
from millethead.execution.runs import RunState
from millethead.execution.worker_clock import MS, SLOWEST_RATE
from millethead.execution.worker_instance import AbandonedRun, InstanceClaim, WorkerInstance
from millethead.rpc.codec import Record

SUSPICION_INTERVAL_S = 0.5
LEAVE_GRACE_PERIOD_S = 0.2  # time from a worker's DELETE to its assumed end, if no run may be left on it
MAX_ENDED_INSTANCES = 64  # number of ended instances that are remembered
MAX_DEFERRED_LISTS = 256  # number of lists that are kept for instances that are not known yet


class Agent:
    """State of one agent process.

    `started_at` is the time at which the process started; the previous agent process had ended by then.
    """

    def __init__(self, limits: AgentLimits, started_at: float) -> None:
        self._limits = limits
        self._started_at = started_at
        self._session = HeadSession()
        self._reports = PendingReports()
        self._worker: WorkerInstance | None = None
        self._worker_known = False  # whether an instance was confirmed, so that "no worker" may be reported to the head
        self._claim: InstanceClaim | None = None
        self._ended_instances: deque[str] = deque(maxlen=MAX_ENDED_INSTANCES)
        self._deferred_lists: deque[DesiredRuns] = deque(maxlen=MAX_DEFERRED_LISTS)
        self._actions: list[Action] = []
        self._timer = NextTimer()
        self._calls = CallPlanner(limits, self._session, self._timer, lambda action: self._actions.append(action))

    # ---- queries -----------------------------------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """Epoch of the newest head that opened a session; the fencing token of all orders."""
        return self._calls.fence

    @property
    def lease_end(self) -> float:
        """Time at which the agent's lease ends; -inf before the first grant."""
        return self._session.lease_end

    @property
    def worker(self) -> WorkerInstance | None:
        """The current worker instance, if one is known; callers must not modify it."""
        return self._worker

    @property
    def calls_in_flight(self) -> int:
        """Number of calls to the worker that have not ended."""
        return self._calls.in_flight_count

    def next_timer(self) -> float:
        """Return the time at which `timer_expired` has to be called; +inf if no timer is needed."""
        return self._timer.at

    # ---- worker events -----------------------------------------------------------------------------------

    def heartbeat_received(self, info: WorkerInfo, clock_ms: float | None, now: float) -> list[Action]:
        """Process a heartbeat. An outdated one (old sequence number or ended instance) is ignored.

        A heartbeat of another instance may be a delayed one. The worker is asked which instance it is.
        """
        if info.instance in self._ended_instances:
            return self._advance(now)
        worker = self._worker
        if worker is not None and worker.instance != info.instance:
            self._claim, worker.disputed_at = InstanceClaim(info, clock_ms), now
            return self._advance(now)
        if worker is None:
            worker = self._begin_instance(info.instance, self._worker_known, now)
        if worker.info is None or info.sequence > worker.info.sequence:
            self._apply_heartbeat(worker, info, clock_ms, now)
        return self._advance(now)

    def worker_left(self, instance: str, now: float) -> list[Action]:
        """Process the announcement of a worker instance that it shuts down.

        Some workers continue to serve for a while afterwards. The instance counts as ended after LEAVE_GRACE_PERIOD_S,
        but not while a run may exist on it that neither a list nor a closed port has shown to be gone.
        """
        worker = self._worker
        if worker is not None and worker.instance == instance and worker.leave_deadline == math.inf:
            worker.leave_deadline = now + LEAVE_GRACE_PERIOD_S
            if worker.info is not None:
                worker.info = replace(worker.info, draining=True)
                self._send_worker_update()
        return self._advance(now)

    def call_ended(self, number: int, answer: CallAnswer, now: float) -> list[Action]:
        """Process the end of a call to the worker, with or without an answer."""
        call = self._calls.remove(number)
        worker = self._worker
        if call is not None and worker is not None and call.instance == worker.instance:
            self._apply_answer(worker, call, answer, now)
        return self._advance(now)

    # ---- session events ----------------------------------------------------------------------------------

    def session_opened(self, epoch: int, now: float) -> list[Action]:
        """Process the welcome of a head. The session is closed if the epoch of the head is outdated."""
        if not self._session.open(epoch, now):
            return [CloseSession(f"the head has epoch {epoch}, but epoch {self._session.epoch} is known")]
        worker = self._worker
        if worker is not None:
            worker.desired_current = False
            self._queue_full_report(worker)
        self._send_worker_update()
        for report in self._reports.unacknowledged:
            self._send(report)
        return self._advance(now)

    def session_closed(self, now: float) -> list[Action]:
        """Process the end of the session, whichever side closed it."""
        self._close_session()
        return self._advance(now)

    def record_received(self, record: Record, now: float) -> list[Action]:
        """Process a record that the head sent in the current session."""
        if not self._session.is_open:
            return []
        if isinstance(record, LeaseGrant):
            self._session.grant(record.sent_ms, record.lease_ms, now)
            self._calls.poll_interval_s = record.poll_interval_ms / MS
        elif isinstance(record, DesiredRuns):
            self._apply_desired_runs(record, now)
        elif isinstance(record, EndsNoted):
            self._apply_ends_noted(record)
        return self._advance(now)

    def timer_expired(self, now: float) -> list[Action]:
        """Process the expiry of the timer that `next_timer` asked for."""
        return self._advance(now)

    # ---- worker instances --------------------------------------------------------------------------------

    def _begin_instance(self, instance: str, observed_from_start: bool, now: float) -> WorkerInstance:
        """Start to manage a new worker instance.

        `observed_from_start`: the instance before it was known to this process, so nothing has been started on this
        one.
        """
        predecessor_runs_expired = (
            self._started_at + self._limits.hold_max_ms / (MS * SLOWEST_RATE) + LEAVE_GRACE_PERIOD_S
        )
        worker = WorkerInstance(
            instance, observed_from_start, now, -math.inf if observed_from_start else predecessor_runs_expired
        )
        worker.desired_received = worker.desired_current = observed_from_start and self._session.is_open
        self._worker = worker
        deferred, self._deferred_lists = self._deferred_lists, deque(maxlen=MAX_DEFERRED_LISTS)
        for desired in deferred:
            self._apply_desired_runs(desired, now)
        return worker

    def _end_instance(self, worker: WorkerInstance, now: float) -> None:
        """Record that the instance has certainly ended, and all its runs with it.

        If another instance has claimed its place, that one is the current instance from now on.
        """
        self._flush_report(worker)
        self._ended_instances.append(worker.instance)
        self._worker = None
        self._worker_known = self._worker_known or worker.is_confirmed
        self._send(LifeOver(worker.instance))
        claim, self._claim = self._claim, None
        if claim is None:
            self._send_worker_update()
        else:
            claimant = self._begin_instance(claim.info.instance, self._worker_known, now)
            self._apply_heartbeat(claimant, claim.info, claim.clock_ms, now)

    def _settle_claim(self, worker: WorkerInstance, sent_at: float) -> None:
        """Drop the claim of another instance if the current one has answered a call that was sent after it."""
        worker.answered_call_sent_at = max(worker.answered_call_sent_at, sent_at)
        claim = self._claim
        if claim is not None and not worker.is_disputed:
            self._claim = None
            self._ended_instances.append(claim.info.instance)
            self._send(LifeOver(claim.info.instance))

    def _apply_heartbeat(self, worker: WorkerInstance, info: WorkerInfo, clock_ms: float | None, now: float) -> None:
        if worker.leave_deadline < math.inf:
            info = replace(info, draining=True)
        previous, worker.info = worker.info, info
        worker.last_contact_at = now
        worker.reset_refusals()
        if clock_ms is not None:
            worker.clock.add_reading(clock_ms, None, now)
        if not worker.runs.any_at_worker():
            worker.record_answer(now)
        self._worker_known = self._worker_known or worker.is_confirmed
        if previous is None or _without_countdowns(previous) != _without_countdowns(info):
            self._send_worker_update()

    def _send_worker_update(self) -> None:
        """Send the current state of the worker to the head, unless this process does not know it yet.

        The head takes all other instances of the node for ended, so an unconfirmed one is not reported.
        """
        worker = self._worker
        if worker is not None and worker.info is not None and worker.is_confirmed:
            self._send(WorkerUpdate(worker.info))
        elif self._worker_known and worker is None:
            self._send(WorkerUpdate(None))

    def _queue_full_report(self, worker: WorkerInstance) -> None:
        """Add all running runs and their progress to the next report, for a new session."""
        running = [run for run in worker.runs if run.state is RunState.RUNNING and run.order is not None]
        worker.report_draft.started = [run.key for run in running]
        worker.report_draft.progress = [
            RunProgress(run.key, run.checkpoint, run.percent) for run in running if run.progress_sent_at
        ]

    # ---- records of the head -----------------------------------------------------------------------------

    def _apply_desired_runs(self, desired: DesiredRuns, now: float) -> None:
        worker = self._worker
        if desired.instance in self._ended_instances:
            self._send(LifeOver(desired.instance))
        elif worker is None and not self._worker_known:
            self._deferred_lists.append(desired)
            self._begin_instance(desired.instance, False, now)
        elif worker is not None and worker.instance == desired.instance:
            apply_desired(worker, desired, now)
        elif worker is None or worker.has_answered or worker.observed_from_start:
            self._ended_instances.append(desired.instance)
            self._send(LifeOver(desired.instance))
        else:
            self._deferred_lists.append(desired)

    def _apply_ends_noted(self, noted: EndsNoted) -> None:
        worker = self._worker
        for end in self._reports.acknowledge(noted.instance, noted.sequence):
            if worker is None or worker.instance != noted.instance:
                continue
            if end.number:
                worker.last_seen.acknowledge(end.number)
            worker.runs.forget(end.key)

    # ---- answers of the worker ---------------------------------------------------------------------------

    def _apply_answer(self, worker: WorkerInstance, call: WorkerCall, answer: CallAnswer, now: float) -> None:
        if answer.status is CallStatus.WRONG_INSTANCE:
            self._end_instance(worker, now)
            if self._worker is None and self._deferred_lists:
                self._begin_instance(self._deferred_lists[0].instance, False, now)
            return
        if answer.no_listener and worker.record_refusal(now):
            self._worker_known = True  # none is there now
            self._end_instance(worker, now)
            return
        if is_missed(call, answer):
            if isinstance(call, PollCall):
                worker.record_missed_poll(min(now, answer.sent_at + call.wait_ms / MS), now)
            else:
                worker.record_missed_call(answer.sent_at)
        else:
            self._apply_received_answer(worker, call, answer, now)
        if isinstance(call, PollCall):
            self._calls.apply_poll_answer(worker, call, answer, now)
        elif isinstance(call, StopCall):
            apply_stop_answer(worker, call, answer, now)
        else:
            apply_start_answer(worker, call, answer, now)

    def _apply_received_answer(self, worker: WorkerInstance, call: WorkerCall, answer: CallAnswer, now: float) -> None:
        worker.record_answer(now)
        if answer.status in (
            CallStatus.DONE,
            CallStatus.REJECTED,
        ):  # an unhealthy worker may not look for whom a call is
            self._instance_answered(worker, answer.sent_at)
        if answer.clock_ms is not None:
            worker.clock.add_reading(answer.clock_ms, answer.sent_at, answer.ended_at)
        if answer.rejection is Rejection.FENCE and call.fence == self.epoch:  # otherwise a newer call overtook this one
            self._fence_rejected()

    def _instance_answered(self, worker: WorkerInstance, sent_at: float) -> None:
        """Record that the instance answered a call that was sent at `sent_at`, so that all others have ended."""
        newly_confirmed = not worker.is_confirmed
        worker.has_answered = self._worker_known = True
        if newly_confirmed:
            self._send_worker_update()
        self._settle_claim(worker, sent_at)
        while self._deferred_lists:
            ended = self._deferred_lists.popleft().instance
            if ended not in self._ended_instances and ended != worker.instance:
                self._ended_instances.append(ended)
                self._send(LifeOver(ended))

    def _fence_rejected(self) -> None:
        """Close the session: the worker has accepted orders of a newer epoch, so this head has been replaced."""
        self._session.fence_stale = True
        self._end_session("the worker has seen a higher fencing token")

    # ---- due work ----------------------------------------------------------------------------------------

    def _advance(self, now: float) -> list[Action]:
        """Do everything that is due, set the next timer and return the collected actions."""
        self._timer.reset()
        self._maintain_session(now)
        worker = self._worker
        if worker is not None and self._timer.is_due(worker.leave_deadline, now) and not worker.runs.any_at_worker():
            self._end_instance(worker, now)
            worker = self._worker
        if worker is not None:
            self._update_worker(worker, now)
        actions, self._actions = self._actions, []
        return actions

    def _update_worker(self, worker: WorkerInstance, now: float) -> None:
        self._check_expiry(worker, now)
        for run in worker.runs:
            self._calls.update_run(worker, run, now)
        self._calls.stop_runs(worker, now)
        self._calls.start_runs(worker, now)
        self._calls.poll_if_due(worker, now)
        self._report_suspicion(worker, now)
        self._flush_report(worker)

    def _maintain_session(self, now: float) -> None:
        session = self._session
        if session.is_open and self._timer.is_due(session.grant_deadline, now):
            self._end_session("the head did not grant a lease in time")
        if session.is_open and self._timer.is_due(session.request_at, now):
            self._send(LeaseRequest(session.request(now)))
            self._timer.is_due(session.request_at, now)
            self._timer.is_due(session.grant_deadline, now)

    def _end_session(self, cause: str) -> None:
        if self._session.is_open:
            self._actions.append(CloseSession(cause))
            self._close_session()

    def _close_session(self) -> None:
        self._session.close()
        if self._worker is not None:
            self._worker.desired_current = False

    def _check_expiry(self, worker: WorkerInstance, now: float) -> None:
        """End all runs if the worker has not answered since the last deadline expired: it has killed them by then."""
        if not worker.runs.any_at_worker() or worker.last_list_requested_at >= worker.expired_at:
            return
        if not self._timer.is_due(worker.expired_at, now):
            return
        for run in worker.runs.at_worker():
            if run.first_seen_at is None and run.state is not RunState.CLOSED:
                worker.abandoned_runs[run.key] = AbandonedRun(now)
            record_inferred_end(worker, run, RunEnd.LOST, now)

    # ---- unresponsive worker -----------------------------------------------------------------------------

    def _report_suspicion(self, worker: WorkerInstance, now: float) -> None:
        """Report a worker to the head that leaves calls unanswered or whose heartbeats are missing."""
        suspect_at = worker.silence_deadline(self._limits.heartbeat_s)
        if worker.runs.any_at_worker() or self._calls.in_flight_count:
            suspect_at = min(suspect_at, worker.unresponsive_at)
        if not self._timer.is_due(max(suspect_at, worker.suspicion_sent_at + SUSPICION_INTERVAL_S), now):
            return
        worker.suspicion_sent_at = now
        self._timer.is_due(now + SUSPICION_INTERVAL_S, now)
        since = worker.last_contact_at if worker.calls_missed_since is None else worker.calls_missed_since
        self._send(WorkerSuspected(worker.instance, int((now - since) * MS)))

    # ---- actions -----------------------------------------------------------------------------------------

    def _send(self, record: Record) -> None:
        if self._session.is_open:
            self._actions.append(SendRecord(record))

    def _flush_report(self, worker: WorkerInstance) -> None:
        """Report everything that was learnt about the instance since the last report."""
        report: RunReport | None = worker.report_draft.take(worker.instance)
        if report is not None:
            self._send(self._reports.add(report))


def _without_countdowns(info: WorkerInfo) -> WorkerInfo:
    """Return the worker info without the fields that change in every heartbeat."""
    return replace(info, sequence=0, cold_left_ms=0, remaining_ms=-1 if info.remaining_ms < 0 else 0)
