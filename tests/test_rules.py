"""The rules that the harness checks: examples of each, and all of them under random sequences of events."""

import pytest
from harness import Node, workers
from hypothesis import given, settings
from hypothesis import strategies as st

from millethead.decide import interface as api

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=120)
settings.load_profile("fixed")

SAFE = api.JobClass(deadline=5000, aim=300, stretch=2, effect=api.Effect.SAFE)
KEYED_ZONE, KEYED_CELL, KEYED_ALL = (
    api.JobClass(deadline=6000, aim=300, stretch=2, effect=api.Effect.KEYED, group=group, window=2500)
    for group in (api.Group.ZONE, api.Group.CELL, api.Group.ALL)
)
UNSAFE = api.JobClass(deadline=8000, aim=500, stretch=2, effect=api.Effect.UNSAFE)


def settings_with(**changes: object) -> api.Settings:
    fields = {
        "classes": (SAFE, KEYED_ZONE, KEYED_CELL, KEYED_ALL, UNSAFE),
        "tick": 5.0,
        "answer_grace": 20.0,
        "may_cancel": True,
        "max_attempts": 4,
        "reports_in_answers": True,
        **changes,
    }
    return api.Settings(**fields)  # type: ignore[arg-type]


@pytest.mark.parametrize("job_class", range(5))
def test_a_job_that_was_never_sent_is_refused_in_time(job_class):
    node = Node(settings_with())
    node.submit(1, job_class)
    node.run_until(node.now + 9000)
    assert node.jobs[1].answer == "refused"


@pytest.mark.parametrize(
    ("job_class", "answer"), [(0, "refused"), (1, "failed"), (2, "failed"), (3, "refused"), (4, "failed")]
)
def test_a_job_at_an_unresponsive_worker_gets_one_answer_by_its_class(job_class, answer):
    node = Node(settings_with())
    node.update_workers(*workers(1))
    node.submit(1, job_class)
    node.run_until(node.now + 9000)
    assert node.jobs[1].answer == answer


