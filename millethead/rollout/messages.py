"""Messages between dispatchers about rollouts, sent in authenticated datagrams over membership's socket."""

from __future__ import annotations

import msgspec

from millethead.rollout.health import Counts
from millethead.rollout.register import RegisterMessage

PREFIX = b"MR1"
MAX_DATAGRAM_BYTES = 16_384  # leaves room for a state of 12,000 bytes


class RolloutMessage(msgspec.Struct, frozen=True, array_like=True):
    """A datagram between dispatchers. `kind` is ask (request to a voter), answer (of a voter), state (the agreed
    state), health (request for counts) or counts."""

    kind: str
    seq: int
    sender: str
    register_message: RegisterMessage | None = None
    value: bytes = b""
    counts: dict[str, list[Counts]] = {}
