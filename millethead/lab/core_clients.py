"""Clients of an emulated core: operators that change the configuration, readers, and clients that hand in jobs.

A client calls the member that it takes for the head, and another one when no answer comes; a request may arrive seconds
late, and an answer may be lost.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Protocol

from millethead.control.calls import CallAnswer, CallerHello, ConfigurationCall, ConfigurationUpdate, JobCall
from millethead.control.configuration_stream import ActiveConfiguration, CallerSession
from millethead.control.state import configuration_order
from millethead.jobs.commands import ChangeConfiguration
from millethead.lab.core_calls import DELAY_S, Call, CallContext, Judge
from millethead.lab.core_machine import CoreProcess
from millethead.lab.core_oracle import CONFLICT, OK
from millethead.rpc import codec

THINK_S = (0.02, 0.5)
PIPELINED, PIPELINED_S = 0.2, (0.0, 0.02)  # part of the orders on which another one builds, and how much later
LOOK_S = (0.01, 0.2)  # between reads of a reader
HOST, PREFIX = "desk.example", "/seats/"
JOB = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 100, "estimate_ms": 10}]}).encode()

REJOIN_S = (0.02, 0.3)  # pause of a follower before it connects again
STAY_S = (0.1, 3.0)  # a follower keeps a connection for so long in the time of troubles


class Client(Protocol):
    """Makes calls until `until`, in seconds of the timeline."""

    until: float

    def start(self) -> None: ...


class Operator:
    """Changes the configuration again and again, each time on the version that it takes for the current one."""

    def __init__(self, context: CallContext, name: str) -> None:
        self._context, self._name = context, name
        self.version = 0
        self._orders = 0
        self._acknowledged: ChangeConfiguration | None = None
        self._unclear: ChangeConfiguration | None = None
        self.until = 0.0
        self._busy = False

    def start(self) -> None:
        self._context.timeline.after(self._context.random.uniform(*THINK_S), self.act)

    def _next(self) -> None:
        self._busy = False
        if self._context.timeline.now < self.until:
            self.start()

    def act(self) -> None:
        """Send something now, if nothing is under way."""
        if self._busy:
            return
        self._busy = True
        choice = self._context.random.random()
        if choice < 0.12 and self._acknowledged is not None:
            self.order(self._acknowledged)
        elif choice < 0.3 and self._unclear is not None:
            self.order(self._unclear)
        elif choice < 0.36:
            self.order(ChangeConfiguration(False, self.version or None, b'{"version": 0}'))
        elif choice < 0.45:
            self.read()
        else:
            command = self._new_order(self.version)
            self.order(command)
            if self._context.random.random() < PIPELINED:
                self._pipeline(command)

    def _new_order(self, version: int) -> ChangeConfiguration:
        """An order that builds on a version."""
        self._orders += 1
        route = {"name": "seats", "host": HOST, "path_prefix": PREFIX, "timeout_ms": 3000, "service": "seats"}
        document = {
            "version": version + 1,
            "note": f"{self._name}-{self._orders}",
            "routes": [route],
            "services": [{"name": "seats"}],
        }
        return ChangeConfiguration(False, version or None, json.dumps(document).encode())

    def _pipeline(self, first: ChangeConfiguration) -> None:
        """Send another order that builds on one whose answer is not there yet."""
        version = int(json.loads(first.body)["version"])
        command = self._new_order(version)

        def done(answer: CallAnswer | None) -> None:
            if answer is not None and answer.status == OK:
                self.version = max(self.version, version + 1)

        self._context.timeline.after(self._context.random.uniform(*PIPELINED_S), lambda: self._call(command, done))

    def _call(self, command: ChangeConfiguration, done: Callable[[CallAnswer | None], None]) -> None:
        record = ConfigurationCall(0, "PUT", command.if_match, command.body)
        Call(self._context, record, lambda: self._judge(command), done)

    def _judge(self, command: ChangeConfiguration) -> Judge:
        oracle = self._context.oracle
        before = configuration_order(command).digest() in oracle.acknowledged_orders
        return lambda answer: oracle.order_answered(command, answer.status, before)

    def order(self, command: ChangeConfiguration) -> None:
        def done(answer: CallAnswer | None) -> None:
            if answer is None:
                self._unclear = command
            elif answer.status == OK:
                self._acknowledged = command
                self.version = max(self.version, int(json.loads(answer.body)["version"]))
                self._context.acknowledged()
            if answer is None or answer.status == CONFLICT:
                self.read()
            else:
                self._next()

        self._call(command, done)

    def read(self) -> None:
        def done(answer: CallAnswer | None) -> None:
            if answer is not None:
                self.version = version_of(answer)
            self._next()

        read_configuration(self._context, done)


def version_of(answer: CallAnswer) -> int:
    """The version that was read; 0 where there is none yet."""
    return int(json.loads(answer.body)["version"]) if answer.status == OK else 0


def read_configuration(context: CallContext, done: Callable[[CallAnswer | None], None]) -> None:
    """Read the configuration, which may be no older than what was acknowledged or read before the call."""

    def expect() -> Judge:
        floor = context.oracle.version_floor
        return lambda answer: context.oracle.configuration_read(floor, answer.status, answer.body)

    Call(context, ConfigurationCall(0, "GET", None, b""), expect, done)


class Submitter:
    """Hands in jobs, asks for them and cancels some, also such as are not known yet or may still be on their way."""

    def __init__(self, context: CallContext, number: int) -> None:
        self._context, self._number = context, number
        self._jobs = 0
        self.until = 0.0

    def start(self) -> None:
        self._context.timeline.after(self._context.random.uniform(*THINK_S), self._act)

    def _next(self) -> None:
        if self._context.timeline.now < self.until:
            self.start()

    def _act(self) -> None:
        known = sorted(self._context.oracle.acknowledged_jobs)
        choice = self._context.random.random()
        if choice < 0.5 or not known:
            self._jobs += 1
            self._submit(self._name(self._jobs))
        elif choice < 0.6:
            self._submit(self._context.random.choice(known))
        elif choice < 0.65:
            self._cancel(self._name(self._jobs + self._context.random.choice((0, 1))))
        elif choice < 0.7:
            self._cancel(self._context.random.choice(known))
        else:
            self._read(self._context.random.choice(known))

    def _name(self, job: int) -> str:
        return f"{self._number:08x}{job:08x}"

    def _call(self, method: str, name: str, expect: Callable[[], Judge]) -> None:
        def answered(answer: CallAnswer | None) -> None:
            if answer is not None and answer.status == OK and method == "POST":
                self._context.acknowledged()
            self._next()

        Call(self._context, JobCall(0, method, HOST, PREFIX + name, JOB if method == "POST" else b""), expect, answered)

    def _submit(self, name: str) -> None:
        self._call("POST", name, lambda: lambda answer: self._context.oracle.job_submitted(name, answer.status))

    def _cancel(self, name: str) -> None:
        self._context.oracle.cancel_sent(name)
        self._call(
            "DELETE", name, lambda: lambda answer: self._context.oracle.job_cancelled(name, answer.status, answer.body)
        )

    def _read(self, name: str) -> None:
        oracle = self._context.oracle

        def expect() -> Judge:
            acknowledged, cancelled = name in oracle.acknowledged_jobs, name in oracle.cancelled_jobs
            return lambda answer: oracle.job_read(name, acknowledged, cancelled, answer.status, answer.body)

        self._call("GET", name, expect)


class Reader:
    """Reads the configuration again and again."""

    def __init__(self, context: CallContext) -> None:
        self._context = context
        self.until = 0.0

    def start(self) -> None:
        self._context.timeline.after(self._context.random.uniform(*LOOK_S), self._act)

    def _act(self) -> None:
        def done(answer: CallAnswer | None) -> None:
            if self._context.timeline.now < self.until:
                self.start()

        read_configuration(self._context, done)


class _FollowerLink:
    """A follower's connection to one process; what is sent arrives in order, as long as neither end closes it."""

    def __init__(self, follower: Follower, process: CoreProcess) -> None:
        self._follower, self.process = follower, process
        self.caller: CallerSession | None = None
        self.open = True
        self.last_at = 0.0

    def send(self, record: codec.Record) -> None:
        assert isinstance(record, ConfigurationUpdate)
        self._follower.sent(self, record)

    def close(self) -> None:
        if self.open:
            self.open = False
            self._follower.closed()


