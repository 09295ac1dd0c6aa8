"""Applies the head's lists of desired runs to the state of a worker instance."""

from __future__ import annotations

from millethead.execution.messages import DesiredRuns, RunKey, RunOrder
from millethead.execution.runs import Run, RunState, transition
from millethead.execution.worker_instance import WorkerInstance


def apply_desired(worker: WorkerInstance, desired: DesiredRuns, now: float) -> None:
    """Apply a list of desired runs; after a complete list, no other runs are desired.

    If runs of a previous agent process may exist on the instance, the runs of the first complete list may have been
    started already.
    """
    inherited = desired.complete and not worker.desired_received and not worker.observed_from_start
    for order in desired.orders:
        _apply_order(worker, order, inherited, now)
    if desired.complete:
        desired_keys = {order.key for order in desired.orders}
        for run in worker.runs:
            run.desired = run.key in desired_keys
        worker.desired_received = worker.desired_current = True
    for key in desired.stops:
        _apply_stop(worker, key, now)


def _apply_order(worker: WorkerInstance, order: RunOrder, inherited: bool, now: float) -> None:
    run = worker.runs.get(order.key)
    if run is None:
        run = worker.runs.add(Run(order.key, order, True, RunState.WAITING, now))
        if inherited:
            run.may_have_started = True
            transition(run, RunState.STARTING, now)
    run.order = order
    run.desired = run.state is not RunState.ENDED


def _apply_stop(worker: WorkerInstance, key: RunKey, now: float) -> None:
    """Mark the run as not desired. A run that is not known may have been started by a previous agent process."""
    run = worker.runs.get(key)
    if run is None:
        run = worker.runs.add(Run(key, None, False, RunState.WAITING, now, may_have_started=True))
        transition(run, RunState.STARTING, now)
    run.desired = False
