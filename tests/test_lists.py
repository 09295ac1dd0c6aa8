"""Lists after failed calls: a drain is known 6 s after discovery had it and could be reached, and the grace on top.

A fleet of dispatchers' discovery clients and modules, on real sockets against one discovery that works off one call
after another; time jumps (jump.py)."""

import asyncio
import json
import time
from contextlib import suppress
from unittest import mock

import jump
import pytest
from dispatcher_fixture import SETTINGS, endpoint
from tornado.iostream import IOStream

from millethead.decide.settings import settings_from
from millethead.exchange import Exchange
from millethead.net.discovery import Discovery, Names
from millethead.net.exchange import LoopClock
from millethead.net.terms import TOLD, list_terms

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SERVICE = 0.05  # s that discovery works on one call
QUEUE = 1.0  # s after which one that waited fails with 503
DOWN = 5.0  # s, when it stops answering
GRACE = SETTINGS["rules"]["drain_grace"] / 1000


class Agent:
    """Discovery: one call at a time. `mode`: what becomes of calls and open watches while it is down."""

    def __init__(self, mode):
        self.mode, self.down, self.index, self.drains = mode, False, 1, False
        self.turn, self.calls, self.watches, self.outages = asyncio.Lock(), [], set(), 0

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def text(self, follow):
        entries = [endpoint(1, 9, status="terminating" if self.drains else "in_service"), endpoint(2, 9)]
        line = json.dumps({"index": self.index, "snapshot": True, "endpoints": entries}).encode() + b"\n"
        if not follow:
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line)
        return HEAD + b"%x\r\n%s\r\n" % (len(line), line)

    async def serve(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            follow = b"follow=1" in await reader.readuntil(b"\r\n\r\n")
            self.calls.append(time.monotonic())
            if self.down:
                await self.fail(reader, writer, follow)
                return
            came = time.monotonic()
            async with self.turn:
                if time.monotonic() - came > QUEUE:
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    return
                await asyncio.sleep(SERVICE)
            writer.write(self.text(follow))
            outages = self.outages
            if follow:
                self.watches.add(writer)
            while follow and self.outages == outages:
                await asyncio.sleep(2.0)
                if self.outages == outages:
                    writer.write(b"1\r\n\n\r\n")
            if self.mode in ("silent", "stops", "late"):
                await reader.read()  # says nothing more, and notices only that the other side gives up
        writer.close()

    async def fail(self, reader, writer, follow):
        if self.mode == "503":
            writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
        elif self.mode == "reset":
            writer.transport.abort()
        elif self.mode == "stops":
            writer.write(self.text(follow)[:80])
            await reader.read()
        elif self.mode == "silent":
            await reader.read()
        elif self.mode == "late":
            await asyncio.sleep(10.0)
            writer.write(self.text(follow))
        writer.close()

    async def stop(self):
        self.down, self.outages = True, self.outages + 1
        if self.mode == "refused":
            self.server.close()
        if self.mode in ("503", "refused", "reset", "never up"):
            for writer in self.watches:
                writer.transport.abort()
        self.watches.clear()

    async def back(self):
        self.down, self.drains, self.index = False, True, 2
        if self.mode == "refused":
            await self.open(self.port)


def fleet(count, port):
    names = Names(SETTINGS["azs"], SETTINGS["kinds"])
    made = []
    for n in range(count):
        said = {**SETTINGS, "balancers": count, "self_index": n}
        settings = settings_from(json.dumps(said).encode())[1]
        exchange = Exchange(settings, n, LoopClock())
        exchange.discovery = Discovery(exchange, mock.Mock(), ("127.0.0.1", port), names, list_terms(settings))
        exchange.discovery.known({"index": 1, "snapshot": True, "endpoints": [endpoint(1, 9), endpoint(2, 9)]})
        made.append(exchange)
    return made


async def outage(mode, length, count):
    """(s from its return until each knows of the drain, calls in the time that the terms allow for that)."""
    agent = await Agent(mode).open()
    connect = IOStream.connect

    def never(stream, address, *more):
        return asyncio.get_running_loop().create_future() if agent.down else connect(stream, address, *more)

    with mock.patch.object(IOStream, "connect", never if mode == "never up" else connect):
        nodes = fleet(count, agent.port)
        await asyncio.sleep(DOWN)
        assert len(agent.watches) == count
        await agent.stop()
        await asyncio.sleep(length)
        back, known = time.monotonic(), {}
        await agent.back()
        while len(known) < count and time.monotonic() < back + 30:
            await asyncio.sleep(0.05)
            for n, node in enumerate(nodes):
                if not node.worker("s-00000001").open:
                    known.setdefault(n, time.monotonic() - back)
        for node in nodes:
            node.discovery.stop()
        agent.server.close()
        return list(known.values()), sum(back <= at <= back + TOLD + GRACE for at in agent.calls)


MODES = ["503", "refused", "reset", "never up", "stops", "silent", "late"]


@pytest.mark.parametrize("length", [1.0, 8.0, 60.0])
@pytest.mark.parametrize("mode", MODES)
def test_a_drain_is_known_in_time_after_discovery_is_back(mode, length):
    count = 25
    took, calls = jump.run(lambda: outage(mode, length, count))
    assert len(took) == count
    assert max(took) <= TOLD + GRACE, f"{max(took):.2f} s"
    # and what they ask of it after its return stays under what it can do
    assert calls * SERVICE < 0.7 * (TOLD + GRACE), calls
