"""Typed calls of an agent to its worker and their outcomes, and the encoding of both as JSON over HTTP."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any

import msgspec

from millethead.execution.messages import EndEntry, RunEnd, RunKey, RunProgress

START_PATH, STOP_PATH, POLL_PATH = "/-/run-start", "/-/run-stop", "/-/hold"
INSTANCE_HEADER = "X-Expect-Instance"
MAX_LISTED_ENDS = 500  # in one answer; a list of this length may be incomplete
_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}
_encode = msgspec.json.Encoder().encode


class MalformedAnswer(ValueError):
    """The worker's answer violates the protocol."""


@dataclass(frozen=True, slots=True)
class PollCall:
    """Requests the lists of runs and ends and renews all runs until `deadline_ms` on the worker's clock.

    If `deadline_ms` is None, nothing is renewed. The worker delays its answer by up to `wait_ms` until a run ends.
    """

    number: int
    instance: str
    timeout_s: float
    fence: int
    last_seen: int
    deadline_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class StartCall:
    """Starts a run, which the worker keeps until `deadline_ms` on its clock unless the run is renewed."""

    number: int
    instance: str
    timeout_s: float
    fence: int
    key: RunKey
    spec: str
    checkpoint: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class StopCall:
    """Stops a run. If the run does not exist, the worker rejects a later start of it."""

    number: int
    instance: str
    timeout_s: float
    fence: int
    key: RunKey


WorkerCall = PollCall | StartCall | StopCall


class CallStatus(Enum):
    """Outcome of a call as far as the agent has to distinguish it."""

    DONE = "done"  # HTTP 200
    REJECTED = "rejected"  # HTTP 409, with a reason
    WRONG_INSTANCE = "wrong_life"  # HTTP 421
    UNHEALTHY = "unhealthy"  # HTTP 429 or 503: the worker has done nothing
    INVALID = "invalid"  # another 4xx: the worker has done nothing
    NOT_SENT = "not_sent"  # no connection: certainly not carried out
    UNCLEAR = "unclear"  # no conclusive answer: may have been carried out, or may still be


class Rejection(StrEnum):
    """Reason for which a worker rejects an order."""

    FENCE = "fence"  # the worker has seen a higher fencing token
    OLD = "old"  # this run or a later run of the task has ended or was stopped on the worker
    LATE = "late"  # the deadline has passed
    ROOM = "room"  # the worker lacks capacity
    OTHER = ""


@dataclass(frozen=True, slots=True)
class RunLists:
    """Lists in the answer of a poll: existing runs, and the ends after the call's `last_seen` in ascending order."""

    running: tuple[RunProgress, ...]
    ends: tuple[EndEntry, ...]

    @property
    def complete(self) -> bool:
        """Whether the worker has certainly not left out an end."""
        return len(self.ends) < MAX_LISTED_ENDS


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """Outcome of a call.

    `sent_at` and `ended_at` are seconds of the agent's monotonic clock, `clock_ms` is a reading of the worker's clock.
    `no_listener`: no process listens at the worker's address.
    """

    status: CallStatus
    sent_at: float
    ended_at: float
    rejection: Rejection = Rejection.OTHER
    clock_ms: float | None = None
    lists: RunLists | None = None
    no_listener: bool = False


def request_path(call: WorkerCall) -> str:
    """Return the HTTP path of the call."""
    if isinstance(call, PollCall):
        return POLL_PATH
    return START_PATH if isinstance(call, StartCall) else STOP_PATH


def encode_request(call: WorkerCall) -> bytes:
    """Return the JSON body of the call."""
    if isinstance(call, PollCall):
        return _encode_poll(call)
    body: dict[str, Any] = {"task": call.key.task, "run": call.key.run}
    if isinstance(call, StartCall):
        body |= {"spec": call.spec, "deadline_ms": call.deadline_ms}
        if call.checkpoint:
            body["checkpoint"] = call.checkpoint
    return _encode(body | {"fence": call.fence})


def _encode_poll(call: PollCall) -> bytes:
    body: dict[str, Any] = {"fence": call.fence, "last_seen": call.last_seen}
    if call.deadline_ms is not None:
        body["deadline_ms"] = call.deadline_ms
    if call.wait_ms:
        body["wait_ms"] = call.wait_ms
    return _encode(body)


def read_answer(call: WorkerCall, status: int, body: bytes, sent_at: float, ended_at: float) -> CallAnswer:
    """Decode an HTTP answer to the call. The outcome is UNCLEAR if the answer cannot be decoded."""
    try:
        return _decode_answer(call, status, body, sent_at, ended_at)
    except (msgspec.DecodeError, ValueError, TypeError, KeyError, AttributeError):
        return CallAnswer(CallStatus.UNCLEAR, sent_at, ended_at)


def _decode_answer(call: WorkerCall, status: int, body: bytes, sent_at: float, ended_at: float) -> CallAnswer:
    call_status = _call_status(status)
    if call_status in (CallStatus.UNHEALTHY, CallStatus.INVALID, CallStatus.WRONG_INSTANCE, CallStatus.UNCLEAR):
        return CallAnswer(call_status, sent_at, ended_at)
    fields = msgspec.json.decode(body)
    clock_ms = float(fields["clock_ms"]) if "clock_ms" in fields else None
    if call_status is CallStatus.REJECTED:
        return CallAnswer(call_status, sent_at, ended_at, _rejection(fields.get("reason")), clock_ms)
    lists = read_lists(fields) if isinstance(call, PollCall) else None
    return CallAnswer(call_status, sent_at, ended_at, Rejection.OTHER, clock_ms, lists)


def _call_status(status: int) -> CallStatus:
    known = {
        200: CallStatus.DONE,
        409: CallStatus.REJECTED,
        421: CallStatus.WRONG_INSTANCE,
        408: CallStatus.UNCLEAR,
        429: CallStatus.UNHEALTHY,
        503: CallStatus.UNHEALTHY,
    }
    if status in known:
        return known[status]
    return CallStatus.INVALID if 400 <= status < 500 else CallStatus.UNCLEAR


def _rejection(reason: object) -> Rejection:
    try:
        return Rejection(str(reason))
    except ValueError:
        return Rejection.OTHER


def read_lists(fields: dict[str, Any]) -> RunLists:
    """Decode the lists in the answer of a poll; raises MalformedAnswer, ValueError or TypeError."""
    running = tuple(_progress(*item) for item in fields.get("running", ()))
    ends = tuple(_end(*item) for item in fields.get("exited", ()))
    return RunLists(running, tuple(sorted(ends, key=lambda end: end.number)))


def _progress(task: str, run: int, checkpoint: str = "", percent: float = 0) -> RunProgress:
    return RunProgress(_key(task, run), checkpoint or "", max(0, min(100, int(percent or 0))))


def _end(number: int, task: str, run: int, how: str, checkpoint: str = "") -> EndEntry:
    if number < 1:
        raise MalformedAnswer("the number of an end is less than 1")
    return EndEntry(int(number), _key(task, run), _ENDS.get(how, RunEnd.LOST), checkpoint or "")


def _key(task: str, run: int) -> RunKey:
    if not isinstance(task, str) or not isinstance(run, int):
        raise MalformedAnswer("the task is not a string or the run is not an integer")
    return RunKey(task, run)


def is_missed(call: WorkerCall, answer: CallAnswer) -> bool:
    """Return whether the call counts as unanswered. A poll that the worker refused without doing anything does too."""
    if isinstance(call, PollCall) and answer.status in (CallStatus.UNHEALTHY, CallStatus.INVALID):
        return True
    return answer.status in (CallStatus.UNCLEAR, CallStatus.NOT_SENT)
