"""The network between the members of an emulated core: datagrams that are lost, and ordered links that hang in a cut.

A cut is silent: what a link holds up is sent again some time after the cut ends, or lost when its sender has waited for
the user timeout. A process that ends has its links closed; a machine that loses power says nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from millethead.lab.core_time import Timeline
from millethead.rpc.codec import Record

DELAY_S = (0.0003, 0.0012)  # one way
REFUSED_S = 0.001  # until a dead port has answered
OPEN_TIMEOUT_S = 0.4
USER_TIMEOUT_S = 4.0  # bytes unacknowledged for so long end a link
RESEND_S = 1.0  # after a cut the bytes it held up are sent again within this time

PROMPT, PROMPT_S = 0.3, 0.01  # part of the links that do so almost at once, and within which time

Direction = tuple[str, str]  # from an address to another


class Peer(Protocol):
    """A process, as the network sees it."""

    address: str

    def post(self, call: Callable[[], None], source: object = None) -> None:
        """Have `call` done by the process, when it runs and still lives; calls of one source keep their order."""

    def datagram_received(self, record: Record, sender: str) -> None: ...

    def link_received(self, link: LinkEnd, record: Record) -> None: ...

    def link_closed(self, link: LinkEnd) -> None: ...


class LinkEnd:
    """One end of an ordered link."""

    def __init__(self, network: Network, owner: Peer) -> None:
        self.owner = owner
        self.open = True
        self.gone = False  # its machine lost power, or its system gave up: it answers nothing any more
        self.peer: LinkEnd = self
        self.held: list[Record | None] = []  # None ends the link
        self.held_since = 0.0
        self.last_arrival = 0.0
        self._network = network

    def send(self, record: Record) -> None:
        """Send a record; does nothing on a closed link."""
        if self.open:
            self._network.transmit(self, record)

    def close(self) -> None:
        """Close now; what was sent before still arrives."""
        if self.open:
            self.open = False
            self._network.transmit(self, None)
            self.owner.link_closed(self)

    def end(self) -> None:
        """The other end, or the own system, has ended the link."""
        self.gone = True
        self.held.clear()
        if self.open:
            self.open = False
            self.owner.link_closed(self)

    def arrived(self, record: Record | None) -> None:
        """The next record of the other end is there."""
        if not self.open:
            return
        if record is None:
            self.end()
        else:
            self.owner.link_received(self, record)


@dataclass(slots=True, eq=False)
class Cut:
    """Directions in which nothing passes, until it is healed."""

    directions: frozenset[Direction]
    since: float


@dataclass(slots=True)
class Port:
    """What is at an address: power, and the process that listens."""

    powered: bool = True
    process: Peer | None = None
    ends: list[LinkEnd] = field(default_factory=list)


class Network:
    """All links and datagrams. `loss`: part of the datagrams that are lost."""

    def __init__(self, timeline: Timeline, random: Random) -> None:
        self.loss = 0.0
        self._timeline, self._random = timeline, random
        self._datagram_seed = random.getrandbits(64)
        self._datagram_random: dict[Direction, Random] = {}  # one each, as members send in an order that is left open
        self._ports: dict[str, Port] = {}
        self._cuts: list[Cut] = []
        self._blocked: Counter[Direction] = Counter()
        self._holding: dict[LinkEnd, None] = {}

    # ---- machines ----------------------------------------------------------------------------------------

    def listen(self, process: Peer) -> None:
        """A process has started at its address."""
        port = self._ports.setdefault(process.address, Port())
        port.powered, port.process = True, process
        self._resend()

    def process_ended(self, process: Peer) -> None:
        """The process was killed or has ended: its system closes what it had open."""
        port = self._ports[process.address]
        port.process = None
        ends, port.ends = port.ends, []
        for end in ends:
            if end.open:
                end.open = False
                self.transmit(end, None)

    def power_lost(self, address: str) -> None:
        """The machine is off: whatever it had open is forgotten without a word."""
        port = self._ports.setdefault(address, Port())
        port.powered, port.process = False, None
        ends, port.ends = port.ends, []
        for end in ends:
            end.open, end.gone = False, True
            end.held.clear()

    def reset(self, address: str) -> None:
        """All links of a machine end at once, at both ends."""
        port = self._ports.setdefault(address, Port())
        ends, port.ends = port.ends, []
        for end in ends:
            for side in (end, end.peer):
                side.owner.post(side.end, side)

    # ---- cuts --------------------------------------------------------------------------------------------

    def cut(self, directions: Iterable[Direction]) -> Cut:
        """Let nothing pass in these directions."""
        made = Cut(frozenset(directions), self._timeline.now)
        self._cuts.append(made)
        self._blocked.update(made.directions)
        return made

    def heal(self, cut: Cut) -> None:
        """End a cut; does nothing for one that is healed already."""
        if cut in self._cuts:
            self._cuts.remove(cut)
            self._blocked.subtract(cut.directions)
            self._resend()

    def heal_all(self) -> None:
        for cut in list(self._cuts):
            self.heal(cut)

    def blocked(self, sender: str, receiver: str) -> bool:
        return self._blocked[sender, receiver] > 0

    def joined(self, one: str, other: str) -> bool:
        """Whether both directions between two machines pass."""
        return not self.blocked(one, other) and not self.blocked(other, one)

    # ---- datagrams ---------------------------------------------------------------------------------------

    def datagram(self, sender: str, receiver: str, record: Record) -> None:
        """Send a datagram, which may be lost."""
        random = self._datagram_random.get((sender, receiver))
        if random is None:
            random = self._datagram_random[sender, receiver] = Random(f"{self._datagram_seed} {sender} {receiver}")
        if self._blocked[sender, receiver] > 0 or random.random() < self.loss:
            return

        def arrive() -> None:
            port = self._ports.get(receiver)
            if port is not None and port.process is not None:
                process = port.process
                process.post(lambda: process.datagram_received(record, sender), self)

        self._timeline.after(random.uniform(*DELAY_S), arrive)

    def _delay(self) -> float:
        return self._random.uniform(*DELAY_S)

    # ---- links -------------------------------------------------------------------------------------------

    def connect(
        self,
        process: Peer,
        address: str,
        opened: Callable[[LinkEnd], None],
        failed: Callable[[], None],
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Open a link to the process that listens at an address. `refused`: there is none on a machine that runs."""
        if not self.joined(process.address, address):
            self._timeline.after(OPEN_TIMEOUT_S, lambda: process.post(failed))
            return
        delay = self._delay()

        def accept() -> None:
            port = self._ports.get(address)
            if port is None or not port.powered:
                self._timeline.after(OPEN_TIMEOUT_S, lambda: process.post(failed))
            elif port.process is None:
                self._timeline.after(REFUSED_S, lambda: process.post(refused or failed))
            else:
                near = self._pair(process, port.process)
                self._timeline.after(delay, lambda: process.post(lambda: opened(near) if near.open else failed()))

        self._timeline.after(delay, accept)

    def _pair(self, near_owner: Peer, far_owner: Peer) -> LinkEnd:
        near, far = LinkEnd(self, near_owner), LinkEnd(self, far_owner)
        near.peer, far.peer = far, near
        for end in (near, far):
            port = self._ports[end.owner.address]
            port.ends = [other for other in port.ends if other.open]
            if port.process is end.owner:
                port.ends.append(end)
            else:  # it has ended in the meantime
                end.open, end.gone = False, True
        return near

    def transmit(self, end: LinkEnd, record: Record | None) -> None:
        """Send the next record of an end, or its close (None)."""
        if end.gone:
            return
        if end.held or not self._reaches(end):
            self._hold(end, record)
        elif end.peer.gone:
            if end.open:
                self._timeline.after(REFUSED_S, lambda: end.owner.post(end.end, end))
        else:
            self._deliver(end, record)

    def _reaches(self, end: LinkEnd) -> bool:
        here, there = end.owner.address, end.peer.owner.address
        return not self.blocked(here, there) and self._ports[there].powered

    def _deliver(self, end: LinkEnd, record: Record | None) -> None:
        peer = end.peer
        end.last_arrival = max(end.last_arrival + 1e-6, self._timeline.now + self._delay())
        self._timeline.after(
            end.last_arrival - self._timeline.now, lambda: peer.owner.post(lambda: peer.arrived(record), peer)
        )
        here, there, sent = end.owner.address, peer.owner.address, self._timeline.now
        if self.blocked(there, here):
            self._timeline.after(USER_TIMEOUT_S, lambda: self._unacknowledged(end, sent))

    def _unacknowledged(self, end: LinkEnd, sent: float) -> None:
        direction = (end.peer.owner.address, end.owner.address)
        if any(direction in cut.directions and cut.since <= sent for cut in self._cuts):
            end.owner.post(end.end, end)

    def _hold(self, end: LinkEnd, record: Record | None) -> None:
        if not end.held:
            end.held_since = since = self._timeline.now
            self._holding[end] = None
            self._timeline.after(USER_TIMEOUT_S, lambda: self._timed_out(end, since))
        end.held.append(record)

    def _timed_out(self, end: LinkEnd, since: float) -> None:
        if end.held and end.held_since == since:
            self._holding.pop(end, None)
            end.gone = True
            end.held.clear()
            end.owner.post(end.end, end)

    def _resend(self) -> None:
        for end in self._holding:
            prompt = self._random.random() < PROMPT
            longest = PROMPT_S if prompt else min(RESEND_S, max(PROMPT_S, self._timeline.now - end.held_since))
            self._timeline.after(self._random.uniform(0.001, longest), lambda end=end: self._flush(end))  # type: ignore[misc]

    def _flush(self, end: LinkEnd) -> None:
        if not end.held or not self._reaches(end):
            return
        self._holding.pop(end, None)
        held, end.held = end.held, []
        for record in held:
            self.transmit(end, record)
