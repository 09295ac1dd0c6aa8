"""What one decision costs: microseconds of processor time for each placed task, with everything that leads to it.

Usage: decide.py [--out=FILE]

Two fleets in virtual time. Jobs are of the kinds of the users' tables: a service with GPUs (jobs that last, gangs,
short urgent tasks) and one of wide jobs with data on racks. All jobs come at once; each end of a run is followed
by a round of decisions, as the head does it, until the wanted number of tasks is placed. Counted are the arrivals, the
ends and the rounds.

- `small`: 1,000 waiting jobs, 60 workers;
- `large`: 100,000 waiting tasks, 1,200 workers.

Options:
  --out=FILE  where the table goes [default: benchmarks/scheduling/results/decide.csv]
"""

from __future__ import annotations

import heapq
import resource
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from docopt import docopt

from millethead.execution.messages import Resources, RunEnd
from millethead.lab.table import keep
from millethead.scheduling.model import PendingStep, PendingTask, Placement, QueueSpec, StepKey, WorkerState
from millethead.scheduling.scheduler import Scheduler

QUEUES = (
    QueueSpec("standing", "desk", 0, 2.0, 1.5, 4),
    QueueSpec("confirm", "desk", 0, 0.25, 1.5, 4),
    QueueSpec("plans", "desk", 2, 3.0, 4.0, 4),
    QueueSpec("settle", "ledger", 1, 1.0, 2.2, 4),
)
NOTHING = Resources(0, 0, 0)
GPU_WORKER, PLAIN_WORKER = Resources(32_000, 65_536, 8), Resources(32_000, 65_536, 0)
LONGEST_S = 600.0  # of virtual time


@dataclass(frozen=True, slots=True)
class Fleet:
    """One setting: workers, waiting jobs, and the tasks to be placed."""

    name: str
    workers: int
    jobs: int
    placed: int


FLEETS = (Fleet("small", 60, 1_000, 6_000), Fleet("large", 1_200, 14_000, 100_000))


def _worker(number: int) -> WorkerState:
    service = "desk" if number % 3 == 0 else "ledger"
    rack, kind = f"r{number // 3}", "ab"[number % 2]
    capacity = GPU_WORKER if service == "desk" else PLAIN_WORKER
    return WorkerState(
        f"w{number}", f"n{number}", service, capacity, NOTHING, frozenset((rack, kind)), rack, False, None, True
    )


def _step(number: int, fleet: Fleet, random: Random) -> PendingStep:
    """A job by the shares of the tables: mostly wide ones, some with GPUs, few that last."""
    queue = random.choices(QUEUES, (0.005, 0.09, 0.045, 0.86))[0]
    requires = random.choice("ab") if random.random() < 0.12 else ""
    affinity, gang, count = "", False, max(1, min(9, int(random.expovariate(0.5))))
    if queue.name == "settle":
        needs = Resources(int(random.uniform(700, 3_800)), int(random.uniform(500, 3_900)), 0)
        estimate, count = random.uniform(0.8, 3.0), max(1, min(48, int(random.expovariate(0.125))))
        affinity = f"r{random.randrange(fleet.workers // 3)}" if random.random() < 0.4 else ""
    elif queue.name == "confirm":
        needs, estimate = Resources(2_800, 4_100, 1), random.uniform(1.0, 4.0)
    else:
        needs, estimate = Resources(6_500, 17_000, random.choice((1, 2, 4))), random.uniform(5.0, 15.0)
        gang = queue.name == "plans" and random.random() < 0.6
    tasks = {index: PendingTask(index, "", 0.0) for index in range(count)}
    return PendingStep(
        StepKey(f"j{number}", 0, 0),
        queue.name,
        queue.service,
        needs,
        count,
        estimate,
        gang,
        gang,
        requires,
        affinity,
        0,
        False,
        queue.name == "standing",
        queue.name == "plans",
        queue.target_s + queue.skew * estimate,
        tasks,
    )


def _play(fleet: Fleet) -> dict[str, object]:
    random = Random(1)
    scheduler = Scheduler(Random(2))
    scheduler.set_queues(QUEUES)
    for number in range(fleet.workers):
        scheduler.put_worker(_worker(number))
    steps = {step.key: step for step in (_step(number, fleet, random) for number in range(fleet.jobs))}
    running: list[tuple[float, Placement]] = []
    now, placed, rounds, longest = 0.0, 0, 0, 0.0
    begun = time.process_time()
    for step in steps.values():
        scheduler.put_step(step)
    while placed < fleet.placed and now < LONGEST_S:
        before = time.process_time()
        decision = scheduler.schedule(now)
        longest = max(longest, time.process_time() - before) if rounds else 0.0
        rounds += 1
        placed += len(decision.placements)
        stopped = {(preemption.key, preemption.index) for preemption in decision.preemptions}
        for placement in decision.placements:
            takes = LONGEST_S if steps[placement.key].long_running else steps[placement.key].estimate_s
            heapq.heappush(running, (now + takes * random.uniform(0.7, 1.3), placement))
        if stopped:
            running = _stop(running, stopped, now)
        if not running:
            break
        now, ended = heapq.heappop(running)
        over = RunEnd.DONE if steps[ended.key].checkpoints or random.random() < 0.99 else RunEnd.FAILED
        scheduler.run_ended(ended.key, ended.index, ended.instance, 1, over, now)
    spent = time.process_time() - begun
    return {
        "fleet": fleet.name,
        "workers": fleet.workers,
        "jobs": fleet.jobs,
        "tasks": sum(step.count for step in steps.values()),
        "placed": placed,
        "rounds": rounds,
        "us_per_placed": round(spent / max(placed, 1) * 1e6, 1),
        "longest_round_ms": round(longest * 1e3, 2),
        "virtual_s": round(now, 1),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def _stop(
    running: list[tuple[float, Placement]], stopped: set[tuple[StepKey, int]], now: float
) -> list[tuple[float, Placement]]:
    """What is preempted ends a moment later."""
    left = [
        (min(at, now + 0.2) if (placement.key, placement.index) in stopped else at, placement)
        for at, placement in running
    ]
    heapq.heapify(left)
    return left


def main() -> int:
    """Play all fleets and keep the table."""
    args = docopt(__doc__ or "")
    rows = [_play(fleet) for fleet in FLEETS]
    for row in rows:
        print(", ".join(f"{name} {value}" for name, value in row.items()))
    keep(Path(args["--out"]), rows)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
