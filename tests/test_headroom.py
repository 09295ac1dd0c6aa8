"""Room that queues of much longer tasks leave to better priorities."""

from __future__ import annotations

from random import Random

import pytest

from millethead.execution.messages import Resources, RunEnd
from millethead.scheduling.headroom import HEADROOM_FACTOR
from millethead.scheduling.model import PendingStep, PendingTask, Placement, QueueSpec, StepKey, WorkerState
from millethead.scheduling.scheduler import Scheduler

SERVICE = "service"
CPU, WORKERS = 10_000, 10
SHORT_S, LONG_S = 0.5, 20.0
MEAN_SHARE = 0.2  # of all cores that the short jobs take on average
ARRIVAL_S = 0.1


class World:
    """Ten workers, and two queues: short tasks of priority 0, and others of priority 2."""

    def __init__(self) -> None:
        self.scheduler = Scheduler(Random(1))
        self.scheduler.set_queues(
            (QueueSpec("short", SERVICE, 0, 0.3, 1.5, 4), QueueSpec("other", SERVICE, 2, 3.0, 4.0, 4))
        )
        room = Resources(CPU, 1 << 20, 0)
        for number in range(WORKERS):
            self.scheduler.put_worker(
                WorkerState(
                    f"w{number}", f"n{number}", SERVICE, room, room, frozenset(), f"r{number}", False, None, True
                )
            )
        self.running: list[tuple[float, Placement]] = []
        self.placed: dict[str, int] = {}
        self.now, self._number = 0.0, 0

    def put(self, queue: str, count: int, task_s: float, cpu: int = 1000) -> str:
        """A job of one step comes."""
        self._number += 1
        name = f"{queue}{self._number}"
        tasks = {index: PendingTask(index, "", self.now) for index in range(count)}
        self.scheduler.put_step(
            PendingStep(
                StepKey(name, 0, 0),
                queue,
                SERVICE,
                Resources(cpu, 1, 0),
                count,
                task_s,
                *(False, False, "", "", 0, False, False, False),
                self.now + 4 * task_s,
                tasks,
            )
        )
        return name

    def round(self, task_s: dict[str, float]) -> None:
        """Ends that are due, then what the scheduler places."""
        for end, placement in [entry for entry in self.running if entry[0] <= self.now]:
            self.running.remove((end, placement))
            self.scheduler.run_ended(placement.key, placement.index, placement.instance, 1, RunEnd.DONE, self.now)
        for placement in self.scheduler.schedule(self.now).placements:
            queue = placement.key.job.rstrip("0123456789")
            self.placed[placement.key.job] = self.placed.get(placement.key.job, 0) + 1
            self.running.append((self.now + task_s[queue], placement))

    def bring_short_work(self, seconds: float, task_s: dict[str, float]) -> None:
        """Short jobs come evenly for a while, and take `MEAN_SHARE` of all cores on average."""
        tasks = round(MEAN_SHARE * WORKERS * CPU / 1000 * ARRIVAL_S / SHORT_S)
        until = self.now + seconds
        while self.now < until:
            self.put("short", tasks, SHORT_S)
            self.round(task_s)
            self.now += ARRIVAL_S


def held_after_a_large_job(other_s: float) -> int:
    """Tasks that a job of priority 2 that would fill the service has running, beside the usual short work."""
    world, task_s = World(), {"short": SHORT_S, "other": other_s}
    world.bring_short_work(40.0, task_s)
    name = world.put("other", 200, other_s)
    world.bring_short_work(ARRIVAL_S, task_s)
    return world.placed.get(name, 0)


def test_long_tasks_leave_room_to_a_better_priority() -> None:
    held = held_after_a_large_job(LONG_S)
    most = WORKERS * CPU / 1000 * (1.0 - HEADROOM_FACTOR * MEAN_SHARE)
    assert 0.7 * most <= held <= 1.1 * most


def test_tasks_that_end_soon_take_all_that_is_free() -> None:
    assert held_after_a_large_job(2 * SHORT_S) > 0.75 * WORKERS * CPU / 1000


def test_short_jobs_start_at_once_beside_a_large_one() -> None:
    world, task_s = World(), {"short": SHORT_S, "other": LONG_S}
    world.bring_short_work(40.0, task_s)
    world.put("other", 200, LONG_S)
    world.round(task_s)
    world.now += 0.1
    burst = world.put("short", 15, SHORT_S)  # half of what the short ones take on average, at once
    world.round(task_s)
    assert world.placed[burst] == 15


def test_long_tasks_take_everything_where_no_better_work_has_come() -> None:
    world, task_s = World(), {"short": SHORT_S, "other": LONG_S}
    name = world.put("other", 200, LONG_S)
    world.round(task_s)
    assert world.placed[name] == WORKERS * CPU / 1000


def test_room_is_given_back_once_the_better_work_stays_away() -> None:
    world, task_s = World(), {"short": SHORT_S, "other": 60.0}
    world.bring_short_work(20.0, task_s)
    name = world.put("other", 200, 60.0)
    world.round(task_s)
    before = world.placed[name]
    for _ in range(50):
        world.now += 1.0
        world.put("short", 1, SHORT_S)  # something has to happen for a round to come
        world.round(task_s)
    assert world.placed[name] > before + 20


@pytest.mark.parametrize("outcome", [RunEnd.DONE, RunEnd.FAILED, RunEnd.LOST])
def test_what_is_in_use_is_released_with_every_end(outcome: RunEnd) -> None:
    world = World()
    world.put("short", 8, SHORT_S)
    placements = world.scheduler.schedule(0.0).placements
    queue = next(iter(world.scheduler._pools.values())).queues["short"]
    assert queue.cores_in_use == pytest.approx(8.0)
    for placement in placements:
        world.scheduler.run_ended(placement.key, placement.index, placement.instance, 1, outcome, 1.0)
    assert queue.cores_in_use == pytest.approx(0.0)
