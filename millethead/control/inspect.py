"""Reports on the state of the core as JSON, for `millethead status` and `millethead jobs`.

The record types are shared by the head and the command line. Reports do not modify the state: they must not create the
state of a time of a job that does not exist yet, as `Job.at_time` would.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum
from typing import Protocol

import msgspec

from millethead.control.agents import AgentRegistry
from millethead.control.commit import CommitGate
from millethead.control.configuration_stream import ConfigurationStream
from millethead.control.scheduling_loop import HeadClock
from millethead.control.state import ControlState
from millethead.jobs.state import Job, StepState
from millethead.replication.view import Member, View
from millethead.scheduling.model import StepKey, WaitReason
from millethead.scheduling.scheduler import Scheduler

MAX_JOBS_SHOWN = 500  # the newest jobs
MAX_TIMES_SHOWN = 50  # the newest times of one job
STATUS, DRAINS = "status", "drains"  # names of reports
JOBS, JOB = "jobs", "job"  # names of reports that take a colon and a name


class HeadWaitReason(StrEnum):
    """Reasons why a task waits that the scheduler does not know of."""

    DEPENDENCIES = "steps that it depends on"
    PAUSE = "pause after an end"


# ---- records ---------------------------------------------------------------------------------------------


class VoterReport(msgspec.Struct, frozen=True):
    """A member that votes on views.

    `place` is its index in the chain, where the head has 0; None if it is not in the chain. `disk` identifies its disk
    in hexadecimal digits.
    """

    address: str
    disk: str
    place: int | None


class CallerReport(msgspec.Struct, frozen=True):
    """A dispatcher and the version of the configuration in force there."""

    node: str
    configuration: int


class WorkerReport(msgspec.Struct, frozen=True):
    """One worker instance.

    CPU is given in thousandths of a core, memory in MB. `runs` counts its open runs. `draining` means that it gets no
    new tasks, `taken_out` that an operator has drained its node. `standing` is its health as judged from the ends and
    the speed of its runs, and `cause` is the reason for that.
    """

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
    """Number of jobs of one queue in each state. States without jobs are left out."""

    queue: str
    service: str
    jobs: dict[str, int]


class StatusReport(msgspec.Struct, frozen=True):
    """The core as seen by its head.

    `uncommitted` counts the log entries that have not been synced by the whole chain. `taken_out` lists the nodes that
    an operator has drained, with or without a worker.
    """

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


class DrainsReport(msgspec.Struct, frozen=True):
    """The log position of the newest order to drain a node or to undo that; both are 0 before the first one."""

    epoch: int
    entry: int


class JobSummary(msgspec.Struct, frozen=True):
    """One job in a list. `waiting` counts its waiting tasks by reason."""

    job: str
    queue: str
    state: str
    submitted_ms: int
    done: int
    running: int
    waiting: dict[str, int]


class RunReport(msgspec.Struct, frozen=True):
    """An open run.

    `index` is the index of its task, `instance` its worker instance, and `percent` its progress when it last saved a
    checkpoint.
    """

    index: int
    run: int
    node: str
    instance: str
    percent: int


class StepReport(msgspec.Struct, frozen=True):
    """One step of a job at one time."""

    time: int
    step: int
    count: int
    done: int
    failures: int
    running: tuple[RunReport, ...]
    waiting: dict[str, int]


class JobReport(msgspec.Struct, frozen=True):
    """One job.

    `times` is the total number of times that it runs, `times_done` how many of them are done. `next_due_ms` is the time
    of day at which the next one is due, in ms since 1970, or None if there is none.
    """

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


# ---- building --------------------------------------------------------------------------------------------


class ReportSource(Protocol):
    """The parts of a head that the reports read."""

    @property
    def view(self) -> View: ...

    @property
    def state(self) -> ControlState: ...

    @property
    def gate(self) -> CommitGate: ...

    @property
    def configuration_stream(self) -> ConfigurationStream: ...

    @property
    def agents(self) -> AgentRegistry: ...

    @property
    def scheduler(self) -> Scheduler: ...

    @property
    def clock(self) -> HeadClock: ...


def inspect(head: ReportSource, what: str) -> bytes:
    """Return one report as JSON.

    `what` is "status" (StatusReport), "drains" (DrainsReport), "jobs" or "jobs:QUEUE" (a list of JobSummary), or
    "job:ID" (JobReport, or null for an unknown job). Any other value gives the status report.
    """
    report, _, name = what.partition(":")
    if report == JOBS:
        return msgspec.json.encode(_jobs(head, name))
    if report == JOB:
        job = head.state.jobs.find(name)
        return msgspec.json.encode(None if job is None else _job(head, job))
    if report == DRAINS:
        place = head.state.drained.place
        return msgspec.json.encode(DrainsReport(place.epoch, place.sequence))
    return msgspec.json.encode(status_report(head))


def status_report(head: ReportSource) -> StatusReport:
    """Return the core as the head sees it at this moment, without confirmation by a barrier."""
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
            for caller in head.configuration_stream.callers
            if caller.wants_configuration
        ),
        _queues(head),
        len(state.jobs.open),
        tuple(_workers(head)),
        state.drained.names(),
    )


def _voter(voter: Member, chain: list[Member]) -> VoterReport:
    return VoterReport(voter.address, f"{voter.disk:016x}", chain.index(voter) if voter in chain else None)


def _queues(head: ReportSource) -> tuple[QueueReport, ...]:
    counts: dict[str, Counter[str]] = {}
    for job in head.state.jobs.jobs.values():
        counts.setdefault(job.terms.route, Counter())[_phase(job)] += 1
    configuration = head.state.configuration.configuration
    services = {route.name: route.service for route in configuration.routes} if configuration is not None else {}
    return tuple(
        QueueReport(name, services.get(name, ""), dict(counts.get(name, {}))) for name in sorted({*services, *counts})
    )


def _workers(head: ReportSource) -> Iterator[WorkerReport]:
    runs = Counter(task.instance for _, task in head.state.jobs.open_runs())
    for worker in head.agents.workers.values():
        scheduled = head.scheduler.worker(worker.instance)
        free = scheduled.free if scheduled is not None else worker.free
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
            head.scheduler.health.state(worker.instance).value,
            head.scheduler.health.cause(worker.instance).value,
        )


def _phase(job: Job) -> str:
    return job.phase.name.lower()


def _jobs(head: ReportSource, queue: str) -> list[JobSummary]:
    jobs = [job for job in head.state.jobs.jobs.values() if not queue or job.terms.route == queue]
    return [_summary(head, job) for job in jobs[-MAX_JOBS_SHOWN:]]


def _summary(head: ReportSource, job: Job) -> JobSummary:
    waiting: Counter[str] = Counter()
    done = running = 0
    for step in _steps(head, job):
        waiting.update(step.waiting)
        done += step.done
        running += len(step.running)
    return JobSummary(job.name, job.terms.route, _phase(job), job.submitted_ms, done, running, dict(waiting))


def _job(head: ReportSource, job: Job) -> JobReport:
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
    next_time = max(job.times, default=-1) + 1
    if job.phase.is_final or not job.description.repeats or next_time >= job.time_count():
        return None
    return job.description.due_ms(next_time)


def _steps(head: ReportSource, job: Job) -> Iterator[StepReport]:
    for time in sorted(job.times)[-MAX_TIMES_SHOWN:]:
        for number, state in enumerate(job.times[time].steps):
            yield _step(head, job, StepKey(job.name, time, number), state)


def _step(head: ReportSource, job: Job, key: StepKey, state: StepState) -> StepReport:
    waiting: Counter[str] = Counter()
    running = []
    for index, task in enumerate(state.tasks):
        if task.open:
            running.append(RunReport(index, task.run, task.node, task.instance, task.percent))
        elif not task.done and not job.phase.is_final:
            waiting[_wait_reason(head, job, key, index)] += 1
    return StepReport(
        key.time,
        key.step,
        len(state.tasks),
        sum(task.done for task in state.tasks),
        sum(task.failures for task in state.tasks),
        tuple(running),
        dict(waiting),
    )


def _wait_reason(head: ReportSource, job: Job, key: StepKey, index: int) -> str:
    steps = job.times[key.time].steps
    if not all(steps[other].done for other in job.description.steps[key.step].dependencies):
        return HeadWaitReason.DEPENDENCIES.value
    reason = head.scheduler.why_waiting(key, index, head.clock.now())
    return HeadWaitReason.PAUSE.value if reason is WaitReason.NOT_WAITING else str(reason.value)
