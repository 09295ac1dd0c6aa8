"""The dispatcher put together, from its start to its end."""

from __future__ import annotations

import asyncio
import signal
import threading

import structlog
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from millethead.config import Config, ConfigError
from millethead.decide.settings import report_field
from millethead.exchange.core import Exchange
from millethead.flows.ipfix import Exporter
from millethead.fronts.faktory.jobs import Jobs
from millethead.fronts.faktory.session import FaktoryServer
from millethead.fronts.faktory.workers import FaktoryWorkers
from millethead.fronts.platform import PlatformFront
from millethead.net.accept import Acceptor
from millethead.net.discovery import Discovery, Names
from millethead.net.exchange import LoopClock
from millethead.net.pool import Pool
from millethead.net.probes import Probes, report_reader
from millethead.net.send import HttpWorkers
from millethead.operators import Operator

log = structlog.get_logger()
GOES_ON = 0.6  # s after SIGTERM in which new connections are taken as before
REPORT_NAMES = ("rif", "inflight", "q", "queue", "busy", "util", "x0", "x1")


class Program:
    def __init__(self, config: Config, operator: Operator | None = None) -> None:
        self.config, self.operator = config, operator or Operator()
        permit = config.info.get("permissions") or {}
        family = config.info.get("family_info") or {}
        fields = {name: field for name in REPORT_NAMES if (field := report_field(name, family))}
        report = report_reader(fields)
        self.exchange = Exchange(config.settings, config.seed, LoopClock())
        self.pool = Pool(config.sockets * 3 // 10, config.settings.connect_timeout,
                         float(permit.get("keepalive") or 60_000.0))
        self.workers = HttpWorkers(self.exchange, self.pool, Probes(self.exchange, self.pool, report), report)
        names = Names(config.names("azs"), config.names("kinds"))
        self.discovery = Discovery(self.exchange, self.workers, config.discovery, names)
        self.exchange.roster = self.discovery
        front = PlatformFront(self.exchange, config.names("classes"), config.names("tenants"),
                              self.workers.news, report)
        setup = self.operator.faktory
        self.faktory: FaktoryServer | None = None
        # of the descriptors, a few stay for the loop, the listeners and discovery
        room = config.sockets * 6 // 10
        if setup is not None:
            taken = min(setup.connections, room // 2)
            room -= taken
            jobs = Jobs(setup, config.names("classes"), config.names("tenants"),
                        [c.deadline for c in config.settings.classes])
            fetchers = FaktoryWorkers(self.exchange, jobs, names.zones.get(setup.zone, 0),
                                      names.kinds.get(setup.kind, len(names.kinds)))
            self.faktory = FaktoryServer(self.exchange, jobs, fetchers, taken)
        self.acceptor = Acceptor(front.serve, room)
        self.flows: Exporter | None = None
        if self.operator.flows is not None:
            self.flows = Exporter(self.operator.flows, config.listen, setup.listen if setup else None,
                                  config.names("classes"))
            self.exchange.finished = self.flows.finished
        self.goes_on = GOES_ON
        self.serving = asyncio.Event()
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until all that is held has its answer."""
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, self.stop)
        _listen(self.acceptor, self.config.listen)
        if self.faktory is not None and self.operator.faktory is not None:
            _listen(self.faktory, self.operator.faktory.listen)
        self.pool.start()
        if self.flows is not None:
            self.flows.start()
        self.discovery.known(self.config.known)
        log.info("serving")
        self.serving.set()
        await self._ended.wait()
        await asyncio.sleep(0.05)  # the last answers are still being written
        self.acceptor.stop()
        if self.faktory is not None:
            self.faktory.stop()
            self.faktory.close_all()
        if self.flows is not None:
            self.flows.stop()
        self.discovery.stop()
        self.pool.stop()
        log.info("ended")

    def stop(self) -> None:
        loop = asyncio.get_running_loop()
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.remove_signal_handler(number)
                signal.signal(number, signal.SIG_IGN)
        log.info("stopping", held=self.exchange.held)
        loop.call_later(self.goes_on, self.drain)

    def finish(self) -> None:
        """End at once, whatever is held."""
        self._ended.set()

    def drain(self) -> None:
        """Take nothing more; end when all that is held has its answer."""
        self.acceptor.drain()
        self.exchange.on_empty = self._ended.set
        self.exchange.close()


def _listen(server: TCPServer, address: tuple[str, int]) -> None:
    host, port = address
    try:
        sockets = bind_sockets(port, host, backlog=512)
    except OSError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error}") from None
    server.add_sockets(sockets)
    log.info("listening", address=f"{host}:{sockets[0].getsockname()[1]}", server=type(server).__name__)
