"""The register that holds the view: CASPaxos rounds over datagrams, one at a time for each proposer.

The acceptor is that of `rollout.register`; here are its messages, repeats and the disk: an answer of the acceptor
leaves only when what it promised is on disk. Rounds are `JointRound`s: a view may change any number of voters.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from millethead.replication.joint import JointRound, Quorums
from millethead.replication.messages import PaxosKind, PaxosMessage
from millethead.replication.view import NO_VIEW, Member, View, ViewWithoutOutgoing
from millethead.rollout.register import Acceptor, AcceptorState, Ballot, ChangeRefused, RegisterMessage
from millethead.rpc.codec import CodecError, decode, encode

REPEAT_S = 0.12  # an unanswered question is put again after this time
ROUND_S = 1.5  # a round that has not ended by then is given up
BACKOFF_S = (0.03, 0.15)  # pause after a round that lost against a higher ballot
_KINDS = {
    "prepare": PaxosKind.PREPARE,
    "promise": PaxosKind.PROMISE,
    "accept": PaxosKind.ACCEPT,
    "accepted": PaxosKind.ACCEPTED,
    "nack": PaxosKind.NACK,
}
_WORDS = {kind: word for word, kind in _KINDS.items()}


def decode_view(value: bytes) -> View:
    """The view that a register's value holds; an empty value is none."""
    if not value:
        return NO_VIEW
    try:
        return decode(View, value)
    except CodecError:
        return _earlier_view(value)


def _earlier_view(value: bytes) -> View:
    """A view as a disk may hold it that was written before views named the voters they replace."""
    try:
        found = decode(ViewWithoutOutgoing, value)
    except CodecError as error:
        raise ChangeRefused(f"the register holds no view: {error}") from None
    return View(found.epoch, found.voters, found.chain)


def voter_names(value: bytes) -> frozenset[str]:
    """Who votes under the view that a register's value holds."""
    return frozenset(voter.name for voter in decode_view(value).voters)


def quorums_of(view: View, agreed_epoch: int) -> Quorums:
    """Of which groups of voters a majority each has to promise before a view can be followed by another one. Those
    that a view replaces are needed no more once it is known to be agreed: a majority of them has it then."""
    outgoing = view.outgoing if view.epoch > agreed_epoch else ()
    groups = (view.voters, outgoing)
    return tuple(frozenset(voter.name for voter in group) for group in groups if group)


@dataclass(frozen=True, slots=True)
class KnownView:
    """The newest view that a proposer knows of, and the newest epoch of which it knows that its view was agreed."""

    view: View
    agreed_epoch: int


def round_for(ballot: Ballot, expected: int, wanted: View, known: KnownView) -> JointRound:
    """A round that puts `wanted` in the place of the view of epoch `expected`."""
    first = quorums_of(known.view, known.agreed_epoch)

    def change(old: bytes) -> bytes:
        if decode_view(old).epoch != expected:
            raise ChangeRefused("another view is in place")
        return encode(wanted)

    def quorums(value: bytes) -> Quorums:
        """A view that was proposed after the known one rests on it, or on a later one. An older one does not: it is
        followed only with those who must have heard of the known one."""
        found = decode_view(value)
        groups = quorums_of(found, known.agreed_epoch)
        return groups if found.epoch > known.view.epoch else first + groups

    return JointRound(ballot, first, change, quorums, voter_names)


class AgreementPorts(Protocol):
    """What the register needs of its surroundings."""

    def send(self, address: str, message: PaxosMessage) -> None: ...

    def save(self, kept: AcceptorState, done: Callable[[], None]) -> None: ...


@dataclass(slots=True)
class _Attempt:
    round: JointRound
    began: float
    asked_at: float


