"""Nodes that may not probe but may tell each other: one node counts each worker's jobs and is asked first."""

from __future__ import annotations

from harness import Node

from millethead.decide import interface as api
from millethead.decide.balance import ASK, ENDED, LOAD, NOTE, SENT

SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)


def peers(n: int = 2, **more: object) -> list[Node]:
    made = [Node(api.Settings(classes=(SAFE,), may_tell=True, reports_in_answers=True, node=i, nodes=n,
                              **more), seed=i) for i in range(n)]  # type: ignore[arg-type]
    for node in made:
        node.list(*(api.WorkerEntry(w) for w in range(1, 21)))
    return made


def notes(node: Node) -> list[tuple[int, int, int, int | None]]:
    """(what, worker, slots, to) of every note so far."""
    return [(*NOTE.unpack(a.payload), a.node) for a in node.log if isinstance(a, api.TellPeers)]


def exchange(nodes: list[Node]) -> None:
    """Deliver all notes, and the answers to them, at once."""
    while any(isinstance(a, api.TellPeers) for node in nodes for a in node.log):
        for sender, node in enumerate(nodes):
            sent, node.log = node.log, []
            for a in sent:
                if isinstance(a, api.TellPeers):
                    assert a.node is not None and a.node != sender
                    nodes[a.node].give(api.PeerMessage(sender, a.payload))


def test_all_nodes_know_what_a_worker_holds():
    """metakomisi-2: each node saw a free worker where all of them together had filled it."""
    nodes = peers(4)
    number = 0
    for _ in range(10):  # as many jobs as there are slots, of one slot a worker
        for node in nodes[:2]:
            number += 1
            node.job(number)
            for _ in range(4):
                exchange(nodes)
                for other in nodes:
                    other.until(other.now + 10)
    used = [w for node in nodes for _, _, w in node.sends]
    assert len(used) >= 18 and len(used) == len(set(used))


def test_a_count_falls_when_jobs_end_and_answers_who_asked():
    node = peers(2)[0]
    mine = next(w for w in range(1, 21) if not any(n[1] == w for n in ask_all(node, w)))
    def told() -> int:
        node.give(api.PeerMessage(1, NOTE.pack(ASK, mine, 0)))
        what, worker, slots, to = notes(node)[-1]
        assert (what, worker, to) == (LOAD, mine, 1)
        return slots
    assert told() == 0
    node.give(api.PeerMessage(1, NOTE.pack(SENT, mine, 2)))
    node.give(api.PeerMessage(1, NOTE.pack(SENT, mine, 1)))
    assert told() == 3
    node.give(api.PeerMessage(1, NOTE.pack(ENDED, mine, 2)))
    assert told() == 1
    node.give(api.PeerMessage(1, NOTE.pack(ENDED, mine, 2)))  # twice, or of a send that was lost
    assert told() == 1
    node.now += SAFE.deadline  # its node died and will never tell the end
    assert told() == 0


def ask_all(node: Node, worker: int) -> list[tuple[int, int, int, int | None]]:
    out: list[api.Action] = []
    node.balancer._say(ASK, node.balancer.workers[worker], 0, out)
    return [(*NOTE.unpack(a.payload), a.node) for a in out if isinstance(a, api.TellPeers)]


def test_a_node_that_does_not_answer_is_not_waited_for():
    node = peers(2)[0]
    for number in range(1, 6):
        node.job(number)
    node.until(node.now + 400)  # nobody delivers the notes
    assert all(node.sent_to(job) for job in range(1, 6))


def test_odd_notes_are_ignored():
    node = peers(2)[0]
    odd = NOTE.pack(9, 1, 1), NOTE.pack(LOAD, 1, 255), NOTE.pack(ASK, 999, 0)
    for payload in (b"", b"x", b"y" * 256, *odd):
        assert node.give(api.PeerMessage(1, payload)) == []
    node.give(api.PeerMessage(99, NOTE.pack(ENDED, 1, 1)))
    node.job(1)
    node.until(node.now + 400)
    assert node.sent_to(1)


def test_no_notes_where_other_news_is_better_or_telling_is_dear():
    for more in ({"may_probe": True}, {"price_peer": 1.0}, {"price_fetch": 0.1}):
        node = peers(2, **more)[0]
        node.job(1)
        node.until(node.now + 100)
        assert not notes(node)


def test_a_job_with_a_key_asks_its_homes_too():
    """norte, the round after metakomisi-2: the homes of a key were never asked, and every job was refused."""
    node = Node(api.Settings(classes=(SAFE,), price_fetch=0.1, reports_in_answers=True, may_probe=True))
    node.list(*(api.WorkerEntry(w) for w in range(1, 21)))
    node.job(1, key=7)
    assert node.probes


def test_a_count_is_old_after_a_tenth_of_a_job():
    """metakomisi-2: counts were kept for as long as reports stay the same, and filled from long ago."""
    node = peers(2)[0]
    for number in range(1, 200):  # reports that hardly ever change
        node.job(number)
        node.until(node.now + 100)
        if node.sent_to(number):
            node.jobs[number].tries[-1].outcome = api.Outcome.OK
            node.jobs[number].answer = "served"
            node.give(api.AttemptEnded(number, 0, node.sent_to(number)[0], api.Outcome.OK, 100.0, True,
                                       api.Report(free_slots=2.5, held=0.5)))
    assert node.balancer._stays() <= 0.1 * node.balancer.work / node.balancer.slots
