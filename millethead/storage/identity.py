"""The identity of a disk: a replica that comes back with another one is another voter."""

from __future__ import annotations

import contextlib
import os
import struct
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path

from millethead.rollout.store import write_lasting
from millethead.storage.files import OS_FILES
from millethead.storage.log import LOG_NAME, CorruptLog

IDENTITY_NAME = "identity"
MAGIC = b"MHI1"
DISK_ID_BITS = 64
_FIELDS = struct.Struct(">4sQ?")
_CHECK = struct.Struct(">I")


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
    identity = _decode(data)
    OS_FILES.sync_folder(folder)  # a process killed in a write may have left the name unsynced
    return identity


def bootstrap_done(folder: Path, identity: DiskIdentity) -> DiskIdentity:
    """The identity with its flag cleared, durably; raises OSError, and then the old one stands."""
    done = replace(identity, bootstrapping=False)
    write_lasting(folder / IDENTITY_NAME, _encode(done))
    return done


def repair_identity(folder: Path, identity: DiskIdentity) -> bool:
    """Read the identity's file again, and write it anew where it holds anything else. Whether that was needed. Raises
    OSError."""
    path, expected = folder / IDENTITY_NAME, _encode(identity)
    with contextlib.suppress(FileNotFoundError):
        if path.read_bytes() == expected:
            return False
    write_lasting(path, expected)
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
    write_lasting(folder / IDENTITY_NAME, _encode(identity))
    return identity


def _encode(identity: DiskIdentity) -> bytes:
    fields = _FIELDS.pack(MAGIC, identity.disk_id, identity.bootstrapping)
    return fields + _CHECK.pack(zlib.crc32(fields))


def _decode(data: bytes) -> DiskIdentity:
    if len(data) != _FIELDS.size + _CHECK.size or not data.startswith(MAGIC):
        raise CorruptLog(f"{IDENTITY_NAME}: not of this version, or torn")
    (check,) = _CHECK.unpack_from(data, _FIELDS.size)
    if zlib.crc32(data[: _FIELDS.size]) != check:
        raise CorruptLog(f"{IDENTITY_NAME}: the checksum does not hold")
    _, disk_id, bootstrapping = _FIELDS.unpack_from(data)
    return DiskIdentity(disk_id, bootstrapping)


def _remove(path: Path) -> None:
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
