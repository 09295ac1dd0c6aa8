"""An hour compressed to minutes: the real program, stand-in workers, both protocols (millethead/lab/hour.py).

Usage: hour.py [--seconds=N] [--speed=N] [--seed=N] [--out=FILE]

Options:
  --seconds=N  simulated seconds [default: 3600]
  --speed=N    how much faster than time [default: 20]
  --seed=N     [default: 1]
  --out=FILE   where the table goes [default: benchmarks/waiting/results/hour.csv]
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import structlog
from docopt import docopt

from millethead.lab.hour import Hour
from millethead.lab.table import keep


def main() -> int:
    args = docopt(__doc__ or "")
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    hour = Hour(float(args["--seconds"]), float(args["--speed"]), int(args["--seed"]))
    rows = asyncio.run(hour.play())
    keep(Path(args["--out"]), rows)
    wrong = hour.wrong()
    for line in wrong[:40]:
        print("WRONG", line)
    print(
        f"{len(hour.jobs)} jobs, {len(wrong)} wrong, {hour.returned} times back to wait, longest over its bound "
        f"{max(hour.over(job) for job in hour.jobs.values()):.4f}"
    )
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
