"""Selects the runs to stop for units of priority 0 that would otherwise be late.

Only runs of lower priorities are stopped, those with the least lost work first. A step with checkpoints loses only the
restart, any other step all work done so far. If a member of a gang is stopped, all members are stopped and their lost
work counts. The lost work may not exceed the value of the unit, in core-seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from millethead.execution.messages import Resources
from millethead.scheduling.placement import Demand, Host, add, core_equivalents, fit_count
from millethead.scheduling.reservation import Plan
from millethead.scheduling.state import Pool, Run, Step

PREEMPTING_PRIORITY = 0
MAX_TASKS_PER_PLAN = 8  # tasks of one step for which runs are stopped at once
RESTART_S = 0.5  # work lost when a run with checkpoints is stopped and restarted
LONG_RUNNING_RESTART_S = 1.5  # the same for a long-running task, at most
LONG_RUNNING_VALUE_S = 20.0  # runtime that a long-running task is valued at
MAX_WASTE_FRACTION = 1.0  # lost work for a unit, at most this fraction of the unit's own work
MAX_VICTIMS_PER_TASK = 8  # runs stopped for one task


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """The runs to stop, and the hosts on which this frees resources."""

    victims: tuple[Run, ...]
    plan: Plan


@dataclass(frozen=True, slots=True)
class _Victim:
    """Runs that can only be stopped together, with the core-seconds of work that are lost."""

    runs: tuple[Run, ...]
    waste: float


def lost_work_s(run: Run, now: float) -> float:
    """Returns the seconds of work that are lost if the run is stopped.

    The start of a run inherited from an earlier head is unknown. The run may be about to end, so it is assumed to have
    run for at least its estimate.
    """
    if run.step.spec.checkpoints:
        return RESTART_S
    elapsed = max(0.0, now - run.started, run.step.spec.estimate_s if run.inherited else 0.0)
    return min(elapsed, LONG_RUNNING_RESTART_S) if run.step.spec.long_running else elapsed


def plan_preemption(step: Step, pool: Pool, now: float) -> PreemptionPlan | None:
    """Returns the cheapest runs to stop for one unit of a step or for a few of its tasks, or None if the cost is too
    high.
    """
    demand = step.demand(now)
    wanted = step.spec.count if step.spec.gang else min(MAX_TASKS_PER_PLAN, step.units)
    chosen_runs: dict[Run, None] = {}
    counts: dict[str, int] = {}
    waste = 0.0
    value = core_equivalents(step.spec.needs) * (
        LONG_RUNNING_VALUE_S if step.spec.long_running else step.spec.estimate_s
    )
    for number in range(wanted):
        candidate = _cheapest_host(step, demand, pool, chosen_runs, counts, now)
        if candidate is None or waste + candidate[1] > MAX_WASTE_FRACTION * value * (number + 1):
            if step.spec.gang or not number:
                return None
            break
        host, cost, runs = candidate
        waste += cost
        chosen_runs.update(dict.fromkeys(runs))
        counts[host.instance] = counts.get(host.instance, 0) + 1
    if not chosen_runs or len(chosen_runs) > MAX_VICTIMS_PER_TASK * wanted:
        return None
    return PreemptionPlan(tuple(chosen_runs), Plan(now, counts))


def _cheapest_host(
    step: Step, demand: Demand, pool: Pool, chosen_runs: dict[Run, None], counts: dict[str, int], now: float
) -> tuple[Host, float, tuple[Run, ...]] | None:
    """Returns the host on which stopping runs for one more task costs least, with the cost and the runs."""
    best: tuple[Host, float, tuple[Run, ...]] | None = None
    for host in pool.hosts:
        reserved_by_other = (
            host.reservation is not None
            and host.reservation.owner is not step
            and host.reservation.priority <= demand.priority
        )
        if reserved_by_other or not host.is_sound or host.health <= 0.0 or not demand.fit_when_empty(host):
            continue
        if demand.spread_capacity(host) <= counts.get(host.instance, 0):
            continue
        candidate = _victims_on(host, demand, counts.get(host.instance, 0) + 1, chosen_runs, now)
        if candidate is not None and (best is None or candidate[0] < best[1]):
            best = (host, *candidate)
    return best


def _victims_on(
    host: Host, demand: Demand, task_count: int, chosen_runs: dict[Run, None], now: float
) -> tuple[float, tuple[Run, ...]] | None:
    """Returns the cost and the runs to stop so that `task_count` tasks fit on a host, or None if they cannot fit."""
    free = host.free
    for run in host.runs:
        if run in chosen_runs or run.stopping:
            free = add(free, run.needs)
    selected: list[_Victim] = []
    for victim in sorted(_victims(host, demand, chosen_runs, now), key=lambda victim: victim.waste):
        if fit_count(free, demand.needs) >= task_count:
            break
        selected.append(victim)
        free = add(free, _freed_on(victim, host))
    if fit_count(free, demand.needs) < task_count:
        return None
    for victim in reversed(selected[:-1]):
        rest = _subtract_signed(free, _freed_on(victim, host))
        if fit_count(rest, demand.needs) >= task_count:
            free = rest
            selected.remove(victim)
    return sum(victim.waste for victim in selected), tuple(run for victim in selected for run in victim.runs)


def _victims(host: Host, demand: Demand, chosen_runs: dict[Run, None], now: float) -> list[_Victim]:
    """Returns the runs on a host that may be stopped, each gang as a whole."""
    victims: dict[int, _Victim] = {}
    for run in host.runs:
        if run in chosen_runs or run.stopping or run.step.queue.spec.priority <= demand.priority:
            continue
        runs = tuple(run.step.runs) if run.step.spec.gang else (run,)
        victim_id = id(run.step) if run.step.spec.gang else id(run)
        victims[victim_id] = _Victim(
            runs, sum(lost_work_s(member, now) * core_equivalents(member.needs) for member in runs)
        )
    return list(victims.values())


def _freed_on(victim: _Victim, host: Host) -> Resources:
    freed = Resources(0, 0, 0)
    for run in victim.runs:
        if run.instance == host.instance:
            freed = add(freed, run.needs)
    return freed


def _subtract_signed(left: Resources, right: Resources) -> Resources:
    return Resources(left.cpu - right.cpu, left.mem_mb - right.mem_mb, left.gpu - right.gpu)
