"""The table [rollout] of the operator's file (docs/rollout.md, docs/on-call.md)."""

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
    """`folder`: where a voter keeps what it has agreed to; it must outlast the process. `voters`: names of members, the
    same in every file; a majority of them decides. `dispatchers`: how many may be out at once, a count or a share as
    "20%" (of those there, rounded down, at least one unless it is 0%); `pools`: the same for booking workers, by type.
    Times in ms: `lease` after which the slot of a member that died comes back, `back` within which one that a release
    moves has to be back and serving, `office` for which a steward lends shares after a majority has confirmed
    it as one: so long after it was replaced its part is lent by the new one."""

    folder: str
    voters: Annotated[list[Name], Meta(min_length=1, max_length=15)]
    dispatchers: Budget = 1
    pools: dict[str, Budget] = {}
    lease: Annotated[float, Meta(ge=100, le=86_400_000)] = 600_000.0
    back: Annotated[float, Meta(ge=100, le=86_400_000)] = 60_000.0
    office: Annotated[float, Meta(ge=1_000, le=86_400_000)] = 60_000.0


def most_out(budget: int | str, size: int) -> int:
    """How many of `size` may be out."""
    if isinstance(budget, int):
        return budget
    part = int(budget[:-1])
    return max(1, size * part // 100) if part else 0


def rollout_setup(raw: object) -> RolloutSetup:
    """The table; raises ConfigError."""
    setup = read_table(raw, RolloutSetup, "rollout")
    if len(set(setup.voters)) < len(setup.voters):
        raise ConfigError("rollout.voters: each name once is wanted")
    if not Path(setup.folder).is_dir() or not os.access(setup.folder, os.W_OK):
        raise ConfigError(f"rollout.folder: a folder that can be written is wanted, not {setup.folder!r}")
    return setup
