"""Seeded histories of an emulated core: whether all held, and how long the core was without a head.

Usage: python benchmarks/replication/histories.py [--first SEED] [--count N] [--processes P] [--mutants]

Plays the histories of N seeds in P processes and writes one line a history to results/histories.csv; with `--mutants`
plays, for each wrong core of `lab.core_mutants`, histories until one shows it, and writes results/mutants.csv. Ends
with 1 where a history had a fault, or a mutant was not noticed in N histories.
"""

import argparse
import csv
import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from multiprocessing import Pool
from pathlib import Path
from statistics import median

from millethead.lab.core_mutants import MUTANTS
from millethead.lab.core_world import History, play

RESULTS = Path(__file__).parent / "results"
COLUMNS = (
    "seed",
    "members",
    "fault",
    "events",
    "entries",
    "orders",
    "jobs",
    "views",
    "wipes",
    "serving_s",
    "longest_gap_s",
)


@dataclass(frozen=True)
class Caught:
    """After how many histories a mutant was noticed (0: not at all), by which seed and fault, in which time."""

    mutant: str
    histories: int
    seed: int
    fault: str
    processor_s: float


def row(history: History) -> dict[str, object]:
    found = asdict(history)
    found["serving_s"], found["longest_gap_s"] = round(history.serving_s, 2), round(history.longest_gap_s, 2)
    return {name: found[name] for name in COLUMNS}


def write(name: str, columns: Iterable[str], rows: Iterable[dict[str, object]]) -> None:
    RESULTS.mkdir(exist_ok=True)
    with (RESULTS / name).open("w", newline="") as file:
        writer = csv.DictWriter(file, list(columns), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def played(seeds: range, processes: int) -> Iterator[History]:
    with Pool(processes) as pool:
        yield from pool.imap_unordered(play, seeds, chunksize=10)


def play_histories(seeds: range, processes: int) -> bool:
    """Whether everything held."""
    began, histories = time.monotonic(), []
    for history in played(seeds, processes):
        histories.append(history)
        if history.fault:
            print(f"seed {history.seed}: {history.fault}", flush=True)
    histories.sort(key=lambda history: history.seed)
    write("histories.csv", COLUMNS, map(row, histories))
    faults = sum(bool(history.fault) for history in histories)
    print(
        f"{len(histories)} histories, {faults} with a fault, {time.monotonic() - began:.0f} s; "
        f"{sum(history.entries for history in histories)} entries, "
        f"{sum(history.views for history in histories)} views, "
        f"{sum(history.wipes for history in histories)} disks lost; after the troubles a head served within "
        f"{median(history.serving_s for history in histories):.2f} s (median), "
        f"{max(history.serving_s for history in histories):.2f} s (longest)"
    )
    return faults == 0


def catch(name: str, seeds: range) -> Caught:
    """Play histories with a mutant until one shows it."""
    began = time.process_time()
    for seed in seeds:
        with MUTANTS[name]():
            fault = play(seed).fault
        if fault:
            return Caught(name, seed - seeds.start + 1, seed, fault, round(time.process_time() - began, 1))
    return Caught(name, 0, 0, "", round(time.process_time() - began, 1))


def catch_all(seeds: range, processes: int) -> bool:
    """Whether every mutant was noticed."""
    with Pool(processes) as pool:
        found = pool.starmap(catch, [(name, seeds) for name in MUTANTS], chunksize=1)
    write("mutants.csv", Caught.__annotations__, [asdict(caught) for caught in found])
    for caught in found:
        print(f"{caught.mutant}: {caught.histories or 'not noticed'} ({caught.fault})")
    return all(caught.histories for caught in found)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--mutants", action="store_true")
    wanted = parser.parse_args()
    seeds = range(wanted.first, wanted.first + wanted.count)
    held = catch_all(seeds, wanted.processes) if wanted.mutants else play_histories(seeds, wanted.processes)
    return 0 if held else 1


if __name__ == "__main__":
    raise SystemExit(main())
