"""The operator console: its calls, metrics, and the manual exclusion of workers."""

import asyncio
import json
import socket
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

import structlog
from dispatcher_fixture import TIMEOUT_S, DispatcherFixture, endpoint
from harness import Node, workers
from prometheus_client.parser import text_string_to_metric_families

from millethead.console.excluded_workers import MAX_WORKERS, ExcludedWorkersFile
from millethead.console.metrics import escape
from millethead.decide import interface as api

DOWN, UP = "/ops/booking-workers/down", "/ops/booking-workers/up"


async def exchange_bytes(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return (await asyncio.wait_for(reader.read(), TIMEOUT_S)).decode()
    finally:
        writer.close()


async def call(port, path, body=None, method=None):
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"{method or ('GET' if body is None else 'POST')} {path} HTTP/1.1\r\nHost: x\r\n"
    response = await exchange_bytes(port, f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
    head, _, text = response.partition("\r\n\r\n")
    return int(head.split(" ")[1]), text, head


class Console(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        patch = mock.patch("millethead.program.gettempdir", lambda: folder.name)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_calls_and_error_replies(self):
        async with DispatcherFixture(console=True) as dispatcher:
            port = dispatcher.port("console")
            self.assertEqual((await call(port, "/ops/readiness"))[:2], (200, "yes\n"))
            for path, body, method, status, expected in (
                ("/ops", None, None, 404, "/ops/stats"),
                (DOWN, None, None, 405, "POST"),
                ("/ops/stats", {}, None, 405, "GET"),
                (DOWN, b"{", None, 400, '{"member":"ID"}'),
                (DOWN, {}, None, 400, "member"),
                (DOWN, {"member": 7}, None, 400, "member"),
                (DOWN, [], None, 400, "member"),
                (UP, {"member": "s-none"}, None, 404, "no booking worker"),
                (DOWN, {"member": "s-none"}, None, 404, "no booking worker"),
                (DOWN, b"x" * 70000, None, 413, "too large"),
            ):
                with self.subTest(path=path, body=body if body != b"x" * 70000 else "large"):
                    got, text, head = await call(port, path, body, method)
                    self.assertEqual((got, text.count("\n")), (status, 1))
                    self.assertIn(expected, text)
                    self.assertIn("Connection: close", head)
            self.assertEqual(dispatcher.program.exchange.out, frozenset())
            dispatcher.program.stage.leave(1000.0)
            self.assertEqual((await call(port, "/ops/readiness"))[0], 503)

    async def test_connections_without_a_complete_request_do_not_block_other_calls(self):
        async with DispatcherFixture(console=True) as dispatcher:
            port, limit = dispatcher.port("console"), dispatcher.program.console.limit
            idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * limit)]
            for _, writer in idle[::2]:
                writer.write(b"GET /ops/sta")
            self.assertEqual((await call(port, "/ops/readiness"))[0], 200)
            self.assertLessEqual(len(dispatcher.program.console.open), limit)
            for _, writer in idle:
                writer.close()
        async with DispatcherFixture(console=True) as dispatcher:
            with mock.patch("millethead.console.server.CALL_TIMEOUT_S", 0.05):
                self.assertIn(" 408 ", await exchange_bytes(dispatcher.port("console"), b"GET /ops/stats"))
                self.assertEqual(await exchange_bytes(dispatcher.port("console"), b""), "")

    async def test_partial_request_unread_at_the_timeout_gets_408(self):
        """If the loop is busy, the timeout fires with the bytes still unread in the socket. The connection was then
        reset without a response."""
        async with DispatcherFixture(console=True) as dispatcher:
            client = socket.create_connection(("127.0.0.1", dispatcher.port("console")))
            with mock.patch("millethead.console.server.CALL_TIMEOUT_S", 0.05), client:
                async with asyncio.timeout(TIMEOUT_S):
                    while not dispatcher.program.console.open:
                        await asyncio.sleep(0)
                client.sendall(b"GET /ops/stats")
                time.sleep(0.1)  # blocks the loop for longer than the timeout of a call
                client.setblocking(False)
                response = asyncio.get_running_loop().sock_recv(client, 4096)
                self.assertIn(b" 408 ", await asyncio.wait_for(response, TIMEOUT_S))

    async def test_console_is_disabled_without_an_address(self):
        async with DispatcherFixture() as dispatcher:
            self.assertIsNone(dispatcher.program.console)

    async def test_exclusion_outlasts_lists_and_a_restart_and_one_call_ends_it(self):
        async with DispatcherFixture(console=True) as dispatcher:
            port, program, name = dispatcher.port("console"), dispatcher.program, "s-00000001"
            for _ in range(2):  # a repeated call has no further effect
                self.assertEqual((await call(port, DOWN, {"member": name}))[0], 200)
            transport, parser = program.workers, program.discovery.parser
            # the worker disappears from the list, and returns as a new process
            for entries in ([], [parser.parse_entry(endpoint(1, 9, since_ms=5))]):
                program.exchange.listed(transport, api.ListForm.FULL, entries)
                self.assertFalse(any(w.wanted for w in program.exchange.workers))
            stats = (await call(port, "/ops/stats"))[1]
            self.assertIn("dispatcher_hosts_listed 1\ndispatcher_hosts_down 1\n", without_comments(stats))
        async with DispatcherFixture(console=True) as dispatcher:
            port, program = dispatcher.port("console"), dispatcher.program
            self.assertEqual(program.exchange.out, {name})
            self.assertEqual((await call(port, UP, {"member": name}))[0], 200)
            self.assertTrue(program.exchange.worker(name).wanted)
        async with DispatcherFixture(console=True) as dispatcher:
            self.assertEqual(dispatcher.program.exchange.out, frozenset())

    async def test_exclusion_that_cannot_be_stored_fails_without_effect(self):
        async with DispatcherFixture(console=True) as dispatcher:
            port, name = dispatcher.port("console"), "s-00000002"
            with mock.patch.object(ExcludedWorkersFile, "store", side_effect=OSError("full")):
                self.assertEqual((await call(port, DOWN, {"member": name}))[0], 503)
            self.assertTrue(dispatcher.program.exchange.worker(name).wanted)

    async def test_metrics_match_the_traffic(self):
        async with DispatcherFixture(console=True, workers=1) as dispatcher:
            port = dispatcher.port("console")
            text = (await call(port, "/ops/stats"))[1]
            self.assertIn('dispatcher_success_total{tier="refund"} 0\n', text)
            job = (
                b"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Priority-Class: paid-booking\r\n"
                b"X-Tenant-Id: rioni-hub\r\nX-Timeout: 7.5\r\nContent-Length: 0\r\n\r\n"
            )
            client, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port("client"))
            writer.write(job)
            while True:
                reader, answer = await dispatcher.workers[0].accepted.get()
                if (await reader.readuntil(b"\r\n\r\n")).startswith(b"POST"):
                    break
                answer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=2")
            self.assertIn("dispatcher_inflight 1\n", (await call(port, "/ops/stats"))[1])
            answer.write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
            self.assertIn(b" 502 ", await client.readuntil(b"\r\n"))
            text, head = (await call(port, "/ops/stats"))[1:]
            self.assertIn("Content-Type: text/plain; version=0.0.4", head)
            for line in (
                'failure_total{tier="paid-booking"} 1',
                'backend_calls_total{tier="paid-booking"} 1',
                'success_total{tier="paid-booking"} 0',
                "inflight 0",
            ):
                self.assertIn(f"dispatcher_{line}\n", text)
            writer.close()
            # parsed by a Prometheus library: every family has its type, every class a sample
            read = {family.name: family for family in text_string_to_metric_families(text)}
            self.assertEqual(read["dispatcher_failure"].type, "counter")
            self.assertEqual(read["dispatcher_inflight"].type, "gauge")
            tiers = {s.labels["tier"]: s.value for s in read["dispatcher_failure"].samples if s.name.endswith("_total")}
            self.assertEqual(tiers["paid-booking"], 1.0)
            self.assertEqual(set(tiers) - {"paid-booking"}, {t for t in tiers if tiers[t] == 0.0})


