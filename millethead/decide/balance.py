"""All decisions of millethead: events here, turns and picks in picking.py, workers in fleet.py. Words: interface.py.

Jobs wait in one flow per tenant and leave by RBFQ (RePAIR, 3.1 and 3.3): the smallest due local tag, else the
smallest global tag. A released job goes to a random fitting worker, weighted by estimated free slots.
docs/design.md says what was kept of the paper, what was changed and why; docs/on-call.md what to look for.
Names in brackets, as (burton-1), are incidents: tests/test_incidents.py has a test for each.
"""

from __future__ import annotations

from math import ceil, inf

from millethead.decide import interface as api
from millethead.decide.interface import NEVER_RAN, Effect, Group, ListForm, Outcome, WorkerState
from millethead.decide.picking import LOOK, SCAN, Picker
from millethead.decide.records import ALONE, CELLS, Job, Worker, first_waiting

SWEEP = 4.0  # ticks to the first look at the waiting jobs; later looks come at longer intervals
SWEEP_MOST = 16.0
PATIENCE = 0.8  # part of a job's stretch that may be waited away: hints of running times are rough
KEY_MEMORY = 4000  # jobs after which half the count of each key is forgotten
ASK_APART = 3.0  # ms by which calls of n nodes to discovery are spread, times n * n: what n at once wait in all
CALL = 4000.0  # ms in which a call to discovery is answered or told as failed, if it is at all
TAKE = 800.0  # ms for a worker that confirms to say that it has taken a job, which costs it next to nothing
ODD = 4  # jobs in a row that a worker calls unusable before that is held against the worker
DEADLINE, SWEEPING, WATCHING, TAKING = range(4)  # low bits of a timer token


class Balancer(Picker):
    """One node's decisions: `handle` takes an event at time `now` and returns the actions, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.jobs: dict[int, Job] = {}
        self.seq, self.closes, self.look, self.backoff, self.due = 0, inf, SWEEP, 0.0, 0.0
        self.sweeping = self.watching = self.asked = self.barred = False  # barred: all workers are out by hand

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
                w = self.workers[entry.worker] = Worker(entry)
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

    # ---- arrival and release: RBFQ -----------------------------------------------------------------

    def _arrived(self, e: api.JobArrived, out: list[api.Action]) -> None:
        if e.job_class >= len(self.set.classes):  # nothing is known of such a job but that it never ran
            out.append(api.Refuse(e.job))
            return
        now, cls = self.now, self.set.classes[e.job_class]
        flow = self.flows[e.tenant if e.tenant < len(self.flows) else 0]
        self.seq += 1
        job = self.jobs[e.job] = Job(e, flow, self.seq, now, e.expected_work or self.took[e.job_class])
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

    def _offer(self, job: Job, out: list[api.Action]) -> None:
        """Look for a slot that this job could use, and let the tags decide who gets it."""
        while job.waiting and (w := self._pick(job, out)) is not None:
            if not self._release(w, out):
                break

    def _release(self, w: Worker, out: list[api.Action], least: float = 0.0) -> int:
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

    def _send(self, job: Job, w: Worker, out: list[api.Action]) -> None:
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

    def _copy(self, job: Job, out: list[api.Action]) -> None:
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

    def _bind(self, job: Job, w: Worker, sent: float) -> None:
        """From now on the job may have run: what carries a key keeps to those that know it."""
        if sent < job.ran:
            job.ran, cls = sent, self.set.classes[job.cls]
            if cls.effect is Effect.KEYED and w.cell < 0:
                job.group = ALONE
            elif cls.effect is Effect.KEYED and cls.group is not Group.ALL:
                job.group = w.zone if cls.group is Group.ZONE else w.cell + CELLS
                job.shape = (*job.shape[:3], job.group)

    def _again(self, job: Job, w: Worker, sent: float, outcome: Outcome, out: list[api.Action]) -> None:
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

    def _answer(self, job: Job, out: list[api.Action]) -> None:
        """The final answer of a job that was not served: a refusal if harmless, else a failure."""
        cls = self.set.classes[job.cls]
        clean = job.ran == inf and not job.out
        keyed = cls.effect is Effect.KEYED and cls.group is Group.ALL and job.group != ALONE
        harmless = clean or keyed or cls.effect is Effect.SAFE
        self._finish(job, out)
        out.append(api.Refuse(job.id) if harmless else api.Fail(job.id))

    def _finish(self, job: Job, out: list[api.Action]) -> None:
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
                while (head := first_waiting(heap)) is not None and (self.barred or now > head.late):
                    # said at once, while the client may still try again without harm
                    self._answer(head, out)
                for _, ticket, job in heap[:look]:
                    if ticket == job.ticket:
                        self._offer(job, out)
                head = first_waiting(heap)
                if head is not None and now > (head.came + head.late) / 2 and self._starved():
                    self._knock(head, out)
        self._sweep_later(out)

    def _starved(self) -> bool:
        """Whether this node holds less than half its even share of the slots, by two slots or more."""
        size = sum(self.size.values()) / len(self.size) if self.size else 1.0
        return self.own + 2 <= len(self.workers) * size / self.set.nodes / 2

    def _knock(self, job: Job, out: list[api.Action]) -> None:
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
