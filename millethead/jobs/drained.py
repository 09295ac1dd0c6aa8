"""The nodes that operators have drained. Part of the replicated state."""

from __future__ import annotations

from collections.abc import Iterable

from millethead.jobs.commands import DrainNode
from millethead.replication.log_position import NO_POSITION, LogPosition

MAX_DRAINED_NODES = 4096  # drained at the same time


class DrainedNodes:
    """Names of the nodes whose workers are assigned no new runs until an operator puts them back into service.

    `place` is the log position of the newest order to drain a node or to undo that, whether it changed anything or not.
    """

    def __init__(self, nodes: Iterable[str] = (), place: LogPosition = NO_POSITION) -> None:
        self._nodes, self.place = set(nodes), place

    def __contains__(self, node: object) -> bool:
        return node in self._nodes

    def __len__(self) -> int:
        return len(self._nodes)

    def names(self) -> tuple[str, ...]:
        """All names, sorted."""
        return tuple(sorted(self._nodes))

    def apply(self, command: DrainNode, place: LogPosition) -> None:
        """Applies the order at a log position. If MAX_DRAINED_NODES nodes are drained already, no further one is."""
        self.place = place
        if not command.drained:
            self._nodes.discard(command.node)
        elif len(self._nodes) < MAX_DRAINED_NODES:
            self._nodes.add(command.node)
