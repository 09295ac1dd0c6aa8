"""The whole system in virtual time, by a seed: heads, agents and workers as they are, and everything around them
emulated, with troubles of every kind and an oracle of the rules.

A history has troubles for some seconds and ends with a calm time, in which every job that can be done has to get done.
"""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from millethead.control.state import ControlState
from millethead.execution.calls import WorkerCall
from millethead.execution.messages import Resources
from millethead.lab.core_time import Timeline
from millethead.lab.streamed import UncommittedConfiguration
from millethead.lab.system_clients import HOST, Clients, Dispatcher, Operator
from millethead.lab.system_core import Core, HeadProcess
from millethead.lab.system_facts import Violation
from millethead.lab.system_jobs import FAR_X, KINDS, RACKS, JobMaker
from millethead.lab.system_oracle import Oracle
from millethead.lab.system_side import SideMachine
from millethead.lab.system_troubles import TROUBLES, Troubles, TroubleSettings
from millethead.lab.system_wire import Wire
from millethead.lab.system_worker import Condition, GangRegistry, SystemWorker
from millethead.lab.worker import TaskWork, WorkerProfile
from millethead.replication.log_position import LogPosition

FIRST_JOB_S = 0.5
HEAL_S = 2.0  # from the end of the troubles until all machines are back
SETTLE_S = 15.0  # of calm, until nothing may wait for long any more
LEAST_CALM_S = 20.0
MOST_CALM_S = 200.0
LOOK_S = 0.5
MOST_BURSTS = 4  # so that what they bring can be done in the calm
SLOW_X = 5.0
LEAST = Resources(6000, 12_000, 2)  # of any worker
OFTEN = ("head", "head", "head", "chain", "session", "cut", "calls")  # kinds that come more often than others
QUEUES, SERVICES = ("fast", "slow", "other"), ("alpha", "beta")


@dataclass(frozen=True, slots=True)
class WorldSettings(TroubleSettings):
    """`job_gap_s` between jobs on average; `work_x`: factor of all work; `kinds` of trouble: None draws them."""

    job_gap_s: float = 0.7
    work_x: float = 1.0
    kinds: tuple[str, ...] | None = None


@dataclass(slots=True)
class History:
    """What came of one history. `fault` is empty where everything held; `rule` is the one that is broken."""

    seed: int
    fault: str = ""
    rule: str = ""
    place: str = ""
    seconds: float = 0.0
    events: int = 0
    epochs: int = 0
    entries: int = 0
    jobs: int = 0
    accepted: int = 0
    done: int = 0
    failed: int = 0
    starts: int = 0
    looks: int = 0
    ends: dict[str, int] = field(default_factory=dict)
    disruptions: list[tuple[float, str]] = field(default_factory=list)


