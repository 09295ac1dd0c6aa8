"""Strict parsing of JSON documents from outside, with the same result on each replica for the same bytes."""

from __future__ import annotations

import json
import math
from typing import Any

JsonObject = dict[str, Any]

MAX_NESTING = 64  # levels of arrays and objects
MAX_DIGITS = 300  # of an integer


class UnreadableDocument(ValueError):
    """The bytes are not an acceptable JSON document; the message has the reason."""


def read_document(body: bytes) -> object:
    """Parse JSON in UTF-8. Raises UnreadableDocument.

    Nesting and digits are limited here, because the limits of the interpreter depend on the depth of the call stack.
    """
    try:
        value = json.loads(
            body.decode(), parse_constant=_refuse_constant, parse_float=_finite_float, parse_int=_short_integer
        )
    except RecursionError:
        raise UnreadableDocument("is nested too deeply") from None
    except ValueError as error:
        raise UnreadableDocument(f"cannot be read whole: {error}") from None
    if _is_nested_deeper(value, MAX_NESTING):
        raise UnreadableDocument("is nested too deeply")
    return value


def write_document(value: JsonObject) -> bytes:
    """Serialise a value returned by `read_document`, or composed of such values."""
    return json.dumps(value, separators=(",", ":")).encode()


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is not a number")


def _finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is too large")
    return value


def _short_integer(text: str) -> int:
    if len(text) > MAX_DIGITS:
        raise ValueError("a number has too many digits")
    return int(text)


def _is_nested_deeper(value: object, limit: int) -> bool:
    """Return whether arrays and objects are nested more than `limit` levels deep, without recursion."""
    level = [value]
    for _ in range(limit + 1):
        level = [inner for outer in level for inner in _inner_values(outer)]
        if not level:
            return False
    return True


def _inner_values(value: object) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []
