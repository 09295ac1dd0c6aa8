"""One buffer for a connection: grown as needed, compacted in place."""

from __future__ import annotations

FIRST = 2048
MOST = 96 << 10  # a whole head and a whole body fit; what would need more is refused before


class Buffer:
    """Bytes read but not yet taken lie in data[start:end]."""

    __slots__ = ("_data", "_end", "_start")

    def __init__(self) -> None:
        self._data = bytearray(FIRST)
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def room(self) -> memoryview:
        """Free space to read into; the caller says with `filled` how much of it was used."""
        if self._start:
            self._data[: len(self)] = self._data[self._start : self._end]
            self._start, self._end = 0, len(self)
        if self._end == len(self._data):
            if self._end >= MOST:
                raise OverflowError("the buffer of a connection is full")
            # a new block: the old one may still be lent out as a view, and such a block cannot be resized
            grown = bytearray(min(MOST, 2 * len(self._data)))
            grown[: self._end] = self._data
            self._data = grown
        return memoryview(self._data)[self._end :]

    def put(self, data: bytes) -> None:
        """Bytes that came another way."""
        while data:
            room = self.room()[: len(data)]
            room[:] = data[: len(room)]
            self.filled(len(room))
            data = data[len(room) :]

    def filled(self, count: int) -> None:
        self._end += count

    def find(self, what: bytes, start: int = 0) -> int:
        """Where `what` lies from the first untaken byte on, or -1."""
        at = self._data.find(what, self._start + start, self._end)
        return at if at < 0 else at - self._start

    def peek(self, count: int) -> bytes:
        return bytes(self._data[self._start : min(self._end, self._start + count)])

    def take(self, count: int) -> bytes:
        out = self.peek(count)
        self._start += len(out)
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._data) > 4 * FIRST:  # one large message must not hold its space for ever
                self._data = bytearray(FIRST)
        return out
