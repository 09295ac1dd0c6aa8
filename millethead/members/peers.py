"""What one member holds of the others, and of the probes that it has sent."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from millethead.members.messages import Record, State


@dataclass(frozen=True, slots=True)
class Settings:
    """Probe period and timeout (s), helpers of an indirect probe, the Lifeguard bounds, window and lease (s)."""

    period: float = 0.5
    timeout: float = 0.2
    helpers: int = 3
    health_most: int = 8
    alpha: float = 4.0  # suspicion lasts at least alpha * log10(n) periods
    beta: float = 6.0  # and at most beta times that, without confirmations
    confirmations: int = 3
    retransmit: int = 4  # each update rides on retransmit * log10(n + 1) messages
    riders: int = 6  # updates on one message, and in one part of a full state
    queue: int = 256
    most: int = 512  # members known at once
    window: float = 10.0
    lease: float = 3.0
    sync_every: int = 20  # a full push-pull every so many periods
    seek_every: int = 4  # and one with a member believed dead, who may be behind a cut that has healed
    stewards: tuple[str, ...] = ()
    office: float = math.inf  # s for which a steward lends once its office is confirmed; infinite: it keeps it for good


@dataclass(slots=True)
class Peer:
    record: Record
    incarnation: int = 0
    state: State = State.ALIVE
    since: float = 0.0
    heard: float = 0.0  # last time it was known alive
    suspectors: set[str] = field(default_factory=set)

    @property
    def there(self) -> bool:
        """Whether it counts as a member: alive, or suspect and not yet believed dead."""
        return self.state in (State.ALIVE, State.SUSPECT)


@dataclass(slots=True)
class Probe:
    target: str
    sent: float
    asked: int = 0  # helpers that were asked to try; each owes an ack or a nack
    nacks: int = 0
    indirect: bool = False
    relay_for: tuple[str, int] | None = None  # (requester, its seq) when we probe on another's behalf
