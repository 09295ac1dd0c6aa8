"""Background scrub of a member's disk: reads the log again in slices while the process runs.

Damage found during service is repaired from the state in memory. If it were found only at the next start, the disk
would lose its identity.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from millethead.storage.log import CorruptLog, LogFile, ScrubPass

SLICE_BYTES = 256 << 10  # per job of the writer's thread, so that appends are delayed by a few ms at most
SLICE_PAUSE_S = 0.1  # between two slices of a pass
PASS_PAUSE_S = 300.0  # between two passes, and before the first one

Callback = Callable[[], None]


class ScrubState(enum.Enum):
    """The state of the scrubber."""

    IDLE = enum.auto()  # between two passes
    READING = enum.auto()  # a slice is queued or being read in the writer's thread
    PAUSING = enum.auto()  # between two slices


@dataclass(frozen=True, slots=True)
class _SliceResult:
    """The result of a slice. `damage` describes damage that was found, and is empty if there was none."""

    pass_finished: bool
    damage: str = ""


class Scrubber:
    """Scrubs `log` in jobs that it passes to `run` (a function like `LogWriter.run`).

    `on_pass_start` is called in such a job at the start of each pass. `on_damage(why)` is called on the event loop if
    the log is damaged or unreadable and must be rewritten. `clock` returns seconds of a monotonic clock.
    """

    def __init__(
        self,
        log: LogFile,
        run: Callable[[Callback, Callback], None],
        on_pass_start: Callback,
        on_damage: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._log, self._run, self._on_pass_start, self._on_damage, self._clock = (
            log,
            run,
            on_pass_start,
            on_damage,
            clock,
        )
        self._state = ScrubState.IDLE
        self._due_at = clock() + PASS_PAUSE_S
        self._current_pass: ScrubPass | None = None
        self._last_slice = _SliceResult(True)
        self.completed_passes = 0  # with or without damage

    def tick(self) -> None:
        """Starts the next slice if it is due."""
        if self._state is not ScrubState.READING and self._clock() >= self._due_at:
            self._set_state(ScrubState.READING)
            self._run(self._read_slice, self._slice_done)

    def _read_slice(self) -> None:
        """Runs in the writer's thread."""
        try:
            if self._current_pass is None:
                self._on_pass_start()
                self._current_pass = self._log.begin_scrub()
            self._last_slice = _SliceResult(self._log.scrub_slice(self._current_pass, SLICE_BYTES))
        except (CorruptLog, OSError) as error:
            self._last_slice = _SliceResult(True, str(error))
        if self._last_slice.pass_finished:
            self._current_pass = None

    def _slice_done(self) -> None:
        """Runs on the event loop."""
        self._set_state(ScrubState.IDLE if self._last_slice.pass_finished else ScrubState.PAUSING)
        if self._last_slice.damage:
            self._on_damage(self._last_slice.damage)

    def _set_state(self, state: ScrubState) -> None:
        self._state = state
        match state:
            case ScrubState.IDLE:
                self.completed_passes += 1
                self._due_at = self._clock() + PASS_PAUSE_S
            case ScrubState.PAUSING:
                self._due_at = self._clock() + SLICE_PAUSE_S
            case ScrubState.READING:
                pass