class Follower:
    """A dispatcher as far as the configuration goes: it follows the stream of whoever serves, also of a head that does
    not know yet that another one has taken over."""

    def __init__(self, context: CallContext, number: int) -> None:
        self._context, self._name = context, f"d{number}"
        self.held = ActiveConfiguration()
        self._epoch = 0
        self._link: _FollowerLink | None = None
        self.until = 0.0

    def start(self) -> None:
        self._later(REJOIN_S, self._connect)

    def _later(self, span_s: tuple[float, float], call: Callable[[], None]) -> None:
        self._context.timeline.after(self._context.random.uniform(*span_s), call)

    def _connect(self) -> None:
        context = self._context
        if context.timeline.now > context.ends_at:
            return
        serving = [machine.process for machine in context.directory.machines() if machine.process is not None]
        heads = [process for process in serving if process.is_serving and process.epoch >= self._epoch]
        if not heads:
            self.start()
            return
        process = context.random.choice(heads)
        link = self._link = _FollowerLink(self, process)
        hello = CallerHello(self._name, 0, self.held.version, self.held.place, True)
        process.post(lambda: self._join(link, hello), self)
        self._later(STAY_S, lambda: self._part(link))

    def closed(self) -> None:
        """The connection has ended: another one is wanted."""
        self._link = None
        self.start()

    def _join(self, link: _FollowerLink, hello: CallerHello) -> None:
        link.caller = link.process.follow(link, hello)
        if link.caller is None:
            link.close()

    def sent(self, link: _FollowerLink, update: ConfigurationUpdate) -> None:
        """A process has sent a configuration; it is judged as it leaves."""
        context = self._context
        context.oracle.streamed.told(update)
        link.last_at = max(context.timeline.now + context.random.uniform(*DELAY_S), link.last_at)
        context.timeline.after(link.last_at - context.timeline.now, lambda: self._receive(link, update))

    def _receive(self, link: _FollowerLink, update: ConfigurationUpdate) -> None:
        if not link.open or link is not self._link:
            return
        self._epoch = max(self._epoch, update.epoch)
        self.held.accept(update, self._epoch)
        if link.caller is not None:
            caller, stream = link.caller, link.process.stream
            if stream is not None:
                link.process.post(lambda: stream.record_ack(caller, self.held.ack()), self)

    def _part(self, link: _FollowerLink) -> None:
        """Connections end by chance; in a calm time only where the process does not serve any more."""
        context = self._context
        if not link.open:
            return
        calm = context.timeline.now >= context.answered_from
        if calm and link.process.is_serving and link.process.epoch >= self._epoch:
            self._later(REJOIN_S, lambda: self._part(link))
            return
        link.close()
        caller, stream = link.caller, link.process.stream
        if caller is not None and stream is not None:
            link.process.post(lambda: stream.remove_caller(caller), self)
