"""Two versions on the same days of the operators' bench, in turn: how far their worth and their prices differ.

Usage: paired.py play BENCH FILE --plays=LIST [--jobs=N] [--why=TEXT] VERSION=FOLDER...
       paired.py compare FILE BEFORE AFTER

`play` plays each day with each version, in turn, and adds the rows to FILE. The folders are checkouts, one of each
version, beside each other. A play is SITE:DAY:SEEDS, SEEDS a number of seeds drawn from the names of site and day, or
'own' for the day's own seed; several are separated by commas. `compare` takes the plays that both versions have: for
each site and day, and for all, it prints the mean of the paired differences with a bootstrap interval of 95%, then the
verdict, the change of the prices, and the rules broken.

Options:
  --plays=LIST  what is played
  --jobs=N      plays at once [default: 4]
  --why=TEXT    for the journal [default: paired]
"""

from __future__ import annotations

import csv
import json
import subprocess
import sys
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, fields
from math import ceil
from pathlib import Path
from random import Random
from threading import Lock
from typing import Any
from uuid import uuid4

import numpy
from docopt import docopt

SAMPLES = 10_000
LEAST_PAIRS = 3  # fewer say nothing about their spread
Z_95 = 1.96


@dataclass(frozen=True, slots=True)
class Play:
    """One day with one seed; None: the day's own."""

    site: str
    day: str
    seed: int | None


@dataclass(frozen=True, slots=True)
class Row:
    """What one play with one version came to. `worth`: less the prices, as the bench has it; `served`: before them."""

    site: str
    day: str
    seed: str
    version: str
    worth: float
    served: float
    windows: float
    failed: float
    prices: str
    broken: str


@dataclass(frozen=True, slots=True)
class Difference:
    """The mean of paired differences with its interval."""

    mean: float
    low: float
    high: float
    pairs: int
    spread: float

    @property
    def verdict(self) -> str:
        """What the plays can tell; where that is nothing, how many pairs would be needed for this difference."""
        if self.pairs < LEAST_PAIRS or not self.spread:
            return f"cannot tell with {self.pairs} pairs"
        if self.low > 0.0:
            return "better"
        if self.high < 0.0:
            return "worse"
        return f"cannot tell with {self.pairs} pairs, about {ceil((Z_95 * self.spread / self.mean) ** 2)} are needed"


def difference(values: Iterable[float]) -> Difference:
    """The mean of differences with its bootstrap interval of 95%."""
    found = numpy.array(list(values))
    generator = numpy.random.default_rng(1)
    means = generator.choice(found, (SAMPLES, len(found))).mean(axis=1)
    low, high = numpy.percentile(means, (2.5, 97.5))
    spread = float(found.std(ddof=1)) if len(found) > 1 else 0.0
    return Difference(float(found.mean()), float(low), float(high), len(found), spread)


def plays_of(text: str) -> Iterator[Play]:
    """The plays of a list as on the command line."""
    for entry in text.split(","):
        site, day, seeds = entry.split(":")
        if seeds == "own":
            yield Play(site, day, None)
            continue
        random = Random(f"{Path(site).stem} {day}")
        for _ in range(int(seeds)):
            yield Play(site, day, random.randrange(10**6, 10**9))


def play(bench: str, folder: Path, version: str, what: Play, why: str) -> Row:
    """Play one day with one version; its entry in the journal is found by a unique reason."""
    reason = f"{why}: {version} {Path(what.site).stem} {what.day} {uuid4().hex[:8]}"
    command = [bench, "run", what.site, what.day, "--jobs", "1", "--why", reason]
    if what.seed is not None:
        command += ["--seed", str(what.seed)]
    said = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    day = _journal_day(folder / "journal", reason)
    seed = "own" if what.seed is None else str(what.seed)
    if day is None:
        last = (said.stdout + said.stderr).strip().splitlines()[-1:]
        return Row(Path(what.site).stem, what.day, seed, version, 0.0, 0.0, 0.0, 0.0, "", f"not judged: {last}")
    return row_of(day, Path(what.site).stem, what.day, seed, version)


def row_of(day: dict[str, Any], site: str, name: str, seed: str, version: str) -> Row:
    """The row of a day as the journal has it."""
    parts = {entry[0]: entry[2] for entry in day["parts"]}
    prices = {entry[0]: entry[2] for entry in day["prices"] if abs(entry[2]) >= 0.0005}
    broken = "; ".join([*day["rules"], *([day["fault"]] if day["fault"] else [])])
    windows = parts.get("worst windows", 0.0)
    return Row(site, name, seed, version, day["G"], day["served"], windows, day["failed"], json.dumps(prices), broken)


