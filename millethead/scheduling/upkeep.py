"""Keeps tags, lane and backlog in line with the units of a step that wait."""

from __future__ import annotations

from millethead.scheduling.headroom import note_arrival
from millethead.scheduling.reservation import drop_reservation
from millethead.scheduling.state import Lane, Step


def step_changed(step: Step, now: float | None) -> None:
    """The waiting tasks or the runs of a step have changed; `now` is None where no unit can have come."""
    flow = step.flow
    more = step.units - step.tagged
    if more > 0 and now is not None:
        _arrived(step, more, now)
    for _ in range(-more):
        flow.pool.tags.withdraw(flow.name)
    step.tagged = step.units
    step.tested_at = -1
    flow.pool.count_waiting(step)
    if not step.units:
        drop_reservation(step, flow.pool)
    _enter_lane(step, now)
    flow.pool.dirty = True


def _arrived(step: Step, units: int, now: float) -> None:
    """Units have come: they count for the rate of their queue, and get tags."""
    flow = step.flow
    size = flow.pool.hosts.slots(step.spec.needs) * step.members
    flow.rate.add(size * units, now)
    note_arrival(step, units * step.members, now)
    tags = flow.pool.tags.queue(flow.name)
    tags.floor, tags.weight = flow.shares(now)
    flow.pool.tags.arrive(flow.name, size, units, now)


def _enter_lane(step: Step, now: float | None) -> None:
    """A step stands in its lane while a unit of it waits."""
    lanes = step.flow.lanes
    if step.units and step.lane is not None:
        step.lane.tested_at = -1
    elif step.units and now is not None:
        lanes.setdefault(step.shape, Lane(step.spec.needs)).add(step, now)
    elif step.lane is not None:
        step.lane.remove(step)
        if not lanes[step.shape]:
            del lanes[step.shape]
