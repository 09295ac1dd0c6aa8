"""What the disks of an emulated core would give back if all machines lost power this moment, with every unsynced write
lost."""

from __future__ import annotations

from pathlib import Path

from millethead.lab.core_storage import FOLDER
from millethead.lab.disk import SimulatedDisk
from millethead.programs.core_disk import ACCEPTOR_NAME
from millethead.replication.view import View
from millethead.replication.view_register import decode_view
from millethead.rollout.store import STATE_COPY_BYTES
from millethead.storage import identity as identities
from millethead.storage.identity import COPY_OFFSET, IDENTITY_NAME
from millethead.storage.log import LOG_NAME, CorruptLog, LogFile
from millethead.storage.records import Header, decode_header
from millethead.storage.register_file import SLOTS, RegisterFile

COPY_BYTES = 16  # of each copy, in which a bit that goes bad is noticed


def lasting_bytes(disk: SimulatedDisk, path: Path) -> bytes | None:
    """What a file surely holds, or None where its name is not durable."""
    inode = disk._lasting_names.get(path)
    return None if inode is None else bytes(inode.lasting)


def _copy(disk: SimulatedDisk, name: str) -> SimulatedDisk | None:
    data = lasting_bytes(disk, FOLDER / name)
    if data is None:
        return None
    copy = SimulatedDisk(0)
    copy.put(FOLDER / name, data)
    return copy


def disk_identity(disk: SimulatedDisk) -> int:
    """The number of the disk, or 0 where it has none yet."""
    data = lasting_bytes(disk, FOLDER / IDENTITY_NAME)
    return 0 if data is None else identities.decode_identity(data).disk_id


def holds_entry(disk: SimulatedDisk, epoch: int, sequence: int) -> bool:
    """Whether the log on the disk holds an entry; one that its snapshot covers counts as held."""
    copy = _copy(disk, LOG_NAME)
    if copy is None:
        return False
    try:
        recovered = LogFile(FOLDER, copy).recover()
    except CorruptLog:
        return False
    if recovered.snapshot is not None and sequence <= recovered.snapshot.sequence:
        return True
    return any(entry.sequence == sequence and entry.epoch == epoch for entry in recovered.entries)


def accepted_view(disk: SimulatedDisk) -> View:
    """The view that the disk's acceptor has accepted."""
    copy = _copy(disk, ACCEPTOR_NAME)
    return decode_view(b"" if copy is None else RegisterFile(copy, FOLDER / ACCEPTOR_NAME).read().value)


def equal_copies(disk: SimulatedDisk) -> list[tuple[Path, int]]:
    """Where the copies lie that have an equal one: of the identity, and of the acceptor's places."""
    found: list[tuple[Path, int]] = []
    for name, distance, starts in (
        (IDENTITY_NAME, COPY_OFFSET, (0,)),
        (ACCEPTOR_NAME, SLOTS * STATE_COPY_BYTES, tuple(slot * STATE_COPY_BYTES for slot in range(SLOTS))),
    ):
        data = lasting_bytes(disk, FOLDER / name) or b""
        for start in starts if data else ():
            if data[start : start + COPY_BYTES] == data[start + distance : start + distance + COPY_BYTES]:
                found += [(FOLDER / name, start), (FOLDER / name, start + distance)]
    return found


def rot_offsets(disk: SimulatedDisk) -> range:
    """Where in the log a bit may rot so that it must be noticed: behind the first record, and below what the last one
    says was synced. Empty while the log is short."""
    data = lasting_bytes(disk, FOLDER / LOG_NAME) or b""
    headers: list[Header] = []
    at = 0
    while (header := decode_header(data[at:])) is not None:
        headers.append(header)
        at = header.end
    return range(headers[0].end, headers[-1].synced) if headers else range(0)
