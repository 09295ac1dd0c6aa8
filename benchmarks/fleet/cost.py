"""What an event costs the module at 10 and 60 workers, and a start until all is imported.

Usage: python benchmarks/fleet/cost.py [OTHER]

OTHER is another checkout; both are measured in turn, five times each, and medians compared. Writes results/cost.csv.
"""

import csv
import json
import subprocess
import sys
from pathlib import Path
from statistics import median

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
EVENTS = """
import json, random, time
from millethead.decide import interface as api
from millethead.decide.balance import Balancer
out = {}
for count in (10, 60):
    nodes = 4 if count == 10 else 40
    rng = random.Random(1)
    made = api.Settings(classes=(api.JobClass(15000, 600, 2.0, effect=api.Effect.UNSAFE),), nodes=nodes, may_probe=True,
                        reports_in_probes=True, cold_time=8000.0)
    node, now, events, spent, running = Balancer(made, 1), 0.0, 0, 0.0, []
    def give(event):
        global events, spent
        began = time.process_time()
        actions = node.handle(now, event)
        spent += time.process_time() - began
        events += 1
        for action in actions:
            if isinstance(action, api.Probe):
                report = api.Report(free_slots=rng.choice((0.01, 1.01, 2.01)) + rng.random() / 99, held=1.0)
                give(api.ProbeEnded(action.worker, api.Outcome.OK, 2.0, report))
            elif isinstance(action, api.Send):
                running.append((now + rng.expovariate(1 / 1000), action.job, action.worker))
    give(api.WorkerList(api.ListForm.FULL, tuple(api.WorkerEntry(n * 7919, zone=n % 2) for n in range(count))))
    for job in range(3000):
        now += rng.expovariate(1 / 500)
        for end in sorted(e for e in running if e[0] <= now):
            running.remove(end)
            give(api.AttemptEnded(end[1], 0, end[2], api.Outcome.OK, 1000.0, True))
        give(api.JobArrived(job, 0, 15000, expected_work=1000.0))
    out[f"us_an_event_{count}_workers"] = spent / events * 1e6
    out[f"us_a_job_{count}_workers"] = spent / 3000 * 1e6
print(json.dumps(out))
"""
START = """
import json, time
import millethead.program
print(json.dumps({"start_cpu_ms": time.process_time() * 1000}))
"""


def run(root: Path) -> dict[str, float]:
    figures: dict[str, float] = {}
    for code in (EVENTS, START):
        figures |= json.loads(
            subprocess.run(
                [sys.executable, "-c", code],
                cwd=root,
                check=True,
                capture_output=True,
                text=True,
                env={"PYTHONPATH": str(root)},
            ).stdout
        )
    return figures


def main() -> None:
    roots = [ROOT, *(Path(arg).resolve() for arg in sys.argv[1:2])]
    runs: list[list[dict[str, float]]] = [[] for _ in roots]
    for _ in range(5):
        for root, kept in zip(roots, runs, strict=True):
            kept.append(run(root))
    with (HERE / "results" / "cost.csv").open("w", newline="") as file:
        out = csv.writer(file, lineterminator="\n")
        out.writerow(["figure", "this", *(["other", "this_to_other"] if len(roots) > 1 else [])])
        for name in runs[0][0]:
            values = [median(figures[name] for figures in kept) for kept in runs]
            ratio = [f"{values[0] / values[1]:.2f}"] if len(values) > 1 else []
            out.writerow([name, *(f"{value:.1f}" for value in values), *ratio])
            print(name, *(f"{value:.1f}" for value in values), *ratio)


if __name__ == "__main__":
    main()
