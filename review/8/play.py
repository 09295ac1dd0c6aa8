"""A job of one step with many small tasks, beside ordinary jobs."""

from __future__ import annotations

from pathlib import Path

from review.harness_2.beside import play


def job(count: int) -> dict[str, object]:
    """`count` tasks of a hundredth of a core each."""
    return {"spec": "1 10 8", "steps": [{"count": count, "cpu": 10, "mem_mb": 8, "estimate_ms": 1000}]}


if __name__ == "__main__":
    play(Path(__file__).parent, special=[job(10_000)], calm=[job(100)])
