"""Histories of the whole system in virtual time, by seed: what broke, and what it took.

    .venv/bin/python benchmarks/execution/histories.py [HISTORIES [FIRST [PROCESSES]]]    # writes results/histories.csv

A row for each history. The seed of a text's hash is fixed, so that the same seed is the same history in every process.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import structlog

from millethead.lab.system_world import History, play
from millethead.lab.table import keep

HASH_SEED = "0"
PROCESSES = 4
ENDS = ("done", "failed", "stopped", "lapsed", "broken", "alone", "crashed")
CHUNK = 8  # histories that a process takes at once


def quiet() -> None:
    """The programs' logs are not wanted here."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def one(seed: int) -> tuple[History, float]:
    """A history, and the processor time that it took (s)."""
    began = time.process_time()
    return play(seed), time.process_time() - began


def row(history: History, cpu_s: float) -> dict[str, Any]:
    ends = {how: history.ends.get(how, 0) for how in ENDS}
    return {
        "seed": history.seed,
        "rule": history.rule,
        "fault": history.fault[:200],
        "place": history.place,
        "seconds": round(history.seconds, 1),
        "events": history.events,
        "epochs": history.epochs,
        "entries": history.entries,
        "troubles": len(history.disruptions),
        "jobs": history.jobs,
        "accepted": history.accepted,
        "jobs_done": history.done,
        "jobs_failed": history.failed,
        "starts": history.starts,
        "looks": history.looks,
        **{f"ends_{how}": n for how, n in ends.items()},
        "cpu_s": round(cpu_s, 3),
    }


def report(rows: Iterable[dict[str, Any]], wall_s: float) -> None:
    """The sums, and the first history of each kind of fault."""
    rows = list(rows)
    sums: Counter[str] = Counter()
    for entry in rows:
        sums.update({name: value for name, value in entry.items() if isinstance(value, int | float)})
    print(
        f"{len(rows)} histories, {sums['seconds'] / 3600:.1f} h of virtual time, {sums['epochs']} epochs, "
        f"{sums['troubles']} troubles, {sums['jobs']} jobs, {sums['starts']} starts; "
        f"{len(rows) / wall_s:.1f} histories/s, {sums['cpu_s'] / len(rows):.2f} s of processor time each"
    )
    faults = [entry for entry in rows if entry["rule"]]
    print(f"{len(faults)} with a violation")
    for rule, count in Counter(entry["rule"] for entry in faults).most_common():
        first = min((entry for entry in faults if entry["rule"] == rule), key=lambda entry: float(entry["seconds"]))
        print(f"  {rule}: {count}, as in seed {first['seed']} ({first['place']}): {first['fault']}")


def main(histories: int, first: int, processes: int) -> int:
    began = time.time()
    with ProcessPoolExecutor(processes, initializer=quiet) as pool:
        seeds = range(first, first + histories)
        rows = [row(history, cpu_s) for history, cpu_s in pool.map(one, seeds, chunksize=CHUNK)]
    keep(Path(__file__).parent / "results" / "histories.csv", rows)
    report(rows, time.time() - began)
    return int(any(entry["rule"] for entry in rows))


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.execve(sys.executable, [sys.executable, *sys.argv], {**os.environ, "PYTHONHASHSEED": HASH_SEED})
    numbers = [int(argument) for argument in sys.argv[1:]]
    sys.exit(main(*[*numbers, *[500, 0, PROCESSES][len(numbers) :]]))
