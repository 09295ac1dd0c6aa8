"""Decides which waiting task starts next and on which worker. Deterministic: the time and the random source are
arguments.

When resources become free, the queue with the smallest due local tag gets the next turn, otherwise the queue with the
smallest global tag (`tags`). A queue from which nothing fits is skipped. Within the queue, the most urgent unit that
fits is placed (`state`) on a random fitting worker, weighted by free resources (`placement`).

Floors and weights follow from the configuration and from the arriving work. Both are rates in slots started per second.
A slot is an eighth of the service's largest worker, and the size of a unit is the number of slots that it occupies.

- M_i = arrival rate x `FLOOR_RATIO` ** priority: priority 0 is guaranteed its arrival rate, each lower priority a
  smaller part of its own.
- w_i = arrival rate x `WEIGHT_RATIO` ** -priority / slack, where slack = target + (skew - 1) x mean estimate is the
  time that a job of the queue can wait without being late. Queues of equal priority share the rest so that each waits
  in proportion to its slack.

The tags are not replicated. A new head starts all queues anew at its own start time.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import inf
from random import Random

from millethead.execution.messages import RunEnd
from millethead.scheduling.health import Health, RunKey
from millethead.scheduling.host_health import HostHealthUpdater
from millethead.scheduling.host_selection import REMOTE_RUNTIME_FACTOR, Assignments, HostSelector, wait_reason
from millethead.scheduling.model import (
    Decision,
    PendingStep,
    PendingTask,
    Placement,
    Preemption,
    QueueSpec,
    StepKey,
    UnknownStep,
    WaitReason,
    WorkerState,
)
from millethead.scheduling.placement import Host
from millethead.scheduling.polling import SCARCE_POLL_INTERVAL_S, service_poll_interval_s
from millethead.scheduling.preemption_planning import reserve_or_preempt
from millethead.scheduling.priority_headroom import PriorityHeadroom, record_runs
from millethead.scheduling.queue_scan import QueueScanner
from millethead.scheduling.reservation import cancel_reservation, consume_reservation
from millethead.scheduling.runtime_observation import RuntimeObserver
from millethead.scheduling.starvation import is_underused, next_starvation_at, starving_steps, update_underused_since
from millethead.scheduling.state import Pool, QueueState, Run, Step
from millethead.scheduling.step_bookkeeping import update_step_bookkeeping

UNCONFIGURED_QUEUE = QueueSpec("", "", 9, 3.0, 2.0, 1)  # stands for a queue that is no longer configured


class Scheduler:
    """The scheduling decisions for all workers and queues of one cell."""

    def __init__(self, random: Random, remote_factor: float = REMOTE_RUNTIME_FACTOR) -> None:
        self._host_selector = HostSelector(random, remote_factor)
        self._queue_scanner = QueueScanner(self._host_selector)
        self.health = Health()  # health states of the workers
        self._runtime_observer = RuntimeObserver(self.health, remote_factor)
        self._host_health = HostHealthUpdater(self.health)
        self._queues: dict[str, QueueSpec] = {}
        self._pools: dict[str, Pool] = {}
        self._steps: dict[StepKey, Step] = {}
        self._hosts: dict[str, Host] = {}
        self._runs: dict[RunKey, Run] = {}
        self._steps_seen = 0

    # ---- events ----------------------------------------------------------------------------------------------------

    def set_queues(self, queues: Iterable[QueueSpec]) -> None:
        """Sets the configured queues. Queues that stay keep their tags."""
        self._queues = {queue.name: queue for queue in queues}
        for pool in self._pools.values():
            for queue in pool.queues.values():
                queue.spec = self._queues.get(queue.name, UNCONFIGURED_QUEUE)
            self._remove_idle_queues(pool)
            pool.capacity_grew()

    def put_worker(self, worker: WorkerState) -> None:
        """Adds a worker or updates its state. Its allocations are kept."""
        host = self._hosts.get(worker.instance)
        if host is None:
            self._new_host(worker)
            return
        if host.is_unchanged(worker):
            host.update(worker)
            return
        pool = self._pool(host.service)
        if not worker.reachable or worker.draining or worker.service != host.service:
            self._cancel_host_reservation(host, pool)
        pool.hosts.remove(host)
        pool.host_removed()
        self._host_health.mark_changed(pool)
        host.update(worker)
        pool = self._pool(worker.service)
        pool.hosts.add(host)
        pool.capacity_grew(host)
        self._host_health.mark_changed(pool, host)

    def remove_worker(self, instance: str) -> None:
        """Removes a worker. Its runs remain until `run_ended`."""
        host = self._hosts.pop(instance, None)
        if host is not None:
            pool = self._pool(host.service)
            self._cancel_host_reservation(host, pool)
            pool.hosts.remove(host)
            pool.host_removed()
            self._host_health.mark_changed(pool)
        self.health.remove_worker(instance)

    def worker(self, instance: str) -> WorkerState | None:
        """Returns the state of a worker with its free resources, or None if it is unknown."""
        host = self._hosts.get(instance)
        return host.state if host else None

    @property
    def is_empty(self) -> bool:
        """Whether there are no steps, runs, waiting units or reservations."""
        idle = all(
            not pool.reservations
            and not any(queue.waiting for queue in pool.tags.queues.values())
            and not any(queue.buckets or queue.known_steps for queue in pool.queues.values())
            for pool in self._pools.values()
        )
        return idle and not self._steps and not self._runs

    def put_step(self, step: PendingStep) -> None:
        """Adds a step, or more waiting tasks of a known step. The latest waiting time of its tasks counts as the
        arrival time.
        """
        record = self._steps.get(step.key)
        now = max((task.waiting_since for task in step.tasks.values()), default=step.objective_at)
        if record is None:
            record = self._new_step(step, now)
        for task in step.tasks.values():
            record.tasks[task.index] = task
        update_step_bookkeeping(record, now)

    def task_waits(self, key: StepKey, task: PendingTask, now: float) -> None:
        """Adds a waiting task of a known step. Raises UnknownStep."""
        step = self._step(key)
        step.tasks[task.index] = task
        update_step_bookkeeping(step, now)

    def task_withdrawn(self, key: StepKey, index: int) -> None:
        """Removes a waiting task."""
        step = self._steps.get(key)
        if step is not None and step.tasks.pop(index, None) is not None:
            update_step_bookkeeping(step, None)

    def remove_step(self, key: StepKey) -> None:
        """Removes a step that is finished or cancelled. Its runs stay allocated until `run_ended`."""
        step = self._steps.pop(key, None)
        if step is None:
            return
        step.tasks.clear()
        for run in step.runs:
            run.stopping = True
        update_step_bookkeeping(step, None)
        step.queue.known_steps -= 1
        self._remove_idle_queues(step.queue.pool)

    def run_started(self, key: StepKey, index: int, instance: str, run: int, now: float) -> None:
        """Records that a run exists and allocates its resources unless `schedule` has done so.

        Raises UnknownStep if neither the run nor its step is known.
        """
        known_run = self._runs.get((key, index, instance))
        if known_run is None:
            known_run = self._allocate_run(self._step(key), index, instance, now)
            known_run.inherited = True
        known_run.number = run
        known_run.started = now
        if known_run.step.tasks.pop(index, None) is not None:
            update_step_bookkeeping(known_run.step, now)

    def record_runtime(self, key: StepKey, index: int, instance: str, run: int, seconds: float) -> None:
        """Records the runtime of a run (s), as measured by its agent. `run_ended` follows."""
        known_run = self._runs.get((key, index, instance))
        if known_run is not None and known_run.number == run:
            known_run.runtime_s = seconds

    def run_ended(self, key: StepKey, index: int, instance: str, run: int, outcome: RunEnd, now: float) -> None:
        """Records the end of a run and releases its resources. The end of an older run is ignored."""
        known_run = self._runs.get((key, index, instance))
        if known_run is None or run < known_run.number:
            return
        self._runtime_observer.run_ended(known_run, self._hosts.get(instance), outcome, now)
        self._release_run(known_run)
        if not known_run.step.run_instances and outcome is not RunEnd.NEVER:
            known_run.step.idle_since = now
        update_step_bookkeeping(known_run.step, now)
        self._apply_health()

    def progress(self, key: StepKey, index: int, instance: str, percent: int, now: float) -> None:
        """Records the percentage that a worker has reported for a run."""
        run = self._runs.get((key, index, instance))
        if run is None:
            return
        self._runtime_observer.run_progressed(run, self._hosts.get(instance), percent, now)
        self._apply_health()

    def stalled(self, now: float) -> tuple[Preemption, ...]:
        """Returns the stalled runs, including those that are being stopped.

        The caller decides whether moving a run is worth the work lost.
        """
        return tuple(Preemption(*run) for run in self.health.stalled() if run in self._runs)

    def poll_interval_s(self, instance: str) -> float:
        """Returns the least time between two polls of a worker (s), regardless of what runs there."""
        host = self._hosts.get(instance)
        return service_poll_interval_s(self._pool(host.service)) if host is not None else SCARCE_POLL_INTERVAL_S

    # ---- decisions -------------------------------------------------------------------------------------------------

    def schedule(self, now: float) -> Decision:
        """Places all units that can be placed and selects the runs to stop.

        Placements are allocated at once, and each must be followed by `run_ended` eventually. Preempted runs are
        expected to end soon.
        """
        self.health.start_probes(now)
        self._apply_health()
        placements: list[Placement] = []
        preemptions: list[Preemption] = []
        for pool in self._pools.values():
            if pool.dirty or now >= pool.next_round_at:
                placements += self._schedule_pool(pool, now)
                preemptions += reserve_or_preempt(pool, now)
        next_round_at = min((pool.next_round_at for pool in self._pools.values()), default=inf)
        if self._steps:
            next_round_at = min(next_round_at, self.health.next_pause_end)
        return Decision(
            tuple(placements), tuple(preemptions), None if next_round_at == inf else max(now, next_round_at)
        )

    def why_waiting(self, key: StepKey, index: int, now: float) -> WaitReason:
        """Returns why a task was not placed in the last round."""
        step = self._steps.get(key)
        if step is None or index not in step.tasks:
            return WaitReason.NOT_WAITING
        if not step.units:
            return WaitReason.GANG
        return wait_reason(step, step.queue.pool, now)

    def _schedule_pool(self, pool: Pool, now: float) -> list[Placement]:
        """Gives the queues their turns in tag order until nothing fits.

        Resources only shrink during a round, so that a queue from which nothing fits is not tried again.
        """
        pool.dirty, pool.next_round_at = False, inf
        placements: list[Placement] = []
        headroom = PriorityHeadroom(pool, now)
        # A dict keeps the order of the queues deterministic.
        open_queues = {name: None for name, queue in pool.queues.items() if queue.buckets}
        while open_queues:
            for name in pool.tags.order(open_queues, now):
                queue = pool.queues[name]
                found = None if headroom.must_leave_headroom(queue) else self._queue_scanner.first_fitting(queue, now)
                if found is None:
                    open_queues.pop(name, None)
                    continue
                placements += self._place(queue, *found, now)
                break
            else:
                break
            if not queue.buckets:
                open_queues.pop(name, None)
        placements += self._place_starving(pool, now)
        self._set_next_round(pool, now)
        return placements

    def _place_starving(self, pool: Pool, now: float) -> list[Placement]:
        """Places starving units, for which only free resources, labels and anti-affinity count (`starvation`)."""
        update_underused_since(pool, now)
        placements: list[Placement] = []
        for step in starving_steps(pool, now):
            assignments = self._host_selector.select_unconditionally(step, pool, now)
            if assignments and is_underused(pool):
                placements += self._place(step.queue, step, assignments, now)
        update_underused_since(pool, now)
        return placements

    def _place(self, queue: QueueState, step: Step, assignments: Assignments, now: float) -> Iterator[Placement]:
        queue.pool.tags.take(queue.name, now)
        step.tagged_units -= 1
        for assignment in assignments:
            task, instance = assignment.task, assignment.host.instance
            del step.tasks[task.index]
            run = self._allocate_run(step, task.index, instance, now)
            run.checkpoint = task.checkpoint
            self.health.run_started(run.key)
            consume_reservation(step, queue.pool, instance, run.needs)
            yield Placement(step.key, task.index, instance, task.checkpoint)
        update_step_bookkeeping(step, now)
        self._apply_health()

    def _set_next_round(self, pool: Pool, now: float) -> None:
        retry_times = [bucket.retry_at for queue in pool.queues.values() for bucket in queue.buckets.values()]
        pool.next_round_at = min([*retry_times, next_starvation_at(pool, now)])

    # ---- records ---------------------------------------------------------------------------------------------------

    def _new_step(self, spec: PendingStep, now: float) -> Step:
        queue = self._queue_state(spec.service, spec.queue)
        queue.known_steps += 1
        queue.update_means(spec)
        self._steps_seen += 1
        step = Step(spec, queue, self._steps_seen, arrived_at=now, idle_since=now)
        queue.pool.record_large_task(spec.needs, now)
        self._steps[spec.key] = step
        for index, instance in spec.running.items():
            step.add_run(index, instance)
        return step

    def _new_host(self, worker: WorkerState) -> None:
        host = Host(worker)
        self._hosts[worker.instance] = host
        pool = self._pool(worker.service)
        pool.hosts.add(host)
        for run in self._runs.values():
            if run.instance == worker.instance:
                self._add_run_to_host(host, run)
        self._host_health.mark_changed(pool, host)
        self._apply_health()
        pool.capacity_grew(host)

    def _cancel_host_reservation(self, host: Host, pool: Pool) -> None:
        """Cancels the reservation on a host that can no longer hold it. The step may reserve other hosts later."""
        if host.reservation is not None:
            reservation = next(known for known in pool.reservations.values() if known is host.reservation)
            cancel_reservation(reservation.step, pool)

    def _allocate_run(self, step: Step, index: int, instance: str, now: float) -> Run:
        run = Run(step, index, instance, step.spec.needs, now)
        self._runs[run.key] = run
        step.add_run(index, instance)
        step.runs[run] = None
        record_runs(step, 1)
        host = self._hosts.get(instance)
        if host is not None:
            self._add_run_to_host(host, run)
        return run

    def _add_run_to_host(self, host: Host, run: Run) -> None:
        host.runs[run] = None
        host.long_running_count += run.step.spec.long_running
        self._pool(host.service).hosts.allocate(host, run.needs)

    def _release_run(self, run: Run) -> None:
        """Releases the allocation of a run."""
        del self._runs[run.key]
        run.step.remove_run(run.index, run.instance)
        del run.step.runs[run]
        record_runs(run.step, -1)
        host = self._hosts.get(run.instance)
        if host is None or run not in host.runs:
            return
        del host.runs[run]
        host.long_running_count -= run.step.spec.long_running
        pool = self._pool(host.service)
        pool.hosts.release(host, run.needs)
        pool.capacity_grew(host)

    # ---- health ----------------------------------------------------------------------------------------------------

    def _apply_health(self) -> None:
        """Applies changed health states to the hosts."""
        for instance in sorted(self.health.changed):
            host = self._hosts.get(instance)
            if host is not None:
                self._host_health.mark_changed(self._pool(host.service), host)
        self.health.changed.clear()
        self._host_health.apply()

    def _remove_idle_queues(self, pool: Pool) -> None:
        """Removes queues that are no longer configured and have no steps."""
        for name in [name for name, queue in pool.queues.items() if not queue.known_steps and name not in self._queues]:
            del pool.queues[name]
            pool.tags.forget(name)

    def _queue_state(self, service: str, name: str) -> QueueState:
        pool = self._pool(service)
        if name not in pool.queues:
            pool.queues[name] = QueueState(name, self._queues.get(name, UNCONFIGURED_QUEUE), pool)
            pool.tags.queue(name)
        return pool.queues[name]

    def _pool(self, service: str) -> Pool:
        if service not in self._pools:
            self._pools[service] = Pool(service)
        return self._pools[service]

    def _step(self, key: StepKey) -> Step:
        step = self._steps.get(key)
        if step is None:
            raise UnknownStep(key)
        return step
