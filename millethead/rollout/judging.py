"""Health of a running release, from the counts that dispatchers report: updated members against the others."""

from __future__ import annotations

from collections.abc import Callable

from millethead.rollout import health
from millethead.rollout.health import Counts
from millethead.rollout.state import DISPATCHERS, Release, State

Tables = dict[str, list[Counts]]  # counts of each class, by subject


class Judging:
    """Judges a release. `own_counts` returns this dispatcher's counts."""

    def __init__(self, me: str, own: Callable[[], Tables], classes: list[str]) -> None:
        self._me, self._own, self._classes = me, own, classes
        self._counts: dict[str, Tables] = {}  # latest counts by dispatcher
        # subject -> dispatcher -> its counts when the observation of the subject began
        self._base: dict[str, Tables] = {}
        self._judged = 0

    def told(self, dispatcher: str, tables: Tables) -> None:
        """Stores the counts that a dispatcher reported."""
        self._counts[dispatcher] = tables

    def unhealthy(self, release: Release, state: State) -> str:
        """Returns why the release is unhealthy, or an empty string if it is not."""
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
        """Forgets a subject that is being updated. Its observation starts when it is back."""
        self._base.pop(subject, None)
        if release.group == DISPATCHERS:  # counts reported before the restart do not belong to the new process
            self._counts.pop(subject, None)

    def _since_base(self, subject: str, anew: bool) -> list[Counts]:
        """Returns the counts of a subject over all dispatchers since its observation began. With `restarted`, the
        counters of its process start at 0."""
        told = {who: tables[subject] for who, tables in self._counts.items() if subject in tables}
        base = self._base.setdefault(subject, {} if anew else dict(told))
        return health.add(health.since(table, base.get(who)) for who, table in told.items())
