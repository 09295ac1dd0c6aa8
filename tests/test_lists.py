"""Worker lists after outages of discovery: every dispatcher learns of a drain in time.

The limit is ANNOUNCED_AFTER_S plus the drain grace after discovery has the change and is reachable. Runs the discovery
clients and decision modules of many dispatchers on real sockets against one discovery that serves one call after
another, in simulated time (jump.py)."""

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
from millethead.net.discovery import Discovery, WorkerListParser
from millethead.net.exchange import LoopClock
from millethead.net.timeouts import ANNOUNCED_AFTER_S, list_timeouts

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SERVICE_S = 0.05  # time that discovery spends on one call
MAX_QUEUE_S = 1.0  # calls that have waited longer fail with 503
OUTAGE_START_S = 5.0
GRACE_S = SETTINGS["rules"]["drain_grace"] / 1000


class FakeDiscovery:
    """Discovery that serves one call at a time. `mode`: what happens to calls and open watches during the outage."""

    def __init__(self, mode):
        self.mode, self.down, self.index, self.drains = mode, False, 1, False
        self.lock, self.calls, self.watches, self.outages = asyncio.Lock(), [], set(), 0

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
            arrived = time.monotonic()
            async with self.lock:
                if time.monotonic() - arrived > MAX_QUEUE_S:
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    return
                await asyncio.sleep(SERVICE_S)
            writer.write(self.text(follow))
            outages = self.outages
            if follow:
                self.watches.add(writer)
            while follow and self.outages == outages:
                await asyncio.sleep(2.0)
                if self.outages == outages:
                    writer.write(b"1\r\n\n\r\n")
            if self.mode in ("silent", "stops", "late"):
                await reader.read()  # sends nothing more, until the client closes
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

    async def recover(self):
        self.down, self.drains, self.index = False, True, 2
        if self.mode == "refused":
            await self.open(self.port)


def fleet(count, port):
    parser = WorkerListParser(SETTINGS["azs"], SETTINGS["kinds"])
    exchanges = []
    for n in range(count):
        document = {**SETTINGS, "balancers": count, "self_index": n}
        settings = settings_from(json.dumps(document).encode())[1]
        exchange = Exchange(settings, n, LoopClock())
        exchange.discovery = Discovery(exchange, mock.Mock(), ("127.0.0.1", port), parser, list_timeouts(settings))
        exchange.discovery.load_cached({"index": 1, "snapshot": True, "endpoints": [endpoint(1, 9), endpoint(2, 9)]})
        exchanges.append(exchange)
    return exchanges


async def outage(mode, length, count):
    """Returns the seconds from the recovery until each dispatcher has learned of the drain, and the number of calls to
    discovery within the time limit for that."""
    discovery = await FakeDiscovery(mode).open()
    connect = IOStream.connect

    def never(stream, address, *more):
        return asyncio.get_running_loop().create_future() if discovery.down else connect(stream, address, *more)

    with mock.patch.object(IOStream, "connect", never if mode == "never up" else connect):
        nodes = fleet(count, discovery.port)
        await asyncio.sleep(OUTAGE_START_S)
        assert len(discovery.watches) == count
        await discovery.stop()
        await asyncio.sleep(length)
        recovered, delays = time.monotonic(), {}
        await discovery.recover()
        while len(delays) < count and time.monotonic() < recovered + 30:
            await asyncio.sleep(0.05)
            for n, node in enumerate(nodes):
                if not node.worker("s-00000001").open:
                    delays.setdefault(n, time.monotonic() - recovered)
        for node in nodes:
            node.discovery.stop()
        discovery.server.close()
        limit = recovered + ANNOUNCED_AFTER_S + GRACE_S
        return list(delays.values()), sum(recovered <= at <= limit for at in discovery.calls)


MODES = ["503", "refused", "reset", "never up", "stops", "silent", "late"]


@pytest.mark.parametrize("length", [1.0, 8.0, 60.0])
@pytest.mark.parametrize("mode", MODES)
def test_drain_is_learned_in_time_after_an_outage(mode, length):
    count = 25
    delays, calls = jump.run(lambda: outage(mode, length, count))
    assert len(delays) == count
    assert max(delays) <= ANNOUNCED_AFTER_S + GRACE_S, f"{max(delays):.2f} s"
    # the calls after the recovery do not exceed the capacity of discovery
    assert calls * SERVICE_S < 0.7 * (ANNOUNCED_AFTER_S + GRACE_S), calls
