"""The scheduler's records: steps, queues, pools and runs, and their order within a queue.

Within a queue the steps stand in *lanes* of nearly equal needs, so that one look at the head of each lane finds what
fits. A lane is ordered by urgency: first what can still be in time, by its latest start and the size of its job, then
what is late, by its objective.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from math import inf

from millethead.execution.messages import Resources
from millethead.scheduling.model import PendingStep, PendingTask, QueueSpec, StepKey, WaitReason
from millethead.scheduling.placement import NOTHING, UNBOUNDED, Demand, Host, Hosts, plus, share, times
from millethead.scheduling.tags import ArrivalRate, TagSchedule

HOPELESS_SHARE = 0.8  # part of the chain by estimate without which a step cannot be in time; estimates are rough
LATE_SHARE = 1.2  # part of the chain by estimate that must fit before the objective: room turns over, runs fail
ESTIMATE_MOVE = 0.05  # how far the means of a queue move with each step; the first ones count alike
RATE_WINDOW_S = 10.0  # window in which the arrival of work is measured
GROWTHS_KEPT = 256
LARGE_MEMORY_S = 20.0
FLOOR_STEP = 0.25  # floor of a priority, as part of that of the next better one
WEIGHT_STEP = 8.0  # weight of a priority over the next lower one
LEAST_SLACK_S = 0.1
SIZE_DELAY = 0.5  # times the slack of its queue by which a job of mean work goes later
OVERLOAD_SIZE_DELAY = 3.0  # the same under overload
OVERLOAD_SHARE = 0.5  # part of the slack that the work which waits takes under overload
LEAST_RATE = 0.1  # slots per second
FIRST_RATE = 1.0  # slots per second that a queue is taken to bring before any is measured


@dataclass(frozen=True, slots=True)
class Shape:
    """What the steps of one lane have in common: cores up to a factor of two, and most of what else decides where they
    fit."""

    cpu_bits: int
    gpu: int
    gang: bool
    requires: str
    near: bool


@dataclass(slots=True, eq=False)
class Run:
    """A booked run of a task. `number` is 0 until it is known. `started`: when this scheduler learnt of it;
    `inherited`: it had begun before that. `ran_s`: how long it ran, once it is over and if its agent saw it from its
    beginning."""

    step: Step
    index: int
    instance: str
    needs: Resources
    started: float
    checkpoint: str = ""
    number: int = 0
    inherited: bool = False
    ran_s: float | None = None
    stopping: bool = False

    @property
    def name(self) -> tuple[StepKey, int, str]:
        """Step, index and instance."""
        return self.step.key, self.index, self.instance


@dataclass(slots=True, eq=False)
class Step:
    """A step as the scheduler keeps it."""

    spec: PendingStep
    flow: Flow
    order: int  # rises with each step
    tasks: dict[int, PendingTask] = field(default_factory=dict)
    occupied: dict[int, set[str]] = field(default_factory=dict)  # instances at which a task has a run
    on_host: dict[str, int] = field(default_factory=dict)
    runs: dict[Run, None] = field(default_factory=dict)
    lane: Lane | None = None
    late: bool = False
    tested_at: int = -1  # growth of the pool at the last look that found no place
    look_at: float = inf  # when another look is due though no room has grown
    reason: WaitReason = WaitReason.READY
    tagged: int = 0  # units that have a tag
    counted: int = 0  # waiting tasks that the backlog of the service counts
    room_bound: int = 0  # members of a gang for which there is room at most
    arrived: float = inf  # when its first task waited
    idle_since: float = inf  # since when none of its tasks has a run
    plain: bool = field(init=False)  # its needs and labels decide where there is room
    reserve_at: float = -inf  # no room is kept for it before
    preempt_at: float = -inf  # nothing is stopped for it before
    shape: Shape = field(init=False)  # the lane in which it belongs
    urgency: float = field(init=False)  # the smallest goes first of what can be in time

    def __post_init__(self) -> None:
        self.shape = self._shape()
        self.plain = not (self.spec.gang or self.spec.anti_affinity)
        self.urgency = self.safe_start + self.flow.size_delay(self.spec.work_left)

    @property
    def key(self) -> StepKey:
        """Its name."""
        return self.spec.key

    @property
    def latest_start(self) -> float:
        """The time after which it can hardly be in time even if nothing goes wrong."""
        return self.spec.objective_at - HOPELESS_SHARE * (self.spec.estimate_s + self.spec.tail_s)

    @property
    def safe_start(self) -> float:
        """The time after which it will rather be late: what waits with it goes first from then on."""
        return self.spec.objective_at - LATE_SHARE * (self.spec.estimate_s + self.spec.tail_s)

    @property
    def units(self) -> int:
        """What may be placed now: waiting tasks, or 1 for a whole gang."""
        if not self.spec.gang:
            return len(self.tasks)
        return int(len(self.tasks) >= self.spec.count and not self.occupied)

    @property
    def members(self) -> int:
        """Tasks in one unit."""
        return self.spec.count if self.spec.gang else 1

    def demand(self, now: float, shunned: frozenset[str] = frozenset(), unconditional: bool = False) -> Demand:
        """What one unit asks for, if it is placed now."""
        spec = self.spec
        return Demand(
            self,
            spec.needs,
            spec.requires,
            spec.anti_affinity or UNBOUNDED,
            self.on_host,
            self.flow.spec.priority,
            inf if spec.long_running else now + spec.estimate_s,
            shunned,
            unconditional,
        )

    def wait(self, until: float, reason: WaitReason) -> None:
        """It waits by choice, until then at most."""
        self.look_at = min(self.look_at, until)
        self.reason = reason

    def occupy(self, index: int, instance: str) -> None:
        """A task has a run at an instance."""
        instances = self.occupied.setdefault(index, set())
        if instance not in instances:
            instances.add(instance)
            self.on_host[instance] = self.on_host.get(instance, 0) + 1

    def vacate(self, index: int, instance: str) -> None:
        """A task's run at an instance is over."""
        instances = self.occupied.get(index, set())
        if instance not in instances:
            return
        instances.remove(instance)
        if not instances:
            del self.occupied[index]
        self.on_host[instance] -= 1
        if not self.on_host[instance]:
            del self.on_host[instance]

    def _shape(self) -> Shape:
        spec = self.spec
        return Shape(
            spec.needs.cpu.bit_length(),
            spec.needs.gpu,
            spec.gang,
            spec.requires,
            bool(spec.affinity),
        )


