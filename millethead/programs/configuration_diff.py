"""Differences between two configurations by item and field, as lines of text."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields

from millethead.configuration.model import Configuration, Route, Service

NamedItem = Route | Service


def differences(old: Configuration | None, new: Configuration) -> list[str]:
    """Return one line for each difference except the version. `old` is None if there is no configuration yet."""
    lines: list[str] = []
    for name in ("routes", "services"):
        before = {item.name: item for item in getattr(old, name, ())}
        after = {item.name: item for item in getattr(new, name)}
        lines += _item_lines(name, before, after)
    if old is None:
        return [*lines, "+ limits"]
    lines += [f"~ limits: {text}" for text in _changed_fields(old.limits, new.limits)]
    return lines


def _item_lines(place: str, before: dict[str, NamedItem], after: dict[str, NamedItem]) -> Iterator[str]:
    for name in before:
        if name not in after:
            yield f"- {place} {name}"
    for name, item in after.items():
        if name not in before:
            yield f"+ {place} {name}"
            continue
        for text in _changed_fields(before[name], item):
            yield f"~ {place} {name}: {text}"


def _changed_fields(old: object, new: object) -> Iterator[str]:
    for field in fields(new):  # type: ignore[arg-type]
        old_value, new_value = getattr(old, field.name), getattr(new, field.name)
        if old_value != new_value:
            yield f"{field.name} {old_value} -> {new_value}"
