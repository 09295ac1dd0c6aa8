"""The view: the voters, and the ordered chain of replicas, under an increasing epoch."""

from __future__ import annotations

from dataclasses import dataclass, replace

from millethead.rpc.codec import U64, Record


@dataclass(frozen=True, slots=True, order=True)
class Member(Record):
    """Identity of a replica: its internal address (host:port) and its disk. A machine that returns with an empty disk
    is another member. `disk` is 0 for a member without a disk, which neither votes nor stores entries."""

    address: str
    disk: U64

    @property
    def name(self) -> str:
        """The member's name as a voter."""
        return f"{self.address}/{self.disk:016x}"


@dataclass(frozen=True, slots=True)
class ChainMember(Record):
    """A member's entry in the chain. `incarnation` identifies its process; a restarted process needs a new entry.
    `joined` is the first epoch since which the member has been in every chain. Its log is only known to hold all
    committed entries if it contains an entry of that epoch or a later one."""

    member: Member
    incarnation: U64
    joined: U64


@dataclass(frozen=True, slots=True)
class View(Record):
    """The agreed membership. `chain[0]` is the head, the last element the tail. `outgoing`: the voters of the previous
    view if this view changes them; it is only agreed with a majority of these as well (joint consensus)."""

    epoch: U64
    voters: tuple[Member, ...]
    chain: tuple[ChainMember, ...]
    outgoing: tuple[Member, ...] = ()

    @property
    def head(self) -> ChainMember | None:
        return self.chain[0] if self.chain else None

    def chain_member(self, member: Member) -> ChainMember | None:
        """Returns the member's entry in the chain, for any process of the member."""
        return next((chain_member for chain_member in self.chain if chain_member.member == member), None)

    def addresses(self) -> tuple[str, ...]:
        """Returns the internal addresses of all core members, without duplicates."""
        return tuple(
            dict.fromkeys(
                [chain_member.member.address for chain_member in self.chain] + [voter.address for voter in self.voters]
            )
        )

    def majority(self) -> int:
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class ViewWithoutOutgoing(Record):
    """The format of stored views before several voters could change at once."""

    epoch: U64
    voters: tuple[Member, ...]
    chain: tuple[ChainMember, ...]


NO_VIEW = View(0, (), ())


def next_view(view: View, chain: tuple[ChainMember, ...], voters: tuple[Member, ...] | None = None) -> View:
    """Returns the view that follows `view`. Members that are new in the chain join at its epoch. Any number of voters
    may change."""
    epoch = view.epoch + 1
    previous_members = {chain_member.member: chain_member for chain_member in view.chain}
    chain_members = tuple(
        replace(
            chain_member,
            joined=previous_members[chain_member.member].joined if chain_member.member in previous_members else epoch,
        )
        for chain_member in chain
    )
    wanted = view.voters if voters is None else voters
    return View(epoch, wanted, chain_members, view.voters if set(wanted) != set(view.voters) else ())
