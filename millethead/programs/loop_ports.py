"""What the core's pure parts are given of the event loop: datagrams, clocks and timers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable

MS = 1000
MOST_DATAGRAMS = 64  # read in one turn of the loop
MOST_DATAGRAM_BYTES = 65_536


class DatagramSocket:
    """Hands each datagram on, with its sender as HOST:PORT. All that have come are read in one turn of the loop: one a
    turn, as asyncio's own transport reads, falls behind where turns are long, and heartbeats come out of date."""

    def __init__(self, host: str, port: int, received: Callable[[bytes, str], None]) -> None:
        self._received = received
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def _read(self) -> None:
        for _ in range(MOST_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(MOST_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # a dead port at the other end: the heartbeats that stay away tell of it
                continue
            self._received(data, f"{sender[0]}:{sender[1]}")

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram, which may be lost; also here, where the socket takes no more."""
        with contextlib.suppress(OSError):
            self._socket.sendto(data, (host, port))

    def close(self) -> None:
        """Nothing more is received."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()


class LoopClock:
    """The clocks and timers that the head uses; made while the loop runs. `failed` is called where a call raises what
    nobody expected: the state that it worked on may be half changed."""

    def __init__(self, failed: Callable[[Exception], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._failed = failed

    def now(self) -> float:
        """Steady seconds."""
        return self._loop.time()

    def wall_ms(self) -> int:
        """The time of day, which may jump."""
        return int(time.time() * MS)

    def soon(self, call: Callable[[], None]) -> None:
        self._loop.call_soon(self.guarded, call)

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._loop.call_later(delay_s, self.guarded, call)

    def guarded(self, call: Callable[[], None]) -> None:
        """Make a call."""
        try:
            call()
        except Exception as error:
            self._failed(error)