@pytest.mark.parametrize("outcome", [api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_an_unsafe_job_that_may_have_run_fails_at_once(outcome):
    node = Node(settings_with())
    node.update_workers(*workers(5))
    node.submit(1, 4)
    node.end_attempt(1, 0, outcome)
    assert node.jobs[1].answer == "failed" and len(node.workers_tried(1)) == 1


@pytest.mark.parametrize("outcome", [api.Outcome.FULL, api.Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("job_class", range(5))
def test_a_job_that_never_ran_is_sent_again(outcome, job_class):
    node = Node(settings_with())
    node.update_workers(*workers(5))
    node.submit(1, job_class)
    node.end_attempt(1, 0, outcome)
    node.run_until(node.now + 50)
    assert len(node.workers_tried(1)) == 2


@pytest.mark.parametrize(("job_class", "first_group"), [(1, {1, 2, 3, 4}), (2, {1, 2})])
def test_a_keyed_job_that_may_have_run_stays_in_its_group(job_class, first_group):
    node = Node(settings_with())
    node.update_workers(
        *workers(2, zone=0, cell=7), *workers(2, zone=0, cell=8, first=3), *workers(4, zone=1, cell=9, first=5)
    )
    for number in range(1, 9):
        node.submit(number, job_class)
        first = node.workers_tried(number)[0]
        node.end_attempt(number, 0, api.Outcome.RESET)
        node.run_until(node.now + 100)
        group = first_group if first in first_group else {3, 4} if first in (3, 4) else {5, 6, 7, 8}
        assert set(node.workers_tried(number)) <= group
        for index, attempt in enumerate(node.jobs[number].attempts):
            if attempt.outcome is None:
                node.end_attempt(number, index)


def test_a_keyed_job_that_waits_longer_than_its_window_is_not_sent_again():
    keyed = api.JobClass(20_000, aim=9000, effect=api.Effect.KEYED, group=api.Group.ZONE, window=400)
    node = Node(settings_with(classes=(keyed,)))
    node.update_workers(*workers(1))
    node.submit(1)
    node.end_attempt(1, 0, api.Outcome.RESET)  # the worker is avoided until the window is over
    node.run_until(node.now + 30_000)
    assert node.jobs[1].answer == "failed" and len(node.workers_tried(1)) == 1


def test_a_draining_worker_gets_no_jobs_until_it_is_ready_again():
    node = Node(settings_with())
    first, second = workers(2)
    node.update_workers(first, second)
    node.update_workers(api.WorkerEntry(1, state=api.WorkerState.DRAINING), form=api.ListForm.DELTA)
    for number in range(1, 5):
        node.submit(number)
    assert {w for _, _, w in node.sends} == {2}
    node.update_workers(api.WorkerEntry(2, state=api.WorkerState.GONE), first, form=api.ListForm.DELTA)
    node.run_until(node.now + 100)
    assert node.sends[-1][2] == 1


@pytest.mark.parametrize("nodes", [1, 2, 8, 60, 1000])
def test_all_nodes_together_stay_within_a_cold_workers_budget(nodes):
    """The worker starts at 12% of its speed, so the share of most nodes is far less than one job."""
    cls = api.JobClass(deadline=20_000, aim=15_000, effect=api.Effect.SAFE)
    fleet = [
        Node(
            api.Settings(
                classes=(cls,),
                node=n,
                nodes=nodes,
                tick=5.0,
                answer_grace=20.0,
                cold_from=0.12,
                cold_time=22_000.0,
                fall_multiple=2.5,
                fall_window=1000.0,
                reports_in_answers=True,
            ),
            seed=n,
        )
        for n in range(nodes)
    ]
    job_time, step, start = 300.0, 50.0, 1000.0
    for node in fleet:
        node.balancer.mean_times, node.balancer.mean_work = [job_time], job_time
        node.update_workers(*workers(1, started=start))
    sends, number = [], 0
    for tick in range(0, 20_000, int(step)):
        for node in fleet:
            before = len(node.sends)
            if tick % (step * max(1, nodes // 20)) == 0:
                number += 1
                node.submit(number)
            node.run_until(start + tick + step)
            sends += [at for at, _, _ in node.sends[before:]]
            for _, job, _ in node.sends[before:]:
                node.end_attempt(job, 0, free=3.0)
    assert sends, "a cold worker must get some jobs"
    sends.sort()
    for index, at in enumerate(sends):
        share = 0.12 + 0.88 * (at - start) / 22_000
        slots = max(node.balancer.kind_slots.get(0, 1.0) for node in fleet)
        budget = 2.5 * share * slots * 1000.0
        work = job_time * sum(1 for sent in sends[index:] if sent < at + 1000.0)
        assert work <= budget + job_time, (nodes, at, work, budget)


STEP = st.one_of(
    st.tuples(st.just("job"), st.integers(0, 4), st.integers(1, 4), st.integers(20, 8000)),
    st.tuples(st.just("job"), st.integers(1, 2), st.just(1), st.just(6000)),
    st.tuples(st.just("end"), st.integers(0, 40), st.sampled_from(list(api.Outcome)), st.integers(0, 4)),
    st.tuples(st.just("wait"), st.sampled_from([0, 1, 5, 40, 300, 1500, 4000]), st.just(0), st.just(0)),
    st.tuples(st.just("drain"), st.integers(1, 6), st.sampled_from(list(api.WorkerState)), st.integers(0, 1)),
    st.tuples(st.just("full list"), st.integers(0, 6), st.just(0), st.just(0)),
    st.tuples(st.just("withdraw"), st.integers(0, 40), st.just(0), st.just(0)),
    st.tuples(st.just("stale"), st.integers(0, 6), st.integers(0, 99), st.just(0)),
    st.tuples(st.just("probe ended"), st.integers(0, 6), st.sampled_from(list(api.Outcome)), st.integers(0, 4)),
    st.tuples(st.just("restart"), st.just(0), st.just(0), st.just(0)),
)


@given(st.lists(STEP, max_size=60), st.booleans(), st.booleans(), st.booleans(), st.integers(0, 7))
def test_every_rule_under_random_events(steps, probes, parallel, watch, seed):
    settings_ = settings_with(
        may_probe=probes,
        reports_in_probes=probes,
        parallel_attempts=parallel,
        watch_needed=watch,
        cold_time=5000.0,
        fall_multiple=2.0,
        price_fetch=0.1 * (seed % 2),
        tenants=(api.Tenant(5.0), api.Tenant(1.0)),
    )
    node = Node(settings_, seed=seed)
    entries = [api.WorkerEntry(n, zone=n % 2, cell=n % 3, started=900.0 * (n == 6)) for n in range(1, 7)]
    node.update_workers(*entries, form=api.ListForm.CACHED)
    number = 0
    for what, a, b, c in steps:
        in_flight = [
            (job, index)
            for job, submitted in node.jobs.items()
            for index, attempt in enumerate(submitted.attempts)
            if attempt.outcome is None
        ]
        if what == "job":
            number += 1
            cls = node.settings.classes[a]
            node.submit(number, a, left=min(c, cls.deadline), slots=float(b), tenant=number % 3, key=number % 5)
        elif what == "end" and in_flight:
            job, index = in_flight[a % len(in_flight)]
            node.end_attempt(job, index, b, free=None if c == 4 else float(c))
        elif what == "wait":
            node.run_until(node.now + a)
        elif what == "drain":
            node.update_workers(
                api.WorkerEntry(a, zone=a % 2, cell=a % 3, state=b, started=node.now if c else 0.0),
                form=api.ListForm.DELTA,
            )
        elif what == "full list":
            node.update_workers(*entries[:a])
        elif what == "withdraw":
            submitted = node.jobs.get(a)
            if submitted is not None and submitted.answer is None:
                submitted.answer = "left"
            node.handle(api.JobWithdrawn(a))
        elif what == "stale":  # events of jobs, timers and workers that no longer exist or never did
            node.handle(api.AttemptEnded(900 + b, a, a, api.Outcome.OK, 1.0, True))
            node.handle(api.TimerFired(b << 2 | 3))
            node.handle(api.TimerFired((900 + b) << 2))
            node.handle(api.ProbeEnded(77, api.Outcome.OK, 1.0))
            node.handle(api.PeerMessage(a, bytes(b)))
            node.handle(api.AttemptProgress(900, 0, a, 0.5))
            node.handle(api.AttemptStreaming(900, 0, a))
        elif what == "probe ended":
            node.handle(api.ProbeEnded(a, b, 2.0, api.Report(free_slots=float(c))))
        elif what == "restart":
            listed, unavailable, now = node.entries, node.unavailable, node.now
            node = Node(settings_, seed=seed + 1, now=now)
            ready = [entry for worker, entry in listed.items() if worker not in unavailable]
            node.update_workers(*ready, form=api.ListForm.CACHED)
    node.run_until(node.now + 30_000)
    assert all(submitted.answer for submitted in node.jobs.values())


def test_the_same_events_result_in_the_same_actions():
    def run() -> list[api.Action]:
        node = Node(settings_with(may_probe=True), seed=5)
        node.update_workers(*workers(30))
        for number in range(1, 60):
            node.submit(number, number % 5)
            node.run_until(node.now + 7)
        return node.actions

    assert run() == run()
