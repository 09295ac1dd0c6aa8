"""The dispatcher put together, from its start to its end."""

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

from millethead.config import NAMED, Config, ConfigError, load_config
from millethead.decide.interface import Tenant
from millethead.decide.settings import report_field, report_fields
from millethead.exchange.core import Exchange
from millethead.exchange.stage import Stage
from millethead.frontends.http import HttpFrontend
from millethead.net.accept import BACKLOG, Acceptor
from millethead.net.discovery import Discovery, Names
from millethead.net.exchange import LoopClock
from millethead.net.news import read_news
from millethead.net.pool import Pool
from millethead.net.probes import Probes, report_reader
from millethead.net.send import HttpWorkers
from millethead.net.terms import list_terms
from millethead.operators import Operator

if TYPE_CHECKING:  # what is not set up is not imported
    from millethead.console.desk import FrontDesk
    from millethead.console.server import Console
    from millethead.flows.ipfix import Exporter
    from millethead.frontends.faktory.session import FaktoryServer
    from millethead.hot_restart.hot_restart import HotRestart, InheritedState
    from millethead.members.shell import Members
    from millethead.rollout.setup import RolloutSetup
    from millethead.rollout.shell import Rollout

log = structlog.get_logger()
HANDING = 1.0  # s after SIGTERM in which jobs go to a successor before any is cut short
GOES_ON = 0.6  # s after SIGTERM in which new connections are taken as before
# ms after SIGTERM in which no SIGKILL comes: the longest deadline, or so much where it is longer, and more
LONGEST, KILL_MARGIN = 3000.0, 700.0
# s that clients who have just come have for their request when all else is answered, and for what follows that
LAST, CLOSING = 0.25, 0.05
CALLERS = 16  # connections of the staff at once: descriptors are kept back for them
CALL_BACKS = 4  # connections, or a sixteenth of all, that jobs leave to call-backs and checks
ANSWERED, TAKEN = 100.0, 800.0  # ms before that by which all is answered, and nothing is taken any more
REPORT_NAMES = ("rif", "inflight", "q", "queue", "busy", "util", "x0", "x1")


