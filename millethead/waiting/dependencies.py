"""Dependencies between delayed jobs: which job waits for which parents that have not ended."""

from __future__ import annotations

from collections.abc import Iterator

from millethead.waiting.entry import Entry, JobState


class Dependencies:
    """Links between children and parents. `count` is the number of (child, parent) pairs."""

    def __init__(self) -> None:
        self.count = 0

    def link(self, entry: Entry, parents: dict[int, Entry]) -> None:
        """Makes a new job depend on these parents."""
        entry.parents = parents
        self.count += len(parents)
        for parent in parents.values():
            if parent.children is None:
                parent.children = {}
            parent.children[entry.number] = entry

    def unlink(self, entry: Entry) -> None:
        """Removes the links of a job that ends to its parents."""
        if not entry.parents:
            return
        for parent in entry.parents.values():
            if parent.children is not None:
                parent.children.pop(entry.number, None)
        self.count -= len(entry.parents)
        entry.parents = None

    def release(self, parent: Entry, children: dict[int, Entry]) -> Iterator[Entry | None]:
        """Removes a parent that has ended from its children, one at a time. Yields each child, or None for a child
        that has ended meanwhile."""
        # iterates over a copy: a child that ends meanwhile removes itself from the map
        for child in list(children.values()):
            if child.state is JobState.ENDED or child.parents is None:
                yield None
                continue
            del child.parents[parent.number]
            self.count -= 1
            yield child
