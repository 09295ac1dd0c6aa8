"""Formats the reports of the core and of disks as lines of text for the command line."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from datetime import UTC, datetime

from millethead.control.drains import DrainReport
from millethead.control.inspect import JobReport, JobSummary, StatusReport, StepReport, VoterReport, WorkerReport
from millethead.programs.offline import DiskReport, LogReport
from millethead.replication.view import View
from millethead.scheduling.health import HealthState

LABEL_WIDTH = 14
MAX_WORKERS_LISTED = 200
MAX_OUTDATED_LISTED = 10


def _line(label: str, text: str) -> str:
    return f"{label:<{LABEL_WIDTH}} {text}"


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> Iterator[str]:
    """Format rows below a header, with columns aligned to their widest cell."""
    texts = [tuple(headers), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in texts) for column in range(len(headers))]
    for row in texts:
        yield "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()


def format_time(ms: int) -> str:
    """Format a time in ms since the Unix epoch as UTC."""
    return datetime.fromtimestamp(ms / 1000, UTC).isoformat(timespec="seconds").replace("+00:00", "Z")


def _counts(counts: dict[str, int], none: str = "none") -> str:
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items())) or none


# ---- the core --------------------------------------------------------------------------------------------


def status_lines(status: StatusReport) -> Iterator[str]:
    """Format the output of `millethead status`."""
    yield _line("view", f"epoch {status.epoch}, head {status.head or 'none'}")
    yield _line("chain", " > ".join(status.chain) or "none")
    yield _line("voters", ", ".join(_voter(voter) for voter in status.voters))
    yield _line("lag", f"{status.uncommitted} entries not yet committed")
    yield _line("configuration", _configuration(status))
    yield _line("cells", "1")
    for queue in status.queues:
        yield _line("queue", f"{queue.queue} ({queue.service or 'not configured'}): {_counts(queue.jobs, 'no jobs')}")
    yield _line("workers", f"{len(status.workers)}, with {status.open_runs} open runs")
    if status.taken_out:
        yield _line("taken out", ", ".join(status.taken_out))
    listed = sorted(status.workers, key=lambda worker: (worker.service, worker.node))[:MAX_WORKERS_LISTED]
    if listed:
        yield from table(
            ("worker", "node", "service", "state", "runs", "free cpu", "free mem", "free gpu"),
            (_worker(worker) for worker in listed),
        )
    if len(status.workers) > len(listed):
        yield f"and {len(status.workers) - len(listed)} more (--json lists all)"


def _voter(voter: VoterReport) -> str:
    return f"{voter.address} ({'outside the chain' if voter.place is None else 'in the chain'})"


def _configuration(status: StatusReport) -> str:
    if not status.configuration:
        return "none yet"
    outdated = [caller for caller in status.dispatchers if caller.configuration < status.configuration]
    text = (
        f"version {status.configuration}, in force at {len(status.dispatchers) - len(outdated)} of "
        f"{len(status.dispatchers)} dispatchers"
    )
    if outdated:
        named = ", ".join(f"{caller.node} ({caller.configuration})" for caller in outdated[:MAX_OUTDATED_LISTED])
        text += f"; behind: {named}"
    return text


def _state(worker: WorkerReport) -> str:
    if worker.taken_out:
        return "taken out"
    if worker.draining:
        return "draining"
    if not worker.connected:
        return "agent away"
    return "ready" if worker.standing == HealthState.SOUND.value else f"{worker.standing} ({worker.cause})"


def _worker(worker: WorkerReport) -> tuple[object, ...]:
    state = _state(worker)
    return (
        worker.instance,
        worker.node,
        worker.service,
        state,
        worker.runs,
        f"{worker.free_cpu}/{worker.cpu}",
        f"{worker.free_mem_mb}/{worker.mem_mb}",
        f"{worker.free_gpu}/{worker.gpu}",
    )


def drain_line(report: DrainReport) -> str:
    """Format the output of `millethead drain`."""
    if not report.drained:
        return f"{report.node}: put back, gets tasks again"
    worker = f"worker {report.instance}" if report.instance else "no worker"
    return f"{report.node}: taken out, {worker}, {report.runs} open runs"


def job_list_lines(jobs: Sequence[JobSummary]) -> Iterator[str]:
    """Format the output of `millethead jobs list`."""
    yield from table(
        ("job", "queue", "state", "handed in", "done", "running", "waiting"),
        (
            (job.job, job.queue, job.state, format_time(job.submitted_ms), job.done, job.running, _reasons(job.waiting))
            for job in jobs
        ),
    )


def _reasons(waiting: dict[str, int]) -> str:
    return ", ".join(f"{count}: {reason}" for reason, count in sorted(waiting.items())) or "-"


def job_lines(job: JobReport) -> Iterator[str]:
    """Format the output of `millethead jobs show`."""
    yield _line("job", f"{job.job}, {job.state}")
    yield _line("queue", f"{job.queue} ({job.service})")
    yield _line("handed in", format_time(job.submitted_ms))
    if job.ended_ms:
        yield _line("ended", format_time(job.ended_ms))
    if job.times > 1 or job.next_due_ms is not None:
        due = f", the next due at {format_time(job.next_due_ms)}" if job.next_due_ms is not None else ""
        yield _line("times", f"{job.times_done} of {job.times} done{due}")
    for step in job.steps:
        yield from _step_lines(step)


def _step_lines(step: StepReport) -> Iterator[str]:
    label = f"step {step.step}" if not step.time else f"time {step.time} step {step.step}"
    failures = f", {step.failures} failed ends" if step.failures else ""
    yield _line(label, f"{step.done} of {step.count} tasks done, {len(step.running)} running{failures}")
    for reason, count in sorted(step.waiting.items()):
        yield _line("", f"{count} waiting: {reason}")
    for run in step.running:
        yield _line("", f"task {run.index}, run {run.run}: on {run.instance} at {run.node}, {run.percent}% saved")


# ---- disks -----------------------------------------------------------------------------------------------


def disk_lines(disk: DiskReport) -> Iterator[str]:
    """Format the output of `millethead log verify` and the start of that of `millethead snapshot show`."""
    log = disk.log
    yield _line("log", f"{log.path}: {log.valid_bytes} bytes whole")
    if log.size > log.valid_bytes:
        yield _line(
            "torn tail", f"{log.size - log.valid_bytes} bytes, never known to be synced; dropped at the next start"
        )
    if disk.identity is not None:
        first = ", first start of the system under way" if disk.identity.bootstrapping else ""
        yield _line("disk", f"{disk.identity.disk_id:016x}{first}")
    if disk.view is not None:
        yield _line("accepted view", _view(disk.view))
    base = log.snapshot
    yield _line(
        "snapshot", "none" if base is None else f"epoch {base.epoch}, entry {base.sequence}, {len(base.payload)} bytes"
    )
    yield _line("entries", f"{log.entries} after it; the last is epoch {log.last_epoch}, entry {log.last_sequence}")


def _view(view: View) -> str:
    if not view.epoch:
        return "none"
    chain = " > ".join(place.member.address for place in view.chain)
    return f"epoch {view.epoch}, chain {chain}, {len(view.voters)} voters"


def state_lines(log: LogReport) -> Iterator[str]:
    """Summarise the state of a disk. Its last entries may be uncommitted."""
    state = log.state
    yield _line("configuration", f"version {state.configuration.version}" if state.configuration.version else "none")
    phases: dict[str, int] = {}
    for job in state.jobs.jobs.values():
        phases[job.phase.name.lower()] = phases.get(job.phase.name.lower(), 0) + 1
    yield _line("jobs", _counts(phases))
    yield _line("open runs", str(len(state.jobs.open)))


def saved_job_lines(log: LogReport) -> Iterator[str]:
    """List the jobs of a disk, one per line."""
    yield from table(
        ("job", "queue", "state", "handed in", "open runs"),
        (
            (job.name, job.terms.route, job.phase.name.lower(), format_time(job.submitted_ms), job.open_runs)
            for job in log.state.jobs.jobs.values()
        ),
    )
