"""Simulation of one agent, its worker and a head in virtual time, with seeded faults and invariant checks."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

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
from millethead.execution.messages import (
    DesiredRuns,
    EndsNoted,
    LeaseGrant,
    LeaseRequest,
    LifeOver,
    Resources,
    RunEnd,
    RunKey,
    RunOrder,
    RunReport,
    WorkerInfo,
    WorkerUpdate,
)
from millethead.lab.worker import Body, TaskWork, WorkerModel, WorkerProfile
from millethead.rpc.codec import Record, decode_any, encode_any

LEASE_MS = 4000
COMMIT_S = 0.012  # time from a report to its acknowledgement
HEARTBEAT_S = 1.0
START_TIME_S = 1000.0  # initial virtual time
FAULT_PHASE_S = 40.0  # duration of the faults in a `seeded_system`
MAX_RECOVERY_S = 230.0  # time limit for all work to finish after the faults


class Clock:
    """Virtual time; executes callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now = START_TIME_S
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = count()

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (max(when, self.now), next(self._count), call))

    def call_after(self, delay: float, call: Callable[[], None]) -> None:
        self.call_at(self.now + delay, call)

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = until


@dataclass
class FaultRates:
    """Shares of the calls: carried out without an answer, never carried out, carried out 2 to 12 s late."""

    answer_lost: float = 0.0
    call_lost: float = 0.0
    late: float = 0.0


@dataclass
class WorkUnit:
    """Work for the head to schedule: one task, or the members of a gang, which all have the same run number."""

    name: str
    work: TaskWork
    members: int = 1
    run: int = 0
    open_runs: set[RunKey] = field(default_factory=set)
    outcomes: list[RunEnd] = field(default_factory=list)
    finished: bool = False
    cancelled: bool = False
    saved: str = ""

    def run_keys(self) -> list[RunKey]:
        return [RunKey(f"{self.name}.{index}", self.run) for index in range(self.members)]

    def needs(self) -> Resources:
        need = self.work.needs
        return Resources(need.cpu * self.members, need.mem_mb * self.members, need.gpu * self.members)


