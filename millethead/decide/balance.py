"""All decisions of millethead. Settings, events and actions: millethead/decide/interface.py.

Jobs wait in one flow per tenant and leave by RBFQ (RePAIR, 3.1 and 3.3): the smallest due local tag, else the
smallest global tag. A released job goes to a random fitting worker, weighted by estimated free slots.
docs/design.md says what was kept of the paper, what was changed and why; docs/on-call.md what to look for.
Names in brackets, as (burton-1), are incidents: tests/test_incidents.py has a test for each.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import islice
from math import ceil, floor, inf
from random import Random

from millethead.decide import interface as api
from millethead.decide.interface import NEVER_RAN, Effect, Group, ListForm, Outcome, WorkerState

IDLE_CREDIT = 2.0  # sigma: jobs' worth of global lag that a returning tenant keeps
SWEEP = 4.0  # ticks to the first look at the waiting jobs; later looks come at longer intervals
SWEEP_MOST = 16.0
PATIENCE = 0.8  # part of a job's stretch that may be waited away: hints of running times are rough
SOON = 500.0  # ms of patience left under which worth alone decides whose turn within a tenant it is
LOOK = 16  # waiting jobs of one shape looked at for one that a worker is home to
HOMES = 3  # workers that keep what a rarely asked key needs
KEY_MEMORY = 4000  # jobs after which half the count of each key is forgotten
CELLS = 65536  # repeat groups below are zones, from here on cells
ALONE = CELLS - 1  # the group of a job that may have run at a worker that drops no repeats: nobody is in it
ASK_APART = 3.0  # ms by which calls of n nodes to discovery are spread, times n * n: what n at once wait in all
CALL = 4000.0  # ms in which a call to discovery is answered or told as failed, if it is at all
SCAN = 24  # workers looked at for one release; the fleet is never ranked
PROBES = 3  # probes in one wave
OVERDUE, GRACE = 2.0, 600.0  # hinted running times, and ms, after which an attempt is overdue
SHUN, PROVEN, UNSEEN = 12_000.0, 2000.0, 600.0  # ms: how long, what proves health, how late reports may be
TAKE = 800.0  # ms for a worker that confirms to say that it has taken a job, which costs it next to nothing
BOLD = 1.5  # times what a cold worker can do that is dealt out: many turns lapse, and three times is the limit
SHARED, OWN = 2.0, 8.0  # nodes that try one worker first, and the weight of that
ODD = 4  # jobs in a row that a worker calls unusable before that is held against the worker
DEADLINE, SWEEPING, WATCHING, TAKING = range(4)  # low bits of a timer token


class _Worker:
    """One worker as this node sees it."""

    __slots__ = ("id", "zone", "kind", "cell", "salt", "open", "started", "free", "queued", "memory", "stamp",
                 "heard", "raw", "luck", "sent", "ended", "held", "slow", "bad", "avoid", "turn", "probing",
                 "asked", "shy", "full", "fulls", "takes", "exact", "odd", "mine", "shun", "good", "confirms", "out")

    def __init__(self, entry: api.WorkerEntry) -> None:
        self.id, self.zone, self.kind, self.cell = entry.worker, entry.zone, entry.kind, entry.cell
        self.salt, self.takes, self.confirms = _mix(entry.worker), entry.takes, entry.confirms
        self.exact = self.out = False
        self.reset(entry.started)

    def reset(self, started: float) -> None:
        """Forget what was known: the process is new."""
        self.started, self.open = started, True
        self.free, self.stamp, self.heard = 1.0, -inf, -inf
        self.raw: tuple[float | None, ...] = ()
        self.sent: list[tuple[float, int, float]] = []  # own attempts in flight: (sent at, slots, memory)
        self.mine: dict[int, tuple[float, float, _Job]] = {}  # own jobs here: (overdue from, sent at, it)
        self.shun: dict[int, float] = {}  # classes that it seems to swallow: no such job until then
        self.good: dict[int, float] = {}  # when it last ended a job of a class well
        self.ended: list[tuple[float, float, int]] = []  # since the report: (ended, sent, slots)
        self.memory, self.queued = inf, 0.0
        self.held = 0.0
        self.slow, self.bad, self.odd, self.avoid, self.turn = 1.0, 0, 0, -inf, -1
        self.probing, self.asked = False, -inf
        self.shy, self.full, self.fulls, self.luck = -inf, -inf, 0, 0.25


class _Job:
    """One job that still owes a final answer, or has attempts out."""

    __slots__ = ("id", "cls", "slots", "memory", "key", "flow", "shape", "seq", "local", "glob", "end",
                 "late", "own", "came", "waiting", "ticket", "done", "tries", "out", "ran", "group", "taken",
                 "left")

    def __init__(self, e: api.JobArrived, flow: _Flow, seq: int, now: float, own: float) -> None:
        self.id, self.cls, self.key, self.flow, self.seq, self.own = e.job, e.job_class, e.key, flow, seq, own
        self.end, self.came, self.late = now + e.left, now, inf
        # few shapes whatever numbers come: each costs a look at every release
        self.slots, self.memory = min(64, max(1, ceil(e.slots))), e.memory
        memory = int(min(e.memory, 1e6)).bit_length()
        self.shape: tuple[int, int, int, int] = (e.job_class, self.slots, memory, -1)
        self.local = self.glob = 0.0
        self.waiting = self.done = False
        self.tries = self.ticket = 0
        self.out: dict[int, tuple[_Worker, float]] = {}  # attempts in flight: number -> (worker, sent at)
        self.ran = inf  # when the first attempt that may have run was sent
        self.group = -1
        self.taken, self.left = set[int](), set[int]()  # confirmed attempts; workers that did not confirm


class _Flow:
    """A tenant's waiting jobs, by shape, with the tags of RBFQ. Local tags are stored `lowered` too high."""

    __slots__ = ("index", "quota", "reserve", "weight", "local", "glob", "lowered", "heaps", "waiting")

    def __init__(self, index: int) -> None:
        self.index, self.quota, self.reserve, self.weight = index, 0.0, 1e-9, 1.0
        self.local = self.glob = -inf
        self.lowered = 0.0
        self.heaps: dict[tuple[int, int, int, int], list[tuple[tuple[float, int], int, _Job]]] = {}
        self.waiting = 0


