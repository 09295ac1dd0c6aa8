"""The background scrub detects and repairs bit rot on a disk in service, which keeps its entries and identity."""

from __future__ import annotations

import itertools
import queue
from functools import partial
from pathlib import Path
from unittest import mock

import pytest
from test_storage import WriterFixture, entries

from millethead.lab.core_storage import FOLDER
from millethead.lab.core_world import CoreWorld, WorldSettings
from millethead.lab.disk import SimulatedDisk
from millethead.programs import disk_maintenance
from millethead.programs.core_disk import CoreDisk
from millethead.programs.disk_maintenance import DiskMaintenance
from millethead.replication.chain_ports import Role
from millethead.storage import scrubber
from millethead.storage.identity import IDENTITY_NAME, DiskIdentity, finish_bootstrap, load_identity, repair_identity
from millethead.storage.log import LOG_NAME, CorruptLog, LogFile, Snapshot
from millethead.storage.records import HEADER_SIZE
from millethead.storage.scrubber import PASS_PAUSE_S, SLICE_PAUSE_S, Scrubber
from millethead.storage.writer import LogWriter

LOG = FOLDER / LOG_NAME
TEST_SLICE_BYTES = 200  # bytes, used instead of SLICE_BYTES


def open_log(disk: SimulatedDisk) -> LogFile:
    generations = itertools.count(1)
    log = LogFile(FOLDER, disk, generation=lambda: next(generations))
    log.recover()
    return log


def write_log(disk: SimulatedDisk, batches: int = 6) -> LogFile:
    log = open_log(disk)
    for first in range(1, 2 * batches, 2):
        log.append(entries(first, 2))
        log.sync()
    return log


def run_pass(log: LogFile, max_bytes: int = TEST_SLICE_BYTES) -> int:
    """Runs a whole pass and returns the number of its slices."""
    scrub = log.begin_scrub()
    slices = 1
    while not log.scrub_slice(scrub, max_bytes):
        slices += 1
    return slices


# ---- a pass over the log ----------------------------------------------------------------------------------


def test_a_pass_in_slices_detects_any_flipped_bit():
    disk = SimulatedDisk(1)
    log = write_log(disk)
    assert run_pass(log) > 3
    for at in range(log.size):
        disk.flip_bit(LOG, at, at % 8)
        with pytest.raises(CorruptLog):
            run_pass(log)
        disk.flip_bit(LOG, at, at % 8)
    run_pass(log)


def test_entries_appended_during_a_pass_are_verified_by_the_next_pass():
    disk = SimulatedDisk(1)
    log = write_log(disk)
    scrub, end = log.begin_scrub(), log.size
    log.append(entries(13, 2))
    disk.flip_bit(LOG, end + HEADER_SIZE + 3)
    while not log.scrub_slice(scrub, TEST_SLICE_BYTES):
        pass
    with pytest.raises(CorruptLog):
        run_pass(log)


def test_a_pass_ends_when_the_file_is_replaced():
    disk = SimulatedDisk(1)
    log = write_log(disk)
    scrub = log.begin_scrub()
    assert not log.scrub_slice(scrub, TEST_SLICE_BYTES)
    log.rewrite(Snapshot(1, 12, b"state"), ())
    assert log.scrub_slice(scrub, TEST_SLICE_BYTES)
    run_pass(log)


def test_a_slice_ends_with_the_record_that_reaches_its_size():
    disk = SimulatedDisk(1)
    log = write_log(disk)
    scrub = log.begin_scrub()
    log.scrub_slice(scrub, 1)
    first = scrub.cursor.tail.offset
    log.scrub_slice(scrub, 1)
    assert 0 < scrub.cursor.tail.offset - first < 2 * HEADER_SIZE + 200


# ---- schedule of the passes -------------------------------------------------------------------------------


