"""The Faktory front end: the handshake and the commands of a connection."""

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
from millethead.exchange.stage import Amendment, InvalidOrder, Stage
from millethead.frontends.faktory import resp
from millethead.frontends.faktory.jobs import ORIGIN, Jobs, read_jid
from millethead.frontends.faktory.workers import FaktoryWorkers, Process
from millethead.net.accept import FIRST_REQUEST_TIMEOUT_S, MAX_CONSECUTIVE_ERRORS, REQUEST_TIMEOUT_S, Server
from millethead.net.connection import Connection, with_timeout
from millethead.net.response import WRITE_TIMEOUT_S

log = structlog.get_logger()
HASH_ROUNDS = 4096  # iterations of the password hash
FETCH_WAIT_S = 2.0  # for which a FETCH waits for a job, as in the protocol
IDLE_TIMEOUT_S = 900.0  # long, since clients keep their connections in pools
MAX_PUSHB_JOBS = 1000
MUTATE_TARGETS = ("scheduled", "waiting", "aged")  # "scheduled" is the protocol's, the other two are additions


def password_hash(password: str, salt: str, rounds: int) -> str:
    """The protocol's password hash: SHA-256, iterated `rounds` times."""
    digest = (password + salt).encode()
    for _ in range(rounds):
        digest = hashlib.sha256(digest).digest()
    return digest.hex()


class FaktoryServer(Server):
    """Accepts Faktory connections of clients and workers."""

    def __init__(self, stage: Stage, jobs: Jobs, workers: FaktoryWorkers, limit: int) -> None:
        super().__init__(limit)
        self.stage, self.jobs, self.workers = stage, jobs, workers

    async def handle_connection(self, conn: Connection) -> None:
        session = Session(self, conn)
        try:
            await session.run()
        finally:
            session.end()


