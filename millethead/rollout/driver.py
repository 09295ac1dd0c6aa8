"""What has to change next, as one dispatcher sees it. No input or output; every change is checked again against the
agreed state when it is made, so that two that drive at once do nothing twice."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from functools import partial

from millethead.rollout import state as agreed
from millethead.rollout.state import RUNNING, Release, Slot, State

Change = Callable[[State], State]


@dataclass(slots=True, frozen=True)
class View:
    """A member or booking worker as this dispatcher sees it: there (it answers), serving (measured), the start of its
    process, its version."""

    there: bool
    serving: bool
    start: float
    version: str = ""


class Driver:
    """Times are seconds of this process's monotonic clock: how long something has been so is measured here, never taken
    from others. One that takes over measures anew, so that it waits longer, never less."""

    def __init__(self, me: str, lease: float) -> None:
        self.me, self.lease = me, lease
        self._gone: dict[int, float] = {}  # slot -> since when its subject is not there
        self._slow: dict[tuple[str, str], float] = {}  # (way, subject) -> since when its move is owed
        self._soak: tuple[int, int, float] | None = None  # (release, step, since)
        self._vacant: dict[str, float] = {}  # steward -> since when it is not there

    def offices(self, now: float, state: State, there: Collection[str]) -> list[tuple[str, Change]]:
        """The part of a steward that has not been there for a lease goes to a dispatcher that is `there`."""
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
        """The changes to try now, in order, each with a word for the log."""
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
        """No release is under way: what is measured of one begins anew."""
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
            if view is not None and view.there:  # one that is not there is owed its move, until that takes too long
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
        """Who has owed its move, or its return from it, for longer than the plan gives it."""
        owed = {s.subject for s in state.slots if abs(s.release) == release.id}
        if not owed:  # while others are out, who waits for a slot owes nothing
            owed = set(agreed.moves(state))
        keys = {(release.status, name) for name in owed}
        self._slow = {key: since for key, since in self._slow.items() if key in keys}
        for key in sorted(keys):
            if now - self._slow.setdefault(key, now) > release.back:
                return f"{key[1]} is not back and serving within {release.back:g} s"
        return ""
