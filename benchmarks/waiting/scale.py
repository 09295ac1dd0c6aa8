"""What held jobs cost: push, due and withdrawal, memory, and ten thousand due in one second.

Usage: scale.py [--out=FOLDER]

Costs are CPU a job in the stage for delayed jobs before a next stage that takes everything, on a virtual clock; each
size in a process of its own. Memory is what tracemalloc counts for a job with a body of 200 bytes, body included. The
second part runs on the real loop before the real exchange and module: 50 jobs a second go straight through, with and
without 10,000 jobs that are due in the same second.

Options:
  --out=FOLDER  where the tables go [default: benchmarks/waiting/results]
"""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median
from typing import Any

import structlog
from docopt import docopt

from millethead.decide import interface as api
from millethead.exchange import Answer, Exchange, Final, Order
from millethead.exchange.model import Plan
from millethead.exchange.records import Record
from millethead.lab.clock import VirtualClock
from millethead.lab.fleet import Fleet
from millethead.lab.table import keep
from millethead.net.exchange import LoopClock
from millethead.waiting.ageing import aged_flow
from millethead.waiting.setup import WaitingSetup
from millethead.waiting.stage import WaitingStage

SETTINGS = api.Settings(
    classes=(api.JobClass(deadline=60_000, aim=30_000, stretch=2.0, effect=api.Effect.SAFE),),
    tenants=(api.Tenant(8.0, 1.0, "one"), api.Tenant(3.0, 1.0, "two")),
    reports_in_answers=True,
    may_cancel=True,
    max_attempts=5,
    tick=5.0,
)
SIZES = (1_000, 10_000, 100_000)
BODY = 200


class Taker:
    """A next stage that serves whatever comes at once."""

    def __init__(self) -> None:
        self.settings, self.finished, self.ready, self.held, self.closing = SETTINGS, None, True, 0, False
        self.count = 0

    def record(self, origin: str, job_id: str) -> Record | None:
        return None

    def counts(self) -> dict[str, int]:
        return {}

    def arrive(self, order: Order, reply: Any) -> int:
        self.count += 1
        reply(Answer(Final.SERVED))
        return self.count


def heard(answer: Answer) -> None:
    pass


def order(name: str, at: float = 0.0, after: tuple[str, ...] = (), tenant: int = 0) -> Order:
    return Order(
        name,
        0,
        60_000.0,
        tenant,
        "/api",
        bytes(BODY),
        name,
        fresh=True,
        jobtype="Report",
        queue="reports",
        origin="faktory",
        asked=60_000.0,
        plan=Plan(at, after) if at or after else None,
    )


