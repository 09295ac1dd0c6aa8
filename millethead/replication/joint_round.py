"""A CASPaxos round for a value that contains its own voters, any number of which may change at once.

This is joint consensus as in Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, section
6, for a single register. A value that changes the voters also contains the outgoing voters. To replace a value that is
not known to be agreed, a proposer needs promises from a majority of each group that the value names. To be agreed, a
value needs a majority of each of these groups and of its own voters. So a proposer that contacts the outgoing voters
either learns of the change or prevents it with a higher ballot.
"""

from __future__ import annotations

from collections.abc import Callable

from millethead.rollout.register import ZERO_BALLOT, Ballot, ChangeRefused, RegisterMessage

Quorums = tuple[frozenset[str], ...]  # groups of voter names; a majority of each group is needed


def has_majorities(names: frozenset[str], quorums: Quorums) -> bool:
    """Whether `names` contains a majority of each group."""
    return all(2 * len(names & group) > len(group) for group in quorums)


class JointRound:
    """One attempt of a proposer, under one ballot.

    `known_quorums`: the groups of the newest value that the proposer has seen. `change` computes the new value from the
    old one; it is called once, after enough promises. If it raises ChangeRefused, the old value is proposed again,
    so that the refusal is based on an agreed value. `quorums` returns the groups of each of which a majority is needed
    to replace a value, `voters` the voters of a value.
    """

    __slots__ = (
        "_accepted",
        "_change",
        "_highest_accepted",
        "_previous_quorums",
        "_promised",
        "_quorums",
        "_voters",
        "ballot",
        "competing_ballot",
        "previous_value",
        "refused",
        "value",
    )

    def __init__(
        self,
        ballot: Ballot,
        known_quorums: Quorums,
        change: Callable[[bytes], bytes],
        quorums: Callable[[bytes], Quorums],
        voters: Callable[[bytes], frozenset[str]],
    ) -> None:
        self.ballot, self._change, self._quorums, self._voters = ballot, change, quorums, voters
        self._previous_quorums = known_quorums
        self.value: bytes | None = None
        self.previous_value = b""
        self.refused: ChangeRefused | None = None
        self.competing_ballot: Ballot | None = None  # ballot of the competing proposer that an acceptor has promised
        self._promised, self._accepted = frozenset[str](), frozenset[str]()
        self._highest_accepted: Ballot = ZERO_BALLOT

    @property
    def required_quorums(self) -> Quorums:
        """The groups of each of which a majority is needed in the current phase."""
        if self.value is None:
            return self._previous_quorums
        return (*self._previous_quorums, self._voters(self.value))

    @property
    def recipients(self) -> frozenset[str]:
        """The names of the voters that the current request is sent to."""
        return frozenset[str]().union(*self.required_quorums)

    @property
    def agreed(self) -> bool:
        """Whether the value is agreed."""
        return self.value is not None and has_majorities(self._accepted, self.required_quorums)

    def request(self) -> RegisterMessage:
        """Returns the request of the current phase, for all recipients. It may be retransmitted."""
        return (
            RegisterMessage("prepare", self.ballot)
            if self.value is None
            else RegisterMessage("accept", self.ballot, ZERO_BALLOT, self.value)
        )

    def handle_response(self, voter: str, response: RegisterMessage) -> bool:
        """Processes a voter's response. Returns whether the request or its recipients have changed."""
        if response.ballot != self.ballot or self.competing_ballot is not None:
            return False
        if response.kind == "nack":
            self.competing_ballot = response.accepted
        elif response.kind == "promise" and self.value is None:
            return self._handle_promise(voter, response)
        elif response.kind == "accepted" and self.value is not None:
            self._accepted |= {voter}
        return False

    def _handle_promise(self, voter: str, response: RegisterMessage) -> bool:
        quorums_before = self._previous_quorums
        if response.accepted > self._highest_accepted:
            self._highest_accepted, self.previous_value = response.accepted, response.value
            self._previous_quorums = self._quorums(self.previous_value) or self._previous_quorums
        self._promised |= {voter}
        if not has_majorities(self._promised, self._previous_quorums):
            return self._previous_quorums != quorums_before
        try:
            self.value = self._change(self.previous_value)
        except ChangeRefused as why:
            self.value, self.refused = self.previous_value, why
        return True
