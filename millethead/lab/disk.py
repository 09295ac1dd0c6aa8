"""A disk in memory that loses and tears what was not synced, by a seed; stands in for `storage.files.OS_FILE_SYSTEM`.

At a loss of power each write and each new length since a file's last sync is present, absent or torn on its own, and
so is each change of a name since its folder's; some losses wipe all of them out. A new file's name lasts once the file
was synced. Files that were open before a loss of power or the end of the process raise OSError.
"""

from __future__ import annotations

import enum
import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from millethead.storage.files import File

SECTOR = 512  # bytes that a torn write leaves old or new as one
WIPED = 0.2  # part of the losses of power that take every unsynced change
PRESENT, TORN = 0.45, 0.25  # parts of the unsynced writes otherwise; the rest is absent


class Operation(enum.Enum):
    """A call on the disk."""

    OPEN = enum.auto()
    READ = enum.auto()
    WRITE = enum.auto()
    TRUNCATE = enum.auto()
    SYNC = enum.auto()
    RENAME = enum.auto()
    REMOVE = enum.auto()
    SYNC_FOLDER = enum.auto()


class Tear(enum.Enum):
    """What a torn write leaves."""

    PREFIX = enum.auto()  # its first bytes
    SECTORS = enum.auto()  # some of its sectors
    GARBAGE = enum.auto()  # all of it, but for some bytes that are neither old nor new


@dataclass(slots=True, frozen=True)
class _Write:
    offset: int
    data: bytes


@dataclass(slots=True, frozen=True)
class _Length:
    size: int


_Change = _Write | _Length


@dataclass(slots=True, eq=False)
class _Inode:
    """A file's bytes as read, as on the disk, and the changes between; those that a failed sync gave up on stay lost
    even if a later one succeeds."""

    current: bytearray = field(default_factory=bytearray)
    lasting: bytearray = field(default_factory=bytearray)
    unsynced: list[_Change] = field(default_factory=list)
    given_up: list[_Change] = field(default_factory=list)

    def change(self, change: _Change) -> None:
        _apply(self.current, change)
        self.unsynced.append(change)

    def sync(self) -> None:
        for change in self.unsynced:
            _apply(self.lasting, change)
        self.unsynced.clear()


@dataclass(slots=True, frozen=True, eq=False)
class _Name:
    """A change of names: the file is at `new` (None: removed) and no longer at `old` (None: it is new)."""

    inode: _Inode
    old: Path | None
    new: Path | None

    def apply(self, names: dict[Path, _Inode]) -> None:
        if self.old is not None:
            if names.get(self.old) is not self.inode:
                return  # its creation was lost, or the name is another file's
            del names[self.old]
        if self.new is not None:
            names[self.new] = self.inode

    @property
    def folder(self) -> Path | None:
        path = self.new or self.old
        return path and path.parent


