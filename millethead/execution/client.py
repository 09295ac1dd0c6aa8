"""Client of one worker: calls are handed over by the event loop, carried out on threads, and reported to the loop."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from enum import Enum, auto

from millethead.execution.connection_pool import Post, WorkerConnectionPool
from millethead.execution.worker_connection import Call, CallOutcome, CallResult

__all__ = ["CallKind", "CallOutcome", "CallResult", "WorkerClient"]

ORDER_THREADS = 4
POLL_THREADS = 1


class CallKind(Enum):
    """Which connections a call may use. HOLD: one of its own, for calls that the worker answers late on purpose.
    ORDERS: one while calls are quick, more while they are not."""

    ORDER = auto()
    POLL = auto()


class WorkerClient:
    """Calls to the worker at `address` (IP:PORT). `post` hands a callable to the event loop from any thread, such as
    the loop's call_soon_threadsafe; `threads`: order connections at most. Raises ValueError for another address."""

    def __init__(self, address: str, post: Post, order_threads: int = ORDER_THREADS) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"not an address of a worker: {address!r}")
        self._pools = {
            CallKind.ORDER: WorkerConnectionPool(host, int(port), post, order_threads),
            CallKind.POLL: WorkerConnectionPool(host, int(port), post, POLL_THREADS),
        }

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
        done: Callable[[CallResult], None],
        kind: CallKind = CallKind.ORDER,
    ) -> None:
        """Send one request, once. `done` is called on the loop when it was answered, could not be sent or has taken
        `timeout_s`, the wait for a connection included."""
        now = time.monotonic()
        self._pools[kind].submit(Call(method, path, body, headers, now, now + timeout_s, done))

    def close(self) -> None:
        """End all calls: those that wait as not sent, those under way without an answer."""
        for pool in self._pools.values():
            pool.close()
