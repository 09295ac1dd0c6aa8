"""Failure detection among the members of the core: heartbeats to all, each with what its sender heard of the others.

The core is small (nine members at most), so every member probes every other one each period, and the ages that come
with a heartbeat stand for SWIM's indirect probes: a member that one sees as silent and others do not is cut off from
that one alone. What is found here only proposes; a majority of the voters decides on views.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from millethead.replication.messages import Heard, Heartbeat
from millethead.replication.view import Member

MOST_AGE_MS = 65_535
ANSWERED_X = 1.3  # suspicion times after which a member that another one no longer hears counts as unheard there
SETTLED_S = 0.3  # a member heard for so long without a gap may join


@dataclass(slots=True)
class Contact:
    """What is known of one address."""

    heartbeat: Heartbeat
    heard_at: float
    since: float  # when the present unbroken contact began
    ages: dict[str, float] = field(default_factory=dict)  # address -> time at which the sender last heard it


@dataclass(frozen=True, slots=True)
class _Ended:
    """A process that is over, and when that was found out."""

    incarnation: int
    at: float


def _same_process(one: Heartbeat, other: Heartbeat) -> bool:
    return one.sender == other.sender and one.incarnation == other.incarnation


class Liveness:
    """What this member has heard of the others. Times in seconds of the steady clock."""

    def __init__(self, address: str, suspect_s: float) -> None:
        self._address, self.suspect_s = address, suspect_s
        self._contacts: dict[str, Contact] = {}
        self._ended: dict[str, _Ended] = {}  # by address, the last process that is known to be over

    def heard(self, now: float, beat: Heartbeat) -> bool:
        """Take in a heartbeat; returns whether the process, disk or epoch behind the address is another than before."""
        address = beat.sender.address
        ended = self._ended.get(address)
        if ended is not None and ended.incarnation == beat.incarnation:
            if now < ended.at + self.suspect_s:
                return False  # it was under way when its process ended
            del self._ended[address]
        known = self._contacts.get(address)
        ages = {entry.address: now - entry.age_ms / 1000 for entry in beat.heard}
        if known is None or not _same_process(known.heartbeat, beat):
            self._contacts[address] = Contact(beat, now, now, ages)
            return True
        since = now if now - known.heard_at > self.suspect_s else known.since
        self._contacts[address] = Contact(beat, now, since, ages)
        return known.heartbeat.epoch != beat.epoch

    def process_ended(self, now: float, address: str, incarnation: int) -> None:
        """A process is over: nobody listens at its port any more. Should it be heard much later, it was not."""
        self._ended[address] = _Ended(incarnation, now)
        known = self._contacts.get(address)
        if known is not None and known.heartbeat.incarnation == incarnation:
            del self._contacts[address]

    def has_ended(self, address: str, incarnation: int) -> bool:
        """Whether a process is known to be over."""
        ended = self._ended.get(address)
        return ended is not None and ended.incarnation == incarnation

    def contact(self, address: str) -> Contact | None:
        return self._contacts.get(address)

    def contacts(self) -> dict[str, Contact]:
        return self._contacts

    def forget(self, address: str) -> None:
        self._contacts.pop(address, None)

    def silent_for(self, now: float, address: str) -> float:
        """Seconds since an address was last heard, or since its process was found to be over."""
        contact, ended = self._contacts.get(address), self._ended.get(address)
        heard_at = contact.heard_at if contact is not None else ended.at if ended is not None else float("-inf")
        return now - heard_at

    def joined_both_ways(self, now: float, address: str) -> bool:
        """Whether this member hears the address and is heard there."""
        contact = self._contacts.get(address)
        if contact is None or now - contact.heard_at > self.suspect_s:
            return False
        return now - contact.ages.get(self._address, float("-inf")) <= ANSWERED_X * self.suspect_s

    def pair_joined(self, now: float, first: str, second: str) -> bool:
        """Whether two other members hear each other, by what they said themselves."""
        one, other = self._contacts.get(first), self._contacts.get(second)
        if one is None or other is None:
            return False
        limit = ANSWERED_X * self.suspect_s
        return (
            now - one.ages.get(second, float("-inf")) <= limit and now - other.ages.get(first, float("-inf")) <= limit
        )

    def hears(self, now: float, listener: str, address: str) -> bool:
        """Whether `listener` (another member that is heard) lately heard `address`."""
        contact = self._contacts.get(listener)
        if contact is None or now - contact.heard_at > self.suspect_s:
            return False
        return now - contact.ages.get(address, float("-inf")) <= ANSWERED_X * self.suspect_s

    def identity(self, address: str) -> tuple[Member, int] | None:
        """Member and incarnation last heard at an address."""
        contact = self._contacts.get(address)
        return (contact.heartbeat.sender, contact.heartbeat.incarnation) if contact is not None else None

    def report(self, now: float) -> tuple[Heard, ...]:
        """For this member's own heartbeat: the age of each contact."""
        return tuple(
            Heard(address, min(MOST_AGE_MS, int(1000 * (now - contact.heard_at))))
            for address, contact in self._contacts.items()
            if now - contact.heard_at < MOST_AGE_MS / 1000
        )
