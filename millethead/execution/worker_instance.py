"""State of one worker instance as its agent knows it: clock, runs, deadlines, missed calls and unreported ends."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from millethead.execution.messages import RunKey, WorkerInfo
from millethead.execution.reports import LastSeen, ReportDraft
from millethead.execution.runs import RunTable
from millethead.execution.worker_clock import MS, WorkerClock

EXPIRY_MARGIN_S = 0.3  # time from the latest possible passing of a deadline to the assumed end of the runs
MIN_RENEWAL_MS = 200  # a deadline nearer than this is not worth a call
MAX_MISSED_POLLS_FOR_RENEWAL = 1  # after more consecutive missed polls, no poll extends the deadline
MAX_POLL_WAIT_S = 2.0  # maximum time for which the worker delays the answer of a poll
POLL_ANSWER_TIMEOUT_S = 0.7  # timeout of a poll in addition to its wait
SHORT_POLL_ANSWER_TIMEOUT_S = 0.35  # the same for the first polls in a row, of which one may be lost
MISSED_POLLS_FOR_LONG_TIMEOUT = 2  # after this many missed polls in a row, POLL_ANSWER_TIMEOUT_S applies
SUSPICION_DELAY_S = 0.7  # counted from the first of the unanswered calls
MIN_MISSED_CALLS = 2  # consecutive missed calls that make a worker unresponsive; single calls get lost
LOSS_RECOVERY_S = 10.0  # after a missed poll, polls wait for at most MAX_POLL_WAIT_AFTER_LOSS_S during this time
MAX_POLL_WAIT_AFTER_LOSS_S = 0.25
RENEWAL_MARGIN_S = 1.5  # minimum time left until the deadline when a poll returns
MIN_POLL_WAIT_S = 0.3
MAX_MISSED_HEARTBEATS = 3  # a worker without calls is suspected after these heartbeats and HEARTBEAT_MARGIN_S
HEARTBEAT_MARGIN_S = 1.0
CLOSED_PORT_DURATION_S = 0.4  # after this time and MIN_REFUSALS refused calls, the worker process counts as gone
MIN_REFUSALS = 3


@dataclass(slots=True)
class AbandonedRun:
    """A run that was ended because the deadline had expired, although its start may still be carried out.

    It has to be stopped before any deadline is renewed again.
    """

    retry_at: float
    call_in_flight: bool = False


@dataclass(frozen=True, slots=True)
class InstanceClaim:
    """A heartbeat of another instance than the current one: of a newer one, or a late one of an earlier one."""

    info: WorkerInfo
    clock_ms: float | None


@dataclass(slots=True)
class WorkerInstance:
    """State of one worker instance.

    Times are seconds of the agent's monotonic clock, deadlines are milliseconds of the worker's clock.

    - `observed_from_start`: it started under this agent process, so no run of a previous agent process exists on it.
    - `last_contact_at`: the last heartbeat or answer.
    - `inherited_expiry`: time by which all deadlines granted by a previous agent process have passed.
    - `info`: the newest heartbeat; None before the first one.
    - `has_answered`: a call to it was answered.
    - `disputed_at`: when the newest heartbeat of another instance arrived.
    - `answered_call_sent_at`: when the newest answered call was sent.
    - `runs_listed`: the runs that exist on it are known.
    - `desired_received`: this process has received a complete list of desired runs.
    - `desired_current`: the complete list was received in the current session.
    - `max_sent_deadline`, `confirmed_deadline`: the latest deadline in any call, and in any answered call.
    - `poll_call`: number of the poll in flight.
    - `last_list_requested_at`: when the newest answered poll was sent.
    - `last_list_received_at`: when the newest list was received.
    - `missed_polls`, `missed_calls`: consecutive polls and calls without an answer.
    - `calls_missed_since`: when the first of the missed calls was due.
    - `last_missed_poll_at`: when the last missed poll timed out.
    - `leave_deadline`: when it counts as ended after it has announced its shutdown; +inf before.
    - `refused_since`, `refusals`: time of the first and number of consecutive calls that found no listener.
    """

    instance: str
    observed_from_start: bool
    last_contact_at: float
    inherited_expiry: float
    info: WorkerInfo | None = None
    clock: WorkerClock = field(default_factory=WorkerClock)
    runs: RunTable = field(default_factory=RunTable)
    last_seen: LastSeen = field(default_factory=LastSeen)
    report_draft: ReportDraft = field(default_factory=ReportDraft)
    abandoned_runs: dict[RunKey, AbandonedRun] = field(default_factory=dict)
    has_answered: bool = False
    disputed_at: float = -math.inf
    answered_call_sent_at: float = -math.inf
    runs_listed: bool = False
    desired_received: bool = False
    desired_current: bool = False
    max_sent_deadline: float = -math.inf
    confirmed_deadline: float = -math.inf
    poll_call: int | None = None
    next_poll_at: float = -math.inf
    last_list_requested_at: float = -math.inf
    missed_polls: int = 0
    calls_missed_since: float | None = None
    missed_calls: int = 0
    last_missed_poll_at: float = -math.inf
    last_list_received_at: float = -math.inf
    suspicion_sent_at: float = -math.inf
    leave_deadline: float = math.inf
    refused_since: float | None = None
    refusals: int = 0

    def __post_init__(self) -> None:
        self.runs_listed = self.observed_from_start

    @property
    def draining(self) -> bool:
        """Whether no more runs may be started on it."""
        return self.leave_deadline < math.inf or (self.info is not None and self.info.draining)

    @property
    def cold(self) -> bool:
        """Whether it is still slow after its start, according to its newest heartbeat."""
        return self.info is not None and self.info.cold_left_ms > 0

    @property
    def is_confirmed(self) -> bool:
        """Whether it certainly ran after every instance that earlier agent processes knew."""
        return self.has_answered or self.observed_from_start

    @property
    def is_disputed(self) -> bool:
        """Whether another instance may be in its place: that one sent a heartbeat, and no later call was answered."""
        return self.disputed_at > self.answered_call_sent_at

    # ---- deadlines ---------------------------------------------------------------------------------------

    def renewal_deadline(self, lease_end: float, hold_max_ms: float, now: float) -> int | None:
        """Return the latest deadline that the worker certainly reaches before the lease ends.

        Returns None if no deadline may be granted or if it would be too near to be worth a call.
        """
        if self.abandoned_runs or lease_end <= now or not self.clock.known:
            return None
        latest = math.floor(min(self.clock.lowest(now) + hold_max_ms, self.clock.lowest(lease_end)))
        if self.missed_polls > MAX_MISSED_POLLS_FOR_RENEWAL:
            latest = min(latest, math.floor(max(self.max_sent_deadline, 0)))
        return latest if latest >= self.clock.highest(now) + MIN_RENEWAL_MS else None

    def time_left(self, deadline_ms: float, now: float) -> float:
        """Return the minimum time in seconds until the worker's clock can reach the deadline."""
        return (deadline_ms - self.clock.highest(now)) / MS

    def record_sent_deadline(self, deadline_ms: int) -> None:
        """Record that a call with this deadline is sent; the worker may apply it even if it does not answer."""
        self.max_sent_deadline = max(self.max_sent_deadline, deadline_ms)

    def poll_wait_s(self, deadline_ms: int | None, now: float) -> float:
        """Return how long the next poll may wait for an end, in seconds."""
        if self.missed_polls:
            return 0.0
        longest = MAX_POLL_WAIT_AFTER_LOSS_S if now < self.last_missed_poll_at + LOSS_RECOVERY_S else MAX_POLL_WAIT_S
        if deadline_ms is None:
            return longest
        time_left = self.time_left(max(deadline_ms, self.confirmed_deadline), now) - RENEWAL_MARGIN_S
        return min(longest, max(MIN_POLL_WAIT_S, time_left))

    @property
    def poll_answer_timeout_s(self) -> float:
        """Timeout for the answer of the next poll, in addition to its wait."""
        return (
            SHORT_POLL_ANSWER_TIMEOUT_S if self.missed_polls < MISSED_POLLS_FOR_LONG_TIMEOUT else POLL_ANSWER_TIMEOUT_S
        )

    # ---- missed calls ------------------------------------------------------------------------------------

    def silence_deadline(self, heartbeat_s: float) -> float:
        """Return the time at which the worker is suspected if no heartbeat or answer arrives before."""
        return self.last_contact_at + MAX_MISSED_HEARTBEATS * heartbeat_s + HEARTBEAT_MARGIN_S

    def record_answer(self, now: float) -> None:
        """Record that a call was answered."""
        self.last_contact_at = now
        self.missed_polls = self.missed_calls = 0
        self.calls_missed_since = None
        self.reset_refusals()

    def reset_refusals(self) -> None:
        """Record that the worker process exists: a call was answered or a heartbeat arrived."""
        self.refused_since, self.refusals = None, 0

    def record_refusal(self, now: float) -> bool:
        """Record that a call found no listener at the worker's address; return whether the process is certainly gone.

        It is gone if its port has been closed for CLOSED_PORT_DURATION_S without any answer or heartbeat.
        """
        if self.refused_since is None:
            self.refused_since = now
        self.refusals += 1
        return self.refusals >= MIN_REFUSALS and now - self.refused_since >= CLOSED_PORT_DURATION_S

    @property
    def is_unresponsive(self) -> bool:
        """Whether so many consecutive calls were missed that no new run should be started on it."""
        return self.missed_calls >= MIN_MISSED_CALLS

    @property
    def unresponsive_at(self) -> float:
        """Time at which it is suspected because it leaves calls unanswered; +inf if it does not."""
        if self.calls_missed_since is None or not self.is_unresponsive:
            return math.inf
        return self.calls_missed_since + SUSPICION_DELAY_S

    def record_missed_call(self, due_at: float) -> None:
        """Record that a call was not answered; `due_at` is the time from which on an answer was expected."""
        if self.calls_missed_since is None:
            self.calls_missed_since = due_at
        self.missed_calls += 1

    def record_missed_poll(self, due_at: float, now: float) -> None:
        """Record that a poll was not answered; see `record_missed_call`."""
        self.record_missed_call(due_at)
        self.missed_polls += 1
        self.last_missed_poll_at = now

    def unobserved_s(self, sent_at: float) -> float:
        """Return for how long no list had been received when a poll was sent at `sent_at`.

        Returns 0 if no poll was missed since the last list.
        """
        return sent_at - self.last_list_received_at if self.last_missed_poll_at >= self.last_list_received_at else 0.0

    @property
    def expired_at(self) -> float:
        """Time by which every deadline has certainly passed, so that no run can be left on an unresponsive worker."""
        if self.max_sent_deadline == -math.inf:
            return self.inherited_expiry
        return max(self.inherited_expiry, self.clock.passed_by(self.max_sent_deadline) + EXPIRY_MARGIN_S)