class FakeHead:
    """A head that commits ends, grants leases and orders runs until every unit is finished."""

    def __init__(self, system: SimulatedSystem, units: list[WorkUnit], overcommit: float) -> None:
        self.system, self.units, self.overcommit = system, units, overcommit
        self.worker: WorkerInfo | None = None
        self.instance = ""  # the worker instance of the open runs
        self.acknowledged_ends: dict[str, set[int]] = {}
        self.lease_until = -math.inf
        self.ordered: dict[RunKey, RunOrder] = {}
        self.ordered_at: dict[RunKey, float] = {}
        self.drain_reported_at: dict[str, float] = {}
        self.done_at: dict[str, float] = {}
        self.never_started_at: dict[RunKey, float] = {}
        self.ended_at: dict[RunKey, float] = {}
        self._session: Session | None = None

    def open(self, session: Session) -> None:
        self._session = session
        session.send_welcome(session.epoch)

    def receive(self, session: Session, record: Record) -> None:
        if isinstance(record, LeaseRequest):
            self.lease_until = max(self.lease_until, (record.sent_ms + LEASE_MS) / 1000)
            session.send_to_agent(LeaseGrant(record.sent_ms, LEASE_MS))
        elif isinstance(record, WorkerUpdate):
            self._apply_worker_update(session, record.info)
        elif isinstance(record, LifeOver):
            self._apply_instance_ended(record.instance)
        elif isinstance(record, RunReport) and record.ends:
            self.system.clock.call_after(COMMIT_S, lambda: self._commit(session, record))

    def _apply_worker_update(self, session: Session, info: WorkerInfo | None) -> None:
        fresh = info is not None and (self.worker is None or self.worker.instance != info.instance)
        self.worker = info
        if info is None:
            self._apply_instance_ended(self.instance)
        elif info.draining:
            self.drain_reported_at.setdefault(info.instance, self.system.clock.now)
        if fresh or not session.sent_complete_lists:
            self._send_complete_list(session)
        self.place_units()

    def _send_complete_list(self, session: Session) -> None:
        instance = (
            self.instance
            if any(unit.open_runs for unit in self.units)
            else (self.worker.instance if self.worker else "")
        )
        if not instance:
            return
        session.sent_complete_lists.add(instance)
        open_keys = [key for unit in self.units for key in sorted(unit.open_runs, key=lambda key: key.task)]
        cancelled = {key for unit in self.units if unit.cancelled for key in unit.open_runs}
        orders = tuple(self.ordered[key] for key in open_keys if key not in cancelled)
        session.send_to_agent(DesiredRuns(instance, True, orders, tuple(sorted(cancelled, key=lambda key: key.task))))

    def _commit(self, session: Session, report: RunReport) -> None:
        if session is not self._session:
            return  # another head has replaced this one, so nothing was committed
        for end in report.ends:
            if end.number:
                self.acknowledged_ends.setdefault(report.instance, set()).add(end.number)
            self._apply_end(report.instance, end.key, end.how, end.checkpoint)
        session.send_to_agent(EndsNoted(report.instance, report.sequence))
        self.place_units()

    def _apply_end(self, instance: str, key: RunKey, outcome: RunEnd, saved: str) -> None:
        unit = next((unit for unit in self.units if key in unit.open_runs and instance == self.instance), None)
        if unit is None:
            return
        if outcome is RunEnd.NEVER:
            self.never_started_at[key] = self.system.clock.now
        self.ended_at[key] = self.system.clock.now
        unit.open_runs.discard(key)
        unit.outcomes.append(outcome)
        if saved and unit.work.checkpoints:
            unit.saved = saved
        if outcome is RunEnd.DONE:
            self.done_at[key.task] = self.system.clock.now
        if not unit.open_runs and (unit.cancelled or RunEnd.DONE in unit.outcomes):
            unit.finished = True

    def _apply_instance_ended(self, instance: str) -> None:
        if instance != self.instance:
            return
        for unit in self.units:
            for key in list(unit.open_runs):
                self._apply_end(instance, key, RunEnd.LOST, "")
        self.place_units()

    def place_units(self) -> None:
        """Order all units that have no open runs and fit; at random, some that do not fit."""
        session, worker = self._session, self.worker
        if session is None or worker is None or worker.draining:
            return
        if self.instance != worker.instance and any(unit.open_runs for unit in self.units):
            return
        self.instance = worker.instance
        if self.instance not in session.sent_complete_lists:
            self._send_complete_list(session)
        orders: list[RunOrder] = []
        for unit in self.units:
            if (
                not unit.finished
                and not unit.cancelled
                and not unit.open_runs
                and self._has_capacity(unit, worker.capacity)
            ):
                orders += self._order(unit)
        if orders:
            session.send_to_agent(DesiredRuns(worker.instance, False, tuple(orders), ()))

    def _has_capacity(self, unit: WorkUnit, capacity: Resources) -> bool:
        if self.system.random.random() < self.overcommit:
            return True
        reserved = [other.needs() for other in self.units if other.open_runs]
        need = unit.needs()
        return (
            sum(other.cpu for other in reserved) + need.cpu <= capacity.cpu
            and sum(other.mem_mb for other in reserved) + need.mem_mb <= capacity.mem_mb
        )

    def _order(self, unit: WorkUnit) -> list[RunOrder]:
        unit.run += 1
        unit.outcomes = []
        orders = [RunOrder(key, unit.name, unit.saved, unit.work.needs) for key in unit.run_keys()]
        for order in orders:
            unit.open_runs.add(order.key)
            self.ordered[order.key] = order
            self.ordered_at[order.key] = self.system.clock.now
        return orders

    def cancel(self, unit: WorkUnit) -> None:
        unit.cancelled = True
        if not unit.open_runs:
            unit.finished = True
        elif self._session is not None:
            self._session.send_to_agent(DesiredRuns(self.instance, False, (), tuple(unit.open_runs)))

    @property
    def finished(self) -> bool:
        return all(unit.finished for unit in self.units)


