"""Whose the parts of the fleet's limits are, where the fleet agrees on that (rule and proof: docs/members.md).

No input or output; times are seconds of this process's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from millethead.members.share import DRIFT, Share, Steward


class Office(msgspec.Struct, frozen=True, array_like=True):
    """A part of every limit belongs to the steward `name`. `token`: 0 for who has it by the file, else the number under
    which it was given, never used twice."""

    name: str
    token: int = 0


class Offices:
    """This member's own office, if it has one. `held`: for how long it lends after the start of a look at what is
    agreed that showed the office as its own; infinite where offices never change."""

    def __init__(self, me: str, share: Share, window: float, held: float, now: float) -> None:
        self.me, self.share, self.window, self.held = me, share, window, held
        self.parts, self._token = len(share.stewards), 0
        self.steward = self._steward(now) if me in share.stewards else None

    def _steward(self, now: float) -> Steward:
        steward = Steward(self.parts, self.share.lease, self.window, now)
        if self.held < math.inf:
            steward.closes = -math.inf  # until a look at what is agreed shows that it still has the office
        return steward

    def learn(self, now: float, offices: Sequence[Office]) -> None:
        """What is agreed now, in the order in which it was agreed."""
        self.share.stewards = tuple(office.name for office in offices)
        self.share.grants = self.share.fresh(now)
        mine = next((office for office in offices if office.name == self.me), None)
        if mine is None:
            self.steward = None
        elif self.steward is None or mine.token != self._token:
            self._token, self.steward = mine.token, self._steward(now)
            if mine.token:  # who had it before may lend for as long, and what was lent then runs out after that
                self.steward.opens += self.held * (1 + DRIFT)

    def confirm(self, asked: float, offices: Sequence[Office]) -> None:
        """A look that began at `asked` showed these; they were learned before this."""
        if self.steward is not None and Office(self.me, self._token) in offices:
            self.steward.closes = max(self.steward.closes, asked + self.held)
