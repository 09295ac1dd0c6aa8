"""A cancelled job never runs, even if a copy of its submission arrives after the cancel was answered."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_head import LEASES_EXPIRED_S, NAME, OTHER, STATUS_S, WALL_MS, HeadHarness, job, worker
from test_jobs import submitted

from millethead.control.retention import (
    FULL_PURGE_INTERVAL_S,
    MAX_JOBS_PER_COMMAND,
    PURGE_INTERVAL_S,
    RETENTION_MARGIN_S,
    purge_interval_s,
)
from millethead.control.state import ControlState
from millethead.jobs import tombstones
from millethead.jobs.commands import CancelJob, PurgeJobs, SubmitJob
from millethead.jobs.snapshot import encode_table, restore_table
from millethead.jobs.state import JobTable
from millethead.jobs.tombstones import Tombstones
from millethead.rpc.codec import CodecError

GONE = 410


def names(found: Tombstones) -> list[str]:
    """All names, the least recently cancelled first."""
    return list(found.cancelled_before(1 << 62))


def test_copy_of_a_submission_that_arrives_after_the_cancel_does_not_run() -> None:
    """Guards against UNASKED: a hand-in that was held up at a frozen dispatcher ran after its cancel was answered."""
    harness = HeadHarness()
    agent = harness.agent(info=worker())
    assert harness.ask("DELETE", NAME)[0] == GONE
    assert harness.ask("POST", NAME, job())[0] == GONE
    harness.pass_time(5.0)
    assert agent.orders() == []
    assert harness.proposed(SubmitJob) == []
    assert harness.ask("GET", NAME)[0] == GONE


def test_cancel_of_an_unknown_job_is_answered_after_its_commit() -> None:
    """Guards against a promise that a new head would not know of."""
    harness = HeadHarness()
    number = harness.call("DELETE")
    harness.clock.run()
    harness.head.gate.barrier_passed(harness.chain.barrier)
    assert number not in harness.answers()
    harness.settle()
    assert harness.answers()[number].status == GONE


def test_tombstone_reaches_the_next_head_through_a_snapshot() -> None:
    """Guards against a newcomer or a restarted member that accepts the cancelled job as the next head."""
    harness = HeadHarness()
    harness.ask("DELETE", NAME)
    copy = ControlState()
    copy.restore(harness.state.snapshot())
    later = HeadHarness(copy, epoch=2)
    agent = later.agent(info=worker())
    assert later.ask("POST", NAME, job())[0] == GONE
    later.pass_time(LEASES_EXPIRED_S)
    assert agent.orders() == []
    assert copy.snapshot() == harness.state.snapshot()


def test_other_jobs_are_accepted_beside_a_tombstone() -> None:
    harness = HeadHarness()
    agent = harness.agent(info=worker())
    harness.ask("DELETE", NAME)
    assert harness.ask("POST", OTHER, job()) == (200, {})
    harness.settle()
    assert agent.orders() == [f"{OTHER}.0.0.0#1"]


def test_cancel_of_an_accepted_job_leaves_no_tombstone() -> None:
    harness = HeadHarness()
    harness.ask("POST", NAME, job())
    assert harness.ask("DELETE", NAME) == (200, {"state": "cancelled"})
    assert len(harness.state.jobs.tombstones) == 0
    assert harness.ask("POST", NAME, job()) == (200, {})
    assert harness.ask("GET", NAME) == (200, {"state": "cancelled"})


def test_cancel_without_room_for_its_tombstone_promises_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an answer of 410 for a job that could still be accepted."""
    monkeypatch.setattr(tombstones, "MAX_TOMBSTONES", 1)
    harness = HeadHarness()
    assert harness.ask("DELETE", NAME)[0] == GONE
    assert harness.ask("DELETE", OTHER)[0] == 503
    assert harness.ask("DELETE", NAME)[0] == GONE
    assert harness.ask("POST", OTHER, job()) == (200, {})


