"""A process and its successor: on loopback, with two programs in two processes, or with two modules in one."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import unittest
from contextlib import suppress
from pathlib import Path
from unittest import mock

from dispatcher_fixture import SETTINGS, TIMEOUT_S, DispatcherFixture, PeerListener, endpoint
from harness import Node, workers

from millethead.decide import handover_state
from millethead.decide import interface as api
from millethead.exchange.handover import release
from millethead.lab.pack import free_port
from millethead.succession.link import Link, Meeting

ROOT = Path(__file__).parent.parent
JOB = (
    "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: rioni-hub\r\n"
    "X-Timeout: 14\r\nContent-Length: 4\r\n\r\nbody"
)


class Fleet:
    """Two workers that take every job and tell what became of it when the test says so, and the processes."""

    def __init__(self, folder):
        self.folder, self.port, self.ran, self.tasks, self.processes = folder, free_port(), {}, [], []

    async def open(self):
        self.peers = [await PeerListener().open() for _ in range(2)]
        self.discovery = await PeerListener().open()
        self.tasks = [asyncio.create_task(self._worker(n + 1, p)) for n, p in enumerate(self.peers)]
        return self

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for process, _ in self.processes:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        for peers in (*self.peers, self.discovery):
            peers.close()

    async def _worker(self, number, peers):
        while True:
            self.tasks.append(asyncio.create_task(self._serve(number, *await peers.accepted.get())))

    async def _serve(self, number, reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if head.startswith(b"GET"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=9")
                elif head.startswith(b"POST"):
                    await reader.readexactly(4)
                    name = head.partition(b"X-Request-ID: ")[2].split(b"\r")[0].decode()
                    self.ran.setdefault(name, []).append(number)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

    async def start(self, out=()):
        """Start a process; returns (it, the port of its console) once it says yes."""
        console, known = free_port(), [endpoint(n + 1, p.port) for n, p in enumerate(self.peers)]
        path = self.folder / f"config{len(self.processes)}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"127.0.0.1:{self.port}",
                    "console": f"127.0.0.1:{console}",
                    "seed": "1",
                    "discovery": f"127.0.0.1:{self.discovery.port}",
                    "limits": {"sockets": 256},
                    "known": {"index": 1, "snapshot": True, "endpoints": known},
                    "settings": SETTINGS,
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
            env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(self.folder)},
        )
        self.processes.append((process, console))
        async with asyncio.timeout(TIMEOUT_S):
            while not await self.call(console, "GET", "/ops/readiness"):
                await asyncio.sleep(0.02)
        return process, console

    async def call(self, port, method, path, body=""):
        """Whether the answer is yes; the answer if it has a body of figures."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return False
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        said = (await asyncio.wait_for(reader.read(), TIMEOUT_S)).decode()
        writer.close()
        return " 200 " in said.split("\r\n")[0] and said

    async def client(self, name, cls="paid-booking"):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(JOB.format(name, cls).encode())
        await self.taken(name)
        return reader, writer

    async def taken(self, name):
        async with asyncio.timeout(TIMEOUT_S):
            while name not in self.ran:
                await asyncio.sleep(0.01)

    async def tell(self, name, state="done"):
        news = json.dumps({"id": name, "from": f"s-{self.ran[name][-1]:08x}", "state": state, "result": "ok"})
        return await self.call(self.port, "POST", "/_jobs/news", news)

    async def answer(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0]


class TwoProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = await Fleet(Path(folder.name)).open()
        self.addAsyncCleanup(self.fleet.close)

    async def test_jobs_connections_and_workers_out_go_to_the_successor(self):
        fleet = self.fleet
        old, console = await fleet.start()
        idle = await asyncio.open_connection("127.0.0.1", fleet.port)
        half = await asyncio.open_connection("127.0.0.1", fleet.port)
        half[1].write(JOB.format("half", "refund")[:60].encode())
        held = await fleet.client("held")
        self.assertTrue(await fleet.call(console, "POST", "/ops/booking-workers/down", '{"member":"s-00000001"}'))
        _, second = await fleet.start()
        self.assertIn("dispatcher_hosts_down 1\n", await fleet.call(second, "GET", "/ops/stats"))
        # news comes to the new one while the old one still owns the job
        early = await fleet.client("early")
        old.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(old.wait(), TIMEOUT_S), 0)  # it need not wait for the job
        self.assertTrue(await fleet.tell("held"))
        self.assertIn(b" 200 ", await fleet.answer(held[0]))
        self.assertTrue(await fleet.tell("early"))
        self.assertIn(b" 200 ", await fleet.answer(early[0]))
        half[1].write(JOB.format("half", "refund")[60:].encode())
        idle[1].write(JOB.format("idle", "desk-search").encode())
        for name, (reader, _) in (("half", half), ("idle", idle)):
            await fleet.taken(name)
            self.assertTrue(await fleet.tell(name))
            self.assertIn(b" 200 ", await fleet.answer(reader))
        self.assertEqual({name: len(at) for name, at in fleet.ran.items()}, dict.fromkeys(fleet.ran, 1))
        self.assertEqual({fleet.ran[name][0] for name in ("early", "half", "idle")}, {2})
        stats = await fleet.call(second, "GET", "/ops/stats")
        for line in ('success_total{tier="paid-booking"} 2', 'success_total{tier="refund"} 1', "inflight 0"):
            self.assertIn(f"dispatcher_{line}\n", stats)
        for _, writer in (idle, half, held, early):
            writer.close()

    async def test_news_reaches_the_owner_and_a_successor_that_dies_changes_nothing(self):
        fleet = self.fleet
        old, _ = await fleet.start()
        held = await fleet.client("held")
        new, _ = await fleet.start()
        self.assertTrue(await fleet.tell("held"))  # to the new one; the old one owns it
        self.assertIn(b" 200 ", await fleet.answer(held[0]))
        new.kill()
        await new.wait()
        again = await fleet.client("again")
        self.assertTrue(await fleet.tell("again"))
        self.assertIn(b" 200 ", await fleet.answer(again[0]))
        # and the place is the old one's again: the next successor finds it
        held = await fleet.client("third")
        await fleet.start()
        old.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(old.wait(), TIMEOUT_S), 0)
        self.assertTrue(await fleet.tell("third"))
        self.assertIn(b" 200 ", await fleet.answer(held[0]))

    async def test_a_second_replacement_at_once_and_a_ban_told_to_either(self):
        fleet = self.fleet
        first, _ = await fleet.start()
        held = await fleet.client("held")
        second, two = await fleet.start()
        # a ban told to the successor, while the old one still lives, holds for both and for the next
        self.assertTrue(await fleet.call(two, "POST", "/ops/booking-workers/down", '{"member":"s-00000002"}'))
        first.send_signal(signal.SIGTERM)
        _, three = await fleet.start()  # the second replacement, right after the first one said yes
        second.send_signal(signal.SIGTERM)
        for process in (first, second):
            self.assertEqual(await asyncio.wait_for(process.wait(), TIMEOUT_S), 0)
        self.assertIn("dispatcher_hosts_down 1\n", await fleet.call(three, "GET", "/ops/stats"))
        self.assertTrue(await fleet.tell("held"))
        self.assertIn(b" 200 ", await fleet.answer(held[0]))
        late = await fleet.client("late")
        self.assertEqual(fleet.ran["late"], [1])
        self.assertTrue(await fleet.tell("late"))
        self.assertIn(b" 200 ", await fleet.answer(late[0]))
        self.assertEqual({name: len(at) for name, at in fleet.ran.items()}, dict.fromkeys(fleet.ran, 1))
        for _, writer in (held, late):
            writer.close()

    async def test_a_drain_that_discovery_tells_either_process_holds_for_both(self):
        fleet = self.fleet
        watches = asyncio.Queue()

        async def discovery():
            while True:
                reader, writer = await fleet.discovery.accepted.get()
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
                await watches.put(writer)

        def tell(writer, number):
            line = (
                json.dumps(
                    {
                        "index": 40 + number,
                        "snapshot": False,
                        "endpoints": [endpoint(number, fleet.peers[number - 1].port, status="terminating")],
                    }
                ).encode()
                + b"\n"
            )
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))

        fleet.tasks.append(asyncio.create_task(discovery()))
        first, _ = await fleet.start()
        one = await asyncio.wait_for(watches.get(), TIMEOUT_S)
        tell(one, 1)  # to the old one alone, before its successor comes: it knows from the old one only
        await asyncio.sleep(0.3)
        _, two = await fleet.start()
        client = await fleet.client("after-old")
        self.assertEqual(fleet.ran["after-old"], [2])
        self.assertTrue(await fleet.tell("after-old"))
        self.assertIn(b" 200 ", await fleet.answer(client[0]))
        other = await asyncio.wait_for(watches.get(), TIMEOUT_S)
        tell(other, 2)  # and to the new one alone, while the old one lives: nothing is left to send to
        await asyncio.sleep(0.3)
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
        writer.write(JOB.format("after-new", "paid-booking").encode())
        self.assertIn(b" 503 ", await fleet.answer(reader))
        first.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(first.wait(), TIMEOUT_S), 0)
        self.assertNotIn("after-new", fleet.ran)
        self.assertIn("dispatcher_hosts_listed 2\n", await fleet.call(two, "GET", "/ops/stats"))
        for each in (writer, client[1]):
            each.close()

    async def test_one_that_was_killed_is_no_hindrance(self):
        fleet = self.fleet
        old, console = await fleet.start()
        self.assertTrue(await fleet.call(console, "POST", "/ops/booking-workers/down", '{"member":"s-00000002"}'))
        old.kill()
        await old.wait()
        _, console = await fleet.start()
        self.assertIn("dispatcher_hosts_down 1\n", await fleet.call(console, "GET", "/ops/stats"))
        client = await fleet.client("one")
        self.assertEqual(fleet.ran["one"], [1])
        self.assertTrue(await fleet.tell("one"))
        self.assertIn(b" 200 ", await fleet.answer(client[0]))


