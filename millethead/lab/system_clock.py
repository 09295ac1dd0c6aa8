"""Clocks of one machine in the emulated system: a steady one that drifts, and a time of day that jumps."""

from __future__ import annotations

from dataclasses import dataclass

WALL_START_MS = 1_760_000_000_000  # the true time of day at the start of a history


@dataclass(slots=True)
class MachineClock:
    """`rate` of the steady clock against true time, `offset_s` what it showed at the start, `wall_error_ms` by how
    much the time of day is ahead."""

    rate: float
    offset_s: float
    wall_error_ms: float = 0.0

    def steady(self, at: float) -> float:
        """What the steady clock shows at a moment of true time (s)."""
        return self.offset_s + at * self.rate

    def moment(self, steady: float) -> float:
        """The moment of true time at which the steady clock shows this."""
        return (steady - self.offset_s) / self.rate

    def wall_ms(self, at: float) -> int:
        """What the time of day shows at a moment of true time."""
        return int(true_wall_ms(at) + self.wall_error_ms)


def true_wall_ms(at: float) -> float:
    """The true time of day, in ms since 1970."""
    return WALL_START_MS + at * 1000
