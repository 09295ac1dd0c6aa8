"""`millethead config`: checks, reads, compares and changes the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import typer

from millethead.configuration.findings import FindingsError
from millethead.programs.command_support import (
    CODES,
    Control,
    Document,
    ExitCode,
    SettingsFile,
    connected_core,
    fail,
    print_lines,
    read_file,
)

if TYPE_CHECKING:
    from millethead.programs.core_client import CoreClient

config_app = typer.Typer(no_args_is_help=True, epilog=CODES, help="The configuration: routes, services, limits.")


@config_app.command("check", epilog=CODES)
def config_check(file: Document) -> None:
    """Says whether a whole configuration is valid; all findings together. Asks nobody."""
    from millethead.configuration.check import parse

    try:
        configuration = parse(read_file(file))
    except FindingsError as error:
        raise fail(ExitCode.NEGATIVE, *(f"{file}: {finding}" for finding in error.findings)) from None
    typer.echo(
        f"{file}: valid: version {configuration.version}, {len(configuration.routes)} routes, "
        f"{len(configuration.services)} services"
    )


@config_app.command("put", epilog=CODES)
def config_put(
    file: Document,
    if_match: Annotated[
        int | None,
        typer.Option("--if-match", min=0, help="The version on which it builds. Without it: the one in place now."),
    ] = None,
    patch: Annotated[bool, typer.Option("--patch", help="FILE holds a change of named items.")] = False,
    control: Control = None,
    settings: SettingsFile = None,
) -> None:
    """Has a configuration, or a change of one, taken and committed."""
    body = read_file(file)
    with connected_core(control, None, settings) as core:
        base = _current_version(core) if if_match is None else if_match
        version = core.change("PATCH" if patch else "PUT", body, base)
    typer.echo(f"version {version} is in place")


@config_app.command("get", epilog=CODES)
def config_get(control: Control = None, settings: SettingsFile = None) -> None:
    """Prints the configuration in place, byte for byte as it was sent."""
    with connected_core(control, None, settings) as core:
        document = core.configuration()
    if not document:
        raise fail(ExitCode.NEGATIVE, "no configuration yet")
    typer.echo(document.decode())


@config_app.command("diff", epilog=CODES)
def config_diff(file: Document, control: Control = None, settings: SettingsFile = None) -> None:
    """What FILE would change in the configuration in place; ends with 0 where that is nothing."""
    from millethead.configuration.check import parse
    from millethead.programs.configuration_diff import differences

    with connected_core(control, None, settings) as core:
        document = core.configuration()
    try:
        new = parse(read_file(file))
    except FindingsError as error:
        raise fail(ExitCode.NEGATIVE, *(f"{file}: {finding}" for finding in error.findings)) from None
    lines = differences(parse(document) if document else None, new)
    print_lines(lines)
    if lines:
        raise typer.Exit(ExitCode.NEGATIVE)


def _current_version(core: CoreClient) -> int:
    from millethead.configuration.check import parse

    document = core.configuration()
    return parse(document).version if document else 0
