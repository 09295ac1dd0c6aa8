"""Which runs are stopped for units of priority 0 that would otherwise be late.

Only runs of worse priorities are stopped, those first of which least work is thrown away: a step that checkpoints loses
only the restart, another all that it has done; a gang loses that of every member, and all of them are stopped. What is
thrown away may not exceed the worth of the unit, in core-seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from millethead.execution.messages import Resources
from millethead.scheduling.placement import Demand, Host, add, core_equivalents, fit_count
from millethead.scheduling.reservation import Plan
from millethead.scheduling.state import Pool, Run, Step

PREEMPTING_PRIORITY = 0
MAX_TASKS_PER_PLAN = 8  # tasks of one step for which room is made at once
RESTART_S = 0.5  # work lost when a run that checkpoints is stopped and started again
LONG_RUNNING_RESTART_S = 1.5  # the same for one that lasts
LONG_RUNNING_VALUE_S = 20.0  # time counted as the work of a task that lasts
MAX_WASTE_FRACTION = 1.0  # work thrown away for a unit, at most this part of its own
MAX_VICTIMS_PER_TASK = 8  # runs stopped for one unit


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """Runs to be stopped, and where that makes room."""

    victims: tuple[Run, ...]
    plan: Plan


@dataclass(frozen=True, slots=True)
class _Victim:
    """Runs that can only be stopped together, with the core-seconds that this throws away."""

    runs: tuple[Run, ...]
    waste: float


def lost_work_s(run: Run, now: float) -> float:
    """Seconds of work that a stop of the run throws away. One that was taken over may be about to end."""
    if run.step.spec.checkpoints:
        return RESTART_S
    elapsed = max(0.0, now - run.started, run.step.spec.estimate_s if run.inherited else 0.0)
    return min(elapsed, LONG_RUNNING_RESTART_S) if run.step.spec.long_running else elapsed


def plan_preemption(step: Step, pool: Pool, now: float) -> PreemptionPlan | None:
    """The cheapest runs to stop for one unit of a step, or for a few of its tasks; None if it is not worth it."""
    demand = step.demand(now)
    wanted = step.spec.count if step.spec.gang else min(MAX_TASKS_PER_PLAN, step.units)
    chosen_runs: dict[Run, None] = {}
    counts: dict[str, int] = {}
    waste = 0.0
    value = core_equivalents(step.spec.needs) * (
        LONG_RUNNING_VALUE_S if step.spec.long_running else step.spec.estimate_s
    )
    for number in range(wanted):
        candidate = _cheapest(step, demand, pool, chosen_runs, counts, now)
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


def _cheapest(
    step: Step, demand: Demand, pool: Pool, chosen_runs: dict[Run, None], counts: dict[str, int], now: float
) -> tuple[Host, float, tuple[Run, ...]] | None:
    """The host on which room for one more task costs least."""
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
    """The runs that must be stopped for so many tasks on a host, and what that wastes."""
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
    """What may be stopped on a host, a gang as a whole."""
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
