"""Worker state of one node: reports, estimated free slots, health, lost jobs and the budget of cold workers."""

from math import floor, inf
from random import Random

from millethead.decide import interface as api
from millethead.decide.records import CELL_GROUPS, Job, Worker

OVERDUE_FACTOR, OVERDUE_GRACE_MS = 2.0, 600.0  # an attempt is overdue after factor * expected running time + grace
CLASS_AVOID_MS = 12_000.0  # how long a worker that lost a job gets no other of its class
RECENT_SUCCESS_MS, MAX_REPORT_AGE_MS = 2000.0, 600.0  # age of a success that shows health; of a report that arrives
COLD_OVERCOMMIT_FACTOR = 1.5  # many turns at a cold worker lapse unused; a factor of 3 is the limit


class FleetState:
    """Estimates from worker reports, and the slots that this node's own attempts hold."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rng, self.now = settings, Random(seed), 0.0
        self.workers: dict[int, Worker] = {}
        self.pools: dict[tuple[int, int, int], list[Worker]] = {}
        self.mean_times = [c.deadline / 10 for c in settings.classes]  # mean by class, ms
        self.kind_pace: dict[int, float] = {}  # running time by worker kind, relative to `mean_times`
        self.kind_capacity: dict[int, float] = {}  # by kind: held jobs + free slots, where reports have both
        self.zone_full: dict[int, float] = {}  # by zone: share of reports that show no free slot
        self.kind_slots: dict[int, float] = {}  # by kind: slots of a worker, from reports
        self.mean_work = sum(self.mean_times) / len(self.mean_times)  # of a job, in slot-ms
        self.mean_slots = 1.0  # of a job
        self.report_period = 0.0  # ms between two reports of a worker, learned
        self.report_trust = 1.0  # share of reported free slots to count on: other nodes see and use them too
        self.class_lost_at: dict[int, float] = {}  # by class: when a worker was last found to have lost a job
        self.held_slots = 0  # by this node's attempts

    def avoided_count(self, now: float) -> int:
        """Number of listed workers that are excluded by an operator or avoided after failures."""
        return sum(worker.excluded or now < worker.avoid_until for worker in self.workers.values())

    def _pool(self, kind: int | None, group: int, locality: int) -> list[Worker]:
        """Available workers of a kind and deduplication group, shuffled. Locality 1: own zone, 0: others, -1: all."""
        key = (-1 if kind is None else kind, group, locality)
        pool = self.pools.get(key)
        if pool is None:
            zone = self.settings.zone
            pool = [w for w in self.workers.values() if w.available and (kind is None or w.kind == kind)
                    and (locality < 0 or (w.zone == zone) == bool(locality))
                    and (group < 0 or group == (w.zone if group < CELL_GROUPS else w.cell + CELL_GROUPS))]
            self.rng.shuffle(pool)
            self.pools[key] = pool
        return pool

    def _report_lifetime(self) -> float:
        """Ms for which a report is used: until the next one is due, or for a tenth of a mean job."""
        return max(self.report_period, 0.1 * self.mean_work / self.mean_slots)

    def _report_expired(self, worker: Worker) -> bool:
        return self.now - worker.received_at > self._report_lifetime()

    def _free_slots(self, worker: Worker) -> float:
        """Estimated free slots: the trusted part of the report, minus sends and plus completions that it misses."""
        now, report_time, change = self.now, worker.report_time, 0.0
        if now < worker.avoid_until:
            return 0.0
        for at, slots, _ in worker.in_flight:
            if at >= report_time:
                change -= slots
        for _, sent, slots in worker.completions:
            if sent < report_time:
                change += slots
        if now < worker.backoff_until:
            return change  # it has just rejected a job: only slots freed since then are certain
        if worker.exact:
            return worker.free_slots + change
        free = int(worker.free_slots * self.report_trust + worker.rounding) + change
        if self._report_expired(worker) and (self.settings.may_probe or not worker.held_slots):
            # Without probes, assume one free slot, and only once the last reported queue can have drained: many
            # nodes that each try one slot would fill the workers' queues, where tags do not decide the order.
            full = 0.0 if self.settings.may_probe else self.zone_full.get(worker.zone, 0.0)
            drain_time = self.mean_work / self.mean_slots * full * worker.queued
            return min(free, 1.0) if self.now - worker.received_at < drain_time else max(
                min(free, 1.0), 1.0 - worker.held_slots)
        return free

    def _detect_lost_jobs(self, worker: Worker, held: float, out: list[api.Action]) -> None:
        """Compare overdue attempts, sent before the report can have been made, with the jobs that the worker reports
        to hold. The excess is lost, even if the worker shows free slots and completes jobs of other classes."""
        since = self.now - self.report_period - MAX_REPORT_AGE_MS
        overdue = sorted((x for x in worker.own_jobs.values() if x[1] < since), key=lambda x: x[:2])
        for _, _, job in overdue[:max(0, len(overdue) - round(held))]:
            worker.class_avoided[job.job_class] = self.now + CLASS_AVOID_MS
            self.class_lost_at[job.job_class] = self.now
            if self.settings.classes[job.job_class].effect is api.Effect.SAFE and self.settings.may_cancel:
                out += [api.CancelAttempt(job.id, n) for n, (x, _) in job.in_flight.items() if x is worker]

    def _apply_report(self, worker: Worker, report: api.Report | None, out: list[api.Action]) -> None:
        now = self.now
        if report is None or report.free_slots is None:
            return
        values = (report.free_slots, report.queued, report.held, report.busy)
        if values == worker.last_report and any(x is not None and x != int(x) for x in values):
            self.report_period = max(self.report_period, now - worker.received_at)  # the same report again
            return
        self.report_period *= 0.999
        worker.last_report = values
        if report.held is not None:
            self._detect_lost_jobs(worker, report.held, out)
        # negative where jobs queue at the worker: they have to finish before a slot is free
        worker.queued = report.queued or 0.0
        worker.free_slots = report.free_slots - worker.queued
        if report.held is not None and report.queued is None:
            size = self.kind_capacity.get(worker.kind, 0.0)
            if report.free_slots >= 1:
                size = self.kind_capacity[worker.kind] = size + (0.1 if size else 1.0) * (
                    worker.free_slots + report.held - size)
            elif size:
                worker.free_slots = min(worker.free_slots, size - report.held)
        # in a full fleet reports show few free slots, so the slots that this node holds at the worker count too
        size = floor(max(worker.free_slots, 0.0) + worker.held_slots + 0.3)
        if size > self.kind_slots.get(worker.kind, 1.0):
            self.kind_slots[worker.kind] = size
        worker.free_memory = inf if report.free_memory is None else report.free_memory
        worker.exact, worker.received_at = report.exact, now
        self.zone_full[worker.zone] = self.zone_full.get(worker.zone, 0.0) + 0.05 * (
            (worker.free_slots < 1) - self.zone_full.get(worker.zone, 0.0))
        min_age = 0.0 if worker.exact or self.settings.reports_in_answers else MAX_REPORT_AGE_MS / 2  # period unknown
        worker.report_time = now if worker.exact else now - max(0.85 * self.report_period, min_age)
        worker.completions = [] if worker.exact else [x for x in worker.completions if x[0] >= worker.report_time]
        worker.rounding = self.rng.random() if self.report_trust < 0.99 else 0.25
        if worker.report_time > worker.rejected_at:
            worker.backoff_until = -inf

    def add_attempt(self, job: Job, number: int, worker: Worker, sent: float) -> None:
        """Record attempt `number` of the job as in flight at `worker`."""
        job.in_flight[number] = (worker, sent)
        worker.in_flight.append((sent, job.slots, job.memory))
        worker.held_slots += job.slots
        self.held_slots += job.slots
        worker.own_jobs[job.id] = (sent + OVERDUE_FACTOR * job.running_time * self.kind_pace.get(worker.kind, 1.0)
                                   + OVERDUE_GRACE_MS, sent, job)

    def remove_attempt(self, job: Job, worker: Worker, sent: float) -> bool:
        """Undo `add_attempt`; False if the worker has restarted since and no longer counts the attempt."""
        worker.own_jobs.pop(job.id, None)
        if (sent, job.slots, job.memory) not in worker.in_flight:
            return False
        worker.in_flight.remove((sent, job.slots, job.memory))
        worker.held_slots -= job.slots
        self.held_slots -= job.slots
        return True

    def _update_health(self, worker: Worker, job: Job, outcome: api.Outcome, elapsed: float, now: float) -> None:
        """Update the health of a worker and the learned running times from the outcome of an attempt."""
        if outcome is api.Outcome.OK:
            worker.failures = worker.rejections = 0
            worker.class_succeeded[job.job_class] = now
            worker.class_avoided.pop(job.job_class, None)
            self.report_trust = min(1.0, self.report_trust * 1.015)
            if not worker.started or now > worker.started + self.settings.cold_time:
                expected = job.running_time * self.kind_pace.get(worker.kind, 1.0)
                ratio = min(elapsed / expected, 10.0) if expected else 1.0
                worker.slowdown = max(0.3, worker.slowdown + 0.15 * (ratio - worker.slowdown))
                drift = 1 + 0.02 * (min(ratio, 3.0) - 1)
                self.kind_pace[worker.kind] = max(0.2, min(5.0, self.kind_pace.get(worker.kind, 1.0) * drift))
                self.mean_times[job.job_class] += 0.03 * (
                    min(elapsed, 5 * self.mean_times[job.job_class]) - self.mean_times[job.job_class])
                self.mean_work += 0.03 * (min(elapsed * job.slots, 5 * self.mean_work) - self.mean_work)
        elif outcome is api.Outcome.FULL:
            # other nodes took the slots: trust reported free slots less, and retry this worker after a growing backoff
            if not worker.exact:
                self.report_trust = max(0.5 / self.settings.nodes, self.report_trust * 0.9)
            worker.rejections += 1
            worker.free_slots, worker.report_time, worker.rejected_at, worker.completions = 0.0, now, now, []
            worker.backoff_until = now + self.mean_work / self.mean_slots * 2.0 ** min(worker.rejections - 2, 3) * (
                0.5 + self.rng.random())
        elif outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.ERROR):
            worker.failures += 1
            if outcome is not api.Outcome.ERROR or worker.failures > 2:
                worker.avoid_until = self.now + min(8000.0, 1000.0 * 2**worker.failures) * (0.5 + self.rng.random())

    def _work(self, job: Job) -> float:
        return job.slots * max(self.mean_times[job.job_class], job.running_time)  # slot-ms

    def _is_cold(self, worker: Worker) -> bool:
        return 0 < worker.started >= self.now - self.settings.cold_time

    def _cold_turn(self, worker: Worker, at: float) -> int:
        """Number of this node's last turn at a cold worker by time `at`. The work that the worker can have done by
        then, in mean jobs, is dealt to the nodes in turn; worker hash and node index spread the turns evenly."""
        s, t = self.settings, max(0.0, at - worker.started)
        capacity = COLD_OVERCOMMIT_FACTOR * self.kind_slots.get(worker.kind, 1.0) * t * (
            s.cold_from + (1 - s.cold_from) * t / 2 / s.cold_time)
        turns = capacity / self.mean_work / s.nodes if s.share is None else (
            capacity / self.mean_work * s.share if self.now < s.share_until else 0.0)
        return floor(turns + (worker.id_hash / 2**32 + s.node / s.nodes) % 1.0)

    def _cold_admits(self, worker: Worker, job: Job) -> bool:
        """Whether the worker is warm or has a turn left for the job. A turn that is not used soon lapses, so that
        the saved turns of many nodes cannot fall into one window."""
        s, t = self.settings, self.now - worker.started
        if not self._is_cold(worker):
            return True
        share = s.cold_from + (1 - s.cold_from) * t / s.cold_time
        budget = s.fall_multiple * share * self.kind_slots.get(worker.kind, 1.0) * s.fall_window
        turn = self._cold_turn(worker, self.now)
        return (turn > worker.cold_turn and turn > self._cold_turn(worker, self.now - s.fall_window / 2)
                and self._work(job) < budget / 2)
