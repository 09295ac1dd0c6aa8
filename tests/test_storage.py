"""The write-ahead log on faulty disks (torn and lost writes, bit rot, I/O errors), its writer and the disk identity."""

from __future__ import annotations

import errno
import os
import random
import struct
import threading
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millethead.lab.disk import Operation, SimulatedDisk
from millethead.storage import identity as identities
from millethead.storage import records, replay
from millethead.storage.files import OS_FILE_SYSTEM
from millethead.storage.identity import DiskIdentity, discard_disk, finish_bootstrap, load_identity
from millethead.storage.log import CorruptLog, Entry, LogFile, Recovered, SequenceError, Snapshot
from millethead.storage.records import HEADER_SIZE, MAX_PAYLOAD_BYTES, RecordKind, Tail
from millethead.storage.writer import GROUP_BYTES, LogWriter

HISTORIES = int(os.environ.get("STORAGE_HISTORIES", "400"))
EXAMPLES = int(os.environ.get("STORAGE_EXAMPLES", "150"))
FOLDER = Path("/replica")
LOG = FOLDER / "log"
GENERATION = 0x1122334455667788


class PowerLost(Exception):
    """Ends the process in the middle of a call to the disk."""


def entries(first, count=1, epoch=1, size=20):
    return [
        Entry(epoch, sequence, f"{epoch}:{sequence}".encode().ljust(size, b"."))
        for sequence in range(first, first + count)
    ]


def open_log(disk):
    return LogFile(FOLDER, disk, generation=lambda: GENERATION)


def recover(disk):
    return open_log(disk).recover()


def recover_bytes(data):
    disk = SimulatedDisk(1)
    disk.put(LOG, data)
    return recover(disk)


def is_prefix(part, whole):
    return part == whole[: len(part)]


def three_batches():
    """Returns the bytes of a log with three synced appends, and the offset after each record."""
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    ends = [log.size]
    for first in (1, 3, 5):
        log.append(entries(first, 2))
        log.sync()
        ends.append(log.size)
    return disk.contents(LOG), ends


