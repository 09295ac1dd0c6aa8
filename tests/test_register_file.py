"""The acceptor's file: two copies of each promise, whatever bit goes bad and wherever a write is cut short."""

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


def made(disk: SimulatedDisk, numbers: int = 2) -> RegisterFile:
    register = RegisterFile(disk, PATH)
    register.load()
    for number in range(1, numbers + 1):
        register.save(kept(number))
        register.save_copy()
    return register


def read(disk: SimulatedDisk) -> AcceptorState:
    return RegisterFile(disk, PATH).read()


def test_the_newest_promise_is_read() -> None:
    disk = SimulatedDisk(1)
    made(disk, 3)
    assert read(disk) == kept(3)
    register = RegisterFile(disk, PATH)
    assert register.load() == kept(3)
    register.save(kept(4))
    assert read(disk) == kept(4)


@pytest.mark.parametrize("place", range(SLOTS * COPIES))
@pytest.mark.parametrize("at", [0, 5, 9, 17, 25])
def test_a_place_that_has_gone_bad_is_read_from_its_copy(place: int, at: int) -> None:
    for numbers in (1, 2, 3):
        disk = SimulatedDisk(1)
        made(disk, numbers)
        disk.flip_bit(PATH, place * STATE_COPY_BYTES + at)
        assert read(disk) == kept(numbers)


@pytest.mark.parametrize("slot", range(SLOTS))
def test_a_place_whose_copies_are_both_bad_is_not_believed(slot: int) -> None:
    """An older promise must not be taken for the newest."""
    disk = SimulatedDisk(1)
    made(disk)
    for copy in range(COPIES):
        disk.flip_bit(PATH, (SLOTS * copy + slot) * STATE_COPY_BYTES + 9)
    with pytest.raises(CorruptLog):
        RegisterFile(disk, PATH).load()


def test_a_bad_copy_is_written_anew() -> None:
    disk = SimulatedDisk(1)
    register = made(disk)
    assert not register.repair()
    for copy in range(COPIES):
        disk.flip_bit(PATH, SLOTS * copy * STATE_COPY_BYTES + 20)  # the second save is in the first place
        assert register.repair() and not register.repair()
    again = RegisterFile(disk, PATH)
    again.read()
    disk.flip_bit(PATH, 20)
    assert again.repair()
    assert read(disk) == kept(2)


class PowerLost(BaseException):
    """In the middle of a call."""


@pytest.mark.parametrize("seed", SEEDS)
def test_what_was_saved_stands_wherever_power_is_lost(seed: int) -> None:
    """At each call on the disk: what `save` had returned for is there, or what was being saved."""
    for calls in range(14):
        disk = SimulatedDisk(seed)
        register = made(disk)
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
def test_a_start_that_is_cut_short_spoils_nothing(seed: int) -> None:
    for calls in range(8):
        disk = SimulatedDisk(seed)
        made(disk)
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


def test_a_file_of_an_earlier_version_is_read_and_gets_its_copies() -> None:
    disk = SimulatedDisk(1)
    disk.put(PATH, encode_copy(4, kept(4)) + encode_copy(3, kept(3)))
    register = RegisterFile(disk, PATH)
    assert register.load() == kept(4)
    assert not register.repair()
    torn = SimulatedDisk(1)
    torn.put(PATH, bytes(STATE_COPY_BYTES) + encode_copy(3, kept(3)))
    assert RegisterFile(torn, PATH).load() == kept(3)


def test_what_an_earlier_version_stored_is_read(tmp_path: Path) -> None:
    from millethead.storage.files import OS_FILES

    store = AcceptorStore(tmp_path, "view")
    store.load()
    store.save(kept(1))
    register = RegisterFile(OS_FILES, store.path)
    assert register.load() == kept(1)
    register.save(kept(2))
    register.save_copy()
    assert RegisterFile(OS_FILES, store.path).read() == kept(2)


class DiskThread:
    """Jobs are done when the test says so."""

    def __init__(self) -> None:
        self.jobs: list = []

    def run(self, job, done, timed: bool = False) -> None:
        self.jobs.append((job, done))

    def do(self) -> None:
        job, done = self.jobs.pop(0)
        job()
        done()


def test_saves_that_wait_for_the_disk_are_one_write() -> None:
    """Five members that outbid each other made promises faster than a disk that wrote each of them, twice: the queue
    grew, answers came too late, and no view was agreed any more."""
    disk, thread, told = SimulatedDisk(1), DiskThread(), list[int]()
    writer = RegisterWriter(made(disk), thread)
    for number in range(3, 60):
        writer.save(kept(number), lambda number=number: told.append(number))
    assert len(thread.jobs) == 2
    thread.do()
    assert told == list(range(3, 60)) and read(disk) == kept(59)
    thread.do()
    assert RegisterFile(disk, PATH).load() == kept(59) and thread.jobs == []


def test_a_save_during_a_write_is_written_after_it_and_gets_the_copy() -> None:
    disk, thread, told = SimulatedDisk(1), DiskThread(), list[int]()
    register = made(disk)
    writer = RegisterWriter(register, thread)
    writer.save(kept(3), lambda: (told.append(3), writer.save(kept(4), lambda: told.append(4))))
    thread.do()
    assert told == [3]
    thread.do()  # the copy of the first is left out: the second write follows
    assert register._copied is False
    thread.do()
    assert told == [3, 4]
    thread.do()
    assert register._copied and not register.repair() and read(disk) == kept(4)


def test_what_is_told_as_saved_is_on_the_disk() -> None:
    disk, thread = SimulatedDisk(1), DiskThread()
    writer = RegisterWriter(made(disk), thread)
    seen: list[AcceptorState] = []
    for number in (3, 4):
        writer.save(kept(number), lambda: seen.append(read(disk)))
    thread.do()
    assert seen == [kept(4), kept(4)]
