"""Stream of committed configurations from the head to the callers that put them into force.

The position of a caller in the stream is the log position of the entry that introduced its configuration. The
operator's version number is not suitable: two orders may carry the same number, of which only one is ever committed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from millethead.configuration.change import ConfigurationState
from millethead.configuration.model import Configuration
from millethead.control.calls import CallerHello, ConfigurationAck, ConfigurationUpdate
from millethead.control.commit import CommitGate, Committed, CommittedLink
from millethead.replication.log_position import NO_POSITION, LogPosition

log = structlog.get_logger()


@dataclass(slots=True)
class CallerSession:
    """Session of a caller, a program that sends the calls of clients or of the operator.

    `configuration` and `place` are the version and the log position of the configuration in force at the caller.
    `sent_place` is the log position of the configuration that was sent to it last. `number` is the place of the session
    in the order in which the head opened its sessions.
    """

    node: str
    link: CommittedLink
    wants_configuration: bool
    configuration: int
    place: LogPosition
    sent_place: LogPosition = NO_POSITION
    number: int = 0

    def to_hello(self) -> CallerHello:
        """Return the hello that represents this session for the head of another epoch."""
        return CallerHello(self.node, 0, self.configuration, self.place, self.wants_configuration)


@dataclass(slots=True)
class ActiveConfiguration:
    """Configuration in force at a follower of the stream: its version and its log position."""

    version: int = 0
    place: LogPosition = NO_POSITION

    def accept(self, update: ConfigurationUpdate, epoch: int) -> bool:
        """Accept or reject an update; return whether it has to be put into force.

        `epoch` is the newest epoch known to the follower. Updates of earlier heads, which may still have been in the
        socket buffer, are rejected. So are older log positions, unless the head reports that the configuration in force
        was never committed.
        """
        if update.epoch < epoch or update.place == self.place:
            return False
        if update.place < self.place and not update.force:
            return False
        self.version, self.place = update.version, update.place
        return True

    def ack(self) -> ConfigurationAck:
        """Return the acknowledgement of the configuration in force."""
        return ConfigurationAck(self.version, self.place)


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration with its log position.

    Before the first configuration, `configuration` is None and `document` is empty.
    """

    place: LogPosition
    document: bytes
    configuration: Configuration | None

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first."""
        return self.configuration.version if self.configuration is not None else 0


def stored_configuration(state: ConfigurationState) -> StoredConfiguration:
    """Return the newest applied configuration, which may not be committed yet."""
    return StoredConfiguration(state.place, state.document, state.configuration)


class ConfigurationStream:
    """Sends each configuration to the callers once it is committed.

    `current` is the newest committed configuration. At the start of an epoch all applied entries are committed, so it
    starts with the applied one.
    """

    def __init__(self, epoch: int, state: ConfigurationState, gate: CommitGate) -> None:
        self._epoch, self._state, self._gate = epoch, state, gate
        self.callers: list[CallerSession] = []
        self.current: StoredConfiguration = stored_configuration(state)

    def continue_in_view(self, epoch: int) -> None:
        """Continue as the head in another view.

        Callers that learned of the new view first may have ignored updates sent under the previous one. Callers that
        have not acknowledged the newest configuration therefore get it again.
        """
        self._epoch = epoch
        for caller in self.callers:
            if caller.wants_configuration and caller.place != self._state.place:
                caller.sent_place = NO_POSITION
                self._send_newest(caller)

    def add_caller(self, link: CommittedLink, hello: CallerHello) -> CallerSession:
        """Open the session of a caller and send it the newest configuration, unless that is in force there already."""
        caller = CallerSession(hello.node, link, hello.wants_configuration, hello.configuration, hello.place)
        self.callers.append(caller)
        if caller.wants_configuration and hello.place != self._state.place:
            self._send_newest(caller)
        return caller

    def _send_newest(self, caller: CallerSession) -> None:
        self._gate.confirm_newest(self._newest, lambda newest: self._start(caller, newest))

    def _newest(self) -> StoredConfiguration:
        return stored_configuration(self._state)

    def remove_caller(self, caller: CallerSession) -> None:
        """Remove the session of a caller."""
        if caller in self.callers:
            self.callers.remove(caller)

    def record_ack(self, caller: CallerSession, record: ConfigurationAck) -> None:
        """Record which configuration a caller has put into force."""
        caller.configuration, caller.place = record.version, record.place

    def publish(self, configuration: Committed[StoredConfiguration]) -> None:
        """Send a newly committed configuration to all callers."""
        self.current = configuration.value
        for caller in self.callers:
            self._send(caller, configuration, False)

    def _start(self, caller: CallerSession, newest: Committed[StoredConfiguration]) -> None:
        force = not self._state.is_configuration_place(caller.place)
        if force:
            log.warning(
                "caller_configuration_not_committed",
                node=caller.node,
                version=caller.configuration,
                epoch=caller.place.epoch,
                entry=caller.place.sequence,
            )
        self._send(caller, newest, force)

    def _send(self, caller: CallerSession, configuration: Committed[StoredConfiguration], force: bool) -> None:
        place = configuration.value.place
        if caller.wants_configuration and configuration.value.document and place != caller.sent_place:
            caller.sent_place = place
            caller.link.send(configuration.derive(self._update(force)))

    def _update(self, force: bool) -> Callable[[StoredConfiguration], ConfigurationUpdate]:
        def build(newest: StoredConfiguration) -> ConfigurationUpdate:
            return ConfigurationUpdate(self._epoch, newest.place, newest.version, newest.document, force)

        return build