def offset_of(ends, entry_count):
    """Returns the offset after the first `entry_count` entries."""
    return ends[entry_count // 2]


# Recovery of intact logs


def test_an_absent_log_is_created_empty():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    assert log.recover() == Recovered(None, ())
    assert log.size == HEADER_SIZE
    disk.lose_power()
    assert disk.exists(LOG)
    assert recover(disk) == Recovered(None, ())


def test_written_entries_are_recovered_in_order(tmp_path):
    log = LogFile(tmp_path)
    assert log.recover() == Recovered(None, ())
    log.append(entries(1, 3))
    log.append(entries(4, 2))
    log.truncate(4)
    log.append(entries(5, 2, epoch=2))
    log.sync()
    log.close()
    again = LogFile(tmp_path)
    assert again.recover() == Recovered(None, tuple(entries(1, 4) + entries(5, 2, epoch=2)))
    snapshot = Snapshot(2, 9, b"state")
    again.install(snapshot)
    again.append(entries(10, 2))
    again.sync()
    again.close()
    assert LogFile(tmp_path).recover() == Recovered(snapshot, tuple(entries(10, 2)))


def test_a_log_truncated_below_all_entries_is_empty_and_may_continue_at_any_sequence():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    log.append(entries(5, 3))
    log.truncate(2)
    assert recover_copy(disk) == Recovered(None, ())
    log.append(entries(3, 1, epoch=2))
    assert recover_copy(disk) == Recovered(None, tuple(entries(3, 1, epoch=2)))


def recover_copy(disk):
    return recover_bytes(disk.contents(LOG))


def test_a_truncation_appends_a_marker_only_if_it_invalidates_entries():
    log = open_log(SimulatedDisk(1))
    log.recover()
    log.append(entries(1, 3))
    size = log.size
    log.truncate(3)
    log.truncate(7)
    assert log.size == size
    log.truncate(1)
    assert log.size > size


def test_a_rewrite_keeps_the_given_contents_and_accepts_appends(tmp_path):
    log = LogFile(tmp_path)
    log.recover()
    log.append(entries(1, 100, size=500))
    log.sync()
    long = log.size
    log.rewrite(Snapshot(1, 98, b"s"), entries(99, 2))
    assert log.size < long
    log.append(entries(101))
    log.sync()
    assert log.scrub() == log.size == (tmp_path / "log").stat().st_size
    assert [path.name for path in tmp_path.iterdir()] == ["log"]
    log.close()
    assert LogFile(tmp_path).recover() == Recovered(Snapshot(1, 98, b"s"), tuple(entries(99, 3)))


def test_an_empty_append_and_empty_payloads():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    size = log.size
    log.append([])
    assert log.size == size
    log.append([Entry(0, 1, b""), Entry(0, 2, b"")])
    assert recover_copy(disk).entries == (Entry(0, 1, b""), Entry(0, 2, b""))


def test_an_append_is_one_write_and_long_appends_have_several_records():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    writes = []
    disk.before = lambda operation, path: writes.append(operation)
    many = entries(1, 5, size=records.MAX_BATCH_BYTES // 2 - 100)
    log.append(many)
    assert writes == [Operation.WRITE]
    disk.before = lambda operation, path: None
    assert recover_copy(disk).entries == tuple(many)
    assert disk.contents(LOG).count(records.MAGIC) == 1 + 3


def test_non_contiguous_entries_are_rejected_without_any_change():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    log.install(Snapshot(1, 4, b""))
    log.append(entries(5, 2))
    before = disk.contents(LOG)
    for wrong in (entries(6), entries(8), entries(7) + entries(9)):
        with pytest.raises(SequenceError):
            log.append(wrong)
    with pytest.raises(SequenceError):
        log.truncate(3)
    with pytest.raises(SequenceError):
        log.rewrite(Snapshot(1, 4, b""), entries(6))
    assert disk.contents(LOG) == before
    log.append(entries(7))


def test_numbers_and_payloads_have_limits():
    assert len(Entry(0, 0, bytes(MAX_PAYLOAD_BYTES)).payload) < records.MAX_RECORD_BYTES
    for kind in (Entry, Snapshot):
        for epoch, sequence in ((-1, 0), (0, 1 << 63)):
            with pytest.raises(ValueError):
                kind(epoch, sequence, b"")
    with pytest.raises(ValueError):
        Entry(0, 0, bytes(MAX_PAYLOAD_BYTES + 1))


def test_a_snapshot_may_be_larger_than_any_record(tmp_path):
    payload = random.Random(1).randbytes(MAX_PAYLOAD_BYTES + 4321)
    log = LogFile(tmp_path)
    log.recover()
    log.rewrite(Snapshot(2, 5, payload), entries(6))
    log.install(Snapshot(3, 9, payload[::-1]))
    log.append(entries(10))
    log.sync()
    log.close()
    found = LogFile(tmp_path).recover()
    assert found.snapshot == Snapshot(3, 9, payload[::-1]) and len(found.entries) == 1


@pytest.mark.parametrize("parts", [1, 2, 3])
def test_a_snapshot_without_its_end_is_ignored(parts, monkeypatch):
    """The process ended while it installed the snapshot. The earlier log stays valid and accepts appends."""
    monkeypatch.setattr(records, "SNAPSHOT_PART_BYTES", 4)
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    log.append(entries(1, 3))
    for record in list(records.encode_snapshot(Snapshot(2, 9, b"0123456789")))[:parts]:
        log._write([record])
    log.sync()
    log = LogFile(FOLDER, disk)
    assert [entry.sequence for entry in log.recover().entries] == [1, 2, 3]
    log.append(entries(4))
    log.sync()
    assert [entry.sequence for entry in LogFile(FOLDER, disk).recover().entries] == [1, 2, 3, 4]


def test_parts_that_do_not_match_the_end_are_corrupt(monkeypatch):
    monkeypatch.setattr(records, "SNAPSHOT_PART_BYTES", 4)
    whole = list(records.encode_snapshot(Snapshot(2, 9, b"0123456789")))
    for wrong in (whole[1:], whole[:1] + whole[2:], [whole[0], whole[0], *whole[2:]], whole[:2] + whole[3:]):
        disk = SimulatedDisk(1)
        log = open_log(disk)
        log.recover()
        log._write(wrong)
        log.sync()
        with pytest.raises(CorruptLog):
            LogFile(FOLDER, disk).recover()


def test_a_snapshot_in_a_single_record_is_still_read():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    log._write([(RecordKind.SNAPSHOT, struct.pack(">QQ", 2, 5) + b"state")])
    log.sync()
    assert LogFile(FOLDER, disk).recover().snapshot == Snapshot(2, 5, b"state")


def test_the_largest_record_is_written_and_read(tmp_path):
    log = LogFile(tmp_path)
    log.recover()
    log.append([Entry(1, 1, bytes(MAX_PAYLOAD_BYTES))])
    log.append(entries(2))
    log.sync()
    log.close()
    assert [len(entry.payload) for entry in LogFile(tmp_path).recover().entries] == [MAX_PAYLOAD_BYTES, 20]


def test_a_log_that_is_not_open_raises():
    log = open_log(SimulatedDisk(1))
    for call in (lambda: log.append(entries(1)), log.sync, log.scrub, lambda: log.install(Snapshot(1, 1, b""))):
        with pytest.raises(OSError):
            call()


# Invalid bytes


def test_a_log_torn_at_any_byte_is_truncated_to_complete_records():
    data, ends = three_batches()
    for size in range(ends[0], len(data) + 1):
        complete = sum(size >= end for end in ends[1:])
        disk = SimulatedDisk(1)
        disk.put(LOG, data[:size])
        assert recover(disk).entries == tuple(entries(1, 2 * complete))
        assert len(disk.contents(LOG)) == ends[complete]


def test_a_file_without_its_first_record_is_corrupt():
    data, ends = three_batches()
    for size in range(ends[0]):
        with pytest.raises(CorruptLog):
            recover_bytes(data[:size])


def test_a_flipped_bit_below_the_synced_offset_is_corrupt():
    data, ends = three_batches()
    known_synced = ends[2]  # recorded in the header of the third append
    for at in range(len(data)):
        for bit in (0, 7):
            bad = bytearray(data)
            bad[at] ^= 1 << bit
            if at < known_synced:
                with pytest.raises(CorruptLog):
                    recover_bytes(bytes(bad))
            else:
                assert recover_bytes(bytes(bad)).entries == tuple(entries(1, 4))


def test_a_damaged_unsynced_record_is_dropped_with_the_complete_record_after_it():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    log.append(entries(1, 2))
    log.sync()
    middle = log.size
    log.append(entries(3, 2))
    log.append(entries(5, 2))
    data = bytearray(disk.contents(LOG))
    data[middle : middle + 80] = bytes(80)
    assert recover_bytes(bytes(data)).entries == tuple(entries(1, 2))


def test_the_truncation_by_recovery_is_durable_before_any_append():
    data, ends = three_batches()
    calls = []
    disk = SimulatedDisk(1)
    disk.put(LOG, data[:-1])
    disk.before = lambda operation, path: calls.append(operation)
    log = open_log(disk)
    log.recover()
    assert calls.index(Operation.TRUNCATE) < calls.index(Operation.SYNC)
    disk.before = lambda operation, path: None
    disk.lose_power()
    assert len(disk.contents(LOG)) == ends[2]


def test_recovered_entries_are_durable_even_if_they_were_not_synced_before():
    for seed in range(20):
        disk = SimulatedDisk(seed)
        log = open_log(disk)
        log.recover()
        log.append(entries(1, 3))
        disk.end_process()
        first = recover(disk)
        assert first.entries == tuple(entries(1, 3))
        disk.lose_power()
        assert recover(disk) == first


def test_a_record_inside_a_body_is_not_mistaken_for_a_record():
    """A payload may be a copy of the log file itself. The records in it have other offsets."""
    data, _ = three_batches()
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    log.append([Entry(1, 1, data)])
    torn = disk.contents(LOG)[:-1]
    assert recover_bytes(torn).entries == ()


def test_a_header_of_another_file_or_offset_proves_no_sync():
    data, ends = three_batches()
    for generation, shift in ((GENERATION + 1, 0), (GENERATION, 1)):
        tail = Tail(generation, offset=len(data) + 10 + shift, synced=len(data) + 5)
        planted = data + b"?" * 10 + tail.encode_record(RecordKind.TRUNCATION, records.encode_truncation(1))
        assert recover_bytes(planted).entries == tuple(entries(1, 6))
        assert ends[-1] == len(data)


def test_a_header_after_false_magic_bytes_proves_a_sync():
    data, ends = three_batches()
    bad = data[: ends[0]] + records.MAGIC * ((ends[1] - ends[0]) // 4)
    with pytest.raises(CorruptLog):
        recover_bytes(bad.ljust(ends[1], b"M") + data[ends[1] :])


def test_a_valid_header_with_a_torn_body_proves_a_sync():
    data, ends = three_batches()
    bad = bytearray(data[:-1])
    bad[ends[1]] ^= 1
    with pytest.raises(CorruptLog):
        recover_bytes(bytes(bad))


def test_a_header_across_chunk_boundaries_proves_a_sync():
    for distance in range(replay.CHUNK_BYTES - HEADER_SIZE - 3, replay.CHUNK_BYTES + 4):
        tail = Tail(GENERATION)
        data = tail.encode_record(RecordKind.FILE, b"")
        tail.offset += distance
        tail.synced = tail.offset
        data += bytes(distance) + tail.encode_record(RecordKind.TRUNCATION, records.encode_truncation(1))
        with pytest.raises(CorruptLog):
            recover_bytes(data)


def test_a_record_with_another_predecessor_is_dropped():
    """A stale record at the right offset is rejected because it follows a different record."""
    data, ends = three_batches()
    tail = Tail(GENERATION, offset=ends[1], previous=1, synced=ends[1])
    (body,) = records.encode_entries(entries(3, 2, epoch=7))
    assert recover_bytes(data[: ends[1]] + tail.encode_record(RecordKind.ENTRIES, body)).entries == tuple(entries(1, 2))


@pytest.mark.parametrize(
    ("kind", "body"),
    [
        (9, b""),
        (RecordKind.FILE, b""),
        (RecordKind.TRUNCATION, b""),
        (RecordKind.SNAPSHOT, b"short"),
        (RecordKind.ENTRIES, b""),
        (RecordKind.ENTRIES, bytes(12)),
        (RecordKind.ENTRIES, bytes(11) + b"\1" + bytes(11) + b"\1"),
        (RecordKind.ENTRIES, b"\xff" * 8 + bytes(3) + b"\1" + bytes(12)),
        (RecordKind.ENTRIES, next(records.encode_entries(entries(9)))),
        (RecordKind.TRUNCATION, records.encode_truncation(3)),
    ],
)
def test_an_intact_record_with_invalid_contents_is_corrupt(kind, body):
    tail = Tail(GENERATION)
    data = tail.encode_record(RecordKind.FILE, b"") + tail.encode_record(RecordKind.SNAPSHOT, struct.pack(">QQ", 1, 7))
    with pytest.raises(CorruptLog):
        recover_bytes(data + tail.encode_record(kind, body))


def test_an_oversized_record_is_rejected_without_reading_it():
    tail = Tail(GENERATION)
    data = tail.encode_record(RecordKind.FILE, b"")
    with (
        mock.patch.object(records, "MAX_BODY_BYTES", 100),
        mock.patch.object(replay, "MAX_BODY_BYTES", 100),
        pytest.raises(CorruptLog),
    ):
        recover_bytes(data + tail.encode_record(RecordKind.SNAPSHOT, struct.pack(">QQ", 1, 1) + bytes(100)))


def test_a_scrub_detects_any_flipped_bit_and_returns_the_verified_bytes():
    data, _ = three_batches()
    for at in range(len(data)):
        disk = SimulatedDisk(1)
        disk.put(LOG, data)
        log = open_log(disk)
        log.recover()
        assert log.scrub() == len(data)
        disk.flip_bit(LOG, at)
        with pytest.raises(CorruptLog):
            log.scrub()


def test_a_scrub_detects_a_shortened_file(tmp_path):
    log = LogFile(tmp_path)
    log.recover()
    log.append(entries(1, 3))
    log.sync()
    os.truncate(tmp_path / "log", HEADER_SIZE)
    with pytest.raises(CorruptLog):
        log.scrub()


# Arbitrary bytes


def check_contiguous_or_corrupt(data):
    try:
        found = recover_bytes(data)
    except CorruptLog:
        return
    sequences = [entry.sequence for entry in found.entries]
    if found.snapshot is not None:
        sequences.insert(0, found.snapshot.sequence)
    assert sequences == list(range(sequences[0], sequences[0] + len(sequences))) if sequences else True


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.binary(max_size=400), st.booleans())
def test_recovery_of_arbitrary_bytes_is_contiguous_or_corrupt(tail, with_start):
    check_contiguous_or_corrupt((Tail(GENERATION).encode_record(RecordKind.FILE, b"") if with_start else b"") + tail)


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 6), st.binary(max_size=60)), max_size=6))
def test_recovery_of_arbitrary_whole_records_is_contiguous_or_corrupt(parts):
    tail = Tail(GENERATION)
    data = tail.encode_record(RecordKind.FILE, b"")
    check_contiguous_or_corrupt(data + b"".join(tail.encode_record(kind, body) for kind, body in parts))


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 10_000), st.binary(min_size=1, max_size=40)), min_size=1, max_size=4))
def test_recovery_of_a_damaged_log_is_a_prefix_or_corrupt(damages):
    data, ends = three_batches()
    bad = bytearray(data)
    for at, junk in damages:
        at %= len(data)
        bad[at : at + len(junk)] = junk
    bad = bad[: len(data)]
    first = next((at for at in range(len(data)) if bad[at] != data[at]), len(data))
    try:
        found = recover_bytes(bytes(bad)).entries
    except CorruptLog:
        assert first < ends[2]
        return
    assert is_prefix(found, tuple(entries(1, 6)))
    assert offset_of(ends, len(found)) >= max(end for end in ends if end <= first)


