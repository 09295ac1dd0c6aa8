"""Set times as clients write them."""

from __future__ import annotations

import re
from datetime import datetime

# RFC 3339, section 5.6, with a space for T as its note allows
_RFC3339 = re.compile(r"(\d{4}-\d\d-\d\d)[Tt ](\d\d:\d\d:)(\d\d)(\.\d{1,9})?([Zz]|[+-]\d\d:\d\d)", re.ASCII)
_UNIX = re.compile(r"\d{1,12}(?:\.\d{0,9})?", re.ASCII)


def read_rfc3339(text: str) -> float:
    """Unix time in ms; raises ValueError. The offset is not optional: a time without one would mean another
    moment on each machine."""
    match = _RFC3339.fullmatch(text)
    if match is None:
        raise ValueError("a time as in RFC 3339 is wanted, with its offset")
    day, minute, second, part, offset = match.groups()
    leap = second == "60"  # section 5.7: it is the first moment of the next minute on machines that skip it
    offset = "+00:00" if offset in "Zz" else offset
    try:
        at = datetime.fromisoformat(f"{day}T{minute}{'59' if leap else second}{offset}").timestamp()
    except (ValueError, OverflowError) as error:
        raise ValueError(f"no such time: {error}") from None
    return round((at + leap + float(part or 0)) * 1000, 3)


def read_time(text: str) -> float:
    """As above, or Unix seconds with decimals."""
    if _UNIX.fullmatch(text):
        return round(float(text) * 1000, 3)
    return read_rfc3339(text)
