"""Log lines: structlog, one logfmt line an event, to standard output."""

from __future__ import annotations

import logging
import sys
import time

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def set_up(level: str, name: str = "") -> None:
    processors: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
    ]
    structlog.configure(
        processors,
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )
    if name:
        structlog.contextvars.bind_contextvars(node=name)
    # what Tornado and asyncio say goes the same way
    logging.basicConfig(handlers=[_Relay()], level=logging.WARNING, force=True)


class Sparing:
    """Warnings that bad clients can cause at any rate: so many a second; a later one counts the rest."""

    def __init__(self, most: int = 20) -> None:
        self.most, self.second, self.said, self.more = most, 0, 0, 0

    def warning(self, event: str, **values: object) -> None:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.said = second, 0
        if self.said >= self.most:
            self.more += 1
            return
        if self.more:
            values["left_out"] = self.more  # lines like this one, since the last that was written
        self.said, self.more = self.said + 1, 0
        structlog.get_logger().warning(event, **values)


class _Relay(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        structlog.get_logger().log(
            record.levelno, "library_says", logger=record.name, text=record.getMessage(), exc_info=record.exc_info
        )
