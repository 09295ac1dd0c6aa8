"""Runs scheduling passes in one epoch of the head. Placements are sent to agents only once they are committed.

Only one pass is active at a time. All of its placements form one log entry.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from millethead.control.agents import AgentRegistry, WorkerOrders
from millethead.control.commit import CommitGate, Committed, split_committed
from millethead.control.scheduler_sync import Moment, SchedulerSync
from millethead.execution.messages import RunEnd, RunOrder
from millethead.jobs.commands import Assignment, AssignRuns, TaskRun
from millethead.jobs.state import JobTable
from millethead.scheduling.model import PendingTask, Placement, Preemption
from millethead.scheduling.scheduler import Scheduler

MIN_PASS_INTERVAL_S = 0.01  # least time between two scheduling passes


class HeadClock(Protocol):
    """Monotonic clock, time of day, and timers."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall_ms(self) -> int:
        """Return the time of day in ms since 1970."""

    def soon(self, call: Callable[[], None]) -> None:
        """Call a function in one of the next turns of the event loop."""

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""


def read_clocks(clock: HeadClock) -> Moment:
    """Read both clocks."""
    return Moment(clock.now(), clock.wall_ms())


class SchedulingLoop:
    """Runs the scheduler when its input has changed. `stop_run` stops an open run once its assignment is committed."""

    def __init__(
        self,
        jobs: JobTable,
        gate: CommitGate,
        scheduler: Scheduler,
        agents: AgentRegistry,
        scheduler_sync: SchedulerSync,
        clock: HeadClock,
        stop_run: Callable[[TaskRun], None],
    ) -> None:
        self._jobs, self.gate, self._scheduler, self._agents = jobs, gate, scheduler, agents
        self._scheduler_sync, self._clock, self._stop_run = scheduler_sync, clock, stop_run
        self._active = self._requested = False
        self.next_pass = math.inf  # monotonic time at which the scheduler needs a pass without any change

    def request_pass(self) -> None:
        """Request a scheduling pass because the input of the scheduler has changed."""
        if self._active or self.gate.closed:
            self._requested = True
            return
        self._active, self._requested = True, False
        self._clock.soon(self._run_pass)

    def request_pass_if_due(self, now: float) -> None:
        """Request a pass if the time has come at which the scheduler asked for one."""
        if now >= self.next_pass:
            self.next_pass = math.inf
            self.request_pass()

    def preempt(self, preemption: Preemption) -> None:
        """Stop a run that the scheduler preempts, provided that it is still the open run on that worker."""
        key = preemption.key
        job = self._jobs.find(key.job)
        if job is None:
            return
        task = job.at_time(key.time).steps[key.step].tasks[preemption.index]
        if task.open and task.instance == preemption.instance:
            self._stop_run(TaskRun(key.job, key.time, key.step, preemption.index, task.run))

    def _run_pass(self) -> None:
        if self.gate.closed:
            return
        decision = self._scheduler.schedule(self._clock.now())
        self.next_pass = math.inf if decision.next_round_at is None else decision.next_round_at
        for preemption in decision.preemptions:
            self.preempt(preemption)
        placements = self._startable(decision.placements)
        if not placements:
            self._clock.later(MIN_PASS_INTERVAL_S, self._finish_pass)
            return
        assignments = self._scheduler_sync.assignments(placements, self._agents.workers)
        self.gate.propose(AssignRuns(assignments, self._clock.wall_ms()))
        self._scheduler_sync.runs_opened(assignments, read_clocks(self._clock))
        self.gate.after_commit(self._orders(assignments), self._send_committed)

    def _startable(self, placements: Sequence[Placement]) -> list[Placement]:
        """Return the placements whose worker and job still exist; revert the others."""
        startable = []
        for placement in placements:
            if placement.instance in self._agents.workers and self._jobs.find(placement.key.job) is not None:
                startable.append(placement)
            else:
                self._revert(placement)
        return startable

    def _revert(self, placement: Placement) -> None:
        """Revert a placement that cannot be started: release its resources and queue its task again."""
        now = self._clock.now()
        self._scheduler.run_ended(placement.key, placement.index, placement.instance, 0, RunEnd.NEVER, now)
        if self._jobs.find(placement.key.job) is not None:
            self._scheduler.task_waits(placement.key, PendingTask(placement.index, placement.checkpoint, now), now)

    def _orders(self, assignments: tuple[Assignment, ...]) -> tuple[WorkerOrders, ...]:
        """Return the orders for each worker, to be sent once the assignments are committed."""
        by_worker: dict[tuple[str, str], list[RunOrder]] = {}
        for assignment in assignments:
            task = self._jobs.task(assignment.run)
            order = self._agents.run_order(assignment.run, task) if task is not None else None
            if order is not None:
                by_worker.setdefault((assignment.node, assignment.instance), []).append(order)
        return tuple(WorkerOrders(node, instance, tuple(orders)) for (node, instance), orders in by_worker.items())

    def _send_committed(self, released: Committed[tuple[WorkerOrders, ...]]) -> None:
        for orders in split_committed(released):
            if self._agents.send_orders(orders):
                self._agents.failure_detector.expect_response(orders.value.node, self._clock.now())
        self._finish_pass()

    def _finish_pass(self) -> None:
        self._active = False
        if self._requested and not self.gate.closed:
            self.request_pass()
