"""Read-only access to the disk of a stopped member, for `millethead log` and `millethead snapshot`.

A snapshot file is a log file with only a snapshot, so it is verified by the checksums of the log format.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass
from pathlib import Path

from millethead.configuration.change import DamagedState
from millethead.control.state import ControlState
from millethead.jobs.description import InvalidJob
from millethead.programs.core_disk import ACCEPTOR_NAME
from millethead.replication.log import ReplicatedLog
from millethead.replication.view import NO_VIEW, View
from millethead.replication.view_register import decode_view
from millethead.rollout.register import ChangeRefused
from millethead.rpc.codec import CodecError
from millethead.storage.files import OS_FILE_SYSTEM, drop_cached
from millethead.storage.identity import IDENTITY_NAME, DiskIdentity, load_identity
from millethead.storage.log import LOG_NAME, LogFile, Recovered
from millethead.storage.records import CorruptLog, Snapshot
from millethead.storage.register_file import RegisterFile
from millethead.storage.replay import LogContents, replay


class LogUnavailable(Exception):
    """The log does not exist or cannot be opened."""


@dataclass(frozen=True, slots=True)
class LogReport:
    """Content of a log file.

    `size` is its length in bytes. The first `valid_bytes` are records with correct checksums, the rest is a torn tail
    that was never acknowledged.
    """

    path: Path
    size: int
    valid_bytes: int
    snapshot: Snapshot | None
    entries: int
    last_epoch: int
    last_sequence: int
    state: ControlState


@dataclass(frozen=True, slots=True)
class DiskReport:
    """Content of a member's disk, or of a snapshot file.

    `identity` and `view` (the newest view accepted by the acceptor) are None for a snapshot file.
    """

    identity: DiskIdentity | None
    view: View | None
    log: LogReport


class _ReadOnlyFile:
    """A read-only file for `replay`."""

    def __init__(self, path: Path) -> None:
        self._path = path
        try:
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError as error:
            raise LogUnavailable(f"{path}: {error.strerror}") from None

    def read(self, offset: int, length: int) -> bytes:
        return os.pread(self._descriptor, length, offset)

    def size(self) -> int:
        return os.fstat(self._descriptor).st_size

    def write(self, offset: int, data: bytes) -> None:
        raise PermissionError(f"{self._path} is only read")

    def truncate(self, size: int) -> None:
        raise PermissionError(f"{self._path} is only read")

    def fdatasync(self) -> None:
        """Do nothing: there are no writes to sync."""

    def fsync(self) -> None:
        """Do nothing: there are no writes to sync."""

    def drop_cached(self) -> None:
        drop_cached(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


def read_disk(path: Path) -> DiskReport:
    """Read a member's folder or a snapshot file. Raises LogUnavailable and CorruptLog."""
    if path.is_dir():
        log = read_log(path / LOG_NAME)
        return DiskReport(_read_identity(path), _read_view(path, log), log)
    log = read_log(path)
    if log.snapshot is None or log.valid_bytes < log.size:
        raise CorruptLog("not a whole snapshot")
    return DiskReport(None, None, log)


def _read_identity(folder: Path) -> DiskIdentity:
    if not (folder / IDENTITY_NAME).exists():
        raise CorruptLog(f"{IDENTITY_NAME}: missing")
    return load_identity(folder, False, lambda: 0)  # an existing identity is only read


def _read_view(folder: Path, log: LogReport) -> View:
    register = RegisterFile(OS_FILE_SYSTEM, folder / ACCEPTOR_NAME)
    if not register.path.exists():
        if log.last_sequence:
            raise CorruptLog(f"{register.path.name}: missing beside a log with entries")
        return NO_VIEW  # the first start was interrupted
    try:
        return decode_view(register.read().value)
    except (OSError, ChangeRefused) as error:
        raise CorruptLog(str(error)) from None


def read_log(path: Path) -> LogReport:
    """Read a whole log and rebuild its state. Raises LogUnavailable and CorruptLog."""
    file = _ReadOnlyFile(path)
    file.drop_cached()
    try:
        tail, contents = replay(file)
        size, valid_bytes = file.size(), tail.offset
    finally:
        file.close()
    log = _replayed(contents)
    epoch, sequence = log.last
    state = log.machine
    assert isinstance(state, ControlState)
    return LogReport(path, size, valid_bytes, contents.snapshot, len(contents.entries), epoch, sequence, state)


def _replayed(contents: LogContents) -> ReplicatedLog:
    try:
        return ReplicatedLog(ControlState(), Recovered(contents.snapshot, tuple(contents.entries)))
    except (CodecError, DamagedState, InvalidJob, ValueError) as error:
        raise CorruptLog(f"the checksums hold, but the state cannot be worked out: {error}") from None


def save_snapshot(report: LogReport, path: Path) -> Snapshot:
    """Write the state of a log durably to a snapshot file. Raises OSError, also if the file exists."""
    if path.exists():
        raise FileExistsError(errno.EEXIST, os.strerror(errno.EEXIST), str(path))
    snapshot = Snapshot(report.last_epoch, report.last_sequence, report.state.snapshot())
    file = LogFile(path.parent, name=path.name)
    try:
        file.rewrite(snapshot, ())
    finally:
        file.close()
    return snapshot
