"""How much hosts are used by the health of their workers: kept up to date piece by piece, held against a derivation
from the whole."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from millethead.execution.messages import Resources, RunEnd
from millethead.scheduling.health import Health, Standing
from millethead.scheduling.model import LEAST_WEIGHT, PendingStep, PendingTask, QueueSpec, StepKey, WorkerState
from millethead.scheduling.scheduler import Scheduler
from millethead.scheduling.trust import TrustKeeper

CAPACITY = Resources(32_000, 65_536, 0)
NEEDS = Resources(4_000, 4_000, 0)
INSTANCES = tuple(f"w{number}" for number in range(6))
ENDS = (RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.FAILED, RunEnd.STOPPED)
FLEET = 400


def worker(instance: str, service: str = "s", *, draining: bool = False, reachable: bool = True) -> WorkerState:
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


def step(job: str, now: float) -> PendingStep:
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


def scheduler() -> Scheduler:
    made = Scheduler(Random(1))
    made.set_queues((QueueSpec("q", "s", 1, 1.0, 2.0, 4),))
    return made


class WorkersComeFailAndGo(RuleBasedStateMachine):
    """Any order of workers that come, change, leave, fail and succeed."""

    def __init__(self) -> None:
        super().__init__()
        self.made, self.now, self.jobs = scheduler(), 0.0, 0
        self.running: list[tuple[StepKey, str]] = []

    @rule(
        instance=st.sampled_from(INSTANCES),
        service=st.sampled_from(("s", "s", "other")),
        draining=st.booleans(),
        reachable=st.booleans(),
    )
    def comes_or_changes(self, instance: str, service: str, draining: bool, reachable: bool) -> None:
        self.made.put_worker(worker(instance, service, draining=draining, reachable=reachable))

    @rule(instance=st.sampled_from(INSTANCES))
    def comes_sound(self, instance: str) -> None:
        self.made.put_worker(worker(instance))

    @rule(instance=st.sampled_from(INSTANCES))
    def leaves(self, instance: str) -> None:
        self.made.remove_worker(instance)

    @rule(count=st.integers(1, 6))
    def jobs_come(self, count: int) -> None:
        for _ in range(count):
            self.jobs += 1
            self.made.put_step(step(f"job-{self.jobs}", self.now))
        decision = self.made.schedule(self.now)
        self.running += [(placement.key, placement.instance) for placement in decision.placements]

    @rule(how=st.sampled_from(ENDS), which=st.integers(0, 20))
    def ends(self, how: RunEnd, which: int) -> None:
        if self.running:
            key, instance = self.running.pop(which % len(self.running))
            self.made.run_ended(key, 0, instance, 1, how, self.now)

    @rule(seconds=st.floats(0.1, 8.0))
    def passes(self, seconds: float) -> None:
        self.now += seconds
        decision = self.made.schedule(self.now)
        self.running += [(placement.key, placement.instance) for placement in decision.placements]

    @invariant()
    def each_host_shows_what_the_whole_says(self) -> None:
        self.made.schedule(self.now)
        health: Health = self.made.health
        for pool in self.made._pools.values():
            hosts = list(pool.hosts)
            open_hosts = [host for host in hosts if host.open]
            trusted = sum(health.weight(host.instance) > 0.0 for host in open_hosts)
            least = LEAST_WEIGHT if 2 * trusted < len(open_hosts) else 0.0
            for host in hosts:
                assert host.health == max(least, health.weight(host.instance))
                assert host.proven == (health.standing(host.instance) is Standing.SOUND)


TestWorkersComeFailAndGo = WorkersComeFailAndGo.TestCase
TestWorkersComeFailAndGo.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_an_end_looks_at_the_worker_concerned_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a start costs must not grow with the fleet."""
    made, looked = scheduler(), list[str]()
    for number in range(FLEET):
        made.put_worker(worker(f"w{number}"))
    made.put_step(step("job-1", 0.0))
    (placement,) = made.schedule(0.0).placements
    show_host = TrustKeeper._show_host

    def counted(keeper, pool, host):  # type: ignore[no-untyped-def]
        looked.append(host.instance)
        show_host(keeper, pool, host)

    monkeypatch.setattr(TrustKeeper, "_show_host", counted)
    made.run_started(placement.key, 0, placement.instance, 1, 0.1)
    made.run_lasted(placement.key, 0, placement.instance, 1, 0.9)
    made.run_ended(placement.key, 0, placement.instance, 1, RunEnd.DONE, 1.0)
    assert set(looked) == {placement.instance}


def fails_all(made: Scheduler, instance: str) -> None:
    """Jobs of which all fail at this worker."""
    for number in range(3):
        name = f"job-{instance}-{number}"
        made.put_step(step(name, 0.0))
        made.run_started(StepKey(name, 0, 0), 0, instance, 1, 0.0)
        made.run_ended(StepKey(name, 0, 0), 0, instance, 1, RunEnd.FAILED, 1.0)


def doubtful_two_of_three() -> Scheduler:
    made = scheduler()
    for number in range(3):
        made.put_worker(worker(f"w{number}"))
    fails_all(made, "w1")
    fails_all(made, "w2")
    assert health_of(made, "w1") == health_of(made, "w2") == LEAST_WEIGHT
    return made


def health_of(made: Scheduler, instance: str) -> float:
    return made._hosts[instance].health


def test_a_doubted_worker_is_left_out_again_once_another_one_is_gone() -> None:
    made = doubtful_two_of_three()
    made.remove_worker("w2")
    made.schedule(1.0)
    assert health_of(made, "w1") == 0.0


def test_a_doubted_worker_is_left_out_again_once_another_one_serves_elsewhere() -> None:
    made = doubtful_two_of_three()
    made.put_worker(worker("w2", "other"))
    made.schedule(1.0)
    assert health_of(made, "w1") == 0.0
