"""Reads HTTP requests from a connection and enforces the limits of the server."""

from __future__ import annotations

import re
import time

from millethead.net.connection import Connection, PeerTimeout, with_timeout
from millethead.net.parse import (
    MAX_FIELDS,
    BadMessage,
    Request,
    chunk_end,
    chunk_size,
    parse_fields,
    parse_request,
)
from millethead.web.limits import HttpLimits

REQUEST_TIMEOUT, EXPECTATION_FAILED, BAD_REQUEST = 408, 417, 400
BODY_TOO_LARGE, HEAD_TOO_LARGE = 413, 431
MAX_TRAILER_LINE_BYTES = 1024
MAX_CONTENT_LENGTH_DIGITS = 18
LATE_TIMEOUT_S = 0.2  # a time-out noticed this late is caused by a delay of this process, not by the client
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REQUEST_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [\x21-\x7e]+ HTTP/1\.[01]\r\n")
_UNFINISHED_LINE = re.compile(rb"[\x20-\x7e]*\r?")
_HTTP_1_0 = re.compile(rb"[^\r]* HTTP/1\.0\r\n")


async def read_request(conn: Connection, limits: HttpLimits) -> Request:
    """Reads the next request with its body. Raises BadMessage, which has the status to respond with, for an invalid
    request, and Closed if the client disconnects before the last byte."""
    head = await _read_head(conn, limits)
    conn.partially_read = True
    request = parse_request(head)
    if _HTTP_1_0.match(head):
        request.keep_alive = False
    length = _body_length(request.fields, limits.max_body_bytes)
    if "expect" in request.fields:
        await _handle_expectation(conn, request, length)
    request.body = await _read_body(conn, length, limits)
    return request


async def _read_head(conn: Connection, limits: HttpLimits) -> bytes:
    """Reads the request line and the header fields, up to and including the empty line after them."""
    deadline = time.monotonic() + limits.header_timeout_s
    seen, max_bytes = 0, limits.max_header_bytes
    while (at := conn.buffer.find(b"\r\n\r\n", max(0, seen - 3))) < 0:
        seen = len(conn.buffer)
        if conn.buffer.peek(2) == b"\r\n":  # HTTP allows empty lines before a request
            conn.buffer.take(2)
            seen = 0
            continue
        if seen > max_bytes:
            raise BadMessage(HEAD_TOO_LARGE, f"the head of the request exceeds {max_bytes} bytes")
        _reject_malformed_start(conn)
        deadline = await _fill_head(conn, deadline)
    if conn.buffer.peek(2) == b"\r\n":
        conn.buffer.take(2)
        return await _read_head(conn, limits)
    if at + 4 > max_bytes:
        raise BadMessage(HEAD_TOO_LARGE, f"the head of the request exceeds {max_bytes} bytes")
    return conn.buffer.take(at + 4)


def _reject_malformed_start(conn: Connection) -> None:
    """Raises BadMessage as soon as the received bytes cannot be the start of a request."""
    at = conn.buffer.find(b"\n")
    if at >= 0:
        match = _REQUEST_LINE.fullmatch(conn.buffer.peek(at + 1))
    else:
        match = _UNFINISHED_LINE.fullmatch(conn.buffer.peek(len(conn.buffer)))
    if match is None:
        raise BadMessage(BAD_REQUEST, "a malformed request line")


async def _fill_head(conn: Connection, deadline: float) -> float:
    """Waits for more bytes of the head and returns the deadline that applies from now on. The deadline is extended if
    this process was delayed past it, because bytes that arrived meanwhile have not been read."""
    try:
        await with_timeout(deadline - time.monotonic(), conn.fill())
    except PeerTimeout:
        now = time.monotonic()
        if now < deadline + LATE_TIMEOUT_S:
            raise BadMessage(REQUEST_TIMEOUT, "the head of the request came too slowly") from None
        return now + LATE_TIMEOUT_S
    except OverflowError:
        raise BadMessage(HEAD_TOO_LARGE, "the head of the request is too large") from None
    return deadline


def _body_length(fields: dict[str, str], max_bytes: int) -> int | None:
    """Length of the body in bytes according to the header, 0 if there is none; None for a chunked body."""
    length, coding = fields.get("content-length"), fields.get("transfer-encoding")
    if coding is not None:
        if length is not None:
            raise BadMessage(BAD_REQUEST, "both content-length and transfer-encoding")
        if coding.lower() != "chunked":
            raise BadMessage(BAD_REQUEST, "a transfer-encoding other than chunked")
        return None
    if length is None:
        return 0
    if not length.isascii() or not length.isdigit():
        raise BadMessage(BAD_REQUEST, "a malformed content-length")
    if len(length) > MAX_CONTENT_LENGTH_DIGITS or int(length) > max_bytes:
        raise _body_too_large(max_bytes)
    return int(length)


def _body_too_large(max_bytes: int) -> BadMessage:
    return BadMessage(BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes")


async def _handle_expectation(conn: Connection, request: Request, length: int | None) -> None:
    if request.fields["expect"].lower() != "100-continue":
        raise BadMessage(EXPECTATION_FAILED, "an expectation that cannot be met")
    if length != 0 and not len(conn.buffer):  # a client that already sends the body does not wait for it
        await conn.write(CONTINUE)


async def _read_body(conn: Connection, length: int | None, limits: HttpLimits) -> bytes:
    if length == 0:
        return b""
    if length is not None and len(conn.buffer) >= length:
        return conn.buffer.take(length)
    read = _read_chunks(conn, limits.max_body_bytes) if length is None else conn.take(length)
    try:
        return await with_timeout(limits.body_timeout_s, read)
    except PeerTimeout:
        raise BadMessage(REQUEST_TIMEOUT, "the body of the request came too slowly") from None


async def _read_chunks(conn: Connection, max_bytes: int) -> bytes:
    parts, total = [], 0
    while size := await chunk_size(conn):
        total += size
        if total > max_bytes:
            raise _body_too_large(max_bytes)
        parts.append(await conn.take(size))
        await chunk_end(conn)
    await _discard_trailers(conn)
    return b"".join(parts)


async def _discard_trailers(conn: Connection) -> None:
    for _ in range(MAX_FIELDS):
        line = await conn.line(MAX_TRAILER_LINE_BYTES)
        if line is None:
            raise BadMessage(BAD_REQUEST, "a malformed trailer")
        if not line:
            return
        parse_fields([line])
    raise BadMessage(HEAD_TOO_LARGE, "too many trailers")
