"""The replicated register that holds the view: CASPaxos rounds over datagrams, one round at a time for each proposer.

The acceptor is that of `rollout.register`. This module adds the messages, retransmission and persistence: an acceptor's
answer is sent only after the state it promises is on disk. Rounds are `JointRound`s, so a view may change any number of
voters.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from millethead.replication.joint_round import JointRound, Quorums
from millethead.replication.messages import PaxosKind, PaxosMessage
from millethead.replication.view import NO_VIEW, Member, View, ViewWithoutOutgoing
from millethead.rollout.register import Acceptor, AcceptorState, Ballot, ChangeRefused, RegisterMessage
from millethead.rpc.codec import CodecError, decode, encode

RETRANSMIT_INTERVAL_S = 0.12
ROUND_TIMEOUT_S = 1.5
ROUND_BACKOFF_S = (0.03, 0.15)  # range of the random delay after a round that failed
_KIND_BY_NAME = {
    "prepare": PaxosKind.PREPARE,
    "promise": PaxosKind.PROMISE,
    "accept": PaxosKind.ACCEPT,
    "accepted": PaxosKind.ACCEPTED,
    "nack": PaxosKind.NACK,
}
_NAME_BY_KIND = {kind: name for name, kind in _KIND_BY_NAME.items()}


def decode_view(value: bytes) -> View:
    """Decodes a register value. An empty value is `NO_VIEW`. Raises ChangeRefused if the value is not a view."""
    if not value:
        return NO_VIEW
    try:
        return decode(View, value)
    except CodecError:
        return _decode_earlier_format(value)


def _decode_earlier_format(value: bytes) -> View:
    """Decodes the format that was written before views contained the outgoing voters. The text of the error is part of
    the output of the offline check of a data directory."""
    try:
        earlier = decode(ViewWithoutOutgoing, value)
    except CodecError as error:
        raise ChangeRefused(f"the register holds no view: {error}") from None
    return View(earlier.epoch, earlier.voters, earlier.chain)


def voter_names(value: bytes) -> frozenset[str]:
    """Returns the names of the voters of the view in a register value."""
    return frozenset(voter.name for voter in decode_view(value).voters)


def quorums_of(view: View, agreed_epoch: int) -> Quorums:
    """Returns the groups of voters of each of which a majority must promise before `view` can be followed by another
    view. The outgoing voters are not needed once the view is known to be agreed, because a majority of each group has
    accepted it by then."""
    outgoing = view.outgoing if view.epoch > agreed_epoch else ()
    groups = (view.voters, outgoing)
    return tuple(frozenset(voter.name for voter in group) for group in groups if group)


@dataclass(frozen=True, slots=True)
class KnownView:
    """The newest view that a proposer has seen, and the newest epoch whose view it knows to be agreed."""

    view: View
    agreed_epoch: int


def round_for(ballot: Ballot, expected: int, wanted: View, known: KnownView) -> JointRound:
    """Returns a round that replaces the view of epoch `expected` by `wanted`."""
    known_quorums = quorums_of(known.view, known.agreed_epoch)

    def change(old: bytes) -> bytes:
        if decode_view(old).epoch != expected:
            raise ChangeRefused("the current view is not the expected one")
        return encode(wanted)

    def quorums(value: bytes) -> Quorums:
        """A view newer than the known one was proposed as a successor of the known view or of a later one, so its own
        quorums are sufficient. An older view can only be followed with a majority of the voters of the known view as
        well."""
        followed = decode_view(value)
        groups = quorums_of(followed, known.agreed_epoch)
        return groups if followed.epoch > known.view.epoch else known_quorums + groups

    return JointRound(ballot, known_quorums, change, quorums, voter_names)


class AgreementPorts(Protocol):
    """Network and disk access of the register."""

    def send(self, address: str, message: PaxosMessage) -> None: ...

    def save(self, kept: AcceptorState, done: Callable[[], None]) -> None: ...


@dataclass(slots=True)
class _Attempt:
    round: JointRound
    started_at: float
    sent_at: float


class ViewRegister:
    """One member's part in the register: proposer, and acceptor if the member has a disk."""

    def __init__(
        self,
        member: Member,
        incarnation: int,
        ports: AgreementPorts,
        kept: AcceptorState,
        random: Random,
        on_agreed: Callable[[View], None],
    ) -> None:
        self._member, self._incarnation, self._ports, self._random = member, incarnation, ports, random
        self._acceptor = Acceptor(kept)
        self._pending_saves = 0
        self._on_agreed = on_agreed
        self._attempt: _Attempt | None = None
        self._highest_ballot_number = max(kept.promised[0], kept.accepted[0])
        self._backoff_until = 0.0

    @property
    def busy(self) -> bool:
        return self._attempt is not None

    def accepted_view(self) -> View:
        """Returns the newest view that this member's acceptor has accepted. It may not be agreed."""
        return decode_view(self._acceptor.state.value)

    def propose(self, now: float, expected: int, wanted: View, known: KnownView) -> bool:
        """Starts a round that replaces the view of epoch `expected` by `wanted`. The voters of the known view receive
        the first request. Returns False and does nothing while another round or the backoff after a lost round is in
        progress. When the round ends with an agreed view, proposed or not, `on_agreed` is called with it."""
        if self._attempt is not None or now < self._backoff_until:
            return False

        self._highest_ballot_number += 1
        ballot = (self._highest_ballot_number, f"{self._member.name}/{self._incarnation:x}")
        self._attempt = _Attempt(round_for(ballot, expected, wanted, known), now, now)
        self._send_request(now)
        return True

    def tick(self, now: float) -> None:
        """Retransmits the current request, or abandons the round after its timeout."""
        attempt = self._attempt
        if attempt is None:
            return
        if now - attempt.started_at > ROUND_TIMEOUT_S:
            self._abandon_round(now)
        elif now - attempt.sent_at >= RETRANSMIT_INTERVAL_S:
            self._send_request(now)

    def retransmit_next_tick(self) -> None:
        """Retransmits the current request at the next tick."""
        if self._attempt is not None:
            self._attempt.sent_at = -math.inf

    def receive(self, now: float, sender: str, message: PaxosMessage) -> None:
        """Processes a message from `sender` (host:port), either a request to the acceptor or a response to the
        proposer."""
        self._highest_ballot_number = max(self._highest_ballot_number, message.number, message.accepted_number)
        if message.kind in (PaxosKind.PREPARE, PaxosKind.ACCEPT):
            if message.voter == self._member.name and self._member.disk:
                self._handle_request(sender, message)
        else:
            self._handle_response(now, message)

    def _handle_request(self, sender: str, message: PaxosMessage) -> None:
        request = RegisterMessage(_NAME_BY_KIND[message.kind], (message.number, message.owner), (0, ""), message.value)
        answer, changed = self._acceptor.handle(request)
        reply = PaxosMessage(
            _KIND_BY_NAME[answer.kind],
            self._member.name,
            answer.ballot[0],
            answer.ballot[1],
            answer.accepted[0],
            answer.accepted[1],
            answer.value,
        )
        if not changed and not self._pending_saves:
            self._ports.send(sender, reply)
            return
        self._pending_saves += 1

        def saved() -> None:
            self._pending_saves -= 1
            self._ports.send(sender, reply)

        self._ports.save(self._acceptor.state, saved)

    def _handle_response(self, now: float, message: PaxosMessage) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        response = RegisterMessage(
            _NAME_BY_KIND[message.kind],
            (message.number, message.owner),
            (message.accepted_number, message.accepted_owner),
            message.value,
        )
        request_changed = attempt.round.handle_response(message.voter, response)
        if attempt.round.competing_ballot is not None:
            self._highest_ballot_number = max(self._highest_ballot_number, attempt.round.competing_ballot[0])
            self._abandon_round(now)
        elif attempt.round.agreed:
            value = attempt.round.value
            self._attempt = None
            if value:
                self._on_agreed(decode_view(value))
        elif request_changed:
            self._send_request(now)

    def _send_request(self, now: float) -> None:
        attempt = self._attempt
        assert attempt is not None
        attempt.sent_at = now
        request = attempt.round.request()
        for name in sorted(attempt.round.recipients):
            message = PaxosMessage(
                _KIND_BY_NAME[request.kind], name, request.ballot[0], request.ballot[1], 0, "", request.value
            )
            self._ports.send(name.rsplit("/", 1)[0], message)

    def _abandon_round(self, now: float) -> None:
        self._attempt = None
        self._backoff_until = now + self._random.uniform(*ROUND_BACKOFF_S)
