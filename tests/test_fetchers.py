"""Workers that fetch their jobs: exact free slots, accepted job classes, and no deduplication of repeats."""

from harness import Node

from millethead.decide import interface as api

SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)
KEYED = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.KEYED, window=4000)
KEYED_ALL = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.KEYED, group=api.Group.ALL, window=4000)


def node_with(*entries: api.WorkerEntry) -> Node:
    node = Node(api.Settings(classes=(SAFE, KEYED, KEYED_ALL), may_probe=True, reports_in_probes=True, max_attempts=5))
    node.update_workers(*entries)
    return node


def report_exact(node: Node, worker: int, free: float) -> None:
    node.handle(api.ProbeEnded(worker, api.Outcome.OK, 0.0, api.Report(free_slots=free, exact=True)))


def test_each_waiting_fetch_is_one_slot_despite_recent_sends():
    """Recent sends are subtracted from a report that may be out of date; an exact report already includes them."""
    node = node_with(api.WorkerEntry(1, cell=-1))
    node.balancer.report_period = 1000.0
    for number in (1, 2, 3):
        node.submit(number)
    report_exact(node, 1, 1.0)
    assert len(node.sends) == 1
    node.run_until(node.now + 1)
    report_exact(node, 1, 1.0)
    assert len(node.sends) == 2
    report_exact(node, 1, 0.0)
    assert len(node.sends) == 2


def test_a_rejection_by_a_fetching_worker_does_not_reduce_trust_in_reports():
    node = node_with(api.WorkerEntry(1, cell=-1))
    node.submit(1)
    report_exact(node, 1, 1.0)
    node.end_attempt(1, 0, api.Outcome.FULL)
    assert node.balancer.report_trust == 1.0


def test_a_worker_gets_only_the_classes_that_it_accepts():
    node = node_with(api.WorkerEntry(1, cell=-1, job_classes=frozenset({1})), api.WorkerEntry(2, cell=-1))
    node.submit(1, 0)
    node.submit(2, 1)
    report_exact(node, 1, 5.0)
    assert node.workers_tried(1) == [] and node.workers_tried(2) == [1]
    report_exact(node, 2, 5.0)
    assert node.workers_tried(1) == [2]


def test_a_keyed_job_that_may_have_run_at_a_worker_without_deduplication_fails_at_once():
    for job_class in (1, 2):  # also a class that all workers deduplicate together: this worker does not
        node = node_with(api.WorkerEntry(1, cell=-1), api.WorkerEntry(2, cell=-1), api.WorkerEntry(3, cell=4))
        node.submit(1, job_class)
        report_exact(node, 1, 1.0)
        assert node.workers_tried(1) == [1]
        node.end_attempt(1, 0, api.Outcome.ERROR)
        for worker in (1, 2, 3):
            report_exact(node, worker, 1.0)
        assert node.workers_tried(1) == [1]
        assert node.jobs[1].answer == "failed"


def test_a_first_try_with_a_short_timeout_is_not_taken_for_a_late_repeat():
    """A Faktory job with a short custom.timeout was refused as a late repeat as soon as other jobs waited."""
    for fresh, answer in ((True, None), (False, "refused")):
        node = node_with(api.WorkerEntry(1))
        node.submit(1)
        node.submit(2, left=1500.0, fresh=fresh)
        assert node.jobs[2].answer == answer
