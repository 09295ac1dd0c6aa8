"""One agent, its worker and a head of the core over virtual time, with seeded trouble and an oracle of the rules."""

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
COMMIT_S = 0.012  # from a report to its acknowledgement
HEARTBEAT_S = 1.0
START = 1000.0  # where time begins
TROUBLED_S = 40.0  # of a play from `trouble_of`
CALM_S = 230.0  # that it may then take


class Clock:
    """Virtual time: calls in their order."""

    def __init__(self) -> None:
        self.now = START
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (max(when, self.now), next(self._count), call))

    def later(self, delay: float, call: Callable[[], None]) -> None:
        self.at(self.now + delay, call)

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = until


@dataclass
class Trouble:
    """Shares of the calls: unanswered though carried out, never carried out, carried out 2 to 12 s later."""

    answer_lost: float = 0.0
    call_lost: float = 0.0
    late: float = 0.0


@dataclass
class Unit:
    """What the head wants done: one task, or the members of a gang, all of one run."""

    name: str
    work: TaskWork
    members: int = 1
    run: int = 0
    live: set[RunKey] = field(default_factory=set)
    outcomes: list[RunEnd] = field(default_factory=list)
    finished: bool = False
    cancelled: bool = False
    saved: str = ""

    def run_keys(self) -> list[RunKey]:
        return [RunKey(f"{self.name}.{index}", self.run) for index in range(self.members)]

    def needs(self) -> Resources:
        need = self.work.needs
        return Resources(need.cpu * self.members, need.mem_mb * self.members, need.gpu * self.members)


class HeadModel:
    """The head: commits ends, gives leases, and orders runs one after the other until every unit is finished."""

    def __init__(self, world: World, units: list[Unit], overcommit: float) -> None:
        self.world, self.units, self.overcommit = world, units, overcommit
        self.worker: WorkerInfo | None = None
        self.instance = ""  # where the live runs are
        self.noted: dict[str, set[int]] = {}
        self.lease_until = -math.inf
        self.ordered: dict[RunKey, RunOrder] = {}
        self.asked_at: dict[RunKey, float] = {}
        self.drained_at: dict[str, float] = {}
        self.done_at: dict[str, float] = {}
        self.never: dict[RunKey, float] = {}
        self.over: dict[RunKey, float] = {}
        self._session: Session | None = None

    def open(self, session: Session) -> None:
        self._session = session
        session.to_agent_welcome(session.epoch)

    def receive(self, session: Session, record: Record) -> None:
        if isinstance(record, LeaseRequest):
            self.lease_until = max(self.lease_until, (record.sent_ms + LEASE_MS) / 1000)
            session.to_agent(LeaseGrant(record.sent_ms, LEASE_MS))
        elif isinstance(record, WorkerUpdate):
            self._take_worker(session, record.info)
        elif isinstance(record, LifeOver):
            self._take_life_over(record.instance)
        elif isinstance(record, RunReport) and record.ends:
            self.world.clock.later(COMMIT_S, lambda: self._commit(session, record))

    def _take_worker(self, session: Session, info: WorkerInfo | None) -> None:
        fresh = info is not None and (self.worker is None or self.worker.instance != info.instance)
        self.worker = info
        if info is None:
            self._take_life_over(self.instance)
        elif info.draining:
            self.drained_at.setdefault(info.instance, self.world.clock.now)
        if fresh or not session.told:
            self._send_whole(session)
        self.place()

    def _send_whole(self, session: Session) -> None:
        life = self.instance if any(unit.live for unit in self.units) else (self.worker.instance if self.worker else "")
        if not life:
            return
        session.told.add(life)
        live = [key for unit in self.units for key in sorted(unit.live, key=lambda key: key.task)]
        cancelled = {key for unit in self.units if unit.cancelled for key in unit.live}
        orders = tuple(self.ordered[key] for key in live if key not in cancelled)
        session.to_agent(DesiredRuns(life, True, orders, tuple(sorted(cancelled, key=lambda key: key.task))))

    def _commit(self, session: Session, report: RunReport) -> None:
        if session is not self._session:
            return  # another head has taken over: nothing was committed
        for end in report.ends:
            if end.number:
                self.noted.setdefault(report.instance, set()).add(end.number)
            self._take_end(report.instance, end.key, end.how, end.checkpoint)
        session.to_agent(EndsNoted(report.instance, report.sequence))
        self.place()

    def _take_end(self, instance: str, key: RunKey, how: RunEnd, saved: str) -> None:
        unit = next((unit for unit in self.units if key in unit.live and instance == self.instance), None)
        if unit is None:
            return
        if how is RunEnd.NEVER:
            self.never[key] = self.world.clock.now
        self.over[key] = self.world.clock.now
        unit.live.discard(key)
        unit.outcomes.append(how)
        if saved and unit.work.checkpoints:
            unit.saved = saved
        if how is RunEnd.DONE:
            self.done_at[key.task] = self.world.clock.now
        if not unit.live and (unit.cancelled or RunEnd.DONE in unit.outcomes):
            unit.finished = True

    def _take_life_over(self, instance: str) -> None:
        if instance != self.instance:
            return
        for unit in self.units:
            for key in list(unit.live):
                self._take_end(instance, key, RunEnd.LOST, "")
        self.place()

    def place(self) -> None:
        """Order every unit that has nothing live and fits (or goes a little over, by chance)."""
        session, worker = self._session, self.worker
        if session is None or worker is None or worker.draining:
            return
        if self.instance != worker.instance and any(unit.live for unit in self.units):
            return
        self.instance = worker.instance
        if self.instance not in session.told:
            self._send_whole(session)
        orders: list[RunOrder] = []
        for unit in self.units:
            if not unit.finished and not unit.cancelled and not unit.live and self._fits(unit, worker.capacity):
                orders += self._order(unit)
        if orders:
            session.to_agent(DesiredRuns(worker.instance, False, tuple(orders), ()))

    def _fits(self, unit: Unit, capacity: Resources) -> bool:
        if self.world.random.random() < self.overcommit:
            return True
        taken = [live.needs() for live in self.units if live.live]
        need = unit.needs()
        return (
            sum(other.cpu for other in taken) + need.cpu <= capacity.cpu
            and sum(other.mem_mb for other in taken) + need.mem_mb <= capacity.mem_mb
        )

    def _order(self, unit: Unit) -> list[RunOrder]:
        unit.run += 1
        unit.outcomes = []
        orders = [RunOrder(key, unit.name, unit.saved, unit.work.needs) for key in unit.run_keys()]
        for order in orders:
            unit.live.add(order.key)
            self.ordered[order.key] = order
            self.asked_at[order.key] = self.world.clock.now
        return orders

    def cancel(self, unit: Unit) -> None:
        unit.cancelled = True
        if not unit.live:
            unit.finished = True
        elif self._session is not None:
            self._session.to_agent(DesiredRuns(self.instance, False, (), tuple(unit.live)))

    @property
    def finished(self) -> bool:
        return all(unit.finished for unit in self.units)


