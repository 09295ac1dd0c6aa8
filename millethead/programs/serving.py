"""Starts the programs that serve. They are charged for every import at each start, and a restart after a loss of power
is as long as its imports: so none of the command line's libraries is loaded for them.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Literal, get_args

if TYPE_CHECKING:
    from millethead.configuration.settings import ProcessSettings

Program = Literal["control", "dispatcher", "agent"]
PROGRAMS: tuple[Program, ...] = get_args(Program)
UNUSED = "rich"  # of structlog's console renderer, which loads it where it is installed; the programs write logfmt


def serve_plainly(arguments: list[str]) -> bool:
    """Serve until a signal if the arguments name a program and nothing else, and its settings can be used. Otherwise
    returns False: the command line tells what is wrong."""
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        return False
    if UNUSED not in sys.modules:
        sys.modules[UNUSED] = None  # type: ignore[assignment]  # an import of it fails as if it were not installed
    from millethead.configuration.settings import InvalidSettings, load_settings

    try:
        settings = load_settings(None)
    except InvalidSettings:
        return False
    serve(arguments[0], settings, "info")
    return True


def serve(program: str, settings: ProcessSettings, level: str) -> None:
    """Serve until a signal."""
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
