"""Shortage of descriptors: idle connections are closed, no others, and the listener recovers."""

import asyncio
import errno
import json
import os
import resource
import socket
import sys
from contextlib import suppress
from pathlib import Path
from unittest import mock

import pytest
from dispatcher_fixture import SETTINGS, TIMEOUT_S, DispatcherFixture, PeerListener, endpoint
from test_client_races import UP, Client, job, soon

from millethead.lab.pack import free_port
from millethead.net import accept

ROOT = Path(__file__).parent.parent
MAX_DESCRIPTORS = 96  # descriptors of the program


class Listener:
    """A listener whose `accept` fails with a descriptor error while `fails` is set."""

    def __init__(self, sock, error):
        self.sock, self.error, self.calls, self.fails = sock, error, 0, True

    def accept(self):
        self.calls += 1
        if self.fails:
            raise OSError(self.error, os.strerror(self.error))
        return self.sock.accept()

    def __getattr__(self, name):
        return getattr(self.sock, name)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
async def test_listener_pauses_after_a_failed_accept_and_recovers(monkeypatch, error):
    pauses = []
    async with DispatcherFixture() as dispatcher:
        server, loop = dispatcher.program.acceptor, asyncio.get_running_loop()
        idle = Client(dispatcher)
        idle.send(UP)
        await idle.until(b"ready\n")
        await soon(lambda: all(conn.reader_blocked() for conn in server.open))
        ((fd, sock),) = server._sockets.items()
        listener = server._sockets[fd] = Listener(sock, error)
        later = accept.IOLoop.current().call_later
        monkeypatch.setattr(
            accept.IOLoop.current(),
            "call_later",
            lambda s, call: pauses.append(call) if (s == accept.ACCEPT_PAUSE_S) else later(s, call),
        )
        one = Client(dispatcher)
        one.send(UP)
        await soon(lambda: pauses)
        for _ in range(50):
            await asyncio.sleep(0)
        assert (listener.calls, len(pauses)) == (1, 1)
        assert not server.open and await idle.recv() == b""  # evicted
        listener.fails = False
        pauses.pop()()
        assert (await one.until(b"ready\n")).startswith(b"HTTP/1.1 200 ")
        server._sockets[fd] = sock
        assert loop.is_running()


async def test_few_connections_are_accepted_before_the_limit_is_checked():
    async with DispatcherFixture() as dispatcher:
        server = dispatcher.program.acceptor
        server.limit, counts, handle = 4, [], accept.Server.handle_stream

        async def count(self, stream, address):
            counts.append(len(self.open) + self._pending_accepts)
            await handle(self, stream, address)

        with mock.patch.object(accept.Server, "handle_stream", count):
            crowd = [Client(dispatcher) for _ in range(100)]
            await soon(lambda: len(counts) == 100)
            await asyncio.sleep(0)
        assert max(counts) <= 4 + accept.MAX_PENDING_ACCEPTS
        assert len(server.open) == 4
        for one in crowd:
            one.close()


async def test_connections_are_reserved_for_call_backs():
    """With a waiting client on each connection no worker could send a call-back, and all jobs timed out."""
    async with DispatcherFixture() as dispatcher:
        dispatcher.path.write_text(json.dumps({**dispatcher.config, "limits": {"sockets": 40}}))
        dispatcher.program.reload()
        acceptor = dispatcher.program.acceptor
        crowd = [Client(dispatcher) for _ in range(acceptor.limit)]
        for n, one in enumerate(crowd):
            one.send(job(b"j%d" % n))
        exchange = dispatcher.program.exchange
        await soon(lambda: exchange.held + sum(exchange.counters.refused) == acceptor.limit)
        assert exchange.held == acceptor.limit - 4
        body = json.dumps({"id": "j0", "from": "s-00000001", "state": "done", "result": "ok"}).encode()
        for _ in range(9):
            worker = Client(dispatcher)
            worker.send(b"POST /_jobs/news HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            assert (await worker.until(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            crowd.append(worker)
        for one in crowd:
            one.close()


async def test_clients_that_only_connect_do_not_disturb_others(tmp_path):
    """Runs the dispatcher process with a low descriptor limit and discovery down at first, while 3,000 clients connect
    without sending a request."""
    discovery, worker, port, console = free_port(), await PeerListener().open(), free_port(), free_port()
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{port}",
                "console": f"127.0.0.1:{console}",
                "seed": "1",
                "discovery": f"127.0.0.1:{discovery}",
                "limits": {"sockets": MAX_DESCRIPTORS},
                "settings": SETTINGS,
                "known": {
                    "index": 1,
                    "snapshot": True,
                    "endpoints": [endpoint(1, worker.port), endpoint(2, 9, status="terminating")],
                },
            }
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "millethead",
        "serve",
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(tmp_path)},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS)),
    )
    crowd, lines, tasks = [], [], []

    async def read():
        while line := await process.stdout.readline():
            lines.append(line)

    async def ask(where, text, end):
        async with asyncio.timeout(TIMEOUT_S):
            while True:  # a close before the answer is followed by a retry on a new connection
                with suppress(ConnectionError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", where)
                    writer.write(text)
                    got = await reader.readuntil(end)
                    writer.close()
                    return got

    async def work():
        while True:
            tasks.append(asyncio.create_task(serve(*await worker.accepted.get())))

    async def serve(reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if head.startswith(b"GET"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=9")
                    continue
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                name = head.partition(b"X-Request-ID: ")[2].split(b"\r")[0].decode()
                body = json.dumps({"id": name, "from": "s-00000001", "state": "done", "result": "ok"}).encode()
                await ask(
                    port,
                    b"POST /_jobs/news HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
                    b"\r\n\r\n",
                )

    tasks += [asyncio.create_task(read()), asyncio.create_task(work())]
    try:
        await soon_real(lambda: any(b"event=serving" in line for line in lines))
        served = 0
        for n in range(30):
            for _ in range(100):
                sock = socket.socket()
                sock.setblocking(False)
                with suppress(BlockingIOError):
                    sock.connect(("127.0.0.1", port))
                crowd.append(sock)
            served += b" 200 " in await ask(port, job(b"c%d" % n), b"\r\n\r\n")
            assert b" 200 " in await ask(console, b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n", b"\r\n\r\n")
            for sock in crowd[:-200]:
                sock.close()
            del crowd[:-200]
            if n == 15:
                agent = await asyncio.start_server(watch, "127.0.0.1", discovery)
        assert served == 30
        await soon_real(lambda: any(b"worker_state" in line and b"gone" in line for line in lines))
        assert process.returncode is None
        assert not any(b"Traceback" in line or b"library_says" in line for line in lines)
        agent.close()
    finally:
        for sock in crowd:
            sock.close()
        process.kill()
        await process.wait()
        worker.close()
        for task in tasks:
            task.cancel()


async def watch(reader, writer):
    with suppress(ConnectionError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n\r\n")
        line = (
            json.dumps({"index": 2, "snapshot": False, "endpoints": [endpoint(2, 9, status="terminated")]}).encode()
            + b"\n"
        )
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
        await reader.read()


async def soon_real(condition):
    """Waits in real time until `condition` holds, for events of another process."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)
