"""The identity of a disk: a replica that comes back with another one is another voter."""

from __future__ import annotations

import contextlib
import os
import struct
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path

from millethead.rollout.store import write_durably
from millethead.storage.files import OS_FILES
from millethead.storage.log import LOG_NAME, CorruptLog

IDENTITY_NAME = "identity"
MAGIC = b"MHI1"
DISK_ID_BITS = 64
_FIELDS = struct.Struct(">4sQ?")
_CHECK = struct.Struct(">I")
_COPY_SIZE = _FIELDS.size + _CHECK.size
COPY_AT = 4096  # offset of the second copy, in another page of the disk


@dataclass(frozen=True, slots=True)
class DiskIdentity:
    """A disk's number, of 64 random bits, and whether the first start of the whole system is still under way on it."""

    disk_id: int
    bootstrapping: bool


def load_identity(folder: Path, bootstrap: bool, random: Callable[[], int]) -> DiskIdentity:
    """The identity of this disk; a new one where there is none, with `bootstrap` as its flag and a number from
    `random` (64 random bits). What is returned is durable. Load it before anything else is created in the folder.

    Raises OSError, and CorruptLog where it cannot be read, or is missing beside a log.
    """
    path = folder / IDENTITY_NAME
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return _create(folder, bootstrap, random)
    identity = decode_identity(data)
    OS_FILES.sync_folder(folder)  # a process killed in a write may have left the name unsynced
    return identity


def bootstrap_done(folder: Path, identity: DiskIdentity) -> DiskIdentity:
    """The identity with its flag cleared, durably; raises OSError, and then the old one stands."""
    done = replace(identity, bootstrapping=False)
    write_durably(folder / IDENTITY_NAME, encode_identity(done))
    return done


def repair_identity(folder: Path, identity: DiskIdentity) -> bool:
    """Read the identity's file again, and write it anew where it holds anything else. Whether that was needed. Raises
    OSError."""
    path, expected = folder / IDENTITY_NAME, encode_identity(identity)
    with contextlib.suppress(FileNotFoundError):
        if path.read_bytes() == expected:
            return False
    write_durably(path, expected)
    return True


def discard_disk(folder: Path, others: Iterable[str] = ()) -> None:
    """Forget a disk that is not believed: its identity first, durably, then the log and the files named `others`. Cut
    short, it leaves what `load_identity` refuses, or an empty disk, never an old identity without its promises. Raises
    OSError."""
    _remove(folder / IDENTITY_NAME)
    OS_FILES.sync_folder(folder)
    for name in (*others, LOG_NAME):  # the log last: while it is there, the rest is known to be left over
        _remove(folder / name)
        OS_FILES.sync_folder(folder)


def _create(folder: Path, bootstrap: bool, random: Callable[[], int]) -> DiskIdentity:
    if (folder / LOG_NAME).exists():
        raise CorruptLog(f"{IDENTITY_NAME}: missing beside a log")
    identity = DiskIdentity(random() % (1 << DISK_ID_BITS), bootstrap)
    write_durably(folder / IDENTITY_NAME, encode_identity(identity))
    return identity


def encode_identity(identity: DiskIdentity) -> bytes:
    """The bytes of the file: two copies, in pages of their own."""
    fields = _FIELDS.pack(MAGIC, identity.disk_id, identity.bootstrapping)
    copy = fields + _CHECK.pack(zlib.crc32(fields))
    return copy.ljust(COPY_AT, b"\0") + copy


def decode_identity(data: bytes) -> DiskIdentity:
    """The identity that either copy holds, or the only one of an earlier version; raises CorruptLog."""
    copies = {identity for at in (0, COPY_AT) if (identity := _read_copy(data[at : at + _COPY_SIZE])) is not None}
    if len(copies) != 1:
        raise CorruptLog(f"{IDENTITY_NAME}: not of this version, or bad")
    return copies.pop()


def _read_copy(copy: bytes) -> DiskIdentity | None:
    if len(copy) != _COPY_SIZE or not copy.startswith(MAGIC):
        return None
    (check,) = _CHECK.unpack_from(copy, _FIELDS.size)
    if zlib.crc32(copy[: _FIELDS.size]) != check:
        return None
    _, disk_id, bootstrapping = _FIELDS.unpack_from(copy)
    return DiskIdentity(disk_id, bootstrapping)


def _remove(path: Path) -> None:
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
