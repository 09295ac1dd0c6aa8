"""The operator's HTTP interface, which forwards configuration requests to the head of the core."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import bottle  # type: ignore[import-untyped]

from millethead.control.calls import ConfigurationCall
from millethead.control.client import CallFailed, HeadClient
from millethead.web.metrics import MetricFamily, add_metrics
from millethead.web.server import DeferredResponse, Response, error_response, json_response, request_body

HEAD_WAIT_TIMEOUT_S = 0.8  # clients try another member after 1 s without an answer
ANSWER_TIMEOUT_S = 0.9
RETRY_AFTER_S = 1
MAX_VERSION_DIGITS = 18

MakeCall = Callable[[int], ConfigurationCall]


def operator_app(head_client: HeadClient, metrics: Callable[[], Iterable[MetricFamily]]) -> bottle.Bottle:
    """Create the application. `head_client` is the client of the head, `metrics` returns the metrics of this member."""
    app = bottle.Bottle()
    add_metrics(app, metrics)
    tasks: set[asyncio.Task[None]] = set()

    @app.route("/-/config", method=["GET", "PUT", "PATCH"])  # type: ignore[untyped-decorator]
    def configuration() -> Response | DeferredResponse:
        method, body = bottle.request.method, request_body()
        if_match = _version(bottle.request.get_header("If-Match"))
        deferred = DeferredResponse()
        task = asyncio.get_running_loop().create_task(
            _answer(head_client, lambda number: ConfigurationCall(number, method, if_match, body), deferred)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return deferred

    @app.get("/-/ready")  # type: ignore[untyped-decorator]
    def ready() -> Response:
        return json_response(200 if head_client.connected else 503, {"head": head_client.connected})

    return app


def _version(header: str | None) -> int | None:
    text = (header or "").strip().strip('"')
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_VERSION_DIGITS else None


async def _answer(head_client: HeadClient, make: MakeCall, deferred: DeferredResponse) -> None:
    try:
        answer = await head_client.call(make, HEAD_WAIT_TIMEOUT_S, ANSWER_TIMEOUT_S)
    except CallFailed as failure:
        if failure.sent:
            deferred.complete(error_response(504, "the core did not answer in time"))
        else:
            deferred.complete(error_response(503, "the core cannot be reached", (("Retry-After", str(RETRY_AFTER_S)),)))
        return
    deferred.complete(Response(answer.status, answer.body))
