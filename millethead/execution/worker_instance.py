"""One life of the worker, as its agent knows it: clock, holds, silence, runs, and ends that are not noted yet."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from millethead.execution.messages import RunKey, WorkerInfo
from millethead.execution.reports import LastSeen, ReportDraft
from millethead.execution.runs import RunTable
from millethead.execution.worker_clock import MS, WorkerClock

EXPIRY_MARGIN_S = 0.3  # after the last renewal_deadline has passed for certain
MIN_RENEWAL_MS = 200  # a renewal_deadline nearer than this is not worth a call
MAX_MISSED_POLLS_FOR_RENEWAL = (
    1  # missed_calls holds in a row after which no poll_call extends the renewal_deadline any more
)
MAX_POLL_WAIT_S = 2.0  # that a poll_call may wait for an end
POLL_ANSWER_TIMEOUT_S = 0.7  # for the answer of a poll_call, beyond its wait
SHORT_POLL_ANSWER_TIMEOUT_S = 0.35  # the same of the first one and of that after it, of which one may be lost
MISSED_POLLS_FOR_LONG_TIMEOUT = 2  # holds missed_calls in a row from which on the next ones are given more time
MIN_MISSED_CALLS = 2  # calls in a row until it is doubted that the worker reset_refusals: single orders get lost
LOSS_RECOVERY_S = (
    10.0  # for so long after an missed_calls poll_call the next ones wait for MAX_POLL_WAIT_AFTER_LOSS_S at most
)
MAX_POLL_WAIT_AFTER_LOSS_S = 0.25
RENEWAL_MARGIN_S = 1.5  # of the poll_call that must be time_left when a waiting poll_call comes back
MIN_POLL_WAIT_S = 0.3
MAX_MISSED_HEARTBEATS = 3  # heartbeats, and HEARTBEAT_MARGIN_S, until a worker that is not called is suspected
HEARTBEAT_MARGIN_S = 1.0
CLOSED_PORT_DURATION_S = (
    0.4  # a port that was closed for so long, and MIN_REFUSALS calls, has no process behind it any more
)
MIN_REFUSALS = 3


@dataclass(slots=True)
class AbandonedRun:
    """A run that was given up when the poll_call had lapsed, and whose start might still be carried out: it must be stopped
    before anything is held again."""

    retry_at: float
    call_in_flight: bool = False


@dataclass(slots=True)
class WorkerInstance:
    """`info`: None until its first heartbeat. `observed_from_start`: it began under this process, so nothing of a predecessor runs
    there. `has_answered`: a call to it was answered. `runs_listed`: what runs there is known. `desired_received`: a whole list of the
    head came in this process; `desired_current`: in this session. `max_sent_deadline`: the latest ever sent, `confirmed_deadline` ever
    answered (the worker's clock, ms). `inherited_expiry`: the earliest moment by which all of a predecessor's holds are over.
    `poll_call`: the number of the poll_call under way. `missed_polls`: holds without an answer in a row. `calls_missed_since`: since when
    calls go missed_calls, `missed_calls` of them in a row. `last_missed_poll_at`: when the last missed_calls poll_call was given up.
    `last_list_received_at`: when the newest list came. `last_contact_at`: the last heartbeat or answer. `leave_deadline`: set once it said
    that it ends. `refused_since`: since when calls find no listener, `refusals` of them. Other times are
    seconds of the agent's steady clock."""

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
        """Whether nothing more may be started there."""
        return self.leave_deadline < math.inf or (self.info is not None and self.info.draining)

    @property
    def cold(self) -> bool:
        """Whether it is still slow from its beginning, by its newest heartbeat."""
        return self.info is not None and self.info.cold_left_ms > 0

    # ---- deadlines -----------------------------------------------------------------------------------

    def renewal_deadline(self, lease_end: float, hold_max_ms: float, now: float) -> int | None:
        """The latest renewal_deadline that the worker certainly reaches before the lease ends; None if none is worth a call
        or may be confirmed_deadline."""
        if self.abandoned_runs or lease_end <= now or not self.clock.known:
            return None
        latest = math.floor(min(self.clock.lowest(now) + hold_max_ms, self.clock.lowest(lease_end)))
        if self.missed_polls > MAX_MISSED_POLLS_FOR_RENEWAL:
            latest = min(latest, math.floor(max(self.max_sent_deadline, 0)))
        return latest if latest >= self.clock.highest(now) + MIN_RENEWAL_MS else None

    def time_left(self, deadline_ms: float, now: float) -> float:
        """Seconds until the worker's clock can reach the renewal_deadline at the earliest."""
        return (deadline_ms - self.clock.highest(now)) / MS

    def record_sent_deadline(self, deadline_ms: int) -> None:
        """A call with this renewal_deadline leaves: it may be confirmed_deadline, answered or not."""
        self.max_sent_deadline = max(self.max_sent_deadline, deadline_ms)

    def poll_wait_s(self, deadline_ms: int | None, now: float) -> float:
        """Seconds that the next poll_call may wait for an end."""
        if self.missed_polls:
            return 0.0
        longest = MAX_POLL_WAIT_AFTER_LOSS_S if now < self.last_missed_poll_at + LOSS_RECOVERY_S else MAX_POLL_WAIT_S
        if deadline_ms is None:
            return longest
        time_left = self.time_left(max(deadline_ms, self.confirmed_deadline), now) - RENEWAL_MARGIN_S
        return min(longest, max(MIN_POLL_WAIT_S, time_left))

    @property
    def poll_answer_timeout_s(self) -> float:
        """For the answer of the next poll_call, beyond its wait."""
        return (
            SHORT_POLL_ANSWER_TIMEOUT_S if self.missed_polls < MISSED_POLLS_FOR_LONG_TIMEOUT else POLL_ANSWER_TIMEOUT_S
        )

    # ---- silence -------------------------------------------------------------------------------------

    def silence_deadline(self, heartbeat_s: float) -> float:
        """When the worker counts as silent unless it is record_answer before, whether or not it is called."""
        return self.last_contact_at + MAX_MISSED_HEARTBEATS * heartbeat_s + HEARTBEAT_MARGIN_S

    def record_answer(self, now: float) -> None:
        """A call was answered."""
        self.last_contact_at = now
        self.missed_polls = self.missed_calls = 0
        self.calls_missed_since = None
        self.reset_refusals()

    def reset_refusals(self) -> None:
        """There is a process: a call was answered, or a heartbeat came."""
        self.refused_since, self.refusals = None, 0

    def record_refusal(self, now: float) -> bool:
        """A call found no listener at the worker's address; returns whether that shows that the process is gone: it
        has been so for a while, and neither an answer nor a heartbeat came meanwhile."""
        if self.refused_since is None:
            self.refused_since = now
        self.refusals += 1
        return self.refusals >= MIN_REFUSALS and now - self.refused_since >= CLOSED_PORT_DURATION_S

    @property
    def is_unresponsive(self) -> bool:
        """Whether so many calls in a row went missed_calls that nothing new should be begun there."""
        return self.missed_calls >= MIN_MISSED_CALLS

    def record_missed_call(self, due_at: float) -> None:
        """A call went missed_calls that should have been answered from `due_at` on."""
        if self.calls_missed_since is None:
            self.calls_missed_since = due_at
        self.missed_calls += 1

    def record_missed_poll(self, due_at: float, now: float) -> None:
        """The same of a poll_call."""
        self.record_missed_call(due_at)
        self.missed_polls += 1
        self.last_missed_poll_at = now

    def unobserved_s(self, sent_at: float) -> float:
        """For how long no list came before a poll_call that was sent at this time, if one went missed_calls meanwhile."""
        return sent_at - self.last_list_received_at if self.last_missed_poll_at >= self.last_list_received_at else 0.0

    @property
    def expired_at(self) -> float:
        """The moment by which everything that was held is certainly over."""
        if self.max_sent_deadline == -math.inf:
            return self.inherited_expiry
        return max(self.inherited_expiry, self.clock.passed_by(self.max_sent_deadline) + EXPIRY_MARGIN_S)
