"""A stand-in worker behind HTTP on loopback, with heartbeats: `lab.worker` as its agent and its platform meet it."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time

import bottle  # type: ignore[import-untyped]
import msgspec
import urllib3

from millethead.lab.worker import MS, OK, WorkerModel
from millethead.web.server import DeferredResponse, HttpLimits, HttpServer, Response, json_response, request_body

HEARTBEAT_TIMEOUT_S = 1.0


class WorkerServer:
    """A worker on loopback: the model behind HTTP, which beats to the agent at `control` (host:port)."""

    def __init__(self, model: WorkerModel, control: str, heartbeat_s: float = 1.0) -> None:
        self.model = model
        self._control, self._heartbeat_s = control, heartbeat_s
        self._server = HttpServer(self._app(), HttpLimits())
        self._http = urllib3.PoolManager(retries=False)
        self._waiting: dict[DeferredResponse, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen, and begin to beat."""
        await self._server.listen(host, port)
        self._beats = asyncio.create_task(self._beat_on())

    async def leave(self) -> None:
        """Say that the life ends, and end."""
        await self._tell("DELETE", None)
        await self.stop()

    async def stop(self) -> None:
        """End without a word."""
        if self._beats is not None:
            self._beats.cancel()
            await asyncio.gather(self._beats, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        await self._server.drain(0)

    # ---- heartbeats ----------------------------------------------------------------------------------

    async def _beat_on(self) -> None:
        while True:
            await self._tell("PUT", msgspec.json.encode(self.model.beat(time.monotonic())))
            await asyncio.sleep(self._heartbeat_s)

    async def _tell(self, method: str, body: bytes | None) -> None:
        url = f"http://{self._control}/-/instances/{self.model.instance}"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            await asyncio.to_thread(
                self._http.request,
                method,
                url,
                body=body,
                timeout=HEARTBEAT_TIMEOUT_S,
                headers={"Content-Type": "application/json"},
            )

    # ---- calls ---------------------------------------------------------------------------------------

    def _app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.route("/-/<call>", "POST", self._answer)
        return app

    def _answer(self, call: str) -> Response | DeferredResponse:
        body = msgspec.json.decode(request_body())
        expected = bottle.request.get_header("X-Expect-Instance")
        status, answer = self.model.call(f"/-/{call}", body, expected, time.monotonic())
        self._happen()
        if call != "hold" or status != OK or not self.model.hold_waits(body):
            return json_response(status, answer)
        deferred = DeferredResponse()
        self._waiting[deferred] = body.get("last_seen", 0)
        asyncio.get_running_loop().call_later(body["wait_ms"] / MS, self._complete, deferred)
        return deferred

    def _complete(self, deferred: DeferredResponse) -> None:
        last_seen = self._waiting.pop(deferred, None)
        if last_seen is not None:
            deferred.complete(json_response(OK, self.model.lists(last_seen, time.monotonic())))

    def _happen(self) -> None:
        """Let what is due happen, answer the holds that waited for it, and wait for what comes next."""
        now = time.monotonic()
        self.model.advance(now)
        for deferred, last_seen in list(self._waiting.items()):
            if not self.model.hold_waits({"wait_ms": 1, "last_seen": last_seen}):
                self._complete(deferred)
        if self._timer is not None:
            self._timer.cancel()
        at = self.model.next_event()
        if at < math.inf:
            self._timer = asyncio.get_running_loop().call_later(max(0.0, at - now), self._happen)
