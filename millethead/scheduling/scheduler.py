"""Which waiting task starts next, and on which worker. Pure: time is an argument, randomness is given.

When room frees, the queue with the smallest due local tag has its turn, otherwise that with the smallest global tag
(`tags`); a queue of which nothing fits is passed over. Within the queue the most urgent unit that fits goes (`state`),
to a random fitting worker weighted by room (`placement`).

Floors and weights follow from the configuration and from the work that arrives, both in slot-starts per second (a slot
is an eighth of the service's largest worker; a unit's size is the room it takes, in slots):

- M_i = arrival rate x `FLOOR_STEP` ** priority: priority 0 is guaranteed what it brings, the others ever less of it;
- w_i = arrival rate x `WEIGHT_STEP` ** -priority / slack, where slack = target + (skew - 1) x mean estimate is the time
  that a job of the queue may lose by waiting: equal priorities share what is left so that each waits about as long as
  it can bear.

A new head starts with all queues anew at now: the tags are not replicated.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import inf
from random import Random

from millethead.execution.messages import RunEnd
from millethead.scheduling.choosing import FAR_TIMES, Chooser, Chosen, refusal
from millethead.scheduling.finding import UnitFinder
from millethead.scheduling.headroom import Headroom, note_runs
from millethead.scheduling.health import Health, RunName
from millethead.scheduling.looks import SCARCE_GAP_S, service_gap
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
from millethead.scheduling.reservation import drop_reservation, use_reservation
from millethead.scheduling.room_making import make_room
from millethead.scheduling.starvation import is_little_used, next_starvation, note_use, starving_steps
from millethead.scheduling.state import Flow, Pool, Run, Step
from millethead.scheduling.teaching import Teacher
from millethead.scheduling.trust import TrustKeeper
from millethead.scheduling.upkeep import step_changed

UNLISTED = QueueSpec("", "", 9, 3.0, 2.0, 1)  # stands for a queue that is no longer configured


class Scheduler:
    """The decisions for all workers and queues of one cell."""

    def __init__(self, random: Random, far_times: float = FAR_TIMES) -> None:
        self._chooser = Chooser(random, far_times)
        self._finder = UnitFinder(self._chooser)
        self.health = Health()  # what is held of the workers
        self._teacher = Teacher(self.health, far_times)
        self._trust = TrustKeeper(self.health)
        self._queues: dict[str, QueueSpec] = {}
        self._pools: dict[str, Pool] = {}
        self._steps: dict[StepKey, Step] = {}
        self._hosts: dict[str, Host] = {}
        self._runs: dict[RunName, Run] = {}
        self._order = 0

    # ---- what is known ---------------------------------------------------------------------------------------------

    def set_queues(self, queues: Iterable[QueueSpec]) -> None:
        """Take over the queues in force; those that stay keep their tags."""
        self._queues = {queue.name: queue for queue in queues}
        for pool in self._pools.values():
            for flow in pool.flows.values():
                flow.spec = self._queues.get(flow.name, UNLISTED)
            self._forget_idle_flows(pool)
            pool.grew()

    def put_worker(self, worker: WorkerState) -> None:
        """A worker is new or has changed. What is booked there stays booked."""
        host = self._hosts.get(worker.instance)
        if host is None:
            self._new_host(worker)
            return
        if host.shows(worker):
            host.show(worker)
            return
        pool = self._pool(host.service)
        if not worker.reachable or worker.draining or worker.service != host.service:
            self._drop_claim(host, pool)
        pool.hosts.remove(host)
        pool.shrank()
        self._trust.note(pool)
        host.show(worker)
        pool = self._pool(worker.service)
        pool.hosts.add(host)
        pool.grew(host)
        self._trust.note(pool, host)

    def remove_worker(self, instance: str) -> None:
        """A worker is gone. Its runs stay known until `run_ended`."""
        host = self._hosts.pop(instance, None)
        if host is not None:
            pool = self._pool(host.service)
            self._drop_claim(host, pool)
            pool.hosts.remove(host)
            pool.shrank()
            self._trust.note(pool)
        self.health.forget(instance)

    def worker(self, instance: str) -> WorkerState | None:
        """A worker with its free room."""
        host = self._hosts.get(instance)
        return host.state if host else None

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits, runs, or has room kept for it."""
        idle = all(
            not pool.reservations
            and not any(queue.waiting for queue in pool.tags.queues.values())
            and not any(flow.lanes or flow.steps for flow in pool.flows.values())
            for pool in self._pools.values()
        )
        return idle and not self._steps and not self._runs

    def put_step(self, step: PendingStep) -> None:
        """A step becomes known, or more of its tasks wait. The waiting times of its tasks count as its arrival."""
        known = self._steps.get(step.key)
        now = max((task.waiting_since for task in step.tasks.values()), default=step.objective_at)
        if known is None:
            known = self._new_step(step, now)
        for task in step.tasks.values():
            known.tasks[task.index] = task
        step_changed(known, now)

    def task_waits(self, key: StepKey, task: PendingTask, now: float) -> None:
        """A task waits (again) for a worker. Raises UnknownStep."""
        step = self._step(key)
        step.tasks[task.index] = task
        step_changed(step, now)

    def task_withdrawn(self, key: StepKey, index: int) -> None:
        """A task no longer waits."""
        step = self._steps.get(key)
        if step is not None and step.tasks.pop(index, None) is not None:
            step_changed(step, None)

    def remove_step(self, key: StepKey) -> None:
        """A step is over or cancelled. What of it still runs stays booked until `run_ended`."""
        step = self._steps.pop(key, None)
        if step is None:
            return
        step.tasks.clear()
        for run in step.runs:
            run.stopping = True
        step_changed(step, None)
        step.flow.steps -= 1
        self._forget_idle_flows(step.flow.pool)

    def run_started(self, key: StepKey, index: int, instance: str, run: int, now: float) -> None:
        """A run is known to exist; it is booked unless `schedule` has booked it. Raises UnknownStep where neither the
        run nor its step is known."""
        known = self._runs.get((key, index, instance))
        if known is None:
            known = self._book(self._step(key), index, instance, now)
            known.inherited = True
        known.number = run
        known.started = now
        if known.step.tasks.pop(index, None) is not None:
            step_changed(known.step, now)

    def run_lasted(self, key: StepKey, index: int, instance: str, run: int, seconds: float) -> None:
        """How long a run ran, as its agent saw it; its end follows."""
        known = self._runs.get((key, index, instance))
        if known is not None and known.number == run:
            known.ran_s = seconds

    def run_ended(self, key: StepKey, index: int, instance: str, run: int, outcome: RunEnd, now: float) -> None:
        """A run is over and its room is free. An end of a run that is older than the one booked is passed over."""
        known = self._runs.get((key, index, instance))
        if known is None or run < known.number:
            return
        self._teacher.ended(known, self._hosts.get(instance), outcome, now)
        self._free(known)
        if not known.step.occupied:
            known.step.idle_since = now
        step_changed(known.step, now)
        self._show_health()

    def progress(self, key: StepKey, index: int, instance: str, percent: int, now: float) -> None:
        """A worker has listed a run with its percentage."""
        run = self._runs.get((key, index, instance))
        if run is None:
            return
        self._teacher.progressed(run, self._hosts.get(instance), percent, now)
        self._show_health()

    def stalled(self, now: float) -> tuple[Preemption, ...]:
        """Runs that stand still though they should move, also those that are being stopped: they may be moved, if that
        is worth the work thrown away."""
        return tuple(Preemption(*name) for name in self.health.stalled() if name in self._runs)

    def look_gap(self, instance: str) -> float:
        """The least time between two looks at a worker (s), whatever runs there."""
        host = self._hosts.get(instance)
        return service_gap(self._pool(host.service)) if host is not None else SCARCE_GAP_S

    # ---- decisions -------------------------------------------------------------------------------------------------

    def schedule(self, now: float) -> Decision:
        """Place what can be placed, and say what is to be stopped. Placements are booked, and each must be followed by
        `run_ended` some time; what is to be stopped is expected to end soon."""
        self.health.wake(now)
        self._show_health()
        placements: list[Placement] = []
        preemptions: list[Preemption] = []
        for pool in self._pools.values():
            if pool.dirty or now >= pool.look_at:
                placements += self._schedule_pool(pool, now)
                preemptions += make_room(pool, now)
        next_look = min((pool.look_at for pool in self._pools.values()), default=inf)
        if self._steps:
            next_look = min(next_look, self.health.next_wake)
        return Decision(tuple(placements), tuple(preemptions), None if next_look == inf else max(now, next_look))

    def why_waiting(self, key: StepKey, index: int, now: float) -> WaitReason:
        """Why a task has not been placed, as of the last round."""
        step = self._steps.get(key)
        if step is None or index not in step.tasks:
            return WaitReason.NOT_WAITING
        if not step.units:
            return WaitReason.GANG
        return refusal(step, step.flow.pool, now)

    def _schedule_pool(self, pool: Pool, now: float) -> list[Placement]:
        """Turns by the tags until nothing fits. Room only shrinks meanwhile: a queue passed over stays so."""
        pool.dirty, pool.look_at = False, inf
        placements: list[Placement] = []
        room = Headroom(pool, now)
        open_flows = {name: None for name, flow in pool.flows.items() if flow.lanes}  # in a fixed order
        while open_flows:
            for name in pool.tags.order(open_flows, now):
                flow = pool.flows[name]
                found = None if room.leaves_room(flow) else self._finder.first_fitting(flow, now)
                if found is None:
                    open_flows.pop(name, None)
                    continue
                placements += self._place(flow, *found, now)
                break
            else:
                break
            if not flow.lanes:
                open_flows.pop(name, None)
        placements += self._place_starving(pool, now)
        self._note_look(pool, now)
        return placements

    def _place_starving(self, pool: Pool, now: float) -> list[Placement]:
        """Units that nothing but a lack of room may hold back any more (`starvation`)."""
        note_use(pool, now)
        placements: list[Placement] = []
        for step in starving_steps(pool, now):
            chosen = self._chooser.choose_unconditionally(step, pool, now)
            if chosen and is_little_used(pool):
                placements += self._place(step.flow, step, chosen, now)
        note_use(pool, now)
        return placements

    def _place(self, flow: Flow, step: Step, chosen: Chosen, now: float) -> Iterator[Placement]:
        flow.pool.tags.take(flow.name, now)
        step.tagged -= 1
        for place in chosen:
            task, instance = place.task, place.host.instance
            del step.tasks[task.index]
            run = self._book(step, task.index, instance, now)
            run.checkpoint = task.checkpoint
            self.health.started(run.name)
            use_reservation(step, flow.pool, instance, run.needs)
            yield Placement(step.key, task.index, instance, task.checkpoint)
        step_changed(step, now)
        self._show_health()

    def _note_look(self, pool: Pool, now: float) -> None:
        looks = [lane.look_at for flow in pool.flows.values() for lane in flow.lanes.values()]
        pool.look_at = min([*looks, next_starvation(pool, now)])

    # ---- records ---------------------------------------------------------------------------------------------------

    def _new_step(self, spec: PendingStep, now: float) -> Step:
        flow = self._flow(spec.service, spec.queue)
        flow.steps += 1
        flow.learn(spec)
        self._order += 1
        step = Step(spec, flow, self._order, arrived=now, idle_since=now)
        flow.pool.note_large(spec.needs, now)
        self._steps[spec.key] = step
        for index, instance in spec.running.items():
            step.occupy(index, instance)
        return step

    def _new_host(self, worker: WorkerState) -> None:
        host = Host(worker)
        self._hosts[worker.instance] = host
        pool = self._pool(worker.service)
        pool.hosts.add(host)
        for run in self._runs.values():
            if run.instance == worker.instance:
                self._occupy(host, run)
        self._trust.note(pool, host)
        self._show_health()
        pool.grew(host)

    def _drop_claim(self, host: Host, pool: Pool) -> None:
        """The host can keep no room any more: the step looks for another."""
        if host.claim is not None:
            reservation = next(known for known in pool.reservations.values() if known is host.claim)
            drop_reservation(reservation.step, pool)

    def _book(self, step: Step, index: int, instance: str, now: float) -> Run:
        run = Run(step, index, instance, step.spec.needs, now)
        self._runs[run.name] = run
        step.occupy(index, instance)
        step.runs[run] = None
        note_runs(step, 1)
        host = self._hosts.get(instance)
        if host is not None:
            self._occupy(host, run)
        return run

    def _occupy(self, host: Host, run: Run) -> None:
        host.runs[run] = None
        host.lasting += run.step.spec.long_running
        self._pool(host.service).hosts.book(host, run.needs)

    def _free(self, run: Run) -> None:
        """Undo a booking."""
        del self._runs[run.name]
        run.step.vacate(run.index, run.instance)
        del run.step.runs[run]
        note_runs(run.step, -1)
        host = self._hosts.get(run.instance)
        if host is None or run not in host.runs:
            return
        del host.runs[run]
        host.lasting -= run.step.spec.long_running
        pool = self._pool(host.service)
        pool.hosts.release(host, run.needs)
        pool.grew(host)

    # ---- health ----------------------------------------------------------------------------------------------------

    def _show_health(self) -> None:
        """Carry what has changed over to the hosts."""
        for instance in sorted(self.health.changed):
            host = self._hosts.get(instance)
            if host is not None:
                self._trust.note(self._pool(host.service), host)
        self.health.changed.clear()
        self._trust.carry_over()

    def _forget_idle_flows(self, pool: Pool) -> None:
        """Drop queues that are no longer configured and of which nothing is known."""
        for name in [name for name, flow in pool.flows.items() if not flow.steps and name not in self._queues]:
            del pool.flows[name]
            pool.tags.forget(name)

    def _flow(self, service: str, name: str) -> Flow:
        pool = self._pool(service)
        if name not in pool.flows:
            pool.flows[name] = Flow(name, self._queues.get(name, UNLISTED), pool)
            pool.tags.queue(name)
        return pool.flows[name]

    def _pool(self, service: str) -> Pool:
        if service not in self._pools:
            self._pools[service] = Pool(service)
        return self._pools[service]

    def _step(self, key: StepKey) -> Step:
        step = self._steps.get(key)
        if step is None:
            raise UnknownStep(key)
        return step