class Session:
    """A connection between agent and head: in order, with a delay; `cut`: it says nothing any more, either way."""

    def __init__(self, world: World, agent: Agent, epoch: int) -> None:
        self.world, self.agent, self.epoch = world, agent, epoch
        self.cut = self.closed = False
        self.told: set[str] = set()  # lives for which a whole list was sent
        self._last = {True: 0.0, False: 0.0}

    def _deliver(self, to_agent: bool, call: Callable[[], None]) -> None:
        at = max(self.world.clock.now + self.world.random.uniform(0.0005, 0.01), self._last[to_agent])
        self._last[to_agent] = at

        def arrive() -> None:
            if not self.cut and not self.closed:
                call()

        self.world.clock.at(at, arrive)

    def to_agent_welcome(self, epoch: int) -> None:
        self._deliver(True, lambda: self.world.act(self.agent, self.agent.session_opened(epoch, self.world.clock.now)))

    def to_agent(self, record: Record) -> None:
        copy = decode_any(encode_any(record))
        self._deliver(True, lambda: self.world.act(self.agent, self.agent.record_received(copy, self.world.clock.now)))

    def to_head(self, record: Record) -> None:
        copy = decode_any(encode_any(record))
        self._deliver(False, lambda: self.world.head.receive(self, copy))


