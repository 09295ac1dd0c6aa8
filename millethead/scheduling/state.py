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
from millethead.scheduling.placement import NOTHING, UNLIMITED_TASKS, Demand, Host, Hosts, add, dominant_share, scale
from millethead.scheduling.tags import ArrivalRate, TagSchedule

LATEST_START_CHAIN_FACTOR = (
    0.8  # part of the chain by estimate without which a step cannot be in time; estimates are rough
)
SAFE_START_CHAIN_FACTOR = (
    1.2  # part of the chain by estimate that must fit before the objective: room turns over, runs fail
)
ESTIMATE_SMOOTHING = 0.05  # how far the means of a queue move with each step; the first ones count alike
RATE_WINDOW_S = 10.0  # window in which the arrival of work is measured
MAX_GROWN_HOSTS = 256
LARGE_NEEDS_MEMORY_S = 20.0
FLOOR_RATIO = 0.25  # floor of a priority, as part of that of the next better one
WEIGHT_RATIO = 8.0  # weight of a priority over the next lower one
MIN_SLACK_S = 0.1
SIZE_DELAY_FACTOR = 0.5  # times the slack of its queue by which a job of mean work goes later
OVERLOAD_SIZE_DELAY_FACTOR = 3.0  # the same under overload
OVERLOAD_SLACK_FRACTION = 0.5  # part of the slack that the work which waits takes under overload
MIN_RATE = 0.1  # slots per second
INITIAL_RATE = 1.0  # slots per second that a queue is taken to bring before any is measured


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
    runtime_s: float | None = None
    stopping: bool = False

    @property
    def key(self) -> tuple[StepKey, int, str]:
        """Step, index and instance."""
        return self.step.key, self.index, self.instance


@dataclass(slots=True, eq=False)
class Step:
    """A step as the scheduler keeps it."""

    spec: PendingStep
    queue: QueueState
    order: int  # rises with each step
    tasks: dict[int, PendingTask] = field(default_factory=dict)
    run_instances: dict[int, set[str]] = field(default_factory=dict)  # instances at which a task has a run
    tasks_by_instance: dict[str, int] = field(default_factory=dict)
    runs: dict[Run, None] = field(default_factory=dict)
    bucket: ShapeBucket | None = None
    late: bool = False
    tried_generation: int = -1  # growth of the pool at the last look that found no place
    retry_at: float = inf  # when another look is due though no room has grown
    reason: WaitReason = WaitReason.READY
    tagged_units: int = 0  # units that have a tag
    backlog_tasks: int = 0  # waiting tasks that the backlog of the service counts
    gang_capacity_bound: int = 0  # members of a gang for which there is room at most
    arrived_at: float = inf  # when its first task waited
    idle_since: float = inf  # since when none of its tasks has a run
    is_simple: bool = field(init=False)  # its needs and labels decide where there is room
    reserve_at: float = -inf  # no room is kept for it before
    preempt_at: float = -inf  # nothing is stopped for it before
    shape: Shape = field(init=False)  # the lane in which it belongs
    urgency: float = field(init=False)  # the smallest goes first of what can be in time

    def __post_init__(self) -> None:
        self.shape = self._shape()
        self.is_simple = not (self.spec.gang or self.spec.anti_affinity)
        self.urgency = self.safe_start + self.queue.size_delay(self.spec.work_left)

    @property
    def key(self) -> StepKey:
        """Its name."""
        return self.spec.key

    @property
    def latest_start(self) -> float:
        """The time after which it can hardly be in time even if nothing goes wrong."""
        return self.spec.objective_at - LATEST_START_CHAIN_FACTOR * (self.spec.estimate_s + self.spec.tail_s)

    @property
    def safe_start(self) -> float:
        """The time after which it will rather be late: what waits with it goes first from then on."""
        return self.spec.objective_at - SAFE_START_CHAIN_FACTOR * (self.spec.estimate_s + self.spec.tail_s)

    @property
    def units(self) -> int:
        """What may be placed now: waiting tasks, or 1 for a whole gang."""
        if not self.spec.gang:
            return len(self.tasks)
        return int(len(self.tasks) >= self.spec.count and not self.run_instances)

    @property
    def members(self) -> int:
        """Tasks in one unit."""
        return self.spec.count if self.spec.gang else 1

    def demand(self, now: float, excluded: frozenset[str] = frozenset(), unconditional: bool = False) -> Demand:
        """What one unit asks for, if it is placed now."""
        spec = self.spec
        return Demand(
            self,
            spec.needs,
            spec.requires,
            spec.anti_affinity or UNLIMITED_TASKS,
            self.tasks_by_instance,
            self.queue.spec.priority,
            inf if spec.long_running else now + spec.estimate_s,
            excluded,
            unconditional,
        )

    def wait(self, until: float, reason: WaitReason) -> None:
        """It waits by choice, until then at most."""
        self.retry_at = min(self.retry_at, until)
        self.reason = reason

    def add_run(self, index: int, instance: str) -> None:
        """A task has a run at an instance."""
        instances = self.run_instances.setdefault(index, set())
        if instance not in instances:
            instances.add(instance)
            self.tasks_by_instance[instance] = self.tasks_by_instance.get(instance, 0) + 1

    def remove_run(self, index: int, instance: str) -> None:
        """A task's run at an instance is over."""
        instances = self.run_instances.get(index, set())
        if instance not in instances:
            return
        instances.remove(instance)
        if not instances:
            del self.run_instances[index]
        self.tasks_by_instance[instance] -= 1
        if not self.tasks_by_instance[instance]:
            del self.tasks_by_instance[instance]

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


