"""`millethead log` and `millethead snapshot`: offline tools for the disks of the core."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from millethead.programs.command_support import CODES, ExitCode, Folder, fail, print_lines

if TYPE_CHECKING:
    from millethead.programs.offline import DiskReport

log_app = typer.Typer(no_args_is_help=True, epilog=CODES, help="The log on a disk of the core, offline.")
snapshot_app = typer.Typer(no_args_is_help=True, epilog=CODES, help="The state on a disk of the core, offline.")


def _read_disk(path: Path) -> DiskReport:
    from millethead.programs.offline import LogUnavailable, read_disk
    from millethead.storage.records import CorruptLog

    try:
        return read_disk(path)
    except LogUnavailable as error:
        raise fail(ExitCode.UNUSABLE, error) from None
    except CorruptLog as error:
        raise fail(ExitCode.NEGATIVE, f"{path}: damaged: {error}") from None


@log_app.command("verify", epilog=CODES)
def log_verify(folder: Folder) -> None:
    """Reads a disk whole and checks every record, the order of the entries, and that they make a state. Writes
    nothing."""
    from millethead.programs.text_reports import disk_lines, state_lines

    disk = _read_disk(folder)
    print_lines([*disk_lines(disk), *state_lines(disk.log)])


@snapshot_app.command("save", epilog=CODES)
def snapshot_save(
    folder: Folder, file: Annotated[Path, typer.Argument(metavar="FILE", help="Must not exist yet.")]
) -> None:
    """Writes the state on a disk to one checksummed file. Its last entries may never have been committed."""
    from millethead.programs.offline import save_snapshot

    disk = _read_disk(folder)
    try:
        snapshot = save_snapshot(disk.log, file)
    except OSError as error:
        raise fail(ExitCode.UNUSABLE, f"{file}: {error.strerror}") from None
    typer.echo(f"{file}: state after epoch {snapshot.epoch}, entry {snapshot.sequence}")


@snapshot_app.command("restore", epilog=CODES)
def snapshot_restore(
    file: Annotated[Path, typer.Argument(metavar="FILE", help="A snapshot file.")],
    folder: Annotated[Path, typer.Argument(metavar="FOLDER", help="The empty data_dir of one control process.")],
    address: Annotated[
        str, typer.Argument(metavar="HOST:PORT", help="Its internal address: its ip, and the first port of port_range.")
    ],
) -> None:
    """Puts a snapshot on the empty disk of one machine, when all disks of the core are lost. That control process is
    started first; the others start with empty disks, `bootstrap` false and its address among their seeds, and copy the
    state. What was acknowledged after the snapshot is lost."""
    from millethead.programs.addresses import split_address
    from millethead.programs.restoring import restore_snapshot

    disk = _read_disk(file)
    if disk.identity is not None:
        raise fail(ExitCode.UNUSABLE, f"{file}: a snapshot file is wanted, not a disk")
    try:
        split_address(address)
        restored = restore_snapshot(disk.log, folder, address)
    except ValueError as error:
        raise fail(ExitCode.UNUSABLE, f"{address}: {error}") from None
    except OSError as error:
        raise fail(ExitCode.UNUSABLE, f"{folder}: {error.strerror}") from None
    typer.echo(
        f"{folder}: state after epoch {restored.snapshot.epoch}, entry {restored.snapshot.sequence}; "
        f"{restored.member.name} goes on alone in epoch {restored.view.epoch}"
    )


@snapshot_app.command("show", epilog=CODES)
def snapshot_show(
    path: Annotated[
        Path,
        typer.Argument(metavar="PATH", help="A snapshot file, or the data_dir of a control process that does not run."),
    ],
    document: Annotated[bool, typer.Option("--configuration", help="Print the configuration.")] = False,
    jobs: Annotated[bool, typer.Option("--jobs", help="Print a line for each job.")] = False,
) -> None:
    """What a snapshot file or a disk holds."""
    from millethead.programs.text_reports import disk_lines, saved_job_lines, state_lines

    disk = _read_disk(path)
    if document:
        typer.echo(disk.log.state.configuration.document.decode())
    if jobs:
        print_lines(saved_job_lines(disk.log))
    if not document and not jobs:
        print_lines([*disk_lines(disk), *state_lines(disk.log)])
