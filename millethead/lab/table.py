"""Result tables of benchmarks: as CSV beside them, and on the screen."""

from __future__ import annotations

import csv
from pathlib import Path
from typing import Any


def keep(path: Path, rows: list[dict[str, Any]]) -> None:
    """Write the rows, all with the keys of the first, and print them."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)
    for row in rows:
        print(" ".join(f"{k}={v}" for k, v in row.items() if v != ""))
