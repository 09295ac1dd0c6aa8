"""The decisions of a node: it handles events (interface.py), releases jobs to workers and retries them.

Jobs wait in one flow per tenant and are released by RBFQ (RePAIR, 3.1 and 3.3): by the smallest due reservation tag,
else by the smallest weight tag. docs/design.md lists the deviations from the paper, docs/on-call.md the symptoms.
"""

from math import ceil, inf

from millethead.decide import interface as api
from millethead.decide.interface import NEVER_RAN, Effect, Group, ListForm, Outcome, WorkerState
from millethead.decide.picking import HEAP_SCAN_LIMIT, WORKER_SCAN_LIMIT, Picker
from millethead.decide.records import CELL_GROUPS, EMPTY_GROUP, Job, Worker, first_waiting

MIN_SWEEP_TICKS, MAX_SWEEP_TICKS = 4.0, 16.0  # first and longest interval between sweeps of the waiting jobs
STRETCH_WAIT_SHARE = 0.8  # of a job's stretch that it may wait: expected running times are inaccurate
KEY_COUNT_LIMIT = 4000  # keyed jobs after which all key counts are halved
WATCH_SPREAD_MS = 3.0  # calls of n nodes are spread over n * n times this, about their total queueing time
WATCH_TIMEOUT_MS = 4000.0  # by then a call to discovery has been answered or reported as failed, if at all
CONFIRM_TIMEOUT_MS = 800.0  # for a worker to confirm a job, which takes it almost no time
UNUSABLE_TOLERANCE = 4  # consecutive jobs that a worker may reject as unusable before that counts as its own failure
DEADLINE_TIMER, SWEEP_TIMER, WATCH_TIMER, CONFIRM_TIMER = range(4)  # low bits of a timer token


