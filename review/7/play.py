"""A job of two stages, each step of the second of which depends on all steps of the first, beside ordinary jobs."""

from __future__ import annotations

from pathlib import Path

from review.harness_2.beside import play

STEP = {"count": 20, "cpu": 100, "mem_mb": 64, "estimate_ms": 500}


def job(width: int) -> dict[str, object]:
    """`width` steps, then `width` steps that depend on all of these."""
    first = [STEP] * width
    second = [STEP | {"deps": list(range(width))}] * width
    return {"spec": "0.5 100 64", "steps": [*first, *second]}


if __name__ == "__main__":
    play(Path(__file__).parent, special=[job(96)], calm=[job(4)])
