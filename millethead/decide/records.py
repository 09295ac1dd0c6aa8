"""State that one node keeps for each worker, job and tenant."""

from __future__ import annotations

from heapq import heappop
from math import ceil, inf

from millethead.decide import interface as api

CELL_GROUPS = 65536  # deduplication groups below are zones, from here on cells; -1 is no restriction
EMPTY_GROUP = CELL_GROUPS - 1  # no worker belongs to it: the job may have run where repeats are not dropped
JobHeap = list[tuple[tuple[float, int], int, "Job"]]  # jobs of one shape: ((latest start, sequence), entry, job)


class Worker:
    """State of one worker as seen by this node."""

    __slots__ = ("id", "zone", "kind", "cell", "id_hash", "available", "started", "free_slots", "queued", "free_memory",
                 "report_time", "received_at", "last_report", "rounding", "in_flight", "completions", "held_slots",
                 "slowdown", "failures", "avoid_until", "cold_turn", "probing", "probed_at", "backoff_until",
                 "rejected_at", "rejections", "job_classes", "exact", "unusable_streak", "own_jobs",
                 "class_avoided", "class_succeeded", "confirms", "excluded")

    def __init__(self, entry: api.WorkerEntry) -> None:
        self.id, self.zone, self.kind, self.cell = entry.worker, entry.zone, entry.kind, entry.cell
        self.id_hash, self.job_classes, self.confirms = hash32(entry.worker), entry.job_classes, entry.confirms
        self.exact = self.excluded = False
        self.reset(entry.started)

    def reset(self, started: float) -> None:
        """Discard all learned state, because the worker process has restarted."""
        self.started, self.available, self.free_slots, self.queued, self.held_slots = started, True, 1.0, 0.0, 0.0
        self.report_time, self.received_at, self.free_memory, self.rounding, self.probing = -inf, -inf, inf, 0.25, False
        self.slowdown, self.failures, self.rejections, self.unusable_streak, self.cold_turn = 1.0, 0, 0, 0, -1
        self.probed_at, self.avoid_until, self.backoff_until, self.rejected_at = -inf, -inf, -inf, -inf
        self.last_report: tuple[float | None, ...] = ()
        self.in_flight: list[tuple[float, int, float]] = []  # this node's attempts: (sent at, slots, memory)
        self.own_jobs: dict[int, tuple[float, float, Job]] = {}  # by job number: (overdue from, sent at, job)
        self.class_avoided: dict[int, float] = {}  # by job class: the worker appears to lose such jobs
        self.class_succeeded: dict[int, float] = {}  # by job class: time of the last success
        self.completions: list[tuple[float, float, int]] = []  # since the report: (ended at, sent at, slots)


class Job:
    """A job that has no final answer yet, or still has attempts in flight."""

    __slots__ = ("id", "job_class", "slots", "memory", "key", "flow", "shape", "sequence", "reservation_tag",
                 "weight_tag", "deadline", "latest_start", "running_time", "arrived_at", "waiting", "heap_entry",
                 "done", "attempts", "in_flight", "first_sent", "group", "confirmed", "unconfirmed")

    def __init__(self, event: api.JobArrived, flow: Flow, sequence: int, now: float, running_time: float) -> None:
        self.id, self.job_class, self.key = event.job, event.job_class, event.key
        self.flow, self.sequence, self.running_time = flow, sequence, running_time
        self.deadline, self.arrived_at, self.latest_start = now + event.time_left, now, inf
        # values are rounded into few shapes, because each release examines every shape
        self.slots, self.memory = min(64, max(1, ceil(event.slots))), event.memory
        memory = int(min(event.memory, 1e6)).bit_length()
        self.shape: tuple[int, int, int, int] = (event.job_class, self.slots, memory, -1)
        self.reservation_tag = self.weight_tag = 0.0
        self.waiting, self.done, self.attempts, self.heap_entry = False, False, 0, 0
        self.in_flight: dict[int, tuple[Worker, float]] = {}  # by attempt number: (worker, sent at)
        self.first_sent = inf  # when the first attempt that may have run was sent
        self.group = -1  # the deduplication group that a repeat must stay in
        self.confirmed, self.unconfirmed = set[int](), set[int]()  # attempt numbers; worker ids


class Flow:
    """A tenant's waiting jobs by shape, and its RBFQ tags. Stored reservation tags include `reservation_offset`."""

    __slots__ = ("index", "total_reservation", "reservation", "weight", "reservation_tag", "weight_tag",
                 "reservation_offset", "heaps", "waiting_count")

    def __init__(self, index: int) -> None:
        self.index, self.total_reservation, self.reservation, self.weight = index, 0.0, 1e-9, 1.0  # jobs per ms
        self.reservation_tag, self.weight_tag, self.reservation_offset, self.waiting_count = -inf, -inf, 0.0, 0
        self.heaps: dict[tuple[int, int, int, int], JobHeap] = {}


def hash32(value: int) -> int:
    """A 32-bit integer hash, equal on every node."""
    value = (value ^ (value >> 16)) * 0x7FEB352D & 0xFFFFFFFF
    value = (value ^ (value >> 15)) * 0x846CA68B & 0xFFFFFFFF
    return value ^ (value >> 16)


def first_waiting(heap: JobHeap) -> Job | None:
    while heap and heap[0][1] != heap[0][2].heap_entry:
        heappop(heap)  # the entry of a job that no longer waits
    return heap[0][2] if heap else None
