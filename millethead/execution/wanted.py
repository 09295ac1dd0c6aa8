"""What the head's lists change in what is known of a life: which runs are wanted there, and which are to be stopped."""

from __future__ import annotations

from millethead.execution.life import Life
from millethead.execution.messages import DesiredRuns, RunKey, RunOrder
from millethead.execution.runs import Run, RunState, change


def apply_desired(life: Life, desired: DesiredRuns, now: float) -> None:
    """Take in a list of the head for this life; a whole one also says that nothing else is wanted. Of a life that may
    have run under an earlier process, the first whole list names runs that may have been started."""
    inherited = desired.whole and not life.ordered and not life.watched
    for order in desired.orders:
        _take_order(life, order, inherited, now)
    if desired.whole:
        wanted = {order.key for order in desired.orders}
        for run in life.runs:
            run.wanted = run.key in wanted
        life.ordered = life.settled = True
    for key in desired.stops:
        _take_stop(life, key, now)


def _take_order(life: Life, order: RunOrder, inherited: bool, now: float) -> None:
    run = life.runs.get(order.key)
    if run is None:
        run = life.runs.add(Run(order.key, order, True, RunState.WAITING, now))
        if inherited:
            run.unclear = True
            change(run, RunState.STARTING, now)
    run.order = order
    run.wanted = run.state is not RunState.ENDED


def _take_stop(life: Life, key: RunKey, now: float) -> None:
    """A run that is not known may have been started by a predecessor."""
    run = life.runs.get(key)
    if run is None:
        run = life.runs.add(Run(key, None, False, RunState.WAITING, now, unclear=True))
        change(run, RunState.STARTING, now)
    run.wanted = False
