"""Generates the reference page of all settings from their records: accepted values, unit, default and meaning.

The accepted values are the first line of the reader's docstring. The unit follows from the suffix of the key. The
meaning is taken from the docstring of the record, where it has the form "`key`: meaning;".
"""

from __future__ import annotations

import inspect
import re
from collections.abc import Iterator
from dataclasses import MISSING, Field, dataclass, fields

from millethead.configuration.model import Configuration
from millethead.configuration.records import Record, nested_record_of
from millethead.configuration.settings import ProcessSettings

UNITS = {
    "_ms": "ms",
    "_s": "s",
    "_mb": "MB",
    "_mbps": "Mbit/s",
    "_bytes": "bytes",
    "_x": "factor",
    "_share": "share of a core",
}
_MEANING = re.compile(r"((?:`\w+`(?:, | and )?)+): (.*?)(?=;|\.(?:\s|$)|$)", re.DOTALL)
TABLE_HEADER = "| key | accepted | unit | default | meaning |\n| --- | --- | --- | --- | --- |"


@dataclass(frozen=True, slots=True)
class Entry:
    """One setting. `default` is empty if the key is required."""

    key: str
    accepted: str
    unit: str
    default: str
    meaning: str


def entries(record: type[Record], within: str = "") -> Iterator[Entry]:
    """Yield all keys of a record and of its nested records, in order. Keys have the form of locations in findings."""
    meanings = _meanings(record)
    for field in fields(record):  # type: ignore[arg-type]  # each record is a dataclass
        reader = field.metadata["deserialize"]
        key = field.metadata.get("alias") or field.name
        inner = nested_record_of(reader)
        if inner is not None:
            yield from entries(inner.record, f"{within}{key}{inner.suffix}.")
            continue
        yield Entry(within + key, _accepted(reader), _unit(key), _default(field), meanings.get(field.name, ""))


def page() -> str:
    """Return the reference page in Markdown."""
    parts = [
        "# Reference of all settings",
        "Made by `millethead settings reference`; a test holds it against the program. A key without a default must be"
        " there. Unknown keys are ignored, and null stands for an absent key. All findings of a file are told"
        " together. Keys under `bounds` mean what the rules call by their names.",
        "## Settings file of a process",
        _table(ProcessSettings),
        "## Configuration",
        _table(Configuration),
    ]
    return "\n\n".join(parts) + "\n"


def _table(record: type[Record]) -> str:
    rows = [
        f"| `{entry.key}` | {entry.accepted} | {entry.unit} | {entry.default} | {entry.meaning} |"
        for entry in entries(record)
    ]
    return "\n".join([TABLE_HEADER, *rows])


def _meanings(record: type[Record]) -> dict[str, str]:
    found: dict[str, str] = {}
    for names, meaning in _MEANING.findall(inspect.getdoc(record) or ""):
        for name in re.findall(r"`(\w+)`", names):
            found[name] = " ".join(meaning.split())
    return found


def _accepted(reader: object) -> str:
    return (inspect.getdoc(reader) or "").split("\n")[0].rstrip(".").split("; raises")[0].lower()


def _unit(key: str) -> str:
    return next((unit for suffix, unit in UNITS.items() if key.endswith(suffix)), "")


def _default(field: Field[object]) -> str:
    if field.default is not MISSING:
        return "none" if field.default is None else f"`{_format_value(field.default)}`"
    if field.default_factory is not MISSING:
        return "empty"
    return ""


def _format_value(value: object) -> str:
    match value:
        case bool():
            return str(value).lower()
        case float() if value == int(value):
            return str(int(value))
        case ():
            return "[]"
        case str():
            return f'"{value}"'
    return str(value)
