"""Which runs are stopped for units of priority 0 that would otherwise be late.

Only runs of worse priorities are stopped, those first of which least work is thrown away: a step that checkpoints loses
only the restart, another all that it has done; a gang loses that of every member, and all of them are stopped. What is
thrown away may not exceed the worth of the unit, in core-seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from millethead.execution.messages import Resources
from millethead.scheduling.placement import Demand, Host, cores, fit_count, plus
from millethead.scheduling.reservation import Plan
from millethead.scheduling.state import Pool, Run, Step

PREEMPTING_PRIORITY = 0
MOST_MEMBERS = 8  # tasks of one step for which room is made at once
RESTART_S = 0.5  # work lost when a run that checkpoints is stopped and started again
LASTING_START_S = 1.5  # the same for one that lasts
LASTING_WORTH_S = 20.0  # time counted as the work of a task that lasts
WASTE_SHARE = 1.0  # work thrown away for a unit, at most this part of its own
MOST_VICTIMS = 8  # runs stopped for one unit


@dataclass(frozen=True, slots=True)
class Clearance:
    """Runs to be stopped, and where that makes room."""

    victims: tuple[Run, ...]
    plan: Plan


@dataclass(frozen=True, slots=True)
class _Victim:
    """Runs that can only be stopped together, with the core-seconds that this throws away."""

    runs: tuple[Run, ...]
    waste: float


def lost_s(run: Run, now: float) -> float:
    """Seconds of work that a stop of the run throws away. One that was taken over may be about to end."""
    if run.step.spec.checkpoints:
        return RESTART_S
    elapsed = max(0.0, now - run.started, run.step.spec.estimate_s if run.inherited else 0.0)
    return min(elapsed, LASTING_START_S) if run.step.spec.long_running else elapsed


def clear_room(step: Step, pool: Pool, now: float) -> Clearance | None:
    """The cheapest runs to stop for one unit of a step, or for a few of its tasks; None if it is not worth it."""
    demand = step.demand(now)
    wanted = step.spec.count if step.spec.gang else min(MOST_MEMBERS, step.units)
    spent: dict[Run, None] = {}
    counts: dict[str, int] = {}
    waste = 0.0
    worth = cores(step.spec.needs) * (LASTING_WORTH_S if step.spec.long_running else step.spec.estimate_s)
    for number in range(wanted):
        found = _cheapest(step, demand, pool, spent, counts, now)
        if found is None or waste + found[1] > WASTE_SHARE * worth * (number + 1):
            if step.spec.gang or not number:
                return None
            break
        host, cost, runs = found
        waste += cost
        spent.update(dict.fromkeys(runs))
        counts[host.instance] = counts.get(host.instance, 0) + 1
    if not spent or len(spent) > MOST_VICTIMS * wanted:
        return None
    return Clearance(tuple(spent), Plan(now, counts))


def _cheapest(
    step: Step, demand: Demand, pool: Pool, spent: dict[Run, None], counts: dict[str, int], now: float
) -> tuple[Host, float, tuple[Run, ...]] | None:
    """The host on which room for one more task costs least."""
    best: tuple[Host, float, tuple[Run, ...]] | None = None
    for host in pool.hosts:
        kept = host.claim is not None and host.claim.holder is not step and host.claim.priority <= demand.priority
        if kept or not host.proven or host.health <= 0.0 or not demand.at_best(host):
            continue
        if demand.spare(host) <= counts.get(host.instance, 0):
            continue
        found = _victims_on(host, demand, counts.get(host.instance, 0) + 1, spent, now)
        if found is not None and (best is None or found[0] < best[1]):
            best = (host, *found)
    return best


def _victims_on(
    host: Host, demand: Demand, members: int, spent: dict[Run, None], now: float
) -> tuple[float, tuple[Run, ...]] | None:
    """The runs that must be stopped for so many tasks on a host, and what that wastes."""
    free = host.free
    for run in host.runs:
        if run in spent or run.stopping:
            free = plus(free, run.needs)
    chosen: list[_Victim] = []
    for victim in sorted(_victims(host, demand, spent, now), key=lambda victim: victim.waste):
        if fit_count(free, demand.needs) >= members:
            break
        chosen.append(victim)
        free = plus(free, _freed(victim, host))
    if fit_count(free, demand.needs) < members:
        return None
    for victim in reversed(chosen[:-1]):
        rest = _less(free, _freed(victim, host))
        if fit_count(rest, demand.needs) >= members:
            free = rest
            chosen.remove(victim)
    return sum(victim.waste for victim in chosen), tuple(run for victim in chosen for run in victim.runs)


def _victims(host: Host, demand: Demand, spent: dict[Run, None], now: float) -> list[_Victim]:
    """What may be stopped on a host, a gang as a whole."""
    victims: dict[int, _Victim] = {}
    for run in host.runs:
        if run in spent or run.stopping or run.step.flow.spec.priority <= demand.priority:
            continue
        runs = tuple(run.step.runs) if run.step.spec.gang else (run,)
        name = id(run.step) if run.step.spec.gang else id(run)
        victims[name] = _Victim(runs, sum(lost_s(member, now) * cores(member.needs) for member in runs))
    return list(victims.values())


def _freed(victim: _Victim, host: Host) -> Resources:
    freed = Resources(0, 0, 0)
    for run in victim.runs:
        if run.instance == host.instance:
            freed = plus(freed, run.needs)
    return freed


def _less(left: Resources, right: Resources) -> Resources:
    return Resources(left.cpu - right.cpu, left.mem_mb - right.mem_mb, left.gpu - right.gpu)
