"""A pack of dispatchers: several processes of the program that know each other, through a relay with faults.

What they say is read from their structured logs; `audit.py` holds it against what must be true.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from millethead.lab.faults import Faults, Relay

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
KEPT = {"member", "fleet_share", "member_message_dropped", "serving", "ended", "members_join"}
_given = set[int]()  # ports whose owners may not have started yet


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that nobody has, below those that the system gives to outgoing connections: one of these could take it
    before its owner starts, or between two of its processes."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket(socket.AF_INET, kind) as sock, suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in _given:
                _given.add(port)
                return port


@dataclass(slots=True)
class Said:
    """One log line: when (time.monotonic, one clock for all processes of a machine), by whom, and its fields."""

    at: float
    node: str
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class Times:
    """Figures of [members], ms."""

    period: float = 200.0
    timeout: float = 80.0
    window: float = 4000.0
    lease: float = 1500.0


@dataclass(slots=True)
class Node:
    """One dispatcher, whichever process of it runs now."""

    name: str
    udp: int
    advertised: int
    console: int
    client: int
    version: str = "1"
    process: asyncio.subprocess.Process | None = None
    reading: asyncio.Task[None] | None = None
    views: dict[str, str] = field(default_factory=dict)  # what its last line said of each other one
    lines: list[str] = field(default_factory=list)  # the last ones, for a failure's message


class Pack:
    """`settings`: the configuration's; `extra`: more text for each operator's file, made from the node's name."""

    def __init__(
        self,
        folder: Path,
        settings: dict[str, Any],
        faults: Faults,
        times: Times | None = None,
        stewards: int = 3,
        extra: Callable[[str], str] | None = None,
    ) -> None:
        self.folder, self.settings, self.times = folder, settings, times or Times()
        self.faults, self.relay, self.stewards, self.extra = faults, Relay(faults), stewards, extra
        self.nodes: dict[str, Node] = {}
        self.said: list[Said] = []
        self.known: dict[str, Any] | None = None
        self.discovery = "127.0.0.1:9"
        (folder / "key").write_bytes(b"k" * 32)

    async def open(self, count: int) -> Pack:
        for n in range(count):
            await self.add(f"d{n}")
        for node in self.nodes.values():
            await self.start(node.name)
        return self

    async def add(self, name: str) -> Node:
        udp = free_port(socket.SOCK_DGRAM)
        node = self.nodes[name] = Node(name, udp, await self.relay.add(name, udp), free_port(), free_port())
        return node

    def _files(self, node: Node) -> tuple[Path, Path]:
        times, others = self.times, [n for n in self.nodes.values() if n is not node][:4]
        seeds = ", ".join(f'"127.0.0.1:{n.advertised}"' for n in others)
        stewards = ", ".join(f'"d{n}"' for n in range(self.stewards))
        operator, config = self.folder / f"{node.name}.toml", self.folder / f"{node.name}.json"
        operator.write_text(
            f'[members]\nlisten = "127.0.0.1:{node.udp}"\nadvertise = "127.0.0.1:{node.advertised}"\n'
            f'key_file = "{self.folder / "key"}"\nseeds = [{seeds}]\nstewards = [{stewards}]\n'
            f'version = "{node.version}"\n'
            f"period = {times.period}\ntimeout = {times.timeout}\nwindow = {times.window}\nlease = {times.lease}\n"
            + (self.extra(node.name) if self.extra is not None else "")
        )
        config.write_text(
            json.dumps(
                {
                    "name": node.name,
                    "seed": f"{self.faults.seed & 0xFFFFFFFF:x}",
                    "listen": f"127.0.0.1:{node.client}",
                    "console": f"127.0.0.1:{node.console}",
                    "discovery": self.discovery,
                    "limits": {"sockets": 256},
                    "known": self.known,
                    "settings": self.settings,
                }
            )
        )
        return operator, config

    async def start(self, name: str) -> None:
        node = self.nodes[name]
        operator, config = self._files(node)
        node.views.clear()
        place = self.folder / f"tmp-{name}"
        place.mkdir(exist_ok=True)
        node.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "millethead",
            "serve",
            f"--operator={operator}",
            "--log-level=debug",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 20,
            env={**os.environ, "BALANCER_CONFIG": str(config), "TMPDIR": str(place)},
        )
        node.reading = asyncio.create_task(self._read(node, node.process))

    async def _read(self, node: Node, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            text = line.decode(errors="replace")
            node.lines[:] = [*node.lines[-20:], text]
            fields = {key: value.strip('"') for key, value in FIELD.findall(text)}
            event = fields.get("event", "")
            if event not in KEPT and not event.startswith("rollout_"):
                continue
            at = float(fields.get("mono", 0.0)) or time.monotonic()
            self.said.append(Said(at, node.name, event, fields))
            if event == "member":
                node.views[fields["member"]] = fields["state"]

    # ---- what happens to processes -----------------------------------------------------------------------

    def signal(self, name: str, number: signal.Signals) -> float:
        """Returns when it was sent."""
        process = self.nodes[name].process
        assert process is not None
        with suppress(ProcessLookupError):
            process.send_signal(number)
        return time.monotonic()

    def kill(self, name: str) -> float:
        return self.signal(name, signal.SIGKILL)

    async def ended(self, name: str) -> int:
        process = self.nodes[name].process
        assert process is not None
        return await asyncio.wait_for(process.wait(), 30)

    def running(self, name: str) -> bool:
        process = self.nodes[name].process
        return process is not None and process.returncode is None

    async def close(self) -> None:
        for name, node in self.nodes.items():
            if self.running(name):
                self.signal(name, signal.SIGCONT)
                self.kill(name)
            if node.process is not None:
                await node.process.wait()
            if node.reading is not None:
                await asyncio.gather(node.reading, return_exceptions=True)
        self.relay.close()

    # ---- what they say ---------------------------------------------------------------------------------

    async def until(self, test: Callable[[], bool], seconds: float = 30.0) -> float:
        """Wait for it; returns how long that took. Raises AssertionError with what the nodes said last."""
        began = time.monotonic()
        while not test():
            if time.monotonic() - began > seconds:
                raise AssertionError(
                    f"seed {self.faults.seed}: not within {seconds} s\n"
                    + "\n".join(f"{n.name}: {n.views}\n{''.join(n.lines[-4:])}" for n in self.nodes.values())
                )
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    def agree(self, names: list[str] | None = None, state: str = "alive") -> bool:
        """Whether each of these sees all the others of them in this state."""
        names = names or [name for name in self.nodes if self.running(name)]
        return all(self.nodes[a].views.get(b) == state for a in names for b in names if a != b)

    async def together(self, seconds: float = 40.0) -> float:
        """Until all of them see each other alive."""
        names = list(self.nodes)
        return await self.until(lambda: self.agree(names), seconds)

    async def call(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, str]:
        """A call of the staff; (0, why) where nobody answers."""
        data = b"" if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.nodes[name].console)
                head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                said = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError) as error:
            return 0, str(error)
        head, _, text = said.partition("\r\n\r\n")
        return int(head.split(" ")[1]) if " " in head else 0, text
