"""What dispatchers tell each other about rollouts, sealed in datagrams over membership's socket."""

from __future__ import annotations

import msgspec

from millethead.rollout.health import Counts
from millethead.rollout.register import Word

MARK, MOST = b"MR1", 16_384  # a state of 12,000 bytes and what is around it


class Note(msgspec.Struct, frozen=True, array_like=True):
    """A datagram between dispatchers. kind: ask (to a voter), answer, state (what is agreed), health, counts."""

    kind: str
    seq: int
    sender: str
    word: Word | None = None
    value: bytes = b""
    tables: dict[str, list[Counts]] = {}
