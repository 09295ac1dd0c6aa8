"""The register file of a member's acceptor: its durable promises and accepted value, in two copies.

The file has four blocks of fixed size: two slots that are written alternately, and a copy of each. A promise is
answered once its first copy is synced, and the second copy is written after that. So an interrupted write damages at
most one copy of a promise that was not answered, and the previous promise has two copies. A damaged block is read from
its copy. If both copies of a slot are damaged, the newest promise is unknown and the disk cannot be trusted.

A file of an earlier version has only the first two blocks.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from millethead.rollout.register import AcceptorState
from millethead.rollout.store import STATE_COPY_BYTES, decode_copy, encode_copy
from millethead.storage.files import FileSystem
from millethead.storage.log import CorruptLog

SLOTS = 2  # written alternately
COPIES = 2


class RegisterFile:
    """The register file. Call `load` first. Every call may raise OSError."""

    def __init__(self, file_system: FileSystem, path: Path) -> None:
        self._file_system, self.path = file_system, path
        self._number = 0
        self._saved = AcceptorState()
        self._copy_written = True

    def load(self) -> AcceptorState:
        """Reads the register and writes it again. Creates the file if there is none.

        It is written again because a killed process may have left it unsynced, and because data remains readable after
        a failed sync although it is not on the disk. Raises CorruptLog like `read`.
        """
        try:
            kept = self.read()
        except FileNotFoundError:
            self._create()
            return AcceptorState()
        self.save(kept)
        self.save_copy()
        return kept

    def read(self) -> AcceptorState:
        """Returns the newest register. Raises FileNotFoundError, and CorruptLog if the newest register is unknown."""
        file = self._file_system.open(self.path)
        try:
            self._number, self._saved = self._find_newest(file.read(0, SLOTS * COPIES * STATE_COPY_BYTES))
        finally:
            file.close()
        return self._saved

    def save(self, kept: AcceptorState) -> None:
        """Writes the register durably. After an OSError the previous register remains valid."""
        previous = self._number, self._saved
        self._number, self._saved = self._number + 1, kept
        try:
            self._write_synced(range(1))
        except OSError:
            self._number, self._saved = previous
            raise
        self._copy_written = False

    def save_copy(self) -> None:
        """Writes the second copy of the register saved last."""
        if not self._copy_written:
            self._write_synced(range(1, COPIES))
            self._copy_written = True

    def repair(self) -> bool:
        """Verifies both copies of the register saved last, and rewrites those that are damaged. Returns whether any
        was.
        """
        expected = encode_copy(self._number, self._saved)
        file = self._file_system.open(self.path)
        try:
            damaged = [copy for copy in range(COPIES) if file.read(self._offset(copy), STATE_COPY_BYTES) != expected]
        finally:
            file.close()
        if damaged:
            self._write_synced(damaged)
            self._copy_written = True
        return bool(damaged)

    def _create(self) -> None:
        new_path = self.path.with_name(f"{self.path.name}.new")
        file = self._file_system.create(new_path)
        try:
            file.write(0, encode_copy(0, AcceptorState()) * (SLOTS * COPIES))
            file.fdatasync()
        finally:
            file.close()
        self._file_system.rename(new_path, self.path)
        self._file_system.sync_folder(self.path.parent)

    def _find_newest(self, data: bytes) -> tuple[int, AcceptorState]:
        blocks = [data[offset : offset + STATE_COPY_BYTES] for offset in range(0, len(data), STATE_COPY_BYTES)]
        decoded = [decode_copy(block) for block in blocks]
        if len(decoded) < SLOTS:
            raise CorruptLog(f"{self.path.name}: cut short")
        for slot in range(SLOTS):
            copies = decoded[slot::SLOTS]
            if len(copies) == COPIES and not any(copies):
                raise CorruptLog(f"{self.path.name}: both copies of a place are bad")
        valid = [numbered for numbered in decoded if numbered is not None]
        if not valid:
            raise CorruptLog(f"{self.path.name}: no place can be read")
        return max(valid, key=lambda numbered: numbered[0])

    def _offset(self, copy: int) -> int:
        return STATE_COPY_BYTES * (SLOTS * copy + self._number % SLOTS)

    def _write_synced(self, copies: Iterable[int]) -> None:
        """Writes the given copies of the register saved last. Each is synced before the next is written."""
        block = encode_copy(self._number, self._saved)
        file = self._file_system.open(self.path)
        try:
            for copy in copies:
                file.write(self._offset(copy), block)
                file.fdatasync()
        finally:
            file.close()
