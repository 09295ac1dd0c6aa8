"""The scheduler's decisions: tags, placement, gangs, reservations, preemption, worker health and polling intervals."""

from __future__ import annotations

from collections import Counter
from dataclasses import astuple
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from millethead.execution.messages import Resources, RunEnd
from millethead.lab.overload import Earned, Overload, Setting
from millethead.scheduling.health import Cause, Health, HealthState
from millethead.scheduling.model import (
    Decision,
    PendingStep,
    PendingTask,
    Placement,
    QueueSpec,
    StepKey,
    UnknownStep,
    WaitReason,
    WorkerState,
)
from millethead.scheduling.polling import (
    BACKLOG_POLL_INTERVAL_S,
    MAX_POLL_INTERVAL_S,
    MIN_POLL_INTERVAL_S,
    SCARCE_POLL_INTERVAL_S,
    run_poll_interval_s,
)
from millethead.scheduling.reservation import Plan, reserve
from millethead.scheduling.scheduler import Scheduler
from millethead.scheduling.starvation import starving_steps
from millethead.scheduling.state import OVERLOAD_SIZE_DELAY_FACTOR, OVERLOAD_SLACK_FRACTION, SIZE_DELAY_FACTOR
from millethead.scheduling.tags import ArrivalRate, Phase, TagSchedule

NOTHING = Resources(0, 0, 0)
WORKER = Resources(32_000, 65_536, 8)
SMALL = Resources(2_000, 2_000, 0)
HALF = Resources(16_000, 16_000, 0)
WHOLE = Resources(32_000, 32_000, 0)


def make_queue(name: str = "q", priority: int = 1, target_s: float = 1.0, service: str = "s") -> QueueSpec:
    return QueueSpec(name, service, priority, target_s, 2.0, 4)


def make_worker(
    name: str,
    rack: str = "r1",
    *,
    service: str = "s",
    draining: bool = False,
    reachable: bool = True,
    labels: frozenset[str] = frozenset(),
    capacity: Resources = WORKER,
) -> WorkerState:
    return WorkerState(
        name,
        f"node-{name}",
        service,
        capacity,
        NOTHING,
        labels | {rack},
        rack,
        draining,
        1.0 if draining else None,
        reachable,
    )


def make_step(
    job: str,
    count: int = 1,
    needs: Resources = SMALL,
    *,
    queue: str = "q",
    estimate_s: float = 2.0,
    gang: bool = False,
    same_rack: bool = False,
    requires: str = "",
    affinity: str = "",
    anti_affinity: int = 0,
    long_running: bool = False,
    checkpoints: bool = False,
    objective_at: float = 10.0,
    since: float = 0.0,
    avoid: frozenset[str] = frozenset(),
) -> PendingStep:
    tasks = {index: PendingTask(index, "", since, avoid) for index in range(count)}
    return PendingStep(
        StepKey(job, 0, 0),
        queue,
        "s",
        needs,
        count,
        estimate_s,
        gang,
        same_rack,
        requires,
        affinity,
        anti_affinity,
        False,
        long_running,
        checkpoints,
        objective_at,
        tasks,
    )


def make_scheduler(*workers: WorkerState, queues: tuple[QueueSpec, ...] = (make_queue(),), seed: int = 1) -> Scheduler:
    scheduler = Scheduler(Random(seed))
    scheduler.set_queues(queues)
    for each in workers:
        scheduler.put_worker(each)
    return scheduler


def finish_run(scheduler: Scheduler, placement: Placement, now: float, outcome: RunEnd = RunEnd.DONE) -> None:
    scheduler.run_ended(placement.key, placement.index, placement.instance, 1, outcome, now)


def free_cpu(scheduler: Scheduler, instance: str) -> int:
    state = scheduler.worker(instance)
    assert state is not None
    return state.free.cpu


# ---- tags --------------------------------------------------------------------------------------------------


def test_tags_follow_the_formulas() -> None:
    tags = TagSchedule()
    tags.queue("a").floor, tags.queue("a").weight = 10.0, 4.0
    tags.arrive("a", 1.0, 3, 5.0)
    assert tags.queue("a").local_tag == 5.0
    assert tags.global_tag("a") == 5.0
    assert tags.take("a", 5.0) is Phase.LOCAL
    assert tags.queue("a").local_tag == pytest.approx(5.1)
    assert tags.global_tag("a") == pytest.approx(5.25)


def test_global_turn_reduces_waiting_local_tags() -> None:
    tags = TagSchedule()
    tags.queue("a").floor = 10.0
    tags.arrive("a", 1.0, 3, 5.0)
    tags.take("a", 5.0)
    assert tags.take("a", 5.0) is Phase.GLOBAL
    assert tags.queue("a").local_tag == pytest.approx(5.1)


def test_arrival_shifts_global_tags_so_that_the_smallest_equals_now() -> None:
    tags = TagSchedule()
    tags.arrive("a", 1.0, 2, 1.0)
    tags.arrive("b", 1.0, 1, 3.0)
    tags.take("a", 3.0)
    tags.arrive("c", 1.0, 1, 9.0)
    assert min(tags.global_tag(name) for name in "abc") == pytest.approx(9.0)


def test_tag_spacing_is_proportional_to_unit_size() -> None:
    tags = TagSchedule()
    tags.queue("a").floor = 2.0
    tags.arrive("a", 4.0, 2, 0.0)
    tags.take("a", 0.0)
    assert tags.queue("a").local_tag == pytest.approx(2.0)


def test_reactivated_queue_lags_by_at_most_its_idle_credit() -> None:
    tags = TagSchedule()
    tags.queue("a").weight = tags.queue("b").weight = 1.0
    tags.arrive("a", 1.0, 1, 0.0)
    tags.take("a", 0.0)
    tags.arrive("b", 1.0, 500, 0.0)
    for _ in range(400):
        tags.take("b", 0.0)
    tags.arrive("a", 1.0, 1, 1.0)
    assert tags.global_tag("a") == pytest.approx(1.0 - 2.0)


def test_withdrawn_unit_removes_the_newest_tag() -> None:
    tags = TagSchedule()
    tags.arrive("a", 1.0, 2, 0.0)
    tags.arrive("a", 1.0, 1, 0.0)
    tags.withdraw("a")
    tags.arrive("a", 1.0, 1, 0.0)
    for expected in (0.0, 1.0, 2.0):
        assert tags.queue("a").local_tag == pytest.approx(expected)
        tags.take("a", 100.0)
    assert tags.queue("a").waiting == 0


def _count_turns(
    floors: dict[str, float], weights: dict[str, float], rate: float, starts: int, backlog: int = 10
) -> Counter[str]:
    """Returns the turns of each queue at one turn per 1 / rate; each turn is followed by an arrival."""
    tags, served = TagSchedule(), Counter[str]()
    for name in floors:
        tags.queue(name).floor, tags.queue(name).weight = floors[name], weights[name]
        tags.arrive(name, 1.0, backlog, 0.0)
    for number in range(starts):
        now = number / rate
        name = tags.order(floors, now)[0]
        tags.take(name, now)
        served[name] += 1
        tags.arrive(name, 1.0, 1, now)
    return served


def test_shares_follow_weights_when_floors_are_met() -> None:
    served = _count_turns({"a": 1.0, "b": 1.0, "c": 1.0}, {"a": 1.0, "b": 2.0, "c": 5.0}, 100.0, 10_000)
    assert served["a"] == pytest.approx(1250, rel=0.05)
    assert served["b"] == pytest.approx(2500, rel=0.05)
    assert served["c"] == pytest.approx(6250, rel=0.05)


def test_floor_is_met_regardless_of_weights() -> None:
    served = _count_turns({"a": 40.0, "b": 1e-6}, {"a": 1.0, "b": 99.0}, 100.0, 10_000)
    assert served["a"] == pytest.approx(4000, rel=0.05)


def test_floors_beyond_capacity_share_in_proportion() -> None:
    served = _count_turns({"a": 100.0, "b": 200.0}, {"a": 9.0, "b": 1.0}, 100.0, 10_000, backlog=10_000)
    assert served["a"] == pytest.approx(3333, rel=0.05)


def test_arrival_rate_decays() -> None:
    rate = ArrivalRate(10.0)
    for number in range(1000):
        rate.add(2.0, number * 0.1)
    assert rate.rate(99.9) == pytest.approx(20.0, rel=0.05)
    assert rate.rate(200.0) < 0.01


# ---- placement ---------------------------------------------------------------------------------------------


