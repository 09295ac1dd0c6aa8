"""Handles the calls of clients and of the operator on the head.

An answer is computed from the applied state and sent only once that state is known to be committed (see `CommitGate`).
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog

from millethead.configuration.change import Verdict
from millethead.configuration.check import range_findings
from millethead.configuration.findings import Finding
from millethead.configuration.model import Route
from millethead.configuration.routing import RouteTable
from millethead.control.calls import CallAnswer, ConfigurationCall, JobCall
from millethead.control.commit import CommitGate, Committed
from millethead.control.configuration_stream import StoredConfiguration, stored_configuration
from millethead.control.state import ControlState, configuration_order
from millethead.jobs.commands import CancelJob, ChangeConfiguration, QueueTerms, RefuseOrder, SubmitJob
from millethead.jobs.description import InvalidJob, read_job
from millethead.jobs.state import Job, Outcome, job_bytes

log = structlog.get_logger()

JOB_NAME_PATTERN = re.compile(r"[0-9a-f]{16}")
MAX_JOBS = 50_000  # in the job table; further jobs are refused until some have been purged
MAX_JOB_BYTES = 64 << 20  # accounted size of all jobs, unless derived from the machine (`control.admission`)
OVERLOAD_RETRY_AFTER_S = 2

Reply = Callable[[Committed[CallAnswer]], None]


@dataclass(frozen=True, slots=True)
class StateChangeCallbacks:
    """Callbacks for state changes that result from a call.

    `on_job_submitted` and `on_configuration` are called after the commit. `on_outcome` is called immediately, so that
    no further task of an ended job is placed; the stop orders that it triggers wait for the commit themselves.
    """

    on_job_submitted: Callable[[Job], None]
    on_outcome: Callable[[Outcome], None]
    on_configuration: Callable[[Committed[StoredConfiguration]], None]


def _answer(number: int, status: int, value: object, retry_after_s: int = 0) -> CallAnswer:
    return CallAnswer(number, status, json.dumps(value, separators=(",", ":")).encode(), retry_after_s)


def _error(number: int, status: int, text: str, retry_after_s: int = 0) -> CallAnswer:
    return _answer(number, status, {"error": text}, retry_after_s)


def _conflict(number: int, version: int) -> CallAnswer:
    return _answer(number, 412, {"error": "another version is in place", "version": version})


def _invalid_configuration(number: int, findings: Sequence[Finding]) -> CallAnswer:
    listed = [{"place": finding.place, "problem": finding.problem} for finding in findings]
    return _answer(number, 400, {"error": "invalid configuration", "findings": listed})


class CallHandler:
    """Answers calls from the replicated state."""

    def __init__(
        self,
        state: ControlState,
        gate: CommitGate,
        callbacks: StateChangeCallbacks,
        wall_ms: Callable[[], int],
        max_job_bytes: int = MAX_JOB_BYTES,
    ) -> None:
        self._state, self._gate, self._callbacks, self._wall_ms = state, gate, callbacks, wall_ms
        self._max_job_bytes = max_job_bytes
        self._route_table: RouteTable | None = None
        self._route_table_source: object = None

    # ---- jobs --------------------------------------------------------------------------------------------

    def job(self, call: JobCall, reply: Reply) -> None:
        """Handle a client's call on a job or a queue."""
        table = self._routes()
        if table is None:
            self._reply_when_confirmed(reply, _error(call.number, 503, "no configuration yet", 1))
            return
        route = table.find(call.host, call.path)
        if route is None:
            self._reply_when_confirmed(reply, self._queue_not_found(call))
            return
        job_name = call.path[len(route.path_prefix) :]
        if not job_name:
            self._queue_status(call, route, reply)
        elif JOB_NAME_PATTERN.fullmatch(job_name) is None:
            self._reply_when_confirmed(reply, _error(call.number, 404, "a job's name is 16 hexadecimal digits"))
        elif call.method == "POST":
            self._submit(call, route, job_name, reply)
        elif call.method == "DELETE":
            self._cancel(call, job_name, reply)
        elif call.method == "GET":
            self._job_status(call, job_name, reply)
        else:
            self._reply_when_confirmed(reply, _error(call.number, 405, "POST, GET or DELETE"))

    def _queue_not_found(self, call: JobCall) -> CallAnswer:
        """Answer a call for an unknown queue: 404, or 504 if the submitted job exists.

        The same call may have reached an earlier head too and have been accepted there while the queue still existed.
        """
        if call.method == "POST" and self._state.jobs.find(call.path.rpartition("/")[2]) is not None:
            return _error(call.number, 504, "the queue is gone, and the job was taken before")
        return _error(call.number, 404, "no such queue")

    def _routes(self) -> RouteTable | None:
        configuration = self._state.configuration.configuration
        if configuration is None:
            return None
        if self._route_table_source is not configuration:
            self._route_table, self._route_table_source = RouteTable(configuration), configuration
        return self._route_table

    def _reply_when_confirmed(self, reply: Reply, answer: CallAnswer) -> None:
        self._gate.confirm(answer, reply)

    def _queue_status(self, call: JobCall, route: Route, reply: Reply) -> None:
        if call.method != "GET":
            self._reply_when_confirmed(reply, _error(call.number, 405, "GET"))
            return
        self._reply_when_confirmed(reply, _answer(call.number, 200, {"pending": self._state.jobs.pending(route.name)}))

    def _submit(self, call: JobCall, route: Route, name: str, reply: Reply) -> None:
        answer = _answer(call.number, 200, {})
        if self._state.jobs.find(name) is not None:
            self._reply_when_confirmed(reply, answer)  # repeated submission of the same job
            return
        if name in self._state.jobs.tombstones:
            log.info("cancelled_job_refused", job=name)
            self._reply_when_confirmed(reply, _error(call.number, 410, "the job was cancelled before it came"))
            return
        try:
            description = read_job(call.body)
        except InvalidJob as error:
            self._reply_when_confirmed(
                reply, _answer(call.number, 400, {"error": "invalid job", "findings": error.findings})
            )
            return
        job_bytes_after = self._state.jobs.held_bytes + job_bytes(description, call.body)
        if len(self._state.jobs.jobs) >= MAX_JOBS or job_bytes_after > self._max_job_bytes:
            self._reply_when_confirmed(reply, _error(call.number, 429, "too many jobs", OVERLOAD_RETRY_AFTER_S))
            return
        terms = QueueTerms(
            route.name, route.service, route.prio, route.retries, int(route.target_ms), int(route.skew * 1000)
        )
        self._gate.propose(SubmitJob(name, terms, call.body, self._wall_ms()))
        job = self._state.jobs.jobs[name]

        def committed(released: Committed[CallAnswer]) -> None:
            reply(released)
            self._callbacks.on_job_submitted(job)

        self._gate.after_commit(answer, committed)

    def _cancel(self, call: JobCall, name: str, reply: Reply) -> None:
        job = self._state.jobs.find(name)
        if job is None:
            self._cancel_unknown(call, name, reply)
            return
        if job.phase.is_final:
            self._reply_when_confirmed(reply, _answer(call.number, 200, {"state": job.phase.name.lower()}))
            return
        outcome = self._gate.propose(CancelJob(name, self._wall_ms()))
        assert isinstance(outcome, Outcome)
        self._callbacks.on_outcome(outcome)
        self._gate.after_commit(_answer(call.number, 200, {"state": "cancelled"}), reply)

    def _cancel_unknown(self, call: JobCall, name: str, reply: Reply) -> None:
        """Cancel a job that is not known. The answer waits for the commit of its tombstone."""
        if not self._state.jobs.tombstones.has_room_for(name):
            answer = _error(call.number, 503, "too many unknown jobs were cancelled", OVERLOAD_RETRY_AFTER_S)
            self._reply_when_confirmed(reply, answer)
            return
        self._gate.propose(CancelJob(name, self._wall_ms()))
        self._gate.after_commit(_error(call.number, 410, "no such job"), reply)

    def _job_status(self, call: JobCall, name: str, reply: Reply) -> None:
        job = self._state.jobs.find(name)
        if job is None:
            self._reply_when_confirmed(reply, _error(call.number, 410, "no such job"))
        else:
            self._reply_when_confirmed(reply, _answer(call.number, 200, {"state": job.phase.name.lower()}))

    # ---- configuration -----------------------------------------------------------------------------------

    def configuration(self, call: ConfigurationCall, reply: Reply) -> None:
        """Handle the operator's call to read or change the configuration."""
        if call.method == "GET":
            self._configuration_document(call, reply)
            return
        command = ChangeConfiguration(call.method == "PATCH", call.if_match, call.body)
        order = configuration_order(command)
        decision = self._state.configuration.decide(order)
        version = self._state.configuration.version
        match decision.verdict:
            case Verdict.REPEATED:
                self._reply_when_confirmed(reply, _answer(call.number, 200, {"version": version}))
            case Verdict.CONFLICT:
                self._reply_when_confirmed(reply, _conflict(call.number, version))
            case Verdict.FORGOTTEN:
                self._reply_when_confirmed(
                    reply, _error(call.number, 504, "too old an order to know whether it was accepted")
                )
            case Verdict.AHEAD:  # a delayed copy of the order must not be accepted after this answer
                self._gate.propose(RefuseOrder(order.digest()))
                self._gate.after_commit(_conflict(call.number, version), reply)
            case Verdict.INVALID:
                self._reply_when_confirmed(reply, _invalid_configuration(call.number, decision.findings))
            case Verdict.ACCEPTED:
                assert decision.configuration is not None
                findings = range_findings(decision.configuration)
                if findings:
                    self._reply_when_confirmed(reply, _invalid_configuration(call.number, findings))
                else:
                    self._change_configuration(call.number, command, reply)

    def _change_configuration(self, number: int, command: ChangeConfiguration, reply: Reply) -> None:
        self._gate.propose(command)

        def committed(released: Committed[StoredConfiguration]) -> None:
            reply(released.derive(lambda accepted: _answer(number, 200, {"version": accepted.version})))
            self._callbacks.on_configuration(released)

        self._gate.after_commit(stored_configuration(self._state.configuration), committed)

    def _configuration_document(self, call: ConfigurationCall, reply: Reply) -> None:
        document = self._state.configuration.document
        if document:
            self._reply_when_confirmed(reply, CallAnswer(call.number, 200, document, 0))
        else:
            self._reply_when_confirmed(reply, _error(call.number, 404, "no configuration yet"))
