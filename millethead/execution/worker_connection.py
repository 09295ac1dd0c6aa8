"""A persistent connection to a worker that executes one call at a time: blocking, based on urllib3, without retries."""

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
    """Outcome of a call.

    REFUSED_CONNECTION: no connection could be opened in time, so nothing was sent. NO_ANSWER: the request may have been
    sent and may still be carried out.
    """

    ANSWERED = auto()
    REFUSED_CONNECTION = auto()
    NO_ANSWER = auto()


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call.

    `status` is 0 and `body` is empty unless the call was answered. Times are monotonic seconds; `sent_at` is taken just
    before the first byte is sent and equals `ended_at` if nothing was sent. `no_listener`: no process listens at the
    address.
    """

    outcome: CallOutcome
    status: int
    body: bytes
    sent_at: float
    ended_at: float
    no_listener: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """A queued call. `queued_at` and `deadline` are monotonic seconds."""

    method: str
    path: str
    body: bytes | None
    headers: Mapping[str, str]
    queued_at: float
    deadline: float
    done: Callable[[CallResult], None]


class AnswerTooLarge(HTTPError):
    """The answer is longer than MAX_ANSWER_BYTES."""


class UnframedAnswer(HTTPError):
    """The answer has no length, so a truncated body could not be detected."""


def not_sent(now: float, no_listener: bool = False) -> CallResult:
    """Return the result of a call of which nothing was sent."""
    return CallResult(CallOutcome.REFUSED_CONNECTION, 0, b"", now, now, no_listener)


class WorkerConnection:
    """A connection to a worker that is opened on demand and kept open.

    It is used by one thread; only `abort` may be called from another one.
    """

    def __init__(self, host: str, port: int) -> None:
        self._http = HTTPConnection(host, port, socket_options=None)
        self._user_timeout_ms = 0
        self._no_listener = False  # the last connection attempt found a closed port

    @property
    def is_open(self) -> bool:
        """Whether the connection was opened and has not been closed on this side."""
        return not self._http.is_closed

    def check(self) -> bool:
        """Return whether the connection is usable.

        A connection that the worker has closed, or on which it has sent unexpected data, is closed.
        """
        if self.is_open and not self._http.is_connected:
            self._http.close()
        return self.is_open

    def exchange(self, call: Call) -> CallResult:
        """Execute the call on a checked connection.

        Never raises: a failure is part of the result and closes the connection.
        """
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
        """Shut down the connection; a call in flight then ends without an answer."""
        sock = self._http.sock
        if sock is None:
            return
        with contextlib.suppress(OSError):  # it may be disconnected already
            sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self._http.close()

    def _connect(self, call: Call) -> bool:
        """Open a connection before the call's deadline; return whether that succeeded."""
        self._no_listener = False
        remaining_s = call.deadline - time.monotonic()
        if remaining_s <= 0:
            return False
        self._user_timeout_ms = _user_timeout_ms(remaining_s)
        self._http.timeout = remaining_s
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
        """Apply the call's time limit to the socket. The TCP user timeout is raised if it is shorter."""
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
    """Return the seconds until the call's deadline; raises TimeoutError if it has passed."""
    remaining_s = call.deadline - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError
    return remaining_s


def _user_timeout_ms(seconds: float) -> int:
    """Return the TCP user timeout in ms for this time, rounded up so that similar calls need no new socket option."""
    return USER_TIMEOUT_STEP_MS * math.ceil(seconds * 1000 / USER_TIMEOUT_STEP_MS)
