"""Runs the dispatcher with stand-in peers, and replays recorded byte exchanges against it.

All connections use loopback addresses and free ports. A recording is a text file with lines of these forms:

    PARTY > TEXT   the party sends the text
    PARTY < TEXT   the party must receive exactly the text
    PARTY > END    the party closes its connection; RESET aborts it
    PARTY < END    the dispatcher must close the connection
    PARTY < OPEN   the dispatcher must open a connection to the party

Escapes are \\r, \\n, \\\\ and \\xHH. {n} is the length of the body, {z*N} is N times the letter z, and {hN} is the
address of worker N. In received text, <*> matches anything up to the text that follows.

The parties client* and faktory* connect to the HTTP and the Faktory front end. workerN.C is the connection C that
worker N accepts, and discovery.C one that service discovery accepts. Workers 1 and 2 are in the initial worker list.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import tempfile
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

from millethead.config import load_config
from millethead.operators import load_operator
from millethead.program import Program

TIMEOUT_S = 20.0  # only reached by a failing test
# Timeouts of the dispatcher that no test checks are raised to TIMEOUT_S, so that a slow machine does not change a
# result. For the same reason goal_time, after which a waiting job counts as late, is long in CLASSES.
RAISED_TIMEOUTS = (
    "millethead.net.accept.FIRST_REQUEST_TIMEOUT_S",
    "millethead.net.accept.REQUEST_TIMEOUT_S",
    "millethead.net.accept.NO_JOB_IDLE_TIMEOUT_S",
    "millethead.frontends.faktory.session.FIRST_REQUEST_TIMEOUT_S",
    "millethead.frontends.faktory.session.REQUEST_TIMEOUT_S",
    "millethead.net.probes.PROBE_TIMEOUT_S",
    "millethead.net.send.CANCEL_TIMEOUT_S",
    "millethead.frontends.faktory.session.FETCH_WAIT_S",
    "millethead.console.server.CALL_TIMEOUT_S",
)
CLASSES: list[dict[str, Any]] = [
    {"name": "desk-search", "deadline": 7500.0, "goal_time": 30000.0, "effect": "retryable", "worth": 2.0},
    {"name": "paid-booking", "deadline": 15000.0, "goal_time": 30000.0, "effect": "fragile", "worth": 10.0},
    {
        "name": "refund",
        "deadline": 15000.0,
        "goal_time": 30000.0,
        "effect": "dedup",
        "dedup_scope": "cell",
        "window": 25000.0,
        "worth": 8.0,
    },
]
SETTINGS: dict[str, Any] = {
    "azs": ["tbilisi", "kutaisi"],
    "kinds": ["newer-box", "older-box"],
    "classes": CLASSES,
    "tenants": [{"name": "rustaveli-desks", "quota_rps": 8.0}, {"name": "rioni-hub", "quota_rps": 3.0}],
    "family_info": {"class_stretch": [2.0, 2.0, 1.75], "report_x0": "free slots", "tells_start": False},
    "membership_mode": "subscribe",
    "report": {"columns": ["lat_ms", "rif", "x0"], "how": "probe"},
    "permissions": {
        "cancel": True,
        "connect_timeout": 20000.0,
        "keepalive": 60000.0,
        "parallel_tries": True,
        "probes": True,
        "try_limit": 5,
    },
    "rules": {
        "ask_every": 10000.0,
        "cold": 8000.0,
        "cold_from": 0.32,
        "drain_grace": 750.0,
        "fall": 1500.0,
        "fall_multiple": 3.0,
        "grace_to_answer": 20.0,
    },
    "prices": {"cross_zone": 0.041, "probe": 0.0024},
    "tick": 5.0,
    "zone": 0,
    "balancers": 1,
}
OPERATOR = """
[faktory]
listen = "127.0.0.1:0"
[faktory.classes.paid-booking]
jobtypes = ["ChargeMember"]
queues = ["payments"]
[faktory.classes.refund]
jobtypes = ["GiveBack"]
[faktory.classes.desk-search]
queues = ["default"]
"""
PASSWORD = OPERATOR.replace("listen", 'password_file = "password"\nlisten')


def endpoint(number: int, port: int, **fields: Any) -> dict[str, Any]:
    """A worker in the format of service discovery; `fields` are added or replace the defaults."""
    return {
        "name": f"s-{number:08x}",
        "address": f"127.0.0.1:{port}",
        "zone": "tbilisi",
        "type": "newer-box",
        "group": number,
        "status": "in_service",
        "weight": 1.0,
        "since_ms": 0,
        **fields,
    }


class PeerListener:
    """A listening socket. Accepted connections are queued in order."""

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        self.port = 0

    async def open(self) -> PeerListener:
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.accepted.put((reader, writer))

    def close(self) -> None:
        self._server.close()


class DispatcherFixture:
    """A running dispatcher with stand-in workers and service discovery, for one test."""

    def __init__(
        self, operator: str = "", settings: dict[str, Any] | None = None, workers: int = 2, console: bool = False
    ) -> None:
        self.operator, self.settings, self.count = operator, settings or SETTINGS, workers
        self.console = console

    async def __aenter__(self) -> DispatcherFixture:
        self.patches: list[Any] = [mock.patch(name, TIMEOUT_S) for name in RAISED_TIMEOUTS]
        # reports of workers do not become stale, since that would cause probes that are not in the recordings
        timeout_ms = TIMEOUT_S * 1000
        self.patches.append(mock.patch("millethead.decide.balance.Balancer._report_lifetime", lambda _: timeout_ms))
        self.patches.append(mock.patch("millethead.decide.balance.CONFIRM_TIMEOUT_MS", timeout_ms))
        # the stage for delayed jobs does all its pending work before the next line of a recording is read
        self.patches.append(mock.patch("millethead.waiting.stage.SLICE_MS", timeout_ms))
        for patch in self.patches:
            patch.start()
        self.folder = tempfile.TemporaryDirectory()
        base = Path(self.folder.name)
        self.workers = [await PeerListener().open() for _ in range(self.count)]
        self.discovery = await PeerListener().open()
        known = {
            "index": 41,
            "snapshot": True,
            "endpoints": [endpoint(n + 1, w.port) for n, w in enumerate(self.workers)],
        }
        self.path = base / "config.json"
        self.config = {
            "name": "n1",
            "seed": "1",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "limits": {"sockets": 256},
            "known": known,
            "settings": self.settings,
        }
        if self.console:
            self.config["console"] = "127.0.0.1:0"
        self.path.write_text(json.dumps(self.config))
        (base / "operator.toml").write_text(self.operator)
        (base / "password").write_text("tea\n")
        load = partial(load_config, {"BALANCER_CONFIG": str(self.path)})
        config = load()
        operator = load_operator(str(base / "operator.toml"), config.names("classes"), config.names("azs"))
        self.program = Program(config, operator, load)
        self.task = asyncio.create_task(self.program.run())
        while not self.program.serving.is_set():
            await asyncio.sleep(0)
            if self.task.done():
                self.task.result()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.program.finish()
        await asyncio.wait_for(self.task, TIMEOUT_S)
        for listener in (*self.workers, self.discovery):
            listener.close()
        self.folder.cleanup()
        for patch in self.patches:
            patch.stop()

    def port(self, party: str) -> int:
        server = (
            self.program.console
            if party == "console"
            else self.program.faktory
            if party.startswith("faktory")
            else self.program.acceptor
        )
        assert server is not None
        listening: socket.socket = next(iter(server._sockets.values()))
        return int(listening.getsockname()[1])


def unescape(text: str) -> str:
    """Resolves the escapes of a recording. Each character of the result stands for one byte."""
    return re.sub(
        r"\\(x[0-9a-f]{2}|.)", lambda m: {"r": "\r", "n": "\n", "\\": "\\"}.get(m[1]) or chr(int(m[1][1:], 16)), text
    )


class Player:
    """Replays recordings against one dispatcher."""

    def __init__(self, dispatcher: DispatcherFixture) -> None:
        self.dispatcher = dispatcher
        self.connections: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self.position = ""

    async def connection(self, party: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if party not in self.connections:
            name, _, _ = party.partition(".")
            if name.startswith("worker"):
                self.connections[party] = await self.dispatcher.workers[int(name[6:]) - 1].accepted.get()
            elif name == "discovery":
                self.connections[party] = await self.dispatcher.discovery.accepted.get()
            else:
                self.connections[party] = await asyncio.open_connection("127.0.0.1", self.dispatcher.port(party))
        return self.connections[party]

    async def play(self, path: Path) -> None:
        """Replays one recording; raises AssertionError that names the line."""
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if not line.strip() or line.startswith("#"):
                continue
            self.position = f"{path.name}:{number}"
            match = re.fullmatch(r"(\S+) ([<>]) ?(.*)", line)
            assert match, f"{self.position}: not a line of a recording"
            try:
                await asyncio.wait_for(self.step(*match.groups()), TIMEOUT_S)
            except TimeoutError:
                raise AssertionError(f"{self.position}: nothing more came for {line!r}") from None

    async def step(self, party: str, direction: str, text: str) -> None:
        for n, worker in enumerate(self.dispatcher.workers, 1):
            text = text.replace(f"{{h{n}}}", f"127.0.0.1:{worker.port}")
        text = re.sub(r"\{z\*(\d+)\}", lambda m: "z" * int(m[1]), text)
        if "{n}" in text:
            text = text.replace("{n}", str(len(unescape(text).partition("\r\n\r\n")[2])))
        reader, writer = await self.connection(party)
        if text == "OPEN":
            return
        if direction == ">":
            if text == "END":
                writer.close()
            elif text == "RESET":
                writer.transport.abort()
            else:
                writer.write(unescape(text).encode("latin-1"))
                await writer.drain()
        elif text == "END":
            try:
                rest = await reader.read()
            except ConnectionError:
                rest = b""
            assert rest == b"", f"{self.position}: {rest!r} came before the end"
        else:
            await self.receive(reader, text)

    async def receive(self, reader: asyncio.StreamReader, text: str) -> None:
        """Reads until the expected text has been received."""
        parts = [unescape(part).encode("latin-1") for part in text.split("<*>")]
        got = b""
        for n, part in enumerate(parts):
            at = len(got)
            while not (got[at:] == part if n == 0 else got.endswith(part) and len(got) - at >= len(part)):
                assert n or part.startswith(got[at:]), f"{self.position}: {got!r} came"
                byte = await reader.read(1)
                assert byte, f"{self.position}: the connection ended after {got!r}"
                got += byte


async def play(path: Path, operator: str = "") -> None:
    """Starts a dispatcher with these operator settings and replays a recording against it."""
    async with DispatcherFixture(operator) as dispatcher:
        player = Player(dispatcher)
        try:
            await player.play(path)
        finally:
            for _, writer in player.connections.values():
                writer.close()
