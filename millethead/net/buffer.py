"""The receive buffer of a connection: it grows as needed and is compacted in place."""

from __future__ import annotations

INITIAL_BUFFER_BYTES = 2048
MAX_BUFFER_BYTES = 96 << 10  # fits a head and a body of the largest size; larger messages are rejected earlier


class Buffer:
    """The bytes that are received and not consumed yet are _data[_start:_end]."""

    __slots__ = ("_data", "_end", "_start")

    def __init__(self) -> None:
        self._data = bytearray(INITIAL_BUFFER_BYTES)
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def free_space(self) -> memoryview:
        """Returns free space to read into. The caller reports with `commit` how many bytes it has written there. Raises
        OverflowError if the buffer is full."""
        if self._start:
            self._data[: len(self)] = self._data[self._start : self._end]
            self._start, self._end = 0, len(self)
        if self._end == len(self._data):
            if self._end >= MAX_BUFFER_BYTES:
                raise OverflowError("the buffer of a connection is full")
            # not resized in place: a bytearray with an exported memoryview cannot be resized
            grown = bytearray(min(MAX_BUFFER_BYTES, 2 * len(self._data)))
            grown[: self._end] = self._data
            self._data = grown
        return memoryview(self._data)[self._end :]

    def append(self, data: bytes) -> None:
        """Appends bytes that were not read through `free_space`."""
        while data:
            space = self.free_space()[: len(data)]
            space[:] = data[: len(space)]
            self.commit(len(space))
            data = data[len(space) :]

    def commit(self, count: int) -> None:
        self._end += count

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Returns the position of `pattern`, counted from the first unconsumed byte, or -1."""
        position = self._data.find(pattern, self._start + start, self._end)
        return position if position < 0 else position - self._start

    def peek(self, count: int) -> bytes:
        return bytes(self._data[self._start : min(self._end, self._start + count)])

    def take(self, count: int) -> bytes:
        out = self.peek(count)
        self._start += len(out)
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._data) > 4 * INITIAL_BUFFER_BYTES:  # release the memory after a large message
                self._data = bytearray(INITIAL_BUFFER_BYTES)
        return out
