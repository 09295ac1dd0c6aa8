"""An event loop with simulated time: time advances only while nothing else happens. Tests use real sockets and timeouts
of minutes without waiting for them.

All peers have to run in this loop: it does not wait for another process."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from tornado.ioloop import IOLoop

TRANSFER_S = 0.003  # real time that bytes may take through a busy system before simulated time advances
ITERATION_S = 1e-6  # simulated time of each iteration: code that polls until a deadline gets there


class _Selector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        self.now += ITERATION_S
        found = super().select(0)
        if not found and (timeout is None or timeout > 0):
            found = super().select(TRANSFER_S if timeout is not None else 1.0)
            if not found and timeout is not None:
                self.now += timeout
        return found


def run(main: Callable[[], Awaitable[Any]]) -> Any:
    """Runs `main` in such a loop. `time.monotonic` returns its simulated time."""
    selector = _Selector()
    loop = asyncio.SelectorEventLoop(selector)
    # Tornado's loop computes a delay from two readings of the real clock. On a busy system time passes between them,
    # and a timer would fire too early in simulated time.
    with (
        mock.patch.object(time, "monotonic", lambda: selector.now),
        mock.patch.object(IOLoop, "time", lambda loop: selector.now),
    ):
        try:
            asyncio.set_event_loop(loop)
            return loop.run_until_complete(main())
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            asyncio.set_event_loop(None)
            loop.close()
