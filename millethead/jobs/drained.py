"""The nodes that operators have drained. Part of the replicated state."""

from __future__ import annotations

from collections.abc import Iterable

from millethead.jobs.commands import DrainNode

MAX_DRAINED_NODES = 4096  # drained at the same time


class DrainedNodes:
    """Names of the nodes whose workers are assigned no new runs until an operator puts them back into service."""

    def __init__(self, nodes: Iterable[str] = ()) -> None:
        self._nodes = set(nodes)

    def __contains__(self, node: object) -> bool:
        return node in self._nodes

    def __len__(self) -> int:
        return len(self._nodes)

    def names(self) -> tuple[str, ...]:
        """All names, sorted."""
        return tuple(sorted(self._nodes))

    def apply(self, command: DrainNode) -> None:
        """Drains a node or puts it back into service. Does nothing if MAX_DRAINED_NODES nodes are drained already."""
        if not command.drained:
            self._nodes.discard(command.node)
        elif len(self._nodes) < MAX_DRAINED_NODES:
            self._nodes.add(command.node)
