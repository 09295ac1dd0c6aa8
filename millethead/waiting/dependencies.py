"""Which waiting jobs wait for which others. An edge leads from a job to a parent of it that has not ended."""

from __future__ import annotations

from collections.abc import Iterator

from millethead.waiting.entry import Entry, State


class Dependencies:
    """`edges`: how many there are now."""

    def __init__(self) -> None:
        self.edges = 0

    def link(self, entry: Entry, parents: dict[int, Entry]) -> None:
        """A new job waits for these."""
        entry.parents = parents
        self.edges += len(parents)
        for parent in parents.values():
            if parent.children is None:
                parent.children = {}
            parent.children[entry.number] = entry

    def unlink(self, entry: Entry) -> None:
        """A job that ends waits for nobody any more."""
        if not entry.parents:
            return
        for parent in entry.parents.values():
            if parent.children is not None:
                parent.children.pop(entry.number, None)
        self.edges -= len(entry.parents)
        entry.parents = None

    def release(self, parent: Entry, children: dict[int, Entry]) -> Iterator[Entry | None]:
        """Take a job that has ended from its children, one at a time; None stands for one that has ended by now."""
        # a child that is named here is nobody else's any more: it drops out of this map when it ends itself
        for child in list(children.values()):
            if child.state is State.ENDED or child.parents is None:
                yield None
                continue
            del child.parents[parent.number]
            self.edges -= 1
            yield child
