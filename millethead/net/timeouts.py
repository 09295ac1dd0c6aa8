"""Timeouts of requests to the discovery service, computed from the platform's protocol and the settings.

They are used as deadlines on the monotonic clock, counted from the event that the protocol counts from. A timeout per
read would start again with each byte received.
"""

from __future__ import annotations

from dataclasses import dataclass

from millethead.decide.interface import Settings

EMPTY_LINE_INTERVAL_S = 2.0  # an unchanged watch sends an empty line this often
ANNOUNCED_AFTER_S = 6.0  # a change counts as announced this long after it, whether the announcement arrived or not
MOVE_ANNOUNCED_AFTER_S = 4.0  # after SIGHUP: the list at the new address counts as announced
PROCESSING_S = 0.3  # to parse a list and act on it with a slow share of a core
CONNECT_TIMEOUT_S = 1.0  # for a connection to discovery; short enough for another call in time


@dataclass(frozen=True, slots=True)
class ListTimeouts:
    """Timeouts in s. `silence_s` and `next_call_s` count from the last contact with discovery: a complete line, the
    start of a call or the end of a watch.

    `silence_s`: a watch or call without a complete line is abandoned. `connect_s`: time limit of establishing a
    connection. `next_call_s`: the next call has begun at the latest. `pushed`: changes count as announced without a
    request for the list."""

    silence_s: float
    connect_s: float
    next_call_s: float
    pushed: bool


def list_timeouts(settings: Settings) -> ListTimeouts:
    """Returns the timeouts for the drain grace of `settings`.

    A change that a broken watch or a failed call has delayed counts as announced after ANNOUNCED_AFTER_S. A worker that
    drains must not get new jobs once the drain grace has passed after that. A watch counts as silent after 1.5
    intervals of the empty line. Of the time that remains, two fifths let many dispatchers call one after another, and
    three fifths are left to the next call.

    With pushed lists a change counts as announced at once. There at most a quarter of the grace passes between calls,
    and at most a quarter while connecting."""
    grace_s, silence_s = settings.drain_grace / 1000, 1.5 * EMPTY_LINE_INTERVAL_S
    if settings.lists_pushed:
        return ListTimeouts(silence_s, max(0.05, grace_s / 4), max(0.02, grace_s / 4), True)
    next_call_s = silence_s + 0.4 * (ANNOUNCED_AFTER_S + grace_s - PROCESSING_S - silence_s)
    return ListTimeouts(silence_s, CONNECT_TIMEOUT_S, next_call_s, False)
