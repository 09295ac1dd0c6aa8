"""A round of CASPaxos in which the value names its voters, and any number of them may change at once.

Joint consensus, as in Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, section 6, for
a single register: a value that changes the voters names those before it too. To follow a value of which it is not known
that it was agreed, a majority of each group that it names has to promise; to be agreed, a value needs a majority of
each of these groups and of its own voters. So whoever asks the voters before a change hears of it, or has fenced it.
"""

from __future__ import annotations

from collections.abc import Callable

from millethead.rollout.register import ZERO_BALLOT, Ballot, ChangeRefused, RegisterMessage

Quorums = tuple[frozenset[str], ...]  # names of voters, a majority of each group is needed


def has_majorities(names: frozenset[str], quorums: Quorums) -> bool:
    """Whether `names` hold a majority of each group."""
    return all(2 * len(names & group) > len(group) for group in quorums)


class JointRound:
    """One try of a proposer, under one ballot. `known`: the groups of the newest value that the proposer knows of.
    `change` makes the new value of the old one, once, when enough have promised; it may raise ChangeRefused, and then
    the old value is confirmed, so that the refusal rests on what is agreed. `quorums` tells of which groups a majority
    each is needed to follow a value, `voters` which its own voters are."""

    __slots__ = (
        "_accepted",
        "_change",
        "_found",
        "_old_quorums",
        "_promised",
        "_quorums",
        "_voters",
        "ballot",
        "lost",
        "old",
        "refused",
        "value",
    )

    def __init__(
        self,
        ballot: Ballot,
        known: Quorums,
        change: Callable[[bytes], bytes],
        quorums: Callable[[bytes], Quorums],
        voters: Callable[[bytes], frozenset[str]],
    ) -> None:
        self.ballot, self._change, self._quorums, self._voters = ballot, change, quorums, voters
        self._old_quorums = known
        self.value: bytes | None = None
        self.old = b""
        self.refused: ChangeRefused | None = None
        self.lost: Ballot | None = None  # a higher ballot that an acceptor had promised
        self._promised, self._accepted = frozenset[str](), frozenset[str]()
        self._found: Ballot = ZERO_BALLOT

    @property
    def needed(self) -> Quorums:
        """The groups of which a majority each is needed now."""
        if self.value is None:
            return self._old_quorums
        return (*self._old_quorums, self._voters(self.value))

    @property
    def asked(self) -> frozenset[str]:
        """Who is to be asked now."""
        return frozenset[str]().union(*self.needed)

    @property
    def agreed(self) -> bool:
        """Whether the value is the register's."""
        return self.value is not None and has_majorities(self._accepted, self.needed)

    def ask(self) -> RegisterMessage:
        """What to send to everybody who is asked, as often as need be."""
        return (
            RegisterMessage("prepare", self.ballot)
            if self.value is None
            else RegisterMessage("accept", self.ballot, ZERO_BALLOT, self.value)
        )

    def take(self, voter: str, word: RegisterMessage) -> bool:
        """A voter's answer; returns whether there is something new to ask, or somebody else."""
        if word.ballot != self.ballot or self.lost is not None:
            return False
        if word.kind == "nack":
            self.lost = word.accepted
        elif word.kind == "promise" and self.value is None:
            return self._take_promise(voter, word)
        elif word.kind == "accepted" and self.value is not None:
            self._accepted |= {voter}
        return False

    def _take_promise(self, voter: str, word: RegisterMessage) -> bool:
        before = self._old_quorums
        if word.accepted > self._found:
            self._found, self.old = word.accepted, word.value
            self._old_quorums = self._quorums(self.old) or self._old_quorums
        self._promised |= {voter}
        if not has_majorities(self._promised, self._old_quorums):
            return self._old_quorums != before
        try:
            self.value = self._change(self.old)
        except ChangeRefused as why:
            self.value, self.refused = self.old, why
        return True
