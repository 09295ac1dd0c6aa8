"""Runs the agent's state machine: provides its sockets, threads and clock."""

from __future__ import annotations

import asyncio
import math
import secrets
import signal
from collections.abc import Callable, Iterable

import structlog

from millethead.configuration.settings import InvalidSettings, ProcessSettings, load_settings
from millethead.execution.actions import Action, CallWorker, SendRecord
from millethead.execution.agent import Agent
from millethead.execution.call_planner import AgentLimits
from millethead.execution.calls import (
    INSTANCE_HEADER,
    CallAnswer,
    CallStatus,
    PollCall,
    WorkerCall,
    encode_request,
    read_answer,
    request_path,
)
from millethead.execution.client import CallKind, CallOutcome, CallResult, WorkerClient
from millethead.execution.head_finder import HeadFinder
from millethead.execution.heartbeats import heartbeat_app
from millethead.execution.messages import AgentHello, WorkerInfo
from millethead.rpc.codec import Record
from millethead.web.metrics import MetricFamily, add_metrics
from millethead.web.server import HttpLimits, HttpServer

log = structlog.get_logger()
MS = 1000.0
MAX_HOLD_MS = 6500.0  # bounds the time until the runs of an unreachable worker have certainly ended
SHUTDOWN_TIMEOUT_S = 0.3  # time limit for calls in flight and for answers to the worker
MAX_CONNECTIONS = 64  # maximum number of connections from the worker
FAILED_ROUNDS_PER_RELOAD = 5  # failed rounds through the members between two reloads of the settings
CONTENT_TYPE = {"Content-Type": "application/json"}


class UnfitSettings(ValueError):
    """The settings do not describe an agent: the worker's address or the address for heartbeats is missing."""


