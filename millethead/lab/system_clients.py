"""Clients, dispatchers and the operator of the simulated system.

Clients submit jobs, retry with the same ID at other dispatchers, poll states, cancel and give up, as the protocol page
says. A dispatcher forwards calls to the head that it knows, and resends them to the next head.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from millethead.control.calls import (
    CallAnswer,
    CallerHello,
    CallerWelcome,
    ConfigurationCall,
    ConfigurationUpdate,
    HeadAnswer,
    HeadCall,
    JobCall,
    new_call_numbers,
)
from millethead.control.client import MEMBER_TIMEOUT_S
from millethead.control.configuration_stream import ActiveConfiguration
from millethead.lab.core_time import Timeline
from millethead.lab.system_jobs import JobPlan
from millethead.lab.system_wire import Wire
from millethead.rpc.codec import Record, encode_any

CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S, OPERATOR_ANSWER_TIMEOUT_S = (
    1.3,
    2.4,
    1.0,
)  # as the dispatcher's program and the operator have them
CLIENT_DELAY_S = (0.003, 0.006)
DEADLINE_S = 3.0
LEAVES_AFTER_S = (0.1, 1.0)  # of a client that does not wait until its deadline
MAX_ATTEMPTS = 5  # to submit a job
HOST = "jobs.example"
OK, REJECTIONS, UNKNOWN, NOT_FOUND, UNSURE, NOT_TAKEN = 200, (400, 404, 410, 413, 429, 503), 410, 404, 504, 503

Done = Callable[[int, bytes], None]


@dataclass(slots=True)
class _Call:
    make: Callable[[int], Record]
    done: Done
    sent: bool = False
    epoch: int = 0  # of the head to which it was sent last


class Dispatcher:
    """A program that calls the head for clients and follows the configuration. `find` connects it to the member that it
    takes for the head; `on_configuration` is called with each update. While it is `frozen`, requests, records and
    timers wait; they are handled in their order once it is thawed."""

    def __init__(
        self,
        name: str,
        timeline: Timeline,
        random: Random,
        find: Callable[[], Wire | None],
        on_configuration: Callable[[ConfigurationUpdate], None],
    ) -> None:
        self.name, self._on_configuration = name, on_configuration
        self._timeline, self._random, self._find = timeline, random, find
        self._calls: dict[int, _Call] = {}
        self._number = new_call_numbers(random)
        self._wire: Wire | None = None
        self._serving = False
        self.active_configuration = ActiveConfiguration()
        self._epoch = 0
        self.frozen = False
        self._deferred: list[Callable[[], None]] = []
        self._connect()

    # ---- freezes -----------------------------------------------------------------------------------------

    def freeze(self) -> None:
        """Suspend the process."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the process, which first handles what has arrived in the meantime."""
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            action()

    def _when_awake(self, action: Callable[[], None]) -> None:
        if self.frozen:
            self._deferred.append(action)
        else:
            action()

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._timeline.after(delay_s, lambda: self._when_awake(action))

    # ---- calls -------------------------------------------------------------------------------------------

    def call(
        self, make: Callable[[int], Record], connect_timeout_s: float, answer_timeout_s: float, done: Done
    ) -> None:
        """Make a call: `done` gets status and body, 503 where it was never sent, 504 where its outcome is open."""
        self._when_awake(lambda: self._call(make, connect_timeout_s, answer_timeout_s, done))

    def _call(
        self, make: Callable[[int], Record], connect_timeout_s: float, answer_timeout_s: float, done: Done
    ) -> None:
        self._number += 1
        number = self._number
        call = self._calls[number] = _Call(make, done)
        self._send(number, call)
        self._after(connect_timeout_s, lambda: self._time_out(number, unsent_only=True))
        self._after(answer_timeout_s, lambda: self._time_out(number, unsent_only=False))

    def _send(self, number: int, call: _Call) -> None:
        if self._serving and self._wire is not None:
            call.sent, call.epoch = True, self._epoch
            self._wire.near.send(HeadCall(call.epoch, encode_any(call.make(number))))

    def _time_out(self, number: int, unsent_only: bool) -> None:
        call = self._calls.get(number)
        if call is not None and not (unsent_only and call.sent):
            del self._calls[number]
            call.done(UNSURE if call.sent else NOT_TAKEN, b"")

    # ---- the head ----------------------------------------------------------------------------------------

    def _connect(self) -> None:
        if self._wire is not None:
            return
        wire = self._find()
        if wire is None:
            self._after(self._random.uniform(0.02, 0.3), self._connect)
            return
        self._wire, self._serving = wire, False
        wire.near.received = lambda record: self._when_awake(lambda: self._received(wire, record))
        wire.near.closed = lambda: self._when_awake(lambda: self._lost(wire))
        wire.near.send(
            CallerHello(self.name, 0, self.active_configuration.version, self.active_configuration.place, True)
        )

    def _lost(self, wire: Wire) -> None:
        if wire is self._wire:
            self._wire, self._serving = None, False
            self._after(self._random.uniform(0.02, 0.3), self._connect)

    def head_changed(self) -> None:
        """Handle the announcement of a newer view by another member."""
        self._when_awake(self._leave_head)

    def _leave_head(self) -> None:
        wire = self._wire
        if wire is not None:
            wire.near.close()
            self._lost(wire)

    def stall_connection(self, lasts_s: float) -> None:
        """Nothing arrives on the connection for a while. The dispatcher replaces it by another one; what was sent on it
        arrives in the end."""
        wire = self._wire
        if wire is None:
            return
        wire.set_cut(True)
        self._after(MEMBER_TIMEOUT_S, lambda: self._abandon(wire))
        self._timeline.after(lasts_s, lambda: wire.set_cut(False))

    def _abandon(self, wire: Wire) -> None:
        if wire.cut:
            wire.near.vanish()
            wire.carry(wire.far, None)
            self._lost(wire)

    def _answered(self, epoch: int, answer: CallAnswer) -> None:
        call = self._calls.get(answer.number)
        if call is not None and call.epoch == epoch:
            del self._calls[answer.number]
            call.done(answer.status, answer.body)

    def _received(self, wire: Wire, record: Record) -> None:
        if wire is not self._wire:
            return
        match record:
            case CallerWelcome(view=view, serving=serving):
                self._serving = serving
                self._epoch = max(self._epoch, view.epoch)
                for number, call in list(self._calls.items()):
                    self._send(number, call)
            case HeadAnswer(epoch=epoch, answer=answer):
                self._answered(epoch, answer)
            case ConfigurationUpdate():
                self._on_configuration(record)
                self.active_configuration.accept(record, self._epoch)
                wire.near.send(self.active_configuration.ack())