def _journal_day(journal: Path, reason: str) -> dict[str, Any] | None:
    for file in sorted(journal.glob("*.json"), reverse=True):
        text = file.read_text()
        if reason in text:
            days = json.loads(text)["days"]
            return days[0] if days else None
    return None


def play_all(options: dict[str, Any]) -> None:
    """All plays with all versions; each row is kept as soon as it is there."""
    file, lock = Path(options["FILE"]), Lock()
    versions = [entry.split("=", 1) for entry in options["VERSION=FOLDER"]]
    tasks = [(name, folder, what) for what in plays_of(options["--plays"]) for name, folder in versions]

    def play_task(task: tuple[str, str, Play]) -> None:
        name, folder, what = task
        row = play(options["BENCH"], Path(folder), name, what, options["--why"])
        with lock:
            add_row(file, row)

    with ThreadPoolExecutor(int(options["--jobs"])) as pool:
        list(pool.map(play_task, tasks))


def report(rows: list[Row], before: str, after: str) -> list[str]:
    """What the rows of two versions tell, in lines."""
    by_play: dict[tuple[str, str, str], dict[str, Row]] = {}
    for row in rows:
        role = {before: "before", after: "after"}.get(row.version)
        if role is not None:
            by_play.setdefault((row.site, row.day, row.seed), {})[role] = row
    pairs = [found for found in by_play.values() if len(found) == len(("before", "after"))]
    groups: dict[str, list[dict[str, Row]]] = {}
    for found in pairs:
        row = found["before"]
        groups.setdefault(f"{row.site} {row.day}", []).append(found)
        groups.setdefault(f"{row.site}, all days", []).append(found)
    groups["all"] = pairs
    lines = [line for name, group in groups.items() for line in _group_lines(name, group)]
    lines += [f"RULE BROKEN: {row}" for pair in pairs for row in pair.values() if row.broken]
    return lines


def _group_lines(name: str, group: list[dict[str, Row]]) -> Iterator[str]:
    for figure in ("worth", "served", "windows"):
        found = difference(getattr(pair["after"], figure) - getattr(pair["before"], figure) for pair in group)
        before, after = (_mean(group, version, figure) for version in ("before", "after"))
        means = f"{before:.3f} and {after:.3f}"
        interval = f"{found.mean:+.3f} ({found.low:+.3f} to {found.high:+.3f})"
        yield f"{name:40} {figure:8} {means}: {interval}, {found.verdict}"
    yield f"{name:40} prices   " + ", ".join(_price_changes(group))


def _mean(group: list[dict[str, Row]], version: str, figure: str) -> float:
    return float(numpy.mean([getattr(pair[version], figure) for pair in group]))


def _price_changes(group: list[dict[str, Row]]) -> Iterator[str]:
    totals: dict[str, float] = {}
    for pair in group:
        for version, sign in (("before", -1.0), ("after", 1.0)):
            for kind, price in json.loads(pair[version].prices or "{}").items():
                totals[kind] = totals.get(kind, 0.0) + sign * price / len(group)
    for kind, change in sorted(totals.items(), key=lambda entry: -abs(entry[1])):
        if abs(change) >= 0.0005:
            yield f"{kind} {change:+.4f}"


def read_rows(file: Path) -> list[Row]:
    """The rows of an earlier call."""
    with file.open() as lines:
        return [_read_row(values) for values in csv.DictReader(lines)]


def _read_row(values: dict[str, str]) -> Row:
    figures = {name: float(values[name]) for name in ("worth", "served", "windows", "failed")}
    return Row(**{**values, **figures})  # type: ignore[arg-type]


def add_row(file: Path, row: Row) -> None:
    """Keep a row behind those that are there."""
    file.parent.mkdir(parents=True, exist_ok=True)
    fresh = not file.exists()
    with file.open("a", newline="") as lines:
        writer = csv.DictWriter(lines, [field.name for field in fields(Row)], lineterminator="\n")
        if fresh:
            writer.writeheader()
        writer.writerow(asdict(row))


def main() -> None:
    """Play, or compare."""
    options = docopt(__doc__)
    if options["play"]:
        play_all(options)
        return
    lines = report(read_rows(Path(options["FILE"])), options["BEFORE"], options["AFTER"])
    sys.stdout.writelines(line + "\n" for line in lines)


if __name__ == "__main__":
    main()
