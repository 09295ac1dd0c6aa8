"""How much hosts are used by the health of their workers: kept up to date piece by piece, held against a derivation
from the whole."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from millethead.execution.messages import Resources, RunEnd
from millethead.scheduling.health import Health, HealthState
from millethead.scheduling.model import MIN_HOST_WEIGHT, PendingStep, PendingTask, QueueSpec, StepKey, WorkerState
from millethead.scheduling.scheduler import Scheduler
from millethead.scheduling.trust import HostHealthUpdater

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


class WorkersComeFailAndGo(RuleBasedStateMachine):
    """Any order of workers that come, change, leave, fail and succeed."""

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
    def comes_or_changes(self, instance: str, service: str, draining: bool, reachable: bool) -> None:
        self.scheduler.put_worker(make_worker(instance, service, draining=draining, reachable=reachable))

    @rule(instance=st.sampled_from(INSTANCES))
    def comes_sound(self, instance: str) -> None:
        self.scheduler.put_worker(make_worker(instance))

    @rule(instance=st.sampled_from(INSTANCES))
    def leaves(self, instance: str) -> None:
        self.scheduler.remove_worker(instance)

    @rule(count=st.integers(1, 6))
    def jobs_come(self, count: int) -> None:
        for _ in range(count):
            self.jobs += 1
            self.scheduler.put_step(make_step(f"job-{self.jobs}", self.now))
        decision = self.scheduler.schedule(self.now)
        self.running += [(placement.key, placement.instance) for placement in decision.placements]

    @rule(outcome=st.sampled_from(ENDS), which=st.integers(0, 20))
    def ends(self, outcome: RunEnd, which: int) -> None:
        if self.running:
            key, instance = self.running.pop(which % len(self.running))
            self.scheduler.run_ended(key, 0, instance, 1, outcome, self.now)

    @rule(seconds=st.floats(0.1, 8.0))
    def passes(self, seconds: float) -> None:
        self.now += seconds
        decision = self.scheduler.schedule(self.now)
        self.running += [(placement.key, placement.instance) for placement in decision.placements]

    @invariant()
    def each_host_shows_what_the_whole_says(self) -> None:
        self.scheduler.schedule(self.now)
        health: Health = self.scheduler.health
        for pool in self.scheduler._pools.values():
            hosts = list(pool.hosts)
            open_hosts = [host for host in hosts if host.schedulable]
            trusted = sum(health.weight(host.instance) > 0.0 for host in open_hosts)
            least = MIN_HOST_WEIGHT if 2 * trusted < len(open_hosts) else 0.0
            for host in hosts:
                assert host.health == max(least, health.weight(host.instance))
                assert host.is_sound == (health.state(host.instance) is HealthState.SOUND)


TestWorkersComeFailAndGo = WorkersComeFailAndGo.TestCase
TestWorkersComeFailAndGo.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_an_end_looks_at_the_worker_concerned_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a start costs must not grow with the fleet."""
    scheduler, looked = make_scheduler(), list[str]()
    for number in range(FLEET):
        scheduler.put_worker(make_worker(f"w{number}"))
    scheduler.put_step(make_step("job-1", 0.0))
    (placement,) = scheduler.schedule(0.0).placements
    show_host = HostHealthUpdater._update_host

    def backlog_tasks(keeper, pool, host):  # type: ignore[no-untyped-def]
        looked.append(host.instance)
        show_host(keeper, pool, host)

    monkeypatch.setattr(HostHealthUpdater, "_update_host", backlog_tasks)
    scheduler.run_started(placement.key, 0, placement.instance, 1, 0.1)
    scheduler.record_runtime(placement.key, 0, placement.instance, 1, 0.9)
    scheduler.run_ended(placement.key, 0, placement.instance, 1, RunEnd.DONE, 1.0)
    assert set(looked) == {placement.instance}


def fails_all(scheduler: Scheduler, instance: str) -> None:
    """Jobs of which all fail at this worker."""
    for number in range(3):
        name = f"job-{instance}-{number}"
        scheduler.put_step(make_step(name, 0.0))
        scheduler.run_started(StepKey(name, 0, 0), 0, instance, 1, 0.0)
        scheduler.run_ended(StepKey(name, 0, 0), 0, instance, 1, RunEnd.FAILED, 1.0)


def doubtful_two_of_three() -> Scheduler:
    scheduler = make_scheduler()
    for number in range(3):
        scheduler.put_worker(make_worker(f"w{number}"))
    fails_all(scheduler, "w1")
    fails_all(scheduler, "w2")
    assert health_of(scheduler, "w1") == health_of(scheduler, "w2") == MIN_HOST_WEIGHT
    return scheduler


def health_of(scheduler: Scheduler, instance: str) -> float:
    return scheduler._hosts[instance].health


def test_a_doubted_worker_is_left_out_again_once_another_one_is_gone() -> None:
    scheduler = doubtful_two_of_three()
    scheduler.remove_worker("w2")
    scheduler.schedule(1.0)
    assert health_of(scheduler, "w1") == 0.0


def test_a_doubted_worker_is_left_out_again_once_another_one_serves_elsewhere() -> None:
    scheduler = doubtful_two_of_three()
    scheduler.put_worker(make_worker("w2", "other"))
    scheduler.schedule(1.0)
    assert health_of(scheduler, "w1") == 0.0
