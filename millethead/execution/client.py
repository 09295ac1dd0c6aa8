"""HTTP client for one worker: the event loop submits calls, threads execute them and return the results to the loop."""

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
    """Kind of a call; each kind has its own connections.

    POLL: calls that the worker answers late on purpose, on one connection. ORDER: all other calls, on one connection
    while they are answered quickly, otherwise on more.
    """

    ORDER = auto()
    POLL = auto()


class WorkerClient:
    """Sends calls to the worker at `address` (IP:PORT); raises ValueError if the address is malformed.

    `post` schedules a callable on the event loop from any thread, such as the loop's `call_soon_threadsafe`.
    `order_threads` is the maximum number of connections for orders.
    """

    def __init__(self, address: str, post: Post, order_threads: int = ORDER_THREADS) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"worker address is not IP:PORT: {address!r}")
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
        """Send one request, without retries.

        `done` is called on the event loop when the request was answered, could not be sent or has taken `timeout_s`,
        including the wait for a connection.
        """
        now = time.monotonic()
        self._pools[kind].submit(Call(method, path, body, headers, now, now + timeout_s, done))

    def close(self) -> None:
        """End all calls: queued calls as not sent, calls in flight without an answer."""
        for pool in self._pools.values():
            pool.close()
