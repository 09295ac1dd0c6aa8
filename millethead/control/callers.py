"""Requests of clients and of the operator, as the head answers them.

An answer is formed from the state as it is now and released when that state is certain to stand (`CommitGate`).
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass

from millethead.configuration.change import Verdict
from millethead.configuration.model import Route
from millethead.configuration.routing import RouteTable
from millethead.control.calls import CallAnswer, ConfigurationCall, JobCall
from millethead.control.commit import CommitGate, Committed
from millethead.control.configuration_stream import StoredConfiguration, stored
from millethead.control.state import ControlState, order_of
from millethead.jobs.commands import CancelJob, ChangeConfiguration, QueueTerms, RefuseOrder, SubmitJob
from millethead.jobs.description import InvalidJob, read_job
from millethead.jobs.state import Job, Outcome, job_bytes

JOB_NAME = re.compile(r"[0-9a-f]{16}")
MOST_JOBS = 50_000  # kept at once; more are refused until some are forgotten
MOST_JOB_BYTES = 64 << 20  # that they are counted with, where the machine does not say (`control.admission`)
BUSY_RETRY_S = 2

Reply = Callable[[Committed[CallAnswer]], None]


@dataclass(frozen=True, slots=True)
class CallerEvents:
    """What else has to happen once a request has changed the state. `submitted` and `configured` are called after the
    commit; `ended` at once, so that nothing more of what has ended is placed, and its stops wait for the commit."""

    submitted: Callable[[Job], None]
    ended: Callable[[Outcome], None]
    configured: Callable[[Committed[StoredConfiguration]], None]


def _answer(number: int, status: int, value: object, retry_after_s: int = 0) -> CallAnswer:
    return CallAnswer(number, status, json.dumps(value, separators=(",", ":")).encode(), retry_after_s)


def _error(number: int, status: int, text: str, retry_after_s: int = 0) -> CallAnswer:
    return _answer(number, status, {"error": text}, retry_after_s)


def _conflict(number: int, version: int) -> CallAnswer:
    return _answer(number, 412, {"error": "another version is in place", "version": version})


class Callers:
    """Answers requests against the replicated state."""

    def __init__(
        self,
        state: ControlState,
        gate: CommitGate,
        events: CallerEvents,
        wall_ms: Callable[[], int],
        most_job_bytes: int = MOST_JOB_BYTES,
    ) -> None:
        self._state, self._gate, self._events, self._wall_ms = state, gate, events, wall_ms
        self._most_job_bytes = most_job_bytes
        self._table: RouteTable | None = None
        self._table_of: object = None

    # ---- jobs --------------------------------------------------------------------------------------------

    def job(self, call: JobCall, reply: Reply) -> None:
        """Answer a client's request."""
        table = self._routes()
        if table is None:
            self._confirmed(reply, _error(call.number, 503, "no configuration yet", 1))
            return
        route = table.find(call.host, call.path)
        if route is None:
            self._confirmed(reply, self._no_queue(call))
            return
        name = call.path[len(route.path_prefix) :]
        if not name:
            self._queue(call, route, reply)
        elif JOB_NAME.fullmatch(name) is None:
            self._confirmed(reply, _error(call.number, 404, "a job's name is 16 hexadecimal digits"))
        elif call.method == "POST":
            self._submit(call, route, name, reply)
        elif call.method == "DELETE":
            self._cancel(call, name, reply)
        elif call.method == "GET":
            self._status(call, name, reply)
        else:
            self._confirmed(reply, _error(call.number, 405, "POST, GET or DELETE"))

    def _no_queue(self, call: JobCall) -> CallAnswer:
        """A refusal, unless the job is known: this very call may have gone to an earlier head too, and have been taken
        there while the queue existed."""
        if call.method == "POST" and self._state.jobs.find(call.path.rpartition("/")[2]) is not None:
            return _error(call.number, 504, "the queue is gone, and the job was taken before")
        return _error(call.number, 404, "no such queue")

    def _routes(self) -> RouteTable | None:
        configuration = self._state.configuration.configuration
        if configuration is None:
            return None
        if self._table_of is not configuration:
            self._table, self._table_of = RouteTable(configuration), configuration
        return self._table

    def _confirmed(self, reply: Reply, answer: CallAnswer) -> None:
        self._gate.confirm(answer, reply)

    def _queue(self, call: JobCall, route: Route, reply: Reply) -> None:
        if call.method != "GET":
            self._confirmed(reply, _error(call.number, 405, "GET"))
            return
        self._confirmed(reply, _answer(call.number, 200, {"pending": self._state.jobs.pending(route.name)}))

    def _submit(self, call: JobCall, route: Route, name: str, reply: Reply) -> None:
        answer = _answer(call.number, 200, {})
        if self._state.jobs.find(name) is not None:
            self._confirmed(reply, answer)  # the same job again
            return
        try:
            description = read_job(call.body)
        except InvalidJob as error:
            self._confirmed(reply, _answer(call.number, 400, {"error": "invalid job", "findings": error.findings}))
            return
        held = self._state.jobs.held_bytes + job_bytes(description, call.body)
        if len(self._state.jobs.jobs) >= MOST_JOBS or held > self._most_job_bytes:
            self._confirmed(reply, _error(call.number, 429, "too many jobs", BUSY_RETRY_S))
            return
        terms = QueueTerms(
            route.name, route.service, route.prio, route.retries, int(route.target_ms), int(route.skew * 1000)
        )
        self._gate.propose(SubmitJob(name, terms, call.body, self._wall_ms()))
        job = self._state.jobs.jobs[name]

        def committed(released: Committed[CallAnswer]) -> None:
            reply(released)
            self._events.submitted(job)

        self._gate.after_commit(answer, committed)

    def _cancel(self, call: JobCall, name: str, reply: Reply) -> None:
        job = self._state.jobs.find(name)
        if job is None:
            self._confirmed(reply, _error(call.number, 410, "no such job"))
            return
        if job.phase.is_final:
            self._confirmed(reply, _answer(call.number, 200, {"state": job.phase.name.lower()}))
            return
        outcome = self._gate.propose(CancelJob(name, self._wall_ms()))
        assert isinstance(outcome, Outcome)
        self._events.ended(outcome)
        self._gate.after_commit(_answer(call.number, 200, {"state": "cancelled"}), reply)

    def _status(self, call: JobCall, name: str, reply: Reply) -> None:
        job = self._state.jobs.find(name)
        if job is None:
            self._confirmed(reply, _error(call.number, 410, "no such job"))
        else:
            self._confirmed(reply, _answer(call.number, 200, {"state": job.phase.name.lower()}))

    # ---- configuration -----------------------------------------------------------------------------------

    def configuration(self, call: ConfigurationCall, reply: Reply) -> None:
        """Answer the operator's request."""
        if call.method == "GET":
            self._read_configuration(call, reply)
            return
        command = ChangeConfiguration(call.method == "PATCH", call.if_match, call.body)
        order = order_of(command)
        decision = self._state.configuration.decide(order)
        version = self._state.configuration.version
        match decision.verdict:
            case Verdict.REPEATED:
                self._confirmed(reply, _answer(call.number, 200, {"version": version}))
            case Verdict.CONFLICT:
                self._confirmed(reply, _conflict(call.number, version))
            case Verdict.FORGOTTEN:
                self._confirmed(reply, _error(call.number, 504, "too old an order to know whether it was accepted"))
            case Verdict.AHEAD:  # a copy that comes later must not be accepted after this answer
                self._gate.propose(RefuseOrder(order.digest()))
                self._gate.after_commit(_conflict(call.number, version), reply)
            case Verdict.INVALID:
                findings = [{"place": finding.place, "problem": finding.problem} for finding in decision.findings]
                self._confirmed(
                    reply, _answer(call.number, 400, {"error": "invalid configuration", "findings": findings})
                )
            case Verdict.ACCEPTED:
                self._change(call.number, command, reply)

    def _change(self, number: int, command: ChangeConfiguration, reply: Reply) -> None:
        self._gate.propose(command)

        def committed(released: Committed[StoredConfiguration]) -> None:
            reply(released.derive(lambda accepted: _answer(number, 200, {"version": accepted.version})))
            self._events.configured(released)

        self._gate.after_commit(stored(self._state.configuration), committed)

    def _read_configuration(self, call: ConfigurationCall, reply: Reply) -> None:
        document = self._state.configuration.document
        if document:
            self._confirmed(reply, CallAnswer(call.number, 200, document, 0))
        else:
            self._confirmed(reply, _error(call.number, 404, "no configuration yet"))
