"""Selects the workers for one unit: retries avoid workers on which they failed, tasks run near their data, gangs are
placed whole.

A unit may be delayed although a worker is free: a task may wait for the rack of its data or for a worker on which it
has not failed, and a gang may wait for one rack. The delay is bounded, and `Step.retry_at` holds the time of the next
attempt.
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

MAX_CANDIDATES = 16  # fitting hosts considered for one choice; if more fit, a random subset is used
REMOTE_RUNTIME_FACTOR = 1.5  # default ratio of a task's runtime away from the rack of its data to its runtime there
# Maximum wait for the rack of the data, as a multiple of the runtime lost elsewhere. It exceeds 1 because runs in the
# rack end often.
RACK_WAIT_FACTOR = 1.5
GANG_RACK_WAIT_FACTOR = 0.6  # the same multiple for a gang that waits for a single rack
RETRY_ELSEWHERE_WAIT_S = 1.0  # how long a retry waits for a worker on which it has not failed
SOUND_WORKERS_WAIT_S = 1.5  # how long a gang is restricted to workers in state SOUND
MAX_AVOID_SETS = 3  # distinct sets of avoided workers tried for one step
# Weight factor of an idle or slow host: every host in use has to be polled, so fewer hosts cost less.
IDLE_HOST_WEIGHT = 0.03
LONG_RUNNING_SPREAD = 2.0  # strength of the anti-affinity between long-running tasks


@dataclass(frozen=True, slots=True)
class Assignment:
    """A task and the host on which it is to run."""

    task: PendingTask
    host: Host


Assignments = list[Assignment]  # the tasks of one unit; empty if the unit cannot be placed now


class HostSelector:
    """Selects the hosts on which a unit runs."""

    def __init__(self, random: Random, remote_factor: float = REMOTE_RUNTIME_FACTOR) -> None:
        self._random = random
        self._remote_loss = remote_factor - 1.0  # extra runtime away from the data, as a fraction of the estimate

    def select(self, step: Step, pool: Pool, candidates: list[Host] | None, now: float) -> Assignments:
        """Returns the tasks of one unit with their hosts, or an empty list if no unit of the step can be placed now.

        `candidates` holds the hosts whose free resources have grown since the last failed attempt for the step. None
        means that all hosts are considered.
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
        """Places one unit of a starving step on any hosts with enough free resources.

        Health and reservations are ignored. A single task still prefers healthy hosts on which it has not failed.
        """
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
        """Returns whether a retry keeps waiting for a worker on which it has not failed."""
        until = task.waiting_since + RETRY_ELSEWHERE_WAIT_S
        demand = step.demand(now, task.avoid)
        if now >= until or not any(demand.fit_when_empty(host) and host.health > 0.0 for host in pool.hosts):
            return False
        step.wait(until, WaitReason.AVOIDING)
        return True

    def _prefer_rack(self, step: Step, task: PendingTask, hosts: list[Host], pool: Pool, now: float) -> list[Host]:
        """Returns the hosts in the rack of the task's data, or all hosts once the task has waited long enough for that
        rack.

        The list is empty while the task still waits.
        """
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
        """Places all members of a gang or none.

        Hosts on which a member failed are avoided for a bounded time if the other hosts could hold the gang.
        """
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
        """Returns the hosts that a gang may use: those in state SOUND, since one failing member ends the whole gang.

        All hosts are returned if the sound hosts could not hold the gang even when empty, or once the gang has waited
        long enough for them.
        """
        sound_hosts = [host for host in pool.hosts if host.is_sound]
        if len(sound_hosts) == len(pool.hosts) or now >= _sound_workers_wait_end(step):
            return list(pool.hosts)
        enough = sum(demand.fit_when_empty(host) for host in sound_hosts) >= step.spec.count
        return sound_hosts if enough else list(pool.hosts)

    def _candidate_racks(self, step: Step, pool: Pool) -> list[list[Host]]:
        """Returns the racks, one of which should hold the whole gang."""
        if step.spec.affinity:
            return [pool.hosts.by_rack.get(step.spec.affinity, [])]
        return list(pool.hosts.by_rack.values()) if step.spec.same_rack else []

    def _place_gang_in_rack(self, step: Step, demand: Demand, pool: Pool, now: float) -> list[Host] | None:
        """Places the gang in one rack: of the racks that can hold it, the one with the least spare capacity."""
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
        """Places the gang across racks, unless it still waits for a rack that could hold all members."""
        since = max(task.waiting_since for task in step.tasks.values())
        until = since + GANG_RACK_WAIT_FACTOR * self._remote_loss * step.spec.estimate_s
        if now < until and any(
            sum(demand.fit_when_empty(host) for host in rack) >= step.spec.count
            for rack in self._candidate_racks(step, pool)
        ):
            step.wait(until, WaitReason.RACK)
            return None
        return place_gang(demand, step.spec.count, usable, self._random)

    # ---- weights ---------------------------------------------------------------------------------------------------

    def _host_weight(self, host: Host, step: Step, large_needs: Resources | None, pool: Pool) -> float:
        """Returns the weight of a host in the random choice: the number of such tasks that fit, times the host's
        health.

        The weight is lower if the task would be the only one on the host, or if it would fragment resources that a
        larger task needs. Long-running tasks get lower weights near other long-running tasks.
        """
        weight = fit_count(host.free, step.spec.needs) * host.health
        if (not host.runs or host.health < 1.0) and not step.spec.long_running:
            weight *= IDLE_HOST_WEIGHT
        if large_needs is not None:
            weight *= fragmentation_factor(host, step.spec.needs, large_needs)
        if step.spec.long_running:
            in_rack = sum(other.long_running_count for other in pool.hosts.by_rack[host.rack])
            weight /= 1.0 + LONG_RUNNING_SPREAD * host.long_running_count + in_rack
        return weight


def wait_reason(step: Step, pool: Pool, now: float) -> WaitReason:
    """Returns why no host accepts a unit of the step. Causes that rarely change are checked first."""
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
    """Pairs each member of a gang with one of the hosts."""
    return [Assignment(task, host) for task, host in zip(step.tasks.values(), hosts, strict=True)] if hosts else []


def _sound_workers_wait_end(step: Step) -> float:
    """Returns the time until which a gang is restricted to workers in state SOUND."""
    return max(task.waiting_since for task in step.tasks.values()) + SOUND_WORKERS_WAIT_S
