"""Test harness: one Balancer in virtual time, whose every action is checked against the rules of the interface.

The rules: each job gets one final answer in time; jobs go only to listed workers that are ready; an unsafe job never
runs twice, and a keyed one only within its deduplication group and window; a job that may have run is refused only if a
repeat is harmless.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from millethead.decide import interface as api
from millethead.decide.balance import Balancer


@dataclass
class Attempt:
    worker: int
    sent: float
    outcome: api.Outcome | None = None


@dataclass
class SubmittedJob:
    event: api.JobArrived
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answer: str | None = None  # "served", "refused", "failed"


class Node:
    """Passes events to one Balancer; fails the test at once if an action breaks a rule."""

    def __init__(self, settings: api.Settings, seed: int = 1, now: float = 1000.0) -> None:
        self.settings, self.now = settings, now
        self.balancer = Balancer(settings, seed)
        self.timers: list[tuple[float, int, int]] = []  # heap of (due at, sequence, token)
        self.jobs: dict[int, SubmittedJob] = {}
        self.entries: dict[int, api.WorkerEntry] = {}
        self.unavailable: dict[int, float] = {}  # worker -> since when the node knows that it drains or is gone
        self.sends: list[tuple[float, int, int]] = []  # (time, job, worker)
        self.actions: list[api.Action] = []
        self.probes: list[int] = []
        self.timer_count = 0

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.check(action)
        self.actions += actions
        return actions

    def check(self, action: api.Action) -> None:
        """Record one action and check it against the rules."""
        match action:
            case api.SetTimer(token=token, delay=delay):
                assert delay >= 0
                self.timer_count += 1
                heapq.heappush(self.timers, (self.now + delay, self.timer_count, token))
            case api.Probe(worker=worker):
                assert self.settings.may_probe and worker in self.entries
                self.probes.append(worker)
            case api.Send(job=job, worker=worker):
                self.check_send(self.jobs[job], worker, action.within)
                self.jobs[job].attempts.append(Attempt(worker, self.now))
                self.sends.append((self.now, job, worker))
            case api.Refuse(job=job):
                self.check_refusal(self.jobs[job])
                self.jobs[job].answer = "refused"
            case api.Fail(job=job):
                assert self.jobs[job].answer is None, "a second final answer"
                self.jobs[job].answer = "failed"
            case api.CancelAttempt(job=job, attempt=attempt):
                assert self.settings.may_cancel and attempt < len(self.jobs[job].attempts)

    def group(self, cls: api.JobClass, worker: int) -> int:
        """The deduplication group of a worker for jobs of a class."""
        entry = self.entries[worker]
        return {api.Group.ALL: 0, api.Group.ZONE: entry.zone, api.Group.CELL: entry.cell}[cls.group]

    def check_send(self, job: SubmittedJob, worker: int, within: float) -> None:
        cls = self.settings.classes[job.event.job_class]
        assert job.answer is None, "sent after the final answer"
        assert worker in self.entries, "sent to a worker that no list named"
        assert worker not in self.unavailable, "sent to a worker that drains or is gone"
        assert len(job.attempts) < self.settings.max_attempts
        assert cls.kind is None or self.entries[worker].kind == cls.kind
        possibly_run = [attempt for attempt in job.attempts if attempt.outcome not in api.NEVER_RAN]
        if not self.settings.parallel_attempts:
            assert all(attempt.outcome for attempt in job.attempts)
        if cls.effect is api.Effect.UNSAFE:
            assert not possibly_run, "an unsafe job may run twice"
        if cls.effect is api.Effect.KEYED and possibly_run:
            group = self.group(cls, worker)
            assert all(self.group(cls, attempt.worker) == group for attempt in possibly_run), "left its group"
            latest_start = possibly_run[0].sent + cls.window
            assert self.now + within <= latest_start, "it may start after the group has forgotten the key"

    def check_refusal(self, job: SubmittedJob) -> None:
        cls = self.settings.classes[job.event.job_class]
        assert job.answer is None, "a second final answer"
        possibly_run = any(attempt.outcome not in api.NEVER_RAN for attempt in job.attempts)
        harmless = cls.effect is api.Effect.SAFE or (cls.effect is api.Effect.KEYED and cls.group is api.Group.ALL)
        assert not possibly_run or harmless, "refused although it may have run"

    # ---- steps of a test -----------------------------------------------------------------------------

    def update_workers(self, *entries: api.WorkerEntry, form: api.ListForm = api.ListForm.FULL) -> None:
        if form is not api.ListForm.DELTA:
            listed = {entry.worker for entry in entries}
            self.unavailable.update({worker: self.now for worker in self.entries if worker not in listed})
        for entry in entries:
            self.entries[entry.worker] = entry
            if entry.state is api.WorkerState.READY:
                self.unavailable.pop(entry.worker, None)
            else:
                self.unavailable[entry.worker] = self.now
        self.handle(api.WorkerList(form, tuple(entries)))

    def submit(self, job: int, job_class: int = 0, left: float | None = None, **fields: object) -> None:
        """Submit a job; `left` is its time left, by default the deadline of its class."""
        left = self.settings.classes[job_class].deadline if left is None else left
        event = api.JobArrived(job, job_class, left, **fields)  # type: ignore[arg-type]
        self.jobs[job] = SubmittedJob(event, self.now + left)
        self.handle(event)

    def end_attempt(
        self, job: int, attempt: int, outcome: api.Outcome = api.Outcome.OK, free: float | None = None
    ) -> list[api.Action]:
        """End an attempt; `free` is the number of free slots that the worker reports with the outcome."""
        submitted = self.jobs[job]
        ended = submitted.attempts[attempt]
        ended.outcome = outcome
        if outcome is api.Outcome.OK and submitted.answer is None:
            submitted.answer = "served"
        report = None if free is None else api.Report(free_slots=free)
        return self.handle(
            api.AttemptEnded(
                job, attempt, ended.worker, outcome, self.now - ended.sent, submitted.answer is not None, report
            )
        )

    def run_until(self, time: float) -> None:
        """Advance the clock: due timers fire, and attempts time out at the deadline of their job."""
        while True:
            due = [self.timers[0][0]] if self.timers else []
            due += [job.deadline for job in self.jobs.values() if any(a.outcome is None for a in job.attempts)]
            if not due or min(due) > time:
                break
            self.now = max(self.now, min(due))
            for number, job in list(self.jobs.items()):
                for index, attempt in enumerate(job.attempts):
                    if attempt.outcome is None and job.deadline <= self.now:
                        self.end_attempt(number, index, api.Outcome.TIMEOUT)
            while self.timers and self.timers[0][0] <= self.now:
                self.handle(api.TimerFired(heapq.heappop(self.timers)[2]))
            for number, job in self.jobs.items():
                assert job.answer or job.deadline + self.settings.answer_grace > self.now, f"job {number} lost"
        self.now = max(self.now, time)

    def workers_tried(self, job: int) -> list[int]:
        """The worker of each attempt of a job, in order."""
        return [attempt.worker for attempt in self.jobs[job].attempts]


def workers(
    count: int, *, zone: int = 0, kind: int = 0, first: int = 1, started: float = 0.0, cell: int = 0
) -> list[api.WorkerEntry]:
    """Ready workers numbered from `first`."""
    return [api.WorkerEntry(first + n, zone, kind, cell, started=started) for n in range(count)]
