"""Parsers for the points in time that clients give."""

from __future__ import annotations

import re
from datetime import datetime

# RFC 3339, section 5.6; its note allows a space in place of T
_RFC3339 = re.compile(r"(\d{4}-\d\d-\d\d)[Tt ](\d\d:\d\d:)(\d\d)(\.\d{1,9})?([Zz]|[+-]\d\d:\d\d)", re.ASCII)
_UNIX = re.compile(r"\d{1,12}(?:\.\d{0,9})?", re.ASCII)


def read_rfc3339(text: str) -> float:
    """Parses an RFC 3339 time into Unix time in ms; raises ValueError.

    The offset is required: without it the time would depend on the time zone of the machine.
    """
    match = _RFC3339.fullmatch(text)
    if match is None:
        raise ValueError("a time as in RFC 3339 is wanted, with its offset")
    day, minute, second, fraction, offset = match.groups()
    leap = second == "60"  # section 5.7; taken as the start of the next minute, as Unix time has no leap seconds
    offset = "+00:00" if offset in "Zz" else offset
    try:
        at = datetime.fromisoformat(f"{day}T{minute}{'59' if leap else second}{offset}").timestamp()
    except (ValueError, OverflowError) as error:
        raise ValueError(f"no such time: {error}") from None
    return round((at + leap + float(fraction or 0)) * 1000, 3)


def read_time(text: str) -> float:
    """Parses an RFC 3339 time, or Unix seconds with decimals, into Unix time in ms; raises ValueError."""
    if _UNIX.fullmatch(text):
        return round(float(text) * 1000, 3)
    return read_rfc3339(text)