def test_recovery_memory_is_bounded_by_its_result(tmp_path):
    log = LogFile(tmp_path)
    log.recover()
    for sequence in range(1, 40):
        log.install(Snapshot(1, sequence, bytes(1 << 20)))
    log.append(entries(40, 5000, size=100))
    log.truncate(40)
    log.sync()
    log.close()
    tracemalloc.start()
    found = LogFile(tmp_path).recover()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert found == Recovered(Snapshot(1, 39, bytes(1 << 20)), tuple(entries(40, 1, size=100)))
    assert peak < 6 << 20


def test_scrub_and_header_search_use_memory_for_one_chunk(tmp_path):
    log = LogFile(tmp_path)
    log.recover()
    log.install(Snapshot(1, 1, bytes(8 << 20)))
    log.sync()
    tracemalloc.start()
    log.scrub()
    (tmp_path / "log").write_bytes(Tail(GENERATION).encode_record(RecordKind.FILE, b"") + bytes(8 << 20))
    tracemalloc.reset_peak()
    LogFile(tmp_path).recover()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 4 * replay.CHUNK_BYTES


# I/O errors


def test_after_a_failed_write_only_recovery_or_rewrite_work():
    for seed in range(30):
        disk = SimulatedDisk(seed)
        log = open_log(disk)
        log.recover()
        log.append(entries(1, 2))
        log.sync()
        disk.refusing = True
        with pytest.raises(OSError) as refused:
            log.append(entries(3, 2))
        assert refused.value.errno == errno.ENOSPC
        disk.refusing = False
        for call in (lambda: log.append(entries(3)), log.sync, log.scrub):  # noqa: B023
            with pytest.raises(OSError):
                call()
        if seed % 2:
            assert log.recover().entries == tuple(entries(1, 2))
        else:
            log.rewrite(Snapshot(1, 2, b"s"), [])
        log.append(entries(3))
        log.sync()
        disk.lose_power()
        assert recover(disk).entries[-1] == entries(3)[0]