class ShapeBucket:
    """Steps of one shape, by urgency."""

    __slots__ = ("timely", "late", "tried_generation", "retry_at", "min_needs")

    def __init__(self, min_needs: Resources) -> None:
        self.min_needs = min_needs  # no step needs less of any kind
        self.timely: list[Entry] = []  # by urgency
        self.late: list[Entry] = []  # by objective
        self.tried_generation = -1
        self.retry_at = inf

    def add(self, step: Step, now: float) -> None:
        """Take in a step that has a unit waiting."""
        step.late = step.safe_start < now
        insort(self._entries_for(step), self._entry(step))
        step.bucket = self
        self.tried_generation = -1
        needs, min_needs = step.spec.needs, self.min_needs
        if needs.cpu < min_needs.cpu or needs.mem_mb < min_needs.mem_mb:
            self.min_needs = Resources(
                min(needs.cpu, min_needs.cpu), min(needs.mem_mb, min_needs.mem_mb), min_needs.gpu
            )

    def remove(self, step: Step) -> None:
        """Take out a step."""
        entries = self._entries_for(step)
        del entries[bisect_left(entries, self._entry(step))]
        step.bucket = None

    def head_rank(self, now: float) -> tuple[bool, float, int]:
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

    def _entries_for(self, step: Step) -> list[Entry]:
        return self.late if step.late else self.timely

    @staticmethod
    def _entry(step: Step) -> Entry:
        return (step.spec.objective_at if step.late else step.urgency), step.order, step


@dataclass(slots=True, eq=False)
class QueueState:
    """The waiting steps of one queue at one service."""

    name: str
    spec: QueueSpec
    pool: Pool
    rate: ArrivalRate = field(default_factory=lambda: ArrivalRate(RATE_WINDOW_S, INITIAL_RATE))
    core_arrivals: ArrivalRate = field(
        default_factory=lambda: ArrivalRate(RATE_WINDOW_S)
    )  # core-seconds a second that come
    first_arrival_at: float = inf  # when the first of it came
    cores_in_use: float = 0.0  # cores that its runs take, but for tasks that last
    estimate_s: float = 1.0  # mean of the estimates, moving
    steps_seen: int = 0  # steps that the means rest on
    mean_work: float = 0.0  # the same of the work left in a job, core-seconds
    buckets: dict[Shape, ShapeBucket] = field(default_factory=dict)
    known_steps: int = 0  # steps known

    def update_means(self, spec: PendingStep) -> None:
        """A step has come: the means move."""
        self.steps_seen += 1
        smoothing = max(ESTIMATE_SMOOTHING, 1.0 / self.steps_seen)
        self.estimate_s += smoothing * (spec.estimate_s - self.estimate_s)
        self.mean_work += smoothing * (spec.work_left - self.mean_work)

    def size_delay(self, work: float) -> float:
        """Seconds by which a unit of a job with so much work left goes later than its latest start says: where not all
        can be in time, many small jobs are worth more than the large one that would take their place. The more so, the
        more work waits: a backlog that takes a good part of the slack makes most jobs late."""
        if self.mean_work <= 0.0:
            return 0.0
        overload = min(1.0, self.pool.backlog_s / (OVERLOAD_SLACK_FRACTION * self.slack))
        weight = SIZE_DELAY_FACTOR + (OVERLOAD_SIZE_DELAY_FACTOR - SIZE_DELAY_FACTOR) * overload
        return weight * self.slack * work / self.mean_work

    @property
    def slack(self) -> float:
        """Seconds that a job of the queue may lose by waiting, by the mean estimate of its steps."""
        return max(MIN_SLACK_S, self.spec.target_s + (self.spec.skew - 1.0) * self.estimate_s)

    def floor_and_weight(self, now: float) -> tuple[float, float]:
        """Floor M_i and weight w_i, in slot-starts per second; see `scheduler`."""
        rate = max(self.rate.rate(now), MIN_RATE)
        return rate * FLOOR_RATIO**self.spec.priority, rate * WEIGHT_RATIO**-self.spec.priority / self.slack


