"""What the head does about agents that are not heard: silent ones get nothing new until they are heard again, and what
runs there is over once their lease is.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from millethead.control.agents import Agents, AgentSession
from millethead.control.silence import Silences
from millethead.execution.messages import RunEnd
from millethead.jobs.commands import EndedRun, TaskRun
from millethead.jobs.state import JobTable, Task
from millethead.scheduling.scheduler import Scheduler

log = structlog.get_logger()

LOOK_S = 0.1  # between looks at agents that should say something


class AgentWatch:
    """`end` ends runs, `forget_worker` a worker's life at this head; `now`: when the head began."""

    def __init__(
        self,
        jobs: JobTable,
        agents: Agents,
        scheduler: Scheduler,
        end: Callable[[tuple[EndedRun, ...]], None],
        forget_worker: Callable[[str], None],
        now: float,
    ) -> None:
        self._jobs, self._agents, self._scheduler = jobs, agents, scheduler
        self._end, self._forget_worker = end, forget_worker
        self._silences: Silences = agents.silences
        self.next_look = now

    def heard(self, session: AgentSession) -> bool:
        """A record of an agent has come; returns whether its worker may be used again."""
        if not self._silences.heard(session.node) or session.info is None:
            return False
        log.info("agent_heard", node=session.node)
        self._scheduler.put_worker(self._agents.worker_state(session, session.info))
        return True

    def gone(self, session: AgentSession) -> None:
        """The connection of an agent has ended; `disconnected` was called before."""
        if session.node not in self._agents.sessions:
            self._silences.forget(session.node)
            self._use_no_more(session)

    def _use_no_more(self, session: AgentSession) -> None:
        worker = self._agents.unreachable(session.instance)
        if worker is not None:
            self._scheduler.put_worker(worker)

    def look(self, now: float) -> bool:
        """Find agents that have fallen silent; returns whether there are any."""
        self.next_look = now + LOOK_S
        silent = self._silences.look(now)
        for node in silent:
            log.info("agent_silent", node=node)
            session = self._agents.sessions.get(node)
            if session is not None:
                self._use_no_more(session)
        return bool(silent)

    def check_leases(self, now: float) -> None:
        """End what runs at agents whose lease is over."""
        runs_at: dict[str, list[tuple[TaskRun, Task]]] = {}
        for run, task in self._jobs.open_runs():
            runs_at.setdefault(task.node, []).append((run, task))
        for node in sorted(runs_at):
            if not self._agents.lapsed(node, now):
                continue
            log.warning("lease_lapsed", node=node, runs=len(runs_at[node]))
            for instance in sorted({task.instance for _, task in runs_at[node]}):
                self._forget_worker(instance)
            self._agents.end_session(node)
            self._end(tuple(EndedRun(run, RunEnd.LOST, "") for run, _ in runs_at[node]))
