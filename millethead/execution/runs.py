"""The runs of one life as the agent knows them. `change` makes every change of a run's state."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from millethead.execution.messages import Resources, RunKey, RunOrder


class RunState(Enum):
    """Where a run stands. All but WAITING and ENDED take room: the worker may be running it."""

    WAITING = "waiting"  # ordered, and certainly not at the worker
    STARTING = "starting"  # a start was sent, or may have been by this agent's predecessor
    RUNNING = "running"  # the worker has answered its start, or listed it
    STOPPING = "stopping"  # to be stopped; no stop has been answered yet
    CLOSED = "closed"  # from now on the worker rejects its start; whether it was there, a later list shows
    ENDED = "ended"  # over, or certain never to run; kept until the head has noted its end


_CHANGES = {
    RunState.WAITING: {RunState.STARTING, RunState.RUNNING, RunState.ENDED},
    RunState.STARTING: {RunState.WAITING, RunState.RUNNING, RunState.STOPPING, RunState.CLOSED, RunState.ENDED},
    RunState.RUNNING: {RunState.STOPPING, RunState.CLOSED, RunState.ENDED},
    RunState.STOPPING: {RunState.CLOSED, RunState.ENDED},
    RunState.CLOSED: {RunState.ENDED},
    RunState.ENDED: {RunState.STOPPING},  # it was found at the worker after all
}
_AT_WORKER = {RunState.STARTING, RunState.RUNNING, RunState.STOPPING, RunState.CLOSED}


class IllegalChange(RuntimeError):
    """A change of state that no event can bring about."""


@dataclass(slots=True)
class Run:
    """One run. `order` is None for one that the worker listed and the head has not named: its needs are not known.

    `wanted`: by the newest list of the head. `unclear`: a start may have been carried out, or may be later.
    `calling`: a start or stop is under way. `tries`: starts or stops made in this state. `retry_at`: no call before.
    `since`: when the state was entered. `tried_at`: since when its start is due.
    `began_at`: when its start was answered; None where that may have been carried out before, or the worker was cold.
    `seen_at`: when the worker was first known to have it. `listed`: its end was listed, not concluded. `saved`,
    `percent` and `told_at`: its progress as the head was told last. Times are seconds of the agent's steady clock.
    """

    key: RunKey
    order: RunOrder | None
    wanted: bool
    state: RunState
    since: float
    unclear: bool = False
    calling: bool = False
    tries: int = 0
    retry_at: float = 0.0
    tried_at: float | None = None
    began_at: float | None = None
    seen_at: float | None = None
    listed: bool = False
    saved: str = ""
    percent: int = 0
    told_at: float = 0.0

    @property
    def at_worker(self) -> bool:
        """Whether the worker may have it."""
        return self.state in _AT_WORKER


def change(run: Run, state: RunState, now: float) -> None:
    """Bring the run into `state`; raises IllegalChange."""
    if state not in _CHANGES[run.state]:
        raise IllegalChange(f"{run.key.task} run {run.key.run}: {run.state.value} to {state.value}")
    run.state, run.since = state, now
    run.tries, run.retry_at = 0, now
    if state is RunState.RUNNING and run.seen_at is None:
        run.seen_at = now


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

    def taken(self) -> Resources | None:
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
        taken = self.taken()
        if taken is None or run.order is None:
            return False
        more = Resources(0, 0, 0) if run.at_worker else run.order.needs
        return (
            taken.cpu + more.cpu <= capacity.cpu
            and taken.mem_mb + more.mem_mb <= capacity.mem_mb
            and taken.gpu + more.gpu <= capacity.gpu
        )
