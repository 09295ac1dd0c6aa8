"""Server side over Faktory: workers by wid, whose waiting FETCHes are the free slots that the module sees."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable
from dataclasses import dataclass, field

import structlog
from tornado.ioloop import IOLoop

from millethead.decide.interface import ListForm, Outcome, Report, WorkerState
from millethead.exchange.core import Exchange
from millethead.exchange.model import Attempt, Cancellable, Listed, Worker
from millethead.fronts.faktory import resp
from millethead.fronts.faktory.jobs import Jobs
from millethead.net.connection import Closed, Connection, Late, within

log = structlog.get_logger()
WRITE_TIME = 5.0  # s
LANES = 8  # sets of queues that one worker may fetch from


@dataclass(slots=True, eq=False)
class Waiting:
    """One FETCH that waits for a job."""

    conn: Connection
    job: asyncio.Future[bytes | None]


@dataclass(slots=True, eq=False)
class Lane:
    """A worker as the module sees it: one wid and the classes that it fetches."""

    name: str
    takes: frozenset[int]
    fetches: deque[Waiting] = field(default_factory=deque)
    listed: bool = False


@dataclass(slots=True, eq=False)
class Process:
    """One worker process: its wid, its connections, and whether it wants nothing new."""

    wid: str
    connections: int = 0
    quiet: bool = False
    lanes: dict[frozenset[int], Lane] = field(default_factory=dict)
    running: dict[str, Attempt] = field(default_factory=dict)


class FaktoryWorkers:
    """Reaches the workers that fetch. It tells the exchange how attempts end, and decides nothing."""

    def __init__(self, exchange: Exchange, jobs: Jobs, zone: int, kind: int) -> None:
        self.exchange, self.jobs, self.zone, self.kind = exchange, jobs, zone, kind
        self._processes: dict[str, Process] = {}
        self._lanes: dict[str, tuple[Process, Lane]] = {}
        self._timers: dict[Attempt, Cancellable] = {}

    # ---- what the exchange asks ----------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        process, lane = self._lanes.get(attempt.worker.name, (None, None))
        if process is None or lane is None or process.quiet or attempt.order.id in process.running:
            self.exchange.ended(attempt, Outcome.FULL)
            return
        while lane.fetches:
            waiting = lane.fetches.popleft()
            if not waiting.job.done() and waiting.conn.quiet():
                process.running[attempt.order.id] = attempt
                # past the reservation a worker has no right to the job any more; it may still run there
                self._timers[attempt] = self.exchange.clock.later(
                    attempt.order.reserve, lambda: self._end(process, attempt, Outcome.TIMEOUT)
                )
                waiting.job.set_result(None)  # the session stops waiting: the job is its answer
                data = resp.bulk(self.jobs.fetched(attempt, self.exchange.clock.now()))
                # written here and now: what the session answers next must come after the job
                IOLoop.current().spawn_callback(
                    self._hand_over, process, attempt, waiting.conn, waiting.conn.begin(data)
                )
                return
        self.exchange.ended(attempt, Outcome.FULL, report=self._report(lane))

    async def _hand_over(self, process: Process, attempt: Attempt, conn: Connection, written: Awaitable[None]) -> None:
        try:
            await within(WRITE_TIME, written)
        except (Closed, Late):
            conn.close()
            self._end(process, attempt, Outcome.CONNECT_FAILED)  # the worker never had the whole job
            return
        self.exchange.written(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """The protocol cannot withdraw a job that was fetched: its late ACK or FAIL finds nothing."""
        found = self._lanes.get(attempt.worker.name)
        if found is not None:
            self._done(found[0], attempt)

    def probe(self, worker: Worker) -> None:
        found = self._lanes.get(worker.name)
        if found is None:
            self.exchange.probed(worker, Outcome.CONNECT_FAILED)
        else:
            self.exchange.probed(worker, Outcome.OK, 0.0, self._report(found[1]))

    def _report(self, lane: Lane) -> Report:
        return Report(free_slots=float(sum(not w.job.done() for w in lane.fetches)), exact=True)

    # ---- what sessions say ---------------------------------------------------------------------------

    def joined(self, wid: str) -> Process:
        process = self._processes.setdefault(wid, Process(wid))
        process.connections += 1
        return process

    def left(self, process: Process) -> None:
        """A connection ended. What the worker fetched may still run: only its own word or time ends that."""
        process.connections -= 1
        if not process.connections:
            self._show(process)
            self._tidy(process)

    def beat(self, process: Process, state: str) -> None:
        if state in ("quiet", "terminate") and not process.quiet:
            log.info("faktory_worker_drains", wid=process.wid, state=state)
            process.quiet = True
            for lane in process.lanes.values():
                for waiting in lane.fetches:
                    if not waiting.job.done():
                        waiting.job.set_result(resp.bulk(None))
                lane.fetches.clear()
            self._show(process)

    def fetch(self, process: Process, conn: Connection, queues: list[str]) -> Waiting | None:
        """A FETCH begins to wait; None if nothing can come of it."""
        takes = self.jobs.taken(queues)
        if process.quiet or not takes:
            return None
        lane = process.lanes.get(takes)
        if lane is None:
            if len(process.lanes) >= LANES:
                raise resp.BadCommand("too many different sets of queues")
            name = f"{process.wid}:{'+'.join(self.jobs.class_names[n] for n in sorted(takes))}"
            lane = process.lanes[takes] = Lane(name, takes)
            self._lanes[name] = (process, lane)
        waiting = Waiting(conn, asyncio.get_running_loop().create_future())
        lane.fetches.append(waiting)
        if not lane.listed:
            self._show(process)
        self._tell(lane)
        return waiting

    def fetch_over(self, process: Process, waiting: Waiting) -> None:
        """A FETCH waits no more, without a job."""
        for lane in process.lanes.values():
            if waiting in lane.fetches:
                lane.fetches.remove(waiting)
                self._tell(lane)

    def ended(self, process: Process, jid: str, outcome: Outcome, result: bytes = b"") -> None:
        """An ACK or FAIL; one of an attempt that has ended changes nothing."""
        attempt = process.running.get(jid)
        if attempt is None:
            log.info("faktory_late_word", job=jid, wid=process.wid, outcome=outcome.name.lower())
        else:
            self._end(process, attempt, outcome, result)

    # ---- what the exchange hears ---------------------------------------------------------------------

    def _tell(self, lane: Lane) -> None:
        worker = self.exchange.worker(lane.name)
        if worker is not None:
            self.exchange.probed(worker, Outcome.OK, 0.0, self._report(lane))

    def _show(self, process: Process) -> None:
        """Put the process on the module's list, or take it off for new work."""
        wanted = not process.quiet and process.connections > 0
        changed = [lane for lane in process.lanes.values() if lane.listed != wanted]
        for lane in changed:
            lane.listed = wanted
        self._list(changed, WorkerState.READY if wanted else WorkerState.DRAINING)

    def _list(self, lanes: list[Lane], state: WorkerState) -> None:
        if lanes:
            self.exchange.listed(
                self,
                ListForm.DELTA,
                [Listed(lane.name, None, self.zone, self.kind, -1, state, takes=lane.takes) for lane in lanes],
            )

    def _done(self, process: Process, attempt: Attempt) -> None:
        timer = self._timers.pop(attempt, None)
        if timer is not None:
            timer.cancel()
        if process.running.get(attempt.order.id) is attempt:
            del process.running[attempt.order.id]
        self._tidy(process)

    def _end(self, process: Process, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        found = self._lanes.get(attempt.worker.name)
        self._done(process, attempt)
        self.exchange.ended(attempt, outcome, result, self._report(found[1]) if found else None)

    def _tidy(self, process: Process) -> None:
        """Forget a process that has no connections and runs nothing."""
        if process.connections or process.running or self._processes.get(process.wid) is not process:
            return
        del self._processes[process.wid]
        for lane in process.lanes.values():
            self._lanes.pop(lane.name, None)
        self._list(list(process.lanes.values()), WorkerState.GONE)
