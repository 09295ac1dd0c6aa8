"""One call of an emulated core's client, and what the clients share.

A call goes to one member after another until it is answered or given up; a request may arrive seconds late, and an
answer may be lost.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from millethead.control.calls import CallAnswer, ConfigurationCall, JobCall
from millethead.lab.core_machine import CoreProcess, Machine
from millethead.lab.core_oracle import Oracle, Violation
from millethead.lab.core_time import Timeline

DELAY_S = (0.001, 0.004)  # one way between a client and the core
LATE = 0.03  # part of the requests that are held up on their way
LATE_S = 4.0  # for so long at most
LOST = 0.04  # part of the answers that are lost
PATIENCE_S = (0.3, 0.9)  # until another member is asked
GIVE_UP_S = 3.0  # a call without an answer by then has an unclear outcome
ANSWER_S = 1.5  # calls in a calm time have their answer by then
ASK_AGAIN_S = 0.06  # after a member that was not the head

Record = ConfigurationCall | JobCall


class Directory(Protocol):
    """Where clients find the machines."""

    def machines(self) -> list[Machine]:
        """Those that were not taken away."""


@dataclass(slots=True)
class CallContext:
    """What all clients share."""

    timeline: Timeline
    random: Random
    directory: Directory
    oracle: Oracle
    acknowledged: Callable[[], None]  # called whenever an order or a job was acknowledged
    answered_from: float = float("inf")  # calls made from then on have to be answered
    ends_at: float = float("inf")  # nothing arrives any more


Judge = Callable[[CallAnswer], None]


class Call:
    """One call, at one member after another until it is answered or given up. `done` is called once, with None for an
    unclear outcome. `expect` is called at each attempt; what it returns judges the answer as it leaves the head,
    whether it reaches the client or not."""

    def __init__(
        self,
        context: CallContext,
        record: Record,
        expect: Callable[[], Judge],
        done: Callable[[CallAnswer | None], None],
    ) -> None:
        self._context, self._record, self._expect, self._done = context, record, expect, done
        self._over = False
        self._attempt = 0
        self._target = ""
        context.timeline.after(GIVE_UP_S, lambda: self._end(None))
        if context.timeline.now >= context.answered_from:
            context.timeline.after(ANSWER_S, self._must_be_over)
        self._send(self._anyone())

    def _anyone(self) -> str:
        return self._context.random.choice(self._context.directory.machines()).address

    def _end(self, answer: CallAnswer | None) -> None:
        if not self._over:
            self._over = True
            self._done(answer)

    def _must_be_over(self) -> None:
        if not self._over:
            raise Violation(f"in the calm time a call has no answer after {ANSWER_S:g} s: {self._record}")

    def _send(self, address: str) -> None:
        if self._over:
            return
        context, self._attempt = self._context, self._attempt + 1
        attempt, judge = self._attempt, self._expect()
        late = context.random.uniform(0.0, LATE_S) if self._unlucky(LATE) else 0.0
        context.timeline.after(context.random.uniform(*DELAY_S) + late, lambda: self._arrive(address, attempt, judge))
        context.timeline.after(context.random.uniform(*PATIENCE_S), lambda: self._impatient(attempt))

    def _unlucky(self, part: float) -> bool:
        return self._context.timeline.now < self._context.answered_from and self._context.random.random() < part

    def _impatient(self, attempt: int) -> None:
        if attempt == self._attempt:
            self._send(self._anyone())

    def _arrive(self, address: str, attempt: int, judge: Judge) -> None:
        if self._context.timeline.now > self._context.ends_at:
            return
        machine = next((m for m in self._context.directory.machines() if m.address == address), None)
        if machine is not None and machine.process is not None:
            process = machine.process
            process.post(lambda: self._take(process, attempt, judge), self)

    def _take(self, process: CoreProcess, attempt: int, judge: Judge) -> None:
        context = self._context

        def reply(answer: CallAnswer) -> None:
            judge(answer)
            if not self._unlucky(LOST):
                context.timeline.after(context.random.uniform(*DELAY_S), lambda: self._end(answer))

        head = process.call(self._record, reply)
        if head is not None:
            wait = DELAY_S[1] if head and head != process.address else ASK_AGAIN_S
            context.timeline.after(wait, lambda: self._elsewhere(head or self._anyone(), attempt))

    def _elsewhere(self, address: str, attempt: int) -> None:
        if attempt == self._attempt:
            self._send(address)
