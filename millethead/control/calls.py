"""Records between the head of the core and the programs that call it for clients and the operator."""

from __future__ import annotations

from dataclasses import dataclass

from millethead.replication.place import LogPlace
from millethead.replication.view import View
from millethead.rpc.codec import U16, U32, U64, Record, tagged


@tagged(120)
@dataclass(frozen=True, slots=True)
class CallerHello(Record):
    """First record of a caller's session. `configuration` and `place`: version and log place of the configuration that
    the caller holds; `wants_configuration`: updates of it are to be streamed."""

    node: str
    epoch: U64
    configuration: U64
    place: LogPlace
    wants_configuration: bool


@tagged(121)
@dataclass(frozen=True, slots=True)
class CallerWelcome(Record):
    """The member's view of the core. `serving`: it is the head and takes calls; otherwise they go to the view's."""

    view: View
    serving: bool


@tagged(124)
@dataclass(frozen=True, slots=True)
class CallerPing(Record):
    """Asks whether the member is there, and still knows the view of `epoch` as the newest; answered by CallerPong, or
    by CallerWelcome where there is news."""

    epoch: U64
    serving: bool


@tagged(125)
@dataclass(frozen=True, slots=True)
class CallerPong(Record):
    """There is no news."""


@tagged(122)
@dataclass(frozen=True, slots=True)
class ConfigurationUpdate(Record):
    """A committed configuration, whole, from the head of `epoch`. `place`: of the entry that brought it. `discard`:
    what the caller holds is not in the committed log, so it gives way to this one whatever its place."""

    epoch: U64
    place: LogPlace
    version: U64
    document: bytes
    discard: bool


@tagged(123)
@dataclass(frozen=True, slots=True)
class ConfigurationAck(Record):
    """The caller has put a configuration into force."""

    version: U64
    place: LogPlace


@tagged(130)
@dataclass(frozen=True, slots=True)
class JobCall(Record):
    """A client's request: POST, GET or DELETE on a path under a host."""

    number: U64
    method: str
    host: str
    path: str
    body: bytes


@tagged(131)
@dataclass(frozen=True, slots=True)
class ConfigurationCall(Record):
    """The operator's request: PUT, PATCH or GET; `if_match` None: no version was named."""

    number: U64
    method: str
    if_match: U64 | None
    body: bytes


@tagged(132)
@dataclass(frozen=True, slots=True)
class InspectCall(Record):
    """Asks for the state of the core, for the command line; `what` names the part."""

    number: U64
    what: str


@tagged(133)
@dataclass(frozen=True, slots=True)
class DrainCall(Record):
    """The staff's request to take the worker at a node out (`drained`), or to put it back."""

    number: U64
    node: str
    drained: bool


@tagged(140)
@dataclass(frozen=True, slots=True)
class CallAnswer(Record):
    """The final answer to a call. `retry_after_s` 0: none is told."""

    number: U64
    status: U16
    body: bytes
    retry_after_s: U32


@tagged(126)
@dataclass(frozen=True, slots=True)
class HeadCall(Record):
    """A call (with its tag) for the head of one epoch. A head of another epoch, even at the same member, passes it
    over: the caller sends it again to whoever it takes for the head by then, and may have been told of its end."""

    epoch: U64
    call: bytes


@tagged(127)
@dataclass(frozen=True, slots=True)
class HeadAnswer(Record):
    """The answer that the head of an epoch gives to a call that came to it in that epoch."""

    epoch: U64
    answer: CallAnswer