Entry = tuple[float, int, Step]


class Lane:
    """Steps of one shape, by urgency."""

    __slots__ = ("timely", "late", "tested_at", "look_at", "least")

    def __init__(self, least: Resources) -> None:
        self.least = least  # no step needs less of any kind
        self.timely: list[Entry] = []  # by urgency
        self.late: list[Entry] = []  # by objective
        self.tested_at = -1
        self.look_at = inf

    def add(self, step: Step, now: float) -> None:
        """Take in a step that has a unit waiting."""
        step.late = step.safe_start < now
        insort(self._list(step), self._entry(step))
        step.lane = self
        self.tested_at = -1
        needs, least = step.spec.needs, self.least
        if needs.cpu < least.cpu or needs.mem_mb < least.mem_mb:
            self.least = Resources(min(needs.cpu, least.cpu), min(needs.mem_mb, least.mem_mb), least.gpu)

    def remove(self, step: Step) -> None:
        """Take out a step."""
        entries = self._list(step)
        del entries[bisect_left(entries, self._entry(step))]
        step.lane = None

    def head(self, now: float) -> tuple[bool, float, int]:
        """How urgent the first step is; the smallest goes first."""
        self._demote(now)
        entries = self.timely or self.late
        return not self.timely, entries[0][0], entries[0][1]

    def __iter__(self) -> Iterator[Step]:
        for entries in (self.timely, self.late):
            for _, _, step in entries:
                yield step

    def __bool__(self) -> bool:
        return bool(self.timely or self.late)

    def _demote(self, now: float) -> None:
        while self.timely and self.timely[0][2].safe_start < now:
            step = self.timely.pop(0)[2]
            step.late = True
            insort(self.late, self._entry(step))

    def _list(self, step: Step) -> list[Entry]:
        return self.late if step.late else self.timely

    @staticmethod
    def _entry(step: Step) -> Entry:
        return (step.spec.objective_at if step.late else step.urgency), step.order, step


@dataclass(slots=True, eq=False)
class Flow:
    """The waiting steps of one queue at one service."""

    name: str
    spec: QueueSpec
    pool: Pool
    rate: ArrivalRate = field(default_factory=lambda: ArrivalRate(RATE_WINDOW_S, FIRST_RATE))
    demand: ArrivalRate = field(default_factory=lambda: ArrivalRate(RATE_WINDOW_S))  # core-seconds a second that come
    demand_since: float = inf  # when the first of it came
    in_use: float = 0.0  # cores that its runs take, but for tasks that last
    estimate_s: float = 1.0  # mean of the estimates, moving
    learnt: int = 0  # steps that the means rest on
    mean_work: float = 0.0  # the same of the work left in a job, core-seconds
    lanes: dict[Shape, Lane] = field(default_factory=dict)
    steps: int = 0  # steps known

    def learn(self, spec: PendingStep) -> None:
        """A step has come: the means move."""
        self.learnt += 1
        move = max(ESTIMATE_MOVE, 1.0 / self.learnt)
        self.estimate_s += move * (spec.estimate_s - self.estimate_s)
        self.mean_work += move * (spec.work_left - self.mean_work)

    def size_delay(self, work: float) -> float:
        """Seconds by which a unit of a job with so much work left goes later than its latest start says: where not all
        can be in time, many small jobs are worth more than the large one that would take their place. The more so, the
        more work waits: a backlog that takes a good part of the slack makes most jobs late."""
        if self.mean_work <= 0.0:
            return 0.0
        overload = min(1.0, self.pool.backlog_s / (OVERLOAD_SHARE * self.slack))
        weight = SIZE_DELAY + (OVERLOAD_SIZE_DELAY - SIZE_DELAY) * overload
        return weight * self.slack * work / self.mean_work

    @property
    def slack(self) -> float:
        """Seconds that a job of the queue may lose by waiting, by the mean estimate of its steps."""
        return max(LEAST_SLACK_S, self.spec.target_s + (self.spec.skew - 1.0) * self.estimate_s)

    def shares(self, now: float) -> tuple[float, float]:
        """Floor M_i and weight w_i, in slot-starts per second; see `scheduler`."""
        rate = max(self.rate.rate(now), LEAST_RATE)
        return rate * FLOOR_STEP**self.spec.priority, rate * WEIGHT_STEP**-self.spec.priority / self.slack


