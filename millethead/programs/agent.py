"""The agent's program, on each machine that carries a worker."""

from __future__ import annotations

from millethead.configuration.settings import ProcessSettings
from millethead.execution.shell import AgentShell, run_until_signal
from millethead.programs.agent_figures import agent_figures


class AgentProgram:
    """The agent beside one worker. SIGTERM and SIGINT end it, SIGHUP has it read the settings file again."""

    def __init__(self, settings: ProcessSettings) -> None:
        self._settings = settings

    async def run(self) -> None:
        """Serve until a signal ends it. Raises UnfitSettings, or OSError if it cannot listen."""
        shell = AgentShell(self._settings)
        shell.add_metrics(agent_figures)
        await run_until_signal(shell)
