"""Saves of the acceptor's state through the thread that waits on the disk.

The newest state stands for those before it: what was promised in these holds in it too. So saves that wait for the disk
are one write, and a burst of rounds cannot make a queue that grows. The second copy is written once no save waits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock
from typing import Protocol

from millethead.rollout.register import AcceptorState
from millethead.storage.register_file import RegisterFile

Callback = Callable[[], None]


class DiskThread(Protocol):
    """Where blocking jobs are done, in their order."""

    def run(self, job: Callback, done: Callback, timed: bool = False) -> None:
        """Do a job, then have `done` called on the event loop."""


@dataclass(frozen=True, slots=True)
class _Save:
    kept: AcceptorState
    done: Callback


class RegisterWriter:
    """`save` is called on the event loop."""

    def __init__(self, register: RegisterFile, disk: DiskThread) -> None:
        self._register, self._disk = register, disk
        self._lock = Lock()  # guards what follows
        self._due: list[_Save] = []
        self._written: deque[list[_Save]] = deque()  # whose ends are not told yet

    def save(self, kept: AcceptorState, done: Callback) -> None:
        """Have a state on the disk, and then `done` called."""
        with self._lock:
            self._due.append(_Save(kept, done))
            queued = len(self._due) > 1
        if not queued:
            self._disk.run(self._write, self._tell, timed=True)
            self._disk.run(self._copy, _nothing)

    def _write(self) -> None:
        with self._lock:
            saves, self._due = self._due, []
        self._register.save(saves[-1].kept)
        with self._lock:
            self._written.append(saves)

    def _tell(self) -> None:
        with self._lock:
            saves = self._written.popleft()
        for save in saves:
            save.done()

    def _copy(self) -> None:
        with self._lock:
            waiting = bool(self._due)
        if not waiting:  # else the copy follows their write
            self._register.save_copy()


def _nothing() -> None:
    """Nobody waits for the second copy."""
