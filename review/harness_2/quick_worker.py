"""A stand-in worker in a process of its own, which answers each call within a millisecond however much runs there.

python3 -m review.harness_2.quick_worker ADDRESS CONTROL SERVICE ZONE INSTANCE RECORD

It keeps to the pages: runs with their numbers, holds on its own steady clock, fences, ends by rising number, stops that
take STOP_MS. The spec of a task is "SECONDS CPU MEM_MB". RECORD gets a line for each start and each end, with the
seconds of the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import sys
import time
from pathlib import Path
from typing import Any

HEARTBEAT_S = 1.4
HOLD_MAX_MS = 6000
STOP_MS = 50
MOST_ENDS = 500
CAPACITY = {"cpu": 32_000, "mem_mb": 65_536, "gpu": 0}
Key = tuple[str, int]


class Worker:
    """What runs at the worker. All times are milliseconds of its clock."""

    def __init__(self, record: Path) -> None:
        self._record = record.open("w")
        self.runs: dict[Key, float] = {}  # until when each works
        self._due: list[tuple[float, Key, str]] = []
        self._closed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._count = self._fence = 0
        self._held_until = 0.0
        self.changed = asyncio.Event()

    @staticmethod
    def clock() -> float:
        return time.monotonic() * 1000

    def _note(self, what: str, key: Key) -> None:
        self._record.write(f"{time.monotonic():.3f} {what} {key[0]} {key[1]}\n")
        self._record.flush()

    def _end(self, key: Key, how: str) -> None:
        if self.runs.pop(key, None) is None:
            return
        self._closed[key[0]] = max(self._closed.get(key[0], 0), key[1])
        self._count += 1
        self._ends.append([self._count, key[0], key[1], how, ""])
        self._note(how, key)
        self.changed.set()

    def advance(self) -> None:
        """Let everything happen that was due by now."""
        now = self.clock()
        while self._due and self._due[0][0] <= now:
            _, key, how = heapq.heappop(self._due)
            self._end(key, how)
        if self.runs and now > self._held_until:
            for key in list(self.runs):
                self._end(key, "lapsed")

    def next_event(self) -> float:
        """When something next happens by itself."""
        return min(self._due[0][0] if self._due else 1e18, self._held_until if self.runs else 1e18)

    def _hold_until(self, deadline: float) -> None:
        self._held_until = max(self._held_until, min(deadline, self.clock() + HOLD_MAX_MS))

    def lists(self, last_seen: int) -> dict[str, Any]:
        running = [[task, run, "", 0] for task, run in self.runs]
        exited = [end for end in self._ends if end[0] > last_seen][:MOST_ENDS]
        return {"clock_ms": int(self.clock()), "running": running, "exited": exited}

    def has_news(self, last_seen: int) -> bool:
        return bool(self._ends) and self._ends[-1][0] > last_seen

    def call(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry a call out; a hold is answered by `lists`."""
        self.advance()
        clock = {"clock_ms": int(self.clock())}
        if body.get("fence", 0) < self._fence:
            return 409, clock | {"reason": "fence"}
        self._fence = body.get("fence", 0)
        if path == "/-/run-start":
            return self._start(body, clock)
        if path == "/-/run-stop":
            key = (body["task"], body["run"])
            if key in self.runs:
                heapq.heappush(self._due, (self.clock() + STOP_MS, key, "stopped"))
            else:
                self._closed[key[0]] = max(self._closed.get(key[0], 0), key[1])
            return 200, clock
        if path == "/-/hold":
            if "deadline_ms" in body:
                self._hold_until(body["deadline_ms"])
            seen = body.get("last_seen", 0)
            self._ends = [end for end in self._ends if end[0] > seen]
            return 200, {}
        return 404, clock

    def _start(self, body: dict[str, Any], clock: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        key = (body["task"], body["run"])
        if key in self.runs:
            return 200, clock
        if body["deadline_ms"] <= self.clock():
            return 409, clock | {"reason": "late"}
        self._hold_until(body["deadline_ms"])
        if key[1] <= self._closed.get(key[0], 0):
            return 409, clock | {"reason": "old"}
        until = self.clock() + 1000 * float(body["spec"].split()[0])
        self.runs[key] = until
        heapq.heappush(self._due, (until, key, "done"))
        self._note("start", key)
        return 200, clock


class Server:
    """HTTP/1.1 for the worker."""

    def __init__(self, worker: Worker, instance: str) -> None:
        self._worker, self._instance = worker, instance

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                status, answer = await self._answer(head[0].split()[1], fields, json.loads(body or b"{}"))
                data = json.dumps(answer, separators=(",", ":")).encode()
                lines = (f"HTTP/1.1 {status} OK", "Content-Type: application/json", f"Content-Length: {len(data)}")
                writer.write("\r\n".join((*lines, "", "")).encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, path: str, fields: dict[str, str], body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if path == "/healthz":
            return 200, {}
        if fields.get("x-expect-instance", self._instance.lower()) != self._instance.lower():
            return 421, {}
        status, answer = self._worker.call(path, body)
        if path != "/-/hold" or status != 200:
            return status, answer
        seen, until = body.get("last_seen", 0), time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._worker.has_news(seen) and time.monotonic() < until:
            self._worker.changed.clear()
            left = until - time.monotonic()
            try:
                await asyncio.wait_for(self._worker.changed.wait(), max(0.0, left))
            except TimeoutError:
                break
        self._worker.advance()
        return 200, self._worker.lists(seen)


async def beat(control: str, instance: str, description: dict[str, Any]) -> None:
    """Beat to the agent, again and again."""
    host, port = control.rsplit(":", 1)
    sequence = 0
    while True:
        sequence += 1
        body = json.dumps(description | {"clock_ms": int(Worker.clock()), "seq": sequence}).encode()
        head = f"PUT /-/instances/{instance} HTTP/1.1\r\nHost: {control}\r\nContent-Length: {len(body)}\r\n"
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"Content-Type: application/json\r\nConnection: close\r\n\r\n" + body)
            await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(HEARTBEAT_S if sequence > 3 else 0.3)


async def main(address: str, control: str, service: str, zone: str, instance: str, record: str) -> None:
    worker = Worker(Path(record))
    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(Server(worker, instance).serve, host, int(port))
    description = {
        "service": service,
        "addr": address,
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": CAPACITY,
        "labels": ["a", f"{zone}-1"],
    }
    beating = asyncio.create_task(beat(control, instance, description))
    async with server:
        while not beating.done():
            worker.advance()
            await asyncio.sleep(min(0.02, max(0.001, (worker.next_event() - worker.clock()) / 1000)))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
