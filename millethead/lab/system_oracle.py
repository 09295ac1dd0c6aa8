"""What must hold in the emulated system by the rules, checked at the workers and at the answers to clients.

Each rule has one method, named in its violations. Times are seconds of true time; what the rules leave open for
machines out of touch is left open here.
"""

from __future__ import annotations

import math

from millethead.lab.core_time import Timeline
from millethead.lab.streamed import StreamedConfigurations
from millethead.lab.system_clock import true_wall_ms
from millethead.lab.system_facts import (
    CONTACT_S,
    End,
    JobBook,
    JobFacts,
    Start,
    TaskFacts,
    TroubleLog,
    Violation,
)
from millethead.lab.system_idle import STATUS_S, VISIBLE_S, IdleWatch, Workers
from millethead.lab.system_jobs import JobPlan
from millethead.lab.system_worker import MARK, SystemWorker, owner_of
from millethead.lab.worker import Body, Ended, Started

CANCEL_S, STOP_S, DRAIN_S, EARLY_S = 3.0, 0.2, 2.0, 0.25
JUMP_ALLOWANCE_S = 5.0
NOTED_SLACK_S = 1.0  # after an end was taken note of, for the second part of TWICE
GANG_S = 3.0
FINAL = ("done", "failed", "cancelled")
BESIDE_GANG = frozenset(("configuration", "hopeless", "new worker", "dispatcher"))
BESIDE_CANCEL = frozenset(("configuration", "hopeless", "new worker", "drain", "dispatcher"))


