"""Rounds of the scheduler in one epoch of the head: what it places is committed, and only then told to agents.

One round is under way at a time; all that it places is one entry of the log.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from millethead.control.agents import Agents, WorkerOrders
from millethead.control.commit import CommitGate, Committed, each
from millethead.control.feeder import Clock, Feeder
from millethead.execution.messages import RunEnd, RunOrder
from millethead.jobs.commands import Assignment, AssignRuns, TaskRun
from millethead.jobs.state import JobTable
from millethead.scheduling.model import PendingTask, Placement, Preemption
from millethead.scheduling.scheduler import Scheduler

ROUND_GAP_S = 0.01  # between rounds of the scheduler at least


class HeadClock(Protocol):
    """Both clocks, and a way to be called soon."""

    def now(self) -> float: ...

    def wall_ms(self) -> int: ...

    def soon(self, call: Callable[[], None]) -> None: ...

    def later(self, delay_s: float, call: Callable[[], None]) -> None: ...


def moment_of(clock: HeadClock) -> Clock:
    """This moment, by both clocks."""
    return Clock(clock.now(), clock.wall_ms())


class Rounds:
    """`stop(run)` has an open run stopped once its assignment is committed."""

    def __init__(
        self,
        jobs: JobTable,
        gate: CommitGate,
        scheduler: Scheduler,
        agents: Agents,
        feeder: Feeder,
        clock: HeadClock,
        stop: Callable[[TaskRun], None],
    ) -> None:
        self._jobs, self.gate, self._scheduler, self._agents = jobs, gate, scheduler, agents
        self._feeder, self._clock, self._stop = feeder, clock, stop
        self._under_way = self._wanted = False
        self.next_look = math.inf  # steady time at which the scheduler wants a round though nothing has happened

    def want(self) -> None:
        """Something has changed that the scheduler should look at."""
        if self._under_way or self.gate.closed:
            self._wanted = True
            return
        self._under_way, self._wanted = True, False
        self._clock.soon(self._round)

    def look(self, now: float) -> None:
        """Begin a round where the scheduler wants one by now."""
        if now >= self.next_look:
            self.next_look = math.inf
            self.want()

    def preempt(self, preemption: Preemption) -> None:
        """Have a run stopped that the scheduler wants stopped, if it is still the one at that worker."""
        key = preemption.key
        job = self._jobs.find(key.job)
        if job is None:
            return
        task = job.at_time(key.time).steps[key.step].tasks[preemption.index]
        if task.open and task.instance == preemption.instance:
            self._stop(TaskRun(key.job, key.time, key.step, preemption.index, task.run))

    def _round(self) -> None:
        if self.gate.closed:
            return
        decision = self._scheduler.schedule(self._clock.now())
        self.next_look = math.inf if decision.next_round_at is None else decision.next_round_at
        for preemption in decision.preemptions:
            self.preempt(preemption)
        placements = self._startable(decision.placements)
        if not placements:
            self._clock.later(ROUND_GAP_S, self._over)
            return
        assignments = self._feeder.assignments(placements, self._agents.workers)
        self.gate.propose(AssignRuns(assignments, self._clock.wall_ms()))
        self._feeder.runs_opened(assignments, moment_of(self._clock))
        self.gate.after_commit(self._orders(assignments), self._committed)

    def _startable(self, placements: Sequence[Placement]) -> list[Placement]:
        """Those whose worker and job are still there; the others are taken back."""
        found = []
        for placement in placements:
            if placement.instance in self._agents.workers and self._jobs.find(placement.key.job) is not None:
                found.append(placement)
            else:
                self._take_back(placement)
        return found

    def _take_back(self, placement: Placement) -> None:
        """A placement that cannot be started: its room is free, and its task waits again."""
        now = self._clock.now()
        self._scheduler.run_ended(placement.key, placement.index, placement.instance, 0, RunEnd.NEVER, now)
        if self._jobs.find(placement.key.job) is not None:
            self._scheduler.task_waits(placement.key, PendingTask(placement.index, placement.checkpoint, now), now)

    def _orders(self, assignments: tuple[Assignment, ...]) -> tuple[WorkerOrders, ...]:
        """What each worker is told of the assignments once they are committed."""
        by_worker: dict[tuple[str, str], list[RunOrder]] = {}
        for assignment in assignments:
            task = self._jobs.task(assignment.run)
            order = self._agents.order(assignment.run, task) if task is not None else None
            if order is not None:
                by_worker.setdefault((assignment.node, assignment.instance), []).append(order)
        return tuple(WorkerOrders(node, instance, tuple(orders)) for (node, instance), orders in by_worker.items())

    def _committed(self, released: Committed[tuple[WorkerOrders, ...]]) -> None:
        for orders in each(released):
            if self._agents.send_orders(orders):
                self._agents.silences.await_word(orders.value.node, self._clock.now())
        self._over()

    def _over(self) -> None:
        self._under_way = False
        if self._wanted and not self.gate.closed:
            self.want()
