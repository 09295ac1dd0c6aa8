"""Regression tests: one for each fault of the decision module that was found in operation or in simulation."""

from itertools import pairwise

from harness import Node, workers

from millethead.decide import interface as api

SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)


def test_a_node_finds_every_slot_of_a_worker_it_already_uses():
    """Workers with expired reports were probed only if the estimate showed a free slot, so other slots went unused."""
    node = Node(api.Settings(classes=(SAFE,), may_probe=True, reports_in_probes=True))
    node.update_workers(*workers(1))
    for number in range(1, 5):
        node.submit(number)
        node.run_until(node.now + 200)
        while node.probes:
            held = sum(1 for job in node.jobs.values() for attempt in job.attempts if attempt.outcome is None)
            report = api.Report(free_slots=3.0 - held)
            node.handle(api.ProbeEnded(node.probes.pop(), api.Outcome.OK, 2.0, report))
    assert len(node.sends) == 3  # the number of slots, and no more


def test_a_rejected_probe_does_not_count_as_a_failure():
    node = Node(api.Settings(classes=(SAFE,), may_probe=True, reports_in_probes=True))
    node.update_workers(*workers(1))
    node.submit(1)
    node.handle(api.ProbeEnded(1, api.Outcome.FULL, 2.0))
    node.run_until(node.now + 600)
    assert len(node.probes) >= 2


def test_jobs_with_a_key_go_only_to_the_workers_that_cache_its_data():
    """In overload such jobs went to any worker, and their fetches occupied slots and overloaded the origin store."""
    used = []
    for n in (0, 1):  # both nodes choose the same workers
        settings = api.Settings(classes=(SAFE,), price_fetch=0.15, reports_in_answers=True, node=n, nodes=2)
        node = Node(settings, seed=n)
        node.update_workers(*workers(40))
        for number in range(1, 200):
            node.submit(number, key=100 + number % 40)
            node.run_until(node.now + 1)
        used.append({w for _, job, w in node.sends if job % 40 == 7})
        assert 1 <= len(used[-1]) <= 4
        waiting = [number for number, job in node.jobs.items() if not job.attempts]
        assert waiting  # although other workers have free slots
        node.run_until(node.now + 2600)
        unsent = [node.jobs[job].answer for job in waiting if not node.workers_tried(job)]
        assert unsent and set(unsent) == {"refused"}
        assert {w for _, job, w in node.sends if job % 40 == 7} == used[-1]
    assert len(used[0] | used[1]) <= 4


def test_the_next_worker_in_rank_replaces_an_avoided_cache_worker():
    """Jobs go only to the workers that cache their key's data, so an unreachable one must be replaced."""
    node = Node(api.Settings(classes=(SAFE,), price_fetch=0.15, reports_in_answers=True))
    node.update_workers(*workers(12))
    unreachable: set[int] = set()
    for number in range(1, 200):
        node.submit(number, key=5)
        for worker in node.workers_tried(number):
            if len(unreachable) < 3:
                unreachable.add(worker)
            if worker in unreachable:
                node.end_attempt(number, len(node.jobs[number].attempts) - 1, api.Outcome.CONNECT_FAILED)
        node.run_until(node.now + 10)
    used = {w for _, _, w in node.sends}
    assert len(unreachable) == 3 and len(used - unreachable) >= 1


