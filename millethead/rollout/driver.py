"""Selects the next changes of the agreed state, as seen by one dispatcher.

The module does no input or output. Each change is checked again against the agreed state when it is applied, so two
concurrent drivers do nothing twice.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from functools import partial

from millethead.rollout import state as fleet_state
from millethead.rollout.state import RUNNING, Release, Slot, State

Change = Callable[[State], State]


@dataclass(slots=True, frozen=True)
class SubjectView:
    """A member or booking worker as this dispatcher sees it: whether it answers, whether it is measured as serving, the
    start time of its process, and its version."""

    present: bool
    serving: bool
    process_start: float
    version: str = ""


class Driver:
    """Proposes changes while this dispatcher is the driver.

    Times are seconds of this process's monotonic clock. Durations are measured here and never taken from other
    dispatchers. A new driver measures from zero, so it waits longer but never less.
    """

    def __init__(self, me: str, lease_s: float) -> None:
        self.me, self.lease_s = me, lease_s
        self._absent_since: dict[int, float] = {}  # slot token -> time since which its subject is absent
        # (release status, subject) -> time since which its update or return is pending
        self._pending_since: dict[tuple[str, str], float] = {}
        self._soak_start: tuple[int, int, float] | None = None  # (release id, step index, start of the soak)
        self._steward_absent_since: dict[str, float] = {}  # steward -> time since which it is absent

    def replace_absent_steward(self, now: float, state: State, present: Collection[str]) -> list[tuple[str, Change]]:
        """Returns the change that gives the part of a steward that has been absent for a lease to a dispatcher in
        `present`."""
        names = [steward.name for steward in state.stewards]
        self._steward_absent_since = {
            name: self._steward_absent_since.get(name, now) for name in names if name not in present
        }
        successor = min((name for name in present if name not in names), default=None)
        absent = next((name for name, since in self._steward_absent_since.items() if now - since > self.lease_s), None)
        if successor is None or absent is None:
            return []
        return [
            (
                f"the part of {absent} goes to {successor}",
                partial(fleet_state.replace_steward, old=absent, new=successor),
            )
        ]

    def tick(
        self,
        now: float,
        state: State,
        views: Mapping[str, SubjectView],
        max_out: Callable[[str], int],
        find_problem: Callable[[Release], str],
    ) -> list[tuple[str, Change]]:
        """Returns the changes to propose now, in order, each with a description for the log."""
        changes: list[tuple[str, Change]] = []
        for slot in state.slots:
            view = views.get(slot.subject)
            if view is not None and self._has_returned(slot, view):
                changes.append((f"{slot.subject} is back", partial(fleet_state.free_slot, token=slot.token)))
            elif view is not None and view.present:
                self._absent_since.pop(slot.token, None)
            elif now - self._absent_since.setdefault(slot.token, now) > self.lease_s:
                changes.append(
                    (f"the lease of {slot.subject} is over", partial(fleet_state.free_slot, token=slot.token))
                )
        tokens = {slot.token for slot in state.slots}
        self._absent_since = {token: since for token, since in self._absent_since.items() if token in tokens}
        release = state.active_release
        if release is None:
            self.clear_measurements()
            return changes
        reason = (find_problem(release) if release.status == RUNNING else "") or self._overdue(now, state, release)
        if reason:
            return [
                *changes,
                (f"halt: {reason}", partial(fleet_state.halt_release, reason=reason, release_id=release.id)),
            ]
        return changes + self._steps(now, state, release, views, max_out)

    def clear_measurements(self) -> None:
        """Clears the measurements of a release. Called while none is active."""
        self._pending_since.clear()
        self._soak_start = None

    def _steps(
        self,
        now: float,
        state: State,
        release: Release,
        views: Mapping[str, SubjectView],
        max_out: Callable[[str], int],
    ) -> list[tuple[str, Change]]:
        if fleet_state.is_step_finished(state):
            if self._soak_start is None or self._soak_start[:2] != (release.id, release.step_index):
                self._soak_start = release.id, release.step_index, now
            if now - self._soak_start[2] >= release.soak_s:
                return [
                    (
                        f"step {release.step_index + 1} of {len(release.steps)} is over",
                        partial(fleet_state.finish_step, step_index=release.step_index),
                    )
                ]
            return []
        self._soak_start = None
        changes: list[tuple[str, Change]] = []
        limit = min(max_out(release.group), release.max_out)
        free_slots = limit - state.out_count(release.group)
        for subject in fleet_state.next_subjects(state)[: max(0, free_slots)]:
            view = views.get(subject)
            if view is not None and view.present:  # an absent subject stays pending until `_overdue` halts the release
                changes.append(
                    (
                        f"{subject} is to move",
                        partial(
                            fleet_state.take_update_slot,
                            subject=subject,
                            max_out=max_out(release.group),
                            by=self.me,
                            process_start=view.process_start,
                            previous_version=view.version,
                        ),
                    )
                )
        return changes

    def _has_returned(self, slot: Slot, view: SubjectView) -> bool:
        if not (view.present and view.serving) or (slot.version and view.version != slot.version):
            return False
        return view.process_start > slot.process_start or bool(slot.version and not slot.restart_begun)

    def _overdue(self, now: float, state: State, release: Release) -> str:
        """Returns a description of a subject whose update or return takes longer than the plan allows, or an empty
        string."""
        pending = {s.subject for s in state.slots if abs(s.release) == release.id}
        if not pending:  # subjects that wait for a free slot are not overdue
            pending = set(fleet_state.next_subjects(state))
        keys = {(release.status, name) for name in pending}
        self._pending_since = {key: since for key, since in self._pending_since.items() if key in keys}
        for key in sorted(keys):
            if now - self._pending_since.setdefault(key, now) > release.return_timeout_s:
                return f"{key[1]} is not back and serving within {release.return_timeout_s:g} s"
        return ""
