"""The runs of one life as the agent knows them. `transition` makes every transition of a run's state."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from millethead.execution.messages import Resources, RunKey, RunOrder


class RunState(Enum):
    """Where a run stands. All but WAITING and ENDED take room: the worker may be running it."""

    WAITING = "waiting"  # ordered, and certainly not at the worker
    STARTING = "starting"  # a start was sent, or may have been by this agent's predecessor
    RUNNING = "running"  # the worker has answered its start, or end_listed it
    STOPPING = "stopping"  # to be stopped; no stop has been answered yet
    CLOSED = "closed"  # from now on the worker rejects its start; whether it was there, a later list shows
    ENDED = "ended"  # over, or certain never to run; kept until the head has noted its end


_TRANSITIONS = {
    RunState.WAITING: {RunState.STARTING, RunState.RUNNING, RunState.ENDED},
    RunState.STARTING: {RunState.WAITING, RunState.RUNNING, RunState.STOPPING, RunState.CLOSED, RunState.ENDED},
    RunState.RUNNING: {RunState.STOPPING, RunState.CLOSED, RunState.ENDED},
    RunState.STOPPING: {RunState.CLOSED, RunState.ENDED},
    RunState.CLOSED: {RunState.ENDED},
    RunState.ENDED: {RunState.STOPPING},  # it was found at the worker after all
}
_RESERVING_STATES = {RunState.STARTING, RunState.RUNNING, RunState.STOPPING, RunState.CLOSED}


class InvalidTransition(RuntimeError):
    """A transition of state that no event can bring about."""


@dataclass(slots=True)
class Run:
    """One run. `order` is None for one that the worker end_listed and the head has not named: its needs are not known.

    `desired`: by the newest list of the head. `may_have_started`: a start may have been carried out, or may be later.
    `call_in_flight`: a start or stop is under way. `attempts`: starts or stops made in this state. `retry_at`: no call before.
    `state_since`: when the state was entered. `start_due_since`: state_since when its start is due.
    `started_at`: when its start was answered; None where that may have been carried out before, or the worker was cold.
    `first_seen_at`: when the worker was first known to have it. `end_listed`: its end was end_listed, not concluded. `checkpoint`,
    `percent` and `progress_sent_at`: its progress as the head was told last. Times are seconds of the agent's steady clock.
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
        """Whether the worker may have it."""
        return self.state in _RESERVING_STATES


def transition(run: Run, state: RunState, now: float) -> None:
    """Bring the run into `state`; raises InvalidTransition."""
    if state not in _TRANSITIONS[run.state]:
        raise InvalidTransition(f"{run.key.task} run {run.key.run}: {run.state.value} to {state.value}")
    run.state, run.state_since = state, now
    run.attempts, run.retry_at = 0, now
    if state is RunState.RUNNING and run.first_seen_at is None:
        run.first_seen_at = now


class RunTable:
    """All runs of a life by key, in the order in which they became known."""

    def __init__(self) -> None:
        self._runs: dict[RunKey, Run] = {}

    def __iter__(self) -> Iterator[Run]:
        return iter(list(self._runs.values()))

    def __len__(self) -> int:
        return len(self._runs)

    def get(self, key: RunKey) -> Run | None:
        """The run, if it is known."""
        return self._runs.get(key)

    def add(self, run: Run) -> Run:
        """Take in a run that was not known."""
        self._runs[run.key] = run
        return run

    def forget(self, key: RunKey) -> None:
        """Drop a run whose end was noted."""
        run = self._runs.get(key)
        if run is not None and run.state is RunState.ENDED:
            del self._runs[key]

    def at_worker(self) -> list[Run]:
        """The runs that the worker may have."""
        return [run for run in self._runs.values() if run.at_worker]

    def any_at_worker(self) -> bool:
        """Whether the worker may have any."""
        return any(run.at_worker for run in self._runs.values())

    def reserved(self) -> Resources | None:
        """What the runs at the worker may take together; None if one's needs are not known."""
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
        """Whether starting the run keeps all that may be at the worker within its capacity."""
        reserved = self.reserved()
        if reserved is None or run.order is None:
            return False
        extra = Resources(0, 0, 0) if run.at_worker else run.order.needs
        return (
            reserved.cpu + extra.cpu <= capacity.cpu
            and reserved.mem_mb + extra.mem_mb <= capacity.mem_mb
            and reserved.gpu + extra.gpu <= capacity.gpu
        )