class OneProcess(unittest.IsolatedAsyncioTestCase):
    async def test_news_finds_a_job_the_moment_it_has_come_over(self):
        """Of 2,658 jobs over 200 replacements five lost their news: a job was taken in by its connection's task,
        a turn of the loop after the other process had said that it did not have it any more."""
        with tempfile.TemporaryDirectory() as one, mock.patch("millethead.program.gettempdir", lambda: one):
            async with DispatcherFixture(console=True, workers=1) as old:
                client, writer = await asyncio.open_connection("127.0.0.1", old.port("client"))
                writer.write(JOB.format("a1", "paid-booking").encode())
                while not old.program.workers._running:
                    reader, worker = await asyncio.wait_for(old.workers[0].accepted.get(), TIMEOUT_S)
                    head = await reader.readuntil(b"\r\n\r\n")
                    worker.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=2"
                        if head.startswith(b"GET")
                        else b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                    )
                if head.startswith(b"GET"):
                    reader, worker = await asyncio.wait_for(old.workers[0].accepted.get(), TIMEOUT_S)
                    await reader.readuntil(b"\r\n\r\n")
                    worker.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                conn = next(iter(old.program.acceptor.open))
                async with asyncio.timeout(TIMEOUT_S):
                    while (said := release(old.program.exchange, old.program.workers, conn.job)) is None:
                        await asyncio.sleep(0.01)
                with tempfile.TemporaryDirectory() as other, mock.patch("millethead.program.gettempdir", lambda: other):
                    async with DispatcherFixture(console=True, workers=1) as new:
                        succession, handed = new.program.succession, os.dup(conn.stream.socket.fileno())
                        conn.close()
                        succession._from(None, {"what": "job", "job": said[0], "keeps": True}, said[1], handed)
                        news = json.dumps({"id": "a1", "from": "s-00000001", "state": "done", "result": "ok"})
                        self.assertTrue(succession.local(news.encode()))
                        self.assertIn(b" 200 ", await asyncio.wait_for(client.readuntil(b"\r\n\r\n"), TIMEOUT_S))
                        writer.close()


