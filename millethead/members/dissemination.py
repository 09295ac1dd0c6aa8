"""Updates that ride on other messages, each a bounded number of times (SWIM's piggy-backing)."""

from __future__ import annotations

import math

from millethead.members.messages import Update


class Dissemination:
    """`retransmit`: an update rides on `retransmit` * log10(members + 1) messages; `most`: updates kept at once."""

    def __init__(self, retransmit: int, most: int) -> None:
        self._retransmit, self._most = retransmit, most
        self._left: dict[str, tuple[Update, int]] = {}  # by member: its newest update, and how often it still rides

    def add(self, update: Update, peers: int) -> None:
        """From now on the update rides, in place of what was said of its member before."""
        rides = max(1, round(self._retransmit * math.log10(peers + 2)))
        self._left.pop(update.record.name, None)
        self._left[update.record.name] = (update, rides)
        while len(self._left) > self._most:  # bounded: the oldest goes first
            self._left.pop(next(iter(self._left)))

    def take(self, most: int) -> list[Update]:
        """The updates that ride on the next message."""
        riding = []
        for name, (update, left) in list(self._left.items())[:most]:
            riding.append(update)
            if left <= 1:
                del self._left[name]
            else:
                self._left[name] = (update, left - 1)
        return riding
