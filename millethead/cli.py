"""millethead: a dispatcher that pushes jobs to workers.

Usage:
  millethead serve [--operator=FILE] [--log-level=LEVEL]
  millethead check [--operator=FILE]
  millethead version
  millethead (-h | --help)

Commands:
  serve    Serve until SIGTERM. BALANCER_CONFIG names the configuration file.
  check    Read the configuration and the operator's file, say whether they can be used, and exit.
  version  Print the version.

Options:
  --operator=FILE    Sets up what is off without it (Faktory, flow export, waiting); MILLETHEAD_OPERATOR
                     names it as well.
  --log-level=LEVEL  debug, info, warning or error [default: info].
  -h --help          Show this text.
"""

from __future__ import annotations

import asyncio
import os
import sys

from docopt import docopt

from millethead import __version__
from millethead.config import Config, ConfigError, load_config
from millethead.logs import LEVELS, configure_logging
from millethead.operators import OperatorSetup, load_operator
from millethead.program import Program


def main(argv: list[str] | None = None) -> int:
    args = docopt(__doc__, argv)
    if args["version"]:
        print(f"millethead {__version__}")
        return 0
    try:
        if args["--log-level"] not in LEVELS:
            raise ConfigError(f"--log-level: one of {', '.join(LEVELS)}, not {args['--log-level']!r}")
        config = load_config()
        path = args["--operator"] or os.environ.get("MILLETHEAD_OPERATOR")
        operator = load_operator(path, config.names("classes"), config.names("azs")) if path else OperatorSetup()
        if args["check"]:
            print(f"{config.name}: the configuration can be used")
            for line in effective_settings(config, operator):
                print(line)
            return 0
        configure_logging(args["--log-level"], config.name)
        asyncio.run(_serve(config, operator))
    except ConfigError as error:
        print(f"millethead: {error}", file=sys.stderr)
        return 2
    return 0


def effective_settings(config: Config, operator: OperatorSetup) -> list[str]:
    """Describes the parts that the operator's file enables, with the limits in force, one line each."""
    lines = []
    if operator.faktory is not None:
        lines.append(
            "faktory: {0}:{1}, {connections} connections".format(
                *operator.faktory.listen, connections=operator.faktory.connections
            )
        )
    if operator.flows is not None:
        lines.append("ipfix: to {}:{}".format(*operator.flows.collector))
    waiting = operator.waiting
    if waiting is not None:
        lines.append(
            f"waiting: {waiting.jobs} jobs, {waiting.bytes} bytes, {waiting.edges} edges, set times up to "
            f"{waiting.horizon_s:.0f} s ahead, {waiting.aged_rate:g} aged starts a second for all"
        )
        for name, job_class in zip(config.names("classes"), config.settings.classes, strict=True):
            bound = waiting.classes.get(name)
            lines.append(
                f"waiting.classes.{name}: "
                + (
                    f"answered within {bound.bound_s:g} s of being due, refused ones wait on"
                    if bound is not None
                    else f"answered within {job_class.deadline / 1000:g} s of being due, refused ones are not kept"
                )
            )
    return lines


async def _serve(config: Config, operator: OperatorSetup) -> None:
    await Program(config, operator).run()
