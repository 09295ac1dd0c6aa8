"""What membership costs a process: CPU and memory of real processes with it, beside the same ones without.

    .venv/bin/python benchmarks/members/cost.py    # writes results/cost.csv

Idle dispatchers at the default figures. CPU is a part of one core, memory is resident; both also as ratios.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path
from statistics import median
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "tests"))

from dispatcher_fixture import SETTINGS

from millethead.lab.audit import most_shared
from millethead.lab.faults import Faults
from millethead.lab.pack import Pack, Times
from millethead.lab.table import keep

SECONDS = 20.0


class Off(Pack):
    """The same processes, none of which has the table."""

    def _files(self, node: Any) -> tuple[Path, Path]:
        operator, config = super()._files(node)
        operator.write_text("")
        return operator, config


def spent(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


async def measure(kind: type[Pack], count: int) -> tuple[float, float, float, float]:
    """(CPU and MB of the median process, bytes a member and second, the largest sum of shares)"""
    with tempfile.TemporaryDirectory() as folder:
        pack = kind(Path(folder), SETTINGS, Faults(1), Times(500.0, 200.0, 10_000.0, 3_000.0), stewards=5)
        try:
            await pack.open(count)
            if kind is Pack:
                await pack.together(90)
            await asyncio.sleep(5)
            pids = [n.process.pid for n in pack.nodes.values() if n.process is not None]
            before, sent = {p: spent(p) for p in pids}, sum(pack.relay.bytes.values())
            await asyncio.sleep(SECONDS)
            cpu = median(spent(p) - before[p] for p in pids) / SECONDS
            rate = (sum(pack.relay.bytes.values()) - sent) / count / SECONDS
            return cpu, median(resident(p) for p in pids), rate, most_shared(pack.said) if kind is Pack else 0.0
        finally:
            await pack.close()


async def main() -> None:
    rows = []
    for count in (5, 20, 40):
        off, on = await measure(Off, count), await measure(Pack, count)
        rows.append(
            {
                "members": count,
                "cpu_on": round(on[0], 4),
                "cpu_off": round(off[0], 4),
                "mb_on": round(on[1], 1),
                "mb_off": round(off[1], 1),
                "mb_ratio": round(on[1] / off[1], 3),
                "bytes_per_member_s": round(on[2]),
                "most_shared": round(on[3], 6),
            }
        )
    keep(Path(__file__).parent / "results" / "cost.csv", rows)


if __name__ == "__main__":
    asyncio.run(main())
