"""Adapters of the event loop for the I/O-free parts of the core: datagrams, clocks and timers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable

MS = 1000
MAX_DATAGRAMS_PER_READ = 64  # per iteration of the event loop
MAX_DATAGRAM_BYTES = 65_536


class DatagramSocket:
    """Passes each datagram to `received` with its sender as HOST:PORT.

    Reads all available datagrams in one iteration of the event loop, up to a limit. asyncio's own transport reads one
    datagram per iteration, which falls behind when iterations are long, and heartbeats are then stale on arrival.
    """

    def __init__(self, host: str, port: int, received: Callable[[bytes, str], None]) -> None:
        self._received = received
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # peer port closed; detected by missing heartbeats
                continue
            self._received(data, f"{sender[0]}:{sender[1]}")

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram. It may be lost, also locally if the socket buffer is full."""
        with contextlib.suppress(OSError):
            self._socket.sendto(data, (host, port))

    def close(self) -> None:
        """Close the socket; no more datagrams are received."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()


class LoopClock:
    """Clocks and timers of the running event loop.

    `failed` is called with any exception of a callback. The state that the callback worked on may be partly changed.
    """

    def __init__(self, failed: Callable[[Exception], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._failed = failed

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._loop.time()

    def wall_ms(self) -> int:
        """Return the wall clock in ms since the epoch. It may jump."""
        return int(time.time() * MS)

    def soon(self, call: Callable[[], None]) -> None:
        self._loop.call_soon(self.run_guarded, call)

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._loop.call_later(delay_s, self.run_guarded, call)

    def run_guarded(self, call: Callable[[], None]) -> None:
        """Run a callback and report its exception to `failed`."""
        try:
            call()
        except Exception as error:
            self._failed(error)
