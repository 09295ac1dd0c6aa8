"""Hot restart: two processes on loopback, two programs in one process, and two decision modules."""

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
from millethead.hot_restart.link import HandoverSocket, Link
from millethead.lab.pack import free_port

ROOT = Path(__file__).parent.parent
JOB = (
    "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: rioni-hub\r\n"
    "X-Timeout: 14\r\nContent-Length: 4\r\n\r\nbody"
)


class Fleet:
    """Two workers that accept every job and report its outcome when the test says so, and the dispatcher processes."""

    def __init__(self, folder):
        self.folder, self.port, self.started_on, self.tasks, self.processes = folder, free_port(), {}, [], []

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
                    self.started_on.setdefault(name, []).append(number)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

    async def start(self, out=()):
        """Starts a process. Returns it and the port of its console once it is ready."""
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
        """Returns the response if its status is 200, otherwise False."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return False
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        response = (await asyncio.wait_for(reader.read(), TIMEOUT_S)).decode()
        writer.close()
        return " 200 " in response.split("\r\n")[0] and response

    async def client(self, name, cls="paid-booking"):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(JOB.format(name, cls).encode())
        await self.wait_until_started(name)
        return reader, writer

    async def wait_until_started(self, name):
        async with asyncio.timeout(TIMEOUT_S):
            while name not in self.started_on:
                await asyncio.sleep(0.01)

    async def send_update(self, name, state="done"):
        update = json.dumps({"id": name, "from": f"s-{self.started_on[name][-1]:08x}", "state": state, "result": "ok"})
        return await self.call(self.port, "POST", "/_jobs/news", update)

    async def answer(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0]


class TwoProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = await Fleet(Path(folder.name)).open()
        self.addAsyncCleanup(self.fleet.close)

    async def test_jobs_connections_and_excluded_workers_are_handed_over(self):
        fleet = self.fleet
        old, console = await fleet.start()
        idle = await asyncio.open_connection("127.0.0.1", fleet.port)
        half = await asyncio.open_connection("127.0.0.1", fleet.port)
        half[1].write(JOB.format("half", "refund")[:60].encode())
        held = await fleet.client("held")
        self.assertTrue(await fleet.call(console, "POST", "/ops/booking-workers/down", '{"member":"s-00000001"}'))
        _, second = await fleet.start()
        self.assertIn("dispatcher_hosts_down 1\n", await fleet.call(second, "GET", "/ops/stats"))
        # the new process receives the job update while the old one still has the job
        early = await fleet.client("early")
        old.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(old.wait(), TIMEOUT_S), 0)  # it does not wait for the job to end
        self.assertTrue(await fleet.send_update("held"))
        self.assertIn(b" 200 ", await fleet.answer(held[0]))
        self.assertTrue(await fleet.send_update("early"))
        self.assertIn(b" 200 ", await fleet.answer(early[0]))
        half[1].write(JOB.format("half", "refund")[60:].encode())
        idle[1].write(JOB.format("idle", "desk-search").encode())
        for name, (reader, _) in (("half", half), ("idle", idle)):
            await fleet.wait_until_started(name)
            self.assertTrue(await fleet.send_update(name))
            self.assertIn(b" 200 ", await fleet.answer(reader))
        self.assertEqual({name: len(at) for name, at in fleet.started_on.items()}, dict.fromkeys(fleet.started_on, 1))
        self.assertEqual({fleet.started_on[name][0] for name in ("early", "half", "idle")}, {2})
        stats = await fleet.call(second, "GET", "/ops/stats")
        for line in ('success_total{tier="paid-booking"} 2', 'success_total{tier="refund"} 1', "inflight 0"):
            self.assertIn(f"dispatcher_{line}\n", stats)
        for _, writer in (idle, half, held, early):
            writer.close()

    async def test_job_updates_reach_the_owner_and_a_killed_successor_changes_nothing(self):
        fleet = self.fleet
        old, _ = await fleet.start()
        held = await fleet.client("held")
        new, _ = await fleet.start()
        self.assertTrue(await fleet.send_update("held"))  # sent to the new process, for a job of the old one
        self.assertIn(b" 200 ", await fleet.answer(held[0]))
        new.kill()
        await new.wait()
        again = await fleet.client("again")
        self.assertTrue(await fleet.send_update("again"))
        self.assertIn(b" 200 ", await fleet.answer(again[0]))
        # the old process listens for a successor again
        held = await fleet.client("third")
        await fleet.start()
        old.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(old.wait(), TIMEOUT_S), 0)
        self.assertTrue(await fleet.send_update("third"))
        self.assertIn(b" 200 ", await fleet.answer(held[0]))

    async def test_second_restart_follows_at_once_and_an_exclusion_applies_to_all_processes(self):
        fleet = self.fleet
        first, _ = await fleet.start()
        held = await fleet.client("held")
        second, two = await fleet.start()
        # an exclusion sent to the successor applies to the old process and to the next one too
        self.assertTrue(await fleet.call(two, "POST", "/ops/booking-workers/down", '{"member":"s-00000002"}'))
        first.send_signal(signal.SIGTERM)
        _, three = await fleet.start()  # the second restart, right after the first successor became ready
        second.send_signal(signal.SIGTERM)
        for process in (first, second):
            self.assertEqual(await asyncio.wait_for(process.wait(), TIMEOUT_S), 0)
        self.assertIn("dispatcher_hosts_down 1\n", await fleet.call(three, "GET", "/ops/stats"))
        self.assertTrue(await fleet.send_update("held"))
        self.assertIn(b" 200 ", await fleet.answer(held[0]))
        late = await fleet.client("late")
        self.assertEqual(fleet.started_on["late"], [1])
        self.assertTrue(await fleet.send_update("late"))
        self.assertIn(b" 200 ", await fleet.answer(late[0]))
        self.assertEqual({name: len(at) for name, at in fleet.started_on.items()}, dict.fromkeys(fleet.started_on, 1))
        for _, writer in (held, late):
            writer.close()

    async def test_a_drain_from_discovery_to_one_process_applies_to_both(self):
        fleet = self.fleet
        watches = asyncio.Queue()

        async def discovery():
            while True:
                reader, writer = await fleet.discovery.accepted.get()
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
                await watches.put(writer)

        def send_drain(writer, number):
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
        send_drain(one, 1)  # only to the old process, before the successor starts, which learns it from the old one
        await asyncio.sleep(0.3)
        _, two = await fleet.start()
        client = await fleet.client("after-old")
        self.assertEqual(fleet.started_on["after-old"], [2])
        self.assertTrue(await fleet.send_update("after-old"))
        self.assertIn(b" 200 ", await fleet.answer(client[0]))
        other = await asyncio.wait_for(watches.get(), TIMEOUT_S)
        send_drain(other, 2)  # only to the new process, while the old one runs: no worker is left
        await asyncio.sleep(0.3)
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
        writer.write(JOB.format("after-new", "paid-booking").encode())
        self.assertIn(b" 503 ", await fleet.answer(reader))
        first.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(first.wait(), TIMEOUT_S), 0)
        self.assertNotIn("after-new", fleet.started_on)
        self.assertIn("dispatcher_hosts_listed 2\n", await fleet.call(two, "GET", "/ops/stats"))
        for each in (writer, client[1]):
            each.close()

    async def test_a_killed_predecessor_does_not_prevent_a_start(self):
        fleet = self.fleet
        old, console = await fleet.start()
        self.assertTrue(await fleet.call(console, "POST", "/ops/booking-workers/down", '{"member":"s-00000002"}'))
        old.kill()
        await old.wait()
        _, console = await fleet.start()
        self.assertIn("dispatcher_hosts_down 1\n", await fleet.call(console, "GET", "/ops/stats"))
        client = await fleet.client("one")
        self.assertEqual(fleet.started_on["one"], [1])
        self.assertTrue(await fleet.send_update("one"))
        self.assertIn(b" 200 ", await fleet.answer(client[0]))


class OneProcess(unittest.IsolatedAsyncioTestCase):
    async def test_a_job_update_finds_a_job_as_soon_as_it_is_handed_over(self):
        """Five of 2,658 jobs lost their update in 200 restarts. The task of the connection adopted the job, one turn of
        the event loop after the predecessor had answered that it no longer had the job."""
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
                    while (released := release(old.program.exchange, old.program.workers, conn.job)) is None:
                        await asyncio.sleep(0.01)
                with tempfile.TemporaryDirectory() as other, mock.patch("millethead.program.gettempdir", lambda: other):
                    async with DispatcherFixture(console=True, workers=1) as new:
                        hot_restart, descriptor = new.program.hot_restart, os.dup(conn.stream.socket.fileno())
                        conn.close()
                        hot_restart._handle_message(
                            None, {"what": "job", "job": released[0], "keeps": True}, released[1], descriptor
                        )
                        update = json.dumps({"id": "a1", "from": "s-00000001", "state": "done", "result": "ok"})
                        self.assertTrue(hot_restart.deliver_locally(update.encode()))
                        self.assertIn(b" 200 ", await asyncio.wait_for(client.readuntil(b"\r\n\r\n"), TIMEOUT_S))
                        writer.close()


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_messages_descriptors_and_disconnection(self):
        with tempfile.TemporaryDirectory() as folder:
            deep = Path(folder, "d" * 120)  # longer than the address of a Unix socket
            deep.mkdir()
            handover_socket, accepted, received, disconnected = (
                HandoverSocket(deep, "place"),
                asyncio.Queue(),
                asyncio.Queue(),
                asyncio.Event(),
            )
            self.assertIsNone(handover_socket.connect())
            handover_socket.listen(accepted.put_nowait)
            one = Link(handover_socket.connect(), lambda *message: None, disconnected.set)
            two = Link(await accepted.get(), lambda *message: received.put_nowait(message), disconnected.set)
            read, write = os.pipe()
            for n in range(300):
                self.assertTrue(one.send("x", {"n": n}, b"\n{" * n))
            self.assertTrue(one.send("pipe", descriptor=write))
            for n in range(300):
                self.assertEqual(await received.get(), ({"what": "x", "n": n}, b"\n{" * n, None))
            _, _, descriptor = await received.get()
            os.write(descriptor, b"y")
            self.assertEqual(os.read(read, 1), b"y")
            self.assertFalse(one.send("x", {}, b"z" * (1 << 20)))
            two.close()
            await asyncio.wait_for(disconnected.wait(), TIMEOUT_S)
            self.assertFalse(one.send("x"))
            for fd in (read, descriptor):
                os.close(fd)
            handover_socket.close()


class HandoverState(unittest.TestCase):
    """Jobs and learned state, handed over from one decision module to another."""

    def node(self):
        jobs = (
            api.JobClass(deadline=9000.0, aim=900.0, stretch=2.0, effect=api.Effect.UNSAFE),
            api.JobClass(deadline=9000.0, aim=900.0, stretch=2.0, effect=api.Effect.KEYED, window=5000.0),
        )
        node = Node(api.Settings(jobs, (api.Tenant(8.0), api.Tenant(3.0)), cold_time=8000.0, max_attempts=5))
        node.update_workers(*workers(1, started=node.now - 1000.0), *workers(2, first=2))
        return node

    def test_jobs_and_their_attempts_are_handed_over(self):
        old, new = self.node(), self.node()
        for job in range(8):
            old.submit(job, job % 2)
        old.now += 50.0
        old.end_attempt(1, 0, api.Outcome.RESET)  # it may have run, so it keeps its group and window
        for job in range(8):
            state = json.loads(json.dumps(handover_state.remove_job(old.balancer, job)))
            before = old.jobs[job]
            self.assertIsNone(handover_state.remove_job(old.balancer, job))
            new.jobs[100 + job] = before
            for action in handover_state.adopt_job(new.balancer, 100 + job, state, old.now):
                new.check(action)
        self.assertEqual((old.balancer.held_slots, old.balancer.waiting_count, old.balancer.jobs), (0, 0, {}))
        self.assertEqual([w.held_slots for w in old.balancer.workers.values()], [0.0] * 3)
        new.now = old.now
        new.run_until(30_000.0)  # the harness checks each rule, and that no job is lost
        self.assertTrue(all(new.jobs[100 + job].answer for job in range(8)))

    def test_learned_state_is_handed_over_and_cold_turns_are_not_repeated(self):
        old, new = self.node(), self.node()
        old.balancer.workers[1].cold_turn, old.balancer.workers[2].avoid_until, old.balancer.mean_times[0] = (
            4,
            5000.0,
            321.0,
        )
        state = json.loads(
            json.dumps([handover_state.learned_state(old.balancer), handover_state.worker_states(old.balancer)])
        )
        handover_state.restore_learned_state(new.balancer, state[0])
        new.update_workers(*workers(1, started=new.now), *workers(2, first=2))  # the first worker has restarted since
        for worker in state[1]:
            handover_state.restore_worker(new.balancer, worker)
        self.assertEqual([w.cold_turn for w in new.balancer.workers.values()], [-1, -1, -1])
        self.assertEqual((new.balancer.workers[2].avoid_until, new.balancer.mean_times[0]), (5000.0, 321.0))
        new = self.node()
        for worker in state[1]:
            handover_state.restore_worker(new.balancer, worker)
        self.assertEqual(new.balancer.workers[1].cold_turn, 4)
