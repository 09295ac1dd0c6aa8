"""Following the worker list where it must be asked for, and where it is pushed."""

import pytest
from harness import Node, workers

from millethead.decide import interface as api

SAFE = api.JobClass(deadline=5000, aim=300, effect=api.Effect.SAFE)


def asks(node: Node) -> int:
    return sum(isinstance(a, api.WatchWorkers) for a in node.log)


@pytest.mark.parametrize("nodes", [1, 5, 1200])
def test_a_node_asks_soon_again_after_each_failure_and_then_no_more(nodes):
    node = Node(api.Settings(classes=(SAFE,), watch_needed=True, nodes=nodes, ask_every=10_000.0))
    node.list(*workers(2), form=api.ListForm.CACHED)
    node.until(node.now + 9_000)
    assert asks(node) >= 1  # before it is taken to know what the list said
    for _ in range(4):
        before = asks(node)
        node.list(*node.entries.values(), form=api.ListForm.FAILED)
        node.until(node.now + 9_000)
        assert asks(node) > before
    node.list(form=api.ListForm.DELTA)
    before = asks(node)
    node.until(node.now + 60_000)
    assert asks(node) == before
    node.list(*node.entries.values(), form=api.ListForm.FAILED)  # the subscription is lost
    node.until(node.now + 9_000)
    assert asks(node) > before


def test_many_nodes_that_start_together_do_not_ask_together():
    first = []
    for n in range(100):
        made = api.Settings(classes=(SAFE,), watch_needed=True, nodes=1000, node=10 * n, ask_every=10_000.0)
        node = Node(made, seed=n)
        node.list(*workers(2), form=api.ListForm.CACHED)
        first.append(node.timers[0][0])
    assert max(first) - min(first) > 2_000


def test_calls_to_an_overbooked_discovery_end_and_a_guard_left_over_asks_no_second_time():
    # forty nodes, discovery that works through 5 calls a second in turn and calls that give up after 2 s but are
    # worked through all the same: with 160 ms of spread, and a timer more for each failure, it never came back
    nodes = [
        Node(api.Settings(classes=(SAFE,), watch_needed=True, nodes=40, node=n, ask_every=10_000.0), seed=n)
        for n in range(40)
    ]
    for node in nodes:
        node.list(*workers(2), form=api.ListForm.CACHED)
    free, told, now, asked = 0.0, {}, 0.0, [0] * 40
    calls: list[tuple[float, int, bool]] = []
    while now < 30_000:
        now += 5
        for n, node in enumerate(nodes):
            for _, _, answered in [c for c in calls if c[1] == n and c[0] <= now]:
                calls = [c for c in calls if not (c[1] == n and c[0] <= now)]
                node.list(form=api.ListForm.DELTA if answered else api.ListForm.FAILED)
                told.update({n: now} if answered else {})
            node.until(now)
            for _ in range(asks(node) - asked[n]):
                free = max(free, now) + 200
                calls.append((min(free, now + 2000), n, free <= now + 2000))
            asked[n] = asks(node)
    assert len(told) == 40 and max(told.values()) < 20_000
    assert sum(asked) < 80


def test_a_pushed_list_is_never_asked_for_and_an_entry_left_out_of_a_full_list_is_gone():
    node = Node(api.Settings(classes=(SAFE,), reports_in_answers=True))
    node.list(*workers(3), form=api.ListForm.CACHED)
    node.list(*workers(1, first=2))
    node.until(node.now + 30_000)
    node.job(1)
    assert asks(node) == 0 and node.sent_to(1) == [2]
