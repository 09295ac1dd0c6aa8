"""A loop in which time passes only where nothing happens: real sockets, limits of minutes, no waiting.

Whoever waits for a socket of another process is not helped by it: all peers run in this loop."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from tornado.ioloop import IOLoop

TURN = 0.003  # real s that bytes may take on their way through a busy system before time passes
WORK = 1e-6  # s that each turn of the loop takes: what asks again at once until a moment has passed gets there


class _Selector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        self.now += WORK
        found = super().select(0)
        if not found and (timeout is None or timeout > 0):
            found = super().select(TURN if timeout is not None else 1.0)
            if not found and timeout is not None:
                self.now += timeout
        return found


def run(main: Callable[[], Awaitable[Any]]) -> Any:
    """Run `main` in such a loop; `time.monotonic` is its clock."""
    selector = _Selector()
    loop = asyncio.SelectorEventLoop(selector)
    # tornado's loop works a delay out by two looks at the time of day: on a busy system real time passes between them,
    # and a timer would fire that much too soon in this loop's time
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
