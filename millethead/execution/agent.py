"""The agent's decisions: what to start, stop and hold at its worker, and what to tell the head of the core.

Events come in by one method each, with the time as the last argument (`now`, seconds of the steady clock); each
returns the actions that follow. `next_wake` tells when `timer` is due. Nothing here does any I/O.

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
from millethead.execution.calls import CallAnswer, CallVerdict, HoldCall, Rejection, StopCall, WorkerCall
from millethead.execution.lease import HeadSession
from millethead.execution.life import Life, Unstopped
from millethead.execution.listing import conclude
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
from millethead.execution.order_answers import take_start_answer, take_stop_answer
from millethead.execution.reports import ReportBook
from millethead.execution.runs import RunState
from millethead.execution.wake import Wake
from millethead.execution.wanted import apply_desired
from millethead.execution.worker_calls import AgentLimits, WorkerCalls
from millethead.execution.worker_clock import MS, SLOWEST_RATE
from millethead.rpc.codec import Record

SUSPICION_AFTER_S = 0.7  # of unanswered calls
SUSPICION_INTERVAL_S = 0.5
LEAVE_GRACE_S = 0.2  # from a worker's DELETE until its life counts as over, if nothing runs there
MOST_OVER = 64  # lives remembered to be over
MOST_KEPT = 256  # lists of the head kept for a life that is not known yet


class Agent:
    """The state of one agent's process. `started_at`: when the process began; its predecessor was gone by then."""

    def __init__(self, limits: AgentLimits, started_at: float) -> None:
        self._limits = limits
        self._started_at = started_at
        self._session = HeadSession()
        self._reports = ReportBook()
        self._life: Life | None = None
        self._worker_known = False  # whether the head may be told that there is none
        self._over: deque[str] = deque(maxlen=MOST_OVER)
        self._kept: deque[DesiredRuns] = deque(maxlen=MOST_KEPT)
        self._actions: list[Action] = []
        self._wake = Wake()
        self._calls = WorkerCalls(limits, self._session, self._wake, lambda action: self._actions.append(action))

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
    def life(self) -> Life | None:
        """The worker's life, to be read only."""
        return self._life

    @property
    def calls_under_way(self) -> int:
        """How many calls to the worker have not ended."""
        return self._calls.count

    def next_wake(self) -> float:
        """When `timer` is to be called; +inf: not before another event."""
        return self._wake.at

    # ---- events of the worker ------------------------------------------------------------------------

    def worker_beat(self, info: WorkerInfo, clock_ms: float | None, now: float) -> list[Action]:
        """A heartbeat came. A late one, by its sequence or of a life that is over, changes nothing."""
        if info.instance in self._over:
            return self._advance(now)
        life = self._life
        if life is not None and life.instance != info.instance:
            self._end_life(life, now)
            life = None
        if life is None:
            life = self._begin_life(info.instance, self._worker_known, now)
        if life.info is None or info.sequence > life.info.sequence:
            self._take_beat(life, info, clock_ms, now)
        return self._advance(now)

    def worker_left(self, instance: str, now: float) -> list[Action]:
        """The worker says that this life ends. Some serve on for a while then: the life counts as over shortly after,
        but not while it may run something that no list or closed port has shown to be gone."""
        life = self._life
        if life is not None and life.instance == instance and life.leaves_at == math.inf:
            life.leaves_at = now + LEAVE_GRACE_S
            if life.info is not None:
                life.info = replace(life.info, draining=True)
                self._tell_worker()
        return self._advance(now)

    def call_ended(self, number: int, answer: CallAnswer, now: float) -> list[Action]:
        """A call to the worker has come to its end, with or without an answer."""
        call = self._calls.ended(number)
        life = self._life
        if call is not None and life is not None and call.instance == life.instance:
            self._take_answer(life, call, answer, now)
        return self._advance(now)

    # ---- events of the session -----------------------------------------------------------------------

    def welcomed(self, epoch: int, now: float) -> list[Action]:
        """A head has taken the session. One of an older epoch is refused."""
        if not self._session.welcome(epoch, now):
            return [CloseSession(f"welcome of epoch {epoch}, {self._session.epoch} is known")]
        life = self._life
        if life is not None:
            life.settled = False
            self._tell_all(life)
        self._tell_worker()
        for report in self._reports.open:
            self._send(report)
        return self._advance(now)

    def session_closed(self, now: float) -> list[Action]:
        """The session is over, or is given up."""
        self._close_session()
        return self._advance(now)

    def received(self, record: Record, now: float) -> list[Action]:
        """A record of the head came in the open session."""
        if not self._session.welcomed:
            return []
        if isinstance(record, LeaseGrant):
            self._session.grant(record.sent_ms, record.lease_ms, now)
            self._calls.look_gap_s = record.look_gap_ms / MS
        elif isinstance(record, DesiredRuns):
            self._take_desired(record, now)
        elif isinstance(record, EndsNoted):
            self._take_noted(record)
        return self._advance(now)

    def timer(self, now: float) -> list[Action]:
        """The time of `next_wake` has come."""
        return self._advance(now)

    # ---- lives ---------------------------------------------------------------------------------------

    def _begin_life(self, instance: str, watched: bool, now: float) -> Life:
        """A life becomes known; `watched`: the one before it was known, so nothing was ordered there yet."""
        predecessor_gone = self._started_at + self._limits.hold_max_ms / (MS * SLOWEST_RATE) + LEAVE_GRACE_S
        life = Life(instance, watched, now, -math.inf if watched else predecessor_gone)
        life.ordered = life.settled = watched and self._session.welcomed
        self._life = life
        kept, self._kept = self._kept, deque(maxlen=MOST_KEPT)
        for desired in kept:
            self._take_desired(desired, now)
        return life

    def _end_life(self, life: Life, now: float) -> None:
        """The life is over for certain, and with it all that ran there."""
        self._flush(life)
        self._over.append(life.instance)
        self._life = None
        self._worker_known = True
        self._send(LifeOver(life.instance))

    def _take_beat(self, life: Life, info: WorkerInfo, clock_ms: float | None, now: float) -> None:
        if life.leaves_at < math.inf:
            info = replace(info, draining=True)
        before, life.info = life.info, info
        life.heard_at = now
        life.answers()
        if clock_ms is not None:
            life.clock.learn(clock_ms, None, now)
        if not life.runs.any_at_worker():
            life.heard(now)
        self._worker_known = True
        if before is None or _settled_facts(before) != _settled_facts(info):
            self._tell_worker()

    def _tell_worker(self) -> None:
        """Tell the head of the worker as it is; nothing where this process does not know."""
        life = self._life
        if life is not None and life.info is not None:
            self._send(WorkerUpdate(life.info))
        elif self._worker_known and life is None:
            self._send(WorkerUpdate(None))

    def _tell_all(self, life: Life) -> None:
        """Repeat to a new session what runs."""
        running = [run for run in life.runs if run.state is RunState.RUNNING and run.order is not None]
        life.draft.started = [run.key for run in running]
        life.draft.progress = [RunProgress(run.key, run.saved, run.percent) for run in running if run.told_at]

    # ---- the head's lists ----------------------------------------------------------------------------

    def _take_desired(self, desired: DesiredRuns, now: float) -> None:
        life = self._life
        if desired.instance in self._over:
            self._send(LifeOver(desired.instance))
        elif life is None and not self._worker_known:
            self._kept.append(desired)
            self._begin_life(desired.instance, False, now)
        elif life is not None and life.instance == desired.instance:
            apply_desired(life, desired, now)
        elif life is None or life.confirmed or life.watched:
            self._over.append(desired.instance)
            self._send(LifeOver(desired.instance))
        else:
            self._kept.append(desired)

    def _take_noted(self, noted: EndsNoted) -> None:
        life = self._life
        for end in self._reports.note(noted.instance, noted.sequence):
            if life is None or life.instance != noted.instance:
                continue
            if end.number:
                life.last_seen.note(end.number)
            life.runs.forget(end.key)

    # ---- answers of the worker -----------------------------------------------------------------------

    def _take_answer(self, life: Life, call: WorkerCall, answer: CallAnswer, now: float) -> None:
        if answer.result is CallVerdict.WRONG_LIFE:
            self._end_life(life, now)
            self._tell_worker()
            if self._kept:
                self._begin_life(self._kept[0].instance, False, now)
            return
        if answer.no_listener and life.refused(now):
            self._end_life(life, now)
            self._tell_worker()
            return
        if _missed(call, answer):
            if isinstance(call, HoldCall):
                life.missed_hold(min(now, answer.sent_at + call.wait_ms / MS), now)
            else:
                life.missed(answer.sent_at)
        else:
            self._take_heard(life, call, answer, now)
        if isinstance(call, HoldCall):
            self._calls.take_hold_answer(life, call, answer, now)
        elif isinstance(call, StopCall):
            take_stop_answer(life, call, answer, now)
        else:
            take_start_answer(life, call, answer, now)

    def _take_heard(self, life: Life, call: WorkerCall, answer: CallAnswer, now: float) -> None:
        life.heard(now)
        life.confirmed = True
        if answer.clock_ms is not None:
            life.clock.learn(answer.clock_ms, answer.sent_at, answer.ended_at)
        if answer.rejection is Rejection.FENCE and call.fence == self.epoch:  # else a newer call has overtaken it
            self._fence_rejected()
        while self._kept:
            over = self._kept.popleft().instance
            if over not in self._over and over != life.instance:
                self._over.append(over)
                self._send(LifeOver(over))

    def _fence_rejected(self) -> None:
        """The worker has seen a newer epoch: whoever welcomed this session is not the head any more."""
        self._session.fence_stale = True
        self._end_session("the worker has seen a higher fence")

    # ---- what follows --------------------------------------------------------------------------------

    def _advance(self, now: float) -> list[Action]:
        """Everything that is due now; sets the next wake-up time."""
        self._wake.clear()
        self._keep_session(now)
        life = self._life
        if life is not None and self._wake.due(life.leaves_at, now) and not life.runs.any_at_worker():
            self._end_life(life, now)
            self._tell_worker()
            life = None
        if life is not None:
            self._tend_life(life, now)
        actions, self._actions = self._actions, []
        return actions

    def _tend_life(self, life: Life, now: float) -> None:
        self._check_lapse(life, now)
        for run in life.runs:
            self._calls.settle_run(life, run, now)
        self._calls.stop_runs(life, now)
        self._calls.start_runs(life, now)
        self._calls.look(life, now)
        self._suspect(life, now)
        self._flush(life)

    def _keep_session(self, now: float) -> None:
        session = self._session
        if session.welcomed and self._wake.due(session.silent_at, now):
            self._end_session("the head grants no lease")
        if session.welcomed and self._wake.due(session.request_at, now):
            self._send(LeaseRequest(session.request(now)))
            self._wake.due(session.request_at, now)
            self._wake.due(session.silent_at, now)

    def _end_session(self, cause: str) -> None:
        if self._session.welcomed:
            self._actions.append(CloseSession(cause))
            self._close_session()

    def _close_session(self) -> None:
        self._session.close()
        if self._life is not None:
            self._life.settled = False

    def _check_lapse(self, life: Life, now: float) -> None:
        """A worker that has not answered since its hold lapsed has killed everything."""
        if not life.runs.any_at_worker() or life.listed_at >= life.lapsed_at:
            return
        if not self._wake.due(life.lapsed_at, now):
            return
        for run in life.runs.at_worker():
            if run.seen_at is None and run.state is not RunState.CLOSED:
                life.unstopped[run.key] = Unstopped(now)
            conclude(life, run, RunEnd.LOST, now)

    # ---- silence -------------------------------------------------------------------------------------

    def _suspect(self, life: Life, now: float) -> None:
        """Tell the head of a worker that leaves calls unanswered, or whose heartbeats stay away."""
        from_calls = math.inf
        if life.missed_since is not None and life.is_doubted and (life.runs.any_at_worker() or self._calls.count):
            from_calls = life.missed_since + SUSPICION_AFTER_S
        begins_at = min(from_calls, life.quiet_at(self._limits.heartbeat_s))
        if not self._wake.due(max(begins_at, life.suspected_at + SUSPICION_INTERVAL_S), now):
            return
        life.suspected_at = now
        self._wake.due(now + SUSPICION_INTERVAL_S, now)
        since = life.heard_at if life.missed_since is None else life.missed_since
        self._send(WorkerSuspected(life.instance, int((now - since) * MS)))

    # ---- actions -------------------------------------------------------------------------------------

    def _send(self, record: Record) -> None:
        if self._session.welcomed:
            self._actions.append(SendRecord(record))

    def _flush(self, life: Life) -> None:
        """Report what has been learnt about the life since the last time."""
        report: RunReport | None = life.draft.take(life.instance)
        if report is not None:
            self._send(self._reports.add(report))


def _missed(call: WorkerCall, answer: CallAnswer) -> bool:
    """Whether the worker has not answered, or has turned a hold down, which is as good as none."""
    if isinstance(call, HoldCall) and answer.result in (CallVerdict.UNHEALTHY, CallVerdict.INVALID):
        return True
    return answer.result in (CallVerdict.UNCLEAR, CallVerdict.NOT_SENT)


def _settled_facts(info: WorkerInfo) -> WorkerInfo:
    """What the head is told of a worker, without what merely counts down or up."""
    return replace(info, sequence=0, cold_left_ms=0, remaining_ms=-1 if info.remaining_ms < 0 else 0)
