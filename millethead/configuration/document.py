"""JSON documents from outside: read strictly, so that each replica reaches the same verdict on the same bytes."""

from __future__ import annotations

import json
import math
from typing import Any

JsonObject = dict[str, Any]

MOST_NESTED = 64  # arrays and objects within one another
MOST_DIGITS = 300  # of a whole number


class UnreadableDocument(ValueError):
    """The bytes are no JSON document that can be used; the text says why."""


def read_document(body: bytes) -> object:
    """The value that the bytes stand for; raises UnreadableDocument.

    Nesting and digits are bounded here and not left to the interpreter, whose own bounds depend on who calls.
    """
    try:
        value = json.loads(
            body.decode(), parse_constant=_refuse_constant, parse_float=_finite, parse_int=_short_integer
        )
    except RecursionError:
        raise UnreadableDocument("is nested too deeply") from None
    except ValueError as error:
        raise UnreadableDocument(f"cannot be read whole: {error}") from None
    if _nested_beyond(value, MOST_NESTED):
        raise UnreadableDocument("is nested too deeply")
    return value


def write_document(value: JsonObject) -> bytes:
    """The bytes for a value that `read_document` returned, or that is made up of such values."""
    return json.dumps(value, separators=(",", ":")).encode()


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is not a number")


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is too large")
    return value


def _short_integer(text: str) -> int:
    if len(text) > MOST_DIGITS:
        raise ValueError("a number has too many digits")
    return int(text)


def _nested_beyond(value: object, most: int) -> bool:
    """Whether arrays and objects lie more than `most` deep, found level by level."""
    level = [value]
    for _ in range(most + 1):
        level = [inner for outer in level for inner in _inner_values(outer)]
        if not level:
            return False
    return True


def _inner_values(value: object) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []
