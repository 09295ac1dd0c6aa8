"""Records of the disruptions, jobs and tasks in a history of the simulated system. Times are seconds of true time."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from millethead.lab.system_jobs import JobPlan, StepPlan
from millethead.lab.system_worker import SystemWorker

CONTACT_S = 3.0  # for which a machine must have been free of trouble to be in touch


class Violation(AssertionError):
    """Raised when a rule is broken."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


@dataclass(slots=True)
class Trouble:
    """A disruption and its duration. An empty `node` stands for the core."""

    kind: str
    node: str
    begins: float
    ends: float


class TroubleLog:
    """All disruptions of a history; decides which machines are in touch."""

    def __init__(self) -> None:
        self.spans: list[Trouble] = []

    def add(self, kind: str, node: str, begins: float, ends: float) -> None:
        """Record a disruption; `ends` may be in the future."""
        self.spans.append(Trouble(kind, node, begins, ends))

    def in_touch(self, node: str, at: float) -> bool:
        """Whether neither the core nor the machine has been disrupted for CONTACT_S."""
        return not any(
            span.node in ("", node) and span.kind not in HARMLESS and span.begins <= at and span.ends > at - CONTACT_S
            for span in self.spans
        )

    def any_between(self, begins: float, ends: float, but: frozenset[str] = frozenset()) -> bool:
        """Whether there was a disruption in a period, except for kinds in `but`."""
        return any(span.kind not in but and span.begins <= ends and span.ends >= begins for span in self.spans)


HARMLESS = frozenset(
    ("configuration", "hopeless", "new worker", "drain", "worker", "grey", "late", "burst", "dispatcher", "held back")
)


@dataclass(slots=True)
class End:
    """An end at a worker. `noted_at`: when `last_seen` reached it, for good."""

    at: float
    run: int
    how: str
    noted_at: float = math.inf


@dataclass(slots=True)
class Start:
    at: float
    run: int
    node: str
    late: bool


@dataclass(slots=True)
class TaskFacts:
    """What has happened of one task at the workers."""

    job: JobFacts
    step: StepPlan
    time: int
    number: int
    starts: list[Start] = field(default_factory=list)
    ends: list[End] = field(default_factory=list)
    running: dict[tuple[str, int], SystemWorker] = field(default_factory=dict)
    turn_since: float = math.inf  # for the look at the end

    @property
    def done(self) -> bool:
        """Whether a run of it has ended so."""
        return any(end.how == "done" for end in self.ends)

    def failed_noted(self) -> list[End]:
        """Ends `failed` that were taken note of, in order."""
        return sorted(
            (end for end in self.ends if end.how == "failed" and end.noted_at < math.inf), key=lambda end: end.at
        )


@dataclass(slots=True)
class JobFacts:
    """What clients know of a job, and its tasks by name. `tries`: attempts to hand it in that were not rejected."""

    plan: JobPlan
    retries: int
    tries: int = 0
    accepted_at: float = math.inf
    cancel_sent_at: float = math.inf
    cancelled_at: float = math.inf
    done_shown_at: float = math.inf
    final: str = ""
    final_at: float = math.inf
    started: bool = False
    tasks: dict[str, TaskFacts] = field(default_factory=dict)


class JobBook:
    """All jobs of a history by name, with their tasks."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobFacts] = {}

    def task(self, name: str) -> TaskFacts:
        job, time, step, index = name.split(".")
        facts = self.jobs.get(job)
        if facts is None or int(step) >= len(facts.plan.steps) or int(time) >= facts.plan.times:
            raise Violation("UNASKED", f"{name} was not handed in")
        plan = facts.plan.steps[int(step)]
        if int(index) >= plan.count:
            raise Violation("UNASKED", f"{name} was not handed in")
        if name not in facts.tasks:
            facts.tasks[name] = TaskFacts(facts, plan, int(time), int(step))
        return facts.tasks[name]

    def members(self, job: JobFacts, time: int, step: int) -> list[TaskFacts]:
        """The tasks of a step at a time."""
        count = job.plan.steps[step].count
        return [self.task(f"{job.plan.name}.{time}.{step}.{index}") for index in range(count)]

    def step_done(self, job: JobFacts, time: int, step: int) -> bool:
        """Whether every task of a step has ended so; an end of one stands for a gang."""
        members = self.members(job, time, step)
        if job.plan.steps[step].gang:
            return any(task.done for task in members)
        return all(task.done for task in members)

    def has_cause_to_fail(self, facts: JobFacts) -> bool:
        """Whether a task, or a gang, has failed often enough."""
        for task in list(facts.tasks.values()):
            if task.step.long_running:
                continue
            members = self.members(facts, task.time, task.number) if task.step.gang else [task]
            if len({end.run for member in members for end in member.ends if end.how == "failed"}) >= facts.retries:
                return True
        return False
