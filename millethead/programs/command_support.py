"""Helpers shared by the commands: exit codes, options, errors, output and the connection to the core."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from millethead.configuration.settings import SETTINGS_PATH_VARIABLE, InvalidSettings, ProcessSettings, load_settings

if TYPE_CHECKING:
    from millethead.programs.core_client import CoreClient


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    NEGATIVE = 1  # invalid document, difference, unknown job, damaged disk or failed demo
    UNUSABLE = 2  # unusable arguments, files or settings
    UNREACHABLE = 3  # no control process gave a definite answer
    CONFLICT = 4  # the configuration has another version


CODES = (
    "Exit codes: 0 done; 1 the answer is no (invalid, different, unknown, damaged); 2 unusable arguments, files "
    "or settings; 3 no clear answer of the core; 4 another version is in place."
)

Control = Annotated[
    list[str] | None,
    typer.Option(
        "--control",
        metavar="HOST:PORT",
        help="Address of a control process for operators; may be given several times. "
        "Without it: those of the settings file.",
    ),
]
InternalPort = Annotated[
    int | None,
    typer.Option(
        "--internal-port",
        min=1,
        max=65_535,
        help="Port for internal calls, the same on all machines. Without it: that of the settings file.",
    ),
]
SettingsFile = Annotated[
    Path | None,
    typer.Option("--settings", envvar=SETTINGS_PATH_VARIABLE, help="Settings file of any process of the system."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Document = Annotated[Path, typer.Argument(metavar="FILE", help="JSON file; - reads standard input.")]
Folder = Annotated[Path, typer.Argument(metavar="FOLDER", help="The data_dir of a control process that does not run.")]
LogLevel = Annotated[str, typer.Option("--log-level", help="debug, info, warning or error.")]


def fail(code: ExitCode, *texts: object) -> typer.Exit:
    """Print the reasons to standard error, one a line, and return the exception to raise."""
    for text in texts:
        typer.echo(f"millethead: {text}", err=True)
    return typer.Exit(code)


def print_report(report: Any, as_json: bool, lines: Callable[[Any], Iterable[str]]) -> None:
    """Print a report of the core, as one line of JSON or as text."""
    import msgspec

    print_lines([msgspec.json.encode(report).decode()] if as_json else lines(report))


def print_lines(lines: Iterable[str]) -> None:
    for line in lines:
        typer.echo(line)


def read_settings(path: Path | None = None) -> ProcessSettings:
    try:
        return load_settings(path)
    except InvalidSettings as error:
        raise fail(ExitCode.UNUSABLE, *error.findings) from None


def read_file(path: Path) -> bytes:
    try:
        return sys.stdin.buffer.read() if str(path) == "-" else path.read_bytes()
    except OSError as error:
        raise fail(ExitCode.UNUSABLE, f"{path}: {error.strerror}") from None


@contextmanager
def connected_core(control: list[str] | None, internal_port: int | None, settings: Path | None) -> Iterator[CoreClient]:
    """Provide a client of the core. Errors of its calls end the command with the matching exit code."""
    from millethead.programs.core_client import CallRejected, CoreClient, CoreUnreachable, NoCoreAddress, addresses

    read = read_settings(settings) if settings is not None else None
    try:
        yield CoreClient(addresses(control or (), internal_port, read))
    except NoCoreAddress as error:
        raise fail(ExitCode.UNUSABLE, error) from None
    except CoreUnreachable as error:
        raise fail(ExitCode.UNREACHABLE, f"the core cannot be reached: {error}") from None
    except CallRejected as error:
        if error.version is not None:
            raise fail(ExitCode.CONFLICT, f"version {error.version} is in place") from None
        raise fail(ExitCode.NEGATIVE, *error.findings) from None
