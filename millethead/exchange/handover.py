"""Hands a held job over from one process to its successor, as plain values and the body of the job."""

from __future__ import annotations

from dataclasses import asdict
from functools import partial
from typing import Any, Protocol
from zlib import crc32

from millethead.decide import handover_state
from millethead.decide.interface import NEVER_RAN, Outcome, WorkerState
from millethead.exchange.core import OVERDUE_GRACE_MS, Exchange
from millethead.exchange.held_jobs import HeldJob
from millethead.exchange.model import Attempt, Order, Worker, WorkerListing, WorkerTransport
from millethead.exchange.records import Record
from millethead.exchange.stage import Reply


class TransferableTransport(WorkerTransport, Protocol):
    """A transport whose attempts can continue in another process."""

    def movable(self, attempt: Attempt) -> bool:
        """Whether the attempt can be handed over now."""

    def let_go(self, attempt: Attempt) -> None:
        """Stops tracking an attempt that was handed over."""

    def take_over(self, attempt: Attempt) -> None:
        """Starts tracking an attempt that the predecessor started."""


def release(exchange: Exchange, transport: TransferableTransport, number: int) -> tuple[dict[str, Any], bytes] | None:
    """Removes a job from this process and returns its state and its body, for the process that takes it over.

    From then on, the other process answers the client. Returns None if the job cannot be handed over (now): it has
    ended, or an attempt is being written or is not acknowledged yet.
    """
    held = exchange.jobs.get(number)
    if held is None or held.closed:
        return None
    in_progress = [attempt for attempt in held.attempts if attempt.outcome is None]
    if not all(attempt.worker.transport is transport and transport.movable(attempt) for attempt in in_progress):
        return None
    module = handover_state.remove_job(exchange._module, number)
    if module is None:
        return None
    order = {name: value for name, value in asdict(held.order).items() if name not in ("body", "peer", "plan")}
    state = {
        "order": order,
        "module": module,
        "came": held.came,
        "may_have_run": held.record.may_have_run,
        "attempts": [
            (a.worker.name, a.sent, a.end, a.same_worker_earlier, a.fully_written, a.outcome) for a in held.attempts
        ],
    }
    for attempt in in_progress:
        transport.let_go(attempt)
        attempt.outcome = Outcome.CANCELLED  # further reports on it in this process are ignored
        if attempt.timer is not None:
            attempt.timer.cancel()
    if held.timer is not None:
        held.timer.cancel()
    held.closed, held.reply, held.out = True, None, 0
    exchange.jobs.handed_over(held)
    exchange.jobs.forget(held)
    exchange._call_if_empty()
    return state, held.order.body


def adopt(
    exchange: Exchange,
    transport: TransferableTransport,
    state: dict[str, Any],
    body: bytes,
    peer: tuple[str, int] | None,
    reply: Reply,
) -> int:
    """Takes over a job that the predecessor released, and returns its number in this process.

    `reply` is called as in `Exchange.arrive`.
    """
    now = exchange.clock.now()
    order = Order(**state["order"], body=body, peer=peer)
    number = exchange.jobs.next_number()
    end = min(float(state["came"]) + order.left, exchange.ends)
    record = Record(
        now, may_have_run=bool(state["may_have_run"]), came=float(state["came"]), attempts=len(state["attempts"])
    )
    held = HeldJob(number, order, reply, end, record.came, record)
    for index, (name, sent, until, earlier, fully_written, outcome) in enumerate(state["attempts"]):
        worker = exchange.worker(name) or Worker(
            crc32(name.encode()), WorkerListing(name, state=WorkerState.GONE), transport
        )
        attempt = Attempt(
            order,
            number,
            index,
            worker,
            sent,
            until,
            earlier,
            fully_written=fully_written,
            outcome=None if outcome is None else Outcome(outcome),
        )
        held.attempts.append(attempt)
        if outcome is None:
            held.out += 1
            attempt.timer = exchange.clock.later(until - now, partial(exchange._give_up, attempt, Outcome.TIMEOUT))
            transport.take_over(attempt)
        elif attempt.outcome not in NEVER_RAN:
            record.may_have_run = True
    exchange.jobs.add(held)
    held.timer = exchange.clock.later(end - now + OVERDUE_GRACE_MS, partial(exchange._overdue, held))
    module = {**state["module"], "end": end}  # the predecessor may have shortened the deadline for its own shutdown
    exchange._queue.put("adopt", lambda now: handover_state.adopt_job(exchange._module, number, module, now))
    return number