def test_tombstone_is_purged_after_the_retention_period_of_its_newest_cancel() -> None:
    harness = HeadHarness()
    harness.ask("DELETE", NAME)
    harness.pass_time(STATUS_S)
    harness.ask("DELETE", NAME)
    harness.pass_time(STATUS_S + RETENTION_MARGIN_S - 2 * PURGE_INTERVAL_S, step_s=5.0)
    assert harness.ask("POST", NAME, job())[0] == GONE
    harness.pass_time(4 * PURGE_INTERVAL_S, step_s=5.0)
    assert len(harness.state.jobs.tombstones) == 0
    assert harness.proposed(PurgeJobs) == [PurgeJobs((NAME,))]
    assert harness.ask("POST", NAME, job()) == (200, {})


def test_next_purge_comes_soon_after_a_full_one() -> None:
    """Guards against tombstones that are added faster than they are purged."""
    assert purge_interval_s(None) == PURGE_INTERVAL_S
    assert purge_interval_s(PurgeJobs((NAME,))) == PURGE_INTERVAL_S
    assert purge_interval_s(PurgeJobs((NAME,) * MAX_JOBS_PER_COMMAND)) == FULL_PURGE_INTERVAL_S


def test_submission_of_a_cancelled_job_is_not_applied() -> None:
    """Guards the state machine itself, whatever a head proposes."""
    table = JobTable()
    assert not table.cancel(CancelJob(NAME, 1000)).accepted
    assert submitted({}, table=table).find(NAME) is None
    assert table.held_bytes == 0
    table.purge(PurgeJobs((NAME,)))
    assert submitted({}, table=table).find(NAME) is not None


def test_number_of_tombstones_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tombstones, "MAX_TOMBSTONES", 2)
    kept = Tombstones()
    for name, at_ms in ((NAME, 1), (OTHER, 2), (f"{7:016x}", 3), (NAME, 4)):
        kept.add(name, at_ms)
    assert names(kept) == [OTHER, NAME]
    assert list(kept.cancelled_before(4)) == [OTHER]


def test_snapshot_from_before_tombstones_is_restored() -> None:
    """Without tombstones the encoding is the earlier one, so that builds from before can read it too."""
    table = submitted({})
    before = encode_table(table)
    table.cancel(CancelJob(OTHER, 1000))
    assert encode_table(table).startswith(before) and len(encode_table(table)) > len(before)
    restored = JobTable()
    list(restore_table(restored, before))
    assert restored.find(NAME) is not None and len(restored.tombstones) == 0


JOB_NAMES = st.integers(0, (1 << 64) - 1).map(lambda value: f"{value:016x}")


@given(st.lists(st.tuples(JOB_NAMES, st.integers(0, WALL_MS)), max_size=50))
def test_encoded_tombstones_are_the_same_again(cancels: list[tuple[str, int]]) -> None:
    kept = Tombstones()
    for name, at_ms in cancels:
        kept.add(name, at_ms)
    restored = Tombstones.decode(kept.encode())
    assert restored.encode() == kept.encode()
    assert names(restored) == names(kept)


@given(st.binary(max_size=100))
def test_any_bytes_are_tombstones_or_an_error(data: bytes) -> None:
    try:
        Tombstones.decode(data)
    except CodecError:
        assert len(data) % 16


def test_more_tombstones_than_allowed_are_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tombstones, "MAX_TOMBSTONES", 1)
    with pytest.raises(CodecError):
        Tombstones.decode(bytes(32))


COMMANDS = st.lists(
    st.tuples(st.sampled_from(("submit", "cancel", "purge")), st.sampled_from((NAME, OTHER))), max_size=12
)


@given(COMMANDS)
def test_no_job_is_accepted_between_its_cancel_and_its_purge(commands: list[tuple[str, str]]) -> None:
    """An oracle of the names: after a cancel of an unknown job, no submission adds it until it is purged."""
    table, refused = JobTable(), set()
    for kind, name in commands:
        known = name in table.jobs
        if kind == "submit":
            submitted({}, name=name, table=table)
            assert (name in table.jobs) == (known or name not in refused)
        elif kind == "cancel":
            table.cancel(CancelJob(name, 1000))
            refused |= set() if known else {name}
        else:
            table.purge(PurgeJobs((name,)))
            refused.discard(name)
        assert {name for name in (NAME, OTHER) if name in table.tombstones} == refused
        assert table.held_bytes == sum(job.held_bytes for job in table.jobs.values())
