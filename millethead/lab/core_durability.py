"""What the disks of an emulated core would give back if all machines lost power this moment, with every unsynced write
lost."""

from __future__ import annotations

from pathlib import Path

from millethead.lab.core_storage import ACCEPTOR_NAME, FOLDER, AcceptorFile
from millethead.lab.disk import SimulatedDisk
from millethead.replication.agreement import decode_view
from millethead.replication.view import View
from millethead.storage import identity as identities
from millethead.storage.identity import IDENTITY_NAME
from millethead.storage.log import LOG_NAME, CorruptLog, LogFile
from millethead.storage.records import Header, read_header


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
    return 0 if data is None else identities._decode(data).disk_id


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
    return decode_view(b"" if copy is None else AcceptorFile(copy).load().value)


def rot_offsets(disk: SimulatedDisk) -> range:
    """Where in the log a bit may rot so that it must be noticed: behind the first record, and below what the last one
    says was synced. Empty while the log is short."""
    data = lasting_bytes(disk, FOLDER / LOG_NAME) or b""
    headers: list[Header] = []
    at = 0
    while (header := read_header(data[at:])) is not None:
        headers.append(header)
        at = header.end
    return range(headers[0].end, headers[-1].synced) if headers else range(0)