def test_task_is_placed_on_a_worker_of_its_service_with_capacity() -> None:
    scheduler = make_scheduler(make_worker("other", service="t"), make_worker("w"))
    scheduler.put_step(make_step("j", count=20))
    decision = scheduler.schedule(0.0)
    assert {placement.instance for placement in decision.placements} == {"w"}
    assert len(decision.placements) == 16
    assert free_cpu(scheduler, "w") == 0
    assert scheduler.why_waiting(StepKey("j", 0, 0), 17, 0.0) is WaitReason.ROOM


def test_resources_are_released_only_when_the_run_ends() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("j", count=2, needs=WHOLE))
    first = scheduler.schedule(0.0).placements
    assert len(first) == 1
    assert not scheduler.schedule(1.0).placements
    finish_run(scheduler, first[0], 2.0)
    assert len(scheduler.schedule(2.0).placements) == 1


def test_end_of_an_older_run_does_not_release_a_newer_one() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("j", needs=WHOLE))
    (placement,) = scheduler.schedule(0.0).placements
    scheduler.run_started(placement.key, 0, "w", 2, 0.0)
    scheduler.run_ended(placement.key, 0, "w", 1, RunEnd.LOST, 1.0)
    assert free_cpu(scheduler, "w") == 0
    scheduler.run_ended(placement.key, 0, "w", 2, RunEnd.DONE, 1.0)
    assert free_cpu(scheduler, "w") == 32_000


def test_known_runs_are_allocated_whether_or_not_their_worker_is_known_yet() -> None:
    scheduler = make_scheduler(make_worker("a"))
    scheduler.put_step(make_step("j", count=2, needs=HALF))
    scheduler.run_started(StepKey("j", 0, 0), 0, "a", 1, 0.0)
    scheduler.run_started(StepKey("j", 0, 0), 1, "b", 1, 0.0)
    scheduler.put_worker(make_worker("b"))
    assert free_cpu(scheduler, "a") == free_cpu(scheduler, "b") == 16_000
    assert not scheduler.schedule(0.0).placements


def test_updated_worker_keeps_its_allocations() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("j", needs=HALF))
    scheduler.schedule(0.0)
    scheduler.put_worker(make_worker("w", capacity=Resources(20_000, 65_536, 0)))
    assert free_cpu(scheduler, "w") == 4_000
    scheduler.put_worker(make_worker("w", capacity=Resources(8_000, 65_536, 0)))
    assert free_cpu(scheduler, "w") == 0


def test_required_label_restricts_placement() -> None:
    scheduler = make_scheduler(make_worker("plain"), make_worker("fits", labels=frozenset({"a"})))
    scheduler.put_step(make_step("j", count=30, requires="a"))
    assert {placement.instance for placement in scheduler.schedule(0.0).placements} == {"fits"}
    scheduler.put_step(make_step("k", requires="b"))
    scheduler.schedule(0.0)
    assert scheduler.why_waiting(StepKey("k", 0, 0), 0, 0.0) is WaitReason.LABEL


@pytest.mark.parametrize("closed", [make_worker("w", draining=True), make_worker("w", reachable=False)])
def test_unschedulable_workers_get_no_tasks(closed: WorkerState) -> None:
    scheduler = make_scheduler(closed)
    scheduler.put_step(make_step("j"))
    assert not scheduler.schedule(0.0).placements
    scheduler.put_worker(make_worker("w"))
    assert scheduler.schedule(0.0).placements


def test_anti_affinity_counts_running_tasks_until_they_end() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("j", count=6, anti_affinity=2))
    first = scheduler.schedule(0.0).placements
    assert Counter(placement.instance for placement in first) == {"a": 2, "b": 2}
    assert scheduler.why_waiting(StepKey("j", 0, 0), 5, 0.0) is WaitReason.SPREAD
    finish_run(scheduler, first[0], 1.0)
    (again,) = scheduler.schedule(1.0).placements
    assert again.instance == first[0].instance


def test_anti_affinity_counts_runs_listed_in_the_step() -> None:
    scheduler = make_scheduler(make_worker("a"))
    pending = make_step("j", count=2, anti_affinity=1)
    del pending.tasks[0]
    pending.running[0] = "a"
    scheduler.put_step(pending)
    assert not scheduler.schedule(0.0).placements


def test_choice_of_workers_is_weighted_by_capacity() -> None:
    scheduler = make_scheduler(make_worker("wide"), make_worker("narrow", capacity=Resources(8_000, 65_536, 8)))
    picks: Counter[str] = Counter()
    for number in range(2000):
        scheduler.put_step(make_step(f"j{number}", needs=Resources(2_000, 1_000, 1)))
        (placement,) = scheduler.schedule(float(number)).placements
        picks[placement.instance] += 1
        finish_run(scheduler, placement, number + 0.5)
    assert picks["narrow"] == pytest.approx(2000 * 4 / 12, rel=0.15)


def test_nearest_objective_goes_first_and_hopeless_jobs_last() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("later", needs=WHOLE, objective_at=9.0))
    scheduler.put_step(make_step("hopeless", needs=WHOLE, objective_at=1.0))
    scheduler.put_step(make_step("near", needs=WHOLE, objective_at=5.0))
    order = []
    for now in (0.0, 0.1, 0.2):
        (placement,) = scheduler.schedule(now).placements
        order.append(placement.key.job)
        finish_run(scheduler, placement, now + 0.05)
    assert order == ["near", "later", "hopeless"]


def test_higher_priority_goes_first() -> None:
    queues = (make_queue("low", 2), make_queue("high", 0))
    scheduler = make_scheduler(make_worker("w"), queues=queues)
    scheduler.put_step(make_step("l", count=40, queue="low", needs=HALF))
    scheduler.put_step(make_step("h", count=40, queue="high", needs=HALF))
    served: Counter[str] = Counter()
    now = 0.0
    running = list(scheduler.schedule(now).placements)
    for _ in range(30):
        now += 0.5
        finish_run(scheduler, running.pop(0), now)
        placed = scheduler.schedule(now).placements
        served.update(placement.key.job for placement in placed)
        running += placed
    assert served["h"] > 3 * served["l"]


def test_withdrawn_and_removed_tasks_are_not_placed() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("j", count=3))
    scheduler.put_step(make_step("k"))
    scheduler.task_withdrawn(StepKey("j", 0, 0), 1)
    scheduler.remove_step(StepKey("k", 0, 0))
    assert {placement.index for placement in scheduler.schedule(0.0).placements} == {0, 2}
    with pytest.raises(UnknownStep):
        scheduler.task_waits(StepKey("k", 0, 0), PendingTask(0, "", 0.0), 0.0)


def test_placement_carries_the_checkpoint() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("j"))
    (placement,) = scheduler.schedule(0.0).placements
    finish_run(scheduler, placement, 1.0, RunEnd.STOPPED)
    scheduler.task_waits(placement.key, PendingTask(0, "saved", 1.0), 1.0)
    (again,) = scheduler.schedule(1.0).placements
    assert again.checkpoint == "saved"


def test_released_resources_of_a_removed_or_moved_worker_are_not_used() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("j", count=4, needs=WHOLE))
    first = scheduler.schedule(0.0).placements
    for placement in first:
        finish_run(scheduler, placement, 1.0)
    scheduler.remove_worker("a")
    scheduler.put_worker(make_worker("b", service="t"))
    assert not scheduler.schedule(1.0).placements


def test_long_running_tasks_are_spread() -> None:
    scheduler = make_scheduler(*(make_worker(f"w{number}", f"r{number // 2}") for number in range(6)))
    for number in range(6):
        scheduler.put_step(make_step(f"j{number}", long_running=True))
    placements = scheduler.schedule(0.0).placements
    assert max(Counter(placement.instance for placement in placements).values()) <= 2


def test_small_tasks_avoid_fragmenting_room_for_large_ones() -> None:
    scheduler = make_scheduler(make_worker("empty"), make_worker("used"))
    large_step = Resources(6_500, 17_000, 4)
    scheduler.put_step(make_step("l", needs=Resources(1_000, 1_000, 6)))
    (placed,) = scheduler.schedule(0.0).placements
    other = "empty" if placed.instance == "used" else "used"
    scheduler.put_step(make_step("large", needs=large_step, requires="nowhere", since=30.0, objective_at=99.0))
    picks: Counter[str] = Counter()
    for number in range(200):
        scheduler.put_step(make_step(f"j{number}", needs=Resources(500, 500, 1), since=31.0))
        (placement,) = scheduler.schedule(31.0).placements
        picks[placement.instance] += 1
        finish_run(scheduler, placement, 31.0)
    assert picks[placed.instance] > picks[other]


