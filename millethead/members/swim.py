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
from millethead.members.peers import Peer, Probe, SwimSettings
from millethead.members.share import Share, Steward
from millethead.members.steward_role import StewardRole

Outgoing = tuple[str, Message]  # (address, message)


class Swim:
    """One member's state machine. `tick` and `receive` return the datagrams to send."""

    def __init__(
        self, me: Record, settings: SwimSettings, now: float, seed: int = 0, seeds: tuple[Record, ...] = ()
    ) -> None:
        # The incarnation starts at the start time, so that a restarted member overrides all updates on its previous
        # process.
        self.me, self.settings, self.incarnation, self.health_score = me, settings, int(me.start * 1000), 0
        self.peers: dict[str, Peer] = {}
        self.share = Share(settings.stewards, settings.lease_s, settings.window_s)
        self.steward_role = StewardRole(me.name, self.share, settings.window_s, settings.steward_confirmation_s, now)
        self.counts = {"probes": 0, "suspicions": 0, "refutations": 0, "deaths": 0, "false_deaths": 0}
        self._random, self._seq, self._probe_order = random.Random(seed), 0, list[str]()
        self._probes: dict[int, Probe] = {}
        self._updates = Dissemination(settings.retransmit_factor, settings.max_queued_updates)
        self._next_period_at, self._period_count, self._now = now, 0, now
        self._next_request_at, self._last_tick, self._has_left, self._started_at = now, now, False, now
        self._push_pending = False
        self.name_taken = False  # another process uses this member's name, long after the start
        for record in seeds:
            if record.name != me.name:
                self.peers[record.name] = Peer(record, int(record.start * 1000), state_since=now, last_heard=now)
        self.share.observe_count(now, self.member_count())

    # --- queries
    def peer_names(self) -> list[str]:
        """Returns the sorted names of all alive or suspect members, without this one."""
        return sorted(name for name, peer in self.peers.items() if peer.is_member)

    def member_names(self) -> list[str]:
        """Returns the sorted names of all alive or suspect members, including this one."""
        return sorted([self.me.name, *self.peer_names()])

    def _suspected_peers(self) -> list[Peer]:
        return [p for p in self.peers.values() if p.state == State.SUSPECT]

    def member_count(self) -> int:
        """Returns the number of members for the division of shares: this member and each alive or suspect peer."""
        return 1 + sum(p.is_member for p in self.peers.values())

    def usable_units(self, now: float) -> int:
        """Returns the units that this member may use now, out of `UNITS`."""
        return self.share.usable_units(now)

    # --- time
    def tick(self, now: float) -> list[Outgoing]:
        """Handles all time limits that have passed. Called every few hundredths of a second."""
        if self._has_left:
            return []
        out: list[Outgoing] = []
        gap, self._last_tick, self._now = now - self._last_tick, now, now
        if gap > self.settings.period_s:
            self._handle_pause(gap)
        # Lifeguard: a member that is slow itself waits longer before it suspects others
        timeout_factor = self.health_score + 1
        for seq, probe in list(self._probes.items()):
            if probe.relayed_for is not None:
                if now - probe.sent_at > self.settings.probe_timeout_s:
                    del self._probes[seq]
                    requester = self.peers.get(probe.relayed_for[0])
                    if requester is not None:
                        out.append(self._send(requester, "nack", probe.relayed_for[1]))
            elif not probe.indirect and now - probe.sent_at > self.settings.probe_timeout_s * timeout_factor:
                probe.indirect = True
                helpers = self._random_peers(exclude=probe.target)
                probe.helpers_asked = len(helpers)
                out.extend(self._send(self.peers[name], "ping-req", seq, probe.target) for name in helpers)
            elif now - probe.sent_at > self.settings.period_s * timeout_factor:
                del self._probes[seq]
                # A helper that sent not even a nack indicates that the fault may be on this member's side.
                self._adjust_health(probe.helpers_asked - probe.nacks_received if probe.helpers_asked else 1)
                peer = self.peers.get(probe.target)
                if peer is not None and peer.is_member:
                    self._suspect(now, peer, self.me.name)
        for peer in self._suspected_peers():
            if now - peer.state_since > self._suspicion_timeout(len(peer.suspectors)):
                # it sent a message meanwhile: its refutation was lost or is still on the way
                if peer.last_heard > peer.state_since:
                    peer.state_since = now
                    continue
                self._set_state(now, peer, peer.incarnation, State.DEAD)
                self.counts["deaths"] += 1
        if now >= self._next_period_at:
            out += self._start_period(now, timeout_factor)
        if now >= self._next_request_at and self.share.stewards:
            self._next_request_at = now + self.settings.lease_s / 4
            out += self._request_shares(now)
        if self._push_pending:  # state changes are pushed to a few members at once; probes carry them to the others
            self._push_pending = False
            out += [self._send(self.peers[name], "sync", 1) for name in self._random_peers()]
        self.share.observe_count(now, self.member_count())
        return out

    def _start_period(self, now: float, timeout_factor: int) -> list[Outgoing]:
        out: list[Outgoing] = []
        self._next_period_at = now + self.settings.period_s * timeout_factor
        self._period_count += 1
        target = self._next_probe_target()
        if target is not None:
            self._seq += 1
            self._probes[self._seq] = Probe(target.record.name, now)
            self.counts["probes"] += 1
            out.append(self._send(target, "ping", self._seq))
            if self._period_count % self.settings.sync_interval_periods == 0:
                out += self._full_state(target.record.address, 0)
        for peer in self._suspected_peers()[: self.settings.max_updates_per_message]:
            out.append(self._send(peer, "sync", 1))  # so that the suspect can refute the suspicion in time
        if self._period_count % self.settings.dead_sync_interval_periods == 0:
            dead = [p for p in self.peers.values() if p.state == State.DEAD]
            if dead:
                out += self._full_state(self._random.choice(dead).record.address, 0)
        return out

    def _handle_pause(self, gap: float) -> None:
        """Handles a pause of this process: answers that were missed meanwhile are its own fault and not held against
        others."""
        self._probes.clear()
        self._adjust_health(2)
        for peer in self._suspected_peers():
            peer.state_since += gap

    def _adjust_health(self, change: int) -> None:
        self.health_score = min(max(self.health_score + change, 0), self.settings.max_health_score)

    def join_request(self, address: str) -> list[Outgoing]:
        """Returns the full state for a seed of which only the address is known. The seed answers with its own state."""
        return self._full_state(address, 0)

    def set_status(self, draining: bool, ready: bool) -> None:
        """Updates this member's own record: whether it is draining, and whether it accepts clients."""
        if (draining, ready) != (self.me.draining, self.me.ready):
            self.me = msgspec.structs.replace(self.me, draining=draining, ready=ready)
            self.incarnation += 1
            self._queue_update(Update(self.me, self.incarnation, State.ALIVE))

    def leave(self) -> list[Outgoing]:
        """Announces that this member leaves. Peers mark it as left at once, and stewards free its grants."""
        self.incarnation += 1
        self._has_left = True
        updates = (Update(self.me, self.incarnation, State.LEFT),)
        out = [self._send(peer, "sync", 1, updates=updates) for peer in self.peers.values() if peer.state != State.LEFT]
        self.share.drop_grants()
        self._seq += 1
        for name in self.share.stewards:
            if name in self.peers:
                out.append(self._send(self.peers[name], "release", self._seq))
        return out

    @property
    def steward(self) -> Steward | None:
        """The steward of this member, if it is one."""
        return self.steward_role.steward

    # --- messages
    def receive(self, now: float, message: Message) -> list[Outgoing]:
        """Handles a message. A message from an unknown sender is ignored, apart from its updates."""
        if self._has_left:
            return []
        self._now, previous_incarnation = now, self.incarnation
        for update in message.updates:
            self._apply_update(now, update)
        sender = self.peers.get(message.sender)
        if sender is None:
            return []
        out = self._push_refutation(message.sender) if self.incarnation != previous_incarnation else []
        return out + self._newer_updates(sender, message.updates) + self._handle(now, message, sender)

    def _newer_updates(self, sender: Peer, updates: tuple[Update, ...]) -> list[Outgoing]:
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

    def _push_refutation(self, reporter: str) -> list[Outgoing]:
        """Pushes the refutation at once to the member that reported the suspicion and to a few others. Sent with the
        next probes alone, it could arrive too late."""
        return [self._send(self.peers[name], "sync", 1) for name in sorted({reporter, *self._random_peers()})]

    def _handle(self, now: float, message: Message, sender: Peer) -> list[Outgoing]:
        sender.last_heard = now  # a suspect stays suspect until an update with a higher incarnation arrives
        kind, seq = message.kind, message.seq
        if kind == "ping":
            return [self._send(sender, "ack", seq)]
        if kind == "sync":
            return [] if seq else self._full_state(sender.record.address, 1)
        if kind == "ping-req":
            target = self.peers.get(message.target)
            if target is None:
                return [self._send(sender, "nack", seq)]
            self._seq += 1
            self._probes[self._seq] = Probe(message.target, now, relayed_for=(message.sender, seq))
            return [self._send(target, "ping", self._seq)]
        if kind in ("ack", "nack"):
            return self._handle_probe_reply(message)
        if kind == "ask" and self.steward is not None:
            self.steward.fleet_sizes.add(now, self.member_count())
            units = self.steward.request(now, (message.sender, message.start), seq, message.fleet_size)
            if units is None:
                return []
            return [self._send(sender, "grant", seq, units=units, fleet_size=self.steward.fleet_sizes.value(now))]
        if kind == "release" and self.steward is not None:
            self.steward.release(now, (message.sender, message.start), seq)
        if kind == "grant":
            self.share.record_grant(now, seq, message.sender, message.units, message.fleet_size)
        return []

    def _handle_probe_reply(self, message: Message) -> list[Outgoing]:
        probe = self._probes.get(message.seq)
        if probe is None:
            return []
        if message.kind == "nack":
            probe.nacks_received += probe.relayed_for is None
            return []
        if probe.relayed_for is not None:  # an ack is relayed only if it comes from the target of the probe
            if message.sender != probe.target:
                return []
            del self._probes[message.seq]
            requester = self.peers.get(probe.relayed_for[0])
            return [self._send(requester, "ack", probe.relayed_for[1], probe.target)] if requester is not None else []
        if probe.target in (message.sender, message.target):
            del self._probes[message.seq]
            self._adjust_health(-1)
            self.peers[probe.target].last_heard = self._now
        return []

    def _request_shares(self, now: float) -> list[Outgoing]:
        """Requests the next lease from each steward. If this member is a steward itself, it grants its own lease
        without a message."""
        out: list[Outgoing] = []
        for name in self.share.stewards:
            self._seq += 1
            if name == self.me.name and self.steward is not None:
                units = self.steward.request(now, (name, self.me.start), self._seq, self.member_count())
                if units is not None:
                    self.share.record_request(now, self._seq, name)
                    self.share.record_grant(now, self._seq, name, units, self.steward.fleet_sizes.value(now))
            elif name in self.peers and self.peers[name].state != State.LEFT:
                self.share.record_request(now, self._seq, name)
                out.append(self._send(self.peers[name], "ask", self._seq))
        return out

    # --- internals
    def _next_probe_target(self) -> Peer | None:
        if not self._probe_order:
            self._probe_order = self.peer_names()
            self._random.shuffle(self._probe_order)
        while self._probe_order:
            peer = self.peers.get(self._probe_order.pop())
            if peer is not None and peer.is_member:
                return peer
        return None

    def _random_peers(self, exclude: str = "") -> list[str]:
        """Returns a random sample of peers, as many as are used for an indirect probe."""
        names = [name for name in self.peer_names() if name != exclude]
        return self._random.sample(names, min(self.settings.indirect_probes, len(names)))

    def _suspicion_timeout(self, suspector_count: int) -> float:
        """Returns the suspicion timeout. As independent confirmations arrive, it shrinks from the maximum
        (`suspicion_beta` times the minimum) to the minimum, as in Lifeguard."""
        member_count = max(self.member_count(), 2)
        minimum = self.settings.suspicion_alpha * math.log10(member_count) * self.settings.period_s
        maximum, confirmations = (
            self.settings.suspicion_beta * minimum,
            min(self.settings.max_confirmations, member_count - 2),
        )
        if confirmations < 1:  # no other member could confirm
            return minimum
        return max(
            minimum, maximum - (maximum - minimum) * math.log(max(suspector_count, 1)) / math.log(confirmations + 1)
        )

    def _suspect(self, now: float, peer: Peer, suspected_by: str) -> None:
        if peer.state == State.SUSPECT:
            self._confirm_suspicion(peer, suspected_by)
        else:
            self.counts["suspicions"] += 1
            self._set_state(now, peer, peer.incarnation, State.SUSPECT, suspected_by)

    def _confirm_suspicion(self, peer: Peer, suspected_by: str) -> None:
        """Records an independent confirmation, which shortens the suspicion timeout. The first few are forwarded."""
        if (
            suspected_by
            and suspected_by not in peer.suspectors
            and len(peer.suspectors) <= self.settings.max_confirmations
        ):
            peer.suspectors.add(suspected_by)
            self._queue_update(Update(peer.record, peer.incarnation, State.SUSPECT, suspected_by))

    def _set_state(self, now: float, peer: Peer, incarnation: int, state: State, suspected_by: str = "") -> None:
        if state != peer.state or incarnation != peer.incarnation:
            peer.state_since, peer.suspectors = now, set()
            self._push_pending = True
        peer.incarnation, peer.state = incarnation, state
        if suspected_by:
            peer.suspectors.add(suspected_by)
        self._queue_update(Update(peer.record, incarnation, state, suspected_by))

    def _apply_update(self, now: float, update: Update) -> None:
        name = update.record.name
        if name == self.me.name:
            self.name_taken = self.name_taken or (
                update.record.start != self.me.start and update.state == State.ALIVE and now - self._started_at > 60
            )
            if (update.state != State.ALIVE and update.incarnation >= self.incarnation) or (
                update.incarnation > self.incarnation
            ):
                self.incarnation = update.incarnation + 1  # refute the update with a higher incarnation
                self._adjust_health(1)
                self.counts["refutations"] += 1
                self._queue_update(Update(self.me, self.incarnation, State.ALIVE))
            return
        peer = self.peers.get(name)
        if peer is None:
            if update.state not in (State.ALIVE, State.SUSPECT) or not self._make_room():
                return
            peer = self.peers[name] = Peer(update.record, update.incarnation, State.ALIVE, now, now)
            self._set_state(now, peer, update.incarnation, State(update.state), update.suspected_by)
            return
        newer = update.incarnation > peer.incarnation
        same = update.incarnation == peer.incarnation
        if update.state == State.ALIVE and newer:
            self.counts["false_deaths"] += peer.state == State.DEAD and update.record.start == peer.record.start
            peer.record, peer.last_heard = update.record, now
            self._set_state(now, peer, update.incarnation, State.ALIVE)
        elif update.state == State.SUSPECT and (newer or (same and peer.state == State.ALIVE)):
            self._set_state(now, peer, update.incarnation, State.SUSPECT, update.suspected_by)
        elif update.state == State.SUSPECT and same and peer.state == State.SUSPECT:
            self._confirm_suspicion(peer, update.suspected_by)
        elif (
            update.state in (State.DEAD, State.LEFT)
            and (newer or same)
            and peer.state != update.state
            and not (same and peer.state == State.LEFT)
        ):
            self._set_state(now, peer, update.incarnation, State(update.state))

    def _make_room(self) -> bool:
        """Makes room for one more member, by removing the one that has been dead or left the longest. Returns False if
        there is none."""
        if len(self.peers) < self.settings.max_members:
            return True
        departed = [name for name, peer in self.peers.items() if peer.state in (State.DEAD, State.LEFT)]
        if departed:
            del self.peers[min(departed, key=lambda name: self.peers[name].state_since)]
        return bool(departed)

    def _queue_update(self, update: Update) -> None:
        self._updates.add(update, len(self.peers))

    def _full_state(self, address: str, seq: int) -> list[Outgoing]:
        """Returns the full state in parts that fit a datagram. With `seq` 0, the last part requests the receiver's
        state."""
        all_updates = [
            Update(self.me, self.incarnation, State.ALIVE),
            *(Update(p.record, p.incarnation, p.state) for p in self.peers.values()),
        ]
        part_size = self.settings.max_updates_per_message
        parts = [tuple(all_updates[at : at + part_size]) for at in range(0, len(all_updates), part_size)]
        return [
            (address, self._message("sync", seq if n == len(parts) - 1 else 1, updates=part))
            for n, part in enumerate(parts)
        ]

    def _message(
        self,
        kind: str,
        seq: int,
        target: str = "",
        units: int = 0,
        fleet_size: int = 0,
        updates: tuple[Update, ...] = (),
    ) -> Message:
        return Message(
            kind, seq, self.me.name, target, self.me.start, fleet_size or self.member_count(), units, updates
        )

    def _send(
        self,
        peer: Peer,
        kind: str,
        seq: int,
        target: str = "",
        units: int = 0,
        fleet_size: int = 0,
        updates: tuple[Update, ...] | None = None,
    ) -> Outgoing:
        if updates is None:
            selected = []
            # the receiver's own suspicion or death goes first, so that it can refute it at once
            if peer.state != State.ALIVE:
                selected.append(Update(peer.record, peer.incarnation, peer.state))
            # A suspicion is sent with every message while it lasts. Its few retransmissions as an update may all be
            # lost in a network partition. A receiver that has newer information answers with it (`_newer_updates`).
            suspects = sorted(self._suspected_peers(), key=lambda p: p.record.name)
            for suspect in self._random.sample(
                suspects, min(len(suspects), self.settings.max_updates_per_message // 2)
            ):
                suspected_by = (
                    self.me.name if self.me.name in suspect.suspectors else min(suspect.suspectors, default="")
                )
                selected.append(Update(suspect.record, suspect.incarnation, State.SUSPECT, suspected_by))
            selected += self._updates.take(self.settings.max_updates_per_message - len(selected))
            updates = tuple(selected)
        return peer.record.address, self._message(kind, seq, target, units, fleet_size, updates)