class Session:
    """A connection between agent and head that delivers in order and with a delay.

    A `partitioned` session delivers nothing in either direction.
    """

    def __init__(self, system: SimulatedSystem, agent: Agent, epoch: int) -> None:
        self.system, self.agent, self.epoch = system, agent, epoch
        self.partitioned = self.closed = False
        self.sent_complete_lists: set[str] = set()  # instances for which a complete list was sent
        self._last = {True: 0.0, False: 0.0}

    def _deliver(self, to_agent: bool, call: Callable[[], None]) -> None:
        at = max(self.system.clock.now + self.system.random.uniform(0.0005, 0.01), self._last[to_agent])
        self._last[to_agent] = at

        def arrive() -> None:
            if not self.partitioned and not self.closed:
                call()

        self.system.clock.call_at(at, arrive)

    def send_welcome(self, epoch: int) -> None:
        self._deliver(
            True, lambda: self.system.execute(self.agent, self.agent.session_opened(epoch, self.system.clock.now))
        )

    def send_to_agent(self, record: Record) -> None:
        copy = decode_any(encode_any(record))
        self._deliver(
            True, lambda: self.system.execute(self.agent, self.agent.record_received(copy, self.system.clock.now))
        )

    def send_to_head(self, record: Record) -> None:
        copy = decode_any(encode_any(record))
        self._deliver(False, lambda: self.system.head.receive(self, copy))


