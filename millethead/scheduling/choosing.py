"""Which workers one unit gets now, if any: retries away from where they failed, data near, gangs whole.

A unit may wait by choice for something better than what is free: a task for the rack of its data or for a worker on
which it has not failed, a gang for one rack. It waits a bounded time, noted in the step as `look_at`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from math import inf
from random import Random

from millethead.execution.messages import Resources
from millethead.scheduling.model import LEAST_WEIGHT, PendingTask, WaitReason
from millethead.scheduling.placement import (
    Demand,
    Host,
    fit_count,
    holds,
    keeps_large,
    pick,
    spread_gang,
)
from millethead.scheduling.state import Pool, Step

MOST_CANDIDATES = 16  # fitting hosts weighed for one pick; of more, a random part
FAR_TIMES = 1.5  # times as long away from the data, unless the deployment says otherwise
RACK_PATIENCE = 1.5  # times the time that a task loses elsewhere which it may wait for the rack: ends there come often
GANG_RACK_PATIENCE = 0.6  # the same for a gang and one rack for all of it
AVOID_PATIENCE_S = 1.0  # how long a retry waits for a worker on which it has not failed
DOUBT_PATIENCE_S = 1.5  # how long a gang waits for workers whose health is not in doubt
AVOID_SETS = 3  # different sets of avoided workers tried within a step
IDLE_WEIGHT = 0.03  # weight of a host on which nothing runs, or that is slow: each one in use has to be looked at
LASTING_APART = 2.0  # how strongly a task that lasts keeps away from hosts that carry others of the kind


@dataclass(frozen=True, slots=True)
class Place:
    """A task, and the host that it is to go to."""

    task: PendingTask
    host: Host


Chosen = list[Place]  # of one unit; empty where it is not to be placed now


class Chooser:
    """Picks the workers for units."""

    def __init__(self, random: Random, far_times: float = FAR_TIMES) -> None:
        self._random = random
        self._far_loss = far_times - 1.0  # what a task loses away from its rack, as part of the estimate

    def choose(self, step: Step, pool: Pool, among: list[Host] | None, now: float) -> Chosen:
        """Tasks of one unit with their places; empty where it is not to be placed now.

        `among` holds the hosts on which room has grown since the step was last looked at without success; None: look
        at all.
        """
        if among is None:
            step.look_at = inf
        if step.spec.gang:
            return self._choose_gang(step, pool, among, now)
        tried: list[frozenset[str]] = []
        for task in step.tasks.values():
            if task.avoid in tried:
                continue
            if len(tried) == AVOID_SETS:
                break
            tried.append(task.avoid)
            host = self._host_for(step, task, pool, among, now)
            if host is not None:
                return [Place(task, host)]
        return []

    def choose_unconditionally(self, step: Step, pool: Pool, now: float) -> Chosen:
        """Tasks of one unit on whatever has room for them, the best first where there is a choice."""
        demand = step.demand(now, unconditional=True)
        if step.spec.gang:
            hosts = spread_gang(demand, step.spec.count, pool.hosts, self._random)
            return _members_at(step, hosts)
        task = next(iter(step.tasks.values()))
        fitting = self._fitting(demand, pool, None)
        best = [host for host in fitting if host.health > 0.0 and host.instance not in task.avoid] or fitting
        weights = [fit_count(host.free, step.spec.needs) * max(host.health, LEAST_WEIGHT) for host in best]
        host = pick(best, weights, self._random)
        return [Place(task, host)] if host is not None else []

    # ---- single tasks ----------------------------------------------------------------------------------------------

    def _host_for(self, step: Step, task: PendingTask, pool: Pool, among: list[Host] | None, now: float) -> Host | None:
        demand = step.demand(now, task.avoid)
        hosts = self._fitting(demand, pool, among)
        if not hosts and task.avoid:
            demand = step.demand(now)
            hosts = self._fitting(demand, pool, among)
            if hosts and self._waits_for_another(step, task, pool, now):
                return None
        if hosts and step.spec.affinity:
            hosts = self._near(step, task, hosts, pool, now)
        if len(hosts) < 2:
            return hosts[0] if hosts else None
        large = None if holds(demand.needs, pool.large) else pool.large
        return pick(hosts, [self._weight(host, step, large, pool) for host in hosts], self._random)

    def _fitting(self, demand: Demand, pool: Pool, among: list[Host] | None) -> list[Host]:
        hosts: Iterable[Host] = pool.hosts.with_room(demand.needs, self._random) if among is None else among
        return list(islice((host for host in hosts if demand.at(host)), MOST_CANDIDATES))

    def _waits_for_another(self, step: Step, task: PendingTask, pool: Pool, now: float) -> bool:
        """Whether a retry waits for a worker on which it has not failed."""
        until = task.waiting_since + AVOID_PATIENCE_S
        demand = step.demand(now, task.avoid)
        if now >= until or not any(demand.at_best(host) and host.health > 0.0 for host in pool.hosts):
            return False
        step.wait(until, WaitReason.AVOIDING)
        return True

    def _near(self, step: Step, task: PendingTask, hosts: list[Host], pool: Pool, now: float) -> list[Host]:
        """The hosts near the task's data; all of them once it has waited enough for these."""
        demand = step.demand(now, task.avoid)
        rack = pool.hosts.by_rack.get(step.spec.affinity, [])
        near = [host for host in rack if demand.at(host)]
        if near:
            return near
        until = task.waiting_since + RACK_PATIENCE * self._far_loss * step.spec.estimate_s
        if now < until and any(demand.at_best(host) and host.health > 0.0 for host in rack):
            step.wait(until, WaitReason.RACK)
            return []
        return hosts

    # ---- gangs -----------------------------------------------------------------------------------------------------

    def _choose_gang(self, step: Step, pool: Pool, among: list[Host] | None, now: float) -> Chosen:
        """All members, on one rack where that matters and is worth the wait; else none."""
        avoid = frozenset[str]().union(*(task.avoid for task in step.tasks.values()))
        if not avoid:
            return self._gang_by(step.demand(now), step, pool, among, now)
        demand = step.demand(now, avoid)
        others = sum(demand.at_best(host) for host in pool.hosts if host.proven) >= step.spec.count
        chosen = self._gang_by(demand, step, pool, None, now) if others else []
        if chosen or step.look_at < inf:
            return chosen
        until = max(task.waiting_since for task in step.tasks.values()) + AVOID_PATIENCE_S
        if others and now < until:
            step.wait(until, WaitReason.AVOIDING)
            return []
        return self._gang_by(step.demand(now), step, pool, None, now)

    def _gang_by(self, demand: Demand, step: Step, pool: Pool, among: list[Host] | None, now: float) -> Chosen:
        if among is not None:
            step.room_bound += sum(demand.at(host) for host in among)
            if step.room_bound < step.spec.count:
                return []
        usable = self._usable(step, demand, pool, now)
        step.room_bound = sum(demand.at(host) for host in usable)
        if step.room_bound < step.spec.count:
            if len(usable) < len(pool.hosts):
                step.wait(_doubt_ends(step), WaitReason.AVOIDING)
            return []
        hosts = self._gang_on_racks(step, demand, pool, now) or self._gang_anywhere(step, demand, usable, pool, now)
        return _members_at(step, hosts)

    def _usable(self, step: Step, demand: Demand, pool: Pool, now: float) -> list[Host]:
        """Hosts whose health is not in doubt, since one failing member ends all; any if these could never do, or had
        no room for a while."""
        proven = [host for host in pool.hosts if host.proven]
        if len(proven) == len(pool.hosts) or now >= _doubt_ends(step):
            return list(pool.hosts)
        enough = sum(demand.at_best(host) for host in proven) >= step.spec.count
        return proven if enough else list(pool.hosts)

    def _racks(self, step: Step, pool: Pool) -> list[list[Host]]:
        """The racks of which one should hold the whole gang."""
        if step.spec.affinity:
            return [pool.hosts.by_rack.get(step.spec.affinity, [])]
        return list(pool.hosts.by_rack.values()) if step.spec.same_rack else []

    def _gang_on_racks(self, step: Step, demand: Demand, pool: Pool, now: float) -> list[Host] | None:
        """Places within one rack: of those with room, the one that has least to spare."""
        rooms = [(sum(demand.at(host) for host in rack), rack) for rack in self._racks(step, pool)]
        fitting = [entry for entry in rooms if entry[0] >= step.spec.count]
        if not fitting:
            return None
        rack = min(fitting, key=lambda entry: entry[0])[1]
        return spread_gang(demand, step.spec.count, rack, self._random)

    def _gang_anywhere(
        self, step: Step, demand: Demand, usable: list[Host], pool: Pool, now: float
    ) -> list[Host] | None:
        """Places on any racks, unless it still waits for one that could hold it whole."""
        since = max(task.waiting_since for task in step.tasks.values())
        until = since + GANG_RACK_PATIENCE * self._far_loss * step.spec.estimate_s
        if now < until and any(
            sum(demand.at_best(host) for host in rack) >= step.spec.count for rack in self._racks(step, pool)
        ):
            step.wait(until, WaitReason.RACK)
            return None
        return spread_gang(demand, step.spec.count, usable, self._random)

    # ---- weights and reasons ---------------------------------------------------------------------------------------

    def _weight(self, host: Host, step: Step, large: Resources | None, pool: Pool) -> float:
        """Room, in such tasks, times health; less where the task would break up room for a larger one, or would be the
        only one. Tasks that last keep apart."""
        weight = fit_count(host.free, step.spec.needs) * host.health
        if (not host.runs or host.health < 1.0) and not step.spec.long_running:
            weight *= IDLE_WEIGHT
        if large is not None:
            weight *= keeps_large(host, step.spec.needs, large)
        if step.spec.long_running:
            rack = sum(other.lasting for other in pool.hosts.by_rack[host.rack])
            weight /= 1.0 + LASTING_APART * host.lasting + rack
        return weight


def refusal(step: Step, pool: Pool, now: float) -> WaitReason:
    """Why no host takes a unit of the step, looked at from what changes least."""
    if now < step.look_at < inf:
        return step.reason
    if not len(pool.hosts):
        return WaitReason.SERVICE
    demand = step.demand(now)
    takers = [host for host in pool.hosts if host.takes(step.spec.requires)]
    if not takers:
        return WaitReason.LABEL
    if sum(demand.at_best(host) for host in takers) < step.members:
        return WaitReason.TOO_LARGE
    room = [host for host in takers if demand.has_room(host)]
    if not room:
        return WaitReason.ROOM
    spare = [host for host in room if demand.spare(host)]
    if not spare:
        return WaitReason.SPREAD
    sound = [host for host in spare if host.health > 0.0]
    if not sound:
        return WaitReason.AVOIDING
    if all(host.claim is not None and not demand.at(host) for host in sound):
        return WaitReason.RESERVED
    return WaitReason.GANG if step.spec.gang else WaitReason.TURN


def _members_at(step: Step, hosts: list[Host] | None) -> Chosen:
    """A whole gang at these hosts, one for each member."""
    return [Place(task, host) for task, host in zip(step.tasks.values(), hosts, strict=True)] if hosts else []


def _doubt_ends(step: Step) -> float:
    """Until when a gang goes only to workers whose health is not in doubt."""
    return max(task.waiting_since for task in step.tasks.values()) + DOUBT_PATIENCE_S
