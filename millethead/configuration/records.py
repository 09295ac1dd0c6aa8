"""Records read from JSON by mashumaro, with every problem of a record found and not only the first.

A field names its reader in its metadata. A reader takes the JSON value and returns the field's, or raises Unfit (one
problem with the value itself) or FindingsError (problems within it, at places seen from it).
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

LARGEST = 2**63 - 1  # of a number that the system works with

T = TypeVar("T")
R = TypeVar("R", bound="Record")
Reader = Callable[[Any], T]


class Unfit(ValueError):
    """A value cannot be used; the text says why, following the place."""


class Record(DataClassDictMixin):
    """The base of records. Fields that a record does not know are ignored, and null stands for an absent field."""

    class Config(BaseConfig):
        lazy_compilation = True  # a process that never reads a record does not pay for its code


def read_with(reader: Reader[Any], key: str | None = None) -> dict[str, Any]:
    """Metadata of a field: who reads it, and its key in JSON where that is not the field's name."""
    return field_options(deserialize=reader, alias=key)


def read_record(record: type[R], raw: object) -> R:
    """The record for a JSON value; raises FindingsError with all that is wrong with it."""
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
        elif not _may_be_absent(field):
            yield Finding(key, "is missing")


def _may_be_absent(field: Field[Any]) -> bool:
    return field.default is not MISSING or field.default_factory is not MISSING


def findings_of(reader: Reader[Any], value: object, place: str) -> list[Finding]:
    """What a reader finds wrong with the value at a place."""
    try:
        reader(value)
    except Unfit as problem:
        return [Finding(place, str(problem))]
    except FindingsError as error:
        return [finding.within(place) for finding in error.findings]
    return []


@dataclass(frozen=True, slots=True)
class RecordWithin:
    """The record that a reader makes, and what its place has behind the key: "[]" in a list."""

    record: type[Record]
    suffix: str


_WITHIN: dict[Reader[Any], RecordWithin] = {}


def record_within(reader: Reader[Any]) -> RecordWithin | None:
    """What `nested`, or a list of it, reads; None for other readers."""
    return _WITHIN.get(reader)


def nested(record: type[R]) -> Reader[R]:
    """A reader of a record within another."""

    def read(value: Any) -> R:
        return read_record(record, value)

    _WITHIN[read] = RecordWithin(record, "")
    return read


def list_of(reader: Reader[T]) -> Reader[tuple[T, ...]]:
    """A reader of lists, each item of which `reader` reads."""

    def read(value: Any) -> tuple[T, ...]:
        if not isinstance(value, list):
            raise Unfit("is not a list")
        return tuple(_read_all(reader, ((f"[{index}]", item) for index, item in enumerate(value))))

    inner = record_within(reader)
    if inner is not None:
        _WITHIN[read] = RecordWithin(inner.record, f"[]{inner.suffix}")
    read.__doc__ = f"A list, each item: {reader.__doc__}"
    return read


def mapping_of(reader: Reader[T]) -> Reader[Mapping[str, T]]:
    """A reader of objects with any keys, each value of which `reader` reads; null counts as absent."""

    def read(value: Any) -> Mapping[str, T]:
        if not isinstance(value, dict):
            raise Unfit("is not an object")
        given = {key: inner for key, inner in value.items() if inner is not None}
        read_values = _read_all(reader, ((place_of(key), inner) for key, inner in given.items()))
        return dict(zip(given, read_values, strict=True))

    read.__doc__ = f"An object, each value: {reader.__doc__}"
    return read


def place_of(key: str) -> str:
    """A key that the sender chose, as part of a place."""
    return key if key.isidentifier() and quoted(key) == repr(key) else quoted(key)


def _read_all(reader: Reader[T], values: Iterable[tuple[str, Any]]) -> list[T]:
    """What `reader` makes of each value; raises FindingsError for all of those that are unfit."""
    made: list[T] = []
    findings: list[Finding] = []
    for place, value in values:
        try:
            made.append(reader(value))
        except (Unfit, FindingsError):
            findings.extend(findings_of(reader, value, place))
    if findings:
        raise FindingsError(findings)
    return made


def text(value: Any) -> str:
    """Any text."""
    if not isinstance(value, str):
        raise Unfit("is not a text")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise Unfit("is not valid Unicode") from None
    return value


def filled_text(value: Any) -> str:
    """A text that is not empty."""
    if not text(value):
        raise Unfit("is empty")
    return text(value)


def text_or_none(value: Any) -> str | None:
    """A text, an empty one for none."""
    return text(value) or None


def flag(value: Any) -> bool:
    """true or false."""
    if not isinstance(value, bool):
        raise Unfit("is neither true nor false")
    return value


def number(value: Any) -> float:
    """A number within the system's range."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Unfit("is not a number")
    if not math.isfinite(value) or abs(value) > LARGEST:
        raise Unfit("is too large")
    return value


def number_from_zero(value: Any) -> float:
    """A number of 0 or more."""
    if number(value) < 0:
        raise Unfit("is below 0")
    return number(value)


def number_above_zero(value: Any) -> float:
    """A number above 0."""
    if number(value) <= 0:
        raise Unfit("is not above 0")
    return number(value)


def integer(value: Any) -> int:
    """A whole number, as 7 or 7.0."""
    if number(value) != int(value):
        raise Unfit("is not a whole number")
    if abs(int(value)) > LARGEST:
        raise Unfit("is too large")
    return int(value)


def integer_from_zero(value: Any) -> int:
    """A whole number of 0 or more."""
    if integer(value) < 0:
        raise Unfit("is below 0")
    return integer(value)


def integer_above_zero(value: Any) -> int:
    """A whole number above 0."""
    if integer(value) <= 0:
        raise Unfit("is not above 0")
    return integer(value)
