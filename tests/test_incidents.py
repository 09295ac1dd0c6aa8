"""One small test for each failure that an incident or a score brought to light."""

from itertools import pairwise

from harness import Node, workers

from millethead.decide import interface as api

SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)


def test_a_node_finds_every_slot_of_a_worker_it_already_uses():
    """burton-1: old reports were probed only where the estimate already showed a free slot."""
    node = Node(api.Settings(classes=(SAFE,), may_probe=True, reports_in_probes=True))
    node.list(*workers(1))
    for number in range(1, 5):
        node.job(number)
        node.until(node.now + 200)
        while node.probes:
            held = sum(1 for asked in node.jobs.values() for t in asked.tries if t.outcome is None)
            report = api.Report(free_slots=3.0 - held)
            node.give(api.ProbeEnded(node.probes.pop(), api.Outcome.OK, 2.0, report))
    assert len(node.sends) == 3  # and not a fourth


def test_a_probe_that_is_turned_away_is_no_sign_of_illness():
    node = Node(api.Settings(classes=(SAFE,), may_probe=True, reports_in_probes=True))
    node.list(*workers(1))
    node.job(1)
    node.give(api.ProbeEnded(1, api.Outcome.FULL, 2.0))
    node.until(node.now + 600)
    assert len(node.probes) >= 2


def test_a_key_keeps_to_its_homes():
    """norte-1, almaty-2: in overload jobs left for any worker; their fetches jammed slots and the store."""
    used = []
    for n in (0, 1):  # every node finds the same homes
        made = api.Settings(classes=(SAFE,), price_fetch=0.15, reports_in_answers=True, node=n, nodes=2)
        node = Node(made, seed=n)
        node.list(*workers(40))
        for number in range(1, 200):
            node.job(number, key=100 + number % 40)
            node.until(node.now + 1)
        used.append({w for _, job, w in node.sends if job % 40 == 7})
        assert 1 <= len(used[-1]) <= 4
        waiting = [job for job, asked in node.jobs.items() if not asked.tries]
        assert waiting  # though others have room
        node.until(node.now + 2600)
        unsent = [node.jobs[job].answer for job in waiting if not node.sent_to(job)]
        assert unsent and set(unsent) == {"refused"}
        assert {w for _, job, w in node.sends if job % 40 == 7} == used[-1]
    assert len(used[0] | used[1]) <= 4


def test_the_next_in_rank_stands_in_for_a_home_that_is_avoided():
    """almaty-2: jobs keep to their homes, so a home that cannot be reached must be replaced."""
    node = Node(api.Settings(classes=(SAFE,), price_fetch=0.15, reports_in_answers=True))
    node.list(*workers(12))
    dead: set[int] = set()
    for number in range(1, 200):
        node.job(number, key=5)
        for worker in node.sent_to(number):
            if len(dead) < 3:
                dead.add(worker)
            if worker in dead:
                node.end(number, len(node.jobs[number].tries) - 1, api.Outcome.CONNECT_FAILED)
        node.until(node.now + 10)
    used = {w for _, _, w in node.sends}
    assert len(dead) == 3 and len(used - dead) >= 1


