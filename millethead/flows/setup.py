"""The table [ipfix] of the operator's file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from millethead.tables import Local, Table


class FlowSetup(Table, frozen=True, kw_only=True):
    """Where the records go, the observation domain, seconds between templates, and records queued at most."""

    collector: Local
    domain: Annotated[int, Meta(ge=0, le=2**32 - 1)] = 1
    template_s: Annotated[float, Meta(ge=1, le=3600)] = 60.0
    queue: Annotated[int, Meta(ge=1, le=65536)] = 1024
