"""What the head does about agents that are not heard: silent ones get nothing new, and lose what may run elsewhere.

A run of a step that is not idempotent stays where it is until the lease of its agent is over for certain. One of an
idempotent step is given up as soon as its agent is silent, or its worker does not answer the agent: another run of it
may begin at once, and the one before is stopped when the agent is heard again.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from millethead.control.agents import Agents, AgentSession, RunStop
from millethead.control.commit import CommitGate
from millethead.control.silence import Silences
from millethead.execution.messages import RunEnd
from millethead.jobs.commands import EndedRun, TaskRun
from millethead.jobs.state import JobTable, Task
from millethead.scheduling.scheduler import Scheduler

log = structlog.get_logger()

LOOK_S = 0.1  # between looks at agents that should say something
RETURN_S = 0.65  # a new head waits so long for agents to come to it before it awaits a word of them


class AgentWatch:
    """`end` ends runs, `forget_worker` a worker's life at this head; `now`: when the head began."""

    def __init__(
        self,
        jobs: JobTable,
        agents: Agents,
        scheduler: Scheduler,
        gate: CommitGate,
        end: Callable[[tuple[EndedRun, ...]], None],
        forget_worker: Callable[[str], None],
        now: float,
    ) -> None:
        self._jobs, self._agents, self._scheduler, self._gate = jobs, agents, scheduler, gate
        self._end, self._forget_worker = end, forget_worker
        self._silences: Silences = agents.silences
        self._returned_by = now + RETURN_S
        self._awaits_return = True
        self.next_look = now

    def heard(self, session: AgentSession) -> bool:
        """A record of an agent has come; returns whether its worker may be used again."""
        if not self._silences.heard(session.node) or session.info is None:
            return False
        log.info("agent_heard", node=session.node)
        self._scheduler.put_worker(self._agents.worker_state(session, session.info))
        return True

    def gone(self, session: AgentSession, now: float) -> None:
        """The connection of an agent has ended; `disconnected` was called before."""
        if session.node not in self._agents.sessions:
            self._silences.await_word(session.node, now)

    def look(self, now: float) -> bool:
        """Find agents that have fallen silent; returns whether there are any."""
        self.next_look = now + LOOK_S
        if self._awaits_return and now >= self._returned_by:
            self._awaits_return = False
            self._await_return(now)
        silent = self._silences.look(now)
        for node in silent:
            log.info("agent_silent", node=node)
            session = self._agents.sessions.get(node)
            if session is not None and session.info is not None:
                self._scheduler.put_worker(self._agents.worker_state(session, session.info))
            self.give_up_idempotent(node)
        return bool(silent)

    def _await_return(self, now: float) -> None:
        """Agents that have runs and have not come to this head."""
        for node in {task.node for _, task in self._jobs.open_runs()} - self._agents.sessions.keys():
            self._silences.await_word(node, now)

    def give_up_idempotent(self, node: str) -> None:
        """Let the runs at a node of which copies may run go on elsewhere."""
        given_up = [(run, task) for run, task in self._jobs.open_runs() if task.node == node and self._may_copy(run)]
        stops = [RunStop(run, task.node, task.instance) for run, task in given_up]
        self._end(tuple(EndedRun(run, RunEnd.LOST, "") for run, _ in given_up))
        for stop in stops:
            self._gate.after_commit(stop, self._agents.send_stop)

    def _may_copy(self, run: TaskRun) -> bool:
        job = self._jobs.find(run.job)
        if job is None or job.phase.over or run in self._agents.stopping:
            return False
        step = job.description.steps[run.step]
        return step.idempotent and not step.gang and not step.long_running

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
