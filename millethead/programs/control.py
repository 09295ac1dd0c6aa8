"""The control program: one process of the core.

With a disk it is a member of the core, without one it only relays. It also serves the operator's HTTP interface.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import sys
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from random import Random

import structlog

from millethead.configuration.settings import InvalidSettings, ProcessSettings, load_settings
from millethead.control.admission import MB, max_job_bytes
from millethead.control.client import HeadClient
from millethead.control.head import Head
from millethead.control.state import ControlState
from millethead.programs.addresses import internal_address, seed_addresses, split_address
from millethead.programs.chain_links import ChainLinks
from millethead.programs.control_metrics import head_metrics, member_metrics
from millethead.programs.core_disk import DISK_RETRY_INTERVAL_S, CoreDisk, DiskUnusable, open_disk, wait_for_disk
from millethead.programs.core_sessions import CoreSessions
from millethead.programs.disk_maintenance import DiskMaintenance
from millethead.programs.loop_ports import DatagramSocket, LoopClock
from millethead.programs.operator_api import operator_app
from millethead.programs.signals import install_signal_handlers
from millethead.replication.log import ReplicatedLog
from millethead.replication.proposal import ViewProposal
from millethead.replication.replica import Replica, ReplicaSettings
from millethead.replication.view import Member, View
from millethead.rollout.register import AcceptorState
from millethead.rpc.codec import CodecError, Record, decode_any, encode_any
from millethead.rpc.connection import Connection, InputBudget
from millethead.rpc.loop_budget import IterationBudget
from millethead.storage.log import Entry, Recovered, Snapshot
from millethead.storage.sync_times import MIN_LOOP_DELAY_S
from millethead.web.metrics import MetricFamily
from millethead.web.server import HttpLimits, HttpServer

log = structlog.get_logger()

HANDOVER_SHARE = 0.5  # fraction of grace_s for the handover on SIGTERM
OPERATOR_BODY_BYTES = 8 << 20
MIN_TICK_INTERVAL_S = 0.005
LOOP_DELAY_LOG_THRESHOLD_S = 0.2  # delays of the event loop above this are logged
INPUT_BUFFER_SHARE = 0.125  # fraction of the memory for incomplete frames of all connections


class ControlProgram:
    """One process of the core. `run` returns after a signal has stopped it."""

    def __init__(self, settings: ProcessSettings) -> None:
        if settings.listen.control is None:
            raise ValueError("a control program needs `listen.control`")
        self._settings, self._control_address = settings, settings.listen.control
        self._address = internal_address(settings)
        self._loop = asyncio.get_running_loop()
        self._clock = LoopClock(self._on_unexpected_error)
        self._random = Random(secrets.randbits(64))
        self._disk: CoreDisk | None = None
        if settings.data_dir is not None:
            self._disk = wait_for_disk(Path(settings.data_dir), settings.bootstrap)
        self._reopen_task: asyncio.Task[None] | None = None
        self._state = ControlState()
        self._replica = self._make_replica()
        self._head: Head | None = None
        self._head_tick = 0.0
        self._tick_due = self._loop.time()
        self._maintenance: DiskMaintenance | None = None
        self._links = ChainLinks(lambda: self._replica)
        self._sessions = CoreSessions(lambda: self._replica, self._links)
        self._input_budget = InputBudget(int(INPUT_BUFFER_SHARE * settings.limits.memory_mb * MB))
        self._head_client = HeadClient(settings.node, self._head_client_seeds, self._random)
        self._http = HttpServer(
            operator_app(self._head_client, self._metrics), HttpLimits(max_body_bytes=OPERATOR_BODY_BYTES)
        )
        self._iteration_budget = IterationBudget(self._loop.time, self._clock.soon)
        self._datagrams: DatagramSocket | None = None
        self._server: asyncio.Server | None = None
        self._stopped = asyncio.Event()

    def _make_replica(self) -> Replica:
        settings, disk = self._settings, self._disk
        tolerated = settings.tolerate.machines
        recovered = disk.recovered if disk is not None else Recovered(None, ())
        acceptor_state = disk.acceptor_state if disk is not None else AcceptorState()
        member = Member(self._address, disk.identity.disk_id if disk is not None else 0)
        bootstrapping = disk is not None and disk.identity.bootstrapping
        return Replica(
            member,
            secrets.randbits(63),
            ReplicaSettings(min_chain_length=tolerated + 1),
            self,
            self,
            self._save,
            ReplicatedLog(self._state, recovered),
            acceptor_state,
            seed_addresses(settings),
            bootstrapping,
            self._loop.time(),
            self._random,
        )

    def _metrics(self) -> Iterator[MetricFamily]:
        scrubber = self._maintenance.scrubber if self._maintenance is not None else None
        yield from member_metrics(self._replica, self._disk, scrubber)
        yield from head_metrics(self._head)

    def _head_client_seeds(self) -> tuple[str, ...]:
        return (self._address, *(seed for seed in seed_addresses(self._settings) if seed != self._address))

    # ---- lifecycle ---------------------------------------------------------------------------------------

    async def run(self) -> None:
        install_signal_handlers(self._stopped.set, self._reload)
        if self._disk is not None:
            self._start_disk(self._disk)
        host, port = split_address(self._address)
        sessions = self._sessions
        # listen before the first heartbeat: a refused connection then means that the process has ended
        self._server = await self._loop.create_server(
            lambda: Connection(
                sessions.received, sessions.closed, sessions.opened, self._input_budget, self._iteration_budget
            ),
            host,
            port,
            backlog=512,
        )
        self._datagrams = DatagramSocket(host, port, self._datagram)
        await self._http.listen(*split_address(self._control_address))
        self._head_client.start()
        log.info("control_started", node=self._settings.node, disk=self._disk is not None)
        self._tick()
        await self._stopped.wait()
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Hand over the duties of this member, answer pending requests, and stop."""
        self._replica.leave(self._loop.time())
        deadline = self._loop.time() + HANDOVER_SHARE * self._settings.bounds.grace_s
        while not self._replica.handed_over and self._loop.time() < deadline:
            await asyncio.sleep(0.02)
        if self._replica.handed_over:
            log.info("handed_over", epoch=self._replica.view.epoch)
        else:
            log.warning("not_handed_over", epoch=self._replica.view.epoch, role=self._replica.chain.role.value)
        await self._http.drain(min(2.0, self._settings.bounds.grace_s / 4))
        self._head_client.close()
        if self._server is not None:
            self._server.close()
        if self._disk is not None:
            self._disk.close(0.5)
        log.info("control_stopped", node=self._settings.node)

    def _reload(self) -> None:
        try:
            self._settings = load_settings()
        except InvalidSettings as error:
            log.warning("settings_not_read", why=str(error))

    def _on_unexpected_error(self, error: Exception) -> None:
        """End the process at once after an unexpected exception, because the state may be partly changed.

        As after a power failure, another member takes over and the next process recovers from the disk.
        """
        log.critical("unexpected_error", node=self._settings.node, exc_info=error)
        sys.stdout.flush()
        os._exit(os.EX_SOFTWARE)

    def _tick(self) -> None:
        self._clock.run_guarded(self._run_tick)

    def _run_tick(self) -> None:
        now = self._loop.time()
        self._check_loop_delay(now)
        self._replica.tick(now)
        if self._head is not None and now >= self._head_tick:
            self._head_tick = self._head.tick()
        self._maintain_disk()
        self._tick_due = max(now + MIN_TICK_INTERVAL_S, self._replica.next_tick())
        self._loop.call_at(self._tick_due, self._tick)

    def _check_loop_delay(self, now: float) -> None:
        """Detect a delayed event loop, so that the delay does not count as disk latency."""
        late_s = now - self._tick_due
        if late_s < MIN_LOOP_DELAY_S:
            return
        if self._disk is not None:
            self._disk.record_loop_delay(self._tick_due)
        if late_s > LOOP_DELAY_LOG_THRESHOLD_S:
            log.warning("loop_held_up", ms=int(late_s * 1000), head=self._head is not None)

    # ---- the disk ----------------------------------------------------------------------------------------

    def _start_disk(self, disk: CoreDisk) -> None:
        disk.start(self._post, self._loop.time)
        self._maintenance = DiskMaintenance(disk, self._replica.chain, self._loop.time)

    def _maintain_disk(self) -> None:
        """Run disk maintenance, or start to reopen a disk that failed a write.

        After the disk is reopened, this member continues like a newly started process.
        """
        if self._disk is None or self._maintenance is None:
            return
        if not self._disk.broken:
            self._maintenance.tick()
        elif self._reopen_task is None:
            self._reopen_task = self._loop.create_task(self._reopen_disk())

    async def _reopen_disk(self) -> None:
        folder = Path(self._settings.data_dir or "")
        while True:
            await asyncio.sleep(DISK_RETRY_INTERVAL_S)
            try:
                disk = await asyncio.to_thread(open_disk, folder)
                break
            except DiskUnusable as error:
                log.warning("disk_unusable", why=str(error))
        self.deposed()
        self._links.close_all()
        self._disk = disk
        self._state = ControlState()
        self._replica = self._make_replica()
        self._start_disk(disk)
        self._reopen_task = None
        log.info("disk_revived", entry=self._replica.chain.log.last[1])

    def _post(self, call: Callable[[], None]) -> None:
        self._loop.call_soon_threadsafe(call)

    # ---- callbacks of the replica ------------------------------------------------------------------------

    def datagram(self, address: str, record: Record) -> None:
        if self._datagrams is not None:
            self._datagrams.send(encode_any(record), *split_address(address))

    def append(self, entries: Sequence[Entry], durable: Callable[[], None]) -> None:
        assert self._disk is not None
        self._disk.append(entries, durable)

    def truncate(self, sequence: int) -> None:
        assert self._disk is not None
        self._disk.truncate(sequence)

    def install(self, snapshot: Snapshot, durable: Callable[[], None]) -> None:
        assert self._disk is not None
        self._disk.install(snapshot, durable)

    def soon(self, call: Callable[[], None]) -> None:
        self._clock.soon(call)

    def _save(self, acceptor_state: AcceptorState, done: Callable[[], None]) -> None:
        if self._disk is not None:
            self._disk.save(acceptor_state, done)

    def disk_ms(self) -> int:
        return self._disk.latency_ms() if self._disk is not None else 0

    def open_link(self, address: str) -> None:
        self._links.open()

    def committed(self, sequence: int) -> None:
        self._replica.chain_committed(sequence)
        if self._head is not None:
            self._head.gate.committed(sequence)

    def barrier_passed(self, number: int) -> None:
        if self._head is not None:
            self._head.gate.barrier_passed(number)

    def reconciled(self) -> None:
        log.info("replica_reconciled", epoch=self._replica.view.epoch, entry=self._replica.chain.log.last[1])

    def proposing(self, proposal: ViewProposal) -> None:
        log.info(
            "view_proposed",
            epoch=proposal.view.epoch,
            cause=proposal.cause.value,
            chain=",".join(place.member.address for place in proposal.view.chain),
            departed=",".join(str(departed) for departed in proposal.departed),
            disk_ms=proposal.disk_ms,
        )

    def view_changed(self, view: View) -> None:
        log.info(
            "view",
            epoch=view.epoch,
            chain=",".join(place.member.address for place in view.chain),
            voters=len(view.voters),
            role=self._replica.chain.role.value,
        )
        if self._disk is not None:
            self._disk.bootstrap_done()
        self._sessions.view_changed(view)

    def serving(self, epoch: int) -> None:
        log.info("head_serving", epoch=epoch)
        self._head = Head(
            self._replica.view,
            self._state,
            self._replica.chain,
            self._clock,
            self._random,
            self._settings.bounds.status_s,
            self._settings.bounds.far_x,
            max_job_bytes(self._settings.limits.memory_mb, self._settings.limits.disk_mb),
        )
        self._head_tick = 0.0
        self._sessions.start_serving(self._head)

    def continue_in_view(self, view: View) -> None:
        assert self._head is not None
        log.info("head_leads_on", epoch=view.epoch)
        self._head.continue_in_view(view)

    def deposed(self) -> None:
        head, self._head = self._head, None
        if head is None:
            return
        log.info("head_deposed", epoch=head.view.epoch)
        self._sessions.stop_serving()
        head.close()

    # ---- datagrams and connections -----------------------------------------------------------------------

    def _datagram(self, data: bytes, sender: str) -> None:
        try:
            record = decode_any(data)
        except CodecError:
            return
        self._replica.receive(self._loop.time(), record, sender)
