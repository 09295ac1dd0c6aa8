"""The dispatcher: accepts client requests on every edge machine and forwards them to the head of the core.

Its only state is the configuration in force, streamed from the head. It answers by itself only if there is no
configuration yet or if the head cannot be reached.
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
from millethead.programs.dispatcher_metrics import dispatcher_metrics
from millethead.programs.signals import install_signal_handlers
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

DEFAULT_DEADLINE_MS = 3000.0  # for requests without an X-Deadline-Ms header
RESPONSE_MARGIN_S = 0.15  # time before the deadline at which a response is sent at the latest
HEAD_WAIT_TIMEOUT_S = 1.4  # longest wait for a connection to the head, covers a change of the head
ANSWER_TIMEOUT_S = 2.4  # longest wait for the answer of the head
RETRY_AFTER_S = 1
LONG_RETRY_AFTER_S = 2  # if the head has been unreachable for longer than a change of the head takes
READY_GRACE_S = 3.0  # the dispatcher stays ready for this long without a connection to the head
FORWARDED_METHODS = ("POST", "GET", "DELETE", "PUT", "PATCH")
SHUTDOWN_RESERVE_S = 1.5  # part of grace_s reserved for the rest of the shutdown


class DispatcherProgram:
    """One dispatcher. `run` returns after a signal has stopped it."""

    def __init__(self, settings: ProcessSettings) -> None:
        if settings.listen.front is None or settings.listen.ready is None:
            raise ValueError("a dispatcher needs `listen.front` and `listen.ready`")
        self._settings = settings
        self._front_address, self._ready_address = settings.listen.front, settings.listen.ready
        self._stopped = asyncio.Event()
        self._configuration: Configuration | None = None
        self._head_client = HeadClient(settings.node, self._seeds, Random(), self._apply_configuration)
        self._front = HttpServer(self._front_app(), HttpLimits())
        self._ready = HttpServer(self._ready_app(), HttpLimits(max_connections=64))
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._responses_by_status = Counter[int]()

    async def run(self) -> None:
        install_signal_handlers(self._stopped.set, self._reload)
        self._head_client.start()
        await self._ready.listen(*split_address(self._ready_address))
        await self._front.listen(*split_address(self._front_address))
        log.info("dispatcher_started", node=self._settings.node)
        await self._stopped.wait()
        self._stopping = True
        await self._front.drain(max(1.0, self._settings.bounds.grace_s - SHUTDOWN_RESERVE_S))
        await self._ready.drain(0.1)
        self._head_client.close()
        log.info("dispatcher_stopped", node=self._settings.node)

    def _seeds(self) -> tuple[str, ...]:
        return seed_addresses(self._settings)

    def _reload(self) -> None:
        try:
            self._settings = load_settings()
        except InvalidSettings as error:
            log.warning("settings_not_read", why=str(error))

    def _apply_configuration(self, version: int, document: bytes) -> None:
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

        add_metrics(app, self._metrics)
        return app

    def _metrics(self) -> Iterator[MetricFamily]:
        return dispatcher_metrics(
            self._head_client.configuration,
            self._head_client.connected,
            self.ready(),
            len(self._tasks),
            self._responses_by_status,
        )

    def ready(self) -> bool:
        """Return whether new connections are wanted: a configuration is known, and the head was connected recently."""
        if self._stopping or self._configuration is None:
            return False
        if self._head_client.connected:
            return True
        lost = self._head_client.disconnected_at is not None
        return lost and self._head_client.disconnected_s() < READY_GRACE_S

    # ---- requests ----------------------------------------------------------------------------------------

    def _front_app(self) -> bottle.Bottle:
        app = bottle.Bottle()

        @app.route("<path:re:.*>", method=list(FORWARDED_METHODS))  # type: ignore[untyped-decorator]
        def request(path: str) -> Response | DeferredResponse:
            if self._configuration is None:
                return self._count(error_response(503, "no configuration yet", (("Retry-After", str(RETRY_AFTER_S)),)))
            return self._forward(path)

        return app

    def _forward(self, path: str) -> DeferredResponse:
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

    async def _answer(self, make_call: Callable[[int], JobCall], deadline_s: float, deferred: DeferredResponse) -> None:
        timeout_s = max(0.05, deadline_s - RESPONSE_MARGIN_S)
        disconnected_s = self._head_client.disconnected_s()
        if disconnected_s > HEAD_WAIT_TIMEOUT_S:
            deferred.complete(self._count(_core_unavailable(LONG_RETRY_AFTER_S)))
            return
        try:
            answer = await self._head_client.call(
                make_call, min(HEAD_WAIT_TIMEOUT_S - disconnected_s, timeout_s), min(ANSWER_TIMEOUT_S, timeout_s)
            )
        except CallFailed as failure:
            deferred.complete(self._count(_failure_response(failure)))
            return
        deferred.complete(self._count(_head_response(answer)))

    def _count(self, answer: Response) -> Response:
        self._responses_by_status[answer.status] += 1
        return answer


def _deadline_s(header: str | None) -> float:
    try:
        value = float(header) if header else DEFAULT_DEADLINE_MS
    except ValueError:
        return DEFAULT_DEADLINE_MS / 1000
    return value / 1000 if math.isfinite(value) and value > 0 else DEFAULT_DEADLINE_MS / 1000


def _head_response(answer: CallAnswer) -> Response:
    headers = (("Retry-After", str(answer.retry_after_s)),) if answer.retry_after_s else ()
    return Response(answer.status, answer.body, headers=headers)


def _failure_response(failure: CallFailed) -> Response:
    """Return 503 only if the request was certainly not processed, otherwise 504."""
    if failure.sent:
        return error_response(504, "the core did not answer in time")
    return _core_unavailable(RETRY_AFTER_S)


def _core_unavailable(retry_after_s: int) -> Response:
    return error_response(503, "the core cannot be reached", (("Retry-After", str(retry_after_s)),))