# ---- racks and retries -------------------------------------------------------------------------------------


def test_task_waits_a_bounded_time_for_the_rack_of_its_data() -> None:
    scheduler = make_scheduler(make_worker("near", "r1"), make_worker("far", "r2"), make_worker("other", "r3"))
    scheduler.put_step(make_step("block", needs=WHOLE, requires="r1"))
    # Uses enough of the service that the task does not starve before its wait ends.
    scheduler.put_step(make_step("use", needs=WHOLE, requires="r3"))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("j", affinity="r1", estimate_s=4.0, since=1.0))
    decision = scheduler.schedule(1.0)
    assert not decision.placements
    assert decision.next_round_at == pytest.approx(4.0)
    assert scheduler.why_waiting(StepKey("j", 0, 0), 0, 2.0) is WaitReason.RACK
    (placement,) = scheduler.schedule(4.0).placements
    assert placement.instance == "far"


def test_rack_with_the_data_is_preferred() -> None:
    scheduler = make_scheduler(*(make_worker(f"w{number}", f"r{number}") for number in range(8)))
    for number in range(12):
        scheduler.put_step(make_step(f"j{number}", affinity="r3"))
    assert {placement.instance for placement in scheduler.schedule(0.0).placements} == {"w3"}


def test_task_does_not_wait_for_a_missing_rack() -> None:
    scheduler = make_scheduler(make_worker("far", "r2"))
    scheduler.put_step(make_step("j", affinity="r1"))
    assert scheduler.schedule(0.0).placements


def test_retry_avoids_the_failed_worker_while_another_exists() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("j", avoid=frozenset({"a"})))
    (placement,) = scheduler.schedule(0.0).placements
    assert placement.instance == "b"
    scheduler.put_step(make_step("block", needs=Resources(30_000, 1_000, 0), since=0.0, avoid=frozenset({"a"})))
    scheduler.put_step(make_step("k", avoid=frozenset({"b"}), needs=WHOLE, since=0.0))
    scheduler.remove_worker("a")
    scheduler.schedule(0.0)
    assert scheduler.why_waiting(StepKey("k", 0, 0), 0, 0.0) is WaitReason.ROOM


def test_retry_waits_a_bounded_time_for_another_worker() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("block", needs=WHOLE, avoid=frozenset({"a"})))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("j", avoid=frozenset({"a"}), needs=HALF))
    decision = scheduler.schedule(0.0)
    assert not decision.placements
    assert scheduler.why_waiting(StepKey("j", 0, 0), 0, 0.5) is WaitReason.AVOIDING
    assert decision.next_round_at is not None
    (placement,) = scheduler.schedule(1.0).placements
    assert placement.instance == "a"


# ---- gangs -------------------------------------------------------------------------------------------------


def test_gang_is_placed_whole_or_not_at_all() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("block", needs=HALF))
    (blocking,) = scheduler.schedule(0.0).placements
    scheduler.put_step(make_step("g", count=4, needs=HALF, gang=True))
    assert not scheduler.schedule(0.0).placements
    finish_run(scheduler, blocking, 1.0)
    placements = scheduler.schedule(1.0).placements
    assert sorted(placement.index for placement in placements) == [0, 1, 2, 3]


def test_gang_waits_for_all_members_and_all_ends() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("g", count=2, gang=True))
    first = scheduler.schedule(0.0).placements
    finish_run(scheduler, first[0], 1.0, RunEnd.FAILED)
    scheduler.task_waits(first[0].key, PendingTask(first[0].index, "", 1.0), 1.0)
    assert not scheduler.schedule(1.0).placements
    assert scheduler.why_waiting(first[0].key, first[0].index, 1.0) is WaitReason.GANG
    finish_run(scheduler, first[1], 1.2, RunEnd.BROKEN)
    scheduler.task_waits(first[1].key, PendingTask(first[1].index, "", 1.2), 1.2)
    assert len(scheduler.schedule(1.2).placements) == 2


def test_gang_returns_to_the_failed_worker_after_a_bounded_wait() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("block", needs=WHOLE, avoid=frozenset({"a"}), long_running=True))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("g", count=2, gang=True, avoid=frozenset({"a"}), since=1.0))
    decision = scheduler.schedule(1.0)
    assert not decision.placements
    assert decision.next_round_at == pytest.approx(2.0)
    assert scheduler.why_waiting(StepKey("g", 0, 0), 0, 1.5) is WaitReason.AVOIDING
    assert {placement.instance for placement in scheduler.schedule(2.0).placements} == {"a"}


def test_worker_record_changed_by_its_owner_takes_effect_with_put_worker() -> None:
    record = make_worker("w")
    scheduler = make_scheduler(record)
    record.reachable = False
    scheduler.put_worker(record)
    scheduler.put_step(make_step("j"))
    assert not scheduler.schedule(0.0).placements
    record.reachable, record.rack = True, "r2"
    scheduler.put_worker(record)
    assert scheduler.schedule(0.0).placements


def test_gang_prefers_one_rack_and_spreads_after_a_bounded_wait() -> None:
    scheduler = make_scheduler(
        make_worker("a1", "r1"),
        make_worker("a2", "r1"),
        make_worker("b1", "r2"),
        make_worker("b2", "r2"),
        make_worker("c", "r3"),
    )
    # Uses enough of the service that the gang does not starve before its wait ends.
    for rack in ("r1", "r2", "r3"):
        scheduler.put_step(make_step(f"block-{rack}", needs=WHOLE, requires=rack, long_running=True))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("g", count=2, needs=WHOLE, gang=True, same_rack=True, estimate_s=10.0, since=0.0))
    decision = scheduler.schedule(0.0)
    assert not decision.placements
    assert decision.next_round_at == pytest.approx(3.0)
    placements = scheduler.schedule(3.0).placements
    assert len(placements) == 2


def test_same_rack_gang_is_placed_in_a_rack_that_holds_it() -> None:
    scheduler = make_scheduler(make_worker("a", "r1"), make_worker("b", "r2"), make_worker("c", "r2"))
    scheduler.put_step(make_step("g", count=2, needs=WHOLE, gang=True, same_rack=True))
    assert {placement.instance for placement in scheduler.schedule(0.0).placements} == {"b", "c"}


def test_anti_affinity_applies_within_a_gang() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("g", count=3, gang=True, anti_affinity=1))
    assert not scheduler.schedule(0.0).placements
    assert scheduler.why_waiting(StepKey("g", 0, 0), 0, 0.0) is WaitReason.TOO_LARGE
    scheduler.put_worker(make_worker("c"))
    assert {placement.instance for placement in scheduler.schedule(0.0).placements} == {"a", "b", "c"}


# ---- reservations ------------------------------------------------------------------------------------------


def _start_delay_under_load(large_step: PendingStep, seconds: float) -> float | None:
    """Returns how long after its arrival a large unit starts (s), or None if it does not start within `seconds`.

    It competes with a steady stream of small tasks that alone would fill two workers.
    """
    scheduler = make_scheduler(make_worker("a"), make_worker("b"), seed=3)
    random = Random(4)
    running: list[tuple[float, Placement]] = []
    now, number = 0.0, 0
    while now < seconds + 5.0:
        if 5.0 <= now < 5.05:
            for task in large_step.tasks.values():
                task.waiting_since = now
            scheduler.put_step(large_step)
        for finished in [entry for entry in running if entry[0] <= now]:
            running.remove(finished)
            finish_run(scheduler, finished[1], now)
        for _ in range(2):
            number += 1
            small = make_step(
                f"j{number}", needs=Resources(3_000, 1_000, 0), estimate_s=1.0, since=now, objective_at=now + 3.0
            )
            scheduler.put_step(small)
        for placement in scheduler.schedule(now).placements:
            if placement.key == large_step.key:
                return now - 5.0
            running.append((now + random.uniform(0.8, 1.2), placement))
        now += 0.05
    return None


def test_a_large_task_is_not_starved() -> None:
    started = _start_delay_under_load(make_step("large", needs=WHOLE, estimate_s=5.0, objective_at=20.0), 20.0)
    assert started is not None and started < 6.0


def test_a_large_gang_is_not_starved() -> None:
    large_step = make_step(
        "large", count=4, needs=Resources(15_000, 15_000, 0), gang=True, estimate_s=5.0, objective_at=20.0
    )
    started = _start_delay_under_load(large_step, 20.0)
    assert started is not None and started < 6.0