class Session:
    """One connection of a client or a worker."""

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
        self.server.mark_busy(self.conn)  # exempts it from closing as idle: a worker pauses for long between fetches
        faults = 0
        while faults < MAX_CONSECUTIVE_ERRORS:
            line = await self.read(IDLE_TIMEOUT_S)
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

    def end(self) -> None:
        """Handles the end of the connection. It does not withdraw the jobs that the client has pushed."""
        if self.process is not None:
            self.workers.left(self.process)
            self.process = None

    async def read(self, idle: float) -> bytes | None:
        """Reads a line, which must begin within `idle` s; None if it is too long."""
        if not len(self.conn.buffer):
            await with_timeout(idle, self.conn.fill())
        try:
            return await with_timeout(REQUEST_TIMEOUT_S, self.conn.line(resp.MAX_LINE_BYTES))
        except OverflowError:
            return None

    async def write(self, data: bytes) -> None:
        await with_timeout(WRITE_TIMEOUT_S, self.conn.write(data))

    # ---- handshake -----------------------------------------------------------------------------------

    async def greet(self) -> bool:
        """Sends HI and checks the HELLO of the client. Returns whether it was accepted."""
        password = self.jobs.setup.password
        salt = secrets.token_hex(8)
        greeting: dict[str, Any] = {"v": 2}
        if password:
            greeting |= {"s": salt, "i": HASH_ROUNDS}
        await self.write(b"+HI " + resp.bulk(greeting).split(b"\r\n")[1] + b"\r\n")
        line = await with_timeout(FIRST_REQUEST_TIMEOUT_S, self.read(FIRST_REQUEST_TIMEOUT_S))
        try:
            verb, rest = resp.split_command(line or b"")
            if verb != "HELLO":
                raise resp.BadCommand("HELLO is wanted first")
            hello = resp.read_object(rest)
            if hello.get("v") != 2:
                raise resp.BadCommand("only version 2 of the protocol is spoken")
            if password and not hmac.compare_digest(
                str(hello.get("pwdhash", "")).encode(), password_hash(password, salt, HASH_ROUNDS).encode()
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

    # ---- commands of clients -------------------------------------------------------------------------

    def order(self, job: Any) -> Order | None:
        """Converts a pushed job; None for a known jid, which is the same job. Raises BadCommand."""
        if not isinstance(job, dict):
            raise resp.BadCommand("an object is wanted")
        if self.stage.record(ORIGIN, read_jid(job)) is not None:
            return None
        return self.jobs.order(job, self.peer, self.client)

    async def push(self, rest: str) -> bytes:
        order = self.order(resp.read_object(rest))
        if order is not None:
            _replies.pause = 0.0
            try:
                result: int | InvalidOrder = self.stage.arrive(order, _replies)
            except InvalidOrder as error:
                result = error
            self.check_accepted(order, result)
        return resp.simple("OK")

    def check_accepted(self, order: Order, result: int | InvalidOrder) -> None:
        """Raises BadCommand if a job was not accepted.

        `result` is that of `Stage.arrive`. A job that was answered at once and has a record was accepted.
        """
        if isinstance(result, InvalidOrder):
            raise resp.BadCommand(str(result))
        if not result and self.stage.record(ORIGIN, order.id) is None:
            if _replies.pause:
                raise resp.BadCommand(f"not accepted now: come back in {_replies.pause / 1000:.3f} s")
            raise resp.BadCommand("not accepted now: too much is held, or this dispatcher is stopping")

    async def push_bulk(self, rest: str) -> bytes:
        jobs = resp.read_json(rest)
        if not isinstance(jobs, list) or len(jobs) > MAX_PUSHB_JOBS:
            raise resp.BadCommand(f"a list of {MAX_PUSHB_JOBS} jobs at most is wanted")
        failed: dict[str, str] = {}
        orders: dict[str, Order] = {}  # by jid: a jid that is repeated in the list is the same job
        for n, job in enumerate(jobs):
            try:
                order = self.order(job)
                if order is not None:
                    orders.setdefault(order.id, order)
            except resp.BadCommand as bad:
                jid = job.get("jid") if isinstance(job, dict) else None
                failed[jid if isinstance(jid, str) else f"#{n}"] = str(bad)
        _replies.pause = 0.0
        results = self.stage.arrive_all([(order, _replies) for order in orders.values()])
        for order, result in zip(orders.values(), results, strict=True):
            try:
                self.check_accepted(order, result)
            except resp.BadCommand as bad:
                failed[order.id] = str(bad)
        return resp.bulk(failed)

    async def mutate(self, rest: str) -> bytes:
        """Withdraws waiting jobs or makes them due (the protocol's Mutate API)."""
        self.stage.amend(read_mutate(resp.read_object(rest)))
        return resp.simple("OK")

    async def track(self, rest: str) -> bytes:
        verb, _, jid = rest.partition(" ")
        if verb.upper() != "GET":
            raise resp.BadCommand("only TRACK GET is known")
        return resp.bulk(job_status(jid.strip(), self.stage.record(ORIGIN, jid.strip())))

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

    # ---- commands of workers -------------------------------------------------------------------------

    def worker(self) -> Process:
        """The worker process of this connection; raises BadCommand on a client's connection."""
        if self.process is None:
            raise resp.BadCommand("only a worker may do this: no wid in HELLO")
        return self.process

    async def fetch(self, rest: str) -> bytes:
        process = self.worker()
        waiting = self.workers.fetch(process, self.conn, rest.split() or ["default"])
        if waiting is None:
            await asyncio.sleep(FETCH_WAIT_S)  # a draining worker continues to fetch; an immediate reply would spin it
            return resp.bulk(None)

        def on_close() -> None:
            if not waiting.reply.done():
                waiting.reply.set_result(b"")

        self.conn.on_close(on_close)
        try:
            done, _ = await asyncio.wait([waiting.reply], timeout=FETCH_WAIT_S)
            if not done:
                waiting.reply.set_result(resp.bulk(None))
            return waiting.reply.result() or b""
        finally:
            self.conn.on_close(None)
            self.workers.fetch_ended(process, waiting)

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


class _ReplyHandler:
    """The reply callback of all pushed jobs.

    A client does not wait for the answer of a job that it pushed, but polls with TRACK. Only the longest `pause` of
    the jobs refused within one command is used. One object serves all jobs, since each held job keeps a reference
    to its callback for long.
    """

    pause = 0.0

    def __call__(self, answer: Answer) -> None:
        self.pause = max(self.pause, answer.pause)


_replies = _ReplyHandler()


def read_mutate(mutation: dict[str, Any]) -> Amendment:
    """Parses the argument of MUTATE; raises BadCommand."""
    cmd, target, selection = mutation.get("cmd"), mutation.get("target"), mutation.get("filter") or {}
    if cmd not in ("clear", "discard", "requeue"):
        raise resp.BadCommand("cmd: clear, discard or requeue is wanted: nothing dead is kept here")
    if target not in MUTATE_TARGETS:
        raise resp.BadCommand(f"target: one of {', '.join(MUTATE_TARGETS)} is wanted")
    if cmd == "requeue" and target != "scheduled":
        raise resp.BadCommand("requeue: only what is scheduled can be made due: the rest waits for others")
    if not isinstance(selection, dict) or set(selection) - {"jids", "jobtype"} or (cmd == "clear" and selection):
        raise resp.BadCommand("filter: jids and jobtype are known, and none for clear")
    jids, jobtype = selection.get("jids"), selection.get("jobtype", "")
    if not isinstance(jobtype, str) or (
        jids is not None and not (isinstance(jids, list) and all(isinstance(jid, str) for jid in jids))
    ):
        raise resp.BadCommand("filter: jids is a list of jids, jobtype a text")
    if cmd != "clear" and jids is None and not jobtype:
        raise resp.BadCommand("filter: jids or a jobtype are wanted")
    return Amendment(ORIGIN, target, None if jids is None else frozenset(jids), jobtype, cmd == "requeue")


def job_status(jid: str, record: Record | None) -> dict[str, Any]:
    """The reply to TRACK GET. Its `desc` tells a refused job from one that failed."""
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
