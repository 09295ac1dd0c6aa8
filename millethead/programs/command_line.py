"""The command line: the programs of the system and tools for operators.

Every command ends with an `ExitCode`. Errors are written to standard error, one line per finding with its location.
Modules that only one command needs are imported inside it, because imports slow down the start of a program.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from millethead.configuration.settings import SETTINGS_PATH_VARIABLE, InvalidSettings, load_settings
from millethead.programs.command_support import (
    CODES,
    AsJson,
    Control,
    ExitCode,
    InternalPort,
    LogLevel,
    SettingsFile,
    connected_core,
    fail,
    print_report,
    read_settings,
)
from millethead.programs.config_commands import config_app
from millethead.programs.disk_commands import log_app, snapshot_app
from millethead.programs.serving import Program, serve

__all__ = ["ExitCode", "app", "main"]

app = typer.Typer(
    add_completion=True,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    epilog=CODES,
    help="The programs of the system, and tools for it.",
)
jobs_app = typer.Typer(no_args_is_help=True, epilog=CODES, help="Jobs, and why they wait.")
settings_app = typer.Typer(no_args_is_help=True, epilog=CODES, help="The settings file of a process.")
for group, name in (
    (jobs_app, "jobs"),
    (config_app, "config"),
    (log_app, "log"),
    (snapshot_app, "snapshot"),
    (settings_app, "settings"),
):
    app.add_typer(group, name=name)


def main() -> None:
    """Run the command line and exit."""
    app(prog_name="millethead")


# ---- programs --------------------------------------------------------------------------------------------


def _serve(program: Program, level: str) -> None:
    serve(program, read_settings(), level)


@app.command()
def control(log_level: LogLevel = "info") -> None:
    """A member of the core: keeps the configuration and the jobs, and schedules while it is the head."""
    _serve("control", log_level)


@app.command()
def dispatcher(log_level: LogLevel = "info") -> None:
    """Takes clients' requests and passes them on to the core."""
    _serve("dispatcher", log_level)


@app.command()
def agent(log_level: LogLevel = "info") -> None:
    """Stands beside one worker: starts, stops and holds what runs there."""
    _serve("agent", log_level)


@app.command(epilog=CODES)
def demo() -> None:
    """Starts the whole system on loopback, hands in a job, kills the head, and shows that the job is done."""
    from millethead.programs.demo import DemoFailed, run_demo

    try:
        run_demo(typer.echo)
    except DemoFailed as error:
        raise fail(ExitCode.NEGATIVE, f"demo: {error}") from None


# ---- state of the core -----------------------------------------------------------------------------------


@app.command(epilog=CODES)
def status(
    control: Control = None, internal_port: InternalPort = None, settings: SettingsFile = None, as_json: AsJson = False
) -> None:
    """View, chain, lag, head, configuration, queues and workers, as the head of the core sees them."""
    from millethead.programs.text_reports import status_lines

    with connected_core(control, internal_port, settings) as core:
        report = core.status()
    print_report(report, as_json, status_lines)


@jobs_app.command("list", epilog=CODES)
def jobs_list(
    queue: Annotated[str, typer.Option("--queue", help="Only jobs of this route.")] = "",
    control: Control = None,
    internal_port: InternalPort = None,
    settings: SettingsFile = None,
    as_json: AsJson = False,
) -> None:
    """The newest jobs: state, tasks done and running, and how many wait for what."""
    from millethead.programs.text_reports import job_list_lines

    with connected_core(control, internal_port, settings) as core:
        listed = core.jobs(queue)
    print_report(listed, as_json, job_list_lines)


@jobs_app.command("show", epilog=CODES)
def jobs_show(
    job: Annotated[str, typer.Argument(metavar="ID", help="16 hexadecimal digits.")],
    control: Control = None,
    internal_port: InternalPort = None,
    settings: SettingsFile = None,
    as_json: AsJson = False,
) -> None:
    """One job: its steps, where its runs are, and why its other tasks wait."""
    from millethead.programs.text_reports import job_lines

    with connected_core(control, internal_port, settings) as core:
        report = core.job(job)
    if report is None:
        raise fail(ExitCode.NEGATIVE, f"job {job}: not known to the core")
    print_report(report, as_json, job_lines)


@app.command(epilog=CODES)
def drain(
    node: Annotated[str, typer.Argument(metavar="NODE", help="The machine of a worker, as `status` names it.")],
    undo: Annotated[bool, typer.Option("--undo", help="Put it back.")] = False,
    control: Control = None,
    internal_port: InternalPort = None,
    settings: SettingsFile = None,
    as_json: AsJson = False,
) -> None:
    """Takes the worker at a node out: it gets nothing new, and what runs there ends there, but for tasks that last,
    which go elsewhere. Stays so, whichever member is the head, until --undo."""
    from millethead.programs.text_reports import drain_line

    with connected_core(control, internal_port, settings) as core:
        report = core.drain(node, not undo)
    print_report(report, as_json, lambda report: [drain_line(report)])


# ---- settings --------------------------------------------------------------------------------------------


@settings_app.command("check", epilog=CODES)
def settings_check(
    file: Annotated[
        Path | None, typer.Argument(metavar="[FILE]", envvar=SETTINGS_PATH_VARIABLE, help="Settings file of a process.")
    ] = None,
) -> None:
    """Says whether a process can use its settings file; all findings together."""
    try:
        settings = load_settings(file)
    except InvalidSettings as error:
        place = f"{file}: " if file is not None else ""
        raise fail(ExitCode.UNUSABLE, *(f"{place}{finding}" for finding in error.findings)) from None
    typer.echo(
        f"{settings.node}: can be used: role {settings.role} at {settings.ip}, {len(settings.seeds)} seeds, "
        f"{'a disk' if settings.data_dir else 'no disk'}"
    )


@settings_app.command("reference", epilog=CODES)
def settings_reference() -> None:
    """Prints the reference page of all settings and of the configuration, in Markdown."""
    from millethead.configuration.reference import page

    typer.echo(page(), nl=False)
