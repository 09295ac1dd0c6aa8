"""The register file of an acceptor under bit rot and interrupted writes."""

from __future__ import annotations

import contextlib
from pathlib import Path

import pytest

from millethead.lab.disk import Operation, SimulatedDisk
from millethead.rollout.register import AcceptorState
from millethead.rollout.store import STATE_COPY_BYTES, AcceptorStore, encode_copy
from millethead.storage.log import CorruptLog
from millethead.storage.register_file import COPIES, SLOTS, RegisterFile
from millethead.storage.register_writer import RegisterWriter

PATH = Path("/data/view.agreed")
SEEDS = range(40)


def kept(number: int) -> AcceptorState:
    return AcceptorState((number, "a"), (number, "a"), b"view %d" % number)


def saved_register(disk: SimulatedDisk, numbers: int = 2) -> RegisterFile:
    register = RegisterFile(disk, PATH)
    register.load()
    for number in range(1, numbers + 1):
        register.save(kept(number))
        register.save_copy()
    return register


def read(disk: SimulatedDisk) -> AcceptorState:
    return RegisterFile(disk, PATH).read()


def test_the_newest_register_is_read() -> None:
    disk = SimulatedDisk(1)
    saved_register(disk, 3)
    assert read(disk) == kept(3)
    register = RegisterFile(disk, PATH)
    assert register.load() == kept(3)
    register.save(kept(4))
    assert read(disk) == kept(4)


@pytest.mark.parametrize("block", range(SLOTS * COPIES))
@pytest.mark.parametrize("at", [0, 5, 9, 17, 25])
def test_a_damaged_block_is_read_from_its_copy(block: int, at: int) -> None:
    for numbers in (1, 2, 3):
        disk = SimulatedDisk(1)
        saved_register(disk, numbers)
        disk.flip_bit(PATH, block * STATE_COPY_BYTES + at)
        assert read(disk) == kept(numbers)


@pytest.mark.parametrize("slot", range(SLOTS))
def test_a_slot_with_two_damaged_copies_is_corrupt(slot: int) -> None:
    """The older slot must not be returned as the newest register."""
    disk = SimulatedDisk(1)
    saved_register(disk)
    for copy in range(COPIES):
        disk.flip_bit(PATH, (SLOTS * copy + slot) * STATE_COPY_BYTES + 9)
    with pytest.raises(CorruptLog):
        RegisterFile(disk, PATH).load()


def test_a_damaged_copy_is_rewritten() -> None:
    disk = SimulatedDisk(1)
    register = saved_register(disk)
    assert not register.repair()
    for copy in range(COPIES):
        disk.flip_bit(PATH, SLOTS * copy * STATE_COPY_BYTES + 20)  # the second save is in the first slot
        assert register.repair() and not register.repair()
    again = RegisterFile(disk, PATH)
    again.read()
    disk.flip_bit(PATH, 20)
    assert again.repair()
    assert read(disk) == kept(2)


class PowerLost(BaseException):
    """Raised in the middle of a call to the disk."""


@pytest.mark.parametrize("seed", SEEDS)
def test_a_saved_register_survives_a_power_loss_at_any_call(seed: int) -> None:
    """After a power loss at each call to the disk, the last saved register or the one being saved is read."""
    for calls in range(14):
        disk = SimulatedDisk(seed)
        register = saved_register(disk)
        left, answered = calls, [2]

        def before(operation: Operation, path: Path) -> None:
            nonlocal left
            left -= 1
            if left < 0:
                raise PowerLost

        disk.before = before
        try:
            for number in (3, 4):
                register.save(kept(number))
                answered.append(number)
                register.save_copy()
        except PowerLost:
            pass
        disk.before = lambda operation, path: None
        disk.lose_power()
        found = RegisterFile(disk, PATH).load()
        assert found in (kept(answered[-1]), kept(answered[-1] + 1))
        assert read(disk) == found


@pytest.mark.parametrize("seed", SEEDS)
def test_an_interrupted_load_damages_nothing(seed: int) -> None:
    for calls in range(8):
        disk = SimulatedDisk(seed)
        saved_register(disk)
        left = calls

        def before(operation: Operation, path: Path) -> None:
            nonlocal left
            left -= 1
            if left < 0:
                raise PowerLost

        disk.before = before
        with contextlib.suppress(PowerLost):
            RegisterFile(disk, PATH).load()
        disk.before = lambda operation, path: None
        disk.lose_power()
        assert RegisterFile(disk, PATH).load() == kept(2)


def test_a_file_of_an_earlier_version_is_read_and_gets_copies() -> None:
    disk = SimulatedDisk(1)
    disk.put(PATH, encode_copy(4, kept(4)) + encode_copy(3, kept(3)))
    register = RegisterFile(disk, PATH)
    assert register.load() == kept(4)
    assert not register.repair()
    torn = SimulatedDisk(1)
    torn.put(PATH, bytes(STATE_COPY_BYTES) + encode_copy(3, kept(3)))
    assert RegisterFile(torn, PATH).load() == kept(3)


def test_a_register_stored_by_an_earlier_version_is_read(tmp_path: Path) -> None:
    from millethead.storage.files import OS_FILE_SYSTEM

    store = AcceptorStore(tmp_path, "view")
    store.load()
    store.save(kept(1))
    register = RegisterFile(OS_FILE_SYSTEM, store.path)
    assert register.load() == kept(1)
    register.save(kept(2))
    register.save_copy()
    assert RegisterFile(OS_FILE_SYSTEM, store.path).read() == kept(2)


class DiskThread:
    """Executes jobs when the test calls `do`."""

    def __init__(self) -> None:
        self.jobs: list = []

    def run(self, job, done, timed: bool = False) -> None:
        self.jobs.append((job, done))

    def do(self) -> None:
        job, done = self.jobs.pop(0)
        job()
        done()


def test_waiting_saves_are_combined_into_one_write() -> None:
    """Five members with competing proposals made promises faster than the disk could write each of them twice.
    The queue grew, answers came too late, and no view was agreed any more."""
    disk, thread, called = SimulatedDisk(1), DiskThread(), list[int]()
    writer = RegisterWriter(saved_register(disk), thread)
    for number in range(3, 60):
        writer.save(kept(number), lambda number=number: called.append(number))
    assert len(thread.jobs) == 2
    thread.do()
    assert called == list(range(3, 60)) and read(disk) == kept(59)
    thread.do()
    assert RegisterFile(disk, PATH).load() == kept(59) and thread.jobs == []


def test_a_save_during_a_write_follows_it_and_is_copied() -> None:
    disk, thread, called = SimulatedDisk(1), DiskThread(), list[int]()
    register = saved_register(disk)
    writer = RegisterWriter(register, thread)
    writer.save(kept(3), lambda: (called.append(3), writer.save(kept(4), lambda: called.append(4))))
    thread.do()
    assert called == [3]
    thread.do()  # no copy of the first save, because the second write follows
    assert register._copy_written is False
    thread.do()
    assert called == [3, 4]
    thread.do()
    assert register._copy_written and not register.repair() and read(disk) == kept(4)


def test_the_callback_follows_the_write() -> None:
    disk, thread = SimulatedDisk(1), DiskThread()
    writer = RegisterWriter(saved_register(disk), thread)
    seen: list[AcceptorState] = []
    for number in (3, 4):
        writer.save(kept(number), lambda: seen.append(read(disk)))
    thread.do()
    assert seen == [kept(4), kept(4)]