def test_reserved_resources_are_backfilled_by_tasks_that_end_in_time() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("long", needs=HALF, estimate_s=10.0))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("large", needs=WHOLE, estimate_s=5.0, objective_at=8.0, since=0.0))
    scheduler.schedule(0.0)
    scheduler.schedule(2.0)
    scheduler.put_step(make_step("short", needs=HALF, estimate_s=2.0, since=3.0, objective_at=9.0))
    scheduler.put_step(make_step("too-long", needs=HALF, estimate_s=9.0, since=3.0, objective_at=20.0))
    assert [placement.key.job for placement in scheduler.schedule(3.0).placements] == ["short"]
    assert scheduler.why_waiting(StepKey("too-long", 0, 0), 0, 3.0) is WaitReason.ROOM


def test_reservation_is_cancelled_with_its_step() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("long", needs=HALF, estimate_s=10.0))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("large", needs=WHOLE, objective_at=8.0, since=0.0))
    scheduler.schedule(0.0)
    scheduler.schedule(2.0)
    scheduler.put_step(make_step("other", needs=HALF, estimate_s=9.0, since=2.0, objective_at=20.0))
    assert not scheduler.schedule(2.0).placements
    assert scheduler.why_waiting(StepKey("other", 0, 0), 0, 2.0) is WaitReason.RESERVED
    scheduler.remove_step(StepKey("large", 0, 0))
    assert len(scheduler.schedule(2.0).placements) == 1


# ---- preemption --------------------------------------------------------------------------------------------

HIGH_AND_LOW = (make_queue("high", 0, 0.25), make_queue("mid", 1), make_queue("low", 2, 3.0))


def _urgent_task_on_full_worker(
    victim: PendingStep, *, when: float = 3.0
) -> tuple[Scheduler, Decision, tuple[Placement, ...]]:
    """Fills a worker with one step and adds an urgent task later."""
    scheduler = make_scheduler(make_worker("w"), queues=HIGH_AND_LOW)
    scheduler.put_step(victim)
    running = scheduler.schedule(0.0).placements
    urgent = make_step("urgent", queue="high", needs=HALF, estimate_s=2.0, since=when, objective_at=when + 3.0)
    scheduler.put_step(urgent)
    return scheduler, scheduler.schedule(when), running


def test_highest_priority_preempts_runs_with_checkpoints() -> None:
    victim = make_step("v", 2, HALF, queue="low", estimate_s=12.0, checkpoints=True, objective_at=60.0)
    scheduler, decision, _ = _urgent_task_on_full_worker(victim)
    (preemption,) = decision.preemptions
    assert preemption.key.job == "v"
    assert not scheduler.schedule(3.1).preemptions
    scheduler.run_ended(preemption.key, preemption.index, "w", 1, RunEnd.STOPPED, 3.3)
    scheduler.task_waits(preemption.key, PendingTask(preemption.index, "saved", 3.3), 3.3)
    (placement,) = scheduler.schedule(3.3).placements
    assert placement.key.job == "urgent"


def test_runs_that_end_in_time_are_not_preempted() -> None:
    victim = make_step("v", 2, HALF, queue="low", estimate_s=4.0, checkpoints=True, objective_at=60.0)
    _, decision, _ = _urgent_task_on_full_worker(victim)
    assert not decision.preemptions


def test_runs_with_more_work_to_lose_are_not_preempted() -> None:
    victim = make_step("v", 2, HALF, queue="low", estimate_s=12.0, objective_at=60.0)
    _, decision, _ = _urgent_task_on_full_worker(victim)
    assert not decision.preemptions


def test_inherited_runs_are_not_treated_as_just_started() -> None:
    """Stopping a run that has just begun loses little work. Inherited runs began before the head did, so that their
    lost work is unknown.
    """
    preempted = []
    for inherited in (False, True):
        scheduler = make_scheduler(
            make_worker("w"), queues=(make_queue("low", 2), make_queue("urgent", 0, target_s=0.25))
        )
        scheduler.put_step(make_step("v", 2, HALF, queue="low", estimate_s=12.0, objective_at=60.0))
        if inherited:
            for index in range(2):
                scheduler.run_started(StepKey("v", 0, 0), index, "w", 1, 0.0)
        scheduler.schedule(0.0)
        scheduler.put_step(make_step("urgent", 1, HALF, queue="urgent", estimate_s=2.0, since=0.1, objective_at=3.0))
        preempted.append(len(scheduler.schedule(0.1).preemptions))
    assert preempted == [1, 0]


def test_runs_of_a_removed_step_are_not_preempted_again() -> None:
    scheduler = make_scheduler(make_worker("w"), queues=HIGH_AND_LOW)
    scheduler.put_step(make_step("v", 2, HALF, queue="low", estimate_s=12.0, checkpoints=True, objective_at=60.0))
    placements = scheduler.schedule(0.0).placements
    scheduler.remove_step(StepKey("v", 0, 0))
    scheduler.run_started(placements[0].key, placements[0].index, "w", 1, 0.1)
    scheduler.put_step(make_step("urgent", queue="high", needs=HALF, estimate_s=2.0, since=3.0, objective_at=6.0))
    decision = scheduler.schedule(3.0)
    assert decision.placements == decision.preemptions == ()


def test_same_priority_is_never_preempted() -> None:
    victim = make_step("v", 2, HALF, queue="high", estimate_s=12.0, checkpoints=True, objective_at=60.0)
    _, decision, _ = _urgent_task_on_full_worker(victim)
    assert not decision.preemptions


def test_lower_priorities_preempt_nothing() -> None:
    scheduler = make_scheduler(make_worker("w"), queues=HIGH_AND_LOW)
    scheduler.put_step(make_step("v", 2, HALF, queue="low", estimate_s=12.0, checkpoints=True))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("m", needs=HALF, queue="mid", since=3.0, objective_at=5.0))
    assert not scheduler.schedule(3.0).preemptions


def test_gang_is_preempted_whole() -> None:
    victim = make_step("v", 2, HALF, queue="low", estimate_s=12.0, checkpoints=True, gang=True, objective_at=60.0)
    _, decision, _ = _urgent_task_on_full_worker(victim)
    assert {preemption.index for preemption in decision.preemptions} == {0, 1}


# ---- health ------------------------------------------------------------------------------------------------


def _run_key(job: str, instance: str, index: int = 0) -> tuple[StepKey, int, str]:
    return StepKey(job, 0, 0), index, instance


def _fail(health: Health, job: str, instance: str, now: float, index: int = 0) -> None:
    health.run_ended(_run_key(job, instance, index), RunEnd.FAILED, now)


def _succeed(health: Health, job: str, instance: str, now: float) -> None:
    health.run_ended(_run_key(job, instance), RunEnd.DONE, now)


def test_worker_that_fails_tasks_which_succeed_elsewhere_is_avoided() -> None:
    health = Health()
    for number in range(3):
        _succeed(health, f"ok{number}", "bad", 0.0)
    for number in range(3):
        _fail(health, f"j{number}", "bad", 1.0)
        _succeed(health, f"j{number}", "good", 1.5)
    assert health.state("bad") is HealthState.AVOIDED
    assert health.weight("bad") == 0.0
    assert health.state("good") is HealthState.SOUND


def test_jobs_that_fail_everywhere_do_not_count_against_workers() -> None:
    health = Health()
    for number in range(40):
        for instance in ("a", "b", "c"):
            _fail(health, f"poison{number}", instance, number * 0.1)
            _succeed(health, f"fine{number}", instance, number * 0.1)
    assert {health.state(instance) for instance in "abc"} == {HealthState.SOUND}


def test_one_failing_job_with_many_tasks_does_not_count_against_its_worker() -> None:
    health = Health()
    for index in range(20):
        _fail(health, "poison", "a", 0.0, index)
    assert health.state("a") is HealthState.SOUND


def test_worker_avoided_for_a_failing_job_is_readmitted_once_it_fails_elsewhere() -> None:
    health = Health()
    _fail(health, "p1", "a", 0.0)
    _fail(health, "p2", "a", 0.1)
    assert health.state("a") is HealthState.AVOIDED
    _fail(health, "p1", "b", 0.2)
    assert health.state("a") is HealthState.SOUND


def test_later_step_that_fails_everywhere_does_not_count_although_the_first_succeeded() -> None:
    health = Health()
    for number in range(20):
        for instance in ("a", "b"):
            _succeed(health, f"poison{number}", instance, number * 0.5)
        for index in range(3):
            health.run_ended((StepKey(f"poison{number}", 0, 1), index, "a"), RunEnd.FAILED, number * 0.5)
        for index in range(3):
            health.run_ended((StepKey(f"poison{number}", 0, 1), index, "b"), RunEnd.FAILED, number * 0.5)
        assert {health.state(instance) for instance in "ab"} == {HealthState.SOUND}


