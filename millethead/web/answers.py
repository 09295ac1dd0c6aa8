"""What a handler gives back: an answer, or a deferred one that is completed later on the loop."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
import structlog

log = structlog.get_logger()
JSON = "application/json"
NO_CONTENT, NOT_MODIFIED = 204, 304
_STATUS_LINES = {status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n" for status in HTTPStatus}
_FIELD = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+: [\t\x20-\x7e\x80-\xff]*")
_json = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer. Length and connection fields are added when it is sent."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()


def json_answer(status: int, value: object) -> Answer:
    """An answer whose body is `value` in JSON; raises TypeError for what msgspec cannot encode."""
    return Answer(status, _json.encode(value))


def error_answer(status: int, why: str, headers: tuple[tuple[str, str], ...] = ()) -> Answer:
    """An answer that tells what is wrong in one line of JSON."""
    return Answer(status, _json.encode({"error": why}), headers=headers)


class Deferred:
    """An answer that is to come. A handler returns it; `complete` is called once, on the loop's thread, at any time
    before or after the handler has returned.

    `done`: it was completed; `gone`: the client left before that; `on_gone` is called when the latter happens."""

    __slots__ = ("_wake", "answer", "done", "gone", "on_gone")

    def __init__(self, on_gone: Callable[[], None] | None = None) -> None:
        self.done, self.gone = False, False
        self.on_gone = on_gone
        self.answer: Answer | None = None
        self._wake: Callable[[], None] | None = None

    def complete(self, answer: Answer) -> None:
        """Give the answer. A second call changes nothing, nor does one after the client has left."""
        if self.done or self.gone:
            return
        self.done, self.answer = True, answer
        self._settle()

    def client_left(self) -> None:
        """The server's notice that nobody waits any more."""
        if self.done or self.gone:
            return
        self.gone = True
        if self.on_gone is not None:
            try:
                self.on_gone()
            except Exception:
                log.exception("on_gone_failed")
        self._settle()

    def when_settled(self, wake: Callable[[], None]) -> None:
        """Call `wake` once it is done or gone: at once where it is already."""
        self._wake = wake
        if self.done or self.gone:
            self._settle()

    def _settle(self) -> None:
        wake, self._wake = self._wake, None
        if wake is not None:
            wake()


def format_answer(answer: Answer, keep: bool, head_only: bool) -> bytes:
    """The bytes of an answer; `head_only` for the answer to a HEAD, which tells the body's length and omits it.
    Raises ValueError for an answer that HTTP cannot carry."""
    status = answer.status
    if status < 200 or status not in _STATUS_LINES:
        raise ValueError(f"no final status: {status}")
    head = _STATUS_LINES[status]
    body = answer.body
    if status in (NO_CONTENT, NOT_MODIFIED):
        body = b""
    else:
        head += f"Content-Length: {len(body)}\r\n"
    if body:
        head += _field("Content-Type", answer.content_type)
    for name, value in answer.headers:
        head += _field(name, value)
    head += "\r\n" if keep else "Connection: close\r\n\r\n"
    return head.encode("latin-1") if head_only else head.encode("latin-1") + body


def _field(name: str, value: str) -> str:
    line = f"{name}: {value}"
    if not _FIELD.fullmatch(line):
        raise ValueError(f"a malformed field: {line!r}")
    return line + "\r\n"
