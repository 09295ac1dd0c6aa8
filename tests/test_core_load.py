"""Cores of every size whose new head has all agents to welcome: one loss costs one head and two views at most."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import pytest

from millethead.lab.core_load import LoadedCore, Loss, LossKind, LossOutcome
from millethead.lab.core_machine import AgentLoad
from millethead.replication.proposal import ViewCause
from millethead.rpc.loop_budget import IterationBudget
from millethead.storage.sync_times import SyncTimes

MOST_VIEWS = 2  # without the member that was lost, and with it again
RECORD_S = 0.0008  # of the processor of a machine with a share of 0.645
CORES = [
    LoadedCore(3, 1, AgentLoad(12, record_s=RECORD_S)),
    LoadedCore(6, 2, AgentLoad(66, record_s=RECORD_S)),
    LoadedCore(6, 2, AgentLoad(160, record_s=RECORD_S)),
    LoadedCore(6, 2, AgentLoad(300, record_s=RECORD_S)),
    LoadedCore(6, 2, AgentLoad(1000, record_s=RECORD_S)),
]
SEEDS = range(4)


def losses(core: LoadedCore, kind: LossKind = LossKind.KILLED) -> list[LossOutcome]:
    return [Loss(seed, core, kind).play() for seed in SEEDS]


@pytest.mark.parametrize("core", CORES, ids=lambda core: f"{core.load.agents} agents")
def test_one_loss_costs_one_head_and_two_views_at_most(core: LoadedCore) -> None:
    for outcome in losses(core):
        assert outcome.heads == 1, outcome
        assert outcome.views <= MOST_VIEWS, outcome
        assert not {ViewCause.HEAD_SILENT, ViewCause.HEAD_ISOLATED, ViewCause.OWN_DISK_SLOW} & set(outcome.causes)


MOST_OF_KIND = {
    LossKind.WIPED: 2,  # without it, and with its new disk in the place of the old one
    LossKind.FROZEN: 4,  # so long that its vote is dropped, and taken back; the head that is left leads on
    LossKind.CUT_OFF: 4,
    LossKind.POWER_OF_ALL: 5,  # one with the first two that are back, and one for each that comes later
}


@pytest.mark.parametrize("kind", MOST_OF_KIND)
def test_one_loss_of_any_kind_costs_one_head(kind: LossKind) -> None:
    for outcome in losses(CORES[2], kind):
        assert outcome.heads == 1, outcome
        assert outcome.views <= MOST_OF_KIND[kind], outcome


@contextmanager
def whole_turns() -> Iterator[None]:
    """All that has come is worked off in the turn in which it came, heartbeats behind it."""
    with mock.patch.object(IterationBudget, "exhausted", property(lambda self: False)):
        yield


@contextmanager
def disk_times_by_the_loop() -> Iterator[None]:
    """A write takes until the loop hears of it, however busy the loop was."""
    with mock.patch.object(SyncTimes, "record_loop_delay", lambda self, since: None):
        yield


def test_heartbeats_behind_work_are_noticed() -> None:
    """The next head has the same work to do, so that heads follow one another without a further fault."""
    with whole_turns():
        found = losses(CORES[-1])
    assert any(outcome.heads > 1 for outcome in found)


def test_a_disk_that_is_taken_for_slow_as_the_loop_is_busy_is_noticed() -> None:
    with whole_turns(), disk_times_by_the_loop():
        found = losses(CORES[2])  # it does not even come to rest after its start
    assert any(ViewCause.OWN_DISK_SLOW in outcome.causes for outcome in found)
    assert any(outcome.heads > 1 for outcome in found)
