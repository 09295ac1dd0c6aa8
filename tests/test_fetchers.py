"""What the module knows of workers that fetch: exact free slots, classes taken, no dropped repeats."""

from harness import Node

from millethead.decide import interface as api

SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)
KEYED = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.KEYED, window=4000)
SHARED = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.KEYED, group=api.Group.ALL, window=4000)


def node_with(*entries: api.WorkerEntry) -> Node:
    node = Node(api.Settings(classes=(SAFE, KEYED, SHARED), may_probe=True, reports_in_probes=True, max_attempts=5))
    node.list(*entries)
    return node


def tell(node: Node, worker: int, free: float) -> None:
    node.give(api.ProbeEnded(worker, api.Outcome.OK, 0.0, api.Report(free_slots=free, exact=True)))


def test_each_waiting_fetch_is_one_slot_though_sends_came_a_moment_before():
    """A late, shared report is taken off by sends of its last period; an exact one has them in it."""
    node = node_with(api.WorkerEntry(1, cell=-1))
    node.balancer.report_period = 1000.0
    for number in (1, 2, 3):
        node.job(number)
    tell(node, 1, 1.0)
    assert len(node.sends) == 1
    node.until(node.now + 1)
    tell(node, 1, 1.0)
    assert len(node.sends) == 2
    tell(node, 1, 0.0)
    assert len(node.sends) == 2


def test_full_from_a_fetcher_says_nothing_of_other_workers_reports():
    node = node_with(api.WorkerEntry(1, cell=-1))
    node.job(1)
    tell(node, 1, 1.0)
    node.end(1, 0, api.Outcome.FULL)
    assert node.balancer.report_trust == 1.0


def test_a_worker_gets_only_the_classes_that_it_takes():
    node = node_with(api.WorkerEntry(1, cell=-1, job_classes=frozenset({1})), api.WorkerEntry(2, cell=-1))
    node.job(1, 0)
    node.job(2, 1)
    tell(node, 1, 5.0)
    assert node.sent_to(1) == [] and node.sent_to(2) == [1]
    tell(node, 2, 5.0)
    assert node.sent_to(1) == [2]


def test_a_keyed_job_that_may_have_run_where_no_repeat_is_dropped_fails_at_once():
    for job_class in (1, 2):  # also where all workers drop repeats together: this one does not
        node = node_with(api.WorkerEntry(1, cell=-1), api.WorkerEntry(2, cell=-1), api.WorkerEntry(3, cell=4))
        node.job(1, job_class)
        tell(node, 1, 1.0)
        assert node.sent_to(1) == [1]
        node.end(1, 0, api.Outcome.ERROR)
        for worker in (1, 2, 3):
            tell(node, worker, 1.0)
        assert node.sent_to(1) == [1]
        assert node.jobs[1].answer == "failed"


def test_a_short_time_of_a_first_try_is_no_sign_of_tries_before_it():
    """Seen with Faktory: a short custom.timeout looked like a late repeat, refused once others waited."""
    for fresh, answer in ((True, None), (False, "refused")):
        node = node_with(api.WorkerEntry(1))
        node.job(1)
        node.job(2, left=1500.0, fresh=fresh)
        assert node.jobs[2].answer == answer
