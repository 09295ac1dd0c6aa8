"""Failure detection among the core members, by heartbeats that contain the ages of the last heartbeats from each peer.

The core has at most nine members, so each member sends heartbeats to all others. The ages in a heartbeat replace the
indirect probes of SWIM: a member that is silent only for one peer has lost its connection to that peer only. The result
is used to propose views; a majority of the voters decides on them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from millethead.replication.messages import Heartbeat, PeerAge
from millethead.replication.view import Member

MAX_AGE_MS = 65_535
PEER_SUSPICION_FACTOR = 1.3  # multiple of the suspicion timeout after which a peer is silent at another member
STABLE_CONTACT_S = 0.3  # uninterrupted contact required before a member may join


@dataclass(slots=True)
class Contact:
    """The newest heartbeat from an address. Times are seconds of the monotonic clock."""

    heartbeat: Heartbeat
    received_at: float
    connected_since: float  # start of the current uninterrupted contact
    # address -> time at which the sender last received a heartbeat from it
    peer_received_at: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _EndedProcess:
    """A process that has ended, and the time at which this was detected."""

    incarnation: int
    at: float


def _same_process(one: Heartbeat, other: Heartbeat) -> bool:
    return one.sender == other.sender and one.incarnation == other.incarnation


class HeartbeatMonitor:
    """Heartbeats that this member has received. Times are seconds of the monotonic clock."""

    def __init__(self, address: str, suspicion_timeout_s: float) -> None:
        self._address, self.suspicion_timeout_s = address, suspicion_timeout_s
        self._contacts: dict[str, Contact] = {}
        self._ended_processes: dict[str, _EndedProcess] = {}  # address -> the last process recorded as ended

    def record_heartbeat(self, now: float, heartbeat: Heartbeat) -> bool:
        """Processes a heartbeat. Returns whether the process, disk or epoch at its address has changed."""
        address = heartbeat.sender.address
        ended = self._ended_processes.get(address)
        if ended is not None and ended.incarnation == heartbeat.incarnation:
            if now < ended.at + self.suspicion_timeout_s:
                return False  # sent before the process ended
            del self._ended_processes[address]
        previous = self._contacts.get(address)
        peer_received_at = {entry.address: now - entry.age_ms / 1000 for entry in heartbeat.peer_ages}
        if previous is None or not _same_process(previous.heartbeat, heartbeat):
            self._contacts[address] = Contact(heartbeat, now, now, peer_received_at)
            return True
        connected_since = now if now - previous.received_at > self.suspicion_timeout_s else previous.connected_since
        self._contacts[address] = Contact(heartbeat, now, connected_since, peer_received_at)
        return previous.heartbeat.epoch != heartbeat.epoch

    def process_ended(self, now: float, address: str, incarnation: int) -> None:
        """Records that a process has ended, because nothing listens on its port. A heartbeat that arrives more than
        `suspicion_timeout_s` later shows that this was wrong."""
        self._ended_processes[address] = _EndedProcess(incarnation, now)
        previous = self._contacts.get(address)
        if previous is not None and previous.heartbeat.incarnation == incarnation:
            del self._contacts[address]

    def has_ended(self, address: str, incarnation: int) -> bool:
        """Whether a process is recorded as ended."""
        ended = self._ended_processes.get(address)
        return ended is not None and ended.incarnation == incarnation

    def contact(self, address: str) -> Contact | None:
        return self._contacts.get(address)

    def contacts(self) -> dict[str, Contact]:
        return self._contacts

    def forget(self, address: str) -> None:
        self._contacts.pop(address, None)

    def silent_s(self, now: float, address: str) -> float:
        """Returns the seconds since the last heartbeat from an address, or since its process was found to have
        ended."""
        contact, ended = self._contacts.get(address), self._ended_processes.get(address)
        received_at = contact.received_at if contact is not None else ended.at if ended is not None else float("-inf")
        return now - received_at

    def is_connected(self, now: float, address: str) -> bool:
        """Whether heartbeats arrive in both directions between this member and the address."""
        contact = self._contacts.get(address)
        if contact is None or now - contact.received_at > self.suspicion_timeout_s:
            return False
        return (
            now - contact.peer_received_at.get(self._address, float("-inf"))
            <= PEER_SUSPICION_FACTOR * self.suspicion_timeout_s
        )

    def are_peers_connected(self, now: float, first: str, second: str) -> bool:
        """Whether heartbeats arrive in both directions between two other members, according to their own heartbeats."""
        first_contact, second_contact = self._contacts.get(first), self._contacts.get(second)
        if first_contact is None or second_contact is None:
            return False
        limit = PEER_SUSPICION_FACTOR * self.suspicion_timeout_s
        return (
            now - first_contact.peer_received_at.get(second, float("-inf")) <= limit
            and now - second_contact.peer_received_at.get(first, float("-inf")) <= limit
        )

    def peer_receives(self, now: float, peer: str, address: str) -> bool:
        """Whether `peer`, another member that sends heartbeats here, recently received one from `address`."""
        contact = self._contacts.get(peer)
        if contact is None or now - contact.received_at > self.suspicion_timeout_s:
            return False
        return (
            now - contact.peer_received_at.get(address, float("-inf"))
            <= PEER_SUSPICION_FACTOR * self.suspicion_timeout_s
        )

    def identity(self, address: str) -> tuple[Member, int] | None:
        """Returns the member and incarnation of the last heartbeat from an address."""
        contact = self._contacts.get(address)
        return (contact.heartbeat.sender, contact.heartbeat.incarnation) if contact is not None else None

    def contact_ages(self, now: float) -> tuple[PeerAge, ...]:
        """Returns the age of each contact, for this member's own heartbeat."""
        return tuple(
            PeerAge(address, min(MAX_AGE_MS, int(1000 * (now - contact.received_at))))
            for address, contact in self._contacts.items()
            if now - contact.received_at < MAX_AGE_MS / 1000
        )
