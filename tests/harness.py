"""A node under test, and the four rules as assertions on whatever it does. No bench, no clock, no network."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from millethead.decide import interface as api
from millethead.decide.balance import Balancer


@dataclass
class Try:
    worker: int
    sent: float
    outcome: api.Outcome | None = None


@dataclass
class Asked:
    event: api.JobArrived
    end: float
    tries: list[Try] = field(default_factory=list)
    answer: str | None = None


class Node:
    """Feeds one Balancer and fails the test on the spot when an action breaks a rule."""

    def __init__(self, settings: api.Settings, seed: int = 1, now: float = 1000.0) -> None:
        self.set, self.now = settings, now
        self.balancer = Balancer(settings, seed)
        self.timers: list[tuple[float, int, int]] = []
        self.jobs: dict[int, Asked] = {}
        self.entries: dict[int, api.WorkerEntry] = {}
        self.shut: dict[int, float] = {}  # worker -> when the node was told that it drains or is gone
        self.sends: list[tuple[float, int, int]] = []
        self.log: list[api.Action] = []
        self.probes: list[int] = []
        self.count = 0

    def give(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.check(action)
        self.log += actions
        return actions

    def check(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(token=token, delay=delay):
                assert delay >= 0
                self.count += 1
                heapq.heappush(self.timers, (self.now + delay, self.count, token))
            case api.Probe(worker=worker):
                assert self.set.may_probe and worker in self.entries
                self.probes.append(worker)
            case api.Send(job=job, worker=worker):
                self.check_send(self.jobs[job], worker, action.within)
                self.jobs[job].tries.append(Try(worker, self.now))
                self.sends.append((self.now, job, worker))
            case api.Refuse(job=job):
                self.check_refusal(self.jobs[job])
                self.jobs[job].answer = "refused"
            case api.Fail(job=job):
                assert self.jobs[job].answer is None, "a second final answer"
                self.jobs[job].answer = "failed"
            case api.CancelAttempt(job=job, attempt=attempt):
                assert self.set.may_cancel and attempt < len(self.jobs[job].tries)

    def group(self, cls: api.JobClass, worker: int) -> int:
        entry = self.entries[worker]
        return {api.Group.ALL: 0, api.Group.ZONE: entry.zone, api.Group.CELL: entry.cell}[cls.group]

    def check_send(self, asked: Asked, worker: int, within: float) -> None:
        cls = self.set.classes[asked.event.job_class]
        assert asked.answer is None, "sent after the final answer"
        assert worker in self.entries, "sent to a worker that no list named"
        assert worker not in self.shut, "sent to a worker that drains or is gone"
        assert len(asked.tries) < self.set.max_attempts
        assert cls.kind is None or self.entries[worker].kind == cls.kind
        maybe = [t for t in asked.tries if t.outcome not in api.NEVER_RAN]
        if not self.set.parallel_attempts:
            assert all(t.outcome for t in asked.tries)
        if cls.effect is api.Effect.UNSAFE:
            assert not maybe, "an unsafe job may run twice"
        if cls.effect is api.Effect.KEYED and maybe:
            assert all(self.group(cls, t.worker) == self.group(cls, worker) for t in maybe), "left its group"
            assert self.now + within <= maybe[0].sent + cls.window, "it may begin when the group has forgotten the key"

    def check_refusal(self, asked: Asked) -> None:
        cls = self.set.classes[asked.event.job_class]
        assert asked.answer is None, "a second final answer"
        maybe = any(t.outcome not in api.NEVER_RAN for t in asked.tries)
        harmless = cls.effect is api.Effect.SAFE or (cls.effect is api.Effect.KEYED and cls.group is api.Group.ALL)
        assert not maybe or harmless, "refused although it may have run"

    # ---- what tests say ------------------------------------------------------------------------------

    def list(self, *entries: api.WorkerEntry, form: api.ListForm = api.ListForm.FULL) -> None:
        if form is not api.ListForm.DELTA:
            named = {e.worker for e in entries}
            self.shut.update({w: self.now for w in self.entries if w not in named})
        for e in entries:
            self.entries[e.worker] = e
            if e.state is api.WorkerState.READY:
                self.shut.pop(e.worker, None)
            else:
                self.shut[e.worker] = self.now
        self.give(api.WorkerList(form, tuple(entries)))

    def job(self, job: int, job_class: int = 0, left: float | None = None, **more: object) -> None:
        left = self.set.classes[job_class].deadline if left is None else left
        event = api.JobArrived(job, job_class, left, **more)  # type: ignore[arg-type]
        self.jobs[job] = Asked(event, self.now + left)
        self.give(event)

    def end(
        self, job: int, attempt: int, outcome: api.Outcome = api.Outcome.OK, free: float | None = None
    ) -> list[api.Action]:
        asked = self.jobs[job]
        tried = asked.tries[attempt]
        tried.outcome = outcome
        if outcome is api.Outcome.OK and asked.answer is None:
            asked.answer = "served"
        report = None if free is None else api.Report(free_slots=free)
        return self.give(
            api.AttemptEnded(
                job, attempt, tried.worker, outcome, self.now - tried.sent, asked.answer is not None, report
            )
        )

    def until(self, time: float) -> None:
        """Let time pass: due timers fire on the next tick, attempts time out at their job's deadline."""
        while True:
            due = [self.timers[0][0]] if self.timers else []
            due += [a.end for a in self.jobs.values() if any(t.outcome is None for t in a.tries)]
            if not due or min(due) > time:
                break
            self.now = max(self.now, min(due))
            for number, asked in list(self.jobs.items()):
                for n, tried in enumerate(asked.tries):
                    if tried.outcome is None and asked.end <= self.now:
                        self.end(number, n, api.Outcome.TIMEOUT)
            while self.timers and self.timers[0][0] <= self.now:
                self.give(api.TimerFired(heapq.heappop(self.timers)[2]))
            for number, asked in self.jobs.items():
                assert asked.answer or asked.end + self.set.answer_grace > self.now, f"job {number} lost"
        self.now = max(self.now, time)

    def sent_to(self, job: int) -> list[int]:
        return [t.worker for t in self.jobs[job].tries]


def workers(
    count: int, *, zone: int = 0, kind: int = 0, first: int = 1, started: float = 0.0, cell: int = 0
) -> list[api.WorkerEntry]:
    return [api.WorkerEntry(first + n, zone, kind, cell, started=started) for n in range(count)]
