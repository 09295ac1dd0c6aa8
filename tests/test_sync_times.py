"""Disk latency covers the time in the disk and not the time spent waiting for a processor."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import mock

from millethead.replication.view_planning import SLOW_DISK_MS
from millethead.storage.log import Entry
from millethead.storage.sync_times import WINDOW_S, SyncTimes
from millethead.storage.writer import LogWriter

SYNC_S = 0.009
LOOP_DELAY_S = 0.7  # during which the event loop of a head handles connecting agents


class ManualClock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class WriterFixture:
    """A writer whose thread and event loop run only when the test says so. A sync takes `sync_s`."""

    def __init__(self) -> None:
        self.clock = ManualClock()
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


def is_close(found: int, seconds: float) -> bool:
    return abs(found - ms(seconds)) <= 1


def test_latency_is_the_duration_of_the_sync() -> None:
    fixture = WriterFixture()
    fixture.append()
    assert fixture.writer.step()
    assert is_close(fixture.times.latency_ms(), SYNC_S)


def test_a_delayed_event_loop_does_not_count_as_disk_latency() -> None:
    """The callback waits for the event loop. A head that was busy for 0.7 s mistook this for a slow disk and handed
    over to the next member, which was then just as busy."""
    fixture = WriterFixture()
    fixture.append()
    fixture.writer.step()
    fixture.clock.now += LOOP_DELAY_S
    assert fixture.posted  # not called yet
    assert fixture.times.latency_ms() < SLOW_DISK_MS


def test_a_delayed_writer_thread_does_not_count_as_disk_latency() -> None:
    fixture = WriterFixture()
    fixture.append()
    fixture.clock.now += LOOP_DELAY_S
    assert fixture.times.latency_ms() == 0  # the disk has no work
    fixture.writer.step()
    assert is_close(fixture.times.latency_ms(), SYNC_S)


def test_a_write_that_waits_for_the_interpreter_does_not_count_as_disk_latency() -> None:
    """The thread needs the interpreter lock to report a finished write. A head measured 253 ms for a write whose report
    it had delayed itself."""
    fixture = WriterFixture()
    seen: list[int] = []

    def sync_during_loop_delay() -> None:
        fixture.clock.now += SYNC_S
        due = fixture.clock.now
        fixture.clock.now += LOOP_DELAY_S
        fixture.times.record_loop_delay(due)
        seen.append(fixture.times.latency_ms())

    fixture.writer._log.sync = sync_during_loop_delay
    fixture.append()
    fixture.writer.step()
    assert is_close(seen[0], SYNC_S) and is_close(fixture.times.latency_ms(), SYNC_S)


def test_a_slow_disk_is_detected_despite_a_delayed_event_loop() -> None:
    fixture = WriterFixture()

    def slow_sync() -> None:
        fixture.clock.now += 0.2
        due = fixture.clock.now
        fixture.clock.now += 0.1
        fixture.times.record_loop_delay(due)
        fixture.clock.now += 0.2

    fixture.writer._log.sync = slow_sync
    fixture.append()
    fixture.writer.step()
    assert is_close(fixture.times.latency_ms(), 0.4)


def test_the_wait_behind_an_earlier_write_counts() -> None:
    fixture = WriterFixture()
    fixture.sync_s = 0.2
    fixture.append()
    sync = fixture.writer._log.sync

    def sync_during_another_append() -> None:
        fixture.append()
        sync()

    fixture.writer._log.sync = sync_during_another_append
    fixture.writer.step()
    fixture.writer._log.sync = sync
    fixture.writer.step()
    assert is_close(fixture.times.latency_ms(), 0.4)


def test_a_stalled_write_counts_while_it_is_in_progress() -> None:
    fixture = WriterFixture()
    seen: list[int] = []

    def stall() -> None:
        fixture.clock.now += 0.5
        seen.append(fixture.times.latency_ms())
        fixture.clock.now += 0.5

    fixture.writer._log.sync = stall
    fixture.append()
    fixture.writer.step()
    assert is_close(seen[0], 0.5) and is_close(fixture.times.latency_ms(), 1.0)


def test_old_writes_are_ignored() -> None:
    fixture = WriterFixture()
    fixture.sync_s = 0.3
    fixture.append()
    fixture.writer.step()
    assert is_close(fixture.times.latency_ms(), 0.3)
    fixture.clock.now += WINDOW_S + 0.01
    assert fixture.times.latency_ms() == 0


def test_only_bounded_jobs_with_a_waiting_caller_count_as_disk_latency() -> None:
    fixture = WriterFixture()

    def long_read() -> None:
        fixture.clock.now += 0.4

    fixture.writer.run(long_read, mock.Mock())
    fixture.writer.step()
    assert fixture.times.latency_ms() == 0
    fixture.writer.run(long_read, mock.Mock(), timed=True)
    fixture.writer.step()
    assert is_close(fixture.times.latency_ms(), 0.4)
