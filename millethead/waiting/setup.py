"""The table [waiting] of the operator's settings file."""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta

from millethead.config import ConfigError
from millethead.tables import Table, read_table

DAY_S = 86_400.0


class ClassBound(Table, frozen=True, kw_only=True):
    """Settings of one job class. `bound_s`: the longest time from when a job is due to its final answer."""

    bound_s: Annotated[float, Meta(ge=0.1, le=7 * DAY_S)]


class WaitingSetup(Table, frozen=True, kw_only=True):
    """Limits on delayed jobs: `jobs` held, `bytes` of their bodies, `edges` (dependencies of jobs on parents), and
    `horizon_s`, how far ahead a set time may be. `offers`: due jobs of one flow that are offered to the scheduling
    module at once; the others are queued. `aged_rate`: starts per second, over all dispatchers, that are reserved for
    the flow of aged jobs."""

    jobs: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    bytes: Annotated[int, Meta(ge=1, le=1 << 34)] = 16 << 20
    edges: Annotated[int, Meta(ge=0, le=10_000_000)] = 50_000
    horizon_s: Annotated[float, Meta(ge=1, le=36_525 * DAY_S)] = 31 * DAY_S
    offers: Annotated[int, Meta(ge=1, le=1024)] = 16
    aged_rate: Annotated[float, Meta(ge=0.001, le=1000)] = 1.0
    classes: dict[str, ClassBound] = {}


def waiting_setup(raw: Any, classes: list[str]) -> WaitingSetup:
    """Reads and validates the table; raises ConfigError, also for a class that the configuration does not define."""
    table = read_table(raw, WaitingSetup, "waiting")
    for name in table.classes:
        if name not in classes:
            raise ConfigError(f"waiting.classes: unknown key {name!r}; a class is wanted: {', '.join(classes)}")
    return table
