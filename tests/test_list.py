"""Calls to discovery: where the node has to request a watch of the worker list, and where lists are pushed."""

import pytest
from harness import Node, workers

from millethead.decide import interface as api

SAFE = api.JobClass(deadline=5000, aim=300, effect=api.Effect.SAFE)


def watch_requests(node: Node) -> int:
    return sum(isinstance(a, api.WatchWorkers) for a in node.actions)


@pytest.mark.parametrize("nodes", [1, 5, 1200])
def test_a_node_requests_a_watch_again_after_each_failure_and_not_after_a_success(nodes):
    node = Node(api.Settings(classes=(SAFE,), watch_needed=True, nodes=nodes, ask_every=10_000.0))
    node.update_workers(*workers(2), form=api.ListForm.CACHED)
    node.run_until(node.now + 9_000)
    assert watch_requests(node) >= 1  # the stored list of the previous process is not enough
    for _ in range(4):
        before = watch_requests(node)
        node.update_workers(*node.entries.values(), form=api.ListForm.FAILED)
        node.run_until(node.now + 9_000)
        assert watch_requests(node) > before
    node.update_workers(form=api.ListForm.DELTA)
    before = watch_requests(node)
    node.run_until(node.now + 60_000)
    assert watch_requests(node) == before
    node.update_workers(*node.entries.values(), form=api.ListForm.FAILED)  # the subscription is lost
    node.run_until(node.now + 9_000)
    assert watch_requests(node) > before


def test_the_first_requests_of_many_nodes_that_start_together_are_spread():
    first = []
    for n in range(100):
        settings = api.Settings(classes=(SAFE,), watch_needed=True, nodes=1000, node=10 * n, ask_every=10_000.0)
        node = Node(settings, seed=n)
        node.update_workers(*workers(2), form=api.ListForm.CACHED)
        first.append(node.timers[0][0])
    assert max(first) - min(first) > 2_000


def test_all_nodes_get_a_list_from_an_overloaded_discovery_and_old_timers_send_no_second_request():
    """Discovery serves 5 calls per second, one after another, also those that timed out after 2 s. With the calls of 40
    nodes spread over 160 ms only, and one more timer after each failure, it never recovers."""
    nodes = [
        Node(api.Settings(classes=(SAFE,), watch_needed=True, nodes=40, node=n, ask_every=10_000.0), seed=n)
        for n in range(40)
    ]
    for node in nodes:
        node.update_workers(*workers(2), form=api.ListForm.CACHED)
    free_at, listed_at, now, requested = 0.0, {}, 0.0, [0] * 40
    calls: list[tuple[float, int, bool]] = []  # (end, node, whether it is answered in time)
    while now < 30_000:
        now += 5
        for n, node in enumerate(nodes):
            for _, _, answered in [c for c in calls if c[1] == n and c[0] <= now]:
                calls = [c for c in calls if not (c[1] == n and c[0] <= now)]
                node.update_workers(form=api.ListForm.DELTA if answered else api.ListForm.FAILED)
                listed_at.update({n: now} if answered else {})
            node.run_until(now)
            for _ in range(watch_requests(node) - requested[n]):
                free_at = max(free_at, now) + 200
                calls.append((min(free_at, now + 2000), n, free_at <= now + 2000))
            requested[n] = watch_requests(node)
    assert len(listed_at) == 40 and max(listed_at.values()) < 20_000
    assert sum(requested) < 80


def test_a_pushed_list_is_never_requested_and_a_worker_missing_from_a_full_list_is_removed():
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.update_workers(*workers(3), form=api.ListForm.CACHED)
    node.update_workers(*workers(1, first=2))
    node.run_until(node.now + 30_000)
    node.submit(1)
    assert watch_requests(node) == 0 and node.workers_tried(1) == [2]
