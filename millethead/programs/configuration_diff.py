"""What differs between two configurations, item by item and field by field, as lines of text."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields

from millethead.configuration.model import Configuration, Route, Service

Named = Route | Service


def differences(old: Configuration | None, new: Configuration) -> list[str]:
    """One line a difference but for the version; `old` None stands for none at all."""
    lines: list[str] = []
    for name in ("routes", "services"):
        before = {item.name: item for item in getattr(old, name, ())}
        after = {item.name: item for item in getattr(new, name)}
        lines += _item_lines(name, before, after)
    if old is None:
        return [*lines, "+ limits"]
    lines += [f"~ limits: {text}" for text in _changed_fields(old.limits, new.limits)]
    return lines


def _item_lines(place: str, before: dict[str, Named], after: dict[str, Named]) -> Iterator[str]:
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
        one, other = getattr(old, field.name), getattr(new, field.name)
        if one != other:
            yield f"{field.name} {one} -> {other}"
