"""How long a core is without a head after a loss, by phase, in virtual time.

Usage: python benchmarks/replication/recovery.py [--count N] [--processes P]

Plays N losses of each kind with a core of three and one of six members, whose heads have 12 and 160 agents to welcome,
and writes results/recovery.csv: seconds from the loss until a view was proposed (suspicion, restart), until it was
adopted by a member, and until its head served; median, 99th of 100 and worst. The restart of a process is a given time
here, `core_load.BACK_S`.
"""

import argparse
import csv
from collections.abc import Iterator
from multiprocessing import Pool
from pathlib import Path

import numpy

from millethead.lab.core_load import LoadedCore, Loss, LossKind, LossOutcome
from millethead.lab.core_machine import AgentLoad

RESULTS = Path(__file__).parent / "results"
RECORD_S = 0.0008
CORES = {
    "3 members, 12 agents": LoadedCore(3, 1, AgentLoad(12, record_s=RECORD_S)),
    "6 members, 160 agents": LoadedCore(6, 2, AgentLoad(160, record_s=RECORD_S)),
}
PHASES = ("proposed_s", "adopted_s", "serving_s")


def play(task: tuple[int, str, LossKind]) -> LossOutcome:
    seed, core, kind = task
    return Loss(seed, CORES[core], kind).play()


def figures(outcomes: list[LossOutcome]) -> Iterator[tuple[str, float]]:
    """The columns of a row, by name."""
    yield "views", float(numpy.mean([outcome.views for outcome in outcomes]))
    yield "most_views", max(outcome.views for outcome in outcomes)
    yield "most_heads", max(outcome.heads for outcome in outcomes)
    for phase in PHASES:
        values = [getattr(outcome, phase) for outcome in outcomes]
        for name, value in zip(("p50", "p99", "worst"), numpy.percentile(values, (50, 99, 100)), strict=True):
            yield f"{phase}_{name}", float(value)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--processes", type=int, default=1)
    wanted = parser.parse_args()
    rows = []
    with Pool(wanted.processes) as pool:
        for core in CORES:
            for kind in LossKind:
                tasks = [(seed, core, kind) for seed in range(wanted.count)]
                found = dict(figures(pool.map(play, tasks, chunksize=4)))
                row = {"core": core, "loss": kind.value, "losses": wanted.count}
                rows.append({**row, **{name: round(value, 3) for name, value in found.items()}})
                print(rows[-1], flush=True)
    with (RESULTS / "recovery.csv").open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


if __name__ == "__main__":
    main()