def test_a_repeat_bound_to_a_group_may_go_to_workers_that_do_not_cache_its_data():
    """The cell that the first attempt may have reached can contain none of the workers that cache the key's data."""
    cls = api.JobClass(6000.0, 600.0, effect=api.Effect.KEYED, group=api.Group.CELL, window=9000.0)
    node = Node(api.Settings(classes=(cls,), price_fetch=0.15, reports_in_answers=True))
    node.update_workers(*(api.WorkerEntry(n, cell=n // 2) for n in range(1, 25)))
    for number in range(1, 5):
        node.submit(number, key=number)
        node.end_attempt(number, 0, api.Outcome.ERROR, free=2.0)
        node.run_until(node.now + 500)
        assert len(node.workers_tried(number)) >= 2


def test_slots_freed_since_the_report_are_used():
    """The completion of an attempt sent after the last report was not added to the free slots."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.update_workers(*workers(1))
    for number in range(1, 5):
        node.submit(number)
    for number in range(1, 4):
        node.now += 20.0
        node.end_attempt(number, 0, free=0.0)  # the report was made before the slot was freed
    assert len(node.sends) == 4


def test_a_queue_at_the_worker_is_subtracted_from_freed_slots():
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.update_workers(*workers(1))
    for number in range(1, 4):
        node.submit(number)
    node.now += 20.0
    job = node.jobs[1]
    job.attempts[0].outcome, job.answer = api.Outcome.OK, "served"
    node.handle(api.AttemptEnded(1, 0, 1, api.Outcome.OK, 20.0, True, api.Report(free_slots=0.0, queued=2.0)))
    assert len(node.sends) == 1


def test_a_requeued_job_is_found_only_in_the_heap_of_its_new_shape():
    """A keyed job that left the middle of a heap was found there again after it had been requeued with another shape,
    and was sent outside its group."""
    keyed = api.JobClass(deadline=8000, aim=4000, effect=api.Effect.KEYED, group=api.Group.CELL, window=9000)
    for seed in range(20):
        settings = api.Settings(classes=(keyed,), price_fetch=0.1, reports_in_answers=True, max_attempts=6)
        node = Node(settings, seed)
        node.update_workers(*workers(5, cell=1), *workers(5, cell=2, first=6))
        for number in range(1, 40):
            node.submit(number, key=number)
        for step in range(120):  # the harness fails the test if a job leaves its group
            node.now += 20.0
            in_flight = [
                (j, n) for j, job in node.jobs.items() for n, a in enumerate(job.attempts) if a.outcome is None
            ]
            if in_flight:
                outcome = api.Outcome.ERROR if step % 3 else api.Outcome.OK
                node.end_attempt(*in_flight[step % len(in_flight)], outcome, free=0.0)


def test_an_unknown_job_class_is_refused():
    node = Node(api.Settings(classes=(SAFE,)))
    assert node.balancer.handle(node.now, api.JobArrived(1, 9, 100.0)) == [api.Refuse(1)]


def test_a_repeat_that_is_already_late_is_refused_while_others_wait():
    """Clients' repeats that could no longer be in time took slots from first tries."""
    node = Node(api.Settings(classes=(SAFE,)))
    node.submit(
        1, left=1000.0
    )  # 4 s of its deadline of 5 s have passed, its aim was 2 s; it may be served if no other job waits
    assert node.jobs[1].answer is None
    node.submit(2)
    node.submit(3, left=1000.0)
    assert node.jobs[3].answer == "refused" and node.jobs[2].answer is None


def serve_with_report(node: Node, job: int, **report: float) -> None:
    attempt = node.jobs[job].attempts[0]
    attempt.outcome, node.jobs[job].answer = api.Outcome.OK, "served"
    node.handle(api.AttemptEnded(job, 0, attempt.worker, api.Outcome.OK, 20.0, True, api.Report(**report)))


def test_jobs_spill_over_from_a_full_zone():
    """A node used only its own zone, whose workers had queues, while workers of other zones were idle."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True, price_cross_zone=0.02))
    node.update_workers(*workers(40, zone=0), *workers(40, zone=1, first=101))
    for number in range(1, 200):
        node.now += 400.0
        node.submit(number)
        other_zone = node.sends and node.sends[-1][1] == number and node.sends[-1][2] > 100
        serve_with_report(node, number, free_slots=3.0 if other_zone else 0.0)
    spilled = [worker > 100 for _, _, worker in node.sends]
    assert not any(spilled[:5]) and sum(spilled[-50:]) > 20


def test_a_job_whose_memory_does_not_fit_is_sent_elsewhere():
    """Free memory was ignored, and a job that did not fit blocked its worker's whole queue."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.update_workers(*workers(1))
    node.submit(1)
    serve_with_report(node, 1, free_slots=3.0, free_memory=1.0)
    node.submit(2, memory=2.5)
    node.submit(3, memory=0.6)
    node.submit(4, memory=0.6)
    assert not node.workers_tried(2) and node.workers_tried(3) and not node.workers_tried(4)


def test_held_jobs_beyond_the_slots_count_as_a_queue():
    """Reports that contain held jobs and free slots but no queue length hid the queue."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.update_workers(*workers(1))
    node.submit(1)
    serve_with_report(node, 1, free_slots=3.0, held=1.0)
    for number in (2, 3, 4):
        node.now += 1.0
        node.submit(number)
    serve_with_report(node, 2, free_slots=0.0, held=7.0)
    node.submit(5)
    assert not node.workers_tried(5)


def test_an_unreachable_worker_is_retried_with_a_growing_backoff():
    """Nodes kept sending jobs to the workers of a zone that was cut off from the network."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True, max_attempts=2))
    node.update_workers(*workers(1))
    for number in range(1, 300):
        node.submit(number)
        node.run_until(node.now + 100)
        for job, submitted in list(node.jobs.items()):
            for index, attempt in enumerate(submitted.attempts):
                if attempt.outcome is None:
                    node.end_attempt(job, index, api.Outcome.CONNECT_FAILED)
    gaps = [following[0] - send[0] for send, following in pairwise(node.sends)]
    assert 4 <= len(node.sends) <= 12 and min(gaps) >= 900 and max(gaps) <= 13_000


def test_a_node_that_starts_in_a_full_fleet_gets_slots():
    """The other node reused each slot as soon as it was freed, so a restarted node never saw a free one."""
    node = Node(api.Settings(classes=(SAFE,), nodes=2, may_probe=True, reports_in_probes=True))
    node.update_workers(*workers(17))
    for number in range(1, 9):
        node.submit(number)
    for _ in range(60):
        node.run_until(node.now + 40)
        while node.probes:
            report = api.Report(free_slots=0.0)
            node.handle(api.ProbeEnded(node.probes.pop(), api.Outcome.OK, 2.0, report))
    used = [w for _, _, w in node.sends]
    assert 2 <= len(used) <= 17 * 1 / 2 / 2  # some, but at most half of an equal share
    assert len(set(used)) == len(used)


def test_a_node_with_a_share_below_two_slots_queues_no_job_at_a_full_worker():
    """With a thousand nodes, each would queue a job at a worker, where tags do not decide the order."""
    node = Node(api.Settings(classes=(SAFE,), nodes=300, may_probe=True, reports_in_probes=True))
    node.update_workers(*workers(60))
    node.submit(1)
    for _ in range(60):
        node.run_until(node.now + 40)
        while node.probes:
            report = api.Report(free_slots=0.0)
            node.handle(api.ProbeEnded(node.probes.pop(), api.Outcome.OK, 2.0, report))
    assert not node.sends


def test_the_latest_start_of_a_job_follows_its_own_expected_running_time():
    """With the mean of the class, long jobs, which are worth most, were refused too early and short ones too late."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.update_workers(*workers(1))
    node.submit(1)
    node.submit(2, expected_work=100.0)
    node.submit(3, expected_work=2000.0)
    node.run_until(node.now + 2300)
    assert (node.jobs[2].answer, node.jobs[3].answer) == ("refused", None)


def test_a_tenants_next_job_is_the_one_worth_most_per_slot_time():
    """In overload and arrival order, long jobs of little worth held the slots while paid jobs became late."""
    unpaid = api.JobClass(deadline=50_000, aim=20_000, worth=1.0, effect=api.Effect.SAFE)
    paid = api.JobClass(deadline=5000, aim=4000, worth=10.0)
    node = Node(api.Settings(classes=(unpaid, paid), reports_in_answers=True))
    node.update_workers(*workers(1))
    node.submit(1)
    node.submit(2)
    node.submit(3, job_class=1)
    node.end_attempt(1, 0, api.Outcome.OK, free=1.0)
    assert [job for _, job, _ in node.sends] == [1, 3]


def report_by_probe(node, worker, free, held):
    """Deliver a report by probe. Each report differs a little, as a repeated one would count as the same snapshot."""
    node.now += 1.0
    report = api.Report(free_slots=free + node.now / 1e7, held=held)
    node.handle(api.ProbeEnded(worker, api.Outcome.OK, 2.0, report))


def test_a_worker_that_loses_jobs_of_a_class_gets_no_more_of_that_class():
    """Four workers accepted bookings without completing any, while reporting free slots; 14 bookings were lost."""
    cls = api.JobClass(deadline=15_000, aim=9000, worth=10.0)
    node = Node(api.Settings(classes=(cls, SAFE), may_probe=True, reports_in_probes=True))
    node.update_workers(*workers(1))
    report_by_probe(node, 1, 2.0, 0.0)
    node.submit(1, expected_work=300.0)
    node.submit(2, expected_work=300.0)
    assert node.workers_tried(1) == node.workers_tried(2) == [1]
    node.run_until(node.now + 700)
    report_by_probe(node, 1, 2.0, 0.0)  # it holds neither of them, nor a job of another node
    node.submit(3, expected_work=300.0)
    node.submit(4, job_class=1)
    assert (node.workers_tried(3), node.workers_tried(4)) == ([], [1])  # it still gets other classes


def test_a_worker_with_an_overdue_attempt_gets_no_other_job_of_its_class():
    cls = api.JobClass(deadline=15_000, aim=9000)
    node = Node(api.Settings(classes=(cls,), reports_in_answers=True))
    node.update_workers(*workers(2))
    node.submit(1, expected_work=300.0)
    stuck = node.workers_tried(1)[0]
    node.run_until(node.now + 1300)
    for number in range(2, 12):
        node.submit(number, expected_work=300.0)
        if node.workers_tried(number):
            node.end_attempt(number, 0, free=1.0)
    assert stuck not in {w for _, job, w in node.sends if job > 1} and len(node.sends) == 11


def test_jobs_that_must_not_run_twice_are_spread_over_workers():
    cls = api.JobClass(deadline=15_000, aim=9000)
    same_worker = 0
    for seed in range(40):
        node = Node(api.Settings(classes=(cls,), may_probe=True, reports_in_probes=True), seed=seed)
        node.update_workers(*workers(2))
        for worker in (1, 2):
            report_by_probe(node, worker, 4.0, 0.0)
        node.submit(1)
        node.submit(2)
        same_worker += node.workers_tried(1) == node.workers_tried(2)
    assert same_worker < 10  # 18 if only free slots count


def test_an_unconfirmed_attempt_gets_a_copy_at_another_worker_if_the_class_allows():
    """A job sent over a dead connection waited until its deadline. Some workers confirm late."""
    keyed = api.JobClass(15_000, 9000, effect=api.Effect.KEYED, window=25_000)
    unsafe = api.JobClass(15_000, 9000)
    node = Node(api.Settings(classes=(SAFE, keyed, unsafe), parallel_attempts=True, reports_in_answers=True))
    node.update_workers(*(api.WorkerEntry(n, cell=n // 4, confirms=True) for n in range(1, 7)))
    for job_class in range(3):
        node.submit(job_class, job_class)
        node.handle(api.AttemptTaken(9, 0))  # of an unknown job
        node.run_until(node.now + 900)
        sent = node.workers_tried(job_class)
        assert len(set(sent)) == len(sent) == (2 if job_class < 2 else 1)
        node.handle(api.AttemptTaken(job_class, 0))
        node.run_until(node.now + 900)
        assert node.workers_tried(job_class) == sent
        node.end_attempt(job_class, 0, free=1.0)  # the first attempt to end counts
        assert node.jobs[job_class].answer == "served"
        if len(sent) > 1:
            node.end_attempt(job_class, 1, free=1.0)
    node.submit(4)
    node.handle(api.AttemptTaken(4, 0))
    node.run_until(node.now + 900)
    assert len(node.workers_tried(4)) == 1  # no copy after a confirmation
