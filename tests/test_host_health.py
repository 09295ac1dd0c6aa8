"""Compares host health, which is updated incrementally, with a full derivation from the health of all workers."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from millethead.execution.messages import Resources, RunEnd
from millethead.scheduling.health import Health, HealthState
from millethead.scheduling.host_health import HostHealthUpdater
from millethead.scheduling.model import MIN_HOST_WEIGHT, PendingStep, PendingTask, QueueSpec, StepKey, WorkerState
from millethead.scheduling.scheduler import Scheduler

CAPACITY = Resources(32_000, 65_536, 0)
NEEDS = Resources(4_000, 4_000, 0)
INSTANCES = tuple(f"w{number}" for number in range(6))
ENDS = (RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.FAILED, RunEnd.STOPPED)
FLEET = 400


def make_worker(instance: str, service: str = "s", *, draining: bool = False, reachable: bool = True) -> WorkerState:
    rack = f"r{instance[1:]}"
    return WorkerState(
        instance,
        f"node-{instance}",
        service,
        CAPACITY,
        Resources(0, 0, 0),
        frozenset((rack,)),
        rack,
        draining,
        1.0 if draining else None,
        reachable,
    )


def make_step(job: str, now: float) -> PendingStep:
    task = PendingTask(0, "", now, frozenset())
    return PendingStep(
        StepKey(job, 0, 0),
        "q",
        "s",
        NEEDS,
        1,
        1.0,
        False,
        False,
        "",
        "",
        0,
        False,
        False,
        False,
        now + 5.0,
        {0: task},
    )


def make_scheduler() -> Scheduler:
    scheduler = Scheduler(Random(1))
    scheduler.set_queues((QueueSpec("q", "s", 1, 1.0, 2.0, 4),))
    return scheduler


class WorkersJoinFailAndLeave(RuleBasedStateMachine):
    """Workers join, change, leave, fail and succeed in arbitrary order."""

    def __init__(self) -> None:
        super().__init__()
        self.scheduler, self.now, self.jobs = make_scheduler(), 0.0, 0
        self.running: list[tuple[StepKey, str]] = []

    @rule(
        instance=st.sampled_from(INSTANCES),
        service=st.sampled_from(("s", "s", "other")),
        draining=st.booleans(),
        reachable=st.booleans(),
    )
    def worker_joins_or_changes(self, instance: str, service: str, draining: bool, reachable: bool) -> None:
        self.scheduler.put_worker(make_worker(instance, service, draining=draining, reachable=reachable))

    @rule(instance=st.sampled_from(INSTANCES))
    def schedulable_worker_joins(self, instance: str) -> None:
        self.scheduler.put_worker(make_worker(instance))

    @rule(instance=st.sampled_from(INSTANCES))
    def worker_leaves(self, instance: str) -> None:
        self.scheduler.remove_worker(instance)

    @rule(count=st.integers(1, 6))
    def jobs_arrive(self, count: int) -> None:
        for _ in range(count):
            self.jobs += 1
            self.scheduler.put_step(make_step(f"job-{self.jobs}", self.now))
        decision = self.scheduler.schedule(self.now)
        self.running += [(placement.key, placement.instance) for placement in decision.placements]

    @rule(outcome=st.sampled_from(ENDS), which=st.integers(0, 20))
    def run_ends(self, outcome: RunEnd, which: int) -> None:
        if self.running:
            key, instance = self.running.pop(which % len(self.running))
            self.scheduler.run_ended(key, 0, instance, 1, outcome, self.now)

    @rule(seconds=st.floats(0.1, 8.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        decision = self.scheduler.schedule(self.now)
        self.running += [(placement.key, placement.instance) for placement in decision.placements]

    @invariant()
    def host_health_matches_full_derivation(self) -> None:
        self.scheduler.schedule(self.now)
        health: Health = self.scheduler.health
        for pool in self.scheduler._pools.values():
            hosts = list(pool.hosts)
            schedulable_hosts = [host for host in hosts if host.schedulable]
            healthy = sum(health.weight(host.instance) > 0.0 for host in schedulable_hosts)
            min_health = MIN_HOST_WEIGHT if 2 * healthy < len(schedulable_hosts) else 0.0
            for host in hosts:
                assert host.health == max(min_health, health.weight(host.instance))
                assert host.is_sound == (health.state(host.instance) is HealthState.SOUND)


TestWorkersJoinFailAndLeave = WorkersJoinFailAndLeave.TestCase
TestWorkersJoinFailAndLeave.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_run_end_updates_only_the_host_concerned(monkeypatch: pytest.MonkeyPatch) -> None:
    """The cost of the end of a run must not grow with the size of the fleet."""
    scheduler, updated = make_scheduler(), list[str]()
    for number in range(FLEET):
        scheduler.put_worker(make_worker(f"w{number}"))
    scheduler.put_step(make_step("job-1", 0.0))
    (placement,) = scheduler.schedule(0.0).placements
    update_host = HostHealthUpdater._update_host

    def recording_update(updater, pool, host):  # type: ignore[no-untyped-def]
        updated.append(host.instance)
        update_host(updater, pool, host)

    monkeypatch.setattr(HostHealthUpdater, "_update_host", recording_update)
    scheduler.run_started(placement.key, 0, placement.instance, 1, 0.1)
    scheduler.record_runtime(placement.key, 0, placement.instance, 1, 0.9)
    scheduler.run_ended(placement.key, 0, placement.instance, 1, RunEnd.DONE, 1.0)
    assert set(updated) == {placement.instance}


def fail_all_jobs(scheduler: Scheduler, instance: str) -> None:
    """Adds jobs that all fail on this worker."""
    for number in range(3):
        name = f"job-{instance}-{number}"
        scheduler.put_step(make_step(name, 0.0))
        scheduler.run_started(StepKey(name, 0, 0), 0, instance, 1, 0.0)
        scheduler.run_ended(StepKey(name, 0, 0), 0, instance, 1, RunEnd.FAILED, 1.0)


def two_of_three_unhealthy() -> Scheduler:
    scheduler = make_scheduler()
    for number in range(3):
        scheduler.put_worker(make_worker(f"w{number}"))
    fail_all_jobs(scheduler, "w1")
    fail_all_jobs(scheduler, "w2")
    assert health_of(scheduler, "w1") == health_of(scheduler, "w2") == MIN_HOST_WEIGHT
    return scheduler


def health_of(scheduler: Scheduler, instance: str) -> float:
    return scheduler._hosts[instance].health


def test_unhealthy_worker_is_excluded_again_after_another_one_is_removed() -> None:
    scheduler = two_of_three_unhealthy()
    scheduler.remove_worker("w2")
    scheduler.schedule(1.0)
    assert health_of(scheduler, "w1") == 0.0


def test_unhealthy_worker_is_excluded_again_after_another_one_moves_to_another_service() -> None:
    scheduler = two_of_three_unhealthy()
    scheduler.put_worker(make_worker("w2", "other"))
    scheduler.schedule(1.0)
    assert health_of(scheduler, "w1") == 0.0
