"""Detects agents that do not respond and ends their runs once their lease has expired.

An unresponsive agent gets no new runs until the head receives a record from it again. Its open runs are ended as lost
only after its lease has expired, because they may still be running until then.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from millethead.control.agents import AgentRegistry, AgentSession
from millethead.control.failure_detector import FailureDetector
from millethead.execution.messages import RunEnd
from millethead.jobs.commands import EndedRun, TaskRun
from millethead.jobs.state import JobTable, Task
from millethead.scheduling.scheduler import Scheduler

log = structlog.get_logger()

CHECK_INTERVAL_S = 0.1  # between two checks for unresponsive agents


class AgentMonitor:
    """Monitors the agents on behalf of the head.

    `end` ends runs, `forget_worker` removes a worker instance from this head, and `now` is the time at which the head
    started to lead.
    """

    def __init__(
        self,
        jobs: JobTable,
        agents: AgentRegistry,
        scheduler: Scheduler,
        end: Callable[[tuple[EndedRun, ...]], None],
        forget_worker: Callable[[str], None],
        now: float,
    ) -> None:
        self._jobs, self._agents, self._scheduler = jobs, agents, scheduler
        self._end, self._forget_worker = end, forget_worker
        self._failure_detector: FailureDetector = agents.failure_detector
        self.next_check = now

    def record_received(self, session: AgentSession) -> bool:
        """Handle the receipt of any record from an agent; return whether its worker became usable again."""
        if not self._failure_detector.record_response(session.node) or session.info is None:
            return False
        log.info("agent_heard", node=session.node)
        self._scheduler.put_worker(self._agents.update_worker(session, session.info))
        return True

    def connection_closed(self, session: AgentSession) -> None:
        """Handle a closed agent connection. `AgentRegistry.remove_session` must have been called before."""
        if session.node not in self._agents.sessions:
            self._failure_detector.forget(session.node)
            self._mark_unreachable(session)

    def _mark_unreachable(self, session: AgentSession) -> None:
        worker = self._agents.mark_unreachable(session.instance)
        if worker is not None:
            self._scheduler.put_worker(worker)

    def check_responses(self, now: float) -> bool:
        """Check for agents that have stopped responding; return whether there are new ones."""
        self.next_check = now + CHECK_INTERVAL_S
        unresponsive = self._failure_detector.check(now)
        for node in unresponsive:
            log.info("agent_silent", node=node)
            session = self._agents.sessions.get(node)
            if session is not None:
                self._mark_unreachable(session)
        return bool(unresponsive)

    def check_leases(self, now: float) -> None:
        """End all runs on nodes whose lease has expired."""
        runs_at: dict[str, list[tuple[TaskRun, Task]]] = {}
        for run, task in self._jobs.open_runs():
            runs_at.setdefault(task.node, []).append((run, task))
        for node in sorted(runs_at):
            if not self._agents.lease_expired(node, now):
                continue
            log.warning("lease_lapsed", node=node, runs=len(runs_at[node]))
            for instance in sorted({task.instance for _, task in runs_at[node]}):
                self._forget_worker(instance)
            self._agents.end_session(node)
            self._end(tuple(EndedRun(run, RunEnd.LOST, "") for run, _ in runs_at[node]))
