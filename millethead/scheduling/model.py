"""The scheduler's inputs and outputs: queues, steps with their waiting tasks, workers and decisions.

Times are seconds of one monotonic clock. A *step* holds the tasks of one step of a job at one time K. A *unit* is what
is placed at once: a single task, or all tasks of a gang.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from millethead.execution.messages import Resources

MIN_HOST_WEIGHT = 0.02  # weight factor of an unhealthy or very slow worker if it is used all the same


@dataclass(frozen=True, slots=True)
class QueueSpec:
    """A route of the configuration in force. Priority 0 is the highest.

    The objective of a job is `skew` times its work, plus `target_s`.
    """

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
    """A task that waits for a worker. `avoid` holds the instances on which it failed recently."""

    index: int
    checkpoint: str
    waiting_since: float
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True)
class PendingStep:
    """The tasks of one step that may run now.

    `objective_at` is the time at which the job stops being in time. `tail_s` is the estimated length of the longest
    chain of steps after this one. `work_left` is the remaining work of the job at this time K, including this step, in
    core-seconds. `tasks` holds the tasks that wait for a worker; a gang can be placed only while all `count` tasks
    wait. `running` maps each task that has a run now to its instance, including runs that are being stopped.
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
    """One incarnation of a worker process.

    The scheduler maintains `free`: capacity less the allocated resources. `remaining_s` is the least time left to a
    draining worker.
    """

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
    """A task to be started on a worker. Its resources are already allocated."""

    key: StepKey
    index: int
    instance: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Preemption:
    """A running task to be stopped. Once its run has ended, the task waits again with its checkpoint."""

    key: StepKey
    index: int
    instance: str


@dataclass(frozen=True, slots=True)
class Decision:
    """The result of one scheduling round.

    `next_round_at` is the time at which a unit in a bounded wait needs another round; None if there is no such unit.
    """

    placements: tuple[Placement, ...]
    preemptions: tuple[Preemption, ...]
    next_round_at: float | None


class WaitReason(Enum):
    """Why a task has not been placed. The values appear in operators' reports."""

    NOT_WAITING = "not waiting"
    READY = "ready"  # not examined since the last change
    TURN = "turn"  # other units of its queue, or other queues, go first
    ROOM = "no room"
    SERVICE = "no worker of the service"
    LABEL = "label"  # no worker that accepts tasks has the required label
    TOO_LARGE = "too large"  # no worker could hold it even if the worker were empty
    SPREAD = "anti-affinity"  # every worker with free resources runs as many tasks of the step as anti-affinity allows
    GANG = "gang"  # not all members wait, or not all of them fit
    RACK = "rack wait"  # bounded wait for the rack of the data, or for one rack that holds the whole gang
    RESERVED = "reserved"  # the free resources are reserved for a larger unit
    AVOIDING = "avoiding"  # the workers with free resources are avoided, by this task or by all tasks


class SchedulingError(Exception):
    """A call that is inconsistent with the state of the scheduler."""


class UnknownStep(SchedulingError):
    """The step was never added, or has been removed."""

    def __init__(self, key: StepKey) -> None:
        super().__init__(f"unknown step {key.job}.{key.time}.{key.step}")
        self.key = key
