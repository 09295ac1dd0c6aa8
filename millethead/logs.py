"""Log lines: structlog, one logfmt line an event, to standard output."""

from __future__ import annotations

import logging
import sys

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def set_up(level: str, name: str = "") -> None:
    processors: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars, structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True), structlog.processors.format_exc_info,
        structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"])]
    structlog.configure(processors, wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
                        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
                        cache_logger_on_first_use=True)
    if name:
        structlog.contextvars.bind_contextvars(node=name)
    # what Tornado and asyncio say goes the same way
    logging.basicConfig(handlers=[_Relay()], level=logging.WARNING, force=True)


class _Relay(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        structlog.get_logger().log(record.levelno, "library_says", logger=record.name,
                                   text=record.getMessage(), exc_info=record.exc_info)
