"""What an order within a queue earns under overload, in virtual time: the mean over seeds for each pair of constants.

Usage: overload.py [--seeds=N] [--loads=LIST] [--out=FILE]

`late_from`: part of the chain that must fit before the objective (`state.SAFE_START_CHAIN_FACTOR`); `size_delay`: the
weight of a job's size (`state.SIZE_DELAY_FACTOR`). The first row of each load has what stands.

Options:
  --seeds=N     histories of each [default: 10]
  --loads=LIST  parts of what the workers can do [default: 0.9,1.2,1.5]
  --out=FILE    where the table goes [default: benchmarks/scheduling/results/overload.csv]
"""

from __future__ import annotations

from dataclasses import astuple, fields
from pathlib import Path
from statistics import mean
from unittest import mock

from docopt import docopt

from millethead.lab.overload import Earned, Overload, Setting
from millethead.lab.table import keep
from millethead.scheduling import state

PAIRS = ((0.8, 0.5), (1.0, 0.5), (1.2, 1.0), (1.2, 1.5), (0.8, 1.5))


def row(load: float, late_share: float, size_delay: float, seeds: int) -> dict[str, object]:
    """One line of the table."""
    with (
        mock.patch.object(state, "SAFE_START_CHAIN_FACTOR", late_share),
        mock.patch.object(state, "SIZE_DELAY_FACTOR", size_delay),
    ):
        found = [astuple(Overload(Setting(load), seed).play()) for seed in range(seeds)]
    means = (round(mean(values), 3) for values in zip(*found, strict=True))
    named = dict(zip((field.name for field in fields(Earned)), means, strict=True))
    return {"load": load, "late_share": late_share, "size_delay": size_delay, **named}


def main() -> None:
    """Play all and keep the table."""
    options = docopt(__doc__)
    standing = (state.SAFE_START_CHAIN_FACTOR, state.SIZE_DELAY_FACTOR)
    rows = [
        row(float(load), *pair, int(options["--seeds"]))
        for load in options["--loads"].split(",")
        for pair in (standing, *PAIRS)
    ]
    keep(Path(options["--out"]), rows)


if __name__ == "__main__":
    main()
