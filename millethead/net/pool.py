"""A bounded pool of connections to workers. It does not reuse a connection near the worker's idle timeout."""

from __future__ import annotations

import socket
import time
from collections.abc import Awaitable
from typing import cast

from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream

from millethead.net.connection import WRITE_BUFFER_BYTES, Closed, Connection, PeerTimeout, with_timeout

Address = tuple[str, int]
READ_BUFFER_BYTES = 128 << 10
CONNECT_RETRY_WINDOW_S = 0.1  # a connection attempt that fails sooner than this is repeated once
MAX_IDLE_PER_WORKER = 2  # used for probes and cancels only; each one takes up some of the worker's capacity


class ConnectFailed(Exception):
    """The connection could not be established: nothing was sent."""


class PoolFull(ConnectFailed):
    """The pool has reached its limit, and no connection is idle."""


class Pool:
    """Connections to workers. `limit`: connections at once; `open`: connections in use or idle now."""

    def __init__(self, limit: int, connect_ms: float, idle_ms: float) -> None:
        self.limit, self.open = limit, 0
        self.set_timeouts(connect_ms, idle_ms)
        self._idle: dict[Address, list[Connection]] = {}
        self._sweep = PeriodicCallback(self.sweep, 5000)

    def set_timeouts(self, connect_ms: float, idle_ms: float) -> None:
        self.connect_s = connect_ms / 1000
        # A worker may close a connection at its idle timeout. If a request is sent at that moment, the job may have
        # run. Connections are therefore not reused after 80 % of the timeout, or in its last 2 s.
        self.idle_s = max(0.0, min(idle_ms * 0.8, idle_ms - 2000)) / 1000

    def start(self) -> None:
        self._sweep.start()

    def stop(self) -> None:
        self._sweep.stop()
        for idle in list(self._idle.values()):
            for conn in list(idle):
                conn.close()

    async def acquire(self, address: Address, fresh: bool = False) -> Connection:
        """Returns the most recently used idle connection, or a new one if there is none or `fresh` is set. Raises
        ConnectFailed."""
        began, idle = time.monotonic(), [] if fresh else self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if time.monotonic() - conn.idle_since < self.idle_s and conn.has_no_input():
                conn.on_close(self._closed)
                return conn
            conn.close()
        if self.open >= self.limit and not self._evict():
            raise PoolFull
        try:
            return await self._connect(address)
        except ConnectFailed:
            # A reset during the handshake, not a timeout. Nothing was sent, and a second attempt may succeed.
            if time.monotonic() - began > CONNECT_RETRY_WINDOW_S:
                raise
            return await self._connect(address)

    async def _connect(self, address: Address) -> Connection:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        stream = IOStream(
            socket.socket(family, socket.SOCK_STREAM),
            max_buffer_size=READ_BUFFER_BYTES,
            max_write_buffer_size=WRITE_BUFFER_BYTES,
        )
        self.open += 1
        stream.set_close_callback(self._closed)
        try:
            await with_timeout(self.connect_s, cast(Awaitable[IOStream], stream.connect(address)))
            return Connection(stream)
        except (Closed, PeerTimeout, OSError) as error:
            stream.close()
            raise ConnectFailed(str(error)) from None

    def release(self, address: Address, conn: Connection, reusable: bool = True) -> None:
        """Returns a connection to the pool. Closes it if it is not reusable, has unread input, or is not needed."""
        idle = self._idle.setdefault(address, [])
        if not reusable or len(idle) >= MAX_IDLE_PER_WORKER or not conn.has_no_input():
            conn.close()
            return
        conn.idle_since = time.monotonic()
        idle.append(conn)

        def on_closed() -> None:
            self._closed()
            if conn in idle:
                idle.remove(conn)
            if not idle and self._idle.get(address) is idle:
                del self._idle[address]

        conn.on_close(on_closed)

    def _closed(self) -> None:
        self.open -= 1

    def _evict(self) -> bool:
        """Closes the connection that is idle longest. Returns False if none is idle."""
        idle = [conn for connections in self._idle.values() for conn in connections]
        if not idle:
            return False
        min(idle, key=lambda conn: conn.idle_since).close()
        return True

    def sweep(self) -> None:
        """Closes connections that are idle for too long."""
        now = time.monotonic()
        for idle in list(self._idle.values()):
            for conn in [c for c in idle if now - c.idle_since >= self.idle_s]:
                conn.close()
