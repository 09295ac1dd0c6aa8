"""Tables of the operator's file as msgspec records, with errors that name key, wanted value and found one."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import Any, TypeVar

import msgspec

from millethead.config import ConfigError, parse_address

T = TypeVar("T")
_WORDS = {
    "`int`": "a whole number",
    "`float`": "a number",
    "`str`": "a text",
    "`bool`": "true or false",
    "`array`": "a list",
    "`object`": "a table",
}
_AT = re.compile(r"(.*?)(?: - at `\$([^`]*)`)?", re.DOTALL)


class Local(tuple[str, int]):
    """A loopback address, as (host, port); nothing else may be set up."""

    __slots__ = ()


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table: a key that is not known is a mistake somebody should hear of."""


def read_table(raw: Any, kind: type[T], where: str) -> T:
    """`raw` as a record; raises ConfigError with one line that starts with the key."""
    try:
        return msgspec.convert(raw, kind, dec_hook=_read)
    except msgspec.ValidationError as error:
        raise ConfigError(_explain(str(error), raw, where)) from None


def _read(kind: type, raw: Any) -> Any:
    if kind is not Local:
        raise NotImplementedError(kind)
    if not isinstance(raw, str):
        raise ValueError(f"a loopback address is wanted (host:port), not {raw!r}")
    try:
        host, port = parse_address(raw, "")
        local = ip_address(host).is_loopback
    except (ConfigError, ValueError):
        local = False
    if not local:
        raise ValueError(f"a loopback address is wanted (host:port), not {raw!r}")
    return Local((host, port))


def _explain(text: str, raw: Any, where: str) -> str:
    match = _AT.fullmatch(text)
    said, path = (match[1], match[2] or "") if match else (text, "")
    found: Any = raw
    key = where
    for part in re.findall(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]", path):
        name, index = part
        if name == "..." or index == "...":  # msgspec does not say which of a table's entries it means
            found = None
            continue
        try:
            found = found[name] if name else found[int(index)]
        except (KeyError, IndexError, TypeError):
            found = None
        key = f"{key}.{name}" if name and key else f"{key}[{index}]" if index else name
    if unknown := re.fullmatch(r"Object contains unknown field `(.*)`", said):
        return f"{key or 'the file'}: unknown key {unknown[1]!r}"
    if missing := re.fullmatch(r"Object missing required field `(.*)`", said):
        return f"{key}.{missing[1]}: it is missing".lstrip(".")
    if wanted := re.fullmatch(r"Expected (.*?)(?:, got `.*`)?", said):
        words = wanted[1]
        for name, plain in _WORDS.items():
            words = words.replace(name, plain)
        words = words.replace(" of length >= 1", " that is not empty")
        return f"{key}: {words} is wanted" + (f", not {found!r}" if found is not None else "")
    return f"{key}: {said}"
