"""The identity of a disk. A replica that restarts with a different disk identity is a different voter."""

from __future__ import annotations

import contextlib
import os
import struct
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path

from millethead.rollout.store import write_durably
from millethead.storage.files import OS_FILE_SYSTEM
from millethead.storage.log import LOG_NAME, CorruptLog

IDENTITY_NAME = "identity"
MAGIC = b"MHI1"
DISK_ID_BITS = 64
_FIELDS = struct.Struct(">4sQ?")
_CHECKSUM = struct.Struct(">I")
_COPY_SIZE = _FIELDS.size + _CHECKSUM.size
COPY_OFFSET = 4096  # byte offset of the second copy, in another page of the disk


@dataclass(frozen=True, slots=True)
class DiskIdentity:
    """The random 64-bit ID of a disk, and whether the first start of the whole system is still in progress on it."""

    disk_id: int
    bootstrapping: bool


def load_identity(folder: Path, bootstrap: bool, random: Callable[[], int]) -> DiskIdentity:
    """Returns the identity of the disk. If there is none, creates one with `bootstrap` as its flag and an ID from
    `random`, which returns 64 random bits.

    The returned identity is durable. Must be called before anything else is created in the folder. Raises OSError, and
    CorruptLog if the file is unreadable or is missing although a log exists.
    """
    path = folder / IDENTITY_NAME
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return _create(folder, bootstrap, random)
    identity = decode_identity(data)
    OS_FILE_SYSTEM.sync_folder(folder)  # a process killed during the write may not have synced the name
    return identity


def finish_bootstrap(folder: Path, identity: DiskIdentity) -> DiskIdentity:
    """Clears the bootstrapping flag durably and returns the new identity. After an OSError the old identity remains
    valid.
    """
    cleared = replace(identity, bootstrapping=False)
    write_durably(folder / IDENTITY_NAME, encode_identity(cleared))
    return cleared


def repair_identity(folder: Path, identity: DiskIdentity) -> bool:
    """Reads the identity file and rewrites it if its contents differ from `identity`. Returns whether it was rewritten.
    Raises OSError.
    """
    path, expected = folder / IDENTITY_NAME, encode_identity(identity)
    with contextlib.suppress(FileNotFoundError):
        if path.read_bytes() == expected:
            return False
    write_durably(path, expected)
    return True


def discard_disk(folder: Path, others: Iterable[str] = ()) -> None:
    """Removes the identity, then the files named `others`, then the log. Used for a disk whose contents cannot be
    trusted.

    The identity is removed first, durably. If the removal is interrupted, the folder is either rejected by
    `load_identity` or empty. An old identity never remains without the promises of its acceptor. Raises OSError.
    """
    _remove(folder / IDENTITY_NAME)
    OS_FILE_SYSTEM.sync_folder(folder)
    for name in (*others, LOG_NAME):  # the log is last: while it exists, `load_identity` rejects the folder
        _remove(folder / name)
        OS_FILE_SYSTEM.sync_folder(folder)


def _create(folder: Path, bootstrap: bool, random: Callable[[], int]) -> DiskIdentity:
    if (folder / LOG_NAME).exists():
        raise CorruptLog(f"{IDENTITY_NAME}: missing beside a log")
    identity = DiskIdentity(random() % (1 << DISK_ID_BITS), bootstrap)
    write_durably(folder / IDENTITY_NAME, encode_identity(identity))
    return identity


def encode_identity(identity: DiskIdentity) -> bytes:
    """Returns the contents of the file: two copies in separate pages."""
    fields = _FIELDS.pack(MAGIC, identity.disk_id, identity.bootstrapping)
    copy = fields + _CHECKSUM.pack(zlib.crc32(fields))
    return copy.ljust(COPY_OFFSET, b"\0") + copy


def decode_identity(data: bytes) -> DiskIdentity:
    """Returns the identity from either copy, or from the only copy of an earlier version. Raises CorruptLog if no copy
    is valid or the two differ.
    """
    copies = {
        identity
        for start in (0, COPY_OFFSET)
        if (identity := _decode_copy(data[start : start + _COPY_SIZE])) is not None
    }
    if len(copies) != 1:
        raise CorruptLog(f"{IDENTITY_NAME}: not of this version, or bad")
    return copies.pop()


def _decode_copy(copy: bytes) -> DiskIdentity | None:
    if len(copy) != _COPY_SIZE or not copy.startswith(MAGIC):
        return None
    (checksum,) = _CHECKSUM.unpack_from(copy, _FIELDS.size)
    if zlib.crc32(copy[: _FIELDS.size]) != checksum:
        return None
    _, disk_id, bootstrapping = _FIELDS.unpack_from(copy)
    return DiskIdentity(disk_id, bootstrapping)


def _remove(path: Path) -> None:
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
