"""Order of the waiting jobs by their RBFQ tags, and random choice of a worker, weighted by its free slots."""

from heapq import heappush
from itertools import islice
from math import ceil, inf

from millethead.decide import interface as api
from millethead.decide.fleet import CLASS_AVOID_MS, RECENT_SUCCESS_MS, FleetState
from millethead.decide.records import CELL_GROUPS, Flow, Job, JobHeap, Worker, first_waiting, hash32

IDLE_CREDIT_JOBS = 2.0  # sigma in RePAIR: how far, in jobs, a returning tenant's weight tag may lag behind
URGENCY_SLACK_MS = 500.0  # below about this much slack a job's worth alone decides its rank in its tenant
HEAP_SCAN_LIMIT = 16  # waiting jobs of one shape searched for one that a worker holds the cache of
MIN_CACHE_WORKERS = 3  # workers that hold the cached data of a rarely requested key
WORKER_SCAN_LIMIT, PROBE_BATCH = 24, 3  # workers examined for one release, to bound its cost; probes sent at once
NODES_PER_PREFERRED_WORKER, PREFERRED_WEIGHT = 2.0, 8.0  # nodes that prefer the same worker; factor of its weight


class Picker(FleetState):
    """The waiting jobs, in one flow per tenant, and the choice of a worker for a job."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.weight_tag_shift = 0.0  # added to every stored weight tag
        self.flows = [Flow(n) for n in range(max(1, len(settings.tenants)))]
        self.waiting_count = self.last_heap_entry = 0
        self.key_counts: dict[int, float] = {}  # recent jobs by key, decaying
        self.keyed_jobs = 0.0  # sum of `key_counts`
        self.cache_ranking: dict[tuple[int, int], list[Worker]] = {}  # by key and worker kind
        self.preferred: list[Worker] | None = None  # None: to be computed from the current worker list
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings with the same classes and tenants. Assigned tags do not change."""
        self.settings = settings
        known = [t.reservation for t in settings.tenants if t.reservation]
        mean = sum(known) / len(known) if known else 1.0
        for flow, tenant in zip(self.flows, settings.tenants or (None,), strict=True):
            flow.total_reservation = (tenant.reservation if tenant and tenant.reservation is not None else mean) / 1000
            flow.weight = (tenant.weight if tenant else 1.0) * mean / 1000 / settings.nodes
            flow.reservation = max(flow.total_reservation / settings.nodes, 1e-9)

    def _assign_tags(self, job: Job) -> None:
        """Tag adjustment and assignment (RePAIR, 3.1) with tags spaced by slots and idle credit (3.3)."""
        now, flow = self.now, job.flow
        heads = [head.weight_tag for f in self.flows if f.waiting_count for heap in f.heaps.values()
                 if (head := first_waiting(heap))]
        if heads:
            self.weight_tag_shift = now - min(heads)
        spacing = job.slots / self.mean_slots
        job.reservation_tag = max(flow.reservation_tag + spacing / flow.reservation, now + flow.reservation_offset)
        credit = 0.0 if flow.waiting_count or flow.weight_tag == -inf else IDLE_CREDIT_JOBS / flow.weight
        job.weight_tag = max(flow.weight_tag + spacing / flow.weight, now - credit - self.weight_tag_shift)
        flow.reservation_tag, flow.weight_tag = job.reservation_tag, job.weight_tag

    def _enqueue(self, job: Job) -> None:
        job.waiting = True
        job.flow.waiting_count += 1
        self.waiting_count += 1
        self.last_heap_entry += 1
        job.heap_entry = self.last_heap_entry  # a new number, so that an entry of an earlier wait stays invalid
        heappush(job.flow.heaps.setdefault(job.shape, []), ((job.latest_start, job.sequence), job.heap_entry, job))

    def _dequeue(self, job: Job) -> None:
        if job.waiting:
            job.waiting, job.heap_entry = False, 0
            job.flow.waiting_count -= 1
            self.waiting_count -= 1
            if first_waiting(job.flow.heaps[job.shape]) is None:
                del job.flow.heaps[job.shape]

    def _urgency(self, job: Job) -> float:
        """Rank of a job among its tenant's first jobs of each shape, smallest first: slack over worth per slot time.
        In arrival order, long jobs of little worth would make the most valuable ones late."""
        return (job.latest_start - self.now + URGENCY_SLACK_MS) * self.mean_times[job.job_class] / max(
            self.settings.classes[job.job_class].worth, 1e-9)

    def _first_eligible(self, heap: JobHeap, worker: Worker) -> Job | None:
        """First waiting job of a shape that `worker` may run; with a fetch price, one that it holds the cache of."""
        job = first_waiting(heap)
        if job is None or not self._fits(job, worker) or not self._cold_admits(worker, job):
            return None
        if not self._needs_cache(job):
            return job
        return next((other for _, entry, other in heap[:HEAP_SCAN_LIMIT]
                     if entry == other.heap_entry and worker in self._cache_workers(other)), None)

    def _fits(self, job: Job, worker: Worker) -> bool:
        cls, group = self.settings.classes[job.job_class], job.shape[3]
        kind = cls.kind
        if job.first_sent < inf and cls.effect is api.Effect.KEYED and self.now >= job.first_sent + cls.window:
            return False  # the group may have forgotten the key while the job waited
        if job.memory and worker.free_memory < job.memory + sum(
                memory for at, _, memory in worker.in_flight if at >= worker.report_time):
            return False  # it would block the worker's queue until its memory is free
        if worker.id in job.unconfirmed or self.now < worker.class_avoided.get(job.job_class, -inf) or any(
                due < self.now and job.job_class == other.job_class for due, _, other in worker.own_jobs.values()):
            return False  # the worker accepts jobs of this class without completing them
        return (worker.available and (kind is None or kind == worker.kind)
                and (worker.job_classes is None or job.job_class in worker.job_classes)
                and (group < 0 or group == (worker.zone if group < CELL_GROUPS else worker.cell + CELL_GROUPS)))

    def _needs_cache(self, job: Job) -> bool:
        """Whether the job waits only for workers that cache its key's data: a fetch elsewhere holds slots for longer
        than the wait saves, and evicts other data. A repeat that is bound to a group takes any worker of the group."""
        return bool(job.key and self.settings.price_fetch) and job.shape[3] < 0

    def _cache_workers(self, job: Job) -> list[Worker]:
        """The workers that cache the data of a key, equal on every node (rendezvous hashing). Keys with more traffic
        have more of them. The next in rank replaces one that is avoided."""
        kind = self.settings.classes[job.job_class].kind
        at = job.key, -1 if kind is None else kind
        ranked, pool = self.cache_ranking.get(at), self._pool(kind, -1, -1)
        if ranked is None:
            key_hash = hash32(job.key & 0xFFFFFFFF ^ job.key >> 32)
            ranked = self.cache_ranking[at] = sorted(pool, key=lambda worker: hash32(key_hash ^ worker.id_hash))
        share = self.key_counts.get(job.key, 0.0) / max(self.keyed_jobs, 50.0)
        return list(islice((worker for worker in ranked if self.now >= worker.avoid_until),
                           MIN_CACHE_WORKERS + int(1.5 * share * len(pool))))

    def _pick_worker(self, job: Job, out: list[api.Action]) -> Worker | None:
        """A random fitting worker with free slots, weighted by their number; own zone first."""
        waited = (self.now - job.arrived_at) / max(1.0, job.latest_start - job.arrived_at)
        stale: list[Worker] = []
        if self._needs_cache(job):
            worker = self._draw([w for w in self._cache_workers(job) if self._fits(job, w)], job, stale)
            if worker is None:
                self._probe(stale, out)
            return worker
        # own zone first, unless most of its reports show no free slot and another zone is less full
        here, price = self.zone_full.get(self.settings.zone, 0.0), self.settings.price_cross_zone
        spill = here > min(0.9, 0.3 + 5 * price) and any(full < here - 0.1 for full in self.zone_full.values())
        for locality in (-1,) if spill else (1, 0):
            pool = self._pool(self.settings.classes[job.job_class].kind, job.shape[3], locality)
            if pool:
                start = self.rng.randrange(len(pool))
                first = self._preferred_workers() if job.shape[3] < 0 and locality else []
                # a turn at a cold worker lapses soon and few nodes have a job when they get one, so check these first
                first = [w for w in pool if self._is_cold(w) and w not in first and self._cold_admits(w, job)] + first
                candidates = first + [w for w in (pool[start:] + pool[:start])[:WORKER_SCAN_LIMIT] if w not in first]
                worker = self._draw(candidates, job, stale, first)
                if worker is not None:
                    return worker
                if stale or waited < 5 * price:
                    break
        self._probe(stale, out)
        return None

    def _probe(self, workers: list[Worker], out: list[api.Action]) -> None:
        for worker in workers[:PROBE_BATCH]:
            worker.probing = True
            out.append(api.Probe(worker.id))

    def _draw(self, candidates: list[Worker], job: Job, stale: list[Worker],
              preferred: list[Worker] | None = None) -> Worker | None:
        """One of the candidates, at random by weight; appends those whose report has expired to `stale`."""
        choices, total, probes, lost_at = [], 0.0, self.settings.may_probe, self.class_lost_at.get(job.job_class, -inf)
        once, preferred = self.settings.classes[job.job_class].effect is api.Effect.UNSAFE, preferred or []
        for worker in candidates:
            if not self._fits(job, worker):
                continue
            if probes and self._report_expired(worker):
                # probe it whatever the estimate: otherwise a node only reuses the free slots that it found once
                if self.now > max(worker.avoid_until, worker.backoff_until) and not worker.probing and (
                        self.now - worker.probed_at > self._report_lifetime()):
                    stale.insert(0 if worker in preferred else len(stale), worker)
            elif (free := self._free_slots(worker)) >= job.slots and self._cold_admits(worker, job):
                weight = free / worker.slowdown * (1.1 - self.zone_full.get(worker.zone, 0.0))
                if worker.class_succeeded.get(job.job_class, -inf) < lost_at - RECENT_SUCCESS_MS and (
                        self.now < lost_at + CLASS_AVOID_MS):
                    weight *= 0.05
                if worker in preferred:
                    weight *= PREFERRED_WEIGHT
                if once:  # spread them: a worker that loses such jobs must not get several before that is detected
                    weight /= 1 + 8 * sum(x.job_class == job.job_class for _, _, x in worker.own_jobs.values())
                total += weight
                choices.append((total, worker))
        if not choices:
            return None
        x = self.rng.random() * total
        return next((worker for upper, worker in choices if upper >= x), choices[-1][1])

    def _preferred_workers(self) -> list[Worker]:
        """The few workers of its zone that this node tries first, distributed evenly over many nodes, none with few. A
        late report attracts all nodes to one slot; half the changes at its preferred workers a node makes itself."""
        if self.preferred is None:
            zone, nodes = self.settings.zone, self.settings.nodes
            near = sorted((w for w in self.workers.values() if w.available and w.zone == zone), key=lambda w: w.id_hash)
            first, zones = self.settings.node * len(near) // nodes, len({w.zone for w in self.workers.values()})
            count = ceil(NODES_PER_PREFERRED_WORKER * zones * len(near) / nodes)
            self.preferred = (near[first:] + near[:first])[:count] if count < len(near) else []
        return self.preferred
