"""Jobs submitted together, which may name one another as parents in any order."""

from __future__ import annotations

from collections.abc import Sequence
from graphlib import CycleError, TopologicalSorter

from millethead.exchange.model import Order
from millethead.exchange.stage import InvalidOrder


def sort_by_dependency(orders: Sequence[Order]) -> tuple[list[int], dict[int, InvalidOrder]]:
    """Returns the indexes of the orders that can be submitted, parents first, and the errors of all others by index.
    Members of a dependency cycle and jobs that depend on one are not submitted."""
    indexes = {(order.origin, order.id): index for index, order in enumerate(orders)}
    graph: TopologicalSorter[int] = TopologicalSorter()
    parents: dict[int, list[int]] = {}
    for index, order in enumerate(orders):
        after = order.plan.after if order.plan is not None else ()
        named = [indexes[order.origin, job_id] for job_id in after if (order.origin, job_id) in indexes]
        if named and index not in named:  # a job that names itself is rejected when it is submitted
            parents[index] = named
            graph.add(index, *named)
        else:
            graph.add(index)
    cycle: list[int] = []
    try:
        graph.prepare()
    except CycleError as error:
        cycle = error.args[1]
    sorted_indexes: list[int] = []
    while ready := graph.get_ready():
        sorted_indexes += ready
        graph.done(*ready)
    unsorted = set(range(len(orders))) - set(sorted_indexes)
    unsorted_parents = {parent for index in unsorted for parent in parents.get(index, ())} & unsorted
    errors: dict[int, InvalidOrder] = {}
    for index in unsorted:
        if index in cycle or index in unsorted_parents:
            errors[index] = InvalidOrder("it waits for itself through the jobs that it names: a cycle")
        else:
            errors[index] = InvalidOrder("a job that it waits for was not taken")
    return sorted_indexes, errors
