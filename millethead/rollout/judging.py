"""How a release goes, by the counts that dispatchers tell: what moved against the rest, from its return on."""

from __future__ import annotations

from collections.abc import Callable

from millethead.rollout import health
from millethead.rollout.health import Counts
from millethead.rollout.state import DISPATCHERS, Release, State

Tables = dict[str, list[Counts]]  # by subject, then by class


class Judging:
    """`own`: this dispatcher's counts now."""

    def __init__(self, me: str, own: Callable[[], Tables], classes: list[str]) -> None:
        self._me, self._own, self._classes = me, own, classes
        self._counts: dict[str, Tables] = {}  # by dispatcher, as last told
        self._base: dict[str, Tables] = {}  # subject -> dispatcher -> its counts when its judging began
        self._judged = 0

    def told(self, dispatcher: str, tables: Tables) -> None:
        """A dispatcher has told its counts."""
        self._counts[dispatcher] = tables

    def unhealthy(self, release: Release, state: State) -> str:
        """Why it is; empty while it is not."""
        if self._judged != release.id:
            self._judged = release.id
            self._base.clear()
            self._counts.clear()
        self._counts[self._me] = self._own()
        moved = {move.subject for move in release.moved}
        back = moved - {slot.subject for slot in state.slots}
        tables: Tables = {}
        for subject in {subject for told in self._counts.values() for subject in told}:
            if subject in moved - back:
                self._forget(subject, release)
            else:
                tables[subject] = self._since_base(subject, release.group == DISPATCHERS and subject in back)
        rest = [table for subject, table in tables.items() if subject not in moved]
        judged = {subject: tables[subject] for subject in sorted(back) if subject in tables}
        return health.judge(judged, rest, release.health, self._classes)

    def _forget(self, subject: str, release: Release) -> None:
        """A subject is on its way: it is judged from its return on."""
        self._base.pop(subject, None)
        if release.group == DISPATCHERS:  # what it said before it went is no news of what is to come
            self._counts.pop(subject, None)

    def _since_base(self, subject: str, anew: bool) -> list[Counts]:
        """A subject's counts by all dispatchers since its judging began; `anew`: its process counts from 0."""
        told = {who: tables[subject] for who, tables in self._counts.items() if subject in tables}
        base = self._base.setdefault(subject, {} if anew else dict(told))
        return health.add(health.since(table, base.get(who)) for who, table in told.items())
