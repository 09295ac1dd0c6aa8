"""How soon a killed member is found, and how often a live one is declared dead, against loss and the fleet's size.

    .venv/bin/python benchmarks/members/detect.py [SEEDS]    # writes results/detect.csv

Virtual time, the real decisions at their default figures (a probe every 0.5 s). Times are in probe periods, so that
they hold for any period. Bytes are those of sealed datagrams.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import numpy as np

from millethead.lab.faults import Link
from millethead.lab.table import keep
from millethead.lab.world import World
from millethead.members.messages import Message, State
from millethead.members.peers import SwimSettings
from millethead.members.wire import MemberCodec

WARM, QUIET, MOST = 10.0, 60.0, 60.0  # s
TUNE = SwimSettings(stewards=("d0", "d1", "d2"))


def one(fleet: int, loss: float, seed: int) -> tuple[float, float, int, int, float, float]:
    """(first, all: periods from the kill to the finding; false deaths and suspicions in the quiet time; bytes a member
    and second; the largest sum of shares)"""
    world, codec = World(fleet, seed, TUNE, Link(loss=loss)), MemberCodec(b"k" * 32, "fleet")
    sizes = 0

    def sent(name: str, message: Message) -> None:
        nonlocal sizes
        sizes += len(codec.encode(message))

    world.run(WARM)
    before = sum(m.counts["deaths"] for m in world.members.values())
    suspected = sum(m.counts["suspicions"] for m in world.members.values())
    world.sent = sent
    world.run(QUIET)
    world.sent = None
    false = sum(m.counts["deaths"] for m in world.members.values()) - before
    suspected = sum(m.counts["suspicions"] for m in world.members.values()) - suspected
    rate = sizes / fleet / QUIET
    name = f"d{fleet - 1}"
    rest = [n for n in world.members if n != name]
    world.killed.add(name)
    at, first, last = world.now, 0.0, 0.0
    while not last and world.now - at < MOST:
        world.run(0.1)
        found = [world.view(n, name) == State.DEAD for n in rest]
        first = first or (world.now - at if any(found) else 0.0)
        last = world.now - at if all(found) else 0.0
    return first / TUNE.period_s, (last or MOST) / TUNE.period_s, false, suspected, rate, world.most / 2**30


def main(seeds: int) -> None:
    rows: list[dict[str, Any]] = []
    with ProcessPoolExecutor() as pool:
        for fleet in (5, 10, 20, 40):
            for loss in (0.0, 0.1, 0.2, 0.3):
                runs = list(pool.map(one, [fleet] * seeds, [loss] * seeds, range(seeds)))
                first, last, false, suspected, rate, shared = (np.array(x) for x in zip(*runs, strict=True))
                rows.append(
                    {
                        "fleet": fleet,
                        "loss": loss,
                        "runs": seeds,
                        "first_found_median": round(float(np.median(first)), 1),
                        "first_found_p99": round(float(np.percentile(first, 99)), 1),
                        "all_found_median": round(float(np.median(last)), 1),
                        "all_found_p99": round(float(np.percentile(last, 99)), 1),
                        "suspicions_per_member_hour": round(float(suspected.sum() / (seeds * fleet * QUIET / 3600)), 2),
                        "false_deaths_per_member_hour": round(float(false.sum() / (seeds * fleet * QUIET / 3600)), 3),
                        "bytes_per_member_s": round(float(rate.mean())),
                        "most_shared": round(float(shared.max()), 6),
                    }
                )
    keep(Path(__file__).parent / "results" / "detect.csv", rows)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 24)
