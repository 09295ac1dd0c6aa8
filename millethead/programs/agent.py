"""The agent program, which runs on each machine with a worker."""

from __future__ import annotations

from millethead.configuration.settings import ProcessSettings
from millethead.execution.shell import AgentShell, run_until_signal
from millethead.programs.agent_metrics import agent_metrics


class AgentProgram:
    """The agent of one worker. SIGTERM and SIGINT stop it, SIGHUP reloads the settings file."""

    def __init__(self, settings: ProcessSettings) -> None:
        self._settings = settings

    async def run(self) -> None:
        """Serve until a signal stops the program. Raises OSError if it cannot listen."""
        shell = AgentShell(self._settings)
        shell.add_metrics(agent_metrics)
        await run_until_signal(shell)
