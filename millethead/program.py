"""The dispatcher process: creates its parts, runs them, reloads the configuration and shuts down."""

from __future__ import annotations

import asyncio
import math
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from tempfile import gettempdir
from typing import TYPE_CHECKING

import structlog
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from millethead.config import INDEXED_SETTINGS, Config, ConfigError, load_config
from millethead.decide.interface import Tenant
from millethead.decide.settings import report_field, report_fields
from millethead.exchange.core import Exchange
from millethead.exchange.stage import Stage
from millethead.frontends.http import HttpFrontend
from millethead.net.accept import BACKLOG, Acceptor
from millethead.net.callbacks import process_callback
from millethead.net.discovery import Discovery, WorkerListParser
from millethead.net.exchange import LoopClock
from millethead.net.pool import Pool
from millethead.net.probes import Probes, report_parser
from millethead.net.send import HttpWorkers
from millethead.net.timeouts import list_timeouts
from millethead.operators import OperatorSetup

if TYPE_CHECKING:  # optional parts are imported only if they are enabled
    from millethead.console.actions import DispatcherActions
    from millethead.console.server import Console
    from millethead.flows.ipfix import Exporter
    from millethead.frontends.faktory.session import FaktoryServer
    from millethead.hot_restart.hot_restart import HotRestart, InheritedState
    from millethead.members.shell import Members
    from millethead.rollout.setup import RolloutSetup
    from millethead.rollout.shell import Rollout

log = structlog.get_logger()
HANDOVER_PERIOD_S = 1.0  # after SIGTERM: jobs are handed over to a successor before any deadline is shortened
ACCEPT_GRACE_S = 0.6  # after SIGTERM: new connections are accepted as before
# SIGKILL follows SIGTERM no sooner than the longest deadline (counted as MAX_DRAIN_MS at most) plus KILL_MARGIN_MS.
MAX_DRAIN_MS, KILL_MARGIN_MS = 3000.0, 700.0
# When all else is answered, clients that have just connected have LAST_REQUESTS_S for their request. SHUTDOWN_S is
# reserved for the steps after that.
LAST_REQUESTS_S, SHUTDOWN_S = 0.25, 0.05
CONSOLE_CONNECTIONS = 16  # descriptors reserved for the operator console
MIN_CALLBACK_CONNECTIONS = 4  # reserved for call-backs and health checks, or a sixteenth of all if that is more
# Before SIGKILL: all jobs are answered by ANSWER_MARGIN_MS, and no job is accepted after ACCEPT_MARGIN_MS.
ANSWER_MARGIN_MS, ACCEPT_MARGIN_MS = 100.0, 800.0
REPORT_NAMES = ("rif", "inflight", "q", "queue", "busy", "util", "x0", "x1")


