"""The reference page of all settings, made from the records that read them: what is accepted, unit, default, meaning.

What is accepted is the first line of the reader's doc comment; a unit follows from the end of a key; the meaning stands
in the doc comment of the record, as "`key`: meaning;".
"""

from __future__ import annotations

import inspect
import re
from collections.abc import Iterator
from dataclasses import MISSING, Field, dataclass, fields

from millethead.configuration.model import Configuration
from millethead.configuration.records import Record, record_within
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
HEAD = "| key | accepted | unit | default | meaning |\n| --- | --- | --- | --- | --- |"


@dataclass(frozen=True, slots=True)
class Entry:
    """One figure that may be set. `default` is empty where the key must be there."""

    key: str
    accepted: str
    unit: str
    default: str
    meaning: str


def entries(record: type[Record], within: str = "") -> Iterator[Entry]:
    """All keys of a record and of the records within it, in their order; places are written as in findings."""
    meanings = _meanings(record)
    for field in fields(record):  # type: ignore[arg-type]  # each record is a dataclass
        reader = field.metadata["deserialize"]
        key = field.metadata.get("alias") or field.name
        inner = record_within(reader)
        if inner is not None:
            yield from entries(inner.record, f"{within}{key}{inner.suffix}.")
            continue
        yield Entry(within + key, _accepted(reader), _unit(key), _default(field), meanings.get(field.name, ""))


def page() -> str:
    """The whole page, in Markdown."""
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
    return "\n".join([HEAD, *rows])


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
        return "none" if field.default is None else f"`{_written(field.default)}`"
    if field.default_factory is not MISSING:
        return "empty"
    return ""


def _written(value: object) -> str:
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
