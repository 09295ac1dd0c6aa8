"""The HTTP/1.1 front end: one job per request, the workers' callbacks, and the readiness check."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from millethead.decide import interface as api
from millethead.exchange.model import MAX_PARENTS, Answer, Final, Order, Plan
from millethead.exchange.stage import InvalidOrder, Stage
from millethead.frontends.times import read_time
from millethead.net.accept import Reply
from millethead.net.callbacks import CallbackHandler, process_callback
from millethead.net.connection import Connection
from millethead.net.exchange import submit_job, wait_for_answer
from millethead.net.parse import BadMessage, Request

if TYPE_CHECKING:
    from millethead.console.metrics import ExtraMetric

DEFAULT_RETRY_AFTER_MS = 1000.0  # where the answer gives no estimate
_ID = re.compile(r"[!-.0-~]{1,128}")  # printable, and no slash: it becomes part of a path
_SECONDS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,9})?")  # float() would also accept 1_0, inf and other notations
_KEY = re.compile(r"[!-~]{1,256}")  # is forwarded: a worker that cannot parse a header closes the connection
_COOKIE = re.compile(r"(?:^|;)\s*k=\"?([0-9A-Za-z_-]{1,64})\"?\s*(?:;|$)")
_ATTRS = {"slots": "slots", "needs": "slots", "memory": "memory", "mem_needed": "memory"}  # X-Attrs -> Order field
METHODS = {"/api": "POST", "/_jobs/news": "POST", "/up": "GET"}


class HttpFrontend:
    """Handles the requests of clients, and the callbacks of workers."""

    def __init__(
        self,
        stage: Stage,
        classes: list[str],
        tenants: list[str],
        take: CallbackHandler,
        report: Callable[[str], api.Report | None],
        client: str = "",
    ) -> None:
        """`take` handles a worker's callback, and returns whether an attempt was waiting for it. `client` is the
        header that names the submitter, if an operator has configured one."""
        self.client_header = client.lower()
        # offers a callback to the other processes of this dispatcher; returns whether one of them was waiting for
        # it, or None if that is unknown
        self.elsewhere: Callable[[bytes], Awaitable[bool | None]] | None = None
        self.stage, self.take, self.report = stage, take, report
        self.left = 0  # jobs whose client disconnected before the answer
        self.classes = {name: n for n, name in enumerate(classes)}
        self.tenants = {name: n for n, name in enumerate(tenants)}

    async def serve(self, conn: Connection, request: Request) -> Reply | None:
        """Returns the reply to a request; None if the client has disconnected."""
        method = METHODS.get(request.path)
        if method is None:
            return Reply(404, b"no such path\n")
        if request.method != method:
            return Reply(405, b"no such method here\n", {"Allow": method})
        try:
            if request.path == "/up":
                return Reply(200, b"ready\n") if self.stage.ready else Reply(503, b"not ready\n")
            if request.path == "/_jobs/news":
                return await self.news(request.body)
            order = self.order(request, conn)
            answer = await submit_job(self.stage, conn, order)
        except BadMessage as bad:
            return Reply(bad.status, f"{bad}\n".encode())
        except InvalidOrder as why:
            return Reply(400, f"{why}\n".encode())
        return self._reply(conn, answer)

    async def news(self, body: bytes) -> Reply:
        """Handles a worker's callback, which may belong to a job of this process's predecessor or successor."""
        if process_callback(body, self.report, self.take, last=self.elsewhere is None) or self.elsewhere is None:
            return Reply(200)
        found = await self.elsewhere(body)
        if found is None:  # no answer in time: the worker has to retry
            return Reply(503, b"its owner cannot be reached\n")
        if not found:  # the job may have been handed over to this process in the meantime
            process_callback(body, self.report, self.take)
        return Reply(200)

    async def resume(self, conn: Connection, number: int, future: asyncio.Future[Answer | None]) -> Reply | None:
        """Returns the reply to a request that the predecessor had read."""
        return self._reply(conn, await wait_for_answer(self.stage, conn, number, future))

    def _reply(self, conn: Connection, answer: Answer | None) -> Reply | None:
        if answer is None:
            self.left += not conn.handed_over
            return None
        return reply_for(answer)

    def figures(self) -> list[ExtraMetric]:
        """The metrics of this front end."""
        return [("left_total", "counter", "Jobs whose client left before their answer.", [("", "", self.left)])]

    def order(self, request: Request, conn: Connection) -> Order:
        """Parses a request into an order; raises BadMessage."""
        fields = request.fields
        job_id, timeout = fields.get("x-request-id", ""), fields.get("x-timeout", "")
        if not _ID.fullmatch(job_id):
            raise BadMessage(400, "no usable X-Request-ID")
        left = float(timeout) if _SECONDS.fullmatch(timeout) else 0.0
        if not left:
            raise BadMessage(400, "no usable X-Timeout")
        once_key = fields.get("idempotency-key", "")
        if once_key and not _KEY.fullmatch(once_key):
            raise BadMessage(400, "no usable Idempotency-Key")
        job_class = self.classes.get(fields.get("x-priority-class", ""))
        if job_class is None:
            raise BadMessage(400, "an unknown X-Priority-Class")
        tenant = self.tenants.get(fields.get("x-tenant-id", ""), 0 if not self.tenants else None)
        if tenant is None:
            raise BadMessage(400, "an unknown X-Tenant-Id")
        attrs: dict[str, float] = {"slots": 1.0, "memory": 0.0}
        for pair in fields.get("x-attrs", "").split(","):
            name, _, value = pair.partition("=")
            number = _number(value)
            if name.strip() in _ATTRS and number is not None and number >= 0:
                attrs[_ATTRS[name.strip()]] = number
        cost, cookie = _number(fields.get("x-cost")), _COOKIE.search(fields.get("cookie", ""))
        limit = self.stage.settings.classes[job_class].deadline
        return Order(
            job_id,
            job_class,
            min(left * 1000, limit),
            tenant,
            request.target,
            request.body,
            once_key,
            route_key(cookie[1]) if cookie else 0,
            attrs["slots"] or 1.0,
            attrs["memory"],
            None if cost is None else cost / 1000,
            fields.get("x-retried") == "1",
            origin="http",
            peer=conn.peer,
            asked=left * 1000,
            waits=True,
            client=fields.get(self.client_header, "") if self.client_header else "",
            plan=read_plan(fields),
        )


def read_plan(fields: dict[str, str]) -> Plan | None:
    """Parses X-Run-At, X-Run-After and X-When-Parent-Fails; None if all are absent. Raises BadMessage."""
    at, after, on_failure = (fields.get(name) for name in ("x-run-at", "x-run-after", "x-when-parent-fails"))
    if at is None and after is None and on_failure is None:
        return None
    if on_failure not in (None, "fail", "run"):
        raise BadMessage(400, "X-When-Parent-Fails: run or fail is wanted")
    parents = tuple(dict.fromkeys(text.strip() for text in after.split(","))) if after is not None else ()
    if len(parents) > MAX_PARENTS or not all(_ID.fullmatch(parent) for parent in parents):
        raise BadMessage(400, f"X-Run-After: up to {MAX_PARENTS} ids with commas between are wanted")
    try:
        return Plan(read_time(at) if at is not None else 0.0, parents, on_failure == "run")
    except ValueError as error:
        raise BadMessage(400, f"X-Run-At: {error}, or Unix seconds") from None


def reply_for(answer: Answer) -> Reply:
    """The HTTP reply for a job's final answer."""
    if answer.final is Final.SERVED:
        return Reply(200, answer.result, job=True)
    if answer.final is Final.REFUSED:
        return Reply(
            503, b"refused\n", {"Retry-After": f"{(answer.pause or DEFAULT_RETRY_AFTER_MS) / 1000:g}"}, job=True
        )
    return Reply(502, b"failed\n")


def route_key(text: str) -> int:
    """The affinity key of a cookie value: the hexadecimal number, or else the first 8 bytes of the text."""
    try:
        return int(text, 16) & 0xFFFFFFFFFFFFFFFF
    except ValueError:
        return int.from_bytes(text.encode()[:8], "little")


def _number(text: str | None) -> float | None:
    """Parses a number; None if the text is absent, not a number, or 1e12 or more in size."""
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if abs(value) < 1e12 else None
