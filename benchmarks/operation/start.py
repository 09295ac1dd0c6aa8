"""What a start costs, as ratios of a bare interpreter's: its parts one after another, and many processes on one core.

    .venv/bin/python benchmarks/operation/start.py    # writes results/start.csv

Each row is the median of ROUNDS starts, a bare interpreter's measured in turn with it. `ready`: from the start until
`GET /up` says yes, with the last list and discovery down; many processes on one core have a part of it each.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median

ROOT = Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from dispatcher_fixture import SETTINGS, endpoint  # noqa: E402

from millethead.lab.pack import free_port  # noqa: E402
from millethead.lab.table import keep  # noqa: E402

ROUNDS, LIMIT = 9, 120.0


def run(*args: str, env: dict[str, str]) -> float:
    began = time.monotonic()
    subprocess.run([sys.executable, *args], env=env, cwd=ROOT, check=True, capture_output=True)
    return time.monotonic() - began


def ready(folder: Path, count: int, core: int | None) -> list[float]:
    """s until each of `count` processes that start at once says yes, all on one core if it is given."""
    processes, ports, took = [], [], {}
    began = time.monotonic()
    for n in range(count):
        port = free_port()
        path = folder / f"{n}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{n}",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{free_port()}",
                    "seed": "1",
                    "limits": {"sockets": 256},
                    "settings": SETTINGS,
                    "known": {"index": 1, "snapshot": True, "endpoints": [endpoint(1, 9)]},
                }
            )
        )
        ports.append(port)
        process = subprocess.Popen(
            [sys.executable, "-m", "millethead", "serve"],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(folder)},
        )
        if core is not None:
            os.sched_setaffinity(process.pid, {core})
        processes.append(process)
    try:
        while len(took) < count and time.monotonic() < began + LIMIT:
            for n, port in enumerate(ports):
                if n not in took:
                    try:
                        with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
                            sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                            if b" 200 " in sock.recv(100):
                                took[n] = time.monotonic() - began
                    except OSError:
                        pass
            time.sleep(0.005)
    finally:
        for process in processes:
            process.kill()
            process.wait()
    return sorted(took.values())


def main() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = folder / "check.json"
        path.write_text(
            json.dumps(
                {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:9", "seed": "1", "settings": SETTINGS}
            )
        )
        env = {**os.environ, "BALANCER_CONFIG": str(path)}
        parts: dict[str, Callable[[], list[float]]] = {
            "imports": lambda: [run("-c", "import millethead.program", env=env)],
            "imports and configuration": lambda: [run("-m", "millethead", "check", env=env)],
            "ready": lambda: ready(folder, 1, None),
            "ready, 10 on one core": lambda: ready(folder, 10, 0),
            "ready, 20 on one core": lambda: ready(folder, 20, 0),
        }
        rows = []
        for what, part in parts.items():
            bare, took = [], []
            for _ in range(ROUNDS if "core" not in what else 3):
                bare.append(run("-c", "pass", env=env))
                took += part()
            took.sort()
            rows.append(
                {
                    "what": what,
                    "starts": len(took),
                    "median_ratio": round(median(took) / median(bare), 1),
                    "nine_in_ten_ratio": round(took[int(0.9 * (len(took) - 1))] / median(bare), 1),
                    "nine_in_ten_s": round(took[int(0.9 * (len(took) - 1))], 2),
                }
            )
        keep(Path(__file__).parent / "results" / "start.csv", rows)


if __name__ == "__main__":
    main()