def costs(size: int) -> dict[str, Any]:
    """us a job at `size` held jobs; the least of three, since anything else on the machine only adds."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    best: dict[str, float] = {}

    def note(what: str, began: float, count: int) -> None:
        took = (time.process_time() - began) * 1e6 / count
        best[what] = min(best.get(what, took), took)

    for _ in range(3):
        clock = VirtualClock()
        room = WaitingStage(
            Taker(),
            WaitingSetup(jobs=200_000, bytes=1 << 30, edges=400_000),
            ["any"],  # type: ignore[arg-type]
            clock,
        )
        start, batch = clock.now(), 1000
        for n in range(size):
            room.arrive(order(f"job-{n:08d}", start + 60_000 + 1000.0 * (n % 600)), heard)
        # at that size: a thousand more come, go, and wait for another
        more = [order(f"more-{n:08d}", start + 60_500 + 1000.0 * (n % 600)) for n in range(batch)]
        began = time.process_time()
        numbers = [room.arrive(o, heard) for o in more]
        note("push", began, batch)
        began = time.process_time()
        for number in numbers:
            room.withdraw(number)
        note("withdraw", began, batch)
        more = [order(f"child-{n:08d}", 0.0, (f"job-{n:08d}",)) for n in range(batch)]
        began = time.process_time()
        for o in more:
            room.arrive(o, heard)
        note("push_child", began, batch)
        began = time.process_time()
        clock.run(start + 60_000 + 601_000)
        note("due", began, size + batch)
        assert not room.held, "all were served"
    gc.collect()
    tracemalloc.start()
    room = WaitingStage(Taker(), WaitingSetup(jobs=200_000, bytes=1 << 30), ["any"], VirtualClock())  # type: ignore[arg-type]
    before = tracemalloc.get_traced_memory()[0]
    for n in range(size):
        room.arrive(order(f"job-{n:08d}", room.clock.wall() + 60_000 + 1000.0 * (n % 600)), heard)
    held = (tracemalloc.get_traced_memory()[0] - before) / size
    return {
        "held": size,
        **{f"{k}_us": round(v, 2) for k, v in best.items()},
        "bytes_a_job": round(held),
        "bytes_without_body": round(held - BODY),
    }


async def second(due: int, later: int = 0, seconds: float = 18.0) -> dict[str, Any]:
    """Others' latency (from arrival to the start at a worker), the loop's stalls and the lateness of `due`."""
    clock = LoopClock()
    setup = WaitingSetup(jobs=200_000, bytes=1 << 30)
    exchange = Exchange(SETTINGS, 1, clock, (aged_flow(setup),))
    room = WaitingStage(exchange, setup, ["any"], clock)
    fleet = Fleet(exchange, clock, [5.0], 1, machines=40, slots=4, queue=8)  # type: ignore[arg-type]
    started: dict[str, float] = {}
    begin = fleet.start

    def start(attempt: Any) -> None:
        started.setdefault(attempt.order.id, time.perf_counter())
        begin(attempt)

    fleet.start = start  # type: ignore[method-assign]
    at = (clock.wall() // 1000 + 4) * 1000
    for n in range(later):  # an hour ahead: only held
        room.arrive(order(f"later-{n:08d}", at + 3_600_000 + n), heard)
    for n in range(due):
        room.arrive(order(f"due-{n:08d}", at + (n % 1000), tenant=n % 2), heard)
    gc.collect()
    stalls: list[tuple[float, float]] = []
    came: dict[str, float] = {}
    until = time.perf_counter() + seconds

    async def beat() -> None:
        while (last := time.perf_counter()) < until:
            await asyncio.sleep(0.001)
            stalls.append((clock.wall(), (time.perf_counter() - last - 0.001) * 1000))

    async def others() -> None:
        n, next_at = 0, time.perf_counter()
        while next_at < until:
            name = f"other-{n}"
            came[name] = next_at  # the intended time: a stall of the loop must show
            room.arrive(order(name, tenant=n % 2), heard)
            n, next_at = n + 1, next_at + 0.02
            await asyncio.sleep(max(0.0, next_at - time.perf_counter()))

    await asyncio.gather(beat(), others())
    wall = clock.wall() / 1000 - time.perf_counter()
    window = [(at / 1000 - 0.2) - wall, (at / 1000 + 8) - wall]
    latency = sorted((started[k] - came[k]) * 1000 for k in came if k in started and window[0] <= came[k] <= window[1])
    late = sorted((started[k] + wall) * 1000 - at - (int(k[4:]) % 1000) for k in started if k.startswith("due-"))
    in_time = [ms for when, ms in stalls if at - 200 <= when <= at + 8000]
    return {
        "due": due,
        "held_later": later,
        "others": len(latency),
        "others_p50_ms": round(median(latency), 3),
        "others_p99_ms": round(latency[int(len(latency) * 0.99)], 3),
        "loop_longest_stall_ms": round(max(in_time), 2),
        "due_started": len(late),
        "due_p50_late_ms": round(median(late), 1) if late else "",
        "due_longest_late_ms": round(late[-1], 1) if late else "",
        "due_earliest_ms": round(late[0], 1) if late else "",
    }


def storm(due: int, later: int = 0) -> dict[str, Any]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    return asyncio.run(second(due, later))


def main() -> None:
    out = Path(docopt(__doc__ or "")["--out"])
    out.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(max_workers=1, max_tasks_per_child=1) as pool:
        keep(out / "scale.csv", [pool.submit(costs, size).result() for size in SIZES])
        keep(
            out / "storm.csv",
            [
                pool.submit(storm, *what).result()
                for what in ((0,), (10_000,), (0,), (10_000,), (0,), (10_000,), (0, 100_000))
            ],
        )


if __name__ == "__main__":
    main()
