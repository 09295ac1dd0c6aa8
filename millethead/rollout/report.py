"""Body of `GET /fleet`."""

from __future__ import annotations

from typing import Any

from millethead.rollout.shell import WORKER_GROUP_PREFIX, Rollout
from millethead.rollout.state import DISPATCHERS, Release, Slot


def fleet_page(rollout: Rollout) -> dict[str, Any]:
    """Returns the agreed state as known to this dispatcher."""
    state = rollout.state
    groups = [DISPATCHERS, *(WORKER_GROUP_PREFIX + kind for kind in rollout.setup.pools)]
    return {
        "dispatcher": rollout.me,
        "known": rollout.has_state,
        "rev": state.rev,
        "voters": list(rollout.voters),
        "voters_there": rollout.live_voters(),
        "stewards": [{"member": steward.name, "token": steward.token} for steward in state.stewards],
        "groups": {group: {"out": state.out_count(group), "max_out": rollout.max_out(group)} for group in groups},
        "out": [_slot(slot) for slot in state.slots],
        "release": _release(state.release) if state.release is not None else None,
    }


def _slot(slot: Slot) -> dict[str, Any]:
    return {
        "member": slot.subject,
        "group": slot.group,
        "token": slot.token,
        "by": slot.requested_by,
        "begun": slot.restart_begun,
        "version": slot.version,
        "release": slot.release,
    }


def _release(release: Release) -> dict[str, Any]:
    return {
        "id": release.id,
        "group": release.group,
        "version": release.version,
        "status": release.status,
        "why": release.reason,
        "step": release.step_index + 1,
        "steps": [list(step) for step in release.steps],
        "moved": [update.subject for update in release.updated],
        "max_out": release.max_out,
    }
