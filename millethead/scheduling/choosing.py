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
from millethead.scheduling.model import MIN_HOST_WEIGHT, PendingTask, WaitReason
from millethead.scheduling.placement import (
    Demand,
    Host,
    covers,
    fit_count,
    fragmentation_factor,
    place_gang,
    weighted_choice,
)
from millethead.scheduling.state import Pool, Step

MAX_CANDIDATES = 16  # fitting hosts weighed for one pick; of more, a random part
REMOTE_RUNTIME_FACTOR = 1.5  # times as long away from the data, unless the deployment says otherwise
RACK_WAIT_FACTOR = (
    1.5  # times the time that a task loses elsewhere which it may wait for the rack: ends there come often
)
GANG_RACK_WAIT_FACTOR = 0.6  # the same for a gang and one rack for all of it
RETRY_ELSEWHERE_WAIT_S = 1.0  # how long a retry waits for a worker on which it has not failed
SOUND_WORKERS_WAIT_S = 1.5  # how long a gang waits for workers whose health is not in doubt
MAX_AVOID_SETS = 3  # different sets of avoided workers tried within a step
IDLE_HOST_WEIGHT = 0.03  # weight of a host on which nothing runs, or that is slow: each one in use has to be looked at
LONG_RUNNING_SPREAD = 2.0  # how strongly a task that lasts keeps away from hosts that carry others of the kind


@dataclass(frozen=True, slots=True)
class Assignment:
    """A task, and the host that it is to go to."""

    task: PendingTask
    host: Host


Assignments = list[Assignment]  # of one unit; empty where it is not to be placed now


