"""The table [door] of the operator's file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from millethead.tables import Table


class DoorSetup(Table, frozen=True, kw_only=True):
    """What stands at the door at most: `jobs`, `bytes` of their bodies. `lanes`: queues of one tenant, into which
    its clients are hashed. `wait_ms`: the longest that a job is expected to stand there; who would wait longer is
    told when to come back. `header`: the HTTP field that names a client, else its address does. `target_ms`: the
    wait for a worker inside that the window is steered to, between `window_least` and `window_most` jobs."""

    jobs: Annotated[int, Meta(ge=1, le=65536)] = 1024
    bytes: Annotated[int, Meta(ge=1, le=1 << 30)] = 8 << 20
    lanes: Annotated[int, Meta(ge=1, le=4096)] = 64
    wait_ms: Annotated[float, Meta(ge=1, le=600_000)] = 1000.0
    promises: Annotated[int, Meta(ge=1, le=1_000_000)] = 4096
    header: str = ""
    target_ms: Annotated[float, Meta(ge=1, le=60_000)] = 100.0
    window_least: Annotated[int, Meta(ge=1, le=1024)] = 4
    window_most: Annotated[int, Meta(ge=1, le=4096)] = 256
