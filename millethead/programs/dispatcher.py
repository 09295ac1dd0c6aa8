"""The dispatcher: takes clients' requests on every edge machine and passes them on to the head of the core.

It holds the configuration in force, streamed from the head, and no other state. What it answers itself is only what
the head need not be asked for: that there is no configuration yet, and that the head cannot be reached.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterator
from random import Random

import bottle  # type: ignore[import-untyped]
import structlog

from millethead.configuration.check import parse
from millethead.configuration.model import Configuration, InvalidConfiguration
from millethead.configuration.settings import InvalidSettings, ProcessSettings, load_settings
from millethead.control.calls import CallAnswer, JobCall
from millethead.control.client import CallFailed, HeadClient
from millethead.programs.addresses import seed_addresses, split_address
from millethead.programs.dispatcher_figures import dispatcher_figures
from millethead.programs.signals import on_signals
from millethead.web.metrics import MetricFamily, add_metrics
from millethead.web.server import (
    DeferredResponse,
    HttpLimits,
    HttpServer,
    Response,
    error_response,
    json_response,
    request_body,
)

log = structlog.get_logger()

DEADLINE_MS = 3000.0  # how long a client waits that does not say
MARGIN_S = 0.15  # before that, an answer has to leave
REACH_S = 1.4  # the head may be away for so long, as when it changes; a request that waits longer is turned back
ANSWER_S = 2.4  # and so long for its answer
RETRY_AFTER_S = 1
LONG_RETRY_AFTER_S = 2  # once the head has been away for longer than a change takes
READY_SLACK_S = 3.0  # the head may be away for so long before the dispatcher calls itself not ready
JOB_METHODS = ("POST", "GET", "DELETE", "PUT", "PATCH")
HEAD_OVER_S = 1.5  # of grace_s is kept back at the end


class DispatcherProgram:
    """One dispatcher; `run` lasts until a signal ends it."""

    def __init__(self, settings: ProcessSettings) -> None:
        if settings.listen.front is None or settings.listen.ready is None:
            raise ValueError("a dispatcher needs `listen.front` and `listen.ready`")
        self._settings = settings
        self._front_address, self._ready_address = settings.listen.front, settings.listen.ready
        self._stopped = asyncio.Event()
        self._configuration: Configuration | None = None
        self._caller = HeadClient(settings.node, self._seeds, Random(), self._configured)
        self._front = HttpServer(self._front_app(), HttpLimits())
        self._ready = HttpServer(self._ready_app(), HttpLimits(max_connections=64))
        self._leaving = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._answered = Counter[int]()

    async def run(self) -> None:
        on_signals(self._stopped.set, self._reload)
        self._caller.start()
        await self._ready.listen(*split_address(self._ready_address))
        await self._front.listen(*split_address(self._front_address))
        log.info("dispatcher_started", node=self._settings.node)
        await self._stopped.wait()
        self._leaving = True
        await self._front.drain(max(1.0, self._settings.bounds.grace_s - HEAD_OVER_S))
        await self._ready.drain(0.1)
        self._caller.close()
        log.info("dispatcher_stopped", node=self._settings.node)

    def _seeds(self) -> tuple[str, ...]:
        return seed_addresses(self._settings)

    def _reload(self) -> None:
        try:
            self._settings = load_settings()
        except InvalidSettings as error:
            log.warning("settings_not_read", why=str(error))

    def _configured(self, version: int, document: bytes) -> None:
        try:
            configuration = parse(document)
        except InvalidConfiguration as error:
            log.error("configuration_not_read", version=version, why=str(error))
            return
        self._configuration = configuration
        limits = configuration.limits
        self._front.limits = HttpLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        )
        log.info("configuration_in_force", version=version)

    # ---- ready -------------------------------------------------------------------------------------------

    def _ready_app(self) -> bottle.Bottle:
        app = bottle.Bottle()

        @app.get("/-/ready")  # type: ignore[untyped-decorator]
        def ready() -> Response:
            if self.ready():
                return json_response(200, {"ready": True})
            return json_response(503, {"ready": False})

        add_metrics(app, self._figures)
        return app

    def _figures(self) -> Iterator[MetricFamily]:
        return dispatcher_figures(
            self._caller.configuration, self._caller.connected, self.ready(), len(self._tasks), self._answered
        )

    def ready(self) -> bool:
        """Whether new connections are wanted: a configuration is held, and the head is there or was lately."""
        if self._leaving or self._configuration is None:
            return False
        if self._caller.connected:
            return True
        lost = self._caller.disconnected_at is not None
        return lost and self._caller.disconnected_s() < READY_SLACK_S

    # ---- requests ----------------------------------------------------------------------------------------

    def _front_app(self) -> bottle.Bottle:
        app = bottle.Bottle()

        @app.route("<path:re:.*>", method=list(JOB_METHODS))  # type: ignore[untyped-decorator]
        def request(path: str) -> Response | DeferredResponse:
            if self._configuration is None:
                return self._count(error_response(503, "no configuration yet", (("Retry-After", str(RETRY_AFTER_S)),)))
            return self._pass_on(path)

        return app

    def _pass_on(self, path: str) -> DeferredResponse:
        host = bottle.request.get_header("Host", "")
        method, body = bottle.request.method, request_body()
        deferred = DeferredResponse()
        deadline_s = _deadline_s(bottle.request.get_header("X-Deadline-Ms"))

        def make(number: int) -> JobCall:
            return JobCall(number, method, host, path, body)

        task = asyncio.get_running_loop().create_task(self._answer(make, deadline_s, deferred))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return deferred

    async def _answer(self, make_call: Callable[[int], JobCall], deadline_s: float, into: DeferredResponse) -> None:
        most = max(0.05, deadline_s - MARGIN_S)
        away_s = self._caller.disconnected_s()
        if away_s > REACH_S:
            into.complete(self._count(_unreached(LONG_RETRY_AFTER_S)))
            return
        try:
            answer = await self._caller.call(make_call, min(REACH_S - away_s, most), min(ANSWER_S, most))
        except CallFailed as failure:
            into.complete(self._count(_failed(failure)))
            return
        into.complete(self._count(_from_head(answer)))

    def _count(self, answer: Response) -> Response:
        self._answered[answer.status] += 1
        return answer


def _deadline_s(header: str | None) -> float:
    try:
        value = float(header) if header else DEADLINE_MS
    except ValueError:
        return DEADLINE_MS / 1000
    return value / 1000 if math.isfinite(value) and value > 0 else DEADLINE_MS / 1000


def _from_head(answer: CallAnswer) -> Response:
    headers = (("Retry-After", str(answer.retry_after_s)),) if answer.retry_after_s else ()
    return Response(answer.status, answer.body, headers=headers)


def _failed(failure: CallFailed) -> Response:
    """503 only where the request was certainly not taken."""
    if failure.sent:
        return error_response(504, "the core did not answer in time")
    return _unreached(RETRY_AFTER_S)


def _unreached(retry_after_s: int) -> Response:
    return error_response(503, "the core cannot be reached", (("Retry-After", str(retry_after_s)),))