def test_a_repeat_bound_to_a_group_leaves_the_homes():
    """almaty-2: of a keyed job's homes none need be in the cell that its first attempt may have reached."""
    cls = api.JobClass(6000.0, 600.0, effect=api.Effect.KEYED, group=api.Group.CELL, window=9000.0)
    node = Node(api.Settings(classes=(cls,), price_fetch=0.15, reports_in_answers=True))
    node.list(*(api.WorkerEntry(n, cell=n // 2) for n in range(1, 25)))
    for number in range(1, 5):
        node.job(number, key=number)
        node.end(number, 0, api.Outcome.ERROR, free=2.0)
        node.until(node.now + 500)
        assert len(node.sent_to(number)) >= 2


def test_slots_that_come_back_are_used_though_the_report_is_older():
    """norte, first score: a completion of an attempt sent after the last report was never counted back."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.list(*workers(1))
    for number in range(1, 5):
        node.job(number)
    for number in range(1, 4):
        node.now += 20.0
        node.end(number, 0, free=0.0)  # the report was made before the slot came back
    assert len(node.sends) == 4


def test_a_queue_at_the_worker_counts_against_its_completions():
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.list(*workers(1))
    for number in range(1, 4):
        node.job(number)
    node.now += 20.0
    asked = node.jobs[1]
    asked.tries[0].outcome, asked.answer = api.Outcome.OK, "served"
    node.give(api.AttemptEnded(1, 0, 1, api.Outcome.OK, 20.0, True, api.Report(free_slots=0.0, queued=2.0)))
    assert len(node.sends) == 1


def test_a_requeued_job_is_found_in_its_new_queue_only():
    """almaty-1: a keyed job that left its queue from the middle came back to life there once requeued."""
    keyed = api.JobClass(deadline=8000, aim=4000, effect=api.Effect.KEYED, group=api.Group.CELL, window=9000)
    for seed in range(20):
        made = api.Settings(classes=(keyed,), price_fetch=0.1, reports_in_answers=True, max_attempts=6)
        node = Node(made, seed)
        node.list(*workers(5, cell=1), *workers(5, cell=2, first=6))
        for number in range(1, 40):
            node.job(number, key=number)
        for turn in range(120):  # the harness fails the test if a job leaves its group
            node.now += 20.0
            tries = [(j, n) for j, a in node.jobs.items() for n, t in enumerate(a.tries) if t.outcome is None]
            if tries:
                outcome = api.Outcome.ERROR if turn % 3 else api.Outcome.OK
                node.end(*tries[turn % len(tries)], outcome, free=0.0)


def test_an_unknown_job_class_is_refused():
    node = Node(api.Settings(classes=(SAFE,)))
    assert node.balancer.handle(node.now, api.JobArrived(1, 9, 100.0)) == [api.Refuse(1)]


def test_a_repeat_that_cannot_be_in_time_does_not_queue_behind_those_that_can():
    """hesapev rough-2: clients' repeats, late from the start, took slots from first tries."""
    node = Node(api.Settings(classes=(SAFE,)))
    node.job(1, left=1000.0)  # 4 s of its 5 are gone, its aim was 2; alone it may still be served
    assert node.jobs[1].answer is None
    node.job(2)
    node.job(3, left=1000.0)
    assert node.jobs[3].answer == "refused" and node.jobs[2].answer is None


def reported(node: Node, job: int, **report: float) -> None:
    tried = node.jobs[job].tries[0]
    tried.outcome, node.jobs[job].answer = api.Outcome.OK, "served"
    node.give(api.AttemptEnded(job, 0, tried.worker, api.Outcome.OK, 20.0, True, api.Report(**report)))


def test_a_jammed_zone_spills():
    """metakomisi-1: a node kept to its own zone, whose workers were queueing, while others stood idle."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True, price_cross_zone=0.02))
    node.list(*workers(40, zone=0), *workers(40, zone=1, first=101))
    for number in range(1, 200):
        node.now += 400.0
        node.job(number)
        far = node.sends and node.sends[-1][1] == number and node.sends[-1][2] > 100
        reported(node, number, free_slots=3.0 if far else 0.0)
    places = [w > 100 for _, _, w in node.sends]
    assert not any(places[:5]) and sum(places[-50:]) > 20


def test_a_job_whose_memory_does_not_fit_is_sent_elsewhere():
    """metakomisi-1: memory was not looked at; such a job holds up its worker's whole queue."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.list(*workers(1))
    node.job(1)
    reported(node, 1, free_slots=3.0, free_memory=1.0)
    node.job(2, memory=2.5)
    node.job(3, memory=0.6)
    node.job(4, memory=0.6)
    assert not node.sent_to(2) and node.sent_to(3) and not node.sent_to(4)


def test_held_jobs_beyond_the_slots_count_as_a_queue():
    """metakomisi-1: reports told held jobs and free slots but no queue."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.list(*workers(1))
    node.job(1)
    reported(node, 1, free_slots=3.0, held=1.0)
    for number in (2, 3, 4):
        node.now += 1.0
        node.job(number)
    reported(node, 2, free_slots=0.0, held=7.0)
    node.job(5)
    assert not node.sent_to(5)


def test_an_unreachable_worker_rests_longer_each_time_and_is_tried_again():
    """norte-2 and hesapev zone cuts: nodes kept knocking at workers of a zone that was cut off."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True, max_attempts=2))
    node.list(*workers(1))
    for number in range(1, 300):
        node.job(number)
        node.until(node.now + 100)
        for job, asked in list(node.jobs.items()):
            for n, tried in enumerate(asked.tries):
                if tried.outcome is None:
                    node.end(job, n, api.Outcome.CONNECT_FAILED)
    gaps = [b[0] - a[0] for a, b in pairwise(node.sends)]
    assert 4 <= len(node.sends) <= 12 and min(gaps) >= 900 and max(gaps) <= 13_000


def test_a_node_that_starts_in_a_full_fleet_gets_slots_too():
    """burton-3: the other node used every slot again at once, so a restarted one never saw any free."""
    node = Node(api.Settings(classes=(SAFE,), nodes=2, may_probe=True, reports_in_probes=True))
    node.list(*workers(17))
    for number in range(1, 9):
        node.job(number)
    for _ in range(60):
        node.until(node.now + 40)
        while node.probes:
            report = api.Report(free_slots=0.0)
            node.give(api.ProbeEnded(node.probes.pop(), api.Outcome.OK, 2.0, report))
    used = [w for _, _, w in node.sends]
    assert 2 <= len(used) <= 17 * 1 / 2 / 2  # some, and not more than half of the even share
    assert len(set(used)) == len(used)


def test_a_small_share_does_not_knock():
    """hesapev overload, same round: a thousand nodes would each queue a job, where no tag decides."""
    node = Node(api.Settings(classes=(SAFE,), nodes=300, may_probe=True, reports_in_probes=True))
    node.list(*workers(60))
    node.job(1)
    for _ in range(60):
        node.until(node.now + 40)
        while node.probes:
            report = api.Report(free_slots=0.0)
            node.give(api.ProbeEnded(node.probes.pop(), api.Outcome.OK, 2.0, report))
    assert not node.sends


def test_a_jobs_patience_follows_its_own_hint():
    """The mean of the class refused long jobs early, which are worth most, and kept short ones too long."""
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.list(*workers(1))
    node.job(1)
    node.job(2, expected_work=100.0)
    node.job(3, expected_work=2000.0)
    node.until(node.now + 2300)
    assert (node.jobs[2].answer, node.jobs[3].answer) == ("refused", None)


def test_the_turn_of_a_tenant_goes_to_what_is_worth_most_for_a_slots_time():
    """overload: in order of arrival, long jobs of little worth held the slots while paid ones went late."""
    small = api.JobClass(deadline=50_000, aim=20_000, worth=1.0, effect=api.Effect.SAFE)
    paid = api.JobClass(deadline=5000, aim=4000, worth=10.0)
    node = Node(api.Settings(classes=(small, paid), reports_in_answers=True))
    node.list(*workers(1))
    node.job(1)
    node.job(2)
    node.job(3, job_class=1)
    node.end(1, 0, api.Outcome.OK, free=1.0)
    assert [job for _, job, _ in node.sends] == [1, 3]


def probed(node, worker, free, held):
    """A report from another moment each time: no two are alike."""
    node.now += 1.0
    report = api.Report(free_slots=free + node.now / 1e7, held=held)
    node.give(api.ProbeEnded(worker, api.Outcome.OK, 2.0, report))


def test_a_worker_that_swallows_one_class_gets_no_more_of_it():
    """wide: four workers took bookings and ended none, while reports showed free slots; 14 were lost."""
    cls = api.JobClass(deadline=15_000, aim=9000, worth=10.0)
    node = Node(api.Settings(classes=(cls, SAFE), may_probe=True, reports_in_probes=True))
    node.list(*workers(1))
    probed(node, 1, 2.0, 0.0)
    node.job(1, expected_work=300.0)
    node.job(2, expected_work=300.0)
    assert node.sent_to(1) == node.sent_to(2) == [1]
    node.until(node.now + 700)
    probed(node, 1, 2.0, 0.0)  # it holds neither, and nobody else's
    node.job(3, expected_work=300.0)
    node.job(4, job_class=1)
    assert (node.sent_to(3), node.sent_to(4)) == ([], [1])  # other classes still go there


def test_an_overdue_attempt_keeps_others_of_its_class_away():
    cls = api.JobClass(deadline=15_000, aim=9000)
    node = Node(api.Settings(classes=(cls,), reports_in_answers=True))
    node.list(*workers(2))
    node.job(1, expected_work=300.0)
    ill = node.sent_to(1)[0]
    node.until(node.now + 1300)
    for number in range(2, 12):
        node.job(number, expected_work=300.0)
        if node.sent_to(number):
            node.end(number, 0, free=1.0)
    assert ill not in {w for _, job, w in node.sends if job > 1} and len(node.sends) == 11


def test_what_must_not_run_twice_is_spread():
    cls = api.JobClass(deadline=15_000, aim=9000)
    twice = 0
    for seed in range(40):
        node = Node(api.Settings(classes=(cls,), may_probe=True, reports_in_probes=True), seed=seed)
        node.list(*workers(2))
        for worker in (1, 2):
            probed(node, worker, 4.0, 0.0)
        node.job(1)
        node.job(2)
        twice += node.sent_to(1) == node.sent_to(2)
    assert twice < 10  # 18 where only the room counts


def test_an_attempt_that_is_not_confirmed_gets_a_copy_elsewhere_if_the_class_allows():
    """silent: a job on a connection that fell silent waited for its deadline; some workers confirm late."""
    keyed = api.JobClass(15_000, 9000, effect=api.Effect.KEYED, window=25_000)
    once = api.JobClass(15_000, 9000)
    node = Node(api.Settings(classes=(SAFE, keyed, once), parallel_attempts=True, reports_in_answers=True))
    node.list(*(api.WorkerEntry(n, cell=n // 4, confirms=True) for n in range(1, 7)))
    for job_class in range(3):
        node.job(job_class, job_class)
        node.give(api.AttemptTaken(9, 0))  # of a job that is gone
        node.until(node.now + 900)
        sent = node.sent_to(job_class)
        assert len(set(sent)) == len(sent) == (2 if job_class < 2 else 1)
        node.give(api.AttemptTaken(job_class, 0))
        node.until(node.now + 900)
        assert node.sent_to(job_class) == sent
        node.end(job_class, 0, free=1.0)  # the first counts
        assert node.jobs[job_class].answer == "served"
        if len(sent) > 1:
            node.end(job_class, 1, free=1.0)
    node.job(4)
    node.give(api.AttemptTaken(4, 0))
    node.until(node.now + 900)
    assert len(node.sent_to(4)) == 1  # confirmed: it may take its time
