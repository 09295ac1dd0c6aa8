"""The head's side of the agents: sessions, lives of workers, leases, and the runs wanted in each life."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace

from millethead.control.commit import Committed, CommittedLink
from millethead.control.silence import Silences
from millethead.execution.messages import AgentHello, DesiredRuns, LeaseGrant, RunKey, RunOrder, WorkerInfo
from millethead.jobs.commands import TaskRun, parse_task_name
from millethead.jobs.state import JobTable, Task
from millethead.scheduling.looks import LASTING_GAP_S, run_gap
from millethead.scheduling.model import WorkerState

LEASE_S = 12.0  # an agent that the head cannot reach goes on holding its runs for so long
DRIFT = 0.03  # steady clocks differ by less than this part
SUSPICION_S = 1.5  # an agent repeats its suspicion of a silent worker more often than that
LEASE_SLACK_S = 0.4  # a worker's hold may end so much after the lease that it was held under


@dataclass(frozen=True, slots=True)
class WorkerOrders:
    """Runs that are to begin at a worker's life."""

    node: str
    instance: str
    orders: tuple[RunOrder, ...]


@dataclass(frozen=True, slots=True)
class RunStop:
    """A run that is to be stopped, and where it was given to."""

    run: TaskRun
    node: str
    instance: str


@dataclass(slots=True)
class AgentSession:
    """One agent, as long as its connection lasts. `leased`: it holds a lease that was granted in this session."""

    hello: AgentHello
    link: CommittedLink
    instance: str = ""
    info: WorkerInfo | None = None
    leased: bool = False

    @property
    def node(self) -> str:
        return self.hello.node


