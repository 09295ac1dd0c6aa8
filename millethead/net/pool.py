"""The connection pool to workers: bounded, and careful with connections that have stood idle."""

from __future__ import annotations

import socket
import time
from collections.abc import Awaitable
from typing import cast

from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream

from millethead.net.connection import WRITE_BUFFER, Closed, Connection, Late, within

Address = tuple[str, int]
READ_BUFFER = 128 << 10
CONNECT_RETRY_WINDOW = 0.1  # s within which a connection that failed to come up is tried once more
KEPT = 2  # idle connections to one worker: they serve probes and cancels, and cost it some of its capacity


class ConnectFailed(Exception):
    """No connection came about: nothing was sent."""


class PoolFull(ConnectFailed):
    """All connections that the pool may hold are in use."""


class Pool:
    def __init__(self, limit: int, connect_ms: float, idle_ms: float) -> None:
        self.limit, self.open = limit, 0
        self.set_times(connect_ms, idle_ms)
        self._idle: dict[Address, list[Connection]] = {}
        self._sweep = PeriodicCallback(self.sweep, 5000)

    def set_times(self, connect_ms: float, idle_ms: float) -> None:
        self.connect_s = connect_ms / 1000
        # a peer may close at its idle limit, and a request that crosses the close counts as one that may have
        # run: well before that limit a connection is no longer used
        self.idle_s = max(0.0, min(idle_ms * 0.8, idle_ms - 2000)) / 1000

    def start(self) -> None:
        self._sweep.start()

    def stop(self) -> None:
        self._sweep.stop()
        for waiting in list(self._idle.values()):
            for conn in list(waiting):
                conn.close()

    async def take(self, address: Address, fresh: bool = False) -> Connection:
        """An idle connection, the one used last, or else a new one; raises ConnectFailed."""
        began, waiting = time.monotonic(), [] if fresh else self._idle.get(address, [])
        while waiting:
            conn = waiting.pop()
            if time.monotonic() - conn.idle_since < self.idle_s and conn.quiet():
                conn.on_close(self._closed)
                return conn
            conn.close()
        if self.open >= self.limit and not self._evict():
            raise PoolFull
        try:
            return await self._connect(address)
        except ConnectFailed:
            # reset as it came up, not for its time: nothing was sent, and the next one may be taken
            if time.monotonic() - began > CONNECT_RETRY_WINDOW:
                raise
            return await self._connect(address)

    async def _connect(self, address: Address) -> Connection:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        stream = IOStream(
            socket.socket(family, socket.SOCK_STREAM), max_buffer_size=READ_BUFFER, max_write_buffer_size=WRITE_BUFFER
        )
        self.open += 1
        stream.set_close_callback(self._closed)
        try:
            await within(self.connect_s, cast(Awaitable[IOStream], stream.connect(address)))
            return Connection(stream)
        except (Closed, Late, OSError) as error:
            stream.close()
            raise ConnectFailed(str(error)) from None

    def give_back(self, address: Address, conn: Connection, keep: bool = True) -> None:
        waiting = self._idle.setdefault(address, [])
        if not keep or len(waiting) >= KEPT or not conn.quiet():
            conn.close()
            return
        conn.idle_since = time.monotonic()
        waiting.append(conn)

        def gone() -> None:
            self._closed()
            if conn in waiting:
                waiting.remove(conn)
            if not waiting and self._idle.get(address) is waiting:
                del self._idle[address]

        conn.on_close(gone)

    def _closed(self) -> None:
        self.open -= 1

    def _evict(self) -> bool:
        """Close the connection that has stood idle longest; False if none is idle."""
        idle = [conn for waiting in self._idle.values() for conn in waiting]
        if not idle:
            return False
        min(idle, key=lambda conn: conn.idle_since).close()
        return True

    def sweep(self) -> None:
        now = time.monotonic()
        for waiting in list(self._idle.values()):
            for conn in [c for c in waiting if now - c.idle_since >= self.idle_s]:
                conn.close()