class World:
    """The play. `agent` is None while its process is down."""

    def __init__(
        self, seed: int, units: list[Unit], trouble: Trouble | None = None, overcommit: float = 0.0, rate: float = 0.98
    ) -> None:
        self.random = random.Random(seed)
        self.clock = Clock()
        self.trouble = trouble or Trouble()
        self.units = {unit.name: unit for unit in units}
        self.profile = WorkerProfile(rate=rate)
        self.instance_numbers = count(1)
        self.worker = WorkerModel(self.profile, self._work, f"i-{next(self.instance_numbers)}", self.clock.now)
        self.silent = False  # the worker is cut off from its agent
        self.head = HeadModel(self, units, overcommit)
        self.epoch = 1
        self.core_up = True
        self.session: Session | None = None
        self.agent: Agent | None = None
        self.polls = 0
        self._waiters: list[tuple[Agent, PollCall, float, float]] = []
        self._timers: dict[int, float] = {}
        self.start_agent()
        self.clock.later(0.05, self._send_heartbeat)

    def _work(self, task: str, spec: str) -> TaskWork:
        return self.units[spec].work

    # ---- the agent's process -------------------------------------------------------------------------

    def start_agent(self) -> None:
        self.agent = Agent(AgentLimits(self.profile.hold_max_ms, HEARTBEAT_S), self.clock.now)
        self.clock.later(0.01, self.connect)

    def kill_agent(self, down_s: float) -> None:
        if self.agent is None:
            return
        self._waiters.clear()
        self.agent = None
        self._drop_session()
        self.clock.later(down_s, self.start_agent)

    def act(self, agent: Agent, actions: list[Action]) -> None:
        """Carry out what the agent asks; nothing of one that was killed."""
        if agent is not self.agent:
            return
        for action in actions:
            if isinstance(action, CallWorker):
                self._send_call(agent, action.call)
            elif isinstance(action, SendRecord):
                if self.session is not None:
                    self.session.to_head(action.record)
            else:
                self._drop_session()
                self.clock.later(0.05, self.connect)
        self._set_timer(agent)
        self.check()

    def _set_timer(self, agent: Agent) -> None:
        at = agent.next_timer()
        if at == math.inf or self._timers.get(id(agent)) == at:
            return
        assert at > self.clock.now, "the agent asks for a timer in the past"
        self._timers[id(agent)] = at
        self.clock.at(at, lambda: self._run_timer(agent, at))

    def _run_timer(self, agent: Agent, at: float) -> None:
        if agent is self.agent and agent.next_timer() <= at:
            self._timers.pop(id(agent), None)
            self.act(agent, agent.timer_expired(self.clock.now))

    # ---- sessions ------------------------------------------------------------------------------------

    def connect(self) -> None:
        if self.agent is None or self.session is not None:
            return
        if not self.core_up:
            self.clock.later(0.2, self.connect)
            return
        self.session = Session(self, self.agent, self.epoch)
        self.head.open(self.session)

    def _drop_session(self) -> None:
        if self.session is not None:
            self.session.closed = True
            self.session = None

    def lose_session(self) -> None:
        """The connection breaks, and both ends see it."""
        if self.session is None or self.agent is None:
            return
        self._drop_session()
        self.act(self.agent, self.agent.session_closed(self.clock.now))
        self.clock.later(0.1, self.connect)

    def fail_over(self) -> None:
        """Another member is the head; the old one's connection says nothing any more."""
        self.epoch += 1
        if self.session is not None:
            self.session.cut = True
        self.head._session = None

    def core_down(self, for_s: float) -> None:
        self.core_up = False
        self.fail_over()

        def back() -> None:
            self.core_up = True

        self.clock.later(for_s, back)

    # ---- the worker ----------------------------------------------------------------------------------

    def _send_heartbeat(self) -> None:
        self.clock.later(HEARTBEAT_S, self._send_heartbeat)
        if not self.worker.up or self.silent:
            return
        body = msgspec.json.encode(self.worker.beat(self.clock.now))
        instance = self.worker.instance

        def arrive() -> None:
            if self.agent is not None:
                info, clock_ms = read_heartbeat(instance, body)
                self.act(self.agent, self.agent.heartbeat_received(info, clock_ms, self.clock.now))

        self.clock.later(self.random.uniform(0.0002, 0.005), arrive)

    def crash_worker(self, down_s: float) -> None:
        if not self.worker.up:
            return
        self.worker.crash(self.clock.now)
        self._fail_waiters()

        def back() -> None:
            self.worker.restart(f"i-{next(self.instance_numbers)}", self.clock.now, self.random.uniform(0, 10_000))

        self.clock.later(down_s, back)

    def replace_worker(self, notice_s: float) -> None:
        """It drains, leaves, and another comes."""
        if not self.worker.up:
            return
        self.worker.drain(self.clock.now + notice_s)
        instance = self.worker.instance

        def leave() -> None:
            if self.worker.instance != instance or not self.worker.up:
                return
            if self.agent is not None and not self.silent:
                self.act(self.agent, self.agent.worker_left(instance, self.clock.now))
            self.crash_worker(1.0)

        self.clock.later(notice_s, leave)

    def _send_call(self, agent: Agent, call: WorkerCall) -> None:
        assert len(call.instance) and call.timeout_s < 4
        self.polls += isinstance(call, PollCall)
        sent_at = self.clock.now
        if not self.worker.up and self.random.random() < 0.5:
            self.clock.later(0.001, lambda: self._answer(agent, call, CallStatus.NOT_SENT, sent_at))
            return
        chance = self.random.random()
        trouble = self.trouble
        timeout = sent_at + call.timeout_s
        if self.silent or chance < trouble.call_lost:
            self.clock.at(timeout, lambda: self._answer(agent, call, CallStatus.UNCLEAR, sent_at))
        elif chance < trouble.call_lost + trouble.late:
            self.clock.later(self.random.uniform(2, 12), lambda: self._arrive(agent, call, sent_at, True, True))
            self.clock.at(timeout, lambda: self._answer(agent, call, CallStatus.UNCLEAR, sent_at))
        else:
            lost = chance < trouble.call_lost + trouble.late + trouble.answer_lost
            delay = self.random.uniform(0.0003, 0.02)
            self.clock.later(delay, lambda: self._arrive(agent, call, sent_at, lost, False))
            if lost:
                self.clock.at(timeout, lambda: self._answer(agent, call, CallStatus.UNCLEAR, sent_at))

    def _arrive(self, agent: Agent, call: WorkerCall, sent_at: float, lost: bool, late: bool) -> None:
        """The call reaches the worker."""
        if not self.worker.up:
            if not lost:
                self._answer(agent, call, CallStatus.UNCLEAR, sent_at)
            return
        body: Body = msgspec.json.decode(encode_request(call))
        if isinstance(call, PollCall):
            self._check_last_seen(call)
        status, answer = self.worker.call(request_path(call), body, call.instance, self.clock.now, late)
        self._plan_worker()
        self.check()
        if lost:
            return
        if isinstance(call, PollCall) and status == 200 and self.worker.hold_waits(body):
            self._waiters.append((agent, call, sent_at, self.clock.now + call.wait_ms / 1000))
            self.clock.later(call.wait_ms / 1000, self._serve_waiters)
            return
        self._respond(agent, call, sent_at, status, answer)

    def _respond(self, agent: Agent, call: WorkerCall, sent_at: float, status: int, body: Body) -> None:
        raw = msgspec.json.encode(body)

        def arrive() -> None:
            if agent is self.agent:
                answer = read_answer(call, status, raw, sent_at, self.clock.now)
                self.act(agent, agent.call_ended(call.number, answer, self.clock.now))

        self.clock.later(self.random.uniform(0.0003, 0.02), arrive)

    def _answer(self, agent: Agent, call: WorkerCall, status: CallStatus, sent_at: float) -> None:
        if agent is self.agent:
            answer = CallAnswer(status, sent_at, self.clock.now)
            self.act(agent, agent.call_ended(call.number, answer, self.clock.now))

    def _plan_worker(self) -> None:
        at = self.worker.next_event()
        if at < math.inf:
            self.clock.at(at, self._worker_event)

    def _worker_event(self) -> None:
        if self.worker.up:
            self.worker.advance(self.clock.now)
            self._plan_worker()
            self._serve_waiters()

    def _serve_waiters(self) -> None:
        waiting, self._waiters = self._waiters, []
        for agent, call, sent_at, until in waiting:
            due = self.clock.now >= until - 1e-9
            if due or not self.worker.hold_waits({"wait_ms": 1, "last_seen": call.last_seen}):
                self._respond(agent, call, sent_at, 200, self.worker.lists(call.last_seen, self.clock.now))
            else:
                self._waiters.append((agent, call, sent_at, until))

    def _fail_waiters(self) -> None:
        waiting, self._waiters = self._waiters, []
        for agent, call, sent_at, _ in waiting:
            self.clock.later(
                0.001,
                lambda agent=agent, call=call, sent_at=sent_at: self._answer(agent, call, CallStatus.UNCLEAR, sent_at),
            )

    # ---- the oracle ----------------------------------------------------------------------------------

    def _check_last_seen(self, call: PollCall) -> None:
        """The worker is told to forget noted ends only."""
        listed = {end.number for end in self.worker.ends if end.instance == call.instance and end.number}
        forgotten = {number for number in listed if number <= call.last_seen}
        assert forgotten <= self.head.noted.get(call.instance, set()), "an end is forgotten that was not noted"

    def check(self) -> None:
        """What must hold at any moment."""
        life = self.worker._life
        if life.runs:
            held_until = life.began_at + (life.held_until_ms - life.clock_offset_ms) / (1000 * self.profile.rate)
            assert held_until <= self.head.lease_until + 1e-6, "a hold outlives the lease"
            tasks = [run.task for run in life.runs.values()]
            assert len(tasks) == len(set(tasks)), f"two runs of one task at once: {sorted(tasks)}"

    def check_whole(self) -> None:
        """What must hold of the whole play."""
        for start in self.worker.starts:
            key = RunKey(start.task, start.run)
            assert not start.over, f"{start} goes over the capacity"
            assert key in self.head.ordered, f"{start} was not asked for"
            assert key not in self.head.never, f"{start} was reported never to run"
            assert start.at <= self.head.done_at.get(start.task, math.inf), f"{start} after the task was done"
            assert start.at <= self.head.over.get(key, math.inf), f"{start} after it was over"
            drained = self.head.drained_at.get(start.instance, math.inf)
            assert start.late or start.at <= drained + 0.05, f"{start} while it drains"

    def run(self, for_s: float) -> None:
        self.clock.run(self.clock.now + for_s)


