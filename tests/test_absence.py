"""A member that was disconnected during hundreds of changes catches up while the others serve, and can then lead with
the complete state."""

from __future__ import annotations

import pytest

from millethead.lab.core_absence import play_absence
from millethead.lab.core_oracle import Violation
from millethead.replication.log import ReplicatedLog

CATCHUP_S = 4.0


@pytest.mark.parametrize(("seed", "changes", "jobs"), [(1, 40, 100), (2, 300, 3000)], ids=["differences", "snapshot"])
def test_disconnected_member_catches_up_in_time(seed: int, changes: int, jobs: int) -> None:
    result = play_absence(seed, changes, jobs)
    assert result.changes == changes + 100 and result.jobs == jobs
    assert result.back_s < CATCHUP_S and result.longest_wait_s < 1.0 and result.refused_again == 0


def test_transfer_that_keeps_the_old_state_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The mutant installs the snapshot in the log but does not restore its state."""
    real = ReplicatedLog.install

    def install(log: ReplicatedLog, snapshot) -> None:
        real(log, snapshot)
        log._steps = iter(())

    monkeypatch.setattr(ReplicatedLog, "install", install)
    with pytest.raises((Violation, AssertionError, ValueError, KeyError)):
        play_absence(2, 300, 3000)
