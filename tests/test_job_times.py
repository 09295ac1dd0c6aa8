"""Tests of the latency breakdown of late jobs: its parts add up to the time that the head has observed."""

from __future__ import annotations

from dataclasses import replace

import pytest

from millethead.control.job_latency import LateJob, LatencyBreakdown, LatencyTracker
from millethead.execution.messages import Resources, RunEnd
from millethead.jobs.commands import QueueTerms
from millethead.jobs.description import JobDescription, StepDescription
from millethead.jobs.state import Job
from millethead.scheduling.model import StepKey

STEP = StepDescription(2, Resources(1000, 512, 0), 500, (), False, False, False, "", "", 0, False, False)
FIRST, SECOND = StepKey("j", 0, 0), StepKey("j", 0, 1)


def job(*steps: StepDescription) -> Job:
    """A job whose objective is 1.5 times the estimate of its longest chain plus 0.25 s."""
    terms = QueueTerms("route", "service", 0, 4, 250, 1500)
    return Job("j", terms, JobDescription("", steps, 0, 0, 0), b"", 0)


def seconds(late: LateJob) -> tuple[float, ...]:
    """Return the parts of the breakdown, rounded."""
    spent = late.spent
    parts = (
        spent.waited_s,
        spent.unsuccessful_s,
        spent.successful_s,
        spent.overhead_s,
        spent.estimated_s,
        spent.remote_s,
    )
    return tuple(round(part, 6) for part in parts)


def test_breakdown_follows_the_last_task_of_each_step() -> None:
    times, two = LatencyTracker(), job(STEP, replace(STEP, dependencies=(0,)))
    times.step_ready(FIRST, 10.0)
    times.run_assigned(FIRST, 0, False, 10.1)
    times.run_assigned(FIRST, 1, False, 10.2)
    times.run_ended(FIRST, 1, RunEnd.FAILED, 0.5, 10.5)
    times.run_assigned(FIRST, 1, True, 10.6)
    times.run_ended(FIRST, 0, RunEnd.DONE, 0.5, 10.7)
    times.run_measured(FIRST, 1, 0.4)
    times.run_ended(FIRST, 1, RunEnd.DONE, 0.5, 11.1)
    times.step_done(two, FIRST, 11.1)
    times.step_ready(SECOND, 11.1)
    for index in (0, 1):
        times.run_assigned(SECOND, index, False, 11.2)
        times.run_measured(SECOND, index, 0.5)
        times.run_ended(SECOND, index, RunEnd.DONE, 0.5, 11.8)
    times.step_done(two, SECOND, 11.8)
    late = times.time_done(two, 0, 1.9)
    assert late is not None
    # Task 1 waited 0.2 s and 0.1 s before its two runs, and 0.1 s in the second step; its first run lost 0.3 s.
    assert seconds(late) == (0.4, 0.3, 0.9, 0.2, 1.0, 0.4)
    assert late.unobserved_s == pytest.approx(0.1)
    assert late.spent.observed_s + late.unobserved_s == pytest.approx(late.total_s)


def test_breakdown_follows_the_dependency_that_finished_last() -> None:
    times = LatencyTracker()
    joined = job(STEP, STEP, replace(STEP, dependencies=(0, 1)))
    for number, end in ((0, 3.0), (1, 2.0)):
        key = StepKey("j", 0, number)
        times.step_ready(key, 0.0)
        times.run_assigned(key, 0, False, 0.5 * (1 + number))
        times.run_ended(key, 0, RunEnd.DONE, 0.5, end)
        times.step_done(joined, key, end)
    last = StepKey("j", 0, 2)
    times.step_ready(last, 3.0)
    times.run_assigned(last, 0, False, 3.0)
    times.run_ended(last, 0, RunEnd.DONE, 0.5, 4.0)
    times.step_done(joined, last, 4.0)
    late = times.time_done(joined, 0, 4.0)
    assert late is not None
    assert late.spent == LatencyBreakdown(0.5, 0.0, 3.5, 0.0, 1.0, 0.0)


def test_job_in_time_is_not_reported_and_leaves_no_state() -> None:
    times, one = LatencyTracker(), job(STEP)
    times.step_ready(FIRST, 0.0)
    times.run_assigned(FIRST, 0, False, 0.0)
    times.run_ended(FIRST, 0, RunEnd.DONE, 0.5, 0.9)
    times.step_done(one, FIRST, 0.9)
    assert times.time_done(one, 0, 0.9) is None
    assert times.is_empty


def test_time_under_an_earlier_head_is_unobserved() -> None:
    times, one = LatencyTracker(), job(STEP)
    times.step_ready(FIRST, 5.0)
    times.run_assigned(FIRST, 0, False, 5.0)
    times.run_ended(FIRST, 0, RunEnd.DONE, 0.5, 5.5)
    times.step_done(one, FIRST, 5.5)
    late = times.time_done(one, 0, 2.5)
    assert late is not None and late.unobserved_s == pytest.approx(2.0)


def test_cancelled_job_leaves_no_state() -> None:
    times, two = LatencyTracker(), job(STEP, replace(STEP, dependencies=(0,)))
    times.step_ready(FIRST, 0.0)
    times.run_assigned(FIRST, 0, False, 0.0)
    times.run_ended(FIRST, 0, RunEnd.DONE, 0.5, 0.5)
    times.step_done(two, FIRST, 0.5)
    times.step_ready(SECOND, 0.5)
    times.forget("j", 0, 2)
    assert times.is_empty
    times.run_ended(SECOND, 0, RunEnd.STOPPED, 0.5, 1.0)
    assert times.is_empty
