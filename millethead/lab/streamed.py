"""What followers of the configuration's stream may be told: committed configurations only, each as it was committed."""

from __future__ import annotations

from millethead.configuration.change import ConfigurationState
from millethead.control.calls import ConfigurationUpdate
from millethead.replication.log_position import NO_POSITION, LogPosition


class UncommittedConfiguration(AssertionError):
    """A configuration left a head that was not committed, or was another one."""


class StreamedConfigurations:
    """All configurations that were ever committed, by the place of their entry."""

    def __init__(self) -> None:
        self._documents: dict[LogPosition, bytes] = {}
        self.newest = NO_POSITION

    def committed(self, state: ConfigurationState) -> None:
        """A state all of which is committed."""
        if state.place != self.newest:
            self.newest = state.place
            self._documents[state.place] = state.document

    def told(self, update: ConfigurationUpdate) -> None:
        """A head has sent a configuration; raises UncommittedConfiguration."""
        document = self._documents.get(update.place)
        if document is None:
            raise UncommittedConfiguration(f"version {update.version} is told, and {update.place} is not committed")
        if document != update.document:
            raise UncommittedConfiguration(f"version {update.version} at {update.place} is told with other contents")
        if update.force:
            raise UncommittedConfiguration(f"a follower is told that what it holds before {update.place} never was")