@dataclass(slots=True, eq=False)
class Reservation:
    """Room kept for a step: `shares` says how much at which instance."""

    step: Step
    start_at: float
    resources_by_instance: dict[str, Resources]
    preempts: bool = False  # runs are being stopped for it

    @property
    def owner(self) -> object:
        """The step for which it is kept."""
        return self.step

    @property
    def priority(self) -> int:
        """The priority of the step's queue."""
        return self.step.queue.spec.priority


@dataclass(slots=True, eq=False)
class Pool:
    """The workers of one service and the queues that compete for them.

    Whatever did not fit is looked at again only on the hosts that have grown since: `growth` numbers the growths, and
    the last of them are kept with their hosts.
    """

    service: str
    hosts: Hosts = field(default_factory=Hosts)
    queues: dict[str, QueueState] = field(default_factory=dict)
    tags: TagSchedule = field(default_factory=TagSchedule)
    large_needs: Resources = NOTHING  # needs of the largest kind of task seen lately: room for it is not broken up
    large_needs_until: float = -inf
    capacity_generation: int = 0
    dirty: bool = True
    next_round_at: float = inf
    next_planning_at: float = -inf  # no room is kept or made before
    reservations: dict[StepKey, Reservation] = field(default_factory=dict)
    underused_since: float = inf  # see `starvation`
    busy_since: float = -inf  # since when more is in use; infinite while it is little used
    waiting_work: Resources = NOTHING  # needs of all tasks that wait, times the milliseconds that they take by estimate
    min_health: float = 0.0  # the factor that even a worker that is avoided has; see `trust`
    _grown_hosts: list[Host] = field(default_factory=list)
    _cached_range: tuple[int, int] = (-1, -1)  # the last answer of `grown_since`: from where to where
    _cached_hosts: list[Host] = field(default_factory=list)

    @property
    def backlog_s(self) -> float:
        """Seconds that all workers together need for what waits, by estimate."""
        return dominant_share(self.waiting_work, self.hosts.capacity) / 1000.0

    def update_backlog(self, step: Step) -> None:
        """Bring the backlog in line with the tasks of a step that wait."""
        task_ms = int(1000 * step.spec.estimate_s)
        self.waiting_work = add(
            self.waiting_work, scale(step.spec.needs, (len(step.tasks) - step.backlog_tasks) * task_ms)
        )
        step.backlog_tasks = len(step.tasks)

    def first_steps(self, count: int) -> Iterator[Step]:
        """The first steps of each lane."""
        buckets = (bucket for queue in self.queues.values() for bucket in queue.buckets.values())
        return (step for bucket in buckets for step in islice(bucket, count))

    def capacity_grew(self, host: Host | None = None) -> None:
        """Something may fit now on this host; None: anywhere."""
        self.capacity_generation += 1
        self.dirty = True
        if host is None or len(self._grown_hosts) >= MAX_GROWN_HOSTS:
            self._grown_hosts.clear()
        else:
            self._grown_hosts.append(host)

    def hosts_grown_since(self, capacity_generation: int) -> list[Host] | None:
        """The hosts that have grown since then; None: possibly all."""
        increase_count = self.capacity_generation - capacity_generation
        if capacity_generation < 0 or increase_count > len(self._grown_hosts):
            return None
        if (self.capacity_generation, capacity_generation) != self._cached_range:
            hosts_by_instance = self.hosts.by_instance
            grown = dict.fromkeys(self._grown_hosts[len(self._grown_hosts) - increase_count :])
            self._cached_hosts = [host for host in grown if hosts_by_instance.get(host.instance) is host]
            self._cached_range = self.capacity_generation, capacity_generation
        return self._cached_hosts

    def host_removed(self) -> None:
        """A host has left."""
        self._cached_range = -1, -1
        self.dirty = True

    def max_free_since(self, capacity_generation: int) -> Resources | None:
        """The most free room of each kind on a host that has grown since then; None: possibly anything."""
        grown = self.hosts_grown_since(capacity_generation)
        if grown is None:
            return None
        return Resources(
            max((host.free.cpu for host in grown), default=0),
            max((host.free.mem_mb for host in grown), default=0),
            max((host.free.gpu for host in grown), default=0),
        )

    def record_large_task(self, needs: Resources, now: float) -> None:
        """A kind of task has arrived: the largest is remembered for a while."""
        if now >= self.large_needs_until or dominant_share(needs, self.hosts.largest) >= dominant_share(
            self.large_needs, self.hosts.largest
        ):
            self.large_needs = needs
            self.large_needs_until = now + LARGE_NEEDS_MEMORY_S
