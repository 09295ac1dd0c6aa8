"""The exchange: owns each job from its arrival to its one final answer, and tracks the attempts to run it.

Front ends call `arrive` and `withdraw`, and get one callback with the answer. The exchange calls `start`,
`give_up` and `probe` of the worker transports, which report back with `ended`, `probed` and `listed`. The decision
module alone decides what to do: each of these calls becomes one event for it, and the exchange executes the
actions that it returns, in order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

import structlog

from millethead.decide import interface as api
from millethead.decide.balance import Balancer
from millethead.exchange.counters import JobCounters
from millethead.exchange.held_jobs import MAX_HELD_JOBS, HeldJob, HeldJobs
from millethead.exchange.model import (
    Answer,
    Attempt,
    Clock,
    Final,
    Order,
    Worker,
    WorkerDiscovery,
    WorkerListing,
    WorkerTransport,
)
from millethead.exchange.module_queue import ModuleQueue
from millethead.exchange.records import WITHDRAWN, Record
from millethead.exchange.stage import (
    Amendment,
    Finished,
    InvalidOrder,
    Reply,
    arrive_individually,
    reject_deferred,
    reject_repeated,
)
from millethead.exchange.workers import UnlistedTransport, WorkerTable

OVERDUE_GRACE_MS = 8.0  # after this time past the deadline the exchange answers without the decision module

log = structlog.get_logger()


class Exchange:
    """The last stage of the pipeline.

    `flows` are additional flows of the decision module, for stages that hold jobs back. They follow the flows of
    the tenants: `Order.flow` is an index into both, counted from 0.
    """

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, flows: tuple[api.Tenant, ...] = ()) -> None:
        self.settings, self.clock, self.flows = settings, clock, flows
        self._fleet: dict[str, Any] = {}  # fields of `settings` that the cluster membership overrides
        self.discovery: WorkerDiscovery | None = None
        self.finished: Finished | None = None
        self._on_empty: Callable[[], None] | None = None
        self.closing = self.leaving = False
        self.max_unanswered = MAX_HELD_JOBS
        self.ends = float("inf")  # ms of the clock by which every job must be answered
        self._module = Balancer(self._with_flows(settings), seed)
        self._queue = ModuleQueue(clock, self._execute)
        self.jobs = HeldJobs()
        self._workers = WorkerTable()
        # called at the end of each attempt, with its duration in ms, and of each probe, with the worker's name
        self.on_attempt: Callable[[Attempt, api.Outcome, float], None] | None = None
        self.on_probe: Callable[[str, api.Outcome], None] | None = None
        self.counters = JobCounters(len(settings.classes))

    # ---- calls of the front ends -------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Whether some worker is in service and the exchange is not shutting down."""
        return not (self.closing or self.leaving) and any(w.open for w in self._workers)

    @property
    def held(self) -> int:
        """The number of jobs without a final answer."""
        return self.jobs.unanswered

    def record(self, origin: str, job_id: str) -> Record | None:
        """Returns the record of a job that is unanswered or ended recently."""
        return self.jobs.record(origin, job_id)

    def counts(self) -> dict[str, int]:
        return {}

    def arrive(self, order: Order, reply: Reply) -> int:
        """Accepts a job. `reply` is called once with its final answer, unless the job is withdrawn before."""
        now = self.clock.now()
        reject_deferred(order, now)
        known = self.record(order.origin, order.id)
        if known is not None and not self._may_be_resubmitted(order, known):
            self.counters.final(order.job_class, Final.FAILED)
            return reject_repeated(order, reply)
        if self.closing or not self.jobs.has_room(order, self.max_unanswered):
            log.warning("job_not_taken", job=order.id, closing=self.closing, held=len(self.jobs.by_number))
            self.counters.final(order.job_class, Final.REFUSED)
            reply(Answer(Final.REFUSED))
            return 0
        number = self.jobs.next_number()
        end = min(now + order.left, self.ends)
        held = HeldJob(number, order, reply, end, now, Record(now, came=now))
        self.jobs.add(held)
        held.timer = self.clock.later(end - now + OVERDUE_GRACE_MS, lambda: self._overdue(held))
        self._feed(
            api.JobArrived(
                number,
                order.job_class,
                order.left,
                order.slots,
                order.memory,
                order.tenant if order.flow is None else order.flow,
                order.route_key,
                order.expected_work,
                order.repeat,
                order.fresh,
            )
        )
        return number

    def _may_be_resubmitted(self, order: Order, known: Record) -> bool:
        """Whether a stage submits a refused job again that has not run or is safe to repeat."""
        safe = self.settings.classes[order.job_class].effect is api.Effect.SAFE
        return order.again and known.final is Final.REFUSED and (safe or not known.may_have_run)

    def arrive_all(self, orders: Sequence[tuple[Order, Reply]]) -> list[int | InvalidOrder]:
        return arrive_individually(self, orders)

    def amend(self, amendment: Amendment) -> None:
        """Does nothing: the exchange holds no jobs back, they wait for a worker or have started."""

    def withdraw(self, number: int) -> None:
        """Drops a job whose client has disconnected."""
        held = self.jobs.get(number)
        if held is not None and not held.closed:
            log.info("job_withdrawn", job=held.order.id)
            self._close(held, None)
            for attempt in held.attempts:
                if not attempt.fully_written:  # the worker cannot have started it, so cancelling needs no permission
                    self._give_up(attempt, api.Outcome.NEVER_SENT)
            self._feed(api.JobWithdrawn(number))
            self.jobs.forget(held)

    def reconfigure(self, settings: api.Settings) -> None:
        """Applies new settings for the same classes and tenants. Jobs already held keep their deadlines."""
        self.settings = settings
        self._module.reconfigure(self._with_flows(settings))

    def in_fleet(self, share: float, until: float, nodes: int, node: int) -> None:
        """Sets this node's place in the fleet: index `node` of `nodes`. It may use the fraction `share` of
        fleet-wide limits until the time `until`."""
        self._fleet = {"share": share, "share_until": until, "nodes": nodes, "node": node}
        self.reconfigure(self.settings)

    def _with_flows(self, settings: api.Settings) -> api.Settings:
        if self._fleet:
            settings = replace(settings, **self._fleet)
        if not self.flows:
            return settings
        return replace(settings, tenants=(settings.tenants or (api.Tenant(),)) + self.flows)

    def leave(self, left: float | None) -> None:
        """Continues, but answers every job within `left` ms, since the process may be killed after that."""
        if left is None:
            return
        self.leaving, self.ends = True, self.clock.now() + left
        for held in self.jobs:
            if not held.closed and held.end > self.ends:
                held.end = self.ends
                if held.timer is not None:
                    held.timer.cancel()
                held.timer = self.clock.later(left + OVERDUE_GRACE_MS, partial(self._overdue, held))
        self._feed(api.Closing(left))

    def close(self, empty: Callable[[], None]) -> None:
        """Accepts no more jobs; `empty` is called once all held jobs are answered."""
        self.closing, self._on_empty = True, empty
        self._call_if_empty()

    # ---- calls of the worker transports ------------------------------------------------------------

    def worker(self, name: str) -> Worker | None:
        return self._workers.named(name)

    @property
    def workers(self) -> list[Worker]:
        """All listed workers."""
        return list(self._workers)

    @property
    def down(self) -> int:
        """The number of workers that get no new work now, by the operator's or the decision module's choice."""
        return self._module.avoided_count(self.clock.now())

    @property
    def out(self) -> frozenset[str]:
        """The names of workers that an operator has taken out of service, listed or not."""
        return self._workers.out

    def take_out(self, names: Iterable[str]) -> None:
        """Sends no new work to these workers until they are put back into service, whatever the worker lists
        contain. Attempts in progress continue."""
        self._report_marked(self._workers.take_out(names))

    def put_back(self, names: Iterable[str]) -> None:
        self._report_marked(self._workers.put_back(names))

    def fleet_out(self, names: frozenset[str]) -> None:
        """Replaces the set of workers that the fleet has agreed to take out of service.

        Workers that an operator has taken out stay out.
        """
        self._report_marked(self._workers.fleet_out(names))

    def _report_marked(self, entries: list[api.WorkerEntry]) -> None:
        if entries:
            self._feed(api.WorkerList(api.ListForm.BY_OPERATOR, tuple(entries)))

    def listed(
        self,
        transport: WorkerTransport,
        form: api.ListForm,
        lines: Iterable[WorkerListing] = (),
        within: float = float("inf"),
    ) -> None:
        """Applies a worker list, or changes to it, from one transport.

        A complete list replaces only the workers of that transport. `within` is the longest time in ms until the
        next list is requested.
        """
        self._feed(api.WorkerList(form, self._workers.listed(transport, form, lines), within=within))

    def ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        result: bytes = b"",
        report: api.Report | None = None,
        unusable: bool = False,
    ) -> None:
        """Records the outcome of an attempt; only the first report counts.

        `unusable` means that the worker rejected the job itself as invalid.
        """
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        held = self.jobs.by_number[attempt.job]
        held.out -= 1
        if outcome not in api.NEVER_RAN:
            held.record.may_have_run = True
        if outcome is not api.Outcome.OK:
            log.info(
                "attempt_ended",
                job=attempt.order.id,
                attempt=attempt.number,
                worker=attempt.worker.name,
                outcome=outcome.name.lower(),
            )
        if outcome is api.Outcome.OK and not held.closed:
            self._close(held, Answer(Final.SERVED, result))
        elapsed = self.clock.now() - attempt.sent
        if self.on_attempt is not None:
            self.on_attempt(attempt, outcome, elapsed)
        self._feed(
            api.AttemptEnded(
                attempt.job, attempt.number, attempt.worker.number, outcome, elapsed, held.closed, report, unusable
            )
        )
        self.jobs.forget(held)

    def written(self, attempt: Attempt) -> None:
        """Records that the request of an attempt was written completely; from now on the job may have run."""
        attempt.fully_written = True
        self.counters.written[attempt.order.job_class] += 1

    def taken(self, attempt: Attempt) -> None:
        """Records that a worker has acknowledged a job."""
        if attempt.outcome is None:
            self._feed(api.AttemptTaken(attempt.job, attempt.number))

    def probed(
        self, worker: Worker, outcome: api.Outcome, elapsed: float = 0.0, report: api.Report | None = None
    ) -> None:
        if self.on_probe is not None:
            self.on_probe(worker.name, outcome)
        self._feed(api.ProbeEnded(worker.number, outcome, elapsed, report))

    # ---- events and actions of the decision module -------------------------------------------------

    def _feed(self, event: api.Event) -> None:
        self._queue.put(type(event).__name__, lambda now: self._module.handle(now, event))

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(token=token, delay=delay):
                self.clock.later(delay, lambda: self._feed(api.TimerFired(token)))
            case api.Send():
                self._send(action)
            case api.Probe(worker=number):
                worker = self._workers.numbered(number)
                if worker is not None:
                    worker.transport.probe(worker)
            case api.Refuse(job=number, pause=pause):
                self._answer(number, Answer(Final.REFUSED, pause=pause))
            case api.Fail(job=number):
                self._answer(number, Answer(Final.FAILED))
            case api.CancelAttempt(job=number, attempt=index):
                held = self.jobs.get(number)
                if held is not None and held.attempts[index].outcome is None:
                    self._give_up(held.attempts[index], api.Outcome.CANCELLED)
            case api.WatchWorkers(on=on):
                if self.discovery is not None:
                    self.discovery.watch(on)
            case api.ListWorkers():
                if self.discovery is not None:
                    self.discovery.ask()
            case _:  # pragma: no cover - TellPeers, which needs peer messages that do not exist here
                log.error("action_unknown", action=type(action).__name__)

    def _send(self, action: api.Send) -> None:
        held, worker = self.jobs.get(action.job), self._workers.numbered(action.worker)
        if held is None:
            log.error("send_without_job", number=action.job)
            return
        now = self.clock.now()
        end = min(held.end, now + action.timeout) if action.timeout else held.end
        if worker is None:
            log.error("send_to_unknown_worker", job=held.order.id, worker=action.worker)
            worker = Worker(action.worker, WorkerListing("unknown"), UnlistedTransport())
        attempt = Attempt(
            held.order,
            held.number,
            len(held.attempts),
            worker,
            now,
            end,
            any(a.worker.name == worker.name for a in held.attempts),
            now + action.within,
        )
        held.attempts.append(attempt)
        held.out += 1
        held.record.attempts += 1
        effect = self.settings.classes[held.order.job_class].effect
        again = held.record.may_have_run or held.out > 1
        if (
            held.closed
            or end <= now
            or attempt.number >= self.settings.max_attempts
            or isinstance(worker.transport, UnlistedTransport)
        ):
            self.ended(attempt, api.Outcome.NEVER_SENT)
        elif effect is api.Effect.UNSAFE and again:  # never run an unsafe job twice, whatever the module decides
            log.error("unsafe_resend_stopped", job=held.order.id)
            self.ended(attempt, api.Outcome.NEVER_SENT)
        else:
            attempt.timer = self.clock.later(end - now, lambda: self._give_up(attempt, api.Outcome.TIMEOUT))
            worker.transport.start(attempt)

    def _give_up(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt.outcome is None:
            attempt.worker.transport.give_up(attempt)
            self.ended(attempt, outcome)

    # ---- the final answer --------------------------------------------------------------------------

    def _answer(self, number: int, answer: Answer) -> None:
        held = self.jobs.get(number)
        if held is not None and not held.closed:
            self._close(held, answer)
            self.jobs.forget(held)

    def _close(self, held: HeldJob, answer: Answer | None) -> None:
        """Closes a job with its only answer (None: its client withdrew it). Every job is closed here."""
        held.closed = True
        if held.timer is not None:
            held.timer.cancel()
        now = self.clock.now()
        record = held.record
        record.at, record.ended, record.may_have_run = now, True, record.may_have_run or held.out > 0
        record.final, record.state = (answer.final, "") if answer is not None else (None, WITHDRAWN)
        self.jobs.answered(held, now)
        if answer is not None:
            self.counters.final(held.order.job_class, answer.final)
            if answer.final is not Final.SERVED:
                log.info(
                    "job_" + answer.final.value,
                    job=held.order.id,
                    attempts=len(held.attempts),
                    after_ms=round(now - held.came),
                )
            if held.reply is not None:
                held.reply(answer)
        if self.finished is not None:
            self.finished(held.order, answer, held.came, now)
        held.reply = None
        self._call_if_empty()

    def _overdue(self, held: HeldJob) -> None:
        if not held.closed:  # the decision module's timer fires earlier, unless the module has failed
            log.error("job_overdue", job=held.order.id)
            self._answer(held.number, Answer(Final.FAILED))
            self._feed(api.JobWithdrawn(held.number))

    def _call_if_empty(self) -> None:
        if self.closing and not self.jobs.unanswered and self._on_empty is not None:
            on_empty, self._on_empty = self._on_empty, None
            on_empty()