@dataclass(slots=True, eq=False)
class Reservation:
    """Room kept for a step: `shares` says how much at which instance."""

    step: Step
    start_at: float
    shares: dict[str, Resources]
    preempts: bool = False  # runs are being stopped for it

    @property
    def holder(self) -> object:
        """The step for which it is kept."""
        return self.step

    @property
    def priority(self) -> int:
        """The priority of the step's queue."""
        return self.step.flow.spec.priority


@dataclass(slots=True, eq=False)
class Pool:
    """The workers of one service and the queues that compete for them.

    Whatever did not fit is looked at again only on the hosts that have grown since: `growth` numbers the growths, and
    the last of them are kept with their hosts.
    """

    service: str
    hosts: Hosts = field(default_factory=Hosts)
    flows: dict[str, Flow] = field(default_factory=dict)
    tags: TagSchedule = field(default_factory=TagSchedule)
    large: Resources = NOTHING  # needs of the largest kind of task seen lately: room for it is not broken up
    large_until: float = -inf
    growth: int = 0
    dirty: bool = True
    look_at: float = inf
    make_room_at: float = -inf  # no room is kept or made before
    reservations: dict[StepKey, Reservation] = field(default_factory=dict)
    little_used_since: float = inf  # see `starvation`
    busy_since: float = -inf  # since when more is in use; infinite while it is little used
    waiting: Resources = NOTHING  # needs of all tasks that wait, times the milliseconds that they take by estimate
    least_health: float = 0.0  # the factor that even a worker that is avoided has; see `trust`
    _grown: list[Host] = field(default_factory=list)
    _since: tuple[int, int] = (-1, -1)  # the last answer of `grown_since`: from where to where
    _since_hosts: list[Host] = field(default_factory=list)

    @property
    def backlog_s(self) -> float:
        """Seconds that all workers together need for what waits, by estimate."""
        return share(self.waiting, self.hosts.capacity) / 1000.0

    def count_waiting(self, step: Step) -> None:
        """Bring the backlog in line with the tasks of a step that wait."""
        task_ms = int(1000 * step.spec.estimate_s)
        self.waiting = plus(self.waiting, times(step.spec.needs, (len(step.tasks) - step.counted) * task_ms))
        step.counted = len(step.tasks)

    def first_steps(self, count: int) -> Iterator[Step]:
        """The first steps of each lane."""
        lanes = (lane for flow in self.flows.values() for lane in flow.lanes.values())
        return (step for lane in lanes for step in islice(lane, count))

    def grew(self, host: Host | None = None) -> None:
        """Something may fit now on this host; None: anywhere."""
        self.growth += 1
        self.dirty = True
        if host is None or len(self._grown) >= GROWTHS_KEPT:
            self._grown.clear()
        else:
            self._grown.append(host)

    def grown_since(self, growth: int) -> list[Host] | None:
        """The hosts that have grown since then; None: possibly all."""
        number = self.growth - growth
        if growth < 0 or number > len(self._grown):
            return None
        if (self.growth, growth) != self._since:
            known = self.hosts.by_instance
            grown = dict.fromkeys(self._grown[len(self._grown) - number :])
            self._since_hosts = [host for host in grown if known.get(host.instance) is host]
            self._since = self.growth, growth
        return self._since_hosts

    def shrank(self) -> None:
        """A host has left."""
        self._since = -1, -1
        self.dirty = True

    def most_room_since(self, growth: int) -> Resources | None:
        """The most free room of each kind on a host that has grown since then; None: possibly anything."""
        grown = self.grown_since(growth)
        if grown is None:
            return None
        return Resources(
            max((host.free.cpu for host in grown), default=0),
            max((host.free.mem_mb for host in grown), default=0),
            max((host.free.gpu for host in grown), default=0),
        )

    def note_large(self, needs: Resources, now: float) -> None:
        """A kind of task has arrived: the largest is remembered for a while."""
        if now >= self.large_until or share(needs, self.hosts.largest) >= share(self.large, self.hosts.largest):
            self.large = needs
            self.large_until = now + LARGE_MEMORY_S
