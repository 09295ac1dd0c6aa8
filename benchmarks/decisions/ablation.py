"""Each mechanism of the scheduler off by itself, on the screen: its worth on the workload on record, and on others.

Usage: ablation.py [--days=N] [--processes=N] [--unseen=N] [--out=FILE]

A mechanism is turned off, or set to another number, by the constants that it is made of. The rows are paired: the same
days with and without; a positive figure is what the mechanism is worth.

Options:
  --days=N       seeds of each setting [default: 6]
  --processes=N  at once [default: 4]
  --unseen=N     workloads drawn at random beside the one on record [default: 6]
  --out=FILE     where the table goes [default: benchmarks/decisions/results/ablation.csv]
"""

from __future__ import annotations

import sys
from contextlib import ExitStack
from math import inf
from multiprocessing import Pool
from pathlib import Path
from statistics import mean, stdev
from unittest import mock

from docopt import docopt
from msgspec.structs import replace

from millethead.lab.screen.history import DayHistory
from millethead.lab.screen.judge import judge
from millethead.lab.screen.workload import Trouble, Workload, read_workload
from millethead.lab.table import keep
from millethead.scheduling import (
    health,
    host_selection,
    placement,
    preemption_planning,
    priority_headroom,
    reservation,
    starvation,
    state,
)
from millethead.scheduling.scheduler import Scheduler

sys.path.insert(0, str(Path(__file__).parent))
import unseen

NEVER = 1 << 30
Constant = tuple[object, str, float]  # module, name, the value that it has without the mechanism
MECHANISMS: dict[str, tuple[Constant, ...]] = {
    "room left to better priorities": ((priority_headroom, "HEADROOM_FACTOR", 0.0),),
    "wait for the rack of the data": ((host_selection, "RACK_WAIT_FACTOR", 0.0),),
    "a longer wait for it (0.6 before)": ((host_selection, "RACK_WAIT_FACTOR", 0.6),),
    "preemption": ((preemption_planning, "PREEMPTING_PRIORITY", -1),),
    "reservations": ((reservation, "LARGE_TASK_SHARE", inf),),
    "size of the job": ((state, "SIZE_DELAY_FACTOR", 0.0), (state, "OVERLOAD_SIZE_DELAY_FACTOR", 0.0)),
    "more of it under a backlog": ((state, "OVERLOAD_SIZE_DELAY_FACTOR", state.SIZE_DELAY_FACTOR),),
    "late from 1.2 of the chain (0.8)": ((state, "SAFE_START_CHAIN_FACTOR", 0.8),),
    "large room kept together": ((placement, "FRAGMENTATION_WEIGHT", 1.0),),
    "workers in use first": ((host_selection, "IDLE_HOST_WEIGHT", 1.0),),
    "retries elsewhere": ((host_selection, "RETRY_ELSEWHERE_WAIT_S", 0.0),),
    "verdicts by failures": (
        (health, "FAILURE_STREAK_LIMIT", NEVER),
        (health, "INITIAL_FAILURE_LIMIT", NEVER),
        (health, "FAILURE_MAJORITY_LIMIT", NEVER),
    ),
    "verdicts by pace": ((health, "SLOW_PACE", inf), (health, "VERY_SLOW_PACE", inf)),
    "starvation": ((starvation, "STARVATION_S", inf),),
}
CALM: tuple[Trouble, ...] = ()
TROUBLED = (
    Trouble("burst", 10.0, 4.0, x=2.2, kind_of_request="short"),
    Trouble("cut", 14.0, 5.0, share=0.13),
    Trouble("failing", 20.0, 6.0, share=0.14, x=0.45),
    Trouble("slow", 16.0, 6.0, share=0.1, x=5.0),
    Trouble("hot_rack", 22.0, 5.0, share=0.64),
)
LOADS = (1.0, 1.3)


def workloads(drawn: int) -> dict[str, Workload]:
    """All workloads by name."""
    base = read_workload(unseen.RECORD)
    found = {}
    for load in LOADS:
        kinds = tuple(replace(kind, per_s=load * kind.per_s) for kind in base.kinds)
        found[f"load {load}, calm"] = replace(base, kinds=kinds, troubles=CALM)
        found[f"load {load}, troubled"] = replace(base, kinds=kinds, troubles=TROUBLED)
    found |= {f"unseen {seed}": unseen.draw(seed) for seed in range(2000, 2000 + drawn)}
    return found


def play(task: tuple[Workload, int, str]) -> float:
    """The worth of one day without a mechanism; an empty name leaves all in place."""
    workload, seed, name = task
    with ExitStack() as stack:
        for module, constant, value in MECHANISMS.get(name, ()):
            stack.enter_context(mock.patch.object(module, constant, value))
        return judge(workload, DayHistory(workload, seed, Scheduler).play()).worth


def main() -> None:
    """Play all and keep the table."""
    options = docopt(__doc__)
    days, found = int(options["--days"]), workloads(int(options["--unseen"]))
    settings = [(name, seed) for name in found for seed in range(days)]
    tasks = [(found[name], seed, mechanism) for mechanism in ("", *MECHANISMS) for name, seed in settings]
    with Pool(int(options["--processes"])) as pool:
        played = iter(pool.map(play, tasks, chunksize=1))
    worth = {mechanism: {setting: next(played) for setting in settings} for mechanism in ("", *MECHANISMS)}
    rows = []
    for mechanism in MECHANISMS:
        for group in ("load", "unseen"):
            chosen = [setting for setting in settings if setting[0].startswith(group)]
            gains = [worth[""][setting] - worth[mechanism][setting] for setting in chosen]
            rows.append(
                {
                    "mechanism": mechanism,
                    "workloads": group,
                    "worth": round(mean(worth[""][setting] for setting in chosen), 4),
                    "gain": round(mean(gains), 4),
                    "interval": round(1.96 * stdev(gains) / len(gains) ** 0.5, 4),
                }
            )
    keep(Path(options["--out"]), rows)


if __name__ == "__main__":
    main()
