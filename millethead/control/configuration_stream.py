"""The stream of committed configurations to the callers that put them into force.

A caller's place in the stream is that of the log entry that brought its configuration, not the operator's version
number: two orders may carry the same number, and only one of them is ever committed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from millethead.configuration.change import ConfigurationState
from millethead.configuration.model import Configuration
from millethead.control.calls import CallerHello, ConfigurationAck, ConfigurationUpdate
from millethead.control.commit import CommitGate, Committed, CommittedLink
from millethead.replication.place import NO_PLACE, LogPlace

log = structlog.get_logger()


@dataclass(slots=True)
class Caller:
    """A program that calls for clients or the operator. `configuration` and `place`: version and log place of what it
    has put into force; `sent`: place of what it was sent last."""

    node: str
    link: CommittedLink
    wants_configuration: bool
    configuration: int
    place: LogPlace
    sent: LogPlace = NO_PLACE

    def hello(self) -> CallerHello:
        """What it would say to the head of another epoch."""
        return CallerHello(self.node, 0, self.configuration, self.place, self.wants_configuration)


@dataclass(slots=True)
class HeldConfiguration:
    """What a follower of the stream has in force: `version`, and the place of the entry that brought it."""

    version: int = 0
    place: LogPlace = NO_PLACE

    def take(self, update: ConfigurationUpdate, epoch: int) -> bool:
        """Take an update, where `epoch` is the newest that the follower knows of; whether it is to be put into force.
        Bytes of an earlier head may still have been in the socket, and an older place is never gone back to, unless
        the head says that what is held was never committed."""
        if update.epoch < epoch or update.place == self.place:
            return False
        if update.place < self.place and not update.discard:
            return False
        self.version, self.place = update.version, update.place
        return True

    def ack(self) -> ConfigurationAck:
        """Tells the head what is in force."""
        return ConfigurationAck(self.version, self.place)


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration as a log entry brought it. `configuration` is None, and `document` empty, before the first."""

    place: LogPlace
    document: bytes
    configuration: Configuration | None

    @property
    def version(self) -> int:
        return self.configuration.version if self.configuration is not None else 0


def stored(state: ConfigurationState) -> StoredConfiguration:
    """The newest configuration that is applied."""
    return StoredConfiguration(state.place, state.document, state.configuration)


class ConfigurationStream:
    """Tells callers of each configuration once it is committed. `current` begins with that of the epoch's start, at
    which all that is applied is committed."""

    def __init__(self, epoch: int, state: ConfigurationState, gate: CommitGate) -> None:
        self._epoch, self._state, self._gate = epoch, state, gate
        self.callers: list[Caller] = []
        self.current: StoredConfiguration = stored(state)

    def leads_on(self, epoch: int) -> None:
        """The head goes on in another view. What was sent under the one before may have been passed over by a caller
        that heard of the new one first, so callers that have not acknowledged the newest get it again."""
        self._epoch = epoch
        for caller in self.callers:
            if caller.wants_configuration and caller.place != self._state.place:
                caller.sent = NO_PLACE
                self._begin_with_newest(caller)

    def join(self, link: CommittedLink, hello: CallerHello) -> Caller:
        """A caller has come; it is told the newest configuration unless it holds that."""
        caller = Caller(hello.node, link, hello.wants_configuration, hello.configuration, hello.place)
        self.callers.append(caller)
        if caller.wants_configuration and hello.place != self._state.place:
            self._begin_with_newest(caller)
        return caller

    def _begin_with_newest(self, caller: Caller) -> None:
        self._gate.confirm_newest(self._newest, lambda newest: self._begin(caller, newest))

    def _newest(self) -> StoredConfiguration:
        return stored(self._state)

    def leave(self, caller: Caller) -> None:
        """A caller has gone."""
        if caller in self.callers:
            self.callers.remove(caller)

    def acknowledged(self, caller: Caller, record: ConfigurationAck) -> None:
        """A caller has put a configuration into force."""
        caller.configuration, caller.place = record.version, record.place

    def publish(self, configuration: Committed[StoredConfiguration]) -> None:
        """A configuration is committed: all callers are told."""
        self.current = configuration.value
        for caller in self.callers:
            self._send(caller, configuration, False)

    def _begin(self, caller: Caller, newest: Committed[StoredConfiguration]) -> None:
        discard = not self._state.knows(caller.place)
        if discard:
            log.warning(
                "caller_configuration_not_committed",
                node=caller.node,
                version=caller.configuration,
                epoch=caller.place.epoch,
                entry=caller.place.sequence,
            )
        self._send(caller, newest, discard)

    def _send(self, caller: Caller, configuration: Committed[StoredConfiguration], discard: bool) -> None:
        place = configuration.value.place
        if caller.wants_configuration and configuration.value.document and place != caller.sent:
            caller.sent = place
            caller.link.send(configuration.derive(self._update(discard)))

    def _update(self, discard: bool) -> Callable[[StoredConfiguration], ConfigurationUpdate]:
        def make(held: StoredConfiguration) -> ConfigurationUpdate:
            return ConfigurationUpdate(self._epoch, held.place, held.version, held.document, discard)

        return make