class Oracle:
    """Told of everything that workers and clients see; raises Violation."""

    def __init__(self, timeline: Timeline, workers: Workers) -> None:
        self._timeline = timeline
        self.troubles = TroubleLog()
        self._book = JobBook()
        self.streamed = StreamedConfigurations()
        self.jobs = self._book.jobs
        self.services: dict[str, set[str]] = {}  # of each queue, by any configuration
        self.idle = IdleWatch(timeline, self._book, self.services, workers)
        self.jumps = False  # clocks jump in this history
        self.drained_at: dict[str, float] = {}
        self._saved: dict[str, set[str]] = {}
        self.starts = 0
        self.ends: dict[str, int] = {}
        self.rejected = 0

    @property
    def _now(self) -> float:
        return self._timeline.now

    # ---- workers -----------------------------------------------------------------------------------------

    def started(self, worker: SystemWorker, start: Started, body: Body) -> None:
        """A worker begins a run."""
        task = self._book.task(start.task)
        node = worker.profile.address
        self.starts += 1
        self._check_limit(worker, start)
        self._check_unasked(task, start, body, node)
        self._check_order(task, start)
        self._check_route(task, worker, start)
        self._check_twice(task, start, node)
        self._check_budget(task, start, node)
        self._check_drain(start, node)
        task.job.started = True
        task.starts.append(Start(start.at, start.run, node, start.late))
        task.running[start.instance, start.run] = worker

    def ended(self, worker: SystemWorker, end: Ended) -> None:
        """A run ends at a worker, or with it."""
        task = self._book.task(end.task)
        task.running.pop((end.instance, end.run), None)
        task.ends.append(End(end.at, end.run, end.how))
        self.ends[end.how] = self.ends.get(end.how, 0) + 1
        if end.saved:
            self._keep_saved(end.saved)
        if end.how == "alone":
            self._check_gang(task, end, worker.profile.address)

    def noted(self, worker: SystemWorker, end: Ended, now: float, lapsed: bool) -> None:
        """`last_seen` has reached an end."""
        if lapsed:
            return
        task = self._book.task(end.task)
        for known in task.ends:
            if known.run == end.run and known.how == end.how and known.at == end.at:
                known.noted_at = min(known.noted_at, now)
        self._check_noted(task)

    def _keep_saved(self, saved: str) -> None:
        text, _, owner = saved.partition(MARK)
        self._saved.setdefault(owner, set()).add(text)

    def _check_limit(self, worker: SystemWorker, start: Started) -> None:
        if start.over and not worker.profile.guards:
            raise Violation("LIMIT", f"{start} brings the worker over its capacity")

    def _check_unasked(self, task: TaskFacts, start: Started, body: Body, node: str) -> None:
        if body["spec"] != task.job.plan.spec:
            raise Violation("UNASKED", f"{start} with another spec")
        checkpoint = body.get("checkpoint", "")
        if checkpoint and checkpoint.partition(MARK)[2] != owner_of(start.task, task.step.gang):
            raise Violation("UNASKED", f"{start} with a checkpoint of {checkpoint}")
        late = start.at > task.job.cancelled_at + CANCEL_S
        if late and not start.late and self.troubles.in_touch(node, start.at):
            raise Violation("UNASKED", f"{start} after the job was cancelled at {task.job.cancelled_at:.3f}")

    def _check_order(self, task: TaskFacts, start: Started) -> None:
        for step in task.step.deps:
            if not self._book.step_done(task.job, task.time, step):
                raise Violation("ORDER", f"{start} before step {step} is done")
        early_s = (task.job.plan.due_ms(task.time) - true_wall_ms(start.at)) / 1000
        if early_s > EARLY_S + (JUMP_ALLOWANCE_S if self.jumps else 0):
            raise Violation("ORDER", f"{start} is {early_s:.3f} s early")

    def _check_route(self, task: TaskFacts, worker: SystemWorker, start: Started) -> None:
        service = worker.profile.service
        if service not in self.services.get(task.job.plan.queue, ()):
            raise Violation("ROUTE", f"{start} at service {service}")
        if task.step.requires and task.step.requires not in worker.profile.labels:
            raise Violation("ROUTE", f"{start} at a worker that lacks {task.step.requires}")
        if task.step.anti_affinity:
            step = start.task.rsplit(".", 1)[0]
            there = sum(run.task.rsplit(".", 1)[0] == step for run in worker.running())
            if there > task.step.anti_affinity:
                raise Violation("ROUTE", f"{start}: {there} of the step at {worker.instance}")

    def _check_twice(self, task: TaskFacts, start: Started, node: str) -> None:
        if task.step.long_running:
            if task.running:
                raise Violation("TWICE", f"{start} beside {sorted(task.running)}")
            return
        if not task.step.idempotent:
            if task.running:
                raise Violation("TWICE", f"{start} beside {sorted(task.running)}")
            if any(end.how == "done" and end.noted_at < math.inf for end in task.ends):
                raise Violation("TWICE", f"{start} after an end done that was noted: {task.ends}")
        noted_at = min((end.noted_at for end in task.ends if end.how == "done"), default=math.inf)
        over_at = min(noted_at, task.job.done_shown_at)
        if start.at > over_at + NOTED_SLACK_S and not start.late and self.troubles.in_touch(node, start.at):
            raise Violation("TWICE", f"{start} after it was done at {over_at:.3f}")

    def _check_budget(self, task: TaskFacts, start: Started, node: str) -> None:
        if task.step.long_running:
            return
        failed = task.failed_noted()
        if len(failed) < task.job.retries:
            return
        if not task.step.idempotent:
            raise Violation("BUDGET", f"{start} after {len(failed)} runs failed")
        last = max(end.noted_at for end in failed[: task.job.retries])
        if start.at > last + NOTED_SLACK_S and not start.late and self.troubles.in_touch(node, start.at):
            raise Violation("BUDGET", f"{start} after {len(failed)} runs failed")

    def _check_noted(self, task: TaskFacts) -> None:
        """Starts that happened before an end was taken note of count as well."""
        if task.step.long_running or task.step.idempotent:
            return
        failed = task.failed_noted()
        for start in task.starts:
            before = [end for end in task.ends if end.at < start.at and end.noted_at < math.inf and end.how == "done"]
            if before:
                raise Violation("TWICE", f"{start} followed {before[0]}, which is noted now")
            if sum(end.at < start.at for end in failed) >= task.job.retries:
                raise Violation("BUDGET", f"{start} followed {len(failed)} runs that failed")

    def _check_gang(self, task: TaskFacts, end: Ended, node: str) -> None:
        began = max(start.at for start in task.starts)
        if task.job.cancel_sent_at < end.at or any(start.late for start in task.starts if start.run == end.run):
            return
        if self.troubles.any_between(began - CONTACT_S - GANG_S, end.at, BESIDE_GANG):
            return
        raise Violation("GANG", f"{end.task} run {end.run} ends alone at {node}")

    def _check_drain(self, start: Started, node: str) -> None:
        drained_at = self.drained_at.get(start.instance, math.inf)
        if start.at > drained_at + DRAIN_S and not start.late and self.troubles.in_touch(node, start.at):
            raise Violation("DRAIN", f"{start}, and the worker drains since {drained_at:.3f}")

    def drain_acknowledged(self, instance: str) -> None:
        """An agent has acknowledged a heartbeat that says `draining`."""
        self.drained_at.setdefault(instance, self._now)

    # ---- clients -----------------------------------------------------------------------------------------

    def add_job(self, plan: JobPlan, retries: int) -> None:
        """A client has a job."""
        self.jobs[plan.name] = JobFacts(plan, retries)

    def tried(self, job: JobPlan) -> None:
        self.jobs[job.name].tries += 1

    def try_ended(self, job: JobPlan, rejected: bool) -> None:
        if rejected:
            self.jobs[job.name].tries -= 1
            self.rejected += 1

    def accepted(self, job: JobPlan) -> None:
        facts = self.jobs[job.name]
        facts.accepted_at = min(facts.accepted_at, self._now)

    def shown(self, job: JobPlan, asked_at: float, state: str) -> None:
        facts = self.jobs[job.name]
        if not state:
            if asked_at > facts.accepted_at and self._now < facts.final_at + STATUS_S:
                raise Violation("LOST", f"job {job.name} is answered 410")
            return
        self._check_state(facts, asked_at, state)

    def _check_state(self, facts: JobFacts, asked_at: float, state: str) -> None:
        name = facts.plan.name
        if facts.final and state != facts.final and (state in FINAL or asked_at > facts.final_at):
            raise Violation("LOST", f"job {name} was shown as {facts.final} and is {state}")
        if state == "done":
            self._check_done(facts)
            facts.done_shown_at = min(facts.done_shown_at, self._now)
        if state == "failed" and not self._book.has_cause_to_fail(facts):
            raise Violation("LOST", f"job {name} is shown as failed without cause")
        if state == "cancelled" and facts.cancel_sent_at == math.inf:
            raise Violation("LOST", f"job {name} is shown as cancelled, and nobody cancelled it")
        if state in FINAL:
            self._set_final(facts, state)

    def _set_final(self, facts: JobFacts, state: str) -> None:
        if not facts.final:
            facts.final, facts.final_at = state, self._now

    def _check_done(self, facts: JobFacts) -> None:
        for time in range(facts.plan.times):
            for step in range(len(facts.plan.steps)):
                if not self._book.step_done(facts, time, step):
                    raise Violation(
                        "MIXED", f"job {facts.plan.name} is shown as done, and step {step} at time {time} is not"
                    )

    def cancel_sent(self, job: JobPlan) -> None:
        facts = self.jobs[job.name]
        facts.cancel_sent_at = min(facts.cancel_sent_at, self._now)

    def cancelled(self, job: JobPlan, state: str) -> None:
        """A DELETE was answered; an empty state: 410. Both acknowledge the cancel, unless the job ended before."""
        facts = self.jobs[job.name]
        if not state and facts.accepted_at < self._now - VISIBLE_S and self._now < facts.final_at + STATUS_S:
            raise Violation("LOST", f"job {job.name} is answered 410")
        if state:
            self._check_state(facts, self._now, state)
        if state not in ("", "cancelled"):
            return
        facts.cancelled_at = min(facts.cancelled_at, self._now)
        self._timeline.after(CANCEL_S + STOP_S, lambda: self._check_stopped(facts))

    def _check_stopped(self, facts: JobFacts) -> None:
        running = [name for name, task in facts.tasks.items() if task.running]
        if running and not self.troubles.any_between(facts.cancelled_at - CONTACT_S, self._now, BESIDE_CANCEL):
            raise Violation("UNASKED", f"{running} still run, and the job was cancelled at {facts.cancelled_at:.3f}")

    def finish(self) -> None:
        """At the very end."""
        for name, facts in self.jobs.items():
            if facts.started and facts.tries <= 0:
                raise Violation("REFUSED", f"job {name} ran, and every try to hand it in was rejected")
