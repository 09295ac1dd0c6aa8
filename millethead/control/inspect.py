"""The state of the core as JSON, for `millethead status` and `millethead jobs`: what the head sees, typed at both ends.

Reading changes nothing: times of a job that nobody has asked for yet are not brought into being here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum
from typing import Protocol

import msgspec

from millethead.control.agents import Agents
from millethead.control.commit import CommitGate
from millethead.control.configuration_stream import ConfigurationStream
from millethead.control.rounds import HeadClock
from millethead.control.state import ControlState
from millethead.jobs.state import Job, StepState
from millethead.replication.view import Member, View
from millethead.scheduling.model import StepKey, WaitReason
from millethead.scheduling.scheduler import Scheduler

MOST_JOBS_SHOWN = 500  # the newest
MOST_TIMES_SHOWN = 50  # of one job, the newest
STATUS, JOBS, JOB = "status", "jobs", "job"  # parts; the last two may be followed by a colon and a name


class Waiting(StrEnum):
    """Why tasks wait, where the scheduler is not the one to say."""

    DEPENDENCIES = "steps that it depends on"
    PAUSE = "pause after an end"


# ---- records ---------------------------------------------------------------------------------------------


class VoterReport(msgspec.Struct, frozen=True):
    """A member that votes on views. `place`: in the chain, from 0 for the head; None outside it. `disk`: hexadecimal
    digits that name its disk."""

    address: str
    disk: str
    place: int | None


class CallerReport(msgspec.Struct, frozen=True):
    """A dispatcher, with the version of the configuration that it has in force."""

    node: str
    configuration: int


class WorkerReport(msgspec.Struct, frozen=True):
    """One life of a worker. Processor in thousandths of a core, memory in MB; `runs` are open there. `draining`: it
    gets nothing new; `taken_out`: by the staff. `standing`: what its ends and its pace have shown; `cause` of that."""

    instance: str
    node: str
    service: str
    labels: tuple[str, ...]
    connected: bool
    draining: bool
    taken_out: bool
    runs: int
    free_cpu: int
    free_mem_mb: int
    free_gpu: int
    cpu: int
    mem_mb: int
    gpu: int
    standing: str
    cause: str


class QueueReport(msgspec.Struct, frozen=True):
    """Jobs of one queue by state, without states that none is in."""

    queue: str
    service: str
    jobs: dict[str, int]


class StatusReport(msgspec.Struct, frozen=True):
    """The core as its head sees it. `uncommitted`: entries that are not yet synced by the whole chain; `taken_out`:
    nodes that the staff have drained, with a worker or without."""

    epoch: int
    head: str
    chain: tuple[str, ...]
    voters: tuple[VoterReport, ...]
    uncommitted: int
    configuration: int
    dispatchers: tuple[CallerReport, ...]
    queues: tuple[QueueReport, ...]
    open_runs: int
    workers: tuple[WorkerReport, ...]
    taken_out: tuple[str, ...]


class JobSummary(msgspec.Struct, frozen=True):
    """One job in a list. `waiting`: how many tasks of it wait, by reason."""

    job: str
    queue: str
    state: str
    submitted_ms: int
    done: int
    running: int
    waiting: dict[str, int]


class RunReport(msgspec.Struct, frozen=True):
    """A run that has not ended: `index` of its task, its worker's life, how far it was when it last saved."""

    index: int
    run: int
    node: str
    instance: str
    percent: int


class StepReport(msgspec.Struct, frozen=True):
    """One step of one time of a job."""

    time: int
    step: int
    count: int
    done: int
    failures: int
    running: tuple[RunReport, ...]
    waiting: dict[str, int]


class JobReport(msgspec.Struct, frozen=True):
    """One job. `times`: how often it runs in all; `times_done`: how many of them are done; `next_due_ms`: when its
    next time is due, in ms since 1970 (None without one)."""

    job: str
    queue: str
    service: str
    state: str
    submitted_ms: int
    ended_ms: int
    times: int
    times_done: int
    next_due_ms: int | None
    steps: tuple[StepReport, ...]


# ---- reading ---------------------------------------------------------------------------------------------


class HeadFacts(Protocol):
    """What is read of a head."""

    @property
    def view(self) -> View: ...

    @property
    def state(self) -> ControlState: ...

    @property
    def gate(self) -> CommitGate: ...

    @property
    def configurations(self) -> ConfigurationStream: ...

    @property
    def agents(self) -> Agents: ...

    @property
    def scheduler(self) -> Scheduler: ...

    @property
    def clock(self) -> HeadClock: ...


def inspect(head: HeadFacts, what: str) -> bytes:
    """One part of the state: "status" (StatusReport), "jobs" or "jobs:QUEUE" (a list of JobSummary), "job:ID"
    (JobReport, or null for an unknown one). Anything else is taken for the first."""
    part, _, name = what.partition(":")
    if part == JOBS:
        return msgspec.json.encode(_jobs(head, name))
    if part == JOB:
        job = head.state.jobs.find(name)
        return msgspec.json.encode(None if job is None else _job(head, job))
    return msgspec.json.encode(status_report(head))


def status_report(head: HeadFacts) -> StatusReport:
    """The core as the head sees it at this moment; not confirmed by a barrier."""
    view, state = head.view, head.state
    chain = [place.member for place in view.chain]
    return StatusReport(
        view.epoch,
        chain[0].address if chain else "",
        tuple(member.address for member in chain),
        tuple(_voter(voter, chain) for voter in view.voters),
        head.gate.uncommitted,
        state.configuration.version,
        tuple(
            CallerReport(caller.node, caller.configuration)
            for caller in head.configurations.callers
            if caller.wants_configuration
        ),
        _queues(head),
        len(state.jobs.open),
        tuple(_workers(head)),
        state.drained.names(),
    )


def _voter(voter: Member, chain: list[Member]) -> VoterReport:
    return VoterReport(voter.address, f"{voter.disk:016x}", chain.index(voter) if voter in chain else None)


def _queues(head: HeadFacts) -> tuple[QueueReport, ...]:
    counts: dict[str, Counter[str]] = {}
    for job in head.state.jobs.jobs.values():
        counts.setdefault(job.terms.route, Counter())[_phase(job)] += 1
    configuration = head.state.configuration.configuration
    services = {route.name: route.service for route in configuration.routes} if configuration is not None else {}
    return tuple(
        QueueReport(name, services.get(name, ""), dict(counts.get(name, {}))) for name in sorted({*services, *counts})
    )


def _workers(head: HeadFacts) -> Iterator[WorkerReport]:
    runs = Counter(task.instance for _, task in head.state.jobs.open_runs())
    for worker in head.agents.workers.values():
        booked = head.scheduler.worker(worker.instance)
        free = booked.free if booked is not None else worker.free
        yield WorkerReport(
            worker.instance,
            worker.node,
            worker.service,
            tuple(sorted(worker.labels)),
            worker.node in head.agents.sessions,
            worker.draining,
            worker.node in head.state.drained,
            runs[worker.instance],
            free.cpu,
            free.mem_mb,
            free.gpu,
            worker.capacity.cpu,
            worker.capacity.mem_mb,
            worker.capacity.gpu,
            head.scheduler.health.standing(worker.instance).value,
            head.scheduler.health.cause(worker.instance).value,
        )


def _phase(job: Job) -> str:
    return job.phase.name.lower()


def _jobs(head: HeadFacts, queue: str) -> list[JobSummary]:
    jobs = [job for job in head.state.jobs.jobs.values() if not queue or job.terms.route == queue]
    return [_summary(head, job) for job in jobs[-MOST_JOBS_SHOWN:]]


def _summary(head: HeadFacts, job: Job) -> JobSummary:
    waiting: Counter[str] = Counter()
    done = running = 0
    for step in _steps(head, job):
        waiting.update(step.waiting)
        done += step.done
        running += len(step.running)
    return JobSummary(job.name, job.terms.route, _phase(job), job.submitted_ms, done, running, dict(waiting))


def _job(head: HeadFacts, job: Job) -> JobReport:
    return JobReport(
        job.name,
        job.terms.route,
        job.terms.service,
        _phase(job),
        job.submitted_ms,
        job.ended_ms,
        job.time_count(),
        len(job.times_done),
        _next_due_ms(job),
        tuple(_steps(head, job)),
    )


def _next_due_ms(job: Job) -> int | None:
    following = max(job.times, default=-1) + 1
    if job.phase.is_final or not job.description.repeats or following >= job.time_count():
        return None
    return job.description.due_ms(following)


def _steps(head: HeadFacts, job: Job) -> Iterator[StepReport]:
    for time in sorted(job.times)[-MOST_TIMES_SHOWN:]:
        for number, state in enumerate(job.times[time].steps):
            yield _step(head, job, StepKey(job.name, time, number), state)


def _step(head: HeadFacts, job: Job, key: StepKey, state: StepState) -> StepReport:
    waiting: Counter[str] = Counter()
    running = []
    for index, task in enumerate(state.tasks):
        if task.open:
            running.append(RunReport(index, task.run, task.node, task.instance, task.percent))
        elif not task.done and not job.phase.is_final:
            waiting[_why(head, job, key, index)] += 1
    return StepReport(
        key.time,
        key.step,
        len(state.tasks),
        sum(task.done for task in state.tasks),
        sum(task.failures for task in state.tasks),
        tuple(running),
        dict(waiting),
    )


def _why(head: HeadFacts, job: Job, key: StepKey, index: int) -> str:
    steps = job.times[key.time].steps
    if not all(steps[other].done for other in job.description.steps[key.step].dependencies):
        return Waiting.DEPENDENCIES.value
    reason = head.scheduler.why_waiting(key, index, head.clock.now())
    return Waiting.PAUSE.value if reason is WaitReason.NOT_WAITING else str(reason.value)
