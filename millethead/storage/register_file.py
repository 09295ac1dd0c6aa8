"""The file of a member's acceptor: what it has promised and accepted, in two copies.

Four places of fixed size: two that are written in turn, and a copy of each. A promise is answered once its first copy
is synced; the second one is written after that. So a write that is cut short spoils one copy at most, of what was never
answered, and the promise before it has two. A place that has gone bad is read from its copy; where both copies of a
place are bad, it is not known what was promised, and the disk is not believed.

A file of an earlier version has the first two places only.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from millethead.rollout.register import AcceptorState
from millethead.rollout.store import STATE_COPY_BYTES, decode_copy, encode_copy
from millethead.storage.files import Files
from millethead.storage.log import CorruptLog

SLOTS = 2  # written in turn
COPIES = 2


class RegisterFile:
    """Read with `load` before anything else. All calls may raise OSError."""

    def __init__(self, files: Files, path: Path) -> None:
        self._files, self.path = files, path
        self._number = 0
        self._last = AcceptorState()
        self._copied = True

    def load(self) -> AcceptorState:
        """What was kept, written anew: a process that was killed may have left it unsynced, and what a failed sync gave
        up can still be read. Makes the file where there is none; raises CorruptLog as `read` does."""
        try:
            kept = self.read()
        except FileNotFoundError:
            self._create()
            return AcceptorState()
        self.save(kept)
        self.save_copy()
        return kept

    def read(self) -> AcceptorState:
        """What was kept; raises FileNotFoundError, and CorruptLog where it cannot be known."""
        file = self._files.open(self.path)
        try:
            self._number, self._last = self._newest(file.read(0, SLOTS * COPIES * STATE_COPY_BYTES))
        finally:
            file.close()
        return self._last

    def save(self, kept: AcceptorState) -> None:
        """Have it on the disk when this returns; after an OSError what was there still counts."""
        before = self._number, self._last
        self._number, self._last = self._number + 1, kept
        try:
            self._write_synced(range(1))
        except OSError:
            self._number, self._last = before
            raise
        self._copied = False

    def save_copy(self) -> None:
        """Write the second copy of what was saved last."""
        if not self._copied:
            self._write_synced(range(1, COPIES))
            self._copied = True

    def repair(self) -> bool:
        """Read both copies of what was saved last, and write them anew where they are not there; whether that was
        needed."""
        expected = encode_copy(self._number, self._last)
        file = self._files.open(self.path)
        try:
            bad = [copy for copy in range(COPIES) if file.read(self._offset(copy), STATE_COPY_BYTES) != expected]
        finally:
            file.close()
        if bad:
            self._write_synced(bad)
            self._copied = True
        return bool(bad)

    def _create(self) -> None:
        new = self.path.with_name(f"{self.path.name}.new")
        file = self._files.create(new)
        try:
            file.write(0, encode_copy(0, AcceptorState()) * (SLOTS * COPIES))
            file.fdatasync()
        finally:
            file.close()
        self._files.rename(new, self.path)
        self._files.sync_folder(self.path.parent)

    def _newest(self, data: bytes) -> tuple[int, AcceptorState]:
        places = [data[at : at + STATE_COPY_BYTES] for at in range(0, len(data), STATE_COPY_BYTES)]
        found = [decode_copy(place) for place in places]
        if len(found) < SLOTS:
            raise CorruptLog(f"{self.path.name}: cut short")
        for slot in range(SLOTS):
            copies = found[slot::SLOTS]
            if len(copies) == COPIES and not any(copies):
                raise CorruptLog(f"{self.path.name}: both copies of a place are bad")
        readable = [read for read in found if read is not None]
        if not readable:
            raise CorruptLog(f"{self.path.name}: no place can be read")
        return max(readable, key=lambda read: read[0])

    def _offset(self, copy: int) -> int:
        return STATE_COPY_BYTES * (SLOTS * copy + self._number % SLOTS)

    def _write_synced(self, copies: Iterable[int]) -> None:
        """Write copies of what was saved last, each synced before the next."""
        place = encode_copy(self._number, self._last)
        file = self._files.open(self.path)
        try:
            for copy in copies:
                file.write(self._offset(copy), place)
                file.fdatasync()
        finally:
            file.close()
