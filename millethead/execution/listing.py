"""What the lists in the answer of a hold change in what is known of a life."""

from __future__ import annotations

from dataclasses import replace

from millethead.execution.calls import HoldLists
from millethead.execution.life import Life
from millethead.execution.messages import EndEntry, RunEnd, RunKey, RunProgress
from millethead.execution.runs import Run, RunState, change
from millethead.execution.worker_clock import MS

MOST_BLIND_SHARE = 0.5  # part of a run's time by which it may be known too late for the time to say something
PROGRESS_INTERVAL_S = 1.0  # between two reports of a run's percentage; a new checkpoint is told at once


def merge_lists(life: Life, lists: HoldLists, sent_at: float, now: float) -> None:
    """Take in the lists of a hold that was sent at `sent_at`: what is missing proves nothing about later events."""
    blind_s = life.blind_s(sent_at)
    for end in life.last_seen.fresh(lists.ends):
        _take_end(life, end, blind_s, now)
    for progress in lists.running:
        _take_running(life, progress, now)
    if lists.complete:
        _settle_missing(life, {progress.key for progress in lists.running}, sent_at, now)
    life.listed, life.listed_at = True, max(life.listed_at, sent_at)
    life.answered_at = now


def conclude(life: Life, run: Run, how: RunEnd, now: float) -> None:
    """End a run whose end is not listed but follows from what is known."""
    change(run, RunState.ENDED, now)
    life.draft.ends.append(EndEntry(0, run.key, how, ""))


def confirm(life: Life, run: Run, now: float) -> None:
    """The worker has the run whose start was unclear or under way."""
    change(run, RunState.RUNNING, now)
    life.draft.started.append(run.key)


def _take_end(life: Life, end: EndEntry, blind_s: float, now: float) -> None:
    run = life.runs.get(end.key)
    life.draft.ends.append(end if run is None else replace(end, ran_ms=_ran_ms(run, blind_s, now)))
    life.unstopped.pop(end.key, None)
    if run is None:
        return
    run.listed = True
    if run.state is not RunState.ENDED:
        change(run, RunState.ENDED, now)


def _ran_ms(run: Run, blind_s: float, now: float) -> int:
    """How long a run has run until now; 0 where that is not known. It may have ended up to `blind_s` earlier, as
    holds before the one that shows its end went unanswered."""
    if run.began_at is None:
        return 0
    ran_s = now - run.began_at
    return 0 if min(blind_s, ran_s) > MOST_BLIND_SHARE * ran_s else max(1, int(ran_s * MS))


def _take_running(life: Life, progress: RunProgress, now: float) -> None:
    run = life.runs.get(progress.key)
    if run is None:
        run = life.runs.add(Run(progress.key, None, False, RunState.RUNNING, now, seen_at=now))
    elif run.state in (RunState.WAITING, RunState.STARTING):
        confirm(life, run, now)
    elif run.state is RunState.ENDED:
        _find_again(run, now)
    if run.seen_at is None:
        run.seen_at = now
    _tell_progress(life, run, progress, now)


def _find_again(run: Run, now: float) -> None:
    """A run whose end was concluded is there after all. (One whose end was listed is not: that list is newer.)"""
    if not run.listed:
        run.wanted = False
        change(run, RunState.STOPPING, now)


def _tell_progress(life: Life, run: Run, progress: RunProgress, now: float) -> None:
    if run.state is RunState.ENDED:
        return
    new_checkpoint = progress.saved != run.saved
    if not new_checkpoint and (progress.percent == run.percent or now < run.told_at + PROGRESS_INTERVAL_S):
        return
    run.saved, run.percent, run.told_at = progress.saved, progress.percent, now
    life.draft.progress.append(progress)


def _settle_missing(life: Life, running: set[RunKey], sent_at: float, now: float) -> None:
    """Conclude the ends of runs that a list proves to be neither there nor to come."""
    for run in life.runs.at_worker():
        if run.key in running or run.calling:
            continue
        if run.seen_at is not None and run.seen_at <= sent_at:
            conclude(life, run, RunEnd.LOST, now)
        elif run.state is RunState.CLOSED and run.seen_at is None and run.since <= sent_at:
            conclude(life, run, RunEnd.NEVER, now)
