"""Agents that say nothing although they should: what is asked of them since, and for how long.

An agent answers each order at once with what it has begun, and asks for its lease every second. One that has been sent
an order and says nothing is cut off, frozen or gone, long before its lease ends or its connection breaks.
"""

from __future__ import annotations

from collections.abc import Iterator

SILENT_S = 0.35  # without a word since the first order that was not followed by one
STALL_S = 0.2  # between two looks: after more than that the head itself may have stood still


class Silences:
    """For each node, since when a word of its agent is awaited. Times are seconds of the steady clock."""

    def __init__(self, now: float) -> None:
        self._awaited: dict[str, float] = {}  # in the order of their times
        self._silent: dict[str, None] = {}
        self._looked_at = now

    def await_word(self, node: str, now: float) -> None:
        """The agent of a node has been told something, or its connection has ended."""
        if node not in self._silent:
            self._awaited.setdefault(node, now)

    def heard(self, node: str) -> bool:
        """The agent of a node has said something; returns whether it counted as silent."""
        self._awaited.pop(node, None)
        was_silent = node in self._silent
        self._silent.pop(node, None)
        return was_silent

    def is_silent(self, node: str) -> bool:
        """Whether it has been found silent and not been heard since."""
        return node in self._silent

    def forget(self, node: str) -> None:
        """Nothing is expected of a node any more."""
        self.heard(node)

    def look(self, now: float) -> list[str]:
        """The nodes that count as silent from now on. Where the head itself may have stood still, all get more time:
        what they have said may not have been read."""
        stalled = now - self._looked_at > STALL_S
        self._looked_at = now
        if stalled:
            self._awaited = dict.fromkeys(self._awaited, now)
            return []
        found = list(self._due(now))
        for node in found:
            del self._awaited[node]
            self._silent[node] = None
        return found

    def _due(self, now: float) -> Iterator[str]:
        for node, since in self._awaited.items():
            if now < since + SILENT_S:
                return
            yield node