def test_a_failed_sync_is_not_retried():
    disk = SimulatedDisk(3)
    log = open_log(disk)
    log.recover()
    log.append(entries(1, 2))
    disk.failing_syncs = 1
    with pytest.raises(OSError):
        log.sync()
    with pytest.raises(OSError):
        log.sync()
    log.rewrite(Snapshot(1, 0, b""), entries(1, 2))
    for seed in range(5):
        disk.lose_power()
        assert recover(disk).entries == tuple(entries(1, 2)), seed


def test_a_failed_rewrite_keeps_the_old_file_in_use():
    for operation in (Operation.OPEN, Operation.WRITE, Operation.SYNC, Operation.RENAME):
        disk = SimulatedDisk(1)
        log = open_log(disk)
        log.recover()
        log.append(entries(1, 2))
        log.sync()
        disk.before = fail_on(operation)
        with pytest.raises(OSError):
            log.rewrite(Snapshot(1, 2, b"s"), [])
        disk.before = lambda operation, path: None
        assert not disk.exists(FOLDER / "log.new")
        log.append(entries(3))
        log.sync()
        disk.lose_power()
        assert recover(disk) == Recovered(None, tuple(entries(1, 3)))


@pytest.mark.parametrize("seed", range(30))
def test_power_lost_anywhere_in_a_rewrite_leaves_the_old_log_or_the_new_one(seed):
    old, new = Recovered(None, tuple(entries(1, 3))), Recovered(Snapshot(1, 2, b"s"), tuple(entries(3)))
    calls = 0
    while True:
        disk = SimulatedDisk(seed)
        log = open_log(disk)
        log.recover()
        log.append(entries(1, 3))
        log.sync()
        disk.before = fail_power_after(calls)
        try:
            log.rewrite(new.snapshot, new.entries)
        except PowerLost:
            disk.before = lambda operation, path: None
            disk.lose_power()
            assert recover(disk) in (old, new)
            calls += 1
            continue
        disk.before = lambda operation, path: None
        disk.lose_power()
        assert recover(disk) == new
        break
    assert calls == 8  # create, four writes (file, snapshot part, snapshot end, entries), sync, rename, folder sync


