"""Time limits that follow from the platform's protocol: its figures and the settings in, limits in seconds out.

Others take them from here and count them as deadlines on the steady clock, from the moment that the protocol counts
from; a time limit for each read of its own would start anew with each byte.
"""

from __future__ import annotations

from dataclasses import dataclass

from millethead.decide.interface import Settings

EMPTY_LINE = 2.0  # s: so often a watch on which nothing changes brings an empty line
TOLD = 6.0  # s after which what discovery has to tell counts as told, whether it arrived or not
MOVED = 4.0  # s after SIGHUP after which the news of the new address count as told
ACT = 0.3  # s that reading a list and acting on it may take on a slow share of a core
CONNECT = 1.0  # s for a connection to discovery to come up, where another call can come in time


@dataclass(frozen=True, slots=True)
class ListTerms:
    """From the last sign of discovery (a whole line, the start of a call, the end of a watch) on, in s: `silence` until
    a watch or call is given up that has brought no whole line, `again` until the next call has begun at the latest;
    `connect`: for its connection to come up. `pushed`: lists count as told without being asked for."""

    silence: float
    connect: float
    again: float
    pushed: bool


def list_terms(settings: Settings) -> ListTerms:
    """A change that a broken watch or a failed call has kept back counts as told after TOLD, and nothing new may go to
    a worker that drains after the grace on top of it. Half an empty line's time more than its own has passed before a
    watch counts as silent; two fifths of the rest let many dispatchers call one after another, and three fifths are
    the next call's own. An agent that pushes lists has told a change as soon as it has it: there a quarter of the
    grace goes by at most, from one try to the next and for a connection."""
    grace, silence = settings.drain_grace / 1000, 1.5 * EMPTY_LINE
    if settings.lists_pushed:
        return ListTerms(silence, max(0.05, grace / 4), max(0.02, grace / 4), True)
    return ListTerms(silence, CONNECT, silence + 0.4 * (TOLD + grace - ACT - silence), False)
