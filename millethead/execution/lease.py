"""The agent's side of its session with the head: the epoch in force, and the lease within which it may hold runs."""

from __future__ import annotations

import math
from dataclasses import dataclass

MS = 1000
LEASE_REQUEST_INTERVAL_S = 1.0  # between two requests for the lease
GRANT_TIMEOUT_S = 1.0  # a head that has not lease_granted a request for so long is silent


@dataclass(slots=True)
class HeadSession:
    """`epoch`: the newest of a open, the fence of all orders. `lease_end`: seconds of the agent's steady clock.
    `is_open`: a session is open. `lease_granted`: it has brought a lease. `fence_stale`: the worker has seen a higher
    fence, so nothing is ordered until a newer open."""

    epoch: int = 0
    lease_end: float = -math.inf
    is_open: bool = False
    lease_granted: bool = False
    fence_stale: bool = False
    request_at: float = math.inf
    unanswered_since: float | None = None

    def open(self, epoch: int, now: float) -> bool:
        """Open the session; False if the epoch is older than one that is known, and the session must be closed."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.fence_stale = False
        self.epoch = epoch
        self.is_open, self.lease_granted = True, False
        self.request_at, self.unanswered_since = now, None
        return True

    def close(self) -> None:
        """The session is over. The lease goes on until its end."""
        self.is_open, self.lease_granted = False, False
        self.request_at, self.unanswered_since = math.inf, None

    def request(self, now: float) -> int:
        """Note that the lease is asked for now; returns the moment in milliseconds, rounded down."""
        self.request_at = now + LEASE_REQUEST_INTERVAL_S
        if self.unanswered_since is None:
            self.unanswered_since = now
        return int(now * MS)

    def grant(self, sent_ms: int, lease_ms: int, now: float) -> None:
        """Take a grant of a request of this process."""
        if not self.is_open or sent_ms > now * MS:
            return
        self.lease_granted = True
        self.unanswered_since = None
        self.lease_end = max(self.lease_end, (sent_ms + lease_ms) / MS)

    @property
    def grant_deadline(self) -> float:
        """When the head counts as silent unless it grants before."""
        return math.inf if self.unanswered_since is None else self.unanswered_since + GRANT_TIMEOUT_S

    def lease_holds(self, now: float) -> bool:
        """Whether the lease is valid."""
        return now < self.lease_end

    @property
    def lease_pending(self) -> bool:
        """Whether the first grant of an open session is still to come."""
        return self.is_open and not self.lease_granted
