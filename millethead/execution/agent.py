"""The agent's decisions: what to start, stop and hold at its worker, and what to tell the head of the core.

Events come in by one method each, with the time as the last argument (`now`, seconds of the steady clock); each
returns the actions that follow. `next_timer` tells when `timer_expired` is due. Nothing here does any I/O.

The rules that it keeps, whatever is lost on the way:

- What may be at the worker never exceeds its capacity; a start without an answer counts until it is disproved.
- A run is concluded never to have run only where its start cannot be carried out any more.
- No deadline is granted that the worker's clock, which may be slow, could reach after the lease's end.
- Ends are reported until the head has noted them, and the worker is told to forget them only then.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import replace

from millethead.execution.actions import Action, CloseSession, SendRecord
from millethead.execution.call_planner import AgentLimits, CallPlanner
from millethead.execution.calls import CallAnswer, CallStatus, PollCall, Rejection, StopCall, WorkerCall
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
from millethead.execution.worker_instance import AbandonedRun, WorkerInstance
from millethead.rpc.codec import Record

SUSPICION_DELAY_S = 0.7  # of missed_calls calls
SUSPICION_INTERVAL_S = 0.5
LEAVE_GRACE_PERIOD_S = 0.2  # from a worker's DELETE until its worker counts as over, if nothing runs there
MAX_ENDED_INSTANCES = 64  # lives remembered to be over
MAX_DEFERRED_LISTS = 256  # lists of the head kept for a worker that is not known yet


class Agent:
    """The state of one agent's process. `started_at`: when the process began; its predecessor was gone by then."""

    def __init__(self, limits: AgentLimits, started_at: float) -> None:
        self._limits = limits
        self._started_at = started_at
        self._session = HeadSession()
        self._reports = PendingReports()
        self._worker: WorkerInstance | None = None
        self._worker_known = False  # whether the head may be told that there is none
        self._ended_instances: deque[str] = deque(maxlen=MAX_ENDED_INSTANCES)
        self._deferred_lists: deque[DesiredRuns] = deque(maxlen=MAX_DEFERRED_LISTS)
        self._actions: list[Action] = []
        self._timer = NextTimer()
        self._calls = CallPlanner(limits, self._session, self._timer, lambda action: self._actions.append(action))

    # ---- what others may ask -------------------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """The newest epoch of a welcome: the fence of all orders."""
        return self._calls.fence

    @property
    def lease_end(self) -> float:
        """Until when runs may be held; -inf before the first grant."""
        return self._session.lease_end

    @property
    def worker(self) -> WorkerInstance | None:
        """The worker's worker, to be read only."""
        return self._worker

    @property
    def calls_in_flight(self) -> int:
        """How many calls to the worker have not ended."""
        return self._calls.in_flight_count

    def next_timer(self) -> float:
        """When `timer_expired` is to be called; +inf: not before another event."""
        return self._timer.at

    # ---- events of the worker ------------------------------------------------------------------------

    def heartbeat_received(self, info: WorkerInfo, clock_ms: float | None, now: float) -> list[Action]:
        """A heartbeat came. A late one, by its sequence or of a worker that is over, changes nothing."""
        if info.instance in self._ended_instances:
            return self._advance(now)
        worker = self._worker
        if worker is not None and worker.instance != info.instance:
            self._end_instance(worker, now)
            worker = None
        if worker is None:
            worker = self._begin_instance(info.instance, self._worker_known, now)
        if worker.info is None or info.sequence > worker.info.sequence:
            self._apply_heartbeat(worker, info, clock_ms, now)
        return self._advance(now)

    def worker_left(self, instance: str, now: float) -> list[Action]:
        """The worker says that this worker ends. Some serve on for a while then: the worker counts as over shortly after,
        but not while it may run something that no list or closed port has shown to be gone."""
        worker = self._worker
        if worker is not None and worker.instance == instance and worker.leave_deadline == math.inf:
            worker.leave_deadline = now + LEAVE_GRACE_PERIOD_S
            if worker.info is not None:
                worker.info = replace(worker.info, draining=True)
                self._send_worker_update()
        return self._advance(now)

    def call_ended(self, number: int, answer: CallAnswer, now: float) -> list[Action]:
        """A call to the worker has come to its end, with or without an answer."""
        call = self._calls.remove(number)
        worker = self._worker
        if call is not None and worker is not None and call.instance == worker.instance:
            self._apply_answer(worker, call, answer, now)
        return self._advance(now)

    # ---- events of the session -----------------------------------------------------------------------

    def session_opened(self, epoch: int, now: float) -> list[Action]:
        """A head has taken the session. One of an older epoch is refused."""
        if not self._session.open(epoch, now):
            return [CloseSession(f"welcome of epoch {epoch}, {self._session.epoch} is known")]
        worker = self._worker
        if worker is not None:
            worker.desired_current = False
            self._queue_full_report(worker)
        self._send_worker_update()
        for report in self._reports.unacknowledged:
            self._send(report)
        return self._advance(now)

    def session_closed(self, now: float) -> list[Action]:
        """The session is over, or is given up."""
        self._close_session()
        return self._advance(now)

    def record_received(self, record: Record, now: float) -> list[Action]:
        """A record of the head came in the open session."""
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
        """The time of `next_timer` has come."""
        return self._advance(now)

    # ---- lives ---------------------------------------------------------------------------------------

    def _begin_instance(self, instance: str, observed_from_start: bool, now: float) -> WorkerInstance:
        """A worker becomes known; `observed_from_start`: the one before it was known, so nothing was desired_received there yet."""
        predecessor_gone = self._started_at + self._limits.hold_max_ms / (MS * SLOWEST_RATE) + LEAVE_GRACE_PERIOD_S
        worker = WorkerInstance(
            instance, observed_from_start, now, -math.inf if observed_from_start else predecessor_gone
        )
        worker.desired_received = worker.desired_current = observed_from_start and self._session.is_open
        self._worker = worker
        kept, self._deferred_lists = self._deferred_lists, deque(maxlen=MAX_DEFERRED_LISTS)
        for desired in kept:
            self._apply_desired_runs(desired, now)
        return worker

    def _end_instance(self, worker: WorkerInstance, now: float) -> None:
        """The worker is over for certain, and with it all that ran there."""
        self._flush_report(worker)
        self._ended_instances.append(worker.instance)
        self._worker = None
        self._worker_known = True
        self._send(LifeOver(worker.instance))

    def _apply_heartbeat(self, worker: WorkerInstance, info: WorkerInfo, clock_ms: float | None, now: float) -> None:
        if worker.leave_deadline < math.inf:
            info = replace(info, draining=True)
        before, worker.info = worker.info, info
        worker.last_contact_at = now
        worker.reset_refusals()
        if clock_ms is not None:
            worker.clock.add_reading(clock_ms, None, now)
        if not worker.runs.any_at_worker():
            worker.record_answer(now)
        self._worker_known = True
        if before is None or _without_countdowns(before) != _without_countdowns(info):
            self._send_worker_update()

    def _send_worker_update(self) -> None:
        """Tell the head of the worker as it is; nothing where this process does not know."""
        worker = self._worker
        if worker is not None and worker.info is not None:
            self._send(WorkerUpdate(worker.info))
        elif self._worker_known and worker is None:
            self._send(WorkerUpdate(None))

    def _queue_full_report(self, worker: WorkerInstance) -> None:
        """Repeat to a new session what runs."""
        running = [run for run in worker.runs if run.state is RunState.RUNNING and run.order is not None]
        worker.report_draft.started = [run.key for run in running]
        worker.report_draft.progress = [
            RunProgress(run.key, run.checkpoint, run.percent) for run in running if run.progress_sent_at
        ]

    # ---- the head's lists ----------------------------------------------------------------------------

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

    # ---- answers of the worker -----------------------------------------------------------------------

    def _apply_answer(self, worker: WorkerInstance, call: WorkerCall, answer: CallAnswer, now: float) -> None:
        if answer.status is CallStatus.WRONG_INSTANCE:
            self._end_instance(worker, now)
            self._send_worker_update()
            if self._deferred_lists:
                self._begin_instance(self._deferred_lists[0].instance, False, now)
            return
        if answer.no_listener and worker.record_refusal(now):
            self._end_instance(worker, now)
            self._send_worker_update()
            return
        if _is_missed(call, answer):
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
        worker.has_answered = True
        if answer.clock_ms is not None:
            worker.clock.add_reading(answer.clock_ms, answer.sent_at, answer.ended_at)
        if answer.rejection is Rejection.FENCE and call.fence == self.epoch:  # else a newer call has overtaken it
            self._fence_rejected()
        while self._deferred_lists:
            over = self._deferred_lists.popleft().instance
            if over not in self._ended_instances and over != worker.instance:
                self._ended_instances.append(over)
                self._send(LifeOver(over))

    def _fence_rejected(self) -> None:
        """The worker has seen a newer epoch: whoever session_opened this session is not the head any more."""
        self._session.fence_stale = True
        self._end_session("the worker has seen a higher fence")

    # ---- what follows --------------------------------------------------------------------------------

    def _advance(self, now: float) -> list[Action]:
        """Everything that is due now; sets the next timer-up time."""
        self._timer.reset()
        self._maintain_session(now)
        worker = self._worker
        if worker is not None and self._timer.is_due(worker.leave_deadline, now) and not worker.runs.any_at_worker():
            self._end_instance(worker, now)
            self._send_worker_update()
            worker = None
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
            self._end_session("the head grants no lease")
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
        """A worker that has not answered since its hold lapsed has killed everything."""
        if not worker.runs.any_at_worker() or worker.last_list_requested_at >= worker.expired_at:
            return
        if not self._timer.is_due(worker.expired_at, now):
            return
        for run in worker.runs.at_worker():
            if run.first_seen_at is None and run.state is not RunState.CLOSED:
                worker.abandoned_runs[run.key] = AbandonedRun(now)
            record_inferred_end(worker, run, RunEnd.LOST, now)

    # ---- silence -------------------------------------------------------------------------------------

    def _report_suspicion(self, worker: WorkerInstance, now: float) -> None:
        """Tell the head of a worker that leaves calls missed_calls, or whose heartbeats stay away."""
        from_calls = math.inf
        if (
            worker.calls_missed_since is not None
            and worker.is_unresponsive
            and (worker.runs.any_at_worker() or self._calls.in_flight_count)
        ):
            from_calls = worker.calls_missed_since + SUSPICION_DELAY_S
        begins_at = min(from_calls, worker.silence_deadline(self._limits.heartbeat_s))
        if not self._timer.is_due(max(begins_at, worker.suspicion_sent_at + SUSPICION_INTERVAL_S), now):
            return
        worker.suspicion_sent_at = now
        self._timer.is_due(now + SUSPICION_INTERVAL_S, now)
        since = worker.last_contact_at if worker.calls_missed_since is None else worker.calls_missed_since
        self._send(WorkerSuspected(worker.instance, int((now - since) * MS)))

    # ---- actions -------------------------------------------------------------------------------------

    def _send(self, record: Record) -> None:
        if self._session.is_open:
            self._actions.append(SendRecord(record))

    def _flush_report(self, worker: WorkerInstance) -> None:
        """Report what has been learnt about the worker since the last time."""
        report: RunReport | None = worker.report_draft.take(worker.instance)
        if report is not None:
            self._send(self._reports.add(report))


def _is_missed(call: WorkerCall, answer: CallAnswer) -> bool:
    """Whether the worker has not answered, or has turned a hold down, which is as good as none."""
    if isinstance(call, PollCall) and answer.status in (CallStatus.UNHEALTHY, CallStatus.INVALID):
        return True
    return answer.status in (CallStatus.UNCLEAR, CallStatus.NOT_SENT)


def _without_countdowns(info: WorkerInfo) -> WorkerInfo:
    """What the head is told of a worker, without what merely counts down or up."""
    return replace(info, sequence=0, cold_left_ms=0, remaining_ms=-1 if info.remaining_ms < 0 else 0)
