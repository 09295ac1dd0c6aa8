"""The table [waiting] of the operator's file."""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta

from millethead.config import ConfigError
from millethead.tables import Table, read_table

DAY = 86_400.0


class ClassBound(Table, frozen=True, kw_only=True):
    """`bound_s`: the longest that a due job of the class waits for its final answer."""

    bound_s: Annotated[float, Meta(ge=0.1, le=7 * DAY)]


class WaitingSetup(Table, frozen=True, kw_only=True):
    """What is held at most: `jobs`, `bytes` of their bodies, `edges` from jobs to parents, `horizon_s` to a set
    time. `offers`: due jobs of one flow that wait for a worker at once; the others wait here, in order.
    `aged_rate`: starts a second, over all dispatchers, that the flow of aged jobs has for its own."""

    jobs: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    bytes: Annotated[int, Meta(ge=1, le=1 << 34)] = 16 << 20
    edges: Annotated[int, Meta(ge=0, le=10_000_000)] = 50_000
    horizon_s: Annotated[float, Meta(ge=1, le=36_525 * DAY)] = 31 * DAY
    offers: Annotated[int, Meta(ge=1, le=1024)] = 16
    aged_rate: Annotated[float, Meta(ge=0.001, le=1000)] = 1.0
    classes: dict[str, ClassBound] = {}


def waiting_setup(raw: Any, classes: list[str]) -> WaitingSetup:
    """The table, held against the classes of the configuration; raises ConfigError."""
    table = read_table(raw, WaitingSetup, "waiting")
    for name in table.classes:
        if name not in classes:
            raise ConfigError(f"waiting.classes: unknown key {name!r}; a class is wanted: {', '.join(classes)}")
    return table
