"""Client side over Faktory: a connection's greeting and its commands."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from typing import Any

import structlog

from millethead import __version__
from millethead.decide.interface import Outcome
from millethead.exchange.model import Answer, Final, Order
from millethead.exchange.records import Record
from millethead.exchange.stage import Amendment, Stage, Unusable
from millethead.fronts.faktory import resp
from millethead.fronts.faktory.jobs import ORIGIN, Jobs, read_jid
from millethead.fronts.faktory.workers import FaktoryWorkers, Process
from millethead.net.accept import FAULTS, FIRST_TIME, READ_TIME, Server
from millethead.net.answer import WRITE_TIME
from millethead.net.connection import Connection, within

log = structlog.get_logger()
ROUNDS = 4096  # of the password's hash
FETCH_TIME = 2.0  # s that a FETCH waits, as the protocol has it
IDLE_TIME = 900.0  # s: clients keep their connections in pools
BULK = 1000  # jobs in one PUSHB
TARGETS = ("scheduled", "waiting", "aged")  # the protocol's set of set times, and the two that we add


def password_hash(password: str, salt: str, rounds: int) -> str:
    digest = (password + salt).encode()
    for _ in range(rounds):
        digest = hashlib.sha256(digest).digest()
    return digest.hex()


class FaktoryServer(Server):
    def __init__(self, stage: Stage, jobs: Jobs, workers: FaktoryWorkers, limit: int) -> None:
        super().__init__(limit)
        self.stage, self.jobs, self.workers = stage, jobs, workers

    async def talk(self, conn: Connection) -> None:
        session = Session(self, conn)
        try:
            await session.run()
        finally:
            session.over()


class Session:
    def __init__(self, server: FaktoryServer, conn: Connection) -> None:
        self.server, self.conn = server, conn
        self.stage, self.jobs, self.workers = server.stage, server.jobs, server.workers
        self.peer, self.client = conn.peer, ""
        self.process: Process | None = None
        self.commands: dict[str, Callable[[str], Awaitable[bytes]]] = {
            "PUSH": self.push,
            "PUSHB": self.push_bulk,
            "FETCH": self.fetch,
            "ACK": self.ack,
            "FAIL": self.fail,
            "BEAT": self.beat,
            "INFO": self.info,
            "TRACK": self.track,
            "MUTATE": self.mutate,
        }

    async def run(self) -> None:
        if not await self.greet():
            return
        self.server.work(self.conn)  # from here on it is nobody's to close: a worker fetches with long pauses
        faults = 0
        while faults < FAULTS:
            line = await self.read(IDLE_TIME)
            if line is None:
                await self.write(resp.error("a line that is too long or does not end in CR LF"))
                return
            try:
                verb, rest = resp.split_command(line)
                if verb == "END":
                    await self.write(resp.simple("OK"))
                    return
                command = self.commands.get(verb)
                if command is None:
                    raise resp.BadCommand("unknown command")
                reply, faults = await command(rest), 0
            except resp.BadCommand as bad:
                reply, faults = resp.error(str(bad)), faults + 1
            if reply:
                await self.write(reply)

    def over(self) -> None:
        """The connection ended. What its client pushed goes on: a disconnect withdraws nothing."""
        if self.process is not None:
            self.workers.left(self.process)
            self.process = None

    async def read(self, idle: float) -> bytes | None:
        if not len(self.conn.buffer):
            await within(idle, self.conn.fill())
        try:
            return await within(READ_TIME, self.conn.line(resp.LINE))
        except OverflowError:
            return None

    async def write(self, data: bytes) -> None:
        await within(WRITE_TIME, self.conn.write(data))

    # ---- the greeting --------------------------------------------------------------------------------

    async def greet(self) -> bool:
        password = self.jobs.setup.password
        salt = secrets.token_hex(8)
        hi: dict[str, Any] = {"v": 2}
        if password:
            hi |= {"s": salt, "i": ROUNDS}
        await self.write(b"+HI " + resp.bulk(hi).split(b"\r\n")[1] + b"\r\n")
        line = await within(FIRST_TIME, self.read(FIRST_TIME))
        try:
            verb, rest = resp.split_command(line or b"")
            if verb != "HELLO":
                raise resp.BadCommand("HELLO is wanted first")
            hello = resp.read_object(rest)
            if hello.get("v") != 2:
                raise resp.BadCommand("only version 2 of the protocol is spoken")
            if password and not hmac.compare_digest(
                str(hello.get("pwdhash", "")).encode(), password_hash(password, salt, ROUNDS).encode()
            ):
                log.warning("faktory_login_failed", peer=self.conn.peer)
                raise resp.BadCommand("invalid password")
            wid = hello.get("wid")
            if wid is not None and (not isinstance(wid, str) or len(wid) > 64 or not wid.isprintable()):
                raise resp.BadCommand("wid: 64 printable characters at most are wanted")
        except resp.BadCommand as bad:
            await self.write(resp.error(str(bad)))
            return False
        hostname = hello.get("hostname")
        self.client = wid or (hostname[:256] if isinstance(hostname, str) else "")
        if wid:
            self.process = self.workers.joined(wid)
        await self.write(resp.simple("OK"))
        return True

    # ---- clients -------------------------------------------------------------------------------------

    def order(self, job: Any) -> Order | None:
        """The order that a job means; None for a jid that is known, which is the same job."""
        if not isinstance(job, dict):
            raise resp.BadCommand("an object is wanted")
        if self.stage.record(ORIGIN, read_jid(job)) is not None:
            return None
        return self.jobs.order(job, self.peer, self.client)

    async def push(self, rest: str) -> bytes:
        order = self.order(resp.read_object(rest))
        if order is not None:
            _heard.pause = 0.0
            try:
                number: int | Unusable = self.stage.arrive(order, _heard)
            except Unusable as why:
                number = why
            self.accepted(order, number)
        return resp.simple("OK")

    def accepted(self, order: Order, number: int | Unusable) -> None:
        """Raises BadCommand if a job was not taken. One that had its answer at once, and is known, was."""
        if isinstance(number, Unusable):
            raise resp.BadCommand(str(number))
        if not number and self.stage.record(ORIGIN, order.id) is None:
            if _heard.pause:
                raise resp.BadCommand(f"not accepted now: come back in {_heard.pause / 1000:.3f} s")
            raise resp.BadCommand("not accepted now: too much is held, or this dispatcher is stopping")

    async def push_bulk(self, rest: str) -> bytes:
        jobs = resp.read_json(rest)
        if not isinstance(jobs, list) or len(jobs) > BULK:
            raise resp.BadCommand(f"a list of {BULK} jobs at most is wanted")
        failed: dict[str, str] = {}
        orders: dict[str, Order] = {}  # a jid that comes twice in one list is the same job
        for n, job in enumerate(jobs):
            try:
                order = self.order(job)
                if order is not None:
                    orders.setdefault(order.id, order)
            except resp.BadCommand as bad:
                jid = job.get("jid") if isinstance(job, dict) else None
                failed[jid if isinstance(jid, str) else f"#{n}"] = str(bad)
        _heard.pause = 0.0
        numbers = self.stage.arrive_all([(order, _heard) for order in orders.values()])
        for order, number in zip(orders.values(), numbers, strict=True):
            try:
                self.accepted(order, number)
            except resp.BadCommand as bad:
                failed[order.id] = str(bad)
        return resp.bulk(failed)

    async def mutate(self, rest: str) -> bytes:
        """Jobs that wait here are withdrawn or made due (the protocol's Mutate API)."""
        self.stage.amend(read_mutate(resp.read_object(rest)))
        return resp.simple("OK")

    async def track(self, rest: str) -> bytes:
        verb, _, jid = rest.partition(" ")
        if verb.upper() != "GET":
            raise resp.BadCommand("only TRACK GET is known")
        return resp.bulk(tracked(jid.strip(), self.stage.record(ORIGIN, jid.strip())))

    async def info(self, rest: str) -> bytes:
        return resp.bulk(
            {
                "server": {
                    "description": "millethead",
                    "faktory_version": __version__,
                    "connections": len(self.server.open),
                },
                "faktory": {
                    "tasks": {name.capitalize(): {"size": size} for name, size in self.stage.counts().items()},
                    "queues": {},
                    "held": self.stage.held,
                },
            }
        )

    # ---- workers -------------------------------------------------------------------------------------

    def worker(self) -> Process:
        if self.process is None:
            raise resp.BadCommand("only a worker may do this: no wid in HELLO")
        return self.process

    async def fetch(self, rest: str) -> bytes:
        process = self.worker()
        waiting = self.workers.fetch(process, self.conn, rest.split() or ["default"])
        if waiting is None:
            await asyncio.sleep(FETCH_TIME)  # a worker that drains asks on, but must not spin
            return resp.bulk(None)

        def gone() -> None:
            if not waiting.job.done():
                waiting.job.set_result(b"")

        self.conn.on_close(gone)
        try:
            done, _ = await asyncio.wait([waiting.job], timeout=FETCH_TIME)
            if not done:
                waiting.job.set_result(resp.bulk(None))
            return waiting.job.result() or b""
        finally:
            self.conn.on_close(None)
            self.workers.fetch_over(process, waiting)

    async def ack(self, rest: str) -> bytes:
        process, body = self.worker(), resp.read_object(rest)
        result = body.get("result", "")
        self.workers.ended(
            process, read_jid(body), Outcome.OK, result.encode("utf-8", "replace") if isinstance(result, str) else b""
        )
        return resp.simple("OK")

    async def fail(self, rest: str) -> bytes:
        process, body = self.worker(), resp.read_object(rest)
        self.workers.ended(process, read_jid(body), Outcome.ERROR)
        return resp.simple("OK")

    async def beat(self, rest: str) -> bytes:
        process, body = self.worker(), resp.read_object(rest)
        if body.get("wid", process.wid) != process.wid:
            raise resp.BadCommand("a BEAT for another wid")
        state = body.get("current_state", "")
        if state not in ("", "quiet", "terminate", None):
            raise resp.BadCommand("current_state: quiet or terminate is wanted")
        self.workers.beat(process, state or "")
        return resp.bulk({"state": "quiet"}) if self.stage.closing else resp.simple("OK")


class _Heard:
    """A client that pushed a job waits for no answer: it asks by TRACK. Only the longest pause of those that were
    turned away within one command is of use; one object for all jobs, since each keeps its own for long."""

    pause = 0.0

    def __call__(self, answer: Answer) -> None:
        self.pause = max(self.pause, answer.pause)


_heard = _Heard()


def read_mutate(mutation: dict[str, Any]) -> Amendment:
    """What a MUTATE asks for; raises BadCommand."""
    cmd, target, chosen = mutation.get("cmd"), mutation.get("target"), mutation.get("filter") or {}
    if cmd not in ("clear", "discard", "requeue"):
        raise resp.BadCommand("cmd: clear, discard or requeue is wanted: nothing dead is kept here")
    if target not in TARGETS:
        raise resp.BadCommand(f"target: one of {', '.join(TARGETS)} is wanted")
    if cmd == "requeue" and target != "scheduled":
        raise resp.BadCommand("requeue: only what is scheduled can be made due: the rest waits for others")
    if not isinstance(chosen, dict) or set(chosen) - {"jids", "jobtype"} or (cmd == "clear" and chosen):
        raise resp.BadCommand("filter: jids and jobtype are known, and none for clear")
    jids, jobtype = chosen.get("jids"), chosen.get("jobtype", "")
    if not isinstance(jobtype, str) or (
        jids is not None and not (isinstance(jids, list) and all(isinstance(jid, str) for jid in jids))
    ):
        raise resp.BadCommand("filter: jids is a list of jids, jobtype a text")
    if cmd != "clear" and jids is None and not jobtype:
        raise resp.BadCommand("filter: jids or a jobtype are wanted")
    return Amendment(ORIGIN, target, None if jids is None else frozenset(jids), jobtype, cmd == "requeue")


def tracked(jid: str, record: Record | None) -> dict[str, Any]:
    """A job's outcome in the protocol's words; what was refused is told apart by `desc`."""
    if record is None:
        return {"jid": jid, "state": "unknown", "updated_at": ""}
    state = "working" if record.attempts else "enqueued"
    if record.ended:
        state = "success" if record.final is Final.SERVED else "failed"
    when = datetime.fromtimestamp(record.at / 1000, UTC).isoformat()
    return {
        "jid": jid,
        "state": state,
        "desc": record.state or (record.final.value if record.final else ""),
        "updated_at": when,
    }
