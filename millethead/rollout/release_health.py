"""Health of a running release, from the counts that dispatchers report: updated members against the others."""

from __future__ import annotations

from collections.abc import Callable

from millethead.rollout import health
from millethead.rollout.health import Counts
from millethead.rollout.state import DISPATCHERS, Release, State

SubjectCounts = dict[str, list[Counts]]  # counts of each class, by subject


class ReleaseHealth:
    """Judges a release. `own_counts` returns this dispatcher's counts."""

    def __init__(self, me: str, own_counts: Callable[[], SubjectCounts], classes: list[str]) -> None:
        self._me, self._own_counts, self._classes = me, own_counts, classes
        self._counts: dict[str, SubjectCounts] = {}  # latest counts by dispatcher
        # subject -> dispatcher -> its counts when the observation of the subject began
        self._baselines: dict[str, SubjectCounts] = {}
        self._release_id = 0

    def record_counts(self, dispatcher: str, counts: SubjectCounts) -> None:
        """Stores the counts that a dispatcher reported."""
        self._counts[dispatcher] = counts

    def find_problem(self, release: Release, state: State) -> str:
        """Returns why the release is unhealthy, or an empty string if it is not."""
        if self._release_id != release.id:
            self._release_id = release.id
            self._baselines.clear()
            self._counts.clear()
        self._counts[self._me] = self._own_counts()
        updated = {subject_update.subject for subject_update in release.updated}
        returned = updated - {slot.subject for slot in state.slots}
        counts_by_subject: SubjectCounts = {}
        for subject in {subject for reported in self._counts.values() for subject in reported}:
            if subject in updated - returned:
                self._forget(subject, release)
            else:
                counts_by_subject[subject] = self._counts_since_baseline(
                    subject, release.group == DISPATCHERS and subject in returned
                )
        others = [table for subject, table in counts_by_subject.items() if subject not in updated]
        judged = {subject: counts_by_subject[subject] for subject in sorted(returned) if subject in counts_by_subject}
        return health.find_regression(judged, others, release.health, self._classes)

    def _forget(self, subject: str, release: Release) -> None:
        """Forgets a subject that is being updated. Its observation starts when it is back."""
        self._baselines.pop(subject, None)
        if release.group == DISPATCHERS:  # counts reported before the restart do not belong to the new process
            self._counts.pop(subject, None)

    def _counts_since_baseline(self, subject: str, restarted: bool) -> list[Counts]:
        """Returns the counts of a subject over all dispatchers since its observation began. With `restarted`, the
        counters of its process start at 0."""
        counts = {dispatcher: reported[subject] for dispatcher, reported in self._counts.items() if subject in reported}
        baseline = self._baselines.setdefault(subject, {} if restarted else dict(counts))
        return health.sum_counts(
            health.counts_since(table, baseline.get(dispatcher)) for dispatcher, table in counts.items()
        )