def _mix(x: int) -> int:
    """A well-mixed 32-bit hash that is the same on every node."""
    x = (x ^ (x >> 16)) * 0x7FEB352D & 0xFFFFFFFF
    x = (x ^ (x >> 15)) * 0x846CA68B & 0xFFFFFFFF
    return x ^ (x >> 16)


class Balancer:
    """One node's decisions: `handle` takes an event at time `now` and returns the actions, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.rng, self.now = settings, Random(seed), 0.0
        self.workers: dict[int, _Worker] = {}
        self.pools: dict[tuple[int, int, int], list[_Worker]] = {}
        self.jobs: dict[int, _Job] = {}
        self.seq, self.closes = 0, inf
        self.shift = 0.0  # added to every stored global tag
        self.took = [c.deadline / 10 for c in settings.classes]  # running time by class, learned
        self.pace: dict[int, float] = {}  # running time by kind, relative to `took`
        self.held: dict[int, float] = {}  # slots by kind, where reports tell held jobs and free slots
        self.busy: dict[int, float] = {}  # part of the reports from a zone that show no free slot
        self.size: dict[int, float] = {}  # slots of a worker by kind, learned from reports
        self.work = sum(self.took) / len(self.took)  # slot-ms of a mean job
        self.slots = 1.0  # slots of a mean job
        self.period = 0.0  # how long a report stays the same, learned
        self.trust = 1.0  # part of a reported gap that this node may count on; the other nodes see it too
        self.keys: dict[int, float] = {}  # how often each key came lately
        self.keyed = 0.0
        self.homes: dict[tuple[int, int], list[_Worker]] = {}
        self.alarm: dict[int, float] = {}  # when a class was last found swallowed somewhere
        self.owned: list[_Worker] | None = None  # worked out anew when the list has changed
        self.look = SWEEP
        self.waiting = self.tickets = self.own = 0
        self.sweeping = self.watching = self.asked = False
        self.barred = False  # all workers are out by hand: nothing that waits could be served in time
        self.backoff = self.due = 0.0
        self.flows = [_Flow(n) for n in range(max(1, len(settings.tenants)))]
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Go on with new figures for the same classes and tenants: tags already given stay as they are."""
        self.set = settings
        known = [t.reservation for t in settings.tenants if t.reservation]
        mean = sum(known) / len(known) if known else 1.0
        for flow, t in zip(self.flows, settings.tenants or (None,), strict=True):
            flow.quota = (t.reservation if t and t.reservation is not None else mean) / 1000
            flow.weight = (t.weight if t else 1.0) * mean / 1000 / settings.nodes
            flow.reserve = max(flow.quota / settings.nodes, 1e-9)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take in one event; returns what to do about it, in order."""
        self.now = now
        out: list[api.Action] = []
        match event:
            case api.AttemptEnded():
                self._ended(event, out)
            case api.JobArrived():
                self._arrived(event, out)
            case api.TimerFired():
                self._timer(event.token, out)
            case api.ProbeEnded():
                self._probed(event, out)
            case api.WorkerList():
                self._listed(event, out)
            case api.JobWithdrawn():
                job = self.jobs.get(event.job)
                if job is not None and not job.done:
                    self._finish(job, out)
            case api.Closing(left=left):
                self.closes = now + left
                for job in self.jobs.values():
                    if not job.done and self.closes < job.end < inf:
                        job.end = self.closes
                        out.append(api.SetTimer(job.id << 3 | DEADLINE, max(0.0, left - 2 * self.set.tick)))
            case api.AttemptStreaming():
                job = self.jobs.get(event.job)
                if job is not None:
                    job.end = inf  # the attempt belongs to the client now
            case api.AttemptTaken() if event.job in self.jobs:
                self.jobs[event.job].taken.add(event.attempt)
        return out

    # ---- the worker list ---------------------------------------------------------------------------

    def _listed(self, e: api.WorkerList, out: list[api.Action]) -> None:
        if e.form is ListForm.FAILED:
            self.watching = self.asked = False
            self._watch_later(e.within, out)
            return
        if e.form < ListForm.CACHED and self.asked:
            self.watching, self.asked, self.backoff = True, False, 0.0
        elif e.form is ListForm.CACHED and self.set.watch_needed:
            self._watch_later(e.within, out)
        if e.form in (ListForm.FULL, ListForm.CACHED):
            named = {entry.worker for entry in e.workers}
            for gone in [w for w in self.workers if w not in named]:
                self.workers.pop(gone).open = False
        for entry in e.workers:
            self.busy.setdefault(entry.zone, 0.0)  # a zone not heard of is worth a look
            w = self.workers.get(entry.worker)
            if entry.state is not WorkerState.READY:
                if w is not None:  # drains are kept at once: nothing that waits may find it any more
                    w.open = False
                    if entry.state is WorkerState.GONE:
                        del self.workers[entry.worker]
            elif w is None:
                w = self.workers[entry.worker] = _Worker(entry)
            elif entry.started != w.started or w.out > entry.out:
                w.reset(entry.started)  # called back, it was mended: old faults do not keep it away
                if w.out > entry.out and self.set.may_probe:
                    self._ask([w], out)
            if w is not None:
                w.out = entry.out
                w.open = entry.state is WorkerState.READY and not w.out
        self.barred = any(w.out for w in self.workers.values()) and not any(w.open for w in self.workers.values())
        self.pools.clear()
        self.homes.clear()
        self.owned = None
        self._sweep(out)

    def down(self, now: float) -> int:
        """How many listed workers are left out, by hand or since they failed lately."""
        return sum(w.out or now < w.avoid for w in self.workers.values())

    def _watch_later(self, within: float, out: list[api.Action]) -> None:
        """Ask for the list in turn: discovery works off one call after another, those too that have given up
        waiting, so nodes that start or fail together must come spread over its time and not at once (herd)."""
        n, longest = self.set.nodes, min(self.set.ask_every / 2, within)
        spread = min(longest, ASK_APART * n * n)
        first = spread * (self.set.node + self.rng.random()) / n
        self._watch_at(self.rng.random() * min(longest, self.backoff) if self.backoff else first, out)
        self.backoff = min(longest, 2 * self.backoff + spread)

    def _watch_at(self, wait: float, out: list[api.Action]) -> None:
        self.due = self.now + wait  # timers are not taken back: only the last one counts
        out.append(api.SetTimer(WATCHING, wait))

    def _pool(self, kind: int | None, group: int, near: int) -> list[_Worker]:
        """The open workers of a kind (and repeat group), in a shuffled order; near: 1 own zone, 0 others,
        -1 all."""
        key = (-1 if kind is None else kind, group, near)
        pool = self.pools.get(key)
        if pool is None:
            zone = self.set.zone
            pool = [w for w in self.workers.values() if w.open and (kind is None or w.kind == kind)
                    and (near < 0 or (w.zone == zone) == bool(near))
                    and (group < 0 or group == (w.zone if group < CELLS else w.cell + CELLS))]
            self.rng.shuffle(pool)
            self.pools[key] = pool
        return pool

    # ---- arrival and release: RBFQ -----------------------------------------------------------------

    def _arrived(self, e: api.JobArrived, out: list[api.Action]) -> None:
        if e.job_class >= len(self.set.classes):  # nothing is known of such a job but that it never ran
            out.append(api.Refuse(e.job))
            return
        now, cls = self.now, self.set.classes[e.job_class]
        flow = self.flows[e.tenant if e.tenant < len(self.flows) else 0]
        self.seq += 1
        job = self.jobs[e.job] = _Job(e, flow, self.seq, now, e.expected_work or self.took[e.job_class])
        first = now if e.fresh else job.end - cls.deadline  # when its client began to wait
        job.late = first + cls.aim + PATIENCE * (cls.stretch - 1) * job.own
        self.slots += 0.01 * (job.slots - self.slots)
        if self.barred or (now > job.late and self.waiting):
            # a repeat that cannot be in time any more must not take a slot from one that can
            self._answer(job, out)
            return
        if job.key and self.set.price_fetch:
            self.keys[job.key] = self.keys.get(job.key, 0.0) + 1
            self.keyed += 1
            if self.keyed > KEY_MEMORY:
                self.keyed /= 2
                self.keys = {k: n / 2 for k, n in self.keys.items() if n > 1}
        self._tag(job)
        self._wait(job)
        # one timer holds the final answer of every job, whatever else happens to it
        job.end = min(job.end, self.closes)
        out.append(api.SetTimer(e.job << 3 | DEADLINE, max(0.0, job.end - now - 2 * self.set.tick)))
        self._offer(job, out)
        self._sweep_later(out)

    def _tag(self, job: _Job) -> None:
        """Tag-Adjustment, then Tag-Assignment (3.1), spaced by slots, with idle credit (3.3)."""
        now, flow = self.now, job.flow
        heads = [head.glob for f in self.flows if f.waiting for heap in f.heaps.values()
                 if (head := self._head(heap))]
        if heads:
            self.shift = now - min(heads)
        step = job.slots / self.slots
        job.local = max(flow.local + step / flow.reserve, now + flow.lowered)
        credit = 0.0 if flow.waiting or flow.glob == -inf else IDLE_CREDIT / flow.weight
        job.glob = max(flow.glob + step / flow.weight, now - credit - self.shift)
        flow.local, flow.glob = job.local, job.glob

    @staticmethod
    def _head(heap: list[tuple[tuple[float, int], int, _Job]]) -> _Job | None:
        while heap and heap[0][1] != heap[0][2].ticket:
            heappop(heap)
        return heap[0][2] if heap else None

    def _wait(self, job: _Job) -> None:
        job.waiting = True
        job.flow.waiting += 1
        self.waiting += 1
        self.tickets += 1
        job.ticket = self.tickets  # an entry left over from an earlier wait must not come back to life
        heappush(job.flow.heaps.setdefault(job.shape, []), ((job.late, job.seq), job.ticket, job))

    def _unwait(self, job: _Job) -> None:
        if job.waiting:
            job.waiting, job.ticket = False, 0
            job.flow.waiting -= 1
            self.waiting -= 1
            if self._head(job.flow.heaps[job.shape]) is None:
                del job.flow.heaps[job.shape]

    def _offer(self, job: _Job, out: list[api.Action]) -> None:
        """Look for a slot that this job could use, and let the tags decide who gets it."""
        while job.waiting and (w := self._pick(job, out)) is not None:
            if not self._release(w, out):
                break

    def _release(self, w: _Worker, out: list[api.Action], least: float = 0.0) -> int:
        """Request Scheduling (3.1), while `w` has a free slot: of the flows' first fitting jobs, the one with
        the smallest due local tag goes, else the one with the smallest global tag."""
        now, given = self.now, 0
        while self.waiting and (room := max(self._room(w), least)) >= 1:
            best, rank = None, (2, 0.0)
            for flow in self.flows:
                if flow.waiting:
                    fit = [job for shape, heap in flow.heaps.items()
                           if shape[1] <= room and (job := self._first(heap, w)) is not None]
                    if fit:
                        turn = min(fit, key=lambda j: j.local)
                        local = turn.local - flow.lowered
                        r = (0, local) if local <= now else (1, turn.glob)
                        if r < rank:
                            best, rank, first = min(fit, key=self._urgent), r, turn
            if best is None:
                break
            # the turn is the tenant's: the job that takes it leaves its own tags to the one that waits on
            best.local, best.glob, first.local, first.glob = first.local, first.glob, best.local, best.glob
            if rank[0]:
                best.flow.lowered += best.slots / self.slots / best.flow.reserve
            self._send(best, w, out)
            given, least = given + 1, 0.0
        return given

    def _urgent(self, job: _Job) -> float:
        """Of a tenant's first jobs of each shape the smallest takes its turn: patience left, over the worth
        of a slot's time. In order of arrival, long jobs of little worth let those worth most go late."""
        return (job.late - self.now + SOON) * self.took[job.cls] / max(self.set.classes[job.cls].worth, 1e-9)

    def _first(self, heap: list[tuple[tuple[float, int], int, _Job]], w: _Worker) -> _Job | None:
        """The first waiting job of a shape that `w` may serve; where fetches cost, one that it is home to."""
        job = self._head(heap)
        if job is None or not self._fits(job, w) or not self._turn_ok(w, job):
            return None
        if not self._homely(job):
            return job
        return next((other for _, ticket, other in heap[:LOOK]
                     if ticket == other.ticket and w in self._homes(other)), None)

    def _fits(self, job: _Job, w: _Worker) -> bool:
        cls, group = self.set.classes[job.cls], job.shape[3]
        kind = cls.kind
        if job.ran < inf and cls.effect is Effect.KEYED and self.now >= job.ran + cls.window:
            return False  # it waited on until its group may have forgotten the key
        if job.memory and w.memory < job.memory + sum(m for at, _, m in w.sent if at >= w.stamp):
            return False  # it would hold up the worker's queue until it fits
        if w.id in job.left or self.now < w.shun.get(job.cls, -inf) or any(
                due < self.now and job.cls == held.cls for due, _, held in w.mine.values()):
            return False  # it takes such jobs and ends none, whatever its reports and other jobs say
        return (w.open and (kind is None or kind == w.kind) and (w.takes is None or job.cls in w.takes)
                and (group < 0 or group == (w.zone if group < CELLS else w.cell + CELLS)))

    def put_out(self, job: _Job, n: int, w: _Worker, sent: float) -> None:
        """Book attempt `n` as out at `w`."""
        job.out[n] = (w, sent)
        w.sent.append((sent, job.slots, job.memory))
        w.held += job.slots
        self.own += job.slots
        w.mine[job.id] = sent + OVERDUE * job.own * self.pace.get(w.kind, 1.0) + GRACE, sent, job

    def put_away(self, job: _Job, w: _Worker, sent: float) -> bool:
        """Undo that; False where the worker has started anew since, and holds nothing of it."""
        w.mine.pop(job.id, None)
        if (sent, job.slots, job.memory) not in w.sent:
            return False
        w.sent.remove((sent, job.slots, job.memory))
        w.held -= job.slots
        self.own -= job.slots
        return True

    def _send(self, job: _Job, w: _Worker, out: list[api.Action]) -> None:
        now = self.now
        self._unwait(job)
        self.put_out(job, job.tries, w, now)
        job.tries += 1
        if self._cold(w):
            w.turn = self._turn(w, now) + ceil(self._cost(job) / self.work) - 1
        cls = self.set.classes[job.cls]  # a repeat has to begin while the first is remembered
        out.append(api.Send(job.id, w.id, within=job.ran + cls.window - now if cls.effect is Effect.KEYED else inf))
        if w.confirms and self.set.parallel_attempts:
            out.append(api.SetTimer(job.id << 3 | TAKING, TAKE))

    # ---- the pick ----------------------------------------------------------------------------------

    def _homely(self, job: _Job) -> bool:
        """Whether the job waits for a worker that keeps what its key needs, for as long as it can be in time:
        a fetch elsewhere holds slots for longer than the wait saves, and drives out what other jobs need
        (almaty-2). A repeat bound to a group goes where it may."""
        return bool(job.key and self.set.price_fetch) and job.shape[3] < 0

    def _homes(self, job: _Job) -> list[_Worker]:
        """The workers that keep what a key needs: the same few on every node (rendezvous hashing), more of
        them the more of the traffic the key draws. The next in rank stands in for one that is avoided."""
        kind = self.set.classes[job.cls].kind
        at = job.key, -1 if kind is None else kind
        ranked, pool = self.homes.get(at), self._pool(kind, -1, -1)
        if ranked is None:
            salt = _mix(job.key & 0xFFFFFFFF ^ job.key >> 32)
            ranked = self.homes[at] = sorted(pool, key=lambda w: _mix(salt ^ w.salt))
        share = self.keys.get(job.key, 0.0) / max(self.keyed, 50.0)
        return list(islice((w for w in ranked if self.now >= w.avoid), HOMES + int(1.5 * share * len(pool))))

    def _pick(self, job: _Job, out: list[api.Action]) -> _Worker | None:
        """A random fitting worker with room, weighted by the room; own zone first."""
        waited = (self.now - job.came) / max(1.0, job.late - job.came)
        stale: list[_Worker] = []
        if self._homely(job):
            w = self._draw([w for w in self._homes(job) if self._fits(job, w)], job, stale)
            if w is None:
                self._ask(stale, out)
            return w
        # own zone first, but not while most of its reports show no free slot and others have some
        here, price = self.busy.get(self.set.zone, 0.0), self.set.price_cross_zone
        jam = here > min(0.9, 0.3 + 5 * price) and any(b < here - 0.1 for b in self.busy.values())
        for near in (-1,) if jam else (1, 0):
            pool = self._pool(self.set.classes[job.cls].kind, job.shape[3], near)
            if pool:
                start = self.rng.randrange(len(pool))
                own = self._own() if job.shape[3] < 0 and near else []
                # a turn at a cold worker is short and seldom falls to a node that has a job: look for it first
                own = [w for w in pool if self._cold(w) and w not in own and self._turn_ok(w, job)] + own
                among = own + [w for w in (pool[start:] + pool[:start])[:SCAN] if w not in own]
                w = self._draw(among, job, stale, own)
                if w is not None:
                    return w
                if stale or waited < 5 * price:
                    break
        self._ask(stale, out)
        return None

    def _ask(self, stale: list[_Worker], out: list[api.Action]) -> None:
        for w in stale[:PROBES]:
            w.probing = True
            out.append(api.Probe(w.id))

    def _draw(self, among: list[_Worker], job: _Job, stale: list[_Worker],
              own: list[_Worker] | None = None) -> _Worker | None:
        rooms, total, probes, alarm = [], 0.0, self.set.may_probe, self.alarm.get(job.cls, -inf)
        once, own = self.set.classes[job.cls].effect is Effect.UNSAFE, own or []
        for w in among:
            if not self._fits(job, w):
                continue
            if probes and self._old(w):
                # asked whatever the estimate says: else a node keeps to the slots it once found (burton-1)
                if self.now > max(w.avoid, w.shy) and not w.probing and self.now - w.asked > self._stays():
                    stale.insert(0 if w in own else len(stale), w)
            elif (room := self._room(w)) >= job.slots and self._turn_ok(w, job):
                weight = room / w.slow * (1.1 - self.busy.get(w.zone, 0.0))
                if w.good.get(job.cls, -inf) < alarm - PROVEN and self.now < alarm + SHUN:
                    weight *= 0.05
                if w in own:
                    weight *= OWN
                if once:  # spread: one worker that swallows them must not get several before that shows
                    weight /= 1 + 8 * sum(x.cls == job.cls for _, _, x in w.mine.values())
                total += weight
                rooms.append((total, w))
        if not rooms:
            return None
        x = self.rng.random() * total
        return next((w for t, w in rooms if t >= x), rooms[-1][1])

    def _own(self) -> list[_Worker]:
        """The few workers that this node tries first, dealt out evenly. Reports are late: what shows free draws all
        nodes at once (herd). Of what becomes of its own workers a node knows half by itself. None with few nodes."""
        if self.owned is None:
            zone, n = self.set.zone, self.set.nodes
            near = sorted((w for w in self.workers.values() if w.open and w.zone == zone), key=lambda w: w.salt)
            first, zones = self.set.node * len(near) // n, len({w.zone for w in self.workers.values()})
            count = ceil(SHARED * zones * len(near) / n)
            self.owned = (near[first:] + near[:first])[:count] if count < len(near) else []
        return self.owned

    def _stays(self) -> float:
        """How long a report is of use: until the next one may be made, or a tenth of a job has run."""
        return max(self.period, 0.1 * self.work / self.slots)

    def _old(self, w: _Worker) -> bool:
        return self.now - w.heard > self._stays()

    def _room(self, w: _Worker) -> float:
        """Estimated free slots: the report as far as it is trusted, less sends not in it, plus own
        completions since."""
        now, stamp = self.now, w.stamp
        if now < w.avoid:
            return 0.0
        own = 0.0
        for at, taken, _ in w.sent:
            if at >= stamp:
                own -= taken
        for _, sent, freed in w.ended:
            if sent < stamp:
                own += freed
        if now < w.shy:
            return own  # it was full a moment ago: only slots that came back since are sure
        if w.exact:
            return w.free + own
        room = int(w.free * self.trust + w.luck) + own
        if self._old(w) and (self.set.may_probe or not w.held):
            # unasked, it counts as one slot only when the queue it last reported can have drained: many nodes
            # that each try a slot in passing fill the workers' queues, where no tag decides
            full = 0.0 if self.set.may_probe else self.busy.get(w.zone, 0.0)
            rest = self.work / self.slots * full * w.queued
            return min(room, 1.0) if self.now - w.heard < rest else max(min(room, 1.0), 1.0 - w.held)
        return room

    def _missed(self, w: _Worker, held: float, out: list[api.Action]) -> None:
        """Compare own attempts, older than any report, with what the worker says it holds: what is not there
        has been swallowed, though the worker shows free slots and ends jobs of other classes."""
        since = self.now - self.period - UNSEEN
        old = sorted((x for x in w.mine.values() if x[1] < since), key=lambda x: x[:2])
        for _, _, job in old[:max(0, len(old) - round(held))]:
            w.shun[job.cls] = self.now + SHUN
            self.alarm[job.cls] = self.now
            if self.set.classes[job.cls].effect is Effect.SAFE and self.set.may_cancel:
                out += [api.CancelAttempt(job.id, n) for n, (x, _) in job.out.items() if x is w]

    def _reported(self, w: _Worker, report: api.Report | None, out: list[api.Action]) -> None:
        now = self.now
        if report is None or report.free_slots is None:
            return
        raw = (report.free_slots, report.queued, report.held, report.busy)
        if raw == w.raw and any(x is not None and x != int(x) for x in raw):
            self.period = max(self.period, now - w.heard)  # the same snapshot again
            return
        self.period *= 0.999
        w.raw = raw
        if report.held is not None:
            self._missed(w, report.held, out)
        # below 0 where jobs queue at the worker: they must end before a slot is free again
        w.queued = report.queued or 0.0
        w.free = report.free_slots - w.queued
        if report.held is not None and report.queued is None:
            size = self.held.get(w.kind, 0.0)
            if report.free_slots >= 1:
                size = self.held[w.kind] = size + (0.1 if size else 1.0) * (w.free + report.held - size)
            elif size:
                w.free = min(w.free, size - report.held)
        # in a full fleet no report shows more than a gap: what this node itself holds there counts too
        size = floor(max(w.free, 0.0) + w.held + 0.3)
        if size > self.size.get(w.kind, 1.0):
            self.size[w.kind] = size
        w.memory = inf if report.free_memory is None else report.free_memory
        w.exact = report.exact
        w.heard = now
        self.busy[w.zone] = self.busy.get(w.zone, 0.0) + 0.05 * ((w.free < 1) - self.busy.get(w.zone, 0.0))
        least = 0.0 if w.exact or self.set.reports_in_answers else UNSEEN / 2  # seldom asked, the age is not learned
        w.stamp = now if w.exact else now - max(0.85 * self.period, least)
        w.ended = [] if w.exact else [x for x in w.ended if x[0] >= w.stamp]
        w.luck = self.rng.random() if self.trust < 0.99 else 0.25
        if w.stamp > w.full:
            w.shy = -inf

    # ---- cold workers ------------------------------------------------------------------------------

    def _cost(self, job: _Job) -> float:
        return job.slots * max(self.took[job.cls], job.own)

    def _cold(self, w: _Worker) -> bool:
        return 0 < w.started >= self.now - self.set.cold_time

    def _turn(self, w: _Worker, at: float) -> int:
        """A cold worker is sent what it can carry, no more. The work it can have done by `at` is cut into
        mean jobs, dealt to the nodes in turn; hash and node index spread the turns evenly."""
        s, t = self.set, max(0.0, at - w.started)
        able = BOLD * self.size.get(w.kind, 1.0) * t * (s.cold_from + (1 - s.cold_from) * t / 2 / s.cold_time)
        mine = able / self.work / s.nodes if s.share is None else (
            able / self.work * s.share if self.now < s.share_until else 0.0)
        return floor(mine + (w.salt / 2**32 + s.node / s.nodes) % 1.0)

    def _turn_ok(self, w: _Worker, job: _Job) -> bool:
        """A turn not taken soon lapses, so that saved turns of many nodes cannot fall into one window."""
        s, t = self.set, self.now - w.started
        if not self._cold(w):
            return True
        share = s.cold_from + (1 - s.cold_from) * t / s.cold_time
        budget = s.fall_multiple * share * self.size.get(w.kind, 1.0) * s.fall_window
        turn = self._turn(w, self.now)
        return (turn > w.turn and turn > self._turn(w, self.now - s.fall_window / 2)
                and self._cost(job) < budget / 2)

    # ---- what comes back ---------------------------------------------------------------------------

    def _ended(self, e: api.AttemptEnded, out: list[api.Action]) -> None:
        now, job = self.now, self.jobs.get(e.job)
        if job is None or e.attempt not in job.out:
            return
        w, sent = job.out.pop(e.attempt)
        if self.put_away(job, w, sent) and e.outcome not in NEVER_RAN:
            w.ended.append((now, sent, job.slots))
        w.odd = w.odd + 1 if e.unusable else 0
        if w.odd > ODD or not e.unusable:
            self._judge(w, job, e.outcome, e.elapsed, now)
        self._reported(w, e.report, out)
        if e.final and not job.done:
            job.done = True
            self._unwait(job)
        if not job.done and e.unusable:
            self._finish(job, out)  # others would say the same, and each would look ill for it
            out.append(api.Fail(job.id))
        elif not job.done:
            self._again(job, w, sent, e.outcome, out)
        if job.done and not job.out:
            self.jobs.pop(job.id, None)
        self._release(w, out)
        if job.waiting:
            self._offer(job, out)
        self._sweep_later(out)

    def _judge(self, w: _Worker, job: _Job, outcome: Outcome, elapsed: float, now: float) -> None:
        """What an outcome says about its worker."""
        if outcome is Outcome.OK:
            w.bad = w.fulls = 0
            w.good[job.cls] = now
            w.shun.pop(job.cls, None)
            self.trust = min(1.0, self.trust * 1.015)
            if not w.started or now > w.started + self.set.cold_time:
                expected = job.own * self.pace.get(w.kind, 1.0)
                ratio = min(elapsed / expected, 10.0) if expected else 1.0
                w.slow = max(0.3, w.slow + 0.15 * (ratio - w.slow))
                drift = 1 + 0.02 * (min(ratio, 3.0) - 1)
                self.pace[w.kind] = max(0.2, min(5.0, self.pace.get(w.kind, 1.0) * drift))
                self.took[job.cls] += 0.03 * (min(elapsed, 5 * self.took[job.cls]) - self.took[job.cls])
                self.work += 0.03 * (min(elapsed * job.slots, 5 * self.work) - self.work)
        elif outcome is Outcome.FULL:
            # other nodes filled the gap: trust reported gaps less, try this worker again ever later
            if not w.exact:
                self.trust = max(0.5 / self.set.nodes, self.trust * 0.9)
            w.fulls += 1
            w.free, w.stamp, w.full, w.ended = 0.0, now, now, []
            w.shy = now + self.work / self.slots * 2.0 ** min(w.fulls - 2, 3) * (0.5 + self.rng.random())
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR):
            w.bad += 1
            if outcome is not Outcome.ERROR or w.bad > 2:
                w.avoid = self.now + min(8000.0, 1000.0 * 2**w.bad) * (0.5 + self.rng.random())

    def _copy(self, job: _Job, out: list[api.Action]) -> None:
        """A worker has not confirmed: its connection may have fallen silent, or it says so late. Another copy
        goes to a worker of the same group, and the first to end counts."""
        (n, (w, sent)), = job.out.items()
        if n in job.taken or job.tries >= self.set.max_attempts or self.now > job.end - job.own or (
                self.set.classes[job.cls].effect is Effect.UNSAFE):
            return
        job.left.add(w.id)
        self._bind(job, w, sent)
        out.append(api.SetTimer(job.id << 3 | TAKING, TAKE / 4))  # until a copy is out
        if (other := self._pick(job, out)) is not None:
            self._send(job, other, out)

    def _bind(self, job: _Job, w: _Worker, sent: float) -> None:
        """From now on the job may have run: what carries a key keeps to those that know it."""
        if sent < job.ran:
            job.ran, cls = sent, self.set.classes[job.cls]
            if cls.effect is Effect.KEYED and w.cell < 0:
                job.group = ALONE
            elif cls.effect is Effect.KEYED and cls.group is not Group.ALL:
                job.group = w.zone if cls.group is Group.ZONE else w.cell + CELLS
                job.shape = (*job.shape[:3], job.group)

    def _again(self, job: _Job, w: _Worker, sent: float, outcome: Outcome, out: list[api.Action]) -> None:
        """After an attempt that did not serve: another one if the class allows it, else the final answer."""
        cls = self.set.classes[job.cls]
        if outcome not in NEVER_RAN:
            self._bind(job, w, sent)
        if job.out or job.waiting:
            return
        may = job.ran == inf or cls.effect is Effect.SAFE or (
            cls.effect is Effect.KEYED and self.now < job.ran + cls.window and job.group != ALONE)
        if may and job.tries < self.set.max_attempts and self.now < job.end - 3 * self.set.tick:
            self._wait(job)  # with its old tags
        else:
            self._answer(job, out)

    def _answer(self, job: _Job, out: list[api.Action]) -> None:
        """The final answer of a job that was not served: a refusal if harmless, else a failure."""
        cls = self.set.classes[job.cls]
        clean = job.ran == inf and not job.out
        keyed = cls.effect is Effect.KEYED and cls.group is Group.ALL and job.group != ALONE
        harmless = clean or keyed or cls.effect is Effect.SAFE
        self._finish(job, out)
        out.append(api.Refuse(job.id) if harmless else api.Fail(job.id))

    def _finish(self, job: _Job, out: list[api.Action]) -> None:
        job.done = True
        self._unwait(job)
        for n in job.out:
            if self.set.may_cancel:
                out.append(api.CancelAttempt(job.id, n))
        if not job.out:
            self.jobs.pop(job.id, None)

    def _probed(self, e: api.ProbeEnded, out: list[api.Action]) -> None:
        w = self.workers.get(e.worker)
        if w is None:
            return
        w.probing, w.asked = False, self.now
        if e.outcome is Outcome.OK:
            self._reported(w, e.report, out)
            self._release(w, out)
        elif e.outcome is not Outcome.FULL:  # one that takes no more probes is busy with them, not ill
            w.bad += 1
            w.avoid = self.now + min(8000.0, 1000.0 * 2**w.bad) * (0.5 + self.rng.random())

    def _timer(self, token: int, out: list[api.Action]) -> None:
        what = token & 7
        if what == DEADLINE:
            job = self.jobs.get(token >> 3)
            if job is not None and not job.done and self.now < inf > job.end:
                self._answer(job, out)
        elif what == SWEEPING:
            self.sweeping = False
            self.look = min(SWEEP_MOST, self.look * 1.5)
            self._sweep(out)
        elif what == TAKING:
            job = self.jobs.get(token >> 3)
            if job is not None and not job.done and not job.waiting and len(job.out) == 1:
                self._copy(job, out)
        elif what == WATCHING and self.set.watch_needed and not self.watching and self.now >= self.due - 1:
            self.asked = True
            out.append(api.WatchWorkers(True))
            self._watch_at(max(CALL, self.set.ask_every / 2) * (1 + self.rng.random()), out)

    def _sweep_later(self, out: list[api.Action]) -> None:
        if not self.waiting:
            self.look = SWEEP
        elif not self.sweeping:
            self.sweeping = True
            out.append(api.SetTimer(SWEEPING, self.look * self.set.tick))

    def _sweep(self, out: list[api.Action]) -> None:
        """Look again at what waits: refuse what can no longer be in time, offer the rest."""
        look, now = LOOK if self.set.price_fetch else 1, self.now
        for flow in self.flows:
            for heap in list(flow.heaps.values()):
                while (head := self._head(heap)) is not None and (self.barred or now > head.late):
                    # said at once, while the client may still try again without harm
                    self._answer(head, out)
                for _, ticket, job in heap[:look]:
                    if ticket == job.ticket:
                        self._offer(job, out)
                head = self._head(heap)
                if head is not None and now > (head.came + head.late) / 2 and self._starved():
                    self._knock(head, out)
        self._sweep_later(out)

    def _starved(self) -> bool:
        """Whether this node holds less than half its even share of the slots, by two slots or more."""
        size = sum(self.size.values()) / len(self.size) if self.size else 1.0
        return self.own + 2 <= len(self.workers) * size / self.set.nodes / 2

    def _knock(self, job: _Job, out: list[api.Action]) -> None:
        """Queue one job at a worker that shows no free slot. Nodes use a slot that comes back again at once,
        so one that starts late in a full fleet would never see any free (burton-3)."""
        kind, group = self.set.classes[job.cls].kind, job.shape[3]
        pool = self._homes(job) if self._homely(job) else self._pool(kind, group, -1)
        start = self.rng.randrange(len(pool)) if pool else 0
        for w in (pool[start:] + pool[:start])[:SCAN]:
            if w.held or w.exact or self.now <= max(w.avoid, w.shy):
                continue
            if self._fits(job, w) and self._turn_ok(w, job):
                self._release(w, out, float(job.slots))
                break
