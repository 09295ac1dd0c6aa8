"""What replacements lose under open load, and what the two processes take: many in a row, one table row for all.

Usage: replace.py [--times=N] [--rate=N] [--out=FILE]

`millethead serve` is replaced again and again as the platform does it: a second process with the same
$TMPDIR, SIGTERM to the first once the second says yes. Jobs arrive open-loop (Poisson), each on a new
connection or one that a client keeps; a quarter are paid-booking. Work takes 20 to 1,500 ms at three stand-in
workers. Memory is what /proc says of both at the yes (anonymous and resident), time is from start to yes.

Options:
  --times=N   replacements [default: 200]
  --rate=N    jobs a second [default: 25]
  --out=FILE  [default: benchmarks/operation/results/replace.csv]
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

from docopt import docopt

from millethead.lab.hour import SETTINGS
from millethead.lab.pack import free_port
from millethead.lab.standins import Discovery, HttpWorker, Ledger, message, read_message
from millethead.lab.table import keep

CLASSES = ("paid-booking", "desk-search", "desk-search", "refund")
Pair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Real:
    speed = 1.0

    def now(self) -> float:
        return time.time() * 1000


def memory(pid: int) -> tuple[float, float]:
    """(anonymous, resident) MB."""
    rows = dict(line.split(":") for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:])
    return tuple(int(rows[key].split()[0]) / 1024 for key in ("Anonymous", "Rss"))  # type: ignore[return-value]


class Run:
    def __init__(self, folder: Path) -> None:
        self.folder, self.port, self.ledger, self.rng = folder, free_port(), Ledger(), Random(1)
        self.kept: list[Pair] = []
        self.seen: Counter[str] = Counter()
        self.classes: dict[str, str] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        work: dict[str, float] = {}
        self.ledger.work = lambda job: work.setdefault(job, self.rng.choice((20.0, 200.0, 600.0, 1500.0)))
        self.discovery = Discovery()
        await self.discovery.open()
        self.workers = [HttpWorker(f"s-{n:08x}", Real(), self.ledger, slots=20, queue=20) for n in range(3)]
        for n, worker in enumerate(self.workers):
            await worker.open()
            worker.dispatcher = self.port
            self.discovery.put(worker.name, address=f"127.0.0.1:{worker.port}", group=n)

    async def start(self) -> tuple[asyncio.subprocess.Process, float]:
        """A process that says yes, and how long that took (s)."""
        console, path = free_port(), self.folder / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "seed": "1",
                    "listen": f"127.0.0.1:{self.port}",
                    "console": f"127.0.0.1:{console}",
                    "discovery": f"127.0.0.1:{self.discovery.port}",
                    "limits": {"sockets": 256},
                    "known": self.discovery.whole(),
                    "settings": {**SETTINGS, "tick": 5.0},
                }
            )
        )
        began = time.perf_counter()
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "millethead",
                "serve",
                stdout=log,
                env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(self.folder)},
            )
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", console)
                writer.write(message("GET /ops/readiness HTTP/1.1"))
                start, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in start:
                    return process, time.perf_counter() - began
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.01)

    async def job(self, n: int) -> None:
        """One job; what became of it is counted. Only one that no byte was read for may be brought once more, as the
        platform's clients do, and counts as turned back."""
        name, cls = f"job-{n:07d}", self.rng.choice(CLASSES)
        self.classes[name] = cls
        call = message(
            "POST /api HTTP/1.1",
            b"body",
            X_Request_ID=name,
            X_Priority_Class=cls,
            X_Tenant_Id="rustaveli-desks",
            X_Timeout=15,
            **({"Idempotency_Key": f"key-{n}"} if cls == "refund" else {}),
        )
        kept = bool(self.kept) and self.rng.random() < 0.5
        try:
            reader, writer = self.kept.pop() if kept else await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            self.seen["turned_back"] += 1
            return
        try:
            writer.write(call)
            async with asyncio.timeout(16):
                start, fields, _ = await read_message(reader)
        except TimeoutError:
            self.seen["no_answer"] += 1
        except (OSError, asyncio.IncompleteReadError):
            self.seen["turned_back" if name not in self.ledger.runs else "no_answer"] += 1
        else:
            status = int(start.split(" ")[1])
            self.seen["served" if status == 200 else "refused" if status in (429, 503) else "failed"] += 1
            if fields.get("connection") != "close" and len(self.kept) < 20:
                self.kept.append((reader, writer))
                return
        writer.close()

    async def load(self, rate: float) -> None:
        n, due = 0, time.perf_counter()
        while True:
            due += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            n += 1
            task = asyncio.create_task(self.job(n))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)


async def main() -> None:
    args = docopt(__doc__ or "")
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder))
        await run.open()
        process, _ = await run.start()
        load = asyncio.create_task(run.load(float(args["--rate"])))
        yes, ended, both, each = [], [], [], []
        for _ in range(int(args["--times"])):
            following, took = await run.start()
            yes.append(took)
            two = [memory(p.pid) for p in (process, following)]
            both.append(sum(x[0] for x in two))
            each.append(max(x[1] for x in two))
            process.send_signal(signal.SIGTERM)
            began = time.perf_counter()
            assert await process.wait() == 0
            ended.append(time.perf_counter() - began)
            process = following
        load.cancel()
        await asyncio.gather(*run.tasks)
        process.send_signal(signal.SIGTERM)
        await process.wait()
        twice = sum(runs > 1 for job, runs in run.ledger.runs.items() if run.classes.get(job) == "paid-booking")
        row: dict[str, Any] = {
            "replacements": len(yes),
            "jobs": sum(run.seen.values()),
            **{key: run.seen[key] for key in ("served", "refused", "failed", "turned_back", "no_answer")},
            "paid_booking_twice": twice,
            "jobs_run_twice": sum(n > 1 for n in run.ledger.runs.values()),
            "yes_ms_median": round(median(yes) * 1000),
            "yes_ms_most": round(max(yes) * 1000),
            "old_ends_ms_median": round(median(ended) * 1000),
            "old_ends_ms_most": round(max(ended) * 1000),
            "both_anonymous_mb_most": round(max(both), 1),
            "one_resident_mb_most": round(max(each), 1),
        }
        keep(Path(args["--out"]), [row])
        for worker in run.workers:
            await worker.close()
        await run.discovery.close()


if __name__ == "__main__":
    asyncio.run(main())