class Agents:
    """All agents that the head knows of. `drained`: nodes that the staff have taken out."""

    def __init__(self, jobs: JobTable, now: float, drained: Container[str] = ()) -> None:
        self._jobs, self._drained = jobs, drained
        self.sessions: dict[str, AgentSession] = {}
        self.workers: dict[str, WorkerState] = {}
        # an earlier head may have granted leases until now
        self._began = now
        self._lease_ends: dict[str, float] = {}
        self.stopping: set[TaskRun] = set()  # to be stopped: told to the agent, or told once that is committed
        self._suspected: dict[str, float] = {}
        self.silences = Silences(now)

    # ---- sessions and lives ------------------------------------------------------------------------------

    def connected(self, session: AgentSession) -> None:
        """An agent has come, in the place of an earlier connection of its."""
        earlier = self.sessions.get(session.node)
        if earlier is not None and earlier.link != session.link:
            earlier.link.close()
        self.sessions[session.node] = session

    def disconnected(self, session: AgentSession) -> None:
        if self.sessions.get(session.node) is session:
            del self.sessions[session.node]

    def end_session(self, node: str) -> None:
        """Have an agent come again: what it was told in this session is void, and no lease is granted in it."""
        session = self.sessions.pop(node, None)
        if session is not None:
            session.link.close()

    def worker_state(self, session: AgentSession, info: WorkerInfo) -> WorkerState:
        """Take what a worker said of itself; returns it as the scheduler wants it."""
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
        return self._keep(state)

    def _is_reachable(self, session: AgentSession, instance: str) -> bool:
        """Whether tasks may be given to a worker."""
        heard = not self.silences.is_silent(session.node)
        return session.leased and heard and instance not in self._suspected

    def suspect(self, instance: str, now: float) -> WorkerState | None:
        """A worker does not answer its agent; returns its state if it was taken to answer until now."""
        self._suspected[instance] = now
        return self.unreachable(instance)

    def unreachable(self, instance: str) -> WorkerState | None:
        """Nothing new may be given to a worker; returns its state if that was not so until now."""
        worker = self.workers.get(instance)
        if worker is None or not worker.reachable:
            return None
        return self._keep(replace(worker, reachable=False))

    def _keep(self, worker: WorkerState) -> WorkerState:
        """Keep a worker's new state. The scheduler holds the one before, which stays as it is."""
        self.workers[worker.instance] = worker
        return worker

    def answering_again(self, now: float) -> list[WorkerState]:
        """Workers of which no suspicion has come for a while."""
        found = []
        for instance in [instance for instance, at in self._suspected.items() if now - at > SUSPICION_S]:
            del self._suspected[instance]
            worker = self.workers.get(instance)
            session = self.sessions.get(worker.node) if worker is not None else None
            if worker is None or worker.reachable or session is None:
                continue
            if self._is_reachable(session, instance):
                found.append(self._keep(replace(worker, reachable=True)))
        return found

    def forget(self, instance: str) -> None:
        """A life is over."""
        self._suspected.pop(instance, None)
        self.workers.pop(instance, None)
        for session in self.sessions.values():
            if session.instance == instance:
                session.instance, session.info = "", None

    # ---- leases ------------------------------------------------------------------------------------------

    def grant(self, session: AgentSession, grant: Committed[LeaseGrant], now: float) -> WorkerState | None:
        """Renew a lease, in a session that has not ended; `now` is a moment at which this member was certainly the
        head. Returns the worker's state if tasks may be given to it from now on."""
        if self.sessions.get(session.node) is not session:
            return None
        self._lease_ends[session.node] = now + LEASE_S * (1 + DRIFT) + LEASE_SLACK_S
        session.link.send(grant)
        if session.leased:
            return None
        session.leased = True
        return self.worker_state(session, session.info) if session.info is not None else None

    def lapsed(self, node: str, now: float) -> bool:
        """Whether everything that ran at a node under any lease is over."""
        first = self._began + LEASE_S * (1 + DRIFT) + LEASE_SLACK_S
        return now > max(first, self._lease_ends.get(node, 0.0))

    # ---- wanted runs -------------------------------------------------------------------------------------

    def order(self, run: TaskRun, task: Task) -> RunOrder | None:
        """The order that stands for an open run."""
        job = self._jobs.find(run.job)
        if job is None:
            return None
        step = job.description.steps[run.step]
        saved = job.at_time(run.time).steps[run.step].saved if step.gang else task.saved
        gap_s = LASTING_GAP_S if step.long_running else run_gap(job.slack_ms / 1000, job.description.chain_length())
        return RunOrder(RunKey(run.task_name, run.run), job.description.spec, saved, step.needs, int(gap_s * 1000))

    def whole(self, instance: str) -> DesiredRuns:
        """All that is wanted in a life, and what was to be stopped and has not ended: a process of the agent that has
        just begun knows of neither."""
        orders, stops = [], []
        for run, task in self._jobs.open_runs():
            if task.instance != instance:
                continue
            order = None if run in self.stopping else self.order(run, task)
            job = self._jobs.find(run.job)
            if order is None or job is None or (job.phase.is_final and not task.done):
                stops.append(RunKey(run.task_name, run.run))
            else:
                orders.append(order)
        return DesiredRuns(instance, True, tuple(orders), tuple(stops))

    def send_whole(self, session: AgentSession, whole: Committed[DesiredRuns]) -> None:
        """Tell an agent all that is wanted in a life, unless its session is over."""
        if self.sessions.get(session.node) is session:
            session.link.send(whole)

    def send_orders(self, orders: Committed[WorkerOrders]) -> bool:
        """Have runs begun, but for those that are to be stopped by now or whose job is over; returns whether the agent
        was told of any."""
        session = self.sessions.get(orders.value.node)
        wanted = orders.derive(lambda value: DesiredRuns(value.instance, False, self._still_wanted(value.orders), ()))
        if session is None or not wanted.value.orders:
            return False
        session.link.send(wanted)
        return True

    def _still_wanted(self, orders: tuple[RunOrder, ...]) -> tuple[RunOrder, ...]:
        return tuple(order for order in orders if self._is_wanted(parse_task_name(order.key.task, order.key.run)))

    def _is_wanted(self, run: TaskRun | None) -> bool:
        job = self._jobs.find(run.job) if run is not None else None
        if run is None or job is None or job.phase.is_final or run in self.stopping:
            return False
        task = self._jobs.task(run)
        return task is not None and task.open and task.run == run.run

    def send_stop(self, stop: Committed[RunStop]) -> None:
        """Have an open run stopped; its end will be listed."""
        session = self.sessions.get(stop.value.node)
        if session is not None:
            session.link.send(stop.derive(_stop_list))

    def closed(self, run: TaskRun) -> None:
        """A run is over."""
        self.stopping.discard(run)


def _stop_list(stop: RunStop) -> DesiredRuns:
    return DesiredRuns(stop.instance, False, (), (RunKey(stop.run.task_name, stop.run.run),))
