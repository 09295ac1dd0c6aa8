"""Records exchanged between the head and its callers: dispatchers and command-line clients.

The number of a call identifies it among all calls of all callers. Copies of a call have the same number. Its upper bits
identify the caller; they are 0 for callers from before that was so.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from millethead.replication.log_position import LogPosition
from millethead.replication.view import View
from millethead.rpc.codec import U16, U32, U64, Record, tagged

CALLER_ID_BITS, CALL_COUNTER_BITS = 32, 32  # parts of the number of a call


def new_call_numbers(random: Random) -> int:
    """Return the number before the first call of a new caller, which draws its caller id."""
    return (1 + random.getrandbits(CALLER_ID_BITS) % ((1 << CALLER_ID_BITS) - 1)) << CALL_COUNTER_BITS


def caller_id(number: int) -> int:
    """Return the caller id in the number of a call; 0 if the caller has none."""
    return number >> CALL_COUNTER_BITS


@tagged(120)
@dataclass(frozen=True, slots=True)
class CallerHello(Record):
    """First record of a caller's session.

    `configuration` and `place` are the version and the log position of the configuration in force at the caller. With
    `wants_configuration`, the head streams configuration updates to the caller.
    """

    node: str
    epoch: U64
    configuration: U64
    place: LogPosition
    wants_configuration: bool


@tagged(121)
@dataclass(frozen=True, slots=True)
class CallerWelcome(Record):
    """Sends the member's view of the core to a caller.

    `serving` means that the member is the head and accepts calls. Otherwise the caller sends its calls to the head of
    the view.
    """

    view: View
    serving: bool


@tagged(124)
@dataclass(frozen=True, slots=True)
class CallerPing(Record):
    """Checks that the member is alive and that the view of `epoch` is still the newest view of the member.

    The member answers with CallerPong, or with CallerWelcome if its view or its role has changed.
    """

    epoch: U64
    serving: bool


@tagged(125)
@dataclass(frozen=True, slots=True)
class CallerPong(Record):
    """Answer to CallerPing: neither the view nor the role of the member has changed."""


@tagged(122)
@dataclass(frozen=True, slots=True)
class ConfigurationUpdate(Record):
    """A complete committed configuration, sent by the head of `epoch`.

    `place` is the log position of the entry that introduced it. `force` is true if the configuration in force at the
    caller is not in the committed log; the caller then replaces it whatever its log position is.
    """

    epoch: U64
    place: LogPosition
    version: U64
    document: bytes
    force: bool


@tagged(123)
@dataclass(frozen=True, slots=True)
class ConfigurationAck(Record):
    """Confirms that the caller has put a configuration into force."""

    version: U64
    place: LogPosition


@tagged(130)
@dataclass(frozen=True, slots=True)
class JobCall(Record):
    """A client's request: POST, GET or DELETE on a path of a host."""

    number: U64
    method: str
    host: str
    path: str
    body: bytes


@tagged(131)
@dataclass(frozen=True, slots=True)
class ConfigurationCall(Record):
    """The operator's request: PUT, PATCH or GET. `if_match` is None if the request names no version."""

    number: U64
    method: str
    if_match: U64 | None
    body: bytes


@tagged(132)
@dataclass(frozen=True, slots=True)
class InspectCall(Record):
    """Requests a report on the state of the core for the command line; `what` names the report."""

    number: U64
    what: str


@tagged(134)
@dataclass(frozen=True, slots=True)
class DrainCall(Record):
    """The operator's request to drain the worker of a node (`drained` is true) or to undo that.

    `place` is the log position of the newest drain order that the caller knows of. The call is refused if there has
    been another one since, so a delayed copy cannot undo what a later call was answered.
    """

    number: U64
    node: str
    drained: bool
    place: LogPosition


Call = JobCall | ConfigurationCall | InspectCall | DrainCall


@tagged(140)
@dataclass(frozen=True, slots=True)
class CallAnswer(Record):
    """The final answer to a call. A `retry_after_s` of 0 means that the answer has no Retry-After value."""

    number: U64
    status: U16
    body: bytes
    retry_after_s: U32


@tagged(126)
@dataclass(frozen=True, slots=True)
class HeadCall(Record):
    """An encoded call, with its tag, addressed to the head of one epoch.

    The head of another epoch ignores the call, even if it is the same member: by then the caller sends the call again
    to the new head, and may already have received the answer to it.
    """

    epoch: U64
    call: bytes


@tagged(127)
@dataclass(frozen=True, slots=True)
class HeadAnswer(Record):
    """The answer of the head of an epoch to a call that was sent to it in that epoch."""

    epoch: U64
    answer: CallAnswer