class AgentShell:
    """Runs one agent until `stop` is called. `reload` reads the settings again, for their seeds."""

    def __init__(self, settings: ProcessSettings, reload: Callable[[], ProcessSettings] = load_settings) -> None:
        if settings.app is None or settings.listen.control is None:
            raise UnfitSettings("an agent needs `app` and `listen.control`")
        self._settings, self._reload = settings, reload
        self._app, self._control = settings.app, settings.listen.control
        self._process = secrets.randbits(63)
        self._loop = asyncio.get_running_loop()
        limits = AgentLimits(min(settings.bounds.hold_max_ms, MAX_HOLD_MS), settings.heartbeat_ms / MS)
        self._agent = Agent(limits, self._loop.time())
        self._client = WorkerClient(self._app, self._post)
        self._heartbeat_app = heartbeat_app(self._on_heartbeat, self._on_leave)
        self._server = HttpServer(self._heartbeat_app, HttpLimits(max_connections=MAX_CONNECTIONS))
        self._finder = HeadFinder(
            self._hello, self._seeds, self._on_welcome, self._on_record, self._on_closed, self._on_failed_round
        )
        self._failed_rounds = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve the worker until `stop` is called. Its runs continue, and the next agent process finds them."""
        host, port = self._control.rsplit(":", 1)
        await self._server.listen(host, int(port))
        log.info("agent_started", node=self._settings.node, worker=self._app)
        finder = asyncio.create_task(self._finder.run())
        stopped = asyncio.create_task(self._stopped.wait())
        await asyncio.wait({finder, stopped}, return_when=asyncio.FIRST_COMPLETED)
        await self._shut_down(finder)
        stopped.cancel()
        if finder.done() and not finder.cancelled():
            finder.result()

    def add_metrics(self, collect: Callable[[Agent, float], Iterable[MetricFamily]]) -> None:
        """Export the metrics that `collect(agent, monotonic seconds)` returns at the address for heartbeats."""
        add_metrics(self._heartbeat_app, lambda: collect(self._agent, self._loop.time()))

    def stop(self) -> None:
        """Make `run` return soon."""
        self._stopped.set()

    def reload_settings(self) -> None:
        """Use the seeds of the current settings; settings that cannot be read change nothing."""
        try:
            self._settings = self._reload()
        except InvalidSettings as error:
            log.warning("settings_not_read", why=str(error))

    async def _shut_down(self, finder: asyncio.Task[None]) -> None:
        """Wait briefly for the calls in flight so that their outcomes are reported, then close everything."""
        deadline = self._loop.time() + SHUTDOWN_TIMEOUT_S
        await self._server.drain(SHUTDOWN_TIMEOUT_S)
        while self._agent.calls_in_flight and self._loop.time() < deadline:
            await asyncio.sleep(SHUTDOWN_TIMEOUT_S / 10)
        if self._timer is not None:
            self._timer.cancel()
        self._client.close()
        if not finder.done():
            finder.cancel()
            await asyncio.gather(finder, return_exceptions=True)
        log.info("agent_stopped", node=self._settings.node)

    # ---- events ------------------------------------------------------------------------------------------

    def _on_heartbeat(self, info: WorkerInfo, clock_ms: float | None) -> None:
        self._execute(self._agent.heartbeat_received(info, clock_ms, self._loop.time()))

    def _on_leave(self, instance: str) -> None:
        self._execute(self._agent.worker_left(instance, self._loop.time()))

    def _on_welcome(self, epoch: int) -> None:
        self._failed_rounds = 0
        self._execute(self._agent.session_opened(epoch, self._loop.time()))

    def _on_record(self, record: Record) -> None:
        self._execute(self._agent.record_received(record, self._loop.time()))

    def _on_closed(self) -> None:
        self._execute(self._agent.session_closed(self._loop.time()))

    def _on_timer(self) -> None:
        self._timer, self._timer_at = None, math.inf
        self._execute(self._agent.timer_expired(self._loop.time()))

    def _on_call_ended(self, call: WorkerCall, result: CallResult) -> None:
        self._execute(self._agent.call_ended(call.number, _call_answer(call, result), self._loop.time()))

    def _on_failed_round(self) -> None:
        self._failed_rounds += 1
        if self._failed_rounds % FAILED_ROUNDS_PER_RELOAD == 0:
            self.reload_settings()

    # ---- actions -----------------------------------------------------------------------------------------

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendRecord):
                self._finder.send(action.record)
            elif isinstance(action, CallWorker):
                self._send_call(action.call)
            else:
                self._finder.close_session(action.cause)
        self._set_timer(self._agent.next_timer())

    def _post(self, callback: Callable[[], None]) -> None:
        """Schedule the callable on the event loop; may be called on any thread."""
        self._loop.call_soon_threadsafe(callback)

    def _send_call(self, call: WorkerCall) -> None:
        headers = {**CONTENT_TYPE, INSTANCE_HEADER: call.instance}
        kind = CallKind.POLL if isinstance(call, PollCall) else CallKind.ORDER
        self._client.call(
            "POST",
            request_path(call),
            encode_request(call),
            headers,
            call.timeout_s,
            lambda result: self._on_call_ended(call, result),
            kind,
        )

    def _set_timer(self, at: float) -> None:
        """Make sure that the timer expires at `at` or before; an early expiry does no harm."""
        if at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._timer_at = self._loop.call_at(at, self._on_timer), at

    # ---- session -----------------------------------------------------------------------------------------

    def _hello(self) -> AgentHello:
        return AgentHello(
            self._settings.node,
            self._process,
            self._agent.epoch,
            self._settings.zone,
            self._app,
            self._settings.service or "",
        )

    def _seeds(self) -> list[str]:
        """Return the seeds' hosts with the port for connections between the programs."""
        port = self._settings.port_range[0]
        return [f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self._settings.seeds]


def _call_answer(call: WorkerCall, result: CallResult) -> CallAnswer:
    if result.outcome is CallOutcome.ANSWERED:
        return read_answer(call, result.status, result.body, result.sent_at, result.ended_at)
    not_sent = result.outcome is CallOutcome.REFUSED_CONNECTION
    return CallAnswer(
        CallStatus.NOT_SENT if not_sent else CallStatus.UNCLEAR,
        result.sent_at,
        result.ended_at,
        no_listener=result.no_listener,
    )


async def run_until_signal(shell: AgentShell) -> None:
    """Run the shell until SIGTERM or SIGINT; SIGHUP reloads its settings."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shell.stop)
    loop.add_signal_handler(signal.SIGHUP, shell.reload_settings)
    try:
        await shell.run()
    finally:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)
