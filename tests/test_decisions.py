"""Comparison of two scheduler versions, causes of late jobs, and simulated days in virtual time."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from types import ModuleType

import pytest
from msgspec import ValidationError
from msgspec.structs import replace

from millethead.lab.screen.history import DayHistory
from millethead.lab.screen.jobs import JobPlan, draw_jobs
from millethead.lab.screen.judge import judge
from millethead.lab.screen.workload import Trouble, Workload, read_workload
from millethead.scheduling.scheduler import Scheduler

FOLDER = Path(__file__).parent.parent / "benchmarks" / "decisions"
WORKLOAD = FOLDER / "workloads" / "short-and-wide.toml"
LENGTH_S = 6.0


def load(name: str) -> ModuleType:
    """Loads a benchmark as a module."""
    spec = importlib.util.spec_from_file_location(name, FOLDER / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


paired, ledger = load("paired"), load("ledger")


# ---- paired comparison -----------------------------------------------------------------------------------


def test_verdict_requires_an_interval_that_excludes_zero() -> None:
    assert paired.difference([0.02, 0.03, 0.01, 0.02]).verdict == "better"
    assert paired.difference([-0.02, -0.03, -0.01, -0.02]).verdict == "worse"
    unclear = paired.difference([0.1, -0.09, 0.08, -0.05])
    assert unclear.verdict.startswith("cannot tell with 4 pairs, about")
    assert unclear.low < 0.0 < unclear.high


def test_verdict_is_inconclusive_with_too_little_data() -> None:
    assert "cannot tell" in paired.difference([0.1]).verdict
    assert "cannot tell" in paired.difference([0.1, 0.2]).verdict
    assert "cannot tell" in paired.difference([0.0, 0.0, 0.0]).verdict


def row(version: str, seed: str, worth: float, broken: str = "") -> object:
    return paired.Row("site", "day", seed, version, worth, worth, 0.5, 0.0, '{"looks": 0.01}', broken)


def test_only_runs_of_both_versions_are_compared() -> None:
    rows = [row("old", "1", 0.7), row("new", "1", 0.8), row("new", "2", 0.1), row("third", "1", 0.2)]
    lines = paired.report(rows, "old", "new")
    assert any("0.700 and 0.800" in line for line in lines)
    assert not any("RULE" in line for line in lines)


def test_broken_rule_is_reported() -> None:
    lines = paired.report([row("old", "1", 0.7), row("new", "1", 0.0, "TWICE")], "old", "new")
    assert sum("RULE BROKEN" in line for line in lines) == 1


def test_rows_are_appended(tmp_path: Path) -> None:
    file = tmp_path / "rows.csv"
    paired.add_row(file, row("old", "1", 0.7))
    paired.add_row(file, row("new", "1", 0.8))
    assert paired.read_rows(file) == [row("old", "1", 0.7), row("new", "1", 0.8)]


def test_runs_of_a_list_are_deterministic() -> None:
    listed = list(paired.plays_of("a/site.toml:quiet:2,a/site.toml:scale:own"))
    assert listed == list(paired.plays_of("a/site.toml:quiet:2,a/site.toml:scale:own"))
    assert [play.seed is None for play in listed] == [False, False, True]


# ---- causes of late jobs ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"unseen": 2000, "ran": 600}, "head"),
        ({"waited": 900, "ran": 700}, "room"),
        ({"repeated": 1500, "ran": 600}, "repeated"),
        ({"ran": 1800, "far": 1800}, "far"),
        ({"turnover": 800, "ran": 600}, "turnover"),
        ({"ran": 1500}, "length"),
    ],
)
def test_late_job_is_attributed_to_its_largest_loss(fields: dict[str, int], cause: str) -> None:
    parts = {name: 0 for name in ("unseen", "waited", "repeated", "ran", "turnover", "far")} | fields
    parts |= {"total": 2500, "objective": 1000, "estimated": 600}
    text = " ".join(f"{name}_ms={value}" for name, value in parts.items())
    line = f"  12.5000 node/control timestamp=x level=info event=job_late job=j time=0 queue=q {text} node=n"
    (found,) = ledger.late_jobs(iter(["other line", line]))
    assert (found.cause, found.came, found.queue, found.over_s) == (cause, 10.0, "q", 1.5)


# ---- simulated days --------------------------------------------------------------------------------------


def short_day(*troubles: Trouble) -> Workload:
    return replace(read_workload(WORKLOAD), length_s=LENGTH_S, troubles=troubles)


def play(workload: Workload, seed: int = 1) -> tuple[list[JobPlan], DayHistory]:
    history = DayHistory(workload, seed, Scheduler)
    return history.play(), history


def test_workload_with_an_unknown_field_is_rejected(tmp_path: Path) -> None:
    file = tmp_path / "workload.toml"
    file.write_text(WORKLOAD.read_text() + "\nspeed = 3\n")
    with pytest.raises(ValidationError, match="speed"):
        read_workload(file)


def test_simulation_is_deterministic_for_a_seed() -> None:
    first, _ = play(short_day())
    second, _ = play(short_day())
    assert [(job.name, job.done_s) for job in first] == [(job.name, job.done_s) for job in second]


def test_every_job_finishes_and_a_day_without_faults_earns_nearly_all() -> None:
    workload = short_day()
    jobs, history = play(workload)
    assert all(job.done_s < 60.0 for job in jobs)
    assert judge(workload, jobs).whole > 0.85
    assert history.cost.starts >= sum(len(step.tasks) for job in jobs for step in job.steps)


@pytest.mark.parametrize(
    "trouble",
    [
        Trouble("headless", 1.0, 3.0),
        Trouble("cut", 1.0, 4.0, share=0.6),
        Trouble("failing", 1.0, 4.0, share=0.5, x=0.9),
        Trouble("slow", 0.0, 5.0, share=0.6, x=6.0),
        Trouble("burst", 1.0, 4.0, x=4.0, kind_of_request="short"),
        Trouble("hot_rack", 0.0, 5.0, share=1.0),
    ],
    ids=lambda trouble: trouble.kind,
)
def test_faults_reduce_earnings(trouble: Trouble) -> None:
    calm, troubled = short_day(), short_day(trouble)
    before, after = judge(calm, play(calm)[0]), judge(troubled, play(troubled)[0])
    assert after.whole < before.whole


def test_burst_adds_jobs_of_its_kind_only() -> None:
    calm, burst = short_day(), short_day(Trouble("burst", 0.0, 6.0, x=3.0, kind_of_request="short"))
    numbers = [
        {kind.name: sum(job.kind is kind for job in draw_jobs(day, 3)) for kind in day.kinds} for day in (calm, burst)
    ]
    assert numbers[1]["short"] > 2 * numbers[0]["short"] and numbers[1]["medium"] == numbers[0]["medium"]


def test_late_job_earns_less_and_then_nothing() -> None:
    (job, *_) = draw_jobs(short_day(), 1)
    job.done_s = job.objective_s
    assert job.part() == 1.0
    job.done_s = 2.0 * job.objective_s
    assert job.part() == job.kind.late_worth
    job.done_s = 4.0 * job.objective_s
    assert job.part() == 0.0
