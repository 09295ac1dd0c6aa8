"""Head-side state of the agents: sessions, worker instances, leases and the desired runs of each instance."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace

from millethead.control.commit import Committed, CommittedLink
from millethead.control.failure_detector import FailureDetector
from millethead.execution.messages import AgentHello, DesiredRuns, LeaseGrant, RunKey, RunOrder, WorkerInfo
from millethead.jobs.commands import TaskRun, parse_task_name
from millethead.jobs.state import JobTable, Task
from millethead.scheduling.model import WorkerState
from millethead.scheduling.polling import LONG_RUNNING_POLL_INTERVAL_S, run_poll_interval_s

LEASE_S = 12.0  # an agent without contact to the head keeps its runs for this long
MAX_CLOCK_DRIFT = 0.03  # largest relative difference between the rates of two monotonic clocks
SUSPICION_TIMEOUT_S = 1.5  # an agent repeats its suspicion of an unresponsive worker more often than this
LEASE_MARGIN_S = 0.4  # a worker may end its runs this long after the lease under which it held them


@dataclass(frozen=True, slots=True)
class WorkerOrders:
    """Runs to start on one worker instance."""

    node: str
    instance: str
    orders: tuple[RunOrder, ...]


@dataclass(frozen=True, slots=True)
class RunStop:
    """A run to stop, with the node and the worker instance to which it was assigned."""

    run: TaskRun
    node: str
    instance: str


@dataclass(slots=True)
class AgentSession:
    """Session of one agent; lasts as long as its connection.

    `leased` is true once a lease has been granted in this session. `instance` and `info` describe the worker of the
    node, if there is one.
    """

    hello: AgentHello
    link: CommittedLink
    instance: str = ""
    info: WorkerInfo | None = None
    leased: bool = False

    @property
    def node(self) -> str:
        """Name of the agent's node."""
        return self.hello.node


