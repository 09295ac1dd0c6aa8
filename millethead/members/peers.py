"""A member's knowledge of the other members, the probes it has sent, and its settings."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from millethead.members.messages import Record, State


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Settings of SWIM with Lifeguard, and of the share leases."""

    period_s: float = 0.5
    probe_timeout_s: float = 0.2
    indirect_probes: int = 3  # members that are asked to probe a target that did not answer
    max_health_score: int = 8
    suspicion_alpha: float = 4.0  # minimum suspicion timeout: suspicion_alpha * log10(n) probe periods
    suspicion_beta: float = 6.0  # maximum suspicion timeout, without confirmations: suspicion_beta times the minimum
    max_confirmations: int = 3
    retransmit_factor: int = 4  # each update is sent retransmit_factor * log10(n + 1) times
    max_updates_per_message: int = 6  # also the number of updates in one part of a full state
    max_queued_updates: int = 256
    max_members: int = 512  # members known at once, in any state
    window_s: float = 10.0  # a smaller fleet is accepted only after this time
    lease_s: float = 3.0
    sync_interval_periods: int = 20  # a full state exchange every so many probe periods
    # and one with a dead member, which may have been behind a network partition that has healed
    dead_sync_interval_periods: int = 4
    stewards: tuple[str, ...] = ()
    steward_confirmation_s: float = math.inf  # a steward grants leases for this long after its assignment was confirmed


@dataclass(slots=True)
class Peer:
    """Another member and its state, as this member knows it."""

    record: Record
    incarnation: int = 0
    state: State = State.ALIVE
    state_since: float = 0.0
    last_heard: float = 0.0  # time of the latest message from it, or of an update that revived it
    suspectors: set[str] = field(default_factory=set)

    @property
    def is_member(self) -> bool:
        """True if the peer counts as a member: it is alive, or suspect and not yet declared dead."""
        return self.state in (State.ALIVE, State.SUSPECT)


@dataclass(slots=True)
class Probe:
    """A ping that waits for its ack. Times are seconds."""

    target: str
    sent_at: float
    helpers_asked: int = 0  # members that were asked to probe the target; each has to answer with an ack or a nack
    nacks_received: int = 0
    indirect: bool = False
    relayed_for: tuple[str, int] | None = None  # (requester, its seq) if this is a probe on behalf of another member
