"""What the core's pure parts are given of the event loop: datagrams that come, clocks and timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

MS = 1000


class DatagramReceiver(asyncio.DatagramProtocol):
    """Hands each datagram on, with its sender as HOST:PORT."""

    def __init__(self, received: Callable[[bytes, str], None]) -> None:
        self._received = received

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._received(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """A dead port at the other end: the heartbeats that stay away tell of it."""


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
