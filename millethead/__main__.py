"""python -m millethead: the system's commands, or those of the dispatcher in `cli`."""

import os
import sys

SYSTEM_COMMANDS = frozenset(
    {"control", "dispatcher", "agent", "demo", "status", "drain", "jobs", "config", "log", "snapshot", "settings"}
)
COMPLETION_OPTIONS = frozenset({"--install-completion", "--show-completion"})
COMPLETION_VARIABLE = "_MILLETHEAD_COMPLETE"  # set by the shell that asks how a line could go on


def main() -> None:
    """Hand the arguments to the command line that knows the command; ends the process."""
    from millethead.programs.serving import serve_program

    if serve_program(sys.argv[1:]):
        return
    first = sys.argv[1] if len(sys.argv) > 1 else ""
    if first in SYSTEM_COMMANDS | COMPLETION_OPTIONS or COMPLETION_VARIABLE in os.environ:
        from millethead.programs.command_line import main as system

        system()
    else:
        from millethead.cli import main as single

        sys.exit(single())


if __name__ == "__main__":
    main()
