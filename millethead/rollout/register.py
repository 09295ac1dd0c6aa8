"""A replicated compare-and-set register: one value that a majority of the voters agrees on.

Source: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018; the two phases are those of Lamport's "Paxos
made simple", 2001. The module does no input or output. An acceptor's state must be on disk before its answer is sent.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

# number and name of the proposing process; the name includes the process start, so that no ballot is used twice
Ballot = tuple[int, str]
ZERO: Ballot = (0, "")


class Refused(Exception):
    """Raised if a change does not apply to the current value. The text gives the reason in one line."""


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of an acceptor."""

    promised: Ballot = ZERO
    accepted: Ballot = ZERO
    value: bytes = b""


class Word(msgspec.Struct, frozen=True, array_like=True):
    """A message between a proposer and an acceptor. `kind` is prepare, promise, accept, accepted or nack."""

    kind: str
    ballot: Ballot
    accepted: Ballot = ZERO
    value: bytes = b""


class Acceptor:
    """The acceptor of one voter."""

    __slots__ = ("kept",)

    def __init__(self, kept: Kept | None = None) -> None:
        self.kept = kept or Kept()

    def take(self, word: Word) -> tuple[Word, bool]:
        """Returns the answer, and whether `state` has changed and must be stored before the answer is sent."""
        kept, ballot = self.kept, word.ballot
        if word.kind == "prepare":
            if ballot < kept.promised:
                return Word("nack", ballot, kept.promised), False
            self.kept = Kept(ballot, kept.accepted, kept.value)
            return Word("promise", ballot, kept.accepted, kept.value), ballot != kept.promised
        if word.kind == "accept" and ballot >= kept.promised:
            self.kept = Kept(ballot, ballot, word.value)
            return Word("accepted", ballot), self.kept != kept
        return Word("nack", ballot, kept.promised), False


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
        "_found",
        "_named",
        "_promised",
        "ballot",
        "lost",
        "old",
        "refused",
        "value",
        "voters",
    )

    def __init__(
        self,
        ballot: Ballot,
        voters: tuple[str, ...],
        change: Callable[[bytes], bytes],
        named: Callable[[bytes], tuple[str, ...]] = lambda value: (),
    ) -> None:
        self.ballot, self.voters, self._change, self._named = ballot, voters, change, named
        self.value: bytes | None = None
        self.old = b""
        self.refused: Refused | None = None
        self.lost: Ballot | None = None  # a higher ballot that an acceptor had promised
        self._promised, self._accepted = frozenset[str](), frozenset[str]()
        self._found: Ballot = ZERO

    @property
    def agreed(self) -> bool:
        return 2 * len(self._accepted) > len(self.voters)

    def ask(self) -> Word:
        """Returns the request for every voter in the current phase. It may be sent repeatedly."""
        return Word("prepare", self.ballot) if self.value is None else Word("accept", self.ballot, ZERO, self.value)

    def take(self, voter: str, word: Word) -> bool:
        """Handles a voter's answer. Returns whether there is a new request, or a new voter to send it to."""
        if word.ballot != self.ballot or self.lost is not None:
            return False
        if word.kind == "nack":
            self.lost = word.accepted
        elif word.kind == "promise" and self.value is None:
            before = self.voters
            if word.accepted > self._found:
                self._found, self.old = word.accepted, word.value
                self.voters = self._named(self.old) or self.voters
            self._promised |= {voter}
            if 2 * len(self._promised & set(self.voters)) > len(self.voters):
                try:
                    self.value = self._change(self.old)
                except Refused as why:
                    self.value, self.refused = self.old, why
                return True
            return self.voters != before
        elif word.kind == "accepted" and self.value is not None and voter in self.voters:
            self._accepted |= {voter}
        return False
