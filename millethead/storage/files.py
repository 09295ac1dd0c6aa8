"""The calls on a disk that the log makes, so that a simulated disk can stand in for the real one.

Every call may raise OSError. A write counts as durable only once the file was synced, a name (new by a rename, or
removed) only once its folder was.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """An open file; offsets and lengths are bytes."""

    def read(self, offset: int, length: int) -> bytes:
        """Up to `length` bytes from `offset` on; fewer only where the file ends."""

    def write(self, offset: int, data: bytes) -> None:
        """All of `data`; after an OSError any part of it may be in the file."""

    def truncate(self, size: int) -> None:
        """Set the length."""

    def size(self) -> int:
        """The length."""

    def fdatasync(self) -> None:
        """Make the contents durable. After an OSError nothing since the last sync may be believed."""

    def fsync(self) -> None:
        """Make contents and length durable, a shortened length too."""

    def drop_cached(self) -> None:
        """Have later reads come from the disk itself, where the system can and the bytes were synced."""

    def close(self) -> None:
        """Let go of the file; nothing is synced."""


class Files(Protocol):
    """The names in a folder and the files behind them."""

    def open(self, path: Path) -> File:
        """For reading and writing; raises FileNotFoundError."""

    def create(self, path: Path) -> File:
        """An empty file for reading and writing, in place of one of that name."""

    def rename(self, old: Path, new: Path) -> None:
        """Give the file the name `new`, in place of one of that name."""

    def remove(self, path: Path) -> None:
        """Take the name away; raises FileNotFoundError."""

    def sync_folder(self, folder: Path) -> None:
        """Make the names in the folder durable."""


def drop_cached(descriptor: int) -> None:
    """Have later reads of an open file come from the disk itself, where the system can and the bytes were synced."""
    with contextlib.suppress(OSError):
        os.posix_fadvise(descriptor, 0, 0, os.POSIX_FADV_DONTNEED)


class OsFile:
    """A file of the operating system; not buffered."""

    def __init__(self, path: Path, flags: int) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, 0o600)

    def read(self, offset: int, length: int) -> bytes:
        parts: list[bytes] = []
        while length and (part := os.pread(self._descriptor, length, offset)):
            parts.append(part)
            offset += len(part)
            length -= len(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def write(self, offset: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            written = os.pwrite(self._descriptor, rest, offset)
            offset += written
            rest = rest[written:]

    def truncate(self, size: int) -> None:
        os.ftruncate(self._descriptor, size)

    def size(self) -> int:
        return os.fstat(self._descriptor).st_size

    def fdatasync(self) -> None:
        os.fdatasync(self._descriptor)

    def drop_cached(self) -> None:
        drop_cached(self._descriptor)

    def fsync(self) -> None:
        os.fsync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class OsFiles:
    """The files of the operating system."""

    def open(self, path: Path) -> File:
        return OsFile(path, 0)

    def create(self, path: Path) -> File:
        return OsFile(path, os.O_CREAT | os.O_TRUNC)

    def rename(self, old: Path, new: Path) -> None:
        os.rename(old, new)

    def remove(self, path: Path) -> None:
        os.unlink(path)

    def sync_folder(self, folder: Path) -> None:
        descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


OS_FILES: Files = OsFiles()
