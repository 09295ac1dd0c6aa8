"""The scheduler's records: steps, queues, pools and runs, and the order of steps within a queue.

The steps of a queue are kept in *buckets* of similar needs, so that the first steps of each bucket show whether
anything fits. A bucket is ordered by urgency: steps that can still be in time come first, by latest start and size of
their job. Late steps follow, by objective.
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

# A step cannot be in time once less than this fraction of its estimated remaining chain fits before the objective. It
# is below 1 because estimates are rough.
LATEST_START_CHAIN_FACTOR = 0.8
# A step counts as late once less than this multiple of its estimated remaining chain fits before the objective. It is
# above 1 to allow for the turnover between runs and for failed runs.
SAFE_START_CHAIN_FACTOR = 1.2
ESTIMATE_SMOOTHING = 0.05  # smoothing factor of a queue's means; the first steps count equally
RATE_WINDOW_S = 10.0  # window of the arrival rates
MAX_GROWN_HOSTS = 256  # increases of free resources that a pool remembers with their hosts
LARGE_NEEDS_MEMORY_S = 20.0  # how long the needs of the largest kind of task are remembered
FLOOR_RATIO = 0.25  # floor of a priority relative to that of the next higher priority
WEIGHT_RATIO = 8.0  # weight of a priority relative to that of the next lower priority
MIN_SLACK_S = 0.1
SIZE_DELAY_FACTOR = 0.5  # delay of a job with mean work left, as a multiple of its queue's slack
OVERLOAD_SIZE_DELAY_FACTOR = 3.0  # the same under overload
OVERLOAD_SLACK_FRACTION = 0.5  # backlog, as a fraction of the slack, that counts as overload
MIN_RATE = 0.1  # slots per second
INITIAL_RATE = 1.0  # slots per second that a queue is assumed to bring before any arrive


@dataclass(frozen=True, slots=True)
class Shape:
    """What the steps of one bucket have in common: CPU needs up to a factor of two, and most other properties that
    decide where they fit.
    """

    cpu_bits: int
    gpu: int
    gang: bool
    requires: str
    near: bool  # whether the steps prefer the rack of their data


@dataclass(slots=True, eq=False)
class Run:
    """An allocated run of a task.

    `number` is 0 until it is known. `started` is when this scheduler learnt of the run, and `inherited` whether the run
    had begun before that. `runtime_s` is set before the end of the run is recorded, if the agent measured the whole
    run.
    """

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
        """Step, task index and instance."""
        return self.step.key, self.index, self.instance


@dataclass(slots=True, eq=False)
class Step:
    """A step with its waiting tasks and its runs."""

    spec: PendingStep
    queue: QueueState
    order: int  # increases with each step
    tasks: dict[int, PendingTask] = field(default_factory=dict)
    run_instances: dict[int, set[str]] = field(default_factory=dict)  # instances on which each task has a run
    tasks_by_instance: dict[str, int] = field(default_factory=dict)  # number of tasks with a run on each instance
    runs: dict[Run, None] = field(default_factory=dict)
    bucket: ShapeBucket | None = None
    late: bool = False
    tried_generation: int = -1  # capacity generation of the pool at the last failed attempt
    retry_at: float = inf  # next attempt even if no free resources have grown
    reason: WaitReason = WaitReason.READY
    tagged_units: int = 0  # units that have a tag
    backlog_tasks: int = 0  # waiting tasks included in the backlog of the service
    gang_capacity_bound: int = 0  # upper bound of the members of a gang that fit
    arrived_at: float = inf  # when its first task waited
    idle_since: float = inf  # since when none of its tasks has run; a run that never started does not count
    is_simple: bool = field(init=False)  # where a task fits depends only on needs and labels
    reserve_at: float = -inf  # earliest next reservation
    preempt_at: float = -inf  # earliest next preemption
    shape: Shape = field(init=False)  # selects the bucket
    urgency: float = field(init=False)  # sort key among steps that can be in time; the smallest goes first

    def __post_init__(self) -> None:
        self.shape = self._shape()
        self.is_simple = not (self.spec.gang or self.spec.anti_affinity)
        self.urgency = self.safe_start + self.queue.size_delay(self.spec.work_left)

    @property
    def key(self) -> StepKey:
        """The identity of the step."""
        return self.spec.key

    @property
    def latest_start(self) -> float:
        """The time after which the step can hardly be in time even if nothing goes wrong."""
        return self.spec.objective_at - LATEST_START_CHAIN_FACTOR * (self.spec.estimate_s + self.spec.tail_s)

    @property
    def safe_start(self) -> float:
        """The time after which the step is likely to be late. Steps that can still be in time go first from then on."""
        return self.spec.objective_at - SAFE_START_CHAIN_FACTOR * (self.spec.estimate_s + self.spec.tail_s)

    @property
    def units(self) -> int:
        """The units that may be placed now: the waiting tasks, or 1 for a whole gang."""
        if not self.spec.gang:
            return len(self.tasks)
        return int(len(self.tasks) >= self.spec.count and not self.run_instances)

    @property
    def members(self) -> int:
        """The number of tasks in one unit."""
        return self.spec.count if self.spec.gang else 1

    def demand(self, now: float, excluded: frozenset[str] = frozenset(), unconditional: bool = False) -> Demand:
        """Returns the requirements of one unit that is placed now."""
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
        """Starts or continues a bounded wait: the step is tried again at `until` at the latest."""
        self.retry_at = min(self.retry_at, until)
        self.reason = reason

    def add_run(self, index: int, instance: str) -> None:
        """Records that a task has a run on an instance."""
        instances = self.run_instances.setdefault(index, set())
        if instance not in instances:
            instances.add(instance)
            self.tasks_by_instance[instance] = self.tasks_by_instance.get(instance, 0) + 1

    def remove_run(self, index: int, instance: str) -> None:
        """Records that the run of a task on an instance has ended."""
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
    """Steps of one shape, ordered by urgency."""

    __slots__ = ("timely", "late", "tried_generation", "retry_at", "min_needs")

    def __init__(self, min_needs: Resources) -> None:
        self.min_needs = min_needs  # no step needs less of any kind
        self.timely: list[Entry] = []  # by urgency
        self.late: list[Entry] = []  # by objective
        self.tried_generation = -1
        self.retry_at = inf

    def add(self, step: Step, now: float) -> None:
        """Adds a step of which a unit waits."""
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
        """Removes a step."""
        entries = self._entries_for(step)
        del entries[bisect_left(entries, self._entry(step))]
        step.bucket = None

    def head_rank(self, now: float) -> tuple[bool, float, int]:
        """Returns the sort key of the first step; the smallest goes first."""
        self._move_late_steps(now)
        entries = self.timely or self.late
        return not self.timely, entries[0][0], entries[0][1]

    def __iter__(self) -> Iterator[Step]:
        for entries in (self.timely, self.late):
            for _, _, step in entries:
                yield step

    def __bool__(self) -> bool:
        return bool(self.timely or self.late)

    def _move_late_steps(self, now: float) -> None:
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
    # arriving core-seconds per second
    core_arrivals: ArrivalRate = field(default_factory=lambda: ArrivalRate(RATE_WINDOW_S))
    first_arrival_at: float = inf  # when the first of them arrived
    cores_in_use: float = 0.0  # cores in use by its runs, without long-running tasks
    estimate_s: float = 1.0  # moving mean of the estimates
    steps_seen: int = 0  # steps included in the means
    mean_work: float = 0.0  # moving mean of the work left in a job, core-seconds
    buckets: dict[Shape, ShapeBucket] = field(default_factory=dict)
    known_steps: int = 0  # steps that are not finished

    def update_means(self, spec: PendingStep) -> None:
        """Adds a new step to the moving means."""
        self.steps_seen += 1
        smoothing = max(ESTIMATE_SMOOTHING, 1.0 / self.steps_seen)
        self.estimate_s += smoothing * (spec.estimate_s - self.estimate_s)
        self.mean_work += smoothing * (spec.work_left - self.mean_work)

    def size_delay(self, work: float) -> float:
        """Returns the delay (s) added to the latest start of a job with so much work left.

        If not all jobs can be in time, many small jobs are worth more than one large job in their place. The delay
        grows with the backlog, because a backlog that takes a good part of the slack makes most jobs late.
        """
        if self.mean_work <= 0.0:
            return 0.0
        overload = min(1.0, self.pool.backlog_s / (OVERLOAD_SLACK_FRACTION * self.slack))
        weight = SIZE_DELAY_FACTOR + (OVERLOAD_SIZE_DELAY_FACTOR - SIZE_DELAY_FACTOR) * overload
        return weight * self.slack * work / self.mean_work

    @property
    def slack(self) -> float:
        """The time (s) that a job of the queue can wait without being late, by the mean estimate of its steps."""
        return max(MIN_SLACK_S, self.spec.target_s + (self.spec.skew - 1.0) * self.estimate_s)

    def floor_and_weight(self, now: float) -> tuple[float, float]:
        """Returns floor M_i and weight w_i in slots started per second; see `scheduler`."""
        rate = max(self.rate.rate(now), MIN_RATE)
        return rate * FLOOR_RATIO**self.spec.priority, rate * WEIGHT_RATIO**-self.spec.priority / self.slack


@dataclass(slots=True, eq=False)
class Reservation:
    """Resources reserved for a step on each instance."""

    step: Step
    start_at: float
    resources_by_instance: dict[str, Resources]
    preempts: bool = False  # runs are being stopped for it

    @property
    def owner(self) -> object:
        """The step that holds the reservation."""
        return self.step

    @property
    def priority(self) -> int:
        """The priority of the step's queue."""
        return self.step.queue.spec.priority


