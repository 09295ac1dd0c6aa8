"""Runs of one worker instance as the agent knows them. All changes of a run's state go through `transition`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from millethead.execution.messages import Resources, RunKey, RunOrder


class RunState(Enum):
    """State of a run. In all states but WAITING and ENDED, the worker may execute it, so it reserves capacity."""

    WAITING = "waiting"  # desired, and certainly not on the worker
    STARTING = "starting"  # a start was sent, or may have been sent by a previous agent process
    RUNNING = "running"  # the worker has answered the start or has listed the run
    STOPPING = "stopping"  # must be stopped; no stop has been answered yet
    CLOSED = "closed"  # the worker rejects its start from now on; a later list shows whether it existed
    ENDED = "ended"  # ended or certainly never started; kept until the head acknowledges the end


_TRANSITIONS = {
    RunState.WAITING: {RunState.STARTING, RunState.RUNNING, RunState.ENDED},
    RunState.STARTING: {RunState.WAITING, RunState.RUNNING, RunState.STOPPING, RunState.CLOSED, RunState.ENDED},
    RunState.RUNNING: {RunState.STOPPING, RunState.CLOSED, RunState.ENDED},
    RunState.STOPPING: {RunState.CLOSED, RunState.ENDED},
    RunState.CLOSED: {RunState.ENDED},
    RunState.ENDED: {RunState.STOPPING},  # found on the worker after its end was inferred
}
_RESERVING_STATES = {RunState.STARTING, RunState.RUNNING, RunState.STOPPING, RunState.CLOSED}


class InvalidTransition(RuntimeError):
    """A transition between two states that no event can cause."""


@dataclass(slots=True)
class Run:
    """State of one run. Times are seconds of the agent's monotonic clock.

    - `order`: None for a run that the worker listed and the head has not ordered; its needs are not known.
    - `desired`: it is part of the newest list of the head.
    - `state_since`: when the current state was entered.
    - `may_have_started`: a start may have been carried out, or may still be.
    - `call_in_flight`: a start or stop is in flight.
    - `attempts`: starts or stops sent in the current state.
    - `retry_at`: no call is sent before.
    - `start_due_since`: since when the start could have been sent.
    - `started_at`: when the start was answered; None if it may have been carried out earlier or if the worker was cold.
    - `first_seen_at`: when the worker was first known to have the run.
    - `end_listed`: the worker listed the end; False for an inferred end.
    - `checkpoint`, `percent`, `progress_sent_at`: the progress in the last report to the head.
    """

    key: RunKey
    order: RunOrder | None
    desired: bool
    state: RunState
    state_since: float
    may_have_started: bool = False
    call_in_flight: bool = False
    attempts: int = 0
    retry_at: float = 0.0
    start_due_since: float | None = None
    started_at: float | None = None
    first_seen_at: float | None = None
    end_listed: bool = False
    checkpoint: str = ""
    percent: int = 0
    progress_sent_at: float = 0.0

    @property
    def at_worker(self) -> bool:
        """Whether the worker may have the run."""
        return self.state in _RESERVING_STATES


def transition(run: Run, state: RunState, now: float) -> None:
    """Move the run into `state`; raises InvalidTransition."""
    if state not in _TRANSITIONS[run.state]:
        raise InvalidTransition(f"{run.key.task} run {run.key.run}: {run.state.value} to {state.value}")
    run.state, run.state_since = state, now
    run.attempts, run.retry_at = 0, now
    if state is RunState.RUNNING and run.first_seen_at is None:
        run.first_seen_at = now


class RunTable:
    """All runs of an instance by key, in the order in which they became known."""

    def __init__(self) -> None:
        self._runs: dict[RunKey, Run] = {}

    def __iter__(self) -> Iterator[Run]:
        return iter(list(self._runs.values()))

    def __len__(self) -> int:
        return len(self._runs)

    def get(self, key: RunKey) -> Run | None:
        """Return the run, or None if it is not known."""
        return self._runs.get(key)

    def add(self, run: Run) -> Run:
        """Add a run that was not known and return it."""
        self._runs[run.key] = run
        return run

    def forget(self, key: RunKey) -> None:
        """Remove a run whose end was acknowledged."""
        run = self._runs.get(key)
        if run is not None and run.state is RunState.ENDED:
            del self._runs[key]

    def at_worker(self) -> list[Run]:
        """Return the runs that may exist on the worker."""
        return [run for run in self._runs.values() if run.at_worker]

    def any_at_worker(self) -> bool:
        """Return whether any run may exist on the worker."""
        return any(run.at_worker for run in self._runs.values())

    def reserved(self) -> Resources | None:
        """Return the resources that the runs on the worker may use together; None if the needs of one are not known."""
        cpu = mem_mb = gpu = 0
        for run in self._runs.values():
            if not run.at_worker:
                continue
            if run.order is None:
                return None
            needs = run.order.needs
            cpu, mem_mb, gpu = cpu + needs.cpu, mem_mb + needs.mem_mb, gpu + needs.gpu
        return Resources(cpu, mem_mb, gpu)

    def fits(self, run: Run, capacity: Resources) -> bool:
        """Return whether all runs that may exist on the worker fit into its capacity if this run is started."""
        reserved = self.reserved()
        if reserved is None or run.order is None:
            return False
        extra = Resources(0, 0, 0) if run.at_worker else run.order.needs
        return (
            reserved.cpu + extra.cpu <= capacity.cpu
            and reserved.mem_mb + extra.mem_mb <= capacity.mem_mb
            and reserved.gpu + extra.gpu <= capacity.gpu
        )
