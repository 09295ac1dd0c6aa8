"""Assignment of the parts of the fleet-wide limits to stewards, where the fleet agrees on it (rule and proof:
docs/members.md).

The module does no input or output. Times are seconds of this process's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from millethead.members.share import DRIFT, Share, Steward


class Office(msgspec.Struct, frozen=True, array_like=True):
    """Assigns one part of every fleet-wide limit to the steward `name`. `token` is a fencing token: 0 for an initial
    assignment from the configuration, otherwise a number that is never used twice."""

    name: str
    token: int = 0


class Offices:
    """This member's role as a steward, if it has one.

    A confirmation is a read of the agreed state that shows this member's assignment. The steward may grant leases for
    `confirmation_ttl_s` after the start of the latest confirmation. The value is infinite if assignments never change.
    """

    def __init__(self, me: str, share: Share, window: float, held: float, now: float) -> None:
        self.me, self.share, self.window, self.held = me, share, window, held
        self.parts, self._token = len(share.stewards), 0
        self.steward = self._steward(now) if me in share.stewards else None

    def _steward(self, now: float) -> Steward:
        steward = Steward(self.parts, self.share.lease, self.window, now)
        if self.held < math.inf:
            steward.closes = -math.inf  # no grants until the assignment is confirmed
        return steward

    def learn(self, now: float, offices: Sequence[Office]) -> None:
        """Applies the agreed assignments, given in the order of the parts."""
        self.share.stewards = tuple(office.name for office in offices)
        self.share.grants = self.share.fresh(now)
        mine = next((office for office in offices if office.name == self.me), None)
        if mine is None:
            self.steward = None
        elif self.steward is None or mine.token != self._token:
            self._token, self.steward = mine.token, self._steward(now)
            # The previous steward may still grant leases until its confirmation expires, and these leases run out after
            # that.
            if mine.token:
                self.steward.opens += self.held * (1 + DRIFT)

    def confirm(self, asked: float, offices: Sequence[Office]) -> None:
        """Extends the right to grant after a read that started at `asked_at` returned `assignments`, which were applied
        before this call."""
        if self.steward is not None and Office(self.me, self._token) in offices:
            self.steward.closes = max(self.steward.closes, asked + self.held)