class SimulatedSystem:
    """The simulated system. `agent` is None while its process is down."""

    def __init__(
        self,
        seed: int,
        units: list[WorkUnit],
        fault_rates: FaultRates | None = None,
        overcommit: float = 0.0,
        rate: float = 0.98,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = Clock()
        self.fault_rates = fault_rates or FaultRates()
        self.units = {unit.name: unit for unit in units}
        self.profile = WorkerProfile(rate=rate)
        self.instance_numbers = count(1)
        self.worker = WorkerModel(self.profile, self._work, f"i-{next(self.instance_numbers)}", self.clock.now)
        self.isolated = False  # no call or heartbeat passes between the worker and its agent
        self.head = FakeHead(self, units, overcommit)
        self.epoch = 1
        self.core_up = True
        self.session: Session | None = None
        self.agent: Agent | None = None
        self.polls = 0
        self._waiting_polls: list[tuple[Agent, PollCall, float, float]] = []
        self._timers: dict[int, float] = {}
        self.start_agent()
        self.clock.call_after(0.05, self._send_heartbeat)

    def _work(self, task: str, spec: str) -> TaskWork:
        return self.units[spec].work

    # ---- agent process -----------------------------------------------------------------------------------

    def start_agent(self) -> None:
        self.agent = Agent(AgentLimits(self.profile.hold_max_ms, HEARTBEAT_S), self.clock.now)
        self.clock.call_after(0.01, self.connect)

    def kill_agent(self, downtime_s: float) -> None:
        if self.agent is None:
            return
        self._waiting_polls.clear()
        self.agent = None
        self._drop_session()
        self.clock.call_after(downtime_s, self.start_agent)

    def execute(self, agent: Agent, actions: list[Action]) -> None:
        """Execute the agent's actions; ignore actions of an agent that was killed."""
        if agent is not self.agent:
            return
        for action in actions:
            if isinstance(action, CallWorker):
                self._send_call(agent, action.call)
            elif isinstance(action, SendRecord):
                if self.session is not None:
                    self.session.send_to_head(action.record)
            else:
                self._drop_session()
                self.clock.call_after(0.05, self.connect)
        self._set_timer(agent)
        self.check_invariants()

    def _set_timer(self, agent: Agent) -> None:
        at = agent.next_timer()
        if at == math.inf or self._timers.get(id(agent)) == at:
            return
        assert at > self.clock.now, "the agent requests a timer in the past"
        self._timers[id(agent)] = at
        self.clock.call_at(at, lambda: self._run_timer(agent, at))

    def _run_timer(self, agent: Agent, at: float) -> None:
        if agent is self.agent and agent.next_timer() <= at:
            self._timers.pop(id(agent), None)
            self.execute(agent, agent.timer_expired(self.clock.now))

    # ---- sessions ------------------------------------------------------------------------------------

    def connect(self) -> None:
        if self.agent is None or self.session is not None:
            return
        if not self.core_up:
            self.clock.call_after(0.2, self.connect)
            return
        self.session = Session(self, self.agent, self.epoch)
        self.head.open(self.session)

    def _drop_session(self) -> None:
        if self.session is not None:
            self.session.closed = True
            self.session = None

    def lose_session(self) -> None:
        """Break the connection; both ends notice it."""
        if self.session is None or self.agent is None:
            return
        self._drop_session()
        self.execute(self.agent, self.agent.session_closed(self.clock.now))
        self.clock.call_after(0.1, self.connect)

    def change_head(self) -> None:
        """Make another member the head; the connection to the old one delivers nothing any more."""
        self.epoch += 1
        if self.session is not None:
            self.session.partitioned = True
        self.head._session = None

    def stop_core(self, duration_s: float) -> None:
        self.core_up = False
        self.change_head()

        def back() -> None:
            self.core_up = True

        self.clock.call_after(duration_s, back)

    # ---- worker ------------------------------------------------------------------------------------------

    def _send_heartbeat(self) -> None:
        self.clock.call_after(HEARTBEAT_S, self._send_heartbeat)
        if not self.worker.up or self.isolated:
            return
        body = msgspec.json.encode(self.worker.beat(self.clock.now))
        instance = self.worker.instance

        def arrive() -> None:
            if self.agent is not None:
                info, clock_ms = read_heartbeat(instance, body)
                self.execute(self.agent, self.agent.heartbeat_received(info, clock_ms, self.clock.now))

        self.clock.call_after(self.random.uniform(0.0002, 0.005), arrive)

    def crash_worker(self, downtime_s: float) -> None:
        if not self.worker.up:
            return
        self.worker.crash(self.clock.now)
        self._fail_waiting_polls()

        def back() -> None:
            self.worker.restart(f"i-{next(self.instance_numbers)}", self.clock.now, self.random.uniform(0, 10_000))

        self.clock.call_after(downtime_s, back)

    def replace_worker(self, notice_s: float) -> None:
        """Drain the worker, let it leave and start another instance."""
        if not self.worker.up:
            return
        self.worker.drain(self.clock.now + notice_s)
        instance = self.worker.instance

        def leave() -> None:
            if self.worker.instance != instance or not self.worker.up:
                return
            if self.agent is not None and not self.isolated:
                self.execute(self.agent, self.agent.worker_left(instance, self.clock.now))
            self.crash_worker(1.0)

        self.clock.call_after(notice_s, leave)

    def _send_call(self, agent: Agent, call: WorkerCall) -> None:
        assert len(call.instance) and call.timeout_s < 4
        self.polls += isinstance(call, PollCall)
        sent_at = self.clock.now
        if not self.worker.up and self.random.random() < 0.5:
            self.clock.call_after(0.001, lambda: self._answer(agent, call, CallStatus.NOT_SENT, sent_at))
            return
        chance = self.random.random()
        fault_rates = self.fault_rates
        timeout = sent_at + call.timeout_s
        if self.isolated or chance < fault_rates.call_lost:
            self.clock.call_at(timeout, lambda: self._answer(agent, call, CallStatus.UNCLEAR, sent_at))
        elif chance < fault_rates.call_lost + fault_rates.late:
            self.clock.call_after(self.random.uniform(2, 12), lambda: self._arrive(agent, call, sent_at, True, True))
            self.clock.call_at(timeout, lambda: self._answer(agent, call, CallStatus.UNCLEAR, sent_at))
        else:
            lost = chance < fault_rates.call_lost + fault_rates.late + fault_rates.answer_lost
            delay = self.random.uniform(0.0003, 0.02)
            self.clock.call_after(delay, lambda: self._arrive(agent, call, sent_at, lost, False))
            if lost:
                self.clock.call_at(timeout, lambda: self._answer(agent, call, CallStatus.UNCLEAR, sent_at))

    def _arrive(self, agent: Agent, call: WorkerCall, sent_at: float, lost: bool, late: bool) -> None:
        """Deliver the call to the worker."""
        if not self.worker.up:
            if not lost:
                self._answer(agent, call, CallStatus.UNCLEAR, sent_at)
            return
        body: Body = msgspec.json.decode(encode_request(call))
        if isinstance(call, PollCall):
            self._check_last_seen(call)
        status, answer = self.worker.call(request_path(call), body, call.instance, self.clock.now, late)
        self._schedule_worker_event()
        self.check_invariants()
        if lost:
            return
        if isinstance(call, PollCall) and status == 200 and self.worker.hold_waits(body):
            self._waiting_polls.append((agent, call, sent_at, self.clock.now + call.wait_ms / 1000))
            self.clock.call_after(call.wait_ms / 1000, self._answer_due_polls)
            return
        self._respond(agent, call, sent_at, status, answer)

    def _respond(self, agent: Agent, call: WorkerCall, sent_at: float, status: int, body: Body) -> None:
        raw = msgspec.json.encode(body)

        def arrive() -> None:
            if agent is self.agent:
                answer = read_answer(call, status, raw, sent_at, self.clock.now)
                self.execute(agent, agent.call_ended(call.number, answer, self.clock.now))

        self.clock.call_after(self.random.uniform(0.0003, 0.02), arrive)

    def _answer(self, agent: Agent, call: WorkerCall, status: CallStatus, sent_at: float) -> None:
        if agent is self.agent:
            answer = CallAnswer(status, sent_at, self.clock.now)
            self.execute(agent, agent.call_ended(call.number, answer, self.clock.now))

    def _schedule_worker_event(self) -> None:
        at = self.worker.next_event()
        if at < math.inf:
            self.clock.call_at(at, self._worker_event)

    def _worker_event(self) -> None:
        if self.worker.up:
            self.worker.advance(self.clock.now)
            self._schedule_worker_event()
            self._answer_due_polls()

    def _answer_due_polls(self) -> None:
        waiting, self._waiting_polls = self._waiting_polls, []
        for agent, call, sent_at, until in waiting:
            due = self.clock.now >= until - 1e-9
            if due or not self.worker.hold_waits({"wait_ms": 1, "last_seen": call.last_seen}):
                self._respond(agent, call, sent_at, 200, self.worker.lists(call.last_seen, self.clock.now))
            else:
                self._waiting_polls.append((agent, call, sent_at, until))

    def _fail_waiting_polls(self) -> None:
        waiting, self._waiting_polls = self._waiting_polls, []
        for agent, call, sent_at, _ in waiting:
            self.clock.call_after(
                0.001,
                lambda agent=agent, call=call, sent_at=sent_at: self._answer(agent, call, CallStatus.UNCLEAR, sent_at),
            )

    # ---- invariants --------------------------------------------------------------------------------------

    def _check_last_seen(self, call: PollCall) -> None:
        """Check that the worker is allowed to forget acknowledged ends only."""
        listed = {end.number for end in self.worker.ends if end.instance == call.instance and end.number}
        forgotten = {number for number in listed if number <= call.last_seen}
        assert forgotten <= self.head.acknowledged_ends.get(call.instance, set()), (
            "the worker was allowed to forget an end that was not acknowledged"
        )

    def check_invariants(self) -> None:
        """Check what must hold at any time."""
        instance = self.worker._life
        if instance.runs:
            kept_until = instance.began_at + (instance.held_until_ms - instance.clock_offset_ms) / (
                1000 * self.profile.rate
            )
            assert kept_until <= self.head.lease_until + 1e-6, "the worker keeps runs beyond the lease"
            tasks = [run.task for run in instance.runs.values()]
            assert len(tasks) == len(set(tasks)), f"two concurrent runs of one task: {sorted(tasks)}"

    def check_history(self) -> None:
        """Check what must hold for the whole history."""
        for start in self.worker.starts:
            key = RunKey(start.task, start.run)
            assert not start.over, f"{start} exceeds the capacity"
            assert key in self.head.ordered, f"{start} was not ordered"
            assert key not in self.head.never_started_at, f"{start} was reported as never started"
            assert start.at <= self.head.done_at.get(start.task, math.inf), f"{start} happened after the task was done"
            assert start.at <= self.head.ended_at.get(key, math.inf), (
                f"{start} happened after the run was reported as ended"
            )
            drained = self.head.drain_reported_at.get(start.instance, math.inf)
            assert start.late or start.at <= drained + 0.05, f"{start} happened while the worker was draining"

    def run(self, duration_s: float) -> None:
        self.clock.run(self.clock.now + duration_s)


def work_unit(name: str, seconds: float = 1.0, cpu: int = 1000, members: int = 1, **more: object) -> WorkUnit:
    """Return a unit of work; `more` is passed to its TaskWork."""
    gang = members if members > 1 else 0
    return WorkUnit(name, TaskWork(seconds, Resources(cpu, 1024, 0), gang=gang, **more), members)  # type: ignore[arg-type]


def seeded_system(seed: int) -> SimulatedSystem:
    """Return a system with random units, losses, late orders and events of all kinds in its first 40 s."""
    rng = random.Random(seed)
    units = [
        work_unit(
            f"u{number}.0.0",
            seconds=rng.uniform(0.1, 5),
            cpu=rng.choice([500, 1000, 3000]),
            members=rng.choice([1, 1, 1, 2]),
            checkpoints=rng.random() < 0.5,
        )
        for number in range(rng.randint(5, 40))
    ]
    fault_rates = FaultRates(rng.choice([0, 0, 0.05, 0.2]), rng.choice([0, 0, 0.05, 0.2]), rng.choice([0, 0, 0.1, 0.5]))
    system = SimulatedSystem(seed, units, fault_rates, rng.choice([0, 0, 0.2]), rng.choice([0.98, 0.99, 1.0]))
    for _ in range(rng.randint(0, 12)):
        at = START_TIME_S + rng.uniform(0.1, FAULT_PHASE_S)
        system.clock.call_at(at, _random_event(system, rng, units))
    return system


def _random_event(system: SimulatedSystem, rng: random.Random, units: list[WorkUnit]) -> Callable[[], None]:
    cancelled_unit, short, long = rng.choice(units), rng.uniform(0.05, 3), rng.uniform(0.3, 15)

    def isolate_worker() -> None:
        system.isolated = True
        system.clock.call_after(long, lambda: setattr(system, "isolated", False))

    return rng.choice(
        [
            lambda: system.kill_agent(short),
            system.lose_session,
            system.change_head,
            lambda: system.stop_core(long),
            lambda: system.crash_worker(long),
            lambda: system.replace_worker(short * 2),
            isolate_worker,
            lambda: system.head.cancel(cancelled_unit),
        ]
    )


def run_history(seed: int) -> SimulatedSystem:
    """Run the fault phase and the recovery; raises AssertionError if the agent violates an invariant."""
    system = seeded_system(seed)
    system.run(FAULT_PHASE_S)
    system.fault_rates = FaultRates()
    until = system.clock.now + MAX_RECOVERY_S
    while not system.head.finished and system.clock.now < until:
        system.run(10.0)
    system.check_history()
    assert system.head.finished, f"unfinished: {[unit.name for unit in unfinished_units(system)]}"
    return system


def unfinished_units(system: SimulatedSystem) -> list[WorkUnit]:
    """Return the units that the head has not finished."""
    return [unit for unit in system.head.units if not unit.finished]
