"""What the stage for delayed jobs adds for jobs without delay: CPU a job, memory and start time of the real program.

Usage: overhead.py [--jobs=N] [--rounds=N] [--out=FILE]

`millethead serve` as a process of its own, with and without a table [waiting], in turns; 24 clients send
HTTP jobs of 5 ms for two stand-in workers, as fast as they are answered (with an idle core between them, CPU a job is
mostly what waking up costs, 1.1 to 2 ms). CPU and resident memory are the system's figures for that process.

Options:
  --jobs=N    [default: 3000]
  --rounds=N  [default: 3]
  --out=FILE  [default: benchmarks/waiting/results/overhead.csv]
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

from docopt import docopt

from millethead.lab.hour import SETTINGS
from millethead.lab.standins import Discovery, HttpWorker, Ledger, post
from millethead.lab.table import keep

CLIENTS = 24
TICKS = os.sysconf("SC_CLK_TCK")
VARIANTS = {"no file": None, "empty file": "", "waiting": "[waiting]\n[waiting.classes.usage-report]\nbound_s = 300\n"}


class Real:
    speed = 1.0

    def now(self) -> float:
        return time.time() * 1000


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


async def run(name: str, operator: str | None, jobs: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        base, ledger, discovery = Path(folder), Ledger(), Discovery()
        ledger.work = lambda job_id: 5.0
        await discovery.open()
        workers = [HttpWorker(f"s-{n:08x}", Real(), ledger, slots=40, queue=8) for n in range(2)]
        for n, worker in enumerate(workers):
            await worker.open()
            discovery.put(worker.name, address=f"127.0.0.1:{worker.port}", group=n)
        (base / "config.json").write_text(
            json.dumps(
                {
                    "name": "n1",
                    "seed": "1",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{discovery.port}",
                    "limits": {"sockets": 1024},
                    "known": discovery.whole(),
                    "settings": {**SETTINGS, "tick": 5.0},
                }
            )
        )
        args = ["-m", "millethead", "serve", "--log-level=info"]
        if operator is not None:
            (base / "operator.toml").write_text(operator)
            args.append(f"--operator={base / 'operator.toml'}")
        began = time.perf_counter()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *args,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(base / "config.json")},
        )
        assert process.stdout is not None
        port = 0
        while b"event=serving" not in (line := await process.stdout.readline()):
            assert line, "it ended before it served"
            if b"event=listening" in line:
                port = int(line.rpartition(b"address=")[2].split()[0].rpartition(b":")[2])
        start_ms = (time.perf_counter() - began) * 1000
        drain = asyncio.create_task(process.stdout.read())
        for worker in workers:
            worker.dispatcher = port
        rss = resident(process.pid)
        latencies: list[float] = []

        async def one(n: int) -> None:
            sent = time.perf_counter()
            status, _ = await post(
                port,
                f"job-{n:06d}",
                X_Priority_Class="paid-booking",
                X_Tenant_Id="rustaveli-desks",
                X_Timeout=15,
                Idempotency_Key=f"key-{n}",
            )
            assert status == 200, (n, status)
            latencies.append((time.perf_counter() - sent) * 1000)

        await one(-1)
        used = cpu(process.pid)
        names = iter(range(jobs))

        async def client() -> None:
            for n in names:
                await one(n)

        began = time.perf_counter()
        await asyncio.gather(*(client() for _ in range(CLIENTS)))
        rate = jobs / (time.perf_counter() - began)
        row = {
            "variant": name,
            "cpu_ms_a_job": round((cpu(process.pid) - used) * 1000 / jobs, 3),
            "jobs_per_s": round(rate),
            "p50_ms": round(median(latencies), 2),
            "rss_start_mb": round(rss, 1),
            "rss_end_mb": round(resident(process.pid), 1),
            "start_ms": round(start_ms),
        }
        process.terminate()
        await drain
        await process.wait()
        for worker in workers:
            await worker.close()
        await discovery.close()
        return row


async def main() -> None:
    args = docopt(__doc__ or "")
    rows = [
        await run(name, operator, int(args["--jobs"]))
        for _ in range(int(args["--rounds"]))
        for name, operator in VARIANTS.items()
    ]
    keep(Path(args["--out"]), rows)


if __name__ == "__main__":
    asyncio.run(main())