class SystemWorld:
    """One history; `play` runs it."""

    def __init__(self, seed: int, settings: WorldSettings) -> None:
        self.random = Random(seed)
        self.timeline = Timeline()
        self.history = History(seed)
        self._settings = settings
        self.sides: list[SideMachine] = []
        self.oracle = Oracle(self.timeline, lambda: ((side.node, side.worker) for side in self.sides))
        self._gangs = GangRegistry()
        self._lives = self._bursts = 0
        self.core = Core(self.timeline, self.random, self)
        self.dispatchers: list[Dispatcher] = []
        self.core.begin(0)
        for number in range(3):
            self.dispatchers.append(
                Dispatcher(f"d{number}", self.timeline, self.random, self._connect_caller, self.oracle.streamed.told)
            )
        self.clients = Clients(self.timeline, self.random, self.dispatchers, self.oracle, lambda queue: f"/{queue}/")
        self.operator = Operator(self.timeline, self.random, self.dispatchers, self._configured)
        for number in range(self.random.randint(4, 7)):
            self._add_side(SERVICES[number % 2], number)
        kinds = self._kinds()
        self.oracle.jumps = "clock" in kinds
        self._maker = JobMaker(self.random, LEAST, self.random.choice((0.0, 0.03, 0.1)), settings.work_x)
        self._routes = {"fast": "alpha", "slow": "alpha", "other": "beta"}
        self._retries = {queue: self.random.randint(2, 4) for queue in QUEUES}
        self.operator.change(self._document())
        self.troubles = Troubles(self, self.random, self.oracle.troubles, kinds, settings)
        self.timeline.after(FIRST_JOB_S, self._next_job)

    def _kinds(self) -> list[str]:
        """The kinds of trouble of this history: none, few, or all."""
        if self._settings.kinds is not None:
            return list(self._settings.kinds)
        chance = self.random.random()
        if chance < 0.05:
            return []
        if chance < 0.6:
            few = self.random.sample(sorted(TROUBLES), self.random.randint(1, 4))
            return [*few, "head"] if self.random.random() < 0.5 else few
        return [*sorted(TROUBLES), *OFTEN]

    # ---- machines ----------------------------------------------------------------------------------------

    def _add_side(self, service: str, number: int) -> None:
        random = self.random
        node = f"side-{number}"
        capacity = Resources(
            LEAST.cpu * random.randint(1, 2), LEAST.mem_mb * random.randint(1, 2), LEAST.gpu * random.randint(1, 2)
        )
        labels = (KINDS[number // 2 % 2], RACKS[number // 2 % 2])
        profile = WorkerProfile(
            service,
            node,
            "zone",
            "v1",
            8,
            capacity,
            labels,
            guards=random.random() < 0.3,
            rate=random.choice((0.98, 0.99, 1.0)),
        )
        self._lives += 1
        worker = SystemWorker(
            profile,
            lambda task, spec: self._work(worker, task),
            f"i-{self._lives}",
            self.timeline.now,
            self._gangs,
            self.oracle,
            lambda: side.plan_worker(),
        )
        side = SideMachine(node, worker, self.timeline, random, self)
        self.sides.append(side)

    def add_side(self) -> None:
        if len(self.sides) < 12:
            self._add_side(self.random.choice(SERVICES), len(self.sides))

    def new_life(self, side: SideMachine) -> None:
        self._lives += 1
        side.worker.set_condition(Condition.SOUND, self.timeline.now)
        side.start_worker(f"i-{self._lives}")

    def may_lose_for_good(self, side: SideMachine) -> bool:
        profile = side.worker.profile
        others = [
            other.worker.profile
            for other in self.sides
            if other is not side and not other.removed and (other.worker.up or other.process is not None)
        ]
        alike = [other for other in others if other.service == profile.service]
        return sum(other.labels[0] == profile.labels[0] for other in alike) >= 2

    def _work(self, worker: SystemWorker, name: str) -> TaskWork:
        """How one run of a task fares at a worker."""
        job, _, number, _ = name.split(".")
        step = self.oracle.jobs[job].plan.steps[int(number)]
        fails = worker.condition is Condition.FAILS_ALL or self.random.random() < step.fail_share
        seconds = step.seconds * (FAR_X if step.affinity and step.affinity not in worker.profile.labels else 1.0)
        if fails and not step.long_running:
            seconds *= self.random.uniform(0.05, 1)
        if worker.condition is Condition.SLOW:
            seconds *= SLOW_X
        return TaskWork(
            seconds, step.needs, "failed" if fails else "done", step.count if step.gang else 0, step.checkpoints
        )

    # ---- connections -------------------------------------------------------------------------------------

    def _member(self) -> HeadProcess | None:
        """Whoever a program takes for the head: seldom one that is not any more."""
        stale = [process for process in self.core.stale if not process.frozen]
        if stale and self.random.random() < 0.3:
            return self.random.choice(stale)
        return self.core.head

    def connect(self, side: SideMachine) -> Wire | None:
        return self._connect_caller()

    def _connect_caller(self) -> Wire | None:
        process = self._member()
        if process is None:
            return None
        wire = Wire(self.timeline, self.random)
        process.accept(wire.far)
        return wire

    def drain_acknowledged(self, instance: str) -> None:
        self.oracle.drain_acknowledged(instance)

    def ordered(self, side: SideMachine, epoch: int, call: WorkerCall) -> None:
        if call.fence < epoch:
            raise Violation("FENCE", f"{side.node} orders with {call.fence}, and epoch {epoch} has begun")

    # ---- the core ----------------------------------------------------------------------------------------

    def committed(self, place: LogPosition, state: ControlState) -> None:
        self.history.entries += 1
        self.oracle.streamed.committed(state.configuration)

    def new_head(self, head: HeadProcess) -> None:
        for dispatcher in self.dispatchers:
            self.timeline.after(self.random.uniform(0, 0.5), dispatcher.head_changed)

    def head_gone(self, head: HeadProcess) -> None:
        """Sessions were closed by the process itself."""

    # ---- clients and the operator ------------------------------------------------------------------------

    def _document(self) -> dict[str, Any]:
        routes = [
            {
                "name": queue,
                "host": HOST,
                "path_prefix": f"/{queue}/",
                "timeout_ms": 3000,
                "target_ms": 500,
                "prio": number,
                "service": service,
                "retries": self._retries[queue],
                "skew": 2.0,
            }
            for number, (queue, service) in enumerate(self._routes.items())
        ]
        return {"routes": routes, "services": [{"name": service} for service in SERVICES]}

    def _configured(self, document: dict[str, Any]) -> None:
        for route in document["routes"]:
            self.oracle.services.setdefault(route["name"], set()).add(route["service"])

    def change_configuration(self) -> None:
        """A queue goes to another service, or is dropped, or comes back."""
        if self.operator.busy:
            return
        queue = self.random.choice(QUEUES)
        if queue in self._routes and self.random.random() < 0.4:
            del self._routes[queue]
        else:
            self._routes[queue] = self.random.choice(SERVICES)
        self.operator.change(self._document())

    def _next_job(self) -> None:
        if self.timeline.now >= self._settings.trouble_s:
            return
        self._submit()
        self.timeline.after(self.random.expovariate(1 / self._settings.job_gap_s), self._next_job)

    def _submit(self, size: int = 1) -> None:
        queue = self.random.choice(QUEUES)
        job = self._maker.draw(queue, self.timeline.now, size)
        self.oracle.add_job(job, self._retries[queue])
        self.history.jobs += 1
        self.clients.submit(job)
        if job.lasting or self.random.random() < 0.1:
            after = self.random.uniform(0.0, self._settings.trouble_s + 12.0)
            self.timeline.after(after, lambda: self.clients.cancel(job))

    def burst(self) -> None:
        self._bursts += 1
        if self._bursts > MOST_BURSTS:
            return
        for _ in range(self.random.randint(3, 8)):
            self._submit(self.random.choice((1, 1, 5)))

    def cancel_many(self) -> None:
        for facts in list(self.oracle.jobs.values())[-6:]:
            if facts.accepted_at <= self.timeline.now and self.random.random() < 0.5:
                self.clients.cancel(facts.plan)

    # ---- the play ----------------------------------------------------------------------------------------

    def play(self) -> History:
        """Run the history and return it, with the fault if there is one."""
        try:
            self._play()
        except Violation as fault:
            self._fault(fault, fault.rule)
        except UncommittedConfiguration as fault:
            self._fault(fault, "CONFIG")
        except Exception as fault:  # anything that a program would die of
            self._fault(fault, type(fault).__name__)
        self._count()
        return self.history

    def _fault(self, fault: Exception, rule: str) -> None:
        frames = [frame for frame in traceback.extract_tb(fault.__traceback__) if "system_" not in frame.filename]
        self.history.place = f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}" if frames else ""
        self.history.fault, self.history.rule = f"{self.timeline.now:.3f} s: {fault}", rule

    def _play(self) -> None:
        self.timeline.run(self._settings.trouble_s)
        self._calm()
        calm_at = self.timeline.now + HEAL_S
        self.timeline.run(calm_at + SETTLE_S)
        while self.timeline.now < calm_at + MOST_CALM_S:
            self.timeline.run(self.timeline.now + LOOK_S)
            self.oracle.idle.look_for_idle()
            if self.timeline.now > calm_at + LEAST_CALM_S and not self.oracle.idle.unfinished():
                break
        left = self.oracle.idle.unfinished()
        if left:
            raise Violation("LOST", f"not done {MOST_CALM_S} s after the troubles: {left}")
        self._ask_for_all()
        self.oracle.finish()

    def _calm(self) -> None:
        """All troubles end."""
        for side in self.sides:
            if side.removed:
                continue
            side.trouble = type(side.trouble)()
            side.silent, side.held_back = False, 0.0
            side.worker.healthy = True
            side.worker.set_condition(Condition.SOUND, self.timeline.now)
            if side.frozen:
                side.thaw()
            if side.cut:
                side.set_cut(False)
            self.timeline.after(self.random.uniform(0, HEAL_S), side.start_agent)
        for clock in self.core.clocks:
            clock.wall_error_ms = 0.0
        for dispatcher in self.dispatchers:
            dispatcher.thaw()
        self.clients.cancelling_early = 0.0
        self.timeline.after(HEAL_S, self.core.heal)
        self.clients.answer_loss = 0.0

    def _ask_for_all(self) -> None:
        """Every job is known, and answers come in time."""
        self.clients.polling_until = 0.0
        asked: Counter[str] = Counter()
        wanted = [facts for facts in self.oracle.idle.known() if facts.plan.queue in self._routes]
        for facts in wanted:
            self.clients.polling_until = self.timeline.now
            self.clients.poll_state(facts.plan, lambda name: asked.update([name]))
        self.timeline.run(self.timeline.now + 3.0)
        missing = [facts.plan.name for facts in wanted if not asked[facts.plan.name]]
        if missing:
            raise Violation("LOST", f"no state is answered for {missing}")

    def workers(self) -> Iterable[SystemWorker]:
        """All workers."""
        return (side.worker for side in self.sides)

    def _count(self) -> None:
        history = self.history
        history.seconds, history.events, history.disruptions = (
            self.timeline.now,
            self.timeline.events,
            self.troubles.applied,
        )
        history.epochs, history.starts, history.ends = self.core.epoch, self.oracle.starts, self.oracle.ends
        history.looks = sum(side.looks for side in self.sides)
        for facts in self.oracle.jobs.values():
            history.accepted += facts.accepted_at < float("inf")
            history.done += facts.final == "done"
            history.failed += facts.final == "failed"


def play(seed: int, settings: WorldSettings | None = None) -> History:
    """One history by its seed."""
    return SystemWorld(seed, settings or WorldSettings()).play()
