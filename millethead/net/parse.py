"""Parses HTTP/1.1 messages. Strict on framing: a message that two parsers read differently allows request smuggling."""

from __future__ import annotations

import re
from dataclasses import dataclass

from millethead.net.connection import Connection

MAX_HEAD_BYTES = 16 << 10
MAX_FIELDS = 100
MAX_BODY_BYTES = 64 << 10
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[\x21-\x7e]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?")


class BadMessage(Exception):
    """An invalid message. `status` is the status of the response that is sent before the connection closes."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Request:
    """A request. `fields` are the header fields by lower-case name. `keep_alive`: the connection may be reused."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes = b""
    keep_alive: bool = True

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


@dataclass(slots=True)
class Response:
    """A response. `fields` are the header fields by lower-case name. `keep_alive`: the connection may be reused."""

    status: int
    fields: dict[str, str]
    body: bytes = b""
    keep_alive: bool = True


async def read_head(conn: Connection) -> bytes:
    """Reads the start line and the header fields, including the empty line after them."""
    searched = 0
    while (position := conn.buffer.find(b"\r\n\r\n", max(0, searched - 3))) < 0:
        searched = len(conn.buffer)
        if conn.buffer.peek(2) == b"\r\n":  # an empty line before a message is allowed
            conn.buffer.take(2)
            searched = 0
            continue
        if searched > MAX_HEAD_BYTES:
            raise BadMessage(431, "the head is too large")
        await conn.fill()
    if position > MAX_HEAD_BYTES:
        raise BadMessage(431, "the head is too large")
    return conn.buffer.take(position + 4)


def parse_fields(lines: list[bytes]) -> dict[str, str]:
    """Returns the fields by lower-case name. Repeated fields are joined by commas, but fields that determine the
    framing must not repeat."""
    if len(lines) > MAX_FIELDS:
        raise BadMessage(431, "too many fields")
    fields: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        if not colon or not _TOKEN.fullmatch(name) or not _VALUE.fullmatch(value):
            raise BadMessage(400, "a malformed field")  # including folded lines, bare CR and bare LF
        key, text = name.decode("ascii").lower(), value.decode("latin-1")
        if key in fields:
            if key in ("content-length", "transfer-encoding", "host"):
                raise BadMessage(400, f"{key} is given twice")
            text = fields[key] + ", " + text
        fields[key] = text
    return fields


def parse_request(head: bytes) -> Request:
    lines = head[:-4].split(b"\r\n")
    parts = lines[0].split(b" ")
    if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]) or not _TARGET.fullmatch(parts[1]):
        raise BadMessage(400, "a malformed request line")
    if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise BadMessage(400, "not HTTP/1.1")
    fields = parse_fields(lines[1:])
    old = parts[2] == b"HTTP/1.0"
    if old and "transfer-encoding" in fields:
        raise BadMessage(400, "HTTP/1.0 has no transfer-encoding")
    if not old and "host" not in fields:
        raise BadMessage(400, "no host")
    return Request(parts[0].decode(), parts[1].decode(), fields, keep_alive=_keep_alive(fields, old))


def parse_response(head: bytes) -> Response:
    lines = head[:-4].split(b"\r\n")
    match = _STATUS.fullmatch(lines[0])
    if match is None:
        raise BadMessage(502, "a malformed status line")
    fields = parse_fields(lines[1:])
    return Response(int(match[2]), fields, keep_alive=_keep_alive(fields, match[1] == b"0"))


def _keep_alive(fields: dict[str, str], old: bool) -> bool:
    options = {x.strip() for x in fields.get("connection", "").lower().split(",")}
    return "close" not in options and (not old or "keep-alive" in options)


def body_length(fields: dict[str, str]) -> int | None:
    """Returns the length of the body according to the header fields, or None if it has the chunked coding."""
    length, coding = fields.get("content-length"), fields.get("transfer-encoding")
    if coding is not None:
        if length is not None:
            raise BadMessage(400, "both content-length and transfer-encoding")
        if coding.lower() != "chunked":
            raise BadMessage(400, "a transfer-encoding other than chunked")
        return None
    if length is None:
        return 0
    if not length.isascii() or not length.isdigit():
        raise BadMessage(400, "a malformed content-length")
    if len(length) > 18 or int(length) > MAX_BODY_BYTES:
        raise BadMessage(413, "the body is too large")
    return int(length)


async def chunk_size(conn: Connection) -> int:
    line = await conn.line(256)
    match = _CHUNK_SIZE.fullmatch(line) if line is not None else None
    if match is None:
        raise BadMessage(400, "a malformed chunk size")
    return int(match[1], 16)


async def chunk_end(conn: Connection) -> None:
    if await conn.take(2) != b"\r\n":
        raise BadMessage(400, "a chunk does not end where it says")


async def read_body(conn: Connection, fields: dict[str, str]) -> bytes:
    length = body_length(fields)
    if length is not None:
        return await conn.take(length) if length else b""
    parts, total = [], 0
    while size := await chunk_size(conn):
        total += size
        if total > MAX_BODY_BYTES:
            raise BadMessage(413, "the body is too large")
        parts.append(await conn.take(size))
        await chunk_end(conn)
    for _ in range(MAX_FIELDS):  # trailers are read and ignored
        line = await conn.line(1024)
        if line is None:
            raise BadMessage(400, "a malformed trailer")
        if not line:
            return b"".join(parts)
        parse_fields([line])
    raise BadMessage(431, "too many trailers")


async def read_response(conn: Connection) -> Response:
    """Reads a complete response, skipping 1xx ones. The request must not be HEAD."""
    while True:
        response = parse_response(await read_head(conn))
        if response.status >= 200:
            break
    if response.status not in (204, 304):
        if "content-length" not in response.fields and "transfer-encoding" not in response.fields:
            response.keep_alive = False  # the body extends to the end of the connection; no caller needs it
        else:
            response.body = await read_body(conn, response.fields)
    return response