class ScrubberFixture(WriterFixture):
    """A writer that the test steps, its log, and a scrubber. `found` lists the reported damage."""

    def __init__(self):
        super().__init__()
        self.found, self.begun = [], 0
        self.log = write_log(self.disk)
        self.writer = LogWriter(self.log, self.loop.post, self.failures.append, clock=lambda: self.now, threaded=False)
        self.scrubber = Scrubber(self.log, self.writer.run, self.begin, self.found.append, lambda: self.now)

    def begin(self):
        self.begun += 1

    def after(self, seconds):
        self.now += seconds
        self.scrubber.tick()
        while self.writer.step():
            pass
        self.loop.run()


@pytest.fixture
def small_slices(monkeypatch):
    monkeypatch.setattr(scrubber, "SLICE_BYTES", TEST_SLICE_BYTES)


def test_pauses_separate_passes_and_slices(small_slices):
    fixture = ScrubberFixture()
    fixture.after(PASS_PAUSE_S - 1)
    assert fixture.begun == 0
    fixture.after(1)
    assert (fixture.begun, fixture.scrubber.completed_passes) == (1, 0)
    fixture.after(SLICE_PAUSE_S / 2)
    slices = 1
    while not fixture.scrubber.completed_passes:
        fixture.after(SLICE_PAUSE_S)
        slices += 1
    assert slices == run_pass(fixture.log)
    fixture.after(PASS_PAUSE_S / 2)
    assert fixture.begun == 1
    fixture.after(PASS_PAUSE_S)
    assert fixture.begun == 2 and fixture.found == []


def test_only_one_slice_is_queued_at_a_time(small_slices):
    fixture = ScrubberFixture()
    fixture.now += PASS_PAUSE_S
    for _ in range(5):
        fixture.now += SLICE_PAUSE_S
        fixture.scrubber.tick()
    assert fixture.writer.step() and not fixture.writer.step()


def test_damage_is_reported_once_per_pass_and_does_not_break_the_writer(small_slices):
    fixture = ScrubberFixture()
    fixture.disk.flip_bit(LOG, fixture.log.size - 1)
    fixture.after(PASS_PAUSE_S)
    while not fixture.scrubber.completed_passes:
        fixture.after(SLICE_PAUSE_S)
    assert len(fixture.found) == 1 and not fixture.writer.broken
    fixture.writer.rewrite(Snapshot(1, 12, b"state"), ())
    fixture.after(0.0)
    fixture.after(PASS_PAUSE_S)
    while fixture.scrubber.completed_passes < 2:
        fixture.after(SLICE_PAUSE_S)
    assert len(fixture.found) == 1


def test_an_unreadable_disk_counts_as_damage():
    fixture = ScrubberFixture()

    def refuse(operation, path):
        raise OSError(5, "unreadable")

    fixture.disk.before = refuse
    fixture.after(PASS_PAUSE_S)
    assert len(fixture.found) == 1 and not fixture.writer.broken


# ---- disk maintenance -------------------------------------------------------------------------------------


class Log:
    def __init__(self, count: int) -> None:
        self.entries = entries(1, count)
        self.base = Snapshot(0, 0, b"")
        self.prepared = self.preparations = 0

    def compact(self) -> Snapshot:
        self.entries = []
        return Snapshot(1, 99, b"all")

    def prepare_compaction(self) -> bool:
        self.prepared += 1
        return self.prepared > self.preparations


class Chain:
    def __init__(self, count: int = 0, role: Role = Role.HEAD, index: int = 0) -> None:
        self.log, self.role, self.index, self.copying = Log(count), role, index, False


class Disk:
    """Records the calls of the disk maintenance."""

    def __init__(self) -> None:
        self.size, self.busy = 1000, False
        self.done: list[str] = []
        self.damaged = None

    def rewrite(self, snapshot: Snapshot) -> None:
        self.done.append(f"rewrite {snapshot.sequence}")

    def probe(self) -> None:
        self.done.append("probe")

    def scrubber(self, damaged):
        self.damaged = damaged
        return mock.Mock()


