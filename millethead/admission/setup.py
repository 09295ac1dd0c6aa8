"""The table [door] of the operator's settings file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from millethead.tables import Table


class AdmissionSetup(Table, frozen=True, kw_only=True):
    """The settings of the admission queue.

    jobs, bytes: the maximum number of queued jobs, and of bytes of their bodies.
    lanes: the number of lanes (queues) per tenant, to which its clients are assigned by a hash.
    wait_ms: the longest expected wait; a job that would wait longer is refused, with a time to retry.
    promises: the maximum number of reserved retry times.
    header: the HTTP header that names the client; without it the client's address does.
    target_ms: the intended wait of an admitted job for a worker.
    window_least, window_most: the bounds of the admission window, in jobs.
    """

    jobs: Annotated[int, Meta(ge=1, le=65536)] = 1024
    bytes: Annotated[int, Meta(ge=1, le=1 << 30)] = 8 << 20
    lanes: Annotated[int, Meta(ge=1, le=4096)] = 64
    wait_ms: Annotated[float, Meta(ge=1, le=600_000)] = 1000.0
    promises: Annotated[int, Meta(ge=1, le=1_000_000)] = 4096
    header: str = ""
    target_ms: Annotated[float, Meta(ge=1, le=60_000)] = 100.0
    window_least: Annotated[int, Meta(ge=1, le=1024)] = 4
    window_most: Annotated[int, Meta(ge=1, le=4096)] = 256
