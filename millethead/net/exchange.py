"""Where a request meets the core: the loop's clock, and the wait for a job's one answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tornado.ioloop import IOLoop

from millethead.exchange.model import Answer
from millethead.exchange.stage import Reply, Stage
from millethead.net.connection import Connection


class _Timer:
    __slots__ = ("_handle",)

    def __init__(self, handle: object) -> None:
        self._handle = handle

    def cancel(self) -> None:
        IOLoop.current().remove_timeout(self._handle)


class LoopClock:
    """Unix time at the start, carried on by the steady clock: the list's start times are Unix times too."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()  # s; a successor goes on with it

    def now(self) -> float:
        return (time.monotonic() + self.offset) * 1000

    def wall(self) -> float:
        """Unix time in ms as the machine says it now; it may be stepped either way."""
        return time.time() * 1000

    def later(self, delay: float, call: Callable[[], None]) -> _Timer:
        return _Timer(IOLoop.current().call_later(max(0.0, delay) / 1000, call))


async def exchange_job(stage: Stage, conn: Connection, begin: Callable[[Reply], int]) -> Answer | None:
    """Hand a job in by `begin`, which returns its number, and wait for its answer; None if the client left first.
    Raises Unusable."""
    future: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()

    def settle(answer: Answer | None) -> None:
        if not future.done():
            future.set_result(answer)

    number = conn.job = begin(settle)

    def left() -> None:
        if number:
            stage.withdraw(number)
        settle(None)

    conn.on_close(left)
    try:
        return await future
    finally:
        conn.job = 0
        conn.on_close(None)
