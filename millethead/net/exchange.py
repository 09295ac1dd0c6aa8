"""Connects request handlers to the exchange: its clock on the event loop, and the wait for the answer of a job."""

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
    """Unix time as of the start, advanced by the monotonic clock. Comparable with the start times in worker lists,
    which are Unix times."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()  # s; a successor process takes it over

    def now(self) -> float:
        """Returns the time in ms."""
        return (time.monotonic() + self.offset) * 1000

    def wall(self) -> float:
        """Returns the current Unix time in ms. It can jump in either direction."""
        return time.time() * 1000

    def later(self, delay: float, call: Callable[[], None]) -> _Timer:
        return _Timer(IOLoop.current().call_later(max(0.0, delay) / 1000, call))


def _settle(future: asyncio.Future[Answer | None], answer: Answer | None) -> None:
    if not future.done():
        future.set_result(answer)


def answer_future() -> tuple[asyncio.Future[Answer | None], Reply]:
    """Returns a future of a job's answer, and the function that resolves it."""
    future: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()
    return future, partial(_settle, future)


async def submit_job(stage: Stage, conn: Connection, order: Order) -> Answer | None:
    """Submits a job and waits for its answer. Returns None if the client disconnects first. Raises InvalidOrder."""
    if conn.peer_closed():  # the client closed right after the request: the close callback would never be called
        return None
    future, settle = answer_future()
    return await wait_for_answer(stage, conn, stage.arrive(order, settle), future)


async def wait_for_answer(
    stage: Stage, conn: Connection, number: int, future: asyncio.Future[Answer | None]
) -> Answer | None:
    """Waits for the answer of job `number` (0: the future is resolved already). Returns None if the client
    disconnects first."""
    conn.job = number

    def withdraw() -> None:
        if number:
            stage.withdraw(number)
        _settle(future, None)

    conn.on_close(withdraw)
    conn.read_ahead(True)
    try:
        return await future
    finally:
        conn.job = 0
        conn.read_ahead(False)
        conn.on_close(None)
