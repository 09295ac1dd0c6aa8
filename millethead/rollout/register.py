"""One value that the fleet agrees on: a register that is changed by compare and set, kept by a majority of voters.

Source: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018; the two phases are those of Lamport's "Paxos
made simple", 2001. No input or output here: messages and time come in, messages go out. An acceptor's state must be on
disk before its answer leaves.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

Ballot = tuple[int, str]  # a number, and who uses it: a name and the start of its process, so that none is used twice
ZERO: Ballot = (0, "")


class Refused(Exception):
    """The change is not to be made of this value; the text says why in one line."""


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor must never forget."""

    promised: Ballot = ZERO
    accepted: Ballot = ZERO
    value: bytes = b""


class Word(msgspec.Struct, frozen=True, array_like=True):
    """A message between a proposer and an acceptor. kind: prepare, promise, accept, accepted, nack."""

    kind: str
    ballot: Ballot
    accepted: Ballot = ZERO
    value: bytes = b""


class Acceptor:
    """One voter's part."""

    __slots__ = ("kept",)

    def __init__(self, kept: Kept | None = None) -> None:
        self.kept = kept or Kept()

    def take(self, word: Word) -> tuple[Word, bool]:
        """(the answer, whether `kept` has changed and must be stored before the answer goes out)"""
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
    """One try of a proposer, under one ballot. `change` makes the new value of the old one, once, when a majority has
    promised; it may raise Refused, and then the old value is confirmed, so that the refusal rests on what is agreed.

    A value may name the voters that decide on the next one (`named`; none: the first ones). So `voters` become those of
    the newest value heard of, and a majority of these must have promised: whoever starts from an old list is led to the
    present one. It is enough that each change adds or takes away one voter: a majority before it and one after it meet.
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
        """What to send to every voter now, as often as need be."""
        return Word("prepare", self.ballot) if self.value is None else Word("accept", self.ballot, ZERO, self.value)

    def take(self, voter: str, word: Word) -> bool:
        """A voter's answer; returns whether there is something new to ask, or somebody else."""
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
