"""Reading requests from a connection, within the limits of the server."""

from __future__ import annotations

import re
import time

from millethead.net.connection import Connection, Late, within
from millethead.net.parse import (
    FIELDS,
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
TRAILER_BYTES = 1024
LENGTH_DIGITS = 18
HELD_UP_S = 0.2  # a time-out that is seen so late tells of this process, not of its client
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REQUEST_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [\x21-\x7e]+ HTTP/1\.[01]\r\n")
_UNFINISHED_LINE = re.compile(rb"[\x20-\x7e]*\r?")
_HTTP_1_0 = re.compile(rb"[^\r]* HTTP/1\.0\r\n")


async def read_request(conn: Connection, limits: HttpLimits) -> Request:
    """The next request, whole. Raises BadMessage with the status that it is to be answered with, Closed if the client
    leaves before its last byte."""
    head = await _read_head(conn, limits)
    conn.midway = True
    request = parse_request(head)
    if _HTTP_1_0.match(head):
        request.keep = False
    length = _body_length(request.fields, limits.max_body_bytes)
    if "expect" in request.fields:
        await _meet_expectation(conn, request, length)
    request.body = await _read_body(conn, length, limits)
    return request


async def _read_head(conn: Connection, limits: HttpLimits) -> bytes:
    """The request line and the fields, with the empty line that ends them."""
    deadline = time.monotonic() + limits.header_timeout_s
    seen, most = 0, limits.max_header_bytes
    while (at := conn.buffer.find(b"\r\n\r\n", max(0, seen - 3))) < 0:
        seen = len(conn.buffer)
        if conn.buffer.peek(2) == b"\r\n":  # an empty line before a request is allowed
            conn.buffer.take(2)
            seen = 0
            continue
        if seen > most:
            raise BadMessage(HEAD_TOO_LARGE, f"the head of the request exceeds {most} bytes")
        _refuse_hopeless(conn)
        deadline = await _fill_head(conn, deadline)
    if conn.buffer.peek(2) == b"\r\n":
        conn.buffer.take(2)
        return await _read_head(conn, limits)
    if at + 4 > most:
        raise BadMessage(HEAD_TOO_LARGE, f"the head of the request exceeds {most} bytes")
    return conn.buffer.take(at + 4)


def _refuse_hopeless(conn: Connection) -> None:
    """Raise BadMessage as soon as what has come cannot become a request."""
    at = conn.buffer.find(b"\n")
    if at >= 0:
        good = _REQUEST_LINE.fullmatch(conn.buffer.peek(at + 1))
    else:
        good = _UNFINISHED_LINE.fullmatch(conn.buffer.peek(len(conn.buffer)))
    if good is None:
        raise BadMessage(BAD_REQUEST, "a malformed request line")


async def _fill_head(conn: Connection, deadline: float) -> float:
    """Wait for more of a head; the deadline that holds from now on. It is put off where the process itself was held up
    beyond it: what came meanwhile is still to be read."""
    try:
        await within(deadline - time.monotonic(), conn.fill())
    except Late:
        now = time.monotonic()
        if now < deadline + HELD_UP_S:
            raise BadMessage(REQUEST_TIMEOUT, "the head of the request came too slowly") from None
        return now + HELD_UP_S
    except OverflowError:
        raise BadMessage(HEAD_TOO_LARGE, "the head of the request is too large") from None
    return deadline


def _body_length(fields: dict[str, str], most: int) -> int | None:
    """Bytes of the body as the fields tell them, 0 for none; None where it comes in chunks."""
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
    if len(length) > LENGTH_DIGITS or int(length) > most:
        raise _body_too_large(most)
    return int(length)


def _body_too_large(most: int) -> BadMessage:
    return BadMessage(BODY_TOO_LARGE, f"the body exceeds {most} bytes")


async def _meet_expectation(conn: Connection, request: Request, length: int | None) -> None:
    if request.fields["expect"].lower() != "100-continue":
        raise BadMessage(EXPECTATION_FAILED, "an expectation that cannot be met")
    if length != 0 and not len(conn.buffer):  # a client that sends its body already waits for nothing
        await conn.write(CONTINUE)


async def _read_body(conn: Connection, length: int | None, limits: HttpLimits) -> bytes:
    if length == 0:
        return b""
    if length is not None and len(conn.buffer) >= length:
        return conn.buffer.take(length)
    rest = _read_chunks(conn, limits.max_body_bytes) if length is None else conn.take(length)
    try:
        return await within(limits.body_timeout_s, rest)
    except Late:
        raise BadMessage(REQUEST_TIMEOUT, "the body of the request came too slowly") from None


async def _read_chunks(conn: Connection, most: int) -> bytes:
    parts, total = [], 0
    while size := await chunk_size(conn):
        total += size
        if total > most:
            raise _body_too_large(most)
        parts.append(await conn.take(size))
        await chunk_end(conn)
    await _drop_trailers(conn)
    return b"".join(parts)


async def _drop_trailers(conn: Connection) -> None:
    for _ in range(FIELDS):
        line = await conn.line(TRAILER_BYTES)
        if line is None:
            raise BadMessage(BAD_REQUEST, "a malformed trailer")
        if not line:
            return
        parse_fields([line])
    raise BadMessage(HEAD_TOO_LARGE, "too many trailers")
