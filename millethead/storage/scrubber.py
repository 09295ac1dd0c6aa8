"""The background scrub of a member's disk: what is on it is read again, a slice at a time, while the state in memory
can still replace what has gone bad. Found only at the next start, the same bytes would cost the disk its identity.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from millethead.storage.log import CorruptLog, LogFile, ScrubPass

SLICE_BYTES = 256 << 10  # read in one job of the writer's thread, so that appends wait a few ms at most
SLICE_PAUSE_S = 0.1  # between two slices of a pass
PASS_PAUSE_S = 300.0  # between two passes, and before the first one

Callback = Callable[[], None]


class ScrubState(enum.Enum):
    """What the scrub does at present."""

    RESTING = enum.auto()  # between two passes
    READING = enum.auto()  # a slice is with the writer's thread
    PAUSING = enum.auto()  # between two slices


@dataclass(frozen=True, slots=True)
class _Slice:
    """How a slice ended. `damage`: what is bad, empty where all was whole."""

    over: bool
    damage: str = ""


class Scrubber:
    """Reads `log` again by jobs given to `run` (as `LogWriter.run` takes them). `begin_pass` is done in such a job at
    the start of each pass. `damaged(why)` is called on the event loop where the log cannot be read whole: it is to be
    rewritten. `clock`: steady seconds.
    """

    def __init__(
        self,
        log: LogFile,
        run: Callable[[Callback, Callback], None],
        begin_pass: Callback,
        damaged: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._log, self._run, self._begin_pass, self._damaged, self._clock = log, run, begin_pass, damaged, clock
        self._state = ScrubState.RESTING
        self._due = clock() + PASS_PAUSE_S
        self._pass: ScrubPass | None = None
        self._read = _Slice(True)
        self.passes = 0  # that were read to the end, with or without damage

    def tick(self) -> None:
        """Begin the next slice if it is due."""
        if self._state is not ScrubState.READING and self._clock() >= self._due:
            self._enter(ScrubState.READING)
            self._run(self._read_slice, self._slice_done)

    def _read_slice(self) -> None:
        """In the writer's thread."""
        try:
            if self._pass is None:
                self._begin_pass()
                self._pass = self._log.begin_scrub()
            self._read = _Slice(self._log.scrub_slice(self._pass, SLICE_BYTES))
        except (CorruptLog, OSError) as error:
            self._read = _Slice(True, str(error))
        if self._read.over:
            self._pass = None

    def _slice_done(self) -> None:
        """On the event loop."""
        self._enter(ScrubState.RESTING if self._read.over else ScrubState.PAUSING)
        if self._read.damage:
            self._damaged(self._read.damage)

    def _enter(self, state: ScrubState) -> None:
        self._state = state
        match state:
            case ScrubState.RESTING:
                self.passes += 1
                self._due = self._clock() + PASS_PAUSE_S
            case ScrubState.PAUSING:
                self._due = self._clock() + SLICE_PAUSE_S
            case ScrubState.READING:
                pass