class ClientEvents(Protocol):
    """Events that the clients report to the oracle."""

    def tried(self, job: JobPlan) -> None:
        """An attempt to submit a job begins."""
        ...

    def try_ended(self, job: JobPlan, rejected: bool) -> None: ...

    def accepted(self, job: JobPlan) -> None: ...

    def shown(self, job: JobPlan, asked_at: float, state: str) -> None:
        """A state was answered; an empty one: 410."""
        ...

    def cancel_sent(self, job: JobPlan) -> None: ...

    def cancelled(self, job: JobPlan, state: str) -> None:
        """A DELETE was answered."""
        ...


class Clients:
    """All clients. `prefix` returns the path of a queue.

    `answer_loss` is the share of answers that are lost, `without_retry` that of the clients that give up after their
    first attempt, and `cancelling_early` that of those that submit a job, leave before their deadline and cancel it.
    """

    def __init__(
        self,
        timeline: Timeline,
        random: Random,
        dispatchers: list[Dispatcher],
        events: ClientEvents,
        prefix: Callable[[str], str],
    ) -> None:
        self._timeline, self._random, self._events = timeline, random, events
        self._dispatchers, self._prefix = dispatchers, prefix
        self.answer_loss = 0.0
        self.polling_until = float("inf")
        self.without_retry = self.cancelling_early = 0.0

    def _request(
        self,
        method: str,
        job: JobPlan,
        body: bytes,
        done: Callable[[int | None, bytes], None],
        leaves_after_s: float = DEADLINE_S,
    ) -> None:
        """One request at any dispatcher; `done` gets None where no answer comes before the client leaves."""
        dispatcher = self._random.choice(self._dispatchers)
        path = self._prefix(job.queue) + job.name
        state = {"open": True}

        def end(status: int | None, answer: bytes) -> None:
            if state["open"]:
                state["open"] = False
                done(status, answer)

        def answered(status: int, answer: bytes) -> None:
            if self._random.random() >= self.answer_loss:
                self._timeline.after(self._random.uniform(*CLIENT_DELAY_S), lambda: end(status, answer))

        def make(number: int) -> Record:
            return JobCall(number, method, HOST, path, body)

        self._timeline.after(
            self._random.uniform(*CLIENT_DELAY_S),
            lambda: dispatcher.call(make, CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S, answered),
        )
        self._timeline.after(leaves_after_s, lambda: end(None, b""))

    # ---- handing in --------------------------------------------------------------------------------------

    def submit(self, job: JobPlan) -> None:
        """Submit a job, with retries at other dispatchers."""
        if self._random.random() < self.cancelling_early:
            self._submit_and_leave(job)
            return
        tries = 1 if self._random.random() < self.without_retry else MAX_ATTEMPTS
        self._try(job, tries)

    def _submit_and_leave(self, job: JobPlan) -> None:
        """Submit a job once, and cancel it if there is no answer soon."""

        def done(status: int | None, _: bytes) -> None:
            if status is None:
                self.cancel(job)
            else:
                self._tried(job, 0, status)

        self._events.tried(job)
        self._request("POST", job, job.body(), done, self._random.uniform(*LEAVES_AFTER_S))

    def _try(self, job: JobPlan, left: int) -> None:
        self._events.tried(job)
        if self._random.random() < 0.05:  # a copy of the request under way at the same time
            self._events.tried(job)
            self._request("POST", job, job.body(), lambda status, _: self._events.try_ended(job, status in REJECTIONS))
        self._request("POST", job, job.body(), lambda status, _: self._tried(job, left - 1, status))

    def _tried(self, job: JobPlan, left: int, status: int | None) -> None:
        self._events.try_ended(job, status in REJECTIONS)
        if status == OK:
            self._events.accepted(job)
            self._later(lambda: self.poll_state(job))
        elif left and status not in (400, UNKNOWN, 413):
            self._timeline.after(self._random.uniform(0.05, 1.0), lambda: self._try(job, left))

    # ---- asking ------------------------------------------------------------------------------------------

    def poll_state(self, job: JobPlan, on_state: Callable[[str], None] | None = None) -> None:
        """Poll a job's state, now and again later; `on_state` gets the job's name where a state is answered."""
        if self._timeline.now > self.polling_until:
            return
        asked_at = self._timeline.now

        def done(status: int | None, body: bytes) -> None:
            state = self._take_state(job, asked_at, status, body)
            if state and on_state is not None:
                on_state(job.name)
            if state not in ("done", "failed", "cancelled") or self._random.random() < 0.5:
                self._later(lambda: self.poll_state(job))

        self._request("GET", job, b"", done)

    def _take_state(self, job: JobPlan, asked_at: float, status: int | None, body: bytes) -> str:
        if status == OK:
            state: str = json.loads(body)["state"]
            self._events.shown(job, asked_at, state)
            return state
        if status == UNKNOWN:
            self._events.shown(job, asked_at, "")
        return ""

    def _later(self, call: Callable[[], None]) -> None:
        self._timeline.after(self._random.uniform(0.3, 5.0), call)

    def cancel(self, job: JobPlan, tries: int = 5) -> None:
        """Cancel a job, with retries."""
        self._events.cancel_sent(job)

        def done(status: int | None, body: bytes) -> None:
            if status in (OK, UNKNOWN):
                self._events.cancelled(job, json.loads(body).get("state", "") if status == OK else "")
            elif tries > 1:
                self._timeline.after(self._random.uniform(0.05, 1.0), lambda: self.cancel(job, tries - 1))

        self._request("DELETE", job, b"", done)