def test_step_with_some_tasks_that_fail_everywhere_does_not_count_against_workers() -> None:
    health = Health()
    for index in range(4):
        _fail(health, "partly", "b", 0.0, index)
        health.run_ended(_run_key("partly", "c", 10 + index), RunEnd.DONE, 0.0)
    assert health.state("b") is HealthState.AVOIDED  # it fails on b only
    _fail(health, "partly", "a", 0.1, 20)
    for index in range(4):
        _fail(health, "partly", "a", 0.2, index)
    assert {health.state(instance) for instance in "abc"} == {HealthState.SOUND}


def _inherit_runs(scheduler: Scheduler, job: str, count: int, instance: str, now: float) -> None:
    """Adds runs that were already under way when this scheduler learnt of them."""
    scheduler.put_step(make_step(job, count=count, since=now, objective_at=now + 20.0))
    for index in range(count):
        scheduler.run_started(StepKey(job, 0, 0), index, instance, 1, now)


def _finish_inherited_run(
    scheduler: Scheduler, job: str, index: int, instance: str, now: float, runtime_s: float | None
) -> None:
    if runtime_s is not None:
        scheduler.record_runtime(StepKey(job, 0, 0), index, instance, 1, runtime_s)
    scheduler.run_ended(StepKey(job, 0, 0), index, instance, 1, RunEnd.DONE, now)


def test_new_head_does_not_classify_sound_workers_as_slow() -> None:
    """Inherited runs end soon after the head began. If their runtimes counted from then, all later runs would seem
    slow.
    """
    scheduler = make_scheduler(*(make_worker(f"w{number}") for number in range(3)))
    for number in range(3):
        _inherit_runs(scheduler, f"old{number}", 4, f"w{number}", 0.0)
        for index in range(4):
            _finish_inherited_run(scheduler, f"old{number}", index, f"w{number}", 0.05, 2.0)
    for number in range(3):
        _inherit_runs(scheduler, f"new{number}", 8, f"w{number}", 0.1)
        for index in range(8):
            _finish_inherited_run(scheduler, f"new{number}", index, f"w{number}", 2.1, 2.0)
    assert {scheduler.health.state(f"w{number}") for number in range(3)} == {HealthState.SOUND}
    assert {scheduler.health.weight(f"w{number}") for number in range(3)} == {1.0}


def test_late_end_reports_do_not_make_a_worker_slow() -> None:
    """An end is reported late if the agent was cut off from the head, or if another process of the agent started
    meanwhile.
    """
    scheduler = make_scheduler(make_worker("w0"), make_worker("w1"))
    _inherit_runs(scheduler, "j0", 8, "w0", 0.0)
    _inherit_runs(scheduler, "j1", 8, "w1", 0.0)
    for index in range(8):
        _finish_inherited_run(scheduler, "j0", index, "w0", 2.0, 2.0)
        _finish_inherited_run(scheduler, "j1", index, "w1", 9.0, 2.0 if index % 2 else None)
    assert scheduler.health.weight("w1") == 1.0


def test_slow_worker_is_detected_by_the_runtimes_its_agent_measured() -> None:
    scheduler = make_scheduler(make_worker("w0"), make_worker("w1"))
    _inherit_runs(scheduler, "j0", 8, "w0", 0.0)
    _inherit_runs(scheduler, "j1", 12, "w1", 0.0)
    for index in range(8):
        _finish_inherited_run(scheduler, "j0", index, "w0", 2.0, 2.0)
    for index in range(12):
        _finish_inherited_run(scheduler, "j1", index, "w1", 2.0, 18.0)
    assert scheduler.health.state("w1") is HealthState.AVOIDED


def test_successful_probe_readmits_a_worker_and_pauses_grow() -> None:
    health = Health()
    _fail(health, "j1", "a", 0.0)
    _fail(health, "j2", "a", 0.0)
    pauses, now = [], 0.0
    for number in range(4):
        pauses.append(health.next_pause_end - now)
        now = health.next_pause_end
        health.start_probes(now)
        assert health.state("a") is HealthState.PROBING
        assert health.weight("a") == 1.0
        health.run_started(_run_key(f"probe{number}", "a"))
        assert health.weight("a") == 0.0
        if number < 3:
            _fail(health, f"probe{number}", "a", now)
    assert pauses == pytest.approx([3.0, 6.0, 12.0, 12.0])
    _succeed(health, "probe3", "a", now + 1.0)
    assert health.state("a") is HealthState.SOUND


def test_very_slow_worker_is_readmitted_after_a_fast_probe() -> None:
    health = Health()
    for number in range(6):
        for instance, ratio in (("ok", 1.0), ("slow", 9.0)):
            health.record_pace(_run_key(f"j{number}", instance), "q", ratio, 0.0)
    assert health.state("slow") is HealthState.AVOIDED
    for number, ratio, expected in ((10, 9.0, HealthState.AVOIDED), (11, 1.0, HealthState.SOUND)):
        now = health.next_pause_end
        health.start_probes(now)
        health.run_started(_run_key(f"j{number}", "slow"))
        for _ in range(4):
            health.record_pace(_run_key(f"j{number}", "ok"), "q", 1.0, now)
            health.record_pace(_run_key(f"j{number}", "slow"), "q", ratio, now)
        _succeed(health, f"j{number}", "slow", now + 1.0)
        assert health.state("slow") is expected


def test_other_outcomes_do_not_affect_health() -> None:
    health = Health()
    for outcome in (RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.BROKEN, RunEnd.ALONE, RunEnd.LOST, RunEnd.NEVER):
        for number in range(10):
            health.run_ended(_run_key(f"{outcome}{number}", "a"), outcome, 0.0)
    assert health.state("a") is HealthState.SOUND


def test_stalled_run_is_reported_and_its_worker_avoided() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("j", count=1, estimate_s=2.0))
    (placement,) = scheduler.schedule(0.0).placements
    for now in (0.5, 1.0, 2.0):
        scheduler.progress(placement.key, 0, placement.instance, 25, now)
    assert scheduler.stalled(2.0) == ()
    scheduler.progress(placement.key, 0, placement.instance, 25, 2.6)
    (stalled,) = scheduler.stalled(2.6)
    assert (stalled.key, stalled.instance) == (placement.key, placement.instance)
    scheduler.put_step(make_step("k", count=30, since=3.0))
    assert placement.instance not in {other.instance for other in scheduler.schedule(3.0).placements}
    scheduler.progress(placement.key, 0, placement.instance, 30, 3.5)
    assert scheduler.stalled(3.5) == ()
    assert placement.instance in {other.instance for other in scheduler.schedule(3.5).placements}


def test_slow_worker_gets_fewer_tasks() -> None:
    scheduler = make_scheduler(*(make_worker(f"w{number}") for number in range(4)), seed=5)
    running: dict[tuple[StepKey, int], tuple[float, Placement]] = {}
    picks: Counter[str] = Counter()
    for tick in range(600):
        now = tick * 0.25
        if tick % 4 == 0:
            scheduler.put_step(make_step(f"j{tick}", count=4, since=now, objective_at=now + 20.0))
        for name, (started, placement) in list(running.items()):
            runtime_s = 5.0 if placement.instance == "w0" else 2.0
            if now >= started + runtime_s:
                del running[name]
                finish_run(scheduler, placement, now)
            else:
                scheduler.progress(*name, placement.instance, int(100 * (now - started) / runtime_s), now)
        for placement in scheduler.schedule(now).placements:
            running[placement.key, placement.index] = now, placement
            picks[placement.instance] += 1
    others = (picks["w1"] + picks["w2"] + picks["w3"]) / 3
    assert picks["w0"] < 0.5 * others


def test_worker_that_fails_everything_gets_few_attempts() -> None:
    scheduler = make_scheduler(*(make_worker(f"w{number}") for number in range(4)), seed=6)
    random = Random(7)
    failures, running = 0, []
    for tick in range(400):
        now = tick * 0.1
        scheduler.put_step(make_step(f"j{tick}", since=now, objective_at=now + 5.0))
        for finished in [entry for entry in running if entry[0] <= now]:
            running.remove(finished)
            placement = finished[1]
            if placement.instance != "w0" and random.random() > 0.03:
                finish_run(scheduler, placement, now)
                continue
            failures += placement.instance == "w0"
            finish_run(scheduler, placement, now, RunEnd.FAILED)
            retry = PendingTask(placement.index, "", now, frozenset({placement.instance}))
            scheduler.task_waits(placement.key, retry, now)
        running += [(now + random.uniform(0.8, 1.2), placement) for placement in scheduler.schedule(now).placements]
    assert failures < 20


