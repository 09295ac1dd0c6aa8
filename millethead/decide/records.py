"""What one node keeps of each worker, job and tenant."""

from __future__ import annotations

from heapq import heappop
from math import ceil, inf

from millethead.decide import interface as api

CELLS = 65536  # repeat groups below are zones, from here on cells
ALONE = CELLS - 1  # the group of a job that may have run at a worker that drops no repeats: nobody is in it
Heap = list[tuple[tuple[float, int], int, "Job"]]  # waiting jobs of one shape: (by urgency, ticket, job)


class Worker:
    """One worker as this node sees it."""

    __slots__ = ("id", "zone", "kind", "cell", "salt", "open", "started", "free", "queued", "memory", "stamp",
                 "heard", "raw", "luck", "sent", "ended", "held", "slow", "bad", "avoid", "turn", "probing",
                 "asked", "shy", "full", "fulls", "takes", "exact", "odd", "mine", "shun", "good", "confirms", "out")

    def __init__(self, entry: api.WorkerEntry) -> None:
        self.id, self.zone, self.kind, self.cell = entry.worker, entry.zone, entry.kind, entry.cell
        self.salt, self.takes, self.confirms = mix(entry.worker), entry.takes, entry.confirms
        self.exact = self.out = False
        self.reset(entry.started)

    def reset(self, started: float) -> None:
        """Forget what was known: the process is new."""
        self.started, self.open = started, True
        self.free, self.stamp, self.heard = 1.0, -inf, -inf
        self.raw: tuple[float | None, ...] = ()
        self.sent: list[tuple[float, int, float]] = []  # own attempts in flight: (sent at, slots, memory)
        self.mine: dict[int, tuple[float, float, Job]] = {}  # own jobs here: (overdue from, sent at, it)
        self.shun: dict[int, float] = {}  # classes that it seems to swallow: no such job until then
        self.good: dict[int, float] = {}  # when it last ended a job of a class well
        self.ended: list[tuple[float, float, int]] = []  # since the report: (ended, sent, slots)
        self.memory, self.queued = inf, 0.0
        self.held = 0.0
        self.slow, self.bad, self.odd, self.avoid, self.turn = 1.0, 0, 0, -inf, -1
        self.probing, self.asked = False, -inf
        self.shy, self.full, self.fulls, self.luck = -inf, -inf, 0, 0.25


class Job:
    """One job that still owes a final answer, or has attempts out."""

    __slots__ = ("id", "cls", "slots", "memory", "key", "flow", "shape", "seq", "local", "glob", "end",
                 "late", "own", "came", "waiting", "ticket", "done", "tries", "out", "ran", "group", "taken",
                 "left")

    def __init__(self, e: api.JobArrived, flow: Flow, seq: int, now: float, own: float) -> None:
        self.id, self.cls, self.key, self.flow, self.seq, self.own = e.job, e.job_class, e.key, flow, seq, own
        self.end, self.came, self.late = now + e.left, now, inf
        # few shapes whatever numbers come: each costs a look at every release
        self.slots, self.memory = min(64, max(1, ceil(e.slots))), e.memory
        memory = int(min(e.memory, 1e6)).bit_length()
        self.shape: tuple[int, int, int, int] = (e.job_class, self.slots, memory, -1)
        self.local = self.glob = 0.0
        self.waiting = self.done = False
        self.tries = self.ticket = 0
        self.out: dict[int, tuple[Worker, float]] = {}  # attempts in flight: number -> (worker, sent at)
        self.ran = inf  # when the first attempt that may have run was sent
        self.group = -1
        self.taken, self.left = set[int](), set[int]()  # confirmed attempts; workers that did not confirm


class Flow:
    """A tenant's waiting jobs, by shape, with the tags of RBFQ. Local tags are stored `lowered` too high."""

    __slots__ = ("index", "quota", "reserve", "weight", "local", "glob", "lowered", "heaps", "waiting")

    def __init__(self, index: int) -> None:
        self.index, self.quota, self.reserve, self.weight = index, 0.0, 1e-9, 1.0
        self.local = self.glob = -inf
        self.lowered = 0.0
        self.heaps: dict[tuple[int, int, int, int], Heap] = {}
        self.waiting = 0


def mix(x: int) -> int:
    """A well-mixed 32-bit hash that is the same on every node."""
    x = (x ^ (x >> 16)) * 0x7FEB352D & 0xFFFFFFFF
    x = (x ^ (x >> 15)) * 0x846CA68B & 0xFFFFFFFF
    return x ^ (x >> 16)


def first_waiting(heap: Heap) -> Job | None:
    while heap and heap[0][1] != heap[0][2].ticket:
        heappop(heap)
    return heap[0][2] if heap else None
