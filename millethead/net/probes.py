"""Probes: a worker's load report, asked for over the pool."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from millethead.decide.interface import Outcome, Report
from millethead.exchange.core import Exchange
from millethead.exchange.model import Worker
from millethead.net.connection import Closed, Connection, Late, within
from millethead.net.parse import BadMessage, Response, read_response
from millethead.net.pool import Address, ConnectFailed, Pool

log = structlog.get_logger()
PROBE_TIME = 0.5  # s: a worker that answers nothing should be noticed before many jobs are sent to it
Reading = Callable[[str], Report | None]


def report_reader(fields: dict[str, str]) -> Reading:
    """Reads `inflight=7,x0=1.5` into a Report; `fields` gives the Report's field for a name."""

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
    def __init__(self, exchange: Exchange, pool: Pool, report: Reading, path: str = "/metrics/load") -> None:
        self.exchange, self.pool, self.report, self.path = exchange, pool, report, path

    async def probe(self, worker: Worker) -> None:
        clock, began = self.exchange.clock, self.exchange.clock.now()
        outcome, report = Outcome.CONNECT_FAILED, None
        try:
            response = await within(PROBE_TIME, self._ask(worker))
            if response.status == 200:
                outcome, report = Outcome.OK, self.report(response.body.decode("latin-1"))
            else:
                outcome = Outcome.FULL if response.status == 503 else Outcome.ERROR
        except ConnectFailed:
            pass
        except Late:
            outcome = Outcome.TIMEOUT
        except (Closed, BadMessage, OverflowError):
            outcome = Outcome.RESET
        if outcome is not Outcome.OK:
            log.info("probe_failed", worker=worker.name, outcome=outcome.name.lower())
        self.exchange.probed(worker, outcome, clock.now() - began, report)

    async def _ask(self, worker: Worker) -> Response:
        if worker.address is None:
            raise ConnectFailed
        try:
            return await self._ask_on(await self.pool.take(worker.address), worker.address)
        except Closed:
            # the worker may have closed a kept connection at that moment: that says nothing of its health
            return await self._ask_on(await self.pool.take(worker.address, fresh=True), worker.address)

    async def _ask_on(self, conn: Connection, address: Address) -> Response:
        response = None
        try:
            host, port = address
            await conn.write(f"GET {self.path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode("latin-1"))
            response = await read_response(conn)
            return response
        finally:
            if response is None:
                conn.close()  # also when the time is up
            else:
                self.pool.give_back(address, conn, response.keep)
