"""The subset of RESP (the Redis protocol) that Faktory uses: line commands; simple, error and bulk replies."""

from __future__ import annotations

import json
from typing import Any

MAX_LINE_BYTES = 72 << 10  # a job of 64 KiB with its envelope


class BadCommand(Exception):
    """An invalid command. The text is sent to the client as the error reply."""


def split_command(line: bytes) -> tuple[str, str]:
    """Splits a command line into (verb, arguments)."""
    try:
        text = line.decode()
    except UnicodeDecodeError:
        raise BadCommand("a command that is no UTF-8") from None
    verb, _, rest = text.strip(" ").partition(" ")
    return verb.upper(), rest.strip(" ")


def read_object(text: str) -> dict[str, Any]:
    """Parses a JSON object; raises BadCommand."""
    value = read_json(text)
    if not isinstance(value, dict):
        raise BadCommand("an object is wanted")
    return value


def read_json(text: str) -> Any:
    """Parses a JSON value; raises BadCommand."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        raise BadCommand("malformed JSON") from None


def simple(text: str) -> bytes:
    """A simple string reply."""
    return b"+" + text.encode() + b"\r\n"


def error(text: str) -> bytes:
    """An error reply."""
    return b"-ERR " + " ".join(text.split()).encode() + b"\r\n"


def bulk(value: Any) -> bytes:
    """A bulk string reply with a JSON value; the null bulk string for None."""
    if value is None:
        return b"$-1\r\n"
    body = json.dumps(value, separators=(",", ":")).encode()
    return b"$%d\r\n%s\r\n" % (len(body), body)