def test_a_damaged_log_is_rewritten_from_memory_at_once():
    disk = Disk()
    DiskMaintenance(disk, Chain(3), lambda: 0.0)
    disk.damaged("bad bytes")
    assert disk.done == ["rewrite 99"]


def test_a_long_log_is_rewritten_and_a_short_one_is_not():
    disk, chain = Disk(), Chain(disk_maintenance.COMPACT_ENTRIES)
    maintenance = DiskMaintenance(disk, chain, lambda: 0.0)
    maintenance.tick()
    assert disk.done == []
    chain.log = Log(disk_maintenance.COMPACT_ENTRIES + 1)
    maintenance.tick()
    assert disk.done == ["rewrite 99"]
    disk.size, chain.log = disk_maintenance.COMPACT_BYTES + 1, Log(disk_maintenance.COMPACT_BYTES_ENTRIES)
    maintenance.tick()
    assert len(disk.done) == 1
    chain.log = Log(disk_maintenance.COMPACT_BYTES_ENTRIES + 1)
    maintenance.tick()
    assert len(disk.done) == 2


def test_the_size_of_the_snapshot_does_not_cause_a_rewrite():
    """Otherwise a snapshot larger than the limit would cause a rewrite every hundred entries."""
    disk, chain = Disk(), Chain(disk_maintenance.COMPACT_BYTES_ENTRIES + 1)
    chain.log.base = Snapshot(1, 1, bytes(disk_maintenance.COMPACT_BYTES))
    disk.size = 2 * disk_maintenance.COMPACT_BYTES
    maintenance = DiskMaintenance(disk, chain, lambda: 0.0)
    maintenance.tick()
    assert disk.done == []
    disk.size += 1
    maintenance.tick()
    assert len(disk.done) == 1


def test_a_rewrite_waits_until_its_snapshot_is_prepared():
    disk, chain = Disk(), Chain(disk_maintenance.COMPACT_ENTRIES + 1)
    chain.log.preparations = 2
    maintenance = DiskMaintenance(disk, chain, lambda: 0.0)
    for count in (0, 0, 1):
        maintenance.tick()
        assert len(disk.done) == count


def test_no_rewrite_while_the_snapshot_is_copied_to_the_successor():
    disk, chain = Disk(), Chain(disk_maintenance.COMPACT_ENTRIES + 1)
    chain.copying = True
    maintenance = DiskMaintenance(disk, chain, lambda: 0.0)
    maintenance.tick()
    assert disk.done == [] and chain.log.prepared == 0
    chain.copying = False
    maintenance.tick()
    assert disk.done == ["rewrite 99"]


def test_members_of_a_chain_rewrite_at_different_entries():
    rewritten_at = []
    for index in range(5):
        disk, chain = Disk(), Chain(index=index)
        maintenance = DiskMaintenance(disk, chain, lambda: 0.0)
        while not disk.done:
            chain.log.entries += [None] * 100
            entries_now = len(chain.log.entries)
            maintenance.tick()
        rewritten_at.append(entries_now)
    assert all(after - before >= 1000 for before, after in itertools.pairwise(rewritten_at))


def test_only_an_idle_member_outside_the_chain_probes_its_disk():
    disk, chain, now = Disk(), Chain(), 10.0
    maintenance = DiskMaintenance(disk, chain, lambda: now)
    maintenance.tick()
    assert disk.done == []
    chain.role = Role.NOT_IN_CHAIN
    maintenance.tick()
    maintenance.tick()
    assert disk.done == ["probe"]
    now, disk.busy = 11.0, True
    maintenance.tick()
    assert disk.done == ["probe"]


# ---- a simulated core -------------------------------------------------------------------------------------


def machines_with_disk(world: CoreWorld) -> list:
    return [machine for machine in world.cluster.machines() if machine.disk is not None]


def identities(world: CoreWorld) -> list[int]:
    return [machine.process.storage.identity.disk_id for machine in machines_with_disk(world)]