# ---- arbitrary call order ----------------------------------------------------------------------------------


class ArbitraryCallOrder(RuleBasedStateMachine):
    """Checks invariants for arbitrary sequences of calls.

    No worker exceeds its capacity, no task runs on an unfit worker, no gang runs in part, and nothing is left allocated
    at the end.
    """

    @initialize(seed=st.integers(0, 1 << 16))
    def start(self, seed: int) -> None:
        self.random = Random(seed)
        self.scheduler = make_scheduler(
            queues=(make_queue("high", 0, 0.25), make_queue("q", 1), make_queue("low", 2)), seed=seed
        )
        self.now = 0.0
        self.workers: dict[str, WorkerState] = {}
        self.steps: dict[StepKey, PendingStep] = {}
        self.waiting: dict[StepKey, set[int]] = {}
        self.running: dict[tuple[StepKey, int], str] = {}
        self.needs: dict[tuple[StepKey, int], Resources] = {}
        self.jobs = 0

    @rule(
        rack=st.sampled_from(["r1", "r2"]),
        kind=st.sampled_from(["a", "b"]),
        cpu=st.sampled_from([4, 16, 32]),
        draining=st.booleans(),
        number=st.integers(0, 5),
    )
    def put_worker(self, rack: str, kind: str, cpu: int, draining: bool, number: int) -> None:
        name = f"w{number}"
        if name in self.workers:
            old = self.workers[name]
            rack, kind, cpu = old.rack, next(iter(old.labels - {old.rack})), old.capacity.cpu // 1000
        pending = make_worker(
            name,
            rack,
            labels=frozenset({kind}),
            draining=draining,
            capacity=Resources(cpu * 1000, cpu * 2000, cpu // 4),
        )
        self.workers[name] = pending
        self.scheduler.put_worker(pending)

    @precondition(lambda self: self.workers)
    @rule(data=st.data())
    def worker_lost(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.workers)))
        del self.workers[name]
        self.scheduler.remove_worker(name)
        for (key, index), instance in list(self.running.items()):
            if instance == name:
                self._end(key, index, RunEnd.LOST)

    @rule(
        count=st.integers(1, 6),
        cpu=st.sampled_from([500, 2000, 9000, 16000]),
        gpu=st.sampled_from([0, 0, 1, 4]),
        gang=st.booleans(),
        same_rack=st.booleans(),
        requires=st.sampled_from(["", "", "a"]),
        affinity=st.sampled_from(["", "r1", "r9"]),
        anti_affinity=st.integers(0, 2),
        long_running=st.booleans(),
        checkpoints=st.booleans(),
        name=st.sampled_from(["high", "q", "low", "unlisted"]),
        span=st.integers(0, 9),
    )
    def put_step(
        self,
        count: int,
        cpu: int,
        gpu: int,
        gang: bool,
        same_rack: bool,
        requires: str,
        affinity: str,
        anti_affinity: int,
        long_running: bool,
        checkpoints: bool,
        name: str,
        span: int,
    ) -> None:
        self.jobs += 1
        pending = make_step(
            f"j{self.jobs}",
            count,
            Resources(cpu, cpu, gpu),
            queue=name,
            gang=gang,
            same_rack=same_rack,
            requires=requires,
            affinity=affinity,
            anti_affinity=anti_affinity,
            long_running=long_running,
            checkpoints=checkpoints,
            objective_at=self.now + span,
            since=self.now,
        )
        self.steps[pending.key] = pending
        self.waiting[pending.key] = set(pending.tasks)
        self.scheduler.put_step(pending)

    @rule(seconds=st.sampled_from([0.0, 0.1, 0.5, 2.0, 7.0]))
    def schedule(self, seconds: float) -> None:
        self.now += seconds
        decision = self.scheduler.schedule(self.now)
        for placement in decision.placements:
            self.waiting[placement.key].remove(placement.index)
            self.running[placement.key, placement.index] = placement.instance
            self.needs[placement.key, placement.index] = self.steps[placement.key].needs
            self._check_place(placement)
        for key in {placement.key for placement in decision.placements}:
            if self.steps[key].gang:
                assert sum(other == key for other, _ in self.running) == self.steps[key].count
        for preemption in decision.preemptions:
            assert self.running[preemption.key, preemption.index] == preemption.instance
            assert self.steps[preemption.key].queue != "high"
        for key, instance in self.running.items():
            if key[0] in self.steps and self.steps[key[0]].anti_affinity:
                same = sum(other[0] == key[0] and at == instance for other, at in self.running.items())
                assert same <= self.steps[key[0]].anti_affinity

    def _check_place(self, placement: Placement) -> None:
        worker_state, pending = self.workers[placement.instance], self.steps[placement.key]
        assert not worker_state.draining and worker_state.service == pending.service
        assert not pending.requires or pending.requires in worker_state.labels

    @precondition(lambda self: self.running)
    @rule(data=st.data(), outcome=st.sampled_from([RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED, RunEnd.NEVER]))
    def end_run(self, data: st.DataObject, outcome: RunEnd) -> None:
        key, index = data.draw(st.sampled_from(sorted(self.running)))
        self._end(key, index, outcome)

    def _end(self, key: StepKey, index: int, outcome: RunEnd) -> None:
        instance = self.running.pop((key, index))
        self.scheduler.run_ended(key, index, instance, 1, outcome, self.now)
        if key in self.steps and outcome is not RunEnd.DONE:
            self.waiting[key].add(index)
            avoid = frozenset({instance}) if outcome is RunEnd.FAILED else frozenset()
            self.scheduler.task_waits(key, PendingTask(index, "", self.now, avoid), self.now)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), percent=st.integers(0, 100))
    def report(self, data: st.DataObject, percent: int) -> None:
        key, index = data.draw(st.sampled_from(sorted(self.running)))
        self.scheduler.progress(key, index, self.running[key, index], percent, self.now)
        for stalled in self.scheduler.stalled(self.now):
            assert self.running[stalled.key, stalled.index] == stalled.instance

    @precondition(lambda self: self.steps)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(sorted(self.steps)))
        del self.steps[key]
        del self.waiting[key]
        self.scheduler.remove_step(key)

    @precondition(lambda self: any(self.waiting.values()))
    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        waits = sorted((key, index) for key, indexes in self.waiting.items() for index in indexes)
        key, index = data.draw(st.sampled_from(waits))
        self.waiting[key].remove(index)
        self.scheduler.task_withdrawn(key, index)

    @invariant()
    def allocations_match_runs(self) -> None:
        for name in getattr(self, "workers", {}):
            state = self.scheduler.worker(name)
            assert state is not None
            used = [self.needs[run] for run, instance in self.running.items() if instance == name]
            assert state.free.cpu == state.capacity.cpu - sum(needs.cpu for needs in used) >= 0
            assert state.free.mem_mb == state.capacity.mem_mb - sum(needs.mem_mb for needs in used) >= 0
            assert state.free.gpu == state.capacity.gpu - sum(needs.gpu for needs in used) >= 0
        for pool in self.scheduler._pools.values() if hasattr(self, "scheduler") else ():
            schedulable = [host for host in pool.hosts if host.schedulable]
            assert pool.hosts._allocated.cpu == sum(host.allocated.cpu for host in schedulable)
            assert pool.hosts._capacity.cpu == sum(host.capacity.cpu for host in schedulable)

    def teardown(self) -> None:
        if not hasattr(self, "scheduler"):
            return
        for key, index in list(self.running):
            self._end(key, index, RunEnd.DONE)
        for key in list(self.steps):
            self.scheduler.remove_step(key)
        self.allocations_match_runs()
        decision = self.scheduler.schedule(self.now)
        assert decision.placements == () and decision.preemptions == ()
        assert self.scheduler.is_empty


ArbitraryCallOrder.TestCase.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
TestArbitraryCallOrder = ArbitraryCallOrder.TestCase


def test_workers_are_still_used_if_most_of_a_service_is_unhealthy() -> None:
    scheduler = make_scheduler(make_worker("i-1"), make_worker("i-2"))
    for instance in ("i-1", "i-2"):
        scheduler.health._set_state(scheduler.health._worker(instance), HealthState.AVOIDED, Cause.FAILS, 0.0)
    scheduler.put_step(make_step("job", count=1))
    assert len(scheduler.schedule(1.0).placements) == 1


