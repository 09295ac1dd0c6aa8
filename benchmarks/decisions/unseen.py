"""Workloads drawn at random round the one on record, on the screen: with room left to better priorities, and without.

Usage: unseen.py [--workloads=N] [--days=N] [--processes=N] [--first=SEED] [--out=FILE]

Each workload differs in its workers, racks, widths, lengths, shares of kinds, estimates and load (0.6 to 1.3), and has
a burst and a cut of workers. The rows are paired: the same days with both settings.

Options:
  --workloads=N  how many [default: 8]
  --days=N       seeds of each [default: 4]
  --processes=N  at once [default: 2]
  --first=SEED   of the draw [default: 1000]
  --out=FILE     where the table goes [default: benchmarks/decisions/results/unseen.csv]
"""

from __future__ import annotations

from multiprocessing import Pool
from pathlib import Path
from random import Random
from statistics import mean, stdev
from unittest import mock

from docopt import docopt
from msgspec.structs import replace

from millethead.lab.screen.history import DayHistory
from millethead.lab.screen.judge import Earned, judge
from millethead.lab.screen.workload import RequestKind, Spread, Trouble, Workload, read_workload
from millethead.lab.table import keep
from millethead.scheduling import priority_headroom
from millethead.scheduling.scheduler import Scheduler

RECORD = Path(__file__).parent / "workloads" / "short-and-wide.toml"
LOADS = (0.6, 1.3)


def draw(seed: int) -> Workload:
    """One workload."""
    random = Random(seed)
    base = read_workload(RECORD)
    workers = random.randint(20, 80)
    load = random.uniform(*LOADS) * workers / base.fleet.workers
    return replace(
        base,
        name=f"unseen-{seed}",
        fleet=replace(base.fleet, workers=workers, per_rack=random.choice((4, 8, 16))),
        kinds=tuple(_draw_kind(kind, load, random) for kind in base.kinds),
        troubles=(
            Trouble("burst", random.uniform(8.0, 20.0), 4.0, x=random.uniform(1.5, 2.5), kind_of_request="short"),
            Trouble("cut", random.uniform(8.0, 20.0), 5.0, share=random.uniform(0.05, 0.2)),
        ),
    )


def _draw_kind(kind: RequestKind, load: float, random: Random) -> RequestKind:
    wider, longer = random.uniform(0.5, 2.0), random.uniform(0.5, 2.0)
    share = random.uniform(0.5, 1.6)
    return replace(
        kind,
        per_s=kind.per_s * load * share / (wider * longer),
        width=_scaled(kind.width, wider),
        task_s=_scaled(kind.task_s, longer),
        estimate_off=kind.estimate_off * random.uniform(0.3, 1.2),
        near_share=kind.near_share * random.uniform(0.0, 1.5),
    )


def _scaled(spread: Spread, factor: float) -> Spread:
    return replace(spread, mean=max(1.0, spread.mean * factor) if spread.mean >= 1.0 else spread.mean * factor)


def play(task: tuple[int, int, float]) -> Earned:
    """One day of a workload with a setting."""
    workload_seed, day, room = task
    workload = draw(workload_seed)
    with mock.patch.object(priority_headroom, "HEADROOM_FACTOR", room):
        return judge(workload, DayHistory(workload, day, Scheduler).play())


def row(seed: int, before: list[Earned], after: list[Earned]) -> dict[str, object]:
    """One line of the table."""
    differences = [new.worth - old.worth for old, new in zip(before, after, strict=True)]
    spread = 1.96 * stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
    return {
        "workload": seed,
        "without": round(mean(old.worth for old in before), 3),
        "with": round(mean(new.worth for new in after), 3),
        "difference": round(mean(differences), 3),
        "interval": round(spread, 3),
        "worst_kind_without": round(mean(old.worst_kind for old in before), 3),
        "worst_kind_with": round(mean(new.worst_kind for new in after), 3),
    }


def main() -> None:
    """Play all and keep the table."""
    options = docopt(__doc__)
    first, days = int(options["--first"]), int(options["--days"])
    seeds = range(first, first + int(options["--workloads"]))
    tasks = [
        (seed, day, room) for seed in seeds for room in (0.0, priority_headroom.HEADROOM_FACTOR) for day in range(days)
    ]
    with Pool(int(options["--processes"])) as pool:
        played = iter(pool.map(play, tasks, chunksize=1))
    rows = []
    for seed in seeds:
        before, after = ([next(played) for _ in range(days)] for _ in range(2))
        rows.append(row(seed, before, after))
    keep(Path(options["--out"]), rows)


if __name__ == "__main__":
    main()
