"""Where a played day lost worth: by second from the bench's report, and why jobs were late from the head's log.

Usage: ledger.py LOG REPORT [--out=FILE]

LOG is what `run --log` printed, with the control processes' lines; REPORT what `--report` wrote. Each job that was late
by its estimates is put down to its largest loss:

- head: it was not taken yet, or its head went (`unseen`);
- room: it waited for a worker;
- repeated: runs that had to be done again;
- far: it ran away from the rack of its data;
- turnover: commits, orders on their way, ends known late;
- length: the run took longer than estimated, or its end was known late with its length unknown.

Options:
  --out=FILE  where the table by windows goes, as CSV
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from docopt import docopt

from millethead.lab.table import keep

LINE = re.compile(r"^\s*(?P<at>-?\d+\.\d+) .* event=job_late (?P<fields>.*)$")
FIELD = re.compile(r"(\w+)=(\S+)")
MS = 1000.0
CAUSES = ("head", "room", "repeated", "far", "turnover", "length")


@dataclass(frozen=True, slots=True)
class LateJob:
    """A line of the log. `came`: seconds from the start of traffic."""

    came: float
    queue: str
    cause: str
    over_s: float  # beyond its objective


def late_jobs(lines: Iterator[str]) -> Iterator[LateJob]:
    """The late jobs of a log."""
    for line in lines:
        found = LINE.match(line)
        if found is not None:
            yield _late_job(float(found["at"]), dict(FIELD.findall(found["fields"])))


def _late_job(at: float, fields: dict[str, str]) -> LateJob:
    parts = {name.removesuffix("_ms"): float(value) / MS for name, value in fields.items() if name.endswith("_ms")}
    ran_elsewhere = parts["far"] and parts["ran"] > parts["estimated"]
    losses = {
        "head": parts["unseen"],
        "room": parts["waited"],
        "repeated": parts["repeated"],
        "far": parts["ran"] - parts["estimated"] if ran_elsewhere else 0.0,
        "turnover": parts["turnover"],
        "length": 0.0 if ran_elsewhere else parts["ran"] - parts["estimated"],
    }
    cause = max(CAUSES, key=lambda name: losses[name])
    return LateJob(at - parts["total"], fields["queue"], cause, parts["total"] - parts["objective"])


def windows(report: dict[str, Any], jobs: list[LateJob]) -> Iterator[dict[str, object]]:
    """A row for each window of the report."""
    seconds = [int(row["name"]) for row in report["windows"]]
    width = seconds[1] - seconds[0]
    for row, second in zip(report["windows"], seconds, strict=True):
        inside = [job for job in jobs if second <= job.came < second + width]
        causes = Counter(job.cause for job in inside)
        owed = row["n"] - row["not_owed"]
        yield {
            "second": second,
            "owed": owed,
            "in_time": row["in_aim"],
            "late": row["late"],
            "failed": row["failed"],
            "worth": row["worth"],
            "late_by_estimate": len(inside),
            **{cause: causes[cause] for cause in CAUSES},
        }


def main() -> None:
    """Print the table and the sums."""
    options = docopt(__doc__)
    report = json.loads(Path(options["REPORT"]).read_text())
    with Path(options["LOG"]).open() as lines:
        jobs = list(late_jobs(iter(lines)))
    rows = list(windows(report, jobs))
    if options["--out"]:
        keep(Path(options["--out"]), rows)
    prices = [(price[0], price[2]) for price in report["prices"] if price[2] >= 0.0005]
    sys.stdout.write(f"worth {report['G']:.3f}, served {report['served']:.3f}, parts {report['parts']}\n")
    sys.stdout.write("prices: " + ", ".join(f"{name} {price:.4f}" for name, price in prices) + "\n")
    causes = Counter(job.cause for job in jobs)
    sys.stdout.write("late by estimate: " + ", ".join(f"{name} {causes[name]}" for name in CAUSES) + "\n")


if __name__ == "__main__":
    main()