# ---- starvation --------------------------------------------------------------------------------------------


def _avoid(scheduler: Scheduler, instance: str) -> None:
    scheduler.health._set_state(scheduler.health._worker(instance), HealthState.AVOIDED, Cause.FAILS, 0.0)
    scheduler.health._worker(instance).until = 100.0


def test_starving_step_is_placed_on_an_avoided_worker() -> None:
    scheduler = make_scheduler(make_worker("sound", "r1"), make_worker("avoided", "r2"), make_worker("other", "r1"))
    _avoid(scheduler, "avoided")
    scheduler.put_step(make_step("first", needs=SMALL, requires="r1", estimate_s=9.0))
    scheduler.put_step(make_step("starving", requires="r2", since=1.0))
    decision = scheduler.schedule(1.0)
    assert [placement.key.job for placement in decision.placements] == ["first"]
    assert decision.next_round_at == pytest.approx(3.0)
    assert not scheduler.schedule(2.9).placements
    (placement,) = scheduler.schedule(3.0).placements
    assert (placement.key.job, placement.instance) == ("starving", "avoided")


def test_starving_step_uses_reserved_resources_of_an_underused_service() -> None:
    scheduler = make_scheduler(*(make_worker(name) for name in ("a", "b", "c", "d")))
    scheduler.put_step(make_step("lasting", needs=HALF, long_running=True))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("gang", count=4, needs=WHOLE, gang=True, estimate_s=1.0, objective_at=90.0))
    scheduler.schedule(0.0)
    pool = scheduler._pool("s")
    gang = scheduler._steps[StepKey("gang", 0, 0)]
    reserve(gang, pool, Plan(50.0, {"a": 1, "b": 1, "c": 1, "d": 1}))
    pool.next_planning_at = 100.0
    scheduler.put_step(make_step("small", estimate_s=90.0, since=1.0, objective_at=200.0))
    assert not scheduler.schedule(1.0).placements
    (placement,) = scheduler.schedule(3.0).placements
    assert placement.key.job == "small"


def test_resources_stay_reserved_if_the_service_is_well_used() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"), make_worker("c"))
    scheduler.put_step(make_step("lasting", count=2, needs=WHOLE, long_running=True))
    scheduler.schedule(0.0)
    scheduler.put_step(make_step("gang", count=2, needs=WHOLE, gang=True, estimate_s=1.0, objective_at=90.0))
    scheduler.schedule(0.0)
    pool = scheduler._pool("s")
    free = next(host.instance for host in pool.hosts if not host.runs)
    reserve(scheduler._steps[StepKey("gang", 0, 0)], pool, Plan(50.0, {free: 1}))
    pool.next_planning_at = 100.0
    scheduler.put_step(make_step("small", estimate_s=90.0, since=1.0, objective_at=200.0))
    assert not scheduler.schedule(1.0).placements
    assert not scheduler.schedule(9.0).placements


def test_step_with_a_run_does_not_starve() -> None:
    scheduler = make_scheduler(make_worker("sound", "r1"), make_worker("avoided", "r1"))
    _avoid(scheduler, "avoided")
    scheduler.put_step(make_step("spread", count=2, anti_affinity=1, estimate_s=9.0))
    assert [placement.instance for placement in scheduler.schedule(0.0).placements] == ["sound"]
    assert not scheduler.schedule(5.0).placements


def test_rejected_starts_do_not_restart_the_starvation_time() -> None:
    """Guards against LOST: the time without a run was counted from the last start that a worker rejected."""
    scheduler = make_scheduler(make_worker("near", "r1"), make_worker("far", "r2"), make_worker("other", "r2"))
    scheduler.put_step(make_step("waits", affinity="r1", estimate_s=90.0))
    for run, now in enumerate((0.0, 0.7, 1.4), 1):
        (placement,) = scheduler.schedule(now).placements
        assert placement.instance == "near"
        scheduler.run_started(placement.key, 0, "near", run, now)
        scheduler.run_ended(placement.key, 0, "near", run, RunEnd.NEVER, now)
        scheduler.task_waits(placement.key, PendingTask(0, "", now), now)
    assert [step.key.job for step in starving_steps(scheduler._pool("s"), 2.1)] == ["waits"]


def test_starving_step_is_found_behind_steps_with_runs() -> None:
    scheduler = make_scheduler(make_worker("sound", "r1"), make_worker("avoided", "r2"), make_worker("other", "r1"))
    _avoid(scheduler, "avoided")
    for number in range(6):
        scheduler.put_step(make_step(f"runs{number}", count=3, requires="r2", objective_at=5.0 + number))
        scheduler.run_started(StepKey(f"runs{number}", 0, 0), 0, "avoided", 1, 0.0)
    scheduler.put_step(make_step("starving", requires="r2", objective_at=60.0))
    assert not scheduler.schedule(0.5).placements
    placed = [placement for at in (2.4, 2.6) for placement in scheduler.schedule(at).placements]
    assert [(placement.key.job, placement.instance) for placement in placed] == [("starving", "avoided")]


def test_short_spell_of_high_use_does_not_restart_the_starvation_time() -> None:
    scheduler = make_scheduler(make_worker("sound", "r1"), make_worker("avoided", "r2"), make_worker("other", "r1"))
    _avoid(scheduler, "avoided")
    scheduler.put_step(make_step("starving", requires="r2", since=0.0))
    assert not scheduler.schedule(0.0).placements
    scheduler.put_step(make_step("spell", count=2, needs=WHOLE, requires="r1", since=1.0))
    spell = scheduler.schedule(1.0).placements
    assert len(spell) == 2
    for placement in spell:
        finish_run(scheduler, placement, 1.3)
    assert not scheduler.schedule(1.3).placements
    assert [placement.key.job for placement in scheduler.schedule(2.0).placements] == ["starving"]


def test_used_share_counts_schedulable_workers_only() -> None:
    scheduler = make_scheduler(make_worker("a"), make_worker("b"))
    scheduler.put_step(make_step("j", needs=WHOLE))
    (placement,) = scheduler.schedule(0.0).placements
    hosts = scheduler._pool("s").hosts
    assert hosts.used_share == pytest.approx(0.5)
    other = "b" if placement.instance == "a" else "a"
    scheduler.put_worker(make_worker(other, draining=True))
    assert hosts.used_share == pytest.approx(1.0)
    scheduler.put_worker(make_worker(other))
    assert hosts.used_share == pytest.approx(0.5)
    finish_run(scheduler, placement, 1.0)
    assert hosts.used_share == 0.0


# ---- order within a queue ----------------------------------------------------------------------------------


def _waiting_step(job: str, *, work_left: float, tail_s: float = 0.0, objective_at: float = 30.0) -> PendingStep:
    step_with_chain = make_step(job, needs=WHOLE, objective_at=objective_at)
    step_with_chain.work_left, step_with_chain.tail_s = work_left, tail_s
    return step_with_chain


def _first_placed(*steps: PendingStep, now: float = 0.0) -> str:
    scheduler = make_scheduler(make_worker("w"))
    for each in steps:
        scheduler.put_step(each)
    (placement,) = scheduler.schedule(now).placements
    return placement.key.job


def test_small_job_goes_before_a_large_one_if_not_all_fit() -> None:
    assert _first_placed(_waiting_step("large", work_left=400.0), _waiting_step("small", work_left=10.0)) == "small"


def test_large_job_goes_first_if_its_objective_is_much_nearer() -> None:
    small = _waiting_step("small", work_left=10.0, objective_at=60.0)
    assert _first_placed(_waiting_step("large", work_left=40.0, objective_at=10.0), small) == "large"


def test_chain_after_a_step_counts_for_its_urgency() -> None:
    assert (
        _first_placed(_waiting_step("short", work_left=10.0), _waiting_step("long", work_left=10.0, tail_s=20.0))
        == "long"
    )


def test_step_whose_chain_can_no_longer_be_in_time_goes_last() -> None:
    hopeless = _waiting_step("hopeless", work_left=10.0, tail_s=20.0, objective_at=12.0)
    assert _first_placed(hopeless, _waiting_step("timely", work_left=10.0)) == "timely"