class Operator:
    """Sends configurations, each repeatedly until there is a definite answer. `put` is called with each of them."""

    def __init__(
        self, timeline: Timeline, random: Random, dispatchers: list[Dispatcher], put: Callable[[dict[str, Any]], None]
    ) -> None:
        self._timeline, self._random, self._dispatchers, self._put = timeline, random, dispatchers, put
        self.current: dict[str, Any] = {}
        self.busy = False

    @property
    def version(self) -> int:
        """The version that it believes to be in force; 0 before the first."""
        return int(self.current.get("version", 0))

    def change(self, document: dict[str, Any]) -> None:
        """Send a complete configuration; does nothing while another change is pending."""
        if self.busy:
            return
        self.busy = True
        document["version"] = self.version + self._random.randint(1, 4)
        self._put(document)
        self._send(document, self.version)

    def _send(self, document: dict[str, Any], builds_on: int) -> None:
        body = json.dumps(document).encode()

        def make(number: int) -> Record:
            return ConfigurationCall(number, "PUT", builds_on, body)

        def done(status: int, _: bytes) -> None:
            if status == OK:
                self.current, self.busy = document, False
            elif status < 500:
                raise AssertionError(f"CONFIG: a proper order of the operator is answered {status}")
            else:
                self._timeline.after(self._random.uniform(0.1, 0.5), lambda: self._send(document, builds_on))

        self._random.choice(self._dispatchers).call(make, OPERATOR_ANSWER_TIMEOUT_S, OPERATOR_ANSWER_TIMEOUT_S, done)
