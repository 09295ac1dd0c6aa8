"""Entry point of `python -m millethead`: commands of the cluster, or of the stand-alone dispatcher (`cli`)."""

import os
import sys

SYSTEM_COMMANDS = frozenset(
    {"control", "dispatcher", "agent", "demo", "status", "drain", "jobs", "config", "log", "snapshot", "settings"}
)
COMPLETION_OPTIONS = frozenset({"--install-completion", "--show-completion"})
COMPLETION_VARIABLE = "_MILLETHEAD_COMPLETE"  # set by the shell when it requests completions


def main() -> None:
    """Runs the command line that defines the command, and ends the process."""
    from millethead.programs.serving import serve_program

    if serve_program(sys.argv[1:]):
        return
    first = sys.argv[1] if len(sys.argv) > 1 else ""
    if first in SYSTEM_COMMANDS | COMPLETION_OPTIONS or COMPLETION_VARIABLE in os.environ:
        from millethead.programs.command_line import main as cluster_main

        cluster_main()
    else:
        from millethead.cli import main as dispatcher_main

        sys.exit(dispatcher_main())


if __name__ == "__main__":
    main()
