"""The exchange: owns each job from arrival to its one final answer, with its attempts and what may have run.

Client side calls `arrive` and `withdraw` and is called back once with the answer. Server side is told to
`start`, `give_up` or `probe` and calls `ended`, `probed` and `listed`. What to do is said by the decision
module alone: each of these calls becomes one of its events, and its actions are carried out in order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

import structlog

from millethead.decide import interface as api
from millethead.decide.balance import Balancer
from millethead.exchange.held import HELD, HeldJob, HeldJobs
from millethead.exchange.model import (
    Answer,
    Attempt,
    Clock,
    Final,
    Listed,
    Order,
    Roster,
    ServerSide,
    Worker,
)
from millethead.exchange.module_queue import ModuleQueue
from millethead.exchange.records import WITHDRAWN, Record
from millethead.exchange.stage import Amendment, Finished, Reply, Unusable, no_plan, one_by_one, repeated
from millethead.exchange.tally import Tally
from millethead.exchange.workers import Nowhere, WorkerTable

OVERDUE = 8.0  # ms past the deadline after which the exchange answers without waiting for the module

log = structlog.get_logger()


class Exchange:
    """The last stage. `flows` are put behind those of the tenants, for stages that hold jobs back (`Order.flow`
    counts from 0 through both)."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, flows: tuple[api.Tenant, ...] = ()) -> None:
        self.settings, self.clock, self.flows = settings, clock, flows
        self._fleet: dict[str, Any] = {}  # what membership says of this node's place, over what the settings do
        self.roster: Roster | None = None
        self.finished: Finished | None = None
        self._on_empty: Callable[[], None] | None = None
        self.closing = self.leaving = False
        self.most = HELD  # jobs that owe their answer at once
        self.ends = float("inf")
        self._module = Balancer(self._with_flows(settings), seed)
        self._queue = ModuleQueue(clock, self._act)
        self.jobs = HeldJobs()
        self._workers = WorkerTable()
        self.on_attempt: Callable[[Attempt, api.Outcome, float], None] | None = None  # told of each end, with its ms
        self.on_probe: Callable[[str, api.Outcome], None] | None = None
        self.tally = Tally(len(settings.classes))

    # ---- client side -------------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Whether some worker is known to which work could go."""
        return not (self.closing or self.leaving) and any(w.open for w in self._workers)

    @property
    def held(self) -> int:
        """Jobs that still owe their final answer."""
        return self.jobs.owing

    def record(self, origin: str, job_id: str) -> Record | None:
        """What is known of a job by its id: held (no answer yet), or ended not long ago."""
        return self.jobs.record(origin, job_id)

    def counts(self) -> dict[str, int]:
        return {}

    def arrive(self, order: Order, reply: Reply) -> int:
        """Take a job in; `reply` is called once with its final answer unless it is withdrawn first."""
        now = self.clock.now()
        no_plan(order, now)
        known = self.record(order.origin, order.id)
        if known is not None and not self._offered_again(order, known):
            self.tally.final(order.job_class, Final.FAILED)
            return repeated(order, reply)
        if self.closing or not self.jobs.has_room(order, self.most):
            log.warning("job_not_taken", job=order.id, closing=self.closing, held=len(self.jobs.by_number))
            self.tally.final(order.job_class, Final.REFUSED)
            reply(Answer(Final.REFUSED))
            return 0
        number = self.jobs.next_number()
        end = min(now + order.left, self.ends)
        held = HeldJob(number, order, reply, end, now, Record(now, came=now))
        self.jobs.add(held)
        held.timer = self.clock.later(end - now + OVERDUE, lambda: self._overdue(held))
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

    def _offered_again(self, order: Order, known: Record) -> bool:
        """Whether a job that comes once more was refused, and has not run or may be repeated."""
        safe = self.settings.classes[order.job_class].effect is api.Effect.SAFE
        return order.again and known.final is Final.REFUSED and (safe or not known.may_have_run)

    def arrive_all(self, orders: Sequence[tuple[Order, Reply]]) -> list[int | Unusable]:
        return one_by_one(self, orders)

    def amend(self, amendment: Amendment) -> None:
        """Nothing is held back here: a job waits for a worker, or has started."""

    def withdraw(self, number: int) -> None:
        """The client is gone: nothing more is owed."""
        held = self.jobs.get(number)
        if held is not None and not held.closed:
            log.info("job_withdrawn", job=held.order.id)
            self._close(held, None)
            for attempt in held.attempts:
                if not attempt.whole:  # nothing has begun: to drop it needs nobody's leave
                    self._give_up(attempt, api.Outcome.NEVER_SENT)
            self._feed(api.JobWithdrawn(number))
            self.jobs.forget(held)

    def reconfigure(self, settings: api.Settings) -> None:
        """New figures for the same classes and tenants; what is held keeps the deadline it came with."""
        self.settings = settings
        self._module.reconfigure(self._with_flows(settings))

    def in_fleet(self, share: float, until: float, nodes: int, node: int) -> None:
        """From now on this node is number `node` of `nodes`, and may use `share` of fleet-wide limits until the
        clock says `until`."""
        self._fleet = {"share": share, "share_until": until, "nodes": nodes, "node": node}
        self.reconfigure(self.settings)

    def _with_flows(self, settings: api.Settings) -> api.Settings:
        if self._fleet:
            settings = replace(settings, **self._fleet)
        if not self.flows:
            return settings
        return replace(settings, tenants=(settings.tenants or (api.Tenant(),)) + self.flows)

    def leave(self, left: float | None) -> None:
        """Go on, but with everything answered in `left` ms, since the program may be killed after that."""
        if left is None:
            return
        self.leaving, self.ends = True, self.clock.now() + left
        for held in self.jobs:
            if not held.closed and held.end > self.ends:
                held.end = self.ends
                if held.timer is not None:
                    held.timer.cancel()
                held.timer = self.clock.later(left + OVERDUE, partial(self._overdue, held))
        self._feed(api.Closing(left))

    def close(self, empty: Callable[[], None]) -> None:
        """Take nothing more; `empty` is called when all that is held has its answer."""
        self.closing, self._on_empty = True, empty
        self._empty()

    # ---- server side -------------------------------------------------------------------------------

    def worker(self, name: str) -> Worker | None:
        return self._workers.named(name)

    @property
    def workers(self) -> list[Worker]:
        """All workers that stand in a list now."""
        return list(self._workers)

    @property
    def down(self) -> int:
        """How many of them get nothing new now, by hand or by the module's choice."""
        return self._module.avoided_count(self.clock.now())

    @property
    def out(self) -> frozenset[str]:
        """The names of workers that an operator has taken out, whether they are listed or not."""
        return self._workers.out

    def take_out(self, names: Iterable[str]) -> None:
        """Nothing new goes to workers of these names until they are put back, whatever lists say; what stands
        there goes on."""
        self._marked(self._workers.take_out(names))

    def put_back(self, names: Iterable[str]) -> None:
        self._marked(self._workers.put_back(names))

    def fleet_out(self, names: frozenset[str]) -> None:
        """These, and no others, are out since the fleet has agreed on it; who is out by hand stays out."""
        self._marked(self._workers.fleet_out(names))

    def _marked(self, entries: list[api.WorkerEntry]) -> None:
        if entries:
            self._feed(api.WorkerList(api.ListForm.BY_OPERATOR, tuple(entries)))

    def listed(
        self, side: ServerSide, form: api.ListForm, lines: Iterable[Listed] = (), within: float = float("inf")
    ) -> None:
        """A list, or changes of it, from one server side. A whole list speaks for that side alone. `within`: ms until
        the next call for one begins at the latest."""
        self._feed(api.WorkerList(form, self._workers.listed(side, form, lines), within=within))

    def ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        result: bytes = b"",
        report: api.Report | None = None,
        unusable: bool = False,
    ) -> None:
        """An attempt's outcome; only the first that is told counts. `unusable`: the worker finds fault with
        the job itself."""
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
        """The last byte of an attempt was written: it may run from now on."""
        attempt.whole = True
        self.tally.written[attempt.order.job_class] += 1

    def taken(self, attempt: Attempt) -> None:
        """A worker that confirms says that it has the job."""
        if attempt.outcome is None:
            self._feed(api.AttemptTaken(attempt.job, attempt.number))

    def probed(
        self, worker: Worker, outcome: api.Outcome, elapsed: float = 0.0, report: api.Report | None = None
    ) -> None:
        if self.on_probe is not None:
            self.on_probe(worker.name, outcome)
        self._feed(api.ProbeEnded(worker.number, outcome, elapsed, report))

    # ---- the module's events and actions -----------------------------------------------------------

    def _feed(self, event: api.Event) -> None:
        self._queue.put(type(event).__name__, lambda now: self._module.handle(now, event))

    def _act(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(token=token, delay=delay):
                self.clock.later(delay, lambda: self._feed(api.TimerFired(token)))
            case api.Send():
                self._send(action)
            case api.Probe(worker=number):
                worker = self._workers.numbered(number)
                if worker is not None:
                    worker.side.probe(worker)
            case api.Refuse(job=number, pause=pause):
                self._answer(number, Answer(Final.REFUSED, pause=pause))
            case api.Fail(job=number):
                self._answer(number, Answer(Final.FAILED))
            case api.CancelAttempt(job=number, attempt=index):
                held = self.jobs.get(number)
                if held is not None and held.attempts[index].outcome is None:
                    self._give_up(held.attempts[index], api.Outcome.CANCELLED)
            case api.WatchWorkers(on=on):
                if self.roster is not None:
                    self.roster.watch(on)
            case api.ListWorkers():
                if self.roster is not None:
                    self.roster.ask()
            case _:  # pragma: no cover - TellPeers: this deployment has no peer messages
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
            worker = Worker(action.worker, Listed("unknown"), Nowhere())
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
            or isinstance(worker.side, Nowhere)
        ):
            self.ended(attempt, api.Outcome.NEVER_SENT)
        elif effect is api.Effect.UNSAFE and again:  # the last guard of the rule that matters most
            log.error("unsafe_resend_stopped", job=held.order.id)
            self.ended(attempt, api.Outcome.NEVER_SENT)
        else:
            attempt.timer = self.clock.later(end - now, lambda: self._give_up(attempt, api.Outcome.TIMEOUT))
            worker.side.start(attempt)

    def _give_up(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt.outcome is None:
            attempt.worker.side.give_up(attempt)
            self.ended(attempt, outcome)

    # ---- the one final answer ----------------------------------------------------------------------

    def _answer(self, number: int, answer: Answer) -> None:
        held = self.jobs.get(number)
        if held is not None and not held.closed:
            self._close(held, answer)
            self.jobs.forget(held)

    def _close(self, held: HeldJob, answer: Answer | None) -> None:
        """The one place where a job gets its answer (None: its client is gone)."""
        held.closed = True
        if held.timer is not None:
            held.timer.cancel()
        now = self.clock.now()
        record = held.record
        record.at, record.ended, record.may_have_run = now, True, record.may_have_run or held.out > 0
        record.final, record.state = (answer.final, "") if answer is not None else (None, WITHDRAWN)
        self.jobs.answered(held, now)
        if answer is not None:
            self.tally.final(held.order.job_class, answer.final)
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
        self._empty()

    def _overdue(self, held: HeldJob) -> None:
        if not held.closed:  # the module's own timer comes sooner: only its failure leads here
            log.error("job_overdue", job=held.order.id)
            self._answer(held.number, Answer(Final.FAILED))
            self._feed(api.JobWithdrawn(held.number))

    def _empty(self) -> None:
        if self.closing and not self.jobs.owing and self._on_empty is not None:
            call, self._on_empty = self._on_empty, None
            call()