def _small_jobs_in_time_under_overload() -> int:
    """Returns how many of 108 small jobs are in time if one worker gets 1.5 times its capacity for 20 s.

    All jobs end, including the 12 large ones.
    """
    scheduler, random, finished, running = make_scheduler(make_worker("w")), Random(5), {}, []
    arrivals = [(number * 0.17, f"j{number}", 40.0 if number % 10 == 0 else 4.0) for number in range(120)]
    now = 0.0
    while now < 90.0:
        while arrivals and arrivals[0][0] <= now:
            _, name, work = arrivals.pop(0)
            pending = make_step(name, count=int(work / 2.0), estimate_s=1.0, since=now, objective_at=now + 4.0)
            pending.work_left = work
            scheduler.put_step(pending)
        for entry in [entry for entry in running if entry[0] <= now]:
            running.remove(entry)
            finish_run(scheduler, entry[1], now)
            key = entry[1].key
            if not scheduler._steps[key].tasks and not scheduler._steps[key].run_instances:
                scheduler.remove_step(key)
                finished[key.job] = now
        running += [(now + random.uniform(0.9, 1.1), placement) for placement in scheduler.schedule(now).placements]
        now += 0.05
    assert len(finished) == 120
    small = [number for number in range(120) if number % 10]
    return sum(finished[f"j{number}"] <= number * 0.17 + 4.0 for number in small)


def test_size_delay_brings_half_as_many_more_small_jobs_in_time_under_overload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with_size = _small_jobs_in_time_under_overload()
    monkeypatch.setattr("millethead.scheduling.state.SIZE_DELAY_FACTOR", 0.0)
    monkeypatch.setattr("millethead.scheduling.state.OVERLOAD_SIZE_DELAY_FACTOR", 0.0)
    assert with_size >= 1.5 * _small_jobs_in_time_under_overload() > 0


# ---- polling intervals -------------------------------------------------------------------------------------


def _poll_interval_s(scheduler: Scheduler, job: PendingStep, now: float = 0.0) -> float:
    scheduler.put_step(job)
    (placement,) = scheduler.schedule(now).placements
    return scheduler.poll_interval_s(placement.instance)


def test_polling_costs_a_job_at_most_a_quarter_of_its_slack() -> None:
    assert run_poll_interval_s(60.0, 1) == MAX_POLL_INTERVAL_S
    assert run_poll_interval_s(4.0, 1) == pytest.approx(1.0)
    assert run_poll_interval_s(4.0, 2) == pytest.approx(0.5)  # each step of the chain may lose as much
    assert run_poll_interval_s(0.7, 2) == pytest.approx(0.0875)
    assert run_poll_interval_s(0.01, 1) == run_poll_interval_s(-1.0, 1) == MIN_POLL_INTERVAL_S


def test_poll_interval_is_short_only_if_tasks_wait_or_resources_are_scarce() -> None:
    assert (
        _poll_interval_s(make_scheduler(make_worker("w")), make_step("j", needs=WHOLE, objective_at=60.0))
        == SCARCE_POLL_INTERVAL_S
    )
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("waits", requires="nowhere", objective_at=60.0))
    assert _poll_interval_s(scheduler, make_step("j", objective_at=60.0)) == MAX_POLL_INTERVAL_S
    scheduler.put_step(make_step("half", needs=HALF, objective_at=60.0))
    scheduler.schedule(0.0)
    assert scheduler.poll_interval_s("w") == SCARCE_POLL_INTERVAL_S


def test_poll_interval_is_shortest_if_tasks_wait_for_runs_to_end() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("waits", needs=HALF, objective_at=60.0))
    assert _poll_interval_s(scheduler, make_step("j", needs=WHOLE, objective_at=5.0)) == BACKLOG_POLL_INTERVAL_S


def test_wait_for_the_rack_of_the_data_is_proportional_to_the_loss_elsewhere() -> None:
    for remote_factor, patience_s in ((1.5, 0.45), (3.0, 1.8)):
        scheduler = Scheduler(Random(1), remote_factor)
        scheduler.set_queues((make_queue(),))
        scheduler.put_worker(make_worker("near", "r1", capacity=SMALL))
        scheduler.put_worker(make_worker("far", "r2"))
        scheduler.put_step(make_step("first", affinity="r1"))
        scheduler.schedule(0.0)
        scheduler.put_step(make_step("second", affinity="r1", estimate_s=0.6))
        assert not scheduler.schedule(patience_s - 0.1).placements
        assert [placement.instance for placement in scheduler.schedule(patience_s).placements] == ["far"]


def test_tasks_are_packed_on_workers_in_use() -> None:
    scheduler = make_scheduler(*(make_worker(f"w{number}") for number in range(8)))
    scheduler.put_step(make_step("jobs", count=40))
    assert len({placement.instance for placement in scheduler.schedule(0.0).placements}) <= 5


def _mean_earnings_under_overload() -> Earned:
    """Returns the means over eight simulated histories."""
    step_with_chain = [Overload(Setting(1.5, length_s=45.0, busy_until_s=40.0), seed).play() for seed in range(8)]
    return Earned(*(sum(values) / len(step_with_chain) for values in zip(*map(astuple, step_with_chain), strict=True)))


def test_under_overload_less_work_is_spent_on_jobs_that_will_be_late_anyway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Compares the safe-start factor alone: the size of a job counts as much as without a backlog."""
    monkeypatch.setattr("millethead.scheduling.state.OVERLOAD_SIZE_DELAY_FACTOR", SIZE_DELAY_FACTOR)
    current = _mean_earnings_under_overload()
    # With this factor, steps that are about to be late go first.
    monkeypatch.setattr("millethead.scheduling.state.SAFE_START_CHAIN_FACTOR", 0.8)
    baseline = _mean_earnings_under_overload()
    assert current.worth >= baseline.worth + 0.01
    assert current.worst_windows >= baseline.worst_windows + 0.02
    assert current.in_time >= baseline.in_time + 0.02
    assert current.largest_served >= baseline.largest_served - 0.05


def test_safe_start_and_size_delay_together_earn_more_under_overload(monkeypatch: pytest.MonkeyPatch) -> None:
    current = _mean_earnings_under_overload()
    monkeypatch.setattr("millethead.scheduling.state.SAFE_START_CHAIN_FACTOR", 0.8)
    monkeypatch.setattr("millethead.scheduling.state.OVERLOAD_SIZE_DELAY_FACTOR", SIZE_DELAY_FACTOR)
    baseline = _mean_earnings_under_overload()
    assert current.worth >= baseline.worth + 0.01
    assert current.worst_windows >= baseline.worst_windows + 0.02
    assert current.in_time >= baseline.in_time + 0.02
    assert current.largest_served >= baseline.largest_served - 0.05


def test_size_delay_that_grows_with_the_backlog_earns_more_under_overload(monkeypatch: pytest.MonkeyPatch) -> None:
    current = _mean_earnings_under_overload()
    monkeypatch.setattr("millethead.scheduling.state.OVERLOAD_SIZE_DELAY_FACTOR", SIZE_DELAY_FACTOR)
    baseline = _mean_earnings_under_overload()
    assert current.worth >= baseline.worth + 0.03
    assert current.worst_windows >= baseline.worst_windows + 0.03
    assert current.in_time >= baseline.in_time + 0.03
    assert current.largest_served >= baseline.largest_served - 0.05


def test_size_delay_follows_the_backlog() -> None:
    scheduler = make_scheduler(make_worker("w"))
    sized = make_step("sized", estimate_s=2.0)
    sized.work_left = 10.0
    scheduler.put_step(sized)
    scheduler.schedule(0.0)
    queue = scheduler._steps[sized.key].queue
    assert queue.size_delay(10.0) == pytest.approx(
        SIZE_DELAY_FACTOR * queue.slack
    )  # no overload: the waiting work fits
    many = make_step("many", count=200, needs=HALF, estimate_s=2.0)
    many.work_left = 10.0
    scheduler.put_step(many)
    assert queue.pool.backlog_s > OVERLOAD_SLACK_FRACTION * queue.slack
    assert queue.size_delay(10.0) == pytest.approx(OVERLOAD_SIZE_DELAY_FACTOR * queue.slack)


def test_backlog_counts_waiting_tasks_by_the_scarcest_resource() -> None:
    scheduler = make_scheduler(make_worker("w"))
    scheduler.put_step(make_step("waits", count=10, needs=HALF, estimate_s=2.0))
    pool = scheduler._pool("s")
    assert pool.backlog_s == pytest.approx(10.0)
    first, second = scheduler.schedule(0.0).placements
    assert pool.backlog_s == pytest.approx(8.0)
    finish_run(scheduler, first, 2.0)
    scheduler.task_waits(first.key, PendingTask(first.index, "", 2.0), 2.0)
    assert pool.backlog_s == pytest.approx(9.0)
    scheduler.remove_step(first.key)
    finish_run(scheduler, second, 2.0)
    assert pool.backlog_s == 0.0
