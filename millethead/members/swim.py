"""SWIM failure detection with the Lifeguard refinements, without input or output.

Sources: Das, Gupta, Motivala, "SWIM", DSN 2002 (probes, indirect probes, suspicion, incarnations, piggybacking);
Dadgar, Phillips, Currey, "Lifeguard", 2017 (a local health score that extends the member's own timeouts, a suspicion
timeout that shrinks with independent confirmations, and notice to a suspected member by whoever probes it). Times are
seconds of one monotonic clock.
"""

from __future__ import annotations

import math
import random

import msgspec

from millethead.members.dissemination import Dissemination
from millethead.members.messages import Message, Record, State, Update
from millethead.members.offices import Offices
from millethead.members.peers import Peer, Probe, Settings
from millethead.members.share import Share, Steward

Out = tuple[str, Message]  # (address, message)


class Swim:
    """One member's state machine. `tick` and `receive` return the datagrams to send."""

    def __init__(
        self, me: Record, settings: Settings, now: float, seed: int = 0, seeds: tuple[Record, ...] = ()
    ) -> None:
        # The incarnation starts at the start time, so that a restarted member overrides all updates on its previous
        # process.
        self.me, self.settings, self.incarnation, self.health = me, settings, int(me.start * 1000), 0
        self.peers: dict[str, Peer] = {}
        self.share = Share(settings.stewards, settings.lease, settings.window)
        self.offices = Offices(me.name, self.share, settings.window, settings.office, now)
        self.counts = {"probes": 0, "suspicions": 0, "refutations": 0, "deaths": 0, "false_deaths": 0}
        self._random, self._seq, self._order = random.Random(seed), 0, list[str]()
        self._probes: dict[int, Probe] = {}
        self._updates = Dissemination(settings.retransmit, settings.queue)
        self._next, self._periods, self._now = now, 0, now
        self._ask_at, self._ticked, self._gone, self._began = now, now, False, now
        self._urgent = False
        self.name_taken = False  # another process uses this member's name, long after the start
        for record in seeds:
            if record.name != me.name:
                self.peers[record.name] = Peer(record, int(record.start * 1000), since=now, heard=now)
        self.share.observe(now, self.counted())

    # --- queries
    def alive(self) -> list[str]:
        return sorted(n for n, p in self.peers.items() if p.there)

    def there(self) -> list[str]:
        """Returns the sorted names of all alive or suspect members, including this one."""
        return sorted([self.me.name, *self.alive()])

    def _suspects(self) -> list[Peer]:
        return [p for p in self.peers.values() if p.state == State.SUSPECT]

    def counted(self) -> int:
        """Returns the number of members for the division of shares: this member and each alive or suspect peer."""
        return 1 + sum(p.there for p in self.peers.values())

    def units(self, now: float) -> int:
        """Returns the units that this member may use now, out of `UNITS`."""
        return self.share.units(now)

    # --- time
    def tick(self, now: float) -> list[Out]:
        if self._gone:
            return []
        out: list[Out] = []
        gap, self._ticked, self._now = now - self._ticked, now, now
        if gap > self.settings.period:
            self._paused(gap)
        stretch = self.health + 1  # Lifeguard: a member that is slow itself waits longer before it suspects others
        for seq, probe in list(self._probes.items()):
            if probe.relay_for is not None:
                if now - probe.sent > self.settings.timeout:
                    del self._probes[seq]
                    asker = self.peers.get(probe.relay_for[0])
                    if asker is not None:
                        out.append(self._send(asker, "nack", probe.relay_for[1]))
            elif not probe.indirect and now - probe.sent > self.settings.timeout * stretch:
                probe.indirect = True
                chosen = self._few(but=probe.target)
                probe.asked = len(chosen)
                out.extend(self._send(self.peers[name], "ping-req", seq, probe.target) for name in chosen)
            elif now - probe.sent > self.settings.period * stretch:
                del self._probes[seq]
                # A helper that sent not even a nack indicates that the fault may be on this member's side.
                self._feel(probe.asked - probe.nacks if probe.asked else 1)
                peer = self.peers.get(probe.target)
                if peer is not None and peer.there:
                    self._suspect(now, peer, self.me.name)
        for peer in self._suspects():
            if now - peer.since > self._suspicion(len(peer.suspectors)):
                # it sent a message meanwhile: its refutation was lost or is still on the way
                if peer.heard > peer.since:
                    peer.since = now
                    continue
                self._set(now, peer, peer.incarnation, State.DEAD)
                self.counts["deaths"] += 1
        if now >= self._next:
            out += self._period(now, stretch)
        if now >= self._ask_at and self.share.stewards:
            self._ask_at = now + self.settings.lease / 4
            out += self._ask(now)
        if self._urgent:  # state changes are pushed to a few members at once; probes carry them to the others
            self._urgent = False
            out += [self._send(self.peers[name], "sync", 1) for name in self._few()]
        self.share.observe(now, self.counted())
        return out

    def _period(self, now: float, stretch: int) -> list[Out]:
        out: list[Out] = []
        self._next = now + self.settings.period * stretch
        self._periods += 1
        target = self._target()
        if target is not None:
            self._seq += 1
            self._probes[self._seq] = Probe(target.record.name, now)
            self.counts["probes"] += 1
            out.append(self._send(target, "ping", self._seq))
            if self._periods % self.settings.sync_every == 0:
                out += self._full(target.record.address, 0)
        for peer in self._suspects()[: self.settings.riders]:
            out.append(self._send(peer, "sync", 1))  # so that the suspect can refute the suspicion in time
        if self._periods % self.settings.seek_every == 0:
            dead = [p for p in self.peers.values() if p.state == State.DEAD]
            if dead:
                out += self._full(self._random.choice(dead).record.address, 0)
        return out

    def _paused(self, gap: float) -> None:
        """Handles a pause of this process: answers that were missed meanwhile are its own fault and not held against
        others."""
        self._probes.clear()
        self._feel(2)
        for peer in self._suspects():
            peer.since += gap

    def _feel(self, worse: int) -> None:
        self.health = min(max(self.health + worse, 0), self.settings.health_most)

    def hello(self, address: str) -> list[Out]:
        """Returns the full state for a seed of which only the address is known. The seed answers with its own state."""
        return self._full(address, 0)

    def say(self, drain: bool, ready: bool) -> None:
        """Updates this member's own record: whether it is draining, and whether it accepts clients."""
        if (drain, ready) != (self.me.drain, self.me.ready):
            self.me = msgspec.structs.replace(self.me, drain=drain, ready=ready)
            self.incarnation += 1
            self._spread(Update(self.me, self.incarnation, State.ALIVE))

    def leave(self) -> list[Out]:
        """Announces that this member leaves. Peers mark it as left at once, and stewards free its grants."""
        self.incarnation += 1
        self._gone = True
        word = (Update(self.me, self.incarnation, State.LEFT),)
        out = [self._send(p, "sync", 1, updates=word) for p in self.peers.values() if p.state != State.LEFT]
        self.share.drop()
        self._seq += 1
        for name in self.share.stewards:
            if name in self.peers:
                out.append(self._send(self.peers[name], "release", self._seq))
        return out

    @property
    def steward(self) -> Steward | None:
        return self.offices.steward

    # --- messages
    def receive(self, now: float, message: Message) -> list[Out]:
        if self._gone:
            return []
        self._now, before = now, self.incarnation
        for update in message.updates:
            self._learn(now, update)
        sender = self.peers.get(message.sender)
        if sender is None:
            return []
        out = self._refuted(message.sender) if self.incarnation != before else []
        return out + self._better(sender, message.updates) + self._take(now, message, sender)

    def _better(self, sender: Peer, updates: tuple[Update, ...]) -> list[Out]:
        """Sends updates that refute outdated suspicions or deaths in the sender's message. The sender may have missed a
        refutation that was sent as a network partition began."""
        missed = tuple(
            Update(p.record, p.incarnation, State.ALIVE)
            for u in updates
            if u.state in (State.SUSPECT, State.DEAD)
            and (p := self.peers.get(u.record.name)) is not None
            and p.state == State.ALIVE
            and p.incarnation > u.incarnation
        )
        return [self._send(sender, "sync", 1, updates=missed)] if missed else []

    def _refuted(self, told_by: str) -> list[Out]:
        """Pushes the refutation at once to the member that reported the suspicion and to a few others. Sent with the
        next probes alone, it could arrive too late."""
        return [self._send(self.peers[name], "sync", 1) for name in sorted({told_by, *self._few()})]

    def _take(self, now: float, message: Message, sender: Peer) -> list[Out]:
        sender.heard = now  # a suspect stays suspect until an update with a higher incarnation arrives
        kind, seq = message.kind, message.seq
        if kind == "ping":
            return [self._send(sender, "ack", seq)]
        if kind == "sync":
            return [] if seq else self._full(sender.record.address, 1)
        if kind == "ping-req":
            target = self.peers.get(message.target)
            if target is None:
                return [self._send(sender, "nack", seq)]
            self._seq += 1
            self._probes[self._seq] = Probe(message.target, now, relay_for=(message.sender, seq))
            return [self._send(target, "ping", self._seq)]
        if kind in ("ack", "nack"):
            return self._answered(message)
        if kind == "ask" and self.steward is not None:
            self.steward.fleet.put(now, self.counted())
            units = self.steward.ask(now, (message.sender, message.start), seq, message.fleet)
            if units is None:
                return []
            return [self._send(sender, "grant", seq, units=units, fleet=self.steward.fleet.get(now))]
        if kind == "release" and self.steward is not None:
            self.steward.release(now, (message.sender, message.start), seq)
        if kind == "grant":
            self.share.granted(now, seq, message.sender, message.units, message.fleet)
        return []

    def _answered(self, message: Message) -> list[Out]:
        probe = self._probes.get(message.seq)
        if probe is None:
            return []
        if message.kind == "nack":
            probe.nacks += probe.relay_for is None
            return []
        if probe.relay_for is not None:  # an ack is relayed only if it comes from the target of the probe
            if message.sender != probe.target:
                return []
            del self._probes[message.seq]
            asker = self.peers.get(probe.relay_for[0])
            return [self._send(asker, "ack", probe.relay_for[1], probe.target)] if asker is not None else []
        if probe.target in (message.sender, message.target):
            del self._probes[message.seq]
            self._feel(-1)
            self.peers[probe.target].heard = self._now
        return []

    def _ask(self, now: float) -> list[Out]:
        """Requests the next lease from each steward. If this member is a steward itself, it grants its own lease
        without a message."""
        out: list[Out] = []
        for name in self.share.stewards:
            self._seq += 1
            if name == self.me.name and self.steward is not None:
                units = self.steward.ask(now, (name, self.me.start), self._seq, self.counted())
                if units is not None:
                    self.share.asking(now, self._seq, name)
                    self.share.granted(now, self._seq, name, units, self.steward.fleet.get(now))
            elif name in self.peers and self.peers[name].state != State.LEFT:
                self.share.asking(now, self._seq, name)
                out.append(self._send(self.peers[name], "ask", self._seq))
        return out

    # --- internals
    def _target(self) -> Peer | None:
        if not self._order:
            self._order = self.alive()
            self._random.shuffle(self._order)
        while self._order:
            peer = self.peers.get(self._order.pop())
            if peer is not None and peer.there:
                return peer
        return None

    def _few(self, but: str = "") -> list[str]:
        """Returns a random sample of peers, as many as are used for an indirect probe."""
        names = [name for name in self.alive() if name != but]
        return self._random.sample(names, min(self.settings.helpers, len(names)))

    def _suspicion(self, suspectors: int) -> float:
        """Returns the suspicion timeout. As independent confirmations arrive, it shrinks from the maximum
        (`suspicion_beta` times the minimum) to the minimum, as in Lifeguard."""
        n = max(self.counted(), 2)
        least = self.settings.alpha * math.log10(n) * self.settings.period
        most, k = self.settings.beta * least, min(self.settings.confirmations, n - 2)
        if k < 1:  # no other member could confirm
            return least
        return max(least, most - (most - least) * math.log(max(suspectors, 1)) / math.log(k + 1))

    def _suspect(self, now: float, peer: Peer, by: str) -> None:
        if peer.state == State.SUSPECT:
            self._confirm(peer, by)
        else:
            self.counts["suspicions"] += 1
            self._set(now, peer, peer.incarnation, State.SUSPECT, by)

    def _confirm(self, peer: Peer, by: str) -> None:
        """Records an independent confirmation, which shortens the suspicion timeout. The first few are forwarded."""
        if by and by not in peer.suspectors and len(peer.suspectors) <= self.settings.confirmations:
            peer.suspectors.add(by)
            self._spread(Update(peer.record, peer.incarnation, State.SUSPECT, by))

    def _set(self, now: float, peer: Peer, incarnation: int, state: State, by: str = "") -> None:
        if state != peer.state or incarnation != peer.incarnation:
            peer.since, peer.suspectors = now, set()
            self._urgent = True
        peer.incarnation, peer.state = incarnation, state
        if by:
            peer.suspectors.add(by)
        self._spread(Update(peer.record, incarnation, state, by))

    def _learn(self, now: float, update: Update) -> None:
        name = update.record.name
        if name == self.me.name:
            self.name_taken = self.name_taken or (
                update.record.start != self.me.start and update.state == State.ALIVE and now - self._began > 60
            )
            if (update.state != State.ALIVE and update.incarnation >= self.incarnation) or (
                update.incarnation > self.incarnation
            ):
                self.incarnation = update.incarnation + 1  # refute the update with a higher incarnation
                self._feel(1)
                self.counts["refutations"] += 1
                self._spread(Update(self.me, self.incarnation, State.ALIVE))
            return
        peer = self.peers.get(name)
        if peer is None:
            if update.state not in (State.ALIVE, State.SUSPECT) or not self._room():
                return
            peer = self.peers[name] = Peer(update.record, update.incarnation, State.ALIVE, now, now)
            self._set(now, peer, update.incarnation, State(update.state), update.by)
            return
        newer = update.incarnation > peer.incarnation
        same = update.incarnation == peer.incarnation
        if update.state == State.ALIVE and newer:
            self.counts["false_deaths"] += peer.state == State.DEAD and update.record.start == peer.record.start
            peer.record, peer.heard = update.record, now
            self._set(now, peer, update.incarnation, State.ALIVE)
        elif update.state == State.SUSPECT and (newer or (same and peer.state == State.ALIVE)):
            self._set(now, peer, update.incarnation, State.SUSPECT, update.by)
        elif update.state == State.SUSPECT and same and peer.state == State.SUSPECT:
            self._confirm(peer, update.by)
        elif (
            update.state in (State.DEAD, State.LEFT)
            and (newer or same)
            and peer.state != update.state
            and not (same and peer.state == State.LEFT)
        ):
            self._set(now, peer, update.incarnation, State(update.state))

    def _room(self) -> bool:
        """Makes room for one more member, by removing the one that has been dead or left the longest. Returns False if
        there is none."""
        if len(self.peers) < self.settings.most:
            return True
        gone = [n for n, p in self.peers.items() if p.state in (State.DEAD, State.LEFT)]
        if gone:
            del self.peers[min(gone, key=lambda n: self.peers[n].since)]
        return bool(gone)

    def _spread(self, update: Update) -> None:
        self._updates.add(update, len(self.peers))

    def _full(self, address: str, seq: int) -> list[Out]:
        """Returns the full state in parts that fit a datagram. With `seq` 0, the last part requests the receiver's
        state."""
        all_news = [
            Update(self.me, self.incarnation, State.ALIVE),
            *(Update(p.record, p.incarnation, p.state) for p in self.peers.values()),
        ]
        step = self.settings.riders
        parts = [tuple(all_news[at : at + step]) for at in range(0, len(all_news), step)]
        return [
            (address, self._message("sync", seq if n == len(parts) - 1 else 1, updates=part))
            for n, part in enumerate(parts)
        ]

    def _message(
        self, kind: str, seq: int, target: str = "", units: int = 0, fleet: int = 0, updates: tuple[Update, ...] = ()
    ) -> Message:
        return Message(kind, seq, self.me.name, target, self.me.start, fleet or self.counted(), units, updates)

    def _send(
        self,
        peer: Peer,
        kind: str,
        seq: int,
        target: str = "",
        units: int = 0,
        fleet: int = 0,
        updates: tuple[Update, ...] | None = None,
    ) -> Out:
        if updates is None:
            riding = []
            # the receiver's own suspicion or death goes first, so that it can refute it at once
            if peer.state != State.ALIVE:
                riding.append(Update(peer.record, peer.incarnation, peer.state))
            # A suspicion is sent with every message while it lasts. Its few retransmissions as an update may all be
            # lost in a network partition. A receiver that has newer information answers with it (`_newer_updates`).
            ill = sorted(self._suspects(), key=lambda p: p.record.name)
            for about in self._random.sample(ill, min(len(ill), self.settings.riders // 2)):
                by = self.me.name if self.me.name in about.suspectors else min(about.suspectors, default="")
                riding.append(Update(about.record, about.incarnation, State.SUSPECT, by))
            riding += self._updates.take(self.settings.riders - len(riding))
            updates = tuple(riding)
        return peer.record.address, self._message(kind, seq, target, units, fleet, updates)
