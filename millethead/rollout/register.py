"""A replicated compare-and-set register: one value that a majority of the voters agrees on.

Source: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018; the two phases are those of Lamport's "Paxos
made simple", 2001. The module does no input or output. An acceptor's state must be on disk before its answer is sent.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

# number and name of the proposing process; the name includes the process start, so that no ballot is used twice
Ballot = tuple[int, str]
ZERO_BALLOT: Ballot = (0, "")


class ChangeRefused(Exception):
    """Raised if a change does not apply to the current value. The text gives the reason in one line."""


class AcceptorState(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of an acceptor."""

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    value: bytes = b""


class RegisterMessage(msgspec.Struct, frozen=True, array_like=True):
    """A message between a proposer and an acceptor. `kind` is prepare, promise, accept, accepted or nack."""

    kind: str
    ballot: Ballot
    accepted: Ballot = ZERO_BALLOT
    value: bytes = b""


class Acceptor:
    """The acceptor of one voter."""

    __slots__ = ("state",)

    def __init__(self, state: AcceptorState | None = None) -> None:
        self.state = state or AcceptorState()

    def handle(self, message: RegisterMessage) -> tuple[RegisterMessage, bool]:
        """Returns the answer, and whether `state` has changed and must be stored before the answer is sent."""
        state, ballot = self.state, message.ballot
        if message.kind == "prepare":
            if ballot < state.promised:
                return RegisterMessage("nack", ballot, state.promised), False
            self.state = AcceptorState(ballot, state.accepted, state.value)
            return RegisterMessage("promise", ballot, state.accepted, state.value), ballot != state.promised
        if message.kind == "accept" and ballot >= state.promised:
            self.state = AcceptorState(ballot, ballot, message.value)
            return RegisterMessage("accepted", ballot), self.state != state
        return RegisterMessage("nack", ballot, state.promised), False


class Round:
    """One attempt of a proposer, under one ballot.

    `change` computes the new value from the old one. It is called once, when a majority has promised. If it raises
    ChangeRefused, the old value is proposed again, so that the refusal rests on an agreed value.

    A value may name the voters that decide on the next value (`voters_in`; if none, the initial ones decide). `voters`
    follows the newest accepted value that was received, and a majority of these voters must have promised. So a
    proposer that starts from an outdated list finds the current voters. This is safe as long as each change adds or
    removes one voter: any majority before it and any majority after it intersect.
    """

    __slots__ = (
        "_accepted",
        "_change",
        "_newest_accepted",
        "_promised",
        "_voters_in",
        "ballot",
        "old_value",
        "refusal",
        "superseded_by",
        "value",
        "voters",
    )

    def __init__(
        self,
        ballot: Ballot,
        voters: tuple[str, ...],
        change: Callable[[bytes], bytes],
        voters_in: Callable[[bytes], tuple[str, ...]] = lambda value: (),
    ) -> None:
        self.ballot, self.voters, self._change, self._voters_in = ballot, voters, change, voters_in
        self.value: bytes | None = None
        self.old_value = b""
        self.refusal: ChangeRefused | None = None
        self.superseded_by: Ballot | None = None  # a higher ballot that an acceptor had promised
        self._promised, self._accepted = frozenset[str](), frozenset[str]()
        self._newest_accepted: Ballot = ZERO_BALLOT

    @property
    def is_chosen(self) -> bool:
        """Whether a majority of the voters has accepted the value."""
        return 2 * len(self._accepted) > len(self.voters)

    def request(self) -> RegisterMessage:
        """Returns the request for every voter in the current phase. It may be sent repeatedly."""
        return (
            RegisterMessage("prepare", self.ballot)
            if self.value is None
            else RegisterMessage("accept", self.ballot, ZERO_BALLOT, self.value)
        )

    def handle(self, voter: str, message: RegisterMessage) -> bool:
        """Handles a voter's answer. Returns whether there is a new request, or a new voter to send it to."""
        if message.ballot != self.ballot or self.superseded_by is not None:
            return False
        if message.kind == "nack":
            self.superseded_by = message.accepted
        elif message.kind == "promise" and self.value is None:
            previous_voters = self.voters
            if message.accepted > self._newest_accepted:
                self._newest_accepted, self.old_value = message.accepted, message.value
                self.voters = self._voters_in(self.old_value) or self.voters
            self._promised |= {voter}
            if 2 * len(self._promised & set(self.voters)) > len(self.voters):
                try:
                    self.value = self._change(self.old_value)
                except ChangeRefused as refusal:
                    self.value, self.refusal = self.old_value, refusal
                return True
            return self.voters != previous_voters
        elif message.kind == "accepted" and self.value is not None and voter in self.voters:
            self._accepted |= {voter}
        return False