class SimulatedDisk:
    """The files of one machine; everything that is left to chance comes from `seed`.

    `before` is called ahead of each operation: it may raise to refuse it (OSError) or to end the process there, or let
    virtual time pass. `refusing`: writes raise ENOSPC, after a part of the bytes. `capacity`: bytes in all files at
    most, None without a limit. `failing_syncs`: so many syncs of files raise EIO, and give up what they were to write.
    """

    def __init__(self, seed: int) -> None:
        self.before: Callable[[Operation, Path], None] = _nothing
        self.refusing = False
        self.capacity: int | None = None
        self.failing_syncs = 0
        self._random = random.Random(seed)
        self._names: dict[Path, _Inode] = {}
        self._lasting_names: dict[Path, _Inode] = {}
        self._name_changes: list[_Name] = []
        self._process = 0

    def open(self, path: Path) -> File:
        self.before(Operation.OPEN, path)
        return _SimulatedFile(self, path, self._inode(path), self._process)

    def create(self, path: Path) -> File:
        self.before(Operation.OPEN, path)
        if path in self._names:
            self._names[path].change(_Length(0))
        else:
            self._change_name(_Name(_Inode(), None, path))
        return _SimulatedFile(self, path, self._names[path], self._process)

    def rename(self, old: Path, new: Path) -> None:
        self.before(Operation.RENAME, old)
        self._change_name(_Name(self._inode(old), old, new))

    def remove(self, path: Path) -> None:
        self.before(Operation.REMOVE, path)
        self._change_name(_Name(self._inode(path), path, None))

    def sync_folder(self, folder: Path) -> None:
        self.before(Operation.SYNC_FOLDER, folder)
        for path in [path for path in self._lasting_names if path.parent == folder]:
            del self._lasting_names[path]
        self._lasting_names.update({path: inode for path, inode in self._names.items() if path.parent == folder})
        self._name_changes = [change for change in self._name_changes if change.folder != folder]

    def end_process(self) -> None:
        """The process is killed: files stay as they are, open ones are closed."""
        self._process += 1

    def lose_power(self) -> None:
        """What was not synced is present, absent or torn."""
        self._process += 1
        wiped = self._random.random() < WIPED
        for inode in self._all_inodes():
            self._settle(inode, wiped)
        for change in self._name_changes:
            if not wiped and self._random.random() < 0.5:
                change.apply(self._lasting_names)
        self._name_changes.clear()
        self._names = dict(self._lasting_names)

    def wipe(self) -> None:
        """The disk is lost; an empty one is in its place."""
        self._process += 1
        self._names.clear()
        self._lasting_names.clear()
        self._name_changes.clear()

    def flip_bit(self, path: Path, offset: int, bit: int = 0) -> None:
        """One bit of a byte on the disk rots."""
        inode = self._inode(path)
        for content in (inode.current, inode.lasting):
            if offset < len(content):
                content[offset] ^= 1 << bit

    def contents(self, path: Path) -> bytes:
        """A file's bytes as a reader sees them now; raises FileNotFoundError."""
        return bytes(self._inode(path).current)

    def put(self, path: Path, data: bytes) -> None:
        """A file that is there and durable."""
        self._names[path] = self._lasting_names[path] = _Inode(bytearray(data), bytearray(data))

    def exists(self, path: Path) -> bool:
        """Whether there is a file of this name."""
        return path in self._names

    def write(self, file: _SimulatedFile, offset: int, data: bytes) -> None:
        """For open files: write as much as there is room for."""
        room = len(data)
        if self.refusing:
            room = self._random.randrange(len(data)) if data else 0
        elif self.capacity is not None:
            grown = max(0, offset + len(data) - len(file.inode.current))
            used = sum(len(inode.current) for inode in self._names.values())
            room = max(0, len(data) - max(0, used + grown - self.capacity))
        if room:
            file.inode.change(_Write(offset, bytes(data[:room])))
        if room < len(data) or self.refusing:
            raise OSError(errno.ENOSPC, "no space left on the simulated disk", str(file.path))

    def sync(self, file: _SimulatedFile) -> None:
        """For open files: make contents durable, and the name of a new file."""
        inode = file.inode
        if self.failing_syncs:
            self.failing_syncs -= 1
            inode.given_up += inode.unsynced
            inode.unsynced.clear()
            raise OSError(errno.EIO, "a sync of the simulated disk failed", str(file.path))
        inode.sync()
        for creation in [x for x in self._name_changes if x.inode is inode and x.old is None]:
            self._make_lasting(creation)

    def is_open(self, process: int) -> bool:
        """For open files: whether the process that opened them is still the one that runs."""
        return process == self._process

    def _inode(self, path: Path) -> _Inode:
        try:
            return self._names[path]
        except KeyError:
            raise FileNotFoundError(errno.ENOENT, "no such file on the simulated disk", str(path)) from None

    def _change_name(self, change: _Name) -> None:
        change.apply(self._names)
        self._name_changes.append(change)

    def _make_lasting(self, creation: _Name) -> None:
        """A new file's name lasts, and so does what became of earlier files of that name."""
        path = creation.new
        last = self._name_changes.index(creation)
        for change in self._name_changes[: last + 1]:
            if path in (change.old, change.new):
                change.apply(self._lasting_names)
                self._name_changes.remove(change)

    def _all_inodes(self) -> list[_Inode]:
        found = [*self._names.values(), *self._lasting_names.values(), *(x.inode for x in self._name_changes)]
        return list(dict.fromkeys(found))

    def _settle(self, inode: _Inode, wiped: bool) -> None:
        for change in [] if wiped else [*inode.given_up, *inode.unsynced]:
            self._land(inode.lasting, change)
        inode.unsynced.clear()
        inode.given_up.clear()
        inode.current = bytearray(inode.lasting)

    def _land(self, content: bytearray, change: _Change) -> None:
        fate = self._random.random()
        if fate < PRESENT:
            _apply(content, change)
        elif fate < PRESENT + TORN and isinstance(change, _Write) and change.data:
            self._tear(content, change)

    def _tear(self, content: bytearray, write: _Write) -> None:
        data = write.data
        match self._random.choice(list(Tear)):
            case Tear.PREFIX:
                _apply(content, _Write(write.offset, data[: self._random.randrange(len(data))]))
            case Tear.SECTORS:
                for start in _sector_starts(write):
                    if self._random.random() < 0.5:
                        end = start + SECTOR - (write.offset + start) % SECTOR
                        _apply(content, _Write(write.offset + start, data[start:end]))
            case Tear.GARBAGE:
                start = self._random.randrange(len(data))
                length = min(SECTOR, len(data) - start)
                _apply(content, write)
                _apply(content, _Write(write.offset + start, self._random.randbytes(length)))


class _SimulatedFile:
    """An open file of a simulated disk."""

    def __init__(self, disk: SimulatedDisk, path: Path, inode: _Inode, process: int) -> None:
        self.path, self.inode = path, inode
        self._disk, self._process = disk, process

    def read(self, offset: int, length: int) -> bytes:
        self._begin(Operation.READ)
        return bytes(self.inode.current[offset : offset + length])

    def write(self, offset: int, data: bytes) -> None:
        self._begin(Operation.WRITE)
        self._disk.write(self, offset, data)

    def truncate(self, size: int) -> None:
        self._begin(Operation.TRUNCATE)
        self.inode.change(_Length(size))

    def size(self) -> int:
        return len(self.inode.current)

    def fdatasync(self) -> None:
        self._begin(Operation.SYNC)
        self._disk.sync(self)

    def fsync(self) -> None:
        self.fdatasync()

    def drop_cached(self) -> None:
        """Each read is of the disk as it is now."""

    def close(self) -> None:
        self._process = -1

    def _begin(self, operation: Operation) -> None:
        if not self._disk.is_open(self._process):
            raise OSError(errno.EBADF, "a file of the simulated disk that is closed", str(self.path))
        self._disk.before(operation, self.path)


def _apply(content: bytearray, change: _Change) -> None:
    """Make a change to a file's bytes; a gap before it reads as zeros."""
    if isinstance(change, _Length):
        del content[change.size :]
        content.extend(bytes(change.size - len(content)))
        return
    content.extend(bytes(max(0, change.offset - len(content))))
    content[change.offset : change.offset + len(change.data)] = change.data


def _sector_starts(write: _Write) -> list[int]:
    """Where in the data each part starts that lies in one sector of the disk."""
    first = SECTOR - write.offset % SECTOR
    return [0, *range(first, len(write.data), SECTOR)]


def _nothing(operation: Operation, path: Path) -> None:
    """No hook."""
