"""A held job goes from one process to its successor: all that is known of it, as plain values and its body."""

from __future__ import annotations

from dataclasses import asdict
from functools import partial
from typing import Any, Protocol
from zlib import crc32

from millethead.decide import handover_state
from millethead.decide.interface import NEVER_RAN, Outcome, WorkerState
from millethead.exchange.core import OVERDUE, Exchange
from millethead.exchange.held import HeldJob
from millethead.exchange.model import Attempt, Listed, Order, ServerSide, Worker
from millethead.exchange.records import Record
from millethead.exchange.stage import Reply


class MovingSide(ServerSide, Protocol):
    """A server side whose attempts can go on under another process."""

    def movable(self, attempt: Attempt) -> bool: ...

    def let_go(self, attempt: Attempt) -> None: ...

    def take_over(self, attempt: Attempt) -> None: ...


def release(exchange: Exchange, side: MovingSide, number: int) -> tuple[dict[str, Any], bytes] | None:
    """Drop a job here and return what its new owner needs. None if it cannot go (now): it has ended, or an attempt
    is just being written or not yet confirmed. Its client is owed the answer by the other process from now on."""
    held = exchange.jobs.get(number)
    if held is None or held.closed:
        return None
    out = [attempt for attempt in held.attempts if attempt.outcome is None]
    if not all(attempt.worker.side is side and side.movable(attempt) for attempt in out):
        return None
    module = handover_state.remove_job(exchange._module, number)
    if module is None:
        return None
    order = {name: value for name, value in asdict(held.order).items() if name not in ("body", "peer", "plan")}
    said = {
        "order": order,
        "module": module,
        "came": held.came,
        "may_have_run": held.record.may_have_run,
        "attempts": [(a.worker.name, a.sent, a.end, a.earlier_here, a.whole, a.outcome) for a in held.attempts],
    }
    for attempt in out:
        side.let_go(attempt)
        attempt.outcome = Outcome.CANCELLED  # whatever still comes of it here says nothing
        if attempt.timer is not None:
            attempt.timer.cancel()
    if held.timer is not None:
        held.timer.cancel()
    held.closed, held.reply, held.out = True, None, 0
    exchange.jobs.handed_over(held)
    exchange.jobs.forget(held)
    exchange._empty()
    return said, held.order.body


def adopt(
    exchange: Exchange, side: MovingSide, said: dict[str, Any], body: bytes, peer: tuple[str, int] | None, reply: Reply
) -> int:
    """Take in a job that the process before this one has dropped; returns its number here. `reply` as in `arrive`."""
    now = exchange.clock.now()
    order = Order(**said["order"], body=body, peer=peer)
    number = exchange.jobs.next_number()
    end = min(float(said["came"]) + order.left, exchange.ends)
    record = Record(
        now, may_have_run=bool(said["may_have_run"]), came=float(said["came"]), attempts=len(said["attempts"])
    )
    held = HeldJob(number, order, reply, end, record.came, record)
    for n, (name, sent, until, earlier, whole, outcome) in enumerate(said["attempts"]):
        worker = exchange.worker(name) or Worker(crc32(name.encode()), Listed(name, state=WorkerState.GONE), side)
        attempt = Attempt(
            order,
            number,
            n,
            worker,
            sent,
            until,
            earlier,
            whole=whole,
            outcome=None if outcome is None else Outcome(outcome),
        )
        held.attempts.append(attempt)
        if outcome is None:
            held.out += 1
            attempt.timer = exchange.clock.later(until - now, partial(exchange._give_up, attempt, Outcome.TIMEOUT))
            side.take_over(attempt)
        elif attempt.outcome not in NEVER_RAN:
            record.may_have_run = True
    exchange.jobs.add(held)
    held.timer = exchange.clock.later(end - now + OVERDUE, partial(exchange._overdue, held))
    module = {**said["module"], "end": end}  # the other process may have cut it short for its own end
    exchange._queue.put("adopt", lambda at: handover_state.adopt_job(exchange._module, number, module, at))
    return number
