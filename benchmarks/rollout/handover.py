"""Voters and stewards that change hands while faults come, with real processes: what must hold, and how soon.

    .venv/bin/python benchmarks/rollout/handover.py [RUNS] [SIDE_BY_SIDE] [FIRST_SEED]    # writes results/handover.csv

Each run starts six dispatchers, the first three of which are voters and stewards at first. For 25 s faults come by the
run's seed (kill -9, pauses, cuts, one-way cuts, loss), while operators add and remove voters, give stewards' parts to
others and ask for the last slot at several dispatchers at once. Then two stewards, which are voters, go for good:
the voters are changed by hand, and the time is taken until all parts of the limits are lent again
(lease and office are 1.5 s, a steward counts as gone after 3 s). Times are in probe periods of 0.2 s.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

from runs import PERIOD, calm, ended, post, trouble

from millethead.lab.audit import done_twice, gone_at_once, most_out, most_shared, two_histories
from millethead.lab.faults import Faults
from millethead.lab.hour import SETTINGS
from millethead.lab.staffed import Staffed
from millethead.lab.table import keep

ROLLOUT = "dispatchers = 1\npools = {newer-box = 1}\nback = 25000\nlease = 3000\noffice = 1500"
NODES = 6


async def change_hands(pack: Staffed, rng: random.Random, done: list[str]) -> None:
    """Operators that change voters and stewards at random; whatever is refused changes nothing."""
    names = list(pack.nodes)
    while True:
        await asyncio.sleep(rng.uniform(0.1, 0.8))
        at, name, other = rng.choice(names), rng.choice(names), rng.choice(names)
        path, body = rng.choice(
            (("voters", {"add": name}), ("voters", {"remove": name}), ("stewards", {"replace": name, "by": other}))
        )
        status, _ = await pack.call(at, "POST", f"/fleet/{path}", body)
        done += [path] if status == 200 else []


async def play(seed: int) -> dict[str, Any]:
    rng, faults, changes = random.Random(seed), list[str](), list[str]()
    with tempfile.TemporaryDirectory() as folder:
        pack = Staffed(Path(folder), SETTINGS, Faults(seed), ROLLOUT)
        try:
            await pack.open(NODES)
            await pack.together(60)
            tasks = [
                asyncio.create_task(trouble(pack, rng, faults)),
                asyncio.create_task(change_hands(pack, random.Random(seed + 1), changes)),
            ]
            await asyncio.sleep(25)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await calm(pack)
            names = list(pack.nodes)
            for name in names:  # all vote, so that two may go
                await post(pack, "/fleet/voters", {"add": name}, "is a voter already")
            fleet = await pack.fleet(names[0])
            stewards = [s["member"] for s in fleet["stewards"]]
            gone = stewards[:2]
            left = [name for name in names if name not in gone]
            for name in gone:
                pack.down.add(name)
                pack.kill(name)
            began = time.monotonic()
            for name in gone:
                await post(pack, "/fleet/voters", {"remove": name}, "is no voter")
            voted = time.monotonic() - began

            def lent() -> float:
                last = {x.node: x for x in pack.said if x.event == "fleet_share" and x.node in left}
                return min(
                    (len({g.split(":")[0] for g in x.fields["grants"].split(",")} - set(gone)) for x in last.values()),
                    default=0,
                )

            await pack.until(lambda: lent() >= 3, 90)
            most = most_out(pack.said)
            return {
                "seed": seed,
                "faults": len(faults),
                "voters": changes.count("voters"),
                "stewards": changes.count("stewards"),
                "voted": voted / PERIOD,
                "lent": (time.monotonic() - began) / PERIOD,
                "out": max(most.values(), default=0),
                "gone": gone_at_once(pack.said),
                "twice": len(done_twice(pack.said)),
                "histories": len(two_histories(pack.said)),
                "shared": most_shared(pack.said),
                "why": "",
            }
        except AssertionError as why:
            return {"seed": seed, "why": str(why)[:600]}
        finally:
            await pack.close()


def main(runs: int, side_by_side: int, first: int) -> None:
    rows = ended(play, runs, side_by_side, first)

    def total(key: str) -> int:
        return sum(row[key] for row in rows)

    def worst(key: str) -> Any:
        return max(row[key] for row in rows)

    keep(
        Path(__file__).parent / "results" / "handover.csv",
        [
            {
                "runs": runs,
                "ended": len(rows),
                "first_seed": first,
                "faults": total("faults"),
                "voters_changed": total("voters"),
                "stewards_changed": total("stewards"),
                "max_out": 1,
                "most_out": worst("out"),
                "most_really_gone": worst("gone"),
                "steps_done_twice": total("twice"),
                "two_histories": total("histories"),
                "most_shared": round(worst("shared"), 6),
                "two_voters_out_median_periods": round(median(row["voted"] for row in rows), 1),
                "two_voters_out_most": round(worst("voted"), 1),
                "all_lent_again_median_periods": round(median(row["lent"] for row in rows), 1),
                "all_lent_again_most": round(worst("lent"), 1),
            }
        ],
    )


if __name__ == "__main__":
    args = [int(x) for x in sys.argv[1:]]
    main(*(args + [40, 3, 5000][len(args) :]))
