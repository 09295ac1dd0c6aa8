"""A proposed view and the reasons for it, as typed values for logs and tests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from millethead.replication.view import View


class ViewCause(Enum):
    """Why a view is proposed. The causes that name the head are used by a member that takes over from it."""

    FIRST_START = "first_start"
    RESTARTED = "restarted"  # a restarted process queries the current view
    HEAD_ENDED = "head_ended"  # nothing listens on its address any more
    HEAD_RESTARTED = "head_restarted"  # another process uses its address
    HEAD_LEAVING = "head_leaving"
    HEAD_ISOLATED = "head_isolated"  # its heartbeats arrive, but it does not receive those of a majority
    HEAD_SILENT = "head_silent"
    LEAVING = "leaving"  # the head hands over before its shutdown
    OWN_DISK_SLOW = "own_disk_slow"  # the head hands over because its disk is slow
    MEMBERS = "members"  # members of the chain were lost, have returned or are new
    VOTERS = "voters"  # only the voters change


class Departure(Enum):
    """Why a member of the current chain is not in the next one."""

    SILENT = "silent"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    DISK_SLOW = "disk_slow"
    NOT_CONNECTED = "apart"  # reachable from the head, but not connected to all other members


@dataclass(frozen=True, slots=True)
class DepartedMember:
    """A member of the current chain that is not in the next one."""

    address: str
    reason: Departure

    def __str__(self) -> str:
        return f"{self.address}:{self.reason.value}"


@dataclass(frozen=True, slots=True)
class ViewProposal:
    """A proposed view and its cause. `disk_ms`: the slowest recent write of the proposer."""

    view: View
    cause: ViewCause
    departed: tuple[DepartedMember, ...] = ()
    disk_ms: int = 0
