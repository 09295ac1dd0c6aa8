"""A machine with a worker in the emulated system: the worker, the agent's process, and the calls between them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import msgspec

from millethead.execution.actions import Action, CallWorker, SendRecord
from millethead.execution.agent import Agent
from millethead.execution.call_planner import AgentLimits
from millethead.execution.calls import (
    CallAnswer,
    CallStatus,
    PollCall,
    WorkerCall,
    encode_request,
    read_answer,
    request_path,
)
from millethead.execution.heartbeats import read_heartbeat
from millethead.execution.messages import AgentHello, AgentTurnedAway, AgentWelcome
from millethead.lab.core_time import Timeline
from millethead.lab.system_clock import MachineClock
from millethead.lab.system_wire import Wire
from millethead.lab.system_worker import SystemWorker
from millethead.lab.worker import Body
from millethead.rpc.codec import Record

HEARTBEAT_S = 1.0
CONNECT_PAUSE_S = (0.05, 0.3)  # between attempts to find the head
HELLO_PATIENCE_S = 0.8
CALL_DELAY_S = (0.0003, 0.01)
HELD_BACK_S = 10.0
LATE_S = (2.0, 12.0)  # after which an order that was not answered may be carried out


@dataclass(slots=True)
class CallTrouble:
    """Shares of the calls to a worker: unanswered though carried out, never carried out, carried out late."""

    answer_lost: float = 0.0
    call_lost: float = 0.0
    late: float = 0.0


class SideEvents(Protocol):
    """What the machine asks of the world, and tells it."""

    def connect(self, side: SideMachine) -> Wire | None:
        """A connection to whoever the agent finds; None where nobody answers."""
        ...

    def drain_acknowledged(self, instance: str) -> None: ...

    def ordered(self, side: SideMachine, epoch: int, call: WorkerCall) -> None:
        """A call leaves for the worker; `epoch`: the newest that welcomed this process."""
        ...


@dataclass(slots=True)
class AgentProcess:
    """One process of an agent; `deferred`: what comes while it stands still."""

    agent: Agent
    number: int
    wire: Wire | None = None
    welcomed: bool = False
    newest_epoch: int = 0
    wake_at: float = math.inf
    deferred: list[Callable[[], None]] = field(default_factory=list)


class SideMachine:
    """One machine. `cut`: it cannot be reached from the core, nor reaches it; `silent`: the worker and its agent do not
    reach one another; `frozen`: the agent's process stands still; `removed`: it was taken away. `held_back` is the
    share of heartbeats and deregistrations that arrive up to HELD_BACK_S late."""

    def __init__(self, node: str, worker: SystemWorker, timeline: Timeline, random: Random, events: SideEvents) -> None:
        self.node, self.worker = node, worker
        self._timeline, self._random, self._events = timeline, random, events
        self.clock = MachineClock(1 + random.uniform(-0.01, 0.01), random.uniform(1000, 100_000))
        self.trouble = CallTrouble()
        self.held_back = 0.0
        self.cut = self.silent = self.frozen = self.removed = False
        self._left = ""  # the life that has said that it ends
        self.process: AgentProcess | None = None
        self.looks = 0
        self._processes = 0
        self._planned = math.inf
        self._waiters: list[tuple[AgentProcess, PollCall, float, float]] = []
        self._wires: list[Wire] = []
        self.start_agent()
        timeline.after(random.uniform(0.0, HEARTBEAT_S), self._beat)

    # ---- the agent's process -----------------------------------------------------------------------------

    def start_agent(self) -> None:
        """A process begins, unless one runs."""
        if self.process is not None or self.removed:
            return
        self._processes += 1
        limits = AgentLimits(self.worker.profile.hold_max_ms, HEARTBEAT_S)
        process = self.process = AgentProcess(Agent(limits, self._now()), self._processes)
        self._timeline.after(self._random.uniform(0.01, 0.05), lambda: self._find_head(process))

    def kill_agent(self) -> None:
        """The process ends; its connections are reset."""
        process, self.process = self.process, None
        self.frozen = False
        self._waiters.clear()
        if process is not None and process.wire is not None:
            process.wire.near.close()

    def freeze(self) -> None:
        """The process stands still."""
        self.frozen = self.process is not None

    def thaw(self) -> None:
        """The process goes on, with what has come meanwhile."""
        self.frozen = False
        if self.process is None:
            return
        deferred, self.process.deferred = self.process.deferred, []
        process = self.process
        for call in deferred:
            self._post(process, call)

    def set_cut(self, cut: bool) -> None:
        """Cut the machine off from the core, or join it again."""
        self.cut = cut
        for wire in list(self._wires):
            wire.set_cut(cut)
        self._wires = [wire for wire in self._wires if wire.near.open or wire.far.open]

    def _now(self) -> float:
        return self.clock.steady(self._timeline.now)

    def _post(self, process: AgentProcess, call: Callable[[], None]) -> None:
        """Have a process do something, if it is still there."""
        if process is not self.process:
            return
        if self.frozen:
            process.deferred.append(call)
        else:
            call()

    def _tell(self, process: AgentProcess, event: Callable[[Agent, float], list[Action]]) -> None:
        """Bring an event to the agent, and carry out what it asks."""

        def happen() -> None:
            for action in event(process.agent, self._now()):
                if isinstance(action, CallWorker):
                    self._send_call(process, action.call)
                elif isinstance(action, SendRecord):
                    if process.wire is not None:
                        process.wire.near.send(action.record)
                else:
                    self._close_session(process)
            self._set_wake(process)

        self._post(process, happen)

    def _set_wake(self, process: AgentProcess) -> None:
        at = process.agent.next_timer()
        if at >= process.wake_at:
            return
        process.wake_at = at
        delay = self.clock.moment(at) - self._timeline.now + self._random.uniform(0.0, 0.002)
        self._timeline.after(delay, lambda: self._post(process, lambda: self._wake(process, at)))

    def _wake(self, process: AgentProcess, at: float) -> None:
        if process.wake_at == at:
            process.wake_at = math.inf
        self._tell(process, lambda agent, now: agent.timer_expired(now))

    # ---- the session -------------------------------------------------------------------------------------

    def _find_head(self, process: AgentProcess) -> None:
        """Look for the head until there is a session."""
        if process is not self.process or process.wire is not None:
            return
        wire = None if self.cut or self.frozen else self._events.connect(self)
        if wire is None:
            self._find_later(process)
            return
        process.wire, process.welcomed = wire, False
        self._wires.append(wire)
        wire.near.received = lambda record: self._post(process, lambda: self._received(process, wire, record))
        wire.near.closed = lambda: self._post(process, lambda: self._session_over(process, wire))
        profile = self.worker.profile
        wire.near.send(
            AgentHello(self.node, process.number, process.agent.epoch, profile.zone, profile.address, profile.service)
        )
        self._timeline.after(HELLO_PATIENCE_S, lambda: self._post(process, lambda: self._give_up(process, wire)))

    def _find_later(self, process: AgentProcess) -> None:
        self._timeline.after(self._random.uniform(*CONNECT_PAUSE_S), lambda: self._find_head(process))

    def _give_up(self, process: AgentProcess, wire: Wire) -> None:
        if process.wire is wire and not process.welcomed:
            self._close_session(process)

    def _received(self, process: AgentProcess, wire: Wire, record: Record) -> None:
        if process.wire is not wire:
            return
        if isinstance(record, AgentWelcome):
            process.welcomed = True
            process.newest_epoch = max(process.newest_epoch, record.epoch)
            self._tell(process, lambda agent, now: agent.session_opened(record.epoch, now))
        elif not isinstance(record, AgentTurnedAway):
            self._tell(process, lambda agent, now: agent.record_received(record, now))

    def _close_session(self, process: AgentProcess) -> None:
        wire = process.wire
        if wire is not None:
            wire.near.close()
            self._session_over(process, wire)

    def _session_over(self, process: AgentProcess, wire: Wire) -> None:
        if process.wire is not wire:
            return
        process.wire = None
        if process.welcomed:
            process.welcomed = False
            self._tell(process, lambda agent, now: agent.session_closed(now))
        self._find_later(process)

    def lose_session(self) -> None:
        """The connection breaks, and both ends see it."""
        process = self.process
        if process is not None and process.wire is not None:
            wire = process.wire
            wire.near.close()
            self._post(process, lambda: self._session_over(process, wire))

    # ---- the worker --------------------------------------------------------------------------------------

    def _beat(self) -> None:
        if self.removed:
            return
        self._timeline.after(HEARTBEAT_S * self._random.uniform(0.95, 1.05), self._beat)
        process = self.process
        if not self.worker.up or self.silent or process is None or self.worker.instance == self._left:
            return
        instance = self.worker.instance
        body = msgspec.json.encode(self.worker.beat(self._timeline.now))

        def arrive(process: AgentProcess) -> None:
            info, clock_ms = read_heartbeat(instance, body)
            if info.draining:
                self._events.drain_acknowledged(instance)
            self._tell(process, lambda agent, now: agent.heartbeat_received(info, clock_ms, now))

        self._deliver(process, arrive)

    def _deliver(self, process: AgentProcess, arrive: Callable[[AgentProcess], None]) -> None:
        """Bring a call of the worker to a process, or late to whichever process runs then."""
        if self.held_back and self._random.random() < self.held_back:
            self._timeline.after(self._random.uniform(0.0, HELD_BACK_S), lambda: self._deliver_late(arrive))
            return
        delay_s = self._random.uniform(*CALL_DELAY_S)
        self._timeline.after(delay_s, lambda: self._post(process, lambda: arrive(process)))

    def _deliver_late(self, arrive: Callable[[AgentProcess], None]) -> None:
        process = self.process
        if process is not None:
            self._post(process, lambda: arrive(process))

    def crash_worker(self) -> None:
        """The worker's process ends without a word."""
        self.worker.crash(self._timeline.now)
        waiting, self._waiters = self._waiters, []
        for process, call, sent_at, _ in waiting:
            self._timeline.after(
                0.001,
                lambda process=process, call=call, sent_at=sent_at: (  # type: ignore[misc]
                    self._answer(process, call, CallStatus.UNCLEAR, sent_at)
                ),
            )

    def start_worker(self, instance: str) -> None:
        """A new life of the worker begins."""
        if not self.worker.up and not self.removed:
            self.worker.restart(instance, self._timeline.now, self._random.uniform(500, 50_000))

    def worker_leaves(self) -> None:
        """The worker says that it ends, and ends."""
        self.say_leave()
        self.crash_worker()

    def say_leave(self) -> None:
        """The worker says that it ends; it may serve on for a while."""
        instance, process = self.worker.instance, self.process
        self._left = instance

        def arrive(process: AgentProcess) -> None:
            self._events.drain_acknowledged(instance)
            self._tell(process, lambda agent, now: agent.worker_left(instance, now))

        if process is not None:
            self._deliver(process, arrive)

    def plan_worker(self) -> None:
        """Have the worker's next event happen in time."""
        at = self.worker.next_event() if self.worker.up else math.inf
        if at >= self._planned and self._planned > self._timeline.now:
            return
        self._planned = at
        if at < math.inf:
            self._timeline.after(at - self._timeline.now, lambda: self._worker_event(at))

    def _worker_event(self, at: float) -> None:
        if self._planned == at:
            self._planned = math.inf
        if self.worker.up:
            self.worker.advance(self._timeline.now)
            self.plan_worker()
            self.serve_waiters()

    # ---- calls -------------------------------------------------------------------------------------------

    def _send_call(self, process: AgentProcess, call: WorkerCall) -> None:
        if isinstance(call, PollCall):
            self.looks += 1
        self._events.ordered(self, process.newest_epoch, call)
        sent_at = self._now()
        if not self.worker.up and not self.silent and self._random.random() < 0.5:
            self._timeline.after(0.001, lambda: self._answer(process, call, CallStatus.NOT_SENT, sent_at))
            return
        chance, trouble = self._random.random(), self.trouble
        if self.silent or chance < trouble.call_lost:
            self._time_out(process, call, sent_at)
        elif chance < trouble.call_lost + trouble.late:
            self._timeline.after(
                self._random.uniform(*LATE_S), lambda: self._arrive(process, call, sent_at, True, True)
            )
            self._time_out(process, call, sent_at)
        else:
            lost = chance < trouble.call_lost + trouble.late + trouble.answer_lost
            self._timeline.after(
                self._random.uniform(*CALL_DELAY_S), lambda: self._arrive(process, call, sent_at, lost, False)
            )
            if lost:
                self._time_out(process, call, sent_at)

    def _time_out(self, process: AgentProcess, call: WorkerCall, sent_at: float) -> None:
        self._timeline.after(call.timeout_s, lambda: self._answer(process, call, CallStatus.UNCLEAR, sent_at))

    def _arrive(self, process: AgentProcess, call: WorkerCall, sent_at: float, lost: bool, late: bool) -> None:
        """The call reaches the worker."""
        if not self.worker.up:
            if not lost:
                self._answer(process, call, CallStatus.UNCLEAR, sent_at)
            return
        now = self._timeline.now
        body: Body = msgspec.json.decode(encode_request(call))
        status, answer = self.worker.call(request_path(call), body, call.instance, now, late)
        self.plan_worker()
        self.serve_waiters()
        if lost:
            return
        if isinstance(call, PollCall) and status == 200 and self.worker.hold_waits(body):
            self._waiters.append((process, call, sent_at, now + call.wait_ms / 1000))
            self._timeline.after(call.wait_ms / 1000, self.serve_waiters)
            return
        self._respond(process, call, sent_at, status, answer)

    def _respond(self, process: AgentProcess, call: WorkerCall, sent_at: float, status: int, body: Body) -> None:
        if self.silent:
            self._time_out(process, call, sent_at)
            return
        raw = msgspec.json.encode(body)

        def arrive() -> None:
            answer = read_answer(call, status, raw, sent_at, self._now())
            self._tell(process, lambda agent, now: agent.call_ended(call.number, answer, now))

        self._timeline.after(self._random.uniform(*CALL_DELAY_S), lambda: self._post(process, arrive))

    def _answer(self, process: AgentProcess, call: WorkerCall, verdict: CallStatus, sent_at: float) -> None:
        self._tell(process, lambda agent, now: agent.call_ended(call.number, CallAnswer(verdict, sent_at, now), now))

    def serve_waiters(self) -> None:
        """Answer the holds that have waited long enough, or whose end has come."""
        waiting, self._waiters = self._waiters, []
        for process, call, sent_at, until in waiting:
            due = self._timeline.now >= until - 1e-9
            if due or not self.worker.hold_waits({"wait_ms": 1, "last_seen": call.last_seen}):
                self._respond(process, call, sent_at, 200, self.worker.lists(call.last_seen, self._timeline.now))
            else:
                self._waiters.append((process, call, sent_at, until))
