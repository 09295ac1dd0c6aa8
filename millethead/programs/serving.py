"""Starts the long-running programs without loading the libraries of the command line.

Imports dominate the start-up time of a program, and so the time to restart after a power failure.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Literal, get_args

if TYPE_CHECKING:
    from millethead.configuration.settings import ProcessSettings

Program = Literal["control", "dispatcher", "agent"]
PROGRAMS: tuple[Program, ...] = get_args(Program)
EXCLUDED_MODULE = (
    "rich"  # loaded by structlog's console renderer if installed; not needed, since the programs log in logfmt
)


def serve_program(arguments: list[str]) -> bool:
    """Run a program until a signal stops it, if the only argument is its name and its settings are valid.

    Otherwise returns False; the command line then reports the error.
    """
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        return False
    if EXCLUDED_MODULE not in sys.modules:
        sys.modules[EXCLUDED_MODULE] = None  # type: ignore[assignment]  # imports fail as if it were not installed
    from millethead.configuration.settings import InvalidSettings, load_settings

    try:
        settings = load_settings(None)
    except InvalidSettings:
        return False
    serve(arguments[0], settings, "info")
    return True


def serve(program: str, settings: ProcessSettings, level: str) -> None:
    """Run a program until a signal stops it."""
    from millethead.logs import configure_logging

    configure_logging(level, settings.node)

    async def run() -> None:
        if program == "control":
            from millethead.programs.control import ControlProgram

            await ControlProgram(settings).run()
        elif program == "dispatcher":
            from millethead.programs.dispatcher import DispatcherProgram

            await DispatcherProgram(settings).run()
        else:
            from millethead.programs.agent import AgentProgram

            await AgentProgram(settings).run()

    asyncio.run(run())