def fail_power_after(calls):
    done = 0

    def before(operation, path):
        nonlocal done
        done += 1
        if done > calls:
            raise PowerLost

    return before


def test_the_remains_of_an_interrupted_rewrite_are_removed():
    disk = SimulatedDisk(1)
    open_log(disk).recover()
    disk.put(FOLDER / "log.new", b"half")
    assert recover(disk) == Recovered(None, ())
    assert not disk.exists(FOLDER / "log.new")


def test_a_rewrite_whose_rename_is_not_durable_accepts_no_appends():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    log.append(entries(1, 2))
    log.sync()
    disk.before = fail_on(Operation.SYNC_FOLDER)
    with pytest.raises(OSError):
        log.rewrite(Snapshot(1, 2, b"s"), [])
    disk.before = lambda operation, path: None
    with pytest.raises(OSError):
        log.append(entries(3))
    assert log.recover() == Recovered(Snapshot(1, 2, b"s"), ())


def fail_on(refused):
    def before(operation, path):
        if operation is refused:
            raise OSError(errno.EIO, "refused", str(path))

    return before


def test_a_rewrite_on_a_full_disk_fails_and_keeps_the_log():
    disk = SimulatedDisk(1)
    log = open_log(disk)
    log.recover()
    log.append(entries(1, 10))
    log.sync()
    disk.capacity = log.size + 200
    with pytest.raises(OSError):
        log.rewrite(Snapshot(1, 0, b""), entries(1, 10))
    assert recover(disk).entries == tuple(entries(1, 10))


def test_a_corrupt_log_can_be_rewritten():
    data, _ = three_batches()
    disk = SimulatedDisk(1)
    disk.put(LOG, b"?" + data[1:])
    log = open_log(disk)
    with pytest.raises(CorruptLog):
        log.recover()
    assert disk.contents(LOG) == b"?" + data[1:]
    log.rewrite(Snapshot(3, 9, b"from another"), [])
    disk.lose_power()
    assert recover(disk) == Recovered(Snapshot(3, 9, b"from another"), ())


# Random histories


@dataclass
class Oracle:
    """The states that a log may have after a power loss: all since the last one known to be durable."""

    states: list

    @property
    def latest(self):
        return self.states[-1]

    def add_possible(self, snapshot, kept_entries):
        self.states.append(Recovered(snapshot, tuple(kept_entries)))

    def mark_durable(self):
        del self.states[:-1]


