"""File system calls used by the write-ahead log, behind an interface that a simulated disk can implement.

Every call may raise OSError. Written data is durable only after the file was synced. A name that was created, renamed
or removed is durable only after its folder was synced.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """An open file. Offsets and lengths are in bytes."""

    def read(self, offset: int, length: int) -> bytes:
        """Returns up to `length` bytes starting at `offset`. Fewer are returned only at the end of the file."""

    def write(self, offset: int, data: bytes) -> None:
        """Writes all of `data` at `offset`. After an OSError any part of it may be in the file."""

    def truncate(self, size: int) -> None:
        """Sets the length of the file."""

    def size(self) -> int:
        """Returns the length of the file."""

    def fdatasync(self) -> None:
        """Makes the contents durable. After an OSError any write since the previous sync may be lost."""

    def fsync(self) -> None:
        """Makes the contents and the length durable, also after the file was shortened."""

    def drop_cached(self) -> None:
        """Drops synced data from the page cache so that later reads come from the disk, if the system supports it."""

    def close(self) -> None:
        """Closes the file without syncing it."""


class FileSystem(Protocol):
    """Opens, creates, renames and removes files."""

    def open(self, path: Path) -> File:
        """Opens a file for reading and writing. Raises FileNotFoundError if it does not exist."""

    def create(self, path: Path) -> File:
        """Creates an empty file for reading and writing. Replaces an existing file of the same name."""

    def rename(self, old: Path, new: Path) -> None:
        """Renames a file. Replaces an existing file named `new`."""

    def remove(self, path: Path) -> None:
        """Removes a file. Raises FileNotFoundError if it does not exist."""

    def sync_folder(self, folder: Path) -> None:
        """Makes creations, renames and removals in the folder durable."""


def drop_cached(descriptor: int) -> None:
    """Drops the synced data of an open file from the page cache so that later reads come from the disk, if the system
    supports it.
    """
    with contextlib.suppress(OSError):
        os.posix_fadvise(descriptor, 0, 0, os.POSIX_FADV_DONTNEED)


class OsFile:
    """An unbuffered file of the operating system."""

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
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(self._descriptor, remaining, offset)
            offset += written
            remaining = remaining[written:]

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


class OsFileSystem:
    """The file system of the operating system."""

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


OS_FILE_SYSTEM: FileSystem = OsFileSystem()
