"""Tests of the simulated worker: it implements the worker protocol against which the agents are tested."""

from __future__ import annotations

from millethead.execution.messages import Resources
from millethead.lab.worker import Body, TaskWork, WorkerModel, WorkerProfile

START_TIME_S = 10.0
NEEDS = Resources(1000, 512, 0)
START_PATH, STOP_PATH, POLL_PATH = "/-/run-start", "/-/run-stop", "/-/hold"


def worker(seconds: float = 5.0, gang: int = 0, checkpoints: bool = False, guards: bool = False) -> WorkerModel:
    profile = WorkerProfile(capacity=Resources(2000, 4096, 0), guards=guards)
    work = TaskWork(seconds, NEEDS, gang=gang, checkpoints=checkpoints)
    return WorkerModel(profile, lambda task, spec: work, "i-1", START_TIME_S, clock_ms=1000.0)


def start(
    model: WorkerModel,
    task: str,
    run: int = 1,
    at: float = START_TIME_S,
    deadline_ms: int = 60_000,
    fence: int = 1,
    **more: object,
) -> tuple[int, Body]:
    body = {"task": task, "run": run, "spec": "", "deadline_ms": deadline_ms, "fence": fence, **more}
    return model.call(START_PATH, body, "i-1", at)


def ends(model: WorkerModel) -> list[tuple[int, str, str]]:
    return [(end.number, end.task, end.how) for end in model.ends]


def test_repeated_start_is_idempotent_and_a_lower_fence_is_rejected() -> None:
    model = worker()
    assert start(model, "a.0.0.0", fence=2)[0] == 200
    assert start(model, "a.0.0.0", fence=2)[0] == 200
    assert start(model, "b.0.0.0", fence=1)[1]["reason"] == "fence"
    assert len(model.starts) == 1


def test_call_for_another_instance_is_rejected() -> None:
    assert worker().call(POLL_PATH, {"fence": 1}, "i-0", START_TIME_S)[0] == 421


def test_deadline_is_limited_and_runs_lapse_after_it() -> None:
    model = worker(seconds=30)
    start(model, "a.0.0.0")
    model.advance(START_TIME_S + 5.9)
    assert not model.ends
    model.advance(START_TIME_S + 6.1)
    assert ends(model) == [(1, "a.0.0.0", "lapsed")]


def test_start_after_its_deadline_is_late() -> None:
    assert start(worker(), "a.0.0.0", deadline_ms=1500, at=START_TIME_S + 1)[1]["reason"] == "late"


def test_start_of_a_run_that_was_stopped_before_is_rejected_as_old() -> None:
    model = worker()
    model.call(STOP_PATH, {"task": "a.0.0.0", "run": 2, "fence": 1}, "i-1", START_TIME_S)
    assert start(model, "a.0.0.0", run=2)[1]["reason"] == "old"
    assert start(model, "a.0.0.0", run=3)[0] == 200


def test_ends_are_listed_until_they_are_acknowledged() -> None:
    model = worker(seconds=1)
    start(model, "a.0.0.0")
    later = START_TIME_S + 2
    assert model.call(POLL_PATH, {"fence": 1, "last_seen": 0}, "i-1", later)[1]["exited"] == [
        [1, "a.0.0.0", 1, "done", ""]
    ]
    assert model.call(POLL_PATH, {"fence": 1, "last_seen": 0}, "i-1", later)[1]["exited"]
    assert not model.call(POLL_PATH, {"fence": 1, "last_seen": 1}, "i-1", later)[1]["exited"]


def test_gang_waits_for_all_members_and_ends_together() -> None:
    model = worker(seconds=1, gang=2)
    start(model, "a.0.0.0")
    start(model, "a.0.0.1", at=START_TIME_S + 1)
    model.advance(START_TIME_S + 3)
    assert [(task, how) for _, task, how in ends(model)] == [("a.0.0.0", "done"), ("a.0.0.1", "done")]


def test_gang_member_without_the_others_ends_alone() -> None:
    model = worker(gang=2)
    start(model, "a.0.0.0")
    model.advance(START_TIME_S + 3.1)
    assert [how for _, _, how in ends(model)] == ["alone"]


def test_stop_saves_a_checkpoint() -> None:
    model = worker(seconds=10, checkpoints=True)
    start(model, "a.0.0.0")
    model.call(STOP_PATH, {"task": "a.0.0.0", "run": 1, "fence": 1}, "i-1", START_TIME_S + 3)
    model.advance(START_TIME_S + 4)
    assert model.ends[0].saved == "3.200"


def test_unguarded_worker_starts_runs_beyond_its_capacity() -> None:
    model = worker()
    for index in range(3):
        start(model, f"a.0.0.{index}")
    assert [run_start.over for run_start in model.starts] == [False, False, True]
    guarded = worker(guards=True)
    for index in range(2):
        start(guarded, f"a.0.0.{index}")
    assert start(guarded, "a.0.0.2")[1]["reason"] == "room"
