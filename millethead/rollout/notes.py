"""Messages between dispatchers about rollouts, sent in authenticated datagrams over membership's socket."""

from __future__ import annotations

import msgspec

from millethead.rollout.health import Counts
from millethead.rollout.register import Word

MARK, MOST = b"MR1", 16_384  # leaves room for a state of 12,000 bytes


class Note(msgspec.Struct, frozen=True, array_like=True):
    """A datagram between dispatchers. `kind` is ask (request to a voter), answer (of a voter), state (the agreed
    state), health (request for counts) or counts."""

    kind: str
    seq: int
    sender: str
    word: Word | None = None
    value: bytes = b""
    tables: dict[str, list[Counts]] = {}
