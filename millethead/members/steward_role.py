"""Assignment of the parts of the fleet-wide limits to stewards, where the fleet agrees on it (rule and proof:
docs/members.md).

The module does no input or output. Times are seconds of this process's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from millethead.members.share import MAX_CLOCK_DRIFT, Share, Steward


class StewardAssignment(msgspec.Struct, frozen=True, array_like=True):
    """Assigns one part of every fleet-wide limit to the steward `name`. `token` is a fencing token: 0 for an initial
    assignment from the configuration, otherwise a number that is never used twice."""

    name: str
    token: int = 0


class StewardRole:
    """This member's role as a steward, if it has one.

    A confirmation is a read of the agreed state that shows this member's assignment. The steward may grant leases for
    `confirmation_ttl_s` after the start of the latest confirmation. The value is infinite if assignments never change.
    """

    def __init__(self, own_name: str, share: Share, window_s: float, confirmation_ttl_s: float, now: float) -> None:
        self.own_name, self.share = own_name, share
        self.window_s, self.confirmation_ttl_s = window_s, confirmation_ttl_s
        self.part_count, self._token = len(share.stewards), 0
        self.steward = self._new_steward(now) if own_name in share.stewards else None

    def _new_steward(self, now: float) -> Steward:
        steward = Steward(self.part_count, self.share.lease_s, self.window_s, now)
        if self.confirmation_ttl_s < math.inf:
            steward.grants_until = -math.inf  # no grants until the assignment is confirmed
        return steward

    def apply(self, now: float, assignments: Sequence[StewardAssignment]) -> None:
        """Applies the agreed assignments, given in the order of the parts."""
        self.share.stewards = tuple(assignment.name for assignment in assignments)
        self.share.grants = self.share.valid_grants(now)
        own = next((assignment for assignment in assignments if assignment.name == self.own_name), None)
        if own is None:
            self.steward = None
        elif self.steward is None or own.token != self._token:
            self._token, self.steward = own.token, self._new_steward(now)
            # The previous steward may still grant leases until its confirmation expires, and these leases run out after
            # that.
            if own.token:
                self.steward.grants_from += self.confirmation_ttl_s * (1 + MAX_CLOCK_DRIFT)

    def confirm(self, asked_at: float, assignments: Sequence[StewardAssignment]) -> None:
        """Extends the right to grant after a read that started at `asked_at` returned `assignments`, which were applied
        before this call."""
        if self.steward is not None and StewardAssignment(self.own_name, self._token) in assignments:
            self.steward.grants_until = max(self.steward.grants_until, asked_at + self.confirmation_ttl_s)
