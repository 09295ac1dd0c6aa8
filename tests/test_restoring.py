"""Restoring a core from a snapshot after the loss of all disks, with real processes on loopback."""

import shutil
from pathlib import Path

import pytest
import pytest_asyncio
from typer.testing import CliRunner

from millethead.lab.local_machine import configuration
from millethead.lab.local_system import LocalSystem
from millethead.programs.command_line import ExitCode, app
from millethead.programs.offline import read_disk, save_snapshot
from millethead.programs.restoring import EPOCH_MARGIN, restore_snapshot
from millethead.rollout.store import AcceptorStore
from millethead.storage.identity import load_identity
from millethead.storage.log import LogFile
from millethead.storage.records import CorruptLog

DONE, OPEN = "00000000000000d1", "00000000000000d2"


def run(*arguments: object):
    return CliRunner().invoke(app, [str(argument) for argument in arguments])


def job(seconds: str, count: int = 1) -> dict[str, object]:
    return {"spec": seconds, "steps": [{"count": count, "cpu": 1000, "mem_mb": 256, "estimate_ms": 200}]}


@pytest_asyncio.fixture
async def system(tmp_path: Path):
    local = LocalSystem(tmp_path / "system")
    try:
        await local.start()
        await local.put_configuration(7, 0)
        await local.ready()
        yield local
    finally:
        await local.stop()


async def test_core_is_restored_from_a_snapshot_after_the_loss_of_all_disks(
    system: LocalSystem, tmp_path: Path
) -> None:
    dispatcher = system.dispatchers[0]
    assert (await system.job("POST", dispatcher, DONE, job("0.05"))).status == 200
    await system.job_reaches(dispatcher, DONE, "done", 15.0)
    assert (await system.job("POST", dispatcher, OPEN, job("0.05 failed"))).status == 200
    await system.job_reaches(dispatcher, OPEN, "failed", 15.0)
    before = await system.core_reaches(lambda status: len(status.chain) == 3, 15.0, "the core is whole")
    for machine in system.controls:
        system.kill(machine)
    first, *others = system.controls
    file = tmp_path / "state.snapshot"
    assert run("snapshot", "save", first.folder / "data", file).exit_code == ExitCode.OK
    for machine in system.controls:
        shutil.rmtree(machine.folder / "data")
    restored = run("snapshot", "restore", file, first.folder / "data", first.internal)
    assert restored.exit_code == ExitCode.OK, restored.output
    for machine in (first, *others):
        system.start_process(machine)
    after = await system.core_reaches(lambda status: len(status.chain) == 3, 20.0, "the others have copied the state")
    assert after.epoch > before.epoch + EPOCH_MARGIN // 2
    await system.ready(20.0)
    assert (await system.call("GET", first.control, "/-/config")).json() == configuration(7)
    await system.job_reaches(dispatcher, DONE, "done", 10.0)
    await system.job_reaches(dispatcher, OPEN, "failed", 10.0)
    assert (await system.job("POST", dispatcher, "00000000000000d3", job("0.05"))).status == 200
    # workers accept commands with the new fencing token
    await system.job_reaches(dispatcher, "00000000000000d3", "done", 20.0)
    await system.put_configuration(8, 7)
    system.kill(first)  # a member that copied the state becomes head
    await system.job_reaches(dispatcher, DONE, "done", 15.0)


@pytest.fixture
def disk(tmp_path: Path) -> Path:
    """The disk of a member that has never committed anything."""
    empty = tmp_path / "empty"
    empty.mkdir()
    load_identity(empty, False, lambda: 5)
    AcceptorStore(empty, "view").load()
    log = LogFile(empty)
    log.recover()
    log.close()
    return empty


def test_restored_disk_has_a_view_with_only_its_machine(disk: Path, tmp_path: Path) -> None:
    file, folder = tmp_path / "state", tmp_path / "new"
    save_snapshot(read_disk(disk).log, file)
    restored = restore_snapshot(read_disk(file).log, folder, "10.0.0.1:7660")
    disk_report = read_disk(folder)
    assert disk_report.identity is not None and not disk_report.identity.bootstrapping
    assert disk_report.view == restored.view
    assert disk_report.view.voters == (restored.member,)
    assert disk_report.view.epoch == EPOCH_MARGIN
    assert disk_report.log.state.snapshot() == read_disk(file).log.state.snapshot()


def test_nonempty_disk_is_not_changed(disk: Path, tmp_path: Path) -> None:
    file, folder = tmp_path / "state", tmp_path / "used"
    save_snapshot(read_disk(disk).log, file)
    folder.mkdir()
    (folder / "log").write_bytes(b"kept")
    refused = run("snapshot", "restore", file, folder, "10.0.0.1:7660")
    assert (refused.exit_code, refused.stderr) == (ExitCode.UNUSABLE, f"millethead: {folder}: Directory not empty\n")
    assert [path.name for path in folder.iterdir()] == ["log"]


def test_disk_torn_file_and_bad_address_are_rejected(disk: Path, tmp_path: Path) -> None:
    file, folder = tmp_path / "state", tmp_path / "new"
    save_snapshot(read_disk(disk).log, file)
    assert run("snapshot", "restore", disk, folder, "10.0.0.1:7660").exit_code == ExitCode.UNUSABLE
    assert run("snapshot", "restore", file, folder, "here").exit_code == ExitCode.UNUSABLE
    file.write_bytes(file.read_bytes()[:-3])
    with pytest.raises(CorruptLog):
        read_disk(file)
    assert run("snapshot", "restore", file, folder, "10.0.0.1:7660").exit_code == ExitCode.NEGATIVE
    assert not folder.exists()