class HostSelector:
    """Picks the workers for units."""

    def __init__(self, random: Random, remote_factor: float = REMOTE_RUNTIME_FACTOR) -> None:
        self._random = random
        self._remote_loss = remote_factor - 1.0  # what a task loses away from its rack, as part of the estimate

    def select(self, step: Step, pool: Pool, candidates: list[Host] | None, now: float) -> Assignments:
        """Tasks of one unit with their places; empty where it is not to be placed now.

        `among` holds the hosts on which room has grown since the step was last looked at without success; None: look
        at all.
        """
        if candidates is None:
            step.retry_at = inf
        if step.spec.gang:
            return self._select_gang(step, pool, candidates, now)
        tried_avoid_sets: list[frozenset[str]] = []
        for task in step.tasks.values():
            if task.avoid in tried_avoid_sets:
                continue
            if len(tried_avoid_sets) == MAX_AVOID_SETS:
                break
            tried_avoid_sets.append(task.avoid)
            host = self._select_host(step, task, pool, candidates, now)
            if host is not None:
                return [Assignment(task, host)]
        return []

    def select_unconditionally(self, step: Step, pool: Pool, now: float) -> Assignments:
        """Tasks of one unit on whatever has room for them, the best first where there is a choice."""
        demand = step.demand(now, unconditional=True)
        if step.spec.gang:
            hosts = place_gang(demand, step.spec.count, pool.hosts, self._random)
            return _assign_members(step, hosts)
        task = next(iter(step.tasks.values()))
        fitting = self._fitting_hosts(demand, pool, None)
        best = [host for host in fitting if host.health > 0.0 and host.instance not in task.avoid] or fitting
        weights = [fit_count(host.free, step.spec.needs) * max(host.health, MIN_HOST_WEIGHT) for host in best]
        host = weighted_choice(best, weights, self._random)
        return [Assignment(task, host)] if host is not None else []

    # ---- single tasks ----------------------------------------------------------------------------------------------

    def _select_host(
        self, step: Step, task: PendingTask, pool: Pool, candidates: list[Host] | None, now: float
    ) -> Host | None:
        demand = step.demand(now, task.avoid)
        hosts = self._fitting_hosts(demand, pool, candidates)
        if not hosts and task.avoid:
            demand = step.demand(now)
            hosts = self._fitting_hosts(demand, pool, candidates)
            if hosts and self._waits_to_avoid_failed_host(step, task, pool, now):
                return None
        if hosts and step.spec.affinity:
            hosts = self._prefer_rack(step, task, hosts, pool, now)
        if len(hosts) < 2:
            return hosts[0] if hosts else None
        large_needs = None if covers(demand.needs, pool.large_needs) else pool.large_needs
        return weighted_choice(
            hosts, [self._host_weight(host, step, large_needs, pool) for host in hosts], self._random
        )

    def _fitting_hosts(self, demand: Demand, pool: Pool, candidates: list[Host] | None) -> list[Host]:
        hosts: Iterable[Host] = (
            pool.hosts.with_capacity(demand.needs, self._random) if candidates is None else candidates
        )
        return list(islice((host for host in hosts if demand.fit_on(host)), MAX_CANDIDATES))

    def _waits_to_avoid_failed_host(self, step: Step, task: PendingTask, pool: Pool, now: float) -> bool:
        """Whether a retry waits for a worker on which it has not failed."""
        until = task.waiting_since + RETRY_ELSEWHERE_WAIT_S
        demand = step.demand(now, task.avoid)
        if now >= until or not any(demand.fit_when_empty(host) and host.health > 0.0 for host in pool.hosts):
            return False
        step.wait(until, WaitReason.AVOIDING)
        return True

    def _prefer_rack(self, step: Step, task: PendingTask, hosts: list[Host], pool: Pool, now: float) -> list[Host]:
        """The hosts near the task's data; all of them once it has waited enough for these."""
        demand = step.demand(now, task.avoid)
        rack = pool.hosts.by_rack.get(step.spec.affinity, [])
        near = [host for host in rack if demand.fit_on(host)]
        if near:
            return near
        until = task.waiting_since + RACK_WAIT_FACTOR * self._remote_loss * step.spec.estimate_s
        if now < until and any(demand.fit_when_empty(host) and host.health > 0.0 for host in rack):
            step.wait(until, WaitReason.RACK)
            return []
        return hosts

    # ---- gangs -----------------------------------------------------------------------------------------------------

    def _select_gang(self, step: Step, pool: Pool, candidates: list[Host] | None, now: float) -> Assignments:
        """All members, on one rack where that matters and is worth the wait; else none."""
        avoid = frozenset[str]().union(*(task.avoid for task in step.tasks.values()))
        if not avoid:
            return self._select_gang_for(step.demand(now), step, pool, candidates, now)
        demand = step.demand(now, avoid)
        enough_elsewhere = sum(demand.fit_when_empty(host) for host in pool.hosts if host.is_sound) >= step.spec.count
        assignments = self._select_gang_for(demand, step, pool, None, now) if enough_elsewhere else []
        if assignments or step.retry_at < inf:
            return assignments
        until = max(task.waiting_since for task in step.tasks.values()) + RETRY_ELSEWHERE_WAIT_S
        if enough_elsewhere and now < until:
            step.wait(until, WaitReason.AVOIDING)
            return []
        return self._select_gang_for(step.demand(now), step, pool, None, now)

    def _select_gang_for(
        self, demand: Demand, step: Step, pool: Pool, candidates: list[Host] | None, now: float
    ) -> Assignments:
        if candidates is not None:
            step.gang_capacity_bound += sum(demand.fit_on(host) for host in candidates)
            if step.gang_capacity_bound < step.spec.count:
                return []
        usable = self._gang_hosts(step, demand, pool, now)
        step.gang_capacity_bound = sum(demand.fit_on(host) for host in usable)
        if step.gang_capacity_bound < step.spec.count:
            if len(usable) < len(pool.hosts):
                step.wait(_sound_workers_wait_end(step), WaitReason.AVOIDING)
            return []
        hosts = self._place_gang_in_rack(step, demand, pool, now) or self._place_gang_anywhere(
            step, demand, usable, pool, now
        )
        return _assign_members(step, hosts)

    def _gang_hosts(self, step: Step, demand: Demand, pool: Pool, now: float) -> list[Host]:
        """Hosts whose health is not in doubt, since one failing member ends all; any if these could never do, or had
        no room for a while."""
        is_sound = [host for host in pool.hosts if host.is_sound]
        if len(is_sound) == len(pool.hosts) or now >= _sound_workers_wait_end(step):
            return list(pool.hosts)
        enough = sum(demand.fit_when_empty(host) for host in is_sound) >= step.spec.count
        return is_sound if enough else list(pool.hosts)

    def _candidate_racks(self, step: Step, pool: Pool) -> list[list[Host]]:
        """The racks of which one should hold the whole gang."""
        if step.spec.affinity:
            return [pool.hosts.by_rack.get(step.spec.affinity, [])]
        return list(pool.hosts.by_rack.values()) if step.spec.same_rack else []

    def _place_gang_in_rack(self, step: Step, demand: Demand, pool: Pool, now: float) -> list[Host] | None:
        """Places within one rack: of those with room, the one that has least to spare."""
        fitting_by_rack = [
            (sum(demand.fit_on(host) for host in rack), rack) for rack in self._candidate_racks(step, pool)
        ]
        fitting = [entry for entry in fitting_by_rack if entry[0] >= step.spec.count]
        if not fitting:
            return None
        rack = min(fitting, key=lambda entry: entry[0])[1]
        return place_gang(demand, step.spec.count, rack, self._random)

    def _place_gang_anywhere(
        self, step: Step, demand: Demand, usable: list[Host], pool: Pool, now: float
    ) -> list[Host] | None:
        """Places on any racks, unless it still waits for one that could hold it whole."""
        since = max(task.waiting_since for task in step.tasks.values())
        until = since + GANG_RACK_WAIT_FACTOR * self._remote_loss * step.spec.estimate_s
        if now < until and any(
            sum(demand.fit_when_empty(host) for host in rack) >= step.spec.count
            for rack in self._candidate_racks(step, pool)
        ):
            step.wait(until, WaitReason.RACK)
            return None
        return place_gang(demand, step.spec.count, usable, self._random)

    # ---- weights and reasons ---------------------------------------------------------------------------------------

    def _host_weight(self, host: Host, step: Step, large_needs: Resources | None, pool: Pool) -> float:
        """Room, in such tasks, times health; less where the task would break up room for a larger one, or would be the
        only one. Tasks that last keep apart."""
        weight = fit_count(host.free, step.spec.needs) * host.health
        if (not host.runs or host.health < 1.0) and not step.spec.long_running:
            weight *= IDLE_HOST_WEIGHT
        if large_needs is not None:
            weight *= fragmentation_factor(host, step.spec.needs, large_needs)
        if step.spec.long_running:
            rack = sum(other.long_running_count for other in pool.hosts.by_rack[host.rack])
            weight /= 1.0 + LONG_RUNNING_SPREAD * host.long_running_count + rack
        return weight