class Links(unittest.IsolatedAsyncioTestCase):
    async def test_messages_descriptors_and_the_end(self):
        with tempfile.TemporaryDirectory() as folder:
            deep = Path(folder, "d" * 120)  # longer than the address of a Unix socket
            deep.mkdir()
            meeting, came, got, gone = Meeting(deep, "place"), asyncio.Queue(), asyncio.Queue(), asyncio.Event()
            self.assertIsNone(meeting.connect())
            meeting.listen(came.put_nowait)
            one = Link(meeting.connect(), lambda *said: None, gone.set)
            two = Link(await came.get(), lambda *said: got.put_nowait(said), gone.set)
            read, write = os.pipe()
            for n in range(300):
                self.assertTrue(one.send("x", {"n": n}, b"\n{" * n))
            self.assertTrue(one.send("pipe", handed=write))
            for n in range(300):
                self.assertEqual(await got.get(), ({"what": "x", "n": n}, b"\n{" * n, None))
            _, _, handed = await got.get()
            os.write(handed, b"y")
            self.assertEqual(os.read(read, 1), b"y")
            self.assertFalse(one.send("x", {}, b"z" * (1 << 20)))
            two.close()
            await asyncio.wait_for(gone.wait(), TIMEOUT_S)
            self.assertFalse(one.send("x"))
            for fd in (read, handed):
                os.close(fd)
            meeting.close()


class Module(unittest.TestCase):
    """Jobs and what is known of workers, from one module to another."""

    def node(self):
        jobs = (
            api.JobClass(deadline=9000.0, aim=900.0, stretch=2.0, effect=api.Effect.UNSAFE),
            api.JobClass(deadline=9000.0, aim=900.0, stretch=2.0, effect=api.Effect.KEYED, window=5000.0),
        )
        node = Node(api.Settings(jobs, (api.Tenant(8.0), api.Tenant(3.0)), cold_time=8000.0, max_attempts=5))
        node.update_workers(*workers(1, started=node.now - 1000.0), *workers(2, first=2))
        return node

    def test_a_job_and_its_attempts_go_over(self):
        old, new = self.node(), self.node()
        for job in range(8):
            old.submit(job, job % 2)
        old.now += 50.0
        old.end_attempt(1, 0, api.Outcome.RESET)  # it may have run: it keeps to its group and window
        for job in range(8):
            said = json.loads(json.dumps(handover_state.remove_job(old.balancer, job)))
            before = old.jobs[job]
            self.assertIsNone(handover_state.remove_job(old.balancer, job))
            new.jobs[100 + job] = before
            for action in handover_state.adopt_job(new.balancer, 100 + job, said, old.now):
                new.check(action)
        self.assertEqual((old.balancer.held_slots, old.balancer.waiting_count, old.balancer.jobs), (0, 0, {}))
        self.assertEqual([w.held_slots for w in old.balancer.workers.values()], [0.0] * 3)
        new.now = old.now
        new.run_until(30_000.0)  # the harness checks each rule on the way, and that none is lost
        self.assertTrue(all(new.jobs[100 + job].answer for job in range(8)))

    def test_what_was_learned_goes_over_and_a_cold_workers_turns_are_not_had_twice(self):
        old, new = self.node(), self.node()
        old.balancer.workers[1].cold_turn, old.balancer.workers[2].avoid_until, old.balancer.mean_times[0] = (
            4,
            5000.0,
            321.0,
        )
        said = json.loads(
            json.dumps([handover_state.learned_state(old.balancer), handover_state.worker_states(old.balancer)])
        )
        handover_state.restore_learned_state(new.balancer, said[0])
        new.update_workers(*workers(1, started=new.now), *workers(2, first=2))  # the first has started once more since
        for worker in said[1]:
            handover_state.restore_worker(new.balancer, worker)
        self.assertEqual([w.cold_turn for w in new.balancer.workers.values()], [-1, -1, -1])
        self.assertEqual((new.balancer.workers[2].avoid_until, new.balancer.mean_times[0]), (5000.0, 321.0))
        new = self.node()
        for worker in said[1]:
            handover_state.restore_worker(new.balancer, worker)
        self.assertEqual(new.balancer.workers[1].cold_turn, 4)
