"""millethead: a dispatcher that pushes jobs to workers.

Usage:
  millethead serve [--log-level=LEVEL]
  millethead check
  millethead version
  millethead (-h | --help)

Commands:
  serve    Serve until SIGTERM. BALANCER_CONFIG names the configuration file.
  check    Read the configuration, say whether it can be used, and exit.
  version  Print the version.

Options:
  --log-level=LEVEL  debug, info, warning or error [default: info].
  -h --help          Show this text.
"""

from __future__ import annotations

import asyncio
import sys

from docopt import docopt

from millethead import __version__
from millethead.config import ConfigError, load_config
from millethead.logs import LEVELS, set_up


def main(argv: list[str] | None = None) -> int:
    args = docopt(__doc__, argv)
    if args["version"]:
        print(f"millethead {__version__}")
        return 0
    try:
        if args["--log-level"] not in LEVELS:
            raise ConfigError(f"--log-level: one of {', '.join(LEVELS)}, not {args['--log-level']!r}")
        config = load_config()
        if args["check"]:
            print(f"{config.name}: the configuration can be used")
            return 0
        set_up(args["--log-level"])
        asyncio.run(_serve(config))
    except ConfigError as error:
        print(f"millethead: {error}", file=sys.stderr)
        return 2
    return 0


async def _serve(config: object) -> None:
    from millethead.config import Config
    from millethead.program import Program

    assert isinstance(config, Config)
    await Program(config).run()
