"""What a hundred thousand client identities in a minute cost the door, and what they leave to usual clients.

Usage: identities.py [--seconds=N] [--out=FOLDER]

The real exchange, module and door before a modelled fleet (16 workers of 2 slots, 32 jobs of a second at once), virtual
time, each case in a process of its own. Tenant A sends 1,667 jobs a second, under as many names as the case says, each
in turn; tenant B has 20 usual clients at 0.6 of its share, and A has 20 such besides the others. Memory is the most
that Python had allocated above what stood before the first job (tracemalloc, in a run that is not timed), and resident;
a decision's time is that of `AdmissionQueue.arrive`.

Options:
  --seconds=N   simulated seconds [default: 60]
  --out=FOLDER  [default: benchmarks/door/results]
"""

from __future__ import annotations

import resource
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import numpy as np
import structlog
from docopt import docopt
from flood import CLASS, MACHINES, SETTINGS, SHARE, WORK

from millethead.admission.queue import AdmissionQueue
from millethead.admission.setup import AdmissionSetup
from millethead.exchange import Answer, Exchange, Final, Order
from millethead.lab.clock import VirtualClock
from millethead.lab.fleet import Fleet, poisson
from millethead.lab.table import keep

FLOOD = 100_000 / 60  # jobs a second
NAMES = (0, 100, 10_000, 100_000)  # 0: no flood


def run(names: int, seconds: float, traced: bool) -> dict[str, float]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    clock, rng = VirtualClock(), np.random.default_rng(1)
    exchange = Exchange(SETTINGS, 1, clock)
    door = AdmissionQueue(exchange, AdmissionSetup(), clock, 1)
    Fleet(exchange, clock, [WORK], 1, machines=MACHINES)
    served, asked, took, numbers = {"a": 0, "b": 0}, {"a": 0, "b": 0}, list[float](), 0

    def come(who: str, tenant: int, client: str, work: float, tries: int = 1) -> None:
        nonlocal numbers
        numbers += 1

        def heard(answer: Answer) -> None:
            if answer.final is Final.SERVED:
                served[who] = served.get(who, 0) + 1
            elif answer.final is Final.REFUSED and tries < 3 and who in asked:
                clock.later((answer.pause or 1000.0) + 50, lambda: come(who, tenant, client, work, tries + 1))

        if who in asked:
            asked[who] += tries == 1
        order = Order(
            f"j{numbers}", 0, CLASS.deadline, tenant, expected_work=work, origin="lab", client=client, fresh=True
        )
        began = time.perf_counter()
        door.arrive(order, heard)
        took.append(time.perf_counter() - began)

    def usual(who: str, tenant: int) -> None:
        for at in poisson(rng, 0.6 * SHARE, seconds * 1000):
            client, work = f"{who}-{rng.integers(20)}", WORK * float(rng.lognormal(-0.08, 0.4))
            clock.later(at, lambda c=client, w=work: come(who, tenant, c, w))  # type: ignore[misc]

    def flood(n: int) -> None:
        come("flood", 0, f"flood-{n % names}", WORK)
        if n + 1 < FLOOD * seconds:
            clock.later(1000 / FLOOD, lambda: flood(n + 1))

    usual("a", 0)
    usual("b", 1)
    if names:
        clock.later(1.0, lambda: flood(0))
    if traced:
        tracemalloc.start()
    clock.run(clock.now() + (seconds + 30) * 1000)
    most = tracemalloc.get_traced_memory()[1] / 1e6 if traced else 0.0
    return {
        "a": served["a"] / max(1, asked["a"]),
        "b": served["b"] / max(1, asked["b"]),
        "most_mb": most,
        "decision": float(np.mean(took)),
        "decision_p99": float(np.quantile(took, 0.99)),
        "resident": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def main() -> None:
    args = docopt(__doc__ or "")
    seconds, rows = float(args["--seconds"]), list[dict[str, Any]]()
    with ProcessPoolExecutor(max_tasks_per_child=1, mp_context=get_context("spawn")) as pool:
        found = [
            (names, pool.submit(run, names, seconds, False), pool.submit(run, names, seconds, True)) for names in NAMES
        ]
        base = next(timed.result() for names, timed, _ in found if names == 100)
        for names, timed, traced in found:
            one = timed.result()
            rows.append(
                {
                    "names": names,
                    "usual_of_a_served": round(one["a"], 3),
                    "usual_of_b_served": round(one["b"], 3),
                    "decision_ratio_to_100": round(one["decision"] / base["decision"], 2),
                    "decision_p99_ratio_to_100": round(one["decision_p99"] / base["decision_p99"], 2),
                    "allocated_most_mb": round(traced.result()["most_mb"], 1),
                    "resident_above_100_mb": round(one["resident"] - base["resident"], 1),
                }
            )
    out = Path(args["--out"])
    out.mkdir(parents=True, exist_ok=True)
    keep(out / "identities.csv", rows)


if __name__ == "__main__":
    main()
