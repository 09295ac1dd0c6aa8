"""Records that mashumaro reads from JSON, with all problems of a record reported and not only the first.

The metadata of a field has its reader. A reader converts a JSON value to the value of the field. It raises InvalidValue
for a problem with the value itself, or FindingsError for problems inside it, with locations relative to the value.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import MISSING, Field, dataclass, fields
from typing import Any, TypeVar

from mashumaro import DataClassDictMixin, field_options
from mashumaro.config import BaseConfig
from mashumaro.exceptions import InvalidFieldValue, MissingField

from millethead.configuration.document import JsonObject
from millethead.configuration.findings import Finding, FindingsError, quoted

MAX_NUMBER = 2**63 - 1  # absolute limit of all numbers

T = TypeVar("T")
R = TypeVar("R", bound="Record")
Reader = Callable[[Any], T]


class InvalidValue(ValueError):
    """A value is invalid. The message completes a sentence that starts with its location."""


class Record(DataClassDictMixin):
    """Base class of records. Unknown fields are ignored, and null is the same as an absent field."""

    class Config(BaseConfig):
        lazy_compilation = True  # saves the generation of code for records that a process never reads


def read_with(reader: Reader[Any], key: str | None = None) -> dict[str, Any]:
    """Return the metadata of a field: its reader, and its JSON key if that differs from the name of the field."""
    return field_options(deserialize=reader, alias=key)


def read_record(record: type[R], raw: object) -> R:
    """Read a record from a JSON value. Raises FindingsError with all problems."""
    if not isinstance(raw, dict):
        raise FindingsError([Finding("", "is not an object")])
    given = {key: value for key, value in raw.items() if value is not None}
    try:
        return record.from_dict(given)
    except (MissingField, InvalidFieldValue):
        raise FindingsError(_record_findings(record, given)) from None


def _record_findings(record: type[Record], given: JsonObject) -> Iterator[Finding]:
    for field in fields(record):  # type: ignore[arg-type]  # each record is a dataclass
        key = field.metadata.get("alias") or field.name
        if key in given:
            yield from findings_of(field.metadata["deserialize"], given[key], key)
        elif not _is_optional(field):
            yield Finding(key, "is missing")


def _is_optional(field: Field[Any]) -> bool:
    return field.default is not MISSING or field.default_factory is not MISSING


def findings_of(reader: Reader[Any], value: object, place: str) -> list[Finding]:
    """Return the problems that a reader reports for the value at `place`."""
    try:
        reader(value)
    except InvalidValue as problem:
        return [Finding(place, str(problem))]
    except FindingsError as error:
        return [finding.within(place) for finding in error.findings]
    return []


@dataclass(frozen=True, slots=True)
class NestedRecord:
    """The record that a reader returns, and the suffix of its key in locations ("[]" for a list)."""

    record: type[Record]
    suffix: str


_NESTED_RECORDS: dict[Reader[Any], NestedRecord] = {}


def nested_record_of(reader: Reader[Any]) -> NestedRecord | None:
    """Return the record that a reader made by `nested`, or a list of it, reads; None for other readers."""
    return _NESTED_RECORDS.get(reader)


def nested(record: type[R]) -> Reader[R]:
    """Return a reader of a nested record."""

    def read(value: Any) -> R:
        return read_record(record, value)

    _NESTED_RECORDS[read] = NestedRecord(record, "")
    return read


def list_of(reader: Reader[T]) -> Reader[tuple[T, ...]]:
    """Return a reader of lists that reads each item with `reader`."""

    def read(value: Any) -> tuple[T, ...]:
        if not isinstance(value, list):
            raise InvalidValue("is not a list")
        return tuple(_read_all(reader, ((f"[{index}]", item) for index, item in enumerate(value))))

    inner = nested_record_of(reader)
    if inner is not None:
        _NESTED_RECORDS[read] = NestedRecord(inner.record, f"[]{inner.suffix}")
    read.__doc__ = f"A list, each item: {reader.__doc__}"
    return read


def mapping_of(reader: Reader[T]) -> Reader[Mapping[str, T]]:
    """Return a reader of objects that reads each value with `reader`; null is the same as an absent key."""

    def read(value: Any) -> Mapping[str, T]:
        if not isinstance(value, dict):
            raise InvalidValue("is not an object")
        given = {key: inner for key, inner in value.items() if inner is not None}
        read_values = _read_all(reader, ((key_path(key), inner) for key, inner in given.items()))
        return dict(zip(given, read_values, strict=True))

    read.__doc__ = f"An object, each value: {reader.__doc__}"
    return read


def key_path(key: str) -> str:
    """Format an arbitrary key as a part of a location, quoted unless it is a short identifier."""
    return key if key.isidentifier() and quoted(key) == repr(key) else quoted(key)


def _read_all(reader: Reader[T], values: Iterable[tuple[str, Any]]) -> list[T]:
    """Read all values with `reader`. Raises FindingsError with the problems of all invalid ones."""
    results: list[T] = []
    findings: list[Finding] = []
    for place, value in values:
        try:
            results.append(reader(value))
        except (InvalidValue, FindingsError):
            findings.extend(findings_of(reader, value, place))
    if findings:
        raise FindingsError(findings)
    return results


def text(value: Any) -> str:
    """Any text."""
    if not isinstance(value, str):
        raise InvalidValue("is not a text")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise InvalidValue("is not valid Unicode") from None
    return value


def nonempty_text(value: Any) -> str:
    """A text that is not empty."""
    if not text(value):
        raise InvalidValue("is empty")
    return text(value)


def text_or_none(value: Any) -> str | None:
    """A text, an empty one for none."""
    return text(value) or None


def flag(value: Any) -> bool:
    """true or false."""
    if not isinstance(value, bool):
        raise InvalidValue("is neither true nor false")
    return value


def number(value: Any) -> float:
    """A number within the system's range."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidValue("is not a number")
    if not math.isfinite(value) or abs(value) > MAX_NUMBER:
        raise InvalidValue("is too large")
    return value


def nonnegative_number(value: Any) -> float:
    """A number of 0 or more."""
    if number(value) < 0:
        raise InvalidValue("is below 0")
    return number(value)


def positive_number(value: Any) -> float:
    """A number above 0."""
    if number(value) <= 0:
        raise InvalidValue("is not above 0")
    return number(value)


def integer(value: Any) -> int:
    """A whole number, as 7 or 7.0."""
    if number(value) != int(value):
        raise InvalidValue("is not a whole number")
    if abs(int(value)) > MAX_NUMBER:
        raise InvalidValue("is too large")
    return int(value)


def nonnegative_integer(value: Any) -> int:
    """A whole number of 0 or more."""
    if integer(value) < 0:
        raise InvalidValue("is below 0")
    return integer(value)


def positive_integer(value: Any) -> int:
    """A whole number above 0."""
    if integer(value) <= 0:
        raise InvalidValue("is not above 0")
    return integer(value)
