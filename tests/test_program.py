"""The dispatcher process: configuration, operator's file, commands, signals, and units of the network code."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from contextlib import suppress
from pathlib import Path
from unittest import mock

import structlog
from dispatcher_fixture import SETTINGS, TIMEOUT_S, DispatcherFixture, PeerListener, endpoint
from tornado.ioloop import IOLoop

from millethead.config import ConfigError
from millethead.decide.interface import WorkerState
from millethead.exchange import Worker, WorkerListing
from millethead.logs import RateLimitedLog
from millethead.net.accept import MAX_CONSECUTIVE_ERRORS
from millethead.net.buffer import MAX_BUFFER_BYTES, Buffer
from millethead.net.discovery import InvalidWorkerList, WorkerListParser
from millethead.net.pool import Pool
from millethead.operators import load_operator

ROOT = Path(__file__).parent.parent
CONFIG = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 256},
    "known": None,
    "settings": SETTINGS,
}


class Commands(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_it(self, *args, config=CONFIG, operator=None):
        (self.folder / "config.json").write_text(config if isinstance(config, str) else json.dumps(config))
        env = {**os.environ, "BALANCER_CONFIG": str(self.folder / "config.json")}
        if operator is not None:
            (self.folder / "operator.toml").write_text(operator)
            args = (*args, f"--operator={self.folder / 'operator.toml'}")
        return subprocess.run(
            [sys.executable, "-m", "millethead", *args], capture_output=True, text=True, env=env, cwd=ROOT, timeout=60
        )

    def test_version_and_check(self):
        self.assertRegex(self.run_it("version").stdout, r"^millethead \d+\.\d+\.\d+\n$")
        done = self.run_it("check")
        self.assertEqual((done.returncode, done.stderr), (0, ""))

    def test_check_prints_the_limits_in_force(self):
        done = self.run_it("check", operator="[waiting]\njobs = 7\n[waiting.classes.refund]\nbound_s = 90\n")
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertIn("waiting: 7 jobs, 16777216 bytes, 50000 edges, set times up to 2678400 s ahead", done.stdout)
        self.assertIn("refund: answered within 90 s of being due, refused ones wait on\n", done.stdout)
        self.assertIn("paid-booking: answered within 15 s of being due, refused ones are not kept\n", done.stdout)

    def test_invalid_configuration_ends_the_program_with_one_line(self):
        for config, says in (
            ("{", "config.json"),
            ({**CONFIG, "settings": {}}, "settings lack 'classes'"),
            ({**CONFIG, "listen": "nowhere"}, "listen: not an address"),
            ({**CONFIG, "seed": "zz"}, "zz"),
            ("[]", "not a JSON object"),
        ):
            with self.subTest(says):
                done = self.run_it("serve", config=config)
                self.assertEqual(done.returncode, 2)
                self.assertEqual(done.stderr.count("\n"), 1)
                self.assertIn(says, done.stderr)

    def test_invalid_operators_file_ends_the_program_with_one_line(self):
        good = '[faktory]\nlisten = "127.0.0.1:0"\n'
        for text, says in (
            ("[faktory", "operator.toml"),
            ("[fakory]", "unknown key 'fakory'"),
            ('[faktory]\nlisten = "0.0.0.0:7419"', "a loopback address is wanted"),
            ('[ipfix]\ncollector = "192.0.2.1:4739"', "a loopback address is wanted"),
            (good + "connections = 0", "faktory.connections: a whole number >= 1 is wanted, not 0"),
            (good + 'connections = "9"', "faktory.connections: a whole number is wanted, not '9'"),
            ("[ipfix]\ndomain = 1", "ipfix.collector: it is missing"),
            ("[ipfix]\ncollector = 4739", "ipfix.collector: a loopback address is wanted"),
            ("[door]\nlanes = 0", "door.lanes: a whole number >= 1 is wanted, not 0"),
            ("[waiting]\njobs = 0", "waiting.jobs: a whole number >= 1 is wanted, not 0"),
            ("[waiting.classes.nothing]\nbound_s = 1", "unknown key 'nothing'; a class is wanted"),
            ("[waiting.classes.refund]\nbound = 1", "unknown key 'bound'"),
            ("[waiting.classes.refund]", "bound_s: it is missing"),
            (good + 'password_file = "none"', "faktory.password_file"),
            (good + "[faktory.classes.nothing]", "unknown key 'nothing'"),
            (good + '[faktory.classes.refund]\nqueues = ["desk-search"]', "belongs to"),
        ):
            with self.subTest(says):
                done = self.run_it("serve", operator=text)
                self.assertEqual((done.returncode, done.stderr.count("\n")), (2, 1))
                self.assertIn(says, done.stderr)

    def test_examples_in_deploy_are_valid(self):
        classes = ["desk-search", "usage-report", "paid-booking", "refund"]
        for path in (ROOT / "deploy").glob("operator*.toml"):
            made = load_operator(str(path), classes, ["tbilisi", "kutaisi"])
            self.assertIsNotNone(made.faktory or made.flows)
        with self.assertRaises(ConfigError):
            load_operator(str(ROOT / "deploy" / "none.toml"), classes, [])


class Signals(unittest.IsolatedAsyncioTestCase):
    async def start(self, path):
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "millethead",
            "serve",
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        )

    async def test_sigterm_ends_an_idle_program_with_status_0(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(CONFIG))
            process = await self.start(path)
            while b"event=serving" not in (line := await process.stdout.readline()):
                self.assertTrue(line, "the program ended before it served")
            process.send_signal(signal.SIGTERM)
            output = await asyncio.wait_for(process.stdout.read(), TIMEOUT_S)
            self.assertIn(b"event=stopping", output)
            self.assertIn(b"event=ended", output)
            self.assertEqual(await process.wait(), 0)

    async def test_sighup_reloads_the_file_and_an_invalid_one_has_no_effect(self):
        """SIGHUP ended the program with status 129, and all held jobs were lost."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(CONFIG))
            process = await self.start(path)
            for text, want in (
                (None, b"event=serving"),
                ("{", b"event=reload_failed"),
                (json.dumps({**CONFIG, "listen": "127.0.0.1:1"}), b"needs_restart=listen"),
            ):
                if text is not None:
                    path.write_text(text)
                    process.send_signal(signal.SIGHUP)
                while want not in (line := await asyncio.wait_for(process.stdout.readline(), TIMEOUT_S)):
                    self.assertTrue(line, "the program ended")
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0)
            process.send_signal(signal.SIGHUP)  # also during the shutdown
            await asyncio.wait_for(process.stdout.read(), TIMEOUT_S)
            self.assertEqual(await process.wait(), 0)

    async def test_reload_moves_the_watch_and_keeps_workers_and_readiness(self):
        async with DispatcherFixture() as dispatcher:
            program, other = dispatcher.program, await PeerListener().open()
            self.addCleanup(other.close)
            old, _ = await asyncio.wait_for(dispatcher.discovery.accepted.get(), TIMEOUT_S)
            self.assertIn(b"since=41 ", await old.readuntil(b"\r\n\r\n"))
            dispatcher.path.write_text("{")
            program.reload()  # invalid file: the old watch stays
            self.assertEqual(program.discovery.address, ("127.0.0.1", dispatcher.discovery.port))
            settings = {
                **SETTINGS,
                "tenants": [{"name": "rustaveli-desks", "quota_rps": 4.0}, {"name": "rioni-hub", "quota_rps": 4.0}],
            }
            dispatcher.path.write_text(
                json.dumps(
                    {
                        **dispatcher.config,
                        "discovery": f"127.0.0.1:{other.port}",
                        "limits": {"sockets": 100},
                        "settings": settings,
                    }
                )
            )
            program.reload()
            program.reload()  # repeated: only one watch remains
            self.assertEqual(await asyncio.wait_for(old.read(), TIMEOUT_S), b"")
            self.assertTrue(program.exchange.ready)
            self.assertEqual((program.pool.limit, program.acceptor.limit), (30, 60))
            self.assertEqual([f.total_reservation for f in program.exchange._module.flows], [0.004, 0.004])
            reader, writer = await asyncio.wait_for(other.accepted.get(), TIMEOUT_S)
            # versions may differ at another service: the whole list is requested
            self.assertNotIn(b"since", await reader.readuntil(b"\r\n\r\n"))
            lines = [
                endpoint(1, dispatcher.workers[0].port, status="terminating"),
                endpoint(2, dispatcher.workers[1].port),
            ]
            line = json.dumps({"index": 2, "snapshot": True, "endpoints": lines}).encode() + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
            while program.exchange.worker("s-00000001").open:
                await asyncio.sleep(0)
            self.assertTrue(program.exchange.worker("s-00000002").open)
            self.assertTrue(other.accepted.empty())

    async def test_shutdown_accepts_late_jobs_and_answers_held_ones(self):
        async with DispatcherFixture(workers=1) as dispatcher:
            taken = asyncio.Queue()
            task = asyncio.create_task(self.work(dispatcher.workers[0], taken))
            self.addCleanup(task.cancel)
            await asyncio.wait_for(self.play(dispatcher.program, dispatcher.port("client"), taken), TIMEOUT_S)
            await asyncio.wait_for(dispatcher.task, TIMEOUT_S)

    async def test_connections_in_the_accept_queue_are_answered_when_the_listener_closes(self):
        """The system resets them otherwise: 4 of 4,400 jobs were lost in a release."""
        loop = asyncio.get_running_loop()
        async with DispatcherFixture() as dispatcher:
            for fd in dispatcher.program.acceptor._sockets:
                IOLoop.current().remove_handler(fd)  # as if the loop were busy until the listener closes
            peers = [socket.create_connection(("127.0.0.1", dispatcher.port("client"))) for _ in range(20)]
            for sock in peers:
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                sock.setblocking(False)
            dispatcher.program.drain()
            for sock in peers:
                self.assertIn(b" 503 ", await asyncio.wait_for(loop.sock_recv(sock, 100), TIMEOUT_S))
                sock.close()
            await asyncio.wait_for(dispatcher.task, TIMEOUT_S)

    async def work(self, worker, taken):
        """Runs a worker that accepts every job and sends no call-back."""
        while True:
            task = asyncio.create_task(self.serve(taken, *await worker.accepted.get()))
            self.addCleanup(task.cancel)

    async def serve(self, taken, reader, writer):
        with suppress(asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if head.startswith(b"GET"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=2")
                else:
                    await taken.put(head.partition(b"X-Request-ID: ")[2].split(b"\r")[0])
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

    async def play(self, program, port, taken):
        job = (
            "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: a{}\r\nX-Priority-Class: desk-search\r\n"
            "X-Tenant-Id: rioni-hub\r\nX-Timeout: 7.5\r\nContent-Length: 0\r\n\r\n"
        )
        first = await asyncio.open_connection("127.0.0.1", port)
        idle = await asyncio.open_connection("127.0.0.1", port)
        idle[1].write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        await idle[0].readuntil(b"ready\n")
        first[1].write(job.format(1).encode())
        self.assertEqual(await taken.get(), b"a1")
        self.addCleanup(signal.signal, signal.SIGINT, signal.getsignal(signal.SIGINT))
        self.addCleanup(signal.signal, signal.SIGTERM, signal.getsignal(signal.SIGTERM))
        program.accept_grace_s = 3600.0  # ended by `drain` below
        program.stop()
        second = await asyncio.open_connection("127.0.0.1", port)
        second[1].write(job.format(2).encode())  # accepted as before
        self.assertEqual(await taken.get(), b"a2")
        fresh = await asyncio.open_connection("127.0.0.1", port)
        while len(program.acceptor.open) < 4:
            await asyncio.sleep(0)
        program.drain()
        self.assertEqual(await idle[0].read(), b"")  # idle connections are closed
        fresh[1].write(job.format(4).encode())  # in transit while the idle ones were closed
        self.assertIn(b" 503 ", await fresh[0].read())
        third = await asyncio.open_connection("127.0.0.1", port)
        third[1].write(job.format(3).encode())
        self.assertIn(b" 503 ", await third[0].read())
        up = await asyncio.open_connection("127.0.0.1", port)
        up[1].write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b" 503 ", await up[0].read())
        for number, (client, _) in ((1, first), (2, second)):
            tell = await asyncio.open_connection("127.0.0.1", port)
            body = json.dumps({"id": f"a{number}", "from": "s-00000001", "state": "done", "result": "ok"})
            tell[1].write(f"POST /_jobs/news HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            self.assertIn(b" 200 ", await tell[0].read())
            answer = await client.read()
            self.assertIn(b" 200 ", answer)
            self.assertIn(b"Connection: close", answer)


class NetworkTest(unittest.IsolatedAsyncioTestCase):
    def test_buffer_compacts_in_place_grows_and_is_bounded(self):
        buffer, sent = Buffer(), b""
        for n in range(3000):
            piece = bytes([n % 251]) * 7
            room = buffer.free_space()
            room[:7] = piece
            buffer.commit(7)
            sent += piece
            if n % 3 == 2:
                self.assertEqual(buffer.take(20), sent[:20])
                sent = sent[20:]
        self.assertEqual((buffer.take(len(sent)), len(buffer)), (sent, 0))
        with self.assertRaises(OverflowError):
            for _ in range(100):
                buffer.commit(len(buffer.free_space()))
        self.assertEqual(len(buffer), MAX_BUFFER_BYTES)

    async def test_connection_near_its_idle_timeout_is_not_reused(self):
        """If the peer closes while a request is sent, the job may have run."""
        peers = await PeerListener().open()
        address = ("127.0.0.1", peers.port)
        pool = Pool(8, 1000.0, 60_000.0)
        self.assertLess(pool.idle_s, 59.0)
        conn = await pool.acquire(address)
        pool.release(address, conn)
        self.assertIs(await pool.acquire(address), conn)
        pool.release(address, conn)
        conn.idle_since = time.monotonic() - pool.idle_s
        other = await pool.acquire(address)
        self.assertIsNot(other, conn)
        self.assertTrue(conn.stream.closed())
        # nor is one that the peer has closed
        pool.release(address, other)
        await peers.accepted.get()
        (await peers.accepted.get())[1].transport.abort()
        while other.has_no_input():
            await asyncio.sleep(0)
        self.assertIsNot(await pool.acquire(address), other)
        pool.stop()
        peers.close()

    def test_entries_of_the_worker_list(self):
        parser = WorkerListParser(["a", "b"], ["m1"])
        good = endpoint(1, 80, zone="b", type="m1", status="terminating", since_ms=1700000000000)
        entry = parser.parse_entry(good)
        self.assertEqual(
            (entry.zone, entry.kind, entry.state, entry.started), (1, 0, WorkerState.DRAINING, 1700000000000.0)
        )
        for bad in (
            {"status": "asleep"},
            {"address": "x"},
            {"address": "h:99999"},
            {"group": "1"},
            {"since_ms": -1},
            {"weight": float("nan")},
            {"name": ""},
        ):
            with self.subTest(bad), self.assertRaises(InvalidWorkerList):
                parser.parse_entry({**good, **bad})

    async def test_slow_client_gets_408_and_is_disconnected(self):
        for sent, answer in ((b"GET /up HTTP/1.1\r\nHo", b"HTTP/1.1 408 "), (b"", b"")):
            async with DispatcherFixture() as dispatcher:
                with mock.patch("millethead.net.accept.FIRST_REQUEST_TIMEOUT_S", 0.05):
                    reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port("client"))
                    writer.write(sent)
                    got = await asyncio.wait_for(reader.read(), TIMEOUT_S)
                    self.assertEqual(got[: len(answer) or 1], answer)
                    writer.close()

    async def test_connections_without_a_request_are_evicted_before_idle_ones_of_regular_clients(self):
        """Hundreds of clients that only connect evicted idle clients, and one whose request was being read."""
        async with DispatcherFixture() as dispatcher:
            dispatcher.program.acceptor.limit, port = 3, dispatcher.port("client")
            up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
            regular = await asyncio.open_connection("127.0.0.1", port)
            regular[1].write(up)
            self.assertTrue((await regular[0].readuntil(b"ready\n")).startswith(b"HTTP/1.1 200 "))
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(9)]
            for reader, _ in silent[:7]:
                self.assertEqual(await asyncio.wait_for(reader.read(), TIMEOUT_S), b"")
            regular[1].write(up)
            self.assertTrue((await regular[0].readuntil(b"ready\n")).startswith(b"HTTP/1.1 200 "))
            for _, writer in (regular, *silent):
                writer.close()

    async def test_connection_with_nothing_but_errors_is_closed(self):
        async with DispatcherFixture() as dispatcher:
            reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port("client"))
            writer.write(b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n" * (MAX_CONSECUTIVE_ERRORS + 5))
            with suppress(ConnectionResetError):  # requests beyond the limit are not read
                got = await asyncio.wait_for(reader.read(), TIMEOUT_S)
                self.assertEqual(got.count(b"HTTP/1.1 404 "), MAX_CONSECUTIVE_ERRORS)
            writer.close()

    def test_warnings_caused_by_clients_are_rate_limited(self):
        limited = RateLimitedLog(max_per_second=2)
        with (
            mock.patch("millethead.logs.time.monotonic", side_effect=[1.0, 1.1, 1.2, 1.3, 2.0]),
            structlog.testing.capture_logs() as logged,
        ):
            for _ in range(5):
                limited.warning("x")
        self.assertEqual([line.get("left_out") for line in logged], [None, None, 2])

    async def test_start_times_in_lists_are_comparable_with_the_clock(self):
        """since_ms is Unix time. With another clock a cold worker would count as warm, or stay cold for ever."""
        async with DispatcherFixture() as dispatcher:
            now = dispatcher.program.exchange.clock.now()
            self.assertLess(abs(now - time.time() * 1000), 60_000)
            side = dispatcher.program.workers
            self.assertEqual(Worker(1, WorkerListing("w", started=now - 1000), side).entry.started, now - 1000)
