"""The nodes that the staff have taken out: a part of the replicated state."""

from __future__ import annotations

from collections.abc import Iterable

from millethead.jobs.commands import DrainNode

MOST_DRAINED = 4096  # at once


class DrainedNodes:
    """Names of nodes whose workers get nothing new until they are put back."""

    def __init__(self, nodes: Iterable[str] = ()) -> None:
        self._nodes = set(nodes)

    def __contains__(self, node: object) -> bool:
        return node in self._nodes

    def __len__(self) -> int:
        return len(self._nodes)

    def names(self) -> tuple[str, ...]:
        """All of them, in order."""
        return tuple(sorted(self._nodes))

    def apply(self, command: DrainNode) -> None:
        """Take a node out, or put it back; beyond MOST_DRAINED nothing is taken out."""
        if not command.drained:
            self._nodes.discard(command.node)
        elif len(self._nodes) < MOST_DRAINED:
            self._nodes.add(command.node)
