"""Applies the lists of a poll's answer to the state of the instance."""

from __future__ import annotations

from dataclasses import replace

from millethead.execution.calls import RunLists
from millethead.execution.messages import EndEntry, RunEnd, RunKey, RunProgress
from millethead.execution.runs import Run, RunState, transition
from millethead.execution.worker_clock import MS
from millethead.execution.worker_instance import WorkerInstance

MAX_UNOBSERVED_SHARE = 0.5  # a duration is reported only if the uncertainty of its end is at most this share of it
PROGRESS_REPORT_INTERVAL_S = 1.0  # between two reports of a run's percentage; a new checkpoint is reported at once


def apply_run_lists(worker: WorkerInstance, lists: RunLists, sent_at: float, now: float) -> None:
    """Apply the lists of a poll sent at `sent_at`. A missing run proves nothing about events after that time."""
    unobserved_s = worker.unobserved_s(sent_at)
    for end in worker.last_seen.take_new(lists.ends):
        _apply_end(worker, end, unobserved_s, now)
    for progress in lists.running:
        _apply_running(worker, progress, now)
    if lists.complete:
        _end_missing_runs(worker, {progress.key for progress in lists.running}, sent_at, now)
    worker.runs_listed, worker.last_list_requested_at = True, max(worker.last_list_requested_at, sent_at)
    worker.last_list_received_at = now


def record_inferred_end(worker: WorkerInstance, run: Run, how: RunEnd, now: float) -> None:
    """End a run whose end is not listed but follows from other facts."""
    transition(run, RunState.ENDED, now)
    worker.report_draft.ends.append(EndEntry(0, run.key, how, ""))


def record_started(worker: WorkerInstance, run: Run, now: float) -> None:
    """Record that the worker has the run, whose start was in flight or unanswered."""
    transition(run, RunState.RUNNING, now)
    worker.report_draft.started.append(run.key)


def _apply_end(worker: WorkerInstance, end: EndEntry, unobserved_s: float, now: float) -> None:
    run = worker.runs.get(end.key)
    worker.report_draft.ends.append(end if run is None else replace(end, ran_ms=_ran_ms(run, unobserved_s, now)))
    worker.abandoned_runs.pop(end.key, None)
    if run is None:
        return
    run.end_listed = True
    if run.state is not RunState.ENDED:
        transition(run, RunState.ENDED, now)


def _ran_ms(run: Run, unobserved_s: float, now: float) -> int:
    """Return how long the run ran until now in ms, or 0 if that is not known.

    The run may have ended up to `unobserved_s` earlier if polls before the current one were missed.
    """
    if run.started_at is None:
        return 0
    ran_s = now - run.started_at
    return 0 if min(unobserved_s, ran_s) > MAX_UNOBSERVED_SHARE * ran_s else max(1, int(ran_s * MS))


def _apply_running(worker: WorkerInstance, progress: RunProgress, now: float) -> None:
    run = worker.runs.get(progress.key)
    if run is None:
        run = worker.runs.add(Run(progress.key, None, False, RunState.RUNNING, now, first_seen_at=now))
    elif run.state in (RunState.WAITING, RunState.STARTING):
        record_started(worker, run, now)
    elif run.state is RunState.ENDED:
        _rediscover_run(run, now)
    if run.first_seen_at is None:
        run.first_seen_at = now
    _report_progress(worker, run, progress, now)


def _rediscover_run(run: Run, now: float) -> None:
    """Stop a run that exists although its end was inferred. A listed end is newer than this list and stays."""
    if not run.end_listed:
        run.desired = False
        transition(run, RunState.STOPPING, now)


def _report_progress(worker: WorkerInstance, run: Run, progress: RunProgress, now: float) -> None:
    if run.state is RunState.ENDED:
        return
    new_checkpoint = progress.checkpoint != run.checkpoint
    if not new_checkpoint and (
        progress.percent == run.percent or now < run.progress_sent_at + PROGRESS_REPORT_INTERVAL_S
    ):
        return
    run.checkpoint, run.percent, run.progress_sent_at = progress.checkpoint, progress.percent, now
    worker.report_draft.progress.append(progress)


def _end_missing_runs(worker: WorkerInstance, running: set[RunKey], sent_at: float, now: float) -> None:
    """End the runs that are missing in the list and can no longer start."""
    for run in worker.runs.at_worker():
        if run.key in running or run.call_in_flight:
            continue
        if run.first_seen_at is not None and run.first_seen_at <= sent_at:
            record_inferred_end(worker, run, RunEnd.LOST, now)
        elif run.state is RunState.CLOSED and run.first_seen_at is None and run.state_since <= sent_at:
            record_inferred_end(worker, run, RunEnd.NEVER, now)
