"""Selects the next changes of the agreed state, as seen by one dispatcher.

The module does no input or output. Each change is checked again against the agreed state when it is applied, so two
concurrent drivers do nothing twice.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from functools import partial

from millethead.rollout import state as agreed
from millethead.rollout.state import RUNNING, Release, Slot, State

Change = Callable[[State], State]


@dataclass(slots=True, frozen=True)
class View:
    """A member or booking worker as this dispatcher sees it: whether it answers, whether it is measured as serving, the
    start time of its process, and its version."""

    there: bool
    serving: bool
    start: float
    version: str = ""


class Driver:
    """Proposes changes while this dispatcher is the driver.

    Times are seconds of this process's monotonic clock. Durations are measured here and never taken from other
    dispatchers. A new driver measures from zero, so it waits longer but never less.
    """

    def __init__(self, me: str, lease: float) -> None:
        self.me, self.lease = me, lease
        self._gone: dict[int, float] = {}  # slot token -> time since which its subject is absent
        # (release status, subject) -> time since which its update or return is pending
        self._slow: dict[tuple[str, str], float] = {}
        self._soak: tuple[int, int, float] | None = None  # (release id, step index, start of the soak)
        self._vacant: dict[str, float] = {}  # steward -> time since which it is absent

    def offices(self, now: float, state: State, there: Collection[str]) -> list[tuple[str, Change]]:
        """Returns the change that gives the part of a steward that has been absent for a lease to a dispatcher in
        `present`."""
        names = [office.name for office in state.offices]
        self._vacant = {name: self._vacant.get(name, now) for name in names if name not in there}
        heir = min((name for name in there if name not in names), default=None)
        gone = next((name for name, since in self._vacant.items() if now - since > self.lease), None)
        if heir is None or gone is None:
            return []
        return [(f"the part of {gone} goes to {heir}", partial(agreed.replace_steward, old=gone, new=heir))]

    def tick(
        self,
        now: float,
        state: State,
        views: Mapping[str, View],
        most: Callable[[str], int],
        unhealthy: Callable[[Release], str],
    ) -> list[tuple[str, Change]]:
        """Returns the changes to propose now, in order, each with a description for the log."""
        changes: list[tuple[str, Change]] = []
        for slot in state.slots:
            view = views.get(slot.subject)
            if view is not None and self._back(slot, view):
                changes.append((f"{slot.subject} is back", partial(agreed.free, token=slot.token)))
            elif view is not None and view.there:
                self._gone.pop(slot.token, None)
            elif now - self._gone.setdefault(slot.token, now) > self.lease:
                changes.append((f"the lease of {slot.subject} is over", partial(agreed.free, token=slot.token)))
        tokens = {slot.token for slot in state.slots}
        self._gone = {token: since for token, since in self._gone.items() if token in tokens}
        release = state.under_way
        if release is None:
            self.rest()
            return changes
        why = (unhealthy(release) if release.status == RUNNING else "") or self._late(now, state, release)
        if why:
            return [*changes, (f"halt: {why}", partial(agreed.halt, why=why, release=release.id))]
        return changes + self._steps(now, state, release, views, most)

    def rest(self) -> None:
        """Clears the measurements of a release. Called while none is active."""
        self._slow.clear()
        self._soak = None

    def _steps(
        self, now: float, state: State, release: Release, views: Mapping[str, View], most: Callable[[str], int]
    ) -> list[tuple[str, Change]]:
        if agreed.step_over(state):
            if self._soak is None or self._soak[:2] != (release.id, release.at):
                self._soak = release.id, release.at, now
            if now - self._soak[2] >= release.soak:
                return [
                    (f"step {release.at + 1} of {len(release.steps)} is over", partial(agreed.advance, at=release.at))
                ]
            return []
        self._soak = None
        changes: list[tuple[str, Change]] = []
        limit = min(most(release.group), release.max_out)
        room = limit - state.out(release.group)
        for subject in agreed.moves(state)[: max(0, room)]:
            view = views.get(subject)
            if view is not None and view.there:  # an absent subject stays pending until `_overdue` halts the release
                changes.append(
                    (
                        f"{subject} is to move",
                        partial(
                            agreed.move,
                            subject=subject,
                            most=most(release.group),
                            by=self.me,
                            begun=view.start,
                            before=view.version,
                        ),
                    )
                )
        return changes

    def _back(self, slot: Slot, view: View) -> bool:
        if not (view.there and view.serving) or (slot.version and view.version != slot.version):
            return False
        return view.start > slot.start or bool(slot.version and not slot.begun)

    def _late(self, now: float, state: State, release: Release) -> str:
        """Returns a description of a subject whose update or return takes longer than the plan allows, or an empty
        string."""
        owed = {s.subject for s in state.slots if abs(s.release) == release.id}
        if not owed:  # subjects that wait for a free slot are not overdue
            owed = set(agreed.moves(state))
        keys = {(release.status, name) for name in owed}
        self._slow = {key: since for key, since in self._slow.items() if key in keys}
        for key in sorted(keys):
            if now - self._slow.setdefault(key, now) > release.back:
                return f"{key[1]} is not back and serving within {release.back:g} s"
        return ""
