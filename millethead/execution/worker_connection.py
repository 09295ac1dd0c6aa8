"""One call to a worker, and the kept connection that carries it: blocking, by urllib3, never sent twice."""

from __future__ import annotations

import contextlib
import http.client
import math
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

import structlog
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse
from urllib3.util import SKIP_HEADER

log = structlog.get_logger()
READ_BYTES = 64 << 10
MAX_ANSWER_BYTES = 8 << 20
USER_TIMEOUT_STEP_MS = 100
UNUSED_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
_FAILURES = (OSError, http.client.HTTPException, HTTPError)


class CallOutcome(Enum):
    """What became of a call. REFUSED_CONNECTION: no connection came about, or its time was over before that, so
    nothing was sent. NO_ANSWER: it may have been sent, and may be carried out later."""

    ANSWERED = auto()
    REFUSED_CONNECTION = auto()
    NO_ANSWER = auto()


@dataclass(frozen=True, slots=True)
class CallResult:
    """The end of a call. `status` is 0 and `body` empty unless it was answered. Both times are monotonic seconds:
    `sent_at` is taken just before the first byte goes out (where none did, it equals `ended_at`). `no_listener`: no
    process listens at the address."""

    outcome: CallOutcome
    status: int
    body: bytes
    sent_at: float
    ended_at: float
    no_listener: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """A call as it waits in a queue. `queued_at` and `deadline` are monotonic seconds."""

    method: str
    path: str
    body: bytes | None
    headers: Mapping[str, str]
    queued_at: float
    deadline: float
    done: Callable[[CallResult], None]


class AnswerTooLarge(HTTPError):
    """An answer is longer than MAX_ANSWER_BYTES."""


class UnframedAnswer(HTTPError):
    """An answer tells no length: its end cannot be told from a cut."""


def not_sent(now: float, no_listener: bool = False) -> CallResult:
    """The result of a call of which nothing went out."""
    return CallResult(CallOutcome.REFUSED_CONNECTION, 0, b"", now, now, no_listener)


class WorkerConnection:
    """A connection to a worker, opened when it is needed and kept. One thread uses it; only `abort` may come from
    another."""

    def __init__(self, host: str, port: int) -> None:
        self._http = HTTPConnection(host, port, socket_options=None)
        self._user_timeout_ms = 0
        self._no_listener = False  # the last attempt to connect met a closed port

    @property
    def is_open(self) -> bool:
        """Whether it was opened and not closed on this side."""
        return not self._http.is_closed

    def check(self) -> bool:
        """Whether a call can go out on it as it is. Where the worker has closed it, or sent what nobody asked for, it
        is closed on this side too."""
        if self.is_open and not self._http.is_connected:
            self._http.close()
        return self.is_open

    def exchange(self, call: Call) -> CallResult:
        """Carry the call out, on a connection that was checked. Never raises: what fails is told by the outcome, and
        closes the connection."""
        if time.monotonic() >= call.deadline:
            return not_sent(time.monotonic())
        if not (self.is_open or self._connect(call)):
            return not_sent(time.monotonic(), self._no_listener)
        sent_at = time.monotonic()
        try:
            return self._round_trip(call, sent_at)
        except _FAILURES as error:
            log.debug("worker_call_unanswered", path=call.path, why=type(error).__name__)
        except Exception:
            log.exception("worker_call_failed", path=call.path)
        self._http.close()
        return CallResult(CallOutcome.NO_ANSWER, 0, b"", sent_at, time.monotonic())

    def abort(self) -> None:
        """Cut the connection under a call that is under way, which then ends without an answer."""
        sock = self._http.sock
        if sock is None:
            return
        with contextlib.suppress(OSError):  # it may not be connected any more
            sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Give the descriptor up; the next call opens another."""
        self._http.close()

    def _connect(self, call: Call) -> bool:
        """Open a connection within the call's time; False where that fails."""
        self._no_listener = False
        left = call.deadline - time.monotonic()
        if left <= 0:
            return False
        self._user_timeout_ms = _user_timeout_ms(left)
        self._http.timeout = left
        self._http.socket_options = [
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._user_timeout_ms),
        ]
        try:
            self._http.connect()
        except _FAILURES as error:
            log.debug("worker_connection_failed", why=type(error).__name__)
            self._no_listener = isinstance(error.__cause__ or error, ConnectionRefusedError)
            self._http.close()
            return False
        return True

    def _round_trip(self, call: Call, sent_at: float) -> CallResult:
        sock = self._http.sock
        self._bound_sending(sock, _remaining_s(call))
        self._http.request(
            call.method,
            call.path,
            call.body,
            {**UNUSED_HEADERS, **call.headers},
            preload_content=False,
            decode_content=False,
        )
        self._http.timeout = _remaining_s(call)
        response = self._http.getresponse()
        body = _read_body(sock, response, call)
        return CallResult(CallOutcome.ANSWERED, response.status, body, sent_at, time.monotonic())

    def _bound_sending(self, sock: socket.socket, seconds: float) -> None:
        """Let the next call take so long; the system's own limit is raised where it is shorter."""
        self._http.timeout = seconds
        if _user_timeout_ms(seconds) > self._user_timeout_ms:
            self._user_timeout_ms = _user_timeout_ms(seconds)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._user_timeout_ms)


def _read_body(sock: socket.socket, response: BaseHTTPResponse, call: Call) -> bytes:
    if response.length_remaining is None and "transfer-encoding" not in response.headers:
        raise UnframedAnswer(str(response.status))
    parts, total = [], 0
    while part := response.read1(READ_BYTES):
        parts.append(part)
        total += len(part)
        if total > MAX_ANSWER_BYTES:
            raise AnswerTooLarge(f"over {MAX_ANSWER_BYTES} bytes")
        if response.length_remaining != 0 and sock.fileno() >= 0:
            sock.settimeout(_remaining_s(call))
    return b"".join(parts)


def _remaining_s(call: Call) -> float:
    """Seconds to the call's deadline; raises TimeoutError once that is over."""
    left = call.deadline - time.monotonic()
    if left <= 0:
        raise TimeoutError
    return left


def _user_timeout_ms(seconds: float) -> int:
    """Milliseconds that bytes may stay unacknowledged: rounded up, so that calls alike in time need no new setting."""
    return USER_TIMEOUT_STEP_MS * math.ceil(seconds * 1000 / USER_TIMEOUT_STEP_MS)
