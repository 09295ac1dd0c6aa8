"""The stand-in worker keeps to the protocol that the agents are tested against."""

from __future__ import annotations

from millethead.execution.messages import Resources
from millethead.lab.worker import Body, TaskWork, WorkerModel, WorkerProfile

BORN = 10.0
NEEDS = Resources(1000, 512, 0)
START, STOP, HOLD = "/-/run-start", "/-/run-stop", "/-/hold"


def worker(seconds: float = 5.0, gang: int = 0, checkpoints: bool = False, guards: bool = False) -> WorkerModel:
    profile = WorkerProfile(capacity=Resources(2000, 4096, 0), guards=guards)
    work = TaskWork(seconds, NEEDS, gang=gang, checkpoints=checkpoints)
    return WorkerModel(profile, lambda task, spec: work, "i-1", BORN, clock_ms=1000.0)


def start(
    model: WorkerModel,
    task: str,
    run: int = 1,
    at: float = BORN,
    deadline_ms: int = 60_000,
    fence: int = 1,
    **more: object,
) -> tuple[int, Body]:
    body = {"task": task, "run": run, "spec": "", "deadline_ms": deadline_ms, "fence": fence, **more}
    return model.call(START, body, "i-1", at)


def ends(model: WorkerModel) -> list[tuple[int, str, str]]:
    return [(end.number, end.task, end.how) for end in model.ends]


def test_start_again_is_the_same_run_and_a_lower_fence_does_nothing() -> None:
    model = worker()
    assert start(model, "a.0.0.0", fence=2)[0] == 200
    assert start(model, "a.0.0.0", fence=2)[0] == 200
    assert start(model, "b.0.0.0", fence=1)[1]["reason"] == "fence"
    assert len(model.starts) == 1


def test_other_life_is_turned_away() -> None:
    assert worker().call(HOLD, {"fence": 1}, "i-0", BORN)[0] == 421


def test_hold_is_cut_and_everything_lapses() -> None:
    model = worker(seconds=30)
    start(model, "a.0.0.0")
    model.advance(BORN + 5.9)
    assert not model.ends
    model.advance(BORN + 6.1)
    assert ends(model) == [(1, "a.0.0.0", "lapsed")]


def test_start_after_its_deadline_is_late() -> None:
    assert start(worker(), "a.0.0.0", deadline_ms=1500, at=BORN + 1)[1]["reason"] == "late"


def test_stopped_run_that_is_not_there_is_old() -> None:
    model = worker()
    model.call(STOP, {"task": "a.0.0.0", "run": 2, "fence": 1}, "i-1", BORN)
    assert start(model, "a.0.0.0", run=2)[1]["reason"] == "old"
    assert start(model, "a.0.0.0", run=3)[0] == 200


def test_ends_come_again_until_they_are_taken_note_of() -> None:
    model = worker(seconds=1)
    start(model, "a.0.0.0")
    later = BORN + 2
    assert model.call(HOLD, {"fence": 1, "last_seen": 0}, "i-1", later)[1]["exited"] == [[1, "a.0.0.0", 1, "done", ""]]
    assert model.call(HOLD, {"fence": 1, "last_seen": 0}, "i-1", later)[1]["exited"]
    assert not model.call(HOLD, {"fence": 1, "last_seen": 1}, "i-1", later)[1]["exited"]


def test_gang_waits_for_its_members_and_ends_together() -> None:
    model = worker(seconds=1, gang=2)
    start(model, "a.0.0.0")
    start(model, "a.0.0.1", at=BORN + 1)
    model.advance(BORN + 3)
    assert [(task, how) for _, task, how in ends(model)] == [("a.0.0.0", "done"), ("a.0.0.1", "done")]


def test_member_of_a_gang_alone_gives_up() -> None:
    model = worker(gang=2)
    start(model, "a.0.0.0")
    model.advance(BORN + 3.1)
    assert [how for _, _, how in ends(model)] == ["alone"]


def test_stop_saves_what_is_done() -> None:
    model = worker(seconds=10, checkpoints=True)
    start(model, "a.0.0.0")
    model.call(STOP, {"task": "a.0.0.0", "run": 1, "fence": 1}, "i-1", BORN + 3)
    model.advance(BORN + 4)
    assert model.ends[0].saved == "3.200"


def test_unguarded_worker_starts_what_does_not_fit() -> None:
    model = worker()
    for index in range(3):
        start(model, f"a.0.0.{index}")
    assert [begun.over for begun in model.starts] == [False, False, True]
    guarded = worker(guards=True)
    for index in range(2):
        start(guarded, f"a.0.0.{index}")
    assert start(guarded, "a.0.0.2")[1]["reason"] == "room"