class Program:
    """A dispatcher process. `load` reads the configuration again on a reload."""

    def __init__(
        self,
        config: Config,
        operator: OperatorSetup | None = None,
        load: Callable[[], Config] = load_config,
        clock: LoopClock | None = None,
    ) -> None:
        self.config, self.operator, self.load = config, operator or OperatorSetup(), load
        clock = clock or LoopClock()
        family_info = config.info.get("family_info") or {}
        fields = {name: field for name in REPORT_NAMES if (field := report_field(name, family_info))}
        parse_report = report_parser(fields)
        waiting = self.operator.waiting
        flows: tuple[Tenant, ...] = ()
        if waiting is not None:
            from millethead.waiting.ageing import aged_flow

            flows = (aged_flow(waiting),)
        self.exchange = Exchange(config.settings, config.seed, clock, flows)
        # the stages that a job passes, created from the last to the first
        self.stage: Stage = self.exchange
        admission_setup = self.operator.door
        if admission_setup is not None:
            from millethead.admission.queue import AdmissionQueue

            admission = self.stage = AdmissionQueue(
                self.stage, admission_setup, clock, config.seed, config.names("tenants")
            )
        if waiting is not None:
            from millethead.waiting.stage import WaitingStage

            self.stage = WaitingStage(self.stage, waiting, config.names("classes"), clock)
        self.pool = Pool(0, *_pool_timeouts(config))
        self.workers = HttpWorkers(
            self.exchange, self.pool, Probes(self.exchange, self.pool, parse_report), parse_report
        )
        list_parser = WorkerListParser(config.names("azs"), config.names("kinds"))
        self.discovery = Discovery(
            self.exchange, self.workers, config.discovery, list_parser, list_timeouts(config.settings)
        )
        self.exchange.discovery = self.discovery
        frontend = self.frontend = HttpFrontend(
            self.stage,
            config.names("classes"),
            config.names("tenants"),
            self.workers.apply_callback,
            parse_report,
            admission_setup.header if admission_setup is not None else "",
        )
        faktory_setup = self.operator.faktory
        self.faktory: FaktoryServer | None = None
        client_limit = self._share_sockets(config.sockets)
        if faktory_setup is not None:
            from millethead.frontends.faktory.jobs import Jobs
            from millethead.frontends.faktory.session import FaktoryServer
            from millethead.frontends.faktory.workers import FaktoryWorkers

            jobs = Jobs(
                faktory_setup,
                config.names("classes"),
                config.names("tenants"),
                [c.deadline for c in config.settings.classes],
            )
            faktory_workers = FaktoryWorkers(
                self.exchange,
                jobs,
                list_parser.zones.get(faktory_setup.zone, 0),
                list_parser.kinds.get(faktory_setup.kind, len(list_parser.kinds)),
            )
            self.faktory = FaktoryServer(self.stage, jobs, faktory_workers, config.sockets * 6 // 10 - client_limit)
        self.acceptor = Acceptor(frontend.serve, client_limit)
        self.flows: Exporter | None = None
        if self.operator.flows is not None:
            from millethead.flows.ipfix import Exporter

            self.flows = Exporter(
                self.operator.flows,
                config.listen,
                faktory_setup.listen if faktory_setup else None,
                config.names("classes"),
            )
            self.stage.finished = self.flows.finished
        self.console: Console | None = None
        self.members: Members | None = None
        self.rollout: Rollout | None = None
        self.console_actions: DispatcherActions | None = None
        self.hot_restart: HotRestart | None = None
        if config.console is not None:
            from millethead.console.actions import DispatcherActions
            from millethead.console.calls import Calls
            from millethead.console.excluded_workers import ExcludedWorkersFile
            from millethead.console.server import Console
            from millethead.hot_restart.hot_restart import HotRestart

            folder, owner = Path(gettempdir()), config.state_owner
            self.hot_restart = HotRestart(
                folder,
                config.name,
                owner,
                clock,
                self.exchange,
                self.workers,
                self.discovery,
                self.acceptor,
                frontend.resume,
                lambda body: process_callback(body, parse_report, self.workers.apply_callback, last=False),
                self._share_with_predecessor,
                self.stage is self.exchange,
            )
            frontend.elsewhere = self.hot_restart.deliver_elsewhere
            self.console_actions = DispatcherActions(
                self.exchange,
                self.stage,
                config.names("classes"),
                ExcludedWorkersFile(folder, config.name, owner),
                self.not_ready_reason,
                self.hot_restart.share_excluded,
            )
            self.console = Console(Calls(self.console_actions), CONSOLE_CONNECTIONS)
            self.console_actions.extra_metrics.append(frontend.figures)
            if admission_setup is not None:
                self.console_actions.extra_metrics.append(admission.figures)
        self.accept_grace_s = ACCEPT_GRACE_S
        self._drain_task: asyncio.Task[None] | None = None
        self._end_deadline_s = math.inf  # monotonic time by which the process has to end; set on SIGTERM
        self.serving = asyncio.Event()
        self._stop_event = asyncio.Event()

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, and then until all held jobs are answered."""
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, self.stop)
            asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        inherited = await self._open_console()
        if inherited is None:
            _listen(self.acceptor, self.config.listen, reuse_port=self.console is not None)
        if self.faktory is not None and self.operator.faktory is not None:
            _listen(self.faktory, self.operator.faktory.listen)
        self.pool.start()
        if self.flows is not None:
            self.flows.start()
        if inherited is None:
            self.discovery.load_cached(self.config.known)
        elif self.hot_restart is not None and inherited.listener is not None:
            self.discovery.load_inherited(inherited.discovery_index, inherited.worker_listings)
            self.hot_restart.restore_learned_state()
            while not self.exchange.ready and self.hot_restart.predecessor is not None:
                await asyncio.sleep(0.02)  # the predecessor still serves
            self.acceptor.add_sockets([inherited.listener])
        if self.hot_restart is not None:
            self.hot_restart.announce_ready()
        if self.operator.members is not None:
            from millethead.members.shell import Members

            console = self.config.console
            self.members = Members(
                self.operator.members,
                self.config.name,
                f"{console[0]}:{console[1]}" if console else "",
                self.config.seed,
                self._set_fleet_share,
                self.not_ready_reason,
                self.operator.rollout.office / 1000 if self.operator.rollout else math.inf,
            )
            if self.console_actions is not None and self.console is not None:
                from millethead.members.calls import members_call

                self.console_actions.extra_metrics.append(self.members.figures)
                self.console.calls.handlers["/members"] = ("GET", members_call(self.members))
            if self.operator.rollout is not None:
                self.rollout = self._rollout(self.operator.rollout, self.members)
            await self.members.start(replaces=inherited is not None)
            if self.rollout is not None:
                self.rollout.start()
        log.info("serving")
        self.serving.set()
        await self._stop_event.wait()
        if self._drain_task is not None:
            self._drain_task.cancel()
        await self.acceptor.finish(max(0.05, min(LAST_REQUESTS_S, self._end_deadline_s - time.monotonic())))
        if self.faktory is not None:
            self.faktory.stop()
            self.faktory.close_all()
        if self.flows is not None:
            self.flows.stop()
        if self.hot_restart is not None:
            self.hot_restart.close()
        if self.console is not None:
            self.console.stop()
            self.console.close_all()
        if self.rollout is not None:
            self.rollout.stop()
        if self.members is not None:
            self.members.leave()
        self.discovery.stop()
        self.pool.stop()
        if threading.current_thread() is threading.main_thread():
            # a SIGHUP during interpreter shutdown must not end the process with an error
            asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
        log.info("ended")

    async def _open_console(self) -> InheritedState | None:
        """Opens the operator console, and takes over the listener and the workers of the predecessor process. Returns
        None if there is no predecessor or its state cannot be used."""
        if (
            self.console is None
            or self.console_actions is None
            or self.hot_restart is None
            or self.config.console is None
        ):
            return None
        _listen(self.console, self.config.console)
        inherited = await self.hot_restart.fetch_state()
        self.console_actions.restore()
        if inherited is None:
            return None
        self.exchange.take_out(inherited.excluded_workers)
        listener = inherited.listener
        if listener is None or listener.getsockname()[:2] != self.config.listen:
            log.warning("predecessor_unusable", why="it has no listener on this dispatcher's address")
            return None
        return inherited

    def _share_with_predecessor(self, clients: int, workers: int) -> None:
        """Lowers the limits by the connections that the predecessor process still holds."""
        client_limit = self._share_sockets(self.config.sockets)
        self.acceptor.limit = max(8, client_limit - clients)
        self.pool.limit = max(8, self.pool.limit - workers)

    def _rollout(self, setup: RolloutSetup, members: Members) -> Rollout:
        from millethead.rollout.calls import fleet_calls
        from millethead.rollout.host import ProgramHost
        from millethead.rollout.shell import Rollout

        kinds = self.config.names("kinds")
        host = ProgramHost(self.exchange, self.stage, kinds, self.stop)
        rollout = Rollout(setup, members, host, kinds, self.config.names("classes"))
        if self.console is not None:
            self.console.calls.handlers.update(fleet_calls(rollout))
        return rollout

    def _set_fleet_share(self, share: float, until: float, nodes: int, node: int) -> None:
        clock = self.exchange.clock
        self.exchange.in_fleet(share, clock.now() + (until - time.monotonic()) * 1000, nodes, node)

    def not_ready_reason(self) -> str:
        """Returns why no clients are accepted, or an empty text if they are."""
        return (
            ""
            if self.serving.is_set() and self.stage.ready
            else ("it leaves" if self._drain_task is not None else "no booking worker is known yet")
        )

    def reload(self) -> None:
        """Reads the configuration again, on SIGHUP. If a setting has changed that needs a restart, only the address of
        discovery and the connection limit take effect. An invalid file changes nothing."""
        old = self.config
        try:
            new = self.load()
        except ConfigError as error:
            log.error("reload_failed", why=str(error))
            return
        needs_restart = [
            setting
            for setting, differs in (
                ("name", new.name != old.name),
                ("listen", new.listen != old.listen),
                ("console", new.console != old.console),
                *((key, new.names(key) != old.names(key)) for key in INDEXED_SETTINGS),
                *(
                    (key, new.info.get(key) != old.info.get(key))
                    for key in ("zone", "self_index", "balancers", "membership_mode", "report")
                ),
                ("family_info", report_fields(new.info) != report_fields(old.info)),
            )
            if differs
        ]
        log.info(
            "reloaded",
            discovery=f"{new.discovery[0]}:{new.discovery[1]}",
            needs_restart=",".join(needs_restart) or "nothing",
        )
        if needs_restart:  # the next reload is compared with the settings in force, not with these
            new = replace(old, discovery=new.discovery, sockets=new.sockets)
        elif new.settings != old.settings:
            self.stage.reconfigure(new.settings)
            self.pool.set_timeouts(*_pool_timeouts(new))
            self.discovery.timeouts = list_timeouts(new.settings)
        client_limit = self._share_sockets(new.sockets)
        self.acceptor.limit = client_limit
        self.config = new
        self.discovery.move(new.discovery)

    def _share_sockets(self, sockets: int) -> int:
        """Sets the limit of the pool and returns that of client connections. A part of `sockets` stays reserved for the
        event loop, the listeners and discovery."""
        self.pool.limit = sockets * 3 // 10
        client_limit = sockets * 6 // 10 - (CONSOLE_CONNECTIONS if self.config.console is not None else 0)
        faktory_setup = self.operator.faktory
        if faktory_setup is None:
            # each job occupies its client's connection: some are reserved for call-backs of workers
            self.exchange.max_unanswered = max(1, client_limit - max(MIN_CALLBACK_CONNECTIONS, client_limit // 16))
        return client_limit - (min(faktory_setup.connections, client_limit // 2) if faktory_setup is not None else 0)

    def stop(self) -> None:
        """Starts the shutdown, on SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.remove_signal_handler(number)
                signal.signal(number, signal.SIG_IGN)
        log.info("stopping", held=self.stage.held)
        if self._drain_task is not None:
            return
        if self.members is not None:
            self.members.drain()
        kill_after_ms = min(MAX_DRAIN_MS, max(c.deadline for c in self.config.settings.classes)) + KILL_MARGIN_MS
        self._end_deadline_s = time.monotonic() + kill_after_ms / 1000 - SHUTDOWN_S
        self._drain_task = loop.create_task(self._drain_and_stop(kill_after_ms))

    async def _drain_and_stop(self, kill_after_ms: float) -> None:
        """Hands over jobs and connections to a successor process, if there is one, and shuts down.

        Without a successor new clients go to other dispatchers. Regular clients, however, use their open connections,
        and have no other dispatcher until this node is back. They are served as long as time permits."""
        began_s = time.monotonic()
        accept_until_s = began_s + (kill_after_ms - ACCEPT_MARGIN_MS) / 1000
        taken_over = self.hot_restart is not None and self.hot_restart.successor_serves
        if self.hot_restart is not None and taken_over:
            await self.hot_restart.hand_over(began_s + HANDOVER_PERIOD_S)
        # Faktory clients do not wait for an answer: their jobs keep their own deadlines
        self.stage.leave(
            kill_after_ms - ANSWER_MARGIN_MS - (time.monotonic() - began_s) * 1000 if self.faktory is None else None
        )
        if self.hot_restart is not None and taken_over:
            await self.hot_restart.hand_over(accept_until_s)
        else:
            await asyncio.sleep(self.accept_grace_s)
        while time.monotonic() < accept_until_s and (self.acceptor.open or self.stage.held):
            await asyncio.sleep(0.05)
        self.drain()

    def finish(self) -> None:
        """Ends at once, with jobs unanswered."""
        self._stop_event.set()

    def drain(self) -> None:
        """Accepts no more jobs, and ends when all held jobs are answered."""
        self.acceptor.drain()
        self.stage.close(self._stop_event.set)


def _pool_timeouts(config: Config) -> tuple[float, float]:
    """Returns (timeout of connecting to a worker, idle timeout of connections at the workers), in ms."""
    permissions = config.info.get("permissions") or {}
    return config.settings.connect_timeout, float(permissions.get("keepalive") or 60_000.0)


def _listen(server: TCPServer, address: tuple[str, int], reuse_port: bool = False) -> None:
    host, port = address
    try:
        sockets = bind_sockets(port, host, backlog=BACKLOG, reuse_port=reuse_port)
    except OSError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error}") from None
    server.add_sockets(sockets)
    log.info("listening", address=f"{host}:{sockets[0].getsockname()[1]}", server=type(server).__name__)