class RandomHistory:
    """A seeded random history of a log on one disk: calls, killed processes, power losses and I/O errors."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.disk = SimulatedDisk(seed)
        self.generations = random.Random(seed)
        self.oracle = Oracle([Recovered(None, ())])
        self.epoch = 0
        self.start()

    def start(self):
        self.disk.before = lambda operation, path: None
        self.disk.refusing = False
        if self.random.random() < 0.2:
            self.lose_power_after(self.random.randrange(8))
            try:
                self.new_log().recover()
            except PowerLost:
                self.crash()
            self.disk.before = lambda operation, path: None
        self.log = self.new_log()
        found = self.log.recover()
        assert found in self.oracle.states
        self.oracle.states = [found]
        self.epoch += 1

    def new_log(self):
        return LogFile(FOLDER, self.disk, generation=lambda: self.generations.getrandbits(64))

    def lose_power_after(self, calls):
        self.disk.before = fail_power_after(calls)

    def crash(self):
        if self.random.random() < 0.6:
            self.disk.lose_power()
        else:
            self.disk.end_process()

    def last_sequence(self):
        latest = self.oracle.latest
        if latest.entries:
            return latest.entries[-1].sequence
        return latest.snapshot.sequence if latest.snapshot else 0

    def step(self):
        if self.random.random() < 0.12:
            self.lose_power_after(self.random.randrange(5))
        self.disk.refusing = self.random.random() < 0.04
        call = self.random.choice(
            [
                self.append,
                self.append,
                self.append,
                self.sync,
                self.sync,
                self.truncate,
                self.install,
                self.rewrite,
                self.crash_and_start,
                self.scrub,
            ]
        )
        try:
            call()
        except PowerLost:
            self.crash()
            self.start()
        except OSError:
            self.disk.refusing = False
            if self.random.random() < 0.5:
                self.crash()
            self.start()

    def append(self):
        latest, first = self.oracle.latest, self.last_sequence() + 1
        new = entries(first, self.random.randrange(1, 6), self.epoch, self.random.choice([0, 30, 700, 3000]))
        self.oracle.add_possible(latest.snapshot, latest.entries + tuple(new))
        self.log.append(new)

    def truncate(self):
        latest = self.oracle.latest
        floor = latest.snapshot.sequence if latest.snapshot else 0
        to = self.random.randint(floor, self.last_sequence())
        self.oracle.add_possible(latest.snapshot, [entry for entry in latest.entries if entry.sequence <= to])
        self.log.truncate(to)

    def install(self):
        snapshot = Snapshot(
            self.epoch,
            self.last_sequence() + self.random.randrange(3),
            self.random.randbytes(self.random.choice([0, 40, 2000])),
        )
        self.oracle.add_possible(snapshot, ())
        self.log.install(snapshot)

    def rewrite(self):
        latest = self.oracle.latest
        at = self.random.randint(latest.snapshot.sequence if latest.snapshot else 0, self.last_sequence())
        snapshot = Snapshot(self.epoch, at, b"rewritten %d" % at)
        kept = tuple(entry for entry in latest.entries if entry.sequence > at)
        self.oracle.add_possible(snapshot, kept)
        self.log.rewrite(snapshot, kept)
        self.oracle.mark_durable()

    def sync(self):
        self.log.sync()
        self.oracle.mark_durable()

    def scrub(self):
        assert self.log.scrub() == self.log.size == len(self.disk.contents(LOG))

    def crash_and_start(self):
        self.crash()
        self.start()


@pytest.mark.parametrize("part", range(8))
def test_random_histories_keep_synced_data_and_never_return_other_data(part):
    for seed in range(part, HISTORIES, 8):
        history = RandomHistory(seed)
        for _ in range(60):
            history.step()


# The writer


class Loop:
    """A stand-in for the event loop. `run` calls the posted callbacks."""

    def __init__(self):
        self.posted = []

    def post(self, callback):
        self.posted.append(callback)

    def run(self):
        while self.posted:
            self.posted.pop(0)()


class WriterFixture:
    """A writer on a simulated disk that the test steps. `called` lists the callbacks in order."""

    def __init__(self):
        self.now = 100.0
        self.calls, self.called, self.failures = [], [], []
        self.disk, self.loop = SimulatedDisk(1), Loop()
        self.log = open_log(self.disk)
        self.log.recover()
        self.disk.before = lambda operation, path: self.calls.append(operation)
        self.writer = LogWriter(self.log, self.loop.post, self.failures.append, clock=lambda: self.now, threaded=False)

    def record(self, what):
        return lambda: self.called.append(what)


def test_many_appends_share_one_sync_and_one_post():
    fixture = WriterFixture()
    for sequence in range(1, 51):
        fixture.writer.append(entries(sequence), fixture.record(sequence))
    assert fixture.writer.step()
    assert fixture.calls == [Operation.WRITE, Operation.SYNC]
    assert len(fixture.loop.posted) == 1
    fixture.loop.run()
    assert fixture.called == list(range(1, 51))
    assert not fixture.writer.step()


def test_durable_callbacks_follow_the_sync():
    fixture = WriterFixture()
    synced = []
    fixture.disk.before = lambda operation, path: synced.append((operation, list(fixture.loop.posted)))
    fixture.writer.append(entries(1), fixture.record(1))
    fixture.writer.install(Snapshot(1, 5, b""), fixture.record(5))
    fixture.writer.step()
    assert synced[-1] == (Operation.SYNC, [])
    fixture.loop.run()
    assert fixture.called == [1, 5]


def test_log_jobs_keep_their_order():
    fixture = WriterFixture()
    fixture.writer.append(entries(1, 3), fixture.record("a"))
    fixture.writer.truncate(2)
    fixture.writer.append(entries(3, 2, epoch=2), fixture.record("b"))
    fixture.writer.rewrite(Snapshot(2, 3, b"s"), entries(4, 1, epoch=2))
    fixture.writer.append(entries(5, 1, epoch=2), fixture.record("c"))
    fixture.writer.close()
    fixture.loop.run()
    assert fixture.called == ["a", "b", "c"]
    fixture.disk.before = lambda operation, path: None
    fixture.disk.lose_power()
    assert recover(fixture.disk) == Recovered(Snapshot(2, 3, b"s"), tuple(entries(4, 2, epoch=2)))


def test_a_truncation_alone_is_synced():
    fixture = WriterFixture()
    fixture.writer.append(entries(1, 3), fixture.record(1))
    fixture.writer.step()
    fixture.writer.truncate(1)
    fixture.writer.step()
    assert fixture.calls == [Operation.WRITE, Operation.SYNC] * 2


def test_an_empty_append_reports_that_earlier_jobs_are_durable():
    fixture = WriterFixture()
    fixture.writer.append([], fixture.record("nothing"))
    fixture.writer.step()
    fixture.loop.run()
    assert (fixture.called, fixture.calls) == (["nothing"], [])


def test_other_disk_jobs_precede_log_jobs_and_keep_their_order():
    fixture = WriterFixture()
    fixture.writer.append(entries(1), fixture.record("append"))
    fixture.writer.run(fixture.record("first job"), fixture.record("first done"))
    fixture.writer.run(fixture.record("second job"), fixture.record("second done"))
    while fixture.writer.step():
        fixture.loop.run()
    assert fixture.called == ["first job", "first done", "second job", "second done", "append"]


def test_another_disk_job_waits_for_at_most_one_group():
    fixture = WriterFixture()
    for sequence in range(1, 9):
        fixture.writer.append(entries(sequence, size=GROUP_BYTES // 4), fixture.record(sequence))
    fixture.writer.step()
    fixture.writer.run(lambda: None, fixture.record("saved"))
    while fixture.writer.step():
        pass
    fixture.loop.run()
    assert fixture.called == [1, 2, 3, 4, "saved", 5, 6, 7, 8]


def test_pending_since_is_the_oldest_unfinished_job():
    fixture = WriterFixture()
    assert fixture.writer.pending_since is None
    fixture.writer.append(entries(1), fixture.record(1))
    fixture.now = 101.0
    fixture.writer.run(lambda: seen.append(fixture.writer.pending_since), fixture.record("saved"))
    fixture.now, seen = 102.0, []
    assert fixture.writer.pending_since == 100.0
    fixture.writer.step()
    assert (seen, fixture.writer.pending_since) == ([100.0], 100.0)
    fixture.disk.before = lambda operation, path: seen.append(fixture.writer.pending_since)
    fixture.writer.step()
    assert (seen, fixture.writer.pending_since) == ([100.0] * 3, None)


@pytest.mark.parametrize("operation", [Operation.WRITE, Operation.SYNC])
def test_a_disk_error_is_reported_once_and_drops_all_queued_jobs(operation):
    fixture = WriterFixture()
    fixture.writer.append(entries(1), fixture.record(1))
    fixture.writer.step()
    fixture.disk.before = fail_on(operation)
    for sequence in range(2, 12):
        fixture.writer.append(entries(sequence, size=GROUP_BYTES // 2), fixture.record(sequence))
    assert not fixture.writer.broken
    fixture.writer.step()
    assert fixture.writer.broken
    assert fixture.writer.pending_since is None
    fixture.disk.before = lambda operation, path: None
    fixture.writer.append(entries(2), fixture.record(2))
    fixture.writer.run(fixture.record("job"), fixture.record("done"))
    assert not fixture.writer.step()
    fixture.writer.close()
    fixture.loop.run()
    assert fixture.called == [1]
    assert [failure.errno for failure in fixture.failures] == [errno.EIO]


def test_a_job_that_raises_breaks_the_writer():
    for error, number in ((OSError(errno.ENOSPC, "full"), errno.ENOSPC), (ValueError("a bug"), errno.EIO)):
        fixture = WriterFixture()
        fixture.writer.append(entries(1), fixture.record(1))
        fixture.writer.run(mock.Mock(side_effect=error), fixture.record("done"))
        fixture.writer.run(fixture.record("another"), fixture.record("done"))
        fixture.writer.close()
        fixture.loop.run()
        assert (fixture.called, [failure.errno for failure in fixture.failures]) == ([], [number])


def test_non_contiguous_entries_break_the_writer():
    fixture = WriterFixture()
    fixture.writer.append(entries(1), fixture.record(1))
    fixture.writer.append(entries(3), fixture.record(3))
    fixture.writer.step()
    fixture.loop.run()
    assert fixture.writer.broken
    assert fixture.called == []


def test_after_a_failure_another_writer_can_rewrite_the_log():
    fixture = WriterFixture()
    fixture.disk.before = fail_on(Operation.SYNC)
    fixture.writer.append(entries(1), fixture.record(1))
    fixture.writer.step()
    fixture.disk.before = lambda operation, path: None
    again = LogWriter(fixture.log, fixture.loop.post, fixture.failures.append, threaded=False)
    again.rewrite(Snapshot(1, 0, b""), entries(1))
    again.append(entries(2), fixture.record(2))
    again.close()
    fixture.loop.run()
    assert fixture.called == [2]
    fixture.disk.lose_power()
    assert recover(fixture.disk).entries == tuple(entries(1, 2))


def test_a_closed_writer_accepts_no_jobs():
    fixture = WriterFixture()
    fixture.writer.append(entries(1), fixture.record(1))
    fixture.writer.close()
    fixture.writer.append(entries(2), fixture.record(2))
    assert not fixture.writer.step()
    fixture.loop.run()
    assert fixture.called == [1]
    assert not fixture.writer.broken


def test_jobs_queued_while_the_disk_stalls_are_executed_as_one_group(tmp_path):
    """A stalled disk job precedes the appends. They form one group, and pending_since reports the stall."""
    log = LogFile(tmp_path)
    log.recover()
    stalled, go_on, loop, called, failures = threading.Event(), threading.Event(), Loop(), [], []
    writer = LogWriter(log, loop.post, failures.append)

    def stall():
        stalled.set()
        go_on.wait(60)

    writer.run(stall, lambda: called.append("stalled"))
    assert stalled.wait(60)
    assert writer.pending_since is not None
    with mock.patch.object(log, "sync", wraps=log.sync) as sync:
        for sequence in range(1, 301):
            writer.append(entries(sequence), lambda at=sequence: called.append(at))
        go_on.set()
        writer.close(60)
    assert sync.call_count == 1
    loop.run()
    assert called == ["stalled", *range(1, 301)]
    assert writer.pending_since is None
    log.close()
    assert LogFile(tmp_path).recover().entries == tuple(entries(1, 300))
    assert failures == []


def test_the_thread_ends_when_the_event_loop_is_closed(tmp_path):
    log = LogFile(tmp_path)
    log.recover()
    writer = LogWriter(log, mock.Mock(side_effect=RuntimeError("Event loop is closed")), mock.Mock())
    writer.append(entries(1), mock.Mock())
    writer.close(60)
    assert not writer.broken
    log.close()
    assert LogFile(tmp_path).recover().entries == tuple(entries(1))


# Disk identity


def test_an_identity_is_created_once_and_loaded_afterwards(tmp_path):
    created = load_identity(tmp_path, True, lambda: 7)
    assert created == DiskIdentity(7, True)
    assert load_identity(tmp_path, False, lambda: 8) == created
    done = finish_bootstrap(tmp_path, created)
    assert done == DiskIdentity(7, False)
    assert load_identity(tmp_path, True, lambda: 9) == done
    assert load_identity(tmp_path / ".", False, lambda: 9) == done


def test_a_disk_that_joins_later_is_not_bootstrapping(tmp_path):
    assert load_identity(tmp_path, False, lambda: (1 << 64) - 1) == DiskIdentity((1 << 64) - 1, False)


def flip_bits(data: bytes, *offsets: int) -> bytes:
    found = bytearray(data)
    for at in offsets:
        found[at] ^= 1
    return bytes(found)


def test_an_identity_is_read_from_either_copy(tmp_path):
    identity = load_identity(tmp_path, True, lambda: 7)
    path = tmp_path / identities.IDENTITY_NAME
    data = path.read_bytes()
    size = len(data) - identities.COPY_OFFSET
    for at in range(size):
        for bad in (flip_bits(data, at), flip_bits(data, identities.COPY_OFFSET + at), data[: len(data) - 1 - at]):
            path.write_bytes(bad)
            assert load_identity(tmp_path, False, lambda: 8) == identity
    path.write_bytes(data[:size])  # as an earlier version wrote it
    assert load_identity(tmp_path, False, lambda: 8) == identity


def test_an_identity_whose_copies_are_both_bad_is_corrupt(tmp_path):
    load_identity(tmp_path, True, lambda: 7)
    path = tmp_path / identities.IDENTITY_NAME
    data = path.read_bytes()
    size = len(data) - identities.COPY_OFFSET
    single = data[:size]
    cut = [single[:length] for length in range(size)]
    both = [flip_bits(data, at, identities.COPY_OFFSET + other) for at in range(size) for other in range(size)]
    other_disk = identities.encode_identity(DiskIdentity(8, True))[:size]
    for bad in [*cut, *both, other_disk + data[size:]]:
        path.write_bytes(bad)
        with pytest.raises(CorruptLog):
            load_identity(tmp_path, False, lambda: 8)


def test_an_identity_missing_beside_a_log_is_corrupt_until_the_disk_is_discarded(tmp_path):
    load_identity(tmp_path, True, lambda: 7)
    LogFile(tmp_path).recover()
    (tmp_path / identities.IDENTITY_NAME).unlink()
    with pytest.raises(CorruptLog):
        load_identity(tmp_path, True, lambda: 8)
    discard_disk(tmp_path)
    assert load_identity(tmp_path, False, lambda: 8) == DiskIdentity(8, False)


def test_an_identity_is_durable_when_it_is_returned(tmp_path):
    """The folder is synced last after the identity is created, changed or loaded. Loading syncs it because the process
    that wrote the file may have been killed before it synced the folder."""
    synced = []

    def fsync(descriptor):
        synced.append(Path(os.readlink(f"/proc/self/fd/{descriptor}")))

    with mock.patch("os.fsync", fsync):
        for call in (
            lambda: load_identity(tmp_path, True, lambda: 7),
            lambda: load_identity(tmp_path, True, int),
            lambda: finish_bootstrap(tmp_path, DiskIdentity(7, True)),
        ):
            synced.clear()
            call()
            assert synced[-1] == tmp_path.resolve()


def test_discarding_removes_the_identity_first_and_the_log_last(tmp_path):
    load_identity(tmp_path, True, lambda: 7)
    LogFile(tmp_path).recover()
    (tmp_path / "promises").write_bytes(b"p")
    removed, steps = [], []
    real_remove, real_sync = os.unlink, OS_FILE_SYSTEM.sync_folder

    def remove(path):
        steps.append(Path(path).name)
        removed.append(Path(path).name)
        real_remove(path)

    def sync(folder):
        steps.append("sync")
        real_sync(folder)

    with mock.patch("os.unlink", remove), mock.patch.object(OS_FILE_SYSTEM, "sync_folder", sync):
        discard_disk(tmp_path, ["promises"])
    assert steps == ["identity", "sync", "promises", "sync", "log", "sync"]
    assert list(tmp_path.iterdir()) == []


# Simulated disk


def test_a_power_loss_keeps_synced_writes_and_may_lose_others():
    outcomes = set()
    for seed in range(200):
        disk = SimulatedDisk(seed)
        path = FOLDER / "a"
        file = disk.create(path)
        file.write(0, b"old" * 400)
        file.fdatasync()
        file.write(1200, b"new" * 400)
        file.write(2400, b"end")
        disk.lose_power()
        data = disk.contents(path)
        assert data[:1200] == b"old" * 400
        outcomes.add((data[1200:2400] == b"new" * 400, data[2400:] == b"end", len(data) > 1200))
        with pytest.raises(OSError):
            file.read(0, 1)
    assert {(True, True, True), (False, True, True), (True, False, True), (False, False, False)} <= outcomes


def test_a_rename_may_be_lost_until_the_folder_is_synced():
    after = set()
    for seed in range(100):
        disk = SimulatedDisk(seed)
        for name, data in (("a", b"1"), ("b", b"2")):
            file = disk.create(FOLDER / name)
            file.write(0, data)
            file.fdatasync()
        disk.rename(FOLDER / "b", FOLDER / "a")
        if seed % 2:
            disk.sync_folder(FOLDER)
        disk.lose_power()
        after.add((seed % 2, disk.contents(FOLDER / "a"), disk.exists(FOLDER / "b")))
    assert after == {(0, b"1", True), (0, b"2", False), (1, b"2", False)}


def test_a_synced_file_survives_although_an_earlier_file_of_its_name_was_not_synced():
    for seed in range(50):
        disk = SimulatedDisk(seed)
        disk.create(FOLDER / "a")
        disk.remove(FOLDER / "a")
        file = disk.create(FOLDER / "a")
        file.write(0, b"1")
        file.fdatasync()
        disk.rename(FOLDER / "a", FOLDER / "b")
        if seed % 2:
            disk.sync_folder(FOLDER)
        disk.lose_power()
        found = [name for name in "ab" if disk.exists(FOLDER / name)]
        assert found == ["b"] if seed % 2 else found in (["a"], ["b"])
        assert disk.contents(FOLDER / found[0]) == b"1"


def test_a_disk_is_deterministic_for_a_seed():
    def play(seed):
        disk = SimulatedDisk(seed)
        log = open_log(disk)
        log.recover()
        for sequence in range(1, 30):
            log.append(entries(sequence, size=300))
        disk.lose_power()
        return disk.contents(LOG)

    assert play(5) == play(5)
    assert len({play(seed) for seed in range(20)}) > 5
