"""The first unit of a queue that fits somewhere: its lanes by urgency, and of each the first steps.

What did not fit is looked at again only on the hosts that have grown since, or when a wait by choice is over.
"""

from __future__ import annotations

from itertools import islice
from math import inf

from millethead.execution.messages import Resources
from millethead.scheduling.choosing import Chooser, Chosen
from millethead.scheduling.placement import Host, holds
from millethead.scheduling.state import Flow, Lane, Pool, Step

LOOK = 8  # steps of one lane that do not fit before the lane is passed over
SCAN = 64  # steps of one lane looked at, with those that wait by choice


class UnitFinder:
    """Finds the next unit of a queue, and places for it."""

    def __init__(self, chooser: Chooser) -> None:
        self._chooser = chooser

    def first_fitting(self, flow: Flow, now: float) -> tuple[Step, Chosen] | None:
        """The most urgent unit of a queue that fits, with its place. Those for which room is kept go first."""
        for reservation in flow.pool.reservations.values():
            if reservation.step.flow is flow:
                chosen = self._try(reservation.step, flow.pool, now)
                if chosen:
                    return reservation.step, chosen
        lanes = self._lanes_worth_a_look(flow, now)
        if len(lanes) > 1:
            lanes.sort(key=lambda lane: lane.head(now))
        for lane in lanes:
            found = self._first_in_lane(lane, flow.pool, now)
            if found is not None:
                return found
        return None

    def _lanes_worth_a_look(self, flow: Flow, now: float) -> list[Lane]:
        """The lanes of which something may fit that did not at the last look."""
        pool, growth = flow.pool, flow.pool.growth
        rooms: dict[int, Resources | None] = {}
        lanes: list[Lane] = []
        for lane in flow.lanes.values():
            if lane.tested_at not in rooms:
                rooms[lane.tested_at] = pool.most_room_since(lane.tested_at)
            room = rooms[lane.tested_at]
            if now >= lane.look_at or room is None or (lane.tested_at < growth and holds(room, lane.least)):
                lanes.append(lane)
            else:
                lane.tested_at = growth
        return lanes

    def _try(self, step: Step, pool: Pool, now: float) -> Chosen:
        """Look for a place for one unit of a step, on the hosts that have grown since the last look."""
        among = None if now >= step.look_at else pool.grown_since(step.tested_at)
        if among is not None and not (among and _any_fits(step, among)):
            step.tested_at = pool.growth
            return []
        chosen = self._chooser.choose(step, pool, among, now)
        if not chosen:
            step.tested_at = pool.growth
        return chosen

    def _first_in_lane(self, lane: Lane, pool: Pool, now: float) -> tuple[Step, Chosen] | None:
        """The first step of a lane that fits. Those that wait by choice do not use up the looks, nor do those that
        need no less than one that has just found no place."""
        lane.look_at = inf
        looks = 0
        refused: Step | None = None
        for step in islice(lane, SCAN):
            if looks == LOOK:
                break
            plain = step.plain and not next(iter(step.tasks.values())).avoid
            if plain and refused is not None and _asks_no_less(step, refused):
                step.tested_at, step.look_at = pool.growth, inf
                continue
            chosen = self._try(step, pool, now)
            if chosen:
                lane.look_at = now
                return step, chosen
            if plain and step.look_at == inf:
                refused = step
            looks += step.look_at == inf
            lane.look_at = min(lane.look_at, step.look_at)
        lane.tested_at = pool.growth
        return None


def _asks_no_less(step: Step, refused: Step) -> bool:
    """Whether a step fits nowhere where another one of its lane does not."""
    return step.spec.estimate_s >= refused.spec.estimate_s and holds(step.spec.needs, refused.spec.needs)


def _any_fits(step: Step, hosts: list[Host]) -> bool:
    """Whether one of the hosts has room for a task of the step."""
    needs = step.spec.needs
    return any(holds(host.free, needs) for host in hosts)
