"""Where a request meets the core: the loop's clock, and the wait for a job's one answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial

from tornado.ioloop import IOLoop

from millethead.exchange.model import Answer, Order
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


def _settle(future: asyncio.Future[Answer | None], answer: Answer | None) -> None:
    if not future.done():
        future.set_result(answer)


def awaited() -> tuple[asyncio.Future[Answer | None], Reply]:
    """A job's answer to be, and the call that gives it."""
    future: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()
    return future, partial(_settle, future)


async def exchange_job(stage: Stage, conn: Connection, order: Order) -> Answer | None:
    """Hand the job in and wait for its answer; None if the client left first. Raises InvalidOrder."""
    if conn.gone():  # its end came with the request, and no close callback would be called any more
        return None
    future, settle = awaited()
    return await answer_of(stage, conn, stage.arrive(order, settle), future)


async def answer_of(
    stage: Stage, conn: Connection, number: int, future: asyncio.Future[Answer | None]
) -> Answer | None:
    """Wait for the answer of a job that was handed in (0: it has it already)."""
    conn.job = number

    def left() -> None:
        if number:
            stage.withdraw(number)
        _settle(future, None)

    conn.on_close(left)
    conn.read_ahead(True)
    try:
        return await future
    finally:
        conn.job = 0
        conn.read_ahead(False)
        conn.on_close(None)
