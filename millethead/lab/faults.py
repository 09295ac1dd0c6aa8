"""Faults between processes on loopback: a relay that members' datagrams pass, and what it does to them by a seed.

A member advertises an address of the relay's; the relay knows who sends by the address that a datagram comes from, and
passes it on, or not, to the address where the other one listens.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Link:
    """What a way between two members does: `loss` and `twice` are parts of the datagrams, `delay` and `jitter` seconds
    (a datagram that is held longer than the next one is overtaken by it)."""

    loss: float = 0.0
    twice: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0


class Faults:
    """Decides what becomes of each datagram; no input or output. `cut` holds the ways (from, to) that carry nothing."""

    def __init__(self, seed: int, link: Link | None = None) -> None:
        self.seed, self.link, self.cut = seed, link or Link(), set[tuple[str, str]]()
        self.links: dict[tuple[str, str], Link] = {}
        self._random = random.Random(seed)

    def split(self, *sides: Iterable[str]) -> None:
        """Nothing passes between the sides; a name on two of them is a bridge."""
        groups = [set(side) for side in sides]
        names = set[str]().union(*groups)
        self.cut = {
            (a, b) for a in names for b in names if a != b and not any(a in side and b in side for side in groups)
        }

    def one_way(self, a: str, b: str) -> None:
        """What `a` sends does not reach `b`; the other way carries on."""
        self.cut.add((a, b))

    def heal(self) -> None:
        self.cut.clear()

    def fate(self, a: str, b: str) -> list[float]:
        """Seconds after which a datagram from `a` reaches `b`, once for each copy; none: it is lost."""
        if (a, b) in self.cut:
            return []
        link = self.links.get((a, b), self.link)
        if self._random.random() < link.loss:
            return []
        copies = 2 if self._random.random() < link.twice else 1
        return [link.delay + link.jitter * self._random.random() for _ in range(copies)]


class Relay:
    """One socket for each member, at the address that it advertises."""

    def __init__(self, faults: Faults) -> None:
        self.faults, self.passed, self.bytes = faults, Counter[str](), Counter[str]()
        self._names: dict[tuple[str, int], str] = {}
        self._open: list[asyncio.DatagramTransport] = []

    async def add(self, name: str, listens: int) -> int:
        """Stand before the member that listens at this port; returns the port to advertise."""
        relay, loop = self, asyncio.get_running_loop()
        self._names["127.0.0.1", listens] = name

        class Door(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                sender = relay._names.get(addr, "stranger")
                for wait in relay.faults.fate(sender, name):
                    relay.passed[sender] += 1
                    relay.bytes[sender] += len(data)
                    loop.call_later(wait, pass_on, data) if wait else pass_on(data)

            def error_received(self, exc: Exception) -> None:
                """Its member is gone."""

        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.bind(("127.0.0.1", 0))

        def pass_on(data: bytes) -> None:
            if not transport.is_closing():
                transport.sendto(data, ("127.0.0.1", listens))

        transport, _ = await loop.create_datagram_endpoint(Door, sock=sock)
        self._open.append(transport)
        return int(sock.getsockname()[1])

    def close(self) -> None:
        for transport in self._open:
            transport.close()