class ViewRegister:
    """One member's part in the register: acceptor (where it has a disk) and proposer."""

    def __init__(
        self,
        me: Member,
        incarnation: int,
        ports: AgreementPorts,
        kept: AcceptorState,
        random: Random,
        adopted: Callable[[View], None],
    ) -> None:
        self._me, self._incarnation, self._ports, self._random = me, incarnation, ports, random
        self._acceptor = Acceptor(kept)
        self._saving = 0
        self._adopted = adopted
        self._attempt: _Attempt | None = None
        self._highest = max(kept.promised[0], kept.accepted[0])
        self._not_before = 0.0

    @property
    def busy(self) -> bool:
        return self._attempt is not None

    def hint(self) -> View:
        """The newest view that this member's acceptor has accepted; it may not be agreed."""
        return decode_view(self._acceptor.state.value)

    def propose(self, now: float, expected: int, wanted: View, known: KnownView) -> bool:
        """Try to put `wanted` in the place of the view of epoch `expected`; does nothing, and returns false, while a
        round is under way or its pause lasts. The voters of the known view are asked first. However it ends, the
        agreed view is handed to `adopted`."""
        if self._attempt is not None or now < self._not_before:
            return False

        self._highest += 1
        ballot = (self._highest, f"{self._me.name}/{self._incarnation:x}")
        self._attempt = _Attempt(round_for(ballot, expected, wanted, known), now, now)
        self._ask(now)
        return True

    def tick(self, now: float) -> None:
        """Put the question again, or give the round up."""
        attempt = self._attempt
        if attempt is None:
            return
        if now - attempt.began > ROUND_S:
            self._end(now)
        elif now - attempt.asked_at >= REPEAT_S:
            self._ask(now)

    def ask_again(self) -> None:
        """Put an open question again at the next tick."""
        if self._attempt is not None:
            self._attempt.asked_at = -math.inf

    def receive(self, now: float, sender: str, message: PaxosMessage) -> None:
        """Take a message of any kind that came from `sender` (host:port)."""
        self._highest = max(self._highest, message.number, message.accepted_number)
        if message.kind in (PaxosKind.PREPARE, PaxosKind.ACCEPT):
            if message.voter == self._me.name and self._me.disk:
                self._vote(sender, message)
        else:
            self._count(now, message)

    def _vote(self, sender: str, message: PaxosMessage) -> None:
        word = RegisterMessage(_WORDS[message.kind], (message.number, message.owner), (0, ""), message.value)
        answer, changed = self._acceptor.handle(word)
        reply = PaxosMessage(
            _KINDS[answer.kind],
            self._me.name,
            answer.ballot[0],
            answer.ballot[1],
            answer.accepted[0],
            answer.accepted[1],
            answer.value,
        )
        if not changed and not self._saving:
            self._ports.send(sender, reply)
            return
        self._saving += 1

        def saved() -> None:
            self._saving -= 1
            self._ports.send(sender, reply)

        self._ports.save(self._acceptor.state, saved)

    def _count(self, now: float, message: PaxosMessage) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        word = RegisterMessage(
            _WORDS[message.kind],
            (message.number, message.owner),
            (message.accepted_number, message.accepted_owner),
            message.value,
        )
        more = attempt.round.take(message.voter, word)
        if attempt.round.lost is not None:
            self._highest = max(self._highest, attempt.round.lost[0])
            self._end(now)
        elif attempt.round.agreed:
            value = attempt.round.value
            self._attempt = None
            if value:
                self._adopted(decode_view(value))
        elif more:
            self._ask(now)

    def _ask(self, now: float) -> None:
        attempt = self._attempt
        assert attempt is not None
        attempt.asked_at = now
        word = attempt.round.ask()
        for name in sorted(attempt.round.asked):
            message = PaxosMessage(_KINDS[word.kind], name, word.ballot[0], word.ballot[1], 0, "", word.value)
            self._ports.send(name.rsplit("/", 1)[0], message)

    def _end(self, now: float) -> None:
        self._attempt = None
        self._not_before = now + self._random.uniform(*BACKOFF_S)