class AgentRegistry:
    """Registry of the connected agents and their workers. `drained` holds the nodes drained by an operator."""

    def __init__(self, jobs: JobTable, now: float, drained: Container[str] = ()) -> None:
        self._jobs, self._drained = jobs, drained
        self.sessions: dict[str, AgentSession] = {}
        self.workers: dict[str, WorkerState] = {}
        self._started_at = now  # an earlier head may have granted leases until this time
        self._lease_ends: dict[str, float] = {}
        self.stopping: set[TaskRun] = set()  # the stop order has been sent or waits for its commit
        self._suspected: dict[str, float] = {}  # instance -> time of the last suspicion
        self.failure_detector = FailureDetector(now)

    # ---- sessions and worker instances -------------------------------------------------------------------

    def add_session(self, session: AgentSession) -> None:
        """Register the session of an agent and close an earlier connection of the same node."""
        earlier = self.sessions.get(session.node)
        if earlier is not None and earlier.link != session.link:
            earlier.link.close()
        self.sessions[session.node] = session

    def remove_session(self, session: AgentSession) -> None:
        """Remove the session of an agent, unless a later connection has replaced it."""
        if self.sessions.get(session.node) is session:
            del self.sessions[session.node]

    def end_session(self, node: str) -> None:
        """Close the session of a node, so that its agent has to reconnect.

        Orders that were sent in the session become void, and no lease is granted in it any more.
        """
        session = self.sessions.pop(node, None)
        if session is not None:
            session.link.close()

    def update_worker(self, session: AgentSession, info: WorkerInfo) -> WorkerState:
        """Record a worker's description of itself and return the resulting state for the scheduler."""
        session.instance, session.info = info.instance, info
        rack = next((label for label in info.labels if "-" in label), "")
        state = WorkerState(
            info.instance,
            session.node,
            info.service,
            info.capacity,
            info.capacity,
            frozenset(info.labels),
            rack,
            info.draining or session.node in self._drained,
            info.remaining_ms / 1000 if info.remaining_ms >= 0 else None,
            self._is_reachable(session, info.instance),
        )
        return self._store_worker(state)

    def instances_of(self, node: str) -> list[str]:
        """Return the instances that are known as the worker of a node, or that have open runs there."""
        known = {worker.instance for worker in self.workers.values() if worker.node == node}
        running = {task.instance for _, task in self._jobs.open_runs() if task.node == node}
        return sorted(known | running)

    def _is_reachable(self, session: AgentSession, instance: str) -> bool:
        """Return whether tasks may be assigned to a worker."""
        responsive = not self.failure_detector.is_unresponsive(session.node)
        return session.leased and responsive and instance not in self._suspected

    def mark_suspected(self, instance: str, now: float) -> WorkerState | None:
        """Mark a worker that does not answer its agent as suspected; return its new state if it was reachable."""
        self._suspected[instance] = now
        return self.mark_unreachable(instance)

    def mark_unreachable(self, instance: str) -> WorkerState | None:
        """Mark a worker as unreachable, so that it gets no new tasks; return its new state if it was reachable."""
        worker = self.workers.get(instance)
        if worker is None or not worker.reachable:
            return None
        return self._store_worker(replace(worker, reachable=False))

    def _store_worker(self, worker: WorkerState) -> WorkerState:
        """Store the new state of a worker. The scheduler keeps the previous state object, which stays unmodified."""
        self.workers[worker.instance] = worker
        return worker

    def recovered_workers(self, now: float) -> list[WorkerState]:
        """Return the workers that are reachable again, because their agents stopped repeating their suspicion."""
        recovered = []
        for instance in [instance for instance, at in self._suspected.items() if now - at > SUSPICION_TIMEOUT_S]:
            del self._suspected[instance]
            worker = self.workers.get(instance)
            session = self.sessions.get(worker.node) if worker is not None else None
            if worker is None or worker.reachable or session is None:
                continue
            if self._is_reachable(session, instance):
                recovered.append(self._store_worker(replace(worker, reachable=True)))
        return recovered

    def remove_worker(self, instance: str) -> None:
        """Remove a worker instance that has ended."""
        self._suspected.pop(instance, None)
        self.workers.pop(instance, None)
        for session in self.sessions.values():
            if session.instance == instance:
                session.instance, session.info = "", None

    # ---- leases ------------------------------------------------------------------------------------------

    def grant_lease(self, session: AgentSession, grant: Committed[LeaseGrant], now: float) -> WorkerState | None:
        """Renew the lease of an agent, provided that its session is still current.

        `now` must be a time at which this member was confirmed as the head. Return the state of the worker if the grant
        made it reachable.
        """
        if self.sessions.get(session.node) is not session:
            return None
        self._lease_ends[session.node] = now + LEASE_S * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
        session.link.send(grant)
        if session.leased:
            return None
        session.leased = True
        return self.update_worker(session, session.info) if session.info is not None else None

    def lease_expired(self, node: str, now: float) -> bool:
        """Return whether every lease that a node may have held has expired, so that none of its runs is active."""
        earlier_leases_end = self._started_at + LEASE_S * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
        return now > max(earlier_leases_end, self._lease_ends.get(node, 0.0))

    # ---- desired runs ------------------------------------------------------------------------------------

    def run_order(self, run: TaskRun, task: Task) -> RunOrder | None:
        """Return the order for an open run, or None if its job is unknown."""
        job = self._jobs.find(run.job)
        if job is None:
            return None
        step = job.description.steps[run.step]
        saved = job.at_time(run.time).steps[run.step].saved if step.gang else task.saved
        gap_s = (
            LONG_RUNNING_POLL_INTERVAL_S
            if step.long_running
            else run_poll_interval_s(job.slack_ms / 1000, job.description.chain_length())
        )
        return RunOrder(RunKey(run.task_name, run.run), job.description.spec, saved, step.needs, int(gap_s * 1000))

    def complete_runs(self, instance: str) -> DesiredRuns:
        """Return the complete list of desired runs of a worker instance.

        It also lists runs that must stop and have not ended yet: a restarted agent process has no record of either.
        """
        orders, stops = [], []
        for run, task in self._jobs.open_runs():
            if task.instance != instance:
                continue
            order = None if run in self.stopping else self.run_order(run, task)
            job = self._jobs.find(run.job)
            if order is None or job is None or (job.phase.is_final and not task.done):
                stops.append(RunKey(run.task_name, run.run))
            else:
                orders.append(order)
        return DesiredRuns(instance, True, tuple(orders), tuple(stops))

    def send_complete_runs(self, session: AgentSession, whole: Committed[DesiredRuns]) -> None:
        """Send the complete list of desired runs of a worker instance to its agent, if the session is still current."""
        if self.sessions.get(session.node) is session:
            session.link.send(whole)

    def send_orders(self, orders: Committed[WorkerOrders]) -> bool:
        """Send orders to start runs; return whether anything was sent.

        Runs that are being stopped by now, or whose job has ended, are left out.
        """
        session = self.sessions.get(orders.value.node)
        desired = orders.derive(lambda value: DesiredRuns(value.instance, False, self._still_desired(value.orders), ()))
        if session is None or not desired.value.orders:
            return False
        session.link.send(desired)
        return True

    def _still_desired(self, orders: tuple[RunOrder, ...]) -> tuple[RunOrder, ...]:
        return tuple(order for order in orders if self._is_desired(parse_task_name(order.key.task, order.key.run)))

    def _is_desired(self, run: TaskRun | None) -> bool:
        job = self._jobs.find(run.job) if run is not None else None
        if run is None or job is None or job.phase.is_final or run in self.stopping:
            return False
        task = self._jobs.task(run)
        return task is not None and task.open and task.run == run.run

    def send_stop(self, stop: Committed[RunStop]) -> None:
        """Send the order to stop an open run. The agent reports the end of the run later."""
        session = self.sessions.get(stop.value.node)
        if session is not None:
            session.link.send(stop.derive(_stop_message))

    def run_closed(self, run: TaskRun) -> None:
        """Forget the pending stop of a run that has ended."""
        self.stopping.discard(run)


def _stop_message(stop: RunStop) -> DesiredRuns:
    return DesiredRuns(stop.instance, False, (), (RunKey(stop.run.task_name, stop.run.run),))
