"""The part of LOST that speaks of room: nothing whose turn has come may wait for long beside it, and in the end every
job that can be done is done."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from millethead.execution.messages import Resources
from millethead.lab.core_time import Timeline
from millethead.lab.system_clock import true_wall_ms
from millethead.lab.system_facts import JobBook, JobFacts, Violation
from millethead.lab.system_jobs import StepPlan
from millethead.lab.system_worker import SystemWorker
from millethead.scheduling.placement import fit_count, subtract

IDLE_S = 3.0  # that a task whose turn has come may not run though there is room
VISIBLE_S = 3.0  # after its acknowledgement a job must be known
STATUS_S = 120.0  # for which the end of a job is shown

Workers = Callable[[], Iterable[tuple[str, SystemWorker]]]  # each with the name of its machine


class IdleWatch:
    """Looks at the jobs in the calm time. `services`: those that a queue was ever directed to."""

    def __init__(self, timeline: Timeline, book: JobBook, services: dict[str, set[str]], workers: Workers) -> None:
        self._timeline, self._book, self._services, self._workers = timeline, book, services, workers

    @property
    def _now(self) -> float:
        return self._timeline.now

    def doable(self, facts: JobFacts) -> bool:
        """Whether the workers that are left could do every step of a job."""
        if self._book.has_cause_to_fail(facts):
            return False
        return all(
            self._could(step, self._open_workers((service,)))
            for step in facts.plan.steps
            for service in self._services[facts.plan.queue]
        )

    def _open_workers(self, services: Iterable[str]) -> list[SystemWorker]:
        """The workers of these services that take tasks."""
        return [
            worker
            for _, worker in self._workers()
            if worker.profile.service in services and worker.up and worker.draining_until is None
        ]

    def _could(self, step: StepPlan, workers: list[SystemWorker]) -> bool:
        most = step.anti_affinity or step.count
        room = sum(
            min(most, fit_count(self._room_beside_lasting(worker), step.needs))
            for worker in workers
            if not step.requires or step.requires in worker.profile.labels
        )
        return room >= (step.count if step.gang else 1)

    def _room_beside_lasting(self, worker: SystemWorker) -> Resources:
        """The room of a worker that has nothing but tasks that last."""
        room = worker.profile.capacity
        for run in worker.running():
            if self._book.task(run.task).step.long_running:
                room = subtract(room, run.work.needs)
        return room

    def look_for_idle(self) -> None:
        """In the calm: nothing whose turn has come and for which there is room twice over waits for long."""
        for facts in self._book.jobs.values():
            if facts.accepted_at == math.inf or facts.final or facts.cancel_sent_at < math.inf:
                continue
            if any(task.running for task in facts.tasks.values()) or self._book.has_cause_to_fail(facts):
                self._reset(facts)
                continue
            for time in range(facts.plan.times):
                if true_wall_ms(self._now) >= facts.plan.due_ms(time):
                    self._look_at_time(facts, time)

    def _reset(self, facts: JobFacts) -> None:
        for task in facts.tasks.values():
            task.turn_since = math.inf

    def _look_at_time(self, facts: JobFacts, time: int) -> None:
        """The rule speaks of a job of which nothing runs: a run that came and went between two looks counts."""
        begun = max((start.at for task in facts.tasks.values() for start in task.starts), default=-math.inf)
        for number, step in enumerate(facts.plan.steps):
            ready = all(self._book.step_done(facts, time, other) for other in step.deps)
            waits = ready and not self._book.step_done(facts, time, number) and self._room_twice(facts, step)
            for task in self._book.members(facts, time, number):
                if not waits or (task.done and not step.long_running):
                    task.turn_since = math.inf
                    continue
                task.turn_since = self._now if begun > task.turn_since else min(task.turn_since, self._now)
                if self._now - task.turn_since > IDLE_S:
                    raise Violation(
                        "LOST",
                        f"step {number} of {facts.plan.name} at time {time} waits since "
                        f"{task.turn_since:.1f}, and there is room",
                    )

    def _room_twice(self, facts: JobFacts, step: StepPlan) -> bool:
        """Whether there is room for a unit twice over, and under half of the service in use."""
        services = self._services[facts.plan.queue]
        workers = self._open_workers(services)
        if len(services) > 1 or self._in_use(workers) >= 0.5:
            return False
        most = step.anti_affinity or 2 * step.count
        room = sum(
            min(most, fit_count(subtract(worker.profile.capacity, worker.used()), step.needs))
            for worker in workers
            if not step.requires or step.requires in worker.profile.labels
        )
        return room >= 2 * (step.count if step.gang else 1)

    @staticmethod
    def _in_use(workers: list[SystemWorker]) -> float:
        """The largest part of any resource that is in use."""
        used = [worker.used() for worker in workers]
        have = [worker.profile.capacity for worker in workers]
        parts = []
        for kind in ("cpu", "mem_mb", "gpu"):
            whole = sum(getattr(capacity, kind) for capacity in have)
            parts.append(sum(getattr(use, kind) for use in used) / whole if whole else 0.0)
        return max(parts, default=1.0)

    def known(self) -> list[JobFacts]:
        """The jobs that must be known now."""
        return [
            facts
            for facts in self._book.jobs.values()
            if facts.accepted_at < self._now < facts.final_at + STATUS_S - VISIBLE_S
        ]

    def unfinished(self) -> list[str]:
        """Accepted jobs that could be done and are not; those that last are left out."""
        return [
            name
            for name, facts in self._book.jobs.items()
            if facts.accepted_at < math.inf
            and not facts.final
            and facts.cancel_sent_at == math.inf
            and not facts.plan.lasting
            and not self._all_done(facts)
            and self.doable(facts)
        ]

    def _all_done(self, facts: JobFacts) -> bool:
        """Whether every task has ended so; that is not shown where the queue is gone."""
        return all(
            self._book.step_done(facts, time, step)
            for time in range(facts.plan.times)
            for step in range(len(facts.plan.steps))
        )
