"""Releases under faults, with real processes: the most ever out, steps done twice, time to halt and to undo.

    .venv/bin/python benchmarks/rollout/runs.py [RUNS] [SIDE_BY_SIDE] [FIRST_SEED]    # writes results/runs.csv

Each run starts three dispatchers that are all voters, with workers and a load, and releases a good version while faults
come by the run's seed: kill -9 (started anew), a pause, cuts, one-way cuts, a lossy network, and operators that ask for
slots at several dispatchers at once. Then, with no fault, a bad version is released, halts, and is undone. Times are in
probe periods of 0.2 s.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

from millethead.lab.audit import done_twice, gone_at_once, most_out, most_shared
from millethead.lab.faults import Faults, Link
from millethead.lab.hour import SETTINGS
from millethead.lab.staffed import Staffed
from millethead.lab.table import keep

PERIOD = 0.2  # s
Play = Callable[[int], Coroutine[Any, Any, dict[str, Any]]]  # one run by its seed
ROLLOUT = "dispatchers = 1\npools = {newer-box = 1}\nback = 25000\nlease = 60000"


async def trouble(pack: Staffed, rng: random.Random, done: list[str]) -> None:
    """Faults until it is cancelled, each of which ends."""
    names = list(pack.nodes)
    while True:
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        name, what = rng.choice(names), rng.choice(("kill", "pause", "cut", "one way", "loss", "ask"))
        done.append(what)
        if what == "kill":
            pack.kill(name)
        elif what == "pause":
            pack.signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            pack.signal(name, signal.SIGCONT)
        elif what in ("cut", "one way"):
            other = rng.choice([n for n in names if n != name])
            if what == "cut":
                pack.faults.split({name}, set(names) - {name})
            else:
                pack.faults.one_way(name, other)
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            pack.faults.heal()
        elif what == "loss":
            pack.faults.link = Link(loss=0.2, twice=0.1, jitter=0.05)
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            pack.faults.link = Link()
        else:
            worker, other = f"s-{rng.randrange(1, 4):08x}", f"s-{rng.randrange(1, 4):08x}"
            asked = {"worker": worker}, {"worker": other}, {"member": rng.choice(names)}
            await asyncio.gather(
                *(pack.call(n, "POST", "/fleet/drain", body) for n, body in zip(names, asked, strict=False))
            )
            await asyncio.sleep(1.0)
            await pack.good_list.change(worker, since_ms=int(time.time() * 1000))
            for n in range(1, 4):
                await pack.call(names[0], "POST", "/fleet/undo", {"worker": f"s-{n:08x}"})


async def calm(pack: Staffed) -> None:
    """No fault any more, and all see each other."""
    pack.faults.heal()
    pack.faults.link = Link()
    for name in pack.nodes:
        pack.signal(name, signal.SIGCONT)
    await pack.together(60)


async def post(pack: Staffed, path: str, body: Any, *yes: str) -> None:
    """Have a call agreed, at whichever dispatcher answers; one that a fault ate is put again, and a no with one of
    `yes` says that it is so already."""
    until, text = time.monotonic() + 60, ""
    while time.monotonic() < until:
        for name in pack.nodes:
            status, text = await pack.call(name, "POST", path, body)
            if status == 200 or (status == 409 and any(so in text for so in yes)):
                return
        await asyncio.sleep(0.2)
    raise AssertionError(f"seed {pack.faults.seed}: {path} {body} was not agreed: {text}")


async def ends(pack: Staffed, wanted: tuple[str, ...], seconds: float) -> str:
    """Wait until some dispatcher says that the release is in one of these; a halt by a fault is resumed."""
    until = time.monotonic() + seconds
    said = ""
    while time.monotonic() < until:
        for name in pack.nodes:
            said = await pack.release(name)
            if said in wanted:
                return said
            if said == "halted":
                await pack.call(name, "POST", "/fleet/resume")
        await asyncio.sleep(0.05)
    raise AssertionError(f"seed {pack.faults.seed}: still {said}")


async def play(seed: int) -> dict[str, Any]:
    rng, done = random.Random(seed), list[str]()
    with tempfile.TemporaryDirectory() as folder:
        pack = Staffed(Path(folder), SETTINGS, Faults(seed), ROLLOUT)
        pack.rate = 15.0
        try:
            await pack.open(3)
            await pack.together(60)
            pack.load()
            await asyncio.sleep(1.0)
            quiet = pack.total(-1, -2)
            faults = asyncio.create_task(trouble(pack, rng, done))
            try:
                plan = {
                    "version": "2",
                    "steps": [["d0"], ["d1", "d2"]],
                    "soak_s": 2.0,
                    "health": {"errors": 1.0, "refusals": 1.0, "slower": 1000},
                }
                await post(pack, "/fleet/release", plan, "is running")
                await ends(pack, ("done",), 180)
            finally:
                faults.cancel()
                await asyncio.gather(faults, return_exceptions=True)
            await calm(pack)
            lost_in_faults = pack.total(-1, -2) - quiet
            # a bad version with nothing else wrong: how soon it is halted, and undone
            pack.bad.add("3")
            victim = rng.choice(list(pack.nodes))
            await asyncio.sleep(1.0)
            plan = {"version": "3", "steps": [[victim]], "soak_s": 60, "health": {"least": 10}}
            await post(pack, "/fleet/release", plan, "is running")
            until = time.monotonic() + 60
            while pack.nodes[victim].version != "3" and time.monotonic() < until:
                await asyncio.sleep(0.02)
            began, before = time.monotonic(), pack.total(-1, -2)
            while "halted" not in [await pack.release(name) for name in pack.nodes]:
                await asyncio.sleep(0.05)
                if time.monotonic() > began + 60:
                    raise AssertionError(f"seed {seed}: not halted")
            halted = time.monotonic() - began
            began = time.monotonic()
            await post(pack, "/fleet/undo", {}, "no release to undo")
            await ends(pack, ("undone",), 60)
            undone = time.monotonic() - began
            await asyncio.sleep(0.5)
            most = most_out(pack.said)
            return {
                "seed": seed,
                "faults": len(done),
                "most_dispatchers_out": most.get("dispatchers", 0),
                "most_really_gone": gone_at_once(pack.said),
                "most_workers_out": most.get("workers:newer-box", 0),
                "steps_twice": len(done_twice(pack.said)),
                "paid_twice": len(pack.twice()),
                "halt": halted / PERIOD,
                "undo": undone / PERIOD,
                "served": pack.total(200),
                "no_answer_while_drained": pack.total(-1, -2) - before,
                "no_answer_in_faults": lost_in_faults,
                "most_shared": most_shared(pack.said),
                "why": "",
            }
        except AssertionError as why:
            return {"seed": seed, "why": str(why)[:300]}
        finally:
            await pack.close()


def one(play: Play, seed: int) -> dict[str, Any]:
    return asyncio.run(play(seed))


def ended(play: Play, runs: int, side_by_side: int, first: int) -> list[dict[str, Any]]:
    """What each run by its seed found; those that did not end are printed and left out."""
    with ProcessPoolExecutor(side_by_side) as pool:
        rows = list(pool.map(partial(one, play), range(first, first + runs)))
    for row in rows:
        if row["why"]:
            print("not ended:", row)
    return [row for row in rows if not row["why"]]


def main(runs: int, side_by_side: int, first: int) -> None:
    rows = ended(play, runs, side_by_side, first)

    def worst(key: str) -> Any:
        return max(row[key] for row in rows)

    keep(
        Path(__file__).parent / "results" / "runs.csv",
        [
            {
                "runs": runs,
                "ended": len(rows),
                "first_seed": first,
                "faults": sum(row["faults"] for row in rows),
                "max_out": 1,
                "most_dispatchers_out": worst("most_dispatchers_out"),
                "most_really_gone": worst("most_really_gone"),
                "most_workers_out": worst("most_workers_out"),
                "steps_done_twice": sum(row["steps_twice"] for row in rows),
                "paid_booking_run_twice": sum(row["paid_twice"] for row in rows),
                "halt_median_periods": round(median(row["halt"] for row in rows), 1),
                "halt_most": round(worst("halt"), 1),
                "undo_median_periods": round(median(row["undo"] for row in rows), 1),
                "undo_most": round(worst("undo"), 1),
                "jobs_served": sum(row["served"] for row in rows),
                "no_answer_while_drained": sum(row["no_answer_while_drained"] for row in rows),
                "no_answer_with_kills_and_pauses": sum(row["no_answer_in_faults"] for row in rows),
                "most_shared": round(worst("most_shared"), 6),
            }
        ],
    )


if __name__ == "__main__":
    args = [int(x) for x in sys.argv[1:]]
    main(*(args + [100, 5, 1000][len(args) :]))
