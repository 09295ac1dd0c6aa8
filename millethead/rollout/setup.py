"""The table [rollout] of the operator's configuration file (docs/rollout.md, docs/on-call.md)."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from millethead.config import ConfigError
from millethead.members.setup import Name
from millethead.tables import Table, read_table

Budget = Annotated[int, Meta(ge=0, le=1000)] | Annotated[str, Meta(pattern=r"^(100|[1-9]?[0-9])%$")]


class RolloutSetup(Table, frozen=True, kw_only=True):
    """`folder`: directory for a voter's durable state; it must outlast the process. `voters`: names of members, the
    same in every file; a majority of them decides. `dispatchers`: how many may be out at once, a count or a percentage
    such as "20%" (of the live ones, rounded down, at least one unless it is 0%). `pools`: the same for booking workers,
    by type.

    Times in ms: `lease` after which the slot of a dead member is freed; `back` within which a member updated by a
    release must be back and serving; `office` for which a steward grants shares after a majority has confirmed its
    assignment. A new steward waits this long before it grants shares of the part.
    """

    folder: str
    voters: Annotated[list[Name], Meta(min_length=1, max_length=15)]
    dispatchers: Budget = 1
    pools: dict[str, Budget] = {}
    lease: Annotated[float, Meta(ge=100, le=86_400_000)] = 600_000.0
    back: Annotated[float, Meta(ge=100, le=86_400_000)] = 60_000.0
    office: Annotated[float, Meta(ge=1_000, le=86_400_000)] = 60_000.0


def max_out_of(budget: int | str, size: int) -> int:
    """Returns how many of `size` members may be out under a budget."""
    if isinstance(budget, int):
        return budget
    part = int(budget[:-1])
    return max(1, size * part // 100) if part else 0


def rollout_setup(raw: object) -> RolloutSetup:
    """Reads and checks the table. Raises ConfigError."""
    setup = read_table(raw, RolloutSetup, "rollout")
    if len(set(setup.voters)) < len(setup.voters):
        raise ConfigError("rollout.voters: each name once is wanted")
    if not Path(setup.folder).is_dir() or not os.access(setup.folder, os.W_OK):
        raise ConfigError(f"rollout.folder: a folder that can be written is wanted, not {setup.folder!r}")
    return setup
