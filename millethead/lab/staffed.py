"""A pack that does work: booking workers, a load on every dispatcher, and somebody who starts anew what has ended.

Who looks after processes reads what `rollout` wrote (`NAME.wanted`) for the version to start. A version in `bad` is one
whose dispatchers reach only workers that fail every job.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

from millethead.lab.clock import FastClock
from millethead.lab.faults import Faults
from millethead.lab.pack import Node, Pack, Times
from millethead.lab.standins import Discovery, HttpWorker, Ledger, post

CLASSES = ("paid-booking", "desk-search")


class Staffed(Pack):
    def __init__(
        self,
        folder: Path,
        settings: dict[str, Any],
        faults: Faults,
        rollout: str,
        voters: int = 3,
        times: Times | None = None,
    ) -> None:
        """`rollout`: more lines for the table [rollout]."""
        names = ", ".join(f'"d{n}"' for n in range(voters))
        super().__init__(
            folder,
            settings,
            faults,
            times,
            voters,
            lambda name: f'[rollout]\nfolder = "{folder}"\nvoters = [{names}]\n{rollout}\n',
        )
        self.bad, self.down = set[str](), set[str]()  # versions; nodes that nobody starts anew
        self.good_list, self.bad_list, self.ledger = Discovery(), Discovery(), Ledger()
        self.ledger.work = lambda job: 20.0
        self.workers: list[HttpWorker] = []
        self.answers: Counter[tuple[str, int]] = Counter()  # (dispatcher, status); 0: turned away (nobody listens)
        self.unanswered: list[str] = []  # jobs whose connection was reset, closed or silent, with how and when
        self.starts: list[tuple[str, str]] = []  # (dispatcher, version), each start of a process
        self.rate = 20.0  # jobs a second at each dispatcher
        self._keepers: list[asyncio.Task[None]] = []
        self._jobs: set[asyncio.Task[None]] = set()
        self._number = 0

    async def open(self, count: int) -> Staffed:
        for n in range(count):
            await self.add(f"d{n}")
        for which in (self.good_list, self.bad_list):
            await which.open()
        ports = [node.client for node in self.nodes.values()]
        for n in range(5):
            worker = HttpWorker(f"s-{n + 1:08x}", FastClock(1.0), self.ledger, slots=16, queue=16)
            await worker.open()
            worker.more, worker.fails = ports, n == 4
            self.workers.append(worker)
            self.list_of(worker).put(
                worker.name,
                address=f"127.0.0.1:{worker.port}",
                group=n + 1,
                type="older-box" if n == 3 else "newer-box",
            )
        for node in self.nodes.values():
            await self.start(node.name)
            self._keepers.append(asyncio.create_task(self._keep(node)))
        return self

    def list_of(self, worker: HttpWorker) -> Discovery:
        return self.bad_list if worker.fails else self.good_list

    async def start(self, name: str) -> None:
        node = self.nodes[name]
        which = self.bad_list if node.version in self.bad else self.good_list
        self.discovery, self.known = f"127.0.0.1:{which.port}", which.whole()
        self.starts.append((name, node.version))
        await super().start(name)

    async def _keep(self, node: Node) -> None:
        """Whoever looks after processes: one that ends is started anew, as the version that is wanted."""
        while True:
            process = node.process
            assert process is not None
            await process.wait()
            await asyncio.sleep(0.1)
            if process is not node.process or node.name in self.down:
                await asyncio.sleep(0.1)
                continue
            with suppress(OSError, ValueError):
                node.version = json.loads((self.folder / f"{node.name}.wanted").read_text())["version"]
            await self.start(node.name)

    def load(self) -> None:
        """From now on, jobs come to every dispatcher."""
        self._keepers += [asyncio.create_task(self._load(node)) for node in self.nodes.values()]

    async def _load(self, node: Node) -> None:
        while True:
            await asyncio.sleep(1 / self.rate)
            self._number += 1
            task = asyncio.create_task(self._job(node, f"{node.name}-{self._number}", CLASSES[self._number % 2]))
            self._jobs.add(task)
            task.add_done_callback(self._jobs.discard)

    async def _job(self, node: Node, job: str, cls: str) -> None:
        began = time.monotonic()
        try:
            async with asyncio.timeout(20):
                status, _ = await post(
                    node.client, job, X_Priority_Class=cls, X_Tenant_Id="rioni-hub", X_Timeout=14, Connection="close"
                )
        except ConnectionRefusedError:
            status = 0
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.unanswered.append(f"{job}: sent at {began:.3f}, {error!r} after {time.monotonic() - began:.3f} s")
            return
        self.answers[node.name, status] += 1

    async def close(self) -> None:
        for task in self._keepers:
            task.cancel()
        await asyncio.gather(*self._keepers, return_exceptions=True)
        if self._jobs:
            await asyncio.wait(self._jobs, timeout=5)
        await super().close()
        for party in (*self.workers, self.good_list, self.bad_list):
            await party.close()

    # ---- what must hold ----------------------------------------------------------------------------------

    def twice(self) -> list[str]:
        """Jobs of `paid-booking` that began to run more than once."""
        return [job for job, runs in self.ledger.runs.items() if runs > 1 and not int(job.rpartition("-")[2]) % 2]

    def ends(self) -> list[tuple[str, str, float]]:
        """(dispatcher, event, time) of every start and end of a process, and of its going for a release."""
        return [
            (said.node, said.event, round(said.at, 3))
            for said in self.said
            if said.event in ("serving", "ended", "rollout_goes")
        ]

    def total(self, *statuses: int) -> int:
        return sum(count for (_, status), count in self.answers.items() if status in statuses)

    async def fleet(self, name: str) -> dict[str, Any]:
        """What a dispatcher says of the fleet; empty where it does not answer."""
        status, text = await self.call(name, "GET", "/fleet")
        found: dict[str, Any] = json.loads(text) if status == 200 else {}
        return found

    async def release(self, name: str) -> str:
        """The status of the release, as one dispatcher knows it."""
        return str(((await self.fleet(name)).get("release") or {}).get("status", ""))

    async def reach(self, name: str, status: str, seconds: float = 60.0) -> float:
        """Wait for the release to have this status; returns how long that took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while await self.release(name) != status:
            if loop.time() - began > seconds:
                raise AssertionError(
                    f"seed {self.faults.seed}: {name} says {await self.fleet(name)}\n"
                    + "\n".join(
                        f"{n.name} {n.version} {self.running(n.name)}\n{''.join(n.lines[-6:])}"
                        for n in self.nodes.values()
                    )
                )
            await asyncio.sleep(0.05)
        return loop.time() - began
