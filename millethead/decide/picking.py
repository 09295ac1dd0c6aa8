"""Whose turn it is, by the tags of RBFQ, and which worker a job goes to: a random fitting one, weighted by its room."""

from __future__ import annotations

from heapq import heappush
from itertools import islice
from math import ceil, inf

from millethead.decide import interface as api
from millethead.decide.fleet import PROVEN, SHUN, Fleet
from millethead.decide.records import CELLS, Flow, Heap, Job, Worker, first_waiting, mix

IDLE_CREDIT = 2.0  # sigma: jobs' worth of global lag that a returning tenant keeps
SOON = 500.0  # ms of patience left under which worth alone decides whose turn within a tenant it is
LOOK = 16  # waiting jobs of one shape looked at for one that a worker is home to
HOMES = 3  # workers that keep what a rarely asked key needs
SCAN = 24  # workers looked at for one release; the fleet is never ranked
PROBES = 3  # probes in one wave
SHARED, OWN = 2.0, 8.0  # nodes that try one worker first, and the weight of that


class Picker(Fleet):
    """Waiting jobs, a flow for each tenant, and the pick, with the workers that keep what a key needs."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.shift = 0.0  # added to every stored global tag
        self.flows = [Flow(n) for n in range(max(1, len(settings.tenants)))]
        self.waiting = self.tickets = 0
        self.keys: dict[int, float] = {}  # how often each key came lately
        self.keyed = 0.0
        self.homes: dict[tuple[int, int], list[Worker]] = {}
        self.owned: list[Worker] | None = None  # worked out anew when the list has changed
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

    def _tag(self, job: Job) -> None:
        """Tag-Adjustment, then Tag-Assignment (3.1), spaced by slots, with idle credit (3.3)."""
        now, flow = self.now, job.flow
        heads = [head.glob for f in self.flows if f.waiting for heap in f.heaps.values()
                 if (head := first_waiting(heap))]
        if heads:
            self.shift = now - min(heads)
        step = job.slots / self.slots
        job.local = max(flow.local + step / flow.reserve, now + flow.lowered)
        credit = 0.0 if flow.waiting or flow.glob == -inf else IDLE_CREDIT / flow.weight
        job.glob = max(flow.glob + step / flow.weight, now - credit - self.shift)
        flow.local, flow.glob = job.local, job.glob

    def _wait(self, job: Job) -> None:
        job.waiting = True
        job.flow.waiting += 1
        self.waiting += 1
        self.tickets += 1
        job.ticket = self.tickets  # an entry left over from an earlier wait must not come back to life
        heappush(job.flow.heaps.setdefault(job.shape, []), ((job.late, job.seq), job.ticket, job))

    def _unwait(self, job: Job) -> None:
        if job.waiting:
            job.waiting, job.ticket = False, 0
            job.flow.waiting -= 1
            self.waiting -= 1
            if first_waiting(job.flow.heaps[job.shape]) is None:
                del job.flow.heaps[job.shape]

    def _urgent(self, job: Job) -> float:
        """Of a tenant's first jobs of each shape the smallest takes its turn: patience left, over the worth
        of a slot's time. In order of arrival, long jobs of little worth let those worth most go late."""
        return (job.late - self.now + SOON) * self.took[job.cls] / max(self.set.classes[job.cls].worth, 1e-9)

    # ---- the pick ----------------------------------------------------------------------------------

    def _first(self, heap: Heap, w: Worker) -> Job | None:
        """The first waiting job of a shape that `w` may serve; where fetches cost, one that it is home to."""
        job = first_waiting(heap)
        if job is None or not self._fits(job, w) or not self._turn_ok(w, job):
            return None
        if not self._homely(job):
            return job
        return next((other for _, ticket, other in heap[:LOOK]
                     if ticket == other.ticket and w in self._homes(other)), None)

    def _fits(self, job: Job, w: Worker) -> bool:
        cls, group = self.set.classes[job.cls], job.shape[3]
        kind = cls.kind
        if job.ran < inf and cls.effect is api.Effect.KEYED and self.now >= job.ran + cls.window:
            return False  # it waited on until its group may have forgotten the key
        if job.memory and w.memory < job.memory + sum(m for at, _, m in w.sent if at >= w.stamp):
            return False  # it would hold up the worker's queue until it fits
        if w.id in job.left or self.now < w.shun.get(job.cls, -inf) or any(
                due < self.now and job.cls == held.cls for due, _, held in w.mine.values()):
            return False  # it takes such jobs and ends none, whatever its reports and other jobs say
        return (w.open and (kind is None or kind == w.kind) and (w.takes is None or job.cls in w.takes)
                and (group < 0 or group == (w.zone if group < CELLS else w.cell + CELLS)))

    def _homely(self, job: Job) -> bool:
        """Whether the job waits for a worker that keeps what its key needs, for as long as it can be in time:
        a fetch elsewhere holds slots for longer than the wait saves, and drives out what other jobs need
        (almaty-2). A repeat bound to a group goes where it may."""
        return bool(job.key and self.set.price_fetch) and job.shape[3] < 0

    def _homes(self, job: Job) -> list[Worker]:
        """The workers that keep what a key needs: the same few on every node (rendezvous hashing), more of
        them the more of the traffic the key draws. The next in rank stands in for one that is avoided."""
        kind = self.set.classes[job.cls].kind
        at = job.key, -1 if kind is None else kind
        ranked, pool = self.homes.get(at), self._pool(kind, -1, -1)
        if ranked is None:
            salt = mix(job.key & 0xFFFFFFFF ^ job.key >> 32)
            ranked = self.homes[at] = sorted(pool, key=lambda w: mix(salt ^ w.salt))
        share = self.keys.get(job.key, 0.0) / max(self.keyed, 50.0)
        return list(islice((w for w in ranked if self.now >= w.avoid), HOMES + int(1.5 * share * len(pool))))

    def _pick(self, job: Job, out: list[api.Action]) -> Worker | None:
        """A random fitting worker with room, weighted by the room; own zone first."""
        waited = (self.now - job.came) / max(1.0, job.late - job.came)
        stale: list[Worker] = []
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

    def _ask(self, stale: list[Worker], out: list[api.Action]) -> None:
        for w in stale[:PROBES]:
            w.probing = True
            out.append(api.Probe(w.id))

    def _draw(self, among: list[Worker], job: Job, stale: list[Worker],
              own: list[Worker] | None = None) -> Worker | None:
        rooms, total, probes, alarm = [], 0.0, self.set.may_probe, self.alarm.get(job.cls, -inf)
        once, own = self.set.classes[job.cls].effect is api.Effect.UNSAFE, own or []
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

    def _own(self) -> list[Worker]:
        """The few workers that this node tries first, dealt out evenly. Reports are late: what shows free draws all
        nodes at once (herd). Of what becomes of its own workers a node knows half by itself. None with few nodes."""
        if self.owned is None:
            zone, n = self.set.zone, self.set.nodes
            near = sorted((w for w in self.workers.values() if w.open and w.zone == zone), key=lambda w: w.salt)
            first, zones = self.set.node * len(near) // n, len({w.zone for w in self.workers.values()})
            count = ceil(SHARED * zones * len(near) / n)
            self.owned = (near[first:] + near[:first])[:count] if count < len(near) else []
        return self.owned