def unit(name: str, seconds: float = 1.0, cpu: int = 1000, members: int = 1, **more: object) -> Unit:
    """A unit of work; `more` goes to its TaskWork."""
    gang = members if members > 1 else 0
    return Unit(name, TaskWork(seconds, Resources(cpu, 1024, 0), gang=gang, **more), members)  # type: ignore[arg-type]


def trouble_of(seed: int) -> World:
    """A play drawn from the seed: units, losses, late orders and events of every kind in its first 40 s."""
    drawn = random.Random(seed)
    units = [
        unit(
            f"u{number}.0.0",
            seconds=drawn.uniform(0.1, 5),
            cpu=drawn.choice([500, 1000, 3000]),
            members=drawn.choice([1, 1, 1, 2]),
            checkpoints=drawn.random() < 0.5,
        )
        for number in range(drawn.randint(5, 40))
    ]
    trouble = Trouble(drawn.choice([0, 0, 0.05, 0.2]), drawn.choice([0, 0, 0.05, 0.2]), drawn.choice([0, 0, 0.1, 0.5]))
    world = World(seed, units, trouble, drawn.choice([0, 0, 0.2]), drawn.choice([0.98, 0.99, 1.0]))
    for _ in range(drawn.randint(0, 12)):
        at = START + drawn.uniform(0.1, TROUBLED_S)
        world.clock.at(at, _event(world, drawn, units))
    return world


def _event(world: World, drawn: random.Random, units: list[Unit]) -> Callable[[], None]:
    unit_drawn, short, long = drawn.choice(units), drawn.uniform(0.05, 3), drawn.uniform(0.3, 15)

    def silence() -> None:
        world.silent = True
        world.clock.later(long, lambda: setattr(world, "silent", False))

    return drawn.choice(
        [
            lambda: world.kill_agent(short),
            world.lose_session,
            world.fail_over,
            lambda: world.core_down(long),
            lambda: world.crash_worker(long),
            lambda: world.replace_worker(short * 2),
            silence,
            lambda: world.head.cancel(unit_drawn),
        ]
    )


def play(seed: int) -> World:
    """Play trouble and then calm; raises AssertionError for whatever the oracle holds against the agent."""
    world = trouble_of(seed)
    world.run(TROUBLED_S)
    world.trouble = Trouble()
    until = world.clock.now + CALM_S
    while not world.head.finished and world.clock.now < until:
        world.run(10.0)
    world.check_whole()
    assert world.head.finished, f"unfinished: {[unit.name for unit in units_open(world)]}"
    return world


def units_open(world: World) -> list[Unit]:
    """What the head still waits for."""
    return [unit for unit in world.head.units if not unit.finished]
