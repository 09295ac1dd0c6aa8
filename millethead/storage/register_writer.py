"""Saves the register of an acceptor through the disk thread.

The newest register includes all earlier promises. Therefore all saves that wait for the disk are combined into one
write, and a burst of rounds cannot grow the queue without bound. The second copy is written once no save is waiting.
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
    """Executes blocking disk jobs in order."""

    def run(self, job: Callback, done: Callback, timed: bool = False) -> None:
        """Executes a job, then calls `done` on the event loop."""


@dataclass(frozen=True, slots=True)
class _Save:
    kept: AcceptorState
    done: Callback


class RegisterWriter:
    """Combines concurrent saves. `save` is called on the event loop."""

    def __init__(self, register: RegisterFile, disk_thread: DiskThread) -> None:
        self._register, self._disk_thread = register, disk_thread
        self._lock = Lock()  # guards the attributes below
        self._pending: list[_Save] = []
        self._written: deque[list[_Save]] = deque()  # callbacks not called yet

    def save(self, kept: AcceptorState, done: Callback) -> None:
        """Saves a register durably, then calls `done`."""
        with self._lock:
            self._pending.append(_Save(kept, done))
            queued = len(self._pending) > 1
        if not queued:
            self._disk_thread.run(self._write_register, self._report_saved, timed=True)
            self._disk_thread.run(self._write_copy, _ignore)

    def _write_register(self) -> None:
        with self._lock:
            saves, self._pending = self._pending, []
        self._register.save(saves[-1].kept)
        with self._lock:
            self._written.append(saves)

    def _report_saved(self) -> None:
        with self._lock:
            saves = self._written.popleft()
        for save in saves:
            save.done()

    def _write_copy(self) -> None:
        with self._lock:
            save_waiting = bool(self._pending)
        if not save_waiting:  # otherwise the copy follows the next write
            self._register.save_copy()


def _ignore() -> None:
    """No caller waits for the second copy."""
