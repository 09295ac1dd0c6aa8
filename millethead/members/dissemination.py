"""Queue of membership updates that are piggybacked on other messages, each a limited number of times (as in SWIM)."""

from __future__ import annotations

import math

from millethead.members.messages import Update


class Dissemination:
    """Each update is sent `retransmit_factor` * log10(members + 1) times. At most `max_updates` updates are queued."""

    def __init__(self, retransmit_factor: int, max_updates: int) -> None:
        self._retransmit_factor, self._max_updates = retransmit_factor, max_updates
        # by member name: the newest update, and how often it is still to be sent
        self._queue: dict[str, tuple[Update, int]] = {}

    def add(self, update: Update, peer_count: int) -> None:
        """Queues an update. It replaces the queued update of the same member, if there is one."""
        remaining = max(1, round(self._retransmit_factor * math.log10(peer_count + 2)))
        self._queue.pop(update.record.name, None)
        self._queue[update.record.name] = (update, remaining)
        while len(self._queue) > self._max_updates:  # drop the oldest update
            self._queue.pop(next(iter(self._queue)))

    def take(self, max_updates: int) -> list[Update]:
        """Returns up to `max_updates` updates for the next message and counts them as sent once more."""
        updates = []
        for name, (update, remaining) in list(self._queue.items())[:max_updates]:
            updates.append(update)
            if remaining <= 1:
                del self._queue[name]
            else:
                self._queue[name] = (update, remaining - 1)
        return updates
