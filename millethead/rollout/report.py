"""Body of `GET /fleet`."""

from __future__ import annotations

from typing import Any

from millethead.rollout.shell import WORKERS, Rollout
from millethead.rollout.state import DISPATCHERS, Release, Slot


def fleet_page(rollout: Rollout) -> dict[str, Any]:
    """Returns the agreed state as known to this dispatcher."""
    state = rollout.state
    groups = [DISPATCHERS, *(WORKERS + kind for kind in rollout.setup.pools)]
    return {
        "dispatcher": rollout.me,
        "known": rollout.learned,
        "rev": state.rev,
        "voters": list(rollout.voters),
        "voters_there": rollout.voters_there(),
        "stewards": [{"member": office.name, "token": office.token} for office in state.offices],
        "groups": {group: {"out": state.out(group), "max_out": rollout.most(group)} for group in groups},
        "out": [_slot(slot) for slot in state.slots],
        "release": _release(state.release) if state.release is not None else None,
    }


def _slot(slot: Slot) -> dict[str, Any]:
    return {
        "member": slot.subject,
        "group": slot.group,
        "token": slot.token,
        "by": slot.by,
        "begun": slot.begun,
        "version": slot.version,
        "release": slot.release,
    }


def _release(release: Release) -> dict[str, Any]:
    return {
        "id": release.id,
        "group": release.group,
        "version": release.version,
        "status": release.status,
        "why": release.why,
        "step": release.at + 1,
        "steps": [list(step) for step in release.steps],
        "moved": [move.subject for move in release.moved],
        "max_out": release.max_out,
    }
