"""Are cold workers pushed over when dispatchers are cut off? Membership's shares beside the present view and a roster.

.venv/bin/python benchmarks/members/cold.py [SEEDS]    # writes results/cold.csv
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from statistics import median

from millethead.lab.cold import MODES, ColdDay
from millethead.lab.table import keep
from millethead.lab.world import World


def names(first: int, last: int) -> list[str]:
    return [f"d{n}" for n in range(first, last)]


def halves(world: World) -> None:
    world.faults.split(names(0, 5), names(5, 10))


def alone(world: World) -> None:
    world.faults.split(*[[name] for name in names(0, 10)])


FAULTS: dict[str, Callable[[World], None]] = {
    "none": lambda world: None,
    "halves": halves,
    "each alone": alone,
    "one and the rest": lambda world: world.faults.split(names(0, 1), names(1, 10)),
    "one way": lambda world: [world.faults.one_way("d0", f"d{n}") for n in range(1, 10)] and None,
}


def main(seeds: int) -> None:
    rows = []
    for fault, inflict in FAULTS.items():
        for mode in MODES:
            loads = []
            for seed in range(seeds):
                day = ColdDay(10, mode, 100 + seed)
                day.run(10)
                inflict(day.world)
                day.run(20)  # the views have settled: what each believes is in force
                day.restart_workers()
                day.run(9)
                loads.append(day.load())
            rows.append(
                {
                    "fault": fault,
                    "mode": mode,
                    "runs": seeds,
                    "worst_of_what_it_bears_median": round(median(x.worst for x in loads), 3),
                    "worst_of_what_it_bears_most": round(max(x.worst for x in loads), 3),
                    "jobs_started_median": median(x.started for x in loads),
                }
            )
    keep(Path(__file__).parent / "results" / "cold.csv", rows)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
