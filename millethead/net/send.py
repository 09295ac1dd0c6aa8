"""Sends attempts to workers over HTTP/1.1, and maps their responses and call-backs to outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog
from tornado.ioloop import IOLoop

from millethead.decide.interface import Outcome, Report
from millethead.exchange.core import Exchange
from millethead.exchange.model import Attempt, Worker
from millethead.net.connection import Closed, Connection, PeerTimeout, with_timeout
from millethead.net.parse import BadMessage, Response, read_response
from millethead.net.pool import ConnectFailed, Pool, PoolFull
from millethead.net.probes import Probes

log = structlog.get_logger()
LAST_BYTE_DELAY_S = 0.004  # before the last byte of a request, to detect a reset of the connection first
CANCEL_TIMEOUT_S = 2.0
MAX_CONCURRENT_CANCELS = 64  # further cancels are dropped; the worker's own time limit ends those jobs
LATE_RESPONSE_TIMEOUT_S = 1.0  # for the rest of a response that no attempt waits for any more


class HttpWorkers:
    """The worker transport for workers listed by discovery. Sends the attempts that the exchange starts, and reports
    their outcomes to it."""

    def __init__(
        self, exchange: Exchange, pool: Pool, probes: Probes, parse_report: Callable[[str], Report | None]
    ) -> None:
        self.exchange, self.pool, self.probes, self.parse_report = exchange, pool, probes, parse_report
        self._running: dict[tuple[str, str], Attempt] = {}
        self._cancels: dict[tuple[str, str], asyncio.Future[None]] = {}  # in progress, by job id and worker name

    # ---- called by the exchange ----------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        key = attempt.order.id, attempt.worker.name
        if key in self._running:
            # Jobs of the two front ends can have the same id. The worker's call-backs would then be ambiguous.
            self.exchange.ended(attempt, Outcome.NEVER_SENT)
            return
        self._running[key] = attempt
        IOLoop.current().spawn_callback(self._run_attempt, attempt)

    def give_up(self, attempt: Attempt) -> None:
        self._forget(attempt)
        conn, cancelled = attempt.channel, False
        if isinstance(conn, Connection):  # before the 202, closing the connection cancels the job
            cancelled = conn.has_no_input()
            conn.close()
        # if a 202 has arrived unread, the worker goes on until it receives a cancel
        if attempt.fully_written and not cancelled and attempt.worker.address is not None:
            IOLoop.current().spawn_callback(self._cancel, attempt)

    def movable(self, attempt: Attempt) -> bool:
        """Returns whether only a call-back can end the attempt, since the worker has responded with 202. Another
        process can then wait for it."""
        return (
            attempt.fully_written
            and attempt.channel is None
            and self._running.get((attempt.order.id, attempt.worker.name)) is attempt
        )

    def let_go(self, attempt: Attempt) -> None:
        """Stops waiting for an attempt that another process has taken over."""
        self._forget(attempt)

    def take_over(self, attempt: Attempt) -> None:
        """Waits for an attempt that the predecessor process has sent."""
        self._running[attempt.order.id, attempt.worker.name] = attempt

    def probe(self, worker: Worker) -> None:
        IOLoop.current().spawn_callback(self.probes.probe, worker)

    # ---- sending -------------------------------------------------------------------------------------

    async def _run_attempt(self, attempt: Attempt) -> None:
        try:
            await self._send(attempt)
        except Exception:
            log.exception("attempt_broke", job=attempt.order.id, worker=attempt.worker.name)
            self._end(attempt, Outcome.RESET if attempt.fully_written else Outcome.CONNECT_FAILED)

    async def _send(self, attempt: Attempt) -> None:
        address = attempt.worker.address
        if address is None:
            self._end(attempt, Outcome.NEVER_SENT)
            return
        try:
            # Each job gets a new connection. If a worker closes or resets a reused connection while a job is written,
            # the job may have run. A handshake costs a worker about 2 ms, a job about 1 s.
            conn = await self.pool.acquire(address, fresh=True)
        except PoolFull:
            log.error("pool_full", worker=attempt.worker.name)
            self._end(attempt, Outcome.NEVER_SENT)
            return
        except ConnectFailed:
            self._end(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.channel = conn
        try:
            # a cancel of an earlier attempt has the same job id, and must not arrive after this attempt
            cancel = self._cancels.get((attempt.order.id, attempt.worker.name))
            if cancel is not None:
                await with_timeout(self._seconds_left(attempt), asyncio.shield(cancel))
            if not self._may_send(attempt):
                attempt.channel = None
                self.pool.release(address, conn)
                self._end(attempt, Outcome.NEVER_SENT)
                return
            message = format_attempt(attempt, self._seconds_left(attempt))
            # A worker starts the job at the last byte. The delay before it reveals a connection that is reset while the
            # request is written: the job has not run then, and may be sent elsewhere even if it must not run twice.
            await with_timeout(self._seconds_left(attempt), conn.write(message[:-1]))
            await asyncio.sleep(LAST_BYTE_DELAY_S)
            if not self._may_send(attempt):  # the last byte is not sent
                conn.close()
                self._end(attempt, Outcome.NEVER_SENT)
                return
            if conn.socket_closed():
                raise Closed
            last = conn.start_write(message[-1:])  # no await from here to `written`
        except (Closed, PeerTimeout):
            conn.close()
            self._end(attempt, Outcome.CONNECT_FAILED)  # failed before the last byte: the job has not run
            return
        self.exchange.written(attempt)
        try:
            # the system may send the last byte at any time, also if it does not accept it at once
            await with_timeout(self._seconds_left(attempt), last)
            response = await with_timeout(self._seconds_left(attempt) + LATE_RESPONSE_TIMEOUT_S, read_response(conn))
        except (Closed, PeerTimeout, BadMessage, OverflowError):
            conn.close()
            attempt.channel = None
            self._end(attempt, Outcome.RESET)
            return
        attempt.channel = None
        self.pool.release(address, conn, response.keep_alive)
        self._handle_response(attempt, response)

    def _seconds_left(self, attempt: Attempt) -> float:
        """Returns the seconds until the end of the attempt."""
        return (attempt.end - self.exchange.clock.now()) / 1000

    def _may_send(self, attempt: Attempt) -> bool:
        """Returns whether the job may still be sent: the attempt is neither given up nor ended by a call-back, its
        worker takes new work, and the worker would still detect a duplicate of an earlier attempt."""
        return (
            attempt.outcome is None
            and attempt.worker.wanted
            and self.exchange.clock.now() < min(attempt.end, attempt.write_deadline)
        )

    def _handle_response(self, attempt: Attempt, response: Response) -> None:
        if response.status == 202:
            self.exchange.taken(attempt)  # the outcome arrives as a call-back
            return
        text = response.fields.get("x-server-load")
        outcome, unusable = Outcome.ERROR, 400 <= response.status < 500 and response.status not in (408, 429)
        if response.status in (503, 504) and response.fields.get("x-not-processed") == "1":
            outcome = Outcome.FULL
        elif response.status not in (500, 503, 504):
            log.warning("worker_answer_odd", worker=attempt.worker.name, status=response.status, job=attempt.order.id)
        self._end(attempt, outcome, report=self.parse_report(text) if text else None, unusable=unusable)

    def _forget(self, attempt: Attempt) -> None:
        key = attempt.order.id, attempt.worker.name
        if self._running.get(key) is attempt:
            del self._running[key]

    def _end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        result: bytes = b"",
        report: Report | None = None,
        unusable: bool = False,
    ) -> None:
        self._forget(attempt)
        self.exchange.ended(attempt, outcome, result, report, unusable)

    # ---- call-backs and cancels ----------------------------------------------------------------------

    def apply_callback(self, job_id: str, worker: str, state: str, result: bytes, report: Report | None) -> bool:
        """Applies a worker's call-back about a job. Returns False if no attempt waits for it."""
        attempt = self._running.get((job_id, worker))
        if attempt is None or (not attempt.fully_written and state != "done"):
            return False  # belongs to an earlier attempt at this worker: this one has not been sent completely
        if state not in ("started", "running") and isinstance(conn := attempt.channel, Connection):
            # the worker may never complete its response, which would occupy one of few connections
            IOLoop.current().call_later(
                LATE_RESPONSE_TIMEOUT_S, lambda: conn.close() if attempt.channel is conn else None
            )
        if state == "done":
            self._end(attempt, Outcome.OK, result, report)
        elif state == "failed":
            self._end(attempt, Outcome.ERROR, report=report)
        elif state == "lost":
            self._end(attempt, Outcome.RESET, report=report)
        elif state == "returned":
            # After an earlier attempt at the same worker this may be a repeated call-back of that attempt. It does not
            # prove that the job has not run in this one.
            self._end(attempt, Outcome.RESET if attempt.same_worker_earlier else Outcome.FULL, report=report)
        return True

    async def _cancel(self, attempt: Attempt) -> None:
        """Asks the worker to cancel a job. Until this has finished, `_send` holds back a further attempt of the job at
        the worker: the cancel would apply to it as well, since it has the same id."""
        address, key = attempt.worker.address, (attempt.order.id, attempt.worker.name)
        if address is None or len(self._cancels) >= MAX_CONCURRENT_CANCELS or key in self._cancels:
            return
        finished = self._cancels[key] = asyncio.get_running_loop().create_future()
        try:
            conn = await self.pool.acquire(address)
            try:
                await with_timeout(
                    CANCEL_TIMEOUT_S,
                    conn.write(
                        f"DELETE /jobs/{attempt.order.id} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                        "Content-Length: 0\r\n\r\n".encode("latin-1")
                    ),
                )
                response = await with_timeout(CANCEL_TIMEOUT_S, read_response(conn))
                self.pool.release(address, conn, response.keep_alive)
            except (Closed, PeerTimeout, BadMessage, OverflowError):
                conn.close()
        except ConnectFailed:
            log.info("cancel_not_told", job=attempt.order.id, worker=attempt.worker.name)
        finally:
            del self._cancels[key]
            finished.set_result(None)


def format_attempt(attempt: Attempt, seconds_left: float) -> bytes:
    """Returns the HTTP request of an attempt. `seconds_left`: time limit of the worker."""
    order, address = attempt.order, attempt.worker.address or ("", 0)
    lines = [
        f"POST {order.target} HTTP/1.1",
        f"Host: {address[0]}:{address[1]}",
        f"X-Request-ID: {order.id}",
        f"X-Timeout: {max(0.001, seconds_left):.3f}",
        f"Content-Length: {len(order.body)}",
    ]
    if order.once_key:
        lines.append(f"Idempotency-Key: {order.once_key}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + order.body
