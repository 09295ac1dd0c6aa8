"""Table of delayed jobs: states, parents, set times, deadlines and limits. Does no I/O and reads no clock.

Callers pass two times, both in ms: `now`, a steady clock that only moves forward, and `wall`, the wall clock, which set
times refer to and which may be stepped in either direction. Work that may touch many jobs (the end of a parent, an
amendment by state or type, the shutdown) is queued as an iterator that `step` advances one job at a time, so that no
call takes long and long dependency chains need no recursion.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace
from math import inf

from millethead.decide.interface import JobClass
from millethead.exchange.model import Answer, Final, Order
from millethead.exchange.records import Record
from millethead.exchange.stage import Amendment, InvalidOrder, Reply
from millethead.waiting.ageing import ANSWER_MARGIN_MS, ClassDeadlines, FlowQueue
from millethead.waiting.calendar import Calendar
from millethead.waiting.dependencies import Dependencies
from millethead.waiting.entry import Action, EndReason, Entry, Finish, JobState, LimitReached, Offer, RecordLookup
from millethead.waiting.setup import WaitingSetup

# How late a set time may be noticed because of its bucket, the interval of wall clock checks, and other due jobs. Up to
# this delay a job's deadline counts from its set time; a longer one is taken for a step of the wall clock.
MAX_NOTICE_DELAY_MS = 1500.0
WALL_CLOCK_CHECK_MS = 500.0  # interval of the checks while a job waits for a set time, as the clock may be stepped
CHEAP_STEPS_PER_OFFER = 16  # steps of each cheap kind (microseconds each) for one step that offers a job
OFFER_CHECK_MS = 10.0  # interval of the checks of queues whose offers all wait for a worker


class DelayedJobs:
    """All jobs of the stage that have no final answer yet.

    `aged_flow` is the number of the scheduling module's flow for aged jobs; with None, aged jobs stay in the flow of
    their tenant, which only comparisons use.
    """

    def __init__(
        self, setup: WaitingSetup, class_names: Sequence[str], classes: Sequence[JobClass], aged_flow: int | None
    ) -> None:
        self.setup, self.classes, self.aged_flow = setup, classes, aged_flow
        self.deadlines = ClassDeadlines(setup, class_names)
        self.entries: dict[int, Entry] = {}
        self.stopping = False
        self.counted_jobs = self.counted_bytes = 0  # jobs that count toward the limits, and bytes of their bodies
        self.retried = 0  # how often a refused job was queued for another offer
        self.counts = dict.fromkeys(JobState, 0)
        self._entries_by_id: dict[str, dict[str, Entry]] = {}  # by origin and job id
        self._dependencies = Dependencies()
        self._last_number = 0
        self._now = 0.0
        self._set_times = Calendar(early=False)  # wall clock
        self._deadline_calendar = Calendar(early=True)  # steady clock
        self._flow_queues: dict[int, FlowQueue] = {}
        self._pending_work: deque[Iterator[None]] = deque()
        self._actions: list[Action] = []

    # ---- queries -------------------------------------------------------------------------------------

    def find(self, origin: str, job_id: str) -> Entry | None:
        """The job with this id, if it has no final answer yet."""
        return self._entries_by_id.get(origin, {}).get(job_id)

    @property
    def dependency_count(self) -> int:
        """Number of (child, parent) pairs whose parent has not ended."""
        return self._dependencies.count

    def take_actions(self) -> list[Action]:
        """Returns the actions to carry out, in order, and forgets them."""
        actions, self._actions = self._actions, []
        return actions

    def next_step_delay(self, now: float, wall: float) -> float:
        """ms until `step` has something to do; inf if it has nothing to do until another method is called."""
        if self._pending_work or self._actions:
            return 0.0
        delay = max(0.0, self._deadline_calendar.next_due() - now)
        if (first := self._set_times.next_due()) < inf:
            delay = min(delay, max(0.0, min(first - wall, WALL_CLOCK_CHECK_MS)))
        if any(self._flow_queues.values()):
            delay = min(delay, OFFER_CHECK_MS)
        return delay

    # ---- events --------------------------------------------------------------------------------------

    def arrive(self, order: Order, reply: Reply, lookup: RecordLookup, now: float, wall: float) -> Entry:
        """Adds a job. Raises InvalidOrder for an invalid order and LimitReached if a limit does not allow it."""
        self._now, plan = now, order.plan
        if plan is None:
            entry = self._new_entry(order, reply, now)
            entry.due_at, entry.offer_count = now, 1
            self._limit_deadline(entry)
            self._actions.append(Offer(entry, order))
            return entry
        if plan.at > wall + self.setup.horizon_s * 1000:
            raise InvalidOrder(f"the set time is more than {self.setup.horizon_s:.0f} s ahead")
        if order.waits and plan.at > wall + order.asked:
            raise InvalidOrder("the set time is later than the client waits for its answer")
        parents: dict[int, Entry] = {}
        parent_failed = False
        for parent_id in plan.after:
            parent, record = self._find_parent(order, parent_id, lookup)
            if parent is not None:
                parents[parent.number] = parent
            elif record is None:
                raise InvalidOrder(f"no job {parent_id} is known to wait for")
            else:
                parent_failed |= record.final is not Final.SERVED and not plan.run_if_parent_fails
        if self.stopping:
            raise LimitReached("stopping")
        self._check_limits(order, len(parents))
        entry = self._new_entry(order, reply, now)
        self._count_toward_limits(entry)
        if order.waits:
            entry.deadline = now + order.asked - ANSWER_MARGIN_MS
            self._deadline_calendar.add(entry.deadline, entry.number)
        if parent_failed:
            self._finish(entry, Answer(Final.FAILED), EndReason.PARENT_FAILED)
            return entry
        if parents:
            self._dependencies.link(entry, parents)
        if plan.at > wall:
            self._set_state(entry, JobState.SCHEDULED)
            self._set_times.add(plan.at, entry.number)
        elif parents:
            self._set_state(entry, JobState.WAITING)
        else:
            self._become_due(entry, now)
        return entry

    def answered(self, entry: Entry, answer: Answer, record: Record | None, now: float) -> None:
        """Handles the next stage's answer to an offer: queues the job for another offer if it may be retried, else
        finishes it with this answer."""
        if entry.state is not JobState.OFFERED:
            return
        self._now = now
        order, flow_queue = entry.order, self._flow_queues.get(self._flow(entry))
        job_class = self.classes[order.job_class]
        if flow_queue is not None and answer.final is Final.REFUSED:
            flow_queue.offer_refused(entry, now, now - entry.offered_at)
        if not self.stopping and self.deadlines.may_retry(order, job_class, answer, record, now, entry.deadline):
            try:
                if not entry.counts_toward_limits:
                    self._check_limits(order, 0)
                    self._count_toward_limits(entry)
            except LimitReached:
                self._finish(entry, answer, EndReason.LIMIT_REACHED)
                return
            entry.record = None
            self.retried += 1
            self._deadline_calendar.add(entry.deadline, entry.number)
            self._set_state(entry, JobState.AGED)
            self._flow_queue(entry).add(entry)
            return
        self._finish(entry, answer, None)

    def withdraw(self, entry: Entry) -> None:
        """Ends a job that its client no longer wants, without an answer. Its children fail."""
        if entry.state is not JobState.ENDED:
            self._finish(entry, None, None if entry.state is JobState.OFFERED else EndReason.WITHDRAWN)

    def amend(self, amendment: Amendment) -> None:
        """Queues the withdrawal of the jobs that the amendment names, or makes them due now."""
        by_id = self._entries_by_id.get(amendment.origin, {})
        candidates: Iterable[Entry] = (
            list(by_id.values())
            if amendment.ids is None
            else [entry for job_id in amendment.ids if (entry := by_id.get(job_id)) is not None]
        )
        self._pending_work.append(self._amend_each(amendment, candidates))

    def _amend_each(self, amendment: Amendment, candidates: Iterable[Entry]) -> Iterator[None]:
        for entry in candidates:
            if entry.state.value == amendment.state and amendment.jobtype in ("", entry.order.jobtype):
                if not amendment.make_due:
                    self._finish(entry, None, EndReason.WITHDRAWN)
                elif entry.state is JobState.SCHEDULED:
                    self._set_time_reached(entry, self._now)
            yield

    def stop(self) -> None:
        """Queues the refusal of every job that the next stage does not hold. None of them has run."""
        self.stopping = True
        self._pending_work.append(self._refuse_each(list(self.entries.values())))

    def _refuse_each(self, entries: list[Entry]) -> Iterator[None]:
        for entry in entries:
            if entry.state not in (JobState.OFFERED, JobState.ENDED):
                self._finish(entry, Answer(Final.REFUSED), EndReason.STOPPING)
            yield

    # ---- time passes ---------------------------------------------------------------------------------

    def step(self, now: float, wall: float, max_rounds: int) -> bool:
        """Does up to `max_rounds` rounds of work; returns whether there may be more to do now."""
        self._now = now
        worked = True
        while worked and max_rounds > 0:
            # each round does some work of each kind, so that no kind delays due jobs or answers
            worked = False
            for cheap_step in (self._advance_pending_work, self._expire_next, self._start_next_scheduled):
                remaining = CHEAP_STEPS_PER_OFFER
                while remaining and cheap_step(now, wall):
                    worked, remaining = True, remaining - 1
            worked |= self._offer_next(now)
            max_rounds -= 1
        return worked

    def _advance_pending_work(self, now: float, wall: float) -> bool:
        if not self._pending_work:
            return False
        try:
            next(self._pending_work[0])
        except StopIteration:
            self._pending_work.popleft()
        return True

    def _expire_next(self, now: float, wall: float) -> bool:
        """Refuses one job whose deadline has passed; returns False if there is none."""
        number = self._deadline_calendar.pop(now)
        if number is None:
            return False
        entry = self.entries.get(number)
        # an offered job is answered by the next stage, which has the same deadline
        if entry is not None and entry.state is not JobState.OFFERED:
            self._finish(entry, Answer(Final.REFUSED), EndReason.DEADLINE)
        return True

    def _start_next_scheduled(self, now: float, wall: float) -> bool:
        """Moves on one job whose set time has come; returns False if there is none."""
        number = self._set_times.pop(wall)
        if number is None:
            return False
        entry = self.entries.get(number)
        if entry is not None and entry.state is JobState.SCHEDULED and entry.order.plan is not None:
            if entry.order.plan.at > wall:  # the wall clock was stepped back after its bucket became due
                self._set_times.add(entry.order.plan.at, number)
            else:
                # a longer delay means that the clock was stepped forward, which must not shorten the job's deadline
                delay = wall - entry.order.plan.at
                self._set_time_reached(entry, now - delay if delay <= MAX_NOTICE_DELAY_MS else now)
        return True

    def _offer_next(self, now: float) -> bool:
        """Offers one job. The queues of the flows take turns, so that a tenant with many jobs does not block others."""
        if self.stopping:
            return False
        for flow, flow_queue in self._flow_queues.items():
            entry = flow_queue.next_to_offer(now)
            if entry is not None:
                flow_queue.remove(entry)
                flow_queue.mark_offered(entry)
                del self._flow_queues[flow]  # re-inserted last: round robin
                self._flow_queues[flow] = flow_queue
                aged = entry.state is JobState.AGED
                entry.offer_count += 1
                self._set_state(entry, JobState.OFFERED)
                order = entry.order
                job_class = self.classes[order.job_class]
                self._actions.append(
                    Offer(
                        entry,
                        replace(
                            order,
                            left=max(1.0, min(job_class.deadline, entry.deadline - now)),
                            plan=None,
                            fresh=True,
                            flow=self.aged_flow if aged else None,
                            again=entry.offer_count > 1,
                        ),
                    )
                )
                return True
        return False

    # ---- helpers -------------------------------------------------------------------------------------

    def _find_parent(self, order: Order, job_id: str, lookup: RecordLookup) -> tuple[Entry | None, Record | None]:
        """The entry of a parent that has not ended, or the record of one that has. The origin of the order is searched
        first, then the others."""
        if job_id == order.id:
            raise InvalidOrder("a job cannot wait for itself")
        for origin in (order.origin, *(other for other in self._entries_by_id if other != order.origin)):
            entry = self.find(origin, job_id)
            if entry is not None:
                return entry, None
            record = lookup(origin, job_id)
            if record is not None and record.ended:
                return None, record
        return None, None

    def _check_limits(self, order: Order, parent_count: int) -> None:
        """Raises LimitReached if one more job with so many parents exceeds a limit."""
        setup = self.setup
        for name, used, added, limit in (
            ("jobs", self.counted_jobs, 1, setup.jobs),
            ("edges", self.dependency_count, parent_count, setup.edges),
            ("bytes", self.counted_bytes, len(order.body), setup.bytes),
        ):
            if used + added > limit:
                raise LimitReached(name)

    def _new_entry(self, order: Order, reply: Reply, now: float) -> Entry:
        self._last_number += 1
        entry = Entry(self._last_number, order, reply, now)
        self.entries[entry.number] = entry
        self._entries_by_id.setdefault(order.origin, {})[order.id] = entry
        self.counts[entry.state] += 1
        return entry

    def _count_toward_limits(self, entry: Entry) -> None:
        entry.counts_toward_limits = True
        self.counted_jobs += 1
        self.counted_bytes += len(entry.order.body)

    def _set_state(self, entry: Entry, state: JobState) -> None:
        self.counts[entry.state] -= 1
        self.counts[state] += 1
        entry.state = state

    def _flow(self, entry: Entry) -> int:
        """The key of the job's queue: the flow of aged jobs (-1 if there is none) or the job's tenant."""
        if entry.offer_count > 1 or entry.state is JobState.AGED:
            return -1 if self.aged_flow is None else self.aged_flow
        return entry.order.tenant

    def _flow_queue(self, entry: Entry) -> FlowQueue:
        flow = self._flow(entry)
        flow_queue = self._flow_queues.get(flow)
        if flow_queue is None:
            flow_queue = self._flow_queues[flow] = FlowQueue(self.setup.offers)
        return flow_queue

    def _limit_deadline(self, entry: Entry) -> None:
        """Applies the deadline of the job's class, which counts from when the job became due."""
        order = entry.order
        entry.deadline = min(
            entry.deadline, self.deadlines.deadline(order, self.classes[order.job_class], entry.due_at)
        )

    def _set_time_reached(self, entry: Entry, due_at: float) -> None:
        if entry.order.plan is not None:
            self._set_times.remove(entry.order.plan.at, entry.number)
        if entry.parents:
            self._set_state(entry, JobState.WAITING)
        else:
            self._become_due(entry, due_at)

    def _become_due(self, entry: Entry, due_at: float) -> None:
        """Queues a job that is ready to run; its class's deadline counts from `due_at`."""
        if self.stopping:
            self._finish(entry, Answer(Final.REFUSED), EndReason.STOPPING)
            return
        if entry.deadline < inf:
            self._deadline_calendar.remove(entry.deadline, entry.number)
        entry.due_at = due_at
        self._limit_deadline(entry)
        self._deadline_calendar.add(entry.deadline, entry.number)
        self._set_state(entry, JobState.DUE)
        self._flow_queue(entry).add(entry)

    def _finish(self, entry: Entry, answer: Answer | None, reason: EndReason | None) -> None:
        """Removes a job from the table. Every job leaves the table here."""
        order = entry.order
        if entry.state is JobState.SCHEDULED and order.plan is not None:
            self._set_times.remove(order.plan.at, entry.number)
        elif entry.state in (JobState.DUE, JobState.AGED):
            self._flow_queue(entry).remove(entry)
        if entry.deadline < inf:
            self._deadline_calendar.remove(entry.deadline, entry.number)
        self.counts[entry.state] -= 1
        entry.state = JobState.ENDED
        del self.entries[entry.number], self._entries_by_id[order.origin][order.id]
        if entry.counts_toward_limits:
            self.counted_jobs -= 1
            self.counted_bytes -= len(order.body)
        self._dependencies.unlink(entry)
        if entry.children:
            served = answer is not None and answer.final is Final.SERVED
            self._pending_work.append(self._update_children(entry, entry.children, served))
            entry.children = None
        self._actions.append(Finish(entry, answer, reason))

    def _update_children(self, parent: Entry, children: dict[int, Entry], served: bool) -> Iterator[None]:
        """Fails the children of a parent that was not served, unless they accept any end; queues those that have no
        other parent left."""
        for child in self._dependencies.release(parent, children):
            if child is not None:
                plan = child.order.plan
                if not served and not (plan is not None and plan.run_if_parent_fails):
                    self._finish(child, Answer(Final.FAILED), EndReason.PARENT_FAILED)
                elif not child.parents and child.state is JobState.WAITING:
                    self._become_due(child, self._now)
            yield
