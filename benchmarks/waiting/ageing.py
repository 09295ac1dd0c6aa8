"""Ways of ageing, measured: reports behind a steady flood of bookings, in virtual time.

Usage: ageing.py [--seconds=N] [--seeds=N] [--out=FOLDER]

The real exchange, scheduling module and stage for delayed jobs on a virtual clock, before a modelled fleet (8 workers
of 2 slots). Two tenants flood it with `paid-booking` at 1.5 and 3 times what it can do; `usage-report` comes at 0.4 a
second, with a bound of 120 s. Ways: `none` (refused is refused), `paced` (offered again in its tenant's flow, oldest
first), `worth` (the same, and a report's worth grows with its age), `reserved` (offered again in a flow of its own with
1 start a second).

Options:
  --seconds=N   simulated seconds of arrivals [default: 600]
  --seeds=N     runs of each way [default: 3]
  --out=FOLDER  where the table and the chart go [default: benchmarks/waiting/results]
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from statistics import median
from unittest import mock

import numpy as np
import structlog
from docopt import docopt

from millethead.decide import balance, picking, records
from millethead.decide import interface as api
from millethead.exchange import Answer, Exchange, Final, Order
from millethead.lab.clock import VirtualClock
from millethead.lab.fleet import Fleet, poisson, twice
from millethead.lab.table import keep
from millethead.waiting.ageing import aged_flow
from millethead.waiting.setup import ClassBound, WaitingSetup
from millethead.waiting.stage import WaitingStage

NAMES = ["paid-booking", "usage-report"]
CLASSES = (
    api.JobClass(deadline=15_000, aim=600, stretch=2.0, worth=10.0),
    api.JobClass(deadline=25_000, aim=3000, stretch=2.0, worth=3.0, effect=api.Effect.SAFE),
)
WORK = [1000.0, 4000.0]
TENANTS = (api.Tenant(8.0, 1.0, "first"), api.Tenant(3.0, 1.0, "second"))
WAYS = ("none", "paced", "worth", "reserved")
BOUND, REPORTS = 120.0, 0.4
FLOODS = (1.5, 3.0)


def settings() -> api.Settings:
    return api.Settings(
        classes=CLASSES,
        tenants=TENANTS,
        may_probe=True,
        may_cancel=True,
        reports_in_answers=True,
        reports_in_probes=True,
        max_attempts=5,
        tick=5.0,
    )


def run(way: str, seed: int, seconds: float, flood: float) -> dict[str, object]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    clock, rng = VirtualClock(), np.random.default_rng(seed)
    bounds = {} if way == "none" else {"usage-report": ClassBound(bound_s=BOUND)}
    setup = WaitingSetup(classes=bounds, jobs=100_000)
    exchange = Exchange(settings(), seed, clock, (aged_flow(setup),) if way == "reserved" else ())
    room = WaitingStage(exchange, setup, NAMES, clock, ageing=way == "reserved")
    fleet = Fleet(exchange, clock, WORK, seed)
    start = clock.now()
    answers: dict[str, tuple[int, Final, float]] = {}
    rates = (flood * fleet.capacity * 1000 / WORK[0], REPORTS)
    count = 0
    for cls, rate in enumerate(rates):
        for n, at in enumerate(poisson(rng, rate, seconds * 1000)):
            tenant = 0 if rng.random() < 0.74 else 1
            work = WORK[cls] * float(rng.lognormal(-0.18, 0.6))
            order = Order(
                f"{cls}-{n}", cls, CLASSES[cls].deadline, tenant, expected_work=work, origin="lab", fresh=True
            )
            count += 1

            def push(order: Order = order) -> None:
                came = clock.now()

                def answer(answer: Answer) -> None:
                    assert order.id not in answers, "two answers"
                    answers[order.id] = order.job_class, answer.final, clock.now() - came

                room.arrive(order, answer)

            clock.later(at, push)

    def older(module: balance.Balancer, job: records.Job) -> float:
        # `worth`: what a report is worth doubles with each tenth of its bound
        entry = room.delayed_jobs.find("lab", exchange._jobs[job.id].order.id)
        age = (module.now - entry.arrived_at) / (BOUND * 100) if entry is not None and job.job_class == 1 else 0.0
        return (
            (job.latest_start - module.now + picking.URGENCY_SLACK_MS)
            * module.mean_times[job.job_class]
            / (CLASSES[job.job_class].worth * 2.0**age)
        )

    with mock.patch.object(balance.Balancer, "_urgency", older) if way == "worth" else mock.MagicMock():
        clock.run(start + (seconds + BOUND + 30) * 1000)
    row: dict[str, object] = {
        "way": way,
        "flood": flood,
        "seed": seed,
        "lost": count - len(answers),
        "run_twice": len(twice(fleet, {f"{c}-{n}": CLASSES[c].effect for c in (0, 1) for n in range(count)})),
    }
    for cls, name in enumerate(("bookings", "reports")):
        mine = [(final, took) for c, final, took in answers.values() if c == cls]
        served = [took for final, took in mine if final is Final.SERVED]
        row[name] = len(mine)
        row[f"{name}_served"] = round(len(served) / len(mine), 4)
        row[f"{name}_in_time"] = round(sum(t <= CLASSES[cls].aim + 2 * WORK[cls] for t in served) / len(mine), 4)
        row[f"{name}_served_per_s"] = round(len(served) / seconds, 3)
        row[f"{name}_p50_s"] = round(median(served) / 1000, 2) if served else ""
        row[f"{name}_longest_s"] = round(max(t for _, t in mine) / 1000, 2)
    row["longest_over_bound"] = round(max(t for c, _, t in answers.values() if c == 1) / 1000 / BOUND, 4)
    return row


def chart(rows: list[dict[str, object]], path: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "millethead"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.2))
    for axis, name in zip(axes, ("reports", "bookings"), strict=True):
        for n, flood in enumerate(FLOODS):
            values = [
                [float(str(r[f"{name}_served"])) for r in rows if (r["way"], r["flood"]) == (way, flood)]
                for way in WAYS
            ]
            at = [x + 0.4 * n - 0.2 for x in range(len(WAYS))]
            axis.bar(at, [median(v) for v in values], 0.38, label=f"flood {flood:g}", color=("#3b6ea5", "#c98b2b")[n])
            for x, v in zip(at, values, strict=True):
                axis.plot([x] * len(v), v, "k.", markersize=3)
        axis.set_xticks(range(len(WAYS)), WAYS)
        axis.set_title(f"{name} served, part of those asked for")
        axis.set_ylim(0, 1.05)
    axes[0].legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    args = docopt(__doc__ or "")
    seconds, seeds, out = float(args["--seconds"]), int(args["--seeds"]), Path(args["--out"])
    out.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor() as pool:
        jobs = [
            pool.submit(run, way, seed, seconds, flood)
            for flood, way, seed in product(FLOODS, WAYS, range(1, seeds + 1))
        ]
        rows = [job.result() for job in jobs]
    keep(out / "ageing.csv", rows)
    chart(rows, out / "ageing.svg")


if __name__ == "__main__":
    main()
