"""Queue of membership updates that are piggybacked on other messages, each a limited number of times (as in SWIM)."""

from __future__ import annotations

import math

from millethead.members.messages import Update


class Dissemination:
    """Each update is sent `retransmit_factor` * log10(members + 1) times. At most `max_updates` updates are queued."""

    def __init__(self, retransmit: int, most: int) -> None:
        self._retransmit, self._most = retransmit, most
        # by member name: the newest update, and how often it is still to be sent
        self._left: dict[str, tuple[Update, int]] = {}

    def add(self, update: Update, peers: int) -> None:
        """Queues an update. It replaces the queued update of the same member, if there is one."""
        rides = max(1, round(self._retransmit * math.log10(peers + 2)))
        self._left.pop(update.record.name, None)
        self._left[update.record.name] = (update, rides)
        while len(self._left) > self._most:  # drop the oldest update
            self._left.pop(next(iter(self._left)))

    def take(self, most: int) -> list[Update]:
        """Returns up to `max_updates` updates for the next message and counts them as sent once more."""
        riding = []
        for name, (update, left) in list(self._left.items())[:most]:
            riding.append(update)
            if left <= 1:
                del self._left[name]
            else:
                self._left[name] = (update, left - 1)
        return riding
