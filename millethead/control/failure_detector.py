"""Failure detector for agents that do not respond although a response is due.

An agent answers each order at once with the runs that it has started, and it requests its lease every second. An agent
that was sent an order and does not respond is unreachable, frozen or gone. The detector notices that long before the
lease expires or the connection breaks.
"""

from __future__ import annotations

from collections.abc import Iterator

RESPONSE_TIMEOUT_S = 0.35  # time without a response since the first order that was not answered
STALL_THRESHOLD_S = 0.2  # a longer time between two checks means that the head itself may have been stalled


class FailureDetector:
    """Tracks for each node since when a response of its agent is due. Times are seconds of the monotonic clock."""

    def __init__(self, now: float) -> None:
        self._pending_since: dict[str, float] = {}  # node -> since when; ascending
        self._unresponsive: dict[str, None] = {}
        self._checked_at = now

    def expect_response(self, node: str, now: float) -> None:
        """Expect a response of a node's agent, because a record was sent to it."""
        if node not in self._unresponsive:
            self._pending_since.setdefault(node, now)

    def record_response(self, node: str) -> bool:
        """Record a response of a node's agent; return whether the node counted as unresponsive."""
        self._pending_since.pop(node, None)
        was_unresponsive = node in self._unresponsive
        self._unresponsive.pop(node, None)
        return was_unresponsive

    def is_unresponsive(self, node: str) -> bool:
        """Return whether a node has been found unresponsive and has not responded since."""
        return node in self._unresponsive

    def forget(self, node: str) -> None:
        """Stop to expect a response of a node."""
        self.record_response(node)

    def check(self, now: float) -> list[str]:
        """Return the nodes that count as unresponsive from now on.

        If the head itself was stalled since the last check, all nodes get more time, because their responses may not
        have been read yet.
        """
        stalled = now - self._checked_at > STALL_THRESHOLD_S
        self._checked_at = now
        if stalled:
            self._pending_since = dict.fromkeys(self._pending_since, now)
            return []
        unresponsive = list(self._due(now))
        for node in unresponsive:
            del self._pending_since[node]
            self._unresponsive[node] = None
        return unresponsive

    def _due(self, now: float) -> Iterator[str]:
        for node, since in self._pending_since.items():
            if now < since + RESPONSE_TIMEOUT_S:
                return
            yield node