class Program:
    def __init__(
        self,
        config: Config,
        operator: Operator | None = None,
        load: Callable[[], Config] = load_config,
        clock: LoopClock | None = None,
    ) -> None:
        self.config, self.operator, self.load = config, operator or Operator(), load
        clock = clock or LoopClock()
        family = config.info.get("family_info") or {}
        fields = {name: field for name in REPORT_NAMES if (field := report_field(name, family))}
        report = report_reader(fields)
        waiting = self.operator.waiting
        flows: tuple[Tenant, ...] = ()
        if waiting is not None:
            from millethead.waiting.ageing import aged_flow

            flows = (aged_flow(waiting),)
        self.exchange = Exchange(config.settings, config.seed, clock, flows)
        # the stages that a job passes, from the last to the first
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
        self.pool = Pool(0, *_times(config))
        self.workers = HttpWorkers(self.exchange, self.pool, Probes(self.exchange, self.pool, report), report)
        names = Names(config.names("azs"), config.names("kinds"))
        self.discovery = Discovery(self.exchange, self.workers, config.discovery, names, list_terms(config.settings))
        self.exchange.discovery = self.discovery
        front = self.front = HttpFrontend(
            self.stage,
            config.names("classes"),
            config.names("tenants"),
            self.workers.news,
            report,
            admission_setup.header if admission_setup is not None else "",
        )
        setup = self.operator.faktory
        self.faktory: FaktoryServer | None = None
        room = self._share_sockets(config.sockets)
        if setup is not None:
            from millethead.frontends.faktory.jobs import Jobs
            from millethead.frontends.faktory.session import FaktoryServer
            from millethead.frontends.faktory.workers import FaktoryWorkers

            jobs = Jobs(
                setup, config.names("classes"), config.names("tenants"), [c.deadline for c in config.settings.classes]
            )
            fetchers = FaktoryWorkers(
                self.exchange, jobs, names.zones.get(setup.zone, 0), names.kinds.get(setup.kind, len(names.kinds))
            )
            self.faktory = FaktoryServer(self.stage, jobs, fetchers, config.sockets * 6 // 10 - room)
        self.acceptor = Acceptor(front.serve, room)
        self.flows: Exporter | None = None
        if self.operator.flows is not None:
            from millethead.flows.ipfix import Exporter

            self.flows = Exporter(
                self.operator.flows, config.listen, setup.listen if setup else None, config.names("classes")
            )
            self.stage.finished = self.flows.finished
        self.console: Console | None = None
        self.members: Members | None = None
        self.rollout: Rollout | None = None
        self.desk: FrontDesk | None = None
        self.hot_restart: HotRestart | None = None
        if config.console is not None:
            from millethead.console.calls import Calls
            from millethead.console.desk import FrontDesk
            from millethead.console.server import Console
            from millethead.console.store import OutFile
            from millethead.hot_restart.hot_restart import HotRestart

            folder, whose = Path(gettempdir()), config.whose
            self.hot_restart = HotRestart(
                folder,
                config.name,
                whose,
                clock,
                self.exchange,
                self.workers,
                self.discovery,
                self.acceptor,
                front.resume,
                lambda body: read_news(body, report, self.workers.news, last=False),
                self._share_with,
                self.stage is self.exchange,
            )
            front.elsewhere = self.hot_restart.deliver_elsewhere
            self.desk = FrontDesk(
                self.exchange,
                self.stage,
                config.names("classes"),
                OutFile(folder, config.name, whose),
                self.takes,
                self.hot_restart.share_excluded,
            )
            self.console = Console(Calls(self.desk), CALLERS)
            self.desk.more.append(front.figures)
            if admission_setup is not None:
                self.desk.more.append(admission.figures)
        self.goes_on = GOES_ON
        self._leaving: asyncio.Task[None] | None = None
        self._until = math.inf  # steady clock, s: when it has to end, once it was told to
        self.serving = asyncio.Event()
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until all that is held has its answer."""
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
            self.discovery.known(self.config.known)
        elif self.hot_restart is not None and inherited.listener is not None:
            self.discovery.inherited(inherited.discovery_index, inherited.worker_listings)
            self.hot_restart.restore_learned_state()
            while not self.exchange.ready and self.hot_restart.predecessor is not None:
                await asyncio.sleep(0.02)  # the process before this one serves meanwhile
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
                self._in_fleet,
                self.takes,
                self.operator.rollout.office / 1000 if self.operator.rollout else math.inf,
            )
            if self.desk is not None and self.console is not None:
                from millethead.members.calls import members_call

                self.desk.more.append(self.members.figures)
                self.console.calls.parts["/members"] = ("GET", members_call(self.members))
            if self.operator.rollout is not None:
                self.rollout = self._rollout(self.operator.rollout, self.members)
            await self.members.start(replaces=inherited is not None)
            if self.rollout is not None:
                self.rollout.start()
        log.info("serving")
        self.serving.set()
        await self._ended.wait()
        if self._leaving is not None:
            self._leaving.cancel()
        await self.acceptor.finish(max(0.05, min(LAST, self._until - time.monotonic())))
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
            # one more SIGHUP while the interpreter winds up must not turn an orderly end into a crash
            asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
        log.info("ended")

    async def _open_console(self) -> InheritedState | None:
        """Listen for the staff, and ask the process before this one, if there is one, for what it has."""
        if self.console is None or self.desk is None or self.hot_restart is None or self.config.console is None:
            return None
        _listen(self.console, self.config.console)
        inherited = await self.hot_restart.fetch_state()
        self.desk.restore()
        if inherited is None:
            return None
        self.exchange.take_out(inherited.excluded_workers)
        listener = inherited.listener
        if listener is None or listener.getsockname()[:2] != self.config.listen:
            log.warning("predecessor_unusable", why="its listener is not ours")
            return None
        return inherited

    def _share_with(self, clients: int, workers: int) -> None:
        """The process before this one still has so many connections, which count as this one's."""
        room = self._share_sockets(self.config.sockets)
        self.acceptor.limit = max(8, room - clients)
        self.pool.limit = max(8, self.pool.limit - workers)

    def _rollout(self, setup: RolloutSetup, members: Members) -> Rollout:
        from millethead.rollout.calls import fleet_calls
        from millethead.rollout.host import ProgramHost
        from millethead.rollout.shell import Rollout

        kinds = self.config.names("kinds")
        host = ProgramHost(self.exchange, self.stage, kinds, self.stop)
        rollout = Rollout(setup, members, host, kinds, self.config.names("classes"))
        if self.console is not None:
            self.console.calls.parts.update(fleet_calls(rollout))
        return rollout

    def _in_fleet(self, share: float, until: float, nodes: int, node: int) -> None:
        clock = self.exchange.clock
        self.exchange.in_fleet(share, clock.now() + (until - time.monotonic()) * 1000, nodes, node)

    def takes(self) -> str:
        """Why no clients are taken; empty when they are."""
        return (
            ""
            if self.serving.is_set() and self.stage.ready
            else ("it leaves" if self._leaving is not None else "no booking worker is known yet")
        )

    def reload(self) -> None:
        """SIGHUP: read the configuration anew. What cannot change in service waits for a restart; a file
        that cannot be used changes nothing."""
        old = self.config
        try:
            new = self.load()
        except ConfigError as error:
            log.error("reload_failed", why=str(error))
            return
        fixed = [
            what
            for what, differs in (
                ("name", new.name != old.name),
                ("listen", new.listen != old.listen),
                ("console", new.console != old.console),
                *((key, new.names(key) != old.names(key)) for key in NAMED),
                *(
                    (key, new.info.get(key) != old.info.get(key))
                    for key in ("zone", "self_index", "balancers", "membership_mode", "report")
                ),
                ("family_info", report_fields(new.info) != report_fields(old.info)),
            )
            if differs
        ]
        log.info(
            "reloaded", discovery=f"{new.discovery[0]}:{new.discovery[1]}", needs_restart=",".join(fixed) or "nothing"
        )
        if fixed:  # what comes next is held against what is in force, and not against this one
            new = replace(old, discovery=new.discovery, sockets=new.sockets)
        elif new.settings != old.settings:
            self.stage.reconfigure(new.settings)
            self.pool.set_times(*_times(new))
            self.discovery.terms = list_terms(new.settings)
        room = self._share_sockets(new.sockets)
        self.acceptor.limit = room
        self.config = new
        self.discovery.move(new.discovery)

    def _share_sockets(self, sockets: int) -> int:
        """Bounds the pool; returns what is left for clients. A few descriptors stay for loop, listeners
        and discovery."""
        self.pool.limit = sockets * 3 // 10
        room = sockets * 6 // 10 - (CALLERS if self.config.console is not None else 0)
        setup = self.operator.faktory
        if setup is None:  # each job holds its client's connection: some stay for workers that tell of them
            self.exchange.max_unanswered = max(1, room - max(CALL_BACKS, room // 16))
        return room - (min(setup.connections, room // 2) if setup is not None else 0)

    def stop(self) -> None:
        loop = asyncio.get_running_loop()
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.remove_signal_handler(number)
                signal.signal(number, signal.SIG_IGN)
        log.info("stopping", held=self.stage.held)
        if self._leaving is not None:
            return
        if self.members is not None:
            self.members.drain()
        alive = min(LONGEST, max(c.deadline for c in self.config.settings.classes)) + KILL_MARGIN
        self._until = time.monotonic() + alive / 1000 - CLOSING
        self._leaving = loop.create_task(self._leave(alive))

    async def _leave(self, alive: float) -> None:
        """Whatever can go to a successor goes there. Without one new clients go elsewhere, but usual ones use the
        connections they have while these stay open, and have nobody else until this node is back: they are served
        while there is time."""
        began = time.monotonic()
        until = began + (alive - TAKEN) / 1000
        taken_over = self.hot_restart is not None and self.hot_restart.successor_serves
        if self.hot_restart is not None and taken_over:
            await self.hot_restart.hand_over(began + HANDING)
        # Faktory's clients wait for nobody: what they pushed ends by its own deadline
        self.stage.leave(alive - ANSWERED - (time.monotonic() - began) * 1000 if self.faktory is None else None)
        if self.hot_restart is not None and taken_over:
            await self.hot_restart.hand_over(until)
        else:
            await asyncio.sleep(self.goes_on)
        while time.monotonic() < until and (self.acceptor.open or self.stage.held):
            await asyncio.sleep(0.05)
        self.drain()

    def finish(self) -> None:
        """End at once, whatever is held."""
        self._ended.set()

    def drain(self) -> None:
        """Take nothing more; end when all that is held has its answer."""
        self.acceptor.drain()
        self.stage.close(self._ended.set)


def _times(config: Config) -> tuple[float, float]:
    """(ms that a connection to a worker may take to come up, ms that a worker keeps an idle one)."""
    permit = config.info.get("permissions") or {}
    return config.settings.connect_timeout, float(permit.get("keepalive") or 60_000.0)


def _listen(server: TCPServer, address: tuple[str, int], reuse_port: bool = False) -> None:
    host, port = address
    try:
        sockets = bind_sockets(port, host, backlog=BACKLOG, reuse_port=reuse_port)
    except OSError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error}") from None
    server.add_sockets(sockets)
    log.info("listening", address=f"{host}:{sockets[0].getsockname()[1]}", server=type(server).__name__)