class Balancer(Picker):
    """Decisions of one node: `handle` takes an event at time `now` and returns the actions, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.jobs: dict[int, Job] = {}
        self.sequence, self.shutdown_at, self.sweep_ticks = 0, inf, MIN_SWEEP_TICKS
        self.watch_backoff, self.watch_at = 0.0, 0.0
        self.sweep_scheduled = self.watched = self.watch_requested = self.all_excluded = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.now = now
        out: list[api.Action] = []
        match event:
            case api.AttemptEnded():
                self._on_attempt_ended(event, out)
            case api.JobArrived():
                self._on_job_arrived(event, out)
            case api.TimerFired():
                self._on_timer(event.token, out)
            case api.ProbeEnded():
                self._on_probe_ended(event, out)
            case api.WorkerList():
                self._on_worker_list(event, out)
            case api.JobWithdrawn():
                job = self.jobs.get(event.job)
                if job is not None and not job.done:
                    self._close(job, out)
            case api.Closing(time_left=left):
                self.shutdown_at = now + left
                for job in self.jobs.values():
                    if not job.done and self.shutdown_at < job.deadline < inf:
                        job.deadline = self.shutdown_at
                        out.append(api.SetTimer(job.id << 3 | DEADLINE_TIMER, max(0.0, left - 2 * self.settings.tick)))
            case api.AttemptStreaming():
                job = self.jobs.get(event.job)
                if job is not None:
                    job.deadline = inf  # the response is being streamed to the client, so the attempt is final
            case api.AttemptTaken() if event.job in self.jobs:
                self.jobs[event.job].confirmed.add(event.attempt)
        return out

    def _on_worker_list(self, event: api.WorkerList, out: list[api.Action]) -> None:
        if event.form is ListForm.FAILED:
            self.watched = self.watch_requested = False
            self._schedule_watch(event.within, out)
            return
        if event.form < ListForm.CACHED and self.watch_requested:
            self.watched, self.watch_requested, self.watch_backoff = True, False, 0.0
        elif event.form is ListForm.CACHED and self.settings.watch_needed:
            self._schedule_watch(event.within, out)
        if event.form in (ListForm.FULL, ListForm.CACHED):
            listed = {entry.worker for entry in event.workers}
            for removed in [worker for worker in self.workers if worker not in listed]:
                self.workers.pop(removed).available = False
        for entry in event.workers:
            self.zone_full.setdefault(entry.zone, 0.0)  # a zone without reports counts as not full
            worker = self.workers.get(entry.worker)
            if entry.state is not WorkerState.READY:
                if worker is not None:  # at once, so that no waiting job can be sent to a draining worker
                    worker.available = False
                    if entry.state is WorkerState.GONE:
                        del self.workers[entry.worker]
            elif worker is None:
                worker = self.workers[entry.worker] = Worker(entry)
            elif entry.started != worker.started or worker.excluded > entry.excluded:
                worker.reset(entry.started)  # a worker that an operator puts back is repaired: drop its failures
                if worker.excluded > entry.excluded and self.settings.may_probe:
                    self._probe([worker], out)
            if worker is not None:
                worker.excluded = entry.excluded
                worker.available = entry.state is WorkerState.READY and not worker.excluded
        self.all_excluded = any(worker.excluded for worker in self.workers.values()) and not any(
            worker.available for worker in self.workers.values())
        self.pools.clear()
        self.cache_ranking.clear()
        self.preferred = None
        self._sweep(out)

    def _schedule_watch(self, within: float, out: list[api.Action]) -> None:
        """Schedule a call to discovery. It serves one call after another, including those that have timed out, so the
        calls of nodes that start or fail together are spread over the time that it needs for all of them."""
        nodes, longest = self.settings.nodes, min(self.settings.ask_every / 2, within)
        spread = min(longest, WATCH_SPREAD_MS * nodes * nodes)
        first = spread * (self.settings.node + self.rng.random()) / nodes
        self._watch_after(self.rng.random() * min(longest, self.watch_backoff) if self.watch_backoff else first, out)
        self.watch_backoff = min(longest, 2 * self.watch_backoff + spread)

    def _watch_after(self, delay: float, out: list[api.Action]) -> None:
        self.watch_at = self.now + delay  # timers cannot be cancelled, so earlier ones are ignored
        out.append(api.SetTimer(WATCH_TIMER, delay))

    def _on_job_arrived(self, event: api.JobArrived, out: list[api.Action]) -> None:
        if event.job_class >= len(self.settings.classes):  # an unknown class; the job never ran, so a refusal is safe
            out.append(api.Refuse(event.job))
            return
        now, cls = self.now, self.settings.classes[event.job_class]
        flow = self.flows[event.tenant if event.tenant < len(self.flows) else 0]
        self.sequence += 1
        job = self.jobs[event.job] = Job(
            event, flow, self.sequence, now, event.expected_work or self.mean_times[event.job_class])
        submitted = now if event.fresh else job.deadline - cls.deadline  # time of the client's first try
        job.latest_start = submitted + cls.aim + STRETCH_WAIT_SHARE * (cls.stretch - 1) * job.running_time
        self.mean_slots += 0.01 * (job.slots - self.mean_slots)
        if self.all_excluded or (now > job.latest_start and self.waiting_count):
            self._answer_unserved(job, out)  # a late repeat must not take a slot from a job that can be in time
            return
        if job.key and self.settings.price_fetch:
            self.key_counts[job.key] = self.key_counts.get(job.key, 0.0) + 1
            self.keyed_jobs += 1
            if self.keyed_jobs > KEY_COUNT_LIMIT:
                self.keyed_jobs /= 2
                self.key_counts = {key: count / 2 for key, count in self.key_counts.items() if count > 1}
        self._assign_tags(job)
        self._enqueue(job)
        job.deadline = min(job.deadline, self.shutdown_at)  # the timer ensures a final answer in any case
        out.append(api.SetTimer(event.job << 3 | DEADLINE_TIMER, max(0.0, job.deadline - now - 2 * self.settings.tick)))
        self._place(job, out)
        self._schedule_sweep(out)

    def _place(self, job: Job, out: list[api.Action]) -> None:
        """Find a worker with a free slot for this job; the tags decide which waiting job gets the slot."""
        while job.waiting and (worker := self._pick_worker(job, out)) is not None:
            if not self._release(worker, out):
                break

    def _release(self, worker: Worker, out: list[api.Action], min_free: float = 0.0) -> int:
        """Request scheduling (RePAIR, 3.1): while `worker` has a free slot, send it the flows' first fitting job with
        the smallest due reservation tag, else with the smallest weight tag. Returns the number of jobs sent."""
        now, released = self.now, 0
        while self.waiting_count and (free := max(self._free_slots(worker), min_free)) >= 1:
            best, best_rank = None, (2, 0.0)
            for flow in self.flows:
                if flow.waiting_count:
                    fitting = [job for shape, heap in flow.heaps.items()
                               if shape[1] <= free and (job := self._first_eligible(heap, worker)) is not None]
                    if fitting:
                        head = min(fitting, key=lambda job: job.reservation_tag)
                        reservation_tag = head.reservation_tag - flow.reservation_offset
                        rank = (0, reservation_tag) if reservation_tag <= now else (1, head.weight_tag)
                        if rank < best_rank:
                            best, best_rank, first = min(fitting, key=self._urgency), rank, head
            if best is None:
                break
            # tags belong to the tenant's turn: the released job swaps its own with the job that had the smallest
            best.reservation_tag, best.weight_tag, first.reservation_tag, first.weight_tag = (
                first.reservation_tag, first.weight_tag, best.reservation_tag, best.weight_tag)
            if best_rank[0]:
                best.flow.reservation_offset += best.slots / self.mean_slots / best.flow.reservation
            self._send(best, worker, out)
            released, min_free = released + 1, 0.0
        return released

    def _send(self, job: Job, worker: Worker, out: list[api.Action]) -> None:
        now = self.now
        self._dequeue(job)
        self.add_attempt(job, job.attempts, worker, now)
        job.attempts += 1
        if self._is_cold(worker):
            worker.cold_turn = self._cold_turn(worker, now) + ceil(self._work(job) / self.mean_work) - 1
        cls = self.settings.classes[job.job_class]  # a repeat has to start within the deduplication window
        out.append(api.Send(
            job.id, worker.id, within=job.first_sent + cls.window - now if cls.effect is Effect.KEYED else inf))
        if worker.confirms and self.settings.parallel_attempts:
            out.append(api.SetTimer(job.id << 3 | CONFIRM_TIMER, CONFIRM_TIMEOUT_MS))

    def _on_attempt_ended(self, event: api.AttemptEnded, out: list[api.Action]) -> None:
        now, job = self.now, self.jobs.get(event.job)
        if job is None or event.attempt not in job.in_flight:
            return
        worker, sent = job.in_flight.pop(event.attempt)
        if self.remove_attempt(job, worker, sent) and event.outcome not in NEVER_RAN:
            worker.completions.append((now, sent, job.slots))
        worker.unusable_streak = worker.unusable_streak + 1 if event.unusable else 0
        if worker.unusable_streak > UNUSABLE_TOLERANCE or not event.unusable:
            self._update_health(worker, job, event.outcome, event.elapsed, now)
        self._apply_report(worker, event.report, out)
        if event.final and not job.done:
            job.done = True
            self._dequeue(job)
        if not job.done and event.unusable:
            self._close(job, out)  # other workers would reject it too, and each would appear to fail
            out.append(api.Fail(job.id))
        elif not job.done:
            self._retry_or_answer(job, worker, sent, event.outcome, out)
        if job.done and not job.in_flight:
            self.jobs.pop(job.id, None)
        self._release(worker, out)
        if job.waiting:
            self._place(job, out)
        self._schedule_sweep(out)

    def _send_copy(self, job: Job, out: list[api.Action]) -> None:
        """Send a second attempt to another worker of the group if the first worker has not confirmed: its connection
        may be dead, or its confirmation late. The first attempt to end counts."""
        (attempt, (worker, sent)), = job.in_flight.items()
        if attempt in job.confirmed or job.attempts >= self.settings.max_attempts or (
                self.now > job.deadline - job.running_time) or (
                self.settings.classes[job.job_class].effect is Effect.UNSAFE):
            return
        job.unconfirmed.add(worker.id)
        self._bind_to_group(job, worker, sent)
        out.append(api.SetTimer(job.id << 3 | CONFIRM_TIMER, CONFIRM_TIMEOUT_MS / 4))  # try again if no worker is free
        if (other := self._pick_worker(job, out)) is not None:
            self._send(job, other, out)

    def _bind_to_group(self, job: Job, worker: Worker, sent: float) -> None:
        """The job may have run: from now on a keyed one stays in the group of workers that drop its repeats."""
        if sent < job.first_sent:
            job.first_sent, cls = sent, self.settings.classes[job.job_class]
            if cls.effect is Effect.KEYED and worker.cell < 0:
                job.group = EMPTY_GROUP
            elif cls.effect is Effect.KEYED and cls.group is not Group.ALL:
                job.group = worker.zone if cls.group is Group.ZONE else worker.cell + CELL_GROUPS
                job.shape = (*job.shape[:3], job.group)

    def _retry_or_answer(self, job: Job, worker: Worker, sent: float, outcome: Outcome, out: list[api.Action]) -> None:
        """After an unsuccessful attempt: queue the job again if its class allows a retry, else answer it."""
        cls = self.settings.classes[job.job_class]
        if outcome not in NEVER_RAN:
            self._bind_to_group(job, worker, sent)
        if job.in_flight or job.waiting:
            return
        may_retry = job.first_sent == inf or cls.effect is Effect.SAFE or (
            cls.effect is Effect.KEYED and self.now < job.first_sent + cls.window and job.group != EMPTY_GROUP)
        if may_retry and job.attempts < self.settings.max_attempts and self.now < job.deadline - 3 * self.settings.tick:
            self._enqueue(job)  # with its old tags
        else:
            self._answer_unserved(job, out)

    def _answer_unserved(self, job: Job, out: list[api.Action]) -> None:
        """The final answer of a job that was not served: a refusal if a retry is harmless, else a failure."""
        cls = self.settings.classes[job.job_class]
        never_ran = job.first_sent == inf and not job.in_flight
        deduplicated = cls.effect is Effect.KEYED and cls.group is Group.ALL and job.group != EMPTY_GROUP
        harmless = never_ran or deduplicated or cls.effect is Effect.SAFE
        self._close(job, out)
        out.append(api.Refuse(job.id) if harmless else api.Fail(job.id))

    def _close(self, job: Job, out: list[api.Action]) -> None:
        job.done = True
        self._dequeue(job)
        for attempt in job.in_flight:
            if self.settings.may_cancel:
                out.append(api.CancelAttempt(job.id, attempt))
        if not job.in_flight:
            self.jobs.pop(job.id, None)

    def _on_probe_ended(self, event: api.ProbeEnded, out: list[api.Action]) -> None:
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        worker.probing, worker.probed_at = False, self.now
        if event.outcome is Outcome.OK:
            self._apply_report(worker, event.report, out)
            self._release(worker, out)
        elif event.outcome is not Outcome.FULL:  # a worker that rejects a probe is busy, not failing
            worker.failures += 1
            worker.avoid_until = self.now + min(8000.0, 1000.0 * 2**worker.failures) * (0.5 + self.rng.random())

    def _on_timer(self, token: int, out: list[api.Action]) -> None:
        timer = token & 7
        if timer == DEADLINE_TIMER:
            job = self.jobs.get(token >> 3)
            if job is not None and not job.done and self.now < inf > job.deadline:
                self._answer_unserved(job, out)
        elif timer == SWEEP_TIMER:
            self.sweep_scheduled = False
            self.sweep_ticks = min(MAX_SWEEP_TICKS, self.sweep_ticks * 1.5)
            self._sweep(out)
        elif timer == CONFIRM_TIMER:
            job = self.jobs.get(token >> 3)
            if job is not None and not job.done and not job.waiting and len(job.in_flight) == 1:
                self._send_copy(job, out)
        elif timer == WATCH_TIMER and self.settings.watch_needed and not self.watched and self.now >= self.watch_at - 1:
            self.watch_requested = True
            out.append(api.WatchWorkers(True))
            self._watch_after(max(WATCH_TIMEOUT_MS, self.settings.ask_every / 2) * (1 + self.rng.random()), out)

    def _schedule_sweep(self, out: list[api.Action]) -> None:
        if not self.waiting_count:
            self.sweep_ticks = MIN_SWEEP_TICKS
        elif not self.sweep_scheduled:
            self.sweep_scheduled = True
            out.append(api.SetTimer(SWEEP_TIMER, self.sweep_ticks * self.settings.tick))

    def _sweep(self, out: list[api.Action]) -> None:
        """Refuse the waiting jobs that can no longer be in time, and try to place the first of the others."""
        limit, now = HEAP_SCAN_LIMIT if self.settings.price_fetch else 1, self.now
        for flow in self.flows:
            for heap in list(flow.heaps.values()):
                while (head := first_waiting(heap)) is not None and (self.all_excluded or now > head.latest_start):
                    self._answer_unserved(head, out)  # at once, while the client can still retry without harm
                for _, entry, job in heap[:limit]:
                    if entry == job.heap_entry:
                        self._place(job, out)
                head = first_waiting(heap)
                if head is not None and now > (head.arrived_at + head.latest_start) / 2 and self._below_fair_share():
                    self._queue_at_worker(head, out)
        self._schedule_sweep(out)

    def _below_fair_share(self) -> bool:
        """Whether this node holds less than half of an equal share of the slots, by two slots or more."""
        slots = sum(self.kind_slots.values()) / len(self.kind_slots) if self.kind_slots else 1.0
        return self.held_slots + 2 <= len(self.workers) * slots / self.settings.nodes / 2

    def _queue_at_worker(self, job: Job, out: list[api.Action]) -> None:
        """Queue one job at a worker that reports no free slot. The other nodes reuse each slot as soon as it is freed,
        so a node that starts in a full fleet would never see a free one."""
        kind, group = self.settings.classes[job.job_class].kind, job.shape[3]
        pool = self._cache_workers(job) if self._needs_cache(job) else self._pool(kind, group, -1)
        start = self.rng.randrange(len(pool)) if pool else 0
        for worker in (pool[start:] + pool[:start])[:WORKER_SCAN_LIMIT]:
            if worker.held_slots or worker.exact or self.now <= max(worker.avoid_until, worker.backoff_until):
                continue
            if self._fits(job, worker) and self._cold_admits(worker, job):
                self._release(worker, out, float(job.slots))
                break