def without_comments(text):
    return "\n".join(line for line in text.split("\n") if line and not line.startswith("#")) + "\n"


class UnitTest(unittest.TestCase):
    def test_labels_are_escaped(self):
        self.assertEqual(escape('a"b\\c\nd'), 'a\\"b\\\\c\\nd')

    def test_truncated_foreign_or_outdated_file_is_ignored(self):
        with tempfile.TemporaryDirectory() as folder:
            file = ExcludedWorkersFile(Path(folder), "n/1", "n/1 at x")
            self.assertEqual(file.load(), [])
            file.store({"b", "a"})
            self.assertEqual(file.load(), ["a", "b"])
            self.assertEqual(len(list(Path(folder).iterdir())), 1)
            whole = file.path.read_bytes()
            for bad in (
                whole[:-3],
                b"[]",
                b"[" * 100000,
                whole.replace(b"1,", b"2,", 1),
                whole.replace(b"at x", b"at y"),
                whole.replace(b'["a", "b"]', b"[7]"),
                b"",
            ):
                file.path.write_bytes(bad)
                with structlog.testing.capture_logs() as logged:
                    self.assertEqual(file.load(), [])
                self.assertEqual([line["event"] for line in logged], ["out_file_unusable"])
            with self.assertRaises(OSError):
                file.store(str(n) for n in range(MAX_WORKERS + 1))


class DecisionModuleTest(unittest.TestCase):
    """How the decision module treats workers that operators have excluded."""

    def setUp(self):
        job = api.JobClass(deadline=9000.0, aim=900.0, stretch=2.0, effect=api.Effect.UNSAFE)
        self.node = Node(api.Settings((job,), may_probe=True, reports_in_probes=True))
        self.lines = workers(2)
        self.node.update_workers(*self.lines)

    def out(self, *numbers):
        lines = [replace(e, excluded=e.worker in numbers) for e in self.lines]
        return self.node.handle(api.WorkerList(api.ListForm.BY_OPERATOR, tuple(lines)))

    def report(self, *numbers):
        for number in numbers:
            self.node.handle(api.ProbeEnded(number, api.Outcome.OK, 1.0, api.Report(free_slots=4.0)))

    def test_excluded_worker_gets_no_jobs_and_its_return_clears_avoidance(self):
        node = self.node
        self.report(1, 2)
        self.out(1)
        for job in range(8):
            node.submit(job)
        self.assertEqual({w for job in range(8) for w in node.workers_tried(job)}, {2})
        node.balancer.workers[1].avoid_until = node.now + 8000.0
        self.assertEqual(node.balancer.avoided_count(node.now), 1)
        self.assertIn(api.Probe(1), self.out())  # at once
        self.assertEqual(node.balancer.avoided_count(node.now), 0)
        self.report(1)
        self.assertIn([1], [node.workers_tried(job) for job in range(8)])

    def test_jobs_are_refused_at_once_if_all_workers_are_excluded(self):
        node = self.node
        self.report(1, 2)
        for job in range(12):
            node.submit(job)
        self.assertTrue(any(not node.jobs[job].attempts for job in range(12)))
        self.out(1, 2)
        for job in range(12):
            self.assertEqual(node.jobs[job].answer, None if node.jobs[job].attempts else "refused")
        node.submit(20)
        self.assertEqual(node.jobs[20].answer, "refused")
