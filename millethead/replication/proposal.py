"""A view that a member proposes, and why: typed causes, so that the log and the tests can tell one from another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from millethead.replication.view import View


class ViewCause(Enum):
    """Why the next view is proposed. Those that name the head come from a member that takes over."""

    FIRST_START = "first_start"
    RESTARTED = "restarted"  # a process that has just begun asks for the view that is in place
    HEAD_ENDED = "head_ended"  # nobody listens at its address any more
    HEAD_RESTARTED = "head_restarted"  # another process answers there
    HEAD_LEAVING = "head_leaving"
    HEAD_ISOLATED = "head_isolated"  # it is heard, and hears no majority itself
    HEAD_SILENT = "head_silent"
    LEAVING = "leaving"  # the head hands over, as it has been asked to end
    OWN_DISK_SLOW = "own_disk_slow"  # the head hands over
    MEMBERS = "members"  # members of the chain are lost, back or new
    VOTERS = "voters"  # the chain stays as it is


class Departure(Enum):
    """Why a member of the present chain is not in the next one."""

    SILENT = "silent"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    DISK_SLOW = "disk_slow"
    APART = "apart"  # it is heard, but not joined to all others


@dataclass(frozen=True, slots=True)
class Departed:
    """A member that the next chain is without."""

    address: str
    why: Departure

    def __str__(self) -> str:
        return f"{self.address}:{self.why.value}"


@dataclass(frozen=True, slots=True)
class ViewProposal:
    """The wanted view, and what it rests on. `disk_ms`: the proposer's own slowest write lately."""

    view: View
    cause: ViewCause
    departed: tuple[Departed, ...] = ()
    disk_ms: int = 0
