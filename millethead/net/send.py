"""Server side over HTTP/1.1: attempts out to workers, and what their answers say of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog
from tornado.ioloop import IOLoop

from millethead.decide.interface import Outcome, Report
from millethead.exchange.core import Exchange
from millethead.exchange.model import Attempt, Worker
from millethead.net.connection import Closed, Connection, Late, within
from millethead.net.parse import BadMessage, Response, read_response
from millethead.net.pool import ConnectFailed, Pool, PoolFull
from millethead.net.probes import Probes

log = structlog.get_logger()
LAST_BYTE_PAUSE = 0.004  # s that the last byte of a job waits
CANCEL_TIME = 2.0  # s
CANCELS = 64  # at once; more are dropped, since the worker's own limit ends the job as well
ANSWER_LATE = 1.0  # s for the rest of an answer that no attempt waits for any more


class HttpWorkers:
    """Reaches the workers that discovery lists, and tells the exchange how attempts end. Decides nothing."""

    def __init__(self, exchange: Exchange, pool: Pool, probes: Probes, report: Callable[[str], Report | None]) -> None:
        self.exchange, self.pool, self.probes, self.report = exchange, pool, probes, report
        self._running: dict[tuple[str, str], Attempt] = {}
        self._cancels: dict[tuple[str, str], asyncio.Future[None]] = {}  # under way, by job's id and worker

    # ---- what the exchange asks ----------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        name = attempt.order.id, attempt.worker.name
        if name in self._running:
            # the two fronts' ids can be alike, and a worker's news could not be told apart
            self.exchange.ended(attempt, Outcome.NEVER_SENT)
            return
        self._running[name] = attempt
        IOLoop.current().spawn_callback(self._attempt, attempt)

    def give_up(self, attempt: Attempt) -> None:
        self._done(attempt)
        conn, said = attempt.channel, False
        if isinstance(conn, Connection):  # before the 202, closing says it
            said = conn.quiet()
            conn.close()
        # a 202 that crossed the close may lie unread: the worker goes on, unless it is told
        if attempt.fully_written and not said and attempt.worker.address is not None:
            IOLoop.current().spawn_callback(self._cancel, attempt)

    def movable(self, attempt: Attempt) -> bool:
        """Whether only news can end it, wherever that comes in: the worker has said 202."""
        return (
            attempt.fully_written
            and attempt.channel is None
            and self._running.get((attempt.order.id, attempt.worker.name)) is attempt
        )

    def let_go(self, attempt: Attempt) -> None:
        """Another process waits for it from now on."""
        self._done(attempt)

    def take_over(self, attempt: Attempt) -> None:
        """Wait for an attempt that the predecessor sent."""
        self._running[attempt.order.id, attempt.worker.name] = attempt

    def probe(self, worker: Worker) -> None:
        IOLoop.current().spawn_callback(self.probes.probe, worker)

    # ---- an attempt ----------------------------------------------------------------------------------

    async def _attempt(self, attempt: Attempt) -> None:
        try:
            await self._try(attempt)
        except Exception:
            log.exception("attempt_broke", job=attempt.order.id, worker=attempt.worker.name)
            self._end(attempt, Outcome.RESET if attempt.fully_written else Outcome.CONNECT_FAILED)

    async def _try(self, attempt: Attempt) -> None:
        address = attempt.worker.address
        if address is None:
            self._end(attempt, Outcome.NEVER_SENT)
            return
        try:
            # a kept connection that a worker closes or resets as a job is written says it may have run;
            # a handshake costs a worker about 2 ms, a job a second: each job gets a new connection
            conn = await self.pool.take(address, fresh=True)
        except PoolFull:
            log.error("pool_full", worker=attempt.worker.name)
            self._end(attempt, Outcome.NEVER_SENT)
            return
        except ConnectFailed:
            self._end(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.channel = conn
        try:
            # the cancel of an earlier attempt names the same id, and must not come after this one
            cancel = self._cancels.get((attempt.order.id, attempt.worker.name))
            if cancel is not None:
                await within(self._left(attempt), asyncio.shield(cancel))
            if not self._may_go(attempt):
                attempt.channel = None
                self.pool.give_back(address, conn)
                self._end(attempt, Outcome.NEVER_SENT)
                return
            message = format_attempt(attempt, self._left(attempt))
            # a worker begins with the last byte: held back for a moment, it shows a connection that is reset
            # as the job comes, which so never ran, and may go elsewhere even if it must not run twice
            await within(self._left(attempt), conn.write(message[:-1]))
            await asyncio.sleep(LAST_BYTE_PAUSE)
            if not self._may_go(attempt):  # it never had the last byte
                conn.close()
                self._end(attempt, Outcome.NEVER_SENT)
                return
            if conn.broken():
                raise Closed
            last = conn.begin(message[-1:])  # from here to `written` nothing else has its turn
        except (Closed, Late):
            conn.close()
            self._end(attempt, Outcome.CONNECT_FAILED)  # broke before its last byte: never ran
            return
        self.exchange.written(attempt)
        try:
            await within(self._left(attempt), last)  # where the system does not take it at once, it may go at any time
            response = await within(self._left(attempt) + ANSWER_LATE, read_response(conn))
        except (Closed, Late, BadMessage, OverflowError):
            conn.close()
            attempt.channel = None
            self._end(attempt, Outcome.RESET)
            return
        attempt.channel = None
        self.pool.give_back(address, conn, response.keep)
        self._answered(attempt, response)

    def _left(self, attempt: Attempt) -> float:
        """s until nobody waits for the attempt any more."""
        return (attempt.end - self.exchange.clock.now()) / 1000

    def _may_go(self, attempt: Attempt) -> bool:
        """Whether the job may still be sent on: nobody has given the attempt up, nor has earlier news ended it, its
        worker takes new work, and a repeat is still dropped there if an earlier attempt has run."""
        return (
            attempt.outcome is None
            and attempt.worker.wanted
            and self.exchange.clock.now() < min(attempt.end, attempt.write_deadline)
        )

    def _answered(self, attempt: Attempt, response: Response) -> None:
        if response.status == 202:
            self.exchange.taken(attempt)  # the rest comes as news
            return
        text = response.fields.get("x-server-load")
        outcome, unusable = Outcome.ERROR, 400 <= response.status < 500 and response.status not in (408, 429)
        if response.status in (503, 504) and response.fields.get("x-not-processed") == "1":
            outcome = Outcome.FULL
        elif response.status not in (500, 503, 504):
            log.warning("worker_answer_odd", worker=attempt.worker.name, status=response.status, job=attempt.order.id)
        self._end(attempt, outcome, report=self.report(text) if text else None, unusable=unusable)

    def _done(self, attempt: Attempt) -> None:
        name = attempt.order.id, attempt.worker.name
        if self._running.get(name) is attempt:
            del self._running[name]

    def _end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        result: bytes = b"",
        report: Report | None = None,
        unusable: bool = False,
    ) -> None:
        self._done(attempt)
        self.exchange.ended(attempt, outcome, result, report, unusable)

    # ---- news ----------------------------------------------------------------------------------------

    def news(self, job_id: str, worker: str, state: str, result: bytes, report: Report | None) -> bool:
        """What a worker tells of a job; False if no attempt waits for it (any more)."""
        attempt = self._running.get((job_id, worker))
        if attempt is None or (not attempt.fully_written and state != "done"):
            return False  # of an earlier attempt there: this one has not begun
        if state not in ("started", "running") and isinstance(conn := attempt.channel, Connection):
            # it may never end its answer, and holds one of few connections as long as it is waited for
            IOLoop.current().call_later(ANSWER_LATE, lambda: conn.close() if attempt.channel is conn else None)
        if state == "done":
            self._end(attempt, Outcome.OK, result, report)
        elif state == "failed":
            self._end(attempt, Outcome.ERROR, report=report)
        elif state == "lost":
            self._end(attempt, Outcome.RESET, report=report)
        elif state == "returned":
            # where the job was here before, this may be the news of that earlier time once more, and proves
            # nothing of this one
            self._end(attempt, Outcome.RESET if attempt.same_worker_earlier else Outcome.FULL, report=report)
        return True

    async def _cancel(self, attempt: Attempt) -> None:
        address, name = attempt.worker.address, (attempt.order.id, attempt.worker.name)
        if address is None or len(self._cancels) >= CANCELS or name in self._cancels:
            return
        told = self._cancels[name] = asyncio.get_running_loop().create_future()
        try:
            # one that is sent there anew meanwhile waits for this: the id would name that one too
            conn = await self.pool.take(address)
            try:
                await within(
                    CANCEL_TIME,
                    conn.write(
                        f"DELETE /jobs/{attempt.order.id} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                        "Content-Length: 0\r\n\r\n".encode("latin-1")
                    ),
                )
                response = await within(CANCEL_TIME, read_response(conn))
                self.pool.give_back(address, conn, response.keep)
            except (Closed, Late, BadMessage, OverflowError):
                conn.close()
        except ConnectFailed:
            log.info("cancel_not_told", job=attempt.order.id, worker=attempt.worker.name)
        finally:
            del self._cancels[name]
            told.set_result(None)


def format_attempt(attempt: Attempt, left: float) -> bytes:
    """The request; `left`: s that its worker has."""
    order, address = attempt.order, attempt.worker.address or ("", 0)
    lines = [
        f"POST {order.target} HTTP/1.1",
        f"Host: {address[0]}:{address[1]}",
        f"X-Request-ID: {order.id}",
        f"X-Timeout: {max(0.001, left):.3f}",
        f"Content-Length: {len(order.body)}",
    ]
    if order.once_key:
        lines.append(f"Idempotency-Key: {order.once_key}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + order.body