@dataclass(slots=True, eq=False)
class Pool:
    """The workers of one service and the queues that compete for them.

    A unit that did not fit is tried again only on hosts whose free resources have grown since. `capacity_generation`
    numbers these increases, and the last of them are kept with their hosts.
    """

    service: str
    hosts: Hosts = field(default_factory=Hosts)
    queues: dict[str, QueueState] = field(default_factory=dict)
    tags: TagSchedule = field(default_factory=TagSchedule)
    # needs of the largest kind of task seen recently, which placements avoid fragmenting
    large_needs: Resources = NOTHING
    large_needs_until: float = -inf  # until when these needs are remembered
    capacity_generation: int = 0
    dirty: bool = True  # something has changed since the last round
    next_round_at: float = inf  # when a round is due although nothing has changed
    next_planning_at: float = -inf  # earliest next planning of reservations and preemptions
    reservations: dict[StepKey, Reservation] = field(default_factory=dict)
    underused_since: float = inf  # see `starvation`
    busy_since: float = -inf  # since when the service is not underused; infinite while it is underused
    waiting_work: Resources = NOTHING  # needs of all waiting tasks, times their estimates in milliseconds
    min_health: float = 0.0  # least health factor, even of avoided workers; see `host_health`
    _grown_hosts: list[Host] = field(default_factory=list)
    _cached_range: tuple[int, int] = (-1, -1)  # arguments of the last `hosts_grown_since`: current and given generation
    _cached_hosts: list[Host] = field(default_factory=list)

    @property
    def backlog_s(self) -> float:
        """The estimated time (s) that all workers together need for the waiting tasks."""
        return dominant_share(self.waiting_work, self.hosts.capacity) / 1000.0

    def update_backlog(self, step: Step) -> None:
        """Updates the backlog after the waiting tasks of a step have changed."""
        task_ms = int(1000 * step.spec.estimate_s)
        self.waiting_work = add(
            self.waiting_work, scale(step.spec.needs, (len(step.tasks) - step.backlog_tasks) * task_ms)
        )
        step.backlog_tasks = len(step.tasks)

    def first_steps(self, count: int) -> Iterator[Step]:
        """Returns the first `count` steps of each bucket."""
        buckets = (bucket for queue in self.queues.values() for bucket in queue.buckets.values())
        return (step for bucket in buckets for step in islice(bucket, count))

    def capacity_grew(self, host: Host | None = None) -> None:
        """Records that units may fit now on this host; None: on any host."""
        self.capacity_generation += 1
        self.dirty = True
        if host is None or len(self._grown_hosts) >= MAX_GROWN_HOSTS:
            self._grown_hosts.clear()
        else:
            self._grown_hosts.append(host)

    def hosts_grown_since(self, generation: int) -> list[Host] | None:
        """Returns the hosts whose free resources have grown since a generation. None: possibly all hosts."""
        increase_count = self.capacity_generation - generation
        if generation < 0 or increase_count > len(self._grown_hosts):
            return None
        if (self.capacity_generation, generation) != self._cached_range:
            hosts_by_instance = self.hosts.by_instance
            grown = dict.fromkeys(self._grown_hosts[len(self._grown_hosts) - increase_count :])
            self._cached_hosts = [host for host in grown if hosts_by_instance.get(host.instance) is host]
            self._cached_range = self.capacity_generation, generation
        return self._cached_hosts

    def host_removed(self) -> None:
        """Records that a host has left the pool."""
        self._cached_range = -1, -1
        self.dirty = True

    def max_free_since(self, generation: int) -> Resources | None:
        """Returns the maximum of each free resource over the hosts that have grown since a generation.

        None: possibly any amount.
        """
        grown = self.hosts_grown_since(generation)
        if grown is None:
            return None
        return Resources(
            max((host.free.cpu for host in grown), default=0),
            max((host.free.mem_mb for host in grown), default=0),
            max((host.free.gpu for host in grown), default=0),
        )

    def record_large_task(self, needs: Resources, now: float) -> None:
        """Records the needs of an arriving task. The largest needs are remembered for `LARGE_NEEDS_MEMORY_S`."""
        if now >= self.large_needs_until or dominant_share(needs, self.hosts.largest) >= dominant_share(
            self.large_needs, self.hosts.largest
        ):
            self.large_needs = needs
            self.large_needs_until = now + LARGE_NEEDS_MEMORY_S
