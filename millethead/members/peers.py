"""A member's knowledge of the other members, the probes it has sent, and its settings."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from millethead.members.messages import Record, State


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of SWIM with Lifeguard, and of the share leases."""

    period: float = 0.5
    timeout: float = 0.2
    helpers: int = 3
    health_most: int = 8
    alpha: float = 4.0  # minimum suspicion timeout: suspicion_alpha * log10(n) probe periods
    beta: float = 6.0  # maximum suspicion timeout, without confirmations: suspicion_beta times the minimum
    confirmations: int = 3
    retransmit: int = 4  # each update is sent retransmit_factor * log10(n + 1) times
    riders: int = 6  # also the number of updates in one part of a full state
    queue: int = 256
    most: int = 512
    window: float = 10.0
    lease: float = 3.0
    sync_every: int = 20  # a full state exchange every so many probe periods
    seek_every: int = 4  # and one with a dead member, which may have been behind a network partition that has healed
    stewards: tuple[str, ...] = ()
    office: float = math.inf  # a steward grants leases for this long after its assignment was confirmed


@dataclass(slots=True)
class Peer:
    record: Record
    incarnation: int = 0
    state: State = State.ALIVE
    since: float = 0.0
    heard: float = 0.0  # time of the latest message from it, or of an update that revived it
    suspectors: set[str] = field(default_factory=set)

    @property
    def there(self) -> bool:
        """True if the peer counts as a member: it is alive, or suspect and not yet declared dead."""
        return self.state in (State.ALIVE, State.SUSPECT)


@dataclass(slots=True)
class Probe:
    target: str
    sent: float
    asked: int = 0  # members that were asked to probe the target; each has to answer with an ack or a nack
    nacks: int = 0
    indirect: bool = False
    relay_for: tuple[str, int] | None = None  # (requester, its seq) if this is a probe on behalf of another member
