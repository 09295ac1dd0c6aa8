"""Jobs in the core: parsing of descriptions, the effect of each command, and snapshots."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millethead.execution.messages import Resources, RunEnd
from millethead.jobs.commands import (
    Assignment,
    AssignRuns,
    CancelJob,
    EndedRun,
    EndRuns,
    PurgeJobs,
    QueueTerms,
    SavedRun,
    SaveProgress,
    SubmitJob,
    TaskRun,
    TrimJobs,
    parse_task_name,
)
from millethead.jobs.description import MAX_SPEC_BYTES, MAX_STEPS, MAX_TASKS, InvalidJob, JobDescription, read_job
from millethead.jobs.snapshot import encode_table, restore_table
from millethead.jobs.state import FinishedStep, JobPhase, JobTable, Outcome
from millethead.rpc.codec import Record, decode_any, encode_any

NAME = "5c0e7a21d94b36f8"
TERMS = QueueTerms("r-1", "service", 1, 2, 500, 1500)


def body(*steps: dict[str, Any], **more: Any) -> bytes:
    """A request body; each step has a count of 1 by default."""
    return json.dumps({"spec": "work", "steps": [{"count": 1, **step} for step in steps], **more}).encode()


def submitted(*steps: dict[str, Any], name: str = NAME, table: JobTable | None = None, **more: Any) -> JobTable:
    table = table or JobTable()
    table.submit(SubmitJob(name, TERMS, body(*steps, **more), 1000))
    return table


def run_of(index: int = 0, step: int = 0, run: int = 1, time: int = 0, name: str = NAME) -> TaskRun:
    return TaskRun(name, time, step, index, run)


def assign(table: JobTable, *runs: TaskRun, instance: str = "i-1") -> None:
    table.assign(AssignRuns(tuple(Assignment(run, "n-1", instance) for run in runs), 2000))


def end(table: JobTable, run: TaskRun, how: RunEnd, saved: str = "") -> Outcome:
    return table.end(EndRuns((EndedRun(run, how, saved),), 3000))


def phase(table: JobTable, name: str = NAME) -> JobPhase:
    job = table.find(name)
    assert job is not None
    return job.phase


# ---- descriptions ----------------------------------------------------------------------------------------


def test_all_fields_of_a_description_are_parsed() -> None:
    job = read_job(
        body(
            {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 1, "estimate_ms": 900, "affinity": "r1-3"},
            {
                "count": 2,
                "deps": [0, 0],
                "gang": True,
                "same_rack": True,
                "checkpoints": True,
                "requires": "a",
                "anti_affinity": 2,
                "idempotent": True,
            },
            repeats=3,
            delay_ms=5000,
            interval_ms=700,
        )
    )
    first, second = job.steps
    assert first.needs == Resources(500, 256, 1) and first.affinity == "r1-3" and first.estimate_ms == 900
    assert second.dependencies == (0,) and second.gang and second.same_rack and second.checkpoints
    assert second.requires == "a" and second.anti_affinity == 2 and second.idempotent and not second.long_running
    assert [job.due_ms(time) for time in range(3)] == [5000, 5700, 6400]


def test_job_that_is_not_repeated_is_due_at_once() -> None:
    assert read_job(body({}, delay_ms=5000, interval_ms=700)).due_ms(0) == 0


def test_critical_path_follows_the_dependencies() -> None:
    job = read_job(
        body(
            {"estimate_ms": 100},
            {"estimate_ms": 30},
            {"estimate_ms": 50, "deps": [0]},
            {"estimate_ms": 90, "deps": [1]},
        )
    )
    assert job.critical_path_ms() == 150


def test_chain_length_is_the_number_of_steps_in_the_longest_chain() -> None:
    assert read_job(body({}, {"deps": [0]}, {}, {"deps": [1, 2]})).chain_length() == 3


def test_longest_chain_after_each_step() -> None:
    steps = [
        {"count": 1, "estimate_ms": 100 * (number + 1), "deps": deps}
        for number, deps in enumerate(([], [0], [0], [1, 2], []))
    ]
    job = read_job(json.dumps({"spec": "x", "steps": steps}).encode())
    assert job.longest_successor_chain_ms() == [700, 400, 400, 0, 0]


def test_longest_chains_of_a_complete_graph_are_computed_quickly() -> None:
    steps = [{"count": 1, "estimate_ms": 1, "deps": list(range(number))} for number in range(MAX_STEPS)]
    job = read_job(json.dumps({"spec": "x", "steps": steps}).encode())
    assert job.longest_successor_chain_ms()[0] == MAX_STEPS - 1


@pytest.mark.parametrize(
    "marks", [{"steps": [{"count": 1, "long_running": True}]}, {"steps": [{"count": 1}], "long_running": True}]
)
def test_step_or_job_may_be_marked_long_running(marks: dict[str, Any]) -> None:
    assert read_job(json.dumps({"spec": "", **marks}).encode()).lasting


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (b"{", "JSON"),
        (b"[" * 100_000, "JSON"),
        (b"[]", "object"),
        (json.dumps({"spec": 5, "steps": [{"count": 1}]}).encode(), "spec"),
        (json.dumps({"spec": "x" * (MAX_SPEC_BYTES + 1), "steps": [{"count": 1}]}).encode(), "spec"),
        (b'{"spec":"\\ud800","steps":[{"count":1}]}', "spec"),
        (json.dumps({"spec": "", "steps": []}).encode(), "steps"),
        (json.dumps({"spec": "", "steps": [7]}).encode(), "steps[0]"),
        (json.dumps({"spec": "", "steps": [{"count": 1}] * (MAX_STEPS + 1)}).encode(), "steps"),
        (json.dumps({"spec": "", "steps": [{"count": MAX_TASKS}] * 2}).encode(), "steps"),
        (body({"count": 0}), "steps[0].count"),
        (body({"cpu": -1}), "steps[0].cpu"),
        (body({"cpu": True}), "steps[0].cpu"),
        (body({"gpu": 1 << 20}), "steps[0].gpu"),
        (body({"gang": "yes"}), "steps[0].gang"),
        (body({"requires": 3}), "steps[0].requires"),
        (body({}, {"deps": [1]}), "steps[1].deps"),
        (body({}, {"deps": [True]}), "steps[1].deps"),
        (body({}, {"deps": 0.5}), "steps[1].deps"),
        (body({}, repeats=-1), "repeats"),
    ],
)
def test_error_of_an_invalid_job_names_the_place(text: bytes, place: str) -> None:
    with pytest.raises(InvalidJob) as caught:
        read_job(text)
    assert any(place in finding for finding in caught.value.findings)


def test_all_errors_are_reported_together() -> None:
    with pytest.raises(InvalidJob) as caught:
        read_job(body({"count": 0, "cpu": "many"}, {"deps": [4]}, repeats="often"))
    assert len(caught.value.findings) == 4


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_parsed_or_rejected(text: bytes) -> None:
    try:
        job = read_job(text)
    except InvalidJob as error:
        assert error.findings
    else:
        assert isinstance(job, JobDescription)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 2**70) | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["spec", "steps", "count", "cpu", "deps", "gang", "repeats"]), inner, max_size=5
        )
    ),
    max_leaves=20,
)


@given(json_values)
def test_arbitrary_documents_are_parsed_or_rejected(value: object) -> None:
    try:
        read_job(json.dumps(value).encode())
    except InvalidJob as error:
        assert error.findings


# ---- names -----------------------------------------------------------------------------------------------


def test_task_name_round_trip() -> None:
    run = TaskRun(NAME, 3, 1, 17, 2)
    assert run.task_name == f"{NAME}.3.1.17"
    assert parse_task_name(run.task_name, 2) == run


@pytest.mark.parametrize(
    "name", ["", NAME, f"{NAME}.0.0", f"{NAME}.0.0.0.0", f"{NAME}.0.-1.0", f"{NAME}.0.x.0", f"{NAME}.0.0.99999999999"]
)
def test_malformed_task_name_is_rejected(name: str) -> None:
    assert parse_task_name(name, 1) is None


# ---- commands --------------------------------------------------------------------------------------------


def test_submitting_a_job_again_changes_nothing() -> None:
    table = submitted({"count": 2})
    before = encode_table(table)
    assert table.submit(SubmitJob(NAME, TERMS, body({"count": 9}), 9000)).accepted
    assert encode_table(table) == before


def test_job_is_done_with_its_last_task() -> None:
    table = submitted({"count": 2}, {"deps": [0]})
    assert phase(table) is JobPhase.QUEUED
    assign(table, run_of(0), run_of(1))
    assert phase(table) is JobPhase.RUNNING
    assert not end(table, run_of(0), RunEnd.DONE).finished_steps
    assert end(table, run_of(1), RunEnd.DONE).finished_steps == [FinishedStep(NAME, 0, 0)]
    assert phase(table) is JobPhase.RUNNING
    assign(table, run_of(0, 1))
    assert end(table, run_of(0, 1), RunEnd.DONE).finished_jobs == [NAME]
    assert phase(table) is JobPhase.DONE and not table.open and table.jobs[NAME].ended_ms == 3000


def test_step_is_ready_once_its_dependencies_are_done() -> None:
    table = submitted({"count": 2}, {}, {"deps": [0, 1]})
    job = table.jobs[NAME]
    for number, run in enumerate((run_of(0), run_of(1), run_of(0, 1))):
        assert job.step_ready(0, 2) is False, number
        assign(table, run)
        end(table, run, RunEnd.DONE)
    assert job.step_ready(0, 2)


@pytest.mark.parametrize("run", [run_of(5), run_of(0, 7), run_of(time=1), run_of(name="0" * 16)])
def test_unknown_tasks_cannot_be_assigned(run: TaskRun) -> None:
    with pytest.raises(ValueError, match="cannot be assigned"):
        assign(submitted({}), run)


def test_task_with_an_open_run_or_used_run_number_cannot_be_assigned() -> None:
    table = submitted({})
    assign(table, run_of())
    with pytest.raises(ValueError, match="cannot be assigned"):
        assign(table, run_of(run=2))
    end(table, run_of(), RunEnd.LOST)
    with pytest.raises(ValueError, match="cannot be assigned"):
        assign(table, run_of(run=1))
    assign(table, run_of(run=2))
    assert table.open[NAME, 0, 0, 0].run == 2


def test_end_of_another_run_changes_nothing() -> None:
    table = submitted({})
    assign(table, run_of(run=3))
    before = encode_table(table)
    assert not end(table, run_of(run=2), RunEnd.DONE).closed
    assert not end(table, run_of(index=4), RunEnd.DONE).closed
    assert not end(table, run_of(name="f" * 16), RunEnd.DONE).closed
    assert encode_table(table) == before


def test_end_of_a_run_counts_once() -> None:
    table = submitted({"count": 2})
    assign(table, run_of(0), run_of(1))
    assert end(table, run_of(0), RunEnd.FAILED).closed
    assert not end(table, run_of(0), RunEnd.FAILED).closed
    assert phase(table) is JobPhase.RUNNING


@pytest.mark.parametrize("how", [RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.BROKEN, RunEnd.ALONE, RunEnd.LOST, RunEnd.NEVER])
def test_only_failed_runs_count_as_attempts(how: RunEnd) -> None:
    table = submitted({})
    for number in range(1, 8):
        assign(table, run_of(run=number))
        end(table, run_of(run=number), how)
    assert phase(table) is JobPhase.RUNNING
    assert table.jobs[NAME].at_time(0).steps[0].tasks[0].failures == 0


def test_job_fails_when_a_task_has_no_retries_left() -> None:
    table = submitted({"count": 2})
    for number in range(1, TERMS.retries + 1):
        assert phase(table) is not JobPhase.FAILED
        assign(table, run_of(1, run=number))
        outcome = end(table, run_of(1, run=number), RunEnd.FAILED)
    assert phase(table) is JobPhase.FAILED and outcome.finished_jobs == [NAME]


def test_gang_counts_failed_runs_not_failed_members() -> None:
    table = submitted({"count": 3, "gang": True})
    for number in range(1, TERMS.retries + 1):
        assert phase(table) is not JobPhase.FAILED
        runs = [run_of(index, run=number) for index in range(3)]
        assign(table, *runs)
        for run in runs:
            end(table, run, RunEnd.FAILED)
    assert phase(table) is JobPhase.FAILED
    assert table.jobs[NAME].at_time(0).steps[0].failed_runs == TERMS.retries


def test_gang_is_done_with_its_first_successful_run() -> None:
    table = submitted({"count": 3, "gang": True})
    runs = [run_of(index) for index in range(3)]
    assign(table, *runs)
    outcome = end(table, runs[1], RunEnd.DONE)
    assert phase(table) is JobPhase.DONE and outcome.finished_steps == [FinishedStep(NAME, 0, 0)]
    assert len(table.open) == 2  # the other runs occupy resources until they end too
    assert not end(table, runs[0], RunEnd.LAPSED).finished_jobs
    end(table, runs[2], RunEnd.DONE)
    assert not table.open and phase(table) is JobPhase.DONE


def test_long_running_job_stays_running_however_its_runs_end() -> None:
    table = submitted({"long_running": True})
    for number, how in enumerate([RunEnd.FAILED] * 5 + [RunEnd.DONE] * 3, 1):
        assign(table, run_of(run=number))
        end(table, run_of(run=number), how)
    assert phase(table) is JobPhase.RUNNING


def test_repeated_job_is_done_with_its_last_time() -> None:
    table = submitted({}, repeats=3, delay_ms=10, interval_ms=10)
    for time in (2, 0, 1):
        assert phase(table) is not JobPhase.DONE
        assign(table, run_of(time=time))
        end(table, run_of(time=time), RunEnd.DONE)
    assert phase(table) is JobPhase.DONE and table.jobs[NAME].times_done == {0, 1, 2}


def test_cancelled_job_stays_cancelled() -> None:
    table = submitted({"count": 1})
    assign(table, run_of())
    assert table.cancel(CancelJob(NAME, 5000)).finished_jobs == [NAME]
    assert not table.cancel(CancelJob(NAME, 6000)).finished_jobs
    end(table, run_of(), RunEnd.DONE)
    assert phase(table) is JobPhase.CANCELLED and table.jobs[NAME].ended_ms == 5000
    assert not table.cancel(CancelJob("0" * 16, 1)).accepted


def test_done_job_is_not_cancelled() -> None:
    table = submitted({})
    assign(table, run_of())
    end(table, run_of(), RunEnd.DONE)
    table.cancel(CancelJob(NAME, 9000))
    assert phase(table) is JobPhase.DONE


def test_checkpoints_are_kept_for_the_open_run_only() -> None:
    table = submitted({"checkpoints": True})
    assign(table, run_of(run=2))
    table.save(SaveProgress((SavedRun(run_of(run=1), "old", 10), SavedRun(run_of(run=2), "new", 40))))
    task = table.jobs[NAME].at_time(0).steps[0].tasks[0]
    assert (task.saved, task.percent) == ("new", 40)
    end(table, run_of(run=2), RunEnd.STOPPED, "last")
    table.save(SaveProgress((SavedRun(run_of(run=2), "late", 50),)))
    assert task.saved == "last"


def test_checkpoint_of_any_member_counts_for_the_gang() -> None:
    table = submitted({"count": 2, "gang": True, "checkpoints": True})
    assign(table, run_of(0), run_of(1))
    table.save(SaveProgress((SavedRun(run_of(1), "half", 50),)))
    assert table.jobs[NAME].at_time(0).steps[0].saved == "half"


def test_only_ended_jobs_without_open_runs_are_purged() -> None:
    table = submitted({}, name="a" * 16)
    submitted({}, name="b" * 16, table=table)
    submitted({}, name="c" * 16, table=table)
    assign(table, run_of(name="b" * 16))
    for name in ("b", "c"):
        table.cancel(CancelJob(name * 16, 1))
    table.purge(PurgeJobs(tuple(name * 16 for name in "abcd")))
    assert set(table.jobs) == {"a" * 16, "b" * 16}


def test_pending_counts_jobs_that_have_not_ended() -> None:
    table = submitted({}, name="a" * 16)
    submitted({}, name="b" * 16, table=table)
    assert table.pending("r-1") == 2 and table.pending("other") == 0
    table.cancel(CancelJob("a" * 16, 1))
    assert table.pending("r-1") == 1


# ---- any sequence of commands ----------------------------------------------------------------------------

NAMES = [letter * 16 for letter in "abc"]
BODIES = [
    body({"count": 2}, {"count": 1, "deps": [0]}),
    body({"count": 2, "gang": True, "checkpoints": True}),
    body({"count": 1, "long_running": True}),
    body({"count": 1}, repeats=3, delay_ms=0, interval_ms=5),
]

names = st.sampled_from(NAMES)
runs = st.builds(TaskRun, names, st.integers(0, 2), st.integers(0, 1), st.integers(0, 2), st.integers(1, 4))
commands: st.SearchStrategy[Record] = st.one_of(
    st.builds(SubmitJob, names, st.just(TERMS), st.sampled_from(BODIES), st.integers(0, 99)),
    st.builds(CancelJob, names, st.integers(0, 99)),
    st.builds(lambda run: AssignRuns((Assignment(run, "n", "i"),), 5), runs),
    st.builds(
        lambda run, how, saved: EndRuns((EndedRun(run, how, saved),), 7),
        runs,
        st.sampled_from(RunEnd),
        st.sampled_from(["", "s1", "s2"]),
    ),
    st.builds(lambda run, saved: SaveProgress((SavedRun(run, saved, 50),)), runs, st.sampled_from(["", "s3"])),
    st.builds(lambda name: PurgeJobs((name,)), names),
    st.builds(lambda name: TrimJobs((name,)), names),
)


def apply(table: JobTable, command: Record) -> Outcome | None:
    """Applies a command as the replicated state machine does; returns None if it cannot be applied."""
    command = decode_any(encode_any(command))
    if isinstance(command, AssignRuns):
        try:
            return table.assign(command)
        except ValueError:
            return None
    for kind, method in (
        (SubmitJob, table.submit),
        (CancelJob, table.cancel),
        (EndRuns, table.end),
        (SaveProgress, table.save),
        (PurgeJobs, table.purge),
        (TrimJobs, table.trim),
    ):
        if isinstance(command, kind):
            return method(command)  # type: ignore[arg-type]
    raise AssertionError(command)


def check_invariants(table: JobTable) -> None:
    """Asserts the invariants of a job table."""
    open_runs = {}
    for job in table.jobs.values():
        count = 0
        for time, state in job.times.items():
            for number, step in enumerate(state.steps):
                assert step.remaining_tasks == sum(not task.done for task in step.tasks)
                for index, task in enumerate(step.tasks):
                    if task.open:
                        count += 1
                        open_runs[job.name, time, number, index] = TaskRun(job.name, time, number, index, task.run)
        assert job.open_runs == count
        if job.phase is JobPhase.DONE and not job.trimmed:
            assert len(job.times_done) == job.time_count()
            assert all(state.done for state in job.times.values())
    assert table.open == open_runs
    assert table.held_bytes == sum(job.held_bytes for job in table.jobs.values())


def restored(table: JobTable) -> JobTable:
    copy = JobTable()
    for _ in restore_table(copy, encode_table(table)):
        pass
    return copy


@settings(max_examples=150, deadline=None)
@given(st.lists(commands, max_size=40), st.lists(commands, max_size=15))
def test_restored_snapshot_behaves_like_the_original_table(before: list[Record], after: list[Record]) -> None:
    table = JobTable()
    for command in before:
        apply(table, command)
        check_invariants(table)
    copy = restored(table)
    check_invariants(copy)
    assert encode_table(copy) == encode_table(table)
    assert [run for run, _ in copy.open_runs()] == [run for run, _ in sorted_runs(copy, table)]
    for command in after:
        assert apply(copy, command) == apply(table, command)
        assert phases(copy) == phases(table)
    assert encode_table(copy) == encode_table(table)


def sorted_runs(copy: JobTable, table: JobTable) -> list[tuple[TaskRun, object]]:
    """The open runs of `table`, in the order of `copy`."""
    order = list(copy.open)
    assert set(order) == set(table.open)
    return [(table.open[key], None) for key in order]


def phases(table: JobTable) -> dict[str, JobPhase]:
    return {name: job.phase for name, job in table.jobs.items()}


@settings(max_examples=100, deadline=None)
@given(st.lists(commands, max_size=40))
def test_run_numbers_of_a_task_increase_and_runs_never_overlap(sequence: list[Record]) -> None:
    table = JobTable()
    highest: dict[tuple[str, int, int, int], int] = {}
    for command in sequence:
        if isinstance(command, PurgeJobs):
            continue
        outcome = apply(table, command)
        if isinstance(command, AssignRuns) and outcome is not None:
            run = command.assignments[0].run
            key = (run.job, run.time, run.step, run.index)
            assert run.run > highest.get(key, 0)
            highest[key] = run.run
        for key, run in table.open.items():
            assert run.run == highest[key]
