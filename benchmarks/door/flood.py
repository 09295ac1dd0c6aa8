"""A flood by one tenant, with and without the door, in virtual time.

Usage: flood.py [--seconds=N] [--seeds=N] [--out=FOLDER]

The real exchange, module and door before a modelled fleet (16 workers of 2 slots). Tenant B sends bookings at its quiet
level from 50 clients; tenant A is quiet, or sends at 10 times its share; or B has one greedy client that sends ten
times as much as the 50 together. Clients that are refused with a time come back at that time (0 to 100 ms later),
twice at most; without the door they are told nothing, and come back after 1 s. `dark`: a third of the workers takes
jobs and ends none from 0.4 to 0.6 of the run.

Options:
  --seconds=N   simulated seconds [default: 120]
  --seeds=N     runs of each [default: 3]
  --out=FOLDER  [default: benchmarks/door/results]
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from typing import Any

import numpy as np
import structlog
from docopt import docopt

from millethead.admission.queue import AdmissionQueue
from millethead.admission.setup import AdmissionSetup
from millethead.decide import interface as api
from millethead.exchange import Answer, Exchange, Final, Order
from millethead.exchange.stage import Stage
from millethead.lab.clock import VirtualClock
from millethead.lab.fleet import Fleet, poisson
from millethead.lab.table import keep

CLASS = api.JobClass(deadline=15_000, aim=600, stretch=2.0, worth=10.0, effect=api.Effect.SAFE)
TENANTS = (api.Tenant(8.0, 1.0, "a"), api.Tenant(8.0, 1.0, "b"))
SETTINGS = api.Settings(
    classes=(CLASS,),
    tenants=TENANTS,
    may_probe=True,
    may_cancel=True,
    max_attempts=5,
    reports_in_answers=True,
    reports_in_probes=True,
    tick=5.0,
)
SCENES = ("quiet", "flood", "greedy", "flood dark")
WORK, MACHINES = 1000.0, 16
SHARE = MACHINES * 2 * 1000 / WORK / 2  # jobs a second: a tenant's half of the fleet


def run(scene: str, with_door: bool, seed: int, seconds: float) -> dict[str, Any]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    clock, rng = VirtualClock(), np.random.default_rng(seed)
    exchange = Exchange(SETTINGS, seed, clock)
    door = AdmissionQueue(exchange, AdmissionSetup(), clock, seed) if with_door else None
    stage: Stage = door if door is not None else exchange
    fleet = Fleet(exchange, clock, [WORK], seed, machines=MACHINES)
    start = clock.now()
    waits: dict[str, list[float]] = {"a": [], "b": [], "greedy": []}
    asked = dict.fromkeys(waits, 0)
    numbers = iter(range(10**9))

    def try_it(who: str, tenant: int, client: str, came: float, work: float, tries: int) -> None:
        def heard(answer: Answer) -> None:
            if answer.final is Final.SERVED:
                waits[who].append(clock.now() - came - work)
            elif answer.final is Final.REFUSED and tries < 3:
                later = (answer.pause or 1000.0) + float(rng.uniform(0, 100))
                clock.later(later, lambda: try_it(who, tenant, client, came, work, tries + 1))

        stage.arrive(
            Order(
                f"j{next(numbers)}",
                0,
                CLASS.deadline,
                tenant,
                expected_work=work,
                origin="lab",
                client=client,
                fresh=True,
            ),
            heard,
        )

    def stream(who: str, tenant: int, rate: float, clients: int) -> None:
        for at in poisson(rng, rate, seconds * 1000):
            client, work = f"{who}-{rng.integers(clients)}", WORK * float(rng.lognormal(-0.08, 0.4))
            asked[who] += 1
            clock.later(at, lambda c=client, w=work: try_it(who, tenant, c, clock.now(), w, 1))  # type: ignore[misc]

    stream("b", 1, 0.6 * SHARE, 50)
    stream("a", 0, 10 * SHARE if scene.startswith("flood") else 0.6 * SHARE, 200)
    if scene == "greedy":
        stream("greedy", 1, 6 * SHARE, 1)
    if "dark" in scene:
        some = list(fleet.machines.values())[: MACHINES // 3]
        for part, dark in ((0.4, True), (0.6, False)):
            clock.later(part * seconds * 1000, lambda d=dark: [setattr(m, "dark", d) for m in some])
    clock.run(start + (seconds + 60) * 1000)
    row: dict[str, Any] = {"scene": scene, "door": with_door, "seed": seed}
    for who in ("b", "a", "greedy"):
        if asked[who]:
            served = sorted(waits[who])
            row |= {
                f"{who}_served": round(len(served) / asked[who], 4),
                f"{who}_in_time": round(sum(w <= 1500 for w in served) / asked[who], 4),
                f"{who}_wait_p99_ms": round(served[int(len(served) * 0.99)]) if served else "",
            }
        else:
            row |= {f"{who}_served": "", f"{who}_in_time": "", f"{who}_wait_p99_ms": ""}
    counts = door.reservations.counts if door is not None else {}
    told = counts.get("called", 0) + counts.get("not_called", 0)
    row |= {
        "promises": counts.get("given", 0) + counts.get("unsure", 0),
        "called": counts.get("called", 0),
        "kept": counts.get("kept", 0),
        "kept_of_called": round(counts.get("kept", 0) / max(1, counts.get("called", 0)), 4) if told else "",
        "busy": round(fleet.busy_ms / (seconds * 1000 * MACHINES * 2), 3),
    }
    return row


def main() -> None:
    args = docopt(__doc__ or "")
    seconds, seeds, out = float(args["--seconds"]), int(args["--seeds"]), Path(args["--out"])
    out.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor() as pool:
        jobs = [
            pool.submit(run, scene, door, seed, seconds)
            for scene, door, seed in product(SCENES, (False, True), range(1, seeds + 1))
        ]
        rows = [job.result() for job in jobs]
    keep(out / "flood.csv", rows)


if __name__ == "__main__":
    main()
