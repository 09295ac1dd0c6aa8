"""Client of one worker: calls are handed over by the event loop, carried out on threads, and reported to the loop."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from enum import Enum, auto

from millethead.execution.call_lane import CallLane, Post
from millethead.execution.worker_call import Call, CallOutcome, CallResult

__all__ = ["CallOutcome", "CallResult", "Lane", "WorkerClient"]

ORDER_THREADS = 4
HOLD_THREADS = 1


class Lane(Enum):
    """Which connections a call may use. HOLD: one of its own, for calls that the worker answers late on purpose.
    ORDERS: one while calls are quick, more while they are not."""

    ORDERS = auto()
    HOLD = auto()


class WorkerClient:
    """Calls to the worker at `address` (IP:PORT). `post` hands a callable to the event loop from any thread, such as
    the loop's call_soon_threadsafe; `threads`: order connections at most. Raises ValueError for another address."""

    def __init__(self, address: str, post: Post, threads: int = ORDER_THREADS) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"not an address of a worker: {address!r}")
        self._lanes = {
            Lane.ORDERS: CallLane(host, int(port), post, threads),
            Lane.HOLD: CallLane(host, int(port), post, HOLD_THREADS),
        }

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
        done: Callable[[CallResult], None],
        lane: Lane = Lane.ORDERS,
    ) -> None:
        """Send one request, once. `done` is called on the loop when it was answered, could not be sent or has taken
        `timeout_s`, the wait for a connection included."""
        now = time.monotonic()
        self._lanes[lane].submit(Call(method, path, body, headers, now, now + timeout_s, done))

    def close(self) -> None:
        """End all calls: those that wait as not sent, those under way without an answer."""
        for lane in self._lanes.values():
            lane.close()
