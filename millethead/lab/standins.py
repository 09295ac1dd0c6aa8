"""Stand-ins on loopback for the platform's other parties: discovery, HTTP workers, Faktory workers and clients.

They speak the platform's HTTP/1.1 and the Faktory work protocol (version 2) as the specifications have them, with
asyncio's streams, so that no code of the program under test is on both sides.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

Pair = tuple[asyncio.StreamReader, asyncio.StreamWriter]
LIMIT = 1 << 20


class Now(Protocol):
    """How long things take here: a clock that may run faster than time."""

    speed: float

    def now(self) -> float: ...


class Ledger:
    """What the workers saw: how often each job began to run, and where."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.where: dict[str, list[str]] = {}
        self.broken: set[str] = set()  # ids that end in an error
        self.work: Callable[[str], float] = lambda job_id: 0.0  # ms that a job takes

    def begins(self, job_id: str, worker: str) -> None:
        self.runs[job_id] += 1
        self.where.setdefault(job_id, []).append(worker)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """(start line, fields by lower-case name, body) of an HTTP message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:] if line)}
    return lines[0], fields, await reader.readexactly(int(fields.get("content-length", 0)))


def message(start: str, body: bytes = b"", **fields: object) -> bytes:
    lines = [start, "Host: lab", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Listener:
    """A server on a free port of loopback, with all that it started."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=LIMIT)
        self.port = self._server.sockets[0].getsockname()[1]

    def spawn(self, what: Any) -> None:
        task = asyncio.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.spawn(self._talk(reader, writer))

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            await self.talk(reader, writer)
        writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Discovery(Listener):
    """The list of workers, and watches on it."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed = asyncio.Condition()
        self._log: list[tuple[int, dict[str, Any]]] = []

    def put(self, name: str, **entry: Any) -> None:
        """Set an entry before the program starts."""
        self.entries[name] = {
            "name": name,
            "zone": "tbilisi",
            "type": "newer-box",
            "group": 1,
            "weight": 1.0,
            "status": "in_service",
            "since_ms": 0,
            **entry,
        }

    async def change(self, name: str, **entry: Any) -> None:
        self.entries[name] |= entry
        self.index += 1
        self._log.append((self.index, dict(self.entries[name])))
        async with self._changed:
            self._changed.notify_all()

    def whole(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        start, _, _ = await read_message(reader)
        if "follow=1" not in start:
            writer.write(message("HTTP/1.1 200 OK", json.dumps(self.whole()).encode()))
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        seen = self.index
        news: list[dict[str, Any] | None] = [self.whole()]
        while True:
            for item in news or [None]:
                line = (json.dumps(item) if item else "").encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            async with self._changed:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), 2.0)
            news = [{"index": n, "snapshot": False, "endpoints": [e]} for n, e in self._log if n > seen]
            seen = self.index


class HttpWorker(Listener):
    """A worker with slots and a queue. `dark`: it takes jobs, answers probes, and runs nothing."""

    def __init__(self, name: str, clock: Now, ledger: Ledger, slots: int = 2, queue: int = 2) -> None:
        super().__init__()
        self.name, self.clock, self.ledger = name, clock, ledger
        self.slots, self.queue, self.dark, self.dispatcher = slots, queue, False, 0
        self.fails = False  # every job ends in an error
        self.more: list[int] = []  # further dispatchers that are told, whosever job it was
        self.held: dict[str, asyncio.Task[None]] = {}
        self._free = asyncio.Semaphore(slots)
        self.running = 0

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            start, fields, _ = await read_message(reader)
            verb, target, _ = start.split(" ")
            if verb == "GET":
                free = self.slots - self.running
                report = f"lat_ms=9.5,rif={len(self.held)},x0={free}"
                writer.write(message("HTTP/1.1 200 OK", report.encode()))
            elif verb == "DELETE":
                task = self.held.pop(target.rpartition("/")[2], None)
                if task is not None:
                    task.cancel()
                writer.write(message("HTTP/1.1 204 No Content"))
            elif len(self.held) >= self.slots + self.queue:
                writer.write(message("HTTP/1.1 503 Service Unavailable", X_Not_Processed=1))
            else:
                job_id = fields["x-request-id"]
                writer.write(message("HTTP/1.1 202 Accepted"))
                if not self.dark:
                    task = self.held[job_id] = asyncio.create_task(self._run(job_id))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            await writer.drain()

    async def _run(self, job_id: str) -> None:
        try:
            async with self._free:
                self.running += 1
                try:
                    self.ledger.begins(job_id, self.name)
                    await asyncio.sleep(self.ledger.work(job_id) / 1000 / self.clock.speed)
                finally:
                    self.running -= 1
        finally:
            if self.held.get(job_id) is asyncio.current_task():
                del self.held[job_id]
        if not self.dark:
            fails = self.fails or job_id in self.ledger.broken
            state = {"state": "failed"} if fails else {"state": "done", "result": "done"}
            news = {"id": job_id, "from": self.name, **state}
            await asyncio.gather(*(self._tell(port, news) for port in (self.dispatcher, *self.more) if port))

    async def _tell(self, port: int, news: dict[str, Any]) -> None:
        for pause in (0.0, 0.1, 0.5, 1.0):
            await asyncio.sleep(pause)
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(message("POST /_jobs/news HTTP/1.1", json.dumps(news).encode(), Connection="close"))
                start, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in start:
                    return


class Faktory:
    """One connection that speaks the Faktory work protocol."""

    def __init__(self, pair: Pair) -> None:
        self.reader, self.writer = pair

    @classmethod
    async def open(cls, port: int, wid: str | None = None) -> Faktory:
        made = cls(await asyncio.open_connection("127.0.0.1", port, limit=LIMIT))
        await made.reader.readline()
        hello = {"v": 2, "hostname": "lab"} | ({"wid": wid} if wid else {})
        assert await made.ask("HELLO " + json.dumps(hello)) == "OK"
        return made

    async def ask(self, line: str) -> Any:
        """The reply: a text, an error's text with its '-', or what a bulk string holds as JSON."""
        self.writer.write(line.encode() + b"\r\n")
        head = (await self.reader.readline()).decode()
        if not head:
            raise ConnectionError("the connection ended")
        if head[0] != "$":
            return head[1:-2] if head[0] == "+" else head[:-2]
        size = int(head[1:])
        return None if size < 0 else json.loads((await self.reader.readexactly(size + 2))[:-2])

    def close(self) -> None:
        self.writer.close()


async def fetch_loop(port: int, wid: str, queues: str, clock: Now, ledger: Ledger) -> None:
    """A Faktory worker's one thread: fetch, run, ACK or FAIL, until it is cancelled."""
    link = await Faktory.open(port, wid)
    try:
        while True:
            job = await link.ask(f"FETCH {queues}")
            if job is None:
                continue
            ledger.begins(job["jid"], wid)
            await asyncio.sleep(ledger.work(job["jid"]) / 1000 / clock.speed)
            if job["jid"] in ledger.broken:
                await link.ask("FAIL " + json.dumps({"jid": job["jid"], "errtype": "Broken", "message": "told to"}))
            else:
                await link.ask("ACK " + json.dumps({"jid": job["jid"]}))
    finally:
        link.close()


async def post(port: int, job_id: str, **fields: object) -> tuple[int, dict[str, str]]:
    """Hand one job in over HTTP/1.1 and wait for its answer: (status, fields)."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=LIMIT)
    try:
        writer.write(message("POST /api HTTP/1.1", b"body", X_Request_ID=job_id, **fields))
        start, answer, _ = await read_message(reader)
        return int(start.split(" ")[1]), answer
    finally:
        writer.close()
