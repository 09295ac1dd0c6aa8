"""Results of request handlers: a response, or a deferred response that is completed later on the event loop."""

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
_HEADER_FIELD = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+: [\t\x20-\x7e\x80-\xff]*")
_json_encoder = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response. The Content-Length and Connection headers are added when it is sent."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()


def json_response(status: int, value: object) -> Response:
    """A response with `value` as its JSON body; raises TypeError if msgspec cannot encode it."""
    return Response(status, _json_encoder.encode(value))


def error_response(status: int, message: str, headers: tuple[tuple[str, str], ...] = ()) -> Response:
    """A response with a JSON body that contains an error message."""
    return Response(status, _json_encoder.encode({"error": message}), headers=headers)


class DeferredResponse:
    """A response that a handler returns before it is complete. `complete` is called once, on the loop's thread, before
    or after the handler has returned.

    `done`: the response was completed. `disconnected`: the client disconnected before that. `on_disconnect` is called
    when it does."""

    __slots__ = ("_wake", "disconnected", "done", "on_disconnect", "response")

    def __init__(self, on_disconnect: Callable[[], None] | None = None) -> None:
        self.done, self.disconnected = False, False
        self.on_disconnect = on_disconnect
        self.response: Response | None = None
        self._wake: Callable[[], None] | None = None

    def complete(self, response: Response) -> None:
        """Sets the response. Does nothing if it is already set or the client has disconnected."""
        if self.done or self.disconnected:
            return
        self.done, self.response = True, response
        self._settle()

    def client_disconnected(self) -> None:
        """Called by the server when the client disconnects. Does nothing after `complete`."""
        if self.done or self.disconnected:
            return
        self.disconnected = True
        if self.on_disconnect is not None:
            try:
                self.on_disconnect()
            except Exception:
                log.exception("on_gone_failed")
        self._settle()

    def when_settled(self, wake: Callable[[], None]) -> None:
        """Calls `wake` when the response is complete or the client has disconnected, at once if either has happened."""
        self._wake = wake
        if self.done or self.disconnected:
            self._settle()

    def _settle(self) -> None:
        wake, self._wake = self._wake, None
        if wake is not None:
            wake()


def serialize_response(response: Response, keep_alive: bool, head_only: bool) -> bytes:
    """Serializes a response. `keep_alive`: the connection stays open. `head_only`: response to a HEAD request, which
    has the length of the body but not the body. Raises ValueError for a status or header that HTTP does not allow."""
    status = response.status
    if status < 200 or status not in _STATUS_LINES:
        raise ValueError(f"no final status: {status}")
    head = _STATUS_LINES[status]
    body = response.body
    if status in (NO_CONTENT, NOT_MODIFIED):
        body = b""
    else:
        head += f"Content-Length: {len(body)}\r\n"
    if body:
        head += _header_line("Content-Type", response.content_type)
    for name, value in response.headers:
        head += _header_line(name, value)
    head += "\r\n" if keep_alive else "Connection: close\r\n\r\n"
    return head.encode("latin-1") if head_only else head.encode("latin-1") + body


def _header_line(name: str, value: str) -> str:
    line = f"{name}: {value}"
    if not _HEADER_FIELD.fullmatch(line):
        raise ValueError(f"a malformed field: {line!r}")
    return line + "\r\n"
