"""An hour at the branch desks, compressed: the real program on loopback, its clock running faster than time.

Timed jobs, chains, diamonds, parents that fail, a flood of bookings with reports behind it, a worker that goes dark
and one that drains, over both protocols (HTTP and Faktory). The expected result of each job is recorded when it is
submitted, and compared with what its client and the workers received.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import numpy as np

from millethead.config import load_config
from millethead.exchange.model import Answer, Order
from millethead.lab.clock import FastClock
from millethead.lab.standins import Discovery, Faktory, HttpWorker, Ledger, fetch_loop, post
from millethead.operators import load_operator
from millethead.program import Program
from millethead.waiting.stage import WaitingStage

CLASSES: list[dict[str, Any]] = [
    {"name": "desk-search", "deadline": 7500.0, "goal_time": 2000.0, "effect": "retryable", "worth": 2.0},
    {"name": "usage-report", "deadline": 25000.0, "goal_time": 6000.0, "effect": "retryable", "worth": 3.0},
    {"name": "paid-booking", "deadline": 15000.0, "goal_time": 2000.0, "effect": "fragile", "worth": 10.0},
    {
        "name": "refund",
        "deadline": 15000.0,
        "goal_time": 3000.0,
        "effect": "dedup",
        "dedup_scope": "cell",
        "window": 25000.0,
        "worth": 8.0,
    },
]
WORK = {"desk-search": 1000.0, "usage-report": 4000.0, "paid-booking": 2000.0, "refund": 1500.0}
SETTINGS: dict[str, Any] = {
    "azs": ["tbilisi", "kutaisi"],
    "kinds": ["newer-box", "older-box"],
    "classes": CLASSES,
    "tenants": [{"name": "rustaveli-desks", "quota_rps": 1.5}, {"name": "rioni-hub", "quota_rps": 0.6}],
    "family_info": {"class_stretch": [2.0, 2.0, 2.0, 2.0], "report_x0": "free slots", "tells_start": False},
    "membership_mode": "subscribe",
    "report": {"columns": ["lat_ms", "rif", "x0"], "how": "probe"},
    "permissions": {
        "cancel": True,
        "connect_timeout": 20000.0,
        "keepalive": 60000.0,
        "parallel_tries": True,
        "probes": True,
        "try_limit": 5,
    },
    "rules": {
        "ask_every": 100000.0,
        "cold": 8000.0,
        "cold_from": 0.32,
        "drain_grace": 750.0,
        "fall": 1500.0,
        "fall_multiple": 3.0,
        "grace_to_answer": 20.0,
    },
    "prices": {"cross_zone": 0.041, "probe": 0.0024},
    "zone": 0,
    "balancers": 1,
}
TICK = 2.5  # ms of real time: the grain of the loop, which no speed makes finer
BOUNDS = {"usage-report": 300.0}
OPERATOR = """
[faktory]
listen = "127.0.0.1:0"
[faktory.classes.usage-report]
jobtypes = ["Report"]
[faktory.classes.paid-booking]
jobtypes = ["Book"]
[faktory.classes.refund]
jobtypes = ["Refund"]
[faktory.classes.desk-search]
jobtypes = ["Search"]
[waiting]
aged_rate = 0.5
[waiting.classes.usage-report]
bound_s = 300
"""
JOBTYPES = {"usage-report": "Report", "paid-booking": "Book", "refund": "Refund", "desk-search": "Search"}
SLOTS = 6  # two HTTP workers and one Faktory worker of two each
QUEUES = "usage-report payments paid-booking refund desk-search"
ASKED = 5000.0  # ms after a job's end that its client asks
LATE = 1500.0  # ms of real time past the end of the arrivals in which all must be over, beyond the bounds


@dataclass
class Job:
    """What one job is owed."""

    id: str
    name: str
    front: str
    kind: str  # timed, chain, diamond, doomed, flood, report, ...
    at: float = 0.0
    after: tuple[str, ...] = ()
    timeout: float = 0.0  # ms, the client's own
    came: float = 0.0
    answers: list[str] = field(default_factory=list)  # what the program says that it answered
    seen: list[str] = field(default_factory=list)  # what its client saw
    ended: float = 0.0


class Hour:
    """One run of `seconds` simulated seconds at `speed` times the speed of time."""

    def __init__(self, seconds: float, speed: float, seed: int, flood: float = 1.5) -> None:
        self.seconds, self.flood = seconds, flood
        self.clock, self.rng, self.ledger = FastClock(speed), np.random.default_rng(seed), Ledger()
        self.jobs: dict[str, Job] = {}
        self.work: dict[str, float] = {}
        self.ledger.work = lambda job_id: self.work[job_id]
        self.turned_away: list[str] = []
        self.to_ask: asyncio.Queue[Job] = asyncio.Queue()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.count = self.returned = 0

    # ---- the parties ---------------------------------------------------------------------------------

    async def play(self) -> list[dict[str, Any]]:
        """Run it; returns the table's rows."""
        with tempfile.TemporaryDirectory() as folder:
            await self._open(Path(folder))
            try:
                await self._arrivals()
                await self._wait_for_the_end()
            finally:
                for task in self.tasks:
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)
                stage = self.program.stage
                self.returned = stage.delayed_jobs.retried if isinstance(stage, WaitingStage) else 0
                self.program.finish()
                await self.running
                for worker in self.workers:
                    await worker.close()
                await self.discovery.close()
        return self.table()

    async def _open(self, base: Path) -> None:
        self.discovery = Discovery()
        await self.discovery.open()
        self.workers = [HttpWorker(f"s-{n:08x}", self.clock, self.ledger) for n in range(2)]
        for n, worker in enumerate(self.workers):
            await worker.open()
            self.discovery.put(worker.name, address=f"127.0.0.1:{worker.port}", group=n)
        (base / "config.json").write_text(
            json.dumps(
                {
                    "name": "n1",
                    "seed": "1",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{self.discovery.port}",
                    "limits": {"sockets": 1024},
                    "known": self.discovery.whole(),
                    "settings": {**SETTINGS, "tick": TICK * self.clock.speed},
                }
            )
        )
        (base / "operator.toml").write_text(OPERATOR)
        load = partial(load_config, {"BALANCER_CONFIG": str(base / "config.json")})
        config = load()
        operator = load_operator(str(base / "operator.toml"), config.names("classes"), config.names("azs"))
        self.program = Program(config, operator, load, self.clock)
        self.program.stage.finished = self._finished
        self.running = asyncio.create_task(self.program.run())
        serving = asyncio.create_task(self.program.serving.wait())
        await asyncio.wait({serving, self.running}, return_when=asyncio.FIRST_COMPLETED)
        assert self.program.faktory is not None
        self.http = next(iter(self.program.acceptor._sockets.values())).getsockname()[1]
        self.faktory = next(iter(self.program.faktory._sockets.values())).getsockname()[1]
        for worker in self.workers:
            worker.dispatcher = self.http
        for _ in range(2):
            self._spawn(fetch_loop(self.faktory, "w-faktory", QUEUES, self.clock, self.ledger))
        self._spawn(self._ask())
        self.pusher = await Faktory.open(self.faktory)

    def _spawn(self, what: Any) -> None:
        task = asyncio.create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _finished(self, order: Order, answer: Answer | None, came: float, ended: float) -> None:
        job = self.jobs[order.id]
        job.answers.append(answer.final.value if answer is not None else "withdrawn")
        job.ended = ended
        if job.front == "faktory":
            self.to_ask.put_nowait(job)

    async def _ask(self) -> None:
        """Clients ask what became of what they pushed: some seconds later, while it is remembered."""
        link = await Faktory.open(self.faktory)
        while True:
            job = await self.to_ask.get()
            await asyncio.sleep(max(0.0, (job.ended + ASKED - self.clock.now()) / 1000 / self.clock.speed))
            said = await link.ask(f"TRACK GET {job.id}")
            job.seen.append(said["desc"] if said["state"] in ("success", "failed") else said["state"])
            self.to_ask.task_done()

    # ---- the jobs ------------------------------------------------------------------------------------

    def _job(self, name: str, front: str, kind: str, **more: Any) -> Job:
        self.count += 1
        job = Job(f"{kind}-{self.count:06d}", name, front, kind, came=self.clock.now(), **more)
        self.jobs[job.id] = job
        self.work[job.id] = WORK[name] * float(self.rng.lognormal(-0.08, 0.4))
        return job

    def _pushed(self, job: Job) -> dict[str, Any]:
        custom: dict[str, Any] = {"tenant": self._tenant()}
        if job.after:
            custom["after"] = list(job.after)
        made = {"jid": job.id, "jobtype": JOBTYPES[job.name], "queue": "any", "args": [1], "custom": custom}
        if job.at:
            made["at"] = np.datetime64(int(job.at), "ms").astype(str) + "Z"
        return made

    def _tenant(self) -> str:
        return "rustaveli-desks" if self.rng.random() < 0.7 else "rioni-hub"

    async def _push(self, *jobs: Job) -> None:
        failed = await self.pusher.ask("PUSHB " + json.dumps([self._pushed(job) for job in jobs]))
        for job_id, why in failed.items():
            self.turned_away.append(f"{job_id}: {why}")
            del self.jobs[job_id]

    async def _post(self, job: Job) -> None:
        fields: dict[str, object] = {
            "X_Priority_Class": job.name,
            "X_Tenant_Id": self._tenant(),
            "X_Timeout": job.timeout / 1000,
            "Idempotency_Key": job.id,
            "X_Cost": round(self.work[job.id] * 1000),
        }
        if job.at:
            fields["X_Run_At"] = f"{job.at / 1000:.3f}"
        if job.after:
            fields["X_Run_After"] = ", ".join(job.after)
        status, answer = await post(self.http, job.id, **fields)
        job.seen.append({200: "served", 503: "refused"}.get(status, "failed"))
        assert status != 503 or "retry-after" in answer, "a refusal without Retry-After"

    async def _arrivals(self) -> None:
        """Everything that happens, in order of time."""
        start = self.clock.now()
        events: list[tuple[float, str]] = []

        def every(rate: float, what: str, since: float = 0.0, until: float = 1.0) -> None:
            at = since * self.seconds
            while (at := at + float(self.rng.exponential(1 / rate))) < until * self.seconds:
                events.append((at, what))

        capacity = SLOTS * 1000 / WORK["paid-booking"]
        every(0.3 * capacity, "booking", 0.0, 0.25)
        every(self.flood * capacity, "booking", 0.25, 0.7)
        every(0.3 * capacity, "booking", 0.7, 1.0)
        every(0.1, "report")
        every(0.05, "refund")
        every(0.04, "timed")
        every(0.02, "timed_http")
        every(0.02, "chain")
        every(0.02, "diamond")
        every(0.02, "doomed")
        for part, what in ((0.4, "dark"), (0.5, "light"), (0.6, "drain"), (0.75, "undrain")):
            events.append((part * self.seconds, what))
        for at, what in sorted(events):
            pause = (start + at * 1000 - self.clock.now()) / 1000 / self.clock.speed
            await asyncio.sleep(max(0.0, pause))
            await getattr(self, "_" + what)()

    async def _booking(self) -> None:
        self._spawn(self._post(self._job("paid-booking", "http", "flood", timeout=15_000.0)))

    async def _report(self) -> None:
        await self._push(self._job("usage-report", "faktory", "report"))

    async def _refund(self) -> None:
        self._spawn(self._post(self._job("refund", "http", "refund", timeout=15_000.0)))

    async def _timed(self) -> None:
        at = self.clock.wall() + float(self.rng.uniform(5_000, max(10_000.0, self.seconds * 200)))
        await self._push(
            self._job(str(self.rng.choice(["usage-report", "desk-search", "paid-booking"])), "faktory", "timed", at=at)
        )

    async def _timed_http(self) -> None:
        at = self.clock.wall() + float(self.rng.uniform(2_000, 10_000))
        self._spawn(self._post(self._job("desk-search", "http", "timed", at=at, timeout=20_000.0)))

    async def _chain(self) -> None:
        first = self._job("desk-search", "faktory", "chain", at=self.clock.wall() + 3000.0)
        second = self._job("paid-booking", "faktory", "chain", after=(first.id,))
        third = self._job("usage-report", "faktory", "chain", after=(second.id,))
        await self._push(third, second, first)  # parents may be named before they come
        # and one over the other front, which waits for its answer all the while
        self._spawn(self._post(self._job("desk-search", "http", "chain", after=(first.id,), timeout=60_000.0)))

    async def _diamond(self) -> None:
        top = self._job("desk-search", "faktory", "diamond")
        sides = [self._job("desk-search", "faktory", "diamond", after=(top.id,)) for _ in range(2)]
        bottom = self._job("usage-report", "faktory", "diamond", after=tuple(side.id for side in sides))
        await self._push(top, *sides, bottom)

    async def _doomed(self) -> None:
        """A parent that fails takes all below it along."""
        parent = self._job("paid-booking", "faktory", "doomed")
        self.ledger.broken.add(parent.id)
        child = self._job("usage-report", "faktory", "doomed", after=(parent.id,))
        below = self._job("desk-search", "faktory", "doomed", after=(child.id,))
        await self._push(parent, child, below)

    async def _dark(self) -> None:
        self.workers[0].dark = True

    async def _light(self) -> None:
        self.workers[0].dark = False

    async def _drain(self) -> None:
        await self.discovery.change(self.workers[1].name, status="terminating")

    async def _undrain(self) -> None:
        await self.discovery.change(self.workers[1].name, status="in_service")

    async def _wait_for_the_end(self) -> None:
        """Until nothing is owed, and all have asked."""
        longest = max(BOUNDS.values()) * 3000 / self.clock.speed + LATE
        last = max((job.at for job in self.jobs.values()), default=0.0)
        until = (
            asyncio.get_running_loop().time() + (max(0.0, last - self.clock.now()) / self.clock.speed + longest) / 1000
        )
        while any(not job.answers for job in self.jobs.values()):
            if asyncio.get_running_loop().time() > until:
                break
            await asyncio.sleep(0.05)
        with suppress(TimeoutError):
            await asyncio.wait_for(self.to_ask.join(), 10.0)
        await asyncio.sleep(0.2)  # the last HTTP clients read their answers

    # ---- the table -----------------------------------------------------------------------------------

    def due(self, job: Job) -> float:
        """When it could run: its time, and the ends of its parents."""
        return max([job.came, job.at, *(self.jobs[p].ended for p in job.after if p in self.jobs)])

    def over(self, job: Job) -> float:
        """How much of what it was owed it took: 1.0 is the bound."""
        deadline = {c["name"]: c["deadline"] for c in CLASSES}[job.name]
        allowed = BOUNDS[job.name] * 1000 if job.name in BOUNDS else deadline
        spent = (job.ended - self.due(job)) / allowed
        if job.timeout:
            spent = max(spent, (job.ended - job.came) / job.timeout)
        return spent

    def wrong(self) -> list[str]:
        """What must not be, a line each."""
        out = list(self.turned_away)
        for job in self.jobs.values():
            if len(job.answers) != 1 or job.seen != job.answers:
                out.append(f"{job.id}: answered {job.answers}, its client saw {job.seen}")
            if job.name == "paid-booking" and self.ledger.runs[job.id] > 1:
                out.append(f"{job.id}: ran {self.ledger.runs[job.id]} times at {self.ledger.where[job.id]}")
            if job.name == "refund" and len(set(self.ledger.where.get(job.id, ()))) > 1:
                out.append(f"{job.id}: left its cell: {self.ledger.where[job.id]}")
            if job.answers == ["served"] and not self.ledger.runs[job.id]:
                out.append(f"{job.id}: served, but no worker ran it")
            if (
                any(self.jobs[p].answers != ["served"] for p in job.after if p in self.jobs)
                and (self.ledger.runs[job.id])
            ):
                out.append(f"{job.id}: ran though a parent did not serve")
        return out

    def table(self) -> list[dict[str, Any]]:
        rows = []
        kinds = sorted({(job.kind, job.name, job.front) for job in self.jobs.values()})
        for kind, name, front in kinds:
            mine = [j for j in self.jobs.values() if (j.kind, j.name, j.front) == (kind, name, front)]
            finals = Counter(j.answers[0] if len(j.answers) == 1 else "WRONG" for j in mine)
            waits = sorted(j.ended - self.due(j) for j in mine)
            rows.append(
                {
                    "kind": kind,
                    "class": name,
                    "front": front,
                    "jobs": len(mine),
                    **{word: finals[word] for word in ("served", "refused", "failed", "WRONG")},
                    "wait_p50_s": round(waits[len(waits) // 2] / 1000, 2),
                    "wait_max_s": round(waits[-1] / 1000, 2),
                    "longest_over_bound": round(max(self.over(j) for j in mine), 4),
                    "most_runs": max(self.ledger.runs[j.id] for j in mine),
                }
            )
        return rows
