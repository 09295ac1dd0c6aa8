"""One life of the worker, as its agent knows it: clock, holds, silence, runs, and ends that are not noted yet."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from millethead.execution.messages import RunKey, WorkerInfo
from millethead.execution.reports import Draft, LastSeen
from millethead.execution.runs import RunTable
from millethead.execution.worker_clock import MS, WorkerClock

LAPSE_MARGIN_S = 0.3  # after the last deadline has passed for certain
LEAST_HOLD_MS = 200  # a deadline nearer than this is not worth a call
MOST_RENEWING_MISSES = 1  # unanswered holds in a row after which no hold extends the deadline any more
LONGEST_WAIT_S = 2.0  # that a hold may wait for an end
ANSWER_PATIENCE_S = 0.7  # for the answer of a hold, beyond its wait
SHORT_PATIENCE_S = 0.35  # the same of the first one and of that after it, of which one may be lost
PATIENT_MISSES = 2  # holds unanswered in a row from which on the next ones are given more time
LEAST_UNANSWERED = 2  # calls in a row until it is doubted that the worker answers: single orders get lost
LOSSY_S = 10.0  # for so long after an unanswered hold the next ones wait for LOSSY_WAIT_S at most
LOSSY_WAIT_S = 0.25
RENEWAL_RESERVE_S = 1.5  # of the hold that must be left when a waiting hold comes back
SHORTEST_WAIT_S = 0.3
BEATS_MISSED = 3  # heartbeats, and BEAT_SLACK_S, until a worker that is not called is suspected
BEAT_SLACK_S = 1.0
DEAD_PORT_S = 0.4  # a port that was closed for so long, and LEAST_REFUSALS calls, has no process behind it any more
LEAST_REFUSALS = 3


@dataclass(slots=True)
class Unstopped:
    """A run that was given up when the hold had lapsed, and whose start might still be carried out: it must be stopped
    before anything is held again."""

    retry_at: float
    calling: bool = False


@dataclass(slots=True)
class Life:
    """`info`: None until its first heartbeat. `watched`: it began under this process, so nothing of a predecessor runs
    there. `confirmed`: a call to it was answered. `listed`: what runs there is known. `ordered`: a whole list of the
    head came in this process; `settled`: in this session. `most_deadline`: the latest ever sent, `granted` ever
    answered (the worker's clock, ms). `lapses_at`: the earliest moment by which all of a predecessor's holds are over.
    `hold`: the number of the hold under way. `misses`: holds without an answer in a row. `missed_since`: since when
    calls go unanswered, `unanswered` of them in a row. `hold_lost_at`: when the last unanswered hold was given up.
    `answered_at`: when the newest list came. `heard_at`: the last heartbeat or answer. `leaves_at`: set once it said
    that it ends. `refused_since`: since when calls find no listener, `refusals` of them. Other times are
    seconds of the agent's steady clock."""

    instance: str
    watched: bool
    heard_at: float
    lapses_at: float
    info: WorkerInfo | None = None
    clock: WorkerClock = field(default_factory=WorkerClock)
    runs: RunTable = field(default_factory=RunTable)
    last_seen: LastSeen = field(default_factory=LastSeen)
    draft: Draft = field(default_factory=Draft)
    unstopped: dict[RunKey, Unstopped] = field(default_factory=dict)
    confirmed: bool = False
    listed: bool = False
    ordered: bool = False
    settled: bool = False
    most_deadline: float = -math.inf
    granted: float = -math.inf
    hold: int | None = None
    look_at: float = -math.inf
    listed_at: float = -math.inf
    misses: int = 0
    missed_since: float | None = None
    unanswered: int = 0
    hold_lost_at: float = -math.inf
    answered_at: float = -math.inf
    suspected_at: float = -math.inf
    leaves_at: float = math.inf
    refused_since: float | None = None
    refusals: int = 0

    def __post_init__(self) -> None:
        self.listed = self.watched

    @property
    def draining(self) -> bool:
        """Whether nothing more may be started there."""
        return self.leaves_at < math.inf or (self.info is not None and self.info.draining)

    @property
    def cold(self) -> bool:
        """Whether it is still slow from its beginning, by its newest heartbeat."""
        return self.info is not None and self.info.cold_left_ms > 0

    # ---- deadlines -----------------------------------------------------------------------------------

    def deadline(self, lease_end: float, hold_max_ms: float, now: float) -> int | None:
        """The latest deadline that the worker certainly reaches before the lease ends; None if none is worth a call
        or may be granted."""
        if self.unstopped or lease_end <= now or not self.clock.known:
            return None
        latest = math.floor(min(self.clock.lowest(now) + hold_max_ms, self.clock.lowest(lease_end)))
        if self.misses > MOST_RENEWING_MISSES:
            latest = min(latest, math.floor(max(self.most_deadline, 0)))
        return latest if latest >= self.clock.highest(now) + LEAST_HOLD_MS else None

    def left(self, deadline_ms: float, now: float) -> float:
        """Seconds until the worker's clock can reach the deadline at the earliest."""
        return (deadline_ms - self.clock.highest(now)) / MS

    def sent_deadline(self, deadline_ms: int) -> None:
        """A call with this deadline leaves: it may be granted, answered or not."""
        self.most_deadline = max(self.most_deadline, deadline_ms)

    def wait_for(self, deadline_ms: int | None, now: float) -> float:
        """Seconds that the next hold may wait for an end."""
        if self.misses:
            return 0.0
        longest = LOSSY_WAIT_S if now < self.hold_lost_at + LOSSY_S else LONGEST_WAIT_S
        if deadline_ms is None:
            return longest
        left = self.left(max(deadline_ms, self.granted), now) - RENEWAL_RESERVE_S
        return min(longest, max(SHORTEST_WAIT_S, left))

    @property
    def hold_patience_s(self) -> float:
        """For the answer of the next hold, beyond its wait."""
        return SHORT_PATIENCE_S if self.misses < PATIENT_MISSES else ANSWER_PATIENCE_S

    # ---- silence -------------------------------------------------------------------------------------

    def quiet_at(self, heartbeat_s: float) -> float:
        """When the worker counts as silent unless it is heard before, whether or not it is called."""
        return self.heard_at + BEATS_MISSED * heartbeat_s + BEAT_SLACK_S

    def heard(self, now: float) -> None:
        """A call was answered."""
        self.heard_at = now
        self.misses = self.unanswered = 0
        self.missed_since = None
        self.answers()

    def answers(self) -> None:
        """There is a process: a call was answered, or a heartbeat came."""
        self.refused_since, self.refusals = None, 0

    def refused(self, now: float) -> bool:
        """A call found no listener at the worker's address; returns whether that shows that the process is gone: it
        has been so for a while, and neither an answer nor a heartbeat came meanwhile."""
        if self.refused_since is None:
            self.refused_since = now
        self.refusals += 1
        return self.refusals >= LEAST_REFUSALS and now - self.refused_since >= DEAD_PORT_S

    @property
    def is_doubted(self) -> bool:
        """Whether so many calls in a row went unanswered that nothing new should be begun there."""
        return self.unanswered >= LEAST_UNANSWERED

    def missed(self, due_at: float) -> None:
        """A call went unanswered that should have been answered from `due_at` on."""
        if self.missed_since is None:
            self.missed_since = due_at
        self.unanswered += 1

    def missed_hold(self, due_at: float, now: float) -> None:
        """The same of a hold."""
        self.missed(due_at)
        self.misses += 1
        self.hold_lost_at = now

    def blind_s(self, sent_at: float) -> float:
        """For how long no list came before a hold that was sent at this time, if one went unanswered meanwhile."""
        return sent_at - self.answered_at if self.hold_lost_at >= self.answered_at else 0.0

    @property
    def lapsed_at(self) -> float:
        """The moment by which everything that was held is certainly over."""
        if self.most_deadline == -math.inf:
            return self.lapses_at
        return max(self.lapses_at, self.clock.passed_by(self.most_deadline) + LAPSE_MARGIN_S)