def play_rot(seed: int, rot: str = "rot_log_in_service") -> tuple[str, bool]:
    """Returns the fault, if any, and whether every disk kept its identity."""
    world = CoreWorld(seed, WorldSettings(trouble_s=14.0, by_chance=False, members=((3, 1),)))
    before: list[int] = []
    world.timeline.after(1.9, lambda: before.extend(identities(world)))
    for number, machine in enumerate(machines_with_disk(world)):
        world.timeline.after(2.0 + 4.0 * number, partial(getattr(world.cluster, rot), machine, 0.2))
    fault = world.play().fault
    return fault, identities(world) == before


@pytest.fixture
def frequent_passes(monkeypatch):
    monkeypatch.setattr(scrubber, "PASS_PAUSE_S", 0.3)


# prevents rewrites for length, which could remove the damage before the scrub reaches it
@pytest.fixture
def long_logs(monkeypatch):
    monkeypatch.setattr("millethead.lab.core_machine.COMPACT_ENTRIES", 100_000)


@pytest.mark.parametrize("seed", range(3))
def test_rot_on_every_member_in_turn_is_repaired(seed, frequent_passes, long_logs):
    assert play_rot(seed) == ("", True)


def test_without_the_scrub_the_same_rot_loses_disks(long_logs):
    assert [kept for _, kept in map(play_rot, range(3))] == [False] * 3


@pytest.mark.parametrize("seed", range(3))
def test_rot_in_a_copy_loses_no_disk_even_without_the_scrub(seed, long_logs):
    assert play_rot(seed, "rot_copy_in_service") == ("", True)


def test_a_scrub_without_repair_loses_disks(frequent_passes, long_logs, monkeypatch):
    monkeypatch.setattr(DiskMaintenance, "_rewrite_damaged", lambda self, why: None)
    assert not all(kept for _, kept in map(play_rot, range(3)))


# ---- the files beside the log -----------------------------------------------------------------------------


def flip(path: Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 1
    path.write_bytes(data)


@pytest.mark.parametrize("damage", [lambda path: flip(path, 6), Path.unlink], ids=["bad", "missing"])
def test_a_damaged_identity_is_rewritten(tmp_path, damage):
    identity = load_identity(tmp_path, True, lambda: 7)
    assert not repair_identity(tmp_path, identity)
    damage(tmp_path / IDENTITY_NAME)
    assert repair_identity(tmp_path, identity)
    assert load_identity(tmp_path, False, lambda: 8) == identity


def test_a_repair_does_not_restore_the_bootstrapping_flag(tmp_path):
    """The flag is cleared in service. A rewrite of the identity as read at the start would set it again."""
    disk = CoreDisk(tmp_path, True, lambda: 7)
    posted = []
    disk.start(posted.append, lambda: 0.0)
    disk.bootstrap_done()
    disk.close(5.0)
    flip(tmp_path / IDENTITY_NAME, 6)
    disk._repair_small_files()
    assert load_identity(tmp_path, True, lambda: 8) == DiskIdentity(7, False)
    assert not repair_identity(tmp_path, finish_bootstrap(tmp_path, DiskIdentity(7, True)))


def test_a_disk_in_service_repairs_its_log_and_its_small_files(tmp_path, monkeypatch):
    """Uses the disk class of the program with real files and the writer thread."""
    monkeypatch.setattr(scrubber, "PASS_PAUSE_S", 0.0)
    posted: queue.Queue = queue.Queue()
    disk = CoreDisk(tmp_path, False, lambda: 7)
    disk.start(posted.put, lambda: 1.0)
    maintenance = DiskMaintenance(disk, Chain(), lambda: 1.0)
    flip(tmp_path / IDENTITY_NAME, 6)
    flip(tmp_path / LOG_NAME, HEADER_SIZE - 1)
    maintenance.tick()
    posted.get(timeout=10.0)()
    disk.close(10.0)
    again = CoreDisk(tmp_path, False, lambda: 8)
    assert again.identity == DiskIdentity(7, False)
    assert again.recovered.snapshot == Snapshot(1, 99, b"all")
