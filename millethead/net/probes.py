"""Probes: requests for the load report of a worker, over the connection pool."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from millethead.decide.interface import Outcome, Report
from millethead.exchange.core import Exchange
from millethead.exchange.model import Worker
from millethead.net.connection import Closed, Connection, PeerTimeout, with_timeout
from millethead.net.parse import BadMessage, Response, read_response
from millethead.net.pool import Address, ConnectFailed, Pool

log = structlog.get_logger()
PROBE_TIMEOUT_S = 0.5  # short, to detect an unresponsive worker before many jobs are sent to it
ReportParser = Callable[[str], Report | None]


def report_parser(fields: dict[str, str]) -> ReportParser:
    """Returns a parser of load reports such as `inflight=7,x0=1.5`. `fields` maps names to fields of Report."""

    def read(text: str) -> Report | None:
        values: dict[str, Any] = {}
        for pair in text.strip().strip("{}").replace('"', "").replace(":", "=").split(","):
            name, _, value = pair.partition("=")
            field = fields.get(name.strip())
            if field is not None:
                try:
                    number = float(value)
                except ValueError:
                    continue
                if abs(number) < 1e9:
                    values[field] = number
        return Report(**values) if values else None

    return read


class Probes:
    """Requests load reports from workers and passes the results to the exchange."""

    def __init__(self, exchange: Exchange, pool: Pool, parse_report: ReportParser, path: str = "/metrics/load") -> None:
        self.exchange, self.pool, self.parse_report, self.path = exchange, pool, parse_report, path

    async def probe(self, worker: Worker) -> None:
        clock, began = self.exchange.clock, self.exchange.clock.now()
        outcome, report = Outcome.CONNECT_FAILED, None
        try:
            response = await with_timeout(PROBE_TIMEOUT_S, self._request(worker))
            if response.status == 200:
                outcome, report = Outcome.OK, self.parse_report(response.body.decode("latin-1"))
            else:
                outcome = Outcome.FULL if response.status == 503 else Outcome.ERROR
        except ConnectFailed:
            pass
        except PeerTimeout:
            outcome = Outcome.TIMEOUT
        except (Closed, BadMessage, OverflowError):
            outcome = Outcome.RESET
        if outcome is not Outcome.OK:
            log.info("probe_failed", worker=worker.name, outcome=outcome.name.lower())
        self.exchange.probed(worker, outcome, clock.now() - began, report)

    async def _request(self, worker: Worker) -> Response:
        if worker.address is None:
            raise ConnectFailed
        try:
            return await self._request_on(await self.pool.acquire(worker.address), worker.address)
        except Closed:
            # the worker may have closed the idle connection at the same moment, which is no sign of a fault
            return await self._request_on(await self.pool.acquire(worker.address, fresh=True), worker.address)

    async def _request_on(self, conn: Connection, address: Address) -> Response:
        response = None
        try:
            host, port = address
            await conn.write(f"GET {self.path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode("latin-1"))
            response = await read_response(conn)
            return response
        finally:
            if response is None:
                conn.close()  # also on a timeout, which cancels this coroutine
            else:
                self.pool.release(address, conn, response.keep_alive)
