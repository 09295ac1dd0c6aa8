"""What goes into and comes out of the scheduler: queues, steps with their waiting tasks, workers, decisions.

Times are seconds of one steady clock. A *step* stands for the tasks of one step of a job at one time K. A *unit* is
what is placed in one go: one task, or all the tasks of a gang.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from millethead.execution.messages import Resources

MIN_HOST_WEIGHT = 0.02  # factor of the weight of a worker in doubt, where it is asked all the same


@dataclass(frozen=True, slots=True)
class QueueSpec:
    """A route of the configuration in force. Priority 0 goes first; `skew` times a job's work, plus `target_s`, is its
    objective."""

    name: str
    service: str
    priority: int
    target_s: float
    skew: float
    retries: int


@dataclass(frozen=True, slots=True, order=True)
class StepKey:
    """Job ID, time K and number of the step."""

    job: str
    time: int
    step: int


@dataclass(slots=True)
class PendingTask:
    """A task that waits for a worker. `avoid`: instances on which it failed lately."""

    index: int
    checkpoint: str
    waiting_since: float
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True)
class PendingStep:
    """The tasks of one step that may run now.

    `objective_at` is when the job stops being in time, `tail_s` the longest chain of steps after this one by estimate,
    `work_left` what is left of the job at this time K, in core-seconds with this step's. `tasks` wait for a worker; a
    gang is placeable only while all `count` wait. `running` names the instance of every task that has a run now, also
    of those being stopped.
    """

    key: StepKey
    queue: str
    service: str
    needs: Resources
    count: int
    estimate_s: float
    gang: bool
    same_rack: bool
    requires: str
    affinity: str
    anti_affinity: int
    idempotent: bool
    long_running: bool
    checkpoints: bool
    objective_at: float
    tasks: dict[int, PendingTask] = field(default_factory=dict)
    running: dict[int, str] = field(default_factory=dict)
    tail_s: float = 0.0
    work_left: float = 0.0


@dataclass(slots=True)
class WorkerState:
    """One life of a worker. `free` is kept by the scheduler: capacity less what is booked. `remaining_s`: what is left
    at least while it drains."""

    instance: str
    node: str
    service: str
    capacity: Resources
    free: Resources
    labels: frozenset[str]
    rack: str
    draining: bool
    remaining_s: float | None
    reachable: bool


@dataclass(frozen=True, slots=True)
class Placement:
    """A task to be started at a worker; its room is booked already."""

    key: StepKey
    index: int
    instance: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Preemption:
    """A running task to be stopped; it waits again with its checkpoint once its run has ended."""

    key: StepKey
    index: int
    instance: str


@dataclass(frozen=True, slots=True)
class Decision:
    """What one round decided. `next_look`: when something that waits by choice is due for another look, if any."""

    placements: tuple[Placement, ...]
    preemptions: tuple[Preemption, ...]
    next_round_at: float | None


class WaitReason(Enum):
    """Why a task has not been placed."""

    NOT_WAITING = "not waiting"
    READY = "ready"  # it has not been looked at since something changed
    TURN = "turn"  # its queue has others that go first
    ROOM = "no room"
    SERVICE = "no worker of the service"
    LABEL = "label"  # no worker that takes tasks has the required label
    TOO_LARGE = "too large"  # no worker could hold it even when empty
    SPREAD = "anti-affinity"  # every worker with room carries as many of the step as it may
    GANG = "gang"  # not all members wait, or there is no room for all of them
    RACK = "rack wait"  # it waits a little for the rack of its data, or for one rack for the whole gang
    RESERVED = "reserved"  # the room there is kept for a larger unit
    AVOIDING = "avoiding"  # the workers with room are avoided, for it or for all


class SchedulingError(Exception):
    """A call that does not fit what the scheduler knows."""


class UnknownStep(SchedulingError):
    """The step was never put, or has been removed."""

    def __init__(self, key: StepKey) -> None:
        super().__init__(f"unknown step {key.job}.{key.time}.{key.step}")
        self.key = key
