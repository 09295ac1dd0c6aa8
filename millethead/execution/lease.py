"""The agent's session with the head: its epoch, and the lease within which the agent may renew runs."""

from __future__ import annotations

import math
from dataclasses import dataclass

MS = 1000
LEASE_REQUEST_INTERVAL_S = 1.0
GRANT_TIMEOUT_S = 1.0  # from a lease request; a head that does not grant it in time counts as unresponsive


@dataclass(slots=True)
class HeadSession:
    """State of the session with the head. Times are seconds of the agent's monotonic clock.

    - `epoch`: the newest epoch of a head; the fencing token of all orders.
    - `lease_end`: the end of the lease. The lease outlives the session.
    - `is_open`: a head has accepted the session.
    - `lease_granted`: the lease was granted in this session.
    - `fence_stale`: the worker has seen a higher fencing token; no orders are sent until a newer head opens a session.
    - `request_at`: when the next lease request is due.
    - `unanswered_since`: when the oldest unanswered lease request was sent.
    """

    epoch: int = 0
    lease_end: float = -math.inf
    is_open: bool = False
    lease_granted: bool = False
    fence_stale: bool = False
    request_at: float = math.inf
    unanswered_since: float | None = None

    def open(self, epoch: int, now: float) -> bool:
        """Open the session; return False if the epoch is outdated, in which case the session must be closed."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.fence_stale = False
        self.epoch = epoch
        self.is_open, self.lease_granted = True, False
        self.request_at, self.unanswered_since = now, None
        return True

    def close(self) -> None:
        """Close the session. The lease remains valid until its end."""
        self.is_open, self.lease_granted = False, False
        self.request_at, self.unanswered_since = math.inf, None

    def request(self, now: float) -> int:
        """Record that a lease request is sent now; return this time in milliseconds, rounded down."""
        self.request_at = now + LEASE_REQUEST_INTERVAL_S
        if self.unanswered_since is None:
            self.unanswered_since = now
        return int(now * MS)

    def grant(self, sent_ms: int, lease_ms: int, now: float) -> None:
        """Extend the lease; a grant that does not belong to a request of this process is ignored."""
        if not self.is_open or sent_ms > now * MS:
            return
        self.lease_granted = True
        self.unanswered_since = None
        self.lease_end = max(self.lease_end, (sent_ms + lease_ms) / MS)

    @property
    def grant_deadline(self) -> float:
        """Time at which the head counts as unresponsive if it grants no lease before."""
        return math.inf if self.unanswered_since is None else self.unanswered_since + GRANT_TIMEOUT_S

    def lease_holds(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self.lease_end

    @property
    def lease_pending(self) -> bool:
        """Whether the session is open and its first grant has not been received yet."""
        return self.is_open and not self.lease_granted
