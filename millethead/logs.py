"""Logging with structlog: one logfmt line per event, to standard output."""

from __future__ import annotations

import logging
import sys
import time

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure_logging(level: str, name: str = "") -> None:
    """Configures structlog and the standard library's logging. `name`: logged with each event as `node`."""
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
    # forward log records of Tornado and asyncio
    logging.basicConfig(handlers=[_StructlogHandler()], level=logging.WARNING, force=True)


class RateLimitedLog:
    """Logs a limited number of warnings per second, for events that faulty clients can cause at any rate. The next
    warning reports how many were suppressed."""

    def __init__(self, max_per_second: int = 20) -> None:
        self.max_per_second, self.second, self.written, self.suppressed = max_per_second, 0, 0, 0

    def warning(self, event: str, **values: object) -> None:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.written = second, 0
        if self.written >= self.max_per_second:
            self.suppressed += 1
            return
        if self.suppressed:
            values["left_out"] = self.suppressed  # warnings of this logger since the last one that was written
        self.written, self.suppressed = self.written + 1, 0
        structlog.get_logger().warning(event, **values)


class _StructlogHandler(logging.Handler):
    """Forwards records of the standard library's logging to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        structlog.get_logger().log(
            record.levelno, "library_says", logger=record.name, text=record.getMessage(), exc_info=record.exc_info
        )
