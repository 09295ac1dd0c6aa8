"""What one node knows of the workers: their lists, reports and free slots, cold ones, and who swallows jobs."""

from __future__ import annotations

from math import floor, inf
from random import Random

from millethead.decide import interface as api
from millethead.decide.records import CELLS, Job, Worker

OVERDUE, GRACE = 2.0, 600.0  # hinted running times, and ms, after which an attempt is overdue
SHUN, PROVEN, UNSEEN = 12_000.0, 2000.0, 600.0  # ms: how long, what proves health, how late reports may be
BOLD = 1.5  # times what a cold worker can do that is dealt out: many turns lapse, and three times is the limit


class Fleet:
    """Estimates of all that is said of workers, and what this node itself has there."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.rng, self.now = settings, Random(seed), 0.0
        self.workers: dict[int, Worker] = {}
        self.pools: dict[tuple[int, int, int], list[Worker]] = {}
        self.took = [c.deadline / 10 for c in settings.classes]  # running time by class, learned
        self.pace: dict[int, float] = {}  # running time by kind, relative to `took`
        self.held: dict[int, float] = {}  # slots by kind, where reports tell held jobs and free slots
        self.busy: dict[int, float] = {}  # part of the reports from a zone that show no free slot
        self.size: dict[int, float] = {}  # slots of a worker by kind, learned from reports
        self.work = sum(self.took) / len(self.took)  # slot-ms of a mean job
        self.slots = 1.0  # slots of a mean job
        self.period = 0.0  # how long a report stays the same, learned
        self.trust = 1.0  # part of a reported gap that this node may count on; the other nodes see it too
        self.alarm: dict[int, float] = {}  # when a class was last found swallowed somewhere
        self.own = 0  # slots that this node's attempts hold

    def down(self, now: float) -> int:
        """How many listed workers are left out, by hand or since they failed lately."""
        return sum(w.out or now < w.avoid for w in self.workers.values())

    def _pool(self, kind: int | None, group: int, near: int) -> list[Worker]:
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

    def _stays(self) -> float:
        """How long a report is of use: until the next one may be made, or a tenth of a job has run."""
        return max(self.period, 0.1 * self.work / self.slots)

    def _old(self, w: Worker) -> bool:
        return self.now - w.heard > self._stays()

    def _room(self, w: Worker) -> float:
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

    def _missed(self, w: Worker, held: float, out: list[api.Action]) -> None:
        """Compare own attempts, older than any report, with what the worker says it holds: what is not there
        has been swallowed, though the worker shows free slots and ends jobs of other classes."""
        since = self.now - self.period - UNSEEN
        old = sorted((x for x in w.mine.values() if x[1] < since), key=lambda x: x[:2])
        for _, _, job in old[:max(0, len(old) - round(held))]:
            w.shun[job.cls] = self.now + SHUN
            self.alarm[job.cls] = self.now
            if self.set.classes[job.cls].effect is api.Effect.SAFE and self.set.may_cancel:
                out += [api.CancelAttempt(job.id, n) for n, (x, _) in job.out.items() if x is w]

    def _reported(self, w: Worker, report: api.Report | None, out: list[api.Action]) -> None:
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

    def put_out(self, job: Job, n: int, w: Worker, sent: float) -> None:
        """Book attempt `n` as out at `w`."""
        job.out[n] = (w, sent)
        w.sent.append((sent, job.slots, job.memory))
        w.held += job.slots
        self.own += job.slots
        w.mine[job.id] = sent + OVERDUE * job.own * self.pace.get(w.kind, 1.0) + GRACE, sent, job

    def put_away(self, job: Job, w: Worker, sent: float) -> bool:
        """Undo that; False where the worker has started anew since, and holds nothing of it."""
        w.mine.pop(job.id, None)
        if (sent, job.slots, job.memory) not in w.sent:
            return False
        w.sent.remove((sent, job.slots, job.memory))
        w.held -= job.slots
        self.own -= job.slots
        return True

    def _judge(self, w: Worker, job: Job, outcome: api.Outcome, elapsed: float, now: float) -> None:
        """What an outcome says about its worker."""
        if outcome is api.Outcome.OK:
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
        elif outcome is api.Outcome.FULL:
            # other nodes filled the gap: trust reported gaps less, try this worker again ever later
            if not w.exact:
                self.trust = max(0.5 / self.set.nodes, self.trust * 0.9)
            w.fulls += 1
            w.free, w.stamp, w.full, w.ended = 0.0, now, now, []
            w.shy = now + self.work / self.slots * 2.0 ** min(w.fulls - 2, 3) * (0.5 + self.rng.random())
        elif outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.ERROR):
            w.bad += 1
            if outcome is not api.Outcome.ERROR or w.bad > 2:
                w.avoid = self.now + min(8000.0, 1000.0 * 2**w.bad) * (0.5 + self.rng.random())

    def _cost(self, job: Job) -> float:
        return job.slots * max(self.took[job.cls], job.own)

    def _cold(self, w: Worker) -> bool:
        return 0 < w.started >= self.now - self.set.cold_time

    def _turn(self, w: Worker, at: float) -> int:
        """A cold worker is sent what it can carry, no more. The work it can have done by `at` is cut into
        mean jobs, dealt to the nodes in turn; hash and node index spread the turns evenly."""
        s, t = self.set, max(0.0, at - w.started)
        able = BOLD * self.size.get(w.kind, 1.0) * t * (s.cold_from + (1 - s.cold_from) * t / 2 / s.cold_time)
        mine = able / self.work / s.nodes if s.share is None else (
            able / self.work * s.share if self.now < s.share_until else 0.0)
        return floor(mine + (w.salt / 2**32 + s.node / s.nodes) % 1.0)

    def _turn_ok(self, w: Worker, job: Job) -> bool:
        """A turn not taken soon lapses, so that saved turns of many nodes cannot fall into one window."""
        s, t = self.set, self.now - w.started
        if not self._cold(w):
            return True
        share = s.cold_from + (1 - s.cold_from) * t / s.cold_time
        budget = s.fall_multiple * share * self.size.get(w.kind, 1.0) * s.fall_window
        turn = self._turn(w, self.now)
        return (turn > w.turn and turn > self._turn(w, self.now - s.fall_window / 2)
                and self._cost(job) < budget / 2)
