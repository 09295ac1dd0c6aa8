"""What every program of the system does with signals: SIGTERM and SIGINT end it, SIGHUP has it read its settings."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def on_signals(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Install the handlers on the running loop; SIGPIPE is an error of the write that caused it."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
