"""Jobs handed in together, which may name one another as parents in any order."""

from __future__ import annotations

from collections.abc import Sequence
from graphlib import CycleError, TopologicalSorter

from millethead.exchange.model import Order
from millethead.exchange.stage import InvalidOrder


def in_order(orders: Sequence[Order]) -> tuple[list[int], dict[int, InvalidOrder]]:
    """(the places of those that can be handed in, parents first; why the others cannot): of a cycle nothing is
    taken, nor of what waits for one."""
    places = {(order.origin, order.id): n for n, order in enumerate(orders)}
    graph: TopologicalSorter[int] = TopologicalSorter()
    parents: dict[int, list[int]] = {}
    for n, order in enumerate(orders):
        after = order.plan.after if order.plan is not None else ()
        named = [places[order.origin, job_id] for job_id in after if (order.origin, job_id) in places]
        if named and n not in named:  # one that names itself is told so when it is handed in
            parents[n] = named
            graph.add(n, *named)
        else:
            graph.add(n)
    cycle: list[int] = []
    try:
        graph.prepare()
    except CycleError as error:
        cycle = error.args[1]
    out: list[int] = []
    while ready := graph.get_ready():
        out += ready
        graph.done(*ready)
    left = set(range(len(orders))) - set(out)
    named_in = {parent for n in left for parent in parents.get(n, ())} & left
    why: dict[int, InvalidOrder] = {}
    for n in left:
        if n in cycle or n in named_in:
            why[n] = InvalidOrder("it waits for itself through the jobs that it names: a cycle")
        else:
            why[n] = InvalidOrder("a job that it waits for was not taken")
    return out, why
