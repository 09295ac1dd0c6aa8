"""Signal handling of all programs: SIGTERM and SIGINT stop them, SIGHUP reloads the settings."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def install_signal_handlers(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Install the handlers on the running loop. SIGPIPE is ignored; the write raises an error instead."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
