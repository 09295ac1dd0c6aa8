"""The worker transport over Faktory. A worker's waiting FETCH commands are its free slots."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable
from dataclasses import dataclass, field

import structlog
from tornado.ioloop import IOLoop

from millethead.decide.interface import ListForm, Outcome, Report, WorkerState
from millethead.exchange.core import Exchange
from millethead.exchange.model import Attempt, Cancellable, Worker, WorkerListing
from millethead.frontends.faktory import resp
from millethead.frontends.faktory.jobs import Jobs
from millethead.net.connection import Closed, Connection, PeerTimeout, with_timeout

log = structlog.get_logger()
WRITE_TIMEOUT_S = 5.0
MAX_LANES = 8  # different sets of queues that one worker process may fetch from


@dataclass(slots=True, eq=False)
class WaitingFetch:
    """One FETCH that waits for a job.

    `reply` is set to the reply that the session sends; None if the job itself was already written as the reply.
    """

    conn: Connection
    reply: asyncio.Future[bytes | None]


@dataclass(slots=True, eq=False)
class Lane:
    """One worker of the decision module: a worker process and a set of job classes that it fetches."""

    name: str
    takes: frozenset[int]
    fetches: deque[WaitingFetch] = field(default_factory=deque)
    listed: bool = False


@dataclass(slots=True, eq=False)
class Process:
    """One worker process.

    `connections` counts its open connections. `quiet`: it finishes its jobs and takes no new ones. `running` are
    the jobs that it has fetched, by jid.
    """

    wid: str
    connections: int = 0
    quiet: bool = False
    lanes: dict[frozenset[int], Lane] = field(default_factory=dict)
    running: dict[str, Attempt] = field(default_factory=dict)


class FaktoryWorkers:
    """The transport to the workers that fetch jobs. It reports the ends of attempts to the exchange."""

    def __init__(self, exchange: Exchange, jobs: Jobs, zone: int, kind: int) -> None:
        self.exchange, self.jobs, self.zone, self.kind = exchange, jobs, zone, kind
        self._processes: dict[str, Process] = {}
        self._lanes: dict[str, tuple[Process, Lane]] = {}
        self._timers: dict[Attempt, Cancellable] = {}

    # ---- calls of the exchange -----------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        process, lane = self._lanes.get(attempt.worker.name, (None, None))
        if process is None or lane is None or process.quiet or attempt.order.id in process.running:
            self.exchange.ended(attempt, Outcome.FULL)
            return
        while lane.fetches:
            waiting = lane.fetches.popleft()
            if not waiting.reply.done() and waiting.conn.has_no_input():
                process.running[attempt.order.id] = attempt
                # when the reservation expires the attempt ends, although the worker may still run the job
                self._timers[attempt] = self.exchange.clock.later(
                    attempt.order.reserve, lambda: self._end(process, attempt, Outcome.TIMEOUT)
                )
                waiting.reply.set_result(None)  # the session stops waiting and sends nothing
                data = resp.bulk(self.jobs.fetched(attempt, self.exchange.clock.now()))
                # the write starts here, so that it precedes the session's next reply
                IOLoop.current().spawn_callback(
                    self._finish_write, process, attempt, waiting.conn, waiting.conn.start_write(data)
                )
                return
        self.exchange.ended(attempt, Outcome.FULL, report=self._report(lane))

    async def _finish_write(
        self, process: Process, attempt: Attempt, conn: Connection, written: Awaitable[None]
    ) -> None:
        try:
            await with_timeout(WRITE_TIMEOUT_S, written)
        except (Closed, PeerTimeout):
            conn.close()
            self._end(process, attempt, Outcome.CONNECT_FAILED)  # the worker did not receive the complete job
            return
        self.exchange.written(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Forgets an attempt. The protocol cannot cancel a fetched job, so a later ACK or FAIL is ignored."""
        found = self._lanes.get(attempt.worker.name)
        if found is not None:
            self._forget_attempt(found[0], attempt)

    def probe(self, worker: Worker) -> None:
        found = self._lanes.get(worker.name)
        if found is None:
            self.exchange.probed(worker, Outcome.CONNECT_FAILED)
        else:
            self.exchange.probed(worker, Outcome.OK, 0.0, self._report(found[1]))

    def _report(self, lane: Lane) -> Report:
        return Report(free_slots=float(sum(not w.reply.done() for w in lane.fetches)), exact=True)

    # ---- calls of the sessions -----------------------------------------------------------------------

    def joined(self, wid: str) -> Process:
        """Registers a connection of a worker process."""
        process = self._processes.setdefault(wid, Process(wid))
        process.connections += 1
        return process

    def left(self, process: Process) -> None:
        """Handles the end of a connection.

        Fetched jobs may still be running: their attempts end only with an ACK, a FAIL or a timeout.
        """
        process.connections -= 1
        if not process.connections:
            self._update_listing(process)
            self._remove_if_unused(process)

    def beat(self, process: Process, state: str) -> None:
        """Handles a BEAT. A worker in the state "quiet" or "terminate" gets no more jobs."""
        if state in ("quiet", "terminate") and not process.quiet:
            log.info("faktory_worker_drains", wid=process.wid, state=state)
            process.quiet = True
            for lane in process.lanes.values():
                for waiting in lane.fetches:
                    if not waiting.reply.done():
                        waiting.reply.set_result(resp.bulk(None))
                lane.fetches.clear()
            self._update_listing(process)

    def fetch(self, process: Process, conn: Connection, queues: list[str]) -> WaitingFetch | None:
        """Adds a waiting FETCH. Returns None if it cannot get a job; raises BadCommand."""
        takes = self.jobs.accepted_classes(queues)
        if process.quiet or not takes:
            return None
        lane = process.lanes.get(takes)
        if lane is None:
            if len(process.lanes) >= MAX_LANES:
                raise resp.BadCommand("too many different sets of queues")
            name = f"{process.wid}:{'+'.join(self.jobs.class_names[n] for n in sorted(takes))}"
            lane = process.lanes[takes] = Lane(name, takes)
            self._lanes[name] = (process, lane)
        waiting = WaitingFetch(conn, asyncio.get_running_loop().create_future())
        lane.fetches.append(waiting)
        if not lane.listed:
            self._update_listing(process)
        self._report_free_slots(lane)
        return waiting

    def fetch_ended(self, process: Process, waiting: WaitingFetch) -> None:
        """Removes a FETCH that ended without a job."""
        for lane in process.lanes.values():
            if waiting in lane.fetches:
                lane.fetches.remove(waiting)
                self._report_free_slots(lane)

    def ended(self, process: Process, jid: str, outcome: Outcome, result: bytes = b"") -> None:
        """Handles an ACK or FAIL. It is ignored if the attempt has ended before."""
        attempt = process.running.get(jid)
        if attempt is None:
            log.info("faktory_late_word", job=jid, wid=process.wid, outcome=outcome.name.lower())
        else:
            self._end(process, attempt, outcome, result)

    # ---- reports to the exchange ---------------------------------------------------------------------

    def _report_free_slots(self, lane: Lane) -> None:
        worker = self.exchange.worker(lane.name)
        if worker is not None:
            self.exchange.probed(worker, Outcome.OK, 0.0, self._report(lane))

    def _update_listing(self, process: Process) -> None:
        """Lists the lanes of a process as READY if it accepts jobs, and else as DRAINING."""
        ready = not process.quiet and process.connections > 0
        changed = [lane for lane in process.lanes.values() if lane.listed != ready]
        for lane in changed:
            lane.listed = ready
        self._list(changed, WorkerState.READY if ready else WorkerState.DRAINING)

    def _list(self, lanes: list[Lane], state: WorkerState) -> None:
        if lanes:
            self.exchange.listed(
                self,
                ListForm.DELTA,
                [WorkerListing(lane.name, None, self.zone, self.kind, -1, state, takes=lane.takes) for lane in lanes],
            )

    def _forget_attempt(self, process: Process, attempt: Attempt) -> None:
        timer = self._timers.pop(attempt, None)
        if timer is not None:
            timer.cancel()
        if process.running.get(attempt.order.id) is attempt:
            del process.running[attempt.order.id]
        self._remove_if_unused(process)

    def _end(self, process: Process, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        found = self._lanes.get(attempt.worker.name)
        self._forget_attempt(process, attempt)
        self.exchange.ended(attempt, outcome, result, self._report(found[1]) if found else None)

    def _remove_if_unused(self, process: Process) -> None:
        """Removes a process without connections and running jobs."""
        if process.connections or process.running or self._processes.get(process.wid) is not process:
            return
        del self._processes[process.wid]
        for lane in process.lanes.values():
            self._lanes.pop(lane.name, None)
        self._list(list(process.lanes.values()), WorkerState.GONE)
