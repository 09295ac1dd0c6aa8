"""The console: delay of its answers when the clients' side is flooded, beside an idle one; what it adds to memory
and start; what the figures cost a job.

Usage: console.py [--calls=N] [--out=FILE]

A flood is 40 connections that send half a request and are made again as soon as they end, and eight that ask for
unknown paths as fast as they are answered. Delays are wall times of whole calls (connect, GET /ops/stats, end); the
ratio is what counts.

Options:
  --calls=N   [default: 300]
  --out=FILE  [default: benchmarks/operation/results/console.csv]
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
import timeit
from contextlib import suppress
from pathlib import Path
from statistics import median, quantiles
from typing import Any

from docopt import docopt
from replace import memory, port

from millethead.exchange.counters import JobCounters
from millethead.exchange.model import Final
from millethead.lab.hour import SETTINGS
from millethead.lab.standins import message, read_message
from millethead.lab.table import keep


async def start(folder: Path, console: int | None) -> tuple[Any, int, float]:
    listen, path = port(), folder / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n1",
                "seed": "1",
                "listen": f"127.0.0.1:{listen}",
                "discovery": "127.0.0.1:9",
                "limits": {"sockets": 256},
                "known": None,
                "settings": {**SETTINGS, "tick": 5.0},
                **({"console": f"127.0.0.1:{console}"} if console else {}),
            }
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "millethead",
        "serve",
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(folder)},
    )
    assert process.stdout is not None
    while b"event=serving" not in await process.stdout.readline():
        pass
    ticks = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return process, listen, (int(ticks[11]) + int(ticks[12])) * 1000 / os.sysconf("SC_CLK_TCK")


async def call(console: int) -> float:
    began = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", console)
    writer.write(message("GET /ops/stats HTTP/1.1"))
    first, _, _ = await read_message(reader)
    assert " 200 " in first, first
    writer.close()
    return (time.perf_counter() - began) * 1000


async def flood(listen: int, half: bool) -> None:
    while True:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", listen)
            writer.write(b"POST /api HTTP/1.1\r\nHo" if half else message("GET /none HTTP/1.1"))
            while await reader.read(4096) and not half:
                writer.write(message("GET /none HTTP/1.1"))
            writer.close()


async def delays(console: int, calls: int) -> list[float]:
    out = []
    for _ in range(calls):
        out.append(await call(console))
        await asyncio.sleep(0.005)
    return out


async def main() -> None:
    args = docopt(__doc__ or "")
    with tempfile.TemporaryDirectory() as folder:
        sizes: dict[bool, list[tuple[float, float]]] = {True: [], False: []}
        for n in range(10):
            process, _, cpu = await start(Path(folder), port() if n % 2 else None)
            sizes[bool(n % 2)].append((memory(process.pid)[0], cpu))
            process.terminate()
            await process.communicate()
        console = port()
        process, listen, _ = await start(Path(folder), console)
        drain = asyncio.create_task(process.stdout.read())
        idle = await delays(console, int(args["--calls"]))
        tasks = [asyncio.create_task(flood(listen, n < 40)) for n in range(48)]
        await asyncio.sleep(0.5)
        busy = await delays(console, int(args["--calls"]))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        process.terminate()
        await process.wait()
        drain.cancel()
    tally, rounds = JobCounters(4), 200_000
    cost = timeit.timeit(lambda: tally.final(1, Final.SERVED), number=rounds) / rounds * 1e6
    with_, without = ([median(x[k] for x in sizes[key]) for k in (0, 1)] for key in (True, False))
    keep(
        Path(args["--out"]),
        [
            {
                "calls": len(busy),
                "idle_median_ms": round(median(idle), 2),
                "flood_median_ms": round(median(busy), 2),
                "median_ratio": round(median(busy) / median(idle), 2),
                "flood_p99_ms": round(quantiles(busy, n=100)[98], 1),
                "flood_most_ms": round(max(busy), 1),
                "memory_added_mb": round(with_[0] - without[0], 2),
                "start_cpu_ratio": round(with_[1] / without[1], 3),
                "count_of_a_job_us": round(cost, 2),
            }
        ],
    )


if __name__ == "__main__":
    asyncio.run(main())
