"""The view: who votes, and which replicas form the chain in which order, under an epoch that only rises."""

from __future__ import annotations

from dataclasses import dataclass, replace

from millethead.rpc.codec import U64, Record


@dataclass(frozen=True, slots=True, order=True)
class Member(Record):
    """A replica's identity: where it takes internal calls (host:port), and its disk. A machine that returns with an
    empty disk is another member. `disk` 0: it has none, and neither votes nor stores."""

    address: str
    disk: U64

    @property
    def name(self) -> str:
        """Its name as a voter."""
        return f"{self.address}/{self.disk:016x}"


@dataclass(frozen=True, slots=True)
class ChainMember(Record):
    """A place in the chain. `incarnation` is the process that took it: a restarted one takes a new place.
    `joined` is the epoch from which on the member has been in every chain: only with a record of that epoch or a
    later one in its log it holds all that was committed."""

    member: Member
    incarnation: U64
    joined: U64


@dataclass(frozen=True, slots=True)
class View(Record):
    """The agreed membership. `chain[0]` is the head, the last one the tail. `outgoing`: the voters before, where this
    view changes them: it is agreed only with a majority of these too (joint consensus)."""

    epoch: U64
    voters: tuple[Member, ...]
    chain: tuple[ChainMember, ...]
    outgoing: tuple[Member, ...] = ()

    @property
    def head(self) -> ChainMember | None:
        return self.chain[0] if self.chain else None

    def place(self, member: Member) -> ChainMember | None:
        """The member's place in the chain, whatever process took it."""
        return next((place for place in self.chain if place.member == member), None)

    def addresses(self) -> tuple[str, ...]:
        """Where members of the core take internal calls, each once."""
        return tuple(
            dict.fromkeys([place.member.address for place in self.chain] + [voter.address for voter in self.voters])
        )

    def majority(self) -> int:
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class ViewWithoutOutgoing(Record):
    """The format of a view before voters could change together."""

    epoch: U64
    voters: tuple[Member, ...]
    chain: tuple[ChainMember, ...]


NO_VIEW = View(0, (), ())


def next_view(view: View, chain: tuple[ChainMember, ...], voters: tuple[Member, ...] | None = None) -> View:
    """The view after `view`; members that are new in the chain join at its epoch. Any number of voters may change."""
    epoch = view.epoch + 1
    before = {place.member: place for place in view.chain}
    placed = tuple(
        replace(place, joined=before[place.member].joined if place.member in before else epoch) for place in chain
    )
    wanted = view.voters if voters is None else voters
    return View(epoch, wanted, placed, view.voters if set(wanted) != set(view.voters) else ())
