"""Parses tables of the operator's file into msgspec records. Errors name the key, the expected and the found value."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import Any, TypeVar

import msgspec

from millethead.config import ConfigError, parse_address

T = TypeVar("T")
_TYPE_NAMES = {
    "`int`": "a whole number",
    "`float`": "a number",
    "`str`": "a text",
    "`bool`": "true or false",
    "`array`": "a list",
    "`object`": "a table",
}
_MESSAGE = re.compile(r"(.*?)(?: - at `\$([^`]*)`)?", re.DOTALL)


class LoopbackAddress(tuple[str, int]):
    """A loopback address as (host, port). Other addresses are rejected."""

    __slots__ = ()


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of tables. Unknown keys are errors."""


def read_table(raw: Any, record: type[T], table: str) -> T:
    """Converts `raw` to a record. Raises ConfigError with one line that starts with the key."""
    try:
        return msgspec.convert(raw, record, dec_hook=_decode)
    except msgspec.ValidationError as error:
        raise ConfigError(_explain(str(error), raw, table)) from None


def _decode(kind: type, raw: Any) -> Any:
    if kind is not LoopbackAddress:
        raise NotImplementedError(kind)
    if not isinstance(raw, str):
        raise ValueError(f"a loopback address is wanted (host:port), not {raw!r}")
    try:
        host, port = parse_address(raw, "")
        is_loopback = ip_address(host).is_loopback
    except (ConfigError, ValueError):
        is_loopback = False
    if not is_loopback:
        raise ValueError(f"a loopback address is wanted (host:port), not {raw!r}")
    return LoopbackAddress((host, port))


def _explain(text: str, raw: Any, table: str) -> str:
    """Rewrites an error message of msgspec for operators."""
    match = _MESSAGE.fullmatch(text)
    message, path = (match[1], match[2] or "") if match else (text, "")
    found: Any = raw
    key = table
    for part in re.findall(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]", path):
        name, index = part
        if name == "..." or index == "...":  # msgspec does not name the entry
            found = None
            continue
        try:
            found = found[name] if name else found[int(index)]
        except (KeyError, IndexError, TypeError):
            found = None
        key = f"{key}.{name}" if name and key else f"{key}[{index}]" if index else name
    if unknown := re.fullmatch(r"Object contains unknown field `(.*)`", message):
        return f"{key or 'the file'}: unknown key {unknown[1]!r}"
    if missing := re.fullmatch(r"Object missing required field `(.*)`", message):
        return f"{key}.{missing[1]}: it is missing".lstrip(".")
    if wanted := re.fullmatch(r"Expected (.*?)(?:, got `.*`)?", message):
        words = wanted[1]
        for name, plain in _TYPE_NAMES.items():
            words = words.replace(name, plain)
        words = words.replace(" of length >= 1", " that is not empty")
        return f"{key}: {words} is wanted" + (f", not {found!r}" if found is not None else "")
    return f"{key}: {message}"