def wait_reason(step: Step, pool: Pool, now: float) -> WaitReason:
    """Why no host takes a unit of the step, looked at from what changes least."""
    if now < step.retry_at < inf:
        return step.reason
    if not len(pool.hosts):
        return WaitReason.SERVICE
    demand = step.demand(now)
    accepting = [host for host in pool.hosts if host.accepts(step.spec.requires)]
    if not accepting:
        return WaitReason.LABEL
    if sum(demand.fit_when_empty(host) for host in accepting) < step.members:
        return WaitReason.TOO_LARGE
    with_free_capacity = [host for host in accepting if demand.has_room(host)]
    if not with_free_capacity:
        return WaitReason.ROOM
    within_spread = [host for host in with_free_capacity if demand.spread_capacity(host)]
    if not within_spread:
        return WaitReason.SPREAD
    sound = [host for host in within_spread if host.health > 0.0]
    if not sound:
        return WaitReason.AVOIDING
    if all(host.reservation is not None and not demand.fit_on(host) for host in sound):
        return WaitReason.RESERVED
    return WaitReason.GANG if step.spec.gang else WaitReason.TURN


def _assign_members(step: Step, hosts: list[Host] | None) -> Assignments:
    """A whole gang at these hosts, one for each member."""
    return [Assignment(task, host) for task, host in zip(step.tasks.values(), hosts, strict=True)] if hosts else []


def _sound_workers_wait_end(step: Step) -> float:
    """Until when a gang goes only to workers whose health is not in doubt."""
    return max(task.waiting_since for task in step.tasks.values()) + SOUND_WORKERS_WAIT_S
