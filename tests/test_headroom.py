"""Headroom that queues of much longer tasks leave to higher priorities."""

from __future__ import annotations

from random import Random

import pytest

from millethead.execution.messages import Resources, RunEnd
from millethead.scheduling.model import PendingStep, PendingTask, Placement, QueueSpec, StepKey, WorkerState
from millethead.scheduling.priority_headroom import HEADROOM_FACTOR
from millethead.scheduling.scheduler import Scheduler

SERVICE = "service"
CPU, WORKERS = 10_000, 10
SHORT_S, LONG_S = 0.5, 20.0
MEAN_SHARE = 0.2  # fraction of all cores that the short jobs occupy on average
ARRIVAL_S = 0.1


class SimulatedService:
    """Ten workers and two queues: short tasks of priority 0 and other tasks of priority 2."""

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
        """Adds a job of one step."""
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

    def run_round(self, task_s: dict[str, float]) -> None:
        """Ends the runs that are due, then starts what the scheduler places."""
        for end, placement in [entry for entry in self.running if entry[0] <= self.now]:
            self.running.remove((end, placement))
            self.scheduler.run_ended(placement.key, placement.index, placement.instance, 1, RunEnd.DONE, self.now)
        for placement in self.scheduler.schedule(self.now).placements:
            queue = placement.key.job.rstrip("0123456789")
            self.placed[placement.key.job] = self.placed.get(placement.key.job, 0) + 1
            self.running.append((self.now + task_s[queue], placement))

    def run_with_short_jobs(self, seconds: float, task_s: dict[str, float]) -> None:
        """Runs for some seconds with evenly arriving short jobs that occupy `MEAN_SHARE` of all cores on average."""
        tasks = round(MEAN_SHARE * WORKERS * CPU / 1000 * ARRIVAL_S / SHORT_S)
        until = self.now + seconds
        while self.now < until:
            self.put("short", tasks, SHORT_S)
            self.run_round(task_s)
            self.now += ARRIVAL_S


def cores_used_by_large_job(other_s: float) -> int:
    """Returns how many tasks run of a priority-2 job that could fill the service, beside the usual short jobs."""
    service, task_s = SimulatedService(), {"short": SHORT_S, "other": other_s}
    service.run_with_short_jobs(40.0, task_s)
    name = service.put("other", 200, other_s)
    service.run_with_short_jobs(ARRIVAL_S, task_s)
    return service.placed.get(name, 0)


def test_long_tasks_leave_headroom_to_a_higher_priority() -> None:
    used = cores_used_by_large_job(LONG_S)
    expected = WORKERS * CPU / 1000 * (1.0 - HEADROOM_FACTOR * MEAN_SHARE)
    assert 0.7 * expected <= used <= 1.1 * expected


def test_short_tasks_use_all_free_cores() -> None:
    assert cores_used_by_large_job(2 * SHORT_S) > 0.75 * WORKERS * CPU / 1000


def test_short_jobs_start_immediately_beside_a_large_one() -> None:
    service, task_s = SimulatedService(), {"short": SHORT_S, "other": LONG_S}
    service.run_with_short_jobs(40.0, task_s)
    service.put("other", 200, LONG_S)
    service.run_round(task_s)
    service.now += 0.1
    burst = service.put("short", 15, SHORT_S)  # half of the mean use of the short jobs, at once
    service.run_round(task_s)
    assert service.placed[burst] == 15


def test_long_tasks_use_all_cores_if_no_higher_priority_work_has_arrived() -> None:
    service, task_s = SimulatedService(), {"short": SHORT_S, "other": LONG_S}
    name = service.put("other", 200, LONG_S)
    service.run_round(task_s)
    assert service.placed[name] == WORKERS * CPU / 1000


def test_headroom_is_released_once_higher_priority_work_stops_arriving() -> None:
    service, task_s = SimulatedService(), {"short": SHORT_S, "other": 60.0}
    service.run_with_short_jobs(20.0, task_s)
    name = service.put("other", 200, 60.0)
    service.run_round(task_s)
    cores_before = service.placed[name]
    for _ in range(50):
        service.now += 1.0
        service.put("short", 1, SHORT_S)  # a round needs a change
        service.run_round(task_s)
    assert service.placed[name] > cores_before + 20


@pytest.mark.parametrize("outcome", [RunEnd.DONE, RunEnd.FAILED, RunEnd.LOST])
def test_cores_in_use_are_released_on_every_outcome(outcome: RunEnd) -> None:
    service = SimulatedService()
    service.put("short", 8, SHORT_S)
    placements = service.scheduler.schedule(0.0).placements
    queue = next(iter(service.scheduler._pools.values())).queues["short"]
    assert queue.cores_in_use == pytest.approx(8.0)
    for placement in placements:
        service.scheduler.run_ended(placement.key, placement.index, placement.instance, 1, outcome, 1.0)
    assert queue.cores_in_use == pytest.approx(0.0)
