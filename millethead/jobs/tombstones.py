"""Tombstones of jobs that were cancelled while the core did not know them. Part of the replicated state.

The answer to such a cancel promises that the job never runs, but a copy of its submission may still be on its way: in a
client's connection, at a dispatcher, or between a dispatcher and the head. The copy names the same job, and no job is
accepted under a name that has a tombstone.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from millethead.rpc.codec import CodecError

MAX_TOMBSTONES = 16_384
_NAME_BASE = 16  # a job's name is 16 hexadecimal digits
_TOMBSTONE = struct.Struct(">QQ")  # name, time of the newest cancel in ms since 1970


class Tombstones:
    """Names of cancelled jobs, each with the time of its newest cancel; the least recently cancelled come first."""

    def __init__(self) -> None:
        self._cancelled_ms: dict[str, int] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._cancelled_ms

    def __len__(self) -> int:
        return len(self._cancelled_ms)

    def has_room_for(self, name: str) -> bool:
        """Whether `add` would keep this name."""
        return name in self._cancelled_ms or len(self._cancelled_ms) < MAX_TOMBSTONES

    def add(self, name: str, at_ms: int) -> None:
        """Adds a tombstone or renews it. Does nothing if there is no room for it."""
        if self.has_room_for(name):
            self._cancelled_ms.pop(name, None)
            self._cancelled_ms[name] = at_ms

    def remove(self, name: str) -> None:
        self._cancelled_ms.pop(name, None)

    def cancelled_before(self, at_ms: int) -> Iterator[str]:
        """Names of the jobs that were last cancelled before a time."""
        return (name for name, cancelled_ms in self._cancelled_ms.items() if cancelled_ms < at_ms)

    def encode(self) -> bytes:
        """Encodes the tombstones in their order."""
        return b"".join(_TOMBSTONE.pack(int(name, _NAME_BASE), at_ms) for name, at_ms in self._cancelled_ms.items())

    @classmethod
    def decode(cls, data: bytes) -> Tombstones:
        """Decodes the output of `encode`; raises CodecError."""
        if len(data) % _TOMBSTONE.size or len(data) > MAX_TOMBSTONES * _TOMBSTONE.size:
            raise CodecError(f"{len(data)} bytes are no tombstones")
        tombstones = cls()
        for name, at_ms in _TOMBSTONE.iter_unpack(data):
            tombstones.add(f"{name:016x}", at_ms)
        return tombstones
