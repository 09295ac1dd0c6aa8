"""The table [ipfix] of the operator's settings file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from millethead.tables import LoopbackAddress, Table


class FlowSetup(Table, frozen=True, kw_only=True):
    """The settings of the flow export.

    collector: the address that the records are sent to.
    domain: the observation domain id.
    template_s: seconds between two transmissions of the templates.
    queue: the maximum number of queued records.
    """

    collector: LoopbackAddress
    domain: Annotated[int, Meta(ge=0, le=2**32 - 1)] = 1
    template_s: Annotated[float, Meta(ge=1, le=3600)] = 60.0
    queue: Annotated[int, Meta(ge=1, le=65536)] = 1024
