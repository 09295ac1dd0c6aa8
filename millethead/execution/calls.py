"""Calls of an agent to its worker and what came of them, typed; and their bodies on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any

import msgspec

from millethead.execution.messages import EndEntry, RunEnd, RunKey, RunProgress

START_PATH, STOP_PATH, POLL_PATH = "/-/run-start", "/-/run-stop", "/-/hold"
INSTANCE_HEADER = "X-Expect-Instance"
MAX_LISTED_ENDS = 500  # by one answer; a list of that length may not be complete
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
    """The worker's answer is not what the protocol says."""


@dataclass(frozen=True, slots=True)
class PollCall:
    """Hold what runs until `deadline_ms` on the worker's clock (None: only look), and list runs and ends."""

    number: int
    instance: str
    timeout_s: float
    fence: int
    last_seen: int
    deadline_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class StartCall:
    """Start a run, held until `deadline_ms` on the worker's clock."""

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
    """Stop a run; if it is not there yet, the worker is to reject it."""

    number: int
    instance: str
    timeout_s: float
    fence: int
    key: RunKey


WorkerCall = PollCall | StartCall | StopCall


class CallStatus(Enum):
    """What came of a call, as far as the agent's decisions go."""

    DONE = "done"  # 200
    REJECTED = "rejected"  # 409, with a reason
    WRONG_INSTANCE = "wrong_life"  # 421
    UNHEALTHY = "unhealthy"  # 429 or 503: the worker has done nothing
    INVALID = "invalid"  # another 4xx: the worker has done nothing
    NOT_SENT = "not_sent"  # no connection: certainly not carried out
    UNCLEAR = "unclear"  # no answer, or none that says: may have been carried out, or may be later


class Rejection(StrEnum):
    """Why a worker rejects an order."""

    FENCE = "fence"  # it has seen a higher one
    OLD = "old"  # that run, or a higher one of the task, has ended or was stopped there
    LATE = "late"  # the deadline is over
    ROOM = "room"  # it does not fit
    OTHER = ""


@dataclass(frozen=True, slots=True)
class RunLists:
    """What a hold answers: the runs that are there, and the ends above the call's `last_seen`, by rising number."""

    running: tuple[RunProgress, ...]
    ends: tuple[EndEntry, ...]

    @property
    def complete(self) -> bool:
        """Whether no end can have been left out."""
        return len(self.ends) < MAX_LISTED_ENDS


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The outcome of a call; times are seconds of the agent's steady clock, `clock_ms` is the worker's. `no_listener`:
    no process listens at the worker's address."""

    status: CallStatus
    sent_at: float
    ended_at: float
    rejection: Rejection = Rejection.OTHER
    clock_ms: float | None = None
    lists: RunLists | None = None
    no_listener: bool = False


def request_path(call: WorkerCall) -> str:
    """The path that the call goes to."""
    if isinstance(call, PollCall):
        return POLL_PATH
    return START_PATH if isinstance(call, StartCall) else STOP_PATH


def encode_request(call: WorkerCall) -> bytes:
    """The call's body in JSON."""
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
    """The outcome that an HTTP answer stands for. An answer that cannot be read leaves the outcome unclear."""
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
    """Both lists of a hold's answer; raises MalformedAnswer, ValueError or TypeError."""
    running = tuple(_progress(*item) for item in fields.get("running", ()))
    ends = tuple(_end(*item) for item in fields.get("exited", ()))
    return RunLists(running, tuple(sorted(ends, key=lambda end: end.number)))


def _progress(task: str, run: int, checkpoint: str = "", percent: float = 0) -> RunProgress:
    return RunProgress(_key(task, run), checkpoint or "", max(0, min(100, int(percent or 0))))


def _end(number: int, task: str, run: int, how: str, checkpoint: str = "") -> EndEntry:
    if number < 1:
        raise MalformedAnswer("ends are counted from 1")
    return EndEntry(int(number), _key(task, run), _ENDS.get(how, RunEnd.LOST), checkpoint or "")


def _key(task: str, run: int) -> RunKey:
    if not isinstance(task, str) or not isinstance(run, int):
        raise MalformedAnswer("not a task and a run")
    return RunKey(task, run)
