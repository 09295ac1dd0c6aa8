"""What counts as the disk's time: what the disk does, and not what waits for a processor."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import mock

from millethead.replication.view_planning import SLOW_DISK_MS
from millethead.storage.log import Entry
from millethead.storage.sync_times import MEMORY_S, SyncTimes
from millethead.storage.writer import LogWriter

SYNC_S = 0.009
HELD_UP_S = 0.7  # for which the event loop of a head is busy with agents that come


class Time:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Desk:
    """A writer whose thread and loop get the processor when the test says so; a sync takes `sync_s`."""

    def __init__(self) -> None:
        self.clock = Time()
        self.sync_s = SYNC_S
        self.times = SyncTimes(self.clock)
        self.posted: list[object] = []
        log = SimpleNamespace(append=mock.Mock(), sync=self._sync)
        self.writer = LogWriter(
            log, self.posted.append, mock.Mock(), clock=self.clock, threaded=False, times=self.times
        )

    def _sync(self) -> None:
        self.clock.now += self.sync_s

    def append(self) -> None:
        self.writer.append((Entry(1, 1, b"x"),), mock.Mock())


def ms(seconds: float) -> int:
    return int(1000 * seconds)


def near(found: int, seconds: float) -> bool:
    return abs(found - ms(seconds)) <= 1


def test_a_write_takes_what_the_disk_takes() -> None:
    desk = Desk()
    desk.append()
    assert desk.writer.step()
    assert near(desk.times.latency_ms(), SYNC_S)


def test_a_loop_that_is_held_up_makes_no_slow_disk() -> None:
    """The callback waits for the loop: a head that was busy for 0.7 s took its own disk for slow, and handed over to
    the next member, which then was as busy."""
    desk = Desk()
    desk.append()
    desk.writer.step()
    desk.clock.now += HELD_UP_S
    assert desk.posted  # not called yet
    assert desk.times.latency_ms() < SLOW_DISK_MS


def test_a_thread_that_waits_for_the_processor_makes_no_slow_disk() -> None:
    desk = Desk()
    desk.append()
    desk.clock.now += HELD_UP_S
    assert desk.times.latency_ms() == 0  # nothing is at the disk
    desk.writer.step()
    assert near(desk.times.latency_ms(), SYNC_S)


def test_a_write_that_the_loop_has_not_let_finish_makes_no_slow_disk() -> None:
    """The thread needs the interpreter to say that a write is done. A head found its own write under way for 253 ms,
    which it had itself held up."""
    desk = Desk()
    seen: list[int] = []

    def sync_beside_a_busy_loop() -> None:
        desk.clock.now += SYNC_S
        due = desk.clock.now
        desk.clock.now += HELD_UP_S
        desk.times.held_up(due)
        seen.append(desk.times.latency_ms())

    desk.writer._log.sync = sync_beside_a_busy_loop
    desk.append()
    desk.writer.step()
    assert near(seen[0], SYNC_S) and near(desk.times.latency_ms(), SYNC_S)


def test_a_slow_disk_is_slow_beside_a_busy_loop() -> None:
    desk = Desk()

    def slow_sync() -> None:
        desk.clock.now += 0.2
        due = desk.clock.now
        desk.clock.now += 0.1
        desk.times.held_up(due)
        desk.clock.now += 0.2

    desk.writer._log.sync = slow_sync
    desk.append()
    desk.writer.step()
    assert near(desk.times.latency_ms(), 0.4)


def test_the_wait_behind_an_earlier_write_counts() -> None:
    desk = Desk()
    desk.sync_s = 0.2
    desk.append()
    sync = desk.writer._log.sync

    def sync_while_another_comes() -> None:
        desk.append()
        sync()

    desk.writer._log.sync = sync_while_another_comes
    desk.writer.step()
    desk.writer._log.sync = sync
    desk.writer.step()
    assert near(desk.times.latency_ms(), 0.4)


def test_a_write_that_stands_still_is_slow_while_it_stands() -> None:
    desk = Desk()
    seen: list[int] = []

    def stall() -> None:
        desk.clock.now += 0.5
        seen.append(desk.times.latency_ms())
        desk.clock.now += 0.5

    desk.writer._log.sync = stall
    desk.append()
    desk.writer.step()
    assert near(seen[0], 0.5) and near(desk.times.latency_ms(), 1.0)


def test_old_writes_are_forgotten() -> None:
    desk = Desk()
    desk.sync_s = 0.3
    desk.append()
    desk.writer.step()
    assert near(desk.times.latency_ms(), 0.3)
    desk.clock.now += MEMORY_S + 0.01
    assert desk.times.latency_ms() == 0


def test_only_bounded_writes_that_somebody_waits_for_tell_of_the_disk() -> None:
    desk = Desk()

    def long_read() -> None:
        desk.clock.now += 0.4

    desk.writer.run(long_read, mock.Mock())
    desk.writer.step()
    assert desk.times.latency_ms() == 0
    desk.writer.run(long_read, mock.Mock(), timed=True)
    desk.writer.step()
    assert near(desk.times.latency_ms(), 0.4)
