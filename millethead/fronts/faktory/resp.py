"""The part of RESP that Faktory uses: commands as lines, replies as strings, errors and bulk strings."""

from __future__ import annotations

import json
from typing import Any

LINE = 72 << 10  # a whole job of 64 KiB with its envelope


class BadCommand(Exception):
    """A command that cannot be carried out; the text is the answer."""


def split_command(line: bytes) -> tuple[str, str]:
    """(verb, the rest) of one command line."""
    try:
        text = line.decode()
    except UnicodeDecodeError:
        raise BadCommand("a command that is no UTF-8") from None
    verb, _, rest = text.strip(" ").partition(" ")
    return verb.upper(), rest.strip(" ")


def read_object(text: str) -> dict[str, Any]:
    value = read_json(text)
    if not isinstance(value, dict):
        raise BadCommand("an object is wanted")
    return value


def read_json(text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        raise BadCommand("malformed JSON") from None


def simple(text: str) -> bytes:
    return b"+" + text.encode() + b"\r\n"


def error(text: str) -> bytes:
    return b"-ERR " + " ".join(text.split()).encode() + b"\r\n"


def bulk(value: Any) -> bytes:
    """A JSON value as a bulk string; None as the null one."""
    if value is None:
        return b"$-1\r\n"
    body = json.dumps(value, separators=(",", ":")).encode()
    return b"$%d\r\n%s\r\n" % (len(body), body)
