"""The second address: calls, figures, and workers out by hand."""

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

from millethead.console.figures import escape
from millethead.console.store import MOST, OutFile
from millethead.decide import interface as api

DOWN, UP = "/ops/booking-workers/down", "/ops/booking-workers/up"


async def talk(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return (await asyncio.wait_for(reader.read(), TIMEOUT_S)).decode()
    finally:
        writer.close()


async def call(port, path, body=None, method=None):
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"{method or ('GET' if body is None else 'POST')} {path} HTTP/1.1\r\nHost: x\r\n"
    said = await talk(port, f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
    head, _, text = said.partition("\r\n\r\n")
    return int(head.split(" ")[1]), text, head


class Console(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        patch = mock.patch("millethead.program.gettempdir", lambda: folder.name)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_calls_and_what_is_said_of_bad_ones(self):
        async with DispatcherFixture(console=True) as stage:
            port = stage.port("console")
            self.assertEqual((await call(port, "/ops/readiness"))[:2], (200, "yes\n"))
            for path, body, method, status, says in (
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
                    self.assertIn(says, text)
                    self.assertIn("Connection: close", head)
            self.assertEqual(stage.program.exchange.out, frozenset())
            stage.program.stage.leave(1000.0)
            self.assertEqual((await call(port, "/ops/readiness"))[0], 503)

    async def test_who_says_nothing_or_half_a_call_keeps_no_true_one_out(self):
        async with DispatcherFixture(console=True) as stage:
            port, limit = stage.port("console"), stage.program.console.limit
            idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * limit)]
            for _, writer in idle[::2]:
                writer.write(b"GET /ops/sta")
            self.assertEqual((await call(port, "/ops/readiness"))[0], 200)
            self.assertLessEqual(len(stage.program.console.open), limit)
            for _, writer in idle:
                writer.close()
        async with DispatcherFixture(console=True) as stage:
            with mock.patch("millethead.console.server.CALL_TIME", 0.05):
                self.assertIn(" 408 ", await talk(stage.port("console"), b"GET /ops/stats"))
                self.assertEqual(await talk(stage.port("console"), b""), "")

    async def test_half_a_call_that_a_busy_loop_never_read_is_told_all_the_same(self):
        """The time was over with the bytes still at the socket: the connection was reset, without a word."""
        async with DispatcherFixture(console=True) as stage:
            client = socket.create_connection(("127.0.0.1", stage.port("console")))
            with mock.patch("millethead.console.server.CALL_TIME", 0.05), client:
                async with asyncio.timeout(TIMEOUT_S):
                    while not stage.program.console.open:
                        await asyncio.sleep(0)
                client.sendall(b"GET /ops/stats")
                time.sleep(0.1)  # the loop is busy for longer than a call may take
                client.setblocking(False)
                said = asyncio.get_running_loop().sock_recv(client, 4096)
                self.assertIn(b" 408 ", await asyncio.wait_for(said, TIMEOUT_S))

    async def test_without_an_address_nothing_is_there_nor_imported(self):
        async with DispatcherFixture() as stage:
            self.assertIsNone(stage.program.console)

    async def test_out_holds_through_lists_and_a_new_process_and_one_call_ends_it(self):
        async with DispatcherFixture(console=True) as stage:
            port, program, name = stage.port("console"), stage.program, "s-00000001"
            for _ in range(2):  # a set, not a count
                self.assertEqual((await call(port, DOWN, {"member": name}))[0], 200)
            side, names = program.workers, program.discovery.names
            for lines in ([], [names.entry(endpoint(1, 9, since_ms=5))]):  # it vanishes, and comes back anew
                program.exchange.listed(side, api.ListForm.FULL, lines)
                self.assertFalse(any(w.wanted for w in program.exchange.workers))
            stats = (await call(port, "/ops/stats"))[1]
            self.assertIn("dispatcher_hosts_listed 1\ndispatcher_hosts_down 1\n", re_gauges(stats))
        async with DispatcherFixture(console=True) as stage:
            port, program = stage.port("console"), stage.program
            self.assertEqual(program.exchange.out, {name})
            self.assertEqual((await call(port, UP, {"member": name}))[0], 200)
            self.assertTrue(program.exchange.worker(name).wanted)
        async with DispatcherFixture(console=True) as stage:
            self.assertEqual(stage.program.exchange.out, frozenset())

    async def test_what_cannot_be_stored_is_answered_no_and_changes_nothing(self):
        async with DispatcherFixture(console=True) as stage:
            port, name = stage.port("console"), "s-00000002"
            with mock.patch.object(OutFile, "store", side_effect=OSError("full")):
                self.assertEqual((await call(port, DOWN, {"member": name}))[0], 503)
            self.assertTrue(stage.program.exchange.worker(name).wanted)

    async def test_figures_count_what_peers_saw(self):
        async with DispatcherFixture(console=True, workers=1) as stage:
            port = stage.port("console")
            text = (await call(port, "/ops/stats"))[1]
            self.assertIn('dispatcher_success_total{tier="refund"} 0\n', text)
            job = (
                b"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Priority-Class: paid-booking\r\n"
                b"X-Tenant-Id: rioni-hub\r\nX-Timeout: 7.5\r\nContent-Length: 0\r\n\r\n"
            )
            client, writer = await asyncio.open_connection("127.0.0.1", stage.port("client"))
            writer.write(job)
            while True:
                reader, answer = await stage.workers[0].accepted.get()
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
            # the figures as a Prometheus library reads them: every family typed, every class there
            read = {family.name: family for family in text_string_to_metric_families(text)}
            self.assertEqual(read["dispatcher_failure"].type, "counter")
            self.assertEqual(read["dispatcher_inflight"].type, "gauge")
            tiers = {s.labels["tier"]: s.value for s in read["dispatcher_failure"].samples if s.name.endswith("_total")}
            self.assertEqual(tiers["paid-booking"], 1.0)
            self.assertEqual(set(tiers) - {"paid-booking"}, {t for t in tiers if tiers[t] == 0.0})


def re_gauges(text):
    return "\n".join(line for line in text.split("\n") if line and not line.startswith("#")) + "\n"


class Parts(unittest.TestCase):
    def test_labels_are_escaped(self):
        self.assertEqual(escape('a"b\\c\nd'), 'a\\"b\\\\c\\nd')

    def test_a_file_that_is_torn_foreign_or_old_is_not_used(self):
        with tempfile.TemporaryDirectory() as folder:
            file = OutFile(Path(folder), "n/1", "n/1 at x")
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
                with structlog.testing.capture_logs() as said:
                    self.assertEqual(file.load(), [])
                self.assertEqual([line["event"] for line in said], ["out_file_unusable"])
            with self.assertRaises(OSError):
                file.store(str(n) for n in range(MOST + 1))


class Module(unittest.TestCase):
    """What the decision module makes of workers out by hand."""

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

    def test_nothing_new_goes_there_and_a_call_back_forgives(self):
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

    def test_with_all_out_jobs_are_refused_at_once(self):
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
