"""Fences off connections that their caller has replaced.

A caller that gives a connection up sends its pending calls again on a new one. Copies on the old connection may still
arrive afterwards, when the answer to the newer copy is already on its way. A refusal promises that the call has no
effect, so an older connection is not listened to once its caller has sent a call on a newer one.
"""

from __future__ import annotations

MAX_CALLERS = 4096  # callers whose newest session is remembered


class CallerFence:
    """Remembers the newest session of each caller that has sent a call."""

    def __init__(self) -> None:
        self._newest_sessions: dict[int, int] = {}  # by caller id, the least recently heard caller first

    def admits(self, caller_id: int, session: int) -> bool:
        """Return whether a call of this caller may be handled that came in the session with this number.

        Sessions are numbered in the order in which they were opened. A caller id of 0 is unknown and always admitted.
        """
        if not caller_id:
            return True
        newest = self._newest_sessions.pop(caller_id, 0)
        self._newest_sessions[caller_id] = max(newest, session)
        if len(self._newest_sessions) > MAX_CALLERS:
            del self._newest_sessions[next(iter(self._newest_sessions))]
        return session >= newest
